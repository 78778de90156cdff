package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"syscall"
	"time"

	"archknot/internal/connpool"
	"archknot/internal/controlstats"
	"archknot/internal/httpwire"
)

// maxControlBodyBytes bounds the response to a health check, and the unread remainder of a response
// that is discarded so that its connection can be reused.
const maxControlBodyBytes = 64 << 10

var (
	// errNotConnected marks a call for which no connection could be opened.
	errNotConnected = errors.New("connect")
	// errConnClosed marks a call whose new connection was closed or reset before a response began.
	errConnClosed = errors.New("connection closed before a response")
	// errResponseTruncated marks a response whose end was not reached within maxControlBodyBytes
	// after the part that the caller read.
	errResponseTruncated = errors.New("response truncated or too long")
)

// responseReader reads the body of a response.
type responseReader func(status int, header http.Header, body io.Reader) error

// pooledClient makes GET requests over cached connections, for discovery and health checks.
type pooledClient struct {
	pool  *connpool.Pool
	meter *controlstats.Meter
}

// get fetches a path from an address and passes the response to read. key identifies the address's
// connections in the pool. The call ends within the timeout. connAge is how long the connection
// had been open when the call began.
func (c pooledClient) get(ctx context.Context, key, addr, path string, timeout time.Duration, read responseReader) (connAge time.Duration, err error) {
	ctx, stop := context.WithTimeout(ctx, timeout)
	defer stop()
	conn, err := c.pool.Get(ctx, key, addr)
	if err != nil {
		return 0, fmt.Errorf("%w: %w", errNotConnected, err)
	}
	connAge = conn.Age()
	conn.StartCall(c.meter)
	reusable := false
	unhook := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() {
		if unhook() && reusable {
			c.pool.Put(conn)
		} else {
			c.pool.Drop(conn)
		}
	}()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr); err != nil {
		return connAge, fmt.Errorf("write: %w", markClosed(conn, err))
	}
	deadline, _ := ctx.Deadline() // set by WithTimeout
	conn.SetDeadline(deadline)
	reusable, err = readResponse(conn, deadline, read)
	return connAge, err
}

// readResponse passes one response to read, and reports whether its connection can be reused.
func readResponse(conn *connpool.Conn, deadline time.Time, read responseReader) (reusable bool, err error) {
	head, err := readHead(conn, deadline)
	if err != nil {
		return false, fmt.Errorf("read response head: %w", markClosed(conn, err))
	}
	body := httpwire.NewBody(conn.Reader, head.Response)
	content := body.Reader()
	err = read(head.StatusCode, head.Header, content)
	complete := drainBody(content)
	if err == nil && !complete {
		err = errResponseTruncated
	}
	return complete && endsCleanly(conn, head, body), err
}

// markClosed wraps an error with errConnClosed if it shows that a new connection was closed.
func markClosed(conn *connpool.Conn, err error) error {
	if isConnClosed(err) && !conn.Reused {
		return fmt.Errorf("%w: %w", errConnClosed, err)
	}
	return err
}

// isConnClosed reports whether an error says that the other side closed or reset the connection.
func isConnClosed(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// drainBody discards the remainder of a body and reports whether its end was reached.
func drainBody(body io.Reader) bool {
	limited := io.LimitedReader{R: body, N: maxControlBodyBytes}
	_, err := io.Copy(io.Discard, &limited)
	return err == nil && limited.N > 0
}
