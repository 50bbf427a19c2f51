package membership

import (
	"slices"

	"github.com/bluebellscale/bluebellscale/internal/peer"
)

// view holds the results of Members, Live and Self. refreshView replaces it when the Core
// changes.
type view struct {
	changes uint64
	self    *peer.Member
	members []*peer.Member
	live    []*peer.Member
}

// refresh publishes a new view if the Core changed, and signals pending urgent exchanges.
// All callers except New hold mu.
func (s *Service) refresh() {
	core := s.node.core
	if core.urgent {
		select {
		case s.wake <- struct{}{}:
		default:
		}
	}
	s.refreshView(core)
	s.contacted.Store(!core.lastContact.IsZero()) // set after the view that includes the response
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
		s.log.Info("Live members changed", "live", len(fresh.live), "known", len(fresh.members))
	}
	if core.Replaced() {
		s.log.Error("Another process runs under the id of this daemon", "id", core.self.Id)
	}
}

// Members returns all known daemons, ordered by id. The caller must not modify them.
func (s *Service) Members() []*peer.Member { return s.view.Load().members }

// Live returns the daemons that may own keys, including this one, ordered by id. These are
// the alive and the suspect daemons: a suspect keeps its keys until it is dead. Leaving
// daemons are not included. The caller must not modify the result.
func (s *Service) Live() []*peer.Member { return s.view.Load().live }

// Self returns this daemon's own record.
func (s *Service) Self() *peer.Member { return s.view.Load().self }

// Owner returns the live daemon that owns a key. It returns nil if no daemon is live, which
// occurs only while this daemon is leaving.
func (s *Service) Owner(key string) *peer.Member { return Owner(s.Live(), key) }

// Rank returns the first n live daemons for a key, starting with its owner.
func (s *Service) Rank(key string, n int) []*peer.Member { return Rank(s.Live(), key, n) }

// RanksInRegion reports whether this daemon is one of the first n for a key among the live
// daemons of its region. It selects the few daemons that watch the table.
//
// A daemon that has just started knows no other member and would rank first. When a fleet
// starts at once or a daemon restarts, each started daemon would then read the complete
// table. RanksInRegion therefore returns false until the first contact, or until
// FirstContactTimeout has passed, if the daemon has addresses to contact.
func (s *Service) RanksInRegion(key string, n int) bool {
	if s.awaitsFirstContact() {
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

// awaitsFirstContact reports whether this daemon has just started and no peer has answered
// yet. The first response brings all members, because a daemon that knows few members sends
// its digest with each exchange.
func (s *Service) awaitsFirstContact() bool {
	if s.contacted.Load() || s.now().Sub(s.started) >= s.options.FirstContactTimeout {
		return false
	}
	others := slices.ContainsFunc(s.options.Seeds, func(seed string) bool { return seed != s.options.Self.PeerAddress })
	return others || s.options.VMs != nil
}

// Leave announces that this daemon is shutting down. The leaving state is permanent for the
// incarnation. Run must continue for a few intervals so that the peers receive it.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.node.core.Leave()
	s.refresh()
}
