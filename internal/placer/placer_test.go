package placer

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/storeroom"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const model = request.Model("m")

// leave is until when the shelf's parts may be fetched, on the replicas' clock.
const leave = 777_000

// shelf is a context store that holds some parts under a salt.
type shelf struct {
	held map[string]bool // salt/id
	asks int
	// takes is how long a fetch takes; zero: 10 ms.
	takes time.Duration
	// released are the parts, as salt/id, of which it was told that they are not used.
	released []string
}

func (s *shelf) Claim(_ context.Context, salt string, parts []relay.Part, _ []bool) ([]StoredPart, int64) {
	s.asks++
	out := make([]StoredPart, len(parts))
	for i, p := range parts {
		out[i] = StoredPart{Store: "store", Address: "store:1", FailureDomain: "a", FetchTime: cmp.Or(s.takes, 10*time.Millisecond)}
		out[i].Fetch = s.held[salt+"/"+p.ID]
		out[i].Save = !out[i].Fetch && i < len(parts)-1
		out[i].Claim = int64(i + 1)
	}
	return out, leave
}

func (s *shelf) Release(salt string, parts []relay.Part, unused []StoredPart) {
	for i, u := range unused {
		if u.Save || u.Fetch {
			s.released = append(s.released, salt+"/"+parts[i].ID)
		}
	}
}

func (s *shelf) ReportFetch(routing.ServiceID, storeroom.Fetched) {}

type world struct {
	set    *replicas.Set
	engine *Engine
	shelf  *shelf
	named  uint64
	since  time.Time
}

func newWorld(n int) *world {
	w := &world{set: replicas.NewSet(), shelf: &shelf{held: map[string]bool{}}, named: 1, since: time.Now()}
	for i := range n {
		w.put(i, 1)
	}
	w.engine = &Engine{
		Eligibility: Eligibility{Set: w.set}, Assigned: w.set.OfService, Domain: "a", Stores: w.shelf,
		OldWeightsUsableFor: time.Second, OldWeightsBeginWithin: 2 * time.Second,
		Outdated: func(_ request.Model, v uint64) (time.Time, bool) { return w.since, v < w.named },
	}
	return w
}

func (w *world) put(i int, weights uint64) {
	w.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{{
		ID: id(i), Service: "llm", Address: fmt.Sprintf("127.0.0.1:%d", i+1), FailureDomain: "a",
		Weights: map[request.Model]uint64{model: weights},
	}}})
}

func id(i int) request.TargetID { return request.TargetID(fmt.Sprint("r", i)) }

func job(session string) *relay.Job {
	return &relay.Job{
		Meta: relay.Meta{
			ID: "1", Model: model, PromptTokens: 9000, OutputTokens: 50,
			Parts: []relay.Part{{ID: "shared", Tokens: 2500}, {ID: session, Tokens: 5000}, {ID: "own" + session, Tokens: 1500}},
		},
		Route:   &routing.Route{Kind: routing.KindStream, Objective: 600 * time.Millisecond, Priority: 1},
		Service: &routing.Service{ID: "llm", Engine: &routing.Engine{Slots: 48, MemoryTokens: 50_000}},
	}
}

func place(t *testing.T, w *world, j *relay.Job) *relay.Placement {
	t.Helper()
	p, err := w.engine.Place(context.Background(), j, nil)
	if err != nil {
		t.Fatal(err)
	}
	return p
}

func done(p *relay.Placement) {
	p.Flight.End()
	p.Ended(true)
}

// A session returns and goes where its context lies, as long as that replica is free.
func TestSessionReturnsToItsContext(t *testing.T) {
	w := newWorld(6)
	first := place(t, w, job("s"))
	done(first)
	for range 10 {
		p := place(t, w, job("s"))
		done(p)
		if p.Replica != first.Replica {
			t.Fatalf("went to %s, its context lies at %s", p.Replica.Info().ID, first.Replica.Info().ID)
		}
	}
	first.Replica.Load.Begin(45_000, 40_000)
	if p := place(t, w, job("s")); p.Replica == first.Replica {
		t.Error("waits for a busy replica")
	}
}

// A replica crashes and is back under its id within a second, with an empty memory. The
// session that lay there would be sent to it for its context, or have others fetch from it.
func TestContextOfAnEarlierStartIsForgotten(t *testing.T) {
	w := newWorld(2)
	first := place(t, w, job("s"))
	done(first)
	again := *first.Replica.Info()
	again.Started = 1_772_000_000_000
	w.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{again}})
	p := place(t, w, job("s"))
	for _, from := range p.Send.FetchFrom {
		if from != "" {
			t.Errorf("a part is fetched from %s, which holds nothing", from)
		}
	}
	if parts, _, _ := strings.Cut(p.Reason, " "); strings.Contains(parts, "m") {
		t.Errorf("parts are thought to be there: %s", p.Reason)
	}
	w.engine.Prune()
	if n := len(w.engine.models); n > 2 {
		t.Errorf("%d memories are remembered of two replicas", n)
	}
}

