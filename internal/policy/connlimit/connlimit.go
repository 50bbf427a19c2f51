// Package connlimit decides which connections of clients a listener keeps.
//
// Invariant: at most Max connections are kept. If there is no room, the one that holds its place longest without having sent a whole
// request is closed, or else the one that is idle longest. Connections whose request is being served are never closed. Clients that are
// silent, or never end a request, therefore can't keep others out, and ordinary idle connections are kept while there is room.
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

// Set is the connections that are kept. It is not safe for concurrent use.
type Set[T any] struct {
	max   int
	lists [states]*list.List // oldest first
}

// New returns an empty Set that keeps at most maxConns connections.
func New[T any](maxConns int) *Set[T] {
	s := &Set[T]{max: maxConns}
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

// Shed removes the connection that is to be closed next. It returns nil if all serve requests.
func (s *Set[T]) Shed() *Entry[T] {
	for _, state := range []State{Receiving, Idle} {
		if front := s.lists[state].Front(); front != nil {
			e := front.Value.(*Entry[T])
			s.Remove(e)
			return e
		}
	}
	return nil
}

// ShedBefore removes the oldest connection that receives a request and began before e, and that match accepts. It returns nil if there is
// none.
func (s *Set[T]) ShedBefore(e *Entry[T], match func(T) bool) *Entry[T] {
	for el := s.lists[Receiving].Front(); el != nil && el != e.element; el = el.Next() {
		if older := el.Value.(*Entry[T]); match(older.Conn) {
			s.Remove(older)
			return older
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
