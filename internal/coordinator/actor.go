package coordinator

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/asynkron/protoactor-go/actor"

	"github.com/bluebellscale/bluebellscale/internal/engineapi"
	"github.com/bluebellscale/bluebellscale/internal/policy/admission"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

const (
	// tickInterval is how often waiting asks are checked against their deadlines.
	tickInterval = 50 * time.Millisecond
	// failuresUntilDown is how many polls in a row must fail before a target is down.
	failuresUntilDown = 2
	defaultCapacity   = 8
	// maxPrefill bounds the prompt tokens granted and not yet computed: two pieces, so
	// that the target never idles and the queue, which is fair, stays here.
	maxPrefill = 4000
	// grantTTL is how long a grant lives unless renewed.
	grantTTL = 15 * time.Second
)

// answerTo carries the outcome of an ask to the goroutine that waits for it.
type answerTo chan admission.Action

// Messages of a keeper's actor.
type (
	submitMsg struct {
		ask    admission.Ask
		answer answerTo
	}
	cancelMsg  struct{ id request.ID }
	releaseMsg struct {
		grant   string
		outcome admission.Outcome
	}
	renewMsg  struct{ ids []request.ID }
	loadMsg   struct{ load engineapi.Load }
	eventsMsg struct{ page engineapi.EventPage }
	snapMsg   struct{ snapshot engineapi.Snapshot }
	downMsg   struct{}
	upMsg     struct{}
	leaveMsg  struct{}
	resignMsg struct{}
	tickMsg   struct{}
	lookMsg   struct {
		probe  probe
		org    request.OrgID
		tokens int64
		answer chan view
	}
)

// keeper owns the admission state of one target.
type keeper struct {
	service *Service
	row     table.Target
	pid     *actor.PID
	quit    chan struct{}

	mu      sync.Mutex
	cancel  context.CancelFunc // of the poller; nil while it does not run
	stopped bool

	incarnation atomic.Uint64 // of the target, as reported last

	// Owned by the actor.
	core      *admission.Steward
	residency *residency
	load      engineapi.Load
	waiting   map[request.ID][]answerTo
}

func newKeeper(s *Service, row table.Target) *keeper {
	capacity := row.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	k := &keeper{
		service:   s,
		row:       row,
		quit:      make(chan struct{}),
		residency: newResidency(),
		waiting:   map[request.ID][]answerTo{},
		core: admission.New(admission.Params{
			Target:     row.ID,
			Instance:   s.grantPrefix(row.ID),
			MaxRunning: capacity,
			MaxQueue:   s.opts.QueueLimit,

			MaxPrefillTokens: maxPrefill,
			GrantTTL:         grantTTL,
		}),
	}
	k.pid = s.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return k }))
	s.tasks.Go(k.ticker)
	return k
}

// grantPrefix begins the ids of one keeper's grants.
//
// The failure: keepers count their grants each from one, so two targets of one daemon
// gave out the same ids. A peer that held one of each kept a single note of who gave
// them, could not give the second back, and its place stayed taken until it lapsed.
// A prefix that names the target and the keeper's turn is never given twice by a
// daemon, and Instance tells daemons and their starts apart.
func (s *Service) grantPrefix(id request.TargetID) string {
	return fmt.Sprintf("%s.%s.%d", s.opts.Instance, id, s.keeperTurn.Add(1))
}

// ticker drives deadlines until the keeper stops.
func (k *keeper) ticker() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-k.quit:
			return
		case <-tick.C:
			k.send(&tickMsg{})
		}
	}
}

func (k *keeper) send(message any) { k.service.system.Root.Send(k.pid, message) }

func (k *keeper) stop() {
	k.stopPolling()
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.stopped {
		return
	}
	k.stopped = true
	close(k.quit)
	_ = k.service.system.Root.PoisonFuture(k.pid).Wait()
}

// Receive implements actor.Actor.
func (k *keeper) Receive(c actor.Context) {
	now := time.Now()
	switch m := c.Message().(type) {
	case *submitMsg:
		k.submit(now, m)
	case *cancelMsg:
		delete(k.waiting, m.id)
		k.apply(k.core.Cancel(now, m.id))
	case *releaseMsg:
		k.apply(k.core.Release(now, m.grant, m.outcome))
	case *renewMsg:
		for _, id := range m.ids {
			k.core.Renew(now, id)
		}
	case *loadMsg:
		k.load = m.load
		k.incarnation.Store(m.load.Incarnation)
		k.apply(k.core.OnLoad(now, m.load))
	case *eventsMsg:
		k.residency.onEvents(m.page)
	case *snapMsg:
		k.residency.onSnapshot(m.snapshot)
	case *downMsg:
		k.residency.clear()
		k.apply(k.core.OnTargetDown(now))
	case *upMsg:
		k.apply(k.core.OnTargetUp(now))
	case *leaveMsg:
		k.apply(k.core.OnTargetLeaving(now))
	case *resignMsg:
		k.apply(k.core.Resign(now))
	case *tickMsg:
		k.apply(k.core.Tick(now))
	case *lookMsg:
		m.answer <- k.view(now, m)
	case *actor.Stopped:
		k.refuseAll()
	}
}

func (k *keeper) submit(now time.Time, m *submitMsg) {
	k.waiting[m.ask.ID] = append(k.waiting[m.ask.ID], m.answer)
	k.apply(k.core.Submit(now, m.ask))
}

// apply hands decisions to those who wait for them.
func (k *keeper) apply(actions []admission.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case admission.Grant:
			k.answer(a.Ask.ID, a)
		case admission.Refuse:
			k.answer(a.Ask.ID, a)
		case admission.Died:
			k.witness(a)
		}
	}
}

// witness reports the requests that a dead target had in flight. Their senders report
// it too, unless they died with it.
func (k *keeper) witness(d admission.Died) {
	var fingerprints []quarantine.Fingerprint
	for _, ask := range d.InFlight {
		if ask.Fingerprint != "" {
			fingerprints = append(fingerprints, quarantine.Fingerprint(ask.Fingerprint))
		}
	}
	if k.service.opts.OnTargetDied != nil && len(fingerprints) > 0 {
		k.service.tasks.Go(func() { k.service.opts.OnTargetDied(k.row.ID, d.Incarnation, fingerprints) })
	}
}

func (k *keeper) answer(id request.ID, a admission.Action) {
	for _, to := range k.waiting[id] {
		to <- a
	}
	delete(k.waiting, id)
}

func (k *keeper) refuseAll() {
	for id := range k.waiting {
		k.answer(id, admission.Refuse{Err: errMoved()})
	}
}

// errMoved answers those who waited here when this daemon stopped being steward.
func errMoved() *request.Error {
	return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, tickInterval, "the target's queue has moved")
}

// view is what an organisation's prompt would meet here. The wait is its own: a loud
// organisation's queue is not in the way of one within its share.
func (k *keeper) view(now time.Time, m *lookMsg) view {
	v := k.core.View(now)
	ask := admission.Ask{Org: m.org, Weight: k.service.weightOf(m.org), Tokens: m.tokens}
	return view{
		target:   k.row.ID,
		wait:     k.core.ExpectedWait(now, ask),
		running:  v.Running,
		granted:  v.Granted,
		waiting:  v.Waiting,
		resident: k.residency.leading(m.probe),
		unsure:   k.residency.unsure,
		down:     v.Down,
		leaving:  v.Leaving || k.vmLeaving(),
		version:  k.load.Version,
		age:      v.ReportAge,
		prefill:  v.QueuedPrefillTokens,
	}
}

func (k *keeper) vmLeaving() bool { return k.service.VMLeaving(&k.row) }
