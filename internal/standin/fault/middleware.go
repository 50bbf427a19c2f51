package fault

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/sleep"
)

// Path is the HTTP path at which the switches are read and set.
const Path = "/fault"

type connKey struct{}

// ConnContext passes a request's connection to Middleware. It is the value for the
// http.Server field of the same name.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// Middleware serves Path and applies the configured faults to all other requests.
func Middleware(s *Switches, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == Path {
			s.serveControl(w, r)
			return
		}
		s.serveWithFaults(w, r, next)
	})
}

func (s *Switches) serveControl(w http.ResponseWriter, r *http.Request) {
	if conn, ok := r.Context().Value(connKey{}).(*Conn); ok {
		conn.control.Store(true)
	}
	// The connection is now exempt from the switches and must not carry other requests.
	w.Header().Set("Connection", "close")
	status := s.Status()
	if r.Method == http.MethodPost {
		var c Command
		d := json.NewDecoder(r.Body)
		d.DisallowUnknownFields()
		err := d.Decode(&c)
		if err == nil {
			err = c.check()
		}
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		status = s.Apply(c)
	}
	w.Header().Set("Content-Type", "application/json")
	json.NewEncoder(w).Encode(status)
}

func (s *Switches) serveWithFaults(w http.ResponseWriter, r *http.Request, next http.Handler) {
	if err := s.WaitUnfrozen(r.Context()); err != nil {
		panic(http.ErrAbortHandler)
	}
	status := s.Status()
	if status.CloseConns {
		panic(http.ErrAbortHandler)
	}
	if sleep.For(r.Context(), time.Duration(status.DelayMillis)*time.Millisecond) != nil {
		panic(http.ErrAbortHandler)
	}
	// Only requests that take effect lose their response. Otherwise the daemons' probes,
	// which are reads, would use up the switch.
	if r.Method != http.MethodGet && s.TakeDroppedResponse() {
		next.ServeHTTP(newDiscardWriter(), r)
		panic(http.ErrAbortHandler)
	}
	answer := newAnswerWriter(w, r, s)
	next.ServeHTTP(answer, r)
	answer.finish()
}

// discardWriter is a ResponseWriter that discards the response.
type discardWriter struct {
	header http.Header
}

func newDiscardWriter() *discardWriter { return &discardWriter{header: make(http.Header)} }

func (d *discardWriter) Header() http.Header         { return d.header }
func (d *discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (d *discardWriter) WriteHeader(int)             {}
func (d *discardWriter) Flush()                      {}
