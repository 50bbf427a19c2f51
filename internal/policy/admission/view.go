package admission

import "time"

type counts struct {
	granted uint64
	refused uint64
	expired uint64
}

// View is what a steward knows about its target, for placement and for the dump.
type View struct {
	Running             int   // reported or granted
	Granted             int   // grants that live
	Foreign             int   // requests that the last report showed beyond them
	Waiting             int   // asks in the queue, suspects included
	WaitingTokens       int64 // their cost: prompt tokens, or more if places are scarce
	QueuedPrefillTokens int64 // at the target: reported plus granted since the report
	ServiceRate         float64
	Down                bool
	Leaving             bool
	ReportAge           time.Duration // negative: no report
	// Counts since the steward started.
	GrantedTotal uint64
	RefusedTotal uint64
	ExpiredTotal uint64
}

// View returns the present state.
func (s *Coordinator) View(now time.Time) View {
	v := View{
		Running:             s.running(now),
		Granted:             len(s.order),
		Waiting:             s.queue.Len() + len(s.suspects),
		WaitingTokens:       s.queue.Cost(),
		QueuedPrefillTokens: int64(s.prefillBacklog(now)),
		ServiceRate:         s.meter.rate,
		Down:                s.status == statusDown,
		Leaving:             s.status == statusLeaving,
		ReportAge:           -1,
		GrantedTotal:        s.count.granted,
		RefusedTotal:        s.count.refused,
		ExpiredTotal:        s.count.expired,
	}
	v.Foreign = v.Running - v.Granted
	if !s.report.taken.IsZero() {
		v.ReportAge = now.Sub(s.report.taken)
	}
	return v
}
