package coordinator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
	"github.com/bluebellscale/bluebellscale/internal/target"
)

// fakeEngine serves load, cache events and blocks.
type fakeEngine struct {
	mu            sync.Mutex // a call that was aborted may still be served when the next one arrives
	incarnation   uint64
	seq           uint64
	blocks        []block.Hash
	dropResponses map[string]int // number of responses to drop, by path
}

// ServeHTTP implements http.Handler.
func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.dropResponses[r.URL.Path] > 0 {
		e.dropResponses[r.URL.Path]--
		panic(http.ErrAbortHandler)
	}
	var answer any
	switch r.URL.Path {
	case engineapi.PathLoad:
		answer = engineapi.Load{Incarnation: e.incarnation}
	case engineapi.PathEvents:
		after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
		page := engineapi.EventPage{Incarnation: e.incarnation, Next: e.seq}
		for seq := after + 1; seq <= e.seq; seq++ {
			page.Events = append(page.Events, engineapi.CacheEvent{Seq: seq, Kind: engineapi.BlocksStored, Blocks: e.blocks[seq-1 : seq]})
		}
		answer = page
	case engineapi.PathBlocks:
		answer = engineapi.Snapshot{Incarnation: e.incarnation, Seq: e.seq, Blocks: e.blocks[:e.seq]}
	}
	_ = json.NewEncoder(w).Encode(answer)
}

// newPolledActor returns the actor of a fake engine, which only the test polls.
func newPolledActor(t *testing.T, e *fakeEngine) *targetActor {
	t.Helper()
	s := newService(t, "d1", "d1", unreachableCoordinator{})
	server := httptest.NewUnstartedServer(e)
	server.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	server.Start()
	t.Cleanup(server.Close)
	row, _ := s.opts.Tables.Current().Target("engine-1")
	polled := *row
	polled.Address = server.Listener.Addr().String()
	return s.ensureActor(t.Context(), polled)
}

// Guards against a coordinator that considers a target's cache empty for as long as the
// target lives, so that prompts whose context is resident there are computed again. This
// comes about when the response to the only snapshot request is lost, when the residency
// is cleared after failed polls, or when the target restarts and its event numbers happen
// to continue at the expected one.
func TestResidencyRecoversAfterEachFault(t *testing.T) {
	faults := map[string]func(*fakeEngine){
		// Two responses, since net/http itself retries when a pooled connection is closed.
		"snapshot lost":                 func(e *fakeEngine) { e.dropResponses[engineapi.PathBlocks] = 2; e.incarnation++ },
		"unreachable for a while":       func(e *fakeEngine) { e.dropResponses[engineapi.PathLoad] = 2 * failuresUntilDown },
		"restarted, sequence continues": func(e *fakeEngine) { e.incarnation++; e.seq += 3 },
		"restarted, sequence restarts":  func(e *fakeEngine) { e.incarnation++; e.seq = 2 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			chain := block.Chain("salt", make([]byte, 10*block.BytesPerBlock))
			e := &fakeEngine{incarnation: 1, seq: 5, blocks: chain, dropResponses: map[string]int{}}
			a := newPolledActor(t, e)
			cur, failures := cursor{lost: true}, 0
			check := func() {
				t.Helper()
				v, _ := a.queryView(t.Context(), Prompt{}, newProbe(chain[:e.seq]))
				if v.unconfirmed || v.resident != int(e.seq) {
					t.Fatalf("unconfirmed %v, %d of %d blocks", v.unconfirmed, v.resident, e.seq)
				}
			}
			failures = a.pollAndRecord(t.Context(), failures, &cur)
			check()
			e.mu.Lock()
			fault(e)
			e.mu.Unlock()
			for range 2*failuresUntilDown + 2 {
				failures = a.pollAndRecord(t.Context(), failures, &cur)
			}
			check()
		})
	}
}

