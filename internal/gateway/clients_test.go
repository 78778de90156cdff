package gateway

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"archknot/internal/hold"
	"archknot/internal/memory"
)

// accept is one accepted connection before any server reads it, with its client.
func accept(t *testing.T) (*clientConn, *client) {
	t.Helper()
	l := hold.NewListener(t)
	defer l.Close()
	c := dial(t, l.Addr().String())
	nc, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	conn, err := newClientConn(nc, newClients(8, 1, newClock()))
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { nc.Close() })
	conn.used = true
	return conn, c
}

const half, rest = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: x\r\n", "Req-Kind: chat\r\nContent-Length: 0\r\n\r\n"

// A connection's end and the bytes of a request: one of them wins, in either order, and on one that
// has ended no byte is read.
func TestAConnectionEndsOrARequestBegins(t *testing.T) {
	read := func(c *clientConn) (string, error) {
		b := make([]byte, 512)
		n, err := c.Read(b)
		return string(b[:n]), err
	}
	waiting := func(t *testing.T, c *clientConn) {
		t.Helper()
		until(t, "bytes that wait", func() bool { return memory.HasUnreadData(c.Conn) })
	}
	for name, play := range map[string]func(t *testing.T, conn *clientConn, c *client){
		"bytes unread, then the end": func(t *testing.T, conn *clientConn, c *client) {
			c.raw(half)
			waiting(t, conn)
			if conn.end(true) || conn.giveWay() {
				t.Error("ended over bytes that had come")
			}
			if got, err := read(conn); got != half || err != nil {
				t.Errorf("read %q, %v", got, err)
			}
		},
		"bytes read, then the end": func(t *testing.T, conn *clientConn, c *client) {
			c.raw(half)
			if got, err := read(conn); got != half || err != nil {
				t.Errorf("read %q, %v", got, err)
			}
			if conn.end(true) {
				t.Error("ended under a request that had begun")
			}
		},
		"the end, then bytes": func(t *testing.T, conn *clientConn, c *client) {
			if !conn.end(true) {
				t.Error("a resting connection does not end")
			}
			c.raw(half + rest)
			waiting(t, conn)
			if got, err := read(conn); got != "" || err != io.EOF {
				t.Errorf("read %q, %v", got, err)
			}
			waiting(t, conn) // still: nobody has read them
		},
		"half a request, no longer waited for": func(t *testing.T, conn *clientConn, c *client) {
			c.raw(half)
			read(conn)
			if !conn.giveWay() {
				t.Error("half a request keeps its place")
			}
			if got, err := read(conn); got != "" || err == nil {
				t.Errorf("read %q, %v", got, err)
			}
		},
		"a whole request that is not served yet": func(t *testing.T, conn *clientConn, c *client) {
			c.raw(half + rest)
			read(conn)
			if rank, _ := conn.rank(conn.clients.clock.now() + 10*slow); rank != 0 || conn.giveWay() {
				t.Errorf("rank %d, or ended", rank)
			}
		},
		"its idle time ends over bytes that have come": func(t *testing.T, conn *clientConn, c *client) {
			c.raw(half)
			waiting(t, conn)
			conn.SetReadDeadline(time.Unix(1, 0))
			if got, err := read(conn); got != half || err != nil {
				t.Errorf("read %q, %v", got, err)
			}
			// A request that has begun has a time of its own.
			c.raw(rest)
			if got, err := read(conn); got != rest || err != nil {
				t.Errorf("read %q, %v", got, err)
			}
		},
		"its idle time ends, then bytes": func(t *testing.T, conn *clientConn, c *client) {
			conn.SetReadDeadline(time.Unix(1, 0))
			if got, err := read(conn); got != "" || err == nil {
				t.Errorf("read %q, %v", got, err)
			}
			c.raw(half)
			waiting(t, conn)
			conn.SetReadDeadline(time.Time{})
			if got, err := read(conn); got != "" || err != io.EOF {
				t.Errorf("read %q, %v", got, err)
			}
		},
		"answered with some of the next request read, in a drain": func(t *testing.T, conn *clientConn, c *client) {
			c.raw(half + rest + "P")
			read(conn)
			conn.clients.stop()
			conn.rested(conn.clients.clock.now())
			if conn.ended || conn.first == 0 {
				t.Error("ended under a request that had begun")
			}
		},
		"an empty line behind a request, in pieces": func(t *testing.T, conn *clientConn, c *client) {
			c.raw(half + rest + "\r")
			read(conn)
			conn.rested(conn.clients.clock.now())
			c.raw("\n")
			read(conn)
			if conn.first != 0 || !conn.end(true) {
				t.Error("an empty line is taken for a request")
			}
		},
		"answered while a drain begins": func(t *testing.T, conn *clientConn, c *client) {
			conn.used = false
			c.raw(half + rest)
			read(conn)
			conn.clients.stop() // has asked this one already
			conn.rested(conn.clients.clock.now())
			if !conn.ended {
				t.Error("rests on in the drain")
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			conn, c := accept(t)
			play(t, conn, c)
		})
	}
}

