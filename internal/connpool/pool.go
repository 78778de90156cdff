// Package connpool keeps TCP connections to replicas and to discovery for reuse and bounds how many are open.
package connpool

import (
	"bufio"
	"cmp"
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"archknot/internal/controlstats"
	"archknot/internal/sockets"
)

// ErrExhausted says that the gateway may open no further connection.
var ErrExhausted = errors.New("no socket left for a further connection")

// ErrLocalShortage says that this machine could not open a connection: the other side was never asked.
var ErrLocalShortage = errors.New("no connection for want of something on this machine")

// A dial that fails for a shortage on this machine is tried again for a moment.
const maxShortageAttempts, shortageBackoff = 4, 5 * time.Millisecond

// Conn is a connection to a worker or to the registry. One request at a time
// goes over it.
type Conn struct {
	net.Conn
	Reader   *bufio.Reader
	Reused   bool // it has carried a request before
	meter    *controlstats.Meter
	peerKey  string
	lastUsed time.Time
}

// Pool keeps connections for reuse and bounds how many are open.
type Pool struct {
	dialer      net.Dialer
	mu          sync.Mutex
	idleTimeout time.Duration // a kept connection is closed after so long
	reuseDelay  time.Duration // and carries nothing before so long
	maxOpen     int           // connections open at once
	open        int
	idleConns   map[string][]*Conn // by key, the one used last at the end
}

// NewPool returns a pool of at most so many connections. The idle limit must
// lie below that of the workers, which close what is idle for longer.
func NewPool(most int, idle, connectTimeout time.Duration) *Pool {
	return &Pool{dialer: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, idleTimeout: idle, maxOpen: most, idleConns: map[string][]*Conn{}}
}

// SetReuseDelay has connections that are kept carry nothing for so long. A peer's second answer to a request
// may come a moment behind the first: by then it would be taken for the next request's.
func (p *Pool) SetReuseDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDelay = d
}

// SetLimits changes the bounds. Connections past a lower one are not cut off: none
// is opened until enough have ended.
func (p *Pool) SetLimits(most int, idle, connectTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen, p.idleTimeout, p.dialer.Timeout = most, idle, connectTimeout
}

// Get returns a connection: of those kept under the key the one used last, or a
// new one to addr. A key stands for one peer: what is at an address today may be
// another than yesterday, and the connections kept lead to the one that is gone.
func (p *Pool) Get(ctx context.Context, key, addr string) (*Conn, error) {
	if c := p.takeIdle(key); c != nil {
		return c, nil
	}
	if !p.reserveSlot() {
		return nil, ErrExhausted
	}
	p.mu.Lock()
	dial := p.dialer
	p.mu.Unlock()
	nc, err := dialWithRetry(ctx, &dial, addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	c := &Conn{Conn: nc, peerKey: key}
	c.Reader = bufio.NewReaderSize(c, 2048)
	return c, nil
}

// dialWithRetry opens a connection.
func dialWithRetry(ctx context.Context, dial *net.Dialer, addr string) (net.Conn, error) {
	for try := 1; ; try++ {
		nc, err := dial.DialContext(ctx, "tcp", addr)
		if err == nil || !sockets.IsLocalShortage(err) {
			return nc, err
		}
		if try == maxShortageAttempts || ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrLocalShortage, err)
		}
		select {
		case <-time.After(shortageBackoff << (try - 1)):
		case <-ctx.Done():
		}
	}
}

// StartCall has a connection that Get returned counted for a purpose.
func (c *Conn) StartCall(m *controlstats.Meter) {
	c.meter = m
	m.AddCall(!c.Reused)
}

// Read reads from the connection, and counts it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.AddBytesIn(n)
	return n, err
}

// Write writes to the connection, and counts it.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.AddBytesOut(n)
	return n, err
}

// WriteBuffers writes several buffers at once, and counts them.
func (c *Conn) WriteBuffers(parts net.Buffers) error {
	n, err := parts.WriteTo(c.Conn)
	c.meter.AddBytesOut(int(n))
	return err
}