// The VM list marks a target's VM as leaving. A request placed there after the next poll
// would be aborted when the VM terminates.
func TestLeavingVMGetsNoGrantAfterTheNextPoll(t *testing.T) {
	e := &fakeEngine{incarnation: 1, dropResponses: map[string]int{}}
	a := newPolledActor(t, e)
	cur := cursor{lost: true}
	a.pollAndRecord(t.Context(), 0, &cur)
	first, refusal := a.service.Acquire(t.Context(), grantRequest("r1"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	a.service.Release(first, gateway.Release{})
	a.service.setLeaving([]platform.VM{{Address: "127.0.0.1", Leaving: true}})
	a.pollAndRecord(t.Context(), 0, &cur)
	if _, refusal := a.service.Acquire(t.Context(), grantRequest("r2")); refusal == nil || refusal.RetryAfter == 0 || refusal.Ran != request.NotRun {
		t.Fatalf("got %v, want a refusal that says not run and has a retry delay", refusal)
	}
}

// newTwoDaemons returns the services of d1 and d2. In the membership of both, d1 is the
// coordinator; d2 calls it over twirp.
func newTwoDaemons(t *testing.T) (requester, holder *Service, server *httptest.Server) {
	t.Helper()
	holder = newService(t, "d1", "d1", unreachableCoordinator{})
	server = httptest.NewServer(&killableHandler{Handler: peer.NewStewardServer(localCoordinator{holder.Server()})})
	t.Cleanup(server.Close)
	requester = newService(t, "d2", "d1", peer.NewStewardProtobufClient(server.URL, http.DefaultClient))
	return requester, holder, server
}

// killableHandler is a handler that can be killed: it then answers no request, not even
// on connections that were made before.
type killableHandler struct {
	http.Handler
	killed atomic.Bool
}

// ServeHTTP implements http.Handler.
func (m *killableHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.killed.Load() {
		panic(http.ErrAbortHandler)
	}
	m.Handler.ServeHTTP(w, r)
}

func (a *targetActor) counts(t *testing.T) (running, waiting int) {
	v, ok := a.queryView(t.Context(), Prompt{}, probe{})
	if !ok {
		t.Fatal("no reply from the actor")
	}
	return v.running, v.waiting
}

// A coordinator dies while one request waits in its queue and another holds the target's
// only slot. The waiting request must not stay blocked until its deadline: the daemon that
// sent it decides instead.
func TestWaitingRequestSurvivesCoordinatorFailure(t *testing.T) {
	requester, holder, server := newTwoDaemons(t)
	if _, refusal := holder.Acquire(t.Context(), grantRequest("r1")); refusal != nil {
		t.Fatal(refusal)
	}
	granted := make(chan *request.Error, 1)
	go func() {
		_, refusal := requester.Acquire(context.Background(), grantRequest("r2"))
		granted <- refusal
	}()
	a := holder.allActors()[0]
	for waiting := 0; waiting == 0; {
		_, waiting = a.counts(t)
	}
	server.Config.Handler.(*killableHandler).killed.Store(true)
	server.Listener.Close()
	server.CloseClientConnections()
	if refusal := <-granted; refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
}

// Two daemons each act as the coordinator of a target with one slot. Each grants it, so
// the target has two requests, which exceeds its capacity and which its own queue absorbs.
// Each grant is released at the daemon that issued it.
func TestTwoCoordinatorsOnlyOversubscribeTarget(t *testing.T) {
	requester, holder, _ := newTwoDaemons(t)
	remote, refusal := requester.Acquire(t.Context(), grantRequest("r1"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	local, refusal := requester.acquireFromSelf(t.Context(), grantRequest("r2"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	requester.Release(remote, gateway.Release{})
	requester.Release(local, gateway.Release{})
	for _, s := range []*Service{requester, holder} {
		for running := 1; running != 0; {
			running, _ = s.allActors()[0].counts(t) // a release at a peer is asynchronous
		}
	}
}

// A stream that outlasts grantTTL keeps its grant through renewals, which go to the daemon
// that issued the grant. A grant that has been removed is not renewed.
func TestGrantsAreRenewedAtIssuingCoordinator(t *testing.T) {
	b := newGrantRegistry()
	b.add("r1", gateway.Grant{ID: "g1", Target: "engine-1"}, &peer.Member{Id: "d2"})
	if due, _ := b.takeDue(time.Now()); len(due) != 0 {
		t.Fatalf("due immediately: %v", due)
	}
	later := time.Now().Add(grantTTL / 2)
	due, issuers := b.takeDue(later)
	if got := due[renewalKey{target: "engine-1", issuer: "d2"}]; len(got) != 1 || got[0] != "r1" || issuers["d2"] == nil {
		t.Fatalf("due %v at %v", due, issuers)
	}
	if again, _ := b.takeDue(later); len(again) != 0 {
		t.Fatal("renewed twice")
	}
	b.remove("g1")
	if after, _ := b.takeDue(later.Add(grantTTL)); len(after) != 0 {
		t.Fatal("renewed after its end")
	}
}

// FuzzPeerMessages sends a coordinator messages that no correct daemon sends.
func FuzzPeerMessages(f *testing.F) {
	f.Add("engine-1", "r1", "atlas", int64(10), int64(100), false, "fp", []byte("hash"), int32(1))
	f.Add("engine-1", "r1", "", int64(-1<<63), int64(1<<62), true, "", make([]byte, len(block.Hash{})), int32(-5))
	s := newService(f, "d1", "d1", unreachableCoordinator{})
	server := s.Server()
	f.Fuzz(func(t *testing.T, id, r, org string, tokens, deadline int64, suspect bool, fp string, hash []byte, position int32) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		resp, err := server.Acquire(ctx, &peer.AcquireRequest{
			Target: id, RequestId: r, Organisation: org, PromptTokens: tokens, DeadlineMs: deadline, Suspect: suspect, Fingerprint: fp,
		})
		if err == nil && resp.Granted {
			_, _ = server.Release(ctx, &peer.ReleaseRequest{Target: id, GrantId: resp.GrantId, PrefillTokens: tokens})
		}
		look, err := server.Look(context.Background(), &peer.LookRequest{
			Targets: []string{id}, Organisation: org, PromptTokens: tokens, Positions: []int32{position}, Hashes: [][]byte{hash},
		})
		if err == nil && len(look.Views) == 1 && (look.Views[0].ExpectedWaitMs < 0 || look.Views[0].ResidentBlocks < 0) {
			t.Fatalf("got %v", look.Views[0])
		}
		// A well-formed request must still be served afterwards.
		honest, refusal := s.Acquire(context.Background(), grantRequest("honest"))
		if refusal != nil {
			t.Fatalf("a well-formed request was refused: %v", refusal)
		}
		s.Release(honest, gateway.Release{PrefillTokens: 10})
	})
}

// targetsAt provides clients of one address for all targets but one.
type targetsAt struct {
	unreached request.TargetID
	address   string
}

func (p targetsAt) Client(t table.Target) *target.Client {
	address := p.address
	if t.ID == p.unreached {
		address = "127.0.0.1:1"
	}
	return target.New(target.Options{ID: t.ID, Address: address, DialTimeout: time.Second, HeaderTimeout: time.Second})
}

// A daemon that is cut off from all targets must not take them for down: the queues that it keeps for other daemons, which reach
// them, would be emptied. A target that alone is not reached is down.
func TestTargetIsDownOnlyIfAnotherIsReached(t *testing.T) {
	s := newService(t, "d1", "d1", unreachableCoordinator{})
	row, _ := s.opts.Tables.Current().Target("engine-1")
	a := s.ensureActor(t.Context(), *row)
	failed := errors.New("the poll failed")
	s.opts.Targets = targetsAt{unreached: row.ID, address: "127.0.0.1:1"}
	for range 5 {
		if n := a.recordPoll(failuresUntilDown-1, failed); n >= failuresUntilDown {
			t.Fatal("a target counts as down on a daemon that reaches none")
		}
	}
	alive := httptest.NewServer(&fakeEngine{})
	defer alive.Close()
	s.opts.Targets = targetsAt{unreached: row.ID, address: alive.Listener.Addr().String()}
	if n := a.recordPoll(failuresUntilDown-1, failed); n != failuresUntilDown {
		t.Error("a target that alone is not reached does not count as down")
	}
}
