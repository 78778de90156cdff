package asynclog

import (
	"bytes"
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// blockingWriter is a log's reader that stands still until it is opened.
type blockingWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	written   bytes.Buffer
	err       error
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.unblocked
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.err != nil {
		return 0, g.err
	}
	return g.written.Write(p)
}

// However long the reader stands still, nobody waits for it; what was kept comes in order, and the
// number of lines that were dropped is told.
func TestBlockedReaderNeverBlocksWriters(t *testing.T) {
	g := &blockingWriter{unblocked: make(chan struct{})}
	w := New(g)
	const lines = 20_000
	begun := time.Now()
	for i := range lines {
		fmt.Fprintf(w, "line %06d %s\n", i, strings.Repeat("x", 50))
	}
	if took := time.Since(begun); took > 2*time.Second {
		t.Errorf("logging took %v", took)
	}
	if w.Dropped() == 0 {
		t.Error("nothing was dropped: the bound does not hold")
	}
	w.Flush(10 * time.Millisecond) // ends though nothing is written
	close(g.unblocked)
	w.Flush(5 * time.Second)
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.written.Len() > 2*maxQueuedBytes+100 {
		t.Errorf("%d bytes were kept", g.written.Len())
	}
	last := -1
	kept := 0
	for line := range strings.Lines(g.written.String()) {
		var n int
		if _, err := fmt.Sscanf(line, "line %d", &n); err == nil {
			if n <= last {
				t.Fatalf("line %d behind %d", n, last)
			}
			last = n
			kept++
		}
	}
	if int64(kept)+w.Dropped() != lines || !strings.Contains(g.written.String(), "msg=log_dropped lines=") {
		t.Errorf("%d lines kept, %d dropped of %d", kept, w.Dropped(), lines)
	}
}

// A log that cannot be written costs its lines.
func TestFailedWriteIsCounted(t *testing.T) {
	g := &blockingWriter{unblocked: make(chan struct{}), err: errors.New("no space left on device")}
	close(g.unblocked)
	w := New(g)
	for range 10 {
		if n, err := w.Write([]byte("x\n")); n != 2 || err != nil {
			t.Fatal(n, err)
		}
		w.Flush(time.Second)
	}
	if w.Dropped() == 0 {
		t.Error("a failed write is not counted")
	}
}