// startOn is start on a listener whose connections can be held.
func startOn(t *testing.T, tweak func(*Options), workers ...*worker) (*running, *hold.Listener) {
	t.Helper()
	l := hold.NewListener(t)
	return startAt(t, l, tweak, workers...), l
}

// A drain begins at each point of a request's coming: what has come, read or not, is answered on its
// connection, which ends then; what comes later is not read, and nothing of it reaches a replica.
func TestDrainMeetsARequest(t *testing.T) {
	ask := func(id string) string {
		return strings.Replace(half, "Req-Id: x", "Req-Id: "+id, 1) + rest
	}
	type meeting func(t *testing.T, c *client, conn *hold.Conn, drain func()) (sends int)
	read := func(n int) meeting { // so many bytes of it were, and nothing done with them yet
		return func(t *testing.T, c *client, conn *hold.Conn, drain func()) int {
			behind := hold.NewPoint(t)
			conn.Behind(behind)
			c.raw(ask("b")[:n])
			behind.Await(t)
			drain()
			behind.Release()
			c.raw(ask("b")[n:])
			return 2
		}
	}
	for name, play := range map[string]meeting{
		"its first bytes were read": read(7),
		"all of it was read":        read(len(ask("b"))),
		"all of it has come and none was read": func(t *testing.T, c *client, conn *hold.Conn, drain func()) int {
			before := hold.NewPoint(t)
			conn.Before(before)
			c.raw(ask("b"))
			before.Await(t)
			drain()
			before.Release()
			return 2
		},
		"it comes behind the end": func(t *testing.T, c *client, conn *hold.Conn, drain func()) int {
			drain()
			if _, err := c.in.ReadByte(); err != io.EOF {
				t.Errorf("the resting connection: %v, want a clean end", err)
			}
			io.WriteString(c, ask("b")) // may fail: the other side has closed
			return 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorker(t, "s-1", whole)
			g, l := startOn(t, func(o *Options) { o.DrainAccept = 100 * time.Millisecond }, w)
			c := dial(t, g.addr)
			c.raw(ask("a"))
			if resp, _ := c.answer(); resp.StatusCode != 200 || resp.Close {
				t.Fatalf("status %d, close %t", resp.StatusCode, resp.Close)
			}
			drained := make(chan error, 1)
			other := dial(t, g.addr) // a sign that the drain has asked all
			other.raw(ask("other"))
			other.answer()
			first, second := l.Next(t), l.Next(t)
			if first.RemoteAddr().String() != c.LocalAddr().String() {
				first, second = second, first
			}
			until(t, "rest", func() bool { return g.resting() == 2 })
			sends := play(t, c, first, func() {
				go func() { drained <- g.Drain(context.Background()) }()
				if _, err := other.in.ReadByte(); err != io.EOF {
					t.Errorf("the other connection: %v", err)
				}
			})
			if sends == 2 {
				if resp, _ := c.answer(); resp.StatusCode != 200 || !resp.Close {
					t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
				}
			}
			if _, err := c.in.ReadByte(); err == nil {
				t.Error("the connection goes on")
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
			if _, n := w.seen(); n != sends+1 {
				t.Errorf("%d requests reached the replica, want %d", n, sends+1)
			}
		})
	}
}

