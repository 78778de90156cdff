package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// RequestFraming parses where the requests on a client's connection begin and end. It detects a request of ambiguous
// length, whose body may hide another request (request smuggling). It buffers at most maxFramingLine bytes. The zero
// value is ready to use.
type RequestFraming struct {
	Ambiguity        string // why a length is ambiguous; "" if none is. Once it is set, Write ignores all bytes
	TooManyFields    bool   // a head, with its trailer, has more than MaxHeadFields fields. Once it is set, Write accepts no bytes
	HeadBytes        int    // bytes so far of the head, and trailer, of the request that is arriving
	CompleteHeads    int    // request heads that have arrived
	CompleteRequests int    // requests whose heads and bodies have arrived

	state                 framingState
	line                  []byte // the first maxFramingLine bytes of the current line
	lineTruncated         bool   // the current line exceeds maxFramingLine
	requestLineSeen       bool
	notHTTP11             bool // the request line was truncated or does not end with HTTP/1.1
	contentLength         string
	contentLengthCount    int
	transferEncodingCount int
	fieldCount            int
	remaining             int64 // bytes of the body or chunk that have not arrived yet
}

// framingState is the section of a request that the next byte belongs to.
type framingState uint8

const (
	inHead framingState = iota // the request line and the headers, up to the empty line
	inBody
	inChunkSize // the line with a chunk's size
	inChunk
	inChunkEnd // the line end after a chunk's data
	inTrailer
)

// MaxHeadFields bounds the fields of a request's head. In memory a field takes many times the bytes of its line, if that
// is short.
const MaxHeadFields = 100

// maxFramingLine is the number of bytes of a line that are parsed. No well-formed line that gives a body's length is
// longer.
const maxFramingLine = 256

// Write parses the next bytes of the connection, and returns how many of them may be served: those before the line with
// the first field beyond MaxHeadFields.
func (f *RequestFraming) Write(p []byte) (accepted int) {
	total := len(p)
	if f.TooManyFields {
		return 0
	}
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
		if f.state == inHead || f.state == inTrailer {
			f.HeadBytes += len(part)
		}
		if !lineComplete {
			return total
		}
		lineStart := total - len(p)
		p = remainder
		f.handleLine(strings.TrimSuffix(string(f.line), "\r"))
		f.line, f.lineTruncated = f.line[:0], false
		if f.TooManyFields {
			return lineStart
		}
	}
	if f.Ambiguity != "" { // the server still parses the rest of the head, of which each line may be a field
		f.fieldCount += bytes.Count(p, []byte{'\n'})
		f.TooManyFields = f.fieldCount > MaxHeadFields
	}
	if f.TooManyFields {
		return total - len(p)
	}
	return total
}

// RequestStarted reports whether any part has arrived of the request that follows the given number of preceding
// ones. An empty line before a request is not part of it.
func (f *RequestFraming) RequestStarted(preceding int) bool {
	return f.CompleteHeads > preceding || f.state == inHead && (f.requestLineSeen || len(f.line) > 0 && string(f.line) != "\r")
}

// endSection handles the end of a chunk's data, or else the end of a request.
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
			f.Ambiguity = "chunk data longer than the chunk size"
		}
	case inTrailer:
		f.handleTrailerLine(line)
	}
}

// handleTrailerLine handles a field of the trailer, or the empty line that ends it.
func (f *RequestFraming) handleTrailerLine(line string) {
	switch {
	case line == "":
		f.endSection()
	case f.fieldCount == MaxHeadFields:
		f.TooManyFields = true
	default:
		f.fieldCount++
	}
}

// handleHeadLine handles the request line, a header, or the empty line that ends a head.
func (f *RequestFraming) handleHeadLine(line string) {
	switch {
	case line == "" && !f.requestLineSeen: // an empty line before a request
	case line == "":
		f.endHead()
	case !f.requestLineSeen:
		f.requestLineSeen = true
		f.notHTTP11 = f.lineTruncated || !strings.HasSuffix(line, " HTTP/1.1")
	case f.fieldCount == MaxHeadFields:
		f.TooManyFields = true
	default:
		f.fieldCount++
		f.handleHeader(line)
	}
}

// handleChunkSize handles the line with a chunk's size.
func (f *RequestFraming) handleChunkSize(line string) {
	digits, _, _ := strings.Cut(line, ";") // an extension may follow
	n, err := strconv.ParseUint(strings.TrimSpace(digits), 16, 62)
	switch {
	case err != nil || f.lineTruncated:
		f.Ambiguity = "invalid chunk size"
	case n == 0:
		f.state = inTrailer
	default:
		f.state, f.remaining = inChunk, int64(n)
	}
}

// handleHeader records the headers that give the body's length.
func (f *RequestFraming) handleHeader(line string) {
	if line[0] == ' ' || line[0] == '\t' { // a continuation of the previous line
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
			f.Ambiguity = "invalid Content-Length"
		}
	case "transfer-encoding":
		f.transferEncodingCount++
		if !strings.EqualFold(value, "chunked") || f.lineTruncated {
			f.Ambiguity = "unsupported Transfer-Encoding"
		}
	}
}

// endHead handles the end of a head: it selects the framing of the body, or detects an ambiguous one.
func (f *RequestFraming) endHead() {
	f.CompleteHeads++
	switch {
	case f.contentLengthCount+f.transferEncodingCount > 1:
		f.Ambiguity = "more than one Content-Length or Transfer-Encoding"
	case f.transferEncodingCount == 1 && f.notHTTP11:
		f.Ambiguity = "Transfer-Encoding in a request that is not HTTP/1.1"
	case f.transferEncodingCount == 1:
		f.state = inChunkSize
	case f.contentLengthCount == 1:
		f.beginBody()
	default:
		f.endSection()
	}
}

// beginBody begins the body, whose length is given by Content-Length.
func (f *RequestFraming) beginBody() {
	n, err := strconv.ParseUint(f.contentLength, 10, 62)
	if err != nil {
		f.Ambiguity = "invalid Content-Length"
		return
	}
	f.state, f.remaining = inBody, int64(n)
	if n == 0 {
		f.endSection()
	}
}
