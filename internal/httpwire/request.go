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

// Paths of the protocol.
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

// requestHeaders may each be given once.
var requestHeaders = []string{headerRequestID, headerClass, headerTenant, headerSession, headerDeadline, headerExtra}

const (
	// MaxBodyBytes bounds the body of a client's request.
	MaxBodyBytes = 256 << 10
	// maxRequestIDLength bounds a Req-Id, in bytes.
	maxRequestIDLength = 128
	// maxTokenCount is far above any length in tokens that a replica can hold. Lengths are a client's claim and
	// weigh in the balancer's sums.
	maxTokenCount = 10_000_000
	// bytesPerToken is the protocol's size of a token.
	bytesPerToken = 4
	// maxDeadlineUs bounds Req-Deadline.
	maxDeadlineUs = math.MaxInt32 * 1000.0
	// keyDigits is the number of hexadecimal digits of a key that is a number already.
	keyDigits = 16
)

// unknownPromptTokens is the length of a prompt whose client has not given it.
const unknownPromptTokens = -1

// ClientRequest is a client's request as its headers describe it.
type ClientRequest struct {
	ID      string           // the client's Req-Id
	Timeout balancer.Micros  // until the client gives up, from when it sent the request; 0: not given
	Request balancer.Request // all but ID and TimeLeft
}

// ParseRequest parses the headers of a client's request. The error's text is for the client.
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

// isInvisible reports whether a character is not a visible one of ASCII.
func isInvisible(c rune) bool { return c <= ' ' || c > '~' }

// EstimatePrompt estimates the prompt's length by that of the body where the client has not given it.
func (c *ClientRequest) EstimatePrompt(bodyBytes int) {
	if c.Request.PromptTokens == unknownPromptTokens {
		c.Request.PromptTokens = bodyBytes / bytesPerToken
	}
}

// parseDeadline parses a time with its unit, milliseconds or microseconds: 4800m or 4800000u.
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

// parseExtra parses the details of the prompt: name=value pairs, of which unknown ones are ignored.
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

// keyNumber returns the number of a key: its value where it is 16 hexadecimal digits, as in the simulator's
// protocol, else a hash, which is the same at every gateway. 0 stands for no key.
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

// excludedHeaders are not forwarded to a replica: they belong to the client's connection, or the gateway writes
// them itself.
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

// ForwardedHead returns the head of the request that goes to a replica: method, path, query and Req-Id unchanged,
// with the time that the gateway will wait as the deadline.
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

// FormatRetryAfter formats a time as a Retry-After header: seconds with three decimals.
func FormatRetryAfter(d balancer.Micros) string {
	return strconv.FormatFloat(float64(d)/1e6, 'f', 3, 64)
}
