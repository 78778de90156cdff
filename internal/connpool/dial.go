package connpool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"archknot/internal/sockets"
)

// ErrLocalShortage reports that this machine lacked a resource for a connection; the peer was never contacted.
var ErrLocalShortage = errors.New("no connection for want of something on this machine")

// A dial that fails for a local shortage is retried with exponential backoff.
const (
	maxShortageAttempts = 4
	shortageBackoff     = 5 * time.Millisecond // before the first retry
)

// dialWithRetry opens a TCP connection. It retries only local shortages, and returns ErrLocalShortage,
// wrapped with the cause, if the last attempt or the context ends with one.
func dialWithRetry(ctx context.Context, dialer *net.Dialer, addr string) (net.Conn, error) {
	for attempt := 1; ; attempt++ {
		conn, err := dialer.DialContext(ctx, "tcp", addr)
		if err == nil || !sockets.IsLocalShortage(err) {
			return conn, err
		}
		if attempt == maxShortageAttempts || ctx.Err() != nil {
			return nil, fmt.Errorf("%w: %w", ErrLocalShortage, err)
		}
		select {
		case <-time.After(shortageBackoff << (attempt - 1)):
		case <-ctx.Done():
		}
	}
}
