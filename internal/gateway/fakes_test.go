package gateway

import (
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
	testKey    = "atlas-key"
	wholeText  = "one two three "
	testSilent = 2 * time.Second
)

// outcome is how a step before the relay, or a try at a target, ends.
type outcome string

const (
	passes       outcome = "passes"
	refuses      outcome = "refuses"
	panics       outcome = "panics"
	dialRefused  outcome = "dial refused"
	cutAtOnce    outcome = "cut before bytes"
	cutAfter     outcome = "cut after bytes"
	serverError  outcome = "5xx"
	wrongVersion outcome = "wrong version"
	silent       outcome = "timeout"
)

// world is everything around a gateway. It counts what is taken and given back, and
// the first step named in fail ends as said there.
type world struct {
	tables  *table.Replica
	members fakeMembers
	holder  journal.Holder
	fail    map[string]outcome
	tries   []outcome // at the target, one after the other; then passes

	mu       sync.Mutex
	taken    map[string]int // what is held now, by kind
	received int            // requests that the target read
	attempts []request.ID   // names of tries at the target
	works    []request.ID   // names of asks for grants
	settled  string         // how the last ticket was settled
	target   string         // address
}

func newTables(t *testing.T) *table.Replica {
	return tabletest.Load(t, kv.NewFake(time.Now).Client("d1"), tabletest.Rows{
		Organisations: fmt.Sprintf("atlas,%x,1,1000,1000,500,1000000,verdict,cards;lookup\n", sha256.Sum256([]byte(testKey))),
		Models:        "verdict,v1,1024,3\n",
		Targets: "engine-1,engine,127.0.0.1:1,conche,verdict,,,true,false,1\n" +
			"cards-1,service,127.0.0.1:2,conche,,,cards,false,false,1\n" +
			"lookup-1,service,127.0.0.1:3,conche,,,lookup,false,true,1\n",
	})
}

func newWorld(tables *table.Replica) *world {
	return &world{
		tables: tables, members: fakeMembers{self: &peer.Member{Id: "d1"}}, holder: journal.Holder{ID: "d1"},
		fail: map[string]outcome{}, taken: map[string]int{},
	}
}

// serve starts the target.
func (w *world) serve(t testing.TB) *httptest.Server {
	s := httptest.NewServer(http.HandlerFunc(w.serveTarget))
	s.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	t.Cleanup(s.Close)
	w.target = s.Listener.Addr().String()
	return s
}

func (w *world) gateway(t testing.TB) *Gateway {
	g := New(Options{
		Tables: w.tables, Members: w.members, Limiter: w, Journal: w, Contexts: w, Coordinators: w, Targets: w, Quarantine: register{w},
		Logger: hclog.NewNullLogger(), Credits: 8, MaxBody: 1 << 20, DefaultDeadline: time.Minute,
		MaxResumes: 1, StreamIdleTimeout: testSilent, FirstFrameTimeout: testSilent, HopIdleTimeout: testSilent,
		WriteTimeout: testSilent,
	})
	t.Cleanup(g.Shutdown)
	return g
}

// step ends as the test wants, and notes what was taken if it passes.
func (w *world) step(name, takes string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch w.fail[name] {
	case panics:
		panic(name)
	case refuses:
		return false
	}
	w.taken[takes]++
	return true
}

func (w *world) give(takes string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.taken[takes]--
}

type fakeMembers struct{ self, home *peer.Member }

func (m fakeMembers) Self() *peer.Member                              { return m.self }
func (m fakeMembers) Live() []*peer.Member                            { return nil }
func (m fakeMembers) Place(string) *peer.Member                       { return m.home }
func (m fakeMembers) Rank(string, int) []*peer.Member                 { return []*peer.Member{m.self} }
func (w *world) Partition(request.OrgID, string) int                  { return 0 }
func (w *world) OnHolderRefused(int)                                  {}
func (w *world) Done(request.OrgID, int64)                            { w.give("slice") }
func (w *world) Release(Grant, Release)                               { w.give("grant") }
func (w *world) End(request.ID)                                       { w.give("flight") }
func (w *world) OnAnswer(Context, CompletionStats)                    {}
func (w *world) RunImport(context.Context, Context, Choice)           {}
func (w *world) TargetDied(context.Context, request.TargetID, uint64) {}

func (w *world) Admit(context.Context, *table.Organisation, int64) *request.Error {
	if !w.step("limit", "slice") {
		return request.Refuse(request.CodeOverLimit, http.StatusTooManyRequests, time.Second, "limit")
	}
	return nil
}

func (w *world) Choose(context.Context, Context, map[request.TargetID]bool) []Choice {
	return []Choice{{Target: table.Target{ID: "engine-1"}}}
}

func (w *world) Serving(context.Context, request.Model) (request.Version, bool) { return "", false }

