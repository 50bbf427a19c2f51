// Package connlimit decides which connections of clients a listener keeps.
//
// Invariant: at most Max connections are kept. If there is no room, the one that holds its place longest without having sent a whole
// request is closed, or else the one that is idle longest, or else one whose client doesn't take its answer, which goes before clients that have
// just connected. Other connections whose request is being served are never closed. Clients that are silent, never end a request or read nothing
// therefore can't keep others out, and ordinary idle connections are kept while there is room.
//
// The package is pure: it holds no clock, I/O, goroutine or randomness.
package connlimit

import "container/list"

// State is what a connection is used for.
type State int

// States of connections.
const (
	Receiving State = iota // no whole request has been received since it was opened or was idle
	Serving                // a whole request is being served
	Idle                   // its last request has been answered
	states
)

// Entry is a connection that is kept. It belongs to one Set.
type Entry[T any] struct {
	Conn    T
	state   State
	element *list.Element // in the list of state; nil: it is no longer kept
}

// State returns what the connection is used for.
func (e *Entry[T]) State() State { return e.state }

// Kept reports whether the connection is still kept.
func (e *Entry[T]) Kept() bool { return e.element != nil }

// maxExamined bounds the connections that are examined for one that gives way.
const maxExamined = 64

// Set is the connections that are kept. It is not safe for concurrent use.
type Set[T any] struct {
	max     int
	clients Clients[T]
	lists   [states]*list.List // oldest first, but for Serving
}

// Clients tells how clients behave.
type Clients[T any] struct {
	Overdue func(T) bool // it has had the time to send a whole request
	Stalled func(T) bool // it doesn't take the answer to its request, which is being served
}

// New returns an empty Set that keeps at most maxConns connections.
func New[T any](maxConns int, clients Clients[T]) *Set[T] {
	s := &Set[T]{max: maxConns, clients: clients}
	for i := range s.lists {
		s.lists[i] = list.New()
	}
	return s
}

// Len returns the number of connections in a state.
func (s *Set[T]) Len(state State) int { return s.lists[state].Len() }

func (s *Set[T]) total() int {
	n := 0
	for _, l := range s.lists {
		n += l.Len()
	}
	return n
}

// Add adds a new connection. If there is no room, closed is the connection that gave way, or added is nil if none could.
func (s *Set[T]) Add(conn T) (added, closed *Entry[T]) {
	if s.total() >= s.max {
		if closed = s.Shed(); closed == nil {
			return nil, nil
		}
	}
	e := &Entry[T]{Conn: conn, state: Receiving}
	e.element = s.lists[Receiving].PushBack(e)
	return e, closed
}

// Shed removes the connection that is to be closed next. It returns nil if all serve requests of clients that take their answers.
func (s *Set[T]) Shed() *Entry[T] {
	receiving, idle := s.lists[Receiving].Front(), s.lists[Idle].Front()
	switch {
	case receiving != nil && s.clients.Overdue(receiving.Value.(*Entry[T]).Conn):
		return s.removeElement(receiving)
	case receiving != nil:
		if e := s.shedStalled(); e != nil {
			return e
		}
		return s.removeElement(receiving)
	case idle != nil:
		return s.removeElement(idle)
	}
	return s.shedStalled()
}

func (s *Set[T]) removeElement(el *list.Element) *Entry[T] {
	e := el.Value.(*Entry[T])
	s.Remove(e)
	return e
}

// shedStalled removes a connection whose client doesn't take its answer. Of many connections it examines some, and others at the next call.
func (s *Set[T]) shedStalled() *Entry[T] {
	serving := s.lists[Serving]
	for range min(maxExamined, serving.Len()) {
		front := serving.Front()
		if s.clients.Stalled(front.Value.(*Entry[T]).Conn) {
			return s.removeElement(front)
		}
		serving.MoveToBack(front)
	}
	return nil
}

// ShedBefore removes the oldest connection that receives a request and began before e, and that match accepts. It returns nil if there is
// none.
func (s *Set[T]) ShedBefore(e *Entry[T], match func(T) bool) *Entry[T] {
	for el := s.lists[Receiving].Front(); el != nil && el != e.element; el = el.Next() {
		if match(el.Value.(*Entry[T]).Conn) {
			return s.removeElement(el)
		}
	}
	return nil
}

// Move changes the state of a connection that is kept. One that receives a request keeps its age until that is whole.
func (s *Set[T]) Move(e *Entry[T], to State) {
	if !e.Kept() || e.state == to {
		return
	}
	s.lists[e.state].Remove(e.element)
	e.state, e.element = to, s.lists[to].PushBack(e)
}

// Remove removes a connection that is closed. It may be called more than once.
func (s *Set[T]) Remove(e *Entry[T]) {
	if !e.Kept() {
		return
	}
	s.lists[e.state].Remove(e.element)
	e.element = nil
}
