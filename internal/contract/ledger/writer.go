package ledger

import (
	"sync"

	"archknot/internal/contract"
)

// Writer writes checkpoints one after another in a goroutine of its own, so that a
// slow disk delays nobody. One checkpoint may wait while another is written.
type Writer struct {
	store     *Store
	jobs      chan writeJob
	stopped   sync.WaitGroup
	onWritten func(number uint64, err error)
}

// writeJob is one checkpoint.
type writeJob struct {
	number   uint64
	balances []contract.Balance
}

// NewWriter starts the goroutine. It calls onWritten after each checkpoint, with its
// number and the result.
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

// Write queues a checkpoint. It returns false, and does nothing, if another one waits
// already.
func (w *Writer) Write(number uint64, balances []contract.Balance) bool {
	select {
	case w.jobs <- writeJob{number, balances}:
		return true
	default:
		return false
	}
}

// Close waits until the queued checkpoints are written and ends the goroutine. The
// store stays open.
func (w *Writer) Close() {
	close(w.jobs)
	w.stopped.Wait()
}
