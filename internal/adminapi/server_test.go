package adminapi

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"archknot/internal/maintenance"
)

// fakeGateway records the calls that it executes.
type fakeGateway struct {
	mu      sync.Mutex
	calls   []string
	errs    map[string]error // results, by replica
	ready   bool
	release chan struct{} // if not nil, calls block until it is closed
}

func (g *fakeGateway) CanServe() bool { return g.ready }

func (g *fakeGateway) execute(ctx context.Context, text, replica string) error {
	if g.release != nil {
		select {
		case <-g.release:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.calls = append(g.calls, text)
	return g.errs[replica]
}

func (g *fakeGateway) Eject(ctx context.Context, id string) error {
	return g.execute(ctx, "eject "+id, id)
}
func (g *fakeGateway) Reinstate(ctx context.Context, id string) error {
	return g.execute(ctx, "reinstate "+id, id)
}
func (g *fakeGateway) DrainClients(ctx context.Context) error { return g.execute(ctx, "drain", "") }
func (g *fakeGateway) Resume(ctx context.Context) error       { return g.execute(ctx, "resume", "") }

func (g *fakeGateway) recorded() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(g.calls, ", ")
}

func startServer(t *testing.T, g *fakeGateway) (addr string, counts *CallCounts) {
	t.Helper()
	_, addr, counts = startClosableServer(t, g)
	return addr, counts
}

func startClosableServer(t *testing.T, g *fakeGateway) (s *Server, addr string, counts *CallCounts) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = l.Addr().String()
	l.Close()
	counts = &CallCounts{}
	s = Listen(addr, g, counts)
	t.Cleanup(s.Close)
	return s, addr, counts
}

// exchange sends a text on a new connection, and returns the response's status and the time until it arrived.
// Status 0 means that the connection was closed without a response.
func exchange(t *testing.T, addr, text string) (status int, took time.Duration) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	defer c.Close()
	start := time.Now()
	c.SetDeadline(start.Add(10 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, time.Since(start)
	}
	io.Copy(io.Discard, resp.Body)
	if !resp.Close {
		t.Errorf("%.40q: the response does not announce the close of the connection", text)
	}
	return resp.StatusCode, time.Since(start)
}

func requestText(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
}

// Each valid call has the expected status and effect on the gateway; invalid requests have no effect.
func TestCalls(t *testing.T) {
	g := &fakeGateway{errs: map[string]error{"unknown": ErrUnknownReplica, "full": maintenance.ErrTooManyEjected, "disk": maintenance.ErrNotSaved, "end": ErrShuttingDown}}
	addr, counts := startServer(t, g)
	for _, c := range []struct {
		text   string
		status int
		effect string
	}{
		{requestText("GET", "/-/ready"), 503, ""},
		{requestText("PUT", "/-/replicas/s-1/disable"), 200, "eject s-1"},
		{requestText("PUT", "/-/replicas/s-1/enable"), 200, "reinstate s-1"},
		{requestText("PUT", "/-/replicas/a%2Fb%20c/disable"), 200, "eject a/b c"},
		{requestText("PUT", "/-/drain"), 200, "drain"}, {requestText("PUT", "/-/resume"), 200, "resume"},
		{"PUT /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", 200, "drain"},
		{"PUT /-/drain HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 200, "drain"},
		{"PUT /-/drain HTTP/1.0\r\n\r\n", 200, "drain"},
		{requestText("PUT", "/-/replicas/unknown/disable"), 404, "eject unknown"}, {requestText("PUT", "/-/replicas/full/disable"), 507, "eject full"},
		{requestText("PUT", "/-/replicas/disk/disable"), 503, "eject disk"}, {requestText("PUT", "/-/replicas/end/enable"), 409, "reinstate end"},
		{requestText("GET", "/-/drain"), 405, ""}, {requestText("POST", "/-/replicas/s-1/disable"), 405, ""}, {requestText("PUT", "/-/ready"), 405, ""},
		{requestText("PUT", "/-/replicas//disable"), 400, ""}, {requestText("PUT", "/-/replicas/s-1"), 404, ""}, {requestText("PUT", "/-/replicas/s-1/x"), 404, ""},
		{requestText("PUT", "/-//drain"), 404, ""}, {requestText("GET", "/"), 404, ""}, {requestText("GET", "/health/ready"), 404, ""}, {requestText("PUT", "/-/replicas/%zz/disable"), 400, ""},
		{"hello\r\n\r\n", 400, ""}, {"PUT /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 99999), 400, ""},
	} {
		g.mu.Lock()
		g.calls = nil
		g.mu.Unlock()
		if status, _ := exchange(t, addr, c.text); status != c.status || g.recorded() != c.effect {
			t.Errorf("%.60q: status %d, want %d; effect %q, want %q", c.text, status, c.status, g.recorded(), c.effect)
		}
	}
	g.ready = true
	if status, _ := exchange(t, addr, requestText("GET", "/-/ready")); status != 200 {
		t.Errorf("readiness query: status %d, want 200", status)
	}
	sum := map[bool]int64{}
	counts.Each(func(_ string, succeeded bool, n int64) { sum[succeeded] += n })
	if sum[true] != 9 || sum[false] < 14 {
		t.Errorf("call counts by success %v, want 9 successes and at least 14 failures", sum)
	}
}

// An incomplete call has no effect, wherever the request is cut off.
func TestPartialCall(t *testing.T) {
	g := &fakeGateway{}
	addr, _ := startServer(t, g)
	text := "PUT /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345"
	var exchanges sync.WaitGroup
	for n := range len(text) {
		if n%7 > 0 && n < len(text)-5 {
			continue
		}
		exchanges.Go(func() {
			if status, took := exchange(t, addr, text[:n]); status/100 == 2 || took > 3*time.Second {
				t.Errorf("%q: status %d after %v", text[:n], status, took)
			}
		})
	}
	exchanges.Wait()
	if g.recorded() != "" {
		t.Errorf("an incomplete call had the effect %q", g.recorded())
	}
}

// Clients that stay connected and send nothing or an incomplete call do not block others: each complete call
// is answered within a second, and the idle connections are closed in time.
func TestIdleCallers(t *testing.T) {
	g := &fakeGateway{ready: true}
	addr, _ := startServer(t, g)
	var idleConns []net.Conn
	for i := range 10 * MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "PUT /-/drain HTTP/1.1\r\nHo")
		}
		idleConns = append(idleConns, c)
		if i%8 == 0 {
			if status, took := exchange(t, addr, requestText("PUT", fmt.Sprintf("/-/replicas/s-%d/disable", i))); status != 200 || took > time.Second {
				t.Errorf("call besides %d idle clients: status %d after %v", i, status, took)
			}
		}
	}
	deadline := time.Now().Add(3 * time.Second)
	for _, c := range idleConns {
		c.SetReadDeadline(deadline)
		if _, err := c.Read(make([]byte, 1024)); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatal("an idle client is still connected after 3 s")
		}
	}
}

