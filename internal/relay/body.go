package relay

import (
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/policy/memory"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

const (
	// firstChunkBytes is the memory taken first for a body or an answer without a length. It doubles as needed.
	firstChunkBytes = 8 << 10
	// slowBodyRetry is the Retry-After for a caller that sent its body too slowly.
	slowBodyRetry = 100 * time.Millisecond
	// unreadDivisor: the rest of a refused body may be read for 1/unreadDivisor of its route's objective, at least minUnreadTime: the caller waits for its
	// refusal meanwhile. It is at least minUnreadTime, within which bytes on their way arrive.
	unreadDivisor = 8
	minUnreadTime = 50 * time.Millisecond
)

// readBody reads the body of a request into memory taken from the budget, together with the buffers of a stream: a
// stream can be refused here only, while it has not run. A body with a length is refused before it is read.
func (s *Server) readBody(w http.ResponseWriter, r *http.Request, j *Job, limit int64) error {
	if limit <= 0 {
		limit = defaultBodyLimit
	}
	size := r.ContentLength
	switch {
	case size == 0 && j.Route.Kind != routing.KindStream:
		return nil
	case size > limit:
		return s.refuseUnread(w, j, bodyTooLong())
	case size < 0:
		size = min(firstChunkBytes, limit)
	}
	held, refusal := s.memory.takeBody(j, size)
	if refusal != nil {
		return s.refuseUnread(w, j, noMemory(refusal))
	}
	j.memory = held
	if size == 0 {
		return nil
	}
	reader := &progressReader{r: r.Body, control: http.NewResponseController(w), stall: s.o.StallTimeout, until: j.Deadline}
	body, err := readAll(reader, size, limit, func(more int64) error {
		if refusal := s.memory.growBody(held, more); refusal != nil {
			return noMemory(refusal)
		}
		return nil
	})
	if errors.Is(err, errLimitReached) {
		err = checkEnd(reader)
	}
	if isStalled(err) {
		w.Header().Set("Connection", "close") // net/http would otherwise wait for the rest of the body
	}
	if err != nil {
		return s.refuseUnread(w, j, s.bodyError(j, err))
	}
	reader.end()
	j.Body = body
	return nil
}

// checkEnd returns an error unless r is at its end.
func checkEnd(r io.Reader) error {
	var b [1]byte
	switch _, err := io.ReadFull(r, b[:]); err {
	case io.EOF:
		return nil
	case nil:
		return bodyTooLong()
	default:
		return err
	}
}

// errLimitReached means that as many bytes as allowed were read and that more may follow.
var errLimitReached = errors.New("relay: size limit reached")

// readAll reads r to its end into a buffer of size bytes, which it doubles up to limit as needed. It asks grow
// before it allocates. With an error it returns what it has read.
func readAll(r io.Reader, size, limit int64, grow func(more int64) error) ([]byte, error) {
	buf := make([]byte, 0, size)
	for {
		if len(buf) == cap(buf) {
			more := min(size, limit-size)
			if more <= 0 {
				return buf, errLimitReached
			}
			if err := grow(more); err != nil {
				return buf, err
			}
			size += more
			buf = append(make([]byte, 0, size), buf...)
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if err == io.EOF {
			return buf, nil
		}
		if err != nil {
			return buf, err
		}
	}
}

// refuseUnread prepares the refusal of a request whose body has not been read completely. net/http reads the rest of a
// short body before it responds, so that the connection can be used again, and closes the
// connection after the response to a long one. The deadline bounds the reading, and with it how late the refusal comes.
func (s *Server) refuseUnread(w http.ResponseWriter, j *Job, err error) error {
	setDeadline(http.NewResponseController(w).SetReadDeadline, time.Now().Add(s.unreadTime(j.Route)))
	return err
}

// unreadTime returns how long the rest of a refused body may be read.
func (s *Server) unreadTime(r *routing.Route) time.Duration {
	limit := s.o.StallTimeout / 2
	if r.Objective <= 0 {
		return limit
	}
	return min(limit, max(minUnreadTime, r.Objective/unreadDivisor))
}

func bodyTooLong() *request.Error {
	return &request.Error{Code: request.CodePayloadTooLarge, Status: http.StatusRequestEntityTooLarge, Message: "body: too long", Ran: request.NotRun}
}

func noMemory(refusal *memory.Refusal) *request.Error {
	return request.Refuse(request.CodeOverloaded, http.StatusServiceUnavailable, jittered(refusal.RetryAfter), "body: %s", refusal)
}

// bodyError returns the error for a body that could not be read.
func (s *Server) bodyError(j *Job, err error) error {
	var e *request.Error
	switch {
	case errors.As(err, &e):
		return e
	case isStalled(err):
		s.memory.recordSlowCaller("body")
		s.o.Logger.Info("A caller sends its request too slowly", "request", j.ID, "route", j.Route.Name, "after_ms", sinceMs(j.Start))
		return request.Refuse(request.CodeDeadline, http.StatusRequestTimeout, slowBodyRetry, "body: not received in time")
	default:
		return &request.Error{Code: request.CodeBadRequest, Status: http.StatusBadRequest, Message: "body: " + err.Error(), Ran: request.NotRun}
	}
}
