package relay

import (
	"context"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/quarantine"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
)

// Suspects knows requests at which replicas died. The fingerprint is asked for only where it
// is needed: it covers the whole body.
type Suspects interface {
	// Check returns the final answer to a request that must not run any more.
	Check(fingerprint func() quarantine.Fingerprint) *request.Error
	// RecordCrash notes that a replica died while it ran a request.
	RecordCrash(ctx context.Context, s quarantine.Sighting)
	// RecordSuccess notes that a replica ran a request to its end.
	RecordSuccess(ctx context.Context, fingerprint func() quarantine.Fingerprint)
}

const (
	// deathDelay is how long after a broken connection the replica is looked at: a process
	// that crashed has closed its listener by then.
	deathDelay = 30 * time.Millisecond
	// deathTimeout bounds the look and the write of what it found.
	deathTimeout = 3 * time.Second
)

// fingerprint identifies a request that comes again under another id.
func (j *Job) fingerprint() quarantine.Fingerprint {
	return quarantine.Of(j.OrgID(), []byte(j.Method), []byte(j.Host), []byte(j.URI), j.Body)
}

// broken looks whether a replica died while it ran a request. A connection that breaks says
// little: answers are cut for many reasons. A replica that accepts no connection after it
// has died.
func (s *Server) broken(j *Job, r *replicas.Replica) {
	if s.o.Suspects == nil {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), deathTimeout)
		defer cancel()
		time.Sleep(deathDelay)
		if !r.Dead(ctx) {
			return
		}
		// A replica may start again under its id: each of its starts dies once.
		s.o.Suspects.RecordCrash(ctx, quarantine.Sighting{Fingerprint: j.fingerprint(), Target: r.Info().ID, Incarnation: uint64(r.Info().Started)})
	}()
}

// ranToItsEnd clears a request that a replica answered.
func (s *Server) ranToItsEnd(ctx context.Context, j *Job) {
	if s.o.Suspects != nil {
		s.o.Suspects.RecordSuccess(context.WithoutCancel(ctx), j.fingerprint)
	}
}
