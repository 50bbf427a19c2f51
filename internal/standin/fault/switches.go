// Package fault holds the fault switches that every stand-in of a platform part
// shares: a Switches value, the HTTP interface that sets it (/fault), and a Server
// whose connections and handlers obey it. Stand-ins are for tests only.
//
//	GET  /fault   Status
//	POST /fault   Command -> Status
//
// Requests to /fault are answered in spite of all switches but Die and RefuseMillis.
package fault

import (
	"context"
	"math/rand"
	"os"
	"strings"
	"sync"
	"time"
)

// exitCode is the status of a stand-in process that died by a switch.
const exitCode = 3

// Options of New.
type Options struct {
	// Seed drives the switches that work by rate.
	Seed int64
	// Die ends the stand-in at once. Nil ends the process. A stand-in that runs inside
	// a test sets it to close its Server.
	Die func()
}

// Status is the setting of all switches.
type Status struct {
	Frozen           bool    `json:"frozen"`
	Slow             float64 `json:"slow"`           // factor on all simulated times
	DelayMillis      int64   `json:"delay_ms"`       // before each request is handled
	CloseConns       bool    `json:"cut"`            // each request's connection is closed
	DropResponses    int     `json:"lose_answers"`   // next requests that take effect unanswered
	DropResponseRate float64 `json:"lose_rate"`      // share of further requests that do
	SwapFrames       int     `json:"swap_answers"`   // next pairs of frames to swap
	SkipEvents       int     `json:"skip_events"`    // next cache events to leave out
	SkipEventRate    float64 `json:"skip_rate"`      // share of further cache events to leave out
	TearReads        int     `json:"tear_reads"`     // next object reads to answer with torn content
	CrashMarker      string  `json:"crash_marker"`   // a prompt that contains it ends the stand-in
	Leaving          bool    `json:"leaving"`        // reported as leaving
	Full             bool    `json:"full"`           // refuses new objects for lack of room
	RefuseMillis     int64   `json:"refuse_ms"`      // last order to refuse connections, in milliseconds
	Blackholed       int     `json:"silenced_total"` // connections made silent so far
}

// Command changes switches; absent fields stay as they are.
type Command struct {
	Die              bool     `json:"die,omitempty"`
	Freeze           *bool    `json:"freeze,omitempty"`
	Slow             *float64 `json:"slow,omitempty"`
	DelayMillis      *int64   `json:"delay_ms,omitempty"`
	CloseConns       *bool    `json:"cut,omitempty"`
	DropResponses    *int     `json:"lose_answers,omitempty"`
	DropResponseRate *float64 `json:"lose_rate,omitempty"`
	SwapFrames       *int     `json:"swap_answers,omitempty"`
	SkipEvents       *int     `json:"skip_events,omitempty"`
	SkipEventRate    *float64 `json:"skip_rate,omitempty"`
	TearReads        *int     `json:"tear_reads,omitempty"`
	CrashMarker      *string  `json:"crash_marker,omitempty"`
	Leaving          *bool    `json:"leaving,omitempty"`
	Full             *bool    `json:"full,omitempty"`
	RefuseMillis     *int64   `json:"refuse_ms,omitempty"` // close connections and refuse new ones for so long
	Blackhole        bool     `json:"silent,omitempty"`    // make all open connections silent for good
}

// Switches holds the faults of one stand-in. It is safe for concurrent use.
type Switches struct {
	die func()

	mu          sync.Mutex
	rng         *rand.Rand
	status      Status
	unfrozen    chan struct{} // closed while not frozen
	refuseUntil time.Time
	conns       map[*Conn]struct{}
}

// New returns switches with no fault set.
func New(o Options) *Switches {
	thawed := make(chan struct{})
	close(thawed)
	s := &Switches{
		die:      o.Die,
		rng:      rand.New(rand.NewSource(o.Seed)),
		status:   Status{Slow: 1},
		unfrozen: thawed,
		conns:    make(map[*Conn]struct{}),
	}
	if s.die == nil {
		s.die = func() { os.Exit(exitCode) }
	}
	return s
}

// SetDie replaces what ends the stand-in; call it before the stand-in serves.
func (s *Switches) SetDie(die func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.die = die
}

