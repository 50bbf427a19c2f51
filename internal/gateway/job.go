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

// kind distinguishes completions from calls of plain services.
type kind int

const (
	kindCompletion kind = iota
	kindService
)

// Job is one request that passes through the filters. Only one filter owns it at a time,
// so it needs no lock.
type Job struct {
	ctx          context.Context
	decided      chan error
	arrived      time.Time
	deadline     time.Time
	fromPeer     bool // forwarded by a peer; not forwarded again
	serveLocally bool // the home daemon failed; this daemon serves the job
	bearer       string

	id request.ID // the id that the caller and peers use
	// localID identifies the job at targets, coordinators and in this daemon's quarantine.
	// It differs from id because a frozen home daemon and this daemon, which serves in its
	// place, would otherwise send attempts with the same id to one target. When the home
	// resumes, it cancels its attempt, which would truncate the caller's answer.
	localID request.ID
	kind    kind
	body    []byte // as received; used for forwarding

	completion completionBody
	call       serviceCall

	// The filters set the following fields.
	org             *table.Organisation
	model           request.Model
	context         Context
	fingerprint     quarantine.Fingerprint
	inFlightAttempt request.ID // the attempt registered with the quarantine; empty if none
	dispatchedAt    time.Time  // of that attempt
	suspect         bool
	admitted        bool // admitted by the limiter
	forwardTo       *peer.Member
	partition       int // journal partition of a call that must run at most once
	choices         []Choice
	choice          Choice
	exclude         map[request.TargetID]bool
	grant           *Grant
	incarnation     uint64 // incarnation of the granted target; 0 if unknown
	priority        int    // scheduling priority at the engine
	ticket          *journal.Ticket
	maybeSent       bool // the current attempt of a call may have reached its target
	replay          *journal.Result
	attempts        int
	priorOutcome    request.RunOutcome // what is known about earlier attempts; empty if there were none
	outputTokens    int64              // tokens relayed, reported to the limiter
	prefillTokens   int64              // tokens recomputed, reported to the coordinator
	targetFailed    bool               // the target failed during this request
}

// serviceCall is a call of a plain service.
type serviceCall struct {
	service     string
	method      string
	path        string // path and query to request from the target
	contentType string
	key         string    // Idempotency-Key
	firstSent   time.Time // when the caller first sent the key; zero if not given
	repeatable  bool
}

// Context implements pipeline.Job.
func (j *Job) Context() context.Context { return j.ctx }

// OnChainEnd implements pipeline.Job.
func (j *Job) OnChainEnd(err error) { j.decided <- err }

// recordOutcome records how an attempt ended. An attempt that ran takes precedence over one
// that may have run.
func (j *Job) recordOutcome(ran request.RunOutcome) {
	if j.priorOutcome == request.DidRun || j.priorOutcome == request.InDoubt && ran == request.NotRun {
		return
	}
	j.priorOutcome = ran
}

func newJob(r *http.Request, k kind, body []byte) *Job {
	return &Job{
		ctx:      r.Context(),
		decided:  make(chan error, 1),
		arrived:  time.Now(),
		fromPeer: isHop(r),
		bearer:   bearerOf(r),
		kind:     k,
		body:     body,
		exclude:  map[request.TargetID]bool{},
	}
}
