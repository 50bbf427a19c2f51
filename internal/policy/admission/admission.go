// Package admission controls which requests are sent to a target, and when.
//
// Several daemons place work on one target, and the target's load reports lag behind
// its load. One daemon, chosen by rendezvous hash, is therefore the target's
// coordinator. The coordinator keeps a weighted fair queue between organisations and
// issues grants up to the target's capacity. It adds the grants that it issued since
// the last load report to the load in that report.
//
// The coordinator is a hashed assignment and correctness does not depend on its being
// unique. While two daemons both act as coordinator, the target may receive up to twice
// its capacity. The target's own queue absorbs the excess, and the next load reports
// show each coordinator the other's work.
//
// The package is pure: it has no clock, I/O, goroutine or randomness. A Coordinator is
// not safe for concurrent use.
package admission

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/fairqueue"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Defaults of Params.
const (
	DefaultGrantTTL          = 5 * time.Second
	DefaultLoadTTL           = 5 * time.Second
	DefaultPrefillRate       = 8000 // tokens a second
	DefaultMaxQueue          = 256
	DefaultMaxQueuePerOrg    = 128
	DefaultMaxSuspects       = 8
	DefaultSuspectDrainDelay = 500 * time.Millisecond
	DefaultSuspectMaxWait    = 10 * time.Second
	DefaultMinRetryAfter     = 100 * time.Millisecond
	DefaultMaxRetryAfter     = 30 * time.Second
)

// reserveDivisor sets the default of Params.Reserve: MaxRunning divided by it.
const reserveDivisor = 8

// Params describes one target and the bounds of its queue. Zero values select the
// defaults above.
type Params struct {
	Target request.TargetID
	// GrantPrefix is the prefix of this coordinator's grant ids. It distinguishes them from
	// those of any other coordinator and holds, for example, the daemon's id and incarnation.
	GrantPrefix string
	// MaxRunning is the number of slots: the requests that the target runs
	// concurrently. Values below 1 count as 1.
	MaxRunning int
	// Reserve is the number of slots reserved for organisations within their share,
	// so that an organisation finds a free slot when it becomes active again. Zero
	// selects an eighth of MaxRunning; a negative value disables the reserve.
	Reserve int
	// MaxPrefillTokens bounds the prompt tokens that wait for prefill at the target.
	// Zero means no bound. A larger prompt is admitted when no prompt waits for prefill.
	// For organisations within their share the bound covers only the work of such
	// organisations, since the target computes their prompts first.
	MaxPrefillTokens int64
	// PrefillRate is the target's prefill speed in tokens a second.
	PrefillRate float64
	// ServiceRate is the initial estimate of the tokens a second served from the
	// queue, used until a rate has been measured. Zero selects PrefillRate.
	ServiceRate float64
	// GrantTTL is the time after which a grant expires unless renewed. Expiry frees
	// the slots of a daemon that died.
	GrantTTL time.Duration
	// LoadTTL is the age above which the coordinator ignores a load report.
	LoadTTL time.Duration

	MaxQueue       int
	MaxQueuePerOrg int

	MaxSuspects       int           // suspects in the queue
	SuspectDrainDelay time.Duration // wait after which the target is drained for a suspect
	SuspectMaxWait    time.Duration // wait after which a suspect is refused

	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// Request asks for a grant to send one request to the target.
type Request struct {
	ID     request.ID
	From   request.DaemonID
	Org    request.OrgID
	Weight int
	Tokens int64 // prompt tokens to compute; values below 1 count as 1
	// Deadline is the time by which the first token must arrive. Zero means none.
	Deadline time.Time
	// Suspect marks a request that was in flight when a target died. It runs only
	// while the target has nothing else in flight.
	Suspect bool
	// Fingerprint is returned in TargetFailure if the target dies.
	Fingerprint string
}

// Action is a decision for the caller to carry out: Grant, Refusal or TargetFailure.
type Action interface{ isAction() }

// Grant allows one request to be sent to the target.
type Grant struct {
	Request   Request
	ID        string
	Expires   time.Time // extended by submitting the same request again
	Exclusive bool      // nothing else is in flight at the target
	// Priority is passed to the engine, which runs lower values first. An organisation
	// that uses more than its share of the target gets PriorityOverShare, so that the
	// engine schedules the prefill chunks of other organisations before its own.
	Priority int
}

// The priorities of grants.
const (
	PriorityWithinShare = 0
	PriorityOverShare   = 1
)

// Refusal is the final answer to a request. Err states that the request did not run
// and when to retry.
type Refusal struct {
	Request Request
	Err     *request.Error
}

// TargetFailure lists the requests that were in flight at the target when it died. Each
// of them is a suspect. The daemons that sent them also see their streams end, but one
// of those daemons may have died too.
type TargetFailure struct {
	Incarnation uint64 // of the failed target; zero if unknown
	InFlight    []Request
}

func (Grant) isAction()         {}
func (Refusal) isAction()       {}
func (TargetFailure) isAction() {}

// Outcome describes how a granted request ended.
type Outcome struct {
	PrefillTokens int64 // prompt tokens that were recomputed
}

// status states whether the target accepts work.
type status string

const (
	statusUp      status = "up"
	statusDown    status = "down"
	statusLeaving status = "leaving"
)

// Coordinator admits requests to one target.
type Coordinator struct {
	params Params
	status status
	downAt time.Time

	queue        *fairqueue.Queue
	waiting      map[request.ID]Request // requests in queue
	suspects     []waitingSuspect
	exclusive    bool      // a suspect is running
	exclusiveEnd time.Time // when the last suspect ended

	grants      map[request.ID]*grant
	liveGrants  []*grant // live grants, oldest first
	endedGrants []*grant // grants that ended within LoadTTL, to interpret lagging reports
	seq         uint64

	report report
	meter  meter
	usage  usage
	counts counts
}

// New returns the coordinator of one target, which is assumed to be up.
func New(p Params) *Coordinator {
	p.setDefaults()
	return &Coordinator{
		params:  p,
		status:  statusUp,
		queue:   fairqueue.New(fairqueue.Params{MaxItems: p.MaxQueue, MaxPerOrg: p.MaxQueuePerOrg}),
		waiting: make(map[request.ID]Request),
		grants:  make(map[request.ID]*grant),
		meter:   newMeter(p.ServiceRate),
		usage:   newUsage(),
	}
}

func (p *Params) setDefaults() {
	p.MaxRunning = max(p.MaxRunning, 1)
	if p.Reserve == 0 {
		p.Reserve = p.MaxRunning / reserveDivisor
	}
	p.Reserve = min(max(p.Reserve, 0), p.MaxRunning-1)
	setDefault(&p.PrefillRate, DefaultPrefillRate)
	setDefault(&p.ServiceRate, p.PrefillRate)
	setDefault(&p.GrantTTL, DefaultGrantTTL)
	setDefault(&p.LoadTTL, DefaultLoadTTL)
	setDefault(&p.MaxQueue, DefaultMaxQueue)
	setDefault(&p.MaxQueuePerOrg, DefaultMaxQueuePerOrg)
	setDefault(&p.MaxSuspects, DefaultMaxSuspects)
	setDefault(&p.SuspectDrainDelay, DefaultSuspectDrainDelay)
	setDefault(&p.SuspectMaxWait, DefaultSuspectMaxWait)
	setDefault(&p.MinRetryAfter, DefaultMinRetryAfter)
	setDefault(&p.MaxRetryAfter, DefaultMaxRetryAfter)
}

func setDefault[T int | float64 | time.Duration](v *T, def T) {
	if *v <= 0 {
		*v = def
	}
}
