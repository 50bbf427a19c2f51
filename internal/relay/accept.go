package relay

import (
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// accept reads the complete request and resolves its route, organisation, service and deadline.
func (s *Server) accept(w http.ResponseWriter, r *http.Request, from *received) (*Job, error) {
	j := &Job{Start: time.Now(), Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: r.Header, received: from, takesChunks: r.ProtoAtLeast(1, 1)}
	meta, metaErr := s.o.Dialect.ParseRequest(r.Header)
	j.Meta = meta // set before any refusal, whose log line includes it
	s.o.AwaitCurrent(r.Context())
	state, current := s.o.State()
	if state == nil {
		return j, request.Refuse(request.CodeStale, http.StatusServiceUnavailable, s.notReadyRetryAfter(), "no desired state is known yet")
	}
	j.stateVersion = state.Version
	if err := s.admitReceived(state, from); err != nil {
		return j, err
	}
	if limit := state.Limits.MaxHeaderBytes; from == nil && limit > 0 && headerBytes(r.Header) > limit {
		return j, &request.Error{Code: request.CodePayloadTooLarge, Status: http.StatusRequestHeaderFieldsTooLarge, Message: "header: too long", Ran: request.NotRun}
	}
	if err := s.findRoute(j, state, current); err != nil {
		return j, err
	}
	if s.refusedByDrain(j) {
		return j, request.Refuse(request.CodeDraining, http.StatusServiceUnavailable, drainingRetry, "this daemon stops")
	}
	if err := s.identify(j, state, current); err != nil {
		return j, err
	}
	if metaErr != nil {
		return j, &request.Error{Code: request.CodeBadRequest, Status: http.StatusBadRequest, Message: metaErr.Error(), Ran: request.NotRun}
	}
	if j.Invalid != nil {
		s.o.Logger.Warn("The relay ignores an invalid header of a caller", "request", j.ID, "route", j.Route.Name, "error", j.Invalid)
	}
	if err := findService(j, state); err != nil {
		return j, err
	}
	j.Deadline = deadline(j)
	return j, s.readBody(w, r, j, state.Limits.MaxBodyBytes)
}

// headerBytes returns the least size that headers can have had as they were received. The listener has checked their exact size; they
// may have been received under a limit that is no longer in force.
func headerBytes(h http.Header) int {
	const delimiters = len(":\n")
	size := 0
	for name, values := range h {
		for _, v := range values {
			size += len(name) + len(v) + delimiters
		}
	}
	return size
}

func (s *Server) findRoute(j *Job, state *routing.Snapshot, current bool) error {
	path := rawPath(j.URI)
	j.Route = state.Match(j.Host, path)
	if j.Route == nil {
		return s.unlessStale(current, request.Refuse(request.CodeUnknownService, http.StatusNotFound, 0, "no route for %s%s", j.Host, path))
	}
	return nil
}

func findService(j *Job, state *routing.Snapshot) error {
	j.Service = state.Services[j.Route.ServiceFor(splitKey(j))]
	if j.Service == nil {
		return request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, noCapacityRetry, "the route's service is not known")
	}
	return nil
}

// identify finds the organisation that holds the caller's key. A key counts also on a route that needs none, since what
// holds for its organisation holds on all routes.
func (s *Server) identify(j *Job, state *routing.Snapshot, current bool) error {
	j.Org = state.OrgOf(s.o.Dialect.CallerKey(j.Header))
	if j.Org == nil && state.NeedsKey(j.Route) {
		return s.unlessStale(current, request.Refuse(request.CodeUnauthorized, http.StatusUnauthorized, 0, "the key is not known"))
	}
	return nil
}

// unlessStale returns e if the desired state is current. Otherwise it returns a retryable
// refusal, because the route or key may have been added since the state was read.
func (s *Server) unlessStale(current bool, e *request.Error) error {
	if current {
		return e
	}
	return request.Refuse(request.CodeStale, http.StatusServiceUnavailable, s.notReadyRetryAfter(), "the desired state may be old")
}

// notReadyRetryAfter returns the Retry-After of a daemon that waits for the desired state. It grows
// with the outage because callers retry only a few times: with a fixed 500 ms they used up their
// retries within an outage of two seconds.
func (s *Server) notReadyRetryAfter() time.Duration {
	expected := time.Duration(outageFactor * float64(s.o.OutageDuration()))
	delay := min(max(minNotReadyRetry, expected), maxNotReadyRetry)
	return jittered(delay)
}

// jittered returns a delay that differs by a random share of retryJitter.
func jittered(delay time.Duration) time.Duration {
	return time.Duration(float64(delay) * (1 - retryJitter/2 + retryJitter*rand.Float64()))
}

// rawPath returns the path of a request URI without unescaping it.
func rawPath(uri string) string {
	if !strings.HasPrefix(uri, "/") {
		if u, err := url.Parse(uri); err == nil {
			return u.EscapedPath()
		}
	}
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// splitKey returns the key by which a route distributes requests over its services. Requests of
// one session have the same key and therefore use the same service.
func splitKey(j *Job) string {
	if n := len(j.Parts); n > 0 {
		return j.Parts[n-1].ID
	}
	return string(j.ID)
}

func deadline(j *Job) time.Time {
	timeout := j.Route.Timeout
	if j.TimeLeft > 0 && (timeout <= 0 || j.TimeLeft < timeout) {
		timeout = j.TimeLeft
	}
	return j.Start.Add(timeout)
}

// refusedByDrain reports whether the draining daemon refuses the request.
func (s *Server) refusedByDrain(j *Job) bool {
	return j.Route.Kind == routing.KindStream && s.draining.Load() && !s.streamCutoff.After(time.Now())
}
