package emulate

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"hash/crc32"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/model"
	"archknot/internal/httpwire"
)

// Observer is told of tries. Its functions are called by many tasks at once.
type Observer struct {
	OnState func(t *ClientAttempt, state string) // sent, first, half, last
	OnEnd   func(t *ClientAttempt)
	// IsOffered tells whether the front offers a gateway to clients: it asks them whether
	// they are ready. Nil: all are.
	IsOffered func(addr string) bool
}

// ClientAttempt is one sending of a request by a client: the first, or an ask for the rest.
type ClientAttempt struct {
	RootID, ID, Gateway           string
	ResumeIndex                   int // 0: the first try
	Class                         *balancer.Class
	OutputTokens                  int // tokens of the whole answer
	FirstTokenTimeout             balancer.Micros
	RequestedAt                   balancer.Micros // when the request's first try was sent, under whatever id
	SentAt, FirstTokenAt, EndedAt balancer.Micros // since the traffic began; FirstTokenAt 0: none
	Status                        int             // 0: the connection broke first
	ErrorText                     string          // of an answer that is not 200
	Outcome                       string          // served, broken, refused, failed, late or contract
	Complete                      bool            // with what came before, it is the whole answer
	Last                          bool            // the client asks no more
}

type attemptEnd struct {
	model.RequestEnd
	retryAfter balancer.Micros // that it was advised
}

// sendRequest sends a request, and asks for the rest where its answer breaks.
func (p *player) sendRequest(s *model.Stream, class *balancer.Class, in *balancer.Request, out int, rng *rand.Rand) attemptEnd {
	var have []byte
	var whole attemptEnd
	root := p.newID()
	for n, ask := 0, 0; ; n, ask = n+1, ask+1 {
		t := &ClientAttempt{RootID: root, ID: root, ResumeIndex: ask, Class: class, OutputTokens: out, FirstTokenTimeout: s.FirstTokenTimeout(class)}
		if ask > 0 {
			t.ID = p.newID()
		}
		e := p.sendAttempt(t, in, &have, rng)
		if n == 0 {
			whole = e
		} else {
			whole.EndedAt, whole.Outcome, whole.Attempts, whole.retryAfter = e.EndedAt, e.Outcome, whole.Attempts+1, e.retryAfter
			if whole.FirstTokenAt == 0 {
				whole.FirstTokenAt = e.FirstTokenAt
			}
		}
		t.Outcome = e.Outcome
		t.RequestedAt = whole.SentAt
		inTime := whole.FirstTokenAt > 0 || p.now()-whole.SentAt < t.FirstTokenTimeout
		fresh := t.Status == http.StatusNotFound && len(have) == 0 // nobody has heard of it
		if again := fresh || t.Status == http.StatusServiceUnavailable; again && n < s.MaxResumes && inTime {
			// A new request, or the same ask once more where there was no room.
			p.observer.OnEnd(t)
			if fresh || ask == 0 {
				root, ask = p.newID(), -1
			}
			time.Sleep(time.Duration(min(max(e.retryAfter, 10_000), 500_000)) * time.Microsecond)
			continue
		}
		// No first token yet: it is waited for no longer than the first try would have.
		t.Last = n >= s.MaxResumes || t.Outcome != "broken" && t.Outcome != "failed" || !inTime
		p.observer.OnEnd(t)
		if t.Last {
			return whole
		}
	}
}

func (p *player) newID() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastID++
	return fmt.Sprintf("e%016x%08x", p.spec.Seed, p.lastID)
}

