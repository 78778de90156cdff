package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"archknot/internal/syncpoint"
)

// After SIGTERM, requests that arrive while the listener is open are answered, a stream is
// finished, and then the gateway ends.
func TestDrain(t *testing.T) {
	finishStream := make(chan struct{})
	w := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Req-Id") == "slow" {
			io.WriteString(c, streamHead+chunk(event1))
			<-finishStream
			io.WriteString(c, lastChunk)
			return true
		}
		return answerCompletely(c, r)
	})
	g := startGateway(t, nil, w)
	idle, slow, unused := dial(t, g.addr), dial(t, g.addr), dial(t, g.addr)
	idle.sendRequest("h1", "4000m")
	idle.readAnswer()
	slow.sendRequest("slow", "4000m")
	resp := slow.readHead()
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(context.Background()) }()
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v, want a clean end", err)
	}
	late := dial(t, g.addr)
	late.sendRequest("h2", "4000m")
	if resp, _ := late.readAnswer(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("in the drain: status %d, close %t", resp.StatusCode, resp.Close)
	}
	if _, err := unused.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the unused connection: %v, want a clean end", err)
	}
	close(finishStream)
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != event1 {
		t.Errorf("the stream ended with %q, %v", got, err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := <-g.served; err != nil {
		t.Error(err)
	}
}

// A drain begins at each point of a request's arrival. A request that has begun to arrive, read
// or not, is answered on its connection, which is then closed. A request that arrives later is
// not read, and nothing of it reaches a replica.
func TestDrainWhileRequestArrives(t *testing.T) {
	request := func(id string) string {
		return strings.Replace(requestFirstHalf, "Req-Id: x", "Req-Id: "+id, 1) + requestSecondHalf
	}
	type scenario func(t *testing.T, c *testClient, conn *syncpoint.Conn, drain func()) (attempts int)
	read := func(n int) scenario { // the request's first n bytes were read, and not processed yet
		return func(t *testing.T, c *testClient, conn *syncpoint.Conn, drain func()) int {
			t.Helper()
			afterRead := syncpoint.NewPoint(t)
			conn.BlockAfterRead(afterRead)
			c.sendRaw(request("b")[:n])
			afterRead.WaitReached(t)
			drain()
			afterRead.Release()
			c.sendRaw(request("b")[n:])
			return 2
		}
	}
	for name, play := range map[string]scenario{
		"its first bytes were read": read(7),
		"all of it was read":        read(len(request("b"))),
		"all of it has arrived and none was read": func(t *testing.T, c *testClient, conn *syncpoint.Conn, drain func()) int {
			t.Helper()
			beforeRead := syncpoint.NewPoint(t)
			conn.BlockBeforeRead(beforeRead)
			c.sendRaw(request("b"))
			beforeRead.WaitReached(t)
			drain()
			beforeRead.Release()
			return 2
		},
		"it arrives after the end": func(t *testing.T, c *testClient, conn *syncpoint.Conn, drain func()) int {
			t.Helper()
			drain()
			if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("the idle connection: %v, want a clean end", err)
			}
			io.WriteString(c, request("b")) // may fail: the other side has closed
			return 1
		},
	} {
		t.Run(name, func(t *testing.T) {
			w := newFakeReplica(t, "s-1", answerCompletely)
			g, l := startGatewayWithSyncpoints(t, func(o *Options) { o.DrainAcceptPeriod = 100 * time.Millisecond }, w)
			c := dial(t, g.addr)
			c.sendRaw(request("a"))
			if resp, _ := c.readAnswer(); resp.StatusCode != 200 || resp.Close {
				t.Fatalf("status %d, close %t", resp.StatusCode, resp.Close)
			}
			drained := make(chan error, 1)
			other := dial(t, g.addr) // its end shows that the drain has checked all connections
			other.sendRaw(request("other"))
			other.readAnswer()
			first, second := l.NextConn(t), l.NextConn(t)
			if first.RemoteAddr().String() != c.LocalAddr().String() {
				first = second
			}
			waitUntil(t, "idle connections", func() bool { return g.idleConnCount() == 2 })
			attempts := play(t, c, first, func() {
				go func() { drained <- g.Drain(context.Background()) }()
				if _, err := other.reader.ReadByte(); !errors.Is(err, io.EOF) {
					t.Errorf("the other connection: %v", err)
				}
			})
			if attempts == 2 {
				if resp, _ := c.readAnswer(); resp.StatusCode != 200 || !resp.Close {
					t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
				}
			}
			if _, err := c.reader.ReadByte(); err == nil {
				t.Error("the connection stays open")
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
			if _, n := w.counts(); n != attempts+1 {
				t.Errorf("%d requests reached the replica, want %d", n, attempts+1)
			}
		})
	}
}

// Pipelined requests are answered in a drain, each with its own headers, and only the last
// answer closes the connection. A request of which only a part has arrived when the drain
// begins is answered, too.
func TestDrainAnswersPipelinedRequests(t *testing.T) {
	answerFirst := make(chan struct{})
	w := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Req-Id") == "first" {
			<-answerFirst
		}
		return answerCompletely(c, r)
	})
	g := startGateway(t, func(o *Options) { o.DrainAcceptPeriod = 50 * time.Millisecond }, w)
	c, late, unused := dial(t, g.addr), dial(t, g.addr), dial(t, g.addr)
	for i, id := range []string{"first", "second", "third"} {
		c.sendRaw(fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: %s\r\nReq-Kind: chat\r\nReq-Owner: t%d\r\nContent-Length: 0\r\n\r\n", id, i))
	}
	late.sendRaw(requestFirstHalf[:9])
	waitUntil(t, "the first attempt", func() bool { _, n := w.counts(); return n == 1 })
	waitUntil(t, "a partial request", func() bool { return g.begunRequestCount() == 2 })
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(context.Background()) }()
	if _, err := unused.reader.ReadByte(); !errors.Is(err, io.EOF) { // the last step of the drain before it waits
		t.Errorf("the unused connection: %v", err)
	}
	close(answerFirst)
	late.sendRaw(requestFirstHalf[9:] + requestSecondHalf)
	for i, last := range []bool{false, false, true} {
		if resp, body := c.readAnswer(); resp.StatusCode != 200 || !strings.Contains(body, "[DONE]") || resp.Close != last {
			t.Errorf("answer %d: status %d, close %t", i, resp.StatusCode, resp.Close)
		}
	}
	if resp, _ := late.readAnswer(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	owners := map[string]string{}
	for _, r := range w.requests {
		owners[r.Header.Get("Req-Id")] = r.Header.Get("Req-Owner")
	}
	if len(w.requests) != 4 || owners["first"] != "t0" || owners["second"] != "t1" || owners["third"] != "t2" {
		t.Errorf("%d attempts: %v", len(w.requests), owners)
	}
}

