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
	// tickInterval is how often waiting requests are checked against their deadlines.
	tickInterval = 50 * time.Millisecond
	// failuresUntilDown is how many consecutive polls must fail before a target counts as
	// down.
	failuresUntilDown = 2
	defaultCapacity   = 8
	// maxPrefill bounds the prompt tokens that are granted but not yet computed. It is two
	// prefill chunks: the target never idles, and further requests wait in the
	// coordinator's queue, which is fair, and not in the target's.
	maxPrefill = 4000
	// grantTTL is how long a grant stays valid unless it is renewed.
	grantTTL = 15 * time.Second
)

// replyChan carries the outcome of a request to the goroutine that waits for it.
type replyChan chan admission.Action

// Messages of a target's actor.
type (
	submitMsg struct {
		req   admission.Request
		reply replyChan
	}
	cancelMsg  struct{ id request.ID }
	releaseMsg struct {
		grant   string
		outcome admission.Outcome
	}
	renewMsg    struct{ ids []request.ID }
	loadMsg     struct{ load engineapi.Load }
	eventsMsg   struct{ page engineapi.EventPage }
	snapshotMsg struct{ snapshot engineapi.Snapshot }
	downMsg     struct{}
	upMsg       struct{}
	leavingMsg  struct{}
	resignMsg   struct{}
	tickMsg     struct{}
	viewMsg     struct {
		probe  probe
		org    request.OrgID
		tokens int64
		reply  chan view
	}
)

// targetActor owns the admission state and the queue of one target.
type targetActor struct {
	service *Service
	row     table.Target
	pid     *actor.PID
	quit    chan struct{}

	mu      sync.Mutex
	cancel  context.CancelFunc // stops the poller; nil while it does not run
	stopped bool

	incarnation atomic.Uint64 // incarnation of the target in its last load report

	// Owned by the actor.
	admission *admission.Coordinator
	residency *residency
	load      engineapi.Load
	waiting   map[request.ID][]replyChan
}

func newTargetActor(s *Service, row table.Target) *targetActor {
	capacity := row.Capacity
	if capacity <= 0 {
		capacity = defaultCapacity
	}
	a := &targetActor{
		service:   s,
		row:       row,
		quit:      make(chan struct{}),
		residency: newResidency(),
		waiting:   map[request.ID][]replyChan{},
		admission: admission.New(admission.Params{
			Target:      row.ID,
			GrantPrefix: s.grantPrefix(row.ID),
			MaxRunning:  capacity,
			MaxQueue:    s.opts.QueueLimit,

			MaxPrefillTokens: maxPrefill,
			GrantTTL:         grantTTL,
		}),
	}
	a.pid = s.system.Root.Spawn(actor.PropsFromProducer(func() actor.Actor { return a }))
	s.tasks.Go(a.runTicker)
	return a
}

// grantPrefix returns the prefix of the ids of one actor's grants.
//
// The prefix is necessary because each actor numbers its grants from one: without it, two
// targets of one daemon issue the same ids. A peer that holds such a pair has a single
// registry entry for both, cannot release the second one, and its slot stays occupied
// until the grant expires. The prefix holds the target and the actor's number, which a
// daemon never uses twice, and Instance, which differs between daemons and their starts.
func (s *Service) grantPrefix(id request.TargetID) string {
	return fmt.Sprintf("%s.%s.%d", s.opts.Instance, id, s.actorsStarted.Add(1))
}

// runTicker sends the actor a tick, which expires requests and grants, until it stops.
func (a *targetActor) runTicker() {
	tick := time.NewTicker(tickInterval)
	defer tick.Stop()
	for {
		select {
		case <-a.quit:
			return
		case <-tick.C:
			a.send(&tickMsg{})
		}
	}
}

func (a *targetActor) send(message any) { a.service.system.Root.Send(a.pid, message) }

func (a *targetActor) stop() {
	a.stopPolling()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.stopped {
		return
	}
	a.stopped = true
	close(a.quit)
	_ = a.service.system.Root.PoisonFuture(a.pid).Wait()
}

