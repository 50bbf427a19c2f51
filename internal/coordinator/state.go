package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// stateTimeout bounds the wait for the actors' replies in State.
const stateTimeout = time.Second

// TargetState is the state of one target in a daemon's debug dump.
type TargetState struct {
	Target           request.TargetID `json:"target"`
	Address          string           `json:"address"`
	Coordinator      string           `json:"steward"` // daemon that coordinates the target
	Local            bool             `json:"here"`
	Version          request.Version  `json:"version"`
	Running          int              `json:"running"`
	Waiting          int              `json:"waiting"`
	PrefillTokens    int64            `json:"prefill_tokens"`
	Down             bool             `json:"down"`
	Leaving          bool             `json:"leaving"`
	CacheUnconfirmed bool             `json:"cache_unsure"`
	ReportAgeMs      int64            `json:"report_age_ms"`
}

// State returns the targets that have an actor on this daemon, ordered by id.
func (s *Service) State() []TargetState {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	out := []TargetState{}
	for _, a := range s.allActors() {
		v, ok := a.queryView(ctx, Prompt{}, probe{})
		if !ok {
			continue
		}
		m := s.coordinatorOf(a.row.ID)
		out = append(out, TargetState{
			Target:           a.row.ID,
			Address:          a.row.Address,
			Coordinator:      m.Id,
			Local:            s.isSelf(m),
			Version:          v.version,
			Running:          v.running,
			Waiting:          v.waiting,
			PrefillTokens:    v.prefill,
			Down:             v.down,
			Leaving:          v.leaving,
			CacheUnconfirmed: v.unconfirmed,
			ReportAgeMs:      v.age.Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b TargetState) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
