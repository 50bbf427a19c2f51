package gateway

import (
	"context"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/peer"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/table"
)

// kind tells completions from calls of plain services.
type kind int

const (
	kindCompletion kind = iota
	kindService
)

// Job is one request on its way through the filters. It belongs to one filter at a
// time and needs no lock.
type Job struct {
	ctx      context.Context
	decided  chan error
	arrived  time.Time
	deadline time.Time
	hopped   bool // a peer forwarded it; it is not forwarded again
	stay     bool // its home failed; it is served here
	bearer   string

	id request.ID // as the caller and peers know it
	// work names the job at targets, stewards and the quarantine of this daemon. It is
	// not id: a home that froze and this daemon, which serves in its stead, would else
	// send tries of one name to one target. The home, once awake, cancels its try there,
	// and the caller's answer is cut.
	work request.ID
	kind kind
	body []byte // as received, for forwarding

	completion completionBody
	call       serviceCall

	// Set by the filters.
	org         *table.Organisation
	model       request.Model
	context     Context
	fingerprint quarantine.Fingerprint
	inFlight    request.ID // the try that the quarantine knows of; empty: none
	suspect     bool
	limited     bool // admitted by the limiter
	forward     *peer.Member
	partition   int // of the journal, for a call that must run at most once
	choices     []Choice
	choice      Choice
	exclude     map[request.TargetID]bool
	grant       *Grant
	incarnation uint64 // of the target that was granted; 0: unknown
	priority    int    // for the engine
	ticket      *journal.Ticket
	sent        bool // the present try of a call may have reached its target
	replay      *journal.Result
	tries       int
	ran         request.RunOutcome // what is known of earlier tries; empty: none was made
	output      int64              // tokens relayed, for the limiter
	prefilled   int64              // tokens recomputed, for the steward
	failed      bool               // the target failed with this request
}

// serviceCall is a call of a plain service.
type serviceCall struct {
	service     string
	method      string
	path        string // path and query at the target
	contentType string
	key         string    // Idempotency-Key
	firstSent   time.Time // when the caller first sent the key; zero: not said
	repeatable  bool
}

// Context implements pipeline.Job.
func (j *Job) Context() context.Context { return j.ctx }

// OnChainEnd implements pipeline.Job.
func (j *Job) OnChainEnd(err error) { j.decided <- err }

// noteRan remembers how an earlier try ended. That one ran outweighs that one may have.
func (j *Job) noteRan(ran request.RunOutcome) {
	if j.ran == request.DidRun || j.ran == request.InDoubt && ran == request.NotRun {
		return
	}
	j.ran = ran
}

func newJob(r *http.Request, k kind, body []byte) *Job {
	return &Job{
		ctx:     r.Context(),
		decided: make(chan error, 1),
		arrived: time.Now(),
		hopped:  isHop(r),
		bearer:  bearerOf(r),
		kind:    k,
		body:    body,
		exclude: map[request.TargetID]bool{},
	}
}
