package emulate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/model"
	"archknot/internal/httpwire"
)

const (
	// minResumeDelay is the shortest delay after a rejected attempt; a shorter Retry-After is raised to it.
	minResumeDelay balancer.Micros = 10_000
	// maxResumeDelay is the longest delay after a rejected attempt; a longer Retry-After is cut to it.
	maxResumeDelay balancer.Micros = 500_000
	// maxAnswerTime is the timeout of an attempt.
	maxAnswerTime = 10 * time.Minute
	// maxErrorBodyBytes limits how much of the body of a response other than 200 is read.
	maxErrorBodyBytes = 4096
	// maxRetryAfterSeconds is the limit from which on clients ignore a Retry-After.
	maxRetryAfterSeconds = 3600
	// maxGatewayPicks limits how often a client picks another gateway for an attempt.
	maxGatewayPicks = 8
	// readBufferBytes is the size of the buffer into which an answer is read.
	readBufferBytes = 16 << 10
)

// States of a client attempt that are reported to an Observer.
const (
	StateSent       = "sent"
	StateFirstToken = "first"
	StateHalf       = "half" // half of the tokens
	StateLastToken  = "last"
)

// Observer is notified of client attempts. Its functions are called concurrently.
type Observer struct {
	OnState func(attempt *ClientAttempt, state string)
	OnEnd   func(attempt *ClientAttempt)
	// IsOffered reports whether the load balancer in front of the gateways routes clients to the gateway at
	// addr, which depends on its readiness. If it is nil, all gateways are offered.
	IsOffered func(addr string) bool
}

// ClientAttempt is one HTTP request of a client: the first one for a request, or one that resumes an
// interrupted answer. Times are relative to the start of the traffic.
type ClientAttempt struct {
	RootID, ID, Gateway           string
	ResumeIndex                   int // 0: the first attempt
	Class                         *balancer.Class
	OutputTokens                  int // length of the complete answer
	FirstTokenTimeout             balancer.Micros
	RequestedAt                   balancer.Micros // when the first attempt was sent, also if it had another RootID
	SentAt, FirstTokenAt, EndedAt balancer.Micros // FirstTokenAt is 0 before the first token
	Status                        int             // HTTP status; 0: no response was received
	ErrorText                     string          // body of a response other than 200, truncated
	Outcome                       string          // one of the model.Outcome constants
	Complete                      bool            // this and earlier attempts together received the complete answer
	Last                          bool            // the client sends no further attempt
}

// attemptEnd is the result of an attempt, or of a request with all its attempts.
type attemptEnd struct {
	model.RequestEnd
	retryAfter balancer.Micros
}

// sendRequest sends a request, and resumes its answer when it is interrupted. It ignores the cancellation of
// ctx, so that requests that were sent before the end of a run are completed.
func (c *sessionClient) sendRequest(ctx context.Context, request *balancer.Request, outputTokens int) attemptEnd {
	generator := c.generator
	var received []byte
	var total attemptEnd
	rootID := generator.newID()
	for attemptIndex, resumeIndex := 0, 0; ; attemptIndex, resumeIndex = attemptIndex+1, resumeIndex+1 {
		attempt := &ClientAttempt{
			RootID:            rootID,
			ID:                rootID,
			ResumeIndex:       resumeIndex,
			Class:             c.class,
			OutputTokens:      outputTokens,
			FirstTokenTimeout: c.stream.FirstTokenTimeout(c.class),
		}
		if resumeIndex > 0 {
			attempt.ID = generator.newID()
		}
		end := c.sendAttempt(context.WithoutCancel(ctx), attempt, request, &received)
		if attemptIndex == 0 {
			total = end
		} else {
			total.add(end)
		}
		attempt.Outcome = end.Outcome
		attempt.RequestedAt = total.SentAt
		inTime := total.FirstTokenAt > 0 || generator.now()-total.SentAt < attempt.FirstTokenTimeout
		requestUnknown := attempt.Status == http.StatusNotFound && len(received) == 0 // no gateway has a record of the request to resume
		if (requestUnknown || attempt.Status == http.StatusServiceUnavailable) && attemptIndex < c.stream.MaxResumes && inTime {
			// Send a new request, or resume again if the resume was rejected for lack of capacity.
			generator.observer.OnEnd(attempt)
			if requestUnknown || resumeIndex == 0 {
				rootID, resumeIndex = generator.newID(), -1
			}
			time.Sleep(time.Duration(min(max(end.retryAfter, minResumeDelay), maxResumeDelay)) * time.Microsecond)
			continue
		}
		// A client without a first token sends no attempt after the FirstTokenTimeout of its first attempt.
		canResume := attempt.Outcome == model.OutcomeBroken || attempt.Outcome == model.OutcomeFailed
		attempt.Last = attemptIndex >= c.stream.MaxResumes || !canResume || !inTime
		generator.observer.OnEnd(attempt)
		if attempt.Last {
			return total
		}
	}
}

