// Package crowdtest is clients that don't behave, for tests of what they make a process hold. It is not shipped.
package crowdtest

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Crowd is a number of clients that don't behave.
type Crowd struct {
	Clients int
	// Descriptors: the daemon may open few descriptors only.
	Descriptors bool
	// Deaf clients read nothing.
	Deaf bool
	// Send writes what client n sends until the connection fails or the context ends.
	Send func(ctx context.Context, c net.Conn, n int)
}

// ShortNames returns header lines of three-letter names without values, size bytes in total.
func ShortNames(size int, end string) []byte {
	var b bytes.Buffer
	for n := 0; b.Len()+4+len(end) <= size; n++ {
		b.Write([]byte{'a' + byte(n/676%26), 'a' + byte(n/26%26), 'a' + byte(n%26), ':'})
		b.WriteString(end)
	}
	return b.Bytes()
}

// SendHeld writes parts once and keeps the connection open until the context ends.
func SendHeld(parts ...[]byte) func(context.Context, net.Conn, int) {
	return func(ctx context.Context, c net.Conn, _ int) {
		for _, p := range parts {
			if _, err := c.Write(p); err != nil {
				return
			}
		}
		<-ctx.Done()
	}
}

// SendWithoutEnd writes head once and then part again and again.
func SendWithoutEnd(head, part []byte) func(context.Context, net.Conn, int) {
	return func(ctx context.Context, c net.Conn, _ int) {
		if _, err := c.Write(head); err != nil {
			return
		}
		for ctx.Err() == nil {
			if _, err := c.Write(part); err != nil {
				return
			}
		}
	}
}

// Meet lets a crowd meet a listener of the daemon until the context ends. Clients whose connection is closed connect again, after a pause.
func (c Crowd) Meet(ctx context.Context, address string) *sync.WaitGroup {
	const reconnectAfter = 100 * time.Millisecond
	clients := &sync.WaitGroup{}
	for n := range c.Clients {
		clients.Go(func() {
			for ctx.Err() == nil {
				c.client(ctx, address, n)
				select {
				case <-time.After(reconnectAfter):
				case <-ctx.Done():
				}
			}
		})
	}
	return clients
}

// deafReceiveBytes is the receive buffer of a client that reads nothing: what it doesn't take is left to the daemon.
const deafReceiveBytes = 4 << 10

func (c Crowd) dialer() net.Dialer {
	d := net.Dialer{Timeout: time.Second}
	if c.Deaf {
		d.Control = func(_, _ string, raw syscall.RawConn) error {
			var setErr error
			err := raw.Control(func(fd uintptr) {
				setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, deafReceiveBytes)
			})
			return errors.Join(err, setErr)
		}
	}
	return d
}

// client connects once and sends until the daemon closes the connection.
func (c Crowd) client(ctx context.Context, address string, n int) {
	dialer := c.dialer()
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	closed, done := context.WithCancel(ctx)
	defer done()
	context.AfterFunc(closed, func() { conn.Close() })
	if !c.Deaf {
		go func() {
			defer done()
			discard(conn)
		}()
	}
	c.Send(closed, conn, n)
}

// discard reads until the connection fails.
func discard(conn net.Conn) {
	buffer := make([]byte, 512)
	for {
		if _, err := conn.Read(buffer); err != nil {
			return
		}
	}
}

// Peak is the most that a process held.
type Peak struct {
	Unread      int64 // bytes that the kernel has received and the process has not read
	Unsent      int64 // bytes that the process has written and the clients have not received
	Descriptors int
}

// Watch records what a process that listens at some addresses holds until the context ends.
func Watch(ctx context.Context, pid int, addresses ...string) (Peak, error) {
	const interval = 50 * time.Millisecond
	var p Peak
	for ctx.Err() == nil {
		received, sent, err := queued(addresses)
		if err != nil {
			return p, err
		}
		p.Unread, p.Unsent = max(p.Unread, received), max(p.Unsent, sent)
		p.Descriptors = max(p.Descriptors, openDescriptors(pid))
		time.Sleep(interval)
	}
	return p, nil
}

// PeakMemory returns the largest resident memory of the process so far, in bytes; false: it has ended.
func PeakMemory(pid int) (int64, bool) {
	raw, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, false
	}
	_, after, found := strings.Cut(string(raw), "VmHWM:")
	if !found {
		return 0, false
	}
	kb, err := strconv.ParseInt(strings.Fields(after)[0], 10, 64)
	return kb << 10, err == nil
}

// queued returns the bytes that the kernel holds for connections of local ports: received and not read, those included that were not
// accepted, and written and not yet received by the client.
func queued(addresses []string) (received, sent int64, err error) {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, 0, err
	}
	ports, err := portsOf(addresses)
	if err != nil {
		return 0, 0, err
	}
	const listening = "0A"
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) < 5 || f[3] == listening {
			continue
		}
		if _, port, _ := strings.Cut(f[1], ":"); !ports[port] {
			continue
		}
		tx, rx, _ := strings.Cut(f[4], ":")
		r, receivedErr := strconv.ParseInt(rx, 16, 64)
		w, sentErr := strconv.ParseInt(tx, 16, 64)
		if err := errors.Join(receivedErr, sentErr); err != nil {
			return 0, 0, err
		}
		received, sent = received+r, sent+w
	}
	return received, sent, nil
}

// portsOf returns the ports of addresses as the kernel writes them.
func portsOf(addresses []string) (map[string]bool, error) {
	ports := map[string]bool{}
	for _, a := range addresses {
		port, err := portOf(a)
		if err != nil {
			return nil, err
		}
		ports[fmt.Sprintf("%04X", port)] = true
	}
	return ports, nil
}

func portOf(address string) (int, error) {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(port)
}

func openDescriptors(pid int) int {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	if err != nil {
		return 0
	}
	return len(entries)
}
