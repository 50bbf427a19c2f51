package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/framing"
)

// errReplaced means that the process at an address may have been replaced, and that none can be asked which one it is.
var errReplaced = errors.New("upstream: the process may have been replaced")

const (
	// deathDelay is the delay between a broken connection and the probe that tells whether its process died.
	deathDelay = framing.DeathDelay + 20*time.Millisecond
	// noticeTime is how long after its end a broken connection counts as noticed at once. Replicas take longer to start again, and a busy
	// VM may read late.
	noticeTime = 250 * time.Millisecond
	// probeTimeout bounds the probe.
	probeTimeout = 250 * time.Millisecond
	// detectionTime is how long the end of a process may remain unnoticed on an open connection, and then take to be reported.
	detectionTime = keepAliveIdle + keepAliveProbes*keepAliveInterval + 500*time.Millisecond
)

// continuity tells whether the process at an address is still the one that the registry's entry is of, where no report says which
// process it is.
//
// A process that ends closes all its connections, and accepts none until its successor starts. So the end of a connection is a sign
// of a restart unless another one stays open that is at least as old, or unless it was noticed at once and the process accepts a new one
// right after. After a sign, a connection leads to the known process only if it was opened before the sign, or beside such a
// connection, or once the registry's entry must be of the process that has been there since. While the registry is out of date, the
// first two alone count, with or without a sign.
//
// Not covered: a process that is replaced within noticeTime and deathDelay, and one whose connections were all closed before it ended,
// unless another daemon tells.
type continuity struct {
	watches bool                       // see WatchSigns
	settled func(since time.Time) bool // see WatchSigns
	onSign  func()                     // see WatchSigns

	mu      sync.Mutex
	signAt  time.Time          // last sign of a restart; zero: none since the entry
	seenAt  time.Time          // last sign that this daemon's own connections gave; zero: none
	conns   map[*conn]struct{} // open ones, in use or idle
	inquiry chan struct{}      // closed when it is known why a connection broke; nil: none has
}

// WatchSigns makes the pool watch for signs that the process at the address was replaced, where it gives no report. settled reports
// whether the registry's entry is of the process that has been at the address since a time; the zero time means that there was no sign.
// If settled is nil, the entry is of the process that was there before the first sign. onSign is called when the pool's own connections
// give a sign, and must neither block nor use the pool; it may be nil. WatchSigns must be called before the first use.
func (p *Pool) WatchSigns(settled func(since time.Time) bool, onSign func()) {
	p.continuity.watches, p.continuity.settled, p.continuity.onSign = true, settled, onSign
}

// opened adds a connection.
func (t *continuity) opened(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c.continuous = t.leadsToKnown(c)
	if t.conns == nil {
		t.conns = map[*conn]struct{}{}
	}
	t.conns[c] = struct{}{}
}

// closed drops a connection that this end has closed.
func (t *continuity) closed(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
}

// closing records that the peer announced to close a connection, whose end therefore tells nothing.
func (t *continuity) closing(c *conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	c.closing = true
}

// sign records that the process may have been replaced at any time after from.
func (t *continuity) sign(from time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.signLocked(from)
}

func (t *continuity) signLocked(from time.Time) {
	t.signAt = time.Now()
	for c := range t.conns {
		if c.openedAt.After(from) {
			c.continuous = false
		}
	}
}

// verdict is what the end of a connection tells.
type verdict int

const (
	sameProcess verdict = iota
	replaced            // the process may have been replaced
	probe               // a probe must tell whether the process died
)

// broke records that the peer ended a connection, which was last known to be open at aliveAt.
func (t *continuity) broke(c *conn, aliveAt time.Time) verdict {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.conns, c)
	if c.closing {
		return sameProcess
	}
	if t.hasWitness(aliveAt) {
		return sameProcess
	}
	if time.Since(aliveAt) > noticeTime {
		t.signLocked(aliveAt.Add(-deathDelay))
		return replaced
	}
	if t.inquiry != nil {
		return sameProcess
	}
	t.inquiry = make(chan struct{})
	return probe
}

// hasWitness reports whether a connection that was opened before a time is open, so that the process has not ended. Those that the peer
// has closed tell nothing more.
func (t *continuity) hasWitness(before time.Time) bool {
	found := false
	for c := range t.conns {
		switch {
		case !c.isOpen():
			delete(t.conns, c)
			c.closing = true
		case c.openedAt.Before(before):
			found = true
		}
	}
	return found
}

