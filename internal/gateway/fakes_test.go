package gateway

import (
	"cmp"
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/pipeline"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/tabletest"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

const (
	testKey      = "atlas-key"
	completeText = "one two three "
	testTimeout  = 2 * time.Second
)

// outcome is the result of a step before the relay, or of an attempt at a target.
type outcome string

const (
	passes            outcome = "passes"
	refuses           outcome = "refuses"
	panics            outcome = "panics"
	dialRefused       outcome = "dial refused"
	closedBeforeBytes outcome = "closed before bytes"
	closedAfterBytes  outcome = "closed after bytes"
	serverError       outcome = "5xx"
	wrongVersion      outcome = "wrong version"
	silent            outcome = "timeout"
)

// testEnv implements all dependencies of a gateway. It counts acquired and released
// resources. A step named in fail ends with the outcome given there.
type testEnv struct {
	tables          Tables
	onAcquire       func() // called while a job waits for its grant; nil: nothing happens
	members         fakeMembers
	holder          journal.Holder
	fail            map[string]outcome
	attemptOutcomes []outcome // of successive attempts at the target; passes after the last

	mu         sync.Mutex
	taken      map[string]int // resources currently held, by kind
	received   int            // number of requests that the target received
	attempts   []request.ID   // ids of the attempts at the target
	acquireIDs []request.ID   // request ids of the acquire requests
	settled    string         // the outcome of the last ticket
	target     string         // address of the target
	others     string         // address of all other targets; empty if it is that of the target

	second         request.TargetID // the instance after the first one is excluded; empty for the first one again
	replay         *journal.Result  // what the journal has of each call; nil if nothing
	serviceTimeout time.Duration    // of a call; 0 for a short one
}

func newTables(t *testing.T) *table.Replica {
	return tablesWith(t, fmt.Sprintf("atlas,%x,1,1000,1000,500,1000000,verdict,cards;lookup\n", sha256.Sum256([]byte(testKey))))
}

// tablesWith returns tables with some organisations.
func tablesWith(t *testing.T, organisations string) *table.Replica {
	return tabletest.Load(t, kv.NewFake(time.Now).Client("d1"), tabletest.Rows{
		Organisations: organisations,
		Models:        "verdict,v1,1024,3\n",
		Targets: "engine-1,engine,127.0.0.1:1,conche,verdict,,,true,false,1\n" +
			"cards-1,service,127.0.0.1:2,conche,,,cards,false,false,1\n" +
			"lookup-1,service,127.0.0.1:3,conche,,,lookup,false,true,1\n",
	})
}

func newTestEnv(tables Tables) *testEnv {
	return &testEnv{
		tables: tables, members: fakeMembers{self: &peer.Member{Id: "d1"}}, holder: journal.Holder{ID: "d1"},
		fail: map[string]outcome{}, taken: map[string]int{},
	}
}

// startTarget starts the fake target.
func (e *testEnv) startTarget(t testing.TB) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(e.serveTarget))
	s.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	t.Cleanup(s.Close)
	e.target = s.Listener.Addr().String()
	return s
}

// startOther starts a target that answers nothing but accepts connections, and returns its address.
func (e *testEnv) startOther(t testing.TB) string {
	s := httptest.NewServer(http.NotFoundHandler())
	t.Cleanup(s.Close)
	return s.Listener.Addr().String()
}

func (e *testEnv) gateway(t testing.TB) *Gateway {
	g := New(Options{
		Tables: e.tables, Members: e.members, Limiter: e, Journal: e, Contexts: e, Coordinators: e, Targets: e, Quarantine: fakeQuarantine{e},
		Logger: hclog.NewNullLogger(), Credits: 8, MaxBody: 1 << 20, DefaultDeadline: time.Minute,
		MaxResumes: 1, StreamIdleTimeout: testTimeout, FirstFrameTimeout: testTimeout, HopIdleTimeout: testTimeout,
		WriteTimeout: testTimeout,
	})
	t.Cleanup(g.Shutdown)
	return g
}

// step returns or panics according to fail, and counts the resource if it passes.
func (e *testEnv) step(name, resource string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch e.fail[name] {
	case panics:
		panic(name)
	case refuses:
		return false
	}
	e.taken[resource]++
	return true
}

func (e *testEnv) release(resource string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.taken[resource]--
}

type fakeMembers struct{ self, home, other *peer.Member }

func (m fakeMembers) Self() *peer.Member        { return m.self }
func (m fakeMembers) Live() []*peer.Member      { return nil }
func (m fakeMembers) Owner(string) *peer.Member { return m.home }
func (m fakeMembers) Rank(string, int) []*peer.Member {
	if m.other != nil {
		return []*peer.Member{m.self, m.other}
	}
	return []*peer.Member{m.self}
}
func (e *testEnv) Partition(request.OrgID, string) int                  { return 0 }
func (e *testEnv) ReportNotHolder(int)                                  {}
func (e *testEnv) Done(request.OrgID, int64)                            { e.release("slice") }
func (e *testEnv) Release(Grant, Release)                               { e.release("grant") }
func (e *testEnv) End(request.ID)                                       { e.release("flight") }
func (e *testEnv) OnAnswer(Context, CompletionStats)                    {}
func (e *testEnv) RunImport(context.Context, Context, Choice)           {}
func (e *testEnv) TargetDied(context.Context, request.TargetID, uint64) {}

func (e *testEnv) Admit(context.Context, *table.Organisation, int64) *request.Error {
	if !e.step("limit", "slice") {
		return request.Refuse(request.CodeOverLimit, http.StatusTooManyRequests, time.Second, "limit")
	}
	return nil
}

func (e *testEnv) Choose(context.Context, Context, map[request.TargetID]bool) []Choice {
	return []Choice{{Target: table.Target{ID: "engine-1"}}}
}

