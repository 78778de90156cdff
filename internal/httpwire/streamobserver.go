package httpwire

import (
	"bytes"
	"encoding/json"

	"archknot/balancer"
)

// maxObservedLine bounds the line that a StreamObserver buffers, in bytes. The lines that it parses are shorter.
const maxObservedLine = 4096

// StreamObserver extracts the request's token usage and the replica's load report from a stream of events that is
// forwarded. The zero value is ready to use.
type StreamObserver struct {
	CachedTokens int // prompt tokens that the replica had cached
	OutputTokens int
	EventCount   int // events so far, by the empty lines that end them
	Report       balancer.LoadReport

	line     []byte
	skipLine bool // the current line is longer than maxObservedLine
}

// Write parses the next bytes of the stream.
func (o *StreamObserver) Write(p []byte) {
	for len(p) > 0 {
		part, remainder, lineComplete := bytes.Cut(p, []byte{'\n'})
		o.skipLine = o.skipLine || len(o.line)+len(part) > maxObservedLine
		if !o.skipLine {
			o.line = append(o.line, part...)
		}
		if !lineComplete {
			return
		}
		if !o.skipLine {
			o.observeLine(bytes.TrimSuffix(o.line, []byte("\r")))
		}
		o.line, o.skipLine = o.line[:0], false
		p = remainder
	}
}

// InLine reports whether the bytes so far end within a line, so that the stream is not complete. A comment's line doesn't
// count, since it is not part of an event.
func (o *StreamObserver) InLine() bool {
	return o.skipLine || len(o.line) > 0 && o.line[0] != ':'
}

// observeLine parses the load report in a comment line, or the usage in a data line.
func (o *StreamObserver) observeLine(line []byte) {
	if len(line) == 0 {
		o.EventCount++
		return
	}
	if report, ok := bytes.CutPrefix(line, []byte(": "+headerLoadReport+":")); ok {
		o.Report = ParseLoadReport(string(report))
		return
	}
	data, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok || !bytes.Contains(data, []byte(`"cached_tokens"`)) {
		return
	}
	var event struct {
		Usage struct {
			CompletionTokens    int `json:"completion_tokens"`
			PromptTokensDetails struct {
				CachedTokens int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(data, &event) != nil {
		return // not the usage; the content of other events is not validated
	}
	o.CachedTokens = max(0, event.Usage.PromptTokensDetails.CachedTokens)
	o.OutputTokens = max(0, event.Usage.CompletionTokens)
}
