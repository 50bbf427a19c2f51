// Package crowdtest is clients that don't behave, for tests of what they make a process hold. It is not shipped.
package crowdtest

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Crowd is a number of clients that don't behave.
type Crowd struct {
	Clients int
	// Descriptors: the daemon may open few descriptors only.
	Descriptors bool
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

// client connects once, sends and reads nothing until the daemon closes the connection.
func (c Crowd) client(ctx context.Context, address string, n int) {
	dialer := net.Dialer{Timeout: time.Second}
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	closed, done := context.WithCancel(ctx)
	defer done()
	context.AfterFunc(closed, func() { conn.Close() })
	go func() {
		defer done()
		buffer := make([]byte, 512)
		for {
			if _, err := conn.Read(buffer); err != nil {
				return
			}
		}
	}()
	c.Send(closed, conn, n)
}

// Peak is the most that a process held.
type Peak struct {
	Unread      int64 // bytes that the kernel has received and the process has not read
	Descriptors int
}

// Watch records what a process that listens at an address holds until the context ends.
func Watch(ctx context.Context, pid int, address string) (Peak, error) {
	const interval = 50 * time.Millisecond
	var p Peak
	for ctx.Err() == nil {
		bytes, err := unread(address)
		if err != nil {
			return p, err
		}
		p.Unread = max(p.Unread, bytes)
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

// unread returns the bytes that the kernel has received for connections of a local port and that were not read, those included
// that were not accepted.
func unread(address string) (int64, error) {
	raw, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0, err
	}
	port, err := portOf(address)
	if err != nil {
		return 0, err
	}
	local := fmt.Sprintf(":%04X", port)
	const listening = "0A"
	var sum int64
	lines := bufio.NewScanner(bytes.NewReader(raw))
	for lines.Scan() {
		f := strings.Fields(lines.Text())
		if len(f) < 5 || !strings.HasSuffix(f[1], local) || f[3] == listening {
			continue
		}
		_, received, _ := strings.Cut(f[4], ":")
		n, err := strconv.ParseInt(received, 16, 64)
		if err != nil {
			return 0, err
		}
		sum += n
	}
	return sum, nil
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