// add merges the result of a further attempt into that of the request.
func (total *attemptEnd) add(end attemptEnd) {
	total.EndedAt = end.EndedAt
	total.Outcome = end.Outcome
	total.Attempts++
	total.retryAfter = end.retryAfter
	if total.FirstTokenAt == 0 {
		total.FirstTokenAt = end.FirstTokenAt
	}
}

func (g *loadGenerator) newID() string {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.lastID++
	return fmt.Sprintf("e%016x%08x", g.spec.Seed, g.lastID)
}

// sendAttempt sends an attempt and reads its answer to the end. It appends the answer to received, which holds
// the part that earlier attempts received.
func (c *sessionClient) sendAttempt(ctx context.Context, attempt *ClientAttempt, request *balancer.Request, received *[]byte) attemptEnd {
	generator := c.generator
	attempt.SentAt = generator.now()
	end := attemptEnd{RequestEnd: model.RequestEnd{Class: attempt.Class, Request: request, OutputTokens: attempt.OutputTokens, SentAt: attempt.SentAt, Attempts: 1}}
	ctx, stop := context.WithTimeout(ctx, maxAnswerTime)
	defer stop()
	// FirstTokenTimeout cancels the attempt only if it has no first token yet.
	var gotFirstToken atomic.Bool
	timer := time.AfterFunc(time.Duration(attempt.FirstTokenTimeout)*time.Microsecond, func() {
		if !gotFirstToken.Load() {
			stop()
		}
	})
	defer timer.Stop()
	finish := func(outcome string) attemptEnd {
		attempt.EndedAt = generator.now()
		timedOut := attempt.FirstTokenAt == 0 && attempt.EndedAt-attempt.SentAt >= attempt.FirstTokenTimeout
		if timedOut && (outcome == model.OutcomeFailed || outcome == model.OutcomeBroken) {
			outcome = model.OutcomeLate
		}
		end.FirstTokenAt, end.EndedAt, end.Outcome = attempt.FirstTokenAt, attempt.EndedAt, outcome
		return end
	}
	resp, err := c.post(ctx, attempt, request, *received)
	if err != nil {
		return finish(model.OutcomeFailed)
	}
	defer resp.Body.Close()
	attempt.Status = resp.StatusCode
	if attempt.Status != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBodyBytes)) // a truncated text is sufficient
		attempt.ErrorText = strings.TrimSpace(string(text))
		end.retryAfter = retryAfter(resp.Header)
		return finish(errorOutcome(attempt, text))
	}
	return finish(c.readAnswer(attempt, resp.Body, received, func() { gotFirstToken.Store(true) }))
}

// retryAfter returns the Retry-After of a response, or 0 if it is missing, invalid or too long.
func retryAfter(h http.Header) balancer.Micros {
	seconds, err := strconv.ParseFloat(h.Get("Retry-After"), 64)
	if err != nil || seconds <= 0 || seconds >= maxRetryAfterSeconds {
		return 0
	}
	return balancer.Micros(seconds * 1e6)
}

// errorOutcome returns the outcome of a response other than 200.
func errorOutcome(attempt *ClientAttempt, text []byte) string {
	switch {
	case attempt.Status == http.StatusTooManyRequests && bytes.Contains(text, []byte(`"contract"`)):
		return model.OutcomeContract
	case attempt.Status == http.StatusServiceUnavailable || attempt.Status == http.StatusTooManyRequests:
		return model.OutcomeShed
	case attempt.ResumeIndex > 0:
		return model.OutcomeShed // the gateway rejected the resume: the remaining answer is unavailable
	default:
		return model.OutcomeFailed
	}
}

