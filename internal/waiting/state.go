package waiting

import (
	"strconv"
	"time"

	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
	"github.com/bluebellscale/bluebellscale/internal/metrics"
	"github.com/bluebellscale/bluebellscale/internal/policy/waitroom"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// logInterval is how often a daemon in which something waits logs what does.
const logInterval = time.Second

// roomMetrics are the metrics of a room.
type roomMetrics struct {
	scope      tally.Scope
	wait       tally.Histogram
	passed     tally.Counter // requests that were passed by a later one
	noRoom     tally.Counter // turns that found no room
	byPriority [waitroom.Priorities]tally.Gauge
}

func newRoomMetrics(scope tally.Scope) roomMetrics {
	m := roomMetrics{
		scope: scope, wait: scope.Histogram("wait", metrics.LatencyBuckets),
		passed: scope.Counter("passed_over"), noRoom: scope.Counter("turns_without_room"),
	}
	for p := range m.byPriority {
		m.byPriority[p] = scope.Tagged(map[string]string{"priority": strconv.Itoa(p)}).Gauge("requests")
	}
	return m
}

func (m *roomMetrics) refused(reason waitroom.Reason) {
	m.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
}

// Backlog returns what waits for a service by priority, the most urgent first.
func (r *Room) Backlog(service routing.ServiceID) []waitroom.Backlog {
	if r.waiting.Load() == 0 {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Backlog(service)
}

// Since returns when the request arrived that waits longest for a service with a priority; zero: none waits.
func (r *Room) Since(service routing.ServiceID, priority int) time.Time {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.core.Since(service, priority)
}

// State is a dump of what waits.
type State struct {
	Requests int                `json:"requests"`
	Bytes    int64              `json:"bytes"`
	Waiting  []waitroom.Waiting `json:"waiting,omitempty"`
	Services []ServiceState     `json:"services,omitempty"`
}

// ServiceState is the state of one service for which requests wait.
type ServiceState struct {
	Service routing.ServiceID `json:"service"`
	Rate    float64           `json:"tokens_per_s"` // at which waiting work starts; 0: unknown
	Turns   int               `json:"turns"`        // requests that are being placed
}

// State returns what waits.
func (r *Room) State() State {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := State{Requests: r.core.Len(), Bytes: r.core.Bytes(), Waiting: r.core.Waiting(time.Now())}
	for _, id := range r.core.Services() {
		s.Services = append(s.Services, ServiceState{Service: id, Rate: r.core.Rate(id), Turns: len(r.turns[id])})
	}
	return s
}

// logWaiting logs and counts what waits.
func (r *Room) logWaiting(now time.Time) {
	r.mu.Lock()
	waiting := r.core.Waiting(now)
	r.mu.Unlock()
	var byPriority [waitroom.Priorities]int
	for _, w := range waiting {
		byPriority[w.Priority] += w.Requests
	}
	for p, n := range byPriority {
		r.metrics.byPriority[p].Update(float64(n))
	}
	if len(waiting) > 0 {
		r.o.Logger.Info(loglines.Waiting, summary(waiting)...)
	}
}

// summary returns the fields of the line about what waits.
func summary(waiting []waitroom.Waiting) []any {
	most := waiting[0]
	var requests, late int
	for _, w := range waiting {
		requests += w.Requests
		late += w.Late
		if w.Requests > most.Requests {
			most = w
		}
	}
	return []any{
		"requests", requests, "late", late, "most_urgent", waiting[0].Priority,
		"most_service", most.Service, "most_priority", most.Priority, "most_organisation", most.Org, "most_requests", most.Requests,
	}
}
