// Package connpool keeps TCP connections to replicas and to discovery for reuse and bounds how many are open.
package connpool

import (
	"context"
	"errors"
	"net"
	"slices"
	"sync"
	"time"
)

// ErrExhausted reports that the pool has reached its limit of open connections and none of them is idle.
var ErrExhausted = errors.New("connection pool exhausted")

// Pool keeps idle connections for reuse and bounds the number of open ones. It may be used by many
// goroutines at once.
type Pool struct {
	mu          sync.Mutex
	dialer      net.Dialer
	idleTimeout time.Duration // the idle time after which a connection is closed
	reuseDelay  time.Duration // the idle time before which a connection is not reused
	maxOpen     int
	open        int                // open connections, idle ones included
	idleConns   map[string][]*Conn // by peer key, the most recently used last
}

// NewPool returns a pool of at most maxOpen connections. The idle timeout must be shorter than the
// replicas' own, so that the pool closes an idle connection before its peer does.
func NewPool(maxOpen int, idleTimeout, connectTimeout time.Duration) *Pool {
	return &Pool{
		dialer:      net.Dialer{Timeout: connectTimeout, KeepAlive: -1},
		idleTimeout: idleTimeout,
		maxOpen:     maxOpen,
		idleConns:   map[string][]*Conn{},
	}
}

// SetReuseDelay sets how long a connection stays idle before it is reused. A peer's second response to a
// request may arrive shortly after the first; on a connection that was reused at once it would be taken
// for the response to the next request.
func (p *Pool) SetReuseDelay(delay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reuseDelay = delay
}

// SetLimits changes the pool's limits. It closes no connections over a lower maximum; until enough of them
// have been closed, a new connection is opened only in place of an idle one.
func (p *Pool) SetLimits(maxOpen int, idleTimeout, connectTimeout time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxOpen = maxOpen
	p.idleTimeout = idleTimeout
	p.dialer.Timeout = connectTimeout
}

// Get returns the most recently used idle connection of the peer key, or a new connection to addr. A key
// identifies one peer process. Addresses do not: a later process may listen at the same address, while
// the idle connections lead to the previous one.
//
// The caller must return the connection with Put or Drop. The error is ErrExhausted, ErrLocalShortage or
// that of the dial.
func (p *Pool) Get(ctx context.Context, key, addr string) (*Conn, error) {
	if c := p.takeIdle(key); c != nil {
		return c, nil
	}
	if !p.reserveSlot() {
		return nil, ErrExhausted
	}
	dialer := p.currentDialer()
	raw, err := dialWithRetry(ctx, &dialer, addr)
	if err != nil {
		p.releaseSlot()
		return nil, err
	}
	return newConn(raw, key), nil
}

// Put returns a connection to the pool for reuse. Its last response must have been read completely.
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
	c.Close()
	p.releaseSlot()
}

// CloseIdle closes the idle connections of the peer key.
func (p *Pool) CloseIdle(key string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked(key)
}

// CloseUnusedSince closes the idle connections of the peer key, unless one of them was used after since,
// the time from which the peer did not respond. The connections to a machine that has disappeared stay
// open: each request over one waits for seconds, while opening a new connection fails at once.
func (p *Pool) CloseUnusedSince(key string, since time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conns := p.idleConns[key]
	if len(conns) == 0 || conns[len(conns)-1].lastUsed.After(since) {
		return
	}
	p.closeIdleLocked(key)
}

// CloseExpired closes idle connections that cannot be reused, such as those that have reached the idle
// timeout or that the peer has closed, so that they occupy no socket.
func (p *Pool) CloseExpired() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, conns := range p.idleConns {
		remaining := conns[:0]
		for _, c := range conns {
			if c.reusable(p.idleTimeout) {
				remaining = append(remaining, c)
			} else {
				p.closeLocked(c)
			}
		}
		clear(conns[len(remaining):])
		p.idleConns[key] = remaining
		if len(remaining) == 0 {
			delete(p.idleConns, key)
		}
	}
}

// OpenCount returns the number of open connections, idle ones included.
func (p *Pool) OpenCount() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.open
}

// takeIdle removes and returns the most recently used idle connection of the key that can be reused, or
// nil if there is none. It closes the connections that it finds not to be reusable.
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

// currentDialer returns a copy of the dialer, because SetLimits may change its timeout at any time.
func (p *Pool) currentDialer() net.Dialer {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dialer
}

// reserveSlot reserves capacity for a new connection. At the limit it closes the longest idle connection,
// or returns false if none is idle.
func (p *Pool) reserveSlot() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.open >= p.maxOpen {
		oldest := p.longestIdleLocked()
		if oldest == nil {
			return false
		}
		p.idleConns[oldest.peerKey] = p.idleConns[oldest.peerKey][1:]
		p.closeLocked(oldest)
	}
	p.open++
	return true
}

// releaseSlot releases the capacity of a connection that was closed or never opened.
func (p *Pool) releaseSlot() {
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// longestIdleLocked returns the connection that has been idle for longest, or nil if none is idle.
func (p *Pool) longestIdleLocked() *Conn {
	var oldest *Conn
	for _, conns := range p.idleConns {
		if len(conns) == 0 {
			continue
		}
		if oldest == nil || conns[0].lastUsed.Before(oldest.lastUsed) {
			oldest = conns[0]
		}
	}
	return oldest
}

func (p *Pool) closeIdleLocked(key string) {
	for _, c := range p.idleConns[key] {
		p.closeLocked(c)
	}
	delete(p.idleConns, key)
}

func (p *Pool) closeLocked(c *Conn) {
	c.Close()
	p.open--
}
