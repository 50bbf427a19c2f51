package contextdir

import "time"

// gapHistory is the number of gaps stored for each context.
const gapHistory = 4

// Gaps is the recent history of the times between uses of a context.
type Gaps struct {
	seconds [gapHistory]float32
	count   uint8 // gaps added, wraps around to gapHistory
}

// Add records one gap.
func (g *Gaps) Add(gap time.Duration) {
	g.seconds[g.count%gapHistory] = float32(gap.Seconds())
	g.count++
	if g.count == 2*gapHistory {
		g.count = gapHistory
	}
}

// Count returns the number of stored gaps.
func (g Gaps) Count() int { return min(int(g.count), gapHistory) }

// Expected returns the median gap and the difference of the longest and the shortest gap.
// It returns false without history.
func (g Gaps) Expected() (median, spread time.Duration, ok bool) {
	n := g.Count()
	if n == 0 {
		return 0, 0, false
	}
	sorted := g.seconds
	for i := 1; i < n; i++ {
		for j := i; j > 0 && sorted[j] < sorted[j-1]; j-- {
			sorted[j], sorted[j-1] = sorted[j-1], sorted[j]
		}
	}
	return seconds(sorted[n/2]), seconds(sorted[n-1] - sorted[0]), true
}

func seconds(s float32) time.Duration { return time.Duration(float64(s) * float64(time.Second)) }
