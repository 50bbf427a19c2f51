package upstream

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

// startedReplica is a replica that reports which process it is, and can be replaced by another process at its address.
type startedReplica struct {
	*fakeReplica
	process atomic.Int64
	reports atomic.Int64
	closes  atomic.Int64 // number of reports with which it closes the connection
	// cut lets it break its answers off; unframed lets it end them with their connections.
	cut, unframed atomic.Bool

	mu    sync.Mutex
	conns []net.Conn
}

func newStartedReplica(t *testing.T) *startedReplica {
	s := &startedReplica{}
	s.process.Store(1)
	s.fakeReplica = startReplica(t, func(r *fakeReplica, _ int, c net.Conn, br *bufio.Reader) {
		s.mu.Lock()
		s.conns = append(s.conns, c)
		s.mu.Unlock()
		for {
			q, _, ok := r.readRequest(br)
			if !ok || !s.answer(c, q) {
				return
			}
		}
	})
	return s
}

// closeAll ends all connections.
func (s *startedReplica) closeAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.conns {
		c.Close()
	}
}

// answer answers a request, and reports whether the connection stays open.
func (s *startedReplica) answer(c net.Conn, q *http.Request) bool {
	if q.URL.Path == "/report" {
		s.reports.Add(1)
		header := ""
		closes := s.closes.Add(-1) >= 0
		if closes {
			header = "Connection: close\r\n"
		}
		body := fmt.Sprint(s.process.Load())
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
		return !closes
	}
	switch {
	case s.cut.Load():
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab")
		return false
	case s.unframed.Load():
		fmt.Fprint(c, "HTTP/1.1 200 OK\r\n\r\nab")
		return false
	}
	writeResponse(c, q.Header.Get("Id"), "ok")
	return true
}

// confirmation asks for process 1.
func confirmation(required bool) *Confirmation {
	return &Confirmation{
		Required: required, Assume: !required, Timeout: time.Second, Report: &Request{Method: http.MethodGet, URI: "/report", Host: "r"},
		Check: func(status int, body []byte) error {
			if status != http.StatusOK || string(body) != "1" {
				return errors.Newf("status %d, process %s", status, body)
			}
			return nil
		},
	}
}

// get sends a request for process 1 and returns its response, which is read to the end but in use.
func (s *startedReplica) get(p *Pool, required bool) (*Response, error) {
	return getWith(p, confirmation(required))
}

// getWith sends a request and returns its response, which is read to the end but in use.
func getWith(p *Pool, confirm *Confirmation) (*Response, error) {
	response, err := p.Do(context.Background(), &Request{Method: http.MethodGet, URI: "/", Host: "r", Confirm: confirm})
	if err != nil {
		return nil, err
	}
	_, err = io.ReadAll(response.Body)
	return response, err
}

// send sends a request for process 1 and returns whether the process that answered is known to be that one.
func (s *startedReplica) send(p *Pool, required bool) (known bool, err error) {
	response, err := s.get(p, required)
	if response != nil {
		defer response.Done(err == nil)
	}
	return err == nil && response.KnownProcess(), err
}

// TestRequestReachesConfirmedProcessAlone guards against a request that must reach one process and reaches the next one at its address.
func TestRequestReachesConfirmedProcessAlone(t *testing.T) {
	r := newStartedReplica(t)
	p := r.pool(t)
	for range 3 {
		if known, err := r.send(p, true); err != nil || !known {
			t.Fatalf("known %v, %v", known, err)
		}
	}
	if n := r.reports.Load(); n != 1 {
		t.Errorf("%d reports on one connection, want 1", n)
	}
	r.process.Store(2)
	p.CloseIdle()
	arrived := r.arrivals.Load()
	if _, err := r.send(p, true); !errors.Is(err, ErrUnconfirmed) || !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
	if n := r.arrivals.Load() - arrived; n != 1 {
		t.Errorf("%d requests reached the other process, want the report alone", n)
	}
}