func (e *testEnv) Version(context.Context, request.Model) (request.Version, bool) { return "", false }

func (e *testEnv) RankInstances(_ context.Context, _ string, exclude map[request.TargetID]bool) []table.Target {
	if e.second != "" && exclude["cards-1"] {
		return []table.Target{{ID: e.second}}
	}
	return []table.Target{{ID: "cards-1"}}
}

func (e *testEnv) Acquire(_ context.Context, a AcquireRequest) (Grant, *request.Error) {
	if !e.step("queue", "grant") {
		return Grant{}, request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, time.Second, "queue")
	}
	if e.onAcquire != nil {
		e.onAcquire()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.acquireIDs = append(e.acquireIDs, a.Request)
	return Grant{ID: "g"}, nil
}

func (e *testEnv) Holder(context.Context, int) (journal.Holder, error) { return e.holder, nil }

func (e *testEnv) Begin(context.Context, journal.Call) (*journal.Ticket, *journal.Result, error) {
	if !e.step("once", "ticket") {
		return nil, nil, errors.New("key-value service unavailable")
	}
	if e.replay != nil {
		e.release("ticket")
		return nil, e.replay, nil
	}
	return &journal.Ticket{}, nil, nil
}

func (e *testEnv) settleAs(result string) error {
	e.release("ticket")
	e.mu.Lock()
	defer e.mu.Unlock()
	e.settled = result
	if e.fail["settle"] == panics {
		panic("settle")
	}
	return nil
}

func (e *testEnv) Finish(context.Context, *journal.Ticket, journal.Result) error {
	return e.settleAs("finish")
}
func (e *testEnv) Abort(context.Context, *journal.Ticket) error       { return e.settleAs("abort") }
func (e *testEnv) MarkInDoubt(context.Context, *journal.Ticket) error { return e.settleAs("doubt") }

func (e *testEnv) Gate(context.Context, quarantine.Fingerprint) quarantine.Decision {
	e.step("gate", "")
	return quarantine.Decision{}
}

// fakeQuarantine adapts testEnv to Quarantine, since testEnv.Begin implements Journal.
type fakeQuarantine struct{ *testEnv }

func (r fakeQuarantine) Begin(quarantine.Fingerprint, request.ID, request.TargetID, bool) bool {
	return r.step("dispatch", "flight")
}

// Client returns the client of the target, or of an address that refuses connections if
// that is the next attempt's outcome.
func (e *testEnv) Client(t table.Target) *target.Client {
	e.mu.Lock()
	defer e.mu.Unlock()
	address := e.target
	if e.others != "" && t.ID == "lookup-1" {
		address = e.others
	}
	if len(e.attemptOutcomes) > 0 && e.attemptOutcomes[0] == dialRefused {
		e.attemptOutcomes = e.attemptOutcomes[1:]
		address = "127.0.0.1:1"
	}
	if e.fail["relay"] == panics {
		panic("relay")
	}
	if e.fail["sent"] == panics {
		return nil // the call panics after it has been marked as sent
	}
	return target.New(target.Options{
		ID: t.ID, Address: address, HeaderTimeout: 200 * time.Millisecond, ServiceTimeout: cmp.Or(e.serviceTimeout, 200*time.Millisecond), MaxIdle: -1,
	})
}

func (e *testEnv) nextOutcome() outcome {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.received++
	if len(e.attemptOutcomes) == 0 {
		return passes
	}
	next := e.attemptOutcomes[0]
	e.attemptOutcomes = e.attemptOutcomes[1:]
	return next
}

func (e *testEnv) serveTarget(out http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == engineapi.PathState || r.Method == http.MethodDelete:
		_ = json.NewEncoder(out).Encode(engineapi.State{})
		return
	case r.Method == http.MethodGet: // a stream can not be resumed after its connection closes
		out.WriteHeader(http.StatusNotFound)
		return
	}
	var req engineapi.CompletionRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	e.mu.Lock()
	e.attempts = append(e.attempts, req.RequestID)
	e.mu.Unlock()
	result := e.nextOutcome()
	switch result {
	case closedBeforeBytes:
		panic(http.ErrAbortHandler)
	case serverError:
		out.WriteHeader(http.StatusInternalServerError)
		return
	case silent:
		<-r.Context().Done()
		return
	}
	if r.URL.Path != engineapi.PathCompletions {
		e.serveCall(out, result)
		return
	}
	frames := []engineapi.Frame{
		{Text: completeText[:4]}, {Text: completeText[4:]}, {Done: true, Usage: &engineapi.Usage{OutputTokens: 3}},
	}
	for i, f := range frames {
		f.RequestID, f.Seq, f.Version = req.RequestID, i, req.Version
		if result == wrongVersion {
			f.Version = "v0"
		}
		data, _ := json.Marshal(f)
		_, _ = fmt.Fprintf(out, "data: %s\n\n", data)
		_ = http.NewResponseController(out).Flush()
		if result == closedAfterBytes {
			panic(http.ErrAbortHandler)
		}
	}
}

func (e *testEnv) serveCall(out http.ResponseWriter, result outcome) {
	if result == closedAfterBytes {
		out.Header().Set("Content-Length", "100")
		_, _ = out.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write([]byte("printed"))
}

var nopScope = tally.NoopScope

// staticTables provides a table without rows.
type staticTables struct{}

func (staticTables) Current() *table.Snapshot          { return &table.Snapshot{} }
func (staticTables) Confirmed(time.Time) time.Duration { return 0 }

// newPipelineWithoutCredits returns a pipeline without credits.
func newPipelineWithoutCredits() *pipeline.Pipeline[*Job] {
	return pipeline.New(pipeline.Options[*Job]{Logger: hclog.NewNullLogger()})
}
