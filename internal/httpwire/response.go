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

// ErrMalformed reports a response that cannot be parsed. Its connection must not be reused even if it is still open.
var ErrMalformed = errors.New("malformed response")

// maxHeadBytes bounds the head of a response, in bytes. The reader of package net/http has no such limit.
const maxHeadBytes = 16 << 10

// ReadHead reads the head of one response. The Response's Body must not be used; NewBody returns the body. The error
// is ErrMalformed, or that of r.
func ReadHead(r *bufio.Reader) (*http.Response, error) {
	head, err := readHeadBytes(r)
	if err != nil {
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil {
		// Not wrapped: the head is complete, so an io.EOF of its parser does not mean that the connection has ended.
		return nil, fmt.Errorf("%w: %s", ErrMalformed, err.Error())
	}
	return resp, nil
}

// readHeadBytes reads a head, including the empty line that ends it.
func readHeadBytes(r *bufio.Reader) ([]byte, error) {
	const start = "HTTP/1."
	// Checked first because data that is not HTTP may contain no line end.
	if b, err := r.Peek(len(start)); !strings.HasPrefix(start, string(b)) {
		return nil, fmt.Errorf("%w: not HTTP/1.x", ErrMalformed)
	} else if err != nil {
		return nil, err
	}
	var head []byte
	for !bytes.HasSuffix(head, []byte("\n\r\n")) && !bytes.HasSuffix(head, []byte("\n\n")) {
		line, err := r.ReadSlice('\n')
		head = append(head, line...)
		if len(head) > maxHeadBytes {
			return nil, fmt.Errorf("%w: head exceeds %d bytes", ErrMalformed, maxHeadBytes)
		}
		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, err
		}
	}
	return head, nil
}

// headerDeclined is "1" in the response of a replica that has not started the request.
const headerDeclined = "Srv-Declined"

// StatusOf returns the status of an attempt whose response is not 200. A 503 or 504 is Shed only with headerDeclined:
// without it, the replica may have started the request. A 4xx is a fault of the request, not of the replica.
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
