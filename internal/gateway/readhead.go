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
	// responseHeadTimeout is how long an answer's head may take from its first byte: it is
	// sent in one piece, and one that does not end would use up the request's time.
	responseHeadTimeout = 500 * time.Millisecond
	// maxInformational bounds the 1xx answers before the final answer.
	maxInformational = 8
)

// responseHead is the head of an answer. The body is not read by way of its Body, but by an
// httpwire.Body on the connection.
type responseHead struct{ *http.Response }

// readHead waits for an answer and reads its head, past 1xx answers.
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
			return responseHead{}, fmt.Errorf("%w: over %d answers before the answer", httpwire.ErrMalformed, maxInformational)
		}
	}
}

// endsCleanly reports whether a connection can carry another request after this answer.
// Bytes behind an answer would be taken for the answer to the next request.
func endsCleanly(conn *connpool.Conn, head responseHead, body *httpwire.Body) bool {
	return body.Delimited() && !head.Close && conn.Reader.Buffered() == 0
}
