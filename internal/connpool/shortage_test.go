package connpool

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// A dial that fails because of a local shortage is retried a few times. Its error is distinguished from
// errors of the peer or the network.
func TestLocalShortageIsRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EINTR} {
		var failuresLeft atomic.Int32
		p := NewPool(4, time.Second, time.Second)
		p.dialer.Control = func(string, string, syscall.RawConn) error {
			if failuresLeft.Add(-1) >= 0 {
				return errno
			}
			return nil
		}
		failuresLeft.Store(2)
		c, err := p.Get(context.Background(), "k", l.Addr().String())
		if err != nil {
			t.Errorf("%v on two attempts: %v", errno, err)
			continue
		}
		p.Drop(c)
		failuresLeft.Store(1000)
		if _, err := p.Get(context.Background(), "k", l.Addr().String()); !errors.Is(err, ErrLocalShortage) || !errors.Is(err, errno) {
			t.Errorf("%v on every attempt: %v", errno, err)
		}
		if p.OpenCount() != 0 {
			t.Errorf("%v: %d connections are counted as open", errno, p.OpenCount())
		}
	}
	p := NewPool(4, time.Second, time.Second)
	p.dialer.Control = func(string, string, syscall.RawConn) error { return syscall.ENETUNREACH }
	if _, err := p.Get(context.Background(), "k", l.Addr().String()); err == nil || errors.Is(err, ErrLocalShortage) {
		t.Errorf("unreachable network: %v", err)
	}
}
