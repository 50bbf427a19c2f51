package origins

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/origin"
	"github.com/bluebellscale/bluebellscale/internal/relay"
)

// A schedule runs exchanges in virtual time while versions come and go and daemons are killed, alone or all at once, cut off
// from the key-value service or from each other, and while replicas restart under their ids with another version. Callers take streams up at random daemons.
const (
	scheduleSeeds     = 8 // SCHEDULE_SEEDS runs more
	stepsPerFault     = 20
	scheduleLength    = 60 * time.Second
	scheduleStep      = 50 * time.Millisecond
	scheduleDaemons   = 6
	scheduleVersions  = 3
	streamsPerStep    = 2
	maxReturn         = 3 * time.Second // until a caller takes its stream up
	maxFault          = 4 * time.Second
	maxRestart        = 1500 * time.Millisecond
	unnoticedCut      = 1500 * time.Millisecond // how long a cut-off daemon believes that its list of replicas is current
	maxPropagation    = 20 * time.Millisecond
	datagramLoss      = 0.03
	versionFaultShare = 0.5 // share of the faults that change which versions have replicas
	stepsPerRestart   = 40
	maxEntryDelay     = 1200 * time.Millisecond // from the restart of a replica under its id to its entry
)

// errUnreachable is the error of a call to a daemon that is dead or cut off.
var errUnreachable = errors.New("origins: test: unreachable")

type scheduledDaemon struct {
	*Exchange
	name     string
	address  netip.AddrPort
	stop     context.CancelFunc
	alive    bool
	cutAt    time.Time // from the key-value service; zero: it is not cut off
	isolated bool      // from other daemons
	view     map[string]bool
}

type schedule struct {
	t       *testing.T
	random  *rand.Rand
	ctx     context.Context
	mu      sync.Mutex // guards all below, and the daemons' fields
	daemons []*scheduledDaemon
	present map[string]bool // versions that have replicas
	// unlisted counts the replicas of a version that restarted under their ids, and whose entries are of the processes before.
	unlisted map[string]int
	restarts *rand.Rand
	unknown  int            // streams that began at such a replica
	entry    platform.Entry // in the key-value service
	inject   func()         // may inject faults, once in each step
	streams  int
	wentOn   int
	refused  int
	wrong    []string
}

// forEachSchedule runs a test in virtual time for each seed.
func forEachSchedule(t *testing.T, run func(t *testing.T, seed uint64)) {
	seeds := uint64(scheduleSeeds)
	if n, err := strconv.ParseUint(os.Getenv("SCHEDULE_SEEDS"), 10, 64); err == nil {
		seeds = n
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { run(t, seed) })
		})
	}
}

// TestSchedulesOfVersions guards against streams that go on at another version, whatever fails meanwhile.
func TestSchedulesOfVersions(t *testing.T) {
	forEachSchedule(t, func(t *testing.T, seed uint64) {
		s := newSchedule(t, seed)
		s.inject = s.mayInjectFault
		s.run(seed)
	})
}

const (
	releaseInterval = 15 * time.Second // longer than streams of the version before may go on
	maxAfterRelease = 600 * time.Millisecond
	maxWithdrawal   = 3 * time.Second // until a new version is withdrawn
)

// TestSchedulesOfReleases guards against the same where daemons are certain of one version when another one joins, and one daemon is out of step
// then, or all are killed, or the new version is withdrawn at once.
func TestSchedulesOfReleases(t *testing.T) {
	forEachSchedule(t, func(t *testing.T, seed uint64) {
		s := newSchedule(t, seed)
		s.entry = platform.Entry{Key: HistoryPrefix + service, Value: []byte(`{"versions":["v1"]}`), Revision: 1}
		next := time.Now()
		s.inject = func() {
			if time.Now().Before(next) {
				return
			}
			next = time.Now().Add(releaseInterval + time.Duration(s.random.Int64N(int64(releaseInterval))))
			s.release()
		}
		s.run(seed)
	})
}

