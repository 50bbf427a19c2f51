package placer

import (
	"math/rand/v2"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/residency"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
)

// announcePlacement records that a replica will hold the parts of a prompt, and notifies peers.
func (e *PromptPlacer) announcePlacement(r *replicas.Replica, j *relay.Job, salt string) {
	parts := make([]PlacedPart, len(j.Parts))
	other := j.PromptTokens + e.expectedOutput(j)
	for i, p := range j.Parts {
		parts[i] = PlacedPart{Key: partKey(salt, p.ID), Tokens: p.Tokens}
		other -= p.Tokens
	}
	e.setMemoryTokens(j.Service.Engine.MemoryTokens)
	e.RecordPlacement(r, parts, max(0, other))
	if e.OnPlaced != nil {
		e.OnPlaced(r, parts, max(0, other))
	}
}

func (e *PromptPlacer) setMemoryTokens(tokens int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.memoryTokens = tokens
}

// RecordPlacement records what is added to a replica's memory: parts, and other tokens, which are never
// requested again but use capacity until they are evicted.
func (e *PromptPlacer) RecordPlacement(r *replicas.Replica, parts []PlacedPart, other int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.memoryTokens == 0 {
		return // this daemon has not placed any prompt yet
	}
	m := e.models[r]
	if m == nil {
		if e.models == nil {
			e.models = map[*replicas.Replica]*residency.MemoryEstimate{}
		}
		m = residency.New(e.memoryTokens)
		e.models[r] = m
	}
	for _, p := range parts {
		m.Touch(p.Key, p.Tokens)
	}
	if other > 0 {
		m.Touch(residency.Key(rand.Uint64()), other)
	}
}

// Prune drops the models of replicas that were removed or have restarted.
func (e *PromptPlacer) Prune() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for r := range e.models {
		if e.Set.Get(r.Info().ID) != r {
			delete(e.models, r)
		}
	}
}

// findHolder returns a replica on the same weights that is assumed to hold a part, preferably one in
// the same failure domain.
func (e *PromptPlacer) findHolder(key residency.Key, j *relay.Job, to *replicas.Replica, version uint64) *replicas.Replica {
	var found *replicas.Replica
	now := time.Now()
	for _, r := range e.Assigned(j.Service.ID) {
		m := e.models[r]
		if r == to || m == nil || !m.Contains(key) || r.Weights(j.Model) != version || r.Health.BackingOff(now) {
			continue
		}
		if r.Info().FailureDomain == to.Info().FailureDomain {
			return r
		}
		found = r
	}
	return found
}

// setReplicaSources sets another replica as the source of parts that no store provides.
func (e *PromptPlacer) setReplicaSources(send *relay.AttemptMeta, j *relay.Job, to *replicas.Replica) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, p := range j.Parts {
		if send.FetchFrom[i] != "" {
			continue
		}
		key := partKey(send.CacheSalt, p.ID)
		if m := e.models[to]; m != nil && m.Contains(key) {
			continue
		}
		if from := e.findHolder(key, j, to, send.Weights); from != nil {
			send.FetchFrom[i] = from.Info().Address
		}
	}
}

// residentOnAny reports for each part whether any usable replica is assumed to hold it.
func (e *PromptPlacer) residentOnAny(j *relay.Job, salt string, usable []*replicas.Replica) []bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make([]bool, len(j.Parts))
	for i, p := range j.Parts {
		key := partKey(salt, p.ID)
		for _, r := range usable {
			if m := e.models[r]; m != nil && m.Contains(key) {
				out[i] = true
				break
			}
		}
	}
	return out
}
