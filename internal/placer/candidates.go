package placer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/policy/residency"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// candidate returns the state of a replica, without the parts of the prompt.
func (pp *PromptPlacer) candidate(now time.Time, j *relay.Job, r *replicas.Replica) pick.Candidate {
	load := r.Load.Total(now)
	return pick.Candidate{
		Speed:   pp.Speeds.Of(now, r, load, j.Service.Engine),
		Running: load.Requests, Slots: j.Service.Engine.Slots,
		KVUsed: load.Tokens, KVCapacity: j.Service.Engine.MemoryTokens, QueuedPrefill: load.Prefill,
		RecentPrefill: r.Load.RecentPrefill(now), Streams: load.Streams,
		SameDomain: r.Info().FailureDomain == pp.Domain, ErrorRate: r.Health.ErrorRate(),
		WeightStaleness: pp.weightsPenalty(j.Model, r.WeightsVersion(j.Model)),
	}
}

func (pp *PromptPlacer) candidates(j *relay.Job, usable []*replicas.Replica, salt string, offers []PartOffer) []pick.Candidate {
	now := time.Now()
	pp.mu.Lock()
	defer pp.mu.Unlock()
	out := make([]pick.Candidate, len(usable))
	longOutput := pp.longOutputReplicas(j.Service, now)
	for i, r := range usable {
		version := r.WeightsVersion(j.Model)
		out[i] = pp.candidate(now, j, r)
		out[i].ReservedForLongOutput = longOutput[r.Info().ID]
		out[i].Parts = pp.partsAt(j, r, salt, pp.CacheSalt(j.Model, version, j.Org) == salt, offers)
	}
	return out
}

func (pp *PromptPlacer) partsAt(j *relay.Job, r *replicas.Replica, salt string, sameSalt bool, offers []PartOffer) []pick.Part {
	info := r.Info()
	m := pp.memoryEstimates[r]
	parts := make([]pick.Part, len(j.Parts))
	for i, p := range j.Parts {
		parts[i] = pick.Part{Tokens: p.Tokens, ComputedBefore: offers[i].Fetch}
		if !sameSalt {
			continue
		}
		parts[i].Resident = m != nil && m.Contains(partKey(salt, p.ID))
		if offers[i].Fetch {
			parts[i].LinkTime = offers[i].FetchTime - offers[i].QueueTime
			if offers[i].FailureDomain != info.FailureDomain {
				parts[i].LinkTime *= crossDomainFactor
			}
			parts[i].FetchTime = offers[i].QueueTime + parts[i].LinkTime
		}
	}
	return parts
}

// longOutputReplicas returns the replicas of a service that are reserved for requests with long
// outputs: the first ones in an order that is the same on all daemons.
func (pp *PromptPlacer) longOutputReplicas(service *routing.Service, now time.Time) map[request.TargetID]bool {
	all := slices.Clone(pp.Assigned(service.ID))
	long := 0
	for _, r := range all {
		long += r.Load.Total(now).LongTokens
	}
	n := pick.LongOutputReplicas(len(all), long, service.Engine.MemoryTokens)
	slices.SortFunc(all, func(a, b *replicas.Replica) int {
		return cmp.Compare(xxhash.Sum64String(string(a.Info().ID)), xxhash.Sum64String(string(b.Info().ID)))
	})
	out := make(map[request.TargetID]bool, n)
	for _, r := range all[:min(n, len(all))] {
		out[r.Info().ID] = true
	}
	return out
}

// withUsableWeights filters out replicas whose weights were replaced too long ago. Without another
// replica the caller is told to retry rather than answered on outdated weights.
func (pp *PromptPlacer) withUsableWeights(from []*replicas.Replica, m request.Model) []*replicas.Replica {
	var fit []*replicas.Replica
	for _, r := range from {
		if pp.hasUsableWeights(r, m) {
			fit = append(fit, r)
		}
	}
	return fit
}

// hasUsableWeights reports whether a replica serves weights of a model that were not replaced too long ago.
func (pp *PromptPlacer) hasUsableWeights(r *replicas.Replica, m request.Model) bool {
	version := r.WeightsVersion(m)
	since, outdated := pp.OutdatedSince(m, version)
	return version != 0 && (!outdated || pp.OldWeightsUsableFor <= 0 || time.Since(since) <= pp.OldWeightsUsableFor)
}

// newestVersion returns the newest version of a model's weights that any of the replicas serves. An entry alone does not show that
// there is a replica, so that those that were never reached count only if none was.
func newestVersion(from []*replicas.Replica, m request.Model) uint64 {
	var proven, listed uint64
	for _, r := range from {
		version := r.WeightsVersion(m)
		listed = max(listed, version)
		if r.Proven() {
			proven = max(proven, version)
		}
	}
	if proven > 0 {
		return proven
	}
	return listed
}

// weightsPenalty returns the quality loss, from 0 to 1, that the cost of an answer on a version of the
// weights includes.
func (pp *PromptPlacer) weightsPenalty(m request.Model, version uint64) float64 {
	if _, outdated := pp.OutdatedSince(m, version); outdated {
		return outdatedPenalty
	}
	return 0
}

// beginBy returns when an answer on a version of the weights must have begun, zero without a bound.
func (pp *PromptPlacer) beginBy(m request.Model, version uint64) time.Time {
	since, outdated := pp.OutdatedSince(m, version)
	if !outdated || pp.OldWeightsBeginWithin <= 0 {
		return time.Time{}
	}
	return since.Add(pp.OldWeightsBeginWithin)
}

func partKey(salt, id string) residency.Key {
	return residency.Key(xxhash.Sum64String(salt + "/" + id))
}

func (pp *PromptPlacer) pickRequest(j *relay.Job) pick.Request {
	fresh := j.PromptTokens
	for _, p := range j.Parts {
		fresh -= p.Tokens
	}
	output := pp.expectedOutput(j)
	return pick.Request{
		KVTokens: j.PromptTokens + output, TailTokens: max(0, fresh), LongOutput: output > longOutputTokens,
		Stream: j.Route.MaxEventGap > 0, Pauses: pp.pauseCurve(j.Service),
	}
}
