package gateway

import (
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// A head with too many fields is answered with an error or the end of the connection, and a request before it on the same
// connection is served.
func TestHeadWithTooManyFieldsIsRejected(t *testing.T) {
	g := startGateway(t, nil, newFakeReplica(t, "s-1", answerCompletely))
	many := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\n" + strings.Repeat("a:\r\n", 2000)
	c := dial(t, g.addr)
	begun := time.Now()
	c.sendRaw(many)
	if resp, err := http.ReadResponse(c.reader, nil); err == nil && resp.StatusCode != http.StatusBadRequest {
		t.Errorf("status %d, want 400 or the end of the connection", resp.StatusCode)
	}
	if took := time.Since(begun); took > time.Second {
		t.Errorf("rejected after %v", took)
	}
	c = dial(t, g.addr)
	c.sendRaw("POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: sound\r\nReq-Kind: chat\r\nContent-Length: 2\r\n\r\n{}" + many)
	if resp, body := c.readAnswer(); resp.StatusCode != http.StatusOK || !strings.Contains(body, "[DONE]") {
		t.Errorf("the request before: status %d, %q", resp.StatusCode, body)
	}
	_, _ = io.Copy(io.Discard, c) // ends with the connection
	waitUntil(t, "no memory is reserved", func() bool { return g.clients.headBytes.Load() == 0 })
}

// Large heads use no more than the memory for them, and don't keep out requests with usual heads.
func TestMemoryOfLargeHeadsIsBounded(t *testing.T) {
	const limit = 100 << 10
	g := startGateway(t, func(o *Options) { o.MaxHeadBytes = limit }, newFakeReplica(t, "s-1", answerCompletely))
	large := "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 12_000)
	var clients []*testClient
	for range 8 {
		c := dial(t, g.addr)
		c.sendRaw(large)
		clients = append(clients, c)
	}
	waitUntil(t, "large heads are read", func() bool { return g.clients.headBytes.Load() > limit/3 })
	usual := dial(t, g.addr)
	usual.sendRequest("usual", "4000m")
	if resp, _ := usual.readAnswer(); resp.StatusCode != http.StatusOK {
		t.Errorf("a usual head: status %d", resp.StatusCode)
	}
	if reserved := g.clients.headBytes.Load(); reserved > limit {
		t.Errorf("%d bytes reserved, want %d at most", reserved, limit)
	}
	for _, c := range clients {
		c.Close()
	}
	waitUntil(t, "no memory is reserved", func() bool { return g.clients.headBytes.Load() == 0 })
}
