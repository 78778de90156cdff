package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"archknot/balancer"
)

// Each attempt carries the time that its client has left, with at most 0.15 s more. The first
// replica sheds the request after a delay; a retry with the full time would let the second replica
// work past the client's deadline.
func TestRetriesCarryRemainingDeadline(t *testing.T) {
	const (
		timeout   = 2 * time.Second
		shedDelay = 400 * time.Millisecond
		slack     = 150 * time.Millisecond
	)
	type attempt struct {
		timeout time.Duration
		at      time.Time
	}
	var mu sync.Mutex
	var attempts []attempt
	script := func(c net.Conn, r *http.Request) bool {
		var announced balancer.Micros
		fmt.Sscanf(r.Header.Get("Req-Deadline"), "%du", &announced)
		mu.Lock()
		attempts = append(attempts, attempt{time.Duration(announced) * time.Microsecond, time.Now()})
		first := len(attempts) == 1
		mu.Unlock()
		if !first {
			return answerCompletely(c, r)
		}
		<-time.After(shedDelay) // a slow shed
		io.WriteString(c, shedReply)
		return true
	}
	g := startGateway(t, nil, newFakeReplica(t, "s-1", script), newFakeReplica(t, "s-2", script))
	c := dial(t, g.addr)
	sent := time.Now()
	c.sendRequest("d1", "2000m")
	if resp, _ := c.readAnswer(); resp.StatusCode != 200 {
		t.Fatalf("status %d", resp.StatusCode)
	}
	mu.Lock()
	defer mu.Unlock()
	if len(attempts) != 2 {
		t.Fatalf("%d attempts", len(attempts))
	}
	for i, a := range attempts {
		if left := timeout - a.at.Sub(sent); a.timeout > left+slack || a.timeout < left/2 {
			t.Errorf("attempt %d carries a deadline of %v, the client has %v left", i+1, a.timeout, left)
		}
	}
}

// With replicas that fail in various ways and other clients that misbehave, each request gets a
// final response no later than 0.5 s after its deadline, the overrun that the protocol allows.
func TestFaultsLeaveNoRequestUnanswered(t *testing.T) {
	const (
		requests   = 40
		timeout    = time.Second
		maxOverrun = 500 * time.Millisecond
	)
	var faultCount atomic.Int64
	faults := []func(net.Conn, *http.Request) bool{replyWith("", false), neverAnswer, replyWith("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", true),
		replyWith("HTTP/1.1 500 Oops\r\nContent-Length: 0\r\n\r\n", true), replyWith(shedReply, true), replyWith("HTTP/1.1 200 OK\r\nConte", false)}
	fault := func(c net.Conn, r *http.Request) bool {
		return faults[int(faultCount.Add(1))%len(faults)](c, r)
	}
	var replicas []*fakeReplica
	for i := range 6 {
		replicas = append(replicas, newFakeReplica(t, fmt.Sprint("s-", i), fault))
	}
	g := startGateway(t, func(o *Options) { o.MaxClientConns = 400 }, replicas...) // TestConnectionsAreBounded tests the connection limit
	stop := make(chan struct{})
	var otherClients sync.WaitGroup
	for i := range 4 { // partial requests, binary data, and requests whose client disconnects
		otherClients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				c, err := net.Dial("tcp", g.addr)
				if err != nil {
					return
				}
				io.WriteString(c, []string{"POST /v1/chat", "\x00\x01\r\n\r\n", requestFirstHalf, requestFirstHalf + requestSecondHalf}[(i+n)%4])
				c.Close()
			}
		})
	}
	var all sync.WaitGroup
	for i := range requests {
		all.Go(func() {
			c := dial(t, g.addr)
			begun := time.Now()
			c.sendRequest(fmt.Sprint("t", i), "1000m")
			resp, err := http.ReadResponse(c.reader, nil)
			if err != nil {
				t.Errorf("request %d: no response: %v after %v", i, err, time.Since(begun))
				return
			}
			_, _ = io.Copy(io.Discard, resp.Body)
			if took := time.Since(begun); took > timeout+maxOverrun || resp.StatusCode == http.StatusOK {
				t.Errorf("request %d: status %d after %v", i, resp.StatusCode, took)
			}
		})
	}
	all.Wait()
	close(stop)
	otherClients.Wait()
	waitUntil(t, "nothing in flight", func() bool { return g.clients.inFlightCount() == 0 })
}
