package mirror

import (
	"bytes"
	"compress/gzip"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/time/rate"

	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// The model has many daemons and one service and runs in synthetic time. Each daemon has a small
// link, which carries traffic from the key-value service and from and to peers, and its own faults
// on calls to the service. Data sizes and bandwidths are an eighth of those in production, so that
// transfers take the same time.
const (
	fleetDaemons        = 100
	fleetReplicas       = 150
	fleetPeers          = 6 // fixed peers that a daemon reports to, besides a random one
	fleetReportInterval = 100 * time.Millisecond
	fleetMaxDelay       = 3 * time.Second // strictest production bound until a change is applied
	fleetBandwidth      = 10e6 / 8 / 8    // bytes a second
	fleetStateSize      = 1 << 20 / 8     // bytes of the largest desired state
	fleetPageSize       = 50              // entries
	fleetCallDuration   = 4 * time.Millisecond
	fleetWatchRatio     = 4                       // one in four daemons watches, if only some do
	fleetCellSize       = 10                      // daemons that share two relays, if changes pass through tiers
	fleetSectionSize    = 20                      // daemons that share two watchers, if changes pass through tiers
	fleetTierSize       = 2                       // watchers of a section, and relays of a cell
	fleetTieredDelay    = 4 * time.Second         // strictest production bound of fleets that are large enough for tiers
	fleetCallTimeout    = 1500 * time.Millisecond // of a call without a response
)

// relaying is the way in which changes reach the daemons of the model.
type relaying string

const (
	allWatch  relaying = "all watch"
	someWatch relaying = "some watch" // and all others hear one directly
	// tiered: two daemons of a section watch and inform two relays of each cell, and these inform their cell.
	tiered relaying = "tiers"
)

// faultKind is a kind of fault of calls to the key-value service.
type faultKind string

const (
	faultNone    faultKind = "none"
	faultRefused faultKind = "refused"
	faultSilent  faultKind = "silent"
	faultSlow    faultKind = "slow"   // responses take sixty times as long
	faultFlaky   faultKind = "flaky"  // every second call fails
	faultCut     faultKind = "cut"    // the daemon reaches the service, but no peer reaches the daemon
	faultFrozen  faultKind = "frozen" // neither calls nor reports, as of a stopped process
)

// fault is a period of faults of one daemon's calls.
type fault struct {
	kind     faultKind
	from, to time.Duration // since the start
}

// modelService models the key-value service.
type modelService struct {
	mu       sync.Mutex
	revision platform.Revision
	items    map[string]platform.Entry
	history  []platform.Entry
	oldest   platform.Revision
	changed  chan struct{}
}

func newModelService() *modelService {
	return &modelService{items: map[string]platform.Entry{}, changed: make(chan struct{})}
}

func (s *modelService) put(key string, value []byte) platform.Revision {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	e := platform.Entry{Key: key, Value: value, Revision: s.revision}
	s.items[key] = e
	s.history = append(s.history, e)
	s.wake()
	return s.revision
}

func (s *modelService) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, platform.Entry{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

// compact drops the history.
func (s *modelService) compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.oldest = nil, s.revision
	s.wake()
}

func (s *modelService) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *modelService) list(prefix, after string) ([]platform.Entry, platform.Revision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var page []platform.Entry
	for _, e := range s.items {
		if strings.HasPrefix(e.Key, prefix) && e.Key > after {
			page = append(page, e)
		}
	}
	slices.SortFunc(page, func(a, b platform.Entry) int { return strings.Compare(a.Key, b.Key) })
	return page[:min(len(page), fleetPageSize)], s.revision
}

// since returns the changes after a revision, and a channel that is closed at the next change.
func (s *modelService) since(after platform.Revision) ([]platform.Entry, platform.Revision, chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if after < s.oldest {
		return nil, 0, nil, platform.ErrCompacted
	}
	var events []platform.Entry
	for _, e := range s.history {
		if e.Revision > after {
			events = append(events, e)
		}
	}
	return events, s.revision, s.changed, nil
}

// modelDaemon is a daemon and its client of the key-value service.
type modelDaemon struct {
	platform.KV // nil: a Follower calls List and Watch only
	service     *modelService
	down, up    *rate.Limiter // its link
	start       time.Time
	faults      []fault
	calls       int
	group       *Group
	handler     http.Handler
	mu          sync.Mutex
	applied     platform.Revision // of the applied desired state
	reverted    bool
	watchers    ReportTracker
	relays      ReportTracker
	answerAge   func(time.Time) (time.Duration, bool) // of the key-value service, if this daemon watches it
}

