package upstream

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/bluebellscale/bluebellscale/internal/transfer"
)

// endlessLimit is how many bytes a replica writes before the test gives up on the bound.
const endlessLimit = 8 << 20

// TestHeadWithoutEnd guards against a replica in trouble that fills the memory of a daemon with one head.
func TestHeadWithoutEnd(t *testing.T) {
	block := strings.Repeat("x", 4<<10)
	for _, c := range []struct{ name, begin, repeat string }{
		{"no end of the status line", "", block},
		{"no end of one header", "HTTP/1.1 200 OK\r\nA: ", block},
		{"no end of the headers", "HTTP/1.1 200 OK\r\n", "A: " + block + "\r\n"},
		{"no end after an informational response", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nA: ", block},
	} {
		t.Run(c.name, func(t *testing.T) {
			var written atomic.Int64
			r := startReplica(t, func(r *fakeReplica, _ int, conn net.Conn, br *bufio.Reader) {
				if _, _, ok := r.readRequest(br); !ok {
					return
				}
				fmt.Fprint(conn, c.begin)
				for written.Load() < endlessLimit {
					n, err := fmt.Fprint(conn, c.repeat)
					written.Add(int64(n))
					if err != nil {
						return
					}
				}
			})
			p := r.pool(t)
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			_, err := p.Do(ctx, &Request{Method: http.MethodGet, URI: "/", Host: "r"})
			if !errors.Is(err, ErrBroken) || !errors.Is(err, errHeadTooLong) {
				t.Errorf("got %v", err)
			}
			// The sockets' buffers hold what was written and not read.
			if n := written.Load(); n >= endlessLimit {
				t.Errorf("the replica could write %d bytes", n)
			}
		})
	}
}

// TestLongHeadArrives guards against a bound that counts bodies, or what earlier responses on the connection took.
func TestLongHeadArrives(t *testing.T) {
	value := strings.Repeat("x", transfer.MaxHeadBytes-(1<<10))
	body := strings.Repeat("b", 4*transfer.MaxHeadBytes)
	r := startReplica(t, func(r *fakeReplica, _ int, conn net.Conn, br *bufio.Reader) {
		for {
			if _, _, ok := r.readRequest(br); !ok {
				return
			}
			fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nA: %s\r\nContent-Length: %d\r\n\r\n%s", value, len(body), body)
		}
	})
	p := r.pool(t)
	for range 3 {
		if got := do(t, p, &Request{Method: http.MethodGet, URI: "/", Host: "r"}); got != body {
			t.Fatalf("%d bytes, want %d", len(got), len(body))
		}
	}
	if p.Dials() != 1 {
		t.Errorf("%d connections, want 1", p.Dials())
	}
}
