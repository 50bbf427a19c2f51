// Package pick selects the replica for a request by comparing the estimated cost of running it on
// each candidate.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package pick

import (
	"cmp"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pause"
)

// Costs holds the weights of the cost model. Costs are expressed as time.
type Costs struct {
	PrefillPerToken        time.Duration // compute time of one prompt token
	RecomputePenalty       time.Duration // added for each token that is recomputed
	CrossDomain            time.Duration // of sending a request to another failure domain
	PerRunningRequest      time.Duration // slowdown caused by each request that the replica runs
	Shortage               time.Duration // of lacking a whole replica's memory or batch slots
	ErrorRate              time.Duration // of an error rate of 1
	HeavyPromptOnReserved  time.Duration // of a heavy prompt on a replica reserved for long outputs
	LongOutputOnUnreserved time.Duration // of a long output on an unreserved replica
	LinkWeight             float64       // factor for the time that a fetch occupies a link and delays other fetches
	StaleWeights           time.Duration // of an answer from completely outdated weights (WeightStaleness 1)
	LongPause              time.Duration // of one stream that pauses for longer than its route allows
}

// DefaultCosts are the costs that the daemon uses.
var DefaultCosts = Costs{
	PrefillPerToken: time.Millisecond / 50, // current engines compute about 50 tokens per ms
	// Recomputing a token slows all requests that run on the replica. A penalty of 0.1 ms, five
	// times the compute cost, gives 10% less recomputation than 0.04 ms at the same waiting times.
	RecomputePenalty:       time.Millisecond / 10,
	CrossDomain:            12 * time.Millisecond, // cross-domain traffic is expensive: equals 600 tokens
	PerRunningRequest:      time.Millisecond,
	Shortage:               4 * time.Second, // a request without memory waits until other requests end
	ErrorRate:              3 * time.Second,
	HeavyPromptOnReserved:  80 * time.Millisecond,
	LongOutputOnUnreserved: 40 * time.Millisecond,
	// On a link that is 90% full, a fetch delays the fetches queued behind it by several times
	// its own duration. A replica near the context store occupies the store's link for half as long.
	LinkWeight:   3,
	StaleWeights: 600 * time.Millisecond,
	LongPause:    200 * time.Millisecond,
}

// Part describes a prompt part from the view of one replica.
type Part struct {
	Tokens         int
	Resident       bool          // the part is cached in the replica's memory
	FetchTime      time.Duration // time to fetch the part from elsewhere; zero: not available
	LinkTime       time.Duration // time within FetchTime during which the source's link is occupied
	ComputedBefore bool          // some replica has computed the part already; computing it again costs RecomputePenalty per token
}

// Speed is the measured speed of a replica. The zero value of a field means that it is not known. Costs use
// PrefillPerToken; the others are for logs and state dumps.
type Speed struct {
	PrefillPerToken time.Duration // compute time of one prompt token
	Step            time.Duration // time between two events of a stream without prefill beside it
	FirstEvent      time.Duration // time to the first event besides queueing and computing the prompt
}

// Candidate describes the state of one replica.
type Candidate struct {
	Speed              Speed
	Running, Slots     int
	KVUsed, KVCapacity int // tokens of KV cache, used and total
	QueuedPrefill      int // prompt tokens queued for prefill
	RecentPrefill      int // prompt tokens computed a moment ago
	Streams            int // streams in progress whose pauses are bounded
	SameDomain         bool
	ErrorRate          float64
	WeightStaleness    float64 // quality loss of an answer from the replica's weights, from 0 to 1
	// ReservedForLongOutput marks replicas that are reserved for requests with long outputs.
	ReservedForLongOutput bool
	Parts                 []Part
}

// Request describes the demand of a request, independent of the replica.
type Request struct {
	KVTokens   int  // KV cache size when the request ends
	TailTokens int  // prompt tokens after the last part
	LongOutput bool // the request generates a long output
	Stream     bool // the answer is a stream whose pauses are bounded
	// Pauses are the pauses of the service's streams, by the prefill work of their replica.
	Pauses pause.Curve
}

