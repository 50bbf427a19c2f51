package crashes

import (
	"cmp"
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/mirror"
	"github.com/bluebellscale/bluebellscale/internal/platform"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

// A schedule runs trackers in virtual time. Requests with some parts crash the replicas that begin an answer on them; others share
// their organisation and their other parts. Replicas also die for other reasons, daemons are killed, alone or all at once, cut off
// from the key-value service or from each other, and the service is away.
const (
	scheduleSeeds     = 6 // SCHEDULE_SEEDS runs more
	scheduleLength    = 90 * time.Second
	scheduleStep      = 10 * time.Millisecond
	scheduleDaemons   = 6
	scheduleReplicas  = 18
	scheduleDomains   = 3
	stepsPerFault     = 200
	maxFault          = 4 * time.Second
	maxRestart        = 1500 * time.Millisecond
	maxPropagation    = 60 * time.Millisecond
	datagramDelay     = 30 * time.Millisecond // up to a tick of the sender
	datagramLoss      = 0.03
	downCheck         = 35 * time.Millisecond // from a death to its report
	beginTime         = 50 * time.Millisecond // from the beginning of an answer to a crash
	accusedFor        = time.Second           // after the beginning of an answer
	maxAttempts       = 2
	soundPerSecond    = 40
	crashingPerSecond = 8 // at most
)

// failedSeeds are of schedules that broke a bound.
var failedSeeds = []uint64{88, 479}

// Bounds of the users' pages.
const (
	contactTime     = 3 * time.Second
	crashesBefore   = 5
	maxSentAfter    = 3
	maxRefusedShare = 0.02 // of the sound requests
)

type scheduledDaemon struct {
	*Tracker
	network     *rand.Rand // of what it sends
	stop        context.CancelFunc
	alive       bool
	cut         bool // from the key-value service
	isolated    bool // from other daemons
	disturbedAt time.Time
}

type scheduledReplica struct {
	id       string
	random   *rand.Rand
	domain   int
	alive    bool
	inFlight map[*scheduledRequest]bool
}

type scheduledRequest struct {
	number  int
	random  *rand.Rand
	daemon  int
	tracker *Tracker
	traits  []poison.Trait
	bad     []string
	org     poison.Org
	sent    time.Time
	first   time.Time // sent first
	begunAt time.Time // zero: not yet
	attempt int
}

// badPart is a part that crashes replicas.
type badPart struct {
	name       string
	perSecond  float64
	from, to   time.Time
	parts      func(n int) []string // of a request with it
	crashes    []time.Time
	sentAfter  int // requests sent by daemons in touch later than contactTime after the fifth crash
	everyReach int
}

// between returns a random time from a up to b.
func between(r *rand.Rand, a, b time.Duration) time.Duration {
	return a + time.Duration(r.Int64N(int64(b-a)))
}

// schedule draws from a source of its own for each request and daemon, and lets nothing happen at the same time, so that a seed has the
// same outcome in each run.
type schedule struct {
	t           *testing.T
	seed        uint64
	random      *rand.Rand // of what the main loop draws
	kvRandom    *rand.Rand // of what the key-value service draws
	ctx         context.Context
	fake        *kv.Fake
	eventMu     sync.Mutex // guards events
	events      []string
	mu          sync.Mutex // guards all below, and the daemons' fields
	daemons     []*scheduledDaemon
	replicas    []*scheduledReplica
	bad         map[string]*badPart
	away        bool // the key-value service
	storeAt     time.Time
	started     int
	requests    int
	atOnce      bool // replicas are back at once
	sound       int
	refused     int
	refusedBy   map[string]int // by part
	soundBy     map[string]int
	description string
}

// TestSchedulesOfPartsThatCrash guards against parts that go on crashing replicas, and against sound requests that are refused, whatever
// else fails.
func TestSchedulesOfPartsThatCrash(t *testing.T) {
	for _, seed := range seedsToRun(t) {
		t.Run(fmt.Sprint("seed=", seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { runSchedule(t, seed) })
		})
	}
}