// A call that blocks in the gateway fails within a second, and other calls are answered in the meantime.
func TestHangingCall(t *testing.T) {
	g := &fakeGateway{ready: true, release: make(chan struct{})}
	defer close(g.release)
	addr, _ := startServer(t, g)
	var exchanges sync.WaitGroup
	for range MaxConnections / 2 {
		exchanges.Go(func() {
			if status, took := exchange(t, addr, requestText("PUT", "/-/drain")); status != 503 || took > time.Second {
				t.Errorf("blocked call: status %d after %v", status, took)
			}
		})
	}
	if status, took := exchange(t, addr, requestText("GET", "/-/ready")); status != 200 || took > 500*time.Millisecond {
		t.Errorf("readiness query beside blocked calls: status %d after %v", status, took)
	}
	exchanges.Wait()
}

// An address that is in use when Listen is called is bound once it is free.
func TestAddressInUseIsRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Listen(l.Addr().String(), &fakeGateway{ready: true}, &CallCounts{})
	defer s.Close()
	addr := l.Addr().String()
	l.Close()
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			break
		}
		if time.Now().After(deadline) {
			t.Fatal("the address is not served within 5 s")
		}
	}
	if status, _ := exchange(t, addr, requestText("GET", "/-/ready")); status != 200 {
		t.Errorf("status %d", status)
	}
}

// Guards against a Close that drops calls which have arrived: they must be answered first. An idle connection
// must not delay Close.
func TestCloseAnswersCallsThatHaveArrived(t *testing.T) {
	g := &fakeGateway{release: make(chan struct{})}
	s, addr, _ := startClosableServer(t, g)
	idle, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer idle.Close()
	statuses := make(chan int, 2)
	for _, path := range []string{"/-/drain", "/-/replicas/s-1/disable"} {
		go func() {
			status, _ := exchange(t, addr, requestText("PUT", path))
			statuses <- status
		}()
	}
	answering := func() int {
		s.limiter.mu.Lock()
		defer s.limiter.mu.Unlock()
		return len(s.limiter.answering)
	}
	for begun := time.Now(); answering() < cap(statuses); time.Sleep(time.Millisecond) {
		if time.Since(begun) > 5*time.Second {
			t.Fatal("the calls did not arrive")
		}
	}
	time.Sleep(firstCallGracePeriod) // from now on the idle connection does not count as outstanding
	closed := make(chan struct{})
	go func() {
		s.Close()
		close(closed)
	}()
	time.Sleep(50 * time.Millisecond) // time for a faulty Close to drop the connections
	begun := time.Now()
	close(g.release)
	for range cap(statuses) {
		if status := <-statuses; status != http.StatusOK {
			t.Errorf("a call that arrived before Close: status %d", status)
		}
	}
	<-closed
	if took := time.Since(begun); took > firstCallGracePeriod {
		t.Errorf("Close took %v after the last response", took)
	}
	if conn, err := net.Dial("tcp", addr); err == nil {
		conn.Close()
		t.Error("the closed server accepts connections")
	}
}
