// Package shape learns how long the answers of each route are, from streams that ended complete and from
// callers' hints.
//
// The upper bound that callers state is many times the length of most answers. The package returns the
// expected length: the mean of a route's last answers, corrected by the request's hint as far as the hints
// for that route have been right.
//
// The package is pure: it uses no clock, I/O, goroutine or randomness. Shapes are not safe for concurrent use.
package shape

import (
	"math"
	"slices"
)

const (
	windowSize = 64 // answers of a route that are remembered
	minAnswers = 8  // answers from which a route's shape is used
	maxRoutes  = 1024
	// unknownShare is the share of the upper bound that is expected of a route without enough answers.
	unknownShare = 0.35
	highQuantile = 0.9
	// maxTokensPerEvent bounds the number of tokens that an event is assumed to hold.
	maxTokensPerEvent = 32
	// maxHintFactor bounds how far a hint may move the expectation from the route's mean.
	maxHintFactor = 16
	// minDeviation, in powers of two, keeps the weight of a hint defined where all answers are alike.
	minDeviation = 0.05
)

// Shape describes the answers of a route.
type Shape struct {
	Answers   int     // on which it is based; with zero the other fields have no meaning
	Mean      float64 // tokens
	High      float64 // tokens; a tenth of the answers is longer
	Streaming float64 // share of the answers with more than one event
}

// answer is one complete stream.
type answer struct {
	events int
	hint   int // tokens; zero: none
}

// history holds the last answers of a route.
type history struct {
	answers []answer
	next    int   // index of the oldest answer if the window is full
	used    int64 // value of Shapes.clock at the last observation

	summary summary
	stale   bool // summary must be computed again
}

// summary is derived from the answers of a history.
type summary struct {
	shape      Shape
	hintWeight float64 // of a hint beside the mean, from 0 to 1
}

// Shapes holds the shapes of routes.
type Shapes struct {
	routes map[string]*history
	clock  int64 // counts observations
}

// New returns Shapes that know nothing.
func New() *Shapes { return &Shapes{routes: map[string]*history{}} }

// Observe records a complete stream of a route. hint is the caller's estimate in tokens, zero if there is none.
func (s *Shapes) Observe(route string, hint, events int) {
	if events <= 0 {
		return
	}
	s.clock++
	h := s.routes[route]
	if h == nil {
		if len(s.routes) >= maxRoutes {
			s.dropOldest()
		}
		h = &history{}
		s.routes[route] = h
	}
	h.used, h.stale = s.clock, true
	a := answer{events: events, hint: max(0, hint)}
	if len(h.answers) < windowSize {
		h.answers = append(h.answers, a)
		return
	}
	h.answers[h.next] = a
	h.next = (h.next + 1) % windowSize
}

func (s *Shapes) dropOldest() {
	oldest, found := "", false
	for route, h := range s.routes {
		if !found || h.used < s.routes[oldest].used {
			oldest, found = route, true
		}
	}
	delete(s.routes, oldest)
}

// Of returns the shape of a route.
func (s *Shapes) Of(route string) Shape { return s.summaryOf(route).shape }

// Assumed returns the number of output tokens to expect where nothing is known but the most that the caller
// accepts.
func Assumed(upperBound int) int { return int(float64(upperBound) * unknownShare) }

// Output returns the number of output tokens to expect of a request. hint is the caller's estimate, zero if
// there is none; upperBound is the most that the caller accepts.
func (s *Shapes) Output(route string, hint, upperBound int) int {
	known := s.summaryOf(route)
	if known.shape.Answers < minAnswers {
		return Assumed(upperBound)
	}
	expected := known.shape.Mean
	if hint > 0 && known.hintWeight > 0 {
		ratio := min(max(float64(hint)/expected, 1.0/maxHintFactor), maxHintFactor)
		expected *= math.Pow(ratio, known.hintWeight)
	}
	return min(upperBound, max(1, int(math.Ceil(expected))))
}

func (s *Shapes) summaryOf(route string) summary {
	h := s.routes[route]
	if h == nil {
		return summary{}
	}
	if h.stale {
		h.summary, h.stale = summarize(h.answers), false
	}
	return h.summary
}

// summarize derives a summary. An event may hold several tokens. Since hints are right at the median, the
// median of hint by events is the number of tokens of an event.
func summarize(answers []answer) summary {
	var lengths, ratios []float64
	streaming := 0
	for _, a := range answers {
		lengths = append(lengths, float64(a.events))
		if a.events > 1 {
			streaming++
		}
		if a.hint > 0 {
			ratios = append(ratios, float64(a.hint)/float64(a.events))
		}
	}
	perEvent := 1.0
	if len(ratios) >= minAnswers {
		perEvent = min(max(quantile(ratios, 0.5), 1), maxTokensPerEvent)
	}
	n := float64(len(answers))
	return summary{
		shape: Shape{
			Answers: len(answers), Mean: perEvent * mean(lengths), High: perEvent * quantile(lengths, highQuantile),
			Streaming: float64(streaming) / n,
		},
		hintWeight: hintWeight(lengths, ratios),
	}
}

// hintWeight returns the weight of a hint beside the mean of the route, from the deviations of both from the
// answers' lengths. It is zero without enough hints.
func hintWeight(lengths, ratios []float64) float64 {
	if len(ratios) < minAnswers {
		return 0
	}
	spread, off := deviation(lengths), deviation(ratios)
	return spread * spread / (spread*spread + off*off + minDeviation*minDeviation)
}

// deviation returns the median deviation from the median in powers of two.
func deviation(values []float64) float64 {
	center := math.Log2(quantile(values, 0.5))
	off := make([]float64, len(values))
	for i, v := range values {
		off[i] = math.Abs(math.Log2(v) - center)
	}
	return quantile(off, 0.5)
}

func mean(values []float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += v
	}
	return sum / float64(len(values))
}

// quantile returns the value below which a share of the values lies.
func quantile(values []float64, share float64) float64 {
	sorted := slices.Sorted(slices.Values(values))
	return sorted[min(len(sorted)-1, int(share*float64(len(sorted))))]
}
