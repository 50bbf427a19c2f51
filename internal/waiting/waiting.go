// Package waiting holds the callers of a daemon whose requests wait for room at the replicas.
//
// Package waitroom decides the order and the refusals. This package gives the turns: one at a time for
// each service, so that one replica's room wakes one request. A request with its turn keeps its place
// until it is placed, so that one that finds no room after all loses nothing.
package waiting

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/policy/waitroom"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// tickInterval is how often room is looked for while something waits and no replica reports any:
	// rate limits and backoffs of replicas end without an event.
	tickInterval = 20 * time.Millisecond
	// expireInterval is how often it is checked who can't be served in time any more.
	expireInterval = 100 * time.Millisecond
	// roundInterval is the shortest time from a round that finds no room for a service to its next one. It
	// bounds how often replicas that report room to no avail make the daemon look at all of them.
	roundInterval = 10 * time.Millisecond
	// roundSize is how many requests of a service are offered the same room.
	roundSize = 4
	// deepRoundSize is how many are offered it each deepInterval, and as long as only later ones than the first
	// roundSize find any: requests whose replicas are all down must not stop the others.
	deepRoundSize = 64
	deepInterval  = 100 * time.Millisecond
	// maxTurns is how many requests of a service may have their turn at once, if their placement takes
	// longer than Options.TurnTime.
	maxTurns = 16
	// DefaultTurnTime is the TurnTime if none is given. Most placements take less.
	DefaultTurnTime = 5 * time.Millisecond
	// arrivalInterval is the shortest time between two requests that are asked for room in vain when they
	// come, because the estimate would refuse them.
	arrivalInterval = 20 * time.Millisecond
)

// Options configures New.
type Options struct {
	MaxRequests int   // that wait
	MaxBytes    int64 // of their bodies
	// TurnTime is the time after which a further request gets its turn beside one that is not placed yet; zero: DefaultTurnTime. Order among
	// requests whose turns overlap is not kept.
	TurnTime time.Duration
	Logger   hclog.Logger
	Metrics  tally.Scope
}

// Request is a request that wants to wait.
type Request struct {
	waitroom.Item
	// Stream is set if a draining daemon accepts the request only for a part of its grace period.
	Stream bool
	// HasRoom reports whether a replica may have room for the request now. It must not block, and is
	// called by another goroutine while the request waits.
	HasRoom func() bool
	// Class is comparable. If there is no room for a request, there is none for another one of its class whose
	// Need is as large or larger. Nil: nothing is known about other requests.
	Class any
	Need  int64
}

// Refusal is the error of a request that can't be served. It has reached no replica while it waited.
type Refusal struct {
	Reason     waitroom.Reason
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("waiting: refused (%s), return in %s", r.Reason, r.RetryAfter)
}

// Room holds the waiting requests of a daemon. It is safe for concurrent use.
type Room struct {
	o          Options
	metrics    roomMetrics
	waiting    atomic.Int64  // requests that wait; read without the lock by those that need not
	generation atomic.Uint64 // counts the occasions on which room may have come
	deepNow    atomic.Bool   // the next round of each service has deepRoundSize
	wake       chan struct{}
	done       chan struct{}
	stopped    chan struct{}
	closeOnce  sync.Once

	// The room's goroutine alone uses these.
	lastExpire, lastDeep, lastLog time.Time
	rounds                        map[routing.ServiceID]*rounds

	mu           sync.Mutex
	core         *waitroom.Room
	tickets      map[*waitroom.Entry]*Ticket
	turns        map[routing.ServiceID][]*Ticket // those that have their turn, the newest last
	streamsUntil time.Time                       // streams wait no longer than this; zero: no bound
	askedInVain  time.Time                       // when a request that came found no room
	closed       bool
}

// New returns a room. Close ends it.
func New(o Options) *Room {
	if o.Logger == nil {
		o.Logger = hclog.NewNullLogger()
	}
	if o.Metrics == nil {
		o.Metrics = tally.NoopScope
	}
	if o.TurnTime <= 0 {
		o.TurnTime = DefaultTurnTime
	}
	o.Logger = o.Logger.Named("waiting")
	r := &Room{
		o: o, metrics: newRoomMetrics(o.Metrics),
		wake: make(chan struct{}, 1), done: make(chan struct{}), stopped: make(chan struct{}),
		core:    waitroom.New(waitroom.Params{MaxRequests: o.MaxRequests, MaxBytes: o.MaxBytes}),
		tickets: map[*waitroom.Entry]*Ticket{}, turns: map[routing.ServiceID][]*Ticket{},
		rounds: map[routing.ServiceID]*rounds{},
	}
	r.generation.Store(1) // 0 is no generation
	go r.run()
	return r
}

// Ticket is the place of a request that waits. Exactly one goroutine uses it.
type Ticket struct {
	room    *Room
	request *Request
	entry   *waitroom.Entry
	turn    chan *Refusal // receives nil with a turn, or a refusal
	behind  waitroom.Behind
	since   time.Time     // begin of the current wait
	waited  time.Duration // total of the waits before
	// The room's lock guards these.
	granted    time.Time // zero if the ticket has no turn
	generation uint64    // in which it was asked for the turn
	failed     uint64    // generation in which there was no room in spite of HasRoom
	retried    uint64    // generation in which it got its turn once more
}

