package gateway

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"archknot/balancer"
	"archknot/internal/endpoint"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"

	"github.com/google/go-cmp/cmp"
)

// Each way in which an attempt can end yields the status that the protocol assigns to it.
func TestAttemptOutcomes(t *testing.T) {
	closed := newFakeReplica(t, "dead", neverAnswer)
	closed.listener.Close()
	for name, c := range map[string]struct {
		script func(net.Conn, *http.Request) bool
		addr   string
		cancel bool
		wait   time.Duration
		want   attemptEnded
	}{
		"complete":        {script: answerCompletely, want: attemptEnded{status: balancer.Served, cachedTokens: 4096, outputTokens: 200, report: balancer.LoadReport{Has: balancer.HasService | balancer.HasInFlight | balancer.HasMemory, ServiceMs: 12.5, InFlight: 7, MemoryShare: 0.4}}},
		"500":             {script: replyWith("HTTP/1.1 500 Oops\r\nSrv-Load: x0=0.5\r\nContent-Length: 2\r\n\r\nno", true), want: attemptEnded{status: balancer.Errored, httpStatus: 500, report: balancer.LoadReport{Has: balancer.HasMemory, MemoryShare: 0.5}}},
		"503 declined":    {script: replyWith(shedReply, true), want: attemptEnded{status: balancer.Shed, httpStatus: 503}},
		"504 declined":    {script: replyWith("HTTP/1.1 504 Over\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n", true), want: attemptEnded{status: balancer.Shed, httpStatus: 504}},
		"bare 503":        {script: replyWith("HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n", true), want: attemptEnded{status: balancer.Errored, httpStatus: 503}},
		"400":             {script: replyWith("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", true), want: attemptEnded{status: balancer.Rejected, httpStatus: 400}},
		"1xx before":      {script: replyWith(informational+informational+streamHead+chunk(event1)+lastChunk, true), want: attemptEnded{status: balancer.Served}},
		"endless 1xx":     {script: replyWith(strings.Repeat(informational, 100), true), want: attemptEnded{status: balancer.Malformed}},
		"binary data":     {script: replyWith("\x00\x01\x02\x03", true), want: attemptEnded{status: balancer.Malformed}},
		"malformed head":  {script: replyWith("HTTP/1.1 two hundred\r\n\r\n", true), want: attemptEnded{status: balancer.Malformed}},
		"long head":       {script: replyWith("HTTP/1.1 200 OK\r\nX: "+strings.Repeat("x", 20<<10), true), want: attemptEnded{status: balancer.Malformed}},
		"endless head":    {script: replyWith("HTTP/1.1 200 OK\r\n", true), want: attemptEnded{status: balancer.Malformed}},
		"malformed chunk": {script: replyWith(streamHead+"five\r\n", true), want: attemptEnded{status: balancer.Malformed}},
		"huge chunk":      {script: replyWith(streamHead+"c0000000\r\n"+event1, true), want: attemptEnded{status: balancer.Malformed}},
		"chunk too short": {script: replyWith(streamHead+"5\r\n"+event1, true), want: attemptEnded{status: balancer.Malformed}},
		"invalid report":  {script: replyWith(streamHead+chunk(event1)+chunk(": Srv-Load: x0=0.5,svc_ms=-1\n\n")+lastChunk, true), want: attemptEnded{status: balancer.Served}},
		"not HTTP":        {script: replyWith("hello\r\n\r\n", false), want: attemptEnded{status: balancer.Malformed}},
		"ends unanswered": {script: replyWith("", false), want: attemptEnded{status: balancer.ConnBroken}},
		"breaks in head":  {script: replyWith("HTTP/1.1 200 OK\r\nConte", false), want: attemptEnded{status: balancer.ConnBroken}},
		"breaks in chunk": {script: replyWith(streamHead+"50\r\ndata", false), want: attemptEnded{status: balancer.ConnBroken}},
		"no last chunk":   {script: replyWith("HTTP/1.1 200 OK\r\n\r\n"+event1, false), want: attemptEnded{status: balancer.ConnBroken}},
		"nothing":         {script: neverAnswer, wait: 100 * time.Millisecond, want: attemptEnded{status: balancer.TimedOut}},
		"refused":         {addr: closed.addr, want: attemptEnded{status: balancer.ConnectFailed}},
		"cancelled":       {script: neverAnswer, cancel: true, want: attemptEnded{status: balancer.Cancelled}},
	} {
		t.Run(name, func(t *testing.T) {
			if c.wait == 0 {
				c.wait = 5 * time.Second
			}
			g := newTestGateway(t, testOptions())
			addr := c.addr
			if addr == "" {
				addr = newFakeReplica(t, "w", c.script).addr
			}
			table := inflight.NewTable()
			r := inflight.NewRequest(context.Background(), "o1", balancer.Request{}, 0, 3)
			table.Add(r)
			now := g.clock.now()
			attempt := table.StartAttempt(r, &endpoint.Replica{Endpoint: httpwire.Endpoint{Addr: addr}}, now, now+c.wait.Microseconds())
			if c.cancel {
				time.AfterFunc(50*time.Millisecond, attempt.Cancel)
			}
			go func() {
				for range attempt.Events {
				}
			}()
			in, _ := http.NewRequest("POST", "/v1/chat/completions", nil)
			in.RequestURI = "/v1/chat/completions"
			go (&attemptExchange{gateway: g, request: in, body: []byte("{}"), attempt: attempt}).run()
			for {
				e, ok := (<-g.loop.events).(attemptEnded)
				if !ok {
					continue // streamOpened
				}
				e.attempt = nil
				if diff := cmp.Diff(c.want, e, cmp.AllowUnexported(attemptEnded{})); diff != "" {
					t.Error(diff)
				}
				return
			}
		})
	}
}

