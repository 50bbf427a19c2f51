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

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/gateway"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// fakeEngine shows load, cache events and blocks.
type fakeEngine struct {
	mu          sync.Mutex // a question that was cut may still be served when the next comes
	incarnation uint64
	seq         uint64
	blocks      []block.Hash
	lose        map[string]int // answers to be lost, by path
}

// ServeHTTP implements http.Handler.
func (e *fakeEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.lose[r.URL.Path] > 0 {
		e.lose[r.URL.Path]--
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

// polledKeeper returns the keeper of a fake engine. Nothing polls it but the test.
func polledKeeper(t *testing.T, e *fakeEngine) *keeper {
	t.Helper()
	s := newService(t, "d1", "d1", deadSteward{})
	server := httptest.NewUnstartedServer(e)
	server.Config.ErrorLog = hclog.NewNullLogger().StandardLogger(nil)
	server.Start()
	t.Cleanup(server.Close)
	row, _ := s.opts.Tables.Current().Target("engine-1")
	polled := *row
	polled.Address = server.Listener.Addr().String()
	return s.keeper(t.Context(), polled)
}

// A prompt whose context lies in a target's accelerator memory is computed anew, from
// some fault on, for as long as the target lives: its steward holds it for empty. The
// fault cost it the one snapshot that it asked for, or cleared what it knew, or let the
// target restart and count on at the very number that was due.
func TestResidencyComesBackAfterEachFault(t *testing.T) {
	faults := map[string]func(*fakeEngine){
		// Twice, since the HTTP library itself asks again if a pooled connection is cut.
		"snapshot lost":        func(e *fakeEngine) { e.lose[engineapi.PathBlocks] = 2; e.incarnation++ },
		"cut off for a while":  func(e *fakeEngine) { e.lose[engineapi.PathLoad] = 2 * failuresUntilDown },
		"restarted, counts on": func(e *fakeEngine) { e.incarnation++; e.seq += 3 },
		"restarted, counts":    func(e *fakeEngine) { e.incarnation++; e.seq = 2 },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			chain := block.Chain("salt", make([]byte, 10*block.BytesPerBlock))
			e := &fakeEngine{incarnation: 1, seq: 5, blocks: chain, lose: map[string]int{}}
			k := polledKeeper(t, e)
			at, failures := cursor{lost: true}, 0
			check := func() {
				t.Helper()
				v, _ := k.look(t.Context(), Prompt{}, probeOf(chain[:e.seq]))
				if v.unsure || v.resident != int(e.seq) {
					t.Fatalf("unsure %v, %d of %d blocks", v.unsure, v.resident, e.seq)
				}
			}
			failures = k.pollAndJudge(t.Context(), failures, &at)
			check()
			e.mu.Lock()
			fault(e)
			e.mu.Unlock()
			for range 2*failuresUntilDown + 2 {
				failures = k.pollAndJudge(t.Context(), failures, &at)
			}
			check()
		})
	}
}

