package gateway

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
)

// After SIGTERM, requests that arrive while the listener is open are answered, a stream is
// finished, and then the gateway ends.
func TestDrain(t *testing.T) {
	more := make(chan struct{})
	w := newFakeReplica(t, "s-1", func(c net.Conn, r *http.Request) bool {
		if r.Header.Get("Req-Id") == "slow" {
			io.WriteString(c, streamHead+chunk(event1))
			<-more
			io.WriteString(c, lastChunk)
			return true
		}
		return answerCompletely(c, r)
	})
	g := startGateway(t, nil, w)
	idle, slow, unused := dial(t, g.addr), dial(t, g.addr), dial(t, g.addr)
	idle.sendRequest("h1", "4000m")
	idle.readAnswer()
	slow.sendRequest("slow", "4000m")
	resp := slow.readHead()
	drained := make(chan error, 1)
	go func() { drained <- g.Drain(context.Background()) }()
	if _, err := idle.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the idle connection: %v, want a clean end", err)
	}
	late := dial(t, g.addr)
	late.sendRequest("h2", "4000m")
	if resp, _ := late.readAnswer(); resp.StatusCode != 200 || !resp.Close {
		t.Errorf("in the drain: status %d, close %t", resp.StatusCode, resp.Close)
	}
	if _, err := unused.reader.ReadByte(); !errors.Is(err, io.EOF) {
		t.Errorf("the unused connection: %v, want a clean end", err)
	}
	close(more)
	if got, err := io.ReadAll(resp.Body); err != nil || string(got) != event1 {
		t.Errorf("the stream ended with %q, %v", got, err)
	}
	if err := <-drained; err != nil {
		t.Error(err)
	}
	if err := <-g.served; err != nil {
		t.Error(err)
	}
}
