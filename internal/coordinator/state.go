package coordinator

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
)

// stateTimeout bounds the wait for one actor in a dump.
const stateTimeout = time.Second

// TargetState is a target in the dump of a daemon.
type TargetState struct {
	Target           request.TargetID `json:"target"`
	Address          string           `json:"address"`
	Coordinator      string           `json:"steward"` // the daemon that holds its queue
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

// State returns the targets whose queue is held here, ordered by id.
func (s *Service) State() []TargetState {
	ctx, cancel := context.WithTimeout(context.Background(), stateTimeout)
	defer cancel()
	out := []TargetState{}
	for _, k := range s.all() {
		v, ok := k.look(ctx, Prompt{}, probe{})
		if !ok {
			continue
		}
		m := s.steward(k.row.ID)
		out = append(out, TargetState{
			Target:           k.row.ID,
			Address:          k.row.Address,
			Coordinator:      m.Id,
			Local:            s.isSelf(m),
			Version:          v.version,
			Running:          v.running,
			Waiting:          v.waiting,
			PrefillTokens:    v.prefill,
			Down:             v.down,
			Leaving:          v.leaving,
			CacheUnconfirmed: v.unsure,
			ReportAgeMs:      v.age.Milliseconds(),
		})
	}
	slices.SortFunc(out, func(a, b TargetState) int { return cmp.Compare(a.Target, b.Target) })
	return out
}
