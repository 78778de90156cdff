package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"archknot/internal/connpool"
	"archknot/internal/controlstats"
	"archknot/internal/httpwire"
)

// Short calls without a body: to discovery, and probes.

// errNotConnected marks a call that never reached the other side.
var errNotConnected = errors.New("connect")

// pooledClient makes short calls without a body over kept connections.
type pooledClient struct {
	pool  *connpool.Pool
	meter *controlstats.Meter
}

// maxShortBody bounds the answer to a probe, and what is read of one that is of no use so that its
// connection can serve again.
const maxShortBody = 64 << 10

// get fetches a path and has the answer's body read; the whole call takes no longer than the limit.
func (c pooledClient) get(ctx context.Context, key, addr, path string, limit time.Duration, read func(*http.Response, io.Reader) error) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	conn, err := c.pool.Get(ctx, key, addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotConnected, err)
	}
	conn.StartCall(c.meter)
	keep := false
	unhook := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() {
		if unhook() && keep {
			c.pool.Put(conn)
		} else {
			c.pool.Drop(conn)
		}
	}()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	resp, err := readHead(conn, deadline)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	in := httpwire.NewBody(conn.Reader, resp)
	body := in.Reader()
	failed := read(resp, body)
	whole := drainBody(body)
	keep = whole && in.Delimited() && !resp.Close && conn.Reader.Buffered() == 0
	if failed == nil && !whole {
		failed = errors.New("answer cut off or too long")
	}
	return failed
}

// drainBody reads the rest of a body, and tells whether it met its end.
func drainBody(body io.Reader) bool {
	rest := io.LimitedReader{R: body, N: maxShortBody}
	_, err := io.Copy(io.Discard, &rest)
	return err == nil && rest.N > 0
}
