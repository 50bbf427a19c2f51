package schedules

import (
	"bytes"
	"context"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/standin/kv"
)

const (
	organisation = request.OrgID("atlas")
	daemons      = 3
	partitions   = 2
	keys         = 60
	events       = 1000
	healRounds   = 60
	maxNesting   = 2
	storyLength  = 60
)

// clock is the virtual time.
type clock struct{ now time.Time }

// Now returns the virtual time.
func (c *clock) Now() time.Time { return c.now }

// daemonClock is the virtual time as one process sees it. It falls behind while its
// VM is suspended; then the process believes its leases to be valid when they are not.
type daemonClock struct {
	world  *clock
	behind time.Duration
}

// Now returns the process's time.
func (c *daemonClock) Now() time.Time { return c.world.now.Add(-c.behind) }

// daemon is one process; a kill replaces it under the same id.
type daemon struct {
	id     request.DaemonID
	once   once
	clock  *daemonClock
	frozen bool // stopped by the schedule until woken
	inCall bool // paused inside a call of the service
}

// tryState is where one try of a caller stands.
type tryState int

const (
	tryStarting tryState = iota // waits for its ticket
	tryHolding                  // has the ticket, not yet dispatched
	tryRan                      // the target ran it; the answer is on its way
	tryEnded
)

// try is one sending of a key, on one daemon process.
type try struct {
	key    *key
	daemon *daemon
	once   once // the process; stale after a kill
	state  tryState
	start  starting
	ticket any
	result journal.Result
}

// key is what one caller wants done once.
type key struct {
	name     string
	ran      int              // by the target
	results  []journal.Result // of each run
	durable  *journal.Result  // a Finish that was confirmed
	final    bool             // the caller has its final answer
	inDoubt  bool             // that answer was "in doubt"
	violated bool
}

// save is a confirmed or waiting Finish.
type save struct {
	try    *try
	saving saving
}

// world is one schedule.
type world struct {
	rng     *rand.Rand
	clock   *clock
	fake    *kv.Fake
	build   newOnce
	daemons []*daemon
	keys    []*key
	tries   []*try
	saves   []save
	nesting int
	calm    bool // no more faults
	hash    *xxhash.Digest
	story   []string
	outcome Outcome
}

// JournalScenario runs journals and leases of several daemons over one service.
// Daemons are killed, frozen at any point, also inside a call, cut off and stopped as
// planned; writes are lost, delayed, or lose their answers; the service goes down.
// Then all faults end, and every caller must get its final answer.
type JournalScenario struct {
	build newOnce // nil: the real journal
}

// Run implements Scenario.
func (s JournalScenario) Run(seed uint64) Outcome {
	w := newWorld(seed, s.build)
	for range events {
		w.event()
	}
	w.heal()
	w.outcome.Trace = w.hash.Sum64()
	return w.outcome
}

func newWorld(seed uint64, build newOnce) *world {
	if build == nil {
		build = newRealOnce
	}
	w := &world{
		rng:   rand.New(rand.NewPCG(seed, 1)),
		clock: &clock{now: time.Unix(1_700_000_000, 0)},
		build: build,
		hash:  xxhash.New(),
	}
	w.fake = kv.NewFake(w.clock.Now)
	w.fake.SetHook(w.onCall)
	w.fake.SetAfter(func(client string) { w.pauseInCall(client) })
	for i := range daemons {
		d := &daemon{id: request.DaemonID(fmt.Sprintf("d%d", i))}
		w.restart(d)
		w.daemons = append(w.daemons, d)
	}
	for i := range keys {
		w.keys = append(w.keys, &key{name: fmt.Sprintf("k%d", i)})
	}
	return w
}

// note adds an event to the trace and to the story.
func (w *world) note(format string, args ...any) {
	line := fmt.Sprintf("%8s ", w.clock.now.Sub(time.Unix(1_700_000_000, 0)).Round(time.Millisecond)) + fmt.Sprintf(format, args...)
	_, _ = w.hash.WriteString(line)
	if w.outcome.Story == nil {
		w.story = append(w.story, line)
		w.story = w.story[max(0, len(w.story)-storyLength):]
	}
}

