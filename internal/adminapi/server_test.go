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

// fakeGateway is one that remembers what it was told.
type fakeGateway struct {
	mu      sync.Mutex
	orders  []string
	errs    map[string]error // by replica
	ready   bool
	release chan struct{} // closed: orders are carried out
}

func (g *fakeGateway) CanServe() bool { return g.ready }

func (g *fakeGateway) carryOut(ctx context.Context, text, replica string) error {
	if g.release != nil {
		select {
		case <-g.release:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.orders = append(g.orders, text)
	return g.errs[replica]
}

func (g *fakeGateway) Eject(ctx context.Context, id string) error {
	return g.carryOut(ctx, "out "+id, id)
}
func (g *fakeGateway) Reinstate(ctx context.Context, id string) error {
	return g.carryOut(ctx, "back "+id, id)
}
func (g *fakeGateway) DrainClients(ctx context.Context) error { return g.carryOut(ctx, "drain", "") }
func (g *fakeGateway) Resume(ctx context.Context) error       { return g.carryOut(ctx, "resume", "") }

func (g *fakeGateway) recorded() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return strings.Join(g.orders, ", ")
}

func startServer(t *testing.T, g *fakeGateway) (addr string, counts *CallCounts) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr = l.Addr().String()
	l.Close()
	counts = &CallCounts{}
	s := Listen(addr, g, counts)
	t.Cleanup(s.Close)
	return addr, counts
}

// exchange sends a text on a connection of its own and returns the answer's status and how long it took;
// 0: the connection was closed without one.
func exchange(t *testing.T, addr, text string) (status int, took time.Duration) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Error(err)
		return 0, 0
	}
	defer c.Close()
	begun := time.Now()
	c.SetDeadline(begun.Add(10 * time.Second))
	io.WriteString(c, text)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, time.Since(begun)
	}
	io.Copy(io.Discard, resp.Body)
	if !resp.Close {
		t.Errorf("%.40q: the connection stays open", text)
	}
	return resp.StatusCode, time.Since(begun)
}

func requestText(method, path string) string {
	return method + " " + path + " HTTP/1.1\r\nHost: a\r\n\r\n"
}

// Each call has its answer and its effect; what is no call has none.
func TestCalls(t *testing.T) {
	g := &fakeGateway{errs: map[string]error{"unknown": ErrUnknownReplica, "full": maintenance.ErrTooManyEjected, "disk": maintenance.ErrNotSaved, "end": ErrShuttingDown}}
	addr, counts := startServer(t, g)
	for _, c := range []struct {
		text   string
		status int
		effect string
	}{
		{requestText("GET", "/-/ready"), 503, ""},
		{requestText("PUT", "/-/replicas/s-1/disable"), 200, "out s-1"},
		{requestText("PUT", "/-/replicas/s-1/enable"), 200, "back s-1"},
		{requestText("PUT", "/-/replicas/a%2Fb%20c/disable"), 200, "out a/b c"},
		{requestText("PUT", "/-/drain"), 200, "drain"}, {requestText("PUT", "/-/resume"), 200, "resume"},
		{"PUT /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n{}", 200, "drain"},
		{"PUT /-/drain HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n\r\n", 200, "drain"},
		{"PUT /-/drain HTTP/1.0\r\n\r\n", 200, "drain"},
		{requestText("PUT", "/-/replicas/unknown/disable"), 404, "out unknown"}, {requestText("PUT", "/-/replicas/full/disable"), 507, "out full"},
		{requestText("PUT", "/-/replicas/disk/disable"), 503, "out disk"}, {requestText("PUT", "/-/replicas/end/enable"), 409, "back end"},
		{requestText("GET", "/-/drain"), 405, ""}, {requestText("POST", "/-/replicas/s-1/disable"), 405, ""}, {requestText("PUT", "/-/ready"), 405, ""},
		{requestText("PUT", "/-/replicas//disable"), 400, ""}, {requestText("PUT", "/-/replicas/s-1"), 404, ""}, {requestText("PUT", "/-/replicas/s-1/x"), 404, ""},
		{requestText("PUT", "/-//drain"), 404, ""}, {requestText("GET", "/"), 404, ""}, {requestText("GET", "/health/ready"), 404, ""}, {requestText("PUT", "/-/replicas/%zz/disable"), 400, ""},
		{"hello\r\n\r\n", 400, ""}, {"PUT /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n" + strings.Repeat("x", 99999), 400, ""},
	} {
		g.mu.Lock()
		g.orders = nil
		g.mu.Unlock()
		if status, _ := exchange(t, addr, c.text); status != c.status || g.recorded() != c.effect {
			t.Errorf("%.60q: status %d, want %d; effect %q, want %q", c.text, status, c.status, g.recorded(), c.effect)
		}
	}
	g.ready = true
	if status, _ := exchange(t, addr, requestText("GET", "/-/ready")); status != 200 {
		t.Errorf("ready: status %d", status)
	}
	sum := map[bool]int64{}
	counts.Each(func(_ string, yes bool, n int64) { sum[yes] += n })
	if sum[true] != 9 || sum[false] < 14 {
		t.Errorf("counted %v", sum)
	}
}

