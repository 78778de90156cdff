package gateway

import (
	"log/slog"
	"net"
	"time"
)

// clientListener accepts the clients' connections within the tracker's limits.
type clientListener struct {
	net.Listener
	tracker *clientTracker
}

func (t *clientTracker) wrapListener(l net.Listener) net.Listener { return &clientListener{l, t} }

// Accept returns the next connection. At the limit it closes one on which no request is
// arriving, as HTTP allows between requests. If all are busy, the new connection is marked as
// over the limit: its requests are answered that the gateway is at capacity.
func (l *clientListener) Accept() (net.Conn, error) {
	t := l.tracker
	conn, err := l.acceptUsable()
	if err != nil {
		return nil, err
	}
	for t.connCount() >= int(t.maxConns.Load()) && !conn.overLimit {
		conn.overLimit = !t.evictOne()
	}
	for t.connCount() >= int(t.maxConns.Load())+t.overflowConns && !t.evictOne() {
		// No descriptor is left even for that answer: further connections wait in the kernel's
		// accept queue.
		select {
		case <-t.connClosed:
		case <-time.After(connCheckInterval):
		}
	}
	t.add(conn)
	return conn, nil
}

// acceptUsable returns the next usable connection. It closes an unusable one and accepts the
// next.
func (l *clientListener) acceptUsable() (*clientConn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		conn, err := newClientConn(accepted, l.tracker)
		if err == nil {
			return conn, nil
		}
		slog.Debug("client_conn_unusable", "err", err)
		accepted.Close()
	}
}