// TestReplacedProcessIsNotKnown guards against a new request, and the record of its version, at a process that replaced the known one.
func TestReplacedProcessIsNotKnown(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(*startedReplica, *Pool)
	}{
		{"a response breaks off", func(r *startedReplica, p *Pool) {
			r.cut.Store(true)
			if _, err := r.send(p, false); err == nil {
				t.Error("the response is complete")
			}
			r.cut.Store(false)
		}},
		{"a response ends with its connection", func(r *startedReplica, p *Pool) {
			r.unframed.Store(true)
			if _, err := r.send(p, false); err != nil {
				t.Error(err)
			}
			r.unframed.Store(false)
		}},
		{"an idle connection is closed early", func(r *startedReplica, p *Pool) {
			idle := p.idle[0]
			r.closeAll()
			for idle.isOpen() {
				time.Sleep(time.Millisecond)
			}
			if _, err := r.send(p, false); err != nil {
				t.Error(err)
			}
			p.CloseIdle()
		}},
		{"no connection can be opened", func(r *startedReplica, p *Pool) {
			dial := p.dialer
			p.dialer = func(context.Context, string, string) (net.Conn, error) { return nil, errors.New("refused") }
			if p.Probe(context.Background()) == nil {
				t.Error("the probe succeeded")
			}
			p.dialer = dial
		}},
		{"the daemon stalled", func(_ *startedReplica, p *Pool) { p.CloseIdle() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newStartedReplica(t)
			p := r.pool(t)
			if known, err := r.send(p, false); err != nil || !known || r.reports.Load() != 0 {
				t.Fatalf("known %v, %v, %d reports", known, err, r.reports.Load())
			}
			c.lose(r, p)
			if !p.processes.inDoubt {
				t.Fatal("the process is not in doubt")
			}
			p.Close()
			r.process.Store(2)
			if known, err := r.send(p, false); err != nil || known {
				t.Errorf("another process: known %v, %v", known, err)
			}
			r.process.Store(1)
			if known, err := r.send(p, false); err != nil || !known || p.processes.inDoubt {
				t.Errorf("the same process: known %v, %v, in doubt %v", known, err, p.processes.inDoubt)
			}
		})
	}
}

// TestConnectionIsVerifiedByOpenOne guards against a report for each connection while a verified one is in use, and against a process that
// counts as the same although that connection has ended and nobody has read its end.
func TestConnectionIsVerifiedByOpenOne(t *testing.T) {
	r := newStartedReplica(t)
	p := r.pool(t)
	p.WatchProcess(func() bool { return false })
	held, err := r.get(p, false)
	if err != nil || r.reports.Load() != 1 {
		t.Fatalf("%v, %d reports", err, r.reports.Load())
	}
	if known, err := r.send(p, true); err != nil || !known || r.reports.Load() != 1 {
		t.Errorf("beside an open connection: known %v, %v, %d reports", known, err, r.reports.Load())
	}
	p.CloseIdle()
	r.process.Store(2)
	r.closeAll()
	for held.c.isOpen() {
		time.Sleep(time.Millisecond)
	}
	if known, err := r.send(p, false); err != nil || known {
		t.Errorf("beside one that has ended: known %v, %v", known, err)
	}
	held.Done(false)
	if len(p.processes.anchors) != 0 {
		t.Errorf("%d connections count as in use, want none", len(p.processes.anchors))
	}
}

// TestVerifyAfterResponse guards against a response whose process was assumed and that is attributed to the process that was replaced unnoticed.
func TestVerifyAfterResponse(t *testing.T) {
	for _, c := range []struct {
		name string
		now  int64 // the process that answers; 0: none does
		want bool
	}{{"the same process", 1, true}, {"another one", 2, false}, {"none", 0, true}} {
		t.Run(c.name, func(t *testing.T) {
			r := newStartedReplica(t)
			p := r.pool(t)
			response, err := r.get(p, false)
			if err != nil {
				t.Fatal(err)
			}
			response.Done(false)
			r.process.Store(c.now)
			if c.now == 0 {
				r.listener.Close()
			}
			for range 2 {
				if got := response.Verify(context.Background(), confirmation(true)); got != c.want {
					t.Errorf("got %v", got)
				}
			}
			if n := r.reports.Load(); c.now == 1 && n != 1 {
				t.Errorf("%d reports, want 1", n)
			}
		})
	}
}

// TestReportThatClosesConnection guards against a request that fails because its replica closed the connection with the report.
func TestReportThatClosesConnection(t *testing.T) {
	r := newStartedReplica(t)
	p := r.pool(t)
	r.closes.Store(1)
	if known, err := r.send(p, true); err != nil || !known {
		t.Errorf("known %v, %v", known, err)
	}
	p.CloseIdle()
	r.closes.Store(maxReports)
	if _, err := r.send(p, true); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
}

// TestReportIsBounded guards against a replica that answers the report without an end.
func TestReportIsBounded(t *testing.T) {
	r := startReplica(t, func(r *fakeReplica, _ int, c net.Conn, br *bufio.Reader) {
		if _, _, ok := r.readRequest(br); ok {
			writeResponse(c, "", strings.Repeat("x", maxReportBytes+1))
		}
	})
	s := &startedReplica{fakeReplica: r}
	if _, err := s.send(r.pool(t), true); !errors.Is(err, ErrNotSent) {
		t.Errorf("got %v", err)
	}
}
