package relay

import (
	"context"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/crashes"
	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/policy/poison"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// CrashTracker records at which requests replicas crashed, and refuses those that would crash further ones.
type CrashTracker interface {
	// Refuses returns an error if the request must not run now, nil otherwise.
	Refuses(traits crashes.TraitsFunc) *request.Error
	// Admit is Refuses for a request that is sent if there is no error. It may wait for the key-value service.
	Admit(ctx context.Context, traits crashes.TraitsFunc) *request.Error
	// RecordCrash records that a replica died while it ran a request.
	RecordCrash(report poison.Report)
	// RecordSuccess records that a replica completed a request.
	RecordSuccess(traits crashes.TraitsFunc)
	// Suspicion returns the highest suspicion of the request's traits.
	Suspicion(traits crashes.TraitsFunc) poison.Suspicion
}

const (
	// crashCheckTimeout bounds the check.
	crashCheckTimeout = 3 * time.Second
	// maxCrashWait is how long a suspect request waits for the check before it is sent again.
	maxCrashWait = 100 * time.Millisecond
	// maxOwnCrashes is the number of replicas that may die one after the other while they run one request.
	maxOwnCrashes = 2
	// beginWindow is the time after the first event of a stream in which the stream may be what crashes its replica.
	beginWindow = time.Second
	// maxPartTraits bounds the parts of a prompt that count as shared.
	maxPartTraits = 64
)

// replacedChecks are the times between the checks whether a replica was replaced. Its successor registers within the first of them; its
// own entry goes after three intervals of silence.
var replacedChecks = []time.Duration{250 * time.Millisecond, 750 * time.Millisecond, 2 * time.Second, 2 * time.Second}

// traits returns what the request has in common with others. withContent adds the request itself, and the last part of its prompt,
// which belongs to it or to its session.
func (j *Job) traits(withContent bool) []poison.Trait {
	org := poison.OrgOf(j.OrgID())
	path, _, _ := strings.Cut(j.URI, "?")
	out := []poison.Trait{poison.NewTrait(poison.KindPath, org, []byte(j.Host), []byte(path))}
	shared := []poison.Trait{}
	if j.Model != "" {
		shared = append(shared, poison.NewTrait(poison.KindModel, org, []byte(j.Model)))
	}
	for _, p := range j.Parts[:min(max(0, len(j.Parts)-1), maxPartTraits)] {
		shared = append(shared, poison.NewTrait(poison.KindPart, org, []byte(p.ID)))
	}
	out = append(out, shared...)
	if j.Org == nil || !j.Org.Isolated {
		for _, t := range shared {
			out = append(out, t.ForAll())
		}
	}
	if !withContent {
		return out
	}
	if n := len(j.Parts); n > 0 {
		out = append(out, poison.NewTrait(poison.KindPart, org, []byte(j.Parts[n-1].ID)))
	}
	return append(out, poison.NewTrait(poison.KindRequest, org, []byte(j.Method), []byte(j.Host), []byte(j.URI), j.Body))
}

// refuseCrashing returns an error if the request would crash a replica.
func (s *Server) refuseCrashing(j *Job) *request.Error {
	if s.o.CrashTracker == nil {
		return nil
	}
	return s.o.CrashTracker.Refuses(j.traits)
}

// admitPlaced returns an error, and ends the placement, if the request would crash the replica: it may have waited long for it.
func (s *Server) admitPlaced(ctx context.Context, j *Job, p *Placement) *request.Error {
	if s.o.CrashTracker == nil {
		return nil
	}
	err := s.o.CrashTracker.Admit(ctx, j.traits)
	if err != nil {
		p.abandon()
	}
	return err
}

// crashCheck is a check whether a replica died.
type crashCheck struct {
	done chan struct{} // closed at the end of the check
	died atomic.Bool
}

// checkForCrash checks whether a replica died while it ran a request. Connections break for many reasons, so the replica counts as dead
// only if it accepts no new connection afterwards, or if its registry entry goes or another replica has its address.
func (s *Server) checkForCrash(j *Job, a *attempt) *crashCheck {
	c := &crashCheck{done: make(chan struct{})}
	if s.o.CrashTracker == nil {
		close(c.done)
		return c
	}
	r, at := a.placement.Replica, time.Now()
	report := a.crashReport(j, at)
	go func() {
		defer close(c.done)
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		time.Sleep(framing.DeathDelay)
		switch s.verdictOn(ctx, r, at) {
		case lives:
			go s.awaitReplaced(r, j, report)
		case unreached:
			s.o.Metrics.Counter("crashes_not_counted").Inc(1)
			s.o.Logger.Info("A replica accepts no connections, and the path to it may be lost", "request", j.ID, "replica", r.Info().ID)
		case died:
			c.died.Store(true)
			s.recordCrash(r, j, report)
		}
	}()
	return c
}

// awaitReplaced records the death of a replica that accepts connections, if it turns out that another one accepted them. A
// replica that ends as it should completes its answers before its entry goes.
func (s *Server) awaitReplaced(r *replicas.Replica, j *Job, report poison.Report) {
	if s.o.Replaced == nil {
		return
	}
	for _, delay := range replacedChecks {
		time.Sleep(delay)
		if s.o.Replaced(r) {
			s.recordCrash(r, j, report)
			return
		}
	}
}

func (s *Server) recordCrash(r *replicas.Replica, j *Job, report poison.Report) {
	s.o.Metrics.Counter("requests_at_crashes").Inc(1)
	s.o.Logger.Info("A replica died while it ran a request", "request", j.ID, "replica", r.Info().ID, "started", r.Info().Started,
		"org", j.OrgID(), "route", routeName(j), "model", j.Model, "parts", j.partIDs(), "after_ms", report.At.Sub(j.Start).Milliseconds())
	s.o.CrashTracker.RecordCrash(report)
}

// crashReport returns the report of the death of the attempt's replica. A stream that had gone on for a while did not crash it as it
// began, so that only the request itself is accused.
func (a *attempt) crashReport(j *Job, at time.Time) poison.Report {
	info := a.placement.Replica.Info()
	report := poison.Report{Death: poison.DeathID(string(info.ID), info.Started), Org: poison.OrgOf(j.OrgID()), At: at}
	first, started := a.firstEventAt.Time()
	for _, t := range j.traits(true) {
		switch {
		case t.Kind == poison.KindRequest:
			report.Accused = append(report.Accused, poison.Accused{Trait: t, Sent: a.sentAt})
		case !started || at.Sub(first) < beginWindow:
			report.Accused = append(report.Accused, poison.Accused{Trait: t, Sent: j.firstSentAt})
		}
	}
	return report
}

// partIDs returns the names of the parts of the prompt, in order.
func (j *Job) partIDs() string {
	ids := make([]string, len(j.Parts))
	for i, p := range j.Parts {
		ids[i] = p.ID
	}
	return strings.Join(ids, ",")
}

// awaitCrashCheck waits a little for the ends of the request's checks, unless this is its first one and nothing in it is suspect, so
// that it is not sent to the next replica before the death of the last one counts. It returns an error if the request must not be
// sent again.
func (s *Server) awaitCrashCheck(ctx context.Context, j *Job, c *crashCheck, h *history) *request.Error {
	if s.o.CrashTracker == nil {
		return nil
	}
	h.checks = append(h.checks, c)
	if len(h.checks) == 1 && s.o.CrashTracker.Suspicion(j.traits) == poison.Unsuspected {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, maxCrashWait)
	defer cancel()
	died := 0
	for _, check := range h.checks {
		select {
		case <-check.done:
		case <-ctx.Done():
		}
		if check.died.Load() {
			died++
		}
	}
	if died >= maxOwnCrashes || died > 0 && s.o.CrashTracker.Suspicion(j.traits) == poison.HalfWay {
		s.o.Metrics.Counter("retries_after_crashes").Inc(1)
		return &request.Error{Code: request.CodeTargetFailed, Status: http.StatusBadGateway, Message: "the replicas died", Ran: request.InDoubt}
	}
	return s.refuseCrashing(j)
}

// recordSuccess reports to the CrashTracker that a replica answered the request. The daemon to which a request was forwarded
// reports it itself. An answer that ends with its connection may have ended because the replica died.
func (s *Server) recordSuccess(j *Job, a *attempt) {
	if s.o.CrashTracker == nil || a.peer != nil || a.response.Status >= http.StatusMultipleChoices {
		return
	}
	if !a.response.EndsWithConnection() {
		s.o.CrashTracker.RecordSuccess(j.traits)
		return
	}
	c := s.checkForCrash(j, a)
	go func() {
		if <-c.done; !c.died.Load() {
			s.o.CrashTracker.RecordSuccess(j.traits)
		}
	}()
}