func (d *modelDaemon) apply(u Update) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, e := range u.Entries {
		if e.Key != "op/config" {
			continue
		}
		if e.Revision < d.applied {
			d.reverted = true
		}
		d.applied = e.Revision
	}
}

// fault returns the kind of fault that the daemon has now.
func (d *modelDaemon) fault() faultKind {
	kind, now := faultNone, time.Since(d.start)
	for _, f := range d.faults {
		if now >= f.from && now < f.to {
			kind = f.kind
		}
	}
	return kind
}

// isSilent reports whether the daemon gets no answers from the key-value service.
func (d *modelDaemon) isSilent() bool { k := d.fault(); return k == faultSilent || k == faultFrozen }

// isCut reports whether the daemon and its peers don't reach each other.
func (d *modelDaemon) isCut() bool { k := d.fault(); return k == faultCut || k == faultFrozen }

// call simulates a call to the key-value service until its response begins.
func (d *modelDaemon) call(ctx context.Context) error {
	kind := d.fault()
	d.calls++
	switch {
	case kind == faultRefused || kind == faultFlaky && d.calls%2 == 0:
		return platform.ErrUnavailable
	case kind == faultSilent || kind == faultFrozen:
		if err := sleep.For(ctx, fleetCallTimeout); err != nil {
			return err
		}
		return platform.ErrUnavailable
	case kind == faultSlow:
		return sleep.For(ctx, 60*fleetCallDuration)
	default:
		return sleep.For(ctx, fleetCallDuration)
	}
}

// receive waits as long as the link needs to transfer entries in the key-value service's encoding.
func (d *modelDaemon) receive(ctx context.Context, entries []platform.Entry) error {
	for _, e := range entries {
		for left := len(e.Value)*4/3 + 100; left > 0; left -= d.down.Burst() {
			if err := d.down.WaitN(ctx, min(left, d.down.Burst())); err != nil {
				return err
			}
		}
	}
	return nil
}

// List implements platform.KV. It reads page by page.
func (d *modelDaemon) List(ctx context.Context, prefix string) ([]platform.Entry, platform.Revision, error) {
	var all []platform.Entry
	var first platform.Revision
	for after := ""; ; after = all[len(all)-1].Key {
		if err := d.call(ctx); err != nil {
			return nil, 0, err
		}
		platform.AnswerBegins(ctx)
		page, at := d.service.list(prefix, after)
		if err := d.receive(ctx, page); err != nil {
			return nil, 0, err
		}
		if first == 0 {
			first = at
		}
		all = append(all, page...)
		if len(page) < fleetPageSize {
			return all, first, nil
		}
	}
}

// Watch implements platform.KV.
func (d *modelDaemon) Watch(ctx context.Context, _ string, after platform.Revision, wait time.Duration) ([]platform.Entry, platform.Revision, error) {
	if err := d.call(ctx); err != nil {
		return nil, 0, err
	}
	end := time.NewTimer(wait)
	defer end.Stop()
	for {
		events, at, changed, err := d.service.since(after)
		if d.isSilent() {
			return nil, 0, d.loseWatch(ctx, end.C)
		}
		if err != nil || len(events) > 0 {
			if err == nil {
				platform.AnswerBegins(ctx)
				err = d.receive(ctx, events)
			}
			return events, at, err
		}
		select {
		case <-changed:
		case <-end.C:
			if d.isSilent() {
				return nil, 0, d.loseWatch(ctx, nil)
			}
			platform.AnswerBegins(ctx)
			return nil, at, nil
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		}
	}
}