// Parts come from the store where it has them, and go there where it wants them; leave to
// fetch has an end on the replicas' clock.
func TestPartsAreFetchedAndSaved(t *testing.T) {
	w := newWorld(1)
	w.shelf.held["w1/shared"] = true
	p := place(t, w, job("s"))
	if got := p.Send.FetchFrom; got[0] != "store:1" || got[1] != "" || got[2] != "" {
		t.Errorf("fetch %q", got)
	}
	if got := p.Send.SaveTo; got[0] != "" || got[1] != "store:1" || got[2] != "" {
		t.Errorf("save %q", got)
	}
	if until := p.Send.FetchUntil; until <= 0 || until > leave || p.Send.CacheSalt != "w1" || p.Send.Weights != 1 {
		t.Errorf("sent %+v", p.Send)
	}
}

// An organisation that shares with nobody gets a salt of its own, so that no part of
// another's is found by name, nor its own by others.
func TestIsolatedOrganisationSharesNothing(t *testing.T) {
	w := newWorld(1)
	alone, other := job("s"), job("s")
	alone.Org = &routing.Org{ID: "o1", Isolated: true}
	other.Org = &routing.Org{ID: "o2"}
	a, b := place(t, w, alone).Send.CacheSalt, place(t, w, other).Send.CacheSalt
	if a == b || b != "w1" {
		t.Errorf("salts %q and %q", a, b)
	}
}

// Weights are named. Replicas on the old ones are used for a while, with a time by which
// the answer must have begun, and then not at all: the caller is told to come back.
func TestOldWeightsAreUsedForAWhileOnly(t *testing.T) {
	w := newWorld(2)
	w.named = 2
	p := place(t, w, job("s"))
	if want := w.since.Add(2 * time.Second); !p.BeginBy.Equal(want) {
		t.Errorf("must begin by %s, want %s", p.BeginBy, want)
	}
	done(p)
	w.since = time.Now().Add(-1100 * time.Millisecond)
	_, err := w.engine.Place(context.Background(), job("s"), nil)
	var refused *request.Error
	if !errors.As(err, &refused) || refused.Ran != request.NotRun || refused.RetryAfter == 0 {
		t.Fatalf("got %v", err)
	}
	w.put(1, 2)
	if p := place(t, w, job("s")); p.Replica.Info().ID != "r1" || p.Send.CacheSalt != "w2" || !p.BeginBy.IsZero() {
		t.Errorf("placed at %s with %+v", p.Replica.Info().ID, p.Send)
	}
}

// Parts made under other weights are never named to a replica, whichever it is: the stores
// are asked for those of the replica's own weights.
func TestPartsAreThoseOfTheReplicasWeights(t *testing.T) {
	w := newWorld(2)
	w.named = 2
	w.put(1, 2)
	w.shelf.held["w2/shared"] = true
	w.set.Get("r1").Load.Begin(49_000, 20_000) // the one on new weights is busy
	p := place(t, w, job("s"))
	if p.Replica.Info().ID != "r0" || p.Send.CacheSalt != "w1" || p.Send.FetchFrom[0] != "" {
		t.Errorf("at %s: %+v", p.Replica.Info().ID, p.Send)
	}
}

// Replicas that load weights get nothing.
func TestReplicasThatLoadAreLeftAlone(t *testing.T) {
	w := newWorld(3)
	w.set.Get("r0").SetBusy(time.Now().Add(time.Minute))
	for i := range 10 {
		p := place(t, w, job(fmt.Sprint(i)))
		if p.Replica.Info().ID == "r0" {
			t.Fatal("a replica that loads got a request")
		}
		done(p)
	}
}

// The load: prompts arrive faster than the replicas compute them. Those that would be late
// are refused at once, the less urgent first, with when to come back.
func TestOverloadIsRefusedAtOnce(t *testing.T) {
	w := newWorld(1)
	w.set.Get("r0").Load.Begin(1000, 30_000) // 600 ms of prompts
	normal, urgent := job("s"), job("s")
	urgent.Route = &routing.Route{Kind: routing.KindStream, Objective: 600 * time.Millisecond, Priority: 0}
	_, err := w.engine.Place(context.Background(), normal, nil)
	var refused *request.Error
	if !errors.As(err, &refused) || refused.Code != request.CodeOverloaded || refused.RetryAfter < minBack {
		t.Errorf("got %v", err)
	}
	if _, err := w.engine.Place(context.Background(), urgent, nil); err != nil {
		t.Errorf("the urgent one: %v", err)
	}
}

