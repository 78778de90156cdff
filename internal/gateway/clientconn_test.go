package gateway

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"archknot/internal/connpool"
	"archknot/internal/syncpoint"
)

// acceptedConn returns an accepted connection that no server reads, and its client.
func acceptedConn(t *testing.T) (*clientConn, *testClient) {
	t.Helper()
	l := syncpoint.NewListener(t)
	defer l.Close()
	c := dial(t, l.Addr().String())
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn, err := newClientConn(accepted, newClientTracker(8, 1, 1<<20, newMonotonicClock()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { accepted.Close() })
	conn.used = true
	return conn, c
}

const (
	requestFirstHalf  = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: x\r\n"
	requestSecondHalf = "Req-Kind: chat\r\nContent-Length: 0\r\n\r\n"
)

// A connection on which bytes of a request have arrived is not closed as idle, and after a close no
// byte is read. Otherwise a request could be read and then dropped.
func TestConnectionCloseVersusRequestStart(t *testing.T) {
	read := func(c *clientConn) (string, error) {
		b := make([]byte, 512)
		n, err := c.Read(b)
		return string(b[:n]), err
	}
	waitForUnread := func(t *testing.T, c *clientConn) {
		t.Helper()
		waitUntil(t, "unread bytes", func() bool { return connpool.HasUnreadData(c.Conn) })
	}
	for name, run := range map[string]func(t *testing.T, conn *clientConn, c *testClient){
		"unread bytes, then a close": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			c.sendRaw(requestFirstHalf)
			waitForUnread(t, conn)
			if conn.closeIfIdle(true) || conn.evict() {
				t.Error("closed with unread bytes")
			}
			if got, err := read(conn); got != requestFirstHalf || err != nil {
				t.Errorf("read %q, %v", got, err)
			}
		},
		"bytes read, then a close": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			c.sendRaw(requestFirstHalf)
			if got, err := read(conn); got != requestFirstHalf || err != nil {
				t.Errorf("read %q, %v", got, err)
			}
			if conn.closeIfIdle(true) {
				t.Error("ended under a request that had begun")
			}
		},
		"a close, then bytes": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			if !conn.closeIfIdle(true) {
				t.Error("an idle connection is not closed")
			}
			c.sendRaw(requestFirstHalf + requestSecondHalf)
			waitForUnread(t, conn)
			if got, err := read(conn); got != "" || !errors.Is(err, io.EOF) {
				t.Errorf("read %q, %v", got, err)
			}
			waitForUnread(t, conn) // still unread
		},
		"a partial request is evicted": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			c.sendRaw(requestFirstHalf)
			read(conn)
			if !conn.evict() {
				t.Error("a partial request is not evicted")
			}
			if got, err := read(conn); got != "" || err == nil {
				t.Errorf("read %q, %v", got, err)
			}
		},
		"a complete request that is not served yet is not evicted": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			c.sendRaw(requestFirstHalf + requestSecondHalf)
			read(conn)
			if rank, _ := conn.evictionRank(conn.tracker.clock.now() + 10*slowRequestAfter); rank != 0 || conn.evict() {
				t.Errorf("evicted, or rank %d, want 0", rank)
			}
		},
		"the idle timeout expires with unread bytes": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			c.sendRaw(requestFirstHalf)
			waitForUnread(t, conn)
			conn.SetReadDeadline(time.Unix(1, 0))
			if got, err := read(conn); got != requestFirstHalf || err != nil {
				t.Errorf("read %q, %v", got, err)
			}
			// A request that has begun has its own timeout.
			c.sendRaw(requestSecondHalf)
			if got, err := read(conn); got != requestSecondHalf || err != nil {
				t.Errorf("read %q, %v", got, err)
			}
		},
		"the idle timeout expires, then bytes": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			conn.SetReadDeadline(time.Unix(1, 0))
			if got, err := read(conn); got != "" || err == nil {
				t.Errorf("read %q, %v", got, err)
			}
			c.sendRaw(requestFirstHalf)
			waitForUnread(t, conn)
			conn.SetReadDeadline(time.Time{})
			if got, err := read(conn); got != "" || !errors.Is(err, io.EOF) {
				t.Errorf("read %q, %v", got, err)
			}
		},
		"answered in a drain with part of the next request read": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			c.sendRaw(requestFirstHalf + requestSecondHalf + "P")
			read(conn)
			conn.tracker.beginShutdown()
			conn.requestAnswered(conn.tracker.clock.now())
			if conn.readClosed || conn.requestStart == 0 {
				t.Error("ended under a request that had begun")
			}
		},
		"an empty line after a request, in pieces": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			c.sendRaw(requestFirstHalf + requestSecondHalf + "\r")
			read(conn)
			conn.requestAnswered(conn.tracker.clock.now())
			c.sendRaw("\n")
			read(conn)
			if conn.requestStart != 0 || !conn.closeIfIdle(true) {
				t.Error("an empty line counts as the start of a request")
			}
		},
		"answered while a drain begins": func(t *testing.T, conn *clientConn, c *testClient) {
			t.Helper()
			conn.used = false
			c.sendRaw(requestFirstHalf + requestSecondHalf)
			read(conn)
			conn.tracker.beginShutdown() // skips this connection, whose request is in flight
			conn.requestAnswered(conn.tracker.clock.now())
			if !conn.readClosed {
				t.Error("still reads in the drain")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, c := acceptedConn(t)
			run(t, conn, c)
		})
	}
}

