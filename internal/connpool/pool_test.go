package connpool

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"
)

// The pool reuses the most recently used connection, closes idle ones to make room for others, and
// never exceeds its limit.
func TestPoolLimitsOpenConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := NewPool(2, time.Minute, time.Second)
	get := func() *Conn {
		t.Helper()
		c, err := p.Get(context.Background(), "k", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		return c
	}
	a, b := get(), get()
	if _, err := p.Get(context.Background(), "k", l.Addr().String()); !errors.Is(err, ErrExhausted) {
		t.Errorf("third connection at a limit of 2: error %v, want ErrExhausted", err)
	}
	p.Put(a)
	p.Put(b)
	if c := get(); c != b || !c.Reused {
		t.Error("not the most recently used connection")
	}
	p.Put(b)
	other, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer other.Close()
	c, err := p.Get(context.Background(), "other", other.Addr().String())
	if err != nil || p.OpenCount() != 2 {
		t.Errorf("with two idle: %v, %d open", err, p.OpenCount())
	}
	// Requests for another process at the same address get no connection to the previous process.
	if p.Put(c); c.Reused {
		t.Error("a new connection is marked as reused")
	}
	if c, err = p.Get(context.Background(), "third", other.Addr().String()); err != nil || c.Reused {
		t.Errorf("a connection of another peer at the same address: %v", err)
	}
	if _, err := a.Write([]byte("x")); err == nil {
		t.Error("the connection that was idle for longest is still open")
	}
	p.Drop(c)
	p.CloseIdle("k")
	p.CloseIdle("other")
	if p.OpenCount() != 0 {
		t.Errorf("%d open at the end", p.OpenCount())
	}
}

// The idle connections of an unresponsive peer are closed, unless one was used since the given time.
func TestCloseUnusedSince(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	addr := l.Addr().String()
	p := NewPool(2, time.Minute, time.Second)
	for name, c := range map[string]struct {
		since time.Time
		open  int
	}{"used since": {time.Now().Add(-time.Hour), 1}, "not used since": {time.Now().Add(time.Hour), 0}} {
		conn, err := p.Get(context.Background(), "k", addr)
		if err != nil {
			t.Fatal(err)
		}
		p.Put(conn)
		p.CloseUnusedSince("k", c.since)
		if p.OpenCount() != c.open {
			t.Errorf("%s: %d open, want %d", name, p.OpenCount(), c.open)
		}
		p.CloseIdle("k")
	}
}

// A connection that has reached the idle timeout or was closed by the peer occupies no socket.
func TestCloseExpired(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	for name, c := range map[string]struct {
		idle  time.Duration
		close bool
		open  int
	}{"fresh": {time.Minute, false, 1}, "too old": {0, false, 0}, "closed": {time.Minute, true, 0}} {
		p := NewPool(2, c.idle, time.Second)
		conn, err := p.Get(context.Background(), "k", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		peer, err := l.Accept()
		if err != nil {
			t.Fatal(err)
		}
		if c.close {
			peer.Close()
			conn.Reader.Peek(1) // waits for the FIN
		}
		p.Put(conn)
		p.CloseExpired()
		if p.OpenCount() != c.open {
			t.Errorf("%s: %d open, want %d", name, p.OpenCount(), c.open)
		}
		peer.Close()
	}
}

// A connection with unsolicited bytes is not reused: they would be taken for the next response.
func TestUnsolicitedBytesPreventReuse(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer l.Close()
	p := NewPool(2, time.Minute, time.Second)
	first, err := p.Get(context.Background(), "k", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	peer, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	defer peer.Close()
	p.Put(first)
	peer.Write([]byte("x"))
	for end := time.Now().Add(5 * time.Second); !HasUnreadData(first.Conn) && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	if c, err := p.Get(context.Background(), "k", l.Addr().String()); err != nil || c == first || p.OpenCount() != 1 {
		t.Errorf("error %v, same connection %t, %d open", err, c == first, p.OpenCount())
	}
}
