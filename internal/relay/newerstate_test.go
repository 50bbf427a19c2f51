package relay

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/crashes"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// moved returns a newer desired state than the fixture's first: its route leads to service "s2" and has a kind.
func (f *fixture) moved(kind routing.Kind) *routing.Snapshot {
	old := f.state.Match(testHost, "/x")
	next := *old
	next.Kind, next.Shares = kind, []routing.Share{{Service: "s2", Weight: 1}}
	s2 := *f.state.Services["s"]
	s2.ID = "s2"
	return routing.NewSnapshot(f.state.Version+1, []*routing.Route{&next}, []*routing.Service{f.state.Services["s"], &s2},
		organisations(map[string]request.OrgID{"k": "org"}), f.state.Limits)
}

// withoutKey returns a newer desired state than the fixture's first, without its key.
func (f *fixture) withoutKey() *routing.Snapshot {
	return routing.NewSnapshot(f.state.Version+1, []*routing.Route{f.state.Match(testHost, "/x")}, []*routing.Service{f.state.Services["s"]},
		organisations(map[string]request.OrgID{"other": "org"}), f.state.Limits)
}

// TestRetryFollowsNewerState guards against retries at the service that a route has left, or with a key that was taken away,
// while the first attempt ran.
func TestRetryFollowsNewerState(t *testing.T) {
	const ran, notRun = true, false
	for _, c := range []struct {
		name      string
		kind      routing.Kind
		newer     func(f *fixture) *routing.Snapshot
		firstRuns bool
		status    int
		body      string
	}{
		{"moved, not run", routing.KindOnce, func(f *fixture) *routing.Snapshot { return f.moved(routing.KindOnce) }, notRun, 200, "s2"},
		{"moved, may have run", routing.KindIdempotent, func(f *fixture) *routing.Snapshot { return f.moved(routing.KindIdempotent) }, ran, 200, "s2"},
		{"may run once only now, may have run", routing.KindIdempotent, func(f *fixture) *routing.Snapshot { return f.moved(routing.KindOnce) }, ran, 502, ""},
		{"may run once only now, not run", routing.KindIdempotent, func(f *fixture) *routing.Snapshot { return f.moved(routing.KindOnce) }, notRun, 200, "s2"},
		{"key gone, not run", routing.KindIdempotent, (*fixture).withoutKey, notRun, 401, ""},
		{"key gone, may have run", routing.KindIdempotent, (*fixture).withoutKey, ran, 502, ""},
		{"route gone", routing.KindOnce, func(f *fixture) *routing.Snapshot {
			return routing.NewSnapshot(2, nil, nil, organisations(nil), routing.CallerLimits{})
		}, notRun, 404, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, route(c.kind))
			f.addReplica(func(conn net.Conn, id string) {
				f.newer.Store(c.newer(f))
				if !c.firstRuns {
					writeNotRun(conn, id)
				}
			})
			f.addReplica(func(conn net.Conn, id string) { writeOK(conn, id, "s") })
			f.addReplicaOf("s2", func(conn net.Conn, id string) { writeOK(conn, id, "s2") })
			answer, body, err := f.post("body")
			if err != nil {
				t.Fatal(err)
			}
			if answer.StatusCode != c.status || c.body != "" && body != c.body {
				t.Errorf("got %d %q, want %d %q", answer.StatusCode, body, c.status, c.body)
			}
		})
	}
}

// TestRetryIsRefusedForTheMomentByAStateThatMayBeOld guards against a final refusal of an accepted request by a state that is
// not known to be the newest.
func TestRetryIsRefusedForTheMomentByAStateThatMayBeOld(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.current = false
	f.addReplica(func(conn net.Conn, id string) {
		f.newer.Store(f.withoutKey())
		writeNotRun(conn, id)
	})
	if answer, _, err := f.post("body"); err != nil || answer.StatusCode != http.StatusServiceUnavailable || answer.Header.Get("Retry-After") == "" {
		t.Errorf("got %v, %v, want 503 with Retry-After", answer, err)
	}
}

// TestBegunStreamGoesOnAtItsService guards against a stream whose second half comes from another service, or that breaks because
// its key was taken away after it had begun.
func TestBegunStreamGoesOnAtItsService(t *testing.T) {
	for name, newer := range map[string]func(f *fixture) *routing.Snapshot{
		"moved":    func(f *fixture) *routing.Snapshot { return f.moved(routing.KindStream) },
		"key gone": (*fixture).withoutKey,
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, resumableRoute())
			f.addReplica(func(conn net.Conn, id string) {
				writeStreamHead(conn, id)
				writeEvent(conn, 1)
				f.newer.Store(newer(f))
				resetConn(conn)
			})
			f.addReplica(func(conn net.Conn, id string) {
				writeStreamHead(conn, id)
				writeEvent(conn, 2)
			})
			f.addReplicaOf("s2", func(net.Conn, string) { t.Error("the stream went on at another service") })
			if _, body, err := f.post("body"); err != nil || !strings.Contains(body, "data: 2") {
				t.Errorf("got %q, %v", body, err)
			}
		})
	}
}

