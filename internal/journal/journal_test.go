package journal_test

import (
	"bytes"
	"context"
	"fmt"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
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

func runB(b *testing.B, fake *kv.Fake, id string, partitions int) *running {
	return run(b, fake.Client(id), id, partitions)
}

func run(t testing.TB, service platform.KV, id string, partitions int) *running {
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

// stepped is a journal in virtual time.
type stepped struct {
	*journal.Journal
	leases *lease.Manager
}

func newStepped(fake *kv.Fake, now func() time.Time, id string) *stepped {
	leases := lease.NewManager(lease.Options{KV: fake.Client(id), Self: request.DaemonID(id), Now: now})
	return &stepped{leases: leases, Journal: journal.New(journal.Options{
		KV: fake.Client(id), Leases: leases, Self: request.DaemonID(id), Partitions: 4, Now: now,
	})}
}

func (s *stepped) round(ctx context.Context) {
	_ = s.leases.Heartbeat(ctx)
	_ = s.Scan(ctx)
	s.Step(ctx)
	s.Step(ctx)
}

func (s *stepped) holds() int {
	n := 0
	for _, p := range s.State().(journal.State).Partitions {
		if p.Held {
			n++
		}
	}
	return n
}

// Story: a second daemon comes and is preferred for half of the partitions; it gets
// them. Then it is cut off from the service but not from its peers, which still prefer
// it. The first one takes its half back, and does not yield it again every few seconds.
func TestPreferenceMovesPartitions(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	fake := kv.NewFake(clock)
	a, b := newStepped(fake, clock, "a"), newStepped(fake, clock, "b")
	round := func(n int) {
		for range n {
			now = now.Add(2 * time.Second)
			a.round(ctx)
			b.round(ctx)
		}
	}
	a.round(ctx)
	if a.holds() != 4 {
		t.Fatalf("alone, a holds %d of 4", a.holds())
	}
	a.SetPreferred(func(p int) bool { return p < 2 })
	b.SetPreferred(func(p int) bool { return p >= 2 })
	round(5)
	if a.holds() != 2 || b.holds() != 2 {
		t.Fatalf("a holds %d and b %d, want 2 and 2", a.holds(), b.holds())
	}
	fake.Partition("b", true)
	round(10) // the session lapses, then three scans
	gaps := 0
	for range 25 {
		round(1)
		if a.holds() != 4 {
			gaps++
		}
	}
	if b.holds() != 0 || gaps > 0 {
		t.Errorf("b holds %d; a lacked partitions at %d of 25 scans", b.holds(), gaps)
	}
	fake.Partition("b", false)
	round(60)
	if a.holds() != 2 || b.holds() != 2 {
		t.Errorf("joined again: a holds %d and b %d, want 2 and 2", a.holds(), b.holds())
	}
}

// Many callers at once share one write for their intents and one for their results.
func TestGroupCommit(t *testing.T) {
	ctx := testContext(t)
	fake := kv.NewFake(nil)
	leases := lease.NewManager(lease.Options{KV: fake.Client("a"), Self: "a"})
	j := journal.New(journal.Options{KV: fake.Client("a"), Leases: leases, Self: "a", Partitions: 1})
	if err := j.Scan(ctx); err != nil {
		t.Fatal(err)
	}
	j.Step(ctx) // load
	j.Step(ctx) // claim
	before := fake.Counts().Writes
	var pending []*journal.Pending
	for i := range 200 {
		p, _, err := j.Start(call(fmt.Sprint(i)))
		if err != nil {
			t.Fatal(err)
		}
		pending = append(pending, p)
	}
	j.Step(ctx)
	for _, p := range pending {
		ticket, ok, err := p.Poll()
		if !ok || err != nil {
			t.Fatalf("no ticket after one step: %v", err)
		}
		if _, err := j.StartFinish(ticket, journal.Result{Body: []byte("x")}); err != nil {
			t.Fatal(err)
		}
	}
	j.Step(ctx)
	if n := fake.Counts().Writes - before; n != 2 {
		t.Errorf("%d writes for 200 calls, want 2", n)
	}
}

// Over the wire, with answers of writes lost all the time: each key gets one ticket,
// and another daemon answers every result after a planned stop.
func TestOverHTTP(t *testing.T) {
	ctx := testContext(t)
	server := kv.NewServer(kv.Options{})
	srv := httptest.NewServer(server)
	defer srv.Close()
	client := func(id string) *platform.Client {
		c := platform.NewClient(platform.Options{Addresses: []string{srv.Listener.Addr().String()}, ClientID: id})
		t.Cleanup(c.Close)
		return c
	}
	a := run(t, client("a"), "a", 2)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			server.DropWriteResponses(1)
			ticket, _, err := a.begin(ctx, call(fmt.Sprint(i)))
			if err != nil {
				t.Error(err)
				return
			}
			server.DropWriteResponses(1)
			body := make([]byte, 4000)
			copy(body, fmt.Sprint(i))
			if err := a.Finish(ctx, ticket, journal.Result{Body: body}); err != nil {
				t.Error(err)
			}
		})
	}
	wg.Wait()
	if err := errors.CombineErrors(a.Shutdown(ctx), a.leases.Close(ctx)); err != nil {
		t.Fatal(err)
	}
	b := run(t, client("b"), "b", 2)
	for i := range 40 {
		_, result, err := b.begin(ctx, call(fmt.Sprint(i)))
		if err != nil || result == nil || !bytes.HasPrefix(result.Body, []byte(fmt.Sprint(i))) {
			t.Errorf("key %d: %v, %v", i, result != nil, err)
		}
	}
}

