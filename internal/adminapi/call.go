package adminapi

import (
	"net/http"
	"net/url"
	"strings"
	"sync/atomic"
)

// pathPrefix is the prefix of every call's path.
const pathPrefix = "/-/"

// callKind identifies the operation that a call requests.
type callKind uint8

const (
	callReady callKind = iota
	callDisable
	callEnable
	callDrain
	callResume
	callOther         // requests that are not valid calls
	callKindCount int = iota
)

// String returns the call's name in paths, log lines and metrics.
func (k callKind) String() string {
	return [...]string{"ready", "disable", "enable", "drain", "resume", "other"}[k]
}

// call is one parsed request.
type call struct {
	kind    callKind
	replica string // id; "" for calls about the gateway itself
}

// parseCall parses a request. If the request is not a valid call, status is the status code of the
// response; otherwise it is 0.
func parseCall(r *http.Request) (c call, status int) {
	path, ok := strings.CutPrefix(r.URL.EscapedPath(), pathPrefix)
	if !ok {
		return call{kind: callOther}, http.StatusNotFound
	}
	c, status = parsePath(path)
	if status != 0 {
		return call{kind: callOther}, status
	}
	method := http.MethodPut
	if c.kind == callReady {
		method = http.MethodGet
	}
	if r.Method != method {
		return call{kind: callOther}, http.StatusMethodNotAllowed
	}
	return c, 0
}

// parsePath parses the escaped path that follows pathPrefix.
func parsePath(path string) (c call, status int) {
	switch path {
	case callReady.String():
		return call{kind: callReady}, 0
	case callDrain.String():
		return call{kind: callDrain}, 0
	case callResume.String():
		return call{kind: callResume}, 0
	}
	parts := strings.Split(path, "/")
	if len(parts) != 3 || parts[0] != "replicas" {
		return call{}, http.StatusNotFound
	}
	switch parts[2] {
	case callDisable.String():
		c.kind = callDisable
	case callEnable.String():
		c.kind = callEnable
	default:
		return call{}, http.StatusNotFound
	}
	id, err := url.PathUnescape(parts[1])
	if err != nil || id == "" {
		return call{}, http.StatusBadRequest
	}
	c.replica = id
	return c, 0
}

// CallCounts counts the answered calls by kind and outcome. The zero value is ready to use, and any
// goroutine may use it.
type CallCounts struct{ succeeded, failed [callKindCount]atomic.Int64 }

func (c *CallCounts) add(kind callKind, succeeded bool) {
	if succeeded {
		c.succeeded[kind].Add(1)
	} else {
		c.failed[kind].Add(1)
	}
}

// Each calls visit twice for each kind of call, in a fixed order: with the number of successful calls and
// with that of failed calls.
func (c *CallCounts) Each(visit func(call string, succeeded bool, n int64)) {
	for i := range callKindCount {
		name := callKind(i).String()
		visit(name, true, c.succeeded[i].Load())
		visit(name, false, c.failed[i].Load())
	}
}
