package relay

import (
	"context"
	"time"
)

// fromBackup returns where the run of a failed try goes on: at the replica that holds a copy of its
// memory. It is the same run, so that it may follow also where a request must not run twice.
//
// The first replica must be dead: one that lives may go on with the run for a while after its
// connection broke, and two replicas would work on it. Nor may weights have changed under the run,
// since its memory would be of two versions.
func (s *Server) fromBackup(ctx context.Context, j *Job, t *try) *Placement {
	p := t.placement
	if p.Backup == nil || t.outcome != mayHave || ctx.Err() != nil || time.Until(j.Deadline) < minTimeLeft {
		return nil
	}
	first, second := p.Replica, p.Backup.Replica
	now := time.Now()
	if second.Health.Resting(now) || second.Busy(now) || first.Weights(j.Model) != p.Send.Weights || second.Weights(j.Model) != p.Send.Weights {
		return nil
	}
	if !first.Dead(ctx) || !s.take(j) {
		return nil
	}
	s.o.Metrics.Counter("streams_continued").Inc(1)
	return &Placement{
		Replica: second, Flight: second.Load.Begin(p.Backup.Tokens, 0), Reason: "copy of the run",
		Send: Send{
			Weights: p.Send.Weights, CacheSalt: p.Send.CacheSalt, Urgency: p.Send.Urgency,
			ContinueFrom: second.Info().Address + "/" + string(j.ID),
		},
	}
}
