package speed

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
)

const (
	minPrefillTokens = 1000 // of a prompt that shows how fast prompts are computed
	maxShortPrompt   = 512  // tokens, with those queued, of one that shows the time to the first event besides
	maxQueueShare    = 0.25 // queued tokens as a share of the prompt's own
	maxFetchShare    = 0.2  // of the time to the first event that may be spent on fetches
	maxPeers         = 4    // peers whose reports on one replica are kept
)

// Attempt describes a stream that a replica completed.
type Attempt struct {
	Compute      int           // prompt tokens that the replica was expected to compute
	Queued       int           // prompt tokens queued at the replica when the attempt was placed
	Fetch        time.Duration // expected time of the fetches
	UnknownFetch bool          // parts were fetched whose time is not known
	Filled       float64       // share of the batch slots in use when the attempt was placed
	ToFirst      time.Duration // from sending to the first event; zero: not a measurement
	Step         time.Duration // between two events without prefill beside them; zero: not known
	StepFilled   float64       // share of the batch slots in use during Step
}

// profile is what is known of one replica.
type profile struct {
	service Service
	windows [fills][quantities]window
	peers   []peerSpeed // for batches that are not nearly full
	sent    speeds      // reported to peers last
	sentAt  time.Time

	// Derived from the samples by refresh.
	own         [fills]speeds          // medians of own samples
	counts      [fills][quantities]int // of own samples
	combined    [fills]speeds          // with what peers measured; zero if there are too few samples
	refreshedAt time.Time

	pace   Pace
	turned time.Time // when pace changed last
}

// peerSpeed is what one peer measured.
type peerSpeed struct {
	peer   string
	at     time.Time
	values speeds
}

// Observe records a completed stream.
func (p *Profiles) Observe(now time.Time, key Key, id Service, a Attempt) {
	r := p.profileOf(key, id)
	if r == nil {
		return
	}
	known := valuesOf(p.Of(now, key, id, a.Filled))
	at := fillOf(a.Filled)
	if a.showsPrefill() {
		p.services[id].line.add(point{tokens: a.Compute + a.Queued, took: a.ToFirst - a.Fetch})
		r.add(now, at, prefill, a.prefillPerToken(known[firstEvent]))
	}
	r.add(now, at, firstEvent, a.firstEvent(known[prefill]))
	r.add(now, fillOf(a.StepFilled), step, a.Step)
}

// add records a sample unless it is zero or not plausible.
func (r *profile) add(now time.Time, at fill, q quantity, value time.Duration) {
	if q.accepts(value) {
		r.windows[at][q].add(now, value)
		r.refreshedAt = time.Time{}
	}
}

// showsPrefill reports whether the time to the first event shows how fast prompts are computed.
func (a *Attempt) showsPrefill() bool {
	if a.Compute < minPrefillTokens || float64(a.Queued) > maxQueueShare*float64(a.Compute) || !a.shortFetch() {
		return false
	}
	return prefill.accepts(a.prefillPerToken(0))
}

// shortFetch reports whether the time of the fetches is known and a small part of the time to the first event.
func (a *Attempt) shortFetch() bool {
	return !a.UnknownFetch && float64(a.Fetch) <= maxFetchShare*float64(a.ToFirst)
}

// prefillPerToken returns the time to compute one prompt token.
func (a *Attempt) prefillPerToken(firstEvent time.Duration) time.Duration {
	computing := a.ToFirst - a.Fetch - min(firstEvent, a.ToFirst/2)
	return computing / time.Duration(a.Compute+a.Queued)
}

// firstEvent returns the time to the first event besides computing the prompt, zero if the attempt doesn't
// show it.
func (a *Attempt) firstEvent(prefillPerToken time.Duration) time.Duration {
	tokens := a.Compute + a.Queued
	if tokens > maxShortPrompt || !a.shortFetch() {
		return 0
	}
	if prefillPerToken == 0 {
		prefillPerToken = pick.DefaultCosts.PrefillPerToken
	}
	return a.ToFirst - a.Fetch - time.Duration(tokens)*prefillPerToken
}

// Report records the speed that a peer measured. It drops values that are not plausible.
func (p *Profiles) Report(now time.Time, key Key, id Service, peer string, reported pick.Speed) {
	values, usable := valuesOf(reported), false
	for q := range quantities {
		if !q.accepts(values[q]) {
			values[q] = 0
			continue
		}
		usable = true
	}
	if !usable {
		return
	}
	if r := p.profileOf(key, id); r != nil {
		r.report(peerSpeed{peer: peer, at: now, values: values})
	}
}

// report replaces what a peer reported before, or else the oldest report.
func (r *profile) report(s peerSpeed) {
	n := slices.IndexFunc(r.peers, func(o peerSpeed) bool { return o.peer == s.peer })
	if n < 0 && len(r.peers) == maxPeers {
		n = 0
	}
	if n >= 0 {
		r.peers = slices.Delete(r.peers, n, n+1)
	}
	r.peers = append(r.peers, s)
	r.refreshedAt = time.Time{}
}

// refresh computes the medians if they are out of date.
func (r *profile) refresh(now time.Time) {
	if !r.refreshedAt.IsZero() && now.Sub(r.refreshedAt) < cacheTTL {
		return
	}
	r.refreshedAt = now
	for at := range fills {
		for q := range quantities {
			r.own[at][q], r.combined[at][q], r.counts[at][q] = r.medians(now, at, q)
		}
	}
}

// medians returns the median of the own samples, that of all values in which an own sample counts twice
// and a peer's value once, and the number of own samples.
func (r *profile) medians(now time.Time, at fill, q quantity) (own, combined time.Duration, n int) {
	var buffer [2*windowSize + maxPeers]time.Duration
	values := r.windows[at][q].values(now, buffer[:0])
	n = len(values)
	own = median(values)
	values = append(values, values...)
	for _, s := range r.peers {
		if at == partlyFull && s.values[q] > 0 && now.Sub(s.at) <= sampleTTL {
			values = append(values, s.values[q])
		}
	}
	if n < minSamples && len(values) == 2*n {
		return own, 0, n
	}
	return own, median(values), n
}

// expired reports whether nothing of the replica counts any more.
func (r *profile) expired(now time.Time) bool {
	for at := range fills {
		for q := range quantities {
			if !r.windows[at][q].expired(now) {
				return false
			}
		}
	}
	return !slices.ContainsFunc(r.peers, func(s peerSpeed) bool { return now.Sub(s.at) <= sampleTTL })
}