// Status returns the setting of all switches.
func (s *Switches) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// Apply obeys a command and returns the new setting.
func (s *Switches) Apply(c Command) Status {
	s.mu.Lock()
	if c.Freeze != nil {
		s.freezeLocked(*c.Freeze)
	}
	setIfPresent(&s.status.Slow, c.Slow)
	setIfPresent(&s.status.DelayMillis, c.DelayMillis)
	setIfPresent(&s.status.CloseConns, c.CloseConns)
	setIfPresent(&s.status.DropResponses, c.DropResponses)
	setIfPresent(&s.status.DropResponseRate, c.DropResponseRate)
	setIfPresent(&s.status.SwapFrames, c.SwapFrames)
	setIfPresent(&s.status.SkipEvents, c.SkipEvents)
	setIfPresent(&s.status.SkipEventRate, c.SkipEventRate)
	setIfPresent(&s.status.TearReads, c.TearReads)
	setIfPresent(&s.status.CrashMarker, c.CrashMarker)
	setIfPresent(&s.status.Leaving, c.Leaving)
	setIfPresent(&s.status.Full, c.Full)
	setIfPresent(&s.status.RefuseMillis, c.RefuseMillis)
	if c.RefuseMillis != nil {
		s.refuseUntil = time.Now().Add(time.Duration(*c.RefuseMillis) * time.Millisecond)
	}
	if c.Blackhole {
		s.blackholeLocked()
	}
	closing := s.connsToCloseLocked(c)
	status, die := s.status, s.die
	s.mu.Unlock()

	for _, conn := range closing {
		conn.Close()
	}
	if c.Die {
		die()
	}
	return status
}

func setIfPresent[T any](field *T, value *T) {
	if value != nil {
		*field = *value
	}
}

func (s *Switches) freezeLocked(freeze bool) {
	switch {
	case freeze && !s.status.Frozen:
		s.unfrozen = make(chan struct{})
	case !freeze && s.status.Frozen:
		close(s.unfrozen)
	}
	s.status.Frozen = freeze
}

func (s *Switches) blackholeLocked() {
	for conn := range s.conns {
		if conn.blackhole() {
			s.status.Blackholed++
		}
	}
}

func (s *Switches) connsToCloseLocked(c Command) []*Conn {
	cut := c.CloseConns != nil && *c.CloseConns
	refuse := c.RefuseMillis != nil && *c.RefuseMillis > 0
	if !cut && !refuse {
		return nil
	}
	var closing []*Conn
	for conn := range s.conns {
		if !conn.control.Load() {
			closing = append(closing, conn)
		}
	}
	return closing
}

// WaitUnfrozen returns once the stand-in is not frozen, or with the context's error.
func (s *Switches) WaitUnfrozen(ctx context.Context) error {
	s.mu.Lock()
	thawed := s.unfrozen
	s.mu.Unlock()
	select {
	case <-thawed:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Scale returns d times the slow factor.
func (s *Switches) Scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.Status().Slow)
}

// TakeDroppedResponse tells whether this request's answer is to be lost, and counts it.
func (s *Switches) TakeDroppedResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeLocked(&s.status.DropResponses, s.status.DropResponseRate)
}

// TakeSwappedFrame tells whether this frame is to be swapped, and counts it.
func (s *Switches) TakeSwappedFrame() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeLocked(&s.status.SwapFrames, 0)
}

// TakeSkippedEvent tells whether this cache event is to be left out, and counts it.
func (s *Switches) TakeSkippedEvent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeLocked(&s.status.SkipEvents, s.status.SkipEventRate)
}

// TakeTornRead tells whether this object read is to be torn, and counts it.
func (s *Switches) TakeTornRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeLocked(&s.status.TearReads, 0)
}

func (s *Switches) takeLocked(count *int, rate float64) bool {
	if *count > 0 {
		*count--
		return true
	}
	return rate > 0 && s.rng.Float64() < rate
}

// CrashOnMarker ends the stand-in if text contains the crash marker, and tells
// whether it did.
func (s *Switches) CrashOnMarker(text string) bool {
	s.mu.Lock()
	marker, die := s.status.CrashMarker, s.die
	s.mu.Unlock()
	if marker == "" || !strings.Contains(text, marker) {
		return false
	}
	die()
	return true
}

func (s *Switches) refusing() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.refuseUntil)
}

func (s *Switches) add(conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[conn] = struct{}{}
}

func (s *Switches) remove(conn *Conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, conn)
}
