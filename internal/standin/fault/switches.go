// Package fault provides fault injection for the stand-ins of platform components:
// a Switches value, the HTTP interface that sets it (/fault), and a Server whose
// connections and handlers apply it. Stand-ins are for tests only.
//
//	GET  /fault   Status
//	POST /fault   Command -> Status
//
// Requests to /fault are served regardless of all switches except Die and RefuseMillis.
package fault

import (
	"context"
	"math/rand"
	"os"
	"strings"
	"sync"
	"time"
)

// exitCode is the exit status of a stand-in process that the Die switch or the crash
// marker ended.
const exitCode = 3

// Options configures New.
type Options struct {
	// Seed seeds the random source of the switches that apply at a rate.
	Seed int64
	// Die terminates the stand-in immediately. If it is nil, the process exits. A
	// stand-in that runs inside a test sets it to close its Server.
	Die func()
}

// Status is the current setting of all switches.
type Status struct {
	Frozen           bool    `json:"frozen"`
	Slow             float64 `json:"slow"`           // factor applied to all simulated times
	DelayMillis      int64   `json:"delay_ms"`       // delay before each request is handled
	CloseConns       bool    `json:"cut"`            // close the connection of each request unanswered
	DropResponses    int     `json:"lose_answers"`   // number of next requests that take effect but get no response
	DropResponseRate float64 `json:"lose_rate"`      // share of further requests that get no response
	SwapFrames       int     `json:"swap_answers"`   // number of next frame pairs to swap
	SkipEvents       int     `json:"skip_events"`    // number of next cache events to skip
	SkipEventRate    float64 `json:"skip_rate"`      // share of further cache events to skip
	TearReads        int     `json:"tear_reads"`     // number of next object reads that return truncated content
	CrashMarker      string  `json:"crash_marker"`   // a prompt or body that contains it crashes the stand-in
	Leaving          bool    `json:"leaving"`        // the load report says that the stand-in is leaving
	Full             bool    `json:"full"`           // refuse new objects for lack of space
	Framing          Framing `json:"framing"`        // what tells the end of each answer
	BreakAnswers     int     `json:"break_answers"`  // number of next answers with a body that break off; not of probes
	BreakEnd         End     `json:"break_end"`      // how these answers end
	RefuseMillis     int64   `json:"refuse_ms"`      // duration of the last command to refuse connections
	Blackholed       int     `json:"silenced_total"` // connections blackholed so far
}

// Command changes switches. Absent fields keep their setting.
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
	Framing          *Framing `json:"framing,omitempty"`
	BreakAnswers     *int     `json:"break_answers,omitempty"`
	BreakEnd         *End     `json:"break_end,omitempty"`
	RefuseMillis     *int64   `json:"refuse_ms,omitempty"` // close open connections and refuse new ones for this long
	Blackhole        bool     `json:"silent,omitempty"`    // blackhole all open connections permanently
}

// Switches holds the faults of one stand-in. It is safe for concurrent use.
type Switches struct {
	die func()

	mu          sync.Mutex
	rng         *rand.Rand
	status      Status
	unfrozen    chan struct{} // closed while the stand-in is not frozen
	refuseUntil time.Time
	conns       map[*Conn]struct{}
}

// New returns Switches with no fault set.
func New(o Options) *Switches {
	thawed := make(chan struct{})
	close(thawed)
	s := &Switches{
		die:      o.Die,
		rng:      rand.New(rand.NewSource(o.Seed)),
		status:   Status{Slow: 1, BreakEnd: EndCut},
		unfrozen: thawed,
		conns:    make(map[*Conn]struct{}),
	}
	if s.die == nil {
		s.die = func() { os.Exit(exitCode) }
	}
	return s
}

// SetDie replaces the function that terminates the stand-in. It must be called before
// the stand-in serves.
func (s *Switches) SetDie(die func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.die = die
}

// Status returns the current setting of all switches.
func (s *Switches) Status() Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.status
}

// Apply executes a command and returns the new setting.
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
	setIfPresent(&s.status.Framing, c.Framing)
	setIfPresent(&s.status.BreakAnswers, c.BreakAnswers)
	setIfPresent(&s.status.BreakEnd, c.BreakEnd)
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
	closeConns := c.CloseConns != nil && *c.CloseConns
	refuseConns := c.RefuseMillis != nil && *c.RefuseMillis > 0
	if !closeConns && !refuseConns {
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

// WaitUnfrozen blocks until the stand-in is not frozen, or returns the context's error.
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

// Scale returns d multiplied by the slow factor.
func (s *Switches) Scale(d time.Duration) time.Duration {
	return time.Duration(float64(d) * s.Status().Slow)
}

// TakeDroppedResponse reports whether the response to this request must be dropped,
// and consumes one drop.
func (s *Switches) TakeDroppedResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeLocked(&s.status.DropResponses, s.status.DropResponseRate)
}

// TakeSwappedFrame reports whether this frame must be swapped, and consumes one swap.
func (s *Switches) TakeSwappedFrame() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeLocked(&s.status.SwapFrames, 0)
}

// TakeSkippedEvent reports whether this cache event must be skipped, and consumes one
// skip.
func (s *Switches) TakeSkippedEvent() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeLocked(&s.status.SkipEvents, s.status.SkipEventRate)
}

// TakeTornRead reports whether this object read must be torn, and consumes one tear.
func (s *Switches) TakeTornRead() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.takeLocked(&s.status.TearReads, 0)
}

// takeBrokenAnswer returns how this answer breaks off, and consumes one break. It returns an empty End if the answer is whole.
func (s *Switches) takeBrokenAnswer() End {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.takeLocked(&s.status.BreakAnswers, 0) {
		return ""
	}
	return s.status.BreakEnd
}

// kill terminates the stand-in.
func (s *Switches) kill() {
	s.mu.Lock()
	die := s.die
	s.mu.Unlock()
	die()
}

func (s *Switches) takeLocked(count *int, rate float64) bool {
	if *count > 0 {
		*count--
		return true
	}
	return rate > 0 && s.rng.Float64() < rate
}

// CrashOnMarker terminates the stand-in if text contains the crash marker, and reports
// whether it did.
func (s *Switches) CrashOnMarker(text string) bool {
	s.mu.Lock()
	marker := s.status.CrashMarker
	s.mu.Unlock()
	if marker == "" || !strings.Contains(text, marker) {
		return false
	}
	s.kill()
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
