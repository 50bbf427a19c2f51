package placer

import (
	"context"
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/borrow"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// fakeLenders offers all replicas of a set.
type fakeLenders struct {
	set     *replicas.Set
	tokens  int // that may be taken
	refused borrow.Reason
	onTake  func()
	groups  []int               // that have room; nil: group 1
	usedUp  int                 // group whose room is gone when it is taken
	takenAt int                 // group
	lent    []*replicas.Replica // nil: all of the set
}

func (l *fakeLenders) Offers(s routing.ServiceID) ([]LenderOffer, borrow.Reason) {
	lent := l.lent
	if lent == nil {
		lent = l.set.ByService(s)
	}
	groups := l.groups
	if groups == nil {
		groups = []int{1}
	}
	var offers []LenderOffer
	for _, group := range groups {
		offers = append(offers, LenderOffer{Offer: borrow.Offer{Group: group, Room: borrow.Room{Slots: 1, Tokens: l.tokens}}, Replicas: lent})
	}
	return offers, ""
}
func (l *fakeLenders) UsedReplicas(from []*replicas.Replica) []*replicas.Replica {
	return borrow.UsedReplicas("vm", from, (*replicas.Replica).Hash)
}
func (l *fakeLenders) Take(_ routing.ServiceID, group, tokens int) bool {
	if group == l.usedUp {
		return false
	}
	l.takenAt = group
	l.tokens -= tokens
	if l.onTake != nil {
		l.onTake()
	}
	return true
}
func (l *fakeLenders) Return(_ routing.ServiceID, _, tokens int)         { l.tokens += tokens }
func (l *fakeLenders) Refused(_ routing.ServiceID, reason borrow.Reason) { l.refused = reason }

func newBorrower(tokens int, domains ...string) (*fixture, *fakeLenders) {
	f := newFixtureIn(domains...)
	l := &fakeLenders{set: f.set, tokens: tokens}
	f.placer.Lenders = l
	f.placer.Assigned = func(routing.ServiceID) []*replicas.Replica { return nil }
	return f, l
}

// A cold replica crashes if daemons that don't count send to it, and one that leaves, was evacuated, lies outside the
// request's homes or refuses requests must get none from another group either.
func TestUnfitReplicasAreNotBorrowed(t *testing.T) {
	for name, spoil := range map[string]func(f *fixture, j *relay.Job, r *replicas.Replica) (tried []request.TargetID){
		"cold": func(f *fixture, _ *relay.Job, r *replicas.Replica) []request.TargetID {
			setColdQuotas(f, "d0")
			r.AssumeCold(time.Now())
			return nil
		},
		"limited": func(_ *fixture, _ *relay.Job, r *replicas.Replica) []request.TargetID {
			r.UpdateLimit(time.Now(), 100)
			return nil
		},
		"leaving": func(_ *fixture, _ *relay.Job, r *replicas.Replica) []request.TargetID { r.MarkLeaving(); return nil },
		"evacuated": func(f *fixture, _ *relay.Job, _ *replicas.Replica) []request.TargetID {
			f.set.ApplyEvacuations(time.Now(), replicas.EvacuationChange{Begun: []string{"eu-1"}})
			return nil
		},
		"outside home": func(_ *fixture, j *relay.Job, _ *replicas.Replica) []request.TargetID {
			j.Route.Homes = []routing.Region{"us"}
			return nil
		},
		"busy": func(_ *fixture, _ *relay.Job, r *replicas.Replica) []request.TargetID {
			r.SetBusy(time.Now().Add(time.Minute))
			return nil
		},
		"down": func(_ *fixture, _ *relay.Job, r *replicas.Replica) []request.TargetID {
			r.Health.RecordDown(time.Now())
			return nil
		},
		"tried": func(_ *fixture, _ *relay.Job, r *replicas.Replica) []request.TargetID {
			return []request.TargetID{r.Info().ID}
		},
	} {
		f, l := newBorrower(100_000, "eu-1")
		j := job("s")
		if !f.placer.CanBorrow(j, nil) {
			t.Fatalf("%s: the replica can't be borrowed before", name)
		}
		tried := spoil(f, j, f.set.Get("eu-1"))
		if loan := f.placer.Borrow(j, tried); loan != nil {
			t.Errorf("a replica that is %s is borrowed", name)
		}
		if l.refused != borrow.ReasonNoReplica {
			t.Errorf("%s: the reason is %q", name, l.refused)
		}
	}
}

// Concurrent requests must not each take the same share, and a request that isn't placed must not use it up.
func TestLoanCountsUntilCancelled(t *testing.T) {
	f, l := newBorrower(10_000, "eu-1", "eu-2", "eu-3", "eu-4", "eu-5")
	loan := f.placer.Borrow(job("s"), nil) // of 9000 tokens
	if loan == nil || len(loan.Replicas) != 3 {
		t.Fatalf("got %+v, want three replicas", loan)
	}
	if f.placer.CanBorrow(job("t"), nil) || f.placer.Borrow(job("t"), nil) != nil || l.refused != borrow.ReasonShare {
		t.Errorf("a second request takes the same room; the reason is %q", l.refused)
	}
	loan.Cancel()
	if f.placer.Borrow(job("t"), nil) == nil {
		t.Error("a request that was not placed uses up the share")
	}
}

// Another request may take the last room of a lender between its offer and its use: the next lender must be asked.
func TestBorrowGoesOnToNextOffer(t *testing.T) {
	f, l := newBorrower(100_000, "eu-1")
	l.groups, l.usedUp = []int{1, 2}, 1
	loan := f.placer.Borrow(job("s"), nil)
	if loan == nil || l.takenAt != 2 {
		t.Errorf("got %+v at group %d", loan, l.takenAt)
	}
	l.groups = []int{1}
	if loan := f.placer.Borrow(job("s"), nil); loan != nil || l.refused != borrow.ReasonShare {
		t.Errorf("got %+v although no room is left, %q", loan, l.refused)
	}
}

// A prompt whose parts a borrowed replica holds costs little room there.
func TestResidentPartsNeedNoRoom(t *testing.T) {
	f, _ := newBorrower(2000, "eu-1")
	j := job("s")
	if f.placer.CanBorrow(j, nil) {
		t.Fatal("a prompt of 9000 tokens takes room for 2000")
	}
	f.placer.announcePlacement(f.set.Get("eu-1"), j, testSalt(j.Model, 1, nil))
	if !f.placer.CanBorrow(j, nil) {
		t.Error("a prompt takes room for parts that are in the replica's memory")
	}
}

// Without other groups nothing is borrowed.
func TestNoLendersNoLoan(t *testing.T) {
	f := newFixture(1)
	if f.placer.CanBorrow(job("s"), nil) || f.placer.Borrow(job("s"), nil) != nil {
		t.Error("room is borrowed without lenders")
	}
}

// newFullGroup returns a daemon whose only own replica is full, and a group that lends another one.
func newFullGroup(tokens int) (*fixture, *fakeLenders) {
	f, l := newBorrower(tokens, "eu-1", "eu-2")
	own, lent := f.set.Get("eu-1"), f.set.Get("eu-2")
	f.placer.Assigned = func(routing.ServiceID) []*replicas.Replica { return []*replicas.Replica{own} }
	own.Load.Begin(45_000, 40_000)
	l.lent = []*replicas.Replica{lent}
	return f, l
}

// A request for which the own group has no room must not be refused while another group has some.
func TestRequestOfFullGroupIsPlacedAtLender(t *testing.T) {
	f, l := newFullGroup(100_000)
	j := job("s")
	if !f.placer.HasRoom(j, nil) {
		t.Error("a request waits although another group has room")
	}
	p := place(t, f, j)
	if p.Replica.Info().ID != "eu-2" || l.tokens != 91_000 {
		t.Errorf("placed at %s, %d tokens are left", p.Replica.Info().ID, l.tokens)
	}
	if got := p.Replica.Load.Own().Requests; got != 1 {
		t.Errorf("%d requests run at the borrowed replica", got)
	}
	l.tokens = 0
	if f.placer.HasRoom(j, nil) {
		t.Error("a request gets its turn although nobody has room")
	}
}

// A lender's replica may serve other weights than the own group: parts computed under other weights must not be sent
// there, and the claims for the own group's weights must not keep the store's link.
func TestBorrowedReplicaGetsPartsOfItsWeights(t *testing.T) {
	f, _ := newFullGroup(100_000)
	f.placer.Assigned("llm")[0].ObserveWeights(model, 2)
	f.requested = 2
	f.store.held["w2/shared"] = true
	p := place(t, f, job("s"))
	if p.Replica.Info().ID != "eu-2" || p.Meta.CacheSalt != "w1" || p.Meta.FetchFrom[0] != "" {
		t.Errorf("at %s: %+v", p.Replica.Info().ID, p.Meta)
	}
	if !slices.Contains(f.store.released, "w2/shared") {
		t.Errorf("released %v", f.store.released)
	}
}

// A loan that leads to no placement must not use up the share, and the caller must be told about the own group.
func TestLoanIsCancelledIfLenderFillsUp(t *testing.T) {
	f, l := newFullGroup(100_000)
	l.onTake = func() { l.lent[0].Load.Begin(45_000, 80_000) }
	_, err := f.placer.Place(context.Background(), job("s"), nil)
	var own *relay.NoRoomError
	if !errors.As(err, &own) || l.tokens != 100_000 {
		t.Fatalf("got %v, %d tokens are left", err, l.tokens)
	}
	f.placer.Lenders = nil
	_, err = f.placer.Place(context.Background(), job("s"), nil)
	var alone *relay.NoRoomError
	if !errors.As(err, &alone) || (own.Wait-alone.Wait).Abs() > time.Millisecond {
		t.Errorf("the refusal says %v, without lenders %v", own, alone)
	}
}

// A lender whose replicas are full by what this daemon knows of them must not stop the search at the next lender.
func TestFullLenderIsPassedOver(t *testing.T) {
	f, l := newFullGroup(100_000)
	l.lent[0].Load.Begin(45_000, 40_000)
	if f.placer.HasRoom(job("s"), nil) || f.placer.Borrow(job("s"), nil) != nil || l.refused != borrow.ReasonNoReplica {
		t.Errorf("a full replica is borrowed; the reason is %q", l.refused)
	}
}
