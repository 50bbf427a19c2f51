package relay

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// accept reads a request whole and finds its route and organisation.
func (s *Server) accept(r *http.Request) (*Job, error) {
	j := &Job{Start: time.Now(), Method: r.Method, Host: r.Host, URI: r.RequestURI, Header: r.Header}
	meta, metaErr := s.o.Dialect.Meta(r.Header)
	j.Meta = meta // also for the log of a refusal
	state, current := s.o.State()
	if state == nil {
		return j, request.Refuse(request.CodeStale, http.StatusServiceUnavailable, s.notReadyBack(), "no desired state is known yet")
	}
	path := rawPath(r.RequestURI)
	j.Route = state.Match(r.Host, path)
	if j.Route == nil {
		return j, s.ifCurrent(current, request.Refuse(request.CodeUnknownService, http.StatusNotFound, 0, "no route for %s%s", r.Host, path))
	}
	if s.tooLate(j) {
		return j, request.Refuse(request.CodeDraining, http.StatusServiceUnavailable, stoppingRetry, "this daemon stops")
	}
	if state.NeedsKey(j.Route) {
		if j.Org = state.OrgOf(s.o.Dialect.Key(r.Header)); j.Org == nil {
			return j, s.ifCurrent(current, request.Refuse(request.CodeUnauthorized, http.StatusUnauthorized, 0, "the key is not known"))
		}
	}
	if metaErr != nil {
		return j, &request.Error{Code: request.CodeBadRequest, Status: http.StatusBadRequest, Message: metaErr.Error(), Ran: request.NotRun}
	}
	j.Service = state.Services[j.Route.ServiceFor(splitKey(j))]
	if j.Service == nil {
		return j, request.Refuse(request.CodeNoTarget, http.StatusServiceUnavailable, fullRetry, "the route's service is not known")
	}
	j.Deadline = deadline(j)
	return j, s.readBody(r, j, state.Limits.MaxBodyBytes)
}

// ifCurrent replaces a refusal by "come back" where the desired state may be old: the
// route or key may have been added since.
func (s *Server) ifCurrent(current bool, e *request.Error) error {
	if current {
		return e
	}
	return request.Refuse(request.CodeStale, http.StatusServiceUnavailable, s.notReadyBack(), "the desired state may be old")
}

// notReadyBack returns when to come back to a daemon that waits for the desired state. Callers come
// back a few times only: told half a second in an outage of two, they used up their retries in it.
func (s *Server) notReadyBack() time.Duration {
	expected := time.Duration(outageFactor * float64(s.o.Outage()))
	back := min(max(notReadyRetry, expected), maxNotReadyRetry)
	return time.Duration(float64(back) * (1 - notReadySpread/2 + notReadySpread*rand.Float64()))
}

func (s *Server) readBody(r *http.Request, j *Job, limit int64) error {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, limit+1))
	if err != nil {
		return &request.Error{Code: request.CodeBadRequest, Status: http.StatusBadRequest, Message: "body: " + err.Error(), Ran: request.NotRun}
	}
	if int64(len(body)) > limit {
		return &request.Error{Code: request.CodePayloadTooLarge, Status: http.StatusRequestEntityTooLarge, Message: "body: too long", Ran: request.NotRun}
	}
	j.Body = body
	return nil
}

// rawPath returns the path of a request line, still escaped.
func rawPath(uri string) string {
	if !strings.HasPrefix(uri, "/") {
		if u, err := url.Parse(uri); err == nil {
			return u.EscapedPath()
		}
	}
	path, _, _ := strings.Cut(uri, "?")
	return path
}

// splitKey decides which of a route's services takes a request: requests of one session
// go to one service.
func splitKey(j *Job) string {
	if n := len(j.Parts); n > 0 {
		return j.Parts[n-1].ID
	}
	return string(j.ID)
}

func deadline(j *Job) time.Time {
	left := j.Route.Timeout
	if j.TimeLeft > 0 && (left <= 0 || j.TimeLeft < left) {
		left = j.TimeLeft
	}
	return j.Start.Add(left)
}

// tooLate reports whether a request must not begin any more.
func (s *Server) tooLate(j *Job) bool {
	return j.Route.Kind == routing.KindStream && s.stopping.Load() && !s.noStreams.After(time.Now())
}
