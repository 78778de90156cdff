package connpool

import (
	"context"
	"errors"
	"fmt"
	"net"
	"time"

	"archknot/internal/sockets"
)

// ErrLocalShortage reports that this machine lacked a resource for a connection, such as a descriptor or a
// port. The peer was not contacted.
var ErrLocalShortage = errors.New("local resource shortage")

// Limits of the retries, with exponential backoff, of a dial that fails because of a local shortage.
const (
	maxShortageAttempts = 4
	shortageBackoff     = 5 * time.Millisecond // before the first retry
)

// dialWithRetry opens a TCP connection. It retries only after a local shortage, until maxShortageAttempts
// or the end of the context. If the last attempt fails with one, the error wraps ErrLocalShortage and the
// cause.
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
