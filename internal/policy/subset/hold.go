package subset

import "time"

const (
	// holdFor is how long groups are still counted by the former number of daemons or replicas after it fell. If
	// the members return within it, replicas are not divided anew twice.
	holdFor = 10 * time.Second
	// maxHoldFactor bounds how many times the present number the former one may be, so that groups keep some
	// daemons and replicas.
	maxHoldFactor = 2
)

// Hold holds back the fall of a number of daemons or replicas: it counts with the greatest one of the last
// holdFor. Daemons that saw the fall and those that started later count alike after it. The zero value is ready
// to use; it is not safe for concurrent use.
type Hold struct{ peak Peak[int] }

// Update records the present number and returns the number to count with.
func (h *Hold) Update(now time.Time, present int) int {
	return min(h.peak.Update(now, present), maxHoldFactor*present)
}

// Expires returns when the number to count with falls and Update has to be called again, and false if nothing is
// held back.
func (h *Hold) Expires() (time.Time, bool) { return h.peak.Expires() }
