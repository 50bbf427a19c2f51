package relay

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/policy/forward"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

// Headers between daemons. They are read on the listener for other daemons only, and reach neither replicas nor callers.
const (
	headerForwardedBy       = "Bluebellscale-Forwarded-By"       // the daemon that forwards the request
	headerForwardedState    = "Bluebellscale-Forwarded-State"    // version of the desired state by which it accepted the request
	headerForwardedRan      = "Bluebellscale-Forwarded-Ran"      // attempts that may have run
	headerForwardedCounted  = "Bluebellscale-Forwarded-Counted"  // 1: the request counts for its retry budget
	headerForwardedReplicas = "Bluebellscale-Forwarded-Replicas" // replicas that may have got the request, separated by commas
	// headerSoftware is the version of the replicas' software that began a stream: in a forwarded request that resumes it, and in the
	// response to one that began it.
	headerSoftware    = "Bluebellscale-Software"
	headerRefusalCode = "Bluebellscale-Refusal"     // in a response that is no replica's: its request.Code
	headerRefusalRan  = "Bluebellscale-Refusal-Ran" // and its request.RunOutcome
)

const (
	// lostRetry is the Retry-After if no daemon reaches the replicas: a partition lasts seconds.
	lostRetry = time.Second
	// receivedFullRetry is the Retry-After of a daemon that has as many forwarded requests as it takes.
	receivedFullRetry = 300 * time.Millisecond
	// peerReason is the reason that the log gives for a request that was forwarded.
	peerReason = "peer"
)

// Peer is another daemon, chosen for one request.
type Peer struct {
	ID   request.DaemonID
	Pool *upstream.Pool
	// End ends the use of the daemon; unable is set if it could not serve the request for a reason of its own. It may be
	// called more than once.
	End func(unable bool)
}

// Peers chooses daemons to which requests are forwarded.
type Peers interface {
	// Forwards reports whether a request goes to another daemon. Lost and Suspected of the situation are not set.
	Forwards(service routing.ServiceID, s forward.Situation) bool
	// Exhausted reports whether this daemon reaches none of a service's replicas, and none is worth an attempt.
	Exhausted(service routing.ServiceID) bool
	// Choose returns the daemon that gets a request, nil if none may.
	Choose(service routing.ServiceID, requestKey uint64, tried []request.DaemonID) *Peer
}

// received is what another daemon tells of a request that it forwards.
type received struct {
	by         request.DaemonID
	state      uint64 // version of its desired state
	mayHaveRun int
	counted    bool
	replicas   []request.TargetID
	software   SoftwareBinding
}

// IsForwarded reports whether a request on the listener for other daemons is a forwarded request of a caller.
func IsForwarded(r *http.Request) bool { return r.Header.Get(headerForwardedBy) != "" }

