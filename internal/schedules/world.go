package schedules

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

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
	w.outcome.TraceHash = w.hash.Sum64()
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
	if w.outcome.FailureLog == nil {
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
	if w.outcome.FailureLog == nil {
		w.outcome.FailureLog = append([]string{}, w.story...)
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
