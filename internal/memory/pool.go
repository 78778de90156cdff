package memory

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

	"archknot/internal/figures"
	"archknot/internal/sockets"
)

// ErrFull says that the gateway may open no further connection.
var ErrFull = errors.New("no socket left for a further connection")

// ErrShortage says that this machine could not open a connection: the other side was never asked.
var ErrShortage = errors.New("no connection for want of something on this machine")

// A dial that fails for a shortage on this machine is tried again for a moment.
const shortageTries, shortagePause = 4, 5 * time.Millisecond

// Conn is a connection to a worker or to the registry. One request at a time
// goes over it.
type Conn struct {
	net.Conn
	R      *bufio.Reader
	Reused bool // it has carried a request before
	meter  *figures.Meter
	key    string
	usedAt time.Time
}

// Pool keeps connections for reuse and bounds how many are open.
type Pool struct {
	dial  net.Dialer
	mu    sync.Mutex
	idle  time.Duration // a kept connection is closed after so long
	rest  time.Duration // and carries nothing before so long
	most  int           // connections open at once
	open  int
	spare map[string][]*Conn // by key, the one used last at the end
}

// NewPool returns a pool of at most so many connections. The idle limit must
// lie below that of the workers, which close what is idle for longer.
func NewPool(most int, idle, connectTimeout time.Duration) *Pool {
	return &Pool{dial: net.Dialer{Timeout: connectTimeout, KeepAlive: -1}, idle: idle, most: most, spare: map[string][]*Conn{}}
}

// Rest has connections that are kept carry nothing for so long. A peer's second answer to a request
// may come a moment behind the first: by then it would be taken for the next request's.
func (p *Pool) Rest(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.rest = d
}

// SetLimits changes the bounds. Connections past a lower one are not cut off: none
// is opened until enough have ended.
func (p *Pool) SetLimits(most int, idle, connectTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.most, p.idle, p.dial.Timeout = most, idle, connectTimeout
}

// Get returns a connection: of those kept under the key the one used last, or a
// new one to addr. A key stands for one peer: what is at an address today may be
// another than yesterday, and the connections kept lead to the one that is gone.
func (p *Pool) Get(ctx context.Context, key, addr string) (*Conn, error) {
	if c := p.kept(key); c != nil {
		return c, nil
	}
	if !p.reserve() {
		return nil, ErrFull
	}
	p.mu.Lock()
	dial := p.dial
	p.mu.Unlock()
	nc, err := connect(ctx, &dial, addr)
	if err != nil {
		p.release()
		return nil, err
	}
	c := &Conn{Conn: nc, key: key}
	c.R = bufio.NewReaderSize(c, 2048)
	return c, nil
}

// connect opens a connection.
func connect(ctx context.Context, dial *net.Dialer, addr string) (net.Conn, error) {
	for try := 1; ; try++ {
		nc, err := dial.DialContext(ctx, "tcp", addr)
		if err == nil || !sockets.Shortage(err) {
			return nc, err
		}
		if try == shortageTries || ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrShortage, err)
		}
		select {
		case <-time.After(shortagePause << (try - 1)):
		case <-ctx.Done():
		}
	}
}

// Carry has a connection that Get returned counted for a purpose.
func (c *Conn) Carry(m *figures.Meter) {
	c.meter = m
	m.Call(!c.Reused)
}

// Read reads from the connection, and counts it.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.In(n)
	return n, err
}

// Write writes to the connection, and counts it.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.Out(n)
	return n, err
}

// WriteParts writes several buffers at once, and counts them.
func (c *Conn) WriteParts(parts net.Buffers) error {
	n, err := parts.WriteTo(c.Conn)
	c.meter.Out(int(n))
	return err
}

func (p *Pool) kept(key string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := len(p.spare[key]) - 1; i >= 0; i-- {
		c := p.spare[key][i]
		if time.Since(c.usedAt) < p.rest {
			continue
		}
		p.spare[key] = slices.Delete(p.spare[key], i, i+1)
		if c.fit(p.idle) {
			c.Reused = true
			return c
		}
		p.closeLocked(c)
	}
	return nil
}

