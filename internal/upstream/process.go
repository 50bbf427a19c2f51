package upstream

import (
	"context"
	"io"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrUnconfirmed means that a connection does not lead to the process that the request is for. Nothing was sent.
var ErrUnconfirmed = errors.New("upstream: not the expected process")

// errClosedByReport means that the peer closed the connection with its report.
var errClosedByReport = errors.New("upstream: closed with the report")

const (
	maxReportBytes = 64 << 10
	// maxReports is the number of connections on which one request asks for a report: peers close some with an answer.
	maxReports = 2
)

// knowledge is what a pool knows of the process to which a connection leads. A connection leads to one process for as long as it is
// open; another one to the same address may lead to a process that has started since.
type knowledge int

const (
	processUnknown  knowledge = iota
	processAssumed            // the confirmed one, as nothing has shown that it may have been replaced
	processVerified           // the confirmed one
)

// Confirmation finds out whether a connection leads to the process that a request is for.
type Confirmation struct {
	Required bool          // the request must not reach another process; otherwise it is sent all the same
	Assume   bool          // no report is asked for unless the process may have been replaced
	Report   *Request      // asks the process for its report; nil: it gives none
	Timeout  time.Duration // of the report
	// Check returns an error unless the report is that of the expected process.
	Check func(status int, body []byte) error
}

// needed reports whether a report has to be asked for on a connection.
func (c *Confirmation) needed(known knowledge) bool {
	if c.Assume {
		return known < processAssumed
	}
	return known < processVerified
}

// processes is what a pool knows of the process that accepts its connections. The pool's mutex guards it.
type processes struct {
	// isWatched reports whether the registry would show a restart soon; nil: it would.
	isWatched func() bool
	doubts    uint64 // number of observations that the process may have been replaced
	inDoubt   bool   // no report has confirmed the process since the last of them
	// anchors are the verified connections in use. While one is open, new connections lead to the same process.
	anchors map[*conn]struct{}
	// verifiedAt is when the last report that confirmed the process was asked for. Connections that were opened before lead to it
	// too: it was at the address when its entry made the pool, and was still.
	verifiedAt time.Time
}

// WatchProcess sets how a pool learns whether a restart would show while no connection is open. It must be called before the
// first use.
func (p *Pool) WatchProcess(isWatched func() bool) { p.processes.isWatched = isWatched }

// Doubt records that the process at the address may have been replaced within detectionTime.
func (p *Pool) Doubt() {
	p.AskAgain()
	p.continuity.sign(time.Now().Add(-detectionTime))
}

// AskAgain records that a report must tell whether the process is the known one. Processes that give none are not in doubt.
func (p *Pool) AskAgain() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes.doubts++
	p.processes.inDoubt = true
}

// Doubts returns the number of observations so far that the process may have been replaced.
func (p *Pool) Doubts() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processes.doubts
}

// settle records that the process was confirmed by a report that was asked for at a time, after a number of doubts.
func (p *Pool) settle(at time.Time, doubts uint64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.processes.verifiedAt = at
	if p.processes.doubts == doubts {
		p.processes.inDoubt = false
	}
}

// knowledgeOf returns what is known of a connection that was opened after a number of doubts.
func (p *Pool) knowledgeOf(doubts uint64) knowledge {
	watched := p.processes.isWatched == nil || p.processes.isWatched()
	p.mu.Lock()
	defer p.mu.Unlock()
	s := &p.processes
	for c := range s.anchors {
		if c.isOpen() {
			return processVerified
		}
	}
	if watched && !s.inDoubt && s.doubts == doubts {
		return processAssumed
	}
	return processUnknown
}

// reassess updates what is known of a connection by what was learned since it was opened.
func (p *Pool) reassess(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case p.processes.verifiedAt.After(c.openedAt):
		c.process = processVerified
	case p.processes.inDoubt && c.process == processAssumed:
		c.process = processUnknown
	}
}

// use makes a verified connection in use an anchor.
func (p *Pool) use(c *conn) {
	if c.process < processVerified {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.processes.anchors == nil {
		p.processes.anchors = map[*conn]struct{}{}
	}
	p.processes.anchors[c] = struct{}{}
}

func (p *Pool) endUse(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.processes.anchors, c)
}

const (
	tcpInfo        = 11 // Linux TCP_INFO, whose first byte is the state of the connection
	tcpEstablished = 1
)

// isOpen reports whether neither end has closed the connection, as far as the kernel knows, also if bytes are still to be read.
func (c *conn) isOpen() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var info int
	var infoErr error
	err = raw.Control(func(fd uintptr) { info, infoErr = syscall.GetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpInfo) })
	return err == nil && infoErr == nil && info&0xff == tcpEstablished
}

