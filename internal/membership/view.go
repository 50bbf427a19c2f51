package membership

import (
	"slices"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// view is what Members and Live return, made when the Core changes.
type view struct {
	changes uint64
	self    *peer.Member
	members []*peer.Member
	live    []*peer.Member
}

// refresh publishes the view if it changed and wakes the urgent exchanges. Callers hold
// mu, but for New.
func (s *Service) refresh() {
	core := s.node.core
	if core.urgent {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.refreshView(core)
	s.met.Store(!core.contactAt.IsZero()) // after the view that the answer brought
}

func (s *Service) refreshView(core *Core) {
	old := s.view.Load()
	if old != nil && old.changes == core.Changes() {
		return
	}
	fresh := &view{changes: core.Changes(), self: core.Self(), members: core.Members()}
	for _, m := range fresh.members {
		if m.State == alive || m.State == suspect {
			fresh.live = append(fresh.live, m)
		}
	}
	s.view.Store(fresh)
	s.metrics.Gauge("members_live").Update(float64(len(fresh.live)))
	if old != nil && len(old.live) != len(fresh.live) {
		s.log.Info("Members changed", "live", len(fresh.live), "known", len(fresh.members))
	}
	if core.Replaced() {
		s.log.Error("Another process runs under this id", "id", core.self.Id)
	}
}

// Members returns all known daemons, ordered by id. The caller must not change them.
func (s *Service) Members() []*peer.Member { return s.view.Load().members }

// Live returns the daemons that may have a place, this one included, ordered by id: those
// alive, and suspects, which get the benefit of the doubt until they are dead. Leaving
// daemons are not among them. The caller must not change them.
func (s *Service) Live() []*peer.Member { return s.view.Load().live }

// Self returns this daemon's own record.
func (s *Service) Self() *peer.Member { return s.view.Load().self }

// Owner returns the live daemon that has a key's place; nil if none is live, which can
// only be while this daemon leaves.
func (s *Service) Owner(key string) *peer.Member { return Owner(s.Live(), key) }

// Rank returns the first n live daemons for a key, the place first.
func (s *Service) Rank(key string, n int) []*peer.Member { return Rank(s.Live(), key, n) }

// RanksInRegion tells whether this daemon is one of the first n for a key among the live daemons
// of its region. It chooses the few that watch the table.
//
// The failure: a fleet starts at once, or a daemon restarts, and each counts itself alone
// and so among the first, until it meets a peer; all would read the whole table. So a
// daemon that has addresses to try waits a moment for its first contact.
func (s *Service) RanksInRegion(key string, n int) bool {
	if s.mayMeetPeers() {
		return false
	}
	self := s.Self()
	var region []*peer.Member
	for _, m := range s.Live() {
		if m.Region == self.Region {
			region = append(region, m)
		}
	}
	for _, m := range Rank(region, key, n) {
		if m.Id == self.Id {
			return true
		}
	}
	return false
}

// mayMeetPeers tells whether this daemon has just started and no peer answered yet. The
// first answer brings all members, as a small digest goes with each exchange.
func (s *Service) mayMeetPeers() bool {
	if s.met.Load() || s.now().Sub(s.started) >= s.options.FirstContactTimeout {
		return false
	}
	others := slices.ContainsFunc(s.options.Seeds, func(seed string) bool { return seed != s.options.Self.PeerAddress })
	return others || s.options.VMs != nil
}

// Leave announces that this daemon stops; it holds for the rest of the incarnation. Run
// must go on for a few intervals, so that the peers hear of it.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.core.Leave()
	s.refresh()
}
