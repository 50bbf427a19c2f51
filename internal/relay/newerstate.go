package relay

import (
	"context"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

var (
	// errSuperseded ends an attempt before it is sent, because a newer desired state is in force.
	errSuperseded = errors.New("relay: a newer desired state is in force")
	// errRunsOnce means that a request may have run, and that it may not run again by a newer desired state.
	errRunsOnce = errors.New("relay: the route's requests may run only once now")
)

// superseded reports whether a newer desired state decides what becomes of the request. A stream that has begun goes on at its
// service, as its events fit only those of the same software.
func (s *Server) superseded(j *Job) bool {
	if j.ResponseStarted || j.Software.Bound {
		return false
	}
	state, _ := s.o.State()
	return state != nil && state.Version > j.stateVersion
}

// current returns the request by the newest desired state, or why that state does not allow it. What has been accepted may wait, and
// its attempts may fail, for as long as its timeout: meanwhile its route may have moved away from a service whose replicas leave,
// and its key may have been taken away.
func (s *Server) current(j *Job, h *history) (*Job, error) {
	if !s.superseded(j) {
		return j, nil
	}
	state, confirmed := s.o.State()
	next := *j // checks of earlier attempts still read the old one
	next.stateVersion = state.Version
	if err := s.resolve(&next, state, confirmed); err != nil {
		s.countSuperseded("refused")
		return j, err
	}
	if h.mayHaveRun > 0 && !next.Route.Repeatable() {
		s.countSuperseded("refused")
		return j, errRunsOnce
	}
	if next.Service.ID != j.Service.ID {
		s.countSuperseded("moved")
		s.o.Logger.Info("A request goes to the service to which its route has moved", "request", j.ID, "route", next.Route.Name, "from", j.Service.ID, "to", next.Service.ID, "version", state.Version)
	}
	return &next, nil
}

// attemptCurrent makes an attempt by the newest desired state. It returns the request as that state has it.
func (s *Server) attemptCurrent(ctx context.Context, j *Job, out *sink, h *history) (*Job, *attempt, error) {
	for {
		s.o.AwaitCurrent(ctx)
		next, err := s.current(j, h)
		if err != nil {
			return j, nil, err
		}
		j = next
		a, err := s.attempt(ctx, j, out, h)
		if !errors.Is(err, errSuperseded) {
			return j, a, err
		}
	}
}

// resolve finds the route, the organisation and the service of an accepted request.
func (s *Server) resolve(j *Job, state *routing.Snapshot, confirmed bool) error {
	if err := s.findRoute(j, state, confirmed); err != nil {
		return err
	}
	if err := s.identify(j, state, confirmed); err != nil {
		return err
	}
	return findService(j, state)
}

func (s *Server) countSuperseded(outcome string) {
	s.o.Metrics.Tagged(map[string]string{"outcome": outcome}).Counter("requests_superseded").Inc(1)
}

// abandon ends a placement that is not used.
func (p *Placement) abandon() {
	p.Flight.End()
	if p.OnEnd != nil {
		p.OnEnd(false)
	}
}