// loseWatch waits until a watch fails whose answer is lost. end receives the time at which it would have ended without a
// change; nil: it has ended.
func (d *modelDaemon) loseWatch(ctx context.Context, end <-chan time.Time) error {
	if end != nil {
		select {
		case <-end:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if err := sleep.For(ctx, WatchSlack); err != nil {
		return err
	}
	return platform.ErrUnavailable
}

// modelTransport sends requests between daemons over their links.
type modelTransport struct {
	self *modelDaemon
	by   map[string]*modelDaemon
}

// bufferingTransport is a modelTransport between daemons whose kernels buffer whole responses.
type bufferingTransport modelTransport

// RoundTrip implements http.RoundTripper. The peer's handler returns when its response is transferred.
func (n modelTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	peer := n.by[r.URL.Host]
	if peer.isCut() {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	r.Header.Set("Accept-Encoding", "gzip")
	body, w := io.Pipe()
	response := &modelResponse{
		ctx: r.Context(), links: []*rate.Limiter{peer.up, n.self.down}, body: w, header: http.Header{}, begun: make(chan int, 1),
	}
	go func() {
		peer.handler.ServeHTTP(response, r)
		response.WriteHeader(http.StatusOK)
		_ = w.Close() // never fails
	}()
	out := &http.Response{StatusCode: <-response.begun, Header: response.header, Body: body}
	if out.Header.Get("Content-Encoding") != "gzip" {
		return out, nil
	}
	plain, err := gzip.NewReader(body)
	if err != nil {
		return nil, err
	}
	out.Body = struct {
		io.Reader
		io.Closer
	}{plain, body}
	return out, nil
}

// modelResponse is a response that is limited by two links.
type modelResponse struct {
	ctx    context.Context
	links  []*rate.Limiter
	body   *io.PipeWriter
	header http.Header
	begun  chan int // receives the status
	once   sync.Once
}

// Header implements http.ResponseWriter.
func (w *modelResponse) Header() http.Header { return w.header }

// WriteHeader implements http.ResponseWriter.
func (w *modelResponse) WriteHeader(status int) { w.once.Do(func() { w.begun <- status }) }

// Write implements io.Writer.
func (w *modelResponse) Write(p []byte) (int, error) {
	w.WriteHeader(http.StatusOK)
	written := 0
	for chunk := range slices.Chunk(p, w.links[0].Burst()) {
		for _, l := range w.links {
			if err := l.WaitN(w.ctx, len(chunk)); err != nil {
				return written, err
			}
		}
		n, err := w.body.Write(chunk)
		written += n
		if err != nil {
			return written, err
		}
	}
	return written, nil
}

// RoundTrip implements http.RoundTripper. The peer's handler returns before its response is transferred.
func (n bufferingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	peer := n.by[r.URL.Host]
	r.Header.Set("Accept-Encoding", "gzip")
	answer := httptest.NewRecorder()
	peer.handler.ServeHTTP(answer, r)
	out := answer.Result()
	link := &modelBody{ctx: r.Context(), from: peer.up, to: n.self.down, remaining: bytes.NewReader(answer.Body.Bytes())}
	if out.Header.Get("Content-Encoding") != "gzip" {
		out.Body = io.NopCloser(link)
		return out, nil
	}
	plain, err := gzip.NewReader(link)
	if err != nil {
		return nil, err
	}
	out.Body = plain
	return out, nil
}

// modelBody is a response body that is limited by two links.
type modelBody struct {
	ctx       context.Context
	from, to  *rate.Limiter
	remaining *bytes.Reader
}

// Read implements io.Reader.
func (b *modelBody) Read(p []byte) (int, error) {
	n, err := b.remaining.Read(p[:min(len(p), b.to.Burst())])
	for _, l := range []*rate.Limiter{b.from, b.to} {
		if waitErr := l.WaitN(b.ctx, n); waitErr != nil {
			return 0, waitErr
		}
	}
	return n, err
}

// modelFleet is the key-value service and all daemons.
type modelFleet struct {
	service *modelService
	daemons []*modelDaemon
	start   time.Time
	way     relaying
	times   Times
}

// newModelFleet starts the daemons, which must apply changes within a bound, each with the faults that were drawn for
// it.
func newModelFleet(ctx context.Context, wg *sync.WaitGroup, way relaying, bound time.Duration, transport func(modelTransport) http.RoundTripper, faults func(daemon int) []fault) *modelFleet {
	f := &modelFleet{service: newModelService(), start: time.Now(), way: way, times: NewTimes(bound)}
	f.service.put("op/config", []byte("first"))
	for i := range fleetReplicas {
		f.service.put(fmt.Sprintf("servers/%04d", i), make([]byte, 300))
	}
	by := map[string]*modelDaemon{}
	for i := range fleetDaemons {
		const burst = 2 << 10 // bytes of one read
		d := &modelDaemon{
			service: f.service, start: f.start, faults: faults(i),
			down: rate.NewLimiter(fleetBandwidth, burst), up: rate.NewLimiter(fleetBandwidth, burst),
		}
		isRelayed := func() bool { return f.relayedFor(i) > 0 }
		follower := New(Options{KV: d, WatchTimeout: func() time.Duration { return f.times.Watch }, Relayed: func() time.Duration { return f.relayedFor(i) }})
		d.answerAge = follower.AnswerAge
		mirrors := []*Mirror{follower.AddMirror("op/", d.apply), follower.AddMirror("servers/", func(Update) {})}
		d.group = NewGroup(GroupOptions{Client: &http.Client{Transport: transport(modelTransport{self: d, by: by})}, Mirrors: mirrors, Relayed: isRelayed})
		d.handler, _ = d.group.Handler() // fails for wrong options only
		f.daemons = append(f.daemons, d)
		by[address(i)] = d
		wg.Go(func() { _ = follower.Run(ctx) }) // ends with ctx
	}
	for i := range f.daemons {
		wg.Go(func() { f.reportPeriodically(ctx, i) })
	}
	return f
}

func address(daemon int) string { return fmt.Sprint("d", daemon, ":1") }

// maxDelay returns the longest time until a change is applied.
func (f *modelFleet) maxDelay() time.Duration {
	if f.way == tiered {
		return fleetTieredDelay
	}
	return fleetMaxDelay
}

func isModelWatcher(daemon int) bool { return daemon%fleetSectionSize < fleetTierSize }

func isModelRelay(daemon int) bool {
	return !isModelWatcher(daemon) && daemon%fleetCellSize < 2*fleetTierSize && daemon%fleetCellSize >= fleetTierSize
}

// relayedFor returns for how long a daemon watches through its peers; zero or less: not at all.
func (f *modelFleet) relayedFor(i int) time.Duration {
	return f.times.RelyFor(f.reportedFor(i), f.daemons[i].group.UnansweredFor())
}

// reportedFor returns for how long the newest answer counts that the peers of a daemon have reported.
func (f *modelFleet) reportedFor(i int) time.Duration {
	d, now := f.daemons[i], time.Now()
	watchers := d.watchers.Left(now, f.times.MaxAge)
	switch {
	case f.way == someWatch && i%fleetWatchRatio != 0:
		return watchers
	case f.way == tiered && isModelRelay(i):
		return watchers
	case f.way == tiered && !isModelWatcher(i):
		return max(watchers, d.relays.Left(now, f.times.MaxAge))
	}
	return 0
}

// informs returns the daemons that a daemon reports to besides a random one.
func (f *modelFleet) informs(i int) (to []int) {
	if f.way != tiered {
		for n := range fleetPeers {
			to = append(to, (i+1+n)%fleetDaemons)
		}
		return to
	}
	for other := range fleetDaemons {
		sameCell := other/fleetCellSize == i/fleetCellSize
		sameSection := other/fleetSectionSize == i/fleetSectionSize
		if other != i && (sameCell || isModelWatcher(i) && isModelRelay(other) && sameSection) {
			to = append(to, other)
		}
	}
	return to
}

// reportPeriodically sends a daemon's revisions to its peers every fleetReportInterval.
func (f *modelFleet) reportPeriodically(ctx context.Context, i int) {
	chance := rand.New(rand.NewPCG(uint64(i), 1))
	for sleep.For(ctx, fleetReportInterval) == nil {
		for _, to := range f.informs(i) {
			f.report(ctx, i, to)
		}
		f.report(ctx, i, chance.IntN(fleetDaemons))
	}
}

// report sends one daemon's revisions to another, and whether the sender watches the key-value
// service or hears one that does.
func (f *modelFleet) report(ctx context.Context, from, to int) {
	if f.daemons[from].isCut() || f.daemons[to].isCut() {
		return
	}
	f.daemons[to].group.HandleRevisions(ctx, address(from), f.daemons[from].group.Revisions())
	now := time.Now()
	if age, watches := f.daemons[from].answerAge(now); watches {
		f.daemons[to].watchers.Record(now, age)
	}
	if age, known := f.daemons[from].watchers.Age(now); f.way == tiered && isModelRelay(from) && known {
		f.daemons[to].relays.Record(now, max(age, f.daemons[from].group.UnansweredFor()))
	}
}

// drawFaults draws the faults of one daemon within a duration.
func drawFaults(draw *rand.Rand, within time.Duration) []fault {
	kinds := []faultKind{faultRefused, faultSilent, faultSlow, faultFlaky}
	var out []fault
	for range draw.IntN(3) {
		from := time.Duration(draw.Int64N(int64(within)))
		lasts := 500*time.Millisecond + time.Duration(draw.Int64N(int64(6*time.Second)))
		out = append(out, fault{kind: kinds[draw.IntN(len(kinds))], from: from, to: from + lasts})
	}
	return out
}

// randomState returns a desired state with random names, which compresses no better than real ones.
func randomState(draw *rand.Rand) []byte {
	size := fleetStateSize/8 + draw.IntN(fleetStateSize*7/8)
	var b bytes.Buffer
	for b.Len() < size {
		fmt.Fprintf(&b, `{"name":"r-%08x","host":"%08x.example","prefix":"/%08x/","kind":"safe"},`, draw.Uint32(), draw.Uint32(), draw.Uint32())
	}
	return b.Bytes()
}

// Operators write large desired states in quick succession. Meanwhile the key-value service refuses
// some daemons, is silent or slow to others, fails every second call, and compacts its history. All
// daemons can reach their peers, so each state must be applied on every daemon within the bound,
// and no daemon may revert to an older state.
//
// FLEET_SEEDS sets how many seeds to run, starting with FLEET_FIRST.
func TestChangesReachHundredDaemonsInTime(t *testing.T) {
	first, seeds := fleetSeeds(3)
	for seed := first; seed < first+seeds; seed++ {
		for way, transport := range map[relaying]func(modelTransport) http.RoundTripper{allWatch: buffered, someWatch: buffered, tiered: streamed} {
			t.Run(fmt.Sprintf("%s seed=%d", way, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runFleet(t, seed, way, transport) })
			})
		}
	}
}

// fleetSeeds returns the first seed and the number of seeds to run.
func fleetSeeds(byDefault uint64) (first, seeds uint64) {
	first, seeds = 1, byDefault
	if n, err := strconv.ParseUint(os.Getenv("FLEET_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	if n, err := strconv.ParseUint(os.Getenv("FLEET_FIRST"), 10, 64); err == nil {
		first = n
	}
	return first, seeds
}

// The same where a response occupies its sender until it is transferred.
func TestChangesReachHundredDaemonsOverSmallBuffers(t *testing.T) {
	for _, seed := range []uint64{3, 4, 8} {
		for _, way := range []relaying{allWatch, someWatch} {
			t.Run(fmt.Sprintf("%s seed=%d", way, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runFleet(t, seed, way, streamed) })
			})
		}
	}
}

