// Package pick chooses the replica for one request from what is known of each.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package pick

import (
	"cmp"
	"slices"
	"time"
)

// Costs are the prices of what a replica would have to do, as time.
type Costs struct {
	PrefillPerToken        time.Duration // to compute one prompt token
	RecomputePenalty       time.Duration // for each token that is computed although it was computed before
	CrossDomain            time.Duration // for sending a request to another failure domain
	PerRunningRequest      time.Duration // by which each running request slows the others
	Shortage               time.Duration // of a replica-sized shortage of memory
	ErrorRate              time.Duration // of an error rate of one
	HeavyPromptOnReserved  time.Duration // of a heavy prompt at a replica set apart for long answers
	LongOutputOnUnreserved time.Duration // of a long answer at one of the others
	LinkWeight             float64       // of the time that a fetch takes of a link, which others wait for
	StaleWeights           time.Duration // of an answer on weights that are worth nothing any more
}

// DefaultCosts are the costs that the daemon uses.
var DefaultCosts = Costs{
	PrefillPerToken: time.Millisecond / 50, // engines of today compute about 50 tokens a ms
	// Computing a token twice takes its time from all that run beside it: with a tenth of a
	// millisecond, five times its own cost, a tenth less is computed again than with a 25th,
	// and nobody waits longer.
	RecomputePenalty:       time.Millisecond / 10,
	CrossDomain:            12 * time.Millisecond, // its bytes are dear: as much as 600 tokens
	PerRunningRequest:      time.Millisecond,
	Shortage:               4 * time.Second, // a request that finds no memory waits for others to end
	ErrorRate:              3 * time.Second,
	HeavyPromptOnReserved:  80 * time.Millisecond,
	LongOutputOnUnreserved: 40 * time.Millisecond,
	// A link that is nine tenths full makes all behind a fetch wait, for several times as long
	// as it takes. Replicas near a store take its link for half as long.
	LinkWeight:   3,
	StaleWeights: 600 * time.Millisecond,
}

// Part is a part of the prompt as one replica would get it.
type Part struct {
	Tokens         int
	Resident       bool          // it lies in the replica's memory
	FetchTime      time.Duration // to bring it from elsewhere; zero: nowhere to be had
	LinkTime       time.Duration // of it, that the link from there is taken
	ComputedBefore bool          // it was computed before, so that computing it again is waste
}

// Candidate is one replica.
type Candidate struct {
	Running, Slots     int
	KVUsed, KVCapacity int // KV cache taken, and all there is
	QueuedPrefill      int // prompt tokens waiting to be computed
	SameDomain         bool
	ErrorRate          float64
	WeightStaleness    float64 // what an answer on its weights has lost, from 0 to 1
	// ReservedForLongOutput marks the replicas that are set apart for long answers.
	ReservedForLongOutput bool
	Parts                 []Part
}

// Request is what the request asks of a replica, whichever it is.
type Request struct {
	KVTokens   int  // KV cache at its end
	TailTokens int  // prompt tokens beyond its parts
	LongOutput bool // its answer runs for long
}

// heavyPrompt is the number of tokens from which computing a prompt makes the streams
// beside it pause: it is computed in several pieces, with one token of each stream between
// two of them.
const heavyPrompt = 2500

// The share of replicas set apart for long answers, and the part of their memory that these
// are to take.
const (
	minLongShare = 0.15
	maxLongShare = 0.6
	longFill     = 0.45
)

// LongOutputReplicas returns how many of some replicas are to be set apart for long answers, by
// the memory that these take in all. A stream whose replica computes one large prompt
// after the other has pauses of several hundred ms; apart from them it has none.
func LongOutputReplicas(replicas, longTokens, memory int) int {
	if memory <= 0 {
		return 0
	}
	share := float64(longTokens) / (longFill * float64(memory) * float64(replicas))
	return int(min(max(share, minLongShare), maxLongShare)*float64(replicas) + 0.5)
}

// Best returns the index of the cheapest candidate, -1 if there is none.
func Best(costs Costs, r Request, candidates []Candidate) int {
	return cheapest(costs, r, candidates, func(int) bool { return true })
}

// cheapest returns the index of the cheapest candidate of those to be looked at, -1 if there
// is none.
func cheapest(costs Costs, r Request, candidates []Candidate, look func(i int) bool) int {
	best, least := -1, time.Duration(0)
	for i := range candidates {
		if !look(i) {
			continue
		}
		cost := costs.of(r, &candidates[i])
		if best < 0 || cost < least {
			best, least = i, cost
		}
	}
	return best
}

// sampleSize is the number of candidates of which Sampled takes the cheapest.
const sampleSize = 4