// sendAttempt sends a try in the platform's form, and reads its answer to the end. have is
// what has come of the answer by all tries.
func (p *player) sendAttempt(t *ClientAttempt, in *balancer.Request, have *[]byte, rng *rand.Rand) attemptEnd {
	t.SentAt = p.now()
	e := attemptEnd{RequestEnd: model.RequestEnd{Class: t.Class, Request: in, OutputTokens: t.OutputTokens, SentAt: t.SentAt, Attempts: 1}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Its patience is for the first token; the answer may take longer, up to a bound.
	var mu sync.Mutex
	first := false
	timer := time.AfterFunc(time.Duration(t.FirstTokenTimeout)*time.Microsecond, func() {
		mu.Lock()
		defer mu.Unlock()
		if !first {
			stop()
		}
	})
	defer timer.Stop()
	bound := time.AfterFunc(10*time.Minute, stop)
	defer bound.Stop()
	over := func(how string) attemptEnd {
		t.EndedAt = p.now()
		if e.EndedAt, e.Outcome = t.EndedAt, how; t.FirstTokenAt == 0 && t.EndedAt-t.SentAt >= t.FirstTokenTimeout && (how == "failed" || how == "broken") {
			e.Outcome = "late"
		}
		return e
	}
	resp, err := p.post(ctx, t, in, *have, rng)
	if err != nil {
		return over("failed")
	}
	defer resp.Body.Close()
	if t.Status = resp.StatusCode; t.Status != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		t.ErrorText = strings.TrimSpace(string(text))
		if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && v > 0 && v < 3600 {
			e.retryAfter = balancer.Micros(v * 1e6)
		}
		switch {
		case t.Status == http.StatusTooManyRequests && bytes.Contains(text, []byte(`"contract"`)):
			return over("contract")
		case t.Status == http.StatusServiceUnavailable || t.Status == http.StatusTooManyRequests:
			return over("refused")
		case t.ResumeIndex > 0:
			return over("refused") // plainly: what was asked for cannot be had
		}
		return over("failed")
	}
	told := 0
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if t.FirstTokenAt == 0 {
				mu.Lock()
				first = true
				mu.Unlock()
				t.FirstTokenAt = p.now()
				e.FirstTokenAt = t.FirstTokenAt
			}
			*have = append(*have, buf[:n]...)
		}
		switch made := bytes.Count(*have, []byte(`"content"`)); {
		case told == 0 && n > 0:
			told = 1
			p.observer.OnState(t, "first")
		case told == 1 && made*2 >= t.OutputTokens:
			told = 2
			p.observer.OnState(t, "half")
		case told == 2 && made >= t.OutputTokens:
			told = 3
			p.observer.OnState(t, "last")
		}
		if err == io.EOF {
			if t.Complete = isCompleteAnswer(*have, t.OutputTokens); t.Complete {
				return over("served")
			}
			return over("broken")
		}
		if err != nil {
			if t.Complete = isCompleteAnswer(*have, t.OutputTokens); t.Complete { // all is there but the last chunk
				return over("served")
			}
			return over("broken")
		}
	}
}

// isCompleteAnswer tells whether a text is an emulated worker's answer, byte for byte as far as
// it does not tell of the worker's own state.
func isCompleteAnswer(have []byte, out int) bool {
	for n := 1; n <= out; n++ {
		rest, ok := bytes.CutPrefix(have, fmt.Appendf(nil, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s \"},\"finish_reason\":null}]}\n\n", tokenText(n)))
		if !ok {
			return false
		}
		have = rest
	}
	usage, end, ok := bytes.Cut(have, []byte("\n\n"))
	return ok && bytes.HasPrefix(usage, []byte(`data: {"choices":[],"usage":`)) && bytes.HasPrefix(end, []byte("data: [DONE]\n\n"))
}

// post sends a try to a gateway. One that does not take the connection is passed by,
// as a front does.
func (p *player) post(ctx context.Context, t *ClientAttempt, in *balancer.Request, have []byte, rng *rand.Rand) (*http.Response, error) {
	const body = `{"model":"chat","stream":true}`
	for n := 0; ; n++ {
		t.Gateway = p.gateways[rng.IntN(len(p.gateways))]
		for range 8 {
			if p.observer.IsOffered == nil || p.observer.IsOffered(t.Gateway) {
				break
			}
			t.Gateway = p.gateways[rng.IntN(len(p.gateways))]
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+t.Gateway+httpwire.CompletionsPath, strings.NewReader(body))
		if err != nil {
			return nil, err
		}
		req.GetBody = nil // one that may have come is not sent again unseen
		h := req.Header
		h.Set("Req-Id", t.ID)
		h.Set("Req-Kind", in.Class)
		h.Set("Req-Owner", in.Tenant)
		h.Set("Req-Deadline", fmt.Sprintf("%du", max(1, t.FirstTokenTimeout-(p.now()-t.SentAt))))
		if in.Session != 0 {
			h.Set("Req-Key", fmt.Sprintf("%016x", in.Session))
		}
		extra := fmt.Sprintf("prompt_len=%d,max_out=%d", in.PromptTokens, in.MaxTokens)
		if in.Prefix != 0 {
			extra += fmt.Sprintf(",prefix=%016x,prefix_len=%d", in.Prefix, in.PrefixTokens)
		}
		h.Set("Req-Extra", extra)
		h.Set("X-Emulate-Out", strconv.Itoa(t.OutputTokens))
		if t.ResumeIndex > 0 {
			h.Set("Req-Retry", "again")
			h.Set(httpwire.ResumeHeader, fmt.Sprintf("id=%s,ask=%d,bytes=%d,sum=%08x", t.RootID, t.ResumeIndex, len(have), crc32.ChecksumIEEE(have)))
		}
		p.observer.OnState(t, "sent")
		resp, err := p.client.Do(req)
		if errors.Is(err, syscall.ECONNREFUSED) && n < 8 {
			continue
		}
		return resp, err
	}
}
