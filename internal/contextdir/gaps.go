package contextdir

import "time"

// gapHistory is the number of gaps kept for each context.
const gapHistory = 4

// Gaps is the recent history of times between two uses of a context.
type Gaps struct {
	seconds [gapHistory]float32
	count   uint8 // gaps seen, saturating
}

// Add records one gap.
func (g *Gaps) Add(gap time.Duration) {
	g.seconds[g.count%gapHistory] = float32(gap.Seconds())
	g.count++
	if g.count == 2*gapHistory {
		g.count = gapHistory
	}
}

// Count returns the number of gaps kept.
func (g Gaps) Count() int { return min(int(g.count), gapHistory) }

// Expected returns the median gap and the distance from the shortest to the longest.
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