// BenchmarkWriteRate measures the service's calls for a rate of journalled calls, with
// results of 300 bytes, over 5 seconds. Run it with -benchtime=1x.
func BenchmarkWriteRate(b *testing.B) {
	for _, perSecond := range []int{10, 100, 1000} {
		b.Run(fmt.Sprint(perSecond), func(b *testing.B) {
			for b.Loop() {
				measureWriteRate(b, perSecond)
			}
		})
	}
}

func measureWriteRate(b *testing.B, perSecond int) {
	const length = 5 * time.Second
	ctx := context.Background()
	fake := kv.NewFake(nil)
	a := runB(b, fake, "a", 16)
	for i := range 200 {
		if ticket, _, err := a.begin(ctx, call(fmt.Sprint("warm", i))); err == nil {
			_ = a.Finish(ctx, ticket, journal.Result{})
		}
	}
	before, start := fake.Counts(), time.Now()
	var wg sync.WaitGroup
	var mu sync.Mutex
	hist := hdrhistogram.New(1, 10_000_000, 3)
	for i := range perSecond * int(length/time.Second) {
		time.Sleep(time.Until(start.Add(time.Duration(i) * time.Second / time.Duration(perSecond))))
		wg.Go(func() {
			sent := time.Now()
			ticket, _, err := a.Begin(ctx, call(fmt.Sprint(i)))
			if err != nil {
				b.Error(err)
				return
			}
			mu.Lock()
			_ = hist.RecordValue(time.Since(sent).Microseconds())
			mu.Unlock()
			_ = a.Finish(ctx, ticket, journal.Result{Status: 200, Body: make([]byte, 300)})
		})
	}
	wg.Wait()
	seconds := time.Since(start).Seconds()
	after := fake.Counts()
	b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
	b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
	b.ReportMetric(float64(after.Bytes-before.Bytes)/seconds/1024, "KiB/s")
	b.ReportMetric(float64(hist.ValueAtQuantile(50))/1000, "begin-p50-ms")
	b.ReportMetric(float64(hist.ValueAtQuantile(99))/1000, "begin-p99-ms")
	a.stop()
}

// BenchmarkIdle measures the service's calls of daemons without work, over 12 seconds.
func BenchmarkIdle(b *testing.B) {
	for _, daemons := range []int{1, 4, 8} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			for b.Loop() {
				fake := kv.NewFake(nil)
				var all []*running
				for i := range daemons {
					d := runB(b, fake, fmt.Sprint("d", i), 16)
					d.SetPreferred(func(partition int) bool { return partition%daemons == i })
					all = append(all, d)
				}
				time.Sleep(5 * time.Second)
				before, start := fake.Counts(), time.Now()
				time.Sleep(12 * time.Second)
				seconds := time.Since(start).Seconds()
				after := fake.Counts()
				b.ReportMetric(float64(after.Writes-before.Writes)/seconds, "writes/s")
				b.ReportMetric(float64(after.Reads-before.Reads)/seconds, "reads/s")
				for _, d := range all {
					d.stop()
				}
			}
		})
	}
}