// startGatewayWithSyncpoints is startGateway on a listener whose connections can be paused.
func startGatewayWithSyncpoints(t *testing.T, tweak func(*Options), replicas ...*fakeReplica) (*testGateway, *syncpoint.Listener) {
	t.Helper()
	l := syncpoint.NewListener(t)
	return startGatewayOn(t, l, tweak, replicas...), l
}

// idleConnCount returns the number of connections that have answered a request and have no other.
func (r *testGateway) idleConnCount() (n int) {
	for _, conn := range r.clients.connections() {
		conn.mu.Lock()
		if conn.used && conn.requestStart == 0 {
			n++
		}
		conn.mu.Unlock()
	}
	return n
}

// A connection that is closed with unread bytes still delivers all that was written before, which
// a reset would drop. The close ends although the client keeps its side open.
func TestCloseDeliversTheAnswer(t *testing.T) {
	events := strings.Repeat(event1, 2000)
	replica := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, streamHead)
		for left := events; left != ""; left = left[len(event1):] {
			io.WriteString(c, chunk(left[:len(event1)]))
		}
		return false // breaks
	})
	g := startGateway(t, nil, replica)
	c := dial(t, g.addr)
	c.Conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	c.sendRequest("l1", "4000m")
	waitUntil(t, "the attempt", func() bool { _, n := replica.counts(); return n == 1 })
	c.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n") // pipelined, and left unread
	waitUntil(t, "the close", func() bool { return g.clients.lingering.Load() == 1 })
	got, err := io.ReadAll(c.readHead().Body)
	if !errors.Is(err, io.ErrUnexpectedEOF) || string(got) != events {
		t.Errorf("%d of %d bytes, %v", len(got), len(events), err)
	}
	waitUntil(t, "the connection to be closed", func() bool { return g.clients.connCount() == 0 && g.clients.lingering.Load() == 0 })
}

// A connection whose close waits for its client can be evicted.
func TestLingeringConnectionIsEvicted(t *testing.T) {
	conn, c := acceptedConn(t)
	tracker := conn.tracker
	tracker.conns[conn] = struct{}{}
	c.sendRaw(requestFirstHalf + requestSecondHalf + "x") // the last byte is left unread: the close lingers
	if _, err := io.ReadFull(conn, make([]byte, len(requestFirstHalf+requestSecondHalf))); err != nil {
		t.Fatal(err)
	}
	waitUntil(t, "a byte", func() bool { return connpool.HasUnreadData(conn.Conn) })
	conn.Write([]byte("answer"))
	go conn.Close()
	waitUntil(t, "the close", func() bool { return tracker.lingering.Load() == 1 })
	if !tracker.evictOne() || tracker.connCount() != 0 {
		t.Error("a lingering connection is not evicted")
	}
}

// Misbehaving clients leak no connection, body memory or goroutine: each is answered or
// disconnected. Meanwhile another client is served and no invalid request reaches the replica.
func TestMisbehavingClientsLeakNothing(t *testing.T) {
	replica := newFakeReplica(t, "s-1", answerCompletely)
	g := startGateway(t, nil, replica)
	c := dial(t, g.addr)
	c.sendRequest("before", "4000m")
	c.readAnswer()
	waitUntil(t, "idle connections", func() bool { return g.idleConnCount() == 1 })
	goroutines := runtime.NumGoroutine()
	var group sync.WaitGroup
	for name, text := range map[string]string{
		"a partial head":     requestFirstHalf,
		"a partial body":     requestFirstHalf + "Req-Kind: chat\r\nContent-Length: 9\r\n\r\nab",
		"an endless head":    requestFirstHalf + "X: " + strings.Repeat("x", 1<<20),
		"an endless body":    requestFirstHalf + "Req-Kind: chat\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(strings.Repeat("y", 1000)), 1000),
		"two lengths":        requestFirstHalf + "Req-Kind: chat\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		"a malformed chunk":  requestFirstHalf + "Req-Kind: chat\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc",
		"binary data":        "\x00\x01\x02\xff\n\n\n\n",
		"two, then closed":   strings.Repeat(requestFirstHalf+"Req-Kind: none\r\nContent-Length: 0\r\n\r\n", 2),
		"complete, bytewise": requestFirstHalf + requestSecondHalf,
	} {
		client := dial(t, g.addr)
		group.Go(func() {
			if strings.HasPrefix(name, "complete") {
				for i := range len(text) {
					io.WriteString(client, text[i:i+1])
				}
				if resp, err := http.ReadResponse(client.reader, nil); err != nil || resp.StatusCode != 200 {
					t.Errorf("%s: %v, %v", name, resp, err)
				}
			} else {
				io.WriteString(client, text) // the gateway may close the connection meanwhile
			}
			client.Close()
		})
	}
	for i := range 20 {
		c.sendRequest(fmt.Sprint("good", i), "4000m")
		if resp, _ := c.readAnswer(); resp.StatusCode != 200 {
			t.Errorf("well-behaved client: status %d", resp.StatusCode)
		}
	}
	group.Wait()
	waitUntil(t, "resources to be released", func() bool {
		return g.clients.connCount() == 1 && g.clients.bodyBytes.Load() == 0 && g.clients.inFlightCount() == 0 && runtime.NumGoroutine() <= goroutines+2
	})
	if _, n := replica.counts(); n != 22 {
		t.Errorf("%d requests reached the replica, want the 22 valid ones", n)
	}
}
