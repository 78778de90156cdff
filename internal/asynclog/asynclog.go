// Package asynclog writes log lines without blocking the caller: if the reader of the log stalls or the disk
// is full, lines are dropped.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedBytes bounds the text that is queued for writing.
const maxQueuedBytes = 256 << 10

// flushPollInterval is how often Flush checks whether all lines are written.
const flushPollInterval = time.Millisecond

// Writer passes lines to a goroutine that writes them. Lines beyond maxQueuedBytes are dropped and counted.
// It is safe for concurrent use.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu                sync.Mutex
	queued            []byte
	recycled          []byte // the buffer of the last write, for reuse
	writing           bool
	droppedSinceWrite int64 // lines dropped since the last write
	droppedTotal      int64
}

// New returns a Writer that writes to out. Its goroutine runs until the process ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues a line, or drops it if the queue is full. It returns no error and never waits for out.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	if len(w.queued)+len(line) > maxQueuedBytes {
		w.droppedSinceWrite++
		w.droppedTotal++
	} else {
		w.queued = append(w.queued, line...)
	}
	w.mu.Unlock()
	select {
	case w.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// Dropped returns the number of lines dropped since the start. A failed write counts as one line.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Flush waits until all queued lines are written, at most for the timeout.
func (w *Writer) Flush(timeout time.Duration) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(flushPollInterval) {
		w.mu.Lock()
		done := len(w.queued) == 0 && !w.writing
		w.mu.Unlock()
		if done {
			return
		}
	}
}

// run writes queued text until the process ends.
func (w *Writer) run() {
	for range w.wake {
		text := w.take()
		_, err := w.out.Write(text)
		w.mu.Lock()
		w.writing, w.recycled = false, text[:0]
		if err != nil && len(text) > 0 {
			w.droppedTotal++ // at least one line; the number that was written is unknown
		}
		w.mu.Unlock()
	}
}

// take returns all queued text, followed by a line with the number of dropped lines if that is not 0.
func (w *Writer) take() []byte {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.writing = true
	text := w.queued
	w.queued = w.recycled[:0]
	if w.droppedSinceWrite > 0 {
		text = fmt.Appendf(text, "level=WARN msg=log_dropped lines=%d all=%d\n", w.droppedSinceWrite, w.droppedTotal)
		w.droppedSinceWrite = 0
	}
	return text
}