// heavyPromptTokens is the prompt length from which a prefill visibly pauses the streams on the
// same replica. The replica computes such a prompt in several chunks and generates only one token
// of each stream between two chunks.
const heavyPromptTokens = 2500

// Bounds of the share of replicas reserved for long outputs, and the memory utilization that is
// planned for these replicas.
const (
	minReservedShare = 0.15
	maxReservedShare = 0.6
	longMemoryFill   = 0.45
)

// LongOutputReplicas returns the number of replicas to reserve for requests with long outputs, given
// the total memory that these requests use. Streams on a replica that computes large prompts one
// after the other pause for several hundred ms; reserved replicas avoid these pauses.
func LongOutputReplicas(replicas, longTokens, memory int) int {
	if replicas <= 0 || memory <= 0 {
		return 0
	}
	share := float64(longTokens) / (longMemoryFill * float64(memory) * float64(replicas))
	return int(min(max(share, minReservedShare), maxReservedShare)*float64(replicas) + 0.5)
}

// Best returns the index of the cheapest candidate, or -1 if there is none.
func Best(costs Costs, r Request, candidates []Candidate) int {
	return cheapestOf(costs, r, candidates, func(int) bool { return true })
}

// cheapestOf returns the index of the cheapest included candidate, or -1 if there is none.
func cheapestOf(costs Costs, r Request, candidates []Candidate, include func(i int) bool) int {
	best, lowest := -1, time.Duration(0)
	for i := range candidates {
		if !include(i) {
			continue
		}
		cost := costs.totalCost(r, &candidates[i])
		if best < 0 || cost < lowest {
			best, lowest = i, cost
		}
	}
	return best
}

// sampleSize is the number of leading candidates that BestSampled always compares.
const sampleSize = 4

// BestSampled returns the index of the cheapest candidate of a sample. The sample consists of the
// first sampleSize candidates, which the caller has shuffled, the candidates that hold more of the
// prompt than the median, and the candidates whose fetches occupy links for less than the median.
//
// Daemons learn of each other's requests with a delay of about 60 ms. If each daemon chose the
// cheapest of all candidates, all daemons would choose the same replica during that time: nine
// daemons sent up to eleven prompts of 100 ms each to one replica while others were idle. For the
// same reason the sample is not extended if all replicas in it are busy.
func BestSampled(costs Costs, r Request, candidates []Candidate) int {
	if len(candidates) <= sampleSize {
		return Best(costs, r, candidates)
	}
	resident := make([]int, len(candidates))
	linkTime := make([]time.Duration, len(candidates))
	for i := range candidates {
		resident[i] = candidates[i].residentTokens()
		linkTime[i] = candidates[i].linkTime()
	}
	medianResident, medianLinkTime := median(resident), median(linkTime)
	return cheapestOf(costs, r, candidates, func(i int) bool {
		return i < sampleSize || resident[i] > medianResident || linkTime[i] < medianLinkTime
	})
}

// median returns the median of numbers, the upper one of two.
func median[N cmp.Ordered](numbers []N) N {
	sorted := slices.Sorted(slices.Values(numbers))
	return sorted[len(sorted)/2]
}

// linkTime returns the total time for which the candidate's fetches occupy links.
func (c *Candidate) linkTime() time.Duration {
	var sum time.Duration
	for _, p := range c.Parts {
		if !p.Resident {
			sum += p.LinkTime
		}
	}
	return sum
}

// residentTokens returns the length of the prompt prefix that is cached in the replica's memory.
func (c *Candidate) residentTokens() int {
	n := 0
	for _, p := range c.Parts {
		if !p.Resident {
			break
		}
		n += p.Tokens
	}
	return n
}

func (k Costs) totalCost(r Request, c *Candidate) time.Duration {
	k = k.At(c)
	cost := time.Duration(c.QueuedPrefill+r.TailTokens) * k.PrefillPerToken
	cost += k.partsCost(c.Parts)
	cost += time.Duration(c.Running) * k.PerRunningRequest
	cost += k.shortageCost(r, c)
	cost += k.pauseCost(r, c)
	cost += time.Duration(c.ErrorRate * float64(k.ErrorRate))
	if !c.SameDomain {
		cost += k.CrossDomain
	}
	switch {
	case r.LongOutput && !c.ReservedForLongOutput:
		cost += k.LongOutputOnUnreserved
	case !r.LongOutput && c.ReservedForLongOutput && k.TokensToCompute(r, c.Parts) > heavyPromptTokens:
		cost += k.HeavyPromptOnReserved
	}
	cost += time.Duration(c.WeightStaleness * float64(k.StaleWeights))
	return cost
}

