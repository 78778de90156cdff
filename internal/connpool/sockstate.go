package connpool

import (
	"cmp"
	"errors"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// HasUnreadData reports whether the socket has received bytes that were not read yet.
func HasUnreadData(c net.Conn) bool {
	n, err := peekConn(c)
	return err == nil && n > 0
}

// PeerClosed reports whether the peer has closed its half of the connection or reset it. If unread bytes
// precede the peer's FIN in the receive buffer, a peek does not show it, and the kernel's TCP state decides.
func PeerClosed(c net.Conn) bool {
	switch n, err := peekConn(c); {
	case err == nil && n > 0:
		return finReceived(c)
	case err == nil:
		return true
	default:
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
}

// openWithoutData reports whether the connection is open and has no bytes to read.
func openWithoutData(c net.Conn) bool {
	_, err := peekConn(c)
	return errors.Is(err, syscall.EAGAIN)
}

// finReceived reports whether the peer's FIN or a reset has arrived, even if bytes before it are unread.
func finReceived(c net.Conn) (received bool) {
	controlErr := withDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		received = err == nil && closedByPeer(info.State)
	})
	return controlErr == nil && received
}

// closedByPeer reports whether a TCP state (tcp_states.h) is one that follows the peer's FIN or a reset.
func closedByPeer(state uint8) bool {
	switch state {
	case unix.BPF_TCP_CLOSE_WAIT, unix.BPF_TCP_CLOSE, unix.BPF_TCP_LAST_ACK, unix.BPF_TCP_CLOSING:
		return true
	default:
		return false
	}
}

// peekConn calls PeekDescriptor for the connection's descriptor. EAGAIN means that there is nothing to read,
// or that the connection has no descriptor.
func peekConn(c net.Conn) (n int, err error) {
	controlErr := withDescriptor(c, func(fd int) { n, err = PeekDescriptor(fd) })
	return n, cmp.Or(controlErr, err)
}

// PeekDescriptor reads one byte of a socket descriptor without consuming it. It never blocks: if there is
// nothing to read, it returns EAGAIN. A count of 0 without an error means that the peer has sent its FIN.
func PeekDescriptor(fd int) (n int, err error) {
	var buffer [1]byte
	for {
		n, _, err = syscall.Recvfrom(fd, buffer[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if !errors.Is(err, syscall.EINTR) {
			return n, err
		}
	}
}

// withDescriptor calls f with the connection's descriptor. It returns EAGAIN for a connection that has none.
func withDescriptor(c net.Conn, f func(fd int)) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	// Not raw.Read, which would wait for a goroutine that is reading from the connection.
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}
