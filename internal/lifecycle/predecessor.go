package lifecycle

import (
	"errors"
	"log/slog"
	"syscall"
	"time"

	"archknot/internal/boltfile"
	"archknot/internal/controlsocket"
)

// takeOverInterval is the pause between two attempts to take over what another process has.
const takeOverInterval = 250 * time.Millisecond

// Names of what processes can't share, for the log.
const (
	controlListener = "control"
	metricsListener = "metrics"
	versionStore    = "control-service.store"
	contractStore   = "contracts.store"
)

// busyResources are the addresses and stores of this process's own settings that another process has: in an upgrade
// the old process keeps them until it ends. Each is opened by the function of its name, which fails with an error for
// which isBusy returns true while the other process runs.
type busyResources map[string]func() error

// mayReplaceProcess reports whether another process of this gateway may run beside this one, in an upgrade. Both can
// serve only where the platform passes on the clients' listening socket.
func (s *server) mayReplaceProcess() bool { return s.config.ListenFD > 0 }

// openOrTakeOver calls open. If another process has the resource, which this process may replace, it is tried
// again until it succeeds, and there is no error.
func (s *server) openOrTakeOver(name string, open func() error) error {
	delete(s.busyResources, name)
	err := open()
	if err == nil || !s.mayReplaceProcess() || !isBusy(err) {
		return err
	}
	slog.Warn("resource_busy", "resource", name, "err", err)
	s.busyResources[name] = open
	return nil
}

// takeOver tries again to open what another process had.
func (s *server) takeOver() {
	for name, open := range s.busyResources {
		err := open()
		if isBusy(err) {
			continue
		}
		delete(s.busyResources, name)
		if err != nil {
			slog.Error("resource_failed", "resource", name, "err", err)
			continue
		}
		slog.Info("resource_taken_over", "resource", name)
	}
}

// nextTakeOver returns a channel that receives when takeOver is due; nil if nothing is to be taken over.
func (s *server) nextTakeOver() <-chan time.Time {
	if len(s.busyResources) == 0 {
		return nil
	}
	return time.After(takeOverInterval)
}

func isBusy(err error) bool {
	return errors.Is(err, syscall.EADDRINUSE) || errors.Is(err, controlsocket.ErrInUse) || errors.Is(err, boltfile.ErrBusy)
}
