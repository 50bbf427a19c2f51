package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// says returns a replica that answers with some header lines, each with its line end.
func says(status, headers string) func(c net.Conn, id string) {
	return func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nConnection: close\r\nContent-Length: 2\r\n%s\r\nok", status, id, headers)
	}
}

// What a replica says of itself in any answer is heard; what it leaves out ends a limit only where
// the answer is surely its own.
func TestRateLimitOfAReplicaIsHeard(t *testing.T) {
	const known = 4
	for name, c := range map[string]struct {
		handle func(c net.Conn, id string)
		want   float64
	}{
		"in an answer":                    {says("200 OK", "Signed: x\r\nLimit: 7\r\n"), 7},
		"in an error":                     {says("500 Oops", "Signed: x\r\nLimit: 7\r\n"), 7},
		"as it turns a request away":      {says("503 Busy", "Not-Run: 1\r\nLimit: 7\r\n"), 7},
		"at the head of a stream":         {says("200 OK", "Signed: x\r\nContent-Type: text/event-stream\r\nLimit: 7\r\n"), 7},
		"no more":                         {says("200 OK", "Signed: x\r\n"), 0},
		"no more, turning away":           {says("503 Busy", "Not-Run: 1\r\n"), 0},
		"not in bytes that are no answer": {says("200 OK", ""), known},
		"in a header that is no number":   {says("200 OK", "Signed: x\r\nLimit: x\r\n"), known},
		"not by another replica":          {says("421 Moved", "Limit: 9\r\n"), known},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, route(routing.KindOnce))
			w.replica(c.handle)
			r := w.placer.replicas[0]
			r.UpdateLimit(time.Now(), known)
			if _, _, err := w.call(http.MethodPost, "/x", nil); err != nil {
				t.Log(err) // of answers that break off
			}
			if got, _ := r.Limit(); got != c.want {
				t.Errorf("limit %v, want %v", got, c.want)
			}
		})
	}
}

// The time for which a replica that turns a request away wants no more is heard; a shorter one that
// comes later, of a request that was on its way, does not cut it.
func TestRetryAfterOfAReplicaIsHeard(t *testing.T) {
	w := newWorld(t, route(routing.KindOnce))
	w.replica(says("503 Busy", "Not-Run: 1\r\nRetry-After: 9\r\n"))
	r := w.placer.replicas[0]
	if _, _, err := w.call(http.MethodPost, "/x", nil); err != nil {
		t.Fatal(err)
	}
	r.BackOff(time.Now().Add(time.Second))
	if left := r.BackoffLeft(time.Now()); left < 8*time.Second || left > 9*time.Second {
		t.Errorf("%s of the backoff are left", left)
	}
	if left := r.BackoffLeft(time.Now().Add(10 * time.Second)); left != 0 {
		t.Errorf("%s are left when it is over", left)
	}
}