// MayEnter reports whether no request of a service waits that is at least as urgent.
func (r *Room) MayEnter(service routing.ServiceID, priority int) bool {
	if r.waiting.Load() == 0 {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return !r.core.Waits(service, priority)
}

// Started counts work that started without waiting. It shows how much room there is.
func (r *Room) Started(service routing.ServiceID, cost int64) {
	if r.waiting.Load() == 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.core.Started(time.Now(), service, cost)
}

// Wait waits until the request has its turn. The error is a *Refusal or that of ctx. The caller ends
// the turn with Placed, NoRoom or Leave.
func (r *Room) Wait(ctx context.Context, request *Request) (*Ticket, error) {
	t := r.enter(time.Now(), request)
	return t, t.wait(ctx)
}

func (r *Room) enter(now time.Time, request *Request) *Ticket {
	t := &Ticket{room: r, request: request, turn: make(chan *Refusal, 1), since: now}
	request.Room = r.hasRoomOnArrival(now, request)
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.closed {
		t.turn <- &Refusal{Reason: waitroom.Closed, RetryAfter: waitroom.MinRetryAfter}
		return t
	}
	if request.Stream && !r.streamsUntil.IsZero() && r.streamsUntil.Before(request.LatestStart) {
		request.LatestStart = r.streamsUntil
	}
	t.behind = r.core.Behind(now, request.Service, request.Priority)
	entry, dropped := r.core.Push(now, request.Item)
	t.entry = entry
	r.tickets[entry] = t
	r.refuse(dropped)
	r.count()
	r.generation.Add(1) // else room that nobody reported would go to the new one, past those that found none
	if request.Room {
		r.deepNow.Store(true)
	}
	if len(r.tickets) <= deepRoundSize || request.Room {
		r.signal() // those that wait may do so for reasons of their own
	}
	return t
}

// hasRoomOnArrival reports whether a replica has room for a request that the estimate would refuse.
func (r *Room) hasRoomOnArrival(now time.Time, request *Request) bool {
	if r.waiting.Load() == 0 || !r.asksOnArrival(now, request) {
		return false
	}
	if request.HasRoom() {
		return true
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.askedInVain = now
	return false
}

func (r *Room) asksOnArrival(now time.Time, request *Request) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return now.Sub(r.askedInVain) >= arrivalInterval && !r.core.InTime(now, request.Item)
}

// wait waits for the turn.
func (t *Ticket) wait(ctx context.Context) error {
	select {
	case refusal := <-t.turn:
		t.stopClock()
		if refusal != nil {
			t.room.metrics.wait.RecordDuration(t.waited)
			return refusal
		}
		return nil
	case <-ctx.Done():
		t.stopClock()
		t.Leave()
		return ctx.Err()
	}
}

func (t *Ticket) stopClock() {
	t.waited += time.Since(t.since)
}

// Waited returns how long the request has waited.
func (t *Ticket) Waited() time.Duration { return t.waited }

// Behind returns what waited before the request when it came.
func (t *Ticket) Behind() waitroom.Behind { return t.behind }

// Placed ends the turn of a request that a replica takes.
func (t *Ticket) Placed() { t.end((*waitroom.Room).Start) }

// Leave ends the wait or the turn of a request that is not placed. It does nothing after Placed.
func (t *Ticket) Leave() {
	t.end(func(core *waitroom.Room, now time.Time, e *waitroom.Entry) { core.Remove(now, e) })
}

func (t *Ticket) end(how func(*waitroom.Room, time.Time, *waitroom.Entry)) {
	r := t.room
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tickets[t.entry] != t {
		return
	}
	how(r.core, time.Now(), t.entry)
	r.metrics.wait.RecordDuration(t.waited)
	r.forget(t)
	r.count()
	r.signal()
}

// NoRoom ends the turn of a request for which there was no room, and waits for the next one at the
// same place. The error is that of Wait.
func (t *Ticket) NoRoom(ctx context.Context) error {
	r := t.room
	r.mu.Lock()
	if r.tickets[t.entry] != t {
		r.mu.Unlock()
		return &Refusal{Reason: waitroom.Closed, RetryAfter: waitroom.MinRetryAfter}
	}
	now := time.Now()
	t.failed = t.generation // room that came during the placement has not been tried
	t.since = now
	r.endTurn(t)
	r.core.Return(now, t.entry)
	r.metrics.noRoom.Inc(1)
	if r.closed {
		r.refuse(r.core.Close(now))
		r.count()
	}
	r.signal() // a request behind this one may find room
	r.mu.Unlock()
	return t.wait(ctx)
}

// OnRoom tells that a replica may have room. It does not block.
func (r *Room) OnRoom(*replicas.Replica) {
	if r.waiting.Load() == 0 {
		return
	}
	r.generation.Add(1)
	r.signal()
}

// Drain bounds how long streams wait: after the given time a draining daemon refuses new ones.
func (r *Room) Drain(streamsUntil time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.streamsUntil = streamsUntil
	now := time.Now()
	for entry, t := range r.tickets {
		if t.request.Stream {
			r.core.Limit(now, entry, streamsUntil)
		}
	}
}

// Close refuses all that waits and all that would have to wait, and stops the room's goroutine.
func (r *Room) Close() {
	r.closeOnce.Do(func() {
		r.mu.Lock()
		r.closed = true
		r.refuse(r.core.Close(time.Now()))
		r.count()
		r.mu.Unlock()
		close(r.done)
	})
	<-r.stopped
}

// signal wakes the goroutine that gives the turns.
func (r *Room) signal() {
	select {
	case r.wake <- struct{}{}:
	default: // it will run anyway
	}
}

// refuse answers dropped requests.
func (r *Room) refuse(dropped []waitroom.Dropped) {
	for _, d := range dropped {
		t := r.tickets[d.Entry]
		r.forget(t)
		r.metrics.refused(d.Reason)
		t.turn <- &Refusal{Reason: d.Reason, RetryAfter: d.RetryAfter}
	}
}

func (r *Room) forget(t *Ticket) {
	delete(r.tickets, t.entry)
	r.endTurn(t)
}

func (r *Room) count() { r.waiting.Store(int64(len(r.tickets))) }