func buffered(t modelTransport) http.RoundTripper { return bufferingTransport(t) }

func streamed(t modelTransport) http.RoundTripper { return t }

// runFleet makes changes as operators do, and checks that each is applied in time.
func runFleet(t *testing.T, seed uint64, way relaying, transport func(modelTransport) http.RoundTripper) {
	draw := rand.New(rand.NewPCG(seed, 0))
	const length = 12 * time.Second
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f := newModelFleet(ctx, &wg, way, fleetMaxDelay, transport, func(int) []fault { return drawFaults(draw, length) })
	for range draw.IntN(4) {
		at := time.Duration(draw.Int64N(int64(length)))
		wg.Go(func() {
			if sleep.For(ctx, at) == nil {
				f.service.compact()
			}
		})
	}
	_ = sleep.For(ctx, 2*time.Second) // until all daemons have listed
	var checks sync.WaitGroup
	for range 2 + draw.IntN(3) {
		_ = sleep.For(ctx, 300*time.Millisecond+time.Duration(draw.Int64N(int64(3*time.Second))))
		revision := f.service.put("op/config", randomState(draw))
		at := time.Since(f.start)
		checks.Go(func() {
			_ = sleep.For(ctx, f.maxDelay())
			f.checkApplied(t, at, revision)
		})
	}
	checks.Wait()
	cancel()
	wg.Wait()
}

