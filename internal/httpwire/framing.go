package httpwire

import (
	"bytes"
	"strconv"
	"strings"
)

// RequestFraming follows the bytes of a client's connection from request to request
// and tells where it is in doubt how long one is: there another request may be
// hidden in its body. It keeps a few bytes and copies none.
type RequestFraming struct {
	Ambiguity        string // what is in doubt; from then on nothing is followed
	CompleteHeads    int    // whole heads that have come
	CompleteRequests int    // whole requests

	state                 framingState
	line                  []byte // the line so far, no more than maxFramingLine bytes of it
	lineTruncated         bool   // it is longer
	requestLineSeen       bool   // the request line has been read
	http10                bool   // HTTP/1.0
	contentLength         string
	contentLengthCount    int
	transferEncodingCount int
	remaining             int64 // bytes of the body or chunk still to come
}

// framingState is where in a request the next byte belongs.
type framingState uint8

const (
	inHead framingState = iota
	inBody
	inChunkSize // the line of a chunk's length
	inChunk
	inChunkEnd // the line end behind a chunk
	inTrailer
)

// maxFramingLine is as much of a line as is looked at: a longer one is none of those
// that say how long a body is.
const maxFramingLine = 256

// Write takes the next bytes of the connection.
func (f *RequestFraming) Write(p []byte) {
	for len(p) > 0 && f.Ambiguity == "" {
		if f.state == inBody || f.state == inChunk {
			n := min(f.remaining, int64(len(p)))
			p = p[n:]
			if f.remaining -= n; f.remaining == 0 {
				f.endSection()
			}
			continue
		}
		i := bytes.IndexByte(p, '\n')
		some := p
		if i >= 0 {
			some = p[:i]
		}
		if f.lineTruncated = f.lineTruncated || len(f.line)+len(some) > maxFramingLine; !f.lineTruncated {
			f.line = append(f.line, some...)
		} else if room := maxFramingLine - len(f.line); room > 0 {
			f.line = append(f.line, some[:min(room, len(some))]...)
		}
		if i < 0 {
			return
		}
		p = p[i+1:]
		f.handleLine(strings.TrimSuffix(string(f.line), "\r"))
		f.line, f.lineTruncated = f.line[:0], false
	}
}

// RequestStarted tells whether anything has come of a further request than so many. An empty line is none of it.
func (f *RequestFraming) RequestStarted(requests int) bool {
	return f.CompleteHeads > requests || f.state == inHead && (f.requestLineSeen || len(f.line) > 0 && string(f.line) != "\r")
}

// endSection goes on behind a body or a chunk.
func (f *RequestFraming) endSection() {
	if f.state == inChunk {
		f.state = inChunkEnd
		return
	}
	*f = RequestFraming{line: f.line[:0], CompleteHeads: f.CompleteHeads, CompleteRequests: f.CompleteRequests + 1}
}

// handleLine takes a whole line.
func (f *RequestFraming) handleLine(line string) {
	switch f.state {
	case inHead:
		switch {
		case line == "" && !f.requestLineSeen: // an empty line before a request
		case line == "":
			f.endHead()
		case !f.requestLineSeen:
			f.requestLineSeen, f.http10 = true, f.lineTruncated || !strings.HasSuffix(line, " HTTP/1.1")
		default:
			f.handleHeader(line)
		}
	case inChunkSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
		switch {
		case err != nil || f.lineTruncated:
			f.Ambiguity = "chunk length"
		case n == 0:
			f.state = inTrailer
		default:
			f.state, f.remaining = inChunk, int64(n)
		}
	case inChunkEnd:
		if f.state = inChunkSize; line != "" {
			f.Ambiguity = "chunk longer than its length"
		}
	case inTrailer:
		if line == "" {
			f.endSection()
		}
	}
}

func (f *RequestFraming) handleHeader(line string) {
	if line[0] == ' ' || line[0] == '\t' { // folded: part of the line before
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

// endHead finds out what follows a head.
func (f *RequestFraming) endHead() {
	f.CompleteHeads++
	switch {
	case f.contentLengthCount+f.transferEncodingCount > 1:
		f.Ambiguity = "two lengths"
	case f.transferEncodingCount == 1 && f.http10:
		f.Ambiguity = "Transfer-Encoding before HTTP/1.1"
	case f.transferEncodingCount == 1:
		f.state = inChunkSize
	case f.contentLengthCount == 1:
		n, err := strconv.ParseUint(f.contentLength, 10, 62)
		if err != nil {
			f.Ambiguity = "Content-Length"
		} else if f.state, f.remaining = inBody, int64(n); n == 0 {
			f.endSection()
		}
	default:
		f.endSection()
	}
}