func (w *world) violation(count *int, k *key, format string, args ...any) {
	if k.violated {
		return
	}
	k.violated = true
	*count++
	w.note(k.name+": "+format, args...)
	if w.outcome.Story == nil {
		w.outcome.Story = append([]string{}, w.story...)
	}
}

// chance is true in one of n cases.
func (w *world) chance(n int) bool { return w.rng.IntN(n) == 0 }

// onCall chooses the fault of a call of the service.
func (w *world) onCall(client string, write bool, key string) kv.Fault {
	w.pauseInCall(client)
	if w.calm || !w.chance(40) {
		return kv.FaultNone
	}
	w.outcome.Faults++
	fault := kv.FaultUnavailable
	if write {
		fault = []kv.Fault{kv.FaultUnavailable, kv.FaultLostAnswer, kv.FaultDelayed}[w.rng.IntN(3)]
	}
	w.note("%s: fault %d on %s", client, fault, key)
	return fault
}

// pauseInCall stops a daemon inside a call of the service, while time passes and the
// others go on.
func (w *world) pauseInCall(client string) {
	if w.calm || w.nesting >= maxNesting || !w.chance(60) {
		return
	}
	var d *daemon
	for _, other := range w.daemons {
		if string(other.id) == client {
			d = other
		}
	}
	if d.inCall {
		return
	}
	w.outcome.Faults++
	d.inCall = true
	w.nesting++
	w.note("%s: paused in a call", d.id)
	start := w.clock.now
	if w.chance(2) {
		w.takeOver()
	}
	for range w.rng.IntN(25) {
		w.event()
	}
	if w.chance(4) {
		d.clock.behind += w.clock.now.Sub(start)
	}
	w.note("%s: goes on, clock behind by %v", d.id, d.clock.behind)
	w.nesting--
	d.inCall = false
}

// takeOver lets the leases of a paused daemon lapse and the others do their rounds.
func (w *world) takeOver() {
	w.pass(time.Duration(8+w.rng.IntN(20)) * time.Second)
	for range 2 + w.rng.IntN(3) {
		for _, d := range w.daemons {
			w.on(d, func(ctx context.Context) {
				d.once.Beat(ctx)
				d.once.Scan(ctx)
				d.once.Step(ctx)
				d.once.Step(ctx)
			})
			w.send(d, w.keys[w.rng.IntN(len(w.keys))])
		}
		w.advanceTry()
	}
}

// event does one random thing.
func (w *world) event() {
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	switch n := w.rng.IntN(1000); {
	case n < 100:
		w.pass(time.Duration(w.rng.IntN(int(time.Second))))
	case n < 105:
		w.pass(time.Duration(w.rng.IntN(int(15 * time.Second))))
	case n < 200:
		w.on(d, func(ctx context.Context) { d.once.Beat(ctx) })
	case n < 260:
		w.on(d, func(ctx context.Context) { d.once.Scan(ctx) })
	case n < 460:
		w.on(d, func(ctx context.Context) { d.once.Step(ctx) })
	case n < 600:
		w.sendAround(w.keys[w.rng.IntN(len(w.keys))])
	case n < 920:
		w.advanceTry()
	case n < 940:
		w.pollSaves()
	case n < 965:
		w.fault(d, w.rng.IntN(20))
	default:
		w.mend(d, w.rng.IntN(4))
	}
}

// sendAround lets a caller try one daemon after the other while none holds its key.
func (w *world) sendAround(k *key) {
	first := w.rng.IntN(len(w.daemons))
	for i := range w.daemons {
		tries := len(w.tries)
		w.send(w.daemons[(first+i)%len(w.daemons)], k)
		if k.final || len(w.tries) > tries {
			return
		}
	}
}

// pass lets time go by.
func (w *world) pass(d time.Duration) {
	w.clock.now = w.clock.now.Add(d)
	w.fake.Expire()
}

// on runs work of a daemon that is neither frozen nor inside a call.
func (w *world) on(d *daemon, work func(ctx context.Context)) {
	if !d.frozen && !d.inCall {
		work(context.Background())
	}
}

