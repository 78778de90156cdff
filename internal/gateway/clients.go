package gateway

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"archknot/choice"
	"archknot/internal/memory"
	"archknot/internal/wire/socket"
)

// clients are the connections that the acceptor holds, and what their requests
// take up.
type clients struct {
	clock clock
	most  atomic.Int64 // connections held
	spare int          // and so many past them
	bytes atomic.Int64 // of bodies held

	mu    sync.Mutex
	conns map[*clientConn]struct{}
	ids   map[string]struct{} // requests in hand
	freed chan struct{}       // a connection has ended
}

func newClients(most, spare int, c clock) *clients {
	cs := &clients{clock: c, spare: spare, conns: map[*clientConn]struct{}{}, ids: map[string]struct{}{}, freed: make(chan struct{}, 1)}
	cs.most.Store(int64(most))
	return cs
}

// enter takes a request in hand, unless there are too many or one has its id.
func (c *clients) enter(id string, most int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, twice := c.ids[id]; twice || len(c.ids) >= most {
		return false
	}
	c.ids[id] = struct{}{}
	return true
}

func (c *clients) leave(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.ids, id)
}

func (c *clients) open(id string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.ids[id]
	return ok
}

func (c *clients) held() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ids)
}

func (c *clients) take(n, most int64) bool {
	if c.bytes.Add(n) > most {
		c.bytes.Add(-n)
		return false
	}
	return true
}

func (c *clients) free(n int64) { c.bytes.Add(-n) }

// clientConn notes when a request's first byte came: the server's handler
// starts later, after a wait for the core.
type clientConn struct {
	net.Conn
	clients *clients
	over    bool         // accepted past the limit
	first   atomic.Int64 // when a request's first byte came; 0: none is coming
	quiet   atomic.Int64 // since when none has been, or was before first
	used    atomic.Bool  // a request has been answered on it
	busy    atomic.Bool  // a request has come whole
	served  int          // requests answered; only the server's task has it
	closed  sync.Once
	framing socket.Framing // of all that was read; only Read writes to it
	hiding  atomic.Bool    // the framing has a doubt: nothing more is taken from it
}

func (c *clientConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 && c.first.Load() == 0 {
		c.first.Store(c.clients.clock.now())
	}
	// The server drops a Content-Length beside a Transfer-Encoding without a
	// word: which of the two counts is in doubt, and with it where the next
	// request begins. Only here are both seen, and before the server sees them.
	if c.framing.Write(p[:n]); c.framing.Doubt != "" {
		c.hiding.Store(true)
	}
	return n, err
}

func (c *clientConn) Close() error {
	c.closed.Do(func() {
		c.clients.mu.Lock()
		delete(c.clients.conns, c)
		c.clients.mu.Unlock()
		select {
		case c.clients.freed <- struct{}{}:
		default:
		}
	})
	return c.Conn.Close()
}

// CloseWrite lets the server end a connection without a reset.
func (c *clientConn) CloseWrite() error {
	if t, ok := c.Conn.(*net.TCPConn); ok {
		return t.CloseWrite()
	}
	return nil
}

// gone asks the system whether the client has closed the connection.
func (c *clientConn) gone() bool { return memory.Gone(c.Conn) }

func (c *clientConn) sentAt() choice.Micros {
	if at := c.first.Load(); at > 0 {
		return at
	}
	return c.clients.clock.now()
}

// began is when the client connected, or when its further request began.
func (c *clientConn) began() time.Time {
	at := c.sentAt()
	if !c.used.Load() {
		at = c.quiet.Load()
	}
	return c.clients.clock.at(at)
}

type connKey struct{}

func (c *clients) context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func (c *clients) of(ctx context.Context) *clientConn { return ctx.Value(connKey{}).(*clientConn) }

// state follows a connection for the server.
func (c *clients) state(nc net.Conn, s http.ConnState) {
	if conn := nc.(*clientConn); s == http.StateIdle {
		now := c.clock.now()
		conn.used.Store(true)
		conn.busy.Store(false)
		conn.quiet.Store(now)
		conn.served++
		// The head of the next one may have come with the one before. Nobody
		// reads between two requests: the framing stands still.
		if conn.first.Store(0); conn.framing.Heads > conn.served {
			conn.first.Store(now)
		}
	}
}

// closeUnused ends connections on which nothing was ever sent.
func (c *clients) closeUnused() {
	for c.closeOne(func(conn *clientConn) bool { return !conn.used.Load() }) {
	}
}

type listener struct {
	net.Listener
	clients *clients
}

func (c *clients) listen(l net.Listener) net.Listener { return &listener{l, c} }

// Accept takes the next connection. At the limit it ends one on which no
// request is coming, as the protocol allows between requests; where all are
// busy, the new one is told that the gateway is full.
func (l *listener) Accept() (net.Conn, error) {
	c := l.clients
	nc, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	conn := &clientConn{Conn: nc, clients: c}
	conn.quiet.Store(c.clock.now())
	for c.count() >= int(c.most.Load()) && !conn.over {
		conn.over = !c.closeOne(nil)
	}
	for c.count() >= int(c.most.Load())+c.spare && !c.closeOne(nil) {
		// Not even for that is there a descriptor: the next ones wait in the
		// system's queue.
		select {
		case <-c.freed:
		case <-time.After(50 * time.Millisecond):
		}
	}
	c.mu.Lock()
	c.conns[conn] = struct{}{}
	c.mu.Unlock()
	return conn, nil
}

func (c *clients) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// How soon after connecting the usual client sends something, and how long
// after that it has sent all.
const quick, slow choice.Micros = 100_000, 500_000

// closeOne ends the connection that is least likely to be missed and tells
// whether there was any. Those who open connections by hundreds and say nothing,
// or begin to and never end, hold none that others need.
func (c *clients) closeOne(only func(*clientConn) bool) bool {
	for {
		var least *clientConn
		var leastRank int
		var leastAge choice.Micros
		now := c.clock.now()
		c.mu.Lock()
		for conn := range c.conns {
			if only != nil && !only(conn) {
				continue
			}
			rank, age := conn.rank(now)
			if rank > 0 && (least == nil || rank < leastRank || rank == leastRank && age > leastAge) {
				least, leastRank, leastAge = conn, rank, age
			}
		}
		c.mu.Unlock()
		if least == nil {
			return false
		}
		// What has come and waits for its reader is a request all the same.
		if least.first.Load() == 0 && memory.Waiting(least.Conn) {
			least.first.CompareAndSwap(0, now)
			continue
		}
		least.Close()
		return true
	}
}

// rank tells how soon a connection may be ended, 1 the soonest, 0 never, and
// for how long it has been so.
func (c *clientConn) rank(now choice.Micros) (int, choice.Micros) {
	quiet, since := now-c.quiet.Load(), c.first.Load()
	switch {
	case c.busy.Load():
		return 0, 0
	case since > 0 && now-since > slow:
		return 3, now - since
	case since > 0:
		return 0, 0
	case c.used.Load():
		return 2, quiet
	case quiet > quick:
		return 1, quiet
	}
	return 4, quiet
}
