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
	organisation      = request.OrgID("atlas")
	daemons           = 3
	partitions        = 2
	keys              = 60
	events            = 1000
	healRounds        = 60
	maxNesting        = 2
	recentEventsLimit = 60
)

// clock is the virtual clock of a schedule.
type clock struct{ now time.Time }

// Now returns the virtual time.
func (c *clock) Now() time.Time { return c.now }

// daemonClock is the clock of one process. It falls behind while its VM is suspended; the
// process then treats expired leases as valid.
type daemonClock struct {
	world  *clock
	behind time.Duration
}

// Now returns the time of the process.
func (c *daemonClock) Now() time.Time { return c.world.now.Add(-c.behind) }

// daemon is one daemon process. A kill replaces the process under the same id.
type daemon struct {
	id      request.DaemonID
	journal journalAPI
	clock   *daemonClock
	frozen  bool // stopped until the schedule resumes it
	inCall  bool // paused inside a call to the key-value service
}

// attemptState is the state of an attempt.
type attemptState int

const (
	attemptStarting  attemptState = iota // waiting for its ticket
	attemptHasTicket                     // has the ticket and is not yet dispatched
	attemptRan                           // ran on the target; its answer is in transit
	attemptEnded
)

// attempt is one request of a caller for its key, handled by one daemon process.
type attempt struct {
	key     *key
	daemon  *daemon
	journal journalAPI // of the process that took the key; stale after a kill
	state   attemptState
	start   pendingStart
	ticket  any
	result  journal.Result
}

// key is an idempotency key: its caller wants the call to run at most once.
type key struct {
	name     string
	runs     int              // on the target
	results  []journal.Result // one per run
	durable  *journal.Result  // the result whose Finish was confirmed
	final    bool             // the caller has its final answer
	inDoubt  bool             // the latest answer was "in doubt"
	violated bool
}

// attemptSave is a Finish that is not yet known to be durable.
type attemptSave struct {
	attempt *attempt
	pending pendingSave
}

// world is the state of one schedule.
type world struct {
	rng          *rand.Rand
	clock        *clock
	fake         *kv.Fake
	newJournal   journalFactory
	daemons      []*daemon
	keys         []*key
	attempts     []*attempt
	saves        []attemptSave
	nesting      int
	faultsOff    bool // no more faults are injected
	hash         *xxhash.Digest
	recentEvents []string
	outcome      Outcome
}

// JournalScenario runs the journals and leases of several daemons over one key-value service.
// Daemons are killed, frozen at any point (including inside a call), partitioned from the
// service and shut down gracefully. Writes fail, are delayed, or lose their responses, and
// the service becomes unavailable. Then all faults end, and every caller must receive its
// final answer.
type JournalScenario struct {
	newJournal journalFactory // nil selects the real journal
}

// Run implements Scenario.
func (s JournalScenario) Run(seed uint64) Outcome {
	w := newWorld(seed, s.newJournal)
	for range events {
		w.randomEvent()
	}
	w.heal()
	w.outcome.TraceHash = w.hash.Sum64()
	return w.outcome
}

func newWorld(seed uint64, build journalFactory) *world {
	if build == nil {
		build = newRealJournal
	}
	w := &world{
		rng:        rand.New(rand.NewPCG(seed, 1)),
		clock:      &clock{now: time.Unix(1_700_000_000, 0)},
		newJournal: build,
		hash:       xxhash.New(),
	}
	w.fake = kv.NewFake(w.clock.Now)
	w.fake.SetHook(w.onCall)
	w.fake.SetAfterCall(func(client string) { w.pauseInCall(client) })
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

// logEvent adds an event to the trace hash and, until the first violation, to the recent
// events.
func (w *world) logEvent(format string, args ...any) {
	line := fmt.Sprintf("%8s ", w.clock.now.Sub(time.Unix(1_700_000_000, 0)).Round(time.Millisecond)) + fmt.Sprintf(format, args...)
	_, _ = w.hash.WriteString(line)
	if w.outcome.FailureLog == nil {
		w.recentEvents = append(w.recentEvents, line)
		w.recentEvents = w.recentEvents[max(0, len(w.recentEvents)-recentEventsLimit):]
	}
}

func (w *world) recordViolation(count *int, k *key, format string, args ...any) {
	if k.violated {
		return
	}
	k.violated = true
	*count++
	w.logEvent(k.name+": "+format, args...)
	if w.outcome.FailureLog == nil {
		w.outcome.FailureLog = append([]string{}, w.recentEvents...)
	}
}

// chance returns true with probability 1/n.
func (w *world) chance(n int) bool { return w.rng.IntN(n) == 0 }

// onCall chooses the fault of a call to the key-value service.
func (w *world) onCall(client string, write bool, key string) kv.Fault {
	w.pauseInCall(client)
	if w.faultsOff || !w.chance(40) {
		return kv.FaultNone
	}
	w.outcome.Faults++
	fault := kv.FaultUnavailable
	if write {
		fault = []kv.Fault{kv.FaultUnavailable, kv.FaultDroppedResponse, kv.FaultDelayed}[w.rng.IntN(3)]
	}
	w.logEvent("%s: fault %d on %s", client, fault, key)
	return fault
}

// randomEvent performs one random action of a daemon, a caller or the environment.
func (w *world) randomEvent() {
	d := w.daemons[w.rng.IntN(len(w.daemons))]
	switch n := w.rng.IntN(1000); {
	case n < 100:
		w.advanceClock(time.Duration(w.rng.IntN(int(time.Second))))
	case n < 105:
		w.advanceClock(time.Duration(w.rng.IntN(int(15 * time.Second))))
	case n < 200:
		w.runOn(d, func(ctx context.Context) { d.journal.Heartbeat(ctx) })
	case n < 260:
		w.runOn(d, func(ctx context.Context) { d.journal.Scan(ctx) })
	case n < 460:
		w.runOn(d, func(ctx context.Context) { d.journal.Step(ctx) })
	case n < 600:
		w.sendToHolder(w.keys[w.rng.IntN(len(w.keys))])
	case n < 920:
		w.advanceRandomAttempt()
	case n < 940:
		w.pollSaves()
	case n < 965:
		w.injectFault(d, w.rng.IntN(20))
	default:
		w.clearFault(d, w.rng.IntN(4))
	}
}

// sendToHolder sends a key to one daemon after another until a daemon starts an attempt or the
// caller has its final answer.
func (w *world) sendToHolder(k *key) {
	first := w.rng.IntN(len(w.daemons))
	for i := range w.daemons {
		before := len(w.attempts)
		w.send(w.daemons[(first+i)%len(w.daemons)], k)
		if k.final || len(w.attempts) > before {
			return
		}
	}
}

// advanceClock advances the virtual time and expires leases.
func (w *world) advanceClock(d time.Duration) {
	w.clock.now = w.clock.now.Add(d)
	w.fake.Expire()
}

// runOn runs work on a daemon unless the daemon is frozen or inside a call.
func (w *world) runOn(d *daemon, work func(ctx context.Context)) {
	if !d.frozen && !d.inCall {
		work(context.Background())
	}
}