// The VM list says that a target's VM is leaving. A request placed there after the next
// poll would be cut with the VM.
func TestLeavingVMGetsNoGrantAfterTheNextPoll(t *testing.T) {
	e := &fakeEngine{incarnation: 1, lose: map[string]int{}}
	k := polledKeeper(t, e)
	at := cursor{lost: true}
	k.pollAndJudge(t.Context(), 0, &at)
	first, refusal := k.service.Acquire(t.Context(), ask("r1"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	k.service.Release(first, gateway.Release{})
	k.service.setLeaving([]platform.VM{{Address: "127.0.0.1", Leaving: true}})
	k.pollAndJudge(t.Context(), 0, &at)
	if _, refusal := k.service.Acquire(t.Context(), ask("r2")); refusal == nil || refusal.RetryAfter == 0 || refusal.Ran != request.NotRun {
		t.Fatalf("got %v, want a refusal with a time to come back", refusal)
	}
}

// twoDaemons returns the services of d1 and d2. Both take d1 for the steward; d2 asks it
// over twirp.
func twoDaemons(t *testing.T) (asker, steward *Service, server *httptest.Server) {
	t.Helper()
	steward = newService(t, "d1", "d1", deadSteward{})
	server = httptest.NewServer(&mortal{Handler: peer.NewStewardServer(liveSteward{steward.Server()})})
	t.Cleanup(server.Close)
	asker = newService(t, "d2", "d1", peer.NewStewardProtobufClient(server.URL, http.DefaultClient))
	return asker, steward, server
}

// mortal is a server that can die: it then answers nobody, also who has connected just before.
type mortal struct {
	http.Handler
	dead atomic.Bool
}

// ServeHTTP implements http.Handler.
func (m *mortal) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if m.dead.Load() {
		panic(http.ErrAbortHandler)
	}
	m.Handler.ServeHTTP(w, r)
}

func (k *keeper) counts(t *testing.T) (running, waiting int) {
	v, ok := k.look(t.Context(), Prompt{}, probe{})
	if !ok {
		t.Fatal("no answer of the keeper")
	}
	return v.running, v.waiting
}

// A steward dies while a request waits in its queue and another holds its only place.
// The waiting one would be held until its deadline; its own daemon decides instead.
func TestAskThatWaitsOutlivesItsSteward(t *testing.T) {
	asker, steward, server := twoDaemons(t)
	if _, refusal := steward.Acquire(t.Context(), ask("r1")); refusal != nil {
		t.Fatal(refusal)
	}
	granted := make(chan *request.Error, 1)
	go func() {
		_, refusal := asker.Acquire(context.Background(), ask("r2"))
		granted <- refusal
	}()
	k := steward.all()[0]
	for waiting := 0; waiting == 0; {
		_, waiting = k.counts(t)
	}
	server.Config.Handler.(*mortal).dead.Store(true)
	server.Listener.Close()
	server.CloseClientConnections()
	if refusal := <-granted; refusal != nil {
		t.Fatalf("refused: %v", refusal)
	}
}

// Two daemons both take themselves for the steward of a target with one place. Each
// gives it away, so the target has two requests: more than its share, which its own
// queue absorbs. All is given back to the one that gave it.
func TestTwoStewardsCostEfficiencyOnly(t *testing.T) {
	asker, steward, _ := twoDaemons(t)
	there, refusal := asker.Acquire(t.Context(), ask("r1"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	here, refusal := asker.acquireSelf(t.Context(), ask("r2"))
	if refusal != nil {
		t.Fatal(refusal)
	}
	asker.Release(there, gateway.Release{})
	asker.Release(here, gateway.Release{})
	for _, s := range []*Service{asker, steward} {
		for running := 1; running != 0; {
			running, _ = s.all()[0].counts(t) // a release to a peer takes its time
		}
	}
}

// A stream longer than a grant lives keeps it by renewals, which go to the giver; one
// whose renewals stop does not.
func TestGrantsAreRenewedAtTheirGiver(t *testing.T) {
	b := newGrantBook()
	b.add("r1", gateway.Grant{ID: "g1", Target: "engine-1"}, &peer.Member{Id: "d2"})
	if due, _ := b.due(time.Now()); len(due) != 0 {
		t.Fatalf("due at once: %v", due)
	}
	later := time.Now().Add(grantTTL / 2)
	due, givers := b.due(later)
	if got := due[renewal{target: "engine-1", giver: "d2"}]; len(got) != 1 || got[0] != "r1" || givers["d2"] == nil {
		t.Fatalf("due %v at %v", due, givers)
	}
	if again, _ := b.due(later); len(again) != 0 {
		t.Fatal("renewed twice")
	}
	b.remove("g1")
	if after, _ := b.due(later.Add(grantTTL)); len(after) != 0 {
		t.Fatal("renewed after its end")
	}
}

// FuzzPeerMessages feeds a steward what no daemon of ours would send.
func FuzzPeerMessages(f *testing.F) {
	f.Add("engine-1", "r1", "atlas", int64(10), int64(100), false, "fp", []byte("hash"), int32(1))
	f.Add("engine-1", "r1", "", int64(-1<<63), int64(1<<62), true, "", make([]byte, len(block.Hash{})), int32(-5))
	s := newService(f, "d1", "d1", deadSteward{})
	server := s.Server()
	f.Fuzz(func(t *testing.T, id, r, org string, tokens, deadline int64, suspect bool, fp string, hash []byte, position int32) {
		ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
		defer cancel()
		answer, err := server.Acquire(ctx, &peer.AcquireRequest{
			Target: id, RequestId: r, Organisation: org, PromptTokens: tokens, DeadlineMs: deadline, Suspect: suspect, Fingerprint: fp,
		})
		if err == nil && answer.Granted {
			_, _ = server.Release(ctx, &peer.ReleaseRequest{Target: id, GrantId: answer.GrantId, PrefillTokens: tokens})
		}
		look, err := server.Look(context.Background(), &peer.LookRequest{
			Targets: []string{id}, Organisation: org, PromptTokens: tokens, Positions: []int32{position}, Hashes: [][]byte{hash},
		})
		if err == nil && len(look.Views) == 1 && (look.Views[0].ExpectedWaitMs < 0 || look.Views[0].ResidentBlocks < 0) {
			t.Fatalf("got %v", look.Views[0])
		}
		// Whatever was asked, an honest request is still served.
		honest, refusal := s.Acquire(context.Background(), ask("honest"))
		if refusal != nil {
			t.Fatalf("an honest request is refused: %v", refusal)
		}
		s.Release(honest, gateway.Release{PrefillTokens: 10})
	})
}
