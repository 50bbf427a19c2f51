package fault

import (
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

const readHeaderTimeout = 30 * time.Second

// Server serves one stand-in over HTTP and applies its switches.
type Server struct {
	http     *http.Server
	listener net.Listener
	done     chan struct{}
}

// Serve listens on address (host:port; the system chooses the port if it is 0) and
// serves handler behind the switches until Close.
func Serve(address string, s *Switches, handler http.Handler) (*Server, error) {
	inner, err := net.Listen("tcp", address)
	if err != nil {
		return nil, errors.Wrap(err, "stand-in: listen")
	}
	srv := &Server{
		http: &http.Server{
			Handler:           Middleware(s, handler),
			ConnContext:       ConnContext,
			ReadHeaderTimeout: readHeaderTimeout,
			ErrorLog:          log.New(io.Discard, "", 0),
		},
		listener: NewListener(inner, s),
		done:     make(chan struct{}),
	}
	go func() {
		defer close(srv.done)
		srv.http.Serve(srv.listener)
	}()
	return srv, nil
}

// Address returns the host:port that the server listens on.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server immediately, as killing its process would: it closes the
// listener and every connection.
func (s *Server) Close() error {
	err := s.http.Close()
	<-s.done
	return err
}

// Done returns a channel that is closed when the server has stopped.
func (s *Server) Done() <-chan struct{} { return s.done }
