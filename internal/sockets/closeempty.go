package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// queueCheckInterval is the time between two looks at an accept queue that is to become empty.
const queueCheckInterval = time.Millisecond

// CloseWhenEmpty closes a listener at a moment when no connection waits in its accept queue. The system
// resets the connections that wait there at a close, with what their clients have sent. Another goroutine
// has to accept meanwhile. Once ctx has ended, the listener is closed whatever waits; empty is false then.
//
// A socket that another process accepts on as well must be closed with Close: its queue outlives this
// process.
func CloseWhenEmpty(ctx context.Context, l net.Listener) (empty bool, err error) {
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for !stopIfEmpty(l) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false, l.Close()
		}
	}
	return true, l.Close()
}

// stopIfEmpty has a listening socket refuse new connections unless one waits in its queue, and reports
// whether none waited. Close alone would leave the socket open until the goroutine that accepts has run,
// and connections would go on arriving.
func stopIfEmpty(l net.Listener) (empty bool) {
	conn, ok := l.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	err = raw.Control(func(fd uintptr) {
		if empty = !hasWaiting(int(fd)); empty {
			_ = unix.Shutdown(int(fd), unix.SHUT_RD) // the close that follows does the same, later
		}
	})
	return empty || err != nil
}

// hasWaiting reports whether a connection waits in the accept queue of a listening socket.
func hasWaiting(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
		}
	}
}
