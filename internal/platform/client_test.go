package platform_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/kvapi"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// faultyServer is a key-value service whose calls a test can intercept to simulate network faults.
type faultyServer struct {
	*kv.Server
	mu sync.Mutex
	on func(w http.ResponseWriter, r *http.Request, next http.Handler)
}

func (s *faultyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	on := s.on
	s.mu.Unlock()
	if on == nil {
		s.Server.ServeHTTP(w, r)
		return
	}
	on(w, r, s.Server)
}

func (s *faultyServer) intercept(on func(w http.ResponseWriter, r *http.Request, next http.Handler)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.on = on
}

func newFaultyServer(t *testing.T) (*faultyServer, string) {
	s := &faultyServer{Server: kv.NewServer(kv.Options{})}
	srv := httptest.NewServer(s)
	t.Cleanup(srv.Close)
	return s, srv.Listener.Addr().String()
}

func newClient(t *testing.T, id string, addresses ...string) *platform.Client {
	c := platform.NewClient(platform.Options{Addresses: addresses, ClientID: id})
	t.Cleanup(c.Close)
	return c
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func must[T any](t *testing.T, v T, err error) func() T {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
	return func() T { return v }
}

// naiveSwap sends a write once and, if the response is lost, writes again over the revision that it
// then reads.
func naiveSwap(t *testing.T, ctx context.Context, kv platform.KV, first func() error, key string, value []byte) {
	if first() == nil {
		return
	}
	e, err := kv.Get(ctx, key)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := kv.CompareAndSwap(ctx, key, e.Revision, value, ""); err != nil {
		t.Fatal(err)
	}
}

// Operator one sets a limit; the write takes effect but its response is lost. Before the client
// retries, operator two changes the limit. A client that reads a foreign value and writes again
// silently reverts operator two's accepted change.
func TestLostResponseThenOverwritten(t *testing.T) {
	ctx := testContext(t)
	run := func(swap func(one platform.KV, s *faultyServer, base platform.Revision)) string {
		s, addr := newFaultyServer(t)
		one, two := newClient(t, "one", addr), newClient(t, "two", addr)
		base, err := one.CompareAndSwap(ctx, "k", 0, []byte("base"), "")
		must(t, base, err)
		s.intercept(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
			if r.URL.Path != kvapi.PathCAS || r.Header.Get(kv.ClientHeader) != "one" {
				next.ServeHTTP(w, r)
				return
			}
			s.intercept(nil)
			next.ServeHTTP(httptest.NewRecorder(), r)
			e, err := two.Get(ctx, "k")
			must(t, e, err)
			rev, err := two.CompareAndSwap(ctx, "k", e.Revision, []byte("two"), "")
			must(t, rev, err)
			panic(http.ErrAbortHandler)
		})
		swap(one, s, base)
		e, err := two.Get(ctx, "k")
		return string(must(t, e, err)().Value)
	}

	got := run(func(one platform.KV, _ *faultyServer, base platform.Revision) {
		rev, err := one.CompareAndSwap(ctx, "k", base, []byte("one"), "")
		if err != nil || rev != base+1 {
			t.Errorf("lost write resolved to revision %d, error %v; want %d", rev, err, base+1)
		}
		_, err = one.CompareAndSwap(ctx, "k", rev, []byte("one again"), "")
		if !errors.Is(err, platform.ErrConflict) {
			t.Errorf("write over the other operator: %v, want a conflict", err)
		}
	})
	if got != "two" {
		t.Errorf("kept %q, want the later change", got)
	}

	naive := run(func(one platform.KV, _ *faultyServer, base platform.Revision) {
		naiveSwap(t, ctx, one, func() error {
			_, err := one.CompareAndSwap(ctx, "k", base, []byte("one"), "")
			return errors.CombineErrors(err, platform.ErrUnavailable)
		}, "k", []byte("one"))
	})
	if naive != "one" {
		t.Errorf("naive client kept %q; it should have undone the later change", naive)
	}
}

