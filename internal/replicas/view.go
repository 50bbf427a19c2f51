package replicas

import (
	"cmp"
	"maps"
	"slices"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// View is a snapshot of the replicas of known services that their registry entries do not mark as
// leaving. It must not be modified.
type View struct {
	ByService map[routing.ServiceID][]*Replica // ordered by id
}

// replicasByService are sets of replicas.
type replicasByService map[routing.ServiceID]map[*Replica]bool

func (b replicasByService) add(r *Replica) {
	if b[r.listedAs] == nil {
		b[r.listedAs] = map[*Replica]bool{}
	}
	b[r.listedAs][r] = true
}

// viewUpdate collects the replicas that enter or leave the view. The next view shares the lists of all
// services without a change with the previous one.
type viewUpdate struct {
	entered, left replicasByService
}

func newViewUpdate() viewUpdate {
	return viewUpdate{entered: replicasByService{}, left: replicasByService{}}
}

func (u *viewUpdate) enter(r *Replica) {
	r.listed, r.listedAs = true, r.Info().Service
	u.entered.add(r)
}

func (u *viewUpdate) leave(r *Replica) {
	r.listed = false
	delete(u.entered[r.listedAs], r)
	u.left.add(r)
}

// empty reports whether the view does not change.
func (u *viewUpdate) empty() bool { return len(u.entered)+len(u.left) == 0 }

// apply returns the view after the update.
func (u *viewUpdate) apply(v *View) *View {
	next := &View{ByService: make(map[routing.ServiceID][]*Replica, len(v.ByService)+len(u.entered))}
	for service, list := range v.ByService {
		next.ByService[service] = list
	}
	for service, left := range u.left {
		next.ByService[service] = without(next.ByService[service], left)
	}
	for service, entered := range u.entered {
		next.ByService[service] = merged(next.ByService[service], entered)
	}
	for service, list := range next.ByService {
		if len(list) == 0 {
			delete(next.ByService, service)
		}
	}
	return next
}

func byID(a, b *Replica) int { return cmp.Compare(a.id, b.id) }

// position returns the index in a sorted list of the replica with an id, or where it would be inserted.
func position(list []*Replica, id request.TargetID) int {
	n, _ := slices.BinarySearchFunc(list, id, func(r *Replica, id request.TargetID) int { return cmp.Compare(r.id, id) })
	return n
}

// without returns a sorted list without some replicas, of which it need not contain all.
func without(list []*Replica, remove map[*Replica]bool) []*Replica {
	out := make([]*Replica, 0, len(list))
	for _, r := range slices.SortedFunc(maps.Keys(remove), byID) {
		if n := position(list, r.id); n < len(list) && list[n] == r {
			out, list = append(out, list[:n]...), list[n+1:]
		}
	}
	return append(out, list...)
}

// merged returns the sorted list of the members of list, which is sorted, and of add.
func merged(list []*Replica, add map[*Replica]bool) []*Replica {
	out := make([]*Replica, 0, len(list)+len(add))
	for _, r := range slices.SortedFunc(maps.Keys(add), byID) {
		n := position(list, r.id)
		out, list = append(append(out, list[:n]...), r), list[n:]
	}
	return append(out, list...)
}

// relist updates whether a replica is in the view.
func (s *Set) relist(r *Replica) {
	info := r.Info()
	lists := s.byID[info.ID] == r && !info.Leaving && (s.services == nil || s.services[info.Service])
	if r.listed && (!lists || r.listedAs != info.Service) {
		s.update.leave(r)
		s.setHash(r.hash, nil)
	}
	if lists && !r.listed {
		s.update.enter(r)
		s.setHash(r.hash, r)
	}
}

// publish makes the changes since the last call visible, if there are any.
func (s *Set) publish() {
	if s.update.empty() {
		return
	}
	s.view.Store(s.update.apply(s.view.Load()))
	s.update = newViewUpdate()
}
