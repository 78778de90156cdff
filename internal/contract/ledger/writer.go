package ledger

import (
	"sync"

	"archknot/internal/contract"
)

// Writer writes checkpoints one after another in a goroutine of its own, so that a slow
// disk does not block the caller. One checkpoint may be queued while another is written.
type Writer struct {
	store     *Store
	jobs      chan writeJob
	stopped   sync.WaitGroup
	onWritten func(number uint64, err error)
}

// writeJob is a queued checkpoint.
type writeJob struct {
	number   uint64
	balances []contract.Balance
}

// NewWriter returns a Writer and starts its goroutine, which calls onWritten with the
// number and the result of each checkpoint. The caller must call Close.
func NewWriter(s *Store, onWritten func(number uint64, err error)) *Writer {
	w := &Writer{store: s, jobs: make(chan writeJob, 1), onWritten: onWritten}
	w.stopped.Add(1)
	go func() {
		defer w.stopped.Done()
		for job := range w.jobs {
			w.onWritten(job.number, w.store.Write(job.balances))
		}
	}()
	return w
}

// Write queues a checkpoint. It returns false, and does nothing, if another one is queued
// already. It must not be called after Close.
func (w *Writer) Write(number uint64, balances []contract.Balance) bool {
	select {
	case w.jobs <- writeJob{number, balances}:
		return true
	default:
		return false
	}
}

// Close waits until the queued checkpoints are written, then ends the goroutine. The store
// stays open.
func (w *Writer) Close() {
	close(w.jobs)
	w.stopped.Wait()
}
