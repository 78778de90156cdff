package lifecycle

import (
	"log/slog"
	"time"

	"archknot/internal/sockets"
)

// patience is how long the start, or a reload, tries again what the system fails for a moment.
const patience, patientEach = 2 * time.Second, 20 * time.Millisecond

// patiently tries something until it goes well, or fails for a reason that does not pass by itself.
func patiently(try func() error) error {
	told := false
	for end := time.Now().Add(patience); ; time.Sleep(patientEach) {
		err := try()
		if err == nil || !sockets.IsTransient(err) || time.Now().After(end) {
			return err
		}
		if !told {
			told = true
			slog.Warn("retrying", "err", err, "for", patience)
		}
	}
}
