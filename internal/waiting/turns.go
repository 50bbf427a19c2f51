package waiting

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/waitroom"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// run gives turns while something waits.
func (r *Room) run() {
	defer close(r.stopped)
	for {
		select {
		case <-r.done:
			return
		case <-r.wake:
		}
		if !r.serve() {
			return
		}
	}
}

// serve gives turns until nothing waits. It returns false if the room is closed.
func (r *Room) serve() bool {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for r.waiting.Load() > 0 {
		select {
		case <-r.done:
			return false
		case <-r.round():
		case <-r.wake:
		case <-r.turnOverdue():
		case now := <-ticker.C:
			r.tick(now)
		}
	}
	clear(r.rounds)
	r.logWaiting(time.Now())
	return true
}

// turnOverdue returns a channel that is ready when a further request may get its turn beside those that
// are being placed, nil if none is.
func (r *Room) turnOverdue() <-chan time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.turns) == 0 {
		return nil
	}
	return time.After(r.o.TurnTime)
}

// tick looks for room that no replica reports, and refuses and reports at their intervals.
func (r *Room) tick(now time.Time) {
	r.generation.Add(1)
	if now.Sub(r.lastExpire) >= expireInterval {
		r.lastExpire = now
		r.expire(now)
	}
	if now.Sub(r.lastDeep) >= deepInterval {
		r.lastDeep = now
		r.deepNow.Store(true)
	}
	if now.Sub(r.lastLog) >= logInterval {
		r.lastLog = now
		r.logWaiting(now)
	}
}

// round gives at most one turn for each service. The channel is ready when a round that had to be put off is
// due, nil if there is none.
func (r *Room) round() <-chan time.Time {
	var next time.Time
	now := time.Now()
	deep := r.deepNow.Swap(false)
	for _, service := range r.services() {
		rounds := r.roundsOf(service)
		rounds.deepDue = rounds.deepDue || deep
		rest := rounds.restUntil
		if !now.Before(rest) {
			r.give(service)
			continue
		}
		if next.IsZero() || rest.Before(next) {
			next = rest
		}
	}
	if next.IsZero() {
		return nil
	}
	return time.After(next.Sub(now))
}

func (r *Room) services() []routing.ServiceID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Services()
}

// give gives the turn to the first request of a service that finds room. Requests are asked without
// the lock, because they look at all replicas.
func (r *Room) give(service routing.ServiceID) {
	generation := r.generation.Load()
	rounds := r.roundsOf(service)
	candidates := r.candidates(service, rounds)
	if candidates == nil {
		return
	}
	for i, t := range candidates {
		if r.failedIn(t, generation) || !rounds.asks(t, generation) {
			continue
		}
		if !t.request.HasRoom() {
			rounds.foundNone(t, generation)
			continue
		}
		if failed := r.failedBefore(candidates[:i], generation); failed != nil {
			r.grant(failed, nil, generation)
			return
		}
		passed := candidates[:i]
		if rounds.skip > 0 && i >= roundSize {
			passed = candidates[:roundSize]
			r.overtakeBefore(t)
		}
		rounds.found(i)
		r.grant(t, passed, generation)
		return
	}
	rounds.inVain(time.Now(), len(candidates))
}

// candidates returns the requests of a service that may get the next turn, in order. There are none
// while one that has its turn is being placed.
func (r *Room) candidates(service routing.ServiceID, rounds *rounds) []*Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	if turns := r.turns[service]; len(turns) >= maxTurns || len(turns) > 0 && now.Sub(turns[len(turns)-1].granted) < r.o.TurnTime {
		return nil
	}
	rounds.begin()
	var entries []*waitroom.Entry
	switch {
	case !rounds.deep:
		entries = r.core.Candidates(now, service, roundSize)
	case rounds.skip == 0:
		entries = r.core.Candidates(now, service, deepRoundSize)
	default:
		entries = r.core.Candidates(now, service, roundSize)
		entries = append(entries, r.core.CandidatesAfter(now, service, rounds.skip, deepRoundSize-roundSize)...)
	}
	candidates := make([]*Ticket, len(entries))
	for i, e := range entries {
		candidates[i] = r.tickets[e]
	}
	return candidates
}

func (r *Room) failedIn(t *Ticket, generation uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return t.failed == generation
}

// failedBefore returns the first of some requests whose turn in a generation found no room, nil if there is none: the room that a request behind it
// finds may have come since, unreported. It is returned once a generation, so that one whose HasRoom is wrong keeps no room from the others.
func (r *Room) failedBefore(candidates []*Ticket, generation uint64) *Ticket {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, t := range candidates {
		if t.failed == generation && t.retried != generation {
			t.retried = generation
			return t
		}
	}
	return nil
}

// overtakeBefore records that the requests before one that found room were found to have none by earlier rounds.
func (r *Room) overtakeBefore(t *Ticket) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tickets[t.entry] == t {
		r.core.OvertakeBefore(time.Now(), t.entry)
	}
}

// grant gives a request its turn. passed are those before it for which there was no room.
func (r *Room) grant(t *Ticket, passed []*Ticket, generation uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	var entries []*waitroom.Entry
	for _, p := range passed {
		entries = append(entries, p.entry)
	}
	if r.tickets[t.entry] != t || !r.core.Grant(now, t.entry, entries) {
		return
	}
	r.metrics.passed.Inc(int64(len(passed)))
	t.granted, t.generation = now, generation
	r.turns[t.request.Service] = append(r.turns[t.request.Service], t)
	t.turn <- nil
}

// endTurn ends the turn of a request, if it has one.
func (r *Room) endTurn(t *Ticket) {
	if t.granted.IsZero() {
		return
	}
	t.granted = time.Time{}
	service := t.request.Service
	turns := slices.DeleteFunc(r.turns[service], func(other *Ticket) bool { return other == t })
	if len(turns) == 0 {
		delete(r.turns, service)
		return
	}
	r.turns[service] = turns
}

// expire refuses those that can't be served in time any more.
func (r *Room) expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refuse(r.core.Expire(now))
	r.count()
}
