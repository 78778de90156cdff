// Package asynclog writes log lines without ever holding up whoever logs: a reader of the log that
// stands still, or a disk that is full, costs lines and nothing else.
package asynclog

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// maxQueuedBytes bounds the text that waits to be written.
const maxQueuedBytes = 256 << 10

// Writer hands lines to a task that writes them. Lines past the bound are dropped, and counted.
type Writer struct {
	out  io.Writer
	wake chan struct{}

	mu                sync.Mutex
	queued            []byte
	recycled          []byte // the buffer that was written last
	writing           bool
	droppedSinceWrite int64 // since the last line that was written
	droppedTotal      int64
}

// New returns a writer before another one.
func New(out io.Writer) *Writer {
	w := &Writer{out: out, wake: make(chan struct{}, 1)}
	go w.run()
	return w
}

// Write takes a line, or drops it. It never fails and never waits for the log's reader.
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

// Dropped counts the lines that were dropped since the start.
func (w *Writer) Dropped() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.droppedTotal
}

// Flush waits until all is written, for so long at most.
func (w *Writer) Flush(most time.Duration) {
	for end := time.Now().Add(most); time.Now().Before(end); time.Sleep(time.Millisecond) {
		w.mu.Lock()
		done := len(w.queued) == 0 && !w.writing
		w.mu.Unlock()
		if done {
			return
		}
	}
}

func (w *Writer) run() {
	for range w.wake {
		text := w.take()
		_, err := w.out.Write(text)
		w.mu.Lock()
		w.writing, w.recycled = false, text[:0]
		if err != nil && len(text) > 0 {
			w.droppedTotal++ // at least: how much of it was written is not known
		}
		w.mu.Unlock()
	}
}

// take is all that waits, and how many lines were dropped before it.
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