// resting counts the connections on which a request was answered and none has come since.
func (r *running) resting() (n int) {
	for _, conn := range r.clients.all() {
		conn.mu.Lock()
		if conn.used && conn.first == 0 {
			n++
		}
		conn.mu.Unlock()
	}
	return n
}

// Requests sent ahead of their answers are answered in a drain too, each by its own settings, and only
// the last answer ends the connection; so is one whose connection came as the listener closed.
func TestDrainAnswersWhatWasSentAhead(t *testing.T) {
	more := make(chan struct{})
	w := newWorker(t, "s-1", func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Req-Id") == "first" {
			<-more
		}
		return whole(c, r)
	})
	g := start(t, func(o *Options) { o.DrainAccept = 50 * time.Millisecond }, w)
	c, late, unused := dial(t, g.addr), dial(t, g.addr), dial(t, g.addr)
	for i, id := range []string{"first", "second", "third"} {
		c.raw(fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: chat\r\nReq-Owner: t%d\r\nContent-Length: 0\r\n\r\n", id, i))
	}
	late.raw(half[:9])
	until(t, "the first send", func() bool { _, n := w.seen(); return n == 1 })
	until(t, "half a request", func() bool { return g.begun() == 2 })
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(context.Background()) }()
	if _, err := unused.in.ReadByte(); err != io.EOF { // the last step of the drain but for waiting
		t.Errorf("the unused connection: %v", err)
	}
	close(more)
	late.raw(half[9:] + rest)
	for i, last := range []bool{false, false, true} {
		if resp, body := c.answer(); resp.StatusCode != 200 || !strings.Contains(body, "[DONE]") || resp.Close != last {
			t.Errorf("answer %d: status %d, close %t", i, resp.StatusCode, resp.Close)
		}
	}
	if resp, _ := late.answer(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	owners := map[string]string{}
	for _, r := range w.got {
		owners[r.Header.Get("Req-Id")] = r.Header.Get("Req-Owner")
	}
	if len(w.got) != 4 || owners["first"] != "t0" || owners["second"] != "t1" || owners["third"] != "t2" {
		t.Errorf("%d sends: %v", len(w.got), owners)
	}
}

func (r *running) begun() (n int) {
	for _, conn := range r.clients.all() {
		conn.mu.Lock()
		if conn.first > 0 {
			n++
		}
		conn.mu.Unlock()
	}
	return n
}

// A stream whose head went out before the drain did not tell its client of the end. A request that
// has come by the stream's end is answered; one that comes later is not read.
func TestDrainBehindAStream(t *testing.T) {
	for name, comes := range map[string]bool{"a request has come": true, "none has": false} {
		t.Run(name, func(t *testing.T) {
			more := make(chan struct{})
			w := newWorker(t, "s-1", func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("Req-Id") != "stream" {
					return whole(c, r)
				}
				io.WriteString(c, streamHead+chunk(event1))
				<-more
				io.WriteString(c, lastChunk)
				return true
			})
			g := start(t, func(o *Options) { o.DrainAccept = 20 * time.Millisecond }, w)
			c := dial(t, g.addr)
			c.ask("stream", "4000m")
			resp := c.head()
			if _, err := io.ReadFull(resp.Body, make([]byte, len(event1))); err != nil || resp.Close {
				t.Fatalf("%v, close %t", err, resp.Close)
			}
			drained := make(chan error, 1)
			go func() { drained <- g.Drain(context.Background()) }()
			<-g.stopped
			if comes {
				c.ask("next", "4000m")
			}
			close(more)
			if got, err := io.ReadAll(resp.Body); err != nil || len(got) != 0 {
				t.Errorf("the stream ended with %q, %v", got, err)
			}
			if comes {
				if resp, _ := c.answer(); resp.StatusCode != 200 || !resp.Close {
					t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
				}
			}
			if _, err := c.in.ReadByte(); err != io.EOF {
				t.Errorf("at the end: %v", err)
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
		})
	}
}

