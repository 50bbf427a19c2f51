package speed

import (
	"cmp"
	"slices"
	"time"
)

const (
	lineSize = 30 // attempts of a service that are remembered for its line
	// minLengthRatio is the ratio between long and short prompts from which a line through both means something.
	minLengthRatio = 2
	// maxInterceptShare bounds the part of the time to the first event that a line ascribes to no token.
	maxInterceptShare = 0.5
)

// point is the time that a prompt took to its first event.
type point struct {
	tokens int
	took   time.Duration
}

// line separates the time to the first event into one for each token and one besides, for services whose
// prompts are all too long to show the latter alone. It is Tukey's resistant line: through the medians of
// the shortest and of the longest third.
type line struct {
	points []point
	next   int // index of the oldest point if the line is full
}

func (l *line) add(p point) {
	if len(l.points) < lineSize {
		l.points = append(l.points, p)
		return
	}
	l.points[l.next] = p
	l.next = (l.next + 1) % lineSize
}

// intercept returns the time besides the tokens, zero if it is not known.
func (l *line) intercept() time.Duration {
	third := len(l.points) / 3
	if third < minSamples {
		return 0
	}
	sorted := slices.SortedFunc(slices.Values(l.points), func(a, b point) int { return cmp.Compare(a.tokens, b.tokens) })
	short, long := middle(sorted[:third]), middle(sorted[len(sorted)-third:])
	if long.tokens < minLengthRatio*short.tokens {
		return 0
	}
	perToken := (long.took - short.took) / time.Duration(long.tokens-short.tokens)
	rest := short.took - time.Duration(short.tokens)*perToken
	return min(max(rest, 0), time.Duration(maxInterceptShare*float64(short.took)))
}

// middle returns the medians of the tokens and of the times of points.
func middle(points []point) point {
	tokens := make([]int, len(points))
	times := make([]time.Duration, len(points))
	for i, p := range points {
		tokens[i], times[i] = p.tokens, p.took
	}
	slices.Sort(tokens)
	return point{tokens: tokens[(len(tokens)-1)/2], took: median(times)}
}
