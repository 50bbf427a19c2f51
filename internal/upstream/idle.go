package upstream

import "time"

const (
	// staleBreaks is the number of idle connections in a row that must break when they are
	// used again before the others are thought to be dead as well. One may be a lost answer.
	staleBreaks = 2
	// leastRest is the shortest rest after which a break says something about the rest.
	leastRest = 50 * time.Millisecond
	// staleShare is the part of the rest of a connection that broke for which others are
	// still used.
	staleShare = 0.7
	// staleFor is how long that holds. Then connections that rested longer are tried again.
	staleFor = 20 * time.Second
)

// rests learns for how long a peer keeps idle connections. Some forget them without a word,
// long before they say: the next request on one is reset, and a call that must run at most
// once fails, since nobody can tell whether it ran.
type rests struct {
	breaks int           // in a row, of connections that rested
	limit  time.Duration // zero: none is known
	until  time.Time     // of the limit
}

// broke notes that a connection broke before an answer, after a rest.
func (r *rests) broke(now time.Time, rest time.Duration) {
	if rest < leastRest {
		return
	}
	r.breaks++
	if r.breaks < staleBreaks {
		return
	}
	limit := time.Duration(staleShare * float64(rest))
	if r.limit == 0 || limit < r.limit || now.After(r.until) {
		r.limit = limit
	}
	r.until = now.Add(staleFor)
}

// answered notes that a connection was good after a rest.
func (r *rests) answered(rest time.Duration) {
	if rest >= leastRest {
		r.breaks = 0
	}
}

// allows reports whether a connection that rested so long may be used.
func (r *rests) allows(now time.Time, rest time.Duration) bool {
	return r.limit == 0 || now.After(r.until) || rest < r.limit
}
