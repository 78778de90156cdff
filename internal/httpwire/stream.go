package httpwire

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
)

// Bounds on what a peer may send that is not the answer itself. net/http's own
// reader of answers has none on the head, and takes any length of a chunk.
const (
	maxHeadBytes     = 16 << 10
	maxChunkBytes    = 64 << 10 // a chunk holds an event or a few
	maxChunkSizeLine = 256      // the line of a chunk's length
	maxTrailerBytes  = 4 << 10
)

// ErrMalformed marks what cannot be read: the connection is open, and of no use.
var ErrMalformed = errors.New("spoilt answer")

// ReadHead reads one head. The body is not the Response's: NewBody reads it.
func ReadHead(r *bufio.Reader) (*http.Response, error) {
	const start = "HTTP/1."
	if b, err := r.Peek(len(start)); !strings.HasPrefix(start, string(b)) {
		return nil, fmt.Errorf("%w: no HTTP", ErrMalformed) // noise may have no line end
	} else if err != nil {
		return nil, err
	}
	var head []byte
	for ended := false; !ended; {
		line, err := r.ReadSlice('\n')
		if head = append(head, line...); len(head) > maxHeadBytes {
			return nil, fmt.Errorf("%w: head over %d bytes", ErrMalformed, maxHeadBytes)
		}
		if err != nil && err != bufio.ErrBufferFull {
			return nil, err
		}
		ended = bytes.HasSuffix(head, []byte("\n\r\n")) || bytes.HasSuffix(head, []byte("\n\n"))
	}
	resp, err := http.ReadResponse(bufio.NewReader(bytes.NewReader(head)), nil)
	if err != nil {
		return nil, fmt.Errorf("%w: %v", ErrMalformed, err)
	}
	return resp, nil
}

// Body reads an answer's body piece by piece.
type Body struct {
	reader    *bufio.Reader
	chunked   bool
	remaining int64 // without chunks: bytes to come; below 0: until the connection ends
	buf       []byte
}

// NewBody reads the body behind a head that ReadHead has returned.
func NewBody(r *bufio.Reader, resp *http.Response) *Body {
	return &Body{reader: r, chunked: len(resp.TransferEncoding) > 0, remaining: resp.ContentLength}
}

// Delimited tells whether the body says itself where it ends. Otherwise the end of
// the connection ends it, whether the peer was done or died.
func (b *Body) Delimited() bool { return b.chunked || b.remaining >= 0 }

// Next returns the next piece, good until the next call, and io.EOF at the end.
// A chunk is returned once it has come whole and fits: a spoilt one gives
// nothing. It costs what has come of it, not what it says it holds.
func (b *Body) Next() ([]byte, error) {
	if b.chunked {
		return b.readChunk()
	}
	if b.buf == nil {
		b.buf = make([]byte, 4096)
	}
	n, err := b.readPlain(b.buf)
	return b.buf[:n], err
}

func (b *Body) readChunk() ([]byte, error) {
	size, err := b.readChunkSize()
	if err != nil {
		return nil, err
	}
	if size > maxChunkBytes {
		return nil, fmt.Errorf("%w: chunk length %x", ErrMalformed, size)
	}
	b.buf = b.buf[:0]
	for len(b.buf) < int(size)+2 {
		if len(b.buf) == cap(b.buf) {
			b.buf = append(b.buf, make([]byte, min(4096, int(size)+2))...)[:len(b.buf)]
		}
		n, err := b.reader.Read(b.buf[len(b.buf):min(cap(b.buf), int(size)+2)])
		if b.buf = b.buf[:len(b.buf)+n]; err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	if string(b.buf[size:]) != "\r\n" {
		return nil, fmt.Errorf("%w: chunk does not fit its length", ErrMalformed)
	}
	return b.buf[:size], nil
}

func (b *Body) readLine(most int) (string, error) {
	line, err := b.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull || len(line) > most {
		return "", fmt.Errorf("%w: line over %d bytes", ErrMalformed, most)
	}
	if err != nil {
		return "", unexpectedEOF(err)
	}
	return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
}

// EndsEvent tells whether bytes of a stream end with an event's end: an empty line.
func EndsEvent(b []byte) bool {
	return bytes.HasSuffix(b, []byte("\n\n")) || bytes.HasSuffix(b, []byte("\n\r\n")) || bytes.HasSuffix(b, []byte("\r\r"))
}

// unexpectedEOF is the error of a body that ends too soon.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}

// ReadAll reads a short body whole.
func (b *Body) ReadAll(most int) ([]byte, error) {
	var all []byte
	for {
		part, err := b.Next()
		if all = append(all, part...); len(all) > most {
			return nil, fmt.Errorf("%w: body over %d bytes", ErrMalformed, most)
		}
		if err == io.EOF {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
	}
}
