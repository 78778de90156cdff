package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// An event reaches the client before the replica sends the next one, the stream is relayed
// unchanged, and the next request reuses the same connections.
func TestEventsAreRelayedImmediately(t *testing.T) {
	sendRemainder := make(chan struct{})
	replica := newFakeReplica(t, "s-1", func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, streamHead+chunk(event1))
		<-sendRemainder
		io.WriteString(c, chunk(event2)+chunk(loadReportLine)+lastChunk)
		return true
	})
	g := startGateway(t, nil, replica)
	c := dial(t, g.addr)
	for _, id := range []string{"a1", "a2"} {
		c.sendRequest(id, "4000m")
		resp := c.readHead()
		first := make([]byte, len(event1))
		if _, err := io.ReadFull(resp.Body, first); err != nil || string(first) != event1 {
			t.Fatalf("first event %q, %v", first, err)
		}
		sendRemainder <- struct{}{}
		remainder, err := io.ReadAll(resp.Body)
		if diff := cmp.Diff(event2+loadReportLine, string(remainder)); err != nil || diff != "" {
			t.Fatal(err, diff)
		}
		waitUntil(t, "the attempt to end", func() bool { return g.clients.inFlightCount() == 0 && len(g.loop.events) == 0 })
	}
	r := replica.requests[1]
	if r.Method != "POST" || r.RequestURI != "/v1/chat/completions?x=1" || r.Header.Get("Req-Id") != "a2" ||
		!strings.HasSuffix(r.Header.Get("Req-Deadline"), "u") {
		t.Errorf("the replica received %s %s %v", r.Method, r.RequestURI, r.Header)
	}
	if n, _ := replica.counts(); n != 1 {
		t.Errorf("%d connections for two requests in turn", n)
	}
}

// A stream that breaks or stalls after its first event closes the client's connection without the
// last chunk, and no further attempt is sent.
func TestBrokenStreamIsCutOff(t *testing.T) {
	for name, script := range map[string]func(net.Conn, *http.Request) bool{
		"breaks": replyWith(streamHead+chunk(event1), false),
		"stalls": replyWith(streamHead+chunk(event1), true),
	} {
		replica, other := newFakeReplica(t, "s-1", script), newFakeReplica(t, "s-2", script)
		g := startGateway(t, func(o *Options) { o.StreamIdleTimeout = 100 * time.Millisecond }, replica, other)
		c := dial(t, g.addr)
		c.sendRequest("b1", "4000m")
		got, err := io.ReadAll(c.readHead().Body)
		if !errors.Is(err, io.ErrUnexpectedEOF) || string(got) != event1 {
			t.Errorf("%s: read %q, %v", name, got, err)
		}
		_, n := replica.counts()
		_, m := other.counts()
		if n+m != 1 {
			t.Errorf("%s: %d attempts", name, n+m)
		}
	}
}

// Guards against a broken stream that is ended as if it were whole, where a chunk's size doesn't fit its data (issue 74,
// record 2): a size of 0 made the reader take the data for a trailer, and so for the stream's end.
func TestStreamWithAnUnfitLastChunkIsNotWhole(t *testing.T) {
	const crlfEvent = "data: {\"choices\":[]}\r\n\r\n"
	for name, text := range map[string]string{
		"an event follows":                "0\r\n" + event2 + "\r\n",
		"an event with CRLF follows":      "0\r\n" + crlfEvent + "\r\n",
		"a load report follows":           "0\r\n" + loadReportLine + "\r\n",
		"an event with a name follows":    "0\r\nevent: done\r\ndata: x\r\n\r\n",
		"the rest of an event follows":    chunk("da") + "0\r\nta: x\r\n\r\n",
		"no field follows":                "0\r\nabc\r\n\r\n",
		"a field without a name follows":  "0\r\n: x\r\n\r\n",
		"a folded line follows":           "0\r\nX: y\r\n z\r\n\r\n",
		"the empty line has no CR":        "0\r\n\n",
		"a space before the size":         " 0\r\n\r\n",
		"a tab before the size":           "\t5\r\nabcd\n\r\n" + lastChunk,
		"the last line of an event lacks": chunk("data: {\"choi") + lastChunk,
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, nil, newFakeReplica(t, "s-1", replyWith(streamHead+chunk(event1)+text, true)))
			c := dial(t, g.addr)
			c.sendRequest("u1", "4000m")
			if got, err := io.ReadAll(c.readHead().Body); !errors.Is(err, io.ErrUnexpectedEOF) {
				t.Errorf("read %q, %v; want the connection to end without the last chunk", got, err)
			}
		})
	}
	for name, text := range map[string]string{
		"no trailer": lastChunk, "a trailer": "0\r\nX-Checksum: 5f\r\n\r\n", "an extension": "0;a=b\r\n\r\n", "zeros": "000\r\n\r\n",
		"a space after the size": "0 \r\n\r\n", "a report in its last line": chunk(": Srv-Load: x0=0.4") + lastChunk,
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, nil, newFakeReplica(t, "s-1", replyWith(streamHead+chunk(event1)+text, true)))
			c := dial(t, g.addr)
			c.sendRequest("w1", "4000m")
			if got, err := io.ReadAll(c.readHead().Body); err != nil || !strings.HasPrefix(string(got), event1) {
				t.Errorf("read %q, %v; want a whole stream", got, err)
			}
		})
	}
}

// A stream that is malformed before its first event was relayed is retried at the other replica.
// One that is malformed later closes the client's connection, and no unparsed bytes are relayed.
func TestMalformedStreams(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		late bool
	}{
		"head": {"\x16\x03\x01", false}, "first chunk": {streamHead + "b0000000\r\n" + event1, false},
		"later chunk":  {streamHead + chunk(event1) + "b0000000\r\n" + event1, true},
		"wrong length": {streamHead + chunk(event1) + "3\r\n" + event1, true},
	} {
		var dispatches atomic.Int32
		failFirst := func(conn net.Conn, r *http.Request) bool {
			if dispatches.Add(1) == 1 {
				return replyWith(c.text, true)(conn, r)
			}
			return answerCompletely(conn, r)
		}
		// An endless head times out after responseHeadTimeout; the latency objective is high enough
		// that no hedge is sent before that.
		g := startGateway(t, func(o *Options) { o.Settings.Classes[0].LatencyObjective = 3_000_000 }, newFakeReplica(t, "s-1", failFirst), newFakeReplica(t, "s-2", failFirst))
		client := dial(t, g.addr)
		client.sendRequest("s1", "4000m")
		body, err := io.ReadAll(client.readHead().Body)
		if c.late && (!errors.Is(err, io.ErrUnexpectedEOF) || string(body) != event1 || dispatches.Load() != 1) {
			t.Errorf("%s: %q, %v, %d attempts", name, body, err, dispatches.Load())
		}
		if !c.late && (err != nil || string(body) != event1+event2+loadReportLine || dispatches.Load() != 2) {
			t.Errorf("%s: %q, %v, %d attempts", name, body, err, dispatches.Load())
		}
	}
}
