package kv

import (
	"sync"
	"time"
)

// Counts of calls since the start. Watches and lists count as one call each.
type Counts struct {
	Reads            int64            `json:"reads"`
	Writes           int64            `json:"writes"`
	Watches          int64            `json:"watches"`
	Rejected         int64            `json:"rejected"` // above the rates, too large, or during a fault
	DroppedResponses int64            `json:"lost"`     // answers lost after their write took effect
	Bytes            int64            `json:"bytes"`    // of values, in and out
	ByClient         map[string]int64 `json:"by_client"`
}

// FaultRequest sets fault switches (POST /fault); absent fields stay as they are.
type FaultRequest struct {
	Down               *bool    `json:"down,omitempty"`
	SlowMillis         *int64   `json:"slow_ms,omitempty"`
	DropWriteResponses *int     `json:"lose_writes,omitempty"` // answers of the next writes are lost after they took effect
	Partition          []string `json:"cut,omitempty"`         // clients that no longer reach the service
	Restore            []string `json:"restore,omitempty"`     // clients that reach it again
}

// switches hold the faults in force and the counts.
type switches struct {
	mu            sync.Mutex
	down          bool
	slow          time.Duration
	dropResponses int
	partitioned   map[string]bool
	counts        Counts
}

func newSwitches() *switches {
	return &switches{partitioned: map[string]bool{}, counts: Counts{ByClient: map[string]int64{}}}
}

// SetDown makes every call fail without effect.
func (s *switches) SetDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
}

// SetSlow delays every answer.
func (s *switches) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// DropWriteResponses loses the answers of the next n writes after they took effect.
func (s *switches) DropWriteResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// Partition parts one client from the service; Cut(client, false) joins it again.
func (s *switches) Partition(client string, partitioned bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitioned[client] = partitioned
}

// Counts returns a copy of the call counts.
func (s *switches) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.counts
	out.ByClient = make(map[string]int64, len(s.counts.ByClient))
	for k, v := range s.counts.ByClient {
		out.ByClient[k] = v
	}
	return out
}

// Apply sets the switches of a request.
func (s *switches) Apply(f FaultRequest) {
	if f.Down != nil {
		s.SetDown(*f.Down)
	}
	if f.SlowMillis != nil {
		s.SetSlow(time.Duration(*f.SlowMillis) * time.Millisecond)
	}
	if f.DropWriteResponses != nil {
		s.DropWriteResponses(*f.DropWriteResponses)
	}
	for _, c := range f.Partition {
		s.Partition(c, true)
	}
	for _, c := range f.Restore {
		s.Partition(c, false)
	}
}

// callClass of a call, for counts and rates.
type callClass int

const (
	classRead callClass = iota
	classWrite
	classWatch
)

// recordCall counts a call and reports how long to delay it and whether it is reachable.
func (s *switches) recordCall(client string, c callClass, bytes int) (slow time.Duration, reachable bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.ByClient[client]++
	s.counts.Bytes += int64(bytes)
	switch c {
	case classRead:
		s.counts.Reads++
	case classWrite:
		s.counts.Writes++
	case classWatch:
		s.counts.Watches++
	}
	if s.down || s.partitioned[client] {
		s.counts.Rejected++
		return 0, false
	}
	return s.slow, true
}

func (s *switches) recordRejected() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Rejected++
}

func (s *switches) recordBytes(bytes int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Bytes += int64(bytes)
}

// takeDroppedResponse reports whether the answer of this write is to be lost.
func (s *switches) takeDroppedResponse() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dropResponses == 0 {
		return false
	}
	s.dropResponses--
	s.counts.DroppedResponses++
	return true
}
