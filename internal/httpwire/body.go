package httpwire

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
)

// Limits of a chunked body, in bytes. The reader of package net/http accepts chunks of any size.
const (
	maxChunkBytes    = 64 << 10 // of a chunk that Next returns; a chunk holds one event, or a few
	maxChunkSizeLine = 256      // of the line with a chunk's size
	maxTrailerBytes  = 4 << 10
	// readBlockBytes is the size of one read from an unchunked body, and the step by which a chunk's buffer grows.
	readBlockBytes = 4096
)

// Body reads the body of a response incrementally, by either Next or the Reader, but not both.
type Body struct {
	reader    *bufio.Reader
	chunked   bool
	remaining int64 // unread bytes of an unchunked body; negative: the body ends with the connection
	buf       []byte
	onPartial func(chunk []byte) // may be nil
}

// NewBody returns the body that follows the head resp, which ReadHead has read from r.
func NewBody(r *bufio.Reader, resp *http.Response) *Body {
	return &Body{reader: r, chunked: len(resp.TransferEncoding) > 0, remaining: resp.ContentLength}
}

// OnPartialChunk makes Next call a function with the data of a chunk so far, whenever more of the chunk has arrived and it
// is not complete. The chunk may turn out to be malformed. The data is valid until the function returns.
func (b *Body) OnPartialChunk(call func(chunk []byte)) { b.onPartial = call }

// Delimited reports whether a length or the chunked encoding marks the body's end. Otherwise the body ends with
// the connection, and a complete body cannot be told from a truncated one.
func (b *Body) Delimited() bool { return b.chunked || b.remaining >= 0 }

// Next returns the next part of the body, valid until the next call, and io.EOF at the end. A chunk is returned
// as a whole, once it has arrived and matches its size; no part of a malformed chunk is returned. OnPartialChunk gives
// its parts earlier. The buffer grows with the bytes received, not with the size that the chunk's first line announces.
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

// ReadAll reads the complete body. A body of more than limit bytes is an ErrMalformed.
func (b *Body) ReadAll(limit int) ([]byte, error) {
	var all []byte
	for {
		piece, err := b.Next()
		all = append(all, piece...)
		if len(all) > limit {
			return nil, fmt.Errorf("%w: body exceeds %d bytes", ErrMalformed, limit)
		}
		if errors.Is(err, io.EOF) {
			return all, nil
		}
		if err != nil {
			return nil, err
		}
	}
}

// Reader returns the body as a stream of bytes. Unlike Next, which buffers whole chunks because the chunks of an
// event stream carry events, it accepts chunks of any size: an endpoint list may arrive as a single chunk.
func (b *Body) Reader() io.Reader {
	if b.chunked {
		return &chunkReader{body: b}
	}
	return readerFunc(b.readUnchunked)
}

// readerFunc adapts a function to io.Reader.
type readerFunc func(p []byte) (int, error)

// Read implements io.Reader.
func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// readUnchunked reads the next bytes of an unchunked body.
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

// readChunk reads the next chunk and the line end that follows its data.
func (b *Body) readChunk() ([]byte, error) {
	size, err := b.readChunkSize()
	if err != nil {
		return nil, err
	}
	if size > maxChunkBytes {
		return nil, fmt.Errorf("%w: chunk size 0x%x exceeds the limit", ErrMalformed, size)
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
		if b.onPartial != nil && len(b.buf) < total {
			b.onPartial(b.buf[:min(len(b.buf), int(size))])
		}
	}
	if string(b.buf[size:]) != lineEnd {
		return nil, errChunkOverrun
	}
	return b.buf[:size], nil
}

var errChunkOverrun = fmt.Errorf("%w: chunk data longer than the chunk size", ErrMalformed)

// readChunkSize reads the line with the size of the next chunk. At the last chunk, of size 0, it reads the trailer
// and returns io.EOF.
func (b *Body) readChunkSize() (uint64, error) {
	line, err := b.readLine(maxChunkSizeLine)
	if err != nil {
		return 0, err
	}
	digits, _, _ := strings.Cut(line, ";") // an extension may follow
	size, err := strconv.ParseUint(strings.TrimRight(digits, " \t"), 16, 32)
	if err != nil {
		return 0, fmt.Errorf("%w: invalid chunk size %.20q", ErrMalformed, line)
	}
	if size == 0 {
		return 0, b.readTrailer()
	}
	return size, nil
}

// readTrailer reads the trailer that follows the last chunk. It returns io.EOF if the trailer is well-formed. What
// isn't is taken for the data of a chunk whose size is wrong, so that the body isn't taken for complete.
func (b *Body) readTrailer() error {
	var fields strings.Builder
	for fields.Len() <= maxTrailerBytes {
		line, err := b.readLineCRLF(maxTrailerBytes)
		if err != nil {
			return err
		}
		fields.WriteString(line + "\r\n")
		if line == "" {
			return checkTrailer(fields.String())
		}
	}
	return fmt.Errorf("%w: trailer exceeds the limit", ErrMalformed)
}

// eventStreamFields are the fields of an event stream. Their lines look like those of a trailer.
var eventStreamFields = []string{"Data", "Event", "Id", "Retry"}

// checkTrailer returns io.EOF for the lines of a well-formed trailer, and otherwise an ErrMalformed.
func checkTrailer(lines string) error {
	if strings.HasPrefix(lines, " ") || strings.HasPrefix(lines, "\t") || strings.Contains(lines, "\n ") || strings.Contains(lines, "\n\t") {
		return fmt.Errorf("%w: folded line in the trailer", ErrMalformed)
	}
	fields, err := textproto.NewReader(bufio.NewReader(strings.NewReader(lines))).ReadMIMEHeader()
	if err != nil {
		return fmt.Errorf("%w: trailer: %s", ErrMalformed, err.Error())
	}
	for _, name := range eventStreamFields {
		if _, found := fields[name]; found {
			return fmt.Errorf("%w: an event in place of the trailer", ErrMalformed)
		}
	}
	return io.EOF
}

// readChunkEnd reads the line end that follows a chunk's data.
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
	line, err := b.readRawLine(limit)
	return strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r"), err
}

// readLineCRLF is like readLine, but the line must end with CRLF. An event's lines end with LF.
func (b *Body) readLineCRLF(limit int) (string, error) {
	line, err := b.readRawLine(limit)
	if err != nil {
		return "", err
	}
	text, found := strings.CutSuffix(line, "\r\n")
	if !found {
		return "", fmt.Errorf("%w: line of the trailer without CRLF", ErrMalformed)
	}
	return text, nil
}

// readRawLine reads a line of at most limit bytes with its line end.
func (b *Body) readRawLine(limit int) (string, error) {
	line, err := b.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) || len(line) > limit {
		return "", fmt.Errorf("%w: line exceeds %d bytes", ErrMalformed, limit)
	}
	if err != nil {
		return "", unexpectedEOF(err)
	}
	return string(line), nil
}

// chunkReader reads a chunked body as a stream, without regard to chunk boundaries.
type chunkReader struct {
	body      *Body
	remaining uint64 // unread bytes of the current chunk
	err       error  // the first error, or io.EOF; each later Read returns it
}

// Read reads from the current chunk only. An error that occurs after some bytes is returned by the next call.
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

// unexpectedEOF converts io.EOF to io.ErrUnexpectedEOF, because within a body it means truncation, and returns other
// errors unchanged.
func unexpectedEOF(err error) error {
	if errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}
	return err
}
