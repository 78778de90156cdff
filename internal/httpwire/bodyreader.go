package httpwire

import (
	"fmt"
	"io"
	"strconv"
	"strings"
)

// Reader returns the body as a plain stream of bytes. Next returns a chunk whole, because chunks of
// an answer's stream carry events; a list may come as one chunk of any size, which nobody has to
// hold. Either Next or the Reader is used on one Body, not both.
func (b *Body) Reader() io.Reader {
	if b.chunked {
		return &chunkReader{body: b}
	}
	return readerFunc(b.readPlain)
}

type readerFunc func(p []byte) (int, error)

func (f readerFunc) Read(p []byte) (int, error) { return f(p) }

// readPlain fills p from a body that is not in chunks.
func (b *Body) readPlain(p []byte) (int, error) {
	if b.remaining == 0 {
		return 0, io.EOF
	}
	if b.remaining > 0 {
		p = p[:min(b.remaining, int64(len(p)))]
	}
	n, err := b.reader.Read(p)
	if b.remaining > 0 {
		if b.remaining -= int64(n); err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
	}
	if n > 0 {
		err = nil
	}
	return n, err
}

// chunkReader reads a chunked body without regard to where its chunks end.
type chunkReader struct {
	body      *Body
	remaining uint64 // bytes of the current chunk that are still to come
	err       error  // the end, once it has been met
}

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
		return n, nil // an error is told by the next call
	}
	return 0, c.err
}

// readChunkSize reads the line that begins a chunk, and behind the last chunk the trailer: then the
// error is io.EOF.
func (b *Body) readChunkSize() (uint64, error) {
	line, err := b.readLine(maxChunkSizeLine)
	if err != nil {
		return 0, err
	}
	text, _, _ := strings.Cut(line, ";")
	size, err := strconv.ParseUint(strings.TrimSpace(text), 16, 32)
	if err != nil {
		return 0, fmt.Errorf("%w: chunk length %.20q", ErrMalformed, line)
	}
	if size == 0 {
		return 0, b.readTrailer()
	}
	return size, nil
}

// readTrailer reads what follows the last chunk. The error is io.EOF where it ends in order.
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

// readChunkEnd reads the line end behind a chunk's bytes.
func (b *Body) readChunkEnd() error {
	line, err := b.readLine(maxChunkSizeLine)
	if err != nil {
		return err
	}
	if line != "" {
		return fmt.Errorf("%w: chunk does not fit its length", ErrMalformed)
	}
	return nil
}
