package gateway

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
)

// readChunk reads one chunk as the gateway wrote it.
func (c *testClient) readChunk() string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	n, parseErr := strconv.ParseUint(strings.TrimSpace(line), 16, 31)
	if err != nil || parseErr != nil {
		c.t.Fatalf("chunk length %q, %v", line, err)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(c.reader, b); err != nil {
		c.t.Fatal(err)
	}
	return string(b[:n])
}

// An event that its replica sends in several chunks is relayed in one write: on a slow link
// each write has a cost, and the parts would queue. A tiny event does not wait for the next
// one, and a part whose remainder does not arrive is relayed alone.
func TestEventIsRelayedComplete(t *testing.T) {
	const tiny, crlf = "data: x\n\n", "data: y\r\n\r\n"
	relayed := make(chan struct{})
	w := newFakeReplica(t, "s-1", func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, streamHead)
		for _, part := range []string{event1[:3], event1[3:40], event1[40:41], event1[41:]} {
			io.WriteString(c, chunk(part))
		}
		<-relayed
		for range 3 { // each before the next is written
			io.WriteString(c, chunk(tiny))
			<-relayed
		}
		io.WriteString(c, chunk(crlf))
		<-relayed
		io.WriteString(c, chunk(event2[:9])) // and nothing more until it has arrived
		<-relayed
		io.WriteString(c, chunk(event2[9:])+lastChunk)
		return true
	})
	g := startGateway(t, nil, w)
	c := dial(t, g.addr)
	c.sendRequest("e1", "4000m")
	c.readHead()
	for _, want := range []string{event1, tiny, tiny, tiny, crlf, event2[:9]} {
		if chunk := c.readChunk(); chunk != want {
			t.Errorf("a chunk %q, want %q", chunk, want)
		}
		relayed <- struct{}{}
	}
	if chunk := c.readChunk(); chunk != event2[9:] {
		t.Errorf("a chunk %q", chunk)
	}
	if last := c.readChunk(); last != "" {
		t.Errorf("after it %q", last)
	}
}

// If a stream breaks within its first event, nothing of it was relayed, even if part of the
// event had arrived: the request is retried at another replica, and the client gets only that
// replica's answer.
func TestStreamBreaksWithinFirstEvent(t *testing.T) {
	var dispatches atomic.Int32
	script := func(c net.Conn, r *http.Request) bool {
		if dispatches.Add(1) == 1 {
			io.WriteString(c, streamHead+chunk(event1[:9])+chunk(event1[9:20]))
			return false
		}
		return answerCompletely(c, r)
	}
	g := startGateway(t, nil, newFakeReplica(t, "s-1", script), newFakeReplica(t, "s-2", script))
	c := dial(t, g.addr)
	c.sendRequest("e3", "4000m")
	if resp, body := c.readAnswer(); resp.StatusCode != 200 || body != strings.TrimSpace(event1+event2+loadReportLine) {
		t.Errorf("status %d, %q", resp.StatusCode, body)
	}
	if n := dispatches.Load(); n != 2 {
		t.Errorf("%d attempts", n)
	}
}

// If a stream breaks within a later event, the part of it that arrived is relayed, without a
// last chunk.
func TestStreamBreaksWithinEvent(t *testing.T) {
	w := newFakeReplica(t, "s-1", replyWith(streamHead+chunk(event1)+chunk(event2[:9]), false))
	g := startGateway(t, nil, w)
	c := dial(t, g.addr)
	c.sendRequest("e2", "4000m")
	got, err := io.ReadAll(c.readHead().Body)
	if !errors.Is(err, io.ErrUnexpectedEOF) || string(got) != event1+event2[:9] {
		t.Errorf("read %q, %v", got, err)
	}
}
