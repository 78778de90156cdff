package sockets

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// peerCredentials returns the credentials of the process at the other end of a Unix socket; nil if they
// cannot be read.
func peerCredentials(conn net.Conn) *unix.Ucred {
	unixConn, ok := conn.(*net.UnixConn)
	if !ok {
		return nil
	}
	raw, err := unixConn.SyscallConn()
	if err != nil {
		return nil
	}
	var credentials *unix.Ucred
	_ = raw.Control(func(fd uintptr) {
		credentials, _ = unix.GetsockoptUcred(int(fd), unix.SOL_SOCKET, unix.SO_PEERCRED) // nil on error
	})
	return credentials
}

// IsSameUser reports whether the process at the other end of a Unix socket belongs to the current user.
func IsSameUser(conn net.Conn) bool {
	credentials := peerCredentials(conn)
	return credentials != nil && credentials.Uid == uint32(os.Geteuid())
}
