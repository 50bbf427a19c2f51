package replicas

import (
	"math"
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// peerLoadTTL is how long a peer's reported load counts. Peers report several times a second; a peer
// without reports has died or is partitioned.
const peerLoadTTL = time.Second

// Work is the load that a set of requests puts on a replica.
type Work struct {
	Requests   int
	Tokens     int // KV cache that the requests hold or will hold
	Prefill    int // prompt tokens still to be computed
	LongTokens int // the part of Tokens that belongs to requests with long outputs
	Streams    int // streams in progress whose route bounds the time between two events
}

func (w *Work) add(o Work) {
	w.Requests += o.Requests
	w.Tokens += o.Tokens
	w.Prefill += o.Prefill
	w.LongTokens += o.LongTokens
	w.Streams += o.Streams
}

// frees reports whether a change of work leaves a replica with more room.
func (w Work) frees() bool { return w.Requests < 0 || w.Tokens < 0 || w.Prefill < 0 }

// minus returns the change from o to w.
func (w Work) minus(o Work) Work {
	return Work{
		Requests: w.Requests - o.Requests, Tokens: w.Tokens - o.Tokens, Prefill: w.Prefill - o.Prefill,
		LongTokens: w.LongTokens - o.LongTokens, Streams: w.Streams - o.Streams,
	}
}

type peerWork struct {
	work Work
	at   time.Time
}

// Load is the known load of a replica. It is safe for concurrent use.
type Load struct {
	replica *Replica // it tracks whether there is own work; nil: it need not

	mu  sync.Mutex
	own Work
	// computedTokens is the decayed number of prompt tokens whose computation has ended, as of computedAt.
	computedTokens float64
	computedAt     time.Time
	peers          map[request.DaemonID]peerWork
}

// Own returns the work that this daemon has in flight at the replica.
func (l *Load) Own() Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own
}

// Total returns the work of this daemon and the recently reported work of its peers.
func (l *Load) Total(now time.Time) Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.own
	for id, p := range l.peers {
		if now.Sub(p.at) > peerLoadTTL {
			delete(l.peers, id)
			continue
		}
		total.add(p.work)
	}
	return total
}

// recentPrefillHalfLife is the half-life of the prompt tokens that count as recently computed. Prompts
// that were computed in the time of one pause of a stream made that pause longer.
const recentPrefillHalfLife = 250 * time.Millisecond

// computed records that a prompt of this daemon has been computed.
func (l *Load) computed(tokens int) {
	l.mu.Lock()
	l.recordComputed(time.Now(), tokens)
	l.mu.Unlock()
	l.subtract(Work{Prefill: tokens})
}

// recordComputed records that a number of prompt tokens are no longer to be computed, if it is positive.
func (l *Load) recordComputed(now time.Time, tokens int) {
	if tokens <= 0 {
		return
	}
	l.computedTokens = l.recentPrefill(now) + float64(tokens)
	l.computedAt = now
}

func (l *Load) recentPrefill(now time.Time) float64 {
	age := max(0, now.Sub(l.computedAt))
	return l.computedTokens * math.Exp2(-age.Seconds()/recentPrefillHalfLife.Seconds())
}

// RecentPrefill returns the number of prompt tokens that the replica computed a moment ago, decayed by
// their age.
func (l *Load) RecentPrefill(now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return int(l.recentPrefill(now))
}

// SetPeer records the work that a peer has in flight.
func (l *Load) SetPeer(now time.Time, peer request.DaemonID, w Work) {
	if l.setPeer(now, peer, w).frees() && l.replica != nil {
		l.replica.listeners.room(l.replica)
	}
}

// setPeer records the work of a peer and returns the change.
func (l *Load) setPeer(now time.Time, peer request.DaemonID, w Work) Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[request.DaemonID]peerWork{}
	}
	before := l.peers[peer].work
	l.recordComputed(now, before.Prefill-w.Prefill) // or its request ended early, which peers do not report
	l.peers[peer] = peerWork{work: w, at: now}
	return w.minus(before)
}

// Flight is one request at a replica.
type Flight struct {
	load *Load
	mu   sync.Mutex
	work Work
}

// Begin counts a request as in flight until Flight.End.
func (l *Load) Begin(tokens, prefill int) *Flight {
	return l.BeginWork(Work{Requests: 1, Tokens: tokens, Prefill: prefill})
}

// BeginWork is Begin for any work.
func (l *Load) BeginWork(w Work) *Flight {
	l.addOwn(w)
	return &Flight{load: l, work: w}
}

// addOwn changes the work of this daemon.
func (l *Load) addOwn(w Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.own
	l.own.add(w)
	if l.replica == nil || l.own == before {
		return
	}
	switch (Work{}) {
	case l.own:
		l.replica.tracked.loaded.remove(l.replica)
	case before:
		l.replica.tracked.loaded.add(l.replica)
	}
	l.replica.listeners.ownWork()
	if w.frees() {
		l.replica.listeners.room(l.replica)
	}
}

// Computed records that the prompt has been computed, because the first token arrived.
func (f *Flight) Computed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.computed(f.work.Prefill)
	f.work.Prefill = 0
}

// End records that the request no longer runs at the replica. It may be called more than once.
func (f *Flight) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.subtract(f.work)
	f.work = Work{}
}

func (l *Load) subtract(w Work) {
	l.addOwn(Work{}.minus(w))
}