// checkApplied reports daemons that have not applied a change or reverted to an older one.
func (f *modelFleet) checkApplied(t *testing.T, at time.Duration, revision platform.Revision) {
	for i, d := range f.daemons {
		d.mu.Lock()
		if d.applied < revision {
			t.Errorf("daemon %d: the change of %s (revision %d) is not applied after %s, only revision %d; faults: %v", i, at, revision, f.maxDelay(), d.applied, d.faults)
		}
		if d.reverted {
			t.Errorf("daemon %d reverted to an older state", i)
		}
		d.mu.Unlock()
	}
}

// troubles are what happens to all daemons that watch the key-value service at once, for some seconds.
var troubles = []struct {
	name  string
	kinds []faultKind // by turns, if there are several
}{
	{"no answers", []faultKind{faultSilent}},
	{"refused", []faultKind{faultRefused}},
	{"frozen", []faultKind{faultFrozen}},
	{"cut from their peers", []faultKind{faultCut}},
	{"turned away by turns", []faultKind{faultSilent, faultNone, faultRefused, faultNone}},
	{"all by turns", []faultKind{faultSilent, faultCut, faultRefused, faultFrozen}},
}

const (
	troubleBegins = 6 * time.Second
	troubleLasts  = 5 * time.Second
	troubleTurn   = 700 * time.Millisecond
)

