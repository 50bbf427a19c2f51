package relay

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
	"github.com/bluebellscale/bluebellscale/internal/policy/retry"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/waiting"
)

// roomPlacer is a placer whose replicas have room for a number of requests.
type roomPlacer struct {
	*fixedOrderPlacer
	mu       sync.Mutex
	room     int
	says     bool          // HasRoom reports room although Place finds none
	slow     request.ID    // takes delay to be placed
	delay    time.Duration // before a placement of slow
	attempts []request.ID
	placed   []request.ID
}

func (p *roomPlacer) HasRoom(*Job, []request.TargetID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.says || p.room > 0
}

func (p *roomPlacer) Place(ctx context.Context, j *Job, tried []request.TargetID) (*Placement, error) {
	if j.ID == p.slow {
		time.Sleep(p.delay)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.attempts = append(p.attempts, j.ID)
	if p.room == 0 {
		return nil, &NoRoomError{Service: j.Service.ID, Wait: time.Hour}
	}
	p.room--
	p.placed = append(p.placed, j.ID)
	return p.fixedOrderPlacer.Place(ctx, j, tried)
}

func (p *roomPlacer) set(room int, says bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.room, p.says = room, says
}

func (p *roomPlacer) placedIDs() []request.ID {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.placed)
}

// waitingFixture is a fixture whose service runs a model and whose requests may wait.
type waitingFixture struct {
	*fixture
	room   *waiting.Room
	placer *roomPlacer
	log    *lockedBuffer
}

type lockedBuffer struct {
	mu sync.Mutex
	b  bytes.Buffer
}

func (l *lockedBuffer) Write(p []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.b.Write(p)
}

// line returns the first log line with a message.
func (l *lockedBuffer) line(t *testing.T, message string) map[string]any {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	for text := range strings.Lines(l.b.String()) {
		var fields map[string]any
		if err := json.Unmarshal([]byte(text), &fields); err != nil {
			t.Fatal(err)
		}
		if fields["@message"] == message {
			return fields
		}
	}
	t.Fatalf("no line %q", message)
	return nil
}

// newWaitingFixture returns a fixture with a replica that answers each request.
func newWaitingFixture(t *testing.T, routes ...*routing.Route) *waitingFixture {
	t.Helper()
	f := newWaitingFixtureWithoutReplicas(t, routes...)
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	return f
}

func newWaitingFixtureWithoutReplicas(t *testing.T, routes ...*routing.Route) *waitingFixture {
	t.Helper()
	return newWaitingFixtureWithOptions(t, waiting.Options{}, routes...)
}

// newWaitingFixtureWithOptions is newWaitingFixtureWithoutReplicas with options of the room, whose bounds it sets.
func newWaitingFixtureWithOptions(t *testing.T, o waiting.Options, routes ...*routing.Route) *waitingFixture {
	t.Helper()
	f := &waitingFixture{fixture: newFixture(t, routes...), log: &lockedBuffer{}}
	f.placer = &roomPlacer{fixedOrderPlacer: f.fixture.placer}
	o.MaxRequests, o.MaxBytes = 100, 1<<20
	f.room = waiting.New(o)
	t.Cleanup(f.room.Close)
	f.set.OnRoom(f.room.OnRoom)
	service := &routing.Service{ID: "s", Engine: &routing.Engine{Slots: 1}}
	f.state = routing.NewSnapshot(1, routes, []*routing.Service{service}, organisations(map[string]request.OrgID{"k": "org"}), routing.CallerLimits{MaxBodyBytes: 1000})
	f.server.o.Engines = f.placer
	f.server.o.Room = f.room
	f.server.o.RetryBudget = func() retry.Params { return retry.Params{Burst: 10} }
	f.server.o.Logger = hclog.New(&hclog.LoggerOptions{Output: f.log, JSONFormat: true})
	return f
}

func objectiveRoute(kind routing.Kind, path string, priority int) *routing.Route {
	return &routing.Route{Name: path, Prefix: path, Kind: kind, Objective: 400 * time.Millisecond, Priority: priority}
}

type result struct {
	answer *http.Response
	err    error
}

// start sends a request in the background and returns when it waits.
func (f *waitingFixture) start(path, id string, header http.Header) chan result {
	f.t.Helper()
	before := f.room.State().Requests
	done := make(chan result, 1)
	h := http.Header{"Id": {id}}
	for name, values := range header {
		h[name] = values
	}
	go func() {
		answer, _, err := f.call(http.MethodPost, path, h)
		done <- result{answer, err}
	}()
	f.eventually("the request waits", func() bool { return f.room.State().Requests == before+1 })
	return done
}

