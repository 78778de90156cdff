package lifecycle

import (
	"log/slog"
	"time"

	"archknot/internal/sockets"
)

const (
	// transientRetryTimeout bounds how long the start, or a reload, retries after transient errors.
	transientRetryTimeout = 2 * time.Second
	// transientRetryInterval is the pause between two attempts.
	transientRetryInterval = 20 * time.Millisecond
)

// retryTransient calls operation until it succeeds, fails with an error that is not transient, or
// transientRetryTimeout has passed. The first transient error is logged.
func retryTransient(operation func() error) error {
	deadline := time.Now().Add(transientRetryTimeout)
	for logged := false; ; time.Sleep(transientRetryInterval) {
		err := operation()
		if err == nil || !sockets.IsTransient(err) || time.Now().After(deadline) {
			return err
		}
		if !logged {
			logged = true
			slog.Warn("retrying", "err", err, "for", transientRetryTimeout)
		}
	}
}
