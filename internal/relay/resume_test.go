package relay

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/go-hclog"

	"github.com/bluebellscale/bluebellscale/internal/loglines"
	"github.com/bluebellscale/bluebellscale/internal/replicas"
	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
	"github.com/bluebellscale/bluebellscale/internal/upstream"
)

// addVersionedReplica adds a replica that runs a version of its software and sends events from the one after Last on. It breaks
// off after events of them; zero: it sends all three.
func (f *fixture) addVersionedReplica(software string, events int) {
	f.t.Helper()
	f.addReplica(func(c net.Conn, id string) {
		got := f.received()
		last := 0
		_, _ = fmt.Sscan(got[len(got)-1].lastEventID, &last) // stays zero for a new stream
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", id)
		for n := last + 1; n <= 3; n++ {
			event := fmt.Sprintf("id: %d\ndata: %s\n\n", n, software)
			fmt.Fprintf(c, "%x\r\n%s\r\n", len(event), event)
			if n-last == events {
				return
			}
		}
		_, _ = io.WriteString(c, "0\r\n\r\n") // fails only if the caller has disconnected
	})
	n := len(f.placer.replicas) - 1
	entry := *f.placer.replicas[n].Info()
	entry.Software = software
	f.set.Apply(time.Now(), replicas.Change{Present: []replicas.Info{entry}})
	f.placer.replicas[n] = f.set.Get(entry.ID)
}

// fakeOrigins knows where some streams began.
type fakeOrigins struct {
	known map[StreamID]string
	begun map[StreamID]SoftwareBinding
}

func (o *fakeOrigins) Began(_ context.Context, s StreamID, software SoftwareBinding) {
	o.begun[s] = software
}

func (o *fakeOrigins) Find(_ context.Context, s StreamID) (string, error) {
	software, ok := o.known[s]
	if !ok {
		return "", request.Refuse(request.CodeOriginUnknown, http.StatusServiceUnavailable, time.Second, "not known")
	}
	return software, nil
}

func resumableRoute() *routing.Route {
	r := route(routing.KindStream)
	r.Resumable, r.MaxAttempts = true, 4
	return r
}

// TestForwardedStreamGoesOnAtItsVersion guards against a stream that another daemon began and lost going on at another version at the next daemon.
func TestForwardedStreamGoesOnAtItsVersion(t *testing.T) {
	cut, first, peers := newPair(t, resumableRoute())
	first.addVersionedReplica("v1", 1)
	first.server.o.MaxReceived = 10
	second := newFixture(t, resumableRoute())
	second.server.o.MaxReceived = 10
	second.addVersionedReplica("v2", 0)
	second.addVersionedReplica("v1", 0)
	peers.add(t, second.listenForPeers())
	resp, body, err := cut.call(http.MethodPost, "/x", http.Header{"Id": {"1"}})
	if err != nil || body != "id: 1\ndata: v1\n\nid: 2\ndata: v1\n\nid: 3\ndata: v1\n\n" {
		t.Errorf("got %q, %v", body, err)
	}
	if resp != nil && resp.Header.Get(headerSoftware) != "" {
		t.Error("a header between daemons reached the caller")
	}
}

// TestStreamOfSilentPeerDoesNotGoOn guards against a stream of a daemon that did not say at which version it began it.
func TestStreamOfSilentPeerDoesNotGoOn(t *testing.T) {
	cut, _, peers := newPair(t, resumableRoute())
	older := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n") // the test sees what arrived
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}))
	t.Cleanup(older.Close)
	peers.ids, peers.pools = nil, nil
	peers.add(t, strings.TrimPrefix(older.URL, "http://"))
	second := newFixture(t, resumableRoute())
	second.server.o.MaxReceived = 10
	second.addVersionedReplica("v1", 0)
	peers.add(t, second.listenForPeers())
	if _, body, err := cut.call(http.MethodPost, "/x", http.Header{"Id": {"1"}}); err == nil {
		t.Errorf("the stream looks complete: %q", body)
	}
	if got := second.received(); len(got) != 0 {
		t.Errorf("the stream went on: %+v", got)
	}
}

