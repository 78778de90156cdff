package socket

import (
	"bytes"
	"strconv"
	"strings"
)

// Framing follows the bytes of a client's connection from request to request
// and tells where it is in doubt how long one is: there another request may be
// hidden in its body. It keeps a few bytes and copies none.
type Framing struct {
	Doubt string // what is in doubt; from then on nothing is followed
	Heads int    // whole heads that have come
	Ends  int    // whole requests

	at      part
	line    []byte // the line so far, no more than framingLine bytes of it
	long    bool   // it is longer
	start   bool   // the request line has been read
	old     bool   // HTTP/1.0
	length  string
	lengths int
	chunked int
	left    int64 // bytes of the body or chunk still to come
}

// part is where in a request the next byte belongs.
type part uint8

const (
	inHead part = iota
	inBody
	inSize // the line of a chunk's length
	inChunk
	inChunkEnd // the line end behind a chunk
	inTrailer
)

// framingLine is as much of a line as is looked at: a longer one is none of those
// that say how long a body is.
const framingLine = 256

// Write takes the next bytes of the connection.
func (f *Framing) Write(p []byte) {
	for len(p) > 0 && f.Doubt == "" {
		if f.at == inBody || f.at == inChunk {
			n := min(f.left, int64(len(p)))
			p = p[n:]
			if f.left -= n; f.left == 0 {
				f.next()
			}
			continue
		}
		i := bytes.IndexByte(p, '\n')
		some := p
		if i >= 0 {
			some = p[:i]
		}
		if f.long = f.long || len(f.line)+len(some) > framingLine; !f.long {
			f.line = append(f.line, some...)
		} else if room := framingLine - len(f.line); room > 0 {
			f.line = append(f.line, some[:min(room, len(some))]...)
		}
		if i < 0 {
			return
		}
		p = p[i+1:]
		f.take(strings.TrimSuffix(string(f.line), "\r"))
		f.line, f.long = f.line[:0], false
	}
}

// Begun tells whether anything has come of a further request than so many. An empty line is none of it.
func (f *Framing) Begun(requests int) bool {
	return f.Heads > requests || f.at == inHead && (f.start || len(f.line) > 0 && string(f.line) != "\r")
}

// next goes on behind a body or a chunk.
func (f *Framing) next() {
	if f.at == inChunk {
		f.at = inChunkEnd
		return
	}
	*f = Framing{line: f.line[:0], Heads: f.Heads, Ends: f.Ends + 1}
}

// take takes a whole line.
func (f *Framing) take(line string) {
	switch f.at {
	case inHead:
		switch {
		case line == "" && !f.start: // an empty line before a request
		case line == "":
			f.body()
		case !f.start:
			f.start, f.old = true, f.long || !strings.HasSuffix(line, " HTTP/1.1")
		default:
			f.header(line)
		}
	case inSize:
		size, _, _ := strings.Cut(line, ";")
		n, err := strconv.ParseUint(strings.TrimSpace(size), 16, 62)
		switch {
		case err != nil || f.long:
			f.Doubt = "chunk length"
		case n == 0:
			f.at = inTrailer
		default:
			f.at, f.left = inChunk, int64(n)
		}
	case inChunkEnd:
		if f.at = inSize; line != "" {
			f.Doubt = "chunk longer than its length"
		}
	case inTrailer:
		if line == "" {
			f.next()
		}
	}
}

func (f *Framing) header(line string) {
	if line[0] == ' ' || line[0] == '\t' { // folded: part of the line before
		f.Doubt = "folded header"
		return
	}
	name, value, _ := strings.Cut(line, ":")
	value = strings.TrimSpace(value)
	switch strings.ToLower(strings.TrimSpace(name)) {
	case "content-length":
		f.lengths++
		f.length = value
		if f.long {
			f.Doubt = "Content-Length"
		}
	case "transfer-encoding":
		f.chunked++
		if !strings.EqualFold(value, "chunked") || f.long {
			f.Doubt = "Transfer-Encoding"
		}
	}
}

// body finds out what follows a head.
func (f *Framing) body() {
	f.Heads++
	switch {
	case f.lengths+f.chunked > 1:
		f.Doubt = "two lengths"
	case f.chunked == 1 && f.old:
		f.Doubt = "Transfer-Encoding before HTTP/1.1"
	case f.chunked == 1:
		f.at = inSize
	case f.lengths == 1:
		n, err := strconv.ParseUint(f.length, 10, 62)
		if err != nil {
			f.Doubt = "Content-Length"
		} else if f.at, f.left = inBody, int64(n); n == 0 {
			f.next()
		}
	default:
		f.next()
	}
}
