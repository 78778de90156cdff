package sockets

import (
	"errors"
	"net"
	"os"
	"syscall"
	"testing"
)

// failingListener fails its first accepts with acceptErrs in turn.
type failingListener struct {
	net.Listener
	acceptErrs []error
	next       int
}

func (f *failingListener) Accept() (net.Conn, error) {
	if f.next < len(f.acceptErrs) {
		f.next++
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: os.NewSyscallError("accept4", f.acceptErrs[f.next-1])}
	}
	return f.Listener.Accept()
}

// documentedAcceptErrors are the connection, protocol and shortage errors that accept(2) documents.
var documentedAcceptErrors = []error{syscall.ECONNABORTED, syscall.EINTR, syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EPROTO,
	syscall.EPERM, syscall.ENETDOWN, syscall.ENOPROTOOPT, syscall.EHOSTDOWN, syscall.ENONET, syscall.EHOSTUNREACH, syscall.EOPNOTSUPP,
	syscall.ENETUNREACH, syscall.ETIMEDOUT, syscall.ENOSR, syscall.ENOSPC}

// A retry listener retries after every error of accept except that of its own close.
func TestAcceptRetriesOnError(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	before := AcceptFailures()
	retrying := NewRetryListener(&failingListener{Listener: l, acceptErrs: documentedAcceptErrors})
	client, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer client.Close()
	c, err := retrying.Accept()
	if err != nil {
		t.Fatal(err)
	}
	c.Close()
	if n := AcceptFailures() - before; n != int64(len(documentedAcceptErrors)) {
		t.Errorf("%d accept failures counted, want %d", n, len(documentedAcceptErrors))
	}
	l.Close()
	if _, err := retrying.Accept(); !errors.Is(err, net.ErrClosed) {
		t.Errorf("Accept on a closed listener: error %v", err)
	}
}

// A shortage of this machine is distinguished from errors of the peer or the network.
func TestErrorClassification(t *testing.T) {
	for errno, want := range map[syscall.Errno][2]bool{ // want from IsLocalShortage and IsTransient
		syscall.EMFILE: {true, true}, syscall.ENOBUFS: {true, true}, syscall.EADDRNOTAVAIL: {true, false}, syscall.EACCES: {true, false},
		syscall.ECONNREFUSED: {false, false}, syscall.ETIMEDOUT: {false, false}, syscall.ENETUNREACH: {false, false}, syscall.EHOSTUNREACH: {false, false},
		syscall.EADDRINUSE: {false, true}, syscall.EIO: {false, true}, syscall.ENOENT: {false, false},
	} {
		err := &net.OpError{Op: "dial", Err: os.NewSyscallError("connect", errno)}
		if got := [2]bool{IsLocalShortage(err), IsTransient(err)}; got != want {
			t.Errorf("%v: IsLocalShortage, IsTransient = %v, want %v", errno, got, want)
		}
	}
	if IsLocalShortage(errors.New("x")) || IsTransient(nil) {
		t.Error("an error that is not a syscall.Errno is classified as a shortage or as transient")
	}
}
