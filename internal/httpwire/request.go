// Package socket holds the gateway's own protocols as they are spoken on
// sockets: what a client's request says, what a worker's answer means, and the
// registry's list. It opens no connection and decides nothing.
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

// Paths and limits of the protocol.
const (
	CompletionsPath = "/v1/chat/completions"
	ReadyPath       = "/health/ready"
	LivePath        = "/health/live"
	StatsPath       = "/stats"
	ListPath        = "/registry/instances"

	MaxBodyBytes       = 256 << 10
	maxRequestIDLength = 128
)

// maxTokenCount is far above any length in tokens that a worker can hold: what a
// client says of itself weighs in the module's sums.
const maxTokenCount = 10_000_000

// bytesPerToken is the protocol's size of a token.
const bytesPerToken = 4

// ClientRequest is a client's request as its headers tell it.
type ClientRequest struct {
	ID      string
	Timeout balancer.Micros  // until the client gives up, from its sending; 0: not told
	Request balancer.Request // all but its number and the time left
}

// ParseRequest reads the headers of a client's request. An error is for the client.
func ParseRequest(h http.Header) (ClientRequest, error) {
	var j ClientRequest
	for _, name := range []string{"Req-Id", "Req-Kind", "Req-Owner", "Req-Key", "Req-Deadline", "Req-Extra"} {
		if len(h.Values(name)) > 1 {
			return j, fmt.Errorf("%s: given more than once", name)
		}
	}
	if j.ID = h.Get("Req-Id"); j.ID == "" {
		return j, errors.New("Req-Id: missing")
	}
	if len(j.ID) > maxRequestIDLength || strings.ContainsFunc(j.ID, func(c rune) bool { return c <= ' ' || c > '~' }) {
		return j, fmt.Errorf("Req-Id: expected up to %d visible characters", maxRequestIDLength)
	}
	var err error
	if texts := h.Values("Req-Deadline"); len(texts) > 0 {
		if j.Timeout, err = parseDeadline(texts[0]); err != nil {
			return j, err
		}
	}
	j.Request = balancer.Request{Class: h.Get("Req-Kind"), Tenant: h.Get("Req-Owner"),
		Session: keyNumber(h.Get("Req-Key")), PromptTokens: -1}
	if err = j.parseExtra(h.Get("Req-Extra")); err != nil {
		return j, err
	}
	return j, nil
}

// EstimatePrompt gives the prompt the body's length where the client told none.
func (j *ClientRequest) EstimatePrompt(n int) {
	if j.Request.PromptTokens < 0 {
		j.Request.PromptTokens = n / bytesPerToken
	}
}

// parseDeadline reads a time with its unit: 4800m or 4800000u.
func parseDeadline(text string) (balancer.Micros, error) {
	number, unit := strings.TrimSuffix(text, "u"), balancer.Micros(1)
	if number == text {
		number, unit = strings.TrimSuffix(text, "m"), 1000
	}
	n, err := strconv.ParseFloat(number, 64)
	if number == text || strings.Trim(number, "0123456789.") != "" || err != nil || !(n > 0) || n*float64(unit) > math.MaxInt32*1000.0 {
		return 0, fmt.Errorf("Req-Deadline: expected a number above 0 and its unit m or u, got %.40q", text)
	}
	return balancer.Micros(n * float64(unit)), nil
}

// parseExtra reads the prompt's particulars: name=value pairs, unknown ones skipped.
func (j *ClientRequest) parseExtra(text string) error {
	if text == "" {
		return nil
	}
	r := &j.Request
	numbers := map[string]*int{"prompt_len": &r.PromptTokens, "prefix_len": &r.PrefixTokens, "max_out": &r.MaxTokens}
	for pair := range strings.SplitSeq(text, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return fmt.Errorf("Req-Extra: expected name=value pairs, got %.40q", pair)
		}
		if name == "prefix" {
			r.Prefix = keyNumber(value)
		} else if to := numbers[name]; to != nil {
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || n > maxTokenCount {
				return fmt.Errorf("Req-Extra: %s: expected a whole number up to %d, got %.40q", name, maxTokenCount, value)
			}
			*to = int(n)
		}
	}
	return nil
}

// keyNumber is the number of a key: its value where it is 16 hex digits, as on the
// simulator's wire, else a hash, the same at every gateway.
func keyNumber(text string) uint64 {
	if text == "" || text == "-" {
		return 0
	}
	if v, err := strconv.ParseUint(text, 16, 64); err == nil && len(text) == 16 {
		return v
	}
	h := fnv.New64a()
	h.Write([]byte(text))
	return h.Sum64()
}

// excludedHeaders are the headers that belong to the client's connection, or that
// the gateway writes itself.
var excludedHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Connection": true, "Proxy-Authorization": true, "Te": true,
	"Trailer": true, "Transfer-Encoding": true, "Upgrade": true, "Expect": true, "Accept-Encoding": true,
	"Content-Length": true, "Req-Deadline": true, "Host": true,
}

// ForwardedHead is the head of the request that goes to a worker: method, path,
// query and Req-Id unchanged, and how long the gateway will wait.
func ForwardedHead(r *http.Request, bodyLen int, wait balancer.Micros) []byte {
	var b bytes.Buffer
	target := r.RequestURI
	if !strings.HasPrefix(target, "/") {
		target = r.URL.RequestURI()
	}
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, target, r.Host)
	_ = r.Header.WriteSubset(&b, excludedHeaders) // a bytes.Buffer takes all
	fmt.Fprintf(&b, "Req-Deadline: %du\r\nContent-Length: %d\r\n\r\n", max(1, wait), bodyLen)
	return b.Bytes()
}

// FormatRetryAfter writes a time as the header's seconds, with three decimals.
func FormatRetryAfter(d balancer.Micros) string {
	return strconv.FormatFloat(float64(d)/1e6, 'f', 3, 64)
}
