// Package admission decides who may send a request to one target, and when.
//
// Several daemons place work on one target, and the target reports its load with a
// lag. One daemon, chosen by rendezvous hash, is therefore the target's steward: it
// holds a weighted fair queue between organisations and hands out grants up to the
// target's capacity, adding what it granted since the last report to that report.
//
// The steward is a soft place. While two daemons both believe to hold it, the
// target may get up to twice its capacity; its own queue absorbs that, and the next
// load reports show each of them the other's work. Nothing rests on there being one.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness. A Steward is
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

// reserveShare is the part of the places that is kept back: one in so many.
const reserveShare = 8

// Params describes one target and the bounds of its queue. Zero values take the
// defaults above.
type Params struct {
	Target request.TargetID
	// Instance makes grant ids of this steward differ from those of any other, for
	// example the daemon's id and incarnation.
	Instance string
	// MaxRunning is the number of requests at once; below 1 counts as 1.
	MaxRunning int
	// Reserve is how many of them are kept for organisations within their share, so
	// that one that comes back finds a place. Zero: an eighth; negative: none.
	Reserve int
	// MaxPrefillTokens bounds the prompt tokens that wait for prefill at the target.
	// Zero: no bound. A larger prompt goes when nothing waits. Organisations within
	// their share have this bound for themselves, since theirs are computed first.
	MaxPrefillTokens int64
	// PrefillRate is the target's prefill speed in tokens a second.
	PrefillRate float64
	// ServiceRate is the tokens a second taken from the queue, as long as nothing
	// has been measured. Zero: PrefillRate.
	ServiceRate float64
	// GrantTTL is how long a grant lives unless renewed. It frees the places of a
	// daemon that died.
	GrantTTL time.Duration
	// LoadTTL is the age at which a load report no longer counts.
	LoadTTL time.Duration

	MaxQueue       int
	MaxQueuePerOrg int

	MaxSuspects       int           // suspects waiting at once
	SuspectDrainDelay time.Duration // wait after which the target is emptied for a suspect
	SuspectMaxWait    time.Duration // wait after which a suspect is refused

	MinRetryAfter time.Duration
	MaxRetryAfter time.Duration
}

// Request asks for leave to send one request to the target.
type Request struct {
	ID     request.ID
	From   request.DaemonID
	Org    request.OrgID
	Weight int
	Tokens int64 // prompt tokens to compute; below 1 counts as 1
	// Deadline is when the first token must come. Zero: none.
	Deadline time.Time
	// Suspect asks for the target with nothing else in flight: a target died with
	// this request in flight.
	Suspect bool
	// Fingerprint is handed back when the target dies; see Died.
	Fingerprint string
}

// Action is a decision for the caller to carry out: Grant, Refuse or Died.
type Action interface{ isAction() }

// Grant allows one request to be sent to the target.
type Grant struct {
	Request   Request
	ID        string
	Expires   time.Time // renewed by submitting the same request again
	Exclusive bool      // nothing else is in flight there
	// Priority is for the engine; lower runs first. It is PriorityOverShare for an
	// organisation that uses more than its share of the target, so that the piece of
	// prefill that comes next is one of the others.
	Priority int
}

// The priorities of grants.
const (
	PriorityWithinShare = 0
	PriorityOverShare   = 1
)

// Refusal is the final answer to an ask. Err says that the request did not run and
// when to come back.
type Refusal struct {
	Request Request
	Err     *request.Error
}

// TargetFailure lists what was in flight at the target when it died. Each is a suspect. The
// daemons that sent them see their streams end as well, but one of them may have
// died too.
type TargetFailure struct {
	Incarnation uint64 // of the target that died; zero: unknown
	InFlight    []Request
}

func (Grant) isAction()         {}
func (Refusal) isAction()       {}
func (TargetFailure) isAction() {}

// Outcome says how a granted request ended.
type Outcome struct {
	PrefillTokens int64 // tokens that were recomputed
}

// status says whether the target takes work.
type status string

const (
	statusUp      status = "up"
	statusDown    status = "down"
	statusLeaving status = "leaving"
)

// Coordinator admits work to one target.
type Coordinator struct {
	params Params
	status status
	downAt time.Time

	queue    *fairqueue.Queue
	waiting  map[request.ID]Request // asks in queue
	suspects []waitingSuspect
	alone    bool      // a suspect runs
	aloneEnd time.Time // when the last suspect ended

	grants map[request.ID]*grant
	order  []*grant // live grants, oldest first
	ended  []*grant // grants that ended within LoadTTL, to read late reports by
	seq    uint64

	report report
	meter  meter
	usage  usage
	count  counts
}

// New returns the steward of one target, which is taken to be up.
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
		p.Reserve = p.MaxRunning / reserveShare
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
