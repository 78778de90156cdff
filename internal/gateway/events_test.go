package gateway

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
)

// nextChunk reads one chunk as the gateway wrote it.
func (c *client) nextChunk() string {
	c.t.Helper()
	line, err := c.in.ReadString('\n')
	n, bad := strconv.ParseUint(strings.TrimSpace(line), 16, 31)
	if err != nil || bad != nil {
		c.t.Fatalf("chunk length %q, %v", line, err)
	}
	b := make([]byte, n+2)
	if _, err := io.ReadFull(c.in, b); err != nil {
		c.t.Fatal(err)
	}
	return string(b[:n])
}

// An event that its replica sends in several chunks goes on in one write: on a slow way each write
// has its price, and the parts pile up behind each other. A tiny event does not wait for the next
// one, and a part whose rest does not come goes on alone.
func TestAnEventGoesOnWhole(t *testing.T) {
	const tiny, odd = "data: x\n\n", "data: y\r\n\r\n"
	got := make(chan struct{})
	w := newWorker(t, "s-1", func(c net.Conn, _ *http.Request) bool {
		io.WriteString(c, streamHead)
		for _, part := range []string{event1[:3], event1[3:40], event1[40:41], event1[41:]} {
			io.WriteString(c, chunk(part))
		}
		<-got
		for range 3 { // each before the next is written
			io.WriteString(c, chunk(tiny))
			<-got
		}
		io.WriteString(c, chunk(odd))
		<-got
		io.WriteString(c, chunk(event2[:9])) // and nothing more until it has arrived
		<-got
		io.WriteString(c, chunk(event2[9:])+lastChunk)
		return true
	})
	g := start(t, nil, w)
	c := dial(t, g.addr)
	c.ask("e1", "4000m")
	c.head()
	for _, want := range []string{event1, tiny, tiny, tiny, odd, event2[:9]} {
		if chunk := c.nextChunk(); chunk != want {
			t.Errorf("a chunk %q, want %q", chunk, want)
		}
		got <- struct{}{}
	}
	if chunk := c.nextChunk(); chunk != event2[9:] {
		t.Errorf("a chunk %q", chunk)
	}
	if last := c.nextChunk(); last != "" {
		t.Errorf("behind it %q", last)
	}
}

// A stream that breaks within an event has its bytes passed on and no last chunk.
func TestAStreamBreaksWithinAnEvent(t *testing.T) {
	w := newWorker(t, "s-1", says(streamHead+chunk(event1)+chunk(event2[:9]), false))
	g := start(t, nil, w)
	c := dial(t, g.addr)
	c.ask("e2", "4000m")
	got, err := io.ReadAll(c.head().Body)
	if err != io.ErrUnexpectedEOF || string(got) != event1+event2[:9] {
		t.Errorf("read %q, %v", got, err)
	}
}
