package gateway

import (
	"net"
	"net/http"
	"strings"
	"testing"

	"archknot/internal/httpwire"
)

// An invalid request gets an error response and is not forwarded. A request without a deadline is
// valid.
func TestMalformedRequests(t *testing.T) {
	replica := newFakeReplica(t, "s-1", answerCompletely)
	g := startGateway(t, nil, replica)
	big := strings.Repeat("x", httpwire.MaxBodyBytes+1)
	for name, c := range map[string]struct {
		text   string
		status int
		body   string
	}{
		"other path":     {"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 404, ""},
		"double slash":   {"POST /v1//chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 404, ""},
		"other method":   {"GET /v1/chat/completions HTTP/1.1\r\nHost: a\r\n\r\n", 405, ""},
		"no id":          {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 400, "Req-Id"},
		"no deadline":    {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n", 200, "[DONE]"},
		"no class":       {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nContent-Length: 0\r\n\r\n", 400, "Req-Kind"},
		"other class":    {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nReq-Kind: chats\r\nContent-Length: 0\r\n\r\n", 400, "Req-Kind"},
		"minus length":   {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Id: 1\r\nContent-Length: -4\r\n\r\n", 400, ""},
		"long head":      {"GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 40<<10), 431, ""},
		"empty deadline": {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: 1\r\nReq-Deadline:\r\nContent-Length: 0\r\n\r\n", 400, "Req-Deadline"},
		"bad deadline":   {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: 1\r\nReq-Deadline: soon\r\nContent-Length: 0\r\n\r\n", 400, "Req-Deadline"},
		"too long":       {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: 1\r\nContent-Length: 262145\r\n\r\n", 413, "262144 bytes"},
		"long in parts":  {"POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Id: 1\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(big), 413, "262144 bytes"},
		"not HTTP":       {"hello\r\n\r\n", 400, ""},
		"ready":          {"GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n", 200, "ready"},
	} {
		conn := dial(t, g.addr)
		conn.sendRaw(c.text)
		if resp, body := conn.readAnswer(); resp.StatusCode != c.status || !strings.Contains(body, c.body) {
			t.Errorf("%s: %d %q, want %d %q", name, resp.StatusCode, body, c.status, c.body)
		}
	}
	if _, n := replica.counts(); n != 1 {
		t.Errorf("%d requests forwarded, want only the one without a deadline", n)
	}
	if g.clients.bodyBytes.Load() != 0 {
		t.Errorf("%d bytes of body memory still reserved", g.clients.bodyBytes.Load())
	}
}

// A request with both a Content-Length and a Transfer-Encoding may hide a second one in its body:
// neither is forwarded. The HTTP server drops one of the lengths without reporting it.
func TestSmuggledRequestIsNotForwarded(t *testing.T) {
	const head = "POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nReq-Kind: chat\r\nReq-Deadline: 4000m\r\nReq-Id: "
	replica := newFakeReplica(t, "s-1", answerCompletely)
	g := startGateway(t, nil, replica)
	hidden := head + "hidden\r\nContent-Length: 0\r\n\r\n"
	for _, text := range []string{
		head + "1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + hidden,
		head + "2\r\nTransfer-Encoding: chunked\r\nContent-Length: 500\r\n\r\n" + chunk(hidden) + lastChunk,
		strings.Replace(head, "1.1", "1.0", 1) + "3\r\nTransfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n" + hidden,
	} {
		c := dial(t, g.addr)
		c.sendRaw(text)
		if resp, _ := c.readAnswer(); resp.StatusCode != 400 || !resp.Close {
			t.Errorf("%q: status %d, close %t", text, resp.StatusCode, resp.Close)
		}
		if _, err := c.reader.ReadByte(); err == nil {
			t.Errorf("%q: a second response", text)
		}
	}
	if _, n := replica.counts(); n != 0 {
		t.Errorf("%d requests forwarded", n)
	}
}

// A request with the id of a request in flight is rejected: the replica would run it twice. Once
// that request has ended, the id can be used again.
func TestDuplicateInFlightIDIsRejected(t *testing.T) {
	replica := newFakeReplica(t, "s-1", replyWith(streamHead+chunk(event1), true))
	g := startGateway(t, nil, replica)
	first, second := dial(t, g.addr), dial(t, g.addr)
	first.sendRequest("same", "4000m")
	first.readHead()
	second.sendRequest("same", "4000m")
	if resp, _ := second.readAnswer(); resp.StatusCode != 409 {
		t.Errorf("status %d", resp.StatusCode)
	}
	if _, n := replica.counts(); n != 1 {
		t.Errorf("%d attempts", n)
	}
	first.Close()
	waitUntil(t, "nothing in flight", func() bool { return g.clients.inFlightCount() == 0 })
	third := dial(t, g.addr)
	third.sendRequest("same", "4000m")
	if resp := third.readHead(); resp.StatusCode != 200 {
		t.Errorf("after the first has ended: status %d", resp.StatusCode)
	}
}

// A request that a replica rejects is answered at once and not retried, and the replica stays
// in use.
func TestRejectedRequestIsNotRetried(t *testing.T) {
	replica := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Req-Id") == "bad" {
			return replyWith("HTTP/1.1 400 No\r\nContent-Length: 0\r\n\r\n", true)(c, r)
		}
		return answerCompletely(c, r)
	})
	g := startGateway(t, nil, replica)
	c := dial(t, g.addr)
	for i, id := range []string{"bad", "good", "bad", "good"} {
		c.sendRequest(id, "4000m")
		resp, _ := c.readAnswer()
		if want := map[string]int{"bad": 502, "good": 200}[id]; resp.StatusCode != want {
			t.Errorf("%s: status %d", id, resp.StatusCode)
		}
		if _, n := replica.counts(); n != i+1 {
			t.Errorf("%s: %d attempts, want %d", id, n, i+1)
		}
	}
}