// readAnswer reads an answer, appends it to received, and returns the attempt's outcome. It calls onFirstToken
// when the first bytes arrive.
func (c *sessionClient) readAnswer(attempt *ClientAttempt, body io.Reader, received *[]byte, onFirstToken func()) (outcome string) {
	states := stateNotifier{observer: &c.generator.observer, attempt: attempt}
	buffer := make([]byte, readBufferBytes)
	for {
		n, err := body.Read(buffer)
		if n > 0 {
			if attempt.FirstTokenAt == 0 {
				onFirstToken()
				attempt.FirstTokenAt = c.generator.now()
			}
			*received = append(*received, buffer[:n]...)
		}
		states.update(n, *received)
		if err != nil { // the answer can be complete although the terminating chunk is missing
			if attempt.Complete = isCompleteAnswer(*received, attempt.OutputTokens); attempt.Complete {
				return model.OutcomeServed
			}
			return model.OutcomeBroken
		}
	}
}

// stateNotifier notifies the observer of an attempt's states, at most one per read.
type stateNotifier struct {
	observer *Observer
	attempt  *ClientAttempt
	state    string // the last one that was reported
}

// update must be called after each read with its n bytes; received is the answer up to now.
func (s *stateNotifier) update(n int, received []byte) {
	tokens := bytes.Count(received, []byte(`"content"`))
	var next string
	switch {
	case s.state == "" && n > 0:
		next = StateFirstToken
	case s.state == StateFirstToken && tokens*2 >= s.attempt.OutputTokens:
		next = StateHalf
	case s.state == StateHalf && tokens >= s.attempt.OutputTokens:
		next = StateLastToken
	default:
		return
	}
	s.state = next
	s.observer.OnState(s.attempt, next)
}

// post sends an attempt to a gateway. Like a load balancer, it tries another gateway if the connection is
// refused.
func (c *sessionClient) post(ctx context.Context, attempt *ClientAttempt, request *balancer.Request, received []byte) (*http.Response, error) {
	const body = `{"model":"chat","stream":true}`
	generator := c.generator
	for n := 0; ; n++ {
		attempt.Gateway = c.pickGateway()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+attempt.Gateway+httpwire.CompletionsPath, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.GetBody = nil // keeps the transport from resending a request that may have been received
		setHeaders(req.Header, attempt, request, received, generator.now())
		generator.observer.OnState(attempt, StateSent)
		resp, err := generator.client.Do(req)
		if errors.Is(err, syscall.ECONNREFUSED) && n < maxGatewayPicks {
			continue
		}
		return resp, err
	}
}

// pickGateway picks a random gateway, and prefers one that the load balancer offers.
func (c *sessionClient) pickGateway() string {
	generator := c.generator
	pick := func() string { return generator.gateways[c.rng.IntN(len(generator.gateways))] }
	gateway := pick()
	for range maxGatewayPicks {
		if generator.observer.IsOffered == nil || generator.observer.IsOffered(gateway) {
			break
		}
		gateway = pick()
	}
	return gateway
}

// setHeaders sets the request headers of the platform's protocol.
func setHeaders(h http.Header, attempt *ClientAttempt, request *balancer.Request, received []byte, now balancer.Micros) {
	h.Set(requestIDHeader, attempt.ID)
	h.Set("Req-Kind", request.Class)
	h.Set("Req-Owner", request.Tenant)
	h.Set("Req-Deadline", fmt.Sprintf("%du", max(1, attempt.FirstTokenTimeout-(now-attempt.SentAt))))
	if request.Session != 0 {
		h.Set("Req-Key", fmt.Sprintf("%016x", request.Session))
	}
	extra := fmt.Sprintf("prompt_len=%d,max_out=%d", request.PromptTokens, request.MaxTokens)
	if request.Prefix != 0 {
		extra += fmt.Sprintf(",prefix=%016x,prefix_len=%d", request.Prefix, request.PrefixTokens)
	}
	h.Set("Req-Extra", extra)
	h.Set(outputTokensHeader, strconv.Itoa(attempt.OutputTokens))
	if attempt.ResumeIndex > 0 {
		h.Set("Req-Retry", "again")
		h.Set(httpwire.ResumeHeader, fmt.Sprintf("id=%s,ask=%d,bytes=%d,sum=%08x", attempt.RootID, attempt.ResumeIndex, len(received), crc32.ChecksumIEEE(received)))
	}
}