// TestTakenUpStreamIsBoundToItsVersion guards against a request that takes a stream up and is placed as a new one, or waits if the stream can't go on.
func TestTakenUpStreamIsBoundToItsVersion(t *testing.T) {
	f := newFixture(t, resumableRoute())
	f.addVersionedReplica("v2", 0)
	f.addVersionedReplica("v1", 1)
	f.addVersionedReplica("v1", 0)
	known := StreamID{Service: "s", Org: "org", Request: "0"}
	origins := &fakeOrigins{known: map[StreamID]string{known: "v1"}, begun: map[StreamID]SoftwareBinding{}}
	f.server.o.Origins = origins
	_, body, err := f.call(http.MethodPost, "/x", http.Header{"Id": {"1"}, "Last": {"1"}, "Resumes": {"0"}})
	if err != nil || body != "id: 2\ndata: v1\n\nid: 3\ndata: v1\n\n" {
		t.Errorf("got %q, %v", body, err)
	}
	if origins.begun[known] != BoundTo("v1") {
		t.Errorf("recorded %v, want the stream's record renewed", origins.begun)
	}
	resp, _, err := f.call(http.MethodPost, "/x", http.Header{"Id": {"2"}, "Last": {"1"}, "Resumes": {"unknown"}})
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable || resp.Header.Get("Retry-After") == "" {
		t.Errorf("an unknown stream: %+v, %v", resp, err)
	}
	if n := len(f.received()); n != 2 {
		t.Errorf("%d requests reached replicas, want 2", n)
	}
}

// TestBrokenTryTellsWhichStreamItResumed guards against a stream that is taken up and breaks again, and whose events can't be traced in the logs to the
// request that began it.
func TestBrokenTryTellsWhichStreamItResumed(t *testing.T) {
	f, log := newFixture(t, resumableRoute()), &lockedBuffer{}
	f.server.o.Logger = hclog.New(&hclog.LoggerOptions{Output: log, JSONFormat: true})
	f.addVersionedReplica("v1", 1)
	f.addVersionedReplica("v1", 0)
	known := StreamID{Service: "s", Org: "org", Request: "0"}
	f.server.o.Origins = &fakeOrigins{known: map[StreamID]string{known: "v1"}, begun: map[StreamID]SoftwareBinding{}}
	if _, _, err := f.call(http.MethodPost, "/x", http.Header{"Id": {"1"}, "Last": {"1"}, "Resumes": {"0"}}); err != nil {
		t.Fatal(err)
	}
	if line := log.line(t, loglines.AttemptFailed); line["resumes"] != "0" || line["resumed_after"] != "1" {
		t.Errorf("the line does not tell the stream: %v", line)
	}
}

// TestCallersCannotNameVersion guards against a caller that sends the header by which daemons tell each other the version.
func TestCallersCannotNameVersion(t *testing.T) {
	f := newFixture(t, resumableRoute())
	f.addVersionedReplica("v1", 0)
	f.server.o.Origins = &fakeOrigins{begun: map[StreamID]SoftwareBinding{}}
	resp, _, err := f.call(http.MethodPost, "/x", http.Header{"Id": {"1"}, "Last": {"1"}, headerSoftware: {"v1"}})
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("%+v, %v", resp, err)
	}
	w := httptest.NewRecorder()
	r := httptest.NewRequest(http.MethodPost, "/x", nil)
	r.Header = http.Header{headerForwardedBy: {"a"}, headerForwardedState: {"1"}, headerForwardedRan: {"0"}, headerSoftware: {"%"}}
	f.server.ServeForwarded(w, r)
	if w.Code != http.StatusBadRequest || !strings.Contains(w.Body.String(), headerSoftware) {
		t.Errorf("a wrong header between daemons: %d %s", w.Code, w.Body)
	}
}

// errOtherProcess is the error of a confirmation in these tests.
var errOtherProcess = errors.New("another process")

