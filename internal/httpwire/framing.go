package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// RequestFraming follows the bytes of a client's connection from request to request, and detects a request whose
// length is ambiguous: another request may be hidden in its body (request smuggling). It buffers at most
// maxFramingLine bytes. The zero value is ready to use.
type RequestFraming struct {
	Ambiguity        string // what is ambiguous, "" if nothing is; from then on the bytes are not followed
	CompleteHeads    int    // heads that have arrived
	CompleteRequests int    // requests that have arrived with their bodies

	state                 framingState
	line                  []byte // the current line, up to maxFramingLine bytes of it
	lineTruncated         bool   // the line is longer
	requestLineSeen       bool
	notHTTP11             bool // or something else than HTTP/1.1
	contentLength         string
	contentLengthCount    int
	transferEncodingCount int
	remaining             int64 // bytes of the body or chunk that have not arrived
}

// framingState is the part of a request that the next byte belongs to.
type framingState uint8

const (
	inHead framingState = iota // the lines up to the empty one
	inBody
	inChunkSize // the line of a chunk's length
	inChunk
	inChunkEnd // the line end after a chunk
	inTrailer
)

// maxFramingLine is how much of a line is inspected. No well-formed line that gives a body's length is longer.
const maxFramingLine = 256

// Write follows the next bytes of the connection.
func (f *RequestFraming) Write(p []byte) {
	for len(p) > 0 && f.Ambiguity == "" {
		if f.state == inBody || f.state == inChunk {
			n := min(f.remaining, int64(len(p)))
			p = p[n:]
			f.remaining -= n
			if f.remaining == 0 {
				f.endSection()
			}
			continue
		}
		part, remainder, lineComplete := bytes.Cut(p, []byte{'\n'})
		f.lineTruncated = f.lineTruncated || len(f.line)+len(part) > maxFramingLine
		room := maxFramingLine - len(f.line)
		f.line = append(f.line, part[:min(room, len(part))]...)
		if !lineComplete {
			return
		}
		p = remainder
		f.handleLine(strings.TrimSuffix(string(f.line), "\r"))
		f.line, f.lineTruncated = f.line[:0], false
	}
}

// RequestStarted reports whether anything has arrived of a further request after so many. An empty line before a
// request is not part of it.
func (f *RequestFraming) RequestStarted(preceding int) bool {
	return f.CompleteHeads > preceding || f.state == inHead && (f.requestLineSeen || len(f.line) > 0 && string(f.line) != "\r")
}

// endSection goes on after a chunk, or after the end of a request.
func (f *RequestFraming) endSection() {
	if f.state == inChunk {
		f.state = inChunkEnd
		return
	}
	*f = RequestFraming{line: f.line[:0], CompleteHeads: f.CompleteHeads, CompleteRequests: f.CompleteRequests + 1}
}

// handleLine advances the state by a complete line.
func (f *RequestFraming) handleLine(line string) {
	switch f.state {
	case inHead:
		f.handleHeadLine(line)
	case inChunkSize:
		f.handleChunkSize(line)
	case inChunkEnd:
		f.state = inChunkSize
		if line != "" {
			f.Ambiguity = "chunk longer than its length"
		}
	case inTrailer:
		if line == "" {
			f.endSection()
		}
	}
}

// handleHeadLine takes the request line, a header, or the empty line that ends a head.
func (f *RequestFraming) handleHeadLine(line string) {
	switch {
	case line == "" && !f.requestLineSeen: // an empty line before a request
	case line == "":
		f.endHead()
	case !f.requestLineSeen:
		f.requestLineSeen = true
		f.notHTTP11 = f.lineTruncated || !strings.HasSuffix(line, " HTTP/1.1")
	default:
		f.handleHeader(line)
	}
}

// handleChunkSize takes the line with a chunk's length.
func (f *RequestFraming) handleChunkSize(line string) {
	digits, _, _ := strings.Cut(line, ";") // an extension may follow
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 62)
	switch {
	case err != nil || f.lineTruncated:
		f.Ambiguity = "chunk length"
	case n == 0:
		f.state = inTrailer
	default:
		f.state, f.remaining = inChunk, int64(n)
	}
}

// handleHeader notes the headers that give the body's length.
func (f *RequestFraming) handleHeader(line string) {
	if line[0] == ' ' || line[0] == '\t' { // a continuation of the line before
		f.Ambiguity = "folded header"
		return
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		f.contentLengthCount++
		f.contentLength = value
		if f.lineTruncated {
			f.Ambiguity = "Content-Length"
		}
	case "transfer-encoding":
		f.transferEncodingCount++
		if !strings.EqualFold(value, "chunked") || f.lineTruncated {
			f.Ambiguity = "Transfer-Encoding"
		}
	}
}

// endHead determines what follows a head.
func (f *RequestFraming) endHead() {
	f.CompleteHeads++
	switch {
	case f.contentLengthCount+f.transferEncodingCount > 1:
		f.Ambiguity = "two lengths"
	case f.transferEncodingCount == 1 && f.notHTTP11:
		f.Ambiguity = "Transfer-Encoding before HTTP/1.1"
	case f.transferEncodingCount == 1:
		f.state = inChunkSize
	case f.contentLengthCount == 1:
		f.beginBody()
	default:
		f.endSection()
	}
}

// beginBody begins a body of the length that Content-Length gives.
func (f *RequestFraming) beginBody() {
	n, err := strconv.ParseUint(f.contentLength, 10, 62)
	if err != nil {
		f.Ambiguity = "Content-Length"
		return
	}
	f.state, f.remaining = inBody, int64(n)
	if n == 0 {
		f.endSection()
	}
}
