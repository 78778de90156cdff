package gateway

import (
	"context"
	"log/slog"
	"maps"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"archknot/choice"
)

// clients are the connections that the server holds, and what their requests
// take up.
type clients struct {
	clock clock
	most  atomic.Int64 // connections held
	spare int          // and so many past them
	bytes atomic.Int64 // of bodies held

	drainedAt  atomic.Int64 // when operators drained the gateway; 0: they have not
	stoppingAt atomic.Int64 // when the process was told to end; 0: it was not
	lingering  atomic.Int64 // connections that are being closed

	closedFor [closeReasons]atomic.Int64

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

// closedBy counts the connections that were closed, by reason.
func (c *clients) closedBy() map[string]int64 {
	out := map[string]int64{}
	for r := range closeReasons {
		out[closeReason(r).String()] = c.closedFor[r].Load()
	}
	return out
}

// tellClosed counts a connection that is closed, and tells why: in the log where it is at debug level,
// for there are as many lines as connections.
func (c *clients) tellClosed(conn *clientConn) {
	conn.mu.Lock()
	why, served, quiet := conn.why, conn.served, conn.quiet
	conn.mu.Unlock()
	c.closedFor[why].Add(1)
	if slog.Default().Enabled(context.Background(), slog.LevelDebug) {
		slog.Debug("client_conn_closed", "reason", why.String(), "client", conn.RemoteAddr(), "requests", served, "idle_ms", (c.clock.now()-quiet)/1000)
	}
}

type connKey struct{}

func (c *clients) context(ctx context.Context, nc net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, nc)
}

func (c *clients) of(ctx context.Context) *clientConn { return ctx.Value(connKey{}).(*clientConn) }

// state follows a connection for the server.
func (c *clients) state(nc net.Conn, s http.ConnState) {
	if s == http.StateIdle {
		nc.(*clientConn).rested(c.clock.now())
	}
}

func (c *clients) all() []*clientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Collect(maps.Keys(c.conns))
}

// drop takes a connection out that is closed.
func (c *clients) drop(conn *clientConn) {
	c.mu.Lock()
	delete(c.conns, conn)
	c.mu.Unlock()
	select {
	case c.freed <- struct{}{}:
	default:
	}
}

// none waits until there is no connection any more.
func (c *clients) none(ctx context.Context) error {
	for c.count() > 0 {
		select {
		case <-c.freed:
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
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
	conn, err := l.next()
	if err != nil {
		return nil, err
	}
	for c.count() >= int(c.most.Load()) && !conn.over {
		conn.over = !c.closeOne()
	}
	for c.count() >= int(c.most.Load())+c.spare && !c.closeOne() {
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

// next is the next connection that can be used. The fault of one ends that one alone.
func (l *listener) next() (*clientConn, error) {
	for {
		nc, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn, err := newClientConn(nc, l.clients)
		if err == nil {
			return conn, nil
		}
		slog.Debug("client_conn_unusable", "err", err)
		nc.Close()
	}
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
func (c *clients) closeOne() bool {
	var lost map[*clientConn]bool // a request had come since they were looked at
	for {
		var least *clientConn
		var leastRank int
		var leastAge choice.Micros
		now := c.clock.now()
		c.mu.Lock()
		for conn := range c.conns {
			rank, age := conn.rank(now)
			if rank > 0 && (least == nil || rank < leastRank || rank == leastRank && age > leastAge) && !lost[conn] {
				least, leastRank, leastAge = conn, rank, age
			}
		}
		c.mu.Unlock()
		if least == nil {
			return false
		}
		if least.giveWay() {
			return true
		}
		if lost == nil {
			lost = map[*clientConn]bool{}
		}
		lost[least] = true
	}
}
