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

// blockingWriter blocks each write until unblocked is closed.
type blockingWriter struct {
	unblocked chan struct{}
	mu        sync.Mutex
	written   bytes.Buffer
	err       error
}

func (out *blockingWriter) Write(p []byte) (int, error) {
	<-out.unblocked
	out.mu.Lock()
	defer out.mu.Unlock()
	if out.err != nil {
		return 0, out.err
	}
	return out.written.Write(p)
}

// While the destination blocks, logging does not block. Lines that were not dropped are written in order, and
// the number of dropped lines is logged.
func TestBlockedReaderNeverBlocksWriters(t *testing.T) {
	out := &blockingWriter{unblocked: make(chan struct{})}
	w := New(out)
	const lines = 20_000
	start := time.Now()
	for i := range lines {
		fmt.Fprintf(w, "line %06d %s\n", i, strings.Repeat("x", 50))
	}
	if took := time.Since(start); took > 2*time.Second {
		t.Errorf("logging to a blocked destination took %v, want at most 2 s", took)
	}
	if w.Dropped() == 0 {
		t.Error("nothing was dropped: the queue is not bounded")
	}
	w.Flush(10 * time.Millisecond) // returns although the destination blocks
	close(out.unblocked)
	w.Flush(5 * time.Second)
	out.mu.Lock()
	defer out.mu.Unlock()
	if out.written.Len() > 2*maxQueuedBytes+100 {
		t.Errorf("%d bytes written after the destination blocked, more than the queue may hold", out.written.Len())
	}
	last := -1
	writtenLines := 0
	for line := range strings.Lines(out.written.String()) {
		var n int
		if _, err := fmt.Sscanf(line, "line %d", &n); err == nil {
			if n <= last {
				t.Fatalf("line %d after %d", n, last)
			}
			last = n
			writtenLines++
		}
	}
	if int64(writtenLines)+w.Dropped() != lines || !strings.Contains(out.written.String(), "msg=log_dropped lines=") {
		t.Errorf("%d lines written, %d dropped of %d", writtenLines, w.Dropped(), lines)
	}
}

// A failed write counts as a dropped line.
func TestFailedWriteIsCounted(t *testing.T) {
	out := &blockingWriter{unblocked: make(chan struct{}), err: errors.New("no space left on device")}
	close(out.unblocked)
	w := New(out)
	for range 10 {
		if n, err := w.Write([]byte("x\n")); n != 2 || err != nil {
			t.Fatal(n, err)
		}
		w.Flush(time.Second)
	}
	if w.Dropped() == 0 {
		t.Error("failed writes are not counted as dropped lines")
	}
}