func (w *world) RankInstances(context.Context, string, map[request.TargetID]bool) []table.Target {
	return []table.Target{{ID: "cards-1"}}
}

func (w *world) Acquire(_ context.Context, a AcquireRequest) (Grant, *request.Error) {
	if !w.step("queue", "grant") {
		return Grant{}, request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, time.Second, "queue")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.works = append(w.works, a.Request)
	return Grant{ID: "g"}, nil
}

func (w *world) Holder(context.Context, int) (journal.Holder, error) { return w.holder, nil }

func (w *world) Begin(context.Context, journal.Call) (*journal.Ticket, *journal.Result, error) {
	if !w.step("once", "ticket") {
		return nil, nil, errors.New("service down")
	}
	return &journal.Ticket{}, nil, nil
}

func (w *world) end(how string) error {
	w.give("ticket")
	w.mu.Lock()
	defer w.mu.Unlock()
	w.settled = how
	if w.fail["settle"] == panics {
		panic("settle")
	}
	return nil
}

func (w *world) Finish(context.Context, *journal.Ticket, journal.Result) error {
	return w.end("finish")
}
func (w *world) Abort(context.Context, *journal.Ticket) error       { return w.end("abort") }
func (w *world) MarkInDoubt(context.Context, *journal.Ticket) error { return w.end("doubt") }

func (w *world) Gate(context.Context, quarantine.Fingerprint) quarantine.Decision {
	w.step("gate", "")
	return quarantine.Decision{}
}

// register makes the world a Quarantine: Journal has a Begin of its own.
type register struct{ *world }

func (r register) Begin(quarantine.Fingerprint, request.ID, request.TargetID, bool) bool {
	return r.step("dispatch", "flight")
}

// Client gives the target, or one that refuses connections if the next try wants that.
func (w *world) Client(t table.Target) *target.Client {
	w.mu.Lock()
	defer w.mu.Unlock()
	address := w.target
	if len(w.tries) > 0 && w.tries[0] == dialRefused {
		w.tries = w.tries[1:]
		address = "127.0.0.1:1"
	}
	if w.fail["relay"] == panics {
		panic("relay")
	}
	if w.fail["sent"] == panics {
		return nil // used by a call that is taken for sent
	}
	return target.New(target.Options{
		ID: t.ID, Address: address, HeaderTimeout: 200 * time.Millisecond, ServiceTimeout: 200 * time.Millisecond, MaxIdle: -1,
	})
}

func (w *world) nextTry() outcome {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.received++
	if len(w.tries) == 0 {
		return passes
	}
	next := w.tries[0]
	w.tries = w.tries[1:]
	return next
}

func (w *world) serveTarget(out http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path == engineapi.PathState || r.Method == http.MethodDelete:
		_ = json.NewEncoder(out).Encode(engineapi.State{})
		return
	case r.Method == http.MethodGet: // a stream that is resumed after a cut is gone
		out.WriteHeader(http.StatusNotFound)
		return
	}
	var req engineapi.CompletionRequest
	_ = json.NewDecoder(r.Body).Decode(&req)
	w.mu.Lock()
	w.attempts = append(w.attempts, req.RequestID)
	w.mu.Unlock()
	how := w.nextTry()
	switch how {
	case cutAtOnce:
		panic(http.ErrAbortHandler)
	case serverError:
		out.WriteHeader(http.StatusInternalServerError)
		return
	case silent:
		<-r.Context().Done()
		return
	}
	if r.URL.Path != engineapi.PathCompletions {
		w.serveCall(out, how)
		return
	}
	frames := []engineapi.Frame{
		{Text: wholeText[:4]}, {Text: wholeText[4:]}, {Done: true, Usage: &engineapi.Usage{OutputTokens: 3}},
	}
	for i, f := range frames {
		f.RequestID, f.Seq, f.Version = req.RequestID, i, req.Version
		if how == wrongVersion {
			f.Version = "v0"
		}
		data, _ := json.Marshal(f)
		_, _ = fmt.Fprintf(out, "data: %s\n\n", data)
		_ = http.NewResponseController(out).Flush()
		if how == cutAfter {
			panic(http.ErrAbortHandler)
		}
	}
}

func (w *world) serveCall(out http.ResponseWriter, how outcome) {
	if how == cutAfter {
		out.Header().Set("Content-Length", "100")
		_, _ = out.Write([]byte("half"))
		panic(http.ErrAbortHandler)
	}
	_, _ = out.Write([]byte("printed"))
}

var nopScope = tally.NoopScope

// staticTables is a table without rows.
type staticTables struct{}

func (staticTables) Current() *table.Snapshot          { return &table.Snapshot{} }
func (staticTables) Confirmed(time.Time) time.Duration { return 0 }

// newRefusingLine returns a pipeline without credits.
func newRefusingLine() *pipeline.Pipeline[*Job] {
	return pipeline.New(pipeline.Options[*Job]{Logger: hclog.NewNullLogger()})
}
