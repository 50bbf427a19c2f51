package connlimit

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"
)

// script runs the steps of a test case.
type script struct {
	set     *Set[string]
	entries map[string]*Entry[string]
	holding map[string]bool // a head
	stalled map[string]bool // its client takes no answer
	fresh   map[string]bool // it has had no time to send a request
	events  map[string][]string
}

func (s *script) note(event, conn string) { s.events[event] = append(s.events[event], conn) }

func (s *script) step(verb, conn string) {
	states := map[string]State{"serve": Serving, "idle": Idle, "receive": Receiving}
	switch verb {
	case "add":
		added, closed := s.set.Add(conn)
		if closed != nil {
			s.note("closed", closed.Conn)
		}
		if added == nil {
			s.note("refused", conn)
			return
		}
		s.entries[conn] = added
	case "remove":
		s.set.Remove(s.entries[conn])
	case "stall":
		s.stalled[conn] = true
	case "fresh":
		s.fresh[conn] = true
	case "hold":
		s.holding[conn] = true
	case "older":
		e := s.set.ShedBefore(s.entries[conn], func(c string) bool { return s.holding[c] })
		if e == nil {
			s.note("none", conn)
			return
		}
		s.note("closed", e.Conn)
	default:
		s.set.Move(s.entries[conn], states[verb])
	}
}

func (s *script) result() string {
	names := map[State]string{Receiving: "receiving", Serving: "serving", Idle: "idle"}
	var kept []string
	for conn, e := range s.entries {
		if e.Kept() {
			kept = append(kept, conn+" "+names[e.State()])
		}
	}
	slices.Sort(kept)
	out := strings.Join(kept, ", ") + "\n"
	for _, event := range []string{"closed", "refused", "none"} {
		if conns := s.events[event]; len(conns) > 0 {
			out += event + ": " + strings.Join(conns, " ") + "\n"
		}
	}
	return out
}

// TestConnectionsThatGiveWay guards against clients without a request that keep others out, and against the loss of ordinary connections.
func TestConnectionsThatGiveWay(t *testing.T) {
	datadriven.RunTest(t, "testdata/conns", func(t *testing.T, d *datadriven.TestData) string {
		var maxConns int
		d.ScanArgs(t, "max", &maxConns)
		s := &script{entries: map[string]*Entry[string]{}, holding: map[string]bool{}, stalled: map[string]bool{}, fresh: map[string]bool{}, events: map[string][]string{}}
		s.set = New(maxConns, Clients[string]{
			Overdue: func(c string) bool { return !s.fresh[c] },
			Stalled: func(c string) bool { return s.stalled[c] },
		})
		for _, line := range strings.Split(d.Input, "\n") {
			verb, conn, _ := strings.Cut(line, " ")
			s.step(verb, conn)
		}
		return s.result()
	})
}

// TestNeverMoreThanMax guards against connections that are counted wrongly after any order of events.
func TestNeverMoreThanMax(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		maxConns := rapid.IntRange(1, 5).Draw(t, "max")
		overdue, stalls := rapid.Bool().Draw(t, "overdue"), rapid.Bool().Draw(t, "stalls")
		s := New(maxConns, Clients[string]{Overdue: func(string) bool { return overdue }, Stalled: func(string) bool { return stalls }})
		var all []*Entry[string]
		for n := range rapid.IntRange(1, 80).Draw(t, "steps") {
			if added, _ := s.Add(fmt.Sprint(n)); added != nil {
				all = append(all, added)
			}
			e := rapid.SampledFrom(append(all, &Entry[string]{})).Draw(t, "entry")
			if to := rapid.IntRange(0, int(states)).Draw(t, "to"); to < int(states) {
				s.Move(e, State(to))
			} else {
				s.Remove(e)
			}
			kept := 0
			for _, e := range all {
				if e.Kept() {
					kept++
				}
			}
			if kept > maxConns || kept != s.total() {
				t.Fatalf("%d connections are kept, %d counted, want %d at most", kept, s.total(), maxConns)
			}
		}
	})
}