// ServeForwarded serves a request that another daemon forwarded.
func (s *Server) ServeForwarded(w http.ResponseWriter, r *http.Request) {
	from, err := takeReceived(r.Header)
	if err != nil {
		s.o.Logger.Warn("The relay refuses a forwarded request", "error", err)
		setRefusalHeader(w.Header(), &request.Error{Code: request.CodeBadRequest, Ran: request.NotRun})
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.received.Add(1)
	defer s.received.Add(-1)
	s.o.Metrics.Counter("received_from_peers").Inc(1)
	s.handle(w, r, from)
}

// takeReceived parses the headers between daemons and removes them. Its error names the header.
func takeReceived(h http.Header) (*received, error) {
	from := &received{by: request.DaemonID(h.Get(headerForwardedBy)), counted: h.Get(headerForwardedCounted) == "1"}
	var err error
	if from.state, err = strconv.ParseUint(h.Get(headerForwardedState), 10, 64); err != nil {
		return nil, errors.Newf("%s: %q: want a version", headerForwardedState, h.Get(headerForwardedState))
	}
	if from.mayHaveRun, err = strconv.Atoi(h.Get(headerForwardedRan)); err != nil || from.mayHaveRun < 0 || from.mayHaveRun > maxSentAttempts {
		return nil, errors.Newf("%s: %q: want 0 to %d", headerForwardedRan, h.Get(headerForwardedRan), maxSentAttempts)
	}
	if tried := h.Get(headerForwardedReplicas); tried != "" {
		for _, id := range strings.Split(tried, ",") {
			from.replicas = append(from.replicas, request.TargetID(id))
		}
	}
	if from.software, err = parseSoftware(h); err != nil {
		return nil, err
	}
	removeForwarded(h)
	return from, nil
}

func removeForwarded(h http.Header) {
	for _, name := range []string{headerForwardedBy, headerForwardedState, headerForwardedRan, headerForwardedCounted, headerForwardedReplicas, headerSoftware} {
		h.Del(name)
	}
}

// admitReceived refuses a forwarded request if this daemon has many, or knows an older desired state than the daemon that
// forwards it, by which the request may have no route or another one.
func (s *Server) admitReceived(state *routing.Snapshot, from *received) error {
	switch {
	case from == nil:
		return nil
	case s.draining.Load():
		return request.Refuse(request.CodeDraining, http.StatusServiceUnavailable, drainingRetry, "this daemon stops")
	case state.Version < from.state:
		return request.Refuse(request.CodeStale, http.StatusServiceUnavailable, minNotReadyRetry, "the desired state is older than that of %s", from.by)
	case s.received.Load() > int64(s.o.MaxReceived):
		s.o.Metrics.Counter("received_over_limit").Inc(1)
		return request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, jittered(receivedFullRetry), "as many requests of other daemons as this one takes")
	}
	return nil
}

// forward sends the request to another daemon, if it is to go there and one is known. unplaced is set if this daemon knows no
// replica for it.
func (s *Server) forward(ctx context.Context, j *Job, out *sink, h *history, unplaced bool) *attempt {
	situation := forward.Situation{Received: j.received != nil, Unplaced: unplaced, Unsent: h.unsent, Peers: len(h.peers)}
	if s.o.Peers == nil || !s.o.Peers.Forwards(j.Service.ID, situation) {
		return nil
	}
	peer := s.o.Peers.Choose(j.Service.ID, xxhash.Sum64String(string(j.ID)), h.peers)
	if peer == nil {
		return nil
	}
	return s.sendToPeer(ctx, j, out, h, peer)
}

// sendToPeer makes one attempt by way of another daemon. It leaves the body of a stream unread.
func (s *Server) sendToPeer(ctx context.Context, j *Job, out *sink, h *history, peer *Peer) *attempt {
	ctx, cancel := context.WithCancel(ctx)
	a := &attempt{peer: peer, cancel: cancel, placement: &Placement{
		Meta: AttemptMeta{Replica: request.TargetID(peer.ID)}, Reason: peerReason, Flight: (&replicas.Load{}).BeginWork(replicas.Work{}),
	}}
	a.response, a.err = peer.Pool.Do(ctx, &upstream.Request{
		Method: j.Method, URI: j.URI, Host: j.Host, Body: j.Body, Header: s.forwardHeader(j, out, h),
		Matches: func(h http.Header) bool {
			return h.Get(headerRefusalCode) != "" || s.o.Dialect.ParseResponse(0, h).ID == string(j.ID)
		},
	})
	switch {
	case a.err == nil:
		s.classifyPeerResponse(ctx, j, a)
	case errors.Is(a.err, upstream.ErrNotSent):
		a.outcome = notSent
	case ctx.Err() != nil:
		a.outcome = cancelled
	default:
		a.outcome = mayHaveRun
	}
	s.o.Metrics.Tagged(map[string]string{"outcome": a.outcome.String()}).Counter("forwarded").Inc(1)
	return a
}