// fault does one of the faults of a whole process or of the service; n is below 20.
func (w *world) fault(d *daemon, n int) {
	w.outcome.Faults++
	switch {
	case n < 5:
		w.kill(d)
	case n < 10:
		w.note("%s: frozen", d.id)
		d.frozen = true
	case n < 13:
		w.note("service down")
		w.fake.SetDown(true)
	case n < 14:
		d.clock.behind += time.Duration(w.rng.IntN(int(20 * time.Second)))
		w.note("%s: clock behind by %v", d.id, d.clock.behind)
	case n < 17:
		w.note("%s: cut off", d.id)
		w.fake.Cut(string(d.id), true)
	default:
		w.planned(d)
	}
}

// mend ends one of the faults that last; n is below 4.
func (w *world) mend(d *daemon, n int) {
	switch n {
	case 0:
		w.note("%s: woken", d.id)
		d.frozen = false
	case 1:
		w.note("service up")
		w.fake.SetDown(false)
	case 2:
		w.note("%s: joined", d.id)
		w.fake.Cut(string(d.id), false)
	default:
		w.fake.Deliver(w.rng.IntN(3))
	}
}

// kill ends a process at once. Its tries end with it: a target that runs one of them
// still does so, and nobody hears the answer.
func (w *world) kill(d *daemon) {
	if d.inCall {
		return
	}
	w.note("%s: killed", d.id)
	for _, t := range w.tries {
		if t.once == d.once {
			w.die(t)
		}
	}
	w.restart(d)
}

func (w *world) restart(d *daemon) {
	d.frozen = false
	d.clock = &daemonClock{world: w.clock}
	d.once = w.build(w.fake.Client(string(d.id)), d.clock, d.id)
}

// die ends a try with its process, perhaps after the dispatch left it.
func (w *world) die(t *try) {
	if t.state == tryHolding && w.chance(2) {
		w.run(t)
	}
	t.state = tryEnded
}

// planned stops a process as its operators do; its tries end first.
func (w *world) planned(d *daemon) {
	if d.inCall || d.frozen {
		return
	}
	w.note("%s: planned stop", d.id)
	for _, t := range w.tries {
		if t.once == d.once {
			w.endBeforeStop(t)
		}
	}
	ctx, cancel := context.WithCancel(context.Background())
	d.once.Step(ctx)
	d.once.Step(ctx)
	cancel()
	d.once.Shutdown(ctx)
	w.kill(d)
}

func (w *world) endBeforeStop(t *try) {
	if t.state == tryHolding {
		w.run(t)
	}
	if t.state == tryRan {
		w.conclude(t)
	}
}

// send lets a caller send its key to a daemon.
func (w *world) send(d *daemon, k *key) {
	if d.frozen || d.inCall || k.final {
		return
	}
	w.outcome.Calls++
	start, result, err := d.once.Start(k.name)
	if !errors.Is(err, journal.ErrNotHolder) {
		w.note("%s: start %s: %v %v", d.id, k.name, result != nil, err)
	}
	if start != nil {
		w.tries = append(w.tries, &try{key: k, daemon: d, once: d.once, start: start})
		return
	}
	w.answer(k, result, err)
}

// answer checks what a caller is told of its key.
func (w *world) answer(k *key, result *journal.Result, err error) {
	switch {
	case result != nil:
		w.checkResult(k, *result)
	case errors.Is(err, journal.ErrInDoubt):
		if k.durable != nil {
			w.violation(&w.outcome.Reverted, k, "in doubt after its result was durable")
		}
		k.inDoubt = true
		k.final = w.calm
	case errors.Is(err, journal.ErrKeyReused), errors.Is(err, journal.ErrResultNotKept):
		w.violation(&w.outcome.Lost, k, "told %v", err)
	}
}

func (w *world) checkResult(k *key, got journal.Result) {
	k.final, k.inDoubt = true, false
	if len(k.results) == 0 || !bytes.Equal(got.Body, k.results[0].Body) {
		w.violation(&w.outcome.Lost, k, "got an answer that is not its own")
	}
}

// advanceTry moves one open try on.
func (w *world) advanceTry() {
	w.forgetEnded()
	if len(w.tries) == 0 {
		return
	}
	t := w.tries[w.rng.IntN(len(w.tries))]
	if t.daemon.frozen || t.daemon.inCall {
		return
	}
	w.advance(t)
}