// doubtProcesses lets all processes of the replicas that are added from now on be other ones than those of their entries.
func (f *fixture) doubtProcesses() {
	confirm := func(*replicas.Replica) *upstream.Confirmation {
		return &upstream.Confirmation{
			Timeout: time.Second, Report: &upstream.Request{Method: http.MethodGet, URI: "/report", Header: http.Header{"Id": {"report"}}},
			Check: func(int, []byte) error { return errOtherProcess },
		}
	}
	f.set.ConfirmWith(confirm, func() bool { return false })
}

// addReportingReplica adds a replica that reports and sends a stream of events on one connection, and breaks it off after some.
func (f *fixture) addReportingReplica(events int) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.t.Fatal(err)
	}
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Id", r.Header.Get("Id"))
		if r.URL.Path == "/report" {
			return
		}
		f.mu.Lock()
		f.arrivals = append(f.arrivals, arrival{id: r.Header.Get("Id"), lastEventID: r.Header.Get("Last")})
		f.mu.Unlock()
		w.Header().Set("Signed", "x")
		w.Header().Set("Content-Type", streamType)
		for n := range events {
			fmt.Fprintf(w, "id: %d\ndata: v1\n\n", n+1)
		}
		_ = http.NewResponseController(w).Flush() // the test sees what arrived
		panic(http.ErrAbortHandler)
	}))
	server.Listener.Close()
	server.Listener = l
	server.Start()
	f.t.Cleanup(server.Close)
	f.register(l)
}

// TestStreamOfUnknownProcessDoesNotGoOn guards against a stream that goes on although the process that began it may be of another version
// than its replica's entry, and against a record of that version.
func TestStreamOfUnknownProcessDoesNotGoOn(t *testing.T) {
	f := newFixture(t, resumableRoute())
	f.doubtProcesses()
	f.addReportingReplica(1)
	f.addReportingReplica(1)
	origins := &fakeOrigins{begun: map[StreamID]SoftwareBinding{}}
	f.server.o.Origins = origins
	if _, body, err := f.call(http.MethodPost, "/x", http.Header{"Id": {"1"}}); err == nil || body != "id: 1\ndata: v1\n\n" {
		t.Errorf("got %q, %v", body, err)
	}
	if software, recorded := origins.begun[StreamID{Service: "s", Org: "org", Request: "1"}]; !recorded || software.Bound {
		t.Errorf("recorded %v, %v", software, recorded)
	}
}

// TestTakenUpStreamReachesNoOtherProcess guards against a stream that is taken up and goes on at a process that is not that of an entry.
func TestTakenUpStreamReachesNoOtherProcess(t *testing.T) {
	f := newFixture(t, resumableRoute())
	f.doubtProcesses()
	f.addReportingReplica(1)
	stream := StreamID{Service: "s", Org: "org", Request: "0"}
	f.server.o.Origins = &fakeOrigins{known: map[StreamID]string{stream: ""}, begun: map[StreamID]SoftwareBinding{}}
	resp, _, err := f.call(http.MethodPost, "/x", http.Header{"Id": {"1"}, "Last": {"1"}, "Resumes": {"0"}})
	if err != nil || resp.StatusCode != http.StatusServiceUnavailable {
		t.Errorf("got %+v, %v", resp, err)
	}
	if got := f.received(); len(got) != 0 {
		t.Errorf("the stream reached the replica: %+v", got)
	}
}

// TestForwardedStreamOfUnknownProcessDoesNotGoOn guards against a daemon that passes the version of a replica's entry on as that of its process.
func TestForwardedStreamOfUnknownProcessDoesNotGoOn(t *testing.T) {
	cut, first, peers := newPair(t, resumableRoute())
	first.doubtProcesses()
	first.addReportingReplica(1)
	first.server.o.MaxReceived = 10
	second := newFixture(t, resumableRoute())
	second.server.o.MaxReceived = 10
	second.addVersionedReplica("v1", 0)
	peers.add(t, second.listenForPeers())
	if _, body, err := cut.call(http.MethodPost, "/x", http.Header{"Id": {"1"}}); err == nil || body != "id: 1\ndata: v1\n\n" {
		t.Errorf("got %q, %v", body, err)
	}
	if got := second.received(); len(got) != 0 {
		t.Errorf("the stream went on: %+v", got)
	}
}