// inquired ends the inquiry why a connection broke. A probe that failed has left a sign.
func (t *continuity) inquired() {
	t.mu.Lock()
	defer t.mu.Unlock()
	close(t.inquiry)
	t.inquiry = nil
}

// leadsToKnown reports whether a connection leads to the process of the registry's entry. The mutex must be held.
func (t *continuity) leadsToKnown(c *conn) bool {
	if c.continuous || t.isKnown() {
		return true
	}
	for o := range t.conns {
		if o.continuous && o.openedAt.Before(c.openedAt) && o.isOpen() {
			return true
		}
	}
	return false
}

// isKnown reports whether the process at the address is that of the registry's entry, as all connections that are open lead to it then.
// The mutex must be held.
func (t *continuity) isKnown() bool {
	switch {
	case t.inquiry != nil:
		return false
	case t.settled == nil:
		return t.signAt.IsZero()
	case !t.settled(t.signAt):
		return false
	}
	t.signAt = time.Time{}
	for c := range t.conns {
		c.continuous = true
	}
	return true
}

// await waits until it is known why a connection broke.
func (t *continuity) await(ctx context.Context) {
	t.mu.Lock()
	inquiry := t.inquiry
	t.mu.Unlock()
	if inquiry == nil {
		return
	}
	select {
	case <-inquiry:
	case <-ctx.Done():
	}
}

// check reports whether a connection leads to the known process. It waits for an inquiry.
func (t *continuity) check(ctx context.Context, c *conn) bool {
	t.await(ctx)
	t.mu.Lock()
	defer t.mu.Unlock()
	c.continuous = t.leadsToKnown(c)
	return c.continuous
}

// broke records that the peer ended a connection, which was last known to be open at aliveAt.
func (p *Pool) broke(c *conn, aliveAt time.Time) {
	p.AskAgain()
	if !p.continuity.watches {
		return
	}
	switch p.continuity.broke(c, aliveAt) {
	case replaced:
		p.continuity.tell()
	case probe:
		go p.inquire()
	}
}

// refused records that the process accepts no connection.
func (p *Pool) refused() {
	p.Doubt()
	p.continuity.sawSign()
}

// sawSign records that this daemon's own connections gave a sign.
func (t *continuity) sawSign() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seenAt = time.Now()
}

func (t *continuity) tell() {
	t.sawSign()
	if t.onSign != nil {
		t.onSign()
	}
}

// inquire finds out whether the process died when its connection broke.
func (p *Pool) inquire() {
	defer p.continuity.inquired()
	ctx, cancel := context.WithTimeout(context.Background(), deathDelay+probeTimeout)
	defer cancel()
	time.Sleep(deathDelay)
	if p.Probe(ctx) != nil {
		p.continuity.sign(time.Now().Add(-deathDelay))
		p.continuity.tell()
	}
}

// MayReachKnown reports whether a connection may lead to the process of the registry's entry, if no report can tell.
func (p *Pool) MayReachKnown() bool {
	t := &p.continuity
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inquiry != nil && t.signAt.IsZero() || t.isKnown() || t.hasKnown()
}

// hasKnown reports whether a connection that leads to the known process is open. The mutex must be held.
func (t *continuity) hasKnown() bool {
	for c := range t.conns {
		if c.continuous && c.isOpen() {
			return true
		}
	}
	return false
}

// SawSignSince reports whether this daemon's own connections have shown since a time that the process may have been replaced.
func (p *Pool) SawSignSince(since time.Time) bool {
	p.continuity.mu.Lock()
	defer p.continuity.mu.Unlock()
	return p.continuity.seenAt.After(since)
}

// confirmUnasked returns an error if a request must reach the known process and the connection may lead to another one.
func (p *Pool) confirmUnasked(ctx context.Context, c *conn, confirm *Confirmation) error {
	if !confirm.Required {
		return nil
	}
	if !p.continuity.check(ctx, c) {
		return errors.Mark(errReplaced, ErrUnconfirmed)
	}
	return nil
}

// Continuous reports whether the process that answers is the one of the registry's entry, as far as is known without a report. If another
// connection to it has just broken, it waits until it is known why.
func (r *Response) Continuous(ctx context.Context) bool { return r.pool.continuity.check(ctx, r.c) }