// Half a call has no effect, whatever half.
func TestPartialCall(t *testing.T) {
	g := &fakeGateway{}
	addr, _ := startServer(t, g)
	text := "PUT /-/drain HTTP/1.1\r\nHost: a\r\nContent-Length: 10\r\n\r\n12345"
	var all sync.WaitGroup
	for n := range len(text) {
		if n%7 > 0 && n < len(text)-5 {
			continue
		}
		all.Go(func() {
			if status, took := exchange(t, addr, text[:n]); status/100 == 2 || took > 3*time.Second {
				t.Errorf("%q: status %d after %v", text[:n], status, took)
			}
		})
	}
	all.Wait()
	if g.recorded() != "" {
		t.Errorf("half a call did %q", g.recorded())
	}
}

// Callers that send nothing or half a call, and stay, keep nobody out: each whole call is answered within
// a second, and they are closed in time.
func TestIdleCallers(t *testing.T) {
	g := &fakeGateway{ready: true}
	addr, _ := startServer(t, g)
	var silent []net.Conn
	for i := range 10 * MaxConnections {
		c, err := net.Dial("tcp", addr)
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 {
			io.WriteString(c, "PUT /-/drain HTTP/1.1\r\nHo")
		}
		silent = append(silent, c)
		if i%8 == 0 {
			if status, took := exchange(t, addr, requestText("PUT", fmt.Sprintf("/-/replicas/s-%d/disable", i))); status != 200 || took > time.Second {
				t.Errorf("among %d silent callers: status %d after %v", i, status, took)
			}
		}
	}
	end := time.Now().Add(3 * time.Second)
	for _, c := range silent {
		c.SetReadDeadline(end)
		if _, err := c.Read(make([]byte, 1024)); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Fatal("a silent caller is held for over 3 s")
		}
	}
}

// An order that hangs is answered with no within a second, and the others are answered meanwhile.
func TestHangingCall(t *testing.T) {
	g := &fakeGateway{ready: true, release: make(chan struct{})}
	defer close(g.release)
	addr, _ := startServer(t, g)
	var all sync.WaitGroup
	for range MaxConnections / 2 {
		all.Go(func() {
			if status, took := exchange(t, addr, requestText("PUT", "/-/drain")); status != 503 || took > time.Second {
				t.Errorf("status %d after %v", status, took)
			}
		})
	}
	if status, took := exchange(t, addr, requestText("GET", "/-/ready")); status != 200 || took > 500*time.Millisecond {
		t.Errorf("beside: status %d after %v", status, took)
	}
	all.Wait()
}

// An address that another process still has is taken once it is free.
func TestAddressInUseIsRetried(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := Listen(l.Addr().String(), &fakeGateway{ready: true}, &CallCounts{})
	defer s.Close()
	addr := l.Addr().String()
	l.Close()
	for end := time.Now().Add(5 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if c, err := net.Dial("tcp", addr); err == nil {
			c.Close()
			break
		}
		if time.Now().After(end) {
			t.Fatal("the address is never served")
		}
	}
	if status, _ := exchange(t, addr, requestText("GET", "/-/ready")); status != 200 {
		t.Errorf("status %d", status)
	}
}