func (f *waitingFixture) eventually(what string, holds func() bool) {
	f.t.Helper()
	for end := time.Now().Add(5 * time.Second); !holds(); time.Sleep(time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("never: %s", what)
		}
	}
}

func (f *waitingFixture) wantStatus(done chan result, status int) *http.Response {
	f.t.Helper()
	select {
	case r := <-done:
		if r.err != nil || r.answer.StatusCode != status {
			f.t.Fatalf("got %v, %v, want status %d", r.answer, r.err, status)
		}
		return r.answer
	case <-time.After(5 * time.Second):
		f.t.Fatal("no answer")
		return nil
	}
}

// Guards against a patient request that takes the room of a more urgent one that came later.
func TestUrgentRequestGoesFirst(t *testing.T) {
	f := newWaitingFixture(t, objectiveRoute(routing.KindOnce, "/slow/", 6), objectiveRoute(routing.KindOnce, "/fast/", 0))
	slow := f.start("/slow/x", "slow", nil)
	fast := f.start("/fast/x", "fast", nil)
	f.placer.set(1, false)
	f.wantStatus(fast, http.StatusOK)
	f.placer.set(1, false)
	f.wantStatus(slow, http.StatusOK)
	if got := f.placer.placedIDs(); !slices.Equal(got, []request.ID{"fast", "slow"}) {
		t.Errorf("placed %v", got)
	}
	line := f.log.line(t, loglines.Answered)
	if line["request"] != "fast" || line["waited_ms"] == nil || line["waited_for"] == nil {
		t.Errorf("the line does not tell the wait: %v", line)
	}
}

// Guards against a request that jumps the queue because room is free when it comes, while one that is at
// least as urgent waits for its turn.
func TestNewRequestDoesNotOvertake(t *testing.T) {
	f := newWaitingFixtureWithOptions(t, waiting.Options{TurnTime: time.Minute}, objectiveRoute(routing.KindOnce, "/", 5))
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	f.placer.slow, f.placer.delay = "first", 3*waiting.DefaultTurnTime // as on a busy machine
	f.placer.set(0, true)
	first := f.start("/x", "first", nil)
	second := f.start("/x", "second", nil)
	f.placer.set(2, true)
	f.wantStatus(first, http.StatusOK)
	f.wantStatus(second, http.StatusOK)
	if got := f.placer.placedIDs(); !slices.Equal(got, []request.ID{"first", "second"}) {
		t.Errorf("placed %v", got)
	}
}

// A replica that was chosen has no room after all: the request keeps its place, and is neither refused
// nor placed behind later ones.
func TestNoRoomErrorKeepsThePlace(t *testing.T) {
	f := newWaitingFixture(t, objectiveRoute(routing.KindOnce, "/", 5))
	first := f.start("/x", "first", nil)
	second := f.start("/x", "second", nil)
	f.placer.set(0, true)
	f.eventually("placements without room", func() bool {
		f.placer.mu.Lock()
		defer f.placer.mu.Unlock()
		return len(f.placer.attempts) >= 4
	})
	f.placer.set(1, false)
	f.wantStatus(first, http.StatusOK)
	f.placer.set(1, false)
	f.wantStatus(second, http.StatusOK)
}

// Guards against a request that is held past its deadline, and against a refusal that does not say when to
// return or does not state truly that the request has not run.
func TestWaitEndsInTime(t *testing.T) {
	route := objectiveRoute(routing.KindOnce, "/", 5)
	route.Objective = 1200 * time.Millisecond
	f := newWaitingFixture(t, route)
	begin := time.Now()
	done := f.start("/x", "1", http.Header{"Left": {"2400"}})
	answer := f.wantStatus(done, http.StatusServiceUnavailable)
	if took := time.Since(begin); took > 2400*time.Millisecond {
		t.Errorf("refused after %s, want before the deadline", took)
	}
	if answer.Header.Get("Retry-After") == "" {
		t.Error("the refusal does not say when to return")
	}
	if n := len(f.received()); n != 0 {
		t.Errorf("a replica received %d requests", n)
	}
	line := f.log.line(t, loglines.Refused)
	if line["ran"] != string(request.NotRun) || line["waited_ms"] == nil {
		t.Errorf("line %v", line)
	}
}

