package ingress

import "syscall"

const (
	// receiveBytes is the size of a connection's receive buffer. What clients send before they are read, or accepted, counts towards the
	// memory of the VM. Heads and ordinary bodies need one or two round trips.
	receiveBytes = 16 << 10
	// bodyReceiveBytes is its size while a larger body is read, for which there is memory. TCP can't announce more on a connection whose
	// buffer was small when it was opened.
	bodyReceiveBytes = 64 << 10
)

// SetReceiveBuffer sets the receive buffers of the connections that a listener will accept. It belongs in net.ListenConfig.Control.
func SetReceiveBuffer(raw syscall.RawConn) error { return setWindow(raw, receiveBytes) }

// setWindow sets the size of a receive buffer and the largest window that is announced.
func setWindow(raw syscall.RawConn, bytes int) error {
	var setErr error
	err := raw.Control(func(fd uintptr) {
		if setErr = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, bytes); setErr == nil {
			setErr = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, syscall.TCP_WINDOW_CLAMP, bytes)
		}
	})
	if err != nil {
		return err
	}
	return setErr
}
