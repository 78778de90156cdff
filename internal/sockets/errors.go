package sockets

import (
	"errors"
	"slices"
	"syscall"
)

// shortageErrnos are the errors of system calls that fail because this machine lacks a resource: a file
// descriptor, memory, a port or a table entry. They are transient and not caused by the peer.
var shortageErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EINTR, syscall.ENOSPC, syscall.EPERM, syscall.EACCES,
}

// IsLocalShortage reports whether a dial failed because of a shortage on this machine and not because of the
// peer.
func IsLocalShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(shortageErrnos, errno)
}

// IsTransient reports whether err, from binding an address or reading a file, is transient: a retry a moment
// later may succeed.
func IsTransient(err error) bool {
	var errno syscall.Errno
	if !errors.As(err, &errno) {
		return false
	}
	switch errno {
	case syscall.EADDRINUSE, syscall.EIO, syscall.ESTALE, syscall.ETXTBSY:
		return true
	case syscall.EPERM, syscall.EACCES, syscall.EADDRNOTAVAIL:
		return false
	}
	return slices.Contains(shortageErrnos, errno)
}
