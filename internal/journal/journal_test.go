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

// runningJournal is the journal of one daemon, run in real time on a fake KV service.
type runningJournal struct {
	*journal.Journal
	leases *lease.Manager
	stop   func()
}

func startBenchJournal(b *testing.B, fake *kv.Fake, id string, partitions int) *runningJournal {
	return startJournal(b, fake.Client(id), id, partitions)
}

func startJournal(t testing.TB, service platform.KV, id string, partitions int) *runningJournal {
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
	return &runningJournal{Journal: j, leases: leases, stop: stop}
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	t.Cleanup(cancel)
	return ctx
}

// begin retries Begin until the daemon holds the partition.
func (r *runningJournal) begin(ctx context.Context, c journal.Call) (*journal.Ticket, *journal.Result, error) {
	for {
		ticket, result, err := r.Begin(ctx, c)
		if ctx.Err() != nil || !(errors.Is(err, journal.ErrNotHolder) || errors.Is(err, journal.ErrUnavailable)) {
			return ticket, result, err
		}
		time.Sleep(time.Millisecond) // until the daemon has acquired the partition
	}
}

func newCall(key string) journal.Call { return journal.Call{Org: "atlas", Service: "cards", Key: key} }

// After a planned stop of a daemon, its successor must answer each key as the first daemon
// concluded it: a stored result, a result too large to keep, in doubt, or free again. A
// key that is reused for a different call must be refused.
func TestOutcomesSurvivePlannedStop(t *testing.T) {
	ctx := testContext(t)
	fake := kv.NewFake(nil)
	a := startJournal(t, fake.Client("a"), "a", 2)
	ticket, _, err := a.begin(ctx, newCall("k"))
	if err != nil {
		t.Fatal(err)
	}
	if _, _, err := a.Begin(ctx, newCall("k")); !errors.Is(err, journal.ErrInProgress) {
		t.Errorf("repeat while the call runs: %v", err)
	}
	card := journal.Result{Status: 201, ContentType: "text/plain", Body: []byte("card 1")}
	if err := a.Finish(ctx, ticket, card); err != nil {
		t.Fatal(err)
	}
	inDoubt, _, err := a.begin(ctx, newCall("doubted"))
	if err != nil {
		t.Fatal(err)
	}
	if err := a.MarkInDoubt(ctx, inDoubt); err != nil {
		t.Error(err)
	}
	aborted, _, err := a.begin(ctx, newCall("aborted"))
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Abort(ctx, aborted); err != nil {
		t.Error(err)
	}
	big, _, err := a.begin(ctx, newCall("big"))
	if err != nil {
		t.Fatal(err)
	}
	if err := a.Finish(ctx, big, journal.Result{Body: make([]byte, journal.MaxBody+1)}); err != nil {
		t.Error(err)
	}
	if err := a.Shutdown(ctx); err != nil {
		t.Fatal(err)
	}
	if _, _, err := a.Begin(ctx, newCall("new")); !errors.Is(err, journal.ErrNotHolder) {
		t.Errorf("new key after the stop: %v", err)
	}

	b := startJournal(t, fake.Client("b"), "b", 2)
	_, result, err := b.begin(ctx, newCall("k"))
	if err != nil || result == nil || string(result.Body) != "card 1" || result.Status != 201 {
		t.Errorf("repeat after the stop: %+v, %v", result, err)
	}
	other := newCall("k")
	other.Digest[0] = 1
	for _, c := range []struct {
		call journal.Call
		want error
	}{
		{newCall("doubted"), journal.ErrInDoubt},
		{newCall("big"), journal.ErrResultNotKept},
		{other, journal.ErrKeyReused},
		{journal.Call{Key: "old", FirstSent: time.Now().Add(-25 * time.Hour)}, journal.ErrKeyTooOld},
	} {
		if _, _, err := b.begin(ctx, c.call); !errors.Is(err, c.want) {
			t.Errorf("%s: %v, want %v", c.call.Key, err, c.want)
		}
	}
	if ticket, _, err := b.begin(ctx, newCall("aborted")); err != nil || ticket == nil {
		t.Errorf("aborted key: %v, want a ticket", err)
	}
	h, err := a.Holder(ctx, a.Partition("atlas", "k"))
	if err != nil || h.ID != "b" || h.Address != "b:1" {
		t.Errorf("holder %+v, %v", h, err)
	}
}

// A daemon whose settings have a different number of partitions would look up keys in the
// wrong partition and run calls again. Its journal must not run.
func TestScanRejectsDifferentPartitionCount(t *testing.T) {
	ctx := testContext(t)
	fake := kv.NewFake(nil)
	a := startJournal(t, fake.Client("a"), "a", 2)
	if _, _, err := a.begin(ctx, newCall("k")); err != nil {
		t.Fatal(err)
	}
	leases := lease.NewManager(lease.Options{KV: fake.Client("b"), Self: "b"})
	b := journal.New(journal.Options{KV: fake.Client("b"), Leases: leases, Self: "b", Partitions: 3})
	if err := b.Scan(ctx); !errors.Is(err, journal.ErrPartitionCount) {
		t.Errorf("got %v, want ErrPartitionCount", err)
	}
}