// seedsToRun returns the seeds that once failed and the first ones, or those that the environment asks for.
func seedsToRun(t *testing.T) (seeds []uint64) {
	first, asked := envNumber(t, "SCHEDULE_FIRST"), envNumber(t, "SCHEDULE_SEEDS")
	for n := range cmp.Or(asked, scheduleSeeds) {
		seeds = append(seeds, cmp.Or(first, 1)+n)
	}
	if asked == 0 {
		seeds = append(seeds, failedSeeds...)
	}
	return seeds
}

// envNumber returns the number in an environment variable, 0 if it is not set.
func envNumber(t *testing.T, name string) uint64 {
	value := os.Getenv(name)
	if value == "" {
		return 0
	}
	n, err := strconv.ParseUint(value, 10, 64)
	if err != nil {
		t.Fatalf("%s: %v", name, err)
	}
	return n
}

func runSchedule(t *testing.T, seed uint64) {
	ctx, cancel := context.WithCancel(t.Context())
	s := &schedule{
		t: t, seed: seed, ctx: ctx, fake: kv.NewFake(time.Now), bad: map[string]*badPart{},
		refusedBy: map[string]int{}, soundBy: map[string]int{},
	}
	s.random = s.source(mainSource, 0)
	s.kvRandom = s.source(kvSource, 0)
	s.mu.Lock()
	s.drawParts()
	s.atOnce = s.random.IntN(4) == 0
	for i := range scheduleReplicas {
		s.startReplica(i % scheduleDomains)
	}
	for i := range scheduleDaemons {
		s.daemons = append(s.daemons, &scheduledDaemon{network: s.source(daemonSource, i)})
		s.start(i)
	}
	s.mu.Unlock()
	for end := time.Now().Add(scheduleLength); time.Now().Before(end); time.Sleep(scheduleStep) {
		s.sendRequests()
		s.mayInjectFault()
	}
	time.Sleep(maxFault + 5*time.Second)
	cancel()
	synctest.Wait()
	s.judge(seed)
}

// drawParts draws which parts crash replicas, when, and what is beside them.
func (s *schedule) drawParts() {
	shapes := []func(part string) func(int) []string{
		func(part string) func(int) []string { return func(int) []string { return []string{"shared", part} } },
		func(part string) func(int) []string { return func(int) []string { return []string{part, "shared"} } },
		func(part string) func(int) []string {
			return func(n int) []string { return []string{"shared", fmt.Sprint("session", n%20), part} }
		},
		func(part string) func(int) []string {
			return func(int) []string { return []string{"shared", "beside", part, "rare"} }
		},
	}
	for n := range 1 + s.random.IntN(2) {
		name := fmt.Sprint("bad", n)
		from := time.Now().Add(time.Duration(5+s.random.IntN(30)) * time.Second)
		shape := s.random.IntN(len(shapes))
		b := &badPart{name: name, perSecond: 0.5 + s.random.Float64()*crashingPerSecond, from: from, to: from.Add(50 * time.Second), parts: shapes[shape](name)}
		s.bad[name] = b
		s.description += fmt.Sprintf(" %s: shape %d, %.1f/s from %s;", name, shape, b.perSecond, time.Until(from))
	}
}

// Kinds of sources of randomness.
const (
	mainSource = 1 + iota
	daemonSource
	jitterSource
	kvSource
	requestSource
	replicaSource
)

func (s *schedule) source(kind, number int) *rand.Rand {
	return rand.New(rand.NewPCG(s.seed, uint64(kind)<<32+uint64(number)))
}

// record keeps an event for the report of a failed seed.
func (s *schedule) record(format string, args ...any) {
	s.addEvent(time.Now().Format("04:05.000 ") + fmt.Sprintf(format, args...))
}

func (s *schedule) addEvent(event string) {
	s.eventMu.Lock()
	defer s.eventMu.Unlock()
	s.events = append(s.events, event)
}

