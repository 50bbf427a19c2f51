package placer

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/residency"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
)

// announcePlacement records that a replica will hold the parts of a prompt, and notifies peers.
func (pp *PromptPlacer) announcePlacement(r *replicas.Replica, j *relay.Job, salt string) {
	parts := make([]PlacedPart, len(j.Parts))
	otherTokens := j.PromptTokens + pp.expectedOutput(j)
	for i, p := range j.Parts {
		parts[i] = PlacedPart{Key: partKey(salt, p.ID), Tokens: p.Tokens}
		otherTokens -= p.Tokens
	}
	pp.setMemoryTokens(j.Service.Engine.MemoryTokens)
	pp.RecordPlacement(r, parts, max(0, otherTokens))
	if pp.OnPlaced != nil {
		pp.OnPlaced(r, parts, max(0, otherTokens))
	}
}

func (pp *PromptPlacer) setMemoryTokens(tokens int) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	pp.memoryTokens = tokens
}

// RecordPlacement records what is added to a replica's memory: parts, and otherTokens, which are
// never requested again but use capacity until they are evicted.
func (pp *PromptPlacer) RecordPlacement(r *replicas.Replica, parts []PlacedPart, otherTokens int) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	if pp.memoryTokens == 0 {
		return // this daemon has not placed any prompt yet
	}
	m := pp.memoryEstimates[r]
	if m == nil {
		if pp.memoryEstimates == nil {
			pp.memoryEstimates = map[*replicas.Replica]*residency.MemoryEstimate{}
		}
		m = residency.New(pp.memoryTokens)
		pp.memoryEstimates[r] = m
	}
	for _, p := range parts {
		m.Touch(p.Key, p.Tokens)
	}
	if otherTokens > 0 {
		m.Touch(residency.Key(rand.Uint64()), otherTokens)
	}
}

// Prune drops the memory estimates of replicas that were removed or have restarted.
func (pp *PromptPlacer) Prune() {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	for r := range pp.memoryEstimates {
		if pp.Set.Get(r.Info().ID) != r {
			delete(pp.memoryEstimates, r)
		}
	}
}

// minHolders is the number of other replicas from which a part counts as shared. What is assumed of the holder
// of a part that one or two sessions use is often wrong, and a store that offers the part certainly has it.
const minHolders = 3

// recentShare is the share of its memory that a replica may have used since a part's last use for the part to count as held for certain.
// Estimates do not know of the memory that running requests keep.
const recentShare = 0.4

// busyLink is the wait for a store's link from which other replicas are the better source of shared parts: they may have evicted what they are
// assumed to hold, and what no source has is computed again.
const busyLink = 10 * time.Millisecond

// findHolder returns a replica on the same weights that is assumed to hold a part, preferably one in
// the same failure domain, and how many replicas hold it for certain, of which it need not count more than minHolders. It returns any of
// these, so that a part that many replicas fetch at the same time occupies the links of all its holders. If there are none, it returns any
// other that is assumed to hold the part.
func (pp *PromptPlacer) findHolder(key residency.Key, j *relay.Job, to *replicas.Replica, version uint64) (found *replicas.Replica, holders int) {
	now := time.Now()
	assigned := pp.Assigned(j.Service.ID)
	first := rand.IntN(len(assigned) + 1)
	near := false
	for n := range assigned {
		if near && holders >= minHolders {
			break
		}
		r := assigned[(first+n)%len(assigned)]
		m := pp.memoryEstimates[r]
		if r == to || m == nil || !m.Contains(key) || r.WeightsVersion(j.Model) != version || r.Health.BackingOff(now) {
			continue
		}
		isNear := r.Info().FailureDomain == to.Info().FailureDomain
		better := found == nil || isNear && !near
		switch {
		case m.ContainsRecent(key, recentShare):
			better = better || holders == 0
			holders++
		case holders > 0:
			continue
		}
		if better {
			found, near = r, isNear
		}
	}
	return found, holders
}

// setReplicaSources sets another replica as the source of parts that no context store provides, and of shared parts
// that the chosen replica is assumed to hold while their store's link is busy.
//
// A replica that has evicted such a part fetches it without a claim on a store's link. Under memory pressure
// all replicas evict the prefixes that prompts share at the same time; the link of one store would be saturated.
func (pp *PromptPlacer) setReplicaSources(meta *relay.AttemptMeta, j *relay.Job, offers []PartOffer, to *replicas.Replica) {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	for i, p := range j.Parts {
		key := partKey(meta.CacheSalt, p.ID)
		m := pp.memoryEstimates[to]
		resident := m != nil && m.Contains(key)
		if meta.FetchFrom[i] != "" && !resident {
			continue
		}
		from, holders := pp.findHolder(key, j, to, meta.WeightsVersion)
		if from == nil || meta.FetchFrom[i] != "" && (holders < minHolders || offers[i].QueueTime < busyLink) {
			continue
		}
		meta.FetchFrom[i] = from.Info().Address
	}
}

// residentOnAny reports for each part whether any usable replica is assumed to hold it.
func (pp *PromptPlacer) residentOnAny(j *relay.Job, salt string, usable []*replicas.Replica) []bool {
	pp.mu.Lock()
	defer pp.mu.Unlock()
	out := make([]bool, len(j.Parts))
	for i, p := range j.Parts {
		key := partKey(salt, p.ID)
		for _, r := range usable {
			if m := pp.memoryEstimates[r]; m != nil && m.Contains(key) {
				out[i] = true
				break
			}
		}
	}
	return out
}
