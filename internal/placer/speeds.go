package placer

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"github.com/bluebellscale/bluebellscale/internal/policy/pick"
	"github.com/bluebellscale/bluebellscale/internal/policy/shape"
	"github.com/bluebellscale/bluebellscale/internal/policy/speed"
	"github.com/bluebellscale/bluebellscale/internal/relay"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// speedReviewInterval is how often replicas that turned slow or fast are logged.
const speedReviewInterval = time.Second

// Speeds learns the speeds of replicas and the lengths of answers from the streams that this daemon passes
// on. A nil *Speeds knows nothing. It is safe for concurrent use.
type Speeds struct {
	set     *replicas.Set
	logger  hclog.Logger
	metrics tally.Scope

	mu       sync.Mutex
	profiles *speed.Profiles
	shapes   *shape.Shapes
	stalls   speed.Stalls
}

// NewSpeeds returns Speeds for the replicas of a set.
func NewSpeeds(set *replicas.Set, logger hclog.Logger, metrics tally.Scope) *Speeds {
	return &Speeds{
		set: set, logger: logger.Named("speeds"), metrics: metrics.SubScope("speeds"),
		profiles: speed.NewProfiles(), shapes: shape.New(),
	}
}

// Run records stalls of this process and logs replicas whose speed changed until ctx ends.
func (s *Speeds) Run(ctx context.Context) error {
	if s == nil {
		return nil
	}
	t := time.NewTicker(speed.BeatInterval)
	defer t.Stop()
	var reviewed time.Time
	for {
		select {
		case <-t.C:
		case <-ctx.Done():
			return nil
		}
		now := time.Now()
		s.beat(now)
		if now.Sub(reviewed) >= speedReviewInterval {
			reviewed = now
			s.review(now)
		}
	}
}

func (s *Speeds) beat(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stalls.Beat(now)
}

// review drops the speeds of replicas that were removed or have restarted, and logs those that turned slow or
// fast.
func (s *Speeds) review(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.profiles.Prune(now, func(k speed.Key) bool { return s.set.ByHash(uint64(k)) != nil })
	for _, t := range s.profiles.Turned(now) {
		r := s.set.ByHash(uint64(t.Key))
		if r == nil {
			continue
		}
		s.logger.Info("The pace of a replica changed", "replica", r.Info().ID, "service", t.Service, "pace", t.Pace.String(),
			"prefill_us", micros(t.Speed.PrefillPerToken), "typical_prefill_us", micros(t.Typical.PrefillPerToken),
			"step_us", micros(t.Speed.Step), "typical_step_us", micros(t.Typical.Step))
	}
	for _, id := range s.profiles.Services() {
		scope := s.metrics.Tagged(map[string]string{"service": string(id)})
		typical := s.profiles.Typical(now, id)
		scope.Gauge("prefill_us").Update(micros(typical.PrefillPerToken))
		scope.Gauge("step_us").Update(micros(typical.Step))
		scope.Gauge("first_event_us").Update(micros(typical.FirstEvent))
		scope.Gauge("slow_replicas").Update(float64(s.profiles.SlowReplicas(id)))
	}
}

func micros(d time.Duration) float64 { return float64(d) / float64(time.Microsecond) }

func speedKey(r *replicas.Replica) speed.Key { return speed.Key(r.Hash()) }

func serviceOf(r *replicas.Replica) speed.Service { return speed.Service(r.Info().Service) }

// Of returns the estimated speed of a replica under a load.
func (s *Speeds) Of(now time.Time, r *replicas.Replica, load replicas.Work, e *routing.Engine) pick.Speed {
	if s == nil {
		return pick.Speed{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.profiles.Of(now, speedKey(r), serviceOf(r), filled(load, e))
}

// PaceOf returns how a replica compares with its service.
func (s *Speeds) PaceOf(r *replicas.Replica) speed.Pace {
	if s == nil {
		return speed.Normal
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.profiles.PaceOf(speedKey(r))
}

// filled returns the share of an engine's batch slots or memory that a load uses, whichever is larger, or zero
// if they are not known.
func filled(load replicas.Work, e *routing.Engine) float64 {
	if e == nil {
		return 0
	}
	return max(float64(load.Requests)/float64(max(1, e.Slots)), float64(load.Tokens)/float64(max(1, e.MemoryTokens)))
}

// Due returns at most limit speeds that peers should be told now.
func (s *Speeds) Due(now time.Time, limit int) []speed.Measured {
	if s == nil {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.profiles.Due(now, limit)
}

// Report records the speed of a replica that a peer measured.
func (s *Speeds) Report(now time.Time, r *replicas.Replica, peer string, reported pick.Speed) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.profiles.Report(now, speedKey(r), serviceOf(r), peer, reported)
}

// output returns the number of output tokens to expect of a request.
func (s *Speeds) output(j *relay.Job) int {
	if s == nil {
		return shape.Assumed(j.OutputTokens)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.shapes.Output(j.Route.Name, j.LengthHint, j.OutputTokens)
}

// expectedOutput returns the number of output tokens to expect of a request.
func (pp *PromptPlacer) expectedOutput(j *relay.Job) int { return pp.Speeds.output(j) }