func (s *schedule) startReplica(domain int) {
	s.replicas = append(s.replicas, &scheduledReplica{
		id: fmt.Sprint("r", s.started), random: s.source(replicaSource, s.started), domain: domain, alive: true, inFlight: map[*scheduledRequest]bool{},
	})
	s.started++
}

// start starts a daemon, which reads the key-value service shortly after. The mutex must be held.
func (s *schedule) start(i int) {
	d := s.daemons[i]
	ctx, stop := context.WithCancel(s.ctx)
	d.alive, d.stop, d.disturbedAt = true, stop, time.Now()
	jitter := s.source(jitterSource, i)
	store := &scheduleKV{KV: s.fake.Client(fmt.Sprint("vm", i)), schedule: s, daemon: i}
	d.Tracker = New(Options{
		KV: store, Follower: mirror.New(mirror.Options{KV: store}), Params: poison.DefaultParams,
		SendDeath: func(report poison.Report) {
			s.toOthers(i, scheduleDaemons, func(t *Tracker) { t.OnPeerDeath(report) })
		},
		SendRecords: func(records []poison.Record) {
			s.toOthers(i, scheduleDaemons, func(t *Tracker) { t.OnPeerRecords(records) })
		},
		Gossip:  func(records []poison.Record) { s.toOthers(i, 2, func(t *Tracker) { t.OnPeerRecords(records) }) },
		Rank:    func(string) int { return i },
		Failing: func() bool { return !s.reaches(i) },
		Logger:  hclog.New(&hclog.LoggerOptions{Name: fmt.Sprint("daemon", i), Output: eventWriter{s}, TimeFormat: "04:05.000"}),
		Jitter:  func(bound time.Duration) time.Duration { return time.Duration(jitter.Int64N(int64(bound))) },
	})
	t := d.Tracker
	go func() { _ = t.Run(ctx) }() // ends with ctx
	time.AfterFunc(100*time.Millisecond+between(d.network, 0, maxPropagation), func() { s.read(i, t) })
}

// eventWriter keeps logs with the events.
type eventWriter struct{ *schedule }

// Write implements io.Writer.
func (w eventWriter) Write(line []byte) (int, error) {
	w.addEvent(strings.TrimSpace(string(line)))
	return len(line), nil
}

// read brings a daemon up to date with the key-value service, unless it does not reach it or is another process by now.
func (s *schedule) read(i int, t *Tracker) {
	s.mu.Lock()
	reads := s.daemons[i].Tracker == t && s.daemons[i].alive && !s.daemons[i].cut && !s.away
	s.mu.Unlock()
	if !reads {
		return
	}
	entries, _, err := s.fake.Client("reader").List(s.ctx, keyPrefix)
	if err == nil {
		t.applyStored(mirror.Update{Entries: entries, Full: true})
	}
}

// propagate lets all daemons read, at different times. The mutex must be held.
func (s *schedule) propagate() {
	for i, d := range s.daemons {
		t := d.Tracker
		time.AfterFunc(between(s.kvRandom, 0, maxPropagation), func() { s.read(i, t) })
	}
}

func (s *schedule) reaches(i int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.daemons[i].alive && !s.daemons[i].cut && !s.away
}

// toOthers delivers a datagram to some other daemons, drawn at random.
func (s *schedule) toOthers(from, count int, deliver func(*Tracker)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	network := s.daemons[from].network
	for _, to := range network.Perm(len(s.daemons))[:min(count, len(s.daemons))] {
		if to == from || network.Float64() < datagramLoss {
			continue
		}
		time.AfterFunc(between(network, 0, datagramDelay), func() {
			s.mu.Lock()
			d := s.daemons[to]
			t := d.Tracker
			arrives := d.alive && !d.isolated && !s.daemons[from].isolated
			s.mu.Unlock()
			if arrives {
				deliver(t)
			}
		})
	}
}

// scheduleKV is the key-value service as one daemon reaches it.
type scheduleKV struct {
	platform.KV
	schedule *schedule
	daemon   int
}

// Get implements platform.KV.
func (k *scheduleKV) Get(ctx context.Context, key string) (platform.Entry, error) {
	if !k.schedule.reaches(k.daemon) {
		return platform.Entry{}, platform.ErrUnavailable
	}
	return k.KV.Get(ctx, key)
}