// At returns the costs on a replica, whose speed may be known.
func (k Costs) At(c *Candidate) Costs {
	if c.Speed.PrefillPerToken > 0 {
		k.PrefillPerToken = c.Speed.PrefillPerToken
	}
	return k
}

// pauseCost returns the cost of the streams that would pause for too long if the replica also computed the
// request's prompt: of those in progress that would not without it, and of the request's own answer.
func (k Costs) pauseCost(r Request, c *Candidate) time.Duration {
	before := time.Duration(c.QueuedPrefill+c.RecentPrefill) * k.PrefillPerToken
	with := r.Pauses.TooLong(before + time.Duration(k.TokensToCompute(r, c.Parts))*k.PrefillPerToken)
	streams := float64(c.Streams) * (with - r.Pauses.TooLong(before))
	if r.Stream {
		streams += with
	}
	return time.Duration(streams * float64(k.LongPause))
}

// Source is the way in which a replica obtains a prompt part.
type Source int

// The sources of prompt parts.
const (
	Computed Source = iota // computed by prefill
	Resident               // cached in the replica's memory
	Fetched                // fetched over a link
)

// Sources returns the cheapest source of each part. A part can be reused only if all parts before
// it are resident or fetched; after a gap every part is computed.
func (k Costs) Sources(parts []Part) []Source {
	out := make([]Source, len(parts))
	for i, p := range parts {
		switch {
		case p.Resident:
			out[i] = Resident
		case k.WorthFetching(p):
			out[i] = Fetched
		default:
			return out
		}
	}
	return out
}

// WorthFetching reports whether fetching a part is possible and cheaper than computing it.
func (k Costs) WorthFetching(p Part) bool { return p.FetchTime > 0 && p.FetchTime < k.computeCost(p) }

// computeCost returns the cost of computing a part.
func (k Costs) computeCost(p Part) time.Duration {
	cost := time.Duration(p.Tokens) * k.PrefillPerToken
	if p.ComputedBefore {
		cost += time.Duration(p.Tokens) * k.RecomputePenalty
	}
	return cost
}

// ExpectedWait returns the time that a request would wait at the replica before its prefill begins:
// for queued prompts, memory and a batch slot.
func (k Costs) ExpectedWait(r Request, c *Candidate) time.Duration {
	k = k.At(c)
	return time.Duration(c.QueuedPrefill)*k.PrefillPerToken + k.shortageCost(r, c)
}

// partsCost returns the cost of bringing all parts into the replica's memory.
func (k Costs) partsCost(parts []Part) time.Duration {
	var cost time.Duration
	for i, source := range k.Sources(parts) {
		switch source {
		case Computed:
			cost += k.computeCost(parts[i])
		case Fetched:
			cost += parts[i].FetchTime + time.Duration(k.LinkWeight*float64(parts[i].LinkTime))
		}
	}
	return cost
}

// TokensToCompute returns the number of prompt tokens that a replica would have to compute.
func (k Costs) TokensToCompute(r Request, parts []Part) int {
	tokens := r.TailTokens
	for i, source := range k.Sources(parts) {
		if source == Computed {
			tokens += parts[i].Tokens
		}
	}
	return tokens
}

// shortageCost returns the cost of missing memory and missing batch slots.
func (k Costs) shortageCost(r Request, c *Candidate) time.Duration {
	var cost time.Duration
	if over := c.KVUsed + r.KVTokens - c.KVCapacity; c.KVCapacity > 0 && over > 0 {
		cost += time.Duration(float64(k.Shortage) * float64(over) / float64(c.KVCapacity))
	}
	if over := c.Running + 1 - c.Slots; c.Slots > 0 && over > 0 {
		cost += time.Duration(float64(k.Shortage) * float64(over) / float64(c.Slots))
	}
	return cost
}
