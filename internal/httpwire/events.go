package httpwire

import "bytes"

// EndsEvent reports whether b ends with the empty line that ends an event of a stream.
func EndsEvent(b []byte) bool {
	return bytes.HasSuffix(b, []byte("\n\n")) || bytes.HasSuffix(b, []byte("\n\r\n")) || bytes.HasSuffix(b, []byte("\r\r"))
}

// eventFieldNames are the names of the fields of an event.
var eventFieldNames = [][]byte{[]byte("data"), []byte("event"), []byte("id"), []byte("retry")}

// CompleteEvents returns the length of the events that are complete at the beginning of the data of a chunk that is
// still arriving. It stops at a line that no event has, since the data may turn out to be longer than the chunk. inLine
// reports that the data begins within a line.
func CompleteEvents(data []byte, inLine bool) (length int) {
	inEvent := inLine
	for position := 0; ; {
		size := bytes.IndexByte(data[position:], '\n') + 1
		if size == 0 {
			return length
		}
		line := bytes.TrimSuffix(data[position:position+size-1], []byte("\r"))
		position += size
		switch {
		case len(line) == 0 && inEvent:
			length, inEvent = position, false
		case len(line) == 0: // not part of an event
		case !inLine && !isEventLine(line):
			return length
		default:
			inEvent = true
		}
		inLine = false
	}
}

// isEventLine reports whether a line is a comment or a field of an event.
func isEventLine(line []byte) bool {
	name, _, _ := bytes.Cut(line, []byte{':'})
	if len(name) == 0 {
		return true
	}
	for _, known := range eventFieldNames {
		if bytes.Equal(name, known) {
			return true
		}
	}
	return false
}