// Callers abandon a stream that has not begun long before its deadline.
func TestPatienceBoundsTheWait(t *testing.T) {
	route := objectiveRoute(routing.KindStream, "/", 5)
	route.Patience, route.Objective = 1600*time.Millisecond, 1600*time.Millisecond
	f := newWaitingFixture(t, route)
	begin := time.Now()
	f.wantStatus(f.start("/x", "1", nil), http.StatusServiceUnavailable)
	if took := time.Since(begin); took > route.Patience {
		t.Errorf("refused after %s, its caller had left before", took)
	}
}

// An idempotent call whose first attempt may have run waits for another replica in vain: its caller must
// not be told that it has not run.
func TestRefusedRetryIsNotCalledNotRun(t *testing.T) {
	f := newWaitingFixtureWithoutReplicas(t, objectiveRoute(routing.KindIdempotent, "/", 5))
	f.addReplica(closeWithoutResponse)
	f.placer.set(1, false)
	answer, _, err := f.call(http.MethodGet, "/x", http.Header{"Left": {"500"}})
	if err != nil || answer.StatusCode != http.StatusBadGateway && answer.StatusCode != http.StatusGatewayTimeout {
		t.Errorf("got %v, %v, want status 502 or 504", answer, err)
	}
}

// The first replica refuses to run a call; the call waits for another one with what is left of its time.
func TestRetryWaitsForRoom(t *testing.T) {
	f := newWaitingFixtureWithoutReplicas(t, objectiveRoute(routing.KindOnce, "/", 5))
	f.addReplica(writeNotRun)
	f.addReplica(func(c net.Conn, id string) { writeOK(c, id, "fine") })
	f.placer.set(1, false)
	done := f.start("/x", "1", nil)
	f.placer.set(1, false)
	f.wantStatus(done, http.StatusOK)
}

// A caller that leaves while it waits frees its place at once, and nothing is sent for it.
func TestCallerLeavesWhileItWaits(t *testing.T) {
	f := newWaitingFixture(t, objectiveRoute(routing.KindOnce, "/", 5))
	ctx, leave := context.WithCancel(t.Context())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, f.front.URL+"/x", strings.NewReader("body"))
	if err != nil {
		t.Fatal(err)
	}
	r.Host, r.Header = testHost, http.Header{"Id": {"1"}, "Key": {"k"}}
	go func() { _, _ = http.DefaultTransport.RoundTrip(r) }()
	f.eventually("the request waits", func() bool { return f.room.State().Requests == 1 })
	leave()
	f.eventually("its place is free", func() bool { return f.room.State().Requests == 0 && f.server.InFlight() == 0 })
	f.placer.set(1, false)
	time.Sleep(50 * time.Millisecond)
	if got := f.placer.placedIDs(); len(got) != 0 {
		t.Errorf("placed %v after its caller left", got)
	}
}

// A draining daemon refuses streams that wait, once it would no longer accept them, and goes on with calls.
func TestDrainWhileRequestsWait(t *testing.T) {
	f := newWaitingFixture(t, objectiveRoute(routing.KindStream, "/stream/", 5), objectiveRoute(routing.KindOnce, "/call/", 5))
	stream := f.start("/stream/x", "stream", nil)
	call := f.start("/call/x", "call", nil)
	f.server.StartDraining(50 * time.Millisecond)
	answer := f.wantStatus(stream, http.StatusServiceUnavailable)
	if line := f.log.line(t, loglines.Refused); line["code"] != string(request.CodeDraining) || line["ran"] != string(request.NotRun) {
		t.Errorf("line %v", line)
	}
	if answer.Header.Get("Retry-After") == "" || !answer.Close {
		t.Errorf("got %v, want a time to return and a closed connection", answer)
	}
	f.placer.set(1, false)
	f.wantStatus(call, http.StatusOK)
}

// At the end of the accept time of a stopping daemon who still waits is refused as not run.
func TestStopRefusesWhoWaits(t *testing.T) {
	f := newWaitingFixture(t, objectiveRoute(routing.KindOnce, "/", 5))
	done := f.start("/x", "1", nil)
	f.server.StartDraining(time.Second)
	f.room.Close()
	f.wantStatus(done, http.StatusServiceUnavailable)
	if line := f.log.line(t, loglines.Refused); line["ran"] != string(request.NotRun) {
		t.Errorf("line %v", line)
	}
}