// CompareAndSwap implements platform.KV.
func (k *scheduleKV) CompareAndSwap(ctx context.Context, key string, expect platform.Revision, value []byte, lease platform.LeaseID) (platform.Revision, error) {
	if !k.schedule.reaches(k.daemon) {
		return 0, platform.ErrUnavailable
	}
	revision, err := k.KV.CompareAndSwap(ctx, key, expect, value, lease)
	k.schedule.mu.Lock()
	defer k.schedule.mu.Unlock()
	k.schedule.propagate()
	return revision, err
}

func (s *schedule) sendRequests() {
	s.mu.Lock()
	defer s.mu.Unlock()
	step := scheduleStep.Seconds()
	if s.random.Float64() < soundPerSecond*step {
		n := s.random.IntN(40)
		parts := [][]string{{"shared", fmt.Sprint("session", n)}, {"shared"}, {"shared", "beside"}, {"other", fmt.Sprint("session", 100+n)}}[s.random.IntN(4)]
		if s.random.IntN(20) == 0 {
			parts = []string{"shared", "rare"}
		}
		s.begin(parts, nil)
	}
	for _, name := range slices.Sorted(maps.Keys(s.bad)) {
		b := s.bad[name]
		if now := time.Now(); now.After(b.from) && now.Before(b.to) && s.random.Float64() < b.perSecond*step {
			s.begin(b.parts(s.random.IntN(1000)), []string{name})
		}
	}
}

// begin lets a request arrive within a step. The mutex must be held.
func (s *schedule) begin(parts, bad []string) {
	s.requests++
	r := &scheduledRequest{number: s.requests, random: s.source(requestSource, s.requests), bad: bad, org: poison.OrgOf("o")}
	time.AfterFunc(between(r.random, 0, scheduleStep), func() { s.request(r, parts) })
}

// request sends a request at a random daemon.
func (s *schedule) request(r *scheduledRequest, parts []string) {
	s.mu.Lock()
	r.daemon = r.random.IntN(len(s.daemons))
	r.tracker = s.daemons[r.daemon].Tracker
	alive := s.daemons[r.daemon].alive
	bad, content := r.bad, fmt.Sprint(r.random.Uint64())
	if bad == nil && alive {
		s.sound++
		for _, part := range parts {
			s.soundBy[part]++
		}
	}
	s.mu.Unlock()
	if !alive {
		return
	}
	r.traits = append(r.traits, poison.NewTrait(poison.KindModel, r.org, []byte("m")), poison.NewTrait(poison.KindModel, r.org, []byte("m")).ForAll())
	for _, part := range parts {
		trait := poison.NewTrait(poison.KindPart, r.org, []byte(part))
		r.traits = append(r.traits, trait, trait.ForAll())
	}
	r.traits = append(r.traits, poison.NewTrait(poison.KindRequest, r.org, []byte(content)))
	for r.attempt < maxAttempts {
		if err := s.attempt(r); err != nil {
			s.mu.Lock()
			if bad == nil && r.attempt == 0 {
				s.refused++
				for _, part := range parts {
					s.refusedBy[part]++
				}
			}
			s.mu.Unlock()
			return
		}
		if r.attempt == maxAttempts {
			return
		}
	}
}

