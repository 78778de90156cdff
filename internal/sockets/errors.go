package sockets

import (
	"errors"
	"slices"
	"syscall"
)

// shortageErrnos are what system calls fail with where this machine lacks something: a descriptor, memory, a
// port, an entry of a table. They tell nothing of the other side, and pass.
var shortageErrnos = []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EAGAIN,
	syscall.EINTR, syscall.ENOSPC, syscall.EPERM, syscall.EACCES}

// IsLocalShortage tells whether an error is the fault of this machine, and not of the other side.
func IsLocalShortage(err error) bool {
	var errno syscall.Errno
	return errors.As(err, &errno) && slices.Contains(shortageErrnos, errno)
}

// IsTransient tells whether it may go well to bind an address, or to read a file, a moment later.
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