// A stream that its caller already receives breaks while another request waits. It is placed again at
// once: for its caller a wait would be a pause.
func TestResumedStreamDoesNotWait(t *testing.T) {
	route := objectiveRoute(routing.KindStream, "/", 5)
	route.Resumable = true
	f := newWaitingFixtureWithoutReplicas(t, route)
	proceed := make(chan struct{})
	f.addReplica(func(c net.Conn, id string) {
		writeStreamHead(c, id)
		writeEvent(c, 1)
		<-proceed
		fmt.Fprint(c, "id: 2\nda") // breaks within an event
	})
	f.placer.set(1, false)
	done := make(chan string, 1)
	go func() {
		_, body, err := f.call(http.MethodPost, "/x", http.Header{"Id": {"stream"}})
		done <- fmt.Sprint(body, err)
	}()
	f.eventually("the stream is placed", func() bool { return len(f.placer.placedIDs()) == 1 })
	waits := f.start("/x", "waits", nil)
	close(proceed)
	<-done
	f.placer.mu.Lock()
	attempts := slices.Clone(f.placer.attempts)
	f.placer.mu.Unlock()
	if !slices.Equal(attempts, []request.ID{"stream", "stream"}) {
		t.Errorf("placements of %v, want two of the stream at once", attempts)
	}
	f.room.Close()
	f.wantStatus(waits, http.StatusServiceUnavailable)
}

// Without a room, or for requests without objectives, nothing waits; no room is a refusal with a time to
// return.
func TestNothingWaitsWithoutARoom(t *testing.T) {
	for name, change := range map[string]func(f *waitingFixture){
		"no room":       func(f *waitingFixture) { f.server.o.Room = nil },
		"no objectives": func(f *waitingFixture) { f.state.Services["s"].HasObjectives = false },
	} {
		t.Run(name, func(t *testing.T) {
			f := newWaitingFixture(t, objectiveRoute(routing.KindOnce, "/", 5))
			change(f)
			begin := time.Now()
			answer, _, err := f.call(http.MethodPost, "/x", nil)
			if err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
				t.Fatalf("got %v, %v", answer, err)
			}
			if took := time.Since(begin); took > time.Second {
				t.Errorf("refused after %s", took)
			}
		})
	}
}

// Objectives, priorities and timeouts out of range change neither the order of the others nor hold a
// request past its deadline.
func TestTimesOfAWaitAreInRange(t *testing.T) {
	start := time.Now()
	for _, objective := range []time.Duration{-time.Hour, 0, time.Millisecond, time.Second, 1000 * time.Hour} {
		for _, patience := range []time.Duration{0, time.Millisecond, 4000 * time.Hour} {
			for _, left := range []time.Duration{0, time.Millisecond, 3 * time.Second, 1000 * time.Hour} {
				j := &Job{Start: start, Deadline: start.Add(left), Route: &routing.Route{Objective: objective, Patience: patience}}
				if until := latestStart(j); until.Before(start) || until.After(j.Deadline) {
					t.Errorf("objective %s, patience %s, %s left: may wait %s", objective, patience, left, until.Sub(start))
				}
				if keep := keepBy(j); !keep.IsZero() && keep.Before(start) {
					t.Errorf("objective %s: to be kept before the start", objective)
				}
			}
		}
	}
}

// Guards against a request of a route without an objective that starts when there is hardly any time left
// for its work.
func TestTimeForWorkIsReservedWithoutAnObjective(t *testing.T) {
	start := time.Now()
	for _, route := range []*routing.Route{{}, {Patience: 2 * time.Second}} {
		j := &Job{Route: route, Start: start, Deadline: start.Add(4 * time.Second)}
		end := j.Deadline
		if route.Patience > 0 {
			end = start.Add(route.Patience)
		}
		if left, want := end.Sub(latestStart(j)), end.Sub(start)/4; left != want {
			t.Errorf("patience %s: %s are left, want %s", route.Patience, left, want)
		}
	}
}

