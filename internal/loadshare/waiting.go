package loadshare

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/policy/waitroom"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// NeedAfter is how long a request waits until its group counts as in need of its room. Shorter waits occur at any load.
const NeedAfter = 100 * time.Millisecond

const (
	maxWaiting = 32 // services and priorities in one datagram, up to 30 bytes each
	// waitingTTL is how long a peer's waiting demand counts. What waits is reported more often.
	waitingTTL = time.Second
	// maxWaitingPriority is the least urgent priority.
	maxWaitingPriority = waitroom.Priorities - 1
	// maxWaitingRequests bounds what a peer may report; a daemon can't hold more.
	maxWaitingRequests = 1 << 20
	// maxWaitingTokens bounds the prompt tokens that are reported of one priority.
	maxWaitingTokens = 1 << 30
	// maxWaitingEntries bounds what is kept of all peers.
	maxWaitingEntries = 1024
)

// Demand is what waits for room at the replicas of a service, of one priority.
type Demand struct {
	Service  routing.ServiceID
	Priority int // 0 is the most urgent
	Requests int
	Tokens   int  // prompt tokens that are to be computed
	Lasting  bool // one of the requests has waited for longer than NeedAfter
	Borrowed bool // the daemon has lately used replicas of another group; set in one of a service's lines
}

// demandKey identifies a line of waiting requests in datagrams.
type demandKey struct {
	service  ServiceHash
	priority int32
}

// waitingReport keeps track of what peers know of this daemon's waiting demand.
type waitingReport struct {
	reported map[demandKey]*Waiting
}

// next returns what a datagram says about waiting demand: all of it if full is set, otherwise the changes. A line
// that has ended is reported once without requests.
func (w *waitingReport) next(demand []Demand, full bool) []*Waiting {
	current := make(map[demandKey]*Waiting, len(demand))
	var out []*Waiting
	for _, d := range demand[:min(len(demand), maxWaiting)] {
		m := &Waiting{
			Service: uint64(HashService(d.Service)), Priority: int32(d.Priority),
			Requests: int32(min(d.Requests, maxWaitingRequests)), Tokens: int32(min(d.Tokens, maxWaitingTokens)),
			Lasting: d.Lasting, Borrowed: d.Borrowed,
		}
		key := m.key()
		current[key] = m
		if full || !proto.Equal(m, w.reported[key]) {
			out = append(out, m)
		}
	}
	for key := range w.reported {
		if current[key] == nil {
			out = append(out, &Waiting{Service: uint64(key.service), Priority: key.priority})
		}
	}
	w.reported = current
	return out
}

// nextWaiting returns what the next datagram says about waiting demand. The caller holds the lock.
func (s *Reporter) nextWaiting(now time.Time, backlog []Demand) []*Waiting {
	full := now.Sub(s.lastWaiting) >= fullReportInterval-reportSlack
	if full {
		s.lastWaiting = now
	}
	return s.waiting.next(backlog, full)
}

func (w *Waiting) key() demandKey {
	return demandKey{service: ServiceHash(w.Service), priority: w.Priority}
}

// validate returns an error that names the first field with an impossible number.
func (w *Waiting) validate() error {
	for _, field := range []struct {
		name           string
		value, maximum int32
	}{
		{"priority", w.Priority, maxWaitingPriority}, {"requests", w.Requests, maxWaitingRequests}, {"tokens", w.Tokens, maxWaitingTokens},
	} {
		if field.value < 0 || field.value > field.maximum {
			return errors.Newf("loadshare: %s is %d, want 0 to %d", field.name, field.value, field.maximum)
		}
	}
	return nil
}

// peerDemand is what waits at the peers of this daemon. It is safe for concurrent use.
type peerDemand struct {
	badLog rate.Sometimes

	mu    sync.Mutex
	lines map[peerLine]reportedLine
}

type peerLine struct {
	peer request.DaemonID
	demandKey
}

type reportedLine struct {
	requests, tokens  int
	lasting, borrowed bool
	at                time.Time
}

// applyWaiting records what a peer reported.
func (s *Reporter) applyWaiting(now time.Time, r *Report) {
	for _, w := range r.Waiting[:min(len(r.Waiting), maxWaiting)] {
		if err := w.validate(); err != nil {
			s.peerDemand.badLog.Do(func() { s.o.Logger.Warn("Ignoring what waits at a peer", "from", r.From, "error", err) })
			continue
		}
		s.peerDemand.record(now, request.DaemonID(r.From), w)
	}
}

func (p *peerDemand) record(now time.Time, peer request.DaemonID, w *Waiting) {
	p.mu.Lock()
	defer p.mu.Unlock()
	line := peerLine{peer: peer, demandKey: w.key()}
	if w.Requests == 0 && !w.Borrowed {
		delete(p.lines, line)
		return
	}
	if _, known := p.lines[line]; !known && len(p.lines) >= maxWaitingEntries {
		return
	}
	if p.lines == nil {
		p.lines = map[peerLine]reportedLine{}
	}
	p.lines[line] = reportedLine{requests: int(w.Requests), tokens: int(w.Tokens), lasting: w.Lasting, borrowed: w.Borrowed, at: now}
}

// waiting returns what waits at all peers for a service, the most urgent first.
func (p *peerDemand) waiting(now time.Time, service routing.ServiceID) []Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	byPriority := map[int32]Demand{}
	for key, line := range p.current(now, service) {
		if line.requests == 0 {
			continue
		}
		d := byPriority[key.priority]
		byPriority[key.priority] = Demand{
			Service: service, Priority: int(key.priority), Requests: d.Requests + line.requests, Tokens: d.Tokens + line.tokens,
		}
	}
	out := make([]Demand, 0, len(byPriority))
	for _, d := range byPriority {
		out = append(out, d)
	}
	slices.SortFunc(out, func(a, b Demand) int { return cmp.Compare(a.Priority, b.Priority) })
	return out
}

// current returns the lines of a service that have not expired, and drops all that have. The caller holds the lock.
func (p *peerDemand) current(now time.Time, service routing.ServiceID) map[peerLine]reportedLine {
	hash := HashService(service)
	out := map[peerLine]reportedLine{}
	for key, line := range p.lines {
		switch {
		case now.Sub(line.at) > waitingTTL:
			delete(p.lines, key)
		case key.service == hash:
			out[key] = line
		}
	}
	return out
}

// need returns the requests of lines that last, and the number of peers that borrow.
func (p *peerDemand) need(now time.Time, service routing.ServiceID) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	need := 0
	for _, line := range p.current(now, service) {
		if line.lasting {
			need += line.requests
		}
		if line.borrowed {
			need++
		}
	}
	return need
}

// PeersWaiting returns what waits at the peers of this daemon for room at a service's replicas, the most urgent
// first. It is as old as their last datagrams, at most waitingTTL.
func (s *Reporter) PeersWaiting(service routing.ServiceID) []Demand {
	return s.peerDemand.waiting(time.Now(), service)
}

// GroupNeed returns how much this daemon's group needs its room for a service: the requests that wait, here and at the
// peers, at priorities of which one has waited for longer than NeedAfter, and the peers that borrow.
func (s *Reporter) GroupNeed(service routing.ServiceID) int {
	need := s.peerDemand.need(time.Now(), service)
	if s.o.Backlog == nil {
		return need
	}
	for _, d := range s.o.Backlog() {
		if d.Service == service && d.Lasting {
			need += d.Requests
		}
	}
	return need
}
