package lifecycle

import (
	"log/slog"
	"time"

	"archknot/internal/sockets"
)

// transientRetryTimeout is how long the start, or a reload, tries again what the system fails for a moment.
const transientRetryTimeout, transientRetryInterval = 2 * time.Second, 20 * time.Millisecond

// retryTransient tries something until it goes well, or fails for a reason that does not pass by itself.
func retryTransient(try func() error) error {
	told := false
	for end := time.Now().Add(transientRetryTimeout); ; time.Sleep(transientRetryInterval) {
		err := try()
		if err == nil || !sockets.IsTransient(err) || time.Now().After(end) {
			return err
		}
		if !told {
			told = true
			slog.Warn("retrying", "err", err, "for", transientRetryTimeout)
		}
	}
}
