package upstream

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// unasked is the Confirmation of a request to a process that gives no report.
func unasked(required bool) *Confirmation { return &Confirmation{Required: required} }

// hold sends a request whose connection stays in use until the test ends.
func (s *startedReplica) hold(t *testing.T, p *Pool) *Response {
	t.Helper()
	response, err := getWith(p, unasked(false))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { response.Done(false) })
	return response
}

// sendUnasked sends a request and returns whether it reached the known process, as far as is known.
func (s *startedReplica) sendUnasked(p *Pool, required bool) (known bool, err error) {
	response, err := getWith(p, unasked(required))
	if response != nil {
		defer response.Done(false)
	}
	return err == nil && response.Continuous(context.Background()), err
}

// breakOff lets the replica break one answer off.
func (s *startedReplica) breakOff(t *testing.T, p *Pool) {
	t.Helper()
	s.cut.Store(true)
	defer s.cut.Store(false)
	if _, err := s.sendUnasked(p, false); err == nil {
		t.Fatal("the response is complete")
	}
}

// unaskedPool returns a pool of connections to a process that gives no report.
func (s *startedReplica) unaskedPool(t *testing.T) *Pool {
	p := s.pool(t)
	p.WatchSigns(nil, nil)
	return p
}

// refusingPool returns a pool whose connections are refused while refuses is set.
func (s *startedReplica) refusingPool(t *testing.T) (p *Pool, refuses *atomic.Bool) {
	p, refuses = s.unaskedPool(t), &atomic.Bool{}
	p.WrapDial(func(dial DialFunc) DialFunc {
		return func(ctx context.Context, network, address string) (net.Conn, error) {
			if refuses.Load() {
				return nil, errors.New("refused")
			}
			return dial(ctx, network, address)
		}
	})
	return p, refuses
}

// awaitInquiry waits until it is known why a connection broke.
func awaitInquiry(p *Pool) { p.continuity.await(context.Background()) }

// TestSignsOfRestart guards against a request that must reach a process which gives no report, and reaches the next one at its address,
// and against one that is refused although nothing shows that the process ended.
func TestSignsOfRestart(t *testing.T) {
	for _, c := range []struct {
		name  string
		event func(*testing.T, *startedReplica, *Pool, *atomic.Bool)
		known bool
	}{
		{"nothing happens", func(*testing.T, *startedReplica, *Pool, *atomic.Bool) {}, true},
		{"an answer breaks off", func(t *testing.T, r *startedReplica, p *Pool, _ *atomic.Bool) { r.breakOff(t, p) }, true},
		{"answers break off one after the other", func(t *testing.T, r *startedReplica, p *Pool, _ *atomic.Bool) {
			for range 5 {
				r.breakOff(t, p)
			}
		}, true},
		{"an answer breaks off and the process accepts no connection after it", func(t *testing.T, r *startedReplica, p *Pool, refuses *atomic.Bool) {
			r.breakOff(t, p)
			refuses.Store(true)
			awaitInquiry(p)
			refuses.Store(false)
		}, false},
		{"an answer breaks off while another connection stays open", func(t *testing.T, r *startedReplica, p *Pool, _ *atomic.Bool) {
			r.hold(t, p)
			r.breakOff(t, p)
		}, true},
		{"all connections end at once, and the process accepts no connection after it", func(t *testing.T, r *startedReplica, p *Pool, refuses *atomic.Bool) {
			held := []*Response{r.hold(t, p), r.hold(t, p)}
			r.closeAll()
			for _, h := range held {
				for h.c.isOpen() {
					time.Sleep(time.Millisecond)
				}
				p.broke(h.c, time.Now())
			}
			refuses.Store(true)
			awaitInquiry(p)
			refuses.Store(false)
		}, false},
		{"all connections end at once, one of them idle, and the process lives", func(t *testing.T, r *startedReplica, p *Pool, _ *atomic.Bool) {
			h, idle := r.hold(t, p), r.hold(t, p)
			idle.Done(true)
			r.closeAll()
			for h.c.isOpen() || idle.c.isOpen() {
				time.Sleep(time.Millisecond)
			}
			p.broke(h.c, time.Now())
		}, true},
		{"the only connection ended while nobody read it", func(t *testing.T, r *startedReplica, p *Pool, _ *atomic.Bool) {
			p.broke(r.hold(t, p).c, time.Now().Add(-time.Second))
		}, false},
		{"a connection that the peer announced to close ends", func(t *testing.T, r *startedReplica, p *Pool, _ *atomic.Bool) {
			h := r.hold(t, p)
			p.continuity.closing(h.c)
			p.broke(h.c, time.Now().Add(-time.Second))
		}, true},
		{"no connection can be opened", func(_ *testing.T, _ *startedReplica, p *Pool, refuses *atomic.Bool) {
			refuses.Store(true)
			_ = p.Probe(context.Background()) // fails
			refuses.Store(false)
		}, false},
		{"another daemon doubts the process", func(_ *testing.T, _ *startedReplica, p *Pool, _ *atomic.Bool) { p.Doubt() }, false},
		{"this daemon stalled", func(_ *testing.T, _ *startedReplica, p *Pool, _ *atomic.Bool) { p.CloseIdle() }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newStartedReplica(t)
			p, refuses := r.refusingPool(t)
			c.event(t, r, p, refuses)
			awaitInquiry(p)
			arrived := r.arrivals.Load()
			if known, err := r.sendUnasked(p, false); err != nil || known != c.known {
				t.Errorf("a new request: known %v, %v", known, err)
			}
			if got := p.MayReachKnown(); got != c.known {
				t.Errorf("may reach the known process: %v", got)
			}
			_, err := r.sendUnasked(p, true)
			if c.known != (err == nil) || !c.known && (!errors.Is(err, ErrUnconfirmed) || !errors.Is(err, ErrNotSent)) {
				t.Errorf("a request that must reach it: %v", err)
			}
			if n := r.arrivals.Load() - arrived; !c.known && n != 1 {
				t.Errorf("%d requests arrived, want the new one alone", n)
			}
		})
	}
}

