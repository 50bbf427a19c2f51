package journal_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/goleak"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/lease"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// running is one daemon's journal, run in real time over a fake service.
type running struct {
	*journal.Journal
	leases *lease.Manager
	stop   func()
}

func run(t *testing.T, service platform.KV, id string, partitions int) *running {
	leases := lease.NewManager(lease.Options{KV: service, Self: request.DaemonID(id), Address: id + ":1"})
	j := journal.New(journal.Options{
		KV: service, Leases: leases, Self: request.DaemonID(id), Address: id + ":1", Partitions: partitions,
	})
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { _ = leases.Run(ctx) })
	wg.Go(func() { _ = j.Run(ctx) })
	stop := sync.OnceFunc(func() { cancel(); wg.Wait() })
	t.Cleanup(stop)
	return &running{Journal: j, leases: leases, stop: stop}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// begin repeats a Begin until the partition has a holder that answers.
func (r *running) begin(ctx context.Context, c journal.Call) (*journal.Ticket, *journal.Result, error) {
	for {
		ticket, result, err := r.Begin(ctx, c)
		if ctx.Err() != nil || !(errors.Is(err, journal.ErrNotHolder) || errors.Is(err, journal.ErrUnavailable)) {
			return ticket, result, err
		}
		time.Sleep(time.Millisecond) // until the daemon has taken the partition
	}
}

func call(key string) journal.Call { return journal.Call{Org: "atlas", Service: "cards", Key: key} }

// Story: a crew asks for a batch card; it is made, repeated, repeated after a planned
// stop of the daemon, and asked for under the same key with other content.
func TestOneCardOverPlannedStop(t *testing.T) {
	ctx := testContext(t)
	fake := kv.NewFake(nil)
	a := run(t, fake.Client("a"), "a", 2)
	ticket, _, err := a.begin(ctx, call("k"))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := a.Begin(ctx, call("k")); !errors.Is(err, journal.ErrInProgress) {
		t.Errorf("repeat while it runs: %v", err)
	}
	card := journal.Result{Status: 201, ContentType: "text/plain", Body: []byte("card 1")}
	if err := a.Finish(ctx, ticket, card); err != nil {
		t.Fatal(err)
	}
	doubted, _, err := a.begin(ctx, call("doubted"))
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Doubt(ctx, doubted); err != nil {
		t.Error(err)
	}
	aborted, _, err := a.begin(ctx, call("aborted"))
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Abort(ctx, aborted); err != nil {
		t.Error(err)
	}
	big, _, err := a.begin(ctx, call("big"))
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Finish(ctx, big, journal.Result{Body: make([]byte, journal.MaxBody+1)}); err != nil {
		t.Error(err)
	}
	if err := a.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	if _, _, err := a.Begin(ctx, call("new")); !errors.Is(err, journal.ErrNotHolder) {
		t.Errorf("new key after the stop: %v", err)
	}

	b := run(t, fake.Client("b"), "b", 2)
	_, result, err := b.begin(ctx, call("k"))
	if err != nil || result == nil || string(result.Body) != "card 1" || result.Status != 201 {
		t.Errorf("repeat after the stop: %+v, %v", result, err)
	}
	other := call("k")
	other.Digest[0] = 1
	for _, c := range []struct {
		call journal.Call
		want error
	}{
		{call("doubted"), journal.ErrInDoubt},
		{call("big"), journal.ErrResultNotKept},
		{other, journal.ErrKeyReused},
		{journal.Call{Key: "old", FirstSent: time.Now().Add(-25 * time.Hour)}, journal.ErrKeyTooOld},
	} {
		if _, _, err := b.begin(ctx, c.call); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.call.Key, err, c.want)
		}
	}
	if ticket, _, err := b.begin(ctx, call("aborted")); err != nil || ticket == nil {
		t.Errorf("aborted key: %v, want a ticket", err)
	}
	h, err := a.Holder(ctx, a.Partition("atlas", "k"))
	if err != nil || h.ID != "b" || h.Address != "b:1" {
		t.Errorf("holder %+v, %v", h, err)
	}
}

// Story: the settings of one daemon say another number of partitions. It would look
// for keys in the wrong place and run them again, so it must not run at all.
func TestPartitionsDiffer(t *testing.T) {
	ctx := testContext(t)
	fake := kv.NewFake(nil)
	a := run(t, fake.Client("a"), "a", 2)
	if _, _, err := a.begin(ctx, call("k")); err != nil {
		t.Fatal(err)
	}
	leases := lease.NewManager(lease.Options{KV: fake.Client("b"), Self: "b"})
	b := journal.New(journal.Options{KV: fake.Client("b"), Leases: leases, Self: "b", Partitions: 3})
	if err := b.Scan(ctx); !errors.Is(err, journal.ErrPartitions) {
		t.Errorf("got %v, want ErrPartitions", err)
	}
}

// Many callers at once share few writes.
func TestGroupCommit(t *testing.T) {
	ctx := testContext(t)
	fake := kv.NewFake(nil)
	a := run(t, fake.Client("a"), "a", 1)
	if _, _, err := a.begin(ctx, call("first")); err != nil {
		t.Fatal(err)
	}
	before := fake.Counts().Writes
	var wg sync.WaitGroup
	for i := range 200 {
		wg.Go(func() {
			ticket, _, err := a.Begin(ctx, call(fmt.Sprint(i)))
			if err != nil {
				t.Error(err)
				return
			}
			if err := a.Finish(ctx, ticket, journal.Result{Body: []byte("x")}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if n := fake.Counts().Writes - before; n > 40 {
		t.Errorf("%d writes for 200 calls", n)
	}
}
