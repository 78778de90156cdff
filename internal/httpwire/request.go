package httpwire

import (
	"bytes"
	"errors"
	"fmt"
	"hash/fnv"
	"math"
	"net/http"
	"strconv"
	"strings"

	"archknot/balancer"
)

// The paths of HTTP calls to replicas and to discovery.
const (
	CompletionsPath = "/v1/chat/completions"
	ReadyPath       = "/health/ready"
	LivePath        = "/health/live"
	StatsPath       = "/stats"
	ListPath        = "/registry/instances" // of discovery
)

// Headers of a client's request.
const (
	headerRequestID = "Req-Id"
	headerClass     = "Req-Kind"
	headerTenant    = "Req-Owner"
	headerSession   = "Req-Key"
	headerDeadline  = "Req-Deadline"
	headerExtra     = "Req-Extra"
)

// requestHeaders are the headers that a request may contain at most once.
var requestHeaders = []string{headerRequestID, headerClass, headerTenant, headerSession, headerDeadline, headerExtra}

const (
	// MaxBodyBytes bounds the body of a client's request, in bytes.
	MaxBodyBytes = 256 << 10
	// maxRequestIDLength bounds a Req-Id, in bytes.
	maxRequestIDLength = 128
	// maxTokenCount bounds a length in tokens, far above what a replica can hold. Lengths are given by clients
	// unverified, and the balancer adds them to its load sums.
	maxTokenCount = 10_000_000
	// bytesPerToken is the size of a token that the protocol assumes.
	bytesPerToken = 4
	// maxDeadlineUs bounds Req-Deadline, in microseconds.
	maxDeadlineUs = math.MaxInt32 * 1000.0
	// keyDigits is the length of a key in hexadecimal digits that is used as a number without hashing.
	keyDigits = 16
)

// unknownPromptTokens is the length of a prompt that the client has not specified.
const unknownPromptTokens = -1

// ClientRequest is a client's request as its headers describe it.
type ClientRequest struct {
	ID      string           // the client's Req-Id
	Timeout balancer.Micros  // how long the client waits after sending the request; 0: not specified
	Request balancer.Request // the fields that headers determine; ID and TimeLeft are not set
}

// ParseRequest parses the headers of a client's request. The error's text is sent to the client.
func ParseRequest(h http.Header) (ClientRequest, error) {
	var parsed ClientRequest
	for _, name := range requestHeaders {
		if len(h.Values(name)) > 1 {
			return parsed, fmt.Errorf("%s: given more than once", name)
		}
	}
	parsed.ID = h.Get(headerRequestID)
	if parsed.ID == "" {
		return parsed, errors.New("Req-Id: missing")
	}
	if len(parsed.ID) > maxRequestIDLength || strings.ContainsFunc(parsed.ID, isInvisible) {
		return parsed, fmt.Errorf("Req-Id: expected up to %d visible characters", maxRequestIDLength)
	}
	if deadlines := h.Values(headerDeadline); len(deadlines) > 0 {
		var err error
		if parsed.Timeout, err = parseDeadline(deadlines[0]); err != nil {
			return parsed, err
		}
	}
	parsed.Request = balancer.Request{
		Class:        h.Get(headerClass),
		Tenant:       h.Get(headerTenant),
		Session:      keyNumber(h.Get(headerSession)),
		PromptTokens: unknownPromptTokens,
	}
	return parsed, parsed.parseExtra(h.Get(headerExtra))
}

// isInvisible reports whether c is anything but a visible ASCII character.
func isInvisible(c rune) bool { return c <= ' ' || c > '~' }

// EstimatePrompt sets the prompt's length, by an estimate from the body's length, if the client has not specified it.
func (c *ClientRequest) EstimatePrompt(bodyBytes int) {
	if c.Request.PromptTokens == unknownPromptTokens {
		c.Request.PromptTokens = bodyBytes / bytesPerToken
	}
}

// parseDeadline parses a duration with a unit, m for milliseconds or u for microseconds: 4800m or 4800000u.
func parseDeadline(text string) (balancer.Micros, error) {
	number, unit := strings.TrimSuffix(text, "u"), balancer.Micros(1)
	if number == text {
		number, unit = strings.TrimSuffix(text, "m"), 1000
	}
	n, err := strconv.ParseFloat(number, 64)
	isDecimal := number != text && strings.Trim(number, "0123456789.") == "" && err == nil
	if !isDecimal || !(n > 0) || n*float64(unit) > maxDeadlineUs {
		return 0, fmt.Errorf("Req-Deadline: expected a number above 0 and its unit m or u, got %.40q", text)
	}
	return balancer.Micros(n * float64(unit)), nil
}

// parseExtra parses Req-Extra, the properties of the prompt: a comma-separated list of name=value pairs. Unknown
// names are ignored.
func (c *ClientRequest) parseExtra(text string) error {
	if text == "" {
		return nil
	}
	r := &c.Request
	lengths := map[string]*int{
		"prompt_len": &r.PromptTokens,
		"prefix_len": &r.PrefixTokens,
		"max_out":    &r.MaxTokens,
	}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return fmt.Errorf("Req-Extra: expected name=value pairs, got %.40q", pair)
		}
		if name == "prefix" {
			r.Prefix = keyNumber(value)
			continue
		}
		length := lengths[name]
		if length == nil {
			continue
		}
		n, err := strconv.ParseUint(value, 10, 31)
		if err != nil || n > maxTokenCount {
			return fmt.Errorf("Req-Extra: %s: expected a whole number up to %d, got %.40q", name, maxTokenCount, value)
		}
		*length = int(n)
	}
	return nil
}

// keyNumber converts a key to a number: the value of 16 hexadecimal digits, as the simulator's protocol has them, or a
// hash of any other key, which is the same at every gateway. 0 means that there is no key.
func keyNumber(text string) uint64 {
	if text == "" || text == "-" {
		return 0
	}
	if v, err := strconv.ParseUint(text, 16, 64); err == nil && len(text) == keyDigits {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// excludedHeaders are not forwarded to a replica: they concern the client's connection, or the gateway sets them.
var excludedHeaders = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Connection":    true,
	"Proxy-Authorization": true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
	"Accept-Encoding":     true,
	"Content-Length":      true,
	"Req-Deadline":        true,
	"Host":                true,
}

// ForwardedHead returns the head of the request that is sent to a replica. Method, path, query and headers are those
// of r, except for excludedHeaders. Req-Deadline is set to timeout, the time that the gateway waits for the replica.
func ForwardedHead(r *http.Request, bodyLen int, timeout balancer.Micros) []byte {
	var b bytes.Buffer
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, target, r.Host)
	_ = r.Header.WriteSubset(&b, excludedHeaders) // writing to a bytes.Buffer does not fail
	fmt.Fprintf(&b, "Req-Deadline: %du\r\nContent-Length: %d\r\n\r\n", max(1, timeout), bodyLen)
	return b.Bytes()
}

// FormatRetryAfter formats a duration as the value of a Retry-After header, in seconds with three decimals.
func FormatRetryAfter(d balancer.Micros) string {
	return strconv.FormatFloat(float64(d)/1e6, 'f', 3, 64)
}