// release lets one version follow another, with faults around the moment at which it joins.
func (s *schedule) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	versions := []string{"v1", "v2"}
	if s.present["v2"] {
		slices.Reverse(versions)
	}
	old, joining := versions[0], versions[1]
	i := s.random.IntN(len(s.daemons))
	if s.random.IntN(2) == 0 {
		s.cut(i, maxFault)
		s.isolate(i, maxFault)
	}
	s.present[joining] = true
	s.propagate()
	if s.random.IntN(2) == 0 {
		s.after(maxAfterRelease, func() {
			for n := range s.daemons {
				s.kill(n)
			}
		})
	}
	leaving := old
	if s.random.IntN(2) == 0 {
		leaving = joining
	}
	s.after(maxWithdrawal, func() {
		s.present[leaving] = false
		s.propagate()
	})
}

// after does something after a random time.
func (s *schedule) after(most time.Duration, do func()) {
	time.AfterFunc(time.Duration(s.random.Int64N(int64(most))), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		do()
	})
}

// newSchedule returns a schedule whose daemons don't run yet.
func newSchedule(t *testing.T, seed uint64) *schedule {
	s := &schedule{t: t, random: rand.New(rand.NewPCG(seed, 7)), present: map[string]bool{"v1": true},
		unlisted: map[string]int{}, restarts: rand.New(rand.NewPCG(seed, 8))}
	for i := range scheduleDaemons {
		s.daemons = append(s.daemons, &scheduledDaemon{name: fmt.Sprint("vm", i), address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1)})
	}
	return s
}

// run starts the daemons, lets callers begin streams and take them up, and checks where they went on.
func (s *schedule) run(seed uint64) {
	t := s.t
	ctx, cancel := context.WithCancel(t.Context())
	s.ctx = ctx
	s.mu.Lock()
	for i := range s.daemons {
		s.start(i)
	}
	s.mu.Unlock()
	for end := time.Now().Add(scheduleLength); time.Now().Before(end); time.Sleep(scheduleStep) {
		for range streamsPerStep {
			s.beginStream()
		}
		s.inject()
	}
	time.Sleep(maxReturn + maxFault)
	cancel()
	synctest.Wait()
	t.Logf("seed %d: %d streams, %d of unknown versions, %d of %d went on", seed, s.streams, s.unknown, s.wentOn, s.wentOn+s.refused)
	for _, wrong := range s.wrong {
		t.Errorf("seed %d: %s", seed, wrong)
	}
	if s.wentOn < s.refused {
		t.Errorf("seed %d: more than half of the streams could not go on", seed)
	}
}

// start starts a daemon, which reads the key-value service shortly after. The mutex must be held.
func (s *schedule) start(i int) {
	d := s.daemons[i]
	ctx, stop := context.WithCancel(s.ctx)
	d.alive, d.stop, d.view = true, stop, map[string]bool{}
	d.Exchange = New(Options{
		Self: d.name, Region: "r", Peers: s.peers, Send: func(to netip.AddrPort, records []origin.Record) { s.send(i, to, records) },
		Client: &http.Client{Transport: &scheduleTransport{schedule: s, from: i}}, Current: func() bool { return s.current(i) },
		Keep: func() time.Duration { return keepTime }, Params: DefaultParams, Resumable: isTestService, Rank: func(string) int { return i },
	})
	d.o.KV = &scheduleKV{schedule: s, daemon: i}
	e := d.Exchange
	for _, run := range []func(context.Context) error{e.Run, e.RunHistory} {
		go func() { _ = run(ctx) }()
	}
	time.AfterFunc(100*time.Millisecond, func() { s.read(i, e) })
}

// read brings a daemon up to date, unless it is cut off or another process by now.
func (s *schedule) read(i int, e *Exchange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.daemons[i]
	if d.Exchange != e || !d.alive || !d.cutAt.IsZero() {
		return
	}
	if s.entry.Revision != 0 {
		e.applyHistory(mirror.Update{Entries: []platform.Entry{s.entry}})
	}
	for n := range scheduleVersions {
		software := fmt.Sprint("v", n+1)
		if s.present[software] != d.view[software] {
			d.view[software] = s.present[software]
			e.OnSoftware(service, software, s.present[software])
		}
	}
	e.OnListed(time.Now())
}

