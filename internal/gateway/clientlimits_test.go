package gateway

import (
	"errors"
	"io"
	"os"
	"testing"
	"time"
)

// At the connection limit an idle connection is evicted for a new one. If all are busy, a request
// on a new connection gets a 503.
func TestConnectionsAreBounded(t *testing.T) {
	replica := newFakeReplica(t, "s-1", replyWith(streamHead+chunk(event1), true))
	g := startGateway(t, func(o *Options) { o.MaxClientConns = 2 }, replica)
	idle := dial(t, g.addr)
	idle.sendRaw("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
	idle.readAnswer()
	waitUntil(t, "the connection is idle", func() bool { // the response arrives before the server reports the connection as idle
		return g.clients.connCount() == 1 && g.idleConnCount() == 1
	})
	for _, id := range []string{"i1", "i2"} {
		c := dial(t, g.addr)
		c.sendRequest(id, "4000m")
		if resp := c.readHead(); resp.StatusCode != 200 {
			t.Errorf("%s: status %d", id, resp.StatusCode)
		}
	}
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v, want EOF", err)
	}
	c := dial(t, g.addr)
	c.sendRequest("i3", "4000m")
	if resp, _ := c.readAnswer(); resp.StatusCode != 503 || resp.Header.Get("Retry-After") == "" || !resp.Close {
		t.Errorf("beyond the limit: %d %v", resp.StatusCode, resp.Header)
	}
}

// Clients that connect and send nothing, or never complete a request, do not keep other clients
// out, and their connections are closed within 3 s.
func TestStalledClientsAreEvicted(t *testing.T) {
	g := startGateway(t, func(o *Options) { o.MaxClientConns = 4 }, newFakeReplica(t, "s-1", answerCompletely))
	var stalled []*testClient
	for range 12 {
		stalled = append(stalled, dial(t, g.addr))
	}
	stalled = append(stalled, dial(t, g.addr), dial(t, g.addr))
	begin := time.Now()
	stalled[12].sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n")
	stalled[13].sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: 1\r\nContent-Length: 200000\r\n\r\nx")
	for range 3 {
		c := dial(t, g.addr)
		c.sendRequest("k", "4000m")
		if resp, _ := c.readAnswer(); resp.StatusCode != 200 {
			t.Errorf("status %d", resp.StatusCode)
		}
	}
	for i, c := range stalled {
		if _, err := io.Copy(io.Discard, c); errors.Is(err, os.ErrDeadlineExceeded) || time.Since(begin) > 3*time.Second {
			t.Errorf("connection %d: %v after %v", i, err, time.Since(begin))
		}
	}
	if n := g.clients.bodyBytes.Load(); n != 0 {
		t.Errorf("%d bytes of body memory still reserved", n)
	}
}