// BestSampled returns the index of the cheapest of a few candidates: the first ones, which the
// caller has put in random order, those that hold more of the prompt than most, and those that
// are nearer to what they would fetch.
//
// Daemons know of each other's requests some 60 ms late. Were each to take the cheapest of
// all, they would all take the same replica in that time: nine of them sent it up to eleven
// prompts at once, each of which took 100 ms, with others idle beside it. For the same reason
// the others are not looked at if all of the sample have much to do.
func BestSampled(costs Costs, r Request, candidates []Candidate) int {
	if len(candidates) <= sampleSize {
		return Best(costs, r, candidates)
	}
	held := make([]int, len(candidates))
	link := make([]time.Duration, len(candidates))
	for i := range candidates {
		held[i] = candidates[i].resident()
		link[i] = candidates[i].link()
	}
	usualHeld, usualLink := median(held), median(link)
	return cheapest(costs, r, candidates, func(i int) bool {
		return i < sampleSize || held[i] > usualHeld || link[i] < usualLink
	})
}

// median returns the middle one of some numbers, the upper one of two.
func median[N cmp.Ordered](numbers []N) N {
	sorted := slices.Sorted(slices.Values(numbers))
	return sorted[len(sorted)/2]
}

// link returns how long the candidate's fetches take of links.
func (c *Candidate) link() time.Duration {
	var sum time.Duration
	for _, p := range c.Parts {
		if !p.Resident {
			sum += p.LinkTime
		}
	}
	return sum
}

// resident returns how many of the prompt's first tokens lie in the replica's memory.
func (c *Candidate) resident() int {
	n := 0
	for _, p := range c.Parts {
		if !p.Resident {
			break
		}
		n += p.Tokens
	}
	return n
}

func (k Costs) of(r Request, c *Candidate) time.Duration {
	cost := time.Duration(c.QueuedPrefill+r.TailTokens) * k.PrefillPerToken
	cost += k.bring(c.Parts)
	cost += time.Duration(c.Running) * k.PerRunningRequest
	cost += k.shortage(r, c)
	cost += time.Duration(c.ErrorRate * float64(k.ErrorRate))
	if !c.SameDomain {
		cost += k.CrossDomain
	}
	switch {
	case r.LongOutput && !c.ReservedForLongOutput:
		cost += k.LongOutputOnUnreserved
	case !r.LongOutput && c.ReservedForLongOutput && k.TokensToCompute(r, c.Parts) > heavyPrompt:
		cost += k.HeavyPromptOnReserved
	}
	cost += time.Duration(c.WeightStaleness * float64(k.StaleWeights))
	return cost
}

// Source says how a replica comes by a part of a prompt.
type Source int

// The sources of parts.
const (
	Computed Source = iota // prefill
	Resident               // it lies in the replica's memory
	Fetched                // it comes over a link
)

// Sources returns how a replica would best come by each part. A part counts as there only
// if all before it are there, or come: after a gap all is computed.
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

// WorthFetching reports whether a part can be had from elsewhere at less than what it costs to
// compute it.
func (k Costs) WorthFetching(p Part) bool { return p.FetchTime > 0 && p.FetchTime < k.compute(p) }

// compute returns the cost of computing a part.
func (k Costs) compute(p Part) time.Duration {
	cost := time.Duration(p.Tokens) * k.PrefillPerToken
	if p.ComputedBefore {
		cost += time.Duration(p.Tokens) * k.RecomputePenalty
	}
	return cost
}

// ExpectedWait returns how long a request would wait before the replica begins with it: for the
// prompts before it, and for memory and a place.
func (k Costs) ExpectedWait(r Request, c *Candidate) time.Duration {
	return time.Duration(c.QueuedPrefill)*k.PrefillPerToken + k.shortage(r, c)
}

// bring returns what it costs to have all parts in the replica's memory.
func (k Costs) bring(parts []Part) time.Duration {
	var cost time.Duration
	for i, source := range k.Sources(parts) {
		switch source {
		case Computed:
			cost += k.compute(parts[i])
		case Fetched:
			cost += parts[i].FetchTime + time.Duration(k.LinkWeight*float64(parts[i].LinkTime))
		}
	}
	return cost
}

// TokensToCompute returns the tokens of a prompt that a replica would have to compute.
func (k Costs) TokensToCompute(r Request, parts []Part) int {
	tokens := r.TailTokens
	for i, source := range k.Sources(parts) {
		if source == Computed {
			tokens += parts[i].Tokens
		}
	}
	return tokens
}

// shortage returns the price of what does not fit: memory, and places in the batch.
func (k Costs) shortage(r Request, c *Candidate) time.Duration {
	var cost time.Duration
	if over := c.KVUsed + r.KVTokens - c.KVCapacity; c.KVCapacity > 0 && over > 0 {
		cost += time.Duration(float64(k.Shortage) * float64(over) / float64(c.KVCapacity))
	}
	if over := c.Running + 1 - c.Slots; c.Slots > 0 && over > 0 {
		cost += time.Duration(float64(k.Shortage) * float64(over) / float64(c.Slots))
	}
	return cost
}
