package gateway

import (
	"context"
	"crypto/sha256"
	"net/http"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/block"
	"github.com/bluebellscale/bluebellscale/internal/journal"
	"github.com/bluebellscale/bluebellscale/internal/pipeline"
	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

const (
	retryWhenNoTarget = 2 * time.Second
	retryInProgress   = time.Second
	retryJournalDown  = 2 * time.Second
	retryWhenSuspect  = time.Second
)

// limitFilter enforces the limits of the organisation.
type limitFilter struct{ g *Gateway }

// Name implements pipeline.Filter.
func (f *limitFilter) Name() string { return "limit" }

// Process implements pipeline.Filter.
func (f *limitFilter) Process(j *Job) pipeline.Decision {
	return pipeline.Await(func(ctx context.Context) pipeline.Decision {
		refusal := f.g.opts.Limiter.Admit(ctx, j.org, int64(j.context.Tokens))
		if refusal != nil {
			return pipeline.Finish(refusal)
		}
		j.admitted = true
		return pipeline.Pass()
	})
}

// placeFilter ranks the targets that may serve the job.
type placeFilter struct{ g *Gateway }

// Name implements pipeline.Filter.
func (f *placeFilter) Name() string { return filterPlace }

// filterPlace is the filter at which a retried job restarts.
const filterPlace = "place"

// Process implements pipeline.Filter.
func (f *placeFilter) Process(j *Job) pipeline.Decision {
	return pipeline.Await(func(ctx context.Context) pipeline.Decision {
		if refusal := f.g.poison.refuse(j); refusal != nil {
			return pipeline.Finish(refusal)
		}
		decision := f.g.opts.Quarantine.Gate(ctx, j.fingerprint)
		if refusal := quarantineRefusal(decision); refusal != nil {
			return pipeline.Finish(refusal)
		}
		j.suspect = decision.Mode == quarantine.Alone
		j.choices = f.rankTargets(ctx, j)
		if decision.Mode == quarantine.SameTarget {
			j.choices = choicesAt(j.choices, decision.Target)
		}
		if len(j.choices) == 0 {
			return pipeline.Finish(request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, retryWhenNoTarget,
				"no target is ready for this request"))
		}
		return pipeline.Pass()
	})
}

// rankEngines ranks the targets that have loaded the required weight version. During the
// rollout of a new default version, targets are updated one by one. Until the first target
// has the new version, an organisation that requests no specific version is served with
// the version that is loaded, under the cache salt of that version.
func (f *placeFilter) rankEngines(ctx context.Context, j *Job) []Choice {
	choices := f.g.opts.Contexts.Choose(ctx, j.context, j.exclude)
	if len(choices) > 0 || j.org.Models[j.model] != "" {
		return choices
	}
	version, ok := f.g.opts.Contexts.Version(ctx, j.model)
	if !ok || version == j.context.Scope.Version {
		return choices
	}
	j.context.Scope.Version = version
	j.context.Chain = block.Chain(j.context.Scope.Salt(), []byte(j.completion.Prompt))
	return f.g.opts.Contexts.Choose(ctx, j.context, j.exclude)
}

// quarantineRefusal returns the refusal of a request that the quarantine does not allow to
// run now, or nil.
func quarantineRefusal(d quarantine.Decision) *request.Error {
	switch d.Mode {
	case quarantine.Refuse:
		return d.Err
	case quarantine.Wait:
		return suspectRunningRefusal()
	default:
		return nil
	}
}

func suspectRunningRefusal() *request.Error {
	return request.Refuse(request.CodeQuarantined, http.StatusServiceUnavailable, retryWhenSuspect,
		"a target died while it ran this request, and the request runs alone now")
}

func choicesAt(choices []Choice, t request.TargetID) []Choice {
	return slices.DeleteFunc(choices, func(c Choice) bool { return c.Target.ID != t })
}

func (f *placeFilter) rankTargets(ctx context.Context, j *Job) []Choice {
	if j.kind == kindCompletion {
		return f.rankEngines(ctx, j)
	}
	var out []Choice
	for _, t := range f.g.opts.Coordinators.RankInstances(ctx, j.call.service, j.exclude) {
		out = append(out, Choice{Target: t})
	}
	return out
}

// queueFilter waits for a grant from the coordinator of a target.
type queueFilter struct{ g *Gateway }

// Name implements pipeline.Filter.
func (f *queueFilter) Name() string { return "queue" }

// maxAcquireTargets is the number of targets at which a grant is requested before a job is
// refused.
const maxAcquireTargets = 2

// Process implements pipeline.Filter.
func (f *queueFilter) Process(j *Job) pipeline.Decision {
	return pipeline.Await(func(ctx context.Context) pipeline.Decision { return f.acquire(ctx, j) })
}

