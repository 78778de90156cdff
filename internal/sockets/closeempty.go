package sockets

import (
	"context"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// queueCheckInterval is how often CloseWhenEmpty checks the accept queue.
const queueCheckInterval = time.Millisecond

// CloseWhenEmpty closes a listener at a moment when its accept queue is empty. On close the kernel resets all
// connections in the queue, and the data that their clients have sent is lost. Another goroutine must accept
// connections in the meantime. Once ctx has ended, the listener is closed with whatever is in its queue, and
// empty is false.
//
// A socket on which another process accepts as well must be closed with Close: its queue outlives this
// process.
func CloseWhenEmpty(ctx context.Context, l net.Listener) (empty bool, err error) {
	ticker := time.NewTicker(queueCheckInterval)
	defer ticker.Stop()
	for !shutdownIfEmpty(l) {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return false, l.Close()
		}
	}
	return true, l.Close()
}

// shutdownIfEmpty makes a listening socket refuse new connections if its accept queue is empty, and reports
// whether the queue was empty. After Close alone the socket would still listen until the accepting goroutine
// has run, and connections that arrive until then would be reset.
func shutdownIfEmpty(l net.Listener) (empty bool) {
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
			_ = unix.Shutdown(int(fd), unix.SHUT_RD) // if it fails, the close that follows has the same effect later
		}
	})
	return empty || err != nil
}

// hasWaiting reports whether the accept queue of a listening socket holds a connection.
func hasWaiting(fd int) bool {
	fds := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
	for {
		n, err := unix.Poll(fds, 0)
		if err != unix.EINTR {
			return err == nil && n > 0 && fds[0].Revents&unix.POLLIN != 0
		}
	}
}