// A connection that is closed over bytes that its client had sent leaves the client all that was
// written before: a reset would take it along. Who does not read is not waited for.
func TestACloseLeavesTheAnswer(t *testing.T) {
	events := strings.Repeat(event1, 2000)
	w := newWorker(t, "s-1", func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, streamHead)
		for left := events; left != ""; left = left[len(event1):] {
			io.WriteString(c, chunk(left[:len(event1)]))
		}
		return false // breaks
	})
	g := start(t, nil, w)
	c := dial(t, g.addr)
	c.Conn.(*net.TCPConn).SetReadBuffer(32 << 10)
	c.ask("l1", "4000m")
	until(t, "the send", func() bool { _, n := w.seen(); return n == 1 })
	c.raw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n") // ahead, and left unread
	until(t, "the close", func() bool { return g.clients.lingering.Load() == 1 })
	got, err := io.ReadAll(c.head().Body)
	if err != io.ErrUnexpectedEOF || string(got) != events {
		t.Errorf("%d of %d bytes, %v", len(got), len(events), err)
	}
	until(t, "the connection's end", func() bool { return g.clients.count() == 0 && g.clients.lingering.Load() == 0 })
}

// Connections that are being closed hold no place that another wants.
func TestLingeringGivesWay(t *testing.T) {
	conn, c := accept(t)
	cs := conn.clients
	cs.conns[conn] = struct{}{}
	c.raw(half + rest + "x") // the last one is left unread: its close waits for its time
	if _, err := io.ReadFull(conn, make([]byte, len(half+rest))); err != nil {
		t.Fatal(err)
	}
	until(t, "a byte", func() bool { return memory.HasUnreadData(conn.Conn) })
	conn.Write([]byte("answer"))
	go conn.Close()
	until(t, "the close", func() bool { return cs.lingering.Load() == 1 })
	if !cs.closeOne() || cs.count() != 0 {
		t.Error("a lingering connection keeps its place")
	}
}

// Odd clients, all at once: each is answered or cut off, others notice nothing, no replica is held to
// blame, and connections, bodies and tasks are back to where they were.
func TestOddClientsLeaveNothing(t *testing.T) {
	w := newWorker(t, "s-1", whole)
	g := start(t, nil, w)
	c := dial(t, g.addr)
	c.ask("before", "4000m")
	c.answer()
	until(t, "rest", func() bool { return g.resting() == 1 })
	tasks := runtime.NumGoroutine()
	var group sync.WaitGroup
	for name, text := range map[string]string{
		"half a head":        half,
		"half a body":        half + "Req-Kind: chat\r\nContent-Length: 9\r\n\r\nab",
		"an endless head":    half + "X: " + strings.Repeat("x", 1<<20),
		"an endless body":    half + "Req-Kind: chat\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat(chunk(strings.Repeat("y", 1000)), 1000),
		"two lengths":        half + "Req-Kind: chat\r\nContent-Length: 2\r\nContent-Length: 3\r\n\r\nabc",
		"a spoilt chunk":     half + "Req-Kind: chat\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc",
		"noise":              "\x00\x01\x02\xff\n\n\n\n",
		"two at once, gone":  strings.Repeat(half+"Req-Kind: none\r\nContent-Length: 0\r\n\r\n", 2),
		"whole, in 1 byte's": half + rest,
	} {
		odd := dial(t, g.addr)
		group.Go(func() {
			if strings.HasPrefix(name, "whole") {
				for i := range len(text) {
					io.WriteString(odd, text[i:i+1])
				}
				if resp, err := http.ReadResponse(odd.in, nil); err != nil || resp.StatusCode != 200 {
					t.Errorf("%s: %v, %v", name, resp, err)
				}
			} else {
				io.WriteString(odd, text) // may be cut off
			}
			odd.Close()
		})
	}
	for i := range 20 {
		c.ask(fmt.Sprint("good", i), "4000m")
		if resp, _ := c.answer(); resp.StatusCode != 200 {
			t.Errorf("a good client's: status %d", resp.StatusCode)
		}
	}
	group.Wait()
	until(t, "all back", func() bool {
		return g.clients.count() == 1 && g.clients.bytes.Load() == 0 && g.clients.held() == 0 && runtime.NumGoroutine() <= tasks+2
	})
	if _, n := w.seen(); n != 22 {
		t.Errorf("%d requests reached the replica, want the 22 good ones", n)
	}
}
