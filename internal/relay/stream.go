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

	"github.com/bluebellscale/bluebellscale/internal/framing"
)

const (
	eventBufferBytes = 8 << 10
	maxEventBytes    = 1 << 20
	streamType       = "text/event-stream"
)

func isStream(h http.Header) bool { return strings.HasPrefix(h.Get("Content-Type"), streamType) }

var errEventTooLong = errors.New("relay: event exceeds the size limit")

// eventReader reads complete events from a stream. If a replica stops in the middle of an event,
// the fragment must not reach the caller: a resumed stream could not be parsed after it.
type eventReader struct {
	r *bufio.Reader
}

func newEventReader(body io.Reader) *eventReader {
	return &eventReader{r: bufio.NewReaderSize(body, eventBufferBytes)}
}

// next returns the next event including its terminating empty line. It returns io.EOF if the
// stream ended between two events.
func (e *eventReader) next() ([]byte, error) {
	var event []byte
	lineStart := 0 // of the current line in event; a line may take several reads
	for {
		read, err := e.r.ReadSlice('\n')
		event = append(event, read...)
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
		if lineStart > 0 && isBlank(event[lineStart:]) {
			return event, nil
		}
		lineStart = len(event)
	}
}

// hasBuffered reports whether bytes of another event are buffered.
func (e *eventReader) hasBuffered() bool { return e.r.Buffered() > 0 }

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

// carriesData reports whether an event tells its receiver something. One without data, such as a comment, is ignored.
func carriesData(event []byte) bool {
	for line := range bytes.Lines(event) {
		if bytes.HasPrefix(line, []byte("data")) {
			return true
		}
	}
	return false
}

// follows reports whether an event's id is greater than the last one. Ids that are not numbers
// count as greater.
func follows(id, last string) bool {
	n, err := strconv.ParseUint(id, 10, 64)
	if err != nil {
		return true
	}
	m, err := strconv.ParseUint(last, 10, 64)
	return err != nil || n > m
}

// sink writes the events of a stream to the caller.
type sink struct {
	w           http.ResponseWriter
	control     *http.ResponseController
	started     bool
	framing     framing.Framing // of the response, once it has started
	lastEventID string          // id of the last event that was delivered
	unnumbered  bool            // data without an id was delivered since; a resumed stream would repeat it
	software    SoftwareBinding // version of the software that began the response; unbound: not known
	events      int
	firstAt     time.Time
	lastAt      time.Time
	longestGap  time.Duration // longest time between two events
}

// recordEvent counts an event and reports whether the gap before it is the longest one so far.
func (out *sink) recordEvent(now time.Time) bool {
	out.events++
	before := out.lastAt
	out.lastAt = now
	if before.IsZero() || now.Sub(before) <= out.longestGap {
		return false
	}
	out.longestGap = now.Sub(before)
	return true
}

func (out *sink) write(event []byte, flush bool) error {
	if _, err := out.w.Write(event); err != nil {
		return err
	}
	if !flush {
		return nil
	}
	return out.control.Flush()
}

// startResponse writes the status and headers of the first replica's response. It is called at the
// first event, so that a stream that breaks earlier can still become a clean error.
func (s *Server) startResponse(ctx context.Context, j *Job, out *sink, a *attempt) {
	if out.started {
		return
	}
	out.software = a.servedBy(ctx)
	s.recordOrigin(ctx, j, out, a)
	out.started = true
	out.firstAt = time.Now()
	s.copyHeader(out.w.Header(), a)
	setServedBy(out.w.Header(), j, out.software)
	out.framing = s.frame(ctx, out.w, j, a)
	s.closeIfDraining(out.w)
	out.w.WriteHeader(a.response.Status)
}

// endStream ends the response after the replica's connection or framing ended between two events.
func (s *Server) endStream(ctx context.Context, j *Job, out *sink, a *attempt) error {
	f := out.framing
	if !out.started {
		f.ByConnection = true // the response will have the replica's framing
	}
	if err := s.confirmEnd(ctx, j, a, f); err != nil {
		return err
	}
	s.startResponse(ctx, j, out, a)
	if err := out.control.Flush(); err != nil {
		return errors.Mark(errors.Wrap(err, "relay: caller"), errCallerDisconnected)
	}
	out.framing.End()
	return nil
}

// copyEvents delivers events until the stream ends. It returns nil if the stream ended cleanly.
func (s *Server) copyEvents(ctx context.Context, j *Job, out *sink, a *attempt) error {
	reader := newEventReader(a.response.Body)
	for {
		event, err := reader.next()
		if err == io.EOF {
			return s.endStream(ctx, j, out, a)
		}
		if err != nil {
			return errors.Wrap(err, "relay: stream")
		}
		if id := eventID(event); id != "" {
			if out.lastEventID != "" && !follows(id, out.lastEventID) {
				continue // a resumed stream may repeat delivered events
			}
			out.lastEventID, out.unnumbered = id, false
		} else if carriesData(event) {
			out.unnumbered = true
		}
		a.recordFirstEvent()
		s.startResponse(ctx, j, out, a)
		arrived := time.Now()
		if out.recordEvent(arrived) && a.placement.OnLongestGap != nil {
			a.placement.OnLongestGap(out.longestGap)
		}
		if err := out.write(event, !reader.hasBuffered()); err != nil {
			return errors.Mark(errors.Wrap(err, "relay: caller"), errCallerDisconnected)
		}
		if a.placement.Stream != nil {
			a.placement.Stream.Event(arrived, time.Since(arrived))
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
	}
}

var errCallerDisconnected = errors.New("relay: the caller disconnected")
