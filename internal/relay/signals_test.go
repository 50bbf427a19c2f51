package relay

import (
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/routing"
)

// respondWith returns a replica that adds the given header lines, each with its line end.
func respondWith(status, headers string) func(c net.Conn, id string) {
	return func(c net.Conn, id string) {
		fmt.Fprintf(c, "HTTP/1.1 %s\r\nId: %s\r\nConnection: close\r\nContent-Length: 2\r\n%s\r\nok", status, id, headers)
	}
}

// A rate limit in any response of the replica is applied. The absence of the header lifts the limit
// only if the response is confirmed to come from the replica.
func TestReplicaRateLimitIsApplied(t *testing.T) {
	const known = 4
	for name, c := range map[string]struct {
		handle func(c net.Conn, id string)
		want   float64
	}{
		"success":               {respondWith("200 OK", "Signed: x\r\nLimit: 7\r\n"), 7},
		"error":                 {respondWith("500 Oops", "Signed: x\r\nLimit: 7\r\n"), 7},
		"refusal":               {respondWith("503 Busy", "Not-Run: 1\r\nLimit: 7\r\n"), 7},
		"stream":                {respondWith("200 OK", "Signed: x\r\nContent-Type: text/event-stream\r\nLimit: 7\r\n"), 7},
		"success without limit": {respondWith("200 OK", "Signed: x\r\n"), 0},
		"refusal without limit": {respondWith("503 Busy", "Not-Run: 1\r\n"), 0},
		"unsigned success":      {respondWith("200 OK", ""), known},
		"invalid limit":         {respondWith("200 OK", "Signed: x\r\nLimit: x\r\n"), known},
		"misdirected response":  {respondWith("421 Moved", "Limit: 9\r\n"), known},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t, route(routing.KindOnce))
			f.addReplica(c.handle)
			r := f.placer.replicas[0]
			r.UpdateLimit(time.Now(), known)
			if _, _, err := f.call(http.MethodPost, "/x", nil); err != nil {
				t.Log(err) // responses of faulty replicas may be truncated
			}
			if got, _ := r.Limit(); got != c.want {
				t.Errorf("limit %v, want %v", got, c.want)
			}
		})
	}
}

// The Retry-After of a refusal starts a backoff. A shorter Retry-After that arrives later, for a
// request that was already in flight, must not shorten it.
func TestReplicaRetryAfterIsApplied(t *testing.T) {
	f := newFixture(t, route(routing.KindOnce))
	f.addReplica(respondWith("503 Busy", "Not-Run: 1\r\nRetry-After: 9\r\n"))
	r := f.placer.replicas[0]
	if _, _, err := f.call(http.MethodPost, "/x", nil); err != nil {
		t.Fatal(err)
	}
	r.BackOff(time.Now().Add(time.Second))
	if left := r.BackoffLeft(time.Now()); left < 8*time.Second || left > 9*time.Second {
		t.Errorf("the backoff lasts another %s, want 8 s to 9 s", left)
	}
	if left := r.BackoffLeft(time.Now().Add(10 * time.Second)); left != 0 {
		t.Errorf("the backoff lasts another %s after its end", left)
	}
}