// fit tells whether a kept connection can carry a request. A request written
// to one that the worker has closed counts as sent and broken, so what is known
// of the socket is read first.
func (c *Conn) fit(idle time.Duration) bool {
	if time.Since(c.usedAt) >= idle || c.R.Buffered() > 0 {
		return false
	}
	_, err := peek(c.Conn)
	return err == syscall.EAGAIN // open, and nothing unasked for to read
}

// Waiting tells whether bytes have come that were not read yet.
func Waiting(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n > 0
}

// Gone tells whether the other side has closed its half of a connection or reset it. Bytes
// that have come and were not read may stand before that end: the system's own view of the
// connection tells it all the same.
func Gone(c net.Conn) bool {
	switch n, err := peek(c); {
	case err == nil && n > 0:
		return ended(c)
	case err == nil:
		return true
	default:
		return !errors.Is(err, syscall.EAGAIN) && !errors.Is(err, syscall.EINTR)
	}
}

// ended tells whether the other side's end has come, read or not.
func ended(c net.Conn) (yes bool) {
	_ = onDescriptor(c, func(fd int) {
		info, err := unix.GetsockoptTCPInfo(fd, unix.IPPROTO_TCP, unix.TCP_INFO)
		yes = err == nil && (info.State == unix.BPF_TCP_CLOSE_WAIT || info.State == unix.BPF_TCP_CLOSE ||
			info.State == unix.BPF_TCP_LAST_ACK || info.State == unix.BPF_TCP_CLOSING)
	})
	return yes
}

// peek looks at what can be read from a connection now: EAGAIN says nothing.
func peek(c net.Conn) (n int, err error) {
	gone := onDescriptor(c, func(fd int) { n, err = Peek(fd) })
	return n, cmp.Or(gone, err)
}

// Peek looks at what can be read from a descriptor now, and leaves it unread.
func Peek(fd int) (n int, err error) {
	var b [1]byte
	for {
		if n, _, err = syscall.Recvfrom(fd, b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT); err != syscall.EINTR {
			return n, err
		}
	}
}

// onDescriptor calls f with a connection's descriptor; one that has none says nothing, as EAGAIN.
func onDescriptor(c net.Conn, f func(fd int)) error {
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

// reserve makes room for a new connection, if need be by closing the one that
// has been idle for longest.
func (p *Pool) reserve() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.most {
		var oldest *Conn
		for _, list := range p.spare {
			if len(list) > 0 && (oldest == nil || list[0].usedAt.Before(oldest.usedAt)) {
				oldest = list[0]
			}
		}
		if oldest == nil {
			return false
		}
		p.spare[oldest.key] = p.spare[oldest.key][1:]
		p.closeLocked(oldest)
	}
	p.open++
	return true
}

func (p *Pool) release() {
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
	c.usedAt = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.spare[c.key] = append(p.spare[c.key], c)
}

// Drop closes a connection that Get returned.
func (p *Pool) Drop(c *Conn) {
	c.Conn.Close()
	p.release()
}

// CloseIdle closes the connections kept under the key.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.spare[key] {
		p.closeLocked(c)
	}
	delete(p.spare, key)
}

// Doubt closes the connections kept under the key after the peer has been silent since a
// time, unless one of them has been in use later. A machine that vanished leaves
// its connections open and silent: over a kept one each request waits for
// seconds, while a new one that does not come up says so at once.
func (p *Pool) Doubt(key string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.spare[key]
	if len(list) == 0 || list[len(list)-1].usedAt.After(since) {
		return
	}
	for _, c := range list {
		p.closeLocked(c)
	}
	delete(p.spare, key)
}

// Sweep closes kept connections that are idle for too long or that the other
// side has ended, so that they hold no socket.
func (p *Pool) Sweep() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, list := range p.spare {
		keep := list[:0]
		for _, c := range list {
			if c.fit(p.idle) {
				keep = append(keep, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(list[len(keep):])
		if p.spare[addr] = keep; len(keep) == 0 {
			delete(p.spare, addr)
		}
	}
}

// Open is the number of connections open, kept ones included.
func (p *Pool) Open() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}
