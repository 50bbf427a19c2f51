package relay

import (
	"context"
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// CrashTracker records requests that crashed replicas. It calls the fingerprint functions only
// when it needs the fingerprint, because hashing covers the complete body.
type CrashTracker interface {
	// Check returns an error if the request is quarantined, nil otherwise.
	Check(fingerprint func() quarantine.Fingerprint) *request.Error
	// RecordCrash records that a replica died while it ran a request.
	RecordCrash(ctx context.Context, report quarantine.CrashReport)
	// RecordSuccess records that a replica completed a request.
	RecordSuccess(ctx context.Context, fingerprint func() quarantine.Fingerprint)
}

const (
	// crashCheckDelay is the delay between a broken connection and the check of the replica. A
	// crashed process has closed its listener by then.
	crashCheckDelay = 30 * time.Millisecond
	// crashCheckTimeout bounds the check and the write of its result.
	crashCheckTimeout = 3 * time.Second
)

// fingerprint identifies a request independently of its id, which changes when the caller resends it.
func (j *Job) fingerprint() quarantine.Fingerprint {
	return quarantine.Of(j.OrgID(), []byte(j.Method), []byte(j.Host), []byte(j.URI), j.Body)
}

// partIDs returns the names of the parts of the prompt, in order.
func (j *Job) partIDs() string {
	ids := make([]string, len(j.Parts))
	for i, p := range j.Parts {
		ids[i] = p.ID
	}
	return strings.Join(ids, ",")
}

// checkForCrash checks whether a replica died while it ran a request. Connections break for many
// reasons, so the replica counts as dead only if it accepts no new connection afterwards.
func (s *Server) checkForCrash(j *Job, r *replicas.Replica) {
	if s.o.CrashTracker == nil {
		return
	}
	inFlight := sinceMs(j.Start)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), crashCheckTimeout)
		defer cancel()
		time.Sleep(crashCheckDelay)
		if !r.IsDown(ctx) {
			return
		}
		if s.o.PathIsSound != nil && !s.o.PathIsSound(ctx, r) {
			s.o.Metrics.Counter("crashes_not_counted").Inc(1)
			s.o.Logger.Info("A replica accepts no connections, and the path to it may be lost", "request", j.ID, "replica", r.Info().ID)
			return // this daemon lost the path to the replicas, which may all be alive
		}
		s.o.Metrics.Counter("requests_at_crashes").Inc(1)
		s.o.Logger.Info("A replica died while it ran a request", "request", j.ID, "replica", r.Info().ID, "started", r.Info().Started,
			"org", j.OrgID(), "route", routeName(j), "model", j.Model, "parts", j.partIDs(), "after_ms", inFlight)
		// A replica may restart under its id. The start time makes each of its crashes count once.
		s.o.CrashTracker.RecordCrash(ctx, quarantine.CrashReport{Fingerprint: j.fingerprint(), Target: r.Info().ID, Incarnation: uint64(r.Info().Started)})
	}()
}

// recordSuccess reports to the CrashTracker that a replica answered the request. The daemon to which a request was forwarded
// reports it itself.
func (s *Server) recordSuccess(ctx context.Context, j *Job, a *attempt) {
	if s.o.CrashTracker != nil && a.peer == nil {
		s.o.CrashTracker.RecordSuccess(context.WithoutCancel(ctx), j.fingerprint)
	}
}