// propagate lets all daemons read, at different times.
func (s *schedule) propagate() {
	for i, d := range s.daemons {
		e := d.Exchange
		time.AfterFunc(time.Duration(s.random.Int64N(int64(maxPropagation))), func() { s.read(i, e) })
	}
}

func (s *schedule) current(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := s.daemons[i]
	return d.cutAt.IsZero() || time.Since(d.cutAt) < unnoticedCut
}

func (s *schedule) peers() []Peer {
	out := make([]Peer, len(s.daemons)) // the list of daemons lags behind their deaths
	for i, d := range s.daemons {
		out[i] = Peer{Member: origin.Member{Name: d.name, FailureDomain: fmt.Sprint(i % 3), Region: "r"}, Address: d.address}
	}
	return out
}

// reachable returns the daemon at an address, nil if another one does not reach it.
func (s *schedule) reachable(from int, address netip.AddrPort) *Exchange {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := slices.IndexFunc(s.daemons, func(d *scheduledDaemon) bool { return d.address == address })
	if d := s.daemons[n]; d.alive && !d.isolated && !s.daemons[from].isolated {
		return d.Exchange
	}
	return nil
}

func (s *schedule) send(from int, to netip.AddrPort, records []origin.Record) {
	s.mu.Lock()
	lost := s.random.Float64() < datagramLoss
	s.mu.Unlock()
	if lost {
		return
	}
	time.AfterFunc(time.Millisecond, func() {
		if e := s.reachable(from, to); e != nil {
			e.OnRecords(records)
		}
	})
}

// beginStream begins a stream at a random daemon, and may let its caller take it up later.
func (s *schedule) beginStream() {
	s.mu.Lock()
	i := s.random.IntN(len(s.daemons))
	d, e := s.daemons[i], s.daemons[i].Exchange
	software := fmt.Sprint("v", 1+s.random.IntN(scheduleVersions))
	known := d.alive && d.view[software] && s.present[software]
	unknown := d.alive && !known && s.unlisted[software] > 0
	serves := known || unknown
	n := s.streams
	returns := s.random.IntN(2) == 0
	after := time.Duration(s.random.Int64N(int64(maxReturn)))
	if serves {
		s.streams++
	}
	if unknown {
		s.unknown++
	}
	s.mu.Unlock()
	if !serves {
		return
	}
	binding := relay.SoftwareBinding{}
	if known {
		binding = relay.BoundTo(software)
	}
	go func() {
		e.Began(s.ctx, stream(n), binding)
		if returns {
			s.takeUp(n, software, known, after)
		}
	}()
}

// takeUp lets a caller take a stream up. A stream of a process that its daemon didn't know can't go on.
func (s *schedule) takeUp(n int, began string, known bool, after time.Duration) {
	time.Sleep(after)
	s.mu.Lock()
	d := s.daemons[s.random.IntN(len(s.daemons))]
	e, alive := d.Exchange, d.alive
	s.mu.Unlock()
	if !alive {
		return
	}
	got, err := e.Find(s.ctx, stream(n))
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case err != nil && !known:
	case err != nil:
		s.refused++
	case got != began:
		s.wrong = append(s.wrong, fmt.Sprintf("stream %d began at %s and goes on at %s at %s", n, began, got, d.name))
	default:
		s.wentOn++
	}
}

// mayInjectFault injects a fault in one of stepsPerFault steps.
func (s *schedule) mayInjectFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mayRestartReplica()
	if s.random.IntN(stepsPerFault) != 0 {
		return
	}
	if s.random.Float64() < versionFaultShare {
		s.changeVersions()
		return
	}
	i := s.random.IntN(len(s.daemons))
	lasts := time.Duration(s.random.Int64N(int64(maxFault)))
	switch s.random.IntN(10) {
	case 0, 1, 2:
		s.kill(i)
	case 3:
		for n := range s.daemons {
			s.kill(n)
		}
	case 4, 5:
		s.cut(i, lasts)
	case 6:
		for n := range s.daemons {
			s.cut(n, lasts)
		}
	case 7:
		s.isolate(i, lasts)
	default:
		s.cut(i, lasts)
		s.isolate(i, lasts)
	}
}