// A replica dies with streams on it, and the others have much to do. A stream that can be
// resumed was refused like a new prompt, and broke off before its caller, who had half of it.
func TestResumedStreamIsNotRefusedForAWait(t *testing.T) {
	w := newWorld(1)
	w.set.Get("r0").Load.Begin(1000, 30_000) // 600 ms of prompts
	begun := job("s")
	begun.Begun = true
	if _, err := w.engine.Place(context.Background(), begun, nil); err != nil {
		t.Errorf("refused: %v", err)
	}
}

// A store's link is slower than its keeper thinks. The first token of a fetch is overdue,
// and the keeper is told while the fetch still waits.
func TestOverdueFetchIsReported(t *testing.T) {
	w := newWorld(1)
	for _, p := range job("s").Parts {
		w.shelf.held["w1/"+p.ID] = true
	}
	reported := make(chan storeroom.Fetched, 1)
	w.engine.Stores = &reporting{shelf: w.shelf, fetched: reported}
	place(t, w, job("s"))
	select {
	case got := <-reported:
		if !got.Overdue || got.Claim == 0 {
			t.Errorf("reported %+v", got)
		}
	case <-time.After(3 * time.Second):
		t.Error("nothing is reported")
	}
	p := place(t, w, job("s"))
	p.First()
	select {
	case got := <-reported:
		if got.Overdue {
			t.Error("a fetch in time is reported as overdue")
		}
	case <-time.After(2 * fetchOverdue):
	}
}

// Prompts take different ways, and most of their fetches end in time. The keeper of the store
// that most was fetched from must hear of each end: it knows by that what its link has still
// to carry. Of the parts from there the one that was allowed last counts.
func TestEndOfEachFetchIsReported(t *testing.T) {
	for _, busy := range []bool{false, true} {
		w := newWorld(1)
		for _, p := range job("s").Parts {
			w.shelf.held["w1/"+p.ID] = true
		}
		reported := make(chan storeroom.Fetched, 1)
		w.engine.Stores = &reporting{shelf: w.shelf, fetched: reported}
		if busy {
			w.set.Get(id(0)).Load.Begin(100, quietPrefill+1)
		}
		place(t, w, job("s")).First()
		got := <-reported
		if got.Overdue || got.Busy != busy || got.Claim != int64(len(job("s").Parts)) {
			t.Errorf("busy %t: reported %+v", busy, got)
		}
	}
}

type reporting struct {
	*shelf
	fetched chan storeroom.Fetched
}

func (r *reporting) ReportFetch(_ routing.ServiceID, f storeroom.Fetched) { r.fetched <- f }

// A plain call goes to the least loaded replica, another one after a failure, and nowhere
// if there is none.
func TestPlainCallGoesToTheLeastLoaded(t *testing.T) {
	w := newWorld(3)
	p := &Plain{Eligibility: Eligibility{Set: w.set}, Domain: "a"}
	j := &relay.Job{Service: &routing.Service{ID: "llm"}, Route: &routing.Route{}}
	w.set.Get("r0").Load.Begin(0, 0)
	w.set.Get("r1").Load.Begin(0, 0)
	got, err := p.Place(context.Background(), j, nil)
	if err != nil || got.Replica.Info().ID != "r2" {
		t.Errorf("got %+v, %v", got, err)
	}
	got, err = p.Place(context.Background(), j, []request.TargetID{"r2", "r0"})
	if err != nil || got.Replica.Info().ID != "r1" {
		t.Errorf("got %+v, %v", got, err)
	}
	if _, err := p.Place(context.Background(), j, []request.TargetID{"r0", "r1", "r2"}); err == nil {
		t.Error("placed although all were tried")
	}
}

// Weights are rolled out, and a prompt goes to a replica on the old ones. What was asked for
// under the new weights is not used: the stores must hear of it, or they wait for a save that
// nobody makes, and all prompts with that context are computed meanwhile.
func TestClaimsUnderOtherWeightsAreGivenBack(t *testing.T) {
	w := newWorld(2)
	w.put(1, 2)
	w.set.Get(id(1)).Load.Begin(50_000, 50_000)
	p := place(t, w, job("s"))
	if p.Replica.Info().ID != id(0) {
		t.Fatalf("went to %s", p.Replica.Info().ID)
	}
	if want := []string{"w2/shared", "w2/s"}; !slices.Equal(w.shelf.released, want) {
		t.Errorf("gave back %v, want %v", w.shelf.released, want)
	}
}

// All replicas are full and a caller is refused: none of the saves that it was allowed is made.
func TestClaimsOfARefusedRequestAreGivenBack(t *testing.T) {
	w := newWorld(1)
	w.set.Get(id(0)).Load.Begin(50_000, 50_000)
	if _, err := w.engine.Place(context.Background(), job("s"), nil); err == nil {
		t.Fatal("not refused")
	}
	if want := []string{"w1/shared", "w1/s"}; !slices.Equal(w.shelf.released, want) {
		t.Errorf("gave back %v, want %v", w.shelf.released, want)
	}
}

