package httpwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
)

// Bounds of a chunked body. The reader of package net/http accepts any length of a chunk.
const (
	maxChunkBytes    = 64 << 10 // a chunk holds one event, or a few
	maxChunkSizeLine = 256
	maxTrailerBytes  = 4 << 10
	// readBlockBytes is how much of a body without chunks is read at once, and by how much a chunk's buffer grows.
	readBlockBytes = 4096
)

// Body reads the body of a response piece by piece. Either Next or the Reader is used on one Body, not both.
type Body struct {
	reader    *bufio.Reader
	chunked   bool
	remaining int64 // without chunks: bytes still to be read; below 0: until the connection ends
	buf       []byte
}

// NewBody returns the body that follows the head that ReadHead has returned.
func NewBody(r *bufio.Reader, resp *http.Response) *Body {
	return &Body{reader: r, chunked: len(resp.TransferEncoding) > 0, remaining: resp.ContentLength}
}

// Delimited reports whether the body itself says where it ends. Otherwise the end of the connection ends it,
// whether the peer was finished or failed.
func (b *Body) Delimited() bool { return b.chunked || b.remaining >= 0 }

// Next returns the next piece, valid until the next call, and io.EOF at the end. A chunk is returned once it is
// complete and fits its length: of a malformed one nothing is returned. Its buffer grows with what has arrived, not
// with the length that the chunk claims.
func (b *Body) Next() ([]byte, error) {
	if b.chunked {
		return b.readChunk()
	}
	if b.buf == nil {
		b.buf = make([]byte, readBlockBytes)
	}
	n, err := b.readUnchunked(b.buf)
	return b.buf[:n], err
}

// ReadAll reads the complete body. One of over limit bytes is an error.
func (b *Body) ReadAll(limit int) ([]byte, error) {
	var all []byte
	for {
		piece, err := b.Next()
		all = append(all, piece...)
		if len(all) > limit {
			return nil, fmt.Errorf("%w: body over %d bytes", ErrMalformed, limit)
		}
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Reader returns the body as a plain stream of bytes. Next returns complete chunks, because the chunks of a stream
// carry events; an endpoint list may come as one chunk of any size, which need not be buffered.
func (b *Body) Reader() io.Reader {
	if b.chunked {
		return &chunkReader{body: b}
	}
	return readerFunc(b.readUnchunked)
}

// readerFunc is a function as an io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// readUnchunked reads the next bytes of a body without chunks.
func (b *Body) readUnchunked(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if b.remaining > 0 {
		p = p[:min(b.remaining, int64(len(p)))]
	}
	n, err := b.reader.Read(p)
	if b.remaining > 0 {
		b.remaining -= int64(n)
		err = unexpectedEOF(err)
	}
	if n > 0 {
		err = nil // the next call returns it
	}
	return n, err
}

// readChunk reads the next chunk, with the line end that follows its bytes.
func (b *Body) readChunk() ([]byte, error) {
	size, err := b.readChunkSize()
	if err != nil {
		return nil, err
	}
	if size > maxChunkBytes {
		return nil, fmt.Errorf("%w: chunk length %x", ErrMalformed, size)
	}
	const lineEnd = "\r\n"
	total := int(size) + len(lineEnd)
	b.buf = b.buf[:0]
	for len(b.buf) < total {
		if len(b.buf) == cap(b.buf) {
			b.buf = append(b.buf, make([]byte, min(readBlockBytes, total))...)[:len(b.buf)]
		}
		n, err := b.reader.Read(b.buf[len(b.buf):min(cap(b.buf), total)])
		b.buf = b.buf[:len(b.buf)+n]
		if err != nil {
			return nil, unexpectedEOF(err)
		}
	}
	if string(b.buf[size:]) != lineEnd {
		return nil, errChunkOverrun
	}
	return b.buf[:size], nil
}

var errChunkOverrun = fmt.Errorf("%w: chunk does not fit its length", ErrMalformed)

// readChunkSize reads the line that begins a chunk. After the last chunk it reads the trailer, and the error is
// io.EOF.
func (b *Body) readChunkSize() (uint64, error) {
	line, err := b.readLine(maxChunkSizeLine)
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";") // an extension may follow
	size, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 32)
	if err != nil {
		return 0, fmt.Errorf("%w: chunk length %.20q", ErrMalformed, line)
	}
	if size == 0 {
		return 0, b.readTrailer()
	}
	return size, nil
}

// readTrailer reads what follows the last chunk. The error is io.EOF where it is well-formed.
func (b *Body) readTrailer() error {
	for read := 0; read <= maxTrailerBytes; {
		line, err := b.readLine(maxTrailerBytes)
		if err != nil {
			return err
		}
		if line == "" {
			return io.EOF
		}
		read += len(line)
	}
	return fmt.Errorf("%w: trailer", ErrMalformed)
}

// readChunkEnd reads the line end that follows a chunk's bytes.
func (b *Body) readChunkEnd() error {
	line, err := b.readLine(maxChunkSizeLine)
	if err != nil {
		return err
	}
	if line != "" {
		return errChunkOverrun
	}
	return nil
}

// readLine reads a line of at most limit bytes and returns it without its line end.
func (b *Body) readLine(limit int) (string, error) {
	line, err := b.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > limit {
		return "", fmt.Errorf("%w: line over %d bytes", ErrMalformed, limit)
	}
	if err != nil {
		return "", unexpectedEOF(err)
	}
	return strings.TrimSuffix(string(line[:len(line)-1]), "\r"), nil
}

// chunkReader reads a chunked body regardless of where its chunks end.
type chunkReader struct {
	body      *Body
	remaining uint64 // bytes of the current chunk that are still to be read
	err       error  // the end, once it has been reached
}

// Read reads bytes of one chunk. An error that comes with bytes is returned by the next call.
func (c *chunkReader) Read(p []byte) (int, error) {
	if len(p) == 0 || c.err != nil {
		return 0, c.err
	}
	if c.remaining == 0 {
		if c.remaining, c.err = c.body.readChunkSize(); c.err != nil {
			return 0, c.err
		}
	}
	n, err := c.body.reader.Read(p[:min(c.remaining, uint64(len(p)))])
	c.remaining -= uint64(n)
	if err != nil {
		c.err = unexpectedEOF(err)
	} else if c.remaining == 0 {
		c.err = c.body.readChunkEnd()
	}
	if n > 0 {
		return n, nil
	}
	return 0, c.err
}

// unexpectedEOF returns io.ErrUnexpectedEOF for io.EOF, which within a body is no orderly end, and other errors
// unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
