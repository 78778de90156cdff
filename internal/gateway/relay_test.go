package gateway

import (
	"errors"
	"fmt"
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

// Guards against a long answer that is cut off, or whose events are held back, while its replica writes a chunk slowly (issue 74,
// record 2): the time without an event counted whole chunks.
func TestSlowlyWrittenChunkIsRelayedAsItComes(t *testing.T) {
	const (
		events     = 5
		idle       = 500 * time.Millisecond
		bytePause  = 5 * time.Millisecond
		relayBound = 300 * time.Millisecond // of the operators' pages, from the replica's write to the client
	)
	written := make(chan time.Time, events)
	replica := newFakeReplica(t, "s-1", func(c net.Conn, _ *http.Request) bool {
		text := chunk(strings.Repeat(event1, events))
		data := strings.Index(text, "\r\n") + 2
		io.WriteString(c, streamHead+chunk(event1)+text[:data])
		for i, b := range []byte(text[data:]) {
			if _, err := c.Write([]byte{b}); err != nil {
				return false
			}
			if (i+1)%len(event1) == 0 {
				written <- time.Now()
			}
			time.Sleep(bytePause)
		}
		io.WriteString(c, lastChunk)
		return true
	})
	g := startGateway(t, func(o *Options) { o.StreamIdleTimeout = idle }, replica)
	c := dial(t, g.addr)
	c.sendRequest("l1", "4000m")
	resp := c.readHead()
	begun := time.Now()
	for i := range 1 + events {
		event := make([]byte, len(event1))
		if _, err := io.ReadFull(resp.Body, event); err != nil || string(event) != event1 {
			t.Fatalf("event %d: %q, %v", i+1, event, err)
		}
		if i == 0 {
			continue
		}
		if late := time.Since(<-written); late > relayBound {
			t.Errorf("event %d came %v after it was written, want %v at most", i+1, late, relayBound)
		}
	}
	if rest, err := io.ReadAll(resp.Body); err != nil || len(rest) > 0 {
		t.Errorf("at the end %q, %v", rest, err)
	}
	if took := time.Since(begun); took < 2*idle {
		t.Errorf("the answer took %v, too short for this test", took)
	}
}

// Of a chunk that doesn't come to its end only complete events are relayed, and nothing that belongs to no event, such as the
// size of a further chunk within a chunk whose size is too large.
func TestNothingButEventsIsRelayedOfAnIncompleteChunk(t *testing.T) {
	tooLarge := fmt.Sprintf("%x\r\n%s\r\n%s", len(event1)+100, event1, chunk(event1))
	for name, c := range map[string]struct{ text, want string }{
		"a size too large":   {chunk(event1) + tooLarge, event1 + event1},
		"part of an event":   {chunk(event1) + "ff\r\n" + event1 + "data: half", event1 + event1},
		"no event":           {chunk(event1) + "ff\r\nabc\n\n", event1},
		"the rest of a line": {chunk(event1+"da") + "ff\r\nta: x\n\nabc\n\n", event1 + "data: x\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			g := startGateway(t, func(o *Options) { o.StreamIdleTimeout = 200 * time.Millisecond }, newFakeReplica(t, "s-1", replyWith(streamHead+c.text, true)))
			client := dial(t, g.addr)
			client.sendRequest("n1", "4000m")
			if got, err := io.ReadAll(client.readHead().Body); !errors.Is(err, io.ErrUnexpectedEOF) || string(got) != c.want {
				t.Errorf("read %q, %v; want %q and the end of the connection", got, err, c.want)
			}
		})
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
