package kv

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/bluebellscale/bluebellscale/internal/kvapi"
	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// ClientHeader carries the daemon id of the client, so that a single daemon can be
// partitioned from the service.
const ClientHeader = "X-Client"

// Paths in addition to those of kvapi.
const (
	PathFault  = "/fault"
	PathCounts = "/debug/counts"
)

const (
	maxRequestBytes = 2 * kvapi.MaxValue // allows for base64 and JSON framing
	maxWatch        = time.Minute
	expireInterval  = 20 * time.Millisecond
	shutdownTimeout = time.Second
)

// Options configures a Server. A rate of zero means no limit.
type Options struct {
	ReadsPerSecond  float64
	WritesPerSecond float64
	Now             func() time.Time // nil: time.Now
}

// Server serves the stand-in over HTTP. Its switches inject faults while it runs.
type Server struct {
	*switches
	core   *Core
	reads  *rate.Limiter
	writes *rate.Limiter
	mux    *http.ServeMux
}

// NewServer returns a Server without entries.
func NewServer(opts Options) *Server {
	if opts.Now == nil {
		opts.Now = time.Now
	}
	s := &Server{
		switches: newSwitches(),
		core:     NewCore(opts.Now),
		reads:    newLimiter(opts.ReadsPerSecond),
		writes:   newLimiter(opts.WritesPerSecond),
		mux:      http.NewServeMux(),
	}
	s.routes()
	return s
}

// Serve runs a new Server on a listener until ctx ends.
func Serve(ctx context.Context, l net.Listener, opts Options) error {
	return NewServer(opts).Serve(ctx, l)
}

// Serve serves requests on a listener until ctx ends.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	srv := &http.Server{Handler: s, ReadHeaderTimeout: shutdownTimeout}
	failed := make(chan error, 1)
	go func() { failed <- srv.Serve(l) }()
	tick := time.NewTicker(expireInterval)
	defer tick.Stop()
	for {
		select {
		case err := <-failed:
			return err
		case <-tick.C:
			s.core.Expire()
		case <-ctx.Done():
			err := srv.Close()
			<-failed
			return err
		}
	}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.mux.ServeHTTP(w, r) }

func newLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), int(perSecond)+1)
}

func (s *Server) routes() {
	s.mux.HandleFunc("GET "+kvapi.PathGet, s.guard(classRead, s.get))
	s.mux.HandleFunc("GET "+kvapi.PathList, s.guard(classRead, s.list))
	s.mux.HandleFunc("GET "+kvapi.PathWatch, s.guard(classWatch, s.watch))
	s.mux.HandleFunc("POST "+kvapi.PathCAS, s.guard(classWrite, s.cas))
	s.mux.HandleFunc("POST "+kvapi.PathGrant, s.guard(classWrite, s.grant))
	s.mux.HandleFunc("POST "+kvapi.PathKeepAlive, s.guard(classWrite, s.keepAlive))
	s.mux.HandleFunc("POST "+kvapi.PathRevoke, s.guard(classWrite, s.revoke))
	s.mux.HandleFunc("POST "+PathFault, s.setFaults)
	s.mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, http.StatusOK, s.Counts())
	})
}

// guard counts a call and applies rate limits and faults. If the service is down or the
// client is partitioned, guard closes the connection without a response, as if the
// service were unreachable.
func (s *Server) guard(c callClass, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		slow, reachable := s.recordCall(r.Header.Get(ClientHeader), c, max(0, int(r.ContentLength)))
		if !reachable {
			panic(http.ErrAbortHandler)
		}
		if !s.allow(c) {
			s.recordRejected()
			writeJSON(w, http.StatusTooManyRequests, struct{}{})
			return
		}
		if sleep.For(r.Context(), slow) != nil {
			return
		}
		r.Body = http.MaxBytesReader(w, r.Body, maxRequestBytes)
		next(w, r)
	}
}

func (s *Server) allow(c callClass) bool {
	if c == classWrite {
		return s.writes.Allow()
	}
	return s.reads.Allow()
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	e, err := s.core.Get(r.URL.Query().Get("key"))
	if err != nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	s.recordBytes(len(e.Value))
	writeJSON(w, http.StatusOK, e)
}

func (s *Server) list(w http.ResponseWriter, r *http.Request) {
	out := s.core.List(r.URL.Query().Get("prefix"))
	for _, e := range out.Entries {
		s.recordBytes(len(e.Value))
	}
	writeJSON(w, http.StatusOK, out)
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	wait := min(time.Duration(millis)*time.Millisecond, maxWatch)
	ctx, cancel := context.WithTimeout(r.Context(), wait)
	defer cancel()
	out := s.core.waitForChanges(ctx, q.Get("prefix"), after)
	if r.Context().Err() != nil {
		return
	}
	for _, e := range out.Entries {
		s.recordBytes(len(e.Value))
	}
	writeJSON(w, http.StatusOK, out)
}

// waitForChanges waits for changes after a revision and returns them. If ctx ends first,
// it returns no entries.
func (c *Core) waitForChanges(ctx context.Context, prefix string, after uint64) kvapi.WatchResponse {
	for {
		out, changed := c.Changes(prefix, after)
		if len(out.Entries) > 0 {
			return out
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return out
		}
	}
}

func (s *Server) cas(w http.ResponseWriter, r *http.Request) {
	var req kvapi.CASRequest
	if !readJSON(w, r, &req) {
		s.recordRejected()
		return
	}
	revision, err := s.core.CompareAndSwap(req)
	if s.takeDroppedResponse() {
		panic(http.ErrAbortHandler)
	}
	var conflict *conflictError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, kvapi.CASResponse{Revision: revision})
	case errors.As(err, &conflict):
		writeJSON(w, http.StatusConflict, kvapi.CASResponse{Current: &conflict.current})
	case errors.Is(err, errTooLarge):
		s.recordRejected()
		writeJSON(w, http.StatusRequestEntityTooLarge, struct{}{})
	default:
		writeJSON(w, http.StatusNotFound, struct{}{})
	}
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	var req kvapi.LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	id := s.core.Grant(time.Duration(req.TTLMillis) * time.Millisecond)
	s.writeLeaseResponse(w, kvapi.LeaseResponse{ID: id, TTLMillis: req.TTLMillis})
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	var req kvapi.LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	ttl, err := s.core.KeepAlive(req.ID)
	if err != nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	s.writeLeaseResponse(w, kvapi.LeaseResponse{ID: req.ID, TTLMillis: ttl.Milliseconds()})
}

func (s *Server) revoke(w http.ResponseWriter, r *http.Request) {
	var req kvapi.LeaseRequest
	if !readJSON(w, r, &req) {
		return
	}
	s.core.Revoke(req.ID)
	s.writeLeaseResponse(w, kvapi.LeaseResponse{ID: req.ID})
}

func (s *Server) writeLeaseResponse(w http.ResponseWriter, resp kvapi.LeaseResponse) {
	if s.takeDroppedResponse() {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, http.StatusOK, resp)
}

func (s *Server) setFaults(w http.ResponseWriter, r *http.Request) {
	var req FaultRequest
	if !readJSON(w, r, &req) {
		return
	}
	s.Apply(req)
	writeJSON(w, http.StatusOK, req)
}

func readJSON(w http.ResponseWriter, r *http.Request, into any) bool {
	err := json.NewDecoder(r.Body).Decode(into)
	if err == nil {
		return true
	}
	var tooLarge *http.MaxBytesError
	status := http.StatusBadRequest
	if errors.As(err, &tooLarge) {
		status = http.StatusRequestEntityTooLarge
	}
	writeJSON(w, status, struct{}{})
	return false
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