func (f *queueFilter) acquire(ctx context.Context, j *Job) pipeline.Decision {
	var refusal *request.Error
	for i, c := range j.choices {
		if i == maxAcquireTargets {
			break
		}
		var grant Grant
		grant, refusal = f.g.opts.Coordinators.Acquire(ctx, f.g.acquireRequest(j, c))
		if refusal == nil {
			j.choice = c
			j.grant = &grant
			j.incarnation = grant.Incarnation
			j.priority = grant.Priority
			return pipeline.Pass()
		}
	}
	return pipeline.Finish(refusal)
}

func (g *Gateway) acquireRequest(j *Job, c Choice) AcquireRequest {
	return AcquireRequest{
		Request:  j.localID,
		Target:   c.Target.ID,
		Org:      j.org.ID,
		Tokens:   int64(c.Recompute),
		Deadline: j.deadline,
		Suspect:  j.suspect,

		Fingerprint: j.fingerprint,
	}
}

// journalFilter records in the journal the intent of a call that must run at most once.
type journalFilter struct{ g *Gateway }

// Name implements pipeline.Filter.
func (f *journalFilter) Name() string { return "once" }

// Process implements pipeline.Filter.
func (f *journalFilter) Process(j *Job) pipeline.Decision {
	if j.kind != kindService || j.call.repeatable {
		return pipeline.Pass()
	}
	return pipeline.Await(func(ctx context.Context) pipeline.Decision { return f.begin(ctx, j) })
}

func (f *journalFilter) begin(ctx context.Context, j *Job) pipeline.Decision {
	call := journal.Call{
		Org:     j.org.ID,
		Service: j.call.service,
		Key:     j.call.key,
		Digest:  callDigest(j),

		FirstSent: j.call.firstSent,
	}
	ticket, result, err := f.g.opts.Journal.Begin(ctx, call)
	if err != nil {
		return pipeline.Finish(journalRefusal(err))
	}
	if result != nil {
		j.replay = result
		return pipeline.Finish(nil)
	}
	j.ticket = ticket
	return pipeline.Pass()
}

func callDigest(j *Job) [sha256.Size]byte {
	return sha256.Sum256([]byte(j.fingerprint))
}

// journalRefusal converts an error of the journal to a refusal.
func journalRefusal(err error) *request.Error {
	var full *journal.FullError
	switch {
	case errors.As(err, &full):
		return request.Refuse(request.CodeJournalDown, http.StatusServiceUnavailable, full.RetryAfter,
			"the journal has no room for new keys")
	case errors.Is(err, journal.ErrKeyTooOld):
		return &request.Error{Code: request.CodeInDoubt, Status: http.StatusConflict, Ran: request.InDoubt,
			Message: "this key was first sent longer ago than keys are kept", Field: HeaderFirstSent}
	case errors.Is(err, journal.ErrInDoubt):
		return &request.Error{Code: request.CodeInDoubt, Status: http.StatusConflict, Ran: request.InDoubt,
			Message: "an earlier try with this key may have run and will not be run again"}
	case errors.Is(err, journal.ErrKeyReused):
		return request.Refuse(request.CodeKeyReused, http.StatusUnprocessableEntity, 0,
			"this key was used with another call")
	case errors.Is(err, journal.ErrResultNotKept):
		return &request.Error{Code: request.CodeResultNotKept, Status: http.StatusGone, Ran: request.DidRun,
			Message: "an earlier try with this key ran; its result is no longer kept"}
	case errors.Is(err, journal.ErrInProgress):
		return &request.Error{Code: request.CodeInProgress, Status: http.StatusConflict, Ran: request.InDoubt,
			Message: "another try with this key runs now", RetryAfter: retryInProgress}
	case errors.Is(err, journal.ErrNotHolder):
		return request.Refuse(request.CodeNotHolder, http.StatusServiceUnavailable, retryWhenNoHolder,
			"the journal partition of this key has moved")
	default:
		return request.Refuse(request.CodeJournalDown, http.StatusServiceUnavailable, retryJournalDown,
			"the journal can not be written now")
	}
}

// dispatchFilter prepares the chosen target for the request, which the relay then sends.
type dispatchFilter struct{ g *Gateway }

// Name implements pipeline.Filter.
func (f *dispatchFilter) Name() string { return "dispatch" }

// Process implements pipeline.Filter.
func (f *dispatchFilter) Process(j *Job) pipeline.Decision {
	if !f.g.opts.Quarantine.Begin(j.fingerprint, attemptID(j), j.choice.Target.ID, j.suspect) {
		return pipeline.Finish(suspectRunningRefusal())
	}
	j.inFlightAttempt, j.dispatchedAt = attemptID(j), time.Now()
	if j.choice.Import == nil {
		return pipeline.Pass()
	}
	return pipeline.Await(func(ctx context.Context) pipeline.Decision {
		f.g.opts.Contexts.RunImport(ctx, j.context, j.choice)
		return pipeline.Pass()
	})
}
