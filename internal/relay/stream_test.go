package relay

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestEventsWithoutIDAreNotRepeated guards against a stream that is resumed before events that were delivered, because they had no id.
func TestEventsWithoutIDAreNotRepeated(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []string
		goesOn bool
	}{
		{"no ids", []string{"data: 1\n\n", "data: 2\n\n"}, false},
		{"the last has none", []string{"id: 1\ndata: 1\n\n", "data: 2\n\n"}, false},
		{"an earlier one has none", []string{"data: 1\n\n", "id: 2\ndata: 2\n\n"}, true},
		{"a comment", []string{"id: 1\ndata: 1\n\n", ": waiting\n\n"}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture(t, resumableRoute())
			for range 2 {
				f.addReplica(func(conn net.Conn, id string) {
					fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nId: %s\r\nSigned: x\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n", id)
					for _, event := range c.events {
						fmt.Fprintf(conn, "%x\r\n%s\r\n", len(event), event)
					}
				})
			}
			_, body, err := f.call(http.MethodPost, "/x", http.Header{"Id": {"1"}})
			if wentOn := len(f.received()) == 2; err == nil || wentOn != c.goesOn {
				t.Errorf("%d requests reached replicas, the caller got %q, %v", len(f.received()), body, err)
			}
		})
	}
}

// TestLineThatFillsBufferEndsNoEvent guards against an event that is split, and resumed after, where a line ends exactly at the end of a buffer.
func TestLineThatFillsBufferEndsNoEvent(t *testing.T) {
	for _, end := range []string{"\n", "\r\n"} {
		line := "data: " + strings.Repeat("x", eventBufferBytes-len("data: ")) + end
		event := line + "id: 1" + end + end
		got, err := newEventReader(strings.NewReader(event)).next()
		if err != nil || string(got) != event {
			t.Errorf("an event of %d bytes is read as one of %d, %v", len(event), len(got), err)
		}
	}
}
