package loadshare

import (
	"net/netip"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/bluebellscale/bluebellscale/internal/policy/borrow"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
)

const (
	// lenderInterval is the shortest time between two reports to lenders. Changes in between are merged.
	lenderInterval = 180 * time.Millisecond
	// lenderBytesPerSecond bounds what a daemon sends to lenders, with headers: after large reports, or to large groups,
	// the next ones wait longer.
	lenderBytesPerSecond = 8000
	datagramHeaders      = 28 // bytes, of IP and UDP
	// maxLenderPlaced is how many prompts one report to a lender names. Its daemons only learn from them what leaves the
	// replicas' memory.
	maxLenderPlaced = 2
)

// LendersFunc returns the group of a replica that the daemon's own group does not use, and addresses of the daemons
// that use it, none for other replicas.
type LendersFunc func(*replicas.Replica) (group int, daemons []netip.AddrPort)

// lenderReports are what other groups are to hear of this daemon's work at their replicas. Without them they would
// fill their replicas as if this work did not exist.
type lenderReports struct {
	heard   []int // groups that hear of work, at most borrow.MaxLenders; each does until its work ends
	pending map[int]*lenderReport
	next    time.Time // nothing is sent earlier
}

// lenderReport is what a group is to hear.
type lenderReport struct {
	daemons []netip.AddrPort
	work    map[uint64]*Work // all at its replicas, by hash; without requests if it has ended
	placed  []*Placed
}

// admit updates the groups that hear of work, given those at whose replicas there is some, and returns them and those
// that are to hear of its end. The groups stay the same while their work goes on.
func (l *lenderReports) admit(open []int) (hearing []int) {
	before := l.heard
	l.heard = nil
	for _, group := range before {
		if slices.Contains(open, group) {
			l.heard = append(l.heard, group)
		}
	}
	slices.Sort(open)
	for _, group := range open {
		if len(l.heard) < borrow.MaxLenders && !slices.Contains(l.heard, group) {
			l.heard = append(l.heard, group)
		}
	}
	return slices.Concat(before, l.heard)
}

// of returns the pending report of a group.
func (l *lenderReports) of(group int, daemons []netip.AddrPort) *lenderReport {
	if l.pending == nil {
		l.pending = map[int]*lenderReport{}
	}
	if l.pending[group] == nil {
		l.pending[group] = &lenderReport{work: map[uint64]*Work{}}
	}
	l.pending[group].daemons = daemons
	return l.pending[group]
}

// merge adds what a report to peers says about replicas of lenders. lenderOf finds them by the hash of a replica, and
// work is all work of this daemon. A lender hears of all work at its replicas whenever some of it has changed: reports
// to it are rare enough that the rest would expire.
func (l *lenderReports) merge(r *Report, work map[uint64]*Work, lenderOf func(hash uint64) (group int, daemons []netip.AddrPort)) {
	var open []int
	for hash := range work {
		if group, daemons := lenderOf(hash); len(daemons) > 0 {
			open = append(open, group)
		}
	}
	hearing := l.admit(open)
	reportOf := func(hash uint64) *lenderReport {
		group, daemons := lenderOf(hash)
		if len(daemons) == 0 || !slices.Contains(hearing, group) {
			return nil
		}
		return l.of(group, daemons)
	}
	for _, w := range r.Work {
		if to := reportOf(w.Replica); to != nil {
			to.work[w.Replica] = w
		}
	}
	for _, p := range r.Placed {
		if to := reportOf(p.Replica); to != nil {
			to.placed = append(to.placed, p)
			to.placed = to.placed[max(0, len(to.placed)-maxLenderPlaced):]
		}
	}
	for hash, w := range work {
		if group, daemons := lenderOf(hash); len(daemons) > 0 && l.pending[group] != nil {
			l.pending[group].work[hash] = w
		}
	}
}

// outgoing is a report and its receivers.
type outgoing struct {
	report *Report
	to     []netip.AddrPort
}

// due returns the reports that are to be sent now.
func (l *lenderReports) due(now time.Time, from string) []outgoing {
	if len(l.pending) == 0 || now.Before(l.next) {
		return nil
	}
	var out []outgoing
	bytes := 0
	for _, p := range l.pending {
		r := &Report{From: from, Placed: p.placed}
		for _, w := range p.work {
			r.Work = append(r.Work, w)
		}
		out = append(out, outgoing{report: r, to: p.daemons})
		bytes += (proto.Size(r) + datagramHeaders) * len(p.daemons)
	}
	l.pending = nil
	l.next = now.Add(max(lenderInterval, time.Duration(bytes)*time.Second/lenderBytesPerSecond))
	return out
}

// reportToLenders sends what is due of work at replicas of other groups to the daemons of these groups. r is the report to
// peers, nil if there is none.
func (s *Reporter) reportToLenders(now time.Time, r *Report) {
	if s.o.Lenders == nil {
		return
	}
	if r != nil {
		s.mu.Lock()
		work := s.lastWork // it is replaced, never changed
		s.mu.Unlock()
		s.lenders.merge(r, work, s.lenderOf)
	}
	for _, o := range s.lenders.due(now, string(s.o.Self)) {
		s.send(o.report, o.to)
	}
	if len(s.lenders.pending) > 0 {
		s.Wake()
	}
}

func (s *Reporter) lenderOf(hash uint64) (group int, daemons []netip.AddrPort) {
	replica := s.o.Set.ByHash(hash)
	if replica == nil {
		return 0, nil
	}
	return s.o.Lenders(replica)
}