// The response to a write is lost, and then so many writes follow that the history no longer lists
// it, or the key is deleted or created again. The client must return ErrUncertain.
func TestLostResponseBeyondHistory(t *testing.T) {
	ctx := testContext(t)
	for name, overwrite := range map[string]func(two platform.KV, rev platform.Revision) error{
		"many writes": func(two platform.KV, rev platform.Revision) error {
			for range 9 {
				var err error
				if rev, err = two.CompareAndSwap(ctx, "k", rev, []byte("two"), ""); err != nil {
					return err
				}
			}
			return nil
		},
		"deleted": func(two platform.KV, rev platform.Revision) error {
			return two.Delete(ctx, "k", rev)
		},
		"created again": func(two platform.KV, rev platform.Revision) error {
			if err := two.Delete(ctx, "k", rev); err != nil {
				return err
			}
			_, err := two.CompareAndSwap(ctx, "k", 0, []byte("two"), "")
			return err
		},
	} {
		for _, create := range []bool{true, false} {
			t.Run(name, func(t *testing.T) {
				s, addr := newFaultyServer(t)
				one, two := newClient(t, "one", addr), newClient(t, "two", addr)
				var base platform.Revision
				if !create {
					rev, err := one.CompareAndSwap(ctx, "k", 0, []byte("base"), "")
					base = must(t, rev, err)()
				}
				s.intercept(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
					s.intercept(nil)
					next.ServeHTTP(httptest.NewRecorder(), r)
					e, err := two.Get(ctx, "k")
					must(t, e, err)
					if err := overwrite(two, e.Revision); err != nil {
						t.Error(err)
					}
					panic(http.ErrAbortHandler)
				})
				_, err := one.CompareAndSwap(ctx, "k", base, []byte("one"), "")
				if !errors.Is(err, platform.ErrUncertain) {
					t.Errorf("got %v, want ErrUncertain", err)
				}
			})
		}
	}
}

// The responses to several writes and to a delete are lost one after the other. The client
// determines each outcome, and a stale write is a conflict.
func TestLostResponsesAreResolved(t *testing.T) {
	ctx := testContext(t)
	s, addr := newFaultyServer(t)
	c := newClient(t, "one", addr)
	var rev platform.Revision
	for range 3 {
		s.DropWriteResponses(1)
		next, err := c.CompareAndSwap(ctx, "k", rev, []byte("v"), "")
		rev = must(t, next, err)()
	}
	s.DropWriteResponses(2)
	_, err := c.CompareAndSwap(ctx, "k", rev-1, []byte("stale"), "")
	if !errors.Is(err, platform.ErrConflict) {
		t.Errorf("stale write: %v, want a conflict", err)
	}
	s.DropWriteResponses(1)
	if err := c.Delete(ctx, "k", rev); err != nil {
		t.Errorf("delete: %v", err)
	}
	if _, err := c.Get(ctx, "k"); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("get after delete: %v", err)
	}
}

// The key-value service receives writes but sends no response before the deadline: their outcome is
// unknown. If the connection is refused, the write certainly had no effect.
func TestOutageOfWrites(t *testing.T) {
	s, addr := newFaultyServer(t)
	c := newClient(t, "one", addr)
	s.SetDown(true)
	ctx, cancel := context.WithTimeout(context.Background(), 200*time.Millisecond)
	defer cancel()
	if _, err := c.CompareAndSwap(ctx, "k", 0, nil, ""); !errors.Is(err, platform.ErrUncertain) {
		t.Errorf("got %v, want ErrUncertain", err)
	}
	if _, err := c.Get(testContext(t), "k"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("read: %v, want ErrUnavailable", err)
	}
	if c.Health() != platform.HealthDown {
		t.Errorf("health %v, want down", c.Health())
	}

	unreachable := httptest.NewServer(http.NotFoundHandler())
	unreachable.Close()
	refused := newClient(t, "two", unreachable.Listener.Addr().String())
	_, err := refused.CompareAndSwap(testContext(t), "k", 0, nil, "")
	if !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) {
		t.Errorf("got %v, want ErrUnavailable only", err)
	}

	s.SetDown(false)
	both := newClient(t, "three", unreachable.Listener.Addr().String(), addr)
	if _, err := both.CompareAndSwap(testContext(t), "k2", 0, nil, ""); err != nil {
		t.Errorf("second address: %v", err)
	}
	s.Partition("three", true)
	if _, err := both.Get(testContext(t), "k2"); !errors.Is(err, platform.ErrUnavailable) {
		t.Errorf("partitioned client: %v", err)
	}
}

