package relay

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/framing"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

var (
	// errReplicaDied means that the connection of a response ended in order, but because the replica died.
	errReplicaDied = errors.New("relay: the replica died before the end of its response was known")
	// errEndUnknown means that it is not known whether a response is complete, and that its framing would state that it is.
	errEndUnknown = errors.New("relay: the end of the response is not known")
)

// frame chooses how the end of the response is told to the caller: no better than the replica told it. It is called before the headers
// are written.
func (s *Server) frame(ctx context.Context, w http.ResponseWriter, j *Job, a *attempt) framing.Framing {
	noChunks := !j.takesChunks && w.Header().Get("Content-Length") == ""
	if a.response.EndsWithConnection() || noChunks {
		return framing.ByConnection(ctx, w.Header())
	}
	return framing.Framing{}
}

// confirmEnd returns an error if a response must not end as a complete one. Where only the end of the connection told its end, the replica
// may have died. The daemon that forwarded a request takes the other one's word.
func (s *Server) confirmEnd(ctx context.Context, j *Job, a *attempt, f framing.Framing) error {
	if a.peer != nil || !a.response.EndsWithConnection() {
		return nil
	}
	v := s.awaitVerdict(ctx, a.placement.Replica)
	s.o.Metrics.Tagged(map[string]string{"replica": v.String()}).Counter("ends_with_connection").Inc(1)
	switch {
	case v == died:
		return errReplicaDied
	case v == unreached && (!f.ByConnection || j.received != nil):
		return errEndUnknown
	}
	return nil
}

// verdict is what is known of a replica whose connection has ended.
type verdict int

const (
	unreached verdict = iota // it accepts no connection, and the path to it may be lost
	lives
	died
)

func (v verdict) String() string { return [...]string{"unreached", "lives", "died"}[v] }

// verdictOn finds out whether a replica died at about the time at which its connection ended, framing.DeathDelay ago. Connections end for many
// reasons, so it counts as dead only if it accepts no new connection, or if another one has its address. One that is no longer registered
// may go on serving.
func (s *Server) verdictOn(ctx context.Context, r *replicas.Replica, endedAt time.Time) verdict {
	if !r.IsDown(ctx, endedAt, endedAt.Add(framing.DeathDelay)) {
		if s.o.Succeeded != nil && s.o.Succeeded(r) {
			return died
		}
		return lives
	}
	if s.o.PathIsSound != nil && !s.o.PathIsSound(ctx, r) {
		return unreached
	}
	return died
}

// awaitVerdict returns the verdict on a replica whose connection has just ended in order, after framing.MaxEndCheck at the latest unless
// the process is stalled meanwhile. The check outlives the request: without a verdict a broken response would pass for a whole one. Its
// timeout starts after the delay, so that a process that was stalled during the delay still checks.
func (s *Server) awaitVerdict(ctx context.Context, r *replicas.Replica) verdict {
	endedAt := time.Now()
	time.Sleep(framing.DeathDelay)
	ctx = context.WithoutCancel(ctx)
	return repeatIfStalled(time.Now, func() verdict {
		ctx, cancel := context.WithTimeout(ctx, framing.MaxEndCheck-framing.DeathDelay)
		defer cancel()
		result := make(chan verdict, 1)
		go func() { result <- s.verdictOn(ctx, r, endedAt) }()
		select {
		case v := <-result:
			return v
		case <-ctx.Done():
			return unreached
		}
	})
}

const (
	// stalledCheck is the duration of a check of which the process was stalled for a part.
	stalledCheck = 2 * framing.MaxEndCheck
	// maxEndChecks bounds the checks of one end, so that a process that is stalled again and again answers.
	maxEndChecks = 3
)

// repeatIfStalled returns the verdict of a check. A check whose time passed while the process was stalled is repeated.
func repeatIfStalled(now func() time.Time, check func() verdict) (v verdict) {
	for range maxEndChecks {
		began := now()
		v = check()
		if v != unreached || now().Sub(began) < stalledCheck {
			return v
		}
	}
	return v
}

// setLength states the length of a complete body, or of the body that a response to HEAD does not have.
func setLength(h http.Header, j *Job, r *upstream.Response, body int) {
	length := int64(body)
	if j.Method == http.MethodHead {
		length = r.ContentLength
	}
	if length >= 0 && r.Status != http.StatusNoContent && r.Status != http.StatusNotModified {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
}
