package gateway

import (
	"errors"
	"io"
	"net/http"
	"time"

	"archknot/internal/httpwire"
)

// initialBodyBufferBytes is the size of a body's first buffer; each further buffer is twice as large.
const initialBodyBufferBytes = 4 << 10

// readBody reads a request's body within the protocol's size limit and the memory reserved
// for bodies. The caller must release len(body) bytes with clientTracker.releaseBytes.
func (g *Gateway) readBody(w http.ResponseWriter, r *http.Request) ([]byte, *rejection) {
	if r.ContentLength > httpwire.MaxBodyBytes {
		return nil, rejectBodyTooLarge
	}
	limited := http.MaxBytesReader(w, r.Body, httpwire.MaxBodyBytes)
	body, rejected := g.clients.readBody(limited, r.ContentLength, g.options.MaxBodyBytes)
	if rejected != nil {
		g.clients.releaseBytes(int64(cap(body)))
		return nil, rejected
	}
	g.clients.releaseBytes(int64(cap(body) - len(body)))
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	return body, nil
}

// readBody reads a body to its end. The reserved memory grows with the bytes received, to at most
// twice their size after the first buffer: a large announced length alone reserves none. The
// caller must release cap(body) bytes, also after an error.
func (t *clientTracker) readBody(in io.Reader, length, maxBytes int64) ([]byte, *rejection) {
	var body []byte
	for {
		if len(body) == cap(body) {
			size := nextBodySize(cap(body), length)
			if !t.reserveBytes(int64(size-cap(body)), maxBytes) {
				return body, bodyMemoryExhausted
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := in.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		var tooLarge *http.MaxBytesError
		switch {
		case errors.Is(err, io.EOF):
			return body, nil
		case errors.As(err, &tooLarge):
			return body, rejectBodyTooLarge
		case err != nil:
			return body, badRequest("body: incomplete")
		}
	}
}

// nextBodySize returns the size of the buffer that replaces a full one of currentSize bytes.
// length is the announced length of the body; negative: unknown.
func nextBodySize(currentSize int, length int64) int {
	size := max(initialBodyBufferBytes, 2*currentSize)
	if length >= 0 {
		size = min(size, int(length)+1) // one byte more, to detect the end
	}
	return size
}

// reserveBytes reserves memory for a body. It returns false if that would exceed the limit.
func (t *clientTracker) reserveBytes(n, limit int64) bool {
	if t.bodyBytes.Add(n) > limit {
		t.bodyBytes.Add(-n)
		return false
	}
	return true
}

func (t *clientTracker) releaseBytes(n int64) { t.bodyBytes.Add(-n) }