func (r *testGateway) begunRequestCount() (n int) {
	for _, conn := range r.clients.connections() {
		conn.mu.Lock()
		if conn.requestStart > 0 {
			n++
		}
		conn.mu.Unlock()
	}
	return n
}

// The head of a stream that was written before the drain does not announce the connection's
// end. A request that has arrived by the stream's end is answered; a later one is not read.
func TestDrainAfterStream(t *testing.T) {
	for name, arrives := range map[string]bool{"a request has arrived": true, "none has": false} {
		t.Run(name, func(t *testing.T) {
			finishStream := make(chan struct{})
			w := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
				if r.Header.Get("Req-Id") != "stream" {
					return answerCompletely(c, r)
				}
				io.WriteString(c, streamHead+chunk(event1))
				<-finishStream
				io.WriteString(c, lastChunk)
				return true
			})
			g := startGateway(t, func(o *Options) { o.DrainAcceptPeriod = 20 * time.Millisecond }, w)
			c := dial(t, g.addr)
			c.sendRequest("stream", "4000m")
			resp := c.readHead()
			if _, err := io.ReadFull(resp.Body, make([]byte, len(event1))); err != nil || resp.Close {
				t.Fatalf("%v, close %t", err, resp.Close)
			}
			drained := make(chan error, 1)
			go func() { drained <- g.Drain(context.Background()) }()
			<-g.acceptDone
			if arrives {
				c.sendRequest("next", "4000m")
			}
			close(finishStream)
			if got, err := io.ReadAll(resp.Body); err != nil || len(got) != 0 {
				t.Errorf("the stream ended with %q, %v", got, err)
			}
			if arrives {
				if resp, _ := c.readAnswer(); resp.StatusCode != 200 || !resp.Close {
					t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
				}
			}
			if _, err := c.reader.ReadByte(); !errors.Is(err, io.EOF) {
				t.Errorf("at the end: %v", err)
			}
			if err := <-drained; err != nil {
				t.Error(err)
			}
		})
	}
}