// Guards against a request that is taken for having no room because another one has none, for which other
// replicas or a shorter wait count.
func TestRequestsThatNeedOtherRoomAreOfOtherClasses(t *testing.T) {
	route := &routing.Route{Priority: 5}
	base := Job{Meta: Meta{Model: "m", PromptTokens: 100, OutputTokens: 10}, Route: route, Org: &routing.Org{ID: "a"}}
	class := func(change func(*Job)) roomClass {
		j := base
		change(&j)
		return classOf(&j)
	}
	same := class(func(*Job) {})
	for name, change := range map[string]func(*Job){
		"model":  func(j *Job) { j.Model = "other" },
		"route":  func(j *Job) { j.Route = &routing.Route{Priority: 5} },
		"homes":  func(j *Job) { j.Org = &routing.Org{ID: "a", Homes: []routing.Region{"eu"}} },
		"length": func(j *Job) { j.OutputTokens++ },
		"hint":   func(j *Job) { j.LengthHint++ },
	} {
		if class(change) == same {
			t.Errorf("another %s makes no other class", name)
		}
	}
	if class(func(j *Job) { j.Org, j.PromptTokens = &routing.Org{ID: "b"}, 200 }) != same {
		t.Error("requests of two organisations without homes are of different classes")
	}
}

// The budget of memory holds one body beside its capacity that is larger than that allows. The waiting room, whose bound is a
// part of that capacity, refused it for ever while no replica had room.
func TestBodyBesideTheCapacityMayWait(t *testing.T) {
	f := newWaitingFixture(t, objectiveRoute(routing.KindOnce, "/", 5))
	f.server.memory = newBudget(memory.Params{Capacity: 64 << 10, Ceiling: 8 << 20}, tally.NoopScope)
	service := &routing.Service{ID: "s", Engine: &routing.Engine{Slots: 1}}
	f.state = routing.NewSnapshot(2, []*routing.Route{f.state.Match(testHost, "/x")}, []*routing.Service{service},
		organisations(map[string]request.OrgID{"k": "org"}), routing.CallerLimits{MaxBodyBytes: 4 << 20})
	done := make(chan result, 1)
	go func() {
		answer, _, err := f.send(http.MethodPost, "/x", nil, strings.Repeat("b", 2<<20)) // the room takes 1 MiB
		done <- result{answer, err}
	}()
	f.eventually("the request waits", func() bool { return f.room.State().Requests == 1 })
	f.placer.set(1, false)
	f.wantStatus(done, http.StatusOK)
}

// In a burst of patient requests, those that wait take each place that falls free, and urgent ones that arrive next
// find none. Only the most urgent may wait under such a policy; the others are told at once when to return.
func TestLessUrgentRequestsDoNotWait(t *testing.T) {
	f := newWaitingFixture(t, objectiveRoute(routing.KindOnce, "/urgent/", 0), objectiveRoute(routing.KindOnce, "/patient/", 1))
	f.server.o.WaitPolicy = WaitPolicy{MostUrgentOnly: true}
	f.placer.set(0, false)
	resp, _, err := f.call(http.MethodPost, "/patient/", nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, %v", resp, err)
	}
	done := f.start("/urgent/", "u", nil)
	f.placer.set(1, false)
	f.wantStatus(done, http.StatusOK)
}

// A patient request comes while an urgent one waits and a replica falls free. It must leave the room to the urgent one,
// although it may not wait itself.
func TestLessUrgentRequestsDoNotPassThoseThatWait(t *testing.T) {
	f := newWaitingFixture(t, objectiveRoute(routing.KindOnce, "/urgent/", 0), objectiveRoute(routing.KindOnce, "/patient/", 1))
	f.server.o.WaitPolicy = WaitPolicy{MostUrgentOnly: true}
	f.placer.set(0, false)
	done := f.start("/urgent/", "u", nil)
	f.server.o.Engines = f.fixture.placer // has room for each request that is placed
	resp, _, err := f.call(http.MethodPost, "/patient/", nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, %v", resp, err)
	}
	f.placer.set(1, false)
	f.wantStatus(done, http.StatusOK)
}

// A request whose objective has passed must not take the place that the next one needs to keep its own. Under such a
// policy it is refused when it can no longer be on time, long before its deadline.
func TestRequestDoesNotWaitPastItsObjective(t *testing.T) {
	route := objectiveRoute(routing.KindOnce, "/", 0)
	route.Timeout = 20 * time.Second
	f := newWaitingFixture(t, route)
	f.server.o.WaitPolicy = WaitPolicy{OnTimeOnly: true}
	f.placer.set(0, false)
	began := time.Now()
	resp, _, err := f.call(http.MethodPost, "/", nil)
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Fatalf("got %v, %v", resp, err)
	}
	if took := time.Since(began); took > route.Timeout/4 {
		t.Errorf("refused after %s", took)
	}
}
