package placer

import (
	"slices"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/policy/speed"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	minGaps = 3  // gaps of a stream that show its step
	maxGaps = 16 // gaps of a stream that are used
	// maxWatchedEvents is the number of events of a stream after which no gap is looked for.
	maxWatchedEvents = 64
	// minGap is the shortest time between two events that were not merely read together.
	minGap = 100 * time.Microsecond
	// maxDelivery is the longest time to pass an event on after which the next gap is a measurement. A caller
	// that reads slowly holds up the events behind.
	maxDelivery = time.Millisecond
)

// streamObserver measures one attempt. It implements relay.StreamObserver.
type streamObserver struct {
	speeds  *Speeds
	replica *replicas.Replica
	route   string
	hint    int
	engine  *routing.Engine
	resumed bool // the stream began in an earlier attempt
	// unassigned replicas belong to other daemons, whose queues there are not known: they show no speed.
	unassigned bool
	attempt    speed.Attempt

	sent, last time.Time
	events     int
	steady     bool // no prefill was known at the last event, and the caller took it at once
	gaps       []time.Duration
}

// observe returns an observer of an attempt, nil if speeds are not learned.
func (pp *PromptPlacer) observe(j *relay.Job, need pick.Request, r *replicas.Replica, c *pick.Candidate, sources []pick.Source, meta *relay.AttemptMeta) relay.StreamObserver {
	if pp.Speeds == nil {
		return nil
	}
	o := pp.Speeds.observer(j, need, r, c, sources, meta)
	o.unassigned = !slices.Contains(pp.Assigned(j.Service.ID), r)
	return o
}

func (s *Speeds) observer(j *relay.Job, need pick.Request, r *replicas.Replica, c *pick.Candidate, sources []pick.Source, meta *relay.AttemptMeta) *streamObserver {
	fetch, unknown := fetchTime(c.Parts, sources, meta.FetchFrom)
	load := replicas.Work{Requests: c.Running, Tokens: c.KVUsed}
	with := replicas.Work{Requests: c.Running + 1, Tokens: c.KVUsed + need.KVTokens}
	return &streamObserver{
		speeds: s, replica: r, route: j.Route.Name, hint: j.LengthHint, engine: j.Service.Engine,
		resumed: j.LastEventID != "" || j.ResponseStarted,
		attempt: speed.Attempt{
			Compute: pick.DefaultCosts.At(c).TokensToCompute(need, c.Parts), Resident: residentTokens(c.Parts, sources),
			Queued: c.QueuedPrefill, Fetch: fetch, UnknownFetch: unknown,
			Filled: filled(load, j.Service.Engine), Full: filled(with, j.Service.Engine) >= 1,
		},
	}
}

// residentTokens returns the number of tokens that are expected in the replica's memory.
func residentTokens(parts []pick.Part, sources []pick.Source) int {
	n := 0
	for i, source := range sources {
		if source == pick.Resident {
			n += parts[i].Tokens
		}
	}
	return n
}

// fetchTime returns the expected time of the fetches, and whether parts are fetched for which there is none.
func fetchTime(parts []pick.Part, sources []pick.Source, from []string) (sum time.Duration, unknown bool) {
	for i, source := range sources {
		switch {
		case source == pick.Fetched:
			sum += parts[i].FetchTime
		case source == pick.Computed && from[i] != "":
			unknown = true // from another replica
		}
	}
	return sum, unknown
}

// Sent implements relay.StreamObserver.
func (o *streamObserver) Sent(now time.Time) { o.sent = now }

// Event implements relay.StreamObserver.
func (o *streamObserver) Event(arrived time.Time, delivery time.Duration) {
	o.events++
	if o.events == 1 && !o.resumed {
		o.attempt.ToFirst = arrived.Sub(o.sent)
	}
	if !o.unassigned && o.events <= maxWatchedEvents && len(o.gaps) < maxGaps {
		o.recordGap(arrived, delivery)
	}
}

// recordGap records the time since the last event if nothing but the replica's speed determined it.
func (o *streamObserver) recordGap(arrived time.Time, delivery time.Duration) {
	load := o.replica.Load.Total(arrived)
	idle := load.Prefill == 0
	if gap := arrived.Sub(o.last); o.steady && idle && gap >= minGap {
		o.gaps = append(o.gaps, gap)
		o.attempt.StepFilled = filled(load, o.engine)
	}
	o.last, o.steady = arrived, idle && delivery <= maxDelivery
}

// Completed implements relay.StreamObserver.
func (o *streamObserver) Completed(now time.Time) {
	if o.events == 0 {
		return
	}
	if len(o.gaps) >= minGaps {
		slices.Sort(o.gaps)
		o.attempt.Step = o.gaps[len(o.gaps)/2]
	}
	o.speeds.record(now, o)
}

// record learns from a stream that ended complete.
func (s *Speeds) record(now time.Time, o *streamObserver) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !o.resumed {
		s.shapes.Observe(o.route, o.hint, o.events)
	}
	if !o.unassigned && !s.stalls.Overlap(o.sent, now) {
		s.profiles.Observe(now, speedKey(o.replica), serviceOf(o.replica), o.attempt)
	}
}
