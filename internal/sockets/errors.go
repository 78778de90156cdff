package sockets

import (
	"errors"
	"slices"
	"syscall"
)

// shortageErrnos are the errors of system calls where this machine lacks a resource: a descriptor, memory,
// a port, a table entry. They say nothing about the peer and are transient.
var shortageErrnos = []syscall.Errno{
	syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EINTR, syscall.ENOSPC, syscall.EPERM, syscall.EACCES,
}

// IsLocalShortage reports whether an error of a dial is caused by this machine and not by the peer.
func IsLocalShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(shortageErrnos, errno)
}

// IsTransient reports whether binding an address or reading a file, which failed with err, may succeed a
// moment later.
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