// open returns a connection for a request, and confirms its process if the request wants that.
func (p *Pool) open(ctx context.Context, r *Request) (*conn, error) {
	for n := 1; ; n++ {
		c := p.take(time.Now())
		if c == nil {
			var err error
			if c, err = p.dial(ctx); err != nil {
				return nil, err
			}
		}
		err := p.confirm(ctx, c, r.Confirm)
		if err == nil {
			return c, nil
		}
		c.abort()
		if !errors.Is(err, errClosedByReport) || n == maxReports {
			return nil, errors.Mark(err, ErrNotSent)
		}
	}
}

// confirm asks for a report on a connection if that is needed. Without an error the request may be sent on it.
func (p *Pool) confirm(ctx context.Context, c *conn, confirm *Confirmation) error {
	p.reassess(c)
	if confirm == nil {
		return nil
	}
	if confirm.Report == nil {
		return p.confirmUnasked(ctx, c, confirm)
	}
	if !confirm.needed(c.process) {
		return nil
	}
	at, doubts := time.Now(), p.Doubts()
	status, body, err := report(ctx, c, confirm)
	if err != nil {
		if ctx.Err() == nil && !errors.Is(err, errClosedByReport) {
			p.Doubt()
		}
		return err
	}
	if err := confirm.Check(status, body); err != nil {
		c.process = processUnknown
		if confirm.Required {
			return errors.Mark(err, ErrUnconfirmed)
		}
		return nil
	}
	c.process = processVerified
	p.settle(at, doubts)
	return nil
}

// report exchanges a request for a report and its response on a connection.
func report(ctx context.Context, c *conn, confirm *Confirmation) (status int, body []byte, err error) {
	stop := context.AfterFunc(ctx, c.abort)
	defer stop()
	if err := c.SetDeadline(time.Now().Add(confirm.Timeout)); err != nil {
		return 0, nil, errors.Wrap(err, "upstream: report")
	}
	status, body, err = exchangeReport(c, confirm.Report)
	if err != nil {
		return 0, nil, err
	}
	return status, body, errors.Wrap(c.SetDeadline(time.Time{}), "upstream: report")
}

func exchangeReport(c *conn, r *Request) (status int, body []byte, err error) {
	if _, err := c.Write(r.encodeHead()); err != nil {
		return 0, nil, errors.Wrap(err, "upstream: report")
	}
	raw, err := c.readMatching(r)
	if err != nil {
		return 0, nil, err
	}
	body, err = io.ReadAll(io.LimitReader(raw.Body, maxReportBytes+1))
	switch {
	case err != nil:
		return 0, nil, errors.Wrap(err, "upstream: report")
	case len(body) > maxReportBytes:
		return 0, nil, errors.Newf("upstream: report: more than %d bytes", maxReportBytes)
	case raw.Close:
		return 0, nil, errClosedByReport
	}
	return raw.StatusCode, body, nil
}

// KnownProcess reports whether the process that answers is the one that the request's Confirmation expects, as far as is known.
func (r *Response) KnownProcess() bool { return r.c.process >= processAssumed }

// Verify finds out whether the process that gave a response is the expected one, after the response has ended, from a report on
// another connection. It returns false only if that names another process: one that can't be asked has ended since.
func (r *Response) Verify(ctx context.Context, confirm *Confirmation) bool {
	p := r.pool
	p.verifyMu.Lock()
	defer p.verifyMu.Unlock()
	if r.c.process == processVerified || p.verifiedSince(r.c.openedAt) {
		return true
	}
	ctx, cancel := context.WithTimeout(ctx, confirm.Timeout)
	defer cancel()
	c, err := p.open(ctx, &Request{Confirm: confirm})
	if err != nil {
		return !errors.Is(err, ErrUnconfirmed)
	}
	p.put(c, defaultIdleTimeout)
	return true
}

// verifiedSince reports whether the process was confirmed after a time.
func (p *Pool) verifiedSince(t time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.processes.verifiedAt.After(t)
}

// minWait is how long a read takes at least that waits for the peer, rather than finding bytes or the end of the connection.
const minWait = 200 * time.Microsecond

// watchedBody is the body of a response. If it breaks off, the process may have ended.
type watchedBody struct {
	io.Reader
	ctx      context.Context
	response *Response
	aliveAt  time.Time // when the connection was last known to be open
}

// Read implements io.Reader.
func (b *watchedBody) Read(to []byte) (int, error) {
	began := time.Now()
	n, err := b.Reader.Read(to)
	if waited := time.Since(began); waited > minWait {
		b.aliveAt = time.Now()
	}
	if err == nil || err == io.EOF && !b.response.EndsWithConnection() || b.ctx.Err() != nil {
		return n, err
	}
	b.response.pool.broke(b.response.c, b.aliveAt)
	return n, err
}
