package fault_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/standin/fault"
)

const testTimeout = 30 * time.Second

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

type rig struct {
	switches *fault.Switches
	server   *fault.Server
	served   atomic.Int64
}

func start(t *testing.T) *rig {
	t.Helper()
	r := &rig{switches: fault.New(fault.Options{Seed: 1})}
	server, err := fault.Serve("127.0.0.1:0", r.switches, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		r.served.Add(1)
		io.WriteString(w, "ok")
	}))
	if err != nil {
		t.Fatal(err)
	}
	r.server = server
	r.switches.SetDie(func() { go server.Close() })
	t.Cleanup(func() { server.Close() })
	return r
}

// client returns a send function with its own connections, which it reuses between
// requests.
func (r *rig) client(t *testing.T) func(ctx context.Context, method, path, body string) error {
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return func(ctx context.Context, method, path, body string) error {
		req, err := http.NewRequestWithContext(ctx, method, "http://"+r.server.Address()+path, strings.NewReader(body))
		if err != nil {
			return err
		}
		resp, err := transport.RoundTrip(req)
		if err != nil {
			return err
		}
		defer resp.Body.Close()
		_, err = io.ReadAll(resp.Body)
		return err
	}
}

func TestSwitches(t *testing.T) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	r := start(t)
	send := r.client(t)
	order := func(body string) {
		t.Helper()
		if err := r.client(t)(ctx, http.MethodPost, fault.Path, body); err != nil {
			t.Fatalf("command %s failed: %v", body, err)
		}
	}
	want := func(what string, answered bool, served int64) {
		t.Helper()
		before := r.served.Load()
		err := send(ctx, http.MethodPost, "/", "")
		if (err == nil) != answered || r.served.Load()-before != served {
			t.Fatalf("%s: %v, served %d times", what, err, r.served.Load()-before)
		}
	}
	want("no fault", true, 1)
	order(`{"lose_answers":1}`)
	want("dropped response", false, 1)
	want("after the dropped response", true, 1)
	order(`{"cut":true}`)
	want("closed connections", false, 0)
	order(`{"cut":false}`)
	want("after the connections were allowed again", true, 1)

	order(`{"freeze":true}`)
	frozen := make(chan error, 1)
	go func() { frozen <- send(ctx, http.MethodPost, "/", "") }()
	pending(t, frozen, func() { order(`{}`) })
	order(`{"freeze":false}`)
	if err := <-frozen; err != nil {
		t.Fatalf("after the freeze: %v", err)
	}

	order(`{"silent":true}`)
	if r.switches.Status().Blackholed != 1 {
		t.Fatalf("blackholed %d connections", r.switches.Status().Blackholed)
	}
	requestCtx, stop := context.WithCancel(ctx)
	silent := make(chan error, 1)
	go func() { silent <- send(requestCtx, http.MethodPost, "/", "") }()
	fresh := r.client(t)
	pending(t, silent, func() {
		if err := fresh(ctx, http.MethodPost, "/", ""); err != nil {
			t.Fatalf("new connection: %v", err)
		}
	})
	stop()
	<-silent

	// The command bypasses HTTP because a stand-in that dies need not respond.
	r.switches.Apply(fault.Command{Die: true})
	<-r.server.Done()
	want("after the server died", false, 0)
}

// pending calls meanwhile several times and checks after each call that a request is
// still open. On a busy machine it may miss that the request ended, but it never reports
// a false failure.
func pending(t *testing.T, request <-chan error, meanwhile func()) {
	t.Helper()
	for range 20 {
		meanwhile()
		select {
		case err := <-request:
			t.Fatalf("request ended: %v", err)
		default:
		}
	}
}
