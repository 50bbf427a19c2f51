package kv

import (
	"sync"
	"time"
)

// Counts holds the numbers of calls since the start. A watch or a list counts as one
// call.
type Counts struct {
	Reads            int64            `json:"reads"`
	Writes           int64            `json:"writes"`
	Watches          int64            `json:"watches"`
	Rejected         int64            `json:"rejected"` // rate-limited, too large, or failed by a fault
	DroppedResponses int64            `json:"lost"`     // responses dropped after their write took effect
	Bytes            int64            `json:"bytes"`    // bytes of values, received and sent
	ByClient         map[string]int64 `json:"by_client"`
}

// FaultRequest sets fault switches (POST /fault). Absent fields keep their setting.
type FaultRequest struct {
	Down               *bool    `json:"down,omitempty"`
	SlowMillis         *int64   `json:"slow_ms,omitempty"`
	DropWriteResponses *int     `json:"lose_writes,omitempty"` // number of next writes that take effect but get no response
	Partition          []string `json:"cut,omitempty"`         // clients to partition from the service
	Restore            []string `json:"restore,omitempty"`     // clients whose partition ends
}

// switches holds the active faults and the call counts.
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

// SetSlow delays every response by d.
func (s *switches) SetSlow(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = d
}

// DropWriteResponses drops the responses of the next n writes after they took effect.
func (s *switches) DropWriteResponses(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dropResponses = n
}

// Partition partitions one client from the service, or ends its partition if partitioned
// is false.
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

// Apply sets the switches that are present in a request.
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

// callClass is the class of a call, for counts and rate limits.
type callClass int

const (
	classRead callClass = iota
	classWrite
	classWatch
)

// recordCall counts a call and returns how long to delay it and whether its client can
// reach the service.
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

// takeDroppedResponse reports whether the response to this write must be dropped, and
// consumes and counts one drop.
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
