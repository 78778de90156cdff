package lifecycle

import (
	"context"
	"log/slog"
	"time"
)

// shutdownStepTimeout bounds each step of saveAtShutdown.
const shutdownStepTimeout = 2 * time.Second

// saveAtShutdown closes the control socket and saves the maintenance orders, the contract ledger and the
// capture of a drained gateway.
func (s *server) saveAtShutdown(ctx context.Context) {
	if s.controlSocket != nil {
		s.controlSocket.Close()
	}
	s.gateway.HandOverRequestIDs()
	if orders := s.config.Gateway.Orders; orders != nil {
		_ = withShutdownTimeout(ctx, orders.Close) // the store logs a failure
	}
	if err := withShutdownTimeout(ctx, s.gateway.CloseLedger); err != nil {
		slog.Error("contract_ledger_write_failed", "err", err)
	}
	stopCapture := func(ctx context.Context) error { return s.gateway.SetCapture(ctx, nil) }
	_ = withShutdownTimeout(ctx, stopCapture) // readers detect an incomplete capture
}

// withShutdownTimeout runs a step within shutdownStepTimeout. A step that hangs is abandoned.
func withShutdownTimeout(ctx context.Context, step func(context.Context) error) error {
	ctx, cancel := context.WithTimeout(ctx, shutdownStepTimeout)
	defer cancel()
	done := make(chan error, 1)
	go func() { done <- step(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}
