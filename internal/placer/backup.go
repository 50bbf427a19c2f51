package placer

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// backupFill is the part of a replica's memory up to which it takes copies of runs: beyond it
	// they would push out contexts that return.
	backupFill = 0.6
	// backupLooks is how many replicas are looked at for a copy.
	backupLooks = 4
)

// backup returns where a run is copied as it goes on, nil if nowhere. A stream that may not run
// twice is lost with its replica otherwise; others are run again.
//
// A replica of another failure domain goes before one of the same: a domain is lost as a whole.
func (e *Engine) backup(j *relay.Job, at *replicas.Replica, version uint64, need pick.Request, usable []*replicas.Replica) *relay.Backup {
	engine := j.Service.Engine
	if !engine.Backups || j.Route.Kind != routing.KindStream || j.Route.Repeatable() {
		return nil
	}
	now := time.Now()
	var best *replicas.Replica
	var least float64
	looks := 0
	for _, r := range usable {
		if r == nil || r == at || r.Weights(j.Model) != version || r.Cold(now) {
			continue
		}
		fill := float64(r.Load.Total(now).Tokens+need.Tokens) / float64(max(1, engine.MemoryTokens))
		if fill > backupFill {
			continue
		}
		if r.Info().FailureDomain == at.Info().FailureDomain {
			fill++ // after all of other domains
		}
		if best == nil || fill < least {
			best, least = r, fill
		}
		if looks++; looks == backupLooks {
			break
		}
	}
	if best == nil {
		return nil
	}
	return &relay.Backup{Replica: best, Tokens: need.Tokens, Flight: best.Load.Hold(need.Tokens)}
}
