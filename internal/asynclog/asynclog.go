// Package asynclog writes log lines without ever blocking the caller: a stalled reader of the log or a
// full disk costs lines and nothing else.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedBytes bounds the text that is queued for writing.
const maxQueuedBytes = 256 << 10

// flushPollInterval is how often Flush looks whether all is written.
const flushPollInterval = time.Millisecond

// Writer passes lines to a goroutine that writes them. Lines beyond maxQueuedBytes are dropped and counted.
// It may be used by many goroutines at once.
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

// New returns a Writer to out. Its goroutine runs until the process ends.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write queues or drops a line. It never fails and never waits for out.
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

// Dropped returns the number of lines that were dropped or failed to be written since the start.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Flush waits until all queued lines are written, but no longer than the timeout.
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
			w.droppedTotal++ // at least one line; how many were written is unknown
		}
		w.mu.Unlock()
	}
}

// take returns all queued text, followed by a line with the number of dropped lines if there are any.
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