// Receive implements actor.Actor.
func (a *targetActor) Receive(c actor.Context) {
	now := time.Now()
	switch m := c.Message().(type) {
	case *submitMsg:
		a.submit(now, m)
	case *cancelMsg:
		delete(a.waiting, m.id)
		a.apply(a.admission.Cancel(now, m.id))
	case *releaseMsg:
		a.apply(a.admission.Release(now, m.grant, m.outcome))
	case *renewMsg:
		for _, id := range m.ids {
			a.admission.Renew(now, id)
		}
	case *loadMsg:
		a.load = m.load
		a.incarnation.Store(m.load.Incarnation)
		a.apply(a.admission.OnLoad(now, m.load))
	case *eventsMsg:
		a.residency.onEvents(m.page)
	case *snapshotMsg:
		a.residency.onSnapshot(m.snapshot)
	case *downMsg:
		a.residency.clear()
		a.apply(a.admission.OnTargetDown(now))
	case *upMsg:
		a.apply(a.admission.OnTargetUp(now))
	case *leavingMsg:
		a.apply(a.admission.OnTargetLeaving(now))
	case *resignMsg:
		a.apply(a.admission.Resign(now))
	case *tickMsg:
		a.apply(a.admission.Tick(now))
	case *viewMsg:
		m.reply <- a.view(now, m)
	case *actor.Stopped:
		a.refuseAll()
	}
}

func (a *targetActor) submit(now time.Time, m *submitMsg) {
	a.waiting[m.req.ID] = append(a.waiting[m.req.ID], m.reply)
	a.apply(a.admission.Submit(now, m.req))
}

// apply delivers admission decisions to the goroutines that wait for them.
func (a *targetActor) apply(actions []admission.Action) {
	for _, action := range actions {
		switch action := action.(type) {
		case admission.Grant:
			a.reply(action.Request.ID, action)
		case admission.Refusal:
			a.reply(action.Request.ID, action)
		case admission.TargetFailure:
			a.reportTargetFailure(action)
		}
	}
}

// reportTargetFailure reports the requests that a dead target had in flight. The daemons
// that sent them report the failure as well, unless they died too.
func (a *targetActor) reportTargetFailure(d admission.TargetFailure) {
	var fingerprints []quarantine.Fingerprint
	for _, req := range d.InFlight {
		if req.Fingerprint != "" {
			fingerprints = append(fingerprints, quarantine.Fingerprint(req.Fingerprint))
		}
	}
	if a.service.opts.OnTargetDied != nil && len(fingerprints) > 0 {
		a.service.tasks.Go(func() { a.service.opts.OnTargetDied(a.row.ID, d.Incarnation, fingerprints) })
	}
}

func (a *targetActor) reply(id request.ID, action admission.Action) {
	for _, to := range a.waiting[id] {
		to <- action
	}
	delete(a.waiting, id)
}

func (a *targetActor) refuseAll() {
	for id := range a.waiting {
		a.reply(id, admission.Refusal{Err: errQueueMoved()})
	}
}

// errQueueMoved returns the refusal of a request that waited here when this daemon
// stopped coordinating the target.
func errQueueMoved() *request.Error {
	return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, tickInterval, "the target's queue has moved")
}

// view returns the target's state as it applies to one organisation's prompt. The
// expected wait is specific to the organisation: the queue of an organisation above its
// share does not delay one that is within its share.
func (a *targetActor) view(now time.Time, m *viewMsg) view {
	v := a.admission.View(now)
	req := admission.Request{Org: m.org, Weight: a.service.weightOf(m.org), Tokens: m.tokens}
	return view{
		target:      a.row.ID,
		wait:        a.admission.ExpectedWait(now, req),
		running:     v.Running,
		granted:     v.Granted,
		waiting:     v.Waiting,
		resident:    a.residency.leading(m.probe),
		unconfirmed: a.residency.unconfirmed,
		down:        v.Down,
		leaving:     v.Leaving || a.vmLeaving(),
		version:     a.load.Version,
		age:         v.ReportAge,
		prefill:     v.QueuedPrefillTokens,
	}
}

func (a *targetActor) vmLeaving() bool { return a.service.VMLeaving(&a.row) }