// A replica turns a request away. Only then is it sure that it saves nothing: one that may
// have run may be saving still.
func TestClaimsOfATryAreGivenBackIfItDidNotRun(t *testing.T) {
	for _, ran := range []bool{true, false} {
		w := newWorld(1)
		p := place(t, w, job("s"))
		p.Ended(ran)
		if gaveBack := len(w.shelf.released) > 0; gaveBack == ran {
			t.Errorf("ran %t: gave back %v", ran, w.shelf.released)
		}
	}
}

// A store is so slow that a prompt is sooner computed than fetched. Its link must not count
// as busy with a fetch that nobody makes.
func TestFetchThatIsNotMadeIsGivenBack(t *testing.T) {
	w := newWorld(1)
	w.shelf.held["w1/shared"], w.shelf.held["w1/s"] = true, true
	w.shelf.takes = 10 * time.Second
	p := place(t, w, job("s"))
	if p.Send.FetchFrom[0] != "" || p.Send.FetchFrom[1] != "" {
		t.Fatalf("fetches from %v", p.Send.FetchFrom)
	}
	if want := []string{"w1/shared", "w1/s"}; !slices.Equal(w.shelf.released, want) {
		t.Errorf("gave back %v, want %v", w.shelf.released, want)
	}
}

// The load: a store's link has turned slow, and a prompt's context takes two seconds to come.
// The replica begins its prompts in turn, so that all behind it wait as long. The fetch is given
// up while the prompt can still be computed in time, never before it should have ended, and
// never later than its leave.
func TestSlowFetchIsGivenUpInTime(t *testing.T) {
	const objective = 600 * time.Millisecond
	for _, c := range []struct {
		name           string
		takes, waited  time.Duration
		atLeast, limit time.Duration // from now, of the time that the fetch may take
	}{
		{"there is time to compute it", 10 * time.Millisecond, 0, 350 * time.Millisecond, objective - 100*time.Millisecond},
		{"the caller has waited", 10 * time.Millisecond, objective, 2 * 10 * time.Millisecond, 200 * time.Millisecond},
		{"it takes long", 500 * time.Millisecond, objective, 500 * time.Millisecond, 700 * time.Millisecond},
	} {
		w := newWorld(1)
		w.shelf.takes = c.takes
		w.shelf.held["w1/s"], w.shelf.held["w1/shared"] = true, true
		j := job("s")
		j.Parts = j.Parts[1:2]
		j.Start = time.Now().Add(-c.waited)
		p := place(t, w, j)
		got := storeroom.LeaveFor - time.Duration(leave-p.Send.FetchUntil)*time.Millisecond
		if p.Send.FetchFrom[0] == "" {
			t.Fatalf("%s: not fetched", c.name)
		}
		if got < c.atLeast || got > c.limit {
			t.Errorf("%s: it may take %s", c.name, got)
		}
	}
}

// A replica crashes while it fetches. Its fetch never ends, and the keeper must not wait for
// it; what the replica was to save it may be saving still.
func TestFetchOfACrashedReplicaIsGivenBack(t *testing.T) {
	w := newWorld(1)
	w.shelf.held["w1/shared"] = true
	p := place(t, w, job("s"))
	p.Ended(true)
	if want := []string{"w1/shared"}; !slices.Equal(w.shelf.released, want) {
		t.Errorf("gave back %v, want %v", w.shelf.released, want)
	}
	p = place(t, w, job("t"))
	w.shelf.released = nil
	p.First()
	p.Ended(true)
	if len(w.shelf.released) > 0 {
		t.Errorf("gave back %v after the first token", w.shelf.released)
	}
}

// The load: a store's link has turned slow, and replicas' memories are full of prompts that wait
// for it, so that the beginnings that prompts share are dropped there, which nobody notices. A
// source is named for a part that is thought to be there, in case it is not: were it named now,
// each prompt would fetch the beginning over the slow link, and none would be in time.
func TestResidentPartIsNotFetchedOverASlowLink(t *testing.T) {
	for _, c := range []struct {
		takes time.Duration
		named bool
	}{{20 * time.Millisecond, true}, {500 * time.Millisecond, false}} {
		w := newWorld(1)
		done(place(t, w, job("s"))) // its parts are thought to lie there from now on
		w.shelf.held["w1/shared"] = true
		w.shelf.takes = c.takes
		p := place(t, w, job("s"))
		if named := p.Send.FetchFrom[0] != ""; named != c.named {
			t.Errorf("%s: fetch from %q", c.takes, p.Send.FetchFrom)
		}
	}
}