func (w *world) forgetEnded() {
	open := w.tries[:0]
	for _, t := range w.tries {
		if t.state != tryEnded {
			open = append(open, t)
		}
	}
	w.tries = open
}

func (w *world) advance(t *try) {
	switch t.state {
	case tryStarting:
		w.pollStart(t)
	case tryHolding:
		w.dispatch(t)
	case tryRan:
		w.conclude(t)
	}
}

func (w *world) pollStart(t *try) {
	ticket, ok, err := t.start.Poll()
	switch {
	case !ok && !w.calm && w.chance(10):
		w.note("%s: %s gives up waiting", t.daemon.id, t.key.name)
		t.start.Cancel()
		t.state = tryEnded
	case !ok:
	case err != nil:
		w.answer(t.key, nil, err)
		t.state = tryEnded
	default:
		w.note("%s: ticket for %s", t.daemon.id, t.key.name)
		t.ticket, t.state = ticket, tryHolding
	}
}

// dispatch sends the call to the target, or finds that it can't.
func (w *world) dispatch(t *try) {
	if !w.calm && w.chance(8) {
		w.note("%s: abort %s", t.daemon.id, t.key.name)
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		t.once.Abort(ctx, t.ticket)
		t.state = tryEnded
		return
	}
	w.run(t)
}

// run is the target's side: each run makes another result.
func (w *world) run(t *try) {
	k := t.key
	k.ran++
	w.note("%s: runs %s", t.daemon.id, k.name)
	if k.ran > 1 {
		w.violation(&w.outcome.Doubled, k, "ran %d times", k.ran)
	}
	body := make([]byte, journal.MaxBody/2+w.rng.IntN(journal.MaxBody/2))
	binary.BigEndian.PutUint64(body, w.rng.Uint64())
	t.result = journal.Result{Status: 201, Body: body}
	k.results = append(k.results, t.result)
	t.state = tryRan
}

// conclude brings the target's answer to the daemon, or not.
func (w *world) conclude(t *try) {
	t.state = tryEnded
	if !w.calm && w.chance(8) {
		w.note("%s: no answer for %s", t.daemon.id, t.key.name)
		t.once.Doubt(context.Background(), t.ticket)
		return
	}
	w.note("%s: finish %s", t.daemon.id, t.key.name)
	if s := t.once.Finish(t.ticket, t.result); s != nil {
		w.saves = append(w.saves, save{try: t, saving: s})
	}
	if w.chance(2) {
		w.checkResult(t.key, t.result)
		t.key.final = false // it sends its key again all the same
	}
}

// pollSaves notes which results are durable.
func (w *world) pollSaves() {
	open := w.saves[:0]
	for _, s := range w.saves {
		ok, err := s.saving.Poll()
		switch {
		case !ok:
			open = append(open, s)
		case err == nil:
			w.note("%s: durable", s.try.key.name)
			s.try.key.durable = &s.try.result
		}
	}
	w.saves = open
}

// heal ends all faults and lets every caller send its key until it has its answer.
func (w *world) heal() {
	w.calm = true
	w.note("all faults end")
	w.fake.SetDown(false)
	for _, d := range w.daemons {
		d.frozen = false
		w.fake.Cut(string(d.id), false)
	}
	for w.fake.Deliver(0) {
	}
	for i := 0; i < healRounds && !w.allFinal(); i++ {
		w.healRound()
	}
	for _, k := range w.keys {
		w.judge(k)
	}
}

func (w *world) allFinal() bool {
	for _, k := range w.keys {
		if !k.final {
			return false
		}
	}
	return true
}

func (w *world) healRound() {
	ctx := context.Background()
	for _, d := range w.daemons {
		d.once.Beat(ctx)
		d.once.Scan(ctx)
		d.once.Step(ctx)
		d.once.Step(ctx)
		for _, k := range w.keys {
			w.send(d, k)
		}
	}
	for _, t := range w.tries {
		w.advance(t)
	}
	w.pollSaves()
	w.pass(time.Second)
}

func (w *world) judge(k *key) {
	if !k.final {
		w.violation(&w.outcome.Lost, k, "no final answer")
	}
	if k.inDoubt {
		w.outcome.InDoubt++
	}
	if k.inDoubt && k.ran == 0 {
		w.outcome.Wasted++
	}
}
