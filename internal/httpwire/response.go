package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net/http"
	"strings"

	"archknot/balancer"
)

// ErrMalformed says that a response cannot be read. Its connection may be open still but must not be used again.
var ErrMalformed = errors.New("malformed response")

// maxHeadBytes bounds the head of a response. The reader of package net/http does not.
const maxHeadBytes = 16 << 10

// ReadHead reads the head of one response. The Response has no body: NewBody reads it.
func ReadHead(r *bufio.Reader) (*http.Response, error) {
	head, err := readHeadBytes(r)
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil {
		// Not wrapped: the head is complete, so an io.EOF of its parser is no end of the connection.
		return nil, fmt.Errorf("%w: %s", ErrMalformed, err.Error())
	}
	return resp, nil
}

// readHeadBytes reads up to the empty line that ends a head.
func readHeadBytes(r *bufio.Reader) ([]byte, error) {
	const start = "HTTP/1."
	// What is no HTTP may have no line end.
	if b, err := r.Peek(len(start)); !strings.HasPrefix(start, string(b)) {
		return nil, fmt.Errorf("%w: no HTTP", ErrMalformed)
	} else if err != nil {
		return nil, err
	}
	var head []byte
	for !bytes.HasSuffix(head, []byte("\n\r\n")) && !bytes.HasSuffix(head, []byte("\n\n")) {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > maxHeadBytes {
			return nil, fmt.Errorf("%w: head over %d bytes", ErrMalformed, maxHeadBytes)
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
	return head, nil
}

// headerDeclined is "1" on a response of a replica that has not begun the request.
const headerDeclined = "Srv-Declined"

// StatusOf returns what a response other than 200 means. Only the replica itself can say that it never ran the
// request: a bare 503 may come from one that began. A 4xx is about the request and says nothing of the replica.
func StatusOf(resp *http.Response) balancer.Status {
	overloaded := resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout
	if overloaded && resp.Header.Get(headerDeclined) == "1" {
		return balancer.Shed
	}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return balancer.Rejected
	}
	return balancer.Errored
}
