package relay

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	eventBufferBytes = 8 << 10
	maxEventBytes    = 1 << 20
	streamType       = "text/event-stream"
)

func isStream(h http.Header) bool { return strings.HasPrefix(h.Get("Content-Type"), streamType) }

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }

var errEventTooLong = errors.New("relay: event too long")

// events reads whole events from a stream. A replica may stop in the middle of one;
// passing that on would make a resumed stream unreadable.
type events struct {
	r *bufio.Reader
}

func newEvents(body io.Reader) *events {
	return &events{r: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next returns the next event with its closing empty line. io.EOF means that the stream
// ended between two events.
func (e *events) next() ([]byte, error) {
	var event []byte
	for {
		line, err := e.r.ReadSlice('\n')
		event = append(event, line...)
		if len(event) > maxEventBytes {
			return nil, errEventTooLong
		}
		switch {
		case err == bufio.ErrBufferFull:
			continue
		case err == io.EOF && len(event) == 0:
			return nil, io.EOF
		case err == io.EOF:
			return nil, io.ErrUnexpectedEOF
		case err != nil:
			return nil, err
		}
		if isBlank(line) && len(event) > len(line) {
			return event, nil
		}
	}
}

// more reports whether bytes of another event have arrived.
func (e *events) more() bool { return e.r.Buffered() > 0 }

func isBlank(line []byte) bool { return len(bytes.TrimRight(line, "\r\n")) == 0 }

// eventID returns the id of an event, empty if it has none.
func eventID(event []byte) string {
	for line := range bytes.Lines(event) {
		if value, ok := bytes.CutPrefix(line, []byte("id:")); ok {
			return string(bytes.TrimSpace(value))
		}
	}
	return ""
}

// after reports whether an event's id follows another. Ids that are no numbers are taken
// to follow.
func after(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	m, err := strconv.ParseUint(last, 10, 64)
	return err != nil || n > m
}

// sink is the caller's end of a stream.
type sink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	started bool
	last    string // id of the newest event passed on
	count   int
	firstAt time.Time
	lastAt  time.Time
	pause   time.Duration // the longest between two events
}

// note counts an event.
func (k *sink) note(now time.Time) {
	k.count++
	if !k.lastAt.IsZero() {
		k.pause = max(k.pause, now.Sub(k.lastAt))
	}
	k.lastAt = now
}

func (k *sink) write(event []byte, flush bool) error {
	if _, err := k.w.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return k.control.Flush()
}

// start writes the head of the first replica's answer. It waits for the first event, so
// that a stream that breaks before it can still become a clean error.
func (s *Server) start(k *sink, t *try) {
	if k.started {
		return
	}
	k.started = true
	k.firstAt = time.Now()
	s.o.Dialect.CopyResponseHeader(k.w.Header(), t.response.Header)
	s.closeIfStopping(k.w)
	k.w.WriteHeader(t.response.Status)
}

// pump passes events on until the stream ends. It returns nil after a clean end.
func (s *Server) pump(ctx context.Context, k *sink, t *try) error {
	in := newEvents(t.response.Body)
	for {
		event, err := in.next()
		if err == io.EOF {
			s.start(k, t)
			return k.control.Flush()
		}
		if err != nil {
			return errors.Wrap(err, "relay: stream")
		}
		if id := eventID(event); id != "" {
			if k.last != "" && !after(id, k.last) {
				continue // a resumed stream repeats what the caller has
			}
			k.last = id
		}
		t.first()
		s.start(k, t)
		k.note(time.Now())
		if err := k.write(event, !in.more()); err != nil {
			return errors.Mark(errors.Wrap(err, "relay: caller"), errCallerGone)
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

var errCallerGone = errors.New("relay: the caller is gone")
