package replicas

import (
	"sync"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// peerLoadAge is how long a peer's word on its load counts. Peers tell several times a
// second; one that fell silent has died or is cut off.
const peerLoadAge = time.Second

// Work is what a set of requests asks of a replica.
type Work struct {
	Requests   int
	Tokens     int // KV cache that they hold or will hold
	Prefill    int // prompt tokens that are still to be computed
	LongTokens int // of Tokens, those of requests with long answers
}

func (w *Work) add(o Work) {
	w.Requests += o.Requests
	w.Tokens += o.Tokens
	w.Prefill += o.Prefill
	w.LongTokens += o.LongTokens
}

type peerWork struct {
	work Work
	at   time.Time
}

// Load is what a replica carries, as far as daemons know. It is safe for concurrent use.
type Load struct {
	mu    sync.Mutex
	own   Work
	peers map[request.DaemonID]peerWork
}

// Own returns what this daemon has in flight at the replica.
func (l *Load) Own() Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.own
}

// Total adds what peers said lately.
func (l *Load) Total(now time.Time) Work {
	l.mu.Lock()
	defer l.mu.Unlock()
	total := l.own
	for id, p := range l.peers {
		if now.Sub(p.at) > peerLoadAge {
			delete(l.peers, id)
			continue
		}
		total.add(p.work)
	}
	return total
}

// SetPeer notes what a peer has in flight.
func (l *Load) SetPeer(now time.Time, peer request.DaemonID, w Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.peers == nil {
		l.peers = map[request.DaemonID]peerWork{}
	}
	l.peers[peer] = peerWork{work: w, at: now}
}

// Flight is one request at a replica.
type Flight struct {
	load *Load
	mu   sync.Mutex
	work Work
}

// Begin counts a request until the flight's End.
func (l *Load) Begin(tokens, prefill int) *Flight {
	return l.begin(Work{Requests: 1, Tokens: tokens, Prefill: prefill})
}

// BeginLongOutput is Begin for a request with a long answer.
func (l *Load) BeginLongOutput(tokens, prefill int) *Flight {
	return l.begin(Work{Requests: 1, Tokens: tokens, Prefill: prefill, LongTokens: tokens})
}

func (l *Load) begin(w Work) *Flight {
	l.mu.Lock()
	l.own.add(w)
	l.mu.Unlock()
	return &Flight{load: l, work: w}
}

// Computed says that the prompt has been computed: the first token came.
func (f *Flight) Computed() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.take(Work{Prefill: f.work.Prefill})
	f.work.Prefill = 0
}

// End says that the request left the replica. It may be called more than once.
func (f *Flight) End() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.load.take(f.work)
	f.work = Work{}
}

func (l *Load) take(w Work) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.own.add(Work{Requests: -w.Requests, Tokens: -w.Tokens, Prefill: -w.Prefill, LongTokens: -w.LongTokens})
}