// Leases, watches, the size limit, the call budget and the call counts work over HTTP.
func TestLeaseWatchBudget(t *testing.T) {
	ctx := testContext(t)
	s, addr := newFaultyServer(t)
	c := newClient(t, "one", addr)
	id, err := c.GrantLease(ctx, time.Hour)
	must(t, id, err)
	rev, err := c.CompareAndSwap(ctx, "s/1", 0, []byte("v"), id)
	must(t, rev, err)
	if err := c.KeepAlive(ctx, id); err != nil {
		t.Error(err)
	}
	got, after, err := c.Watch(ctx, "s/", 0, time.Minute)
	must(t, got, err)
	if len(got) != 1 || string(got[0].Value) != "v" || got[0].Lease != id {
		t.Errorf("watch got %+v", got)
	}
	if err := c.RevokeLease(ctx, id); err != nil {
		t.Error(err)
	}
	got, _, err = c.Watch(ctx, "s/", after, time.Minute)
	if len(must(t, got, err)()) != 1 || !got[0].Deleted {
		t.Errorf("watch got %+v, want the deleted key", got)
	}
	got, _, err = c.Watch(ctx, "s/", got[0].Revision, time.Millisecond)
	if len(must(t, got, err)()) != 0 {
		t.Errorf("watch got %+v, want none", got)
	}
	if err := c.KeepAlive(ctx, id); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("keep-alive of an expired lease: %v", err)
	}
	if _, err := c.CompareAndSwap(ctx, "s/1", 0, nil, id); !errors.Is(err, platform.ErrNotFound) {
		t.Errorf("write under an expired lease: %v", err)
	}
	if _, err := c.CompareAndSwap(ctx, "big", 0, make([]byte, kvapi.MaxValue), ""); !errors.Is(err, platform.ErrTooLarge) {
		t.Errorf("big value: %v", err)
	}
	if n := s.Counts(); n.Watches != 3 || n.ByClient["one"] < 9 {
		t.Errorf("counts %+v", n)
	}
	limited := platform.NewClient(platform.Options{Addresses: []string{addr}, ReadsPerSecond: 0.001})
	defer limited.Close()
	_, err = limited.Get(ctx, "k")
	if !errors.Is(err, platform.ErrNotFound) {
		t.Error(err)
	}
	if _, err = limited.Get(ctx, "k"); !errors.Is(err, platform.ErrBudget) {
		t.Errorf("over budget: %v", err)
	}
}

// A write that the key-value service refuses for its rate limit certainly had no effect. The VM list
// is returned unchanged.
func TestRateLimitAndVMList(t *testing.T) {
	ctx := testContext(t)
	limited := httptest.NewServer(kv.NewServer(kv.Options{WritesPerSecond: 0.001}))
	defer limited.Close()
	c := newClient(t, "one", limited.Listener.Addr().String())
	if _, err := c.CompareAndSwap(ctx, "k", 0, nil, ""); err != nil {
		t.Fatal(err)
	}
	_, err := c.CompareAndSwap(ctx, "k2", 0, nil, "")
	if !errors.Is(err, platform.ErrUnavailable) || errors.Is(err, platform.ErrUncertain) {
		t.Errorf("over the service's rate limit: %v", err)
	}

	list := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = w.Write([]byte(`[{"id":"vm1","address":"127.0.0.1","role":"entry","leaving":true}]`))
	}))
	defer list.Close()
	vms, err := platform.NewVMListClient(list.Listener.Addr().String()).VMs(ctx)
	if err != nil || len(vms) != 1 || vms[0].ID != "vm1" || !vms[0].Leaving {
		t.Errorf("VM list %+v, %v", vms, err)
	}
}

// The table has grown, and its listing takes longer over a slow link than the timeout of a call. When
// the timeout covered the whole response, the client retried forever and a daemon that started then
// never received the table.
func TestSlowListingIsReadCompletely(t *testing.T) {
	s, addr := newFaultyServer(t)
	c := platform.NewClient(platform.Options{Addresses: []string{addr}, ClientID: "one", Timeout: 300 * time.Millisecond})
	t.Cleanup(c.Close)
	const keys, size = 4, 30_000 // bytes
	for i := range keys {
		if _, err := c.CompareAndSwap(testContext(t), "p/"+strconv.Itoa(i), 0, make([]byte, size), ""); err != nil {
			t.Fatal(err)
		}
	}
	s.intercept(func(w http.ResponseWriter, r *http.Request, next http.Handler) {
		recorded := httptest.NewRecorder()
		next.ServeHTTP(recorded, r)
		w.WriteHeader(recorded.Code)
		for body := recorded.Body.Bytes(); len(body) > 0; {
			n := min(len(body), 16<<10)
			if _, err := w.Write(body[:n]); err != nil {
				return
			}
			if err := http.NewResponseController(w).Flush(); err != nil {
				return
			}
			body = body[n:]
			time.Sleep(80 * time.Millisecond)
		}
	})
	entries, _, err := c.List(testContext(t), "p/")
	if err != nil || len(entries) != keys {
		t.Errorf("%d entries, %v", len(entries), err)
	}
}
