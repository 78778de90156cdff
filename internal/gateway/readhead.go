package gateway

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"time"

	"archknot/internal/connpool"
	"archknot/internal/httpwire"
)

const (
	// responseHeadTimeout limits the time from the first to the last byte of a response head. A
	// head is sent in one piece; one that never ends would use up the request's time.
	responseHeadTimeout = 500 * time.Millisecond
	// maxInformational bounds the number of 1xx responses before the final one.
	maxInformational = 8
)

// responseHead is the head of a response. The body is read by an httpwire.Body on the connection,
// not through Response.Body.
type responseHead struct{ *http.Response }

// readHead waits for a response and reads its head, skipping 1xx responses.
func readHead(conn *connpool.Conn, timeoutAt time.Time) (head responseHead, err error) {
	for informational := 0; ; informational++ {
		if _, err := conn.Reader.Peek(1); err != nil {
			return responseHead{}, err
		}
		if headBy := time.Now().Add(responseHeadTimeout); headBy.Before(timeoutAt) {
			conn.SetDeadline(headBy)
		}
		head.Response, err = httpwire.ReadHead(conn.Reader)
		if errors.Is(err, os.ErrDeadlineExceeded) && time.Now().Before(timeoutAt) {
			err = httpwire.ErrMalformed
		}
		conn.SetDeadline(timeoutAt)
		if err != nil || head.StatusCode >= http.StatusOK {
			return head, err
		}
		if informational >= maxInformational {
			return responseHead{}, fmt.Errorf("%w: more than %d 1xx responses before the final response", httpwire.ErrMalformed, maxInformational)
		}
	}
}

// endsCleanly reports whether a connection can carry another request after this response. Surplus
// bytes after a response would be taken for the response to the next request.
func endsCleanly(conn *connpool.Conn, head responseHead, body *httpwire.Body) bool {
	return body.Delimited() && !head.Close && conn.Reader.Buffered() == 0
}
