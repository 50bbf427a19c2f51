package loadshare

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
)

// dueSpeeds returns the speeds that peers should be told now, at most maxSpeeds.
func (s *Reporter) dueSpeeds(now time.Time) []*Speed {
	if s.Placer == nil {
		return nil
	}
	var out []*Speed
	for _, m := range s.Placer.Speeds.Due(now, maxSpeeds) {
		out = append(out, &Speed{
			Replica: uint64(m.Key), PrefillNs: uint32(m.Speed.PrefillPerToken.Nanoseconds()),
			StepUs: uint32(m.Speed.Step.Microseconds()), FirstUs: uint32(m.Speed.FirstEvent.Microseconds()),
		})
	}
	return out
}

// applySpeeds records the speeds that a peer measured.
func (s *Reporter) applySpeeds(now time.Time, r *Report) {
	if s.Placer == nil {
		return
	}
	for _, m := range r.Speeds[:min(len(r.Speeds), maxSpeeds)] {
		replica := s.o.Set.ByHash(m.Replica)
		if replica == nil {
			continue
		}
		s.Placer.Speeds.Report(now, replica, r.From, pick.Speed{
			PrefillPerToken: time.Duration(m.PrefillNs) * time.Nanosecond,
			Step:            time.Duration(m.StepUs) * time.Microsecond,
			FirstEvent:      time.Duration(m.FirstUs) * time.Microsecond,
		})
	}
}
