package admission

import "time"

type counts struct {
	granted uint64
	refused uint64
	expired uint64
}

// View is a coordinator's estimate of its target's state, for placement and for the
// state dump.
type View struct {
	Running             int   // live grants and foreign requests
	Granted             int   // live grants
	Foreign             int   // requests in the last report without a grant of this coordinator
	Waiting             int   // requests in the queue, suspects included
	WaitingTokens       int64 // their cost: prompt tokens, or more if slots are scarce
	QueuedPrefillTokens int64 // at the target: estimated from the last report and the grants since
	ServiceRate         float64
	Down                bool
	Leaving             bool
	ReportAge           time.Duration // negative without a report
	// Counts since the coordinator started.
	GrantedTotal uint64
	RefusedTotal uint64
	ExpiredTotal uint64
}

// View returns the state at time now.
func (c *Coordinator) View(now time.Time) View {
	v := View{
		Running:             c.running(now),
		Granted:             len(c.liveGrants),
		Waiting:             c.queue.Len() + len(c.suspects),
		WaitingTokens:       c.queue.Cost(),
		QueuedPrefillTokens: int64(c.prefillBacklog(now)),
		ServiceRate:         c.meter.rate,
		Down:                c.status == statusDown,
		Leaving:             c.status == statusLeaving,
		ReportAge:           -1,
		GrantedTotal:        c.counts.granted,
		RefusedTotal:        c.counts.refused,
		ExpiredTotal:        c.counts.expired,
	}
	v.Foreign = v.Running - v.Granted
	if !c.report.takenAt.IsZero() {
		v.ReportAge = now.Sub(c.report.takenAt)
	}
	return v
}