// Surplus bytes after a response are not taken for the response to the next request.
func TestSurplusAnswerIsDiscarded(t *testing.T) {
	replica := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
		id := "data: " + r.Header.Get("Req-Id") + "\n\n"
		io.WriteString(c, streamHead+chunk(id)+lastChunk+streamHead+chunk("data: more\n\n")+lastChunk)
		return true
	})
	g := startGateway(t, nil, replica)
	c := dial(t, g.addr)
	for _, id := range []string{"t1", "t2", "t3"} {
		c.sendRequest(id, "4000m")
		if _, body := c.readAnswer(); body != "data: "+id {
			t.Errorf("%s: body %q", id, body)
		}
	}
}

// A surplus response that arrives after the next request was sent is not taken for that request's:
// ReplicaConnReuseDelay keeps a connection that has just been used from carrying a request.
func TestSurplusAnswerDuringNextRequest(t *testing.T) {
	const surplusEvent = "data: another's\n\n"
	secondArrived, surplusWritten := make(chan struct{}), make(chan struct{})
	replica := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
		switch r.Header.Get("Req-Id") {
		case "y1":
			go func() {
				<-secondArrived
				io.WriteString(c, streamHead+chunk(surplusEvent)+lastChunk)
				close(surplusWritten)
			}()
		case "y2":
			close(secondArrived)
			<-surplusWritten
		}
		return answerCompletely(c, r)
	})
	g := startGateway(t, func(o *Options) { o.ReplicaConnReuseDelay = time.Minute }, replica)
	c := dial(t, g.addr)
	for _, id := range []string{"y1", "y2"} {
		c.sendRequest(id, "4000m")
		if _, body := c.readAnswer(); !strings.Contains(body, "[DONE]") || strings.Contains(body, surplusEvent) {
			t.Errorf("%s: %q", id, body)
		}
	}
	// A connection with unsolicited bytes is not reused, whatever the delay.
	g.pool.SetReuseDelay(0)
	c.sendRequest("y3", "4000m")
	if _, body := c.readAnswer(); !strings.Contains(body, "[DONE]") || strings.Contains(body, surplusEvent) {
		t.Errorf("y3: %q", body)
	}
}

// A cached connection that its replica has closed is not reused: a request written to it would
// be lost.
func TestStaleConnectionIsNotUsed(t *testing.T) {
	replica := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool { answerCompletely(c, r); return false })
	g := startGateway(t, func(o *Options) { o.Settings.MaxAttempts = 1 }, replica)
	c := dial(t, g.addr)
	for _, id := range []string{"f1", "f2", "f3"} {
		c.sendRequest(id, "4000m")
		if resp, _ := c.readAnswer(); resp.StatusCode != 200 {
			t.Fatalf("%s: status %d", id, resp.StatusCode)
		}
		<-replica.connEnded
	}
	if conns, n := replica.counts(); conns != 3 || n != 3 {
		t.Errorf("%d connections, %d requests", conns, n)
	}
}
