package socket

import (
	"bytes"
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"archknot/choice"
	"archknot/internal/wire"
)

const loadHeader = "Srv-Load"

// Refusal tells what an answer other than 200 means. 'Never ran' only where the
// worker says so itself: a bare 503 may come from one that began. A 4xx speaks of
// the request: a worker that gives one is as good as before.
func Refusal(resp *http.Response) choice.Status {
	if (resp.StatusCode == http.StatusServiceUnavailable || resp.StatusCode == http.StatusGatewayTimeout) &&
		resp.Header.Get("Srv-Declined") == "1" {
		return choice.Shed
	}
	if resp.StatusCode >= 400 && resp.StatusCode < 500 {
		return choice.Rejected
	}
	return choice.Errored
}

// Load reads a load report: name=value pairs, of which unknown ones are skipped.
// One that cannot be read, or has a figure that no worker can have, counts for
// nothing at all: what else it says is as doubtful.
func Load(text string) choice.LoadReport {
	var r choice.LoadReport
	if len(text) > maxLoad {
		return r
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxFigure) {
			return choice.LoadReport{}
		}
		wire.SetLoad(&r, name, v)
	}
	if r.MemoryShare > maxShare || r.Utilization > maxShare {
		return choice.LoadReport{}
	}
	return r
}

// Bounds of a load report: its bytes, any figure (the largest are times in
// milliseconds), a share.
const (
	maxLoad   = 512
	maxFigure = 1e7
	maxShare  = 10
)

// HeaderLoad is the load report of an answer's head.
func HeaderLoad(h http.Header) choice.LoadReport { return Load(h.Get(loadHeader)) }

// maxLine bounds the line that Notes keeps: the two it looks for are short.
const maxLine = 4096

// Notes picks out of a stream of events, as they pass, what the worker says of
// itself: prompt tokens found kept, the answer's tokens, and its load.
type Notes struct {
	Kept   int
	Tokens int // of the answer
	Report choice.LoadReport
	line   []byte
	skip   bool // the line is too long to be one of ours
}

// Write takes the next bytes of the stream.
func (n *Notes) Write(p []byte) {
	for len(p) > 0 {
		i := bytes.IndexByte(p, '\n')
		part := p
		if i >= 0 {
			part = p[:i]
		}
		if n.skip = n.skip || len(n.line)+len(part) > maxLine; !n.skip {
			n.line = append(n.line, part...)
		}
		if i < 0 {
			return
		}
		if !n.skip {
			n.read(bytes.TrimSuffix(n.line, []byte("\r")))
		}
		n.line, n.skip = n.line[:0], false
		p = p[i+1:]
	}
}

func (n *Notes) read(line []byte) {
	if rest, ok := bytes.CutPrefix(line, []byte(": "+loadHeader+":")); ok {
		n.Report = Load(string(rest))
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
		n.Kept, n.Tokens = max(0, event.Usage.Details.Cached), max(0, event.Usage.Completion)
	}
}
