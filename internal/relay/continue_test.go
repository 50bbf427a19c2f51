package relay

import (
	"context"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/request"
	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// copied places each stream on the first replica, with a copy at the second.
type copied struct{ *listed }

func (c copied) Place(ctx context.Context, j *Job, tried []request.TargetID) (*Placement, error) {
	p, err := c.listed.Place(ctx, j, tried)
	if err != nil || len(tried) > 0 {
		return p, err
	}
	second := c.replicas[1]
	p.Backup = &Backup{Replica: second, Tokens: 100, Flight: second.Load.Hold(100)}
	p.Send.BackupTo = second.Info().Address
	return p, nil
}

// copyWorld has a replica that dies after two events of a stream, or only breaks the connection,
// and a second one that goes on from what it was told.
func copyWorld(t *testing.T, dies bool, goOn func(c net.Conn, id string)) *world {
	t.Helper()
	w := newWorld(t, route(routing.KindStream))
	w.server.o.Plain = copied{w.placer}
	var first net.Listener
	first = w.replica(func(c net.Conn, id string) {
		streamHead(c, id)
		event(c, 1)
		event(c, 2)
		time.Sleep(20 * time.Millisecond) // they arrive before the end
		if dies {
			first.Close()
		}
		reset(c)
	})
	w.replica(goOn)
	return w
}

// A replica dies in the middle of a stream that may not run twice: the replica that holds a copy of
// the run goes on with it, and the caller sees one whole stream.
func TestStreamGoesOnFromItsCopy(t *testing.T) {
	w := copyWorld(t, true, func(c net.Conn, id string) {
		streamHead(c, id)
		event(c, 3)
		event(c, 4)
	})
	answer, body, err := w.post("x")
	if err != nil || answer.StatusCode != http.StatusOK {
		t.Fatalf("%v, %v", answer, err)
	}
	if got := strings.Count(body, "id: "); got != 4 {
		t.Errorf("%d events: %q", got, body)
	}
	arrived := w.arrived()
	if len(arrived) != 2 || arrived[1].last != "2" {
		t.Errorf("arrived %+v", arrived)
	}
	for _, r := range w.placer.replicas {
		if left := r.Load.Own(); left.Tokens != 0 || left.Requests != 0 {
			t.Errorf("%s: %+v is counted still", r.Info().ID, left)
		}
	}
}

// Only the connection breaks. The first replica may go on with the run, so nobody else may.
func TestStreamOfALivingReplicaDoesNotGoOnElsewhere(t *testing.T) {
	w := copyWorld(t, false, func(c net.Conn, id string) { t.Error("it went on"); notExecuted(c, id) })
	if _, _, err := w.post("x"); err == nil {
		t.Error("the broken stream looks whole")
	}
}

// The copy is gone: the second replica has not run the request, but the first has, so that it must
// not be sent to a third, nor be told to have not run.
func TestStreamWhoseCopyIsGoneIsNotRunAnew(t *testing.T) {
	w := copyWorld(t, true, notExecuted)
	w.replica(func(c net.Conn, id string) { t.Error("it ran twice"); streamHead(c, id) })
	if _, _, err := w.post("x"); err == nil {
		t.Error("the broken stream looks whole")
	}
	if got := len(w.arrived()); got != 2 {
		t.Errorf("%d arrivals", got)
	}
}

// Weights changed under the run: its copy is of two versions, and nobody goes on from it.
func TestStreamDoesNotGoOnUnderOtherWeights(t *testing.T) {
	w := copyWorld(t, true, func(c net.Conn, id string) { t.Error("it went on"); notExecuted(c, id) })
	w.placer.replicas[1].SawWeights("", 2) // the requests of this test name no model
	if _, _, err := w.post("x"); err == nil {
		t.Error("the broken stream looks whole")
	}
}

// Callers come back a few times only. In an outage of seconds they are told to come back when it may
// be over, and not all at once.
func TestCallersAreToldToComeBackAfterTheOutage(t *testing.T) {
	s := New(Options{Outage: func() time.Duration { return 1400 * time.Millisecond }})
	seen := map[time.Duration]bool{}
	for range 50 {
		back := s.notReadyBack()
		if back < 1600*time.Millisecond || back > 2600*time.Millisecond {
			t.Fatalf("back in %s", back)
		}
		seen[back] = true
	}
	if len(seen) < 10 {
		t.Error("all at once")
	}
	if back := New(Options{}).notReadyBack(); back > time.Second {
		t.Errorf("back in %s with no outage known", back)
	}
}
