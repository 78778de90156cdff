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

// A connect that this machine fails for want of something is tried again for a moment, and told from
// one that the other side, or the network, fails.
func TestLocalShortageIsRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for _, errno := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.EADDRNOTAVAIL, syscall.EINTR} {
		var fails atomic.Int32
		p := NewPool(4, time.Second, time.Second)
		p.dialer.Control = func(string, string, syscall.RawConn) error {
			if fails.Add(-1) >= 0 {
				return errno
			}
			return nil
		}
		fails.Store(2)
		c, err := p.Get(context.Background(), "k", l.Addr().String())
		if err != nil {
			t.Errorf("%v for a moment: %v", errno, err)
			continue
		}
		p.Drop(c)
		fails.Store(1000)
		if _, err := p.Get(context.Background(), "k", l.Addr().String()); !errors.Is(err, ErrLocalShortage) || !errors.Is(err, errno) {
			t.Errorf("%v for long: %v", errno, err)
		}
		if p.OpenCount() != 0 {
			t.Errorf("%v: %d connections are counted", errno, p.OpenCount())
		}
	}
	p := NewPool(4, time.Second, time.Second)
	p.dialer.Control = func(string, string, syscall.RawConn) error { return syscall.ENETUNREACH }
	if _, err := p.Get(context.Background(), "k", l.Addr().String()); err == nil || errors.Is(err, ErrLocalShortage) {
		t.Errorf("a network that is unreachable: %v", err)
	}
}