// steppedJournal is a journal in virtual time.
type steppedJournal struct {
	*journal.Journal
	leases *lease.Manager
}

func newSteppedJournal(fake *kv.Fake, now func() time.Time, id string) *steppedJournal {
	leases := lease.NewManager(lease.Options{KV: fake.Client(id), Self: request.DaemonID(id), Now: now})
	return &steppedJournal{leases: leases, Journal: journal.New(journal.Options{
		KV: fake.Client(id), Leases: leases, Self: request.DaemonID(id), Partitions: 4, Now: now,
	})}
}

func (s *steppedJournal) round(ctx context.Context) {
	_ = s.leases.Heartbeat(ctx)
	_ = s.Scan(ctx)
	s.Step(ctx)
	s.Step(ctx)
}

func (s *steppedJournal) heldPartitions() int {
	n := 0
	for _, p := range s.State().(journal.State).Partitions {
		if p.Held {
			n++
		}
	}
	return n
}

// A second daemon joins and acquires the half of the partitions for which it is preferred.
// Then a network partition separates it from the KV service but not from its peers, which
// still prefer it. The first daemon must acquire that half again and must not yield it
// every few seconds, because each yield leaves the partitions without holder.
func TestPartitionsFollowPreference(t *testing.T) {
	ctx := context.Background()
	now := time.Unix(1_700_000_000, 0)
	clock := func() time.Time { return now }
	fake := kv.NewFake(clock)
	a, b := newSteppedJournal(fake, clock, "a"), newSteppedJournal(fake, clock, "b")
	round := func(n int) {
		for range n {
			now = now.Add(2 * time.Second)
			a.round(ctx)
			b.round(ctx)
		}
	}
	a.round(ctx)
	if a.heldPartitions() != 4 {
		t.Fatalf("without other daemons, a holds %d of 4", a.heldPartitions())
	}
	a.SetPreferred(func(p int) bool { return p < 2 })
	b.SetPreferred(func(p int) bool { return p >= 2 })
	round(5)
	if a.heldPartitions() != 2 || b.heldPartitions() != 2 {
		t.Fatalf("a holds %d and b %d, want 2 and 2", a.heldPartitions(), b.heldPartitions())
	}
	fake.Partition("b", true)
	round(10) // the session expires, then three scans follow
	gaps := 0
	for range 25 {
		round(1)
		if a.heldPartitions() != 4 {
			gaps++
		}
	}
	if b.heldPartitions() != 0 || gaps > 0 {
		t.Errorf("b holds %d; a lacked partitions at %d of 25 scans", b.heldPartitions(), gaps)
	}
	fake.Partition("b", false)
	round(60)
	if a.heldPartitions() != 2 || b.heldPartitions() != 2 {
		t.Errorf("after b reconnected: a holds %d and b %d, want 2 and 2", a.heldPartitions(), b.heldPartitions())
	}
}

// The intents of many concurrent calls share one write, and so do their results.
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
	var pending []*journal.PendingTicket
	for i := range 200 {
		p, _, err := j.StartBegin(newCall(fmt.Sprint(i)))
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

// Responses of the KV service to writes are lost over HTTP. Each key must still receive a
// ticket, and another daemon must answer every result after a planned stop.
func TestLostWriteResponsesOverHTTP(t *testing.T) {
	ctx := testContext(t)
	server := kv.NewServer(kv.Options{})
	srv := httptest.NewServer(server)
	defer srv.Close()
	client := func(id string) *platform.Client {
		c := platform.NewClient(platform.Options{Addresses: []string{srv.Listener.Addr().String()}, ClientID: id})
		t.Cleanup(c.Close)
		return c
	}
	a := startJournal(t, client("a"), "a", 2)
	var wg sync.WaitGroup
	for i := range 40 {
		wg.Go(func() {
			server.DropWriteResponses(1)
			ticket, _, err := a.begin(ctx, newCall(fmt.Sprint(i)))
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
	b := startJournal(t, client("b"), "b", 2)
	for i := range 40 {
		_, result, err := b.begin(ctx, newCall(fmt.Sprint(i)))
		if err != nil || result == nil || !bytes.HasPrefix(result.Body, []byte(fmt.Sprint(i))) {
			t.Errorf("key %d: %v, %v", i, result != nil, err)
		}
	}
}

// BenchmarkWriteRate measures the calls to the KV service at a given rate of journalled
// calls, with results of 300 bytes, over 5 seconds. Run it with -benchtime=1x.
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
	a := startBenchJournal(b, fake, "a", 16)
	for i := range 200 {
		if ticket, _, err := a.begin(ctx, newCall(fmt.Sprint("warm", i))); err == nil {
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
			ticket, _, err := a.Begin(ctx, newCall(fmt.Sprint(i)))
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

// BenchmarkIdle measures the calls of idle daemons to the KV service over 12 seconds.
func BenchmarkIdle(b *testing.B) {
	for _, daemons := range []int{1, 4, 8} {
		b.Run(fmt.Sprint(daemons), func(b *testing.B) {
			for b.Loop() {
				fake := kv.NewFake(nil)
				var all []*runningJournal
				for i := range daemons {
					d := startBenchJournal(b, fake, fmt.Sprint("d", i), 16)
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
