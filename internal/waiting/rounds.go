package waiting

import (
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// rounds holds what the rounds of one service have found. Only the room's goroutine uses it.
type rounds struct {
	restUntil time.Time // no round is earlier, because the last one found no room
	// deep is set while deepRoundSize requests are tried, deepDue if the next round begins that. skip is how many
	// in order are left out of them, behind the first roundSize, and nextSkip that of the next time: if so many
	// requests have no room, those behind them must not wait for ever.
	deep, deepDue  bool
	skip, nextSkip int
	// vain are the least demanding requests of their classes for which there was no room in a generation.
	vain           map[any]int64
	vainGeneration uint64
}

func (r *Room) roundsOf(service routing.ServiceID) *rounds {
	s := r.rounds[service]
	if s == nil {
		s = &rounds{vain: map[any]int64{}}
		r.rounds[service] = s
	}
	return s
}

// begin begins a round.
func (s *rounds) begin() {
	if s.deepDue {
		s.deep, s.deepDue = true, false
		s.skip, s.nextSkip = s.nextSkip, 0
	}
}

// asks reports whether it is unknown in a generation if there is room for a request.
func (s *rounds) asks(t *Ticket, generation uint64) bool {
	if s.vainGeneration != generation {
		clear(s.vain)
		s.vainGeneration = generation
	}
	need, known := s.vain[t.class()]
	return !known || t.request.Need < need
}

// foundNone records that there is no room for a request in a generation.
func (s *rounds) foundNone(t *Ticket, generation uint64) { s.vain[t.class()] = t.request.Need }

// class returns the class of the request, that of the ticket alone if it has none.
func (t *Ticket) class() any {
	if t.request.Class == nil {
		return t
	}
	return t.request.Class
}

// found records which of the requests that were tried found room.
func (s *rounds) found(index int) {
	s.restUntil = time.Time{}
	if index < roundSize {
		s.deep = false
	}
}

// inVain records that none of so many requests found room.
func (s *rounds) inVain(now time.Time, tried int) {
	s.restUntil = now.Add(roundInterval)
	if s.deep && tried == deepRoundSize {
		s.nextSkip = max(s.skip, roundSize) + tried - roundSize
	}
	s.deep = false
}
