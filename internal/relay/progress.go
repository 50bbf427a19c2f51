package relay

import (
	"io"
	"net/http"
	"os"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

const (
	// DefaultStallTimeout is the time within which a caller must send progressBytes of its body, or the rest. A write to a
	// caller may be blocked for WriteStall of it. It applies if Options sets no StallTimeout.
	DefaultStallTimeout = 3 * time.Second
	// progressBytes is what a caller must take or send within the stall timeout, unless less is left.
	progressBytes = 16 << 10
	// writeLumpBytes is what must become free before the kernel reports a full socket as writable: a third of its
	// buffer, which is twice what was set.
	writeLumpBytes = 2 * upstream.SocketBufferBytes / 3
	// renewalsPerStall is how often a deadline is renewed within the stall timeout. Renewing it at each event of
	// a stream is not needed.
	renewalsPerStall = 8
)

// setDeadline sets a deadline of a caller's connection. It does nothing for a ResponseWriter without a connection.
func setDeadline(set func(time.Time) error, t time.Time) {
	_ = set(t) // fails without a connection, or on one that is closed, whose next read or write fails
}

// isStalled reports whether err is the error of a connection whose peer made no progress. The kernel
// ends a connection that accepts nothing by itself.
func isStalled(err error) bool {
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, syscall.ETIMEDOUT)
}

// progressReader reads a body and fails if it makes no progress within the stall timeout, or is not complete at
// until.
type progressReader struct {
	r       io.Reader
	control *http.ResponseController
	stall   time.Duration
	until   time.Time
	since   int // bytes read since the deadline was set
	set     bool
}

// Read implements io.Reader.
func (p *progressReader) Read(b []byte) (int, error) {
	if !p.set || p.since >= progressBytes {
		p.renew()
	}
	n, err := p.r.Read(b)
	p.since += n
	return n, err
}

func (p *progressReader) renew() {
	deadline := time.Now().Add(p.stall)
	if !p.until.IsZero() && p.until.Before(deadline) {
		deadline = p.until
	}
	setDeadline(p.control.SetReadDeadline, deadline)
	p.set, p.since = true, 0
}

// end removes the deadline. net/http goes on reading to notice that the caller disconnects.
func (p *progressReader) end() { setDeadline(p.control.SetReadDeadline, time.Time{}) }

// WriteStall returns how long a write to a caller may be blocked, and its bytes unacknowledged: the time in which a caller
// that takes progressBytes within each stall timeout has freed writeLumpBytes. A shorter TCP_USER_TIMEOUT ends callers that
// read: while the window is smaller than the next segments, the kernel counts on although bytes are acknowledged.
func WriteStall(stall time.Duration) time.Duration {
	return stall * ((writeLumpBytes + progressBytes - 1) / progressBytes)
}

// progressWriter writes a response and fails if a write is blocked for WriteStall.
type progressWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	stall   time.Duration
	setAt   time.Time // when the deadline was set
	stalled bool      // a write failed because the caller made no progress
}

func newProgressWriter(w http.ResponseWriter, stall time.Duration) *progressWriter {
	return &progressWriter{ResponseWriter: w, control: http.NewResponseController(w), stall: stall}
}

// Unwrap returns the underlying writer for http.ResponseController.
func (p *progressWriter) Unwrap() http.ResponseWriter { return p.ResponseWriter }

// WriteHeader implements http.ResponseWriter.
func (p *progressWriter) WriteHeader(status int) {
	p.renew()
	p.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (p *progressWriter) Write(b []byte) (int, error) {
	written := 0
	for {
		part := b[written:min(len(b), written+progressBytes)]
		p.renew()
		began := time.Now()
		n, err := p.ResponseWriter.Write(part)
		written += n
		p.recordError(began, err)
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

// FlushError implements the interface of http.ResponseController.
func (p *progressWriter) FlushError() error {
	p.renew()
	began := time.Now()
	err := p.control.Flush()
	p.recordError(began, err)
	return err
}

// recordError records whether a write that began at some time failed because the caller made no progress. The kernel reports
// that it has ended the connection once only, often to net/http's reader; the write then fails with another error.
func (p *progressWriter) recordError(began time.Time, err error) {
	if isStalled(err) || err != nil && time.Since(began) >= WriteStall(p.stall)/2 {
		p.stalled = true
	}
}

func (p *progressWriter) renew() {
	now := time.Now()
	if now.Sub(p.setAt) < p.stall/renewalsPerStall {
		return
	}
	p.setAt = now
	setDeadline(p.control.SetWriteDeadline, now.Add(WriteStall(p.stall)))
}