// attempt sends a request to a random replica and waits until it is answered or the replica dies. The attempts are used up when it is
// answered.
func (s *schedule) attempt(r *scheduledRequest) *request.Error {
	if err := r.tracker.Admit(s.ctx, r.traitsOf); err != nil {
		return err
	}
	s.mu.Lock()
	var alive []*scheduledReplica
	for _, replica := range s.replicas {
		if replica.alive {
			alive = append(alive, replica)
		}
	}
	if d := s.daemons[r.daemon]; len(alive) == 0 || !d.alive || d.Tracker != r.tracker {
		r.attempt = maxAttempts
		s.mu.Unlock()
		return nil
	}
	r.attempt++
	replica := alive[r.random.IntN(len(alive))]
	r.sent, r.begunAt = time.Now(), time.Time{}
	if r.first.IsZero() {
		r.first = r.sent
	}
	replica.inFlight[r] = true
	s.countSent(r, replica)
	queued := between(r.random, 20*time.Millisecond, 320*time.Millisecond)
	runs := between(r.random, 50*time.Millisecond, 1550*time.Millisecond)
	s.mu.Unlock()
	time.Sleep(queued)
	if !s.still(replica, r, func() { r.begunAt = time.Now() }) {
		r.afterDeath()
		return nil
	}
	if r.bad != nil {
		time.Sleep(beginTime)
		s.still(replica, r, func() { s.crash(replica, r.bad) })
		r.afterDeath()
		return nil
	}
	time.Sleep(runs)
	if s.still(replica, r, func() { delete(replica.inFlight, r); r.attempt = maxAttempts }) {
		r.tracker.RecordSuccess(r.traitsOf)
		return nil
	}
	r.afterDeath()
	return nil
}

// afterDeath waits until the death of the request's replica counts, and ends a request that is then likely to crash the next one, as the
// relay does.
func (r *scheduledRequest) afterDeath() {
	time.Sleep(downCheck + time.Millisecond)
	if r.tracker.Suspicion(r.traitsOf) == poison.HalfWay {
		r.attempt = maxAttempts
	}
}

func (r *scheduledRequest) traitsOf(withContent bool) []poison.Trait {
	if withContent {
		return r.traits
	}
	return r.traits[:len(r.traits)-1]
}

// still calls then if the replica runs and has the request, and reports that.
func (s *schedule) still(replica *scheduledReplica, r *scheduledRequest, then func()) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !replica.alive || !replica.inFlight[r] {
		return false
	}
	then()
	return true
}

// countSent counts a request that reaches a replica, if the pages bound that. The mutex must be held.
func (s *schedule) countSent(r *scheduledRequest, replica *scheduledReplica) {
	for _, name := range r.bad {
		b := s.bad[name]
		b.everyReach++
		s.record("request %d with %s is sent by daemon %d to %s, after %d crashes", r.number, name, r.daemon, replica.id, len(b.crashes))
		if len(b.crashes) < crashesBefore || time.Since(b.crashes[crashesBefore-1]) < contactTime {
			continue
		}
		d := s.daemons[r.daemon]
		if !d.cut && !d.isolated && !s.away && time.Since(d.disturbedAt) > contactTime && time.Since(s.storeAt) > contactTime {
			b.sentAfter++
		}
	}
}

// crash ends a replica. The mutex must be held.
func (s *schedule) crash(replica *scheduledReplica, bad []string) {
	if !replica.alive {
		return
	}
	replica.alive = false
	now := time.Now()
	for _, name := range bad {
		s.bad[name].crashes = append(s.bad[name].crashes, now)
	}
	s.record("%s dies, crashed by %v, with %d requests in flight", replica.id, bad, len(replica.inFlight))
	inFlight := slices.SortedFunc(maps.Keys(replica.inFlight), func(a, b *scheduledRequest) int { return a.number - b.number })
	for _, r := range inFlight {
		report := poison.Report{Death: replica.id + "@1", Org: r.org, At: now}
		for _, trait := range r.traits {
			switch {
			case trait.Kind == poison.KindRequest:
				report.Accused = append(report.Accused, poison.Accused{Trait: trait, Sent: r.sent})
			case r.begunAt.IsZero() || now.Sub(r.begunAt) < accusedFor:
				report.Accused = append(report.Accused, poison.Accused{Trait: trait, Sent: r.first})
			}
		}
		if d := s.daemons[r.daemon]; d.Tracker == r.tracker && d.alive {
			tracker := r.tracker
			time.AfterFunc(downCheck+time.Duration(r.number%1000)*time.Microsecond, func() { tracker.RecordCrash(report) })
		}
	}
	restart := between(replica.random, time.Second, 5*time.Second)
	if s.atOnce {
		restart = time.Millisecond
	}
	time.AfterFunc(restart, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.startReplica(replica.domain)
		s.replicas = slices.DeleteFunc(s.replicas, func(r *scheduledReplica) bool { return r == replica })
	})
}

