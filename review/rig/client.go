package rig

import (
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strings"
	"time"
)

// Call is a client's request.
type Call struct {
	ID       string
	Class    string
	Tenant   string
	Deadline time.Duration
	Extra    string // Req-Extra
	Rest     string // Req-Rest; "": a new request
}

// Answer is what a client saw of its request.
type Answer struct {
	Status   int    // 0: the connection ended without an answer
	Body     string // the part that came
	Complete bool   // the answer came whole
	Err      error
	At       time.Time // of the end
}

// Served reports whether the client got a whole stream.
func (a *Answer) Served() bool { return a.Status == http.StatusOK && a.Complete }

// String describes the answer for the record.
func (a *Answer) String() string {
	switch {
	case a.Status == 0:
		return fmt.Sprintf("no answer (%v)", a.Err)
	case a.Status == http.StatusOK && !a.Complete:
		return fmt.Sprintf("200, cut off after %d bytes (%v)", len(a.Body), a.Err)
	case a.Status == http.StatusOK:
		return fmt.Sprintf("200, whole, %d bytes", len(a.Body))
	}
	return fmt.Sprintf("%d %q", a.Status, strings.TrimSpace(a.Body))
}

// RestOf returns the Req-Rest header that asks for the rest of an answer, for the given time.
func RestOf(id string, ask int, got string) string {
	if got == "" {
		return fmt.Sprintf("id=%s,ask=%d", id, ask)
	}
	return fmt.Sprintf("id=%s,ask=%d,bytes=%d,sum=%08x", id, ask, len(got), crc32.ChecksumIEEE([]byte(got)))
}

// Do sends a request over a connection of its own and waits for the end of its answer.
func (r *Rig) Do(addr string, c Call) *Answer {
	answer := &Answer{}
	body := `{"model":"chat","stream":true,"max_tokens":100,"messages":[{"role":"user","content":"hello"}]}`
	request, err := http.NewRequest(http.MethodPost, "http://"+addr+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		answer.Err = err
		return answer
	}
	request.Header.Set("Req-Id", c.ID)
	request.Header.Set("Req-Kind", c.Class)
	request.Header.Set("Req-Owner", c.Tenant)
	request.Header.Set("Req-Deadline", fmt.Sprintf("%dm", c.Deadline.Milliseconds()))
	if c.Extra != "" {
		request.Header.Set("Req-Extra", c.Extra)
	}
	if c.Rest != "" {
		request.Header.Set("Req-Rest", c.Rest)
	}
	r.Logf("client sends %s (%s) to %s%s", c.ID, c.Class, addr, restNote(c.Rest))
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	response, err := transport.RoundTrip(request)
	if err != nil {
		answer.Err, answer.At = err, time.Now()
		r.Logf("client got for %s: %s", c.ID, answer)
		return answer
	}
	defer response.Body.Close()
	answer.Status = response.StatusCode
	text, err := io.ReadAll(response.Body)
	answer.Body, answer.Err, answer.Complete, answer.At = string(text), err, err == nil, time.Now()
	r.Logf("client got for %s: %s", c.ID, answer)
	return answer
}

func restNote(rest string) string {
	if rest == "" {
		return ""
	}
	return ", Req-Rest: " + rest
}