// TestOlderConnectionVouchesForProcess guards against streams that end although a connection from before the sign is open, and against
// a connection to a later process that vouches for others.
func TestOlderConnectionVouchesForProcess(t *testing.T) {
	r := newStartedReplica(t)
	p := r.unaskedPool(t)
	old := r.hold(t, p)
	p.continuity.sign(time.Now())
	if known, err := r.sendUnasked(p, true); err != nil || !known {
		t.Errorf("beside a connection from before: known %v, %v", known, err)
	}
	if !old.Continuous(context.Background()) {
		t.Error("the older connection itself leads to another process")
	}
	r.closeAll()
	for old.c.isOpen() {
		time.Sleep(time.Millisecond)
	}
	later := r.hold(t, p)
	if later.Continuous(context.Background()) {
		t.Error("a connection from after the sign leads to the known process")
	}
	if _, err := r.sendUnasked(p, true); !errors.Is(err, ErrUnconfirmed) {
		t.Errorf("beside a connection from after: %v", err)
	}
}

// TestConnectionsOpenedBeforeLateSign guards against a connection that was opened between a restart and the news of it.
func TestConnectionsOpenedBeforeLateSign(t *testing.T) {
	r := newStartedReplica(t)
	p := r.unaskedPool(t)
	h := r.hold(t, p)
	p.Doubt()
	if h.Continuous(context.Background()) {
		t.Error("a connection opened just before another daemon's news counts as one to the process before")
	}
}

// TestEntryVouchesForProcess guards against a process that is never known again, and against an entry of the process before that vouches
// for it once the sign has been forgotten.
func TestEntryVouchesForProcess(t *testing.T) {
	r := newStartedReplica(t)
	p := r.unaskedPool(t)
	settled := false
	current := true
	p.WatchSigns(func(since time.Time) bool { return current && (settled || since.IsZero()) }, nil)
	p.Doubt()
	h := r.hold(t, p)
	if h.Continuous(context.Background()) || p.MayReachKnown() {
		t.Error("known before the entry")
	}
	settled = true
	if known, err := r.sendUnasked(p, true); err != nil || !known {
		t.Errorf("after the entry: known %v, %v", known, err)
	}
	settled = false
	if !p.MayReachKnown() {
		t.Error("the process that was known is in doubt without a sign")
	}
	current = false
	if known, err := r.sendUnasked(p, true); err != nil || !known {
		t.Errorf("beside an open connection while the registry is out of date: known %v, %v", known, err)
	}
	r.closeAll()
	for h.c.isOpen() {
		time.Sleep(time.Millisecond)
	}
	if p.MayReachKnown() {
		t.Error("known while the registry is out of date")
	}
	current = true
	p.Doubt()
	if p.MayReachKnown() {
		t.Error("known after another sign")
	}
}

// TestSignIsTold guards against other daemons that go on to trust a process whose end only this one saw.
func TestSignIsTold(t *testing.T) {
	r := newStartedReplica(t)
	p, refuses := r.refusingPool(t)
	told := make(chan struct{}, 10)
	p.WatchSigns(nil, func() { told <- struct{}{} })
	p.Doubt()
	r.breakOff(t, p)
	awaitInquiry(p)
	if len(told) != 0 {
		t.Error("told what another daemon said, or a broken answer of a process that lives")
	}
	p.broke(r.hold(t, p).c, time.Now().Add(-time.Second))
	if len(told) != 1 {
		t.Errorf("told %d times, want once", len(told))
	}
	r.breakOff(t, p)
	refuses.Store(true)
	awaitInquiry(p)
	if len(told) != 2 {
		t.Errorf("told %d times, want twice", len(told))
	}
}