func (p *Pool) takeIdle(key string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.idleConns[key]) - 1; i >= 0; i-- {
		c := p.idleConns[key][i]
		if time.Since(c.lastUsed) < p.reuseDelay {
			continue
		}
		p.idleConns[key] = slices.Delete(p.idleConns[key], i, i+1)
		if c.reusable(p.idleTimeout) {
			c.Reused = true
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// reusable tells whether a kept connection can carry a request. A request written
// to one that the worker has closed counts as sent and broken, so what is known
// of the socket is read first.
func (c *Conn) reusable(idle time.Duration) bool {
	if time.Since(c.lastUsed) >= idle || c.Reader.Buffered() > 0 {
		return false
	}
	_, err := peekConn(c.Conn)
	return err == syscall.EAGAIN // open, and nothing unasked for to read
}

// HasUnreadData tells whether bytes have come that were not read yet.
func HasUnreadData(c net.Conn) bool {
	n, err := peekConn(c)
	return err == nil && n > 0
}

// PeerClosed tells whether the other side has closed its half of a connection or reset it. Bytes
// that have come and were not read may stand before that end: the system's own view of the
// connection tells it all the same.
func PeerClosed(c net.Conn) bool {
	switch n, err := peekConn(c); {
	case err == nil && n > 0:
		return finReceived(c)
	case err == nil:
		return true
	default:
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
}

// finReceived tells whether the other side's end has come, read or not.
func finReceived(c net.Conn) (yes bool) {
	_ = withDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		yes = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE ||
			info.State == unix.BPF_TCP_LAST_ACK || info.State == unix.BPF_TCP_CLOSING)
	})
	return yes
}

// peekConn looks at what can be read from a connection now: EAGAIN says nothing.
func peekConn(c net.Conn) (n int, err error) {
	gone := withDescriptor(c, func(fd int) { n, err = PeekDescriptor(fd) })
	return n, cmp.Or(gone, err)
}

// PeekDescriptor looks at what can be read from a descriptor now, and leaves it unread.
func PeekDescriptor(fd int) (n int, err error) {
	var b [1]byte
	for {
		if n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return n, err
		}
	}
}

// withDescriptor calls f with a connection's descriptor; one that has none says nothing, as EAGAIN.
func withDescriptor(c net.Conn, f func(fd int)) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return syscall.EAGAIN
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	// Control, for Read would wait for whoever is reading.
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// reserveSlot makes room for a new connection, if need be by closing the one that
// has been idle for longest.
func (p *Pool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxOpen {
		var oldest *Conn
		for _, list := range p.idleConns {
			if len(list) > 0 && (oldest == nil || list[0].lastUsed.Before(oldest.lastUsed)) {
				oldest = list[0]
			}
		}
		if oldest == nil {
			return false
		}
		p.idleConns[oldest.peerKey] = p.idleConns[oldest.peerKey][1:]
		p.closeLocked(oldest)
	}
	p.open++
	return true
}

func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

func (p *Pool) closeLocked(c *Conn) {
	c.Conn.Close()
	p.open--
}

// Put keeps a connection whose exchange is over.
func (p *Pool) Put(c *Conn) {
	if c.SetDeadline(time.Time{}) != nil {
		p.Drop(c)
		return
	}
	c.lastUsed = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idleConns[c.peerKey] = append(p.idleConns[c.peerKey], c)
}

// Drop closes a connection that Get returned.
func (p *Pool) Drop(c *Conn) {
	c.Conn.Close()
	p.releaseSlot()
}

// CloseIdle closes the connections kept under the key.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idleConns[key] {
		p.closeLocked(c)
	}
	delete(p.idleConns, key)
}

// CloseUnusedSince closes the connections kept under the key after the peer has been silent since a
// time, unless one of them has been in use later. A machine that vanished leaves
// its connections open and silent: over a kept one each request waits for
// seconds, while a new one that does not come up says so at once.
func (p *Pool) CloseUnusedSince(key string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idleConns[key]
	if len(list) == 0 || list[len(list)-1].lastUsed.After(since) {
		return
	}
	for _, c := range list {
		p.closeLocked(c)
	}
	delete(p.idleConns, key)
}

// CloseExpired closes kept connections that are idle for too long or that the other
// side has ended, so that they hold no socket.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.idleConns {
		keep := list[:0]
		for _, c := range list {
			if c.reusable(p.idleTimeout) {
				keep = append(keep, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(list[len(keep):])
		if p.idleConns[addr] = keep; len(keep) == 0 {
			delete(p.idleConns, addr)
		}
	}
}

// OpenCount is the number of connections open, kept ones included.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
