package relay

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/policy/waitroom"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/waiting"
)

const (
	// reserveShare is the part of an objective that is kept for the time from the placement to the first event.
	reserveShare = 0.5
	// maxStartReserve is the largest part of a request's time that is kept for the start, and the part that is
	// kept if the route has no objective.
	maxStartReserve = 0.25
)

// place places a request, as soon as it has its turn and a replica has room. The error is that of
// Placer.Place, or a refusal of a request that would wait too long.
func (s *Server) place(ctx context.Context, j *Job, tried []request.TargetID) (*Placement, error) {
	if s.mayWait(j) {
		return s.placeInTurn(ctx, j, tried)
	}
	if s.takesTurns(j) && !s.o.Room.MayEnter(j.Service.ID, j.Priority()) {
		return nil, (&NoRoomError{Service: j.Service.ID}).refusal()
	}
	p, err := s.placer(j).Place(ctx, j, tried)
	return p, refuseNoRoom(err)
}

// takesTurns reports whether a request is placed in the order of the waiting room: it starts only if nobody as
// urgent waits for its service, whether or not it may wait itself. The caller of a resumed stream would see a wait as
// a pause.
func (s *Server) takesTurns(j *Job) bool {
	return s.o.Room != nil && !j.ResponseStarted && j.Service.Engine != nil && j.Service.HasObjectives
}

// WaitPolicy says which requests wait for room and how long. The zero value lets all wait until their latest
// start.
type WaitPolicy struct {
	MostUrgentOnly bool // requests of priority 0 only
	OnTimeOnly     bool // only as long as the first attempt can keep the objective
}

// mayWait reports whether a request may wait for room.
func (s *Server) mayWait(j *Job) bool {
	return s.takesTurns(j) && !(s.o.WaitPolicy.MostUrgentOnly && j.Priority() > 0)
}

func (s *Server) placeInTurn(ctx context.Context, j *Job, tried []request.TargetID) (*Placement, error) {
	placer := s.placer(j)
	if s.o.Room.MayEnter(j.Service.ID, j.Priority()) && placer.HasRoom(j, tried) {
		p, err := placer.Place(ctx, j, tried)
		if err == nil {
			s.o.Room.Started(j.Service.ID, promptCost(j))
		}
		if noRoomOf(err) == nil {
			return p, err
		}
	}
	turn, err := s.o.Room.Wait(ctx, s.waitRequest(j, tried))
	defer turn.Leave()
	before := j.wait
	for err == nil {
		j.wait = before.add(turn)
		if s.superseded(j) {
			return nil, errSuperseded
		}
		var p *Placement
		p, err = placer.Place(ctx, j, tried)
		if err == nil {
			turn.Placed()
			return p, nil
		}
		if noRoomOf(err) == nil {
			return nil, err
		}
		err = turn.NoRoom(ctx)
	}
	j.wait = before.add(turn)
	return nil, s.waitError(err)
}

// noRoomOf returns the NoRoomError that an error is, or nil.
func noRoomOf(err error) *NoRoomError {
	var noRoom *NoRoomError
	_ = errors.As(err, &noRoom)
	return noRoom
}

// refuseNoRoom turns a NoRoomError of a request that may not wait into a refusal.
func refuseNoRoom(err error) error {
	if noRoom := noRoomOf(err); noRoom != nil {
		return noRoom.refusal()
	}
	return err
}

// waitError returns the refusal of a request whose wait has ended without a turn. It holds for this
// wait only: finalError adds what earlier attempts did.
func (s *Server) waitError(err error) error {
	var refusal *waiting.Refusal
	switch {
	case !errors.As(err, &refusal):
		return err
	case s.draining.Load():
		return request.Refuse(request.CodeDraining, http.StatusServiceUnavailable, drainingRetry, "this daemon stops, and no replica has room")
	case refusal.Reason == waitroom.Full:
		return request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, refusal.RetryAfter, "too many requests wait for room")
	default:
		return request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, refusal.RetryAfter, "no replica will have room in time")
	}
}