// faultsOf returns the faults of one watcher. Watchers take their turns one after the other.
func faultsOf(kinds []faultKind, watcher int) (out []fault) {
	if len(kinds) == 1 {
		return []fault{{kind: kinds[0], from: troubleBegins, to: troubleBegins + troubleLasts}}
	}
	for turn := 0; time.Duration(turn)*troubleTurn < troubleLasts; turn++ {
		from := troubleBegins + time.Duration(turn)*troubleTurn
		out = append(out, fault{kind: kinds[(turn+watcher)%len(kinds)], from: from, to: from + troubleTurn})
	}
	return out
}

// TestChangesReachOthersWhileWatchersAreDisturbed guards against daemons that learn of changes through peers and go on
// with the old desired state for longer than the bound when all these peers lose the key-value service.
//
// FLEET_SEEDS and FLEET_FIRST are as above.
func TestChangesReachOthersWhileWatchersAreDisturbed(t *testing.T) {
	first, seeds := fleetSeeds(2)
	for seed := first; seed < first+seeds; seed++ {
		for _, way := range []relaying{someWatch, tiered} {
			for _, trouble := range troubles {
				t.Run(fmt.Sprintf("%s, %s seed=%d", way, trouble.name, seed), func(t *testing.T) {
					synctest.Test(t, func(t *testing.T) { runDisturbedWatchers(t, seed, way, trouble.kinds) })
				})
			}
		}
	}
}

func runDisturbedWatchers(t *testing.T, seed uint64, way relaying, kinds []faultKind) {
	const bound = 2 * time.Second
	draw := rand.New(rand.NewPCG(seed, 1))
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	f := newModelFleet(ctx, &wg, way, bound, streamed, func(i int) []fault {
		if isWatcherOf(way, i) {
			return faultsOf(kinds, i)
		}
		return nil
	})
	// The first change decides when the watches end that the trouble interrupts, and the second one meets daemons that
	// still believe in their peers.
	_ = sleep.For(ctx, troubleBegins-time.Duration(draw.Int64N(int64(f.times.Watch))))
	f.service.put("op/config", []byte("before"))
	_ = sleep.For(ctx, time.Until(f.start.Add(troubleBegins+time.Duration(draw.Int64N(int64(50*time.Millisecond))))))
	for time.Since(f.start) < troubleBegins+troubleLasts {
		revision := f.service.put("op/config", fmt.Appendf(nil, "%d", draw.Uint32()))
		at := time.Since(f.start)
		wg.Go(func() {
			_ = sleep.For(ctx, bound)
			f.checkUndisturbed(t, at, revision)
		})
		_ = sleep.For(ctx, time.Duration(draw.Int64N(int64(2*bound))))
	}
	_ = sleep.For(ctx, bound+time.Second)
	cancel()
	wg.Wait()
}

func isWatcherOf(way relaying, i int) bool {
	return way == someWatch && i%fleetWatchRatio == 0 || way == tiered && isModelWatcher(i)
}

// checkUndisturbed reports daemons without faults that have not applied a change.
func (f *modelFleet) checkUndisturbed(t *testing.T, at time.Duration, revision platform.Revision) {
	for i, d := range f.daemons {
		d.mu.Lock()
		if len(d.faults) == 0 && d.applied < revision {
			t.Errorf("daemon %d: the change of %s is not applied after %s", i, at, time.Since(f.start)-at)
		}
		d.mu.Unlock()
	}
}
