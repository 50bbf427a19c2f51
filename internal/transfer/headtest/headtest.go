// Package headtest checks that HTTP clients bound the heads of responses: a server in trouble may send one without end.
package headtest

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

const (
	// line is one of the headers without end.
	line = "X-Endless: 0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef\r\n"
	// maxSent is more than the bound of a head and the socket buffers on its way, and less than the default bound of net/http.
	maxSent = transfer.MaxHeadBytes + 4<<20
	timeout = 10 * time.Second
)

// RequireBounded fails the test unless a client gives up on a response whose headers don't end.
func RequireBounded(t *testing.T, client http.RoundTripper) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	sent := make(chan int, 1)
	go func() { sent <- sendHeaders(listener) }()
	request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+listener.Addr().String()+"/", nil)
	if err != nil {
		listener.Close()
		t.Fatal(err)
	}
	response, err := client.RoundTrip(request)
	listener.Close() // ends sendHeaders if the client has not connected
	if err == nil {
		response.Body.Close()
		t.Error("the client took headers without end for a response")
	}
	if n := <-sent; n == 0 || n > maxSent {
		t.Errorf("the client took %d bytes of headers, want at most %d", n, maxSent)
	}
}

// sendHeaders answers the first connection with headers until the client closes it, and returns the number of bytes.
func sendHeaders(listener net.Listener) (sent int) {
	c, err := listener.Accept()
	if err != nil {
		return 0
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(timeout)) // fails only if the connection is closed
	for next := "HTTP/1.1 200 OK\r\n"; ; next = line {
		n, err := c.Write([]byte(next))
		sent += n
		if err != nil {
			return sent
		}
	}
}