// mayInjectFault injects a fault in one of stepsPerFault steps.
func (s *schedule) mayInjectFault() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.random.IntN(stepsPerFault) != 0 {
		return
	}
	i := s.random.IntN(len(s.daemons))
	lasts := between(s.random, 0, maxFault)
	switch s.random.IntN(10) {
	case 0, 1:
		s.kill(i)
	case 2:
		for n := range s.daemons {
			s.kill(n)
		}
	case 3:
		s.during(lasts, i, func(d *scheduledDaemon, on bool) { d.cut = on })
	case 4:
		s.during(lasts, i, func(d *scheduledDaemon, on bool) { d.isolated, d.cut = on, on })
	case 5:
		s.during(lasts, i, func(_ *scheduledDaemon, on bool) { s.away, s.storeAt = on, time.Now() })
	case 6, 7:
		s.crash(s.replicas[s.random.IntN(len(s.replicas))], nil)
	case 8:
		domain := s.random.IntN(scheduleDomains)
		for _, r := range slices.Clone(s.replicas) {
			if r.domain == domain {
				s.crash(r, nil)
			}
		}
	case 9: // single replicas, one after the other
		for n := range 5 {
			drawn := s.random.Int()
			time.AfterFunc(time.Duration(n)*400*time.Millisecond+time.Microsecond, func() {
				s.mu.Lock()
				defer s.mu.Unlock()
				s.crash(s.replicas[drawn%len(s.replicas)], nil)
			})
		}
	}
}

// during changes a daemon and changes it back later. The mutex must be held.
func (s *schedule) during(lasts time.Duration, i int, change func(d *scheduledDaemon, on bool)) {
	d := s.daemons[i]
	change(d, true)
	s.record("trouble of daemon %d or of the service for %s: cut %t, isolated %t, service away %t", i, lasts, d.cut, d.isolated, s.away)
	d.disturbedAt = time.Now()
	time.AfterFunc(lasts, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		change(d, false)
		s.record("the trouble of daemon %d ends: cut %t, isolated %t, service away %t", i, d.cut, d.isolated, s.away)
		d.disturbedAt = time.Now()
		s.propagate()
	})
}

// kill ends a daemon with all that it knows, and starts it again. The mutex must be held.
func (s *schedule) kill(i int) {
	d := s.daemons[i]
	if !d.alive {
		return
	}
	d.alive = false
	d.stop()
	restart := between(d.network, 0, maxRestart)
	s.record("daemon %d is killed for %s", i, restart)
	time.AfterFunc(restart, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.start(i)
	})
}

func (s *schedule) judge(seed uint64) {
	for _, name := range slices.Sorted(maps.Keys(s.bad)) {
		b := s.bad[name]
		s.t.Logf("seed %d:%s %s: %d reached replicas, %d crashed, %d sent too late", seed, s.description, name, b.everyReach, len(b.crashes), b.sentAfter)
		if b.sentAfter > maxSentAfter {
			s.t.Errorf("seed %d: %d requests with %s were sent later than %s after the fifth crash", seed, b.sentAfter, name, contactTime)
		}
	}
	s.t.Logf("seed %d: %d of %d sound requests were refused %v", seed, s.refused, s.sound, s.refusedBy)
	defer func() {
		if s.t.Failed() {
			s.t.Log(strings.Join(s.events, "\n"))
		}
	}()
	if float64(s.refused) > maxRefusedShare*float64(s.sound) {
		s.t.Errorf("seed %d: %d of %d sound requests were refused", seed, s.refused, s.sound)
	}
	for part, refused := range s.refusedBy {
		if s.soundBy[part] >= 20 && refused > s.soundBy[part]/2 {
			s.t.Errorf("seed %d: %d of %d sound requests with the part %s were refused", seed, refused, s.soundBy[part], part)
		}
	}
}