// isolate cuts a daemon off from the others.
func (s *schedule) isolate(i int, lasts time.Duration) {
	d := s.daemons[i]
	d.isolated = true
	time.AfterFunc(lasts, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		d.isolated = false
	})
}

// mayRestartReplica lets a replica restart under its id with another version, in one of stepsPerRestart steps. Its entry is late.
func (s *schedule) mayRestartReplica() {
	if s.restarts.IntN(stepsPerRestart) != 0 {
		return
	}
	software := fmt.Sprint("v", 1+s.restarts.IntN(scheduleVersions))
	s.unlisted[software]++
	time.AfterFunc(time.Duration(s.restarts.Int64N(int64(maxEntryDelay))), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.unlisted[software]--
		s.present[software] = true
		s.propagate()
	})
}

// changeVersions gives a version replicas, or takes its last one away.
func (s *schedule) changeVersions() {
	software := fmt.Sprint("v", 1+s.random.IntN(scheduleVersions))
	s.present[software] = !s.present[software]
	s.propagate()
}

func (s *schedule) kill(i int) {
	d := s.daemons[i]
	if !d.alive {
		return
	}
	d.alive = false
	d.stop()
	time.AfterFunc(time.Duration(s.random.Int64N(int64(maxRestart))), func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.start(i)
	})
}

// cut cuts a daemon off from the key-value service.
func (s *schedule) cut(i int, lasts time.Duration) {
	d := s.daemons[i]
	if !d.cutAt.IsZero() {
		return
	}
	d.cutAt = time.Now()
	time.AfterFunc(lasts, func() {
		s.mu.Lock()
		d.cutAt = time.Time{}
		e := d.Exchange
		s.mu.Unlock()
		s.read(i, e)
	})
}

// scheduleTransport carries the calls of one daemon.
type scheduleTransport struct {
	schedule *schedule
	from     int
}

// RoundTrip implements http.RoundTripper.
func (t *scheduleTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	time.Sleep(time.Millisecond)
	e := t.schedule.reachable(t.from, netip.MustParseAddrPort(r.URL.Host))
	if e == nil {
		return nil, errUnreachable
	}
	w := httptest.NewRecorder()
	NewServer(e).ServeHTTP(w, r)
	return w.Result(), nil
}

// scheduleKV is the key-value service as one daemon sees it.
type scheduleKV struct {
	platform.KV
	schedule *schedule
	daemon   int
}

// Get implements platform.KV. A daemon that is cut off gets no answer.
func (kv *scheduleKV) Get(ctx context.Context, _ string) (platform.Entry, error) {
	s := kv.schedule
	time.Sleep(time.Millisecond)
	s.mu.Lock()
	cut, entry := !s.daemons[kv.daemon].cutAt.IsZero(), s.entry
	s.mu.Unlock()
	switch {
	case cut:
		<-ctx.Done()
		return platform.Entry{}, ctx.Err()
	case entry.Revision == 0:
		return platform.Entry{}, platform.ErrNotFound
	}
	return entry, nil
}

// CompareAndSwap implements platform.KV.
func (kv *scheduleKV) CompareAndSwap(_ context.Context, key string, expect platform.Revision, value []byte, _ platform.LeaseID) (platform.Revision, error) {
	s := kv.schedule
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case !s.daemons[kv.daemon].cutAt.IsZero():
		return 0, errUnreachable
	case s.entry.Revision != expect:
		return 0, platform.ErrConflict
	case !json.Valid(value):
		s.wrong = append(s.wrong, fmt.Sprintf("an invalid entry was written: %q", value))
	}
	s.entry = platform.Entry{Key: key, Value: value, Revision: expect + 1}
	s.propagate()
	return s.entry.Revision, nil
}