// TestSlowRequestIsJudgedByNewerState guards against a request whose body arrives so slowly that its route moves, or its key is taken
// away, before it can run.
func TestSlowRequestIsJudgedByNewerState(t *testing.T) {
	for name, c := range map[string]struct {
		newer  func(f *fixture) *routing.Snapshot
		status int
	}{
		"moved":    {func(f *fixture) *routing.Snapshot { return f.moved(routing.KindOnce) }, 200},
		"key gone": {(*fixture).withoutKey, 401},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route(routing.KindOnce))
			f.addReplica(func(net.Conn, string) {
				t.Error("the request ran at the service that its route has left, or with a key that was taken away")
			})
			f.addReplicaOf("s2", func(conn net.Conn, id string) { writeOK(conn, id, "s2") })
			answer, _, err := f.sendBody(&slowBody{parts: []string{"first", "second"}, between: func() { f.newer.Store(c.newer(f)) }})
			if err != nil || answer.StatusCode != c.status {
				t.Errorf("got %v, %v, want %d", answer, err, c.status)
			}
		})
	}
}

// slowBody is a body that calls between before its last part, a while after the others were sent.
type slowBody struct {
	parts   []string
	between func()
}

func (b *slowBody) Read(p []byte) (int, error) {
	if len(b.parts) == 0 {
		return 0, io.EOF
	}
	if len(b.parts) == 1 {
		time.Sleep(50 * time.Millisecond)
		b.between()
	}
	n := copy(p, b.parts[0])
	b.parts = b.parts[1:]
	return n, nil
}

// TestWaitingRequestFollowsNewerState guards against requests that wait for a service that their route has left, or with a key that was
// taken away, until their time is over.
func TestWaitingRequestFollowsNewerState(t *testing.T) {
	for name, c := range map[string]struct {
		newer  func(f *waitingFixture) *routing.Snapshot
		status int
	}{
		"moved":    {func(f *waitingFixture) *routing.Snapshot { return f.movedToPlain() }, 200},
		"key gone": {func(f *waitingFixture) *routing.Snapshot { return f.withoutKey() }, 401},
	} {
		t.Run(name, func(t *testing.T) {
			slow := objectiveRoute(routing.KindOnce, "/", 5)
			slow.Objective = 0
			slow.Timeout = time.Minute
			f := newWaitingFixtureWithoutReplicas(t, slow, objectiveRoute(routing.KindOnce, "/fast/", 5))
			f.addReplica(func(net.Conn, string) { t.Error("the request ran by the older state") })
			f.addReplicaOf("s2", func(conn net.Conn, id string) { writeOK(conn, id, "s2") })
			done := f.start("/x", "waits", nil)
			f.newer.Store(c.newer(f))
			f.server.OnState()
			f.wantStatus(done, c.status)
		})
	}
}

// movedToPlain is moved with a service that has no engine, for which nothing waits.
func (f *waitingFixture) movedToPlain() *routing.Snapshot {
	state := f.moved(routing.KindOnce)
	state.Services["s2"].Engine = nil
	return state
}

// slowCrashTracker is a CrashTracker that admits a request after a while.
type slowCrashTracker struct {
	CrashTracker
	meanwhile func()
}

func (*slowCrashTracker) RecordSuccess(crashes.TraitsFunc) {}

func (*slowCrashTracker) Refuses(crashes.TraitsFunc) *request.Error { return nil }

func (c *slowCrashTracker) Admit(context.Context, crashes.TraitsFunc) *request.Error {
	c.meanwhile()
	return nil
}

// TestPlacedRequestFollowsNewerState guards against a request that is sent as it was placed although the desired state has changed
// since, because a check held it up.
func TestPlacedRequestFollowsNewerState(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.server.o.CrashTracker = &slowCrashTracker{meanwhile: func() { f.newer.Store(f.moved(routing.KindOnce)) }}
	f.addReplica(func(net.Conn, string) { t.Error("the request ran at the service that its route has left") })
	f.addReplicaOf("s2", func(conn net.Conn, id string) { writeOK(conn, id, "s2") })
	if answer, body, err := f.post("body"); err != nil || body != "s2" {
		t.Errorf("got %v %q, %v", answer, body, err)
	}
	if n := f.placer.replicas[0].Load.Total(time.Now()).Requests; n != 0 {
		t.Errorf("%d requests count at the replica that got none", n)
	}
}

// TestNewerLimitOfHeadersIsInForce guards against requests that run although their headers are longer than the desired state allows, or
// that are refused although it allows them.
func TestNewerLimitOfHeadersIsInForce(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.addReplica(func(conn net.Conn, id string) { writeOK(conn, id, "s") })
	header := http.Header{"Long": {strings.Repeat("a", 1000)}}
	for _, c := range []struct{ limit, status int }{{0, 200}, {900, 431}, {2000, 200}} {
		limits := f.state.Limits
		limits.MaxHeaderBytes = c.limit
		next := routing.NewSnapshot(f.state.Version+uint64(c.limit), []*routing.Route{f.state.Match(testHost, "/x")}, []*routing.Service{f.state.Services["s"]},
			organisations(map[string]request.OrgID{"k": "org"}), limits)
		f.newer.Store(next)
		answer, _, err := f.call(http.MethodPost, "/x", header)
		if err != nil || answer.StatusCode != c.status {
			t.Errorf("limit %d: got %v, %v, want %d", c.limit, answer, err, c.status)
		}
	}
}
