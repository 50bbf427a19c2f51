package ingress

import (
	"sync/atomic"
	"syscall"
)

const (
	// smallBuffer is the size of a connection's receive and send buffers. What clients send before it is read, and answers that they don't
	// take, count towards the memory of the VM. Heads and ordinary bodies need one or two round trips.
	smallBuffer = 16 << 10
	// largeBuffer is their size while a larger body is read, for which there is memory, or an answer needs it. TCP can't announce more on a
	// connection whose receive buffer was small when it was opened.
	largeBuffer = 64 << 10
)

// SetBuffers sets the buffers of the connections that a listener will accept. It belongs in net.ListenConfig.Control.
func SetBuffers(raw syscall.RawConn) error {
	if err := setReceiveBuffer(raw, smallBuffer); err != nil {
		return err
	}
	return setOptions(raw, sendBuffer(smallBuffer))
}

// option is an option of a socket.
type option struct{ level, name, value int }

func sendBuffer(bytes int) option { return option{syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes} }

// setReceiveBuffer sets the size of a receive buffer and the largest window that is announced.
func setReceiveBuffer(raw syscall.RawConn, bytes int) error {
	return setOptions(raw, option{syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes}, option{syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, bytes})
}

func setOptions(raw syscall.RawConn, options ...option) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		for _, o := range options {
			if setErr = syscall.SetsockoptInt(int(fd), o.level, o.name, o.value); setErr != nil {
				return
			}
		}
	})
	if err != nil {
		return err
	}
	return setErr
}

// largeBuffers counts the connections that have a large buffer.
type largeBuffers struct {
	max   int64
	taken atomic.Int64
}

// take reports whether one more connection may have a large buffer.
func (b *largeBuffers) take() bool {
	if b.taken.Add(1) <= b.max {
		return true
	}
	b.giveBack()
	return false
}

func (b *largeBuffers) giveBack() { b.taken.Add(-1) }