func (s *Server) waitRequest(j *Job, tried []request.TargetID) *waiting.Request {
	placer := s.placer(j)
	w := &waiting.Request{
		Item: waitroom.Item{
			ID: j.ID, Service: j.Service.ID, Org: j.OrgID(), Priority: j.Priority(), Cost: promptCost(j), Bytes: waitingBytes(j),
			KeepBy: keepBy(j), LatestStart: latestStart(j), CallerUntil: callerUntil(j),
		},
		Stream: j.Route.Kind == routing.KindStream,
		// A request of an older desired state gets its turn at once, to be judged by the newer one.
		HasRoom: func() bool { return s.superseded(j) || placer.HasRoom(j, tried) },
	}
	if len(tried) > 0 {
		return w
	}
	w.Class, w.Need = classOf(j), promptCost(j)
	if s.o.WaitPolicy.OnTimeOnly && !w.Item.KeepBy.IsZero() {
		w.Item.LatestStart = earlier(w.Item.LatestStart, w.Item.KeepBy)
	}
	return w
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// roomClass is what room depends on besides the length of the prompt.
type roomClass struct {
	model                 request.Model
	route                 *routing.Route
	homes                 string // of the organisation
	priority              int
	lengthHint, maxOutput int
}

// classOf returns the class of a request that no replica has refused.
func classOf(j *Job) roomClass {
	c := roomClass{model: j.Model, route: j.Route, priority: j.Priority(), lengthHint: j.LengthHint, maxOutput: j.OutputTokens}
	if j.Org != nil {
		c.homes = fmt.Sprint(j.Org.Homes)
	}
	return c
}

func promptCost(j *Job) int64 { return int64(j.PromptTokens) }

// waitingBytes returns the size of the body as the waiting room counts it: not at all if it is held beside the capacity, of
// which the room's bound is a part. Only one body is held so.
func waitingBytes(j *Job) int64 {
	if j.memory.oversize() {
		return 0
	}
	return int64(len(j.Body))
}

// keepBy returns the latest start with which a request may keep its objective, zero if it has none.
func keepBy(j *Job) time.Time {
	if j.Route.Objective <= 0 {
		return time.Time{}
	}
	return j.Start.Add(j.Route.Objective - firstEventReserve(j.Route))
}

// latestStart returns the time until which a request may wait.
func latestStart(j *Job) time.Time {
	total := j.Deadline.Sub(j.Start)
	if j.Route.Patience > 0 {
		total = min(total, j.Route.Patience)
	}
	reserve := time.Duration(float64(total) * maxStartReserve)
	if j.Route.Objective > 0 {
		reserve = min(reserve, max(minTimeLeft, firstEventReserve(j.Route)))
	}
	return j.Start.Add(total - reserve)
}

// firstEventReserve returns the time that is kept between the placement of a request and its first event.
func firstEventReserve(r *routing.Route) time.Duration {
	return time.Duration(float64(max(0, r.Objective)) * reserveShare)
}

// callerUntil returns the end of the caller's time, which may be later than the route's timeout.
func callerUntil(j *Job) time.Time {
	if j.TimeLeft > 0 {
		return j.Start.Add(j.TimeLeft)
	}
	return j.Deadline
}

// waitRecord is the wait of a request, for the log.
type waitRecord struct {
	waited time.Duration
	behind waitroom.Behind
}

// add adds the wait of a ticket. A request that is tried again waits with another ticket.
func (w waitRecord) add(t *waiting.Ticket) waitRecord {
	if w.waited == 0 {
		w.behind = t.Behind()
	}
	w.waited += t.Waited()
	return w
}

// fields returns what the lines about an answered or refused request tell of its wait.
func (w waitRecord) fields() []any {
	if w.waited == 0 {
		return nil
	}
	cause := "no replica had any"
	if b := w.behind; b.MoreUrgent+b.Same > 0 {
		cause = fmt.Sprintf("behind %d more urgent and %d of %d organisations, first %s", b.MoreUrgent, b.Same, b.Orgs, b.First)
	}
	return []any{"waited_ms", w.waited.Milliseconds(), "waited_for", cause}
}