// Guards against closing a listener while connections wait in its accept queue: the kernel resets
// them, and the requests that have arrived on them are lost.
func TestDrainAnswersConnectionsInTheAcceptQueue(t *testing.T) {
	const acceptPeriod = 10 * time.Millisecond
	w := newFakeReplica(t, "s-1", answerCompletely)
	g, l := startGatewayWithSyncpoints(t, func(o *Options) { o.DrainAcceptPeriod = acceptPeriod }, w)
	beforeAccept := syncpoint.NewPoint(t)
	l.BlockBeforeAccept(beforeAccept)
	dial(t, g.addr) // ends the accept that has begun
	beforeAccept.WaitReached(t)
	var waiting []*testClient
	for i := range 3 {
		client := dial(t, g.addr)
		client.sendRequest(fmt.Sprint("q", i), "4000m")
		waiting = append(waiting, client)
	}
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(context.Background()) }()
	time.Sleep(10 * acceptPeriod) // a drain that does not wait would have closed the listener
	beforeAccept.Release()
	for _, client := range waiting {
		if resp, _ := client.readAnswer(); resp.StatusCode != http.StatusOK || !resp.Close {
			t.Errorf("status %d, close %t", resp.StatusCode, resp.Close)
		}
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := <-g.served; err != nil {
		t.Error(err)
	}
	if conn, err := net.Dial("tcp", g.addr); err == nil {
		conn.Close()
		t.Error("the drained gateway accepts connections")
	}
}

// A drain waits for an accept queue that does not become empty as long as answers are possible
// before the kill, and no longer.
func TestDrainClosesAFullAcceptQueueBeforeTheKill(t *testing.T) {
	const longestDeadline = 200_000 // microseconds
	g, l := startGatewayWithSyncpoints(t, func(o *Options) {
		o.DrainAcceptPeriod = 10 * time.Millisecond
		o.Settings.Classes[0].Deadline = longestDeadline
	}, newFakeReplica(t, "s-1", answerCompletely))
	beforeAccept := syncpoint.NewPoint(t)
	l.BlockBeforeAccept(beforeAccept)
	dial(t, g.addr)
	beforeAccept.WaitReached(t)
	waiting := dial(t, g.addr)
	begun := time.Now()
	go g.Drain(t.Context())
	if _, err := waiting.reader.ReadByte(); err == nil {
		t.Error("a connection that nobody accepted was answered")
	}
	kill := (longestDeadline + killDelay) * int64(time.Microsecond)
	if took := time.Since(begun); took > time.Duration(kill) || took < time.Duration(kill)/2 {
		t.Errorf("the listener was closed after %v, the process may be killed after %v", took, time.Duration(kill))
	}
}

// On a shared listening socket the other process accepts the waiting connections: a drain neither
// waits for them nor makes the socket refuse new ones.
func TestDrainLeavesASharedAcceptQueue(t *testing.T) {
	g, l := startGatewayWithSyncpoints(t, func(o *Options) {
		o.DrainAcceptPeriod = 10 * time.Millisecond
		o.SharedListener = true
	}, newFakeReplica(t, "s-1", answerCompletely))
	file, err := l.File()
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	successor, err := net.FileListener(file)
	if err != nil {
		t.Fatal(err)
	}
	defer successor.Close()
	beforeAccept := syncpoint.NewPoint(t)
	l.BlockBeforeAccept(beforeAccept)
	first := dial(t, g.addr)
	beforeAccept.WaitReached(t)
	first.Close()
	dial(t, g.addr) // waits
	go g.Drain(t.Context())
	waitUntil(t, "the listener's close", func() bool {
		return l.SetDeadline(time.Time{}) != nil
	})
	for _, when := range []string{"waited", "arrived after the close"} {
		conn, err := successor.Accept()
		if err != nil {
			t.Fatalf("the connection that %s: %v", when, err)
		}
		conn.Close()
		dial(t, g.addr)
	}
}
