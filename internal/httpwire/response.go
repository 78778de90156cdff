package httpwire

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"archknot/balancer"
	"archknot/internal/simwire"
)

const loadReportHeader = "Srv-Load"

// StatusOf tells what an answer other than 200 means. 'Never ran' only where the
// worker says so itself: a bare 503 may come from one that began. A 4xx speaks of
// the request: a worker that gives one is as good as before.
func StatusOf(resp *http.Response) balancer.Status {
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Srv-Declined") == "1" {
		return balancer.Shed
	}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return balancer.Rejected
	}
	return balancer.Errored
}

// ParseLoadReport reads a load report: name=value pairs, of which unknown ones are skipped.
// One that cannot be read, or has a figure that no worker can have, counts for
// nothing at all: what else it says is as doubtful.
func ParseLoadReport(text string) balancer.LoadReport {
	var r balancer.LoadReport
	if len(text) > maxReportBytes {
		return r
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxReportValue) {
			return balancer.LoadReport{}
		}
		simwire.SetReportField(&r, name, v)
	}
	if r.MemoryShare > maxReportShare || r.Utilization > maxReportShare {
		return balancer.LoadReport{}
	}
	return r
}

// Bounds of a load report: its bytes, any figure (the largest are times in
// milliseconds), a share.
const (
	maxReportBytes = 512
	maxReportValue = 1e7
	maxReportShare = 10
)

// LoadReportOf is the load report of an answer's head.
func LoadReportOf(h http.Header) balancer.LoadReport { return ParseLoadReport(h.Get(loadReportHeader)) }

// maxObservedLine bounds the line that Notes keeps: the two it looks for are short.
const maxObservedLine = 4096

// StreamObserver picks out of a stream of events, as they pass, what the worker says of
// itself: prompt tokens found kept, the answer's tokens, and its load.
type StreamObserver struct {
	CachedTokens int
	OutputTokens int // of the answer
	Report       balancer.LoadReport
	line         []byte
	skipLine     bool // the line is too long to be one of ours
}

// Write takes the next bytes of the stream.
func (n *StreamObserver) Write(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		part := p
		if i >= 0 {
			part = p[:i]
		}
		if n.skipLine = n.skipLine || len(n.line)+len(part) > maxObservedLine; !n.skipLine {
			n.line = append(n.line, part...)
		}
		if i < 0 {
			return
		}
		if !n.skipLine {
			n.observeLine(bytes.TrimSuffix(n.line, []byte("\r")))
		}
		n.line, n.skipLine = n.line[:0], false
		p = p[i+1:]
	}
}

func (n *StreamObserver) observeLine(line []byte) {
	if rest, ok := bytes.CutPrefix(line, []byte(": "+loadReportHeader+":")); ok {
		n.Report = ParseLoadReport(string(rest))
		return
	}
	rest, ok := bytes.CutPrefix(line, []byte("data:"))
	if !ok || !bytes.Contains(rest, []byte(`"cached_tokens"`)) {
		return
	}
	var event struct {
		Usage struct {
			Completion int `json:"completion_tokens"`
			Details    struct {
				Cached int `json:"cached_tokens"`
			} `json:"prompt_tokens_details"`
		} `json:"usage"`
	}
	if json.Unmarshal(rest, &event) == nil {
		n.CachedTokens, n.OutputTokens = max(0, event.Usage.Details.Cached), max(0, event.Usage.Completion)
	}
}