func (s *Server) forwardHeader(j *Job, out *sink, h *history) http.Header {
	resumeAfter := ""
	if out.lastEventID != j.LastEventID {
		resumeAfter = out.lastEventID
	}
	header := s.o.Dialect.ForwardHeader(j.Header, time.Until(j.Deadline), resumeAfter)
	removeForwarded(header) // a caller may have sent them
	header.Set(headerForwardedBy, string(s.o.Self))
	header.Set(headerForwardedState, strconv.FormatUint(j.stateVersion, 10))
	header.Set(headerForwardedRan, strconv.Itoa(h.mayHaveRun))
	if h.counted {
		header.Set(headerForwardedCounted, "1")
	}
	setSoftware(header, j.Software)
	if len(h.reached) > 0 { // the other daemon may reach the others
		ids := make([]string, len(h.reached))
		for i, id := range h.reached {
			ids[i] = string(id)
		}
		header.Set(headerForwardedReplicas, strings.Join(ids, ","))
	}
	return header
}

// classifyPeerResponse tells a replica's response, which is passed on as it is, from a refusal of the other daemon.
func (s *Server) classifyPeerResponse(ctx context.Context, j *Job, a *attempt) {
	a.meta = s.o.Dialect.ParseResponse(a.response.Status, a.response.Header)
	code := a.response.Header.Get(headerRefusalCode)
	if code == "" {
		a.outcome = answered
		s.bufferBody(ctx, j, a)
		return
	}
	if a.response.Header.Get(headerRefusalRan) != string(request.NotRun) {
		a.outcome, a.err = mayHaveRun, &request.Error{Code: request.Code(code), Status: a.response.Status, Message: "refused by a peer", Ran: request.InDoubt}
		return
	}
	a.outcome, a.err = notSent, peerRefusal(a, request.Code(code))
}

// peerRefusal returns the refusal of a request that the other daemon did not run. This daemon has accepted the request, so
// that a refusal that calls the request wrong becomes one for the moment.
func peerRefusal(a *attempt, code request.Code) *request.Error {
	retryAfter := a.meta.RetryAfter
	if retryAfter <= 0 {
		retryAfter = jittered(lostRetry)
	}
	if a.response.Status != http.StatusServiceUnavailable {
		code = request.CodeNoTarget
	}
	return request.Refuse(code, http.StatusServiceUnavailable, retryAfter, "%s refused a forwarded request", a.peer.ID)
}

// copyHeader copies a replica's headers to the response. Those by which daemons refuse forwarded requests can't come from a
// replica: a call that ran would count as not run.
func (s *Server) copyHeader(to http.Header, a *attempt) {
	s.o.Dialect.CopyResponseHeader(to, a.response.Header)
	to.Del(headerRefusalCode)
	to.Del(headerRefusalRan)
	to.Del(headerSoftware)
}

// setRefusalHeader tells the daemon that forwarded a request why it is refused.
func setRefusalHeader(h http.Header, e *request.Error) {
	h.Set(headerRefusalCode, string(e.Code))
	h.Set(headerRefusalRan, string(e.Ran))
}

// addPeer records an attempt by way of another daemon. That daemon has made the retries that are allowed.
func (h *history) addPeer(a *attempt) {
	h.peers = append(h.peers, a.peer.ID)
	refused := errors.As(a.err, &h.refusal)
	if a.outcome == notSent {
		h.final = refused && !isUnable(h.refusal.Code)
		return
	}
	h.sent++
	h.mayHaveRun++
	h.final = refused
}

// isUnable reports whether a daemon refuses a request for a reason of its own, which another daemon may not have.
func isUnable(code request.Code) bool {
	switch code {
	case request.CodeNoTarget, request.CodeStale, request.CodeDraining, request.CodeUnknownService, request.CodeUnauthorized:
		return true
	}
	return false
}

// lostRefusal returns the refusal of a request for a service whose replicas this daemon does not reach.
func (h *history) lostRefusal() *request.Error {
	if h.refusal != nil && h.refusal.Ran == request.NotRun {
		return h.refusal
	}
	return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, jittered(lostRetry), "this daemon reaches no replica of the service")
}
