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

// Watch is told of tries. Its functions are called by many tasks at once.
type Watch struct {
	State func(t *Try, state string) // sent, first, half, last
	Ended func(t *Try)
	// Offered tells whether the front offers a gateway to clients: it asks them whether
	// they are ready. Nil: all are.
	Offered func(addr string) bool
}

// Try is one sending of a request by a client: the first, or an ask for the rest.
type Try struct {
	Root, ID, Gateway   string
	Ask                 int // 0: the first try
	Class               *balancer.Class
	Out                 int // tokens of the whole answer
	Patience            balancer.Micros
	Born                balancer.Micros // when the request's first try was sent, under whatever id
	SentAt, FirstAt, At balancer.Micros // since the traffic began; FirstAt 0: none
	Status              int             // 0: the connection broke first
	Text                string          // of an answer that is not 200
	How                 string          // served, broken, refused, failed, late or contract
	Whole               bool            // with what came before, it is the whole answer
	Last                bool            // the client asks no more
}

type ended struct {
	model.Ended
	after balancer.Micros // that it was advised
}

// request sends a request, and asks for the rest where its answer breaks.
func (p *player) request(s *model.Stream, class *balancer.Class, in *balancer.Request, out int, rng *rand.Rand) ended {
	var have []byte
	var whole ended
	root := p.id()
	for n, ask := 0, 0; ; n, ask = n+1, ask+1 {
		t := &Try{Root: root, ID: root, Ask: ask, Class: class, Out: out, Patience: s.PatienceOf(class)}
		if ask > 0 {
			t.ID = p.id()
		}
		e := p.send(t, in, &have, rng)
		if n == 0 {
			whole = e
		} else {
			whole.At, whole.How, whole.Attempts, whole.after = e.At, e.How, whole.Attempts+1, e.after
			if whole.FirstAt == 0 {
				whole.FirstAt = e.FirstAt
			}
		}
		t.How = e.How
		t.Born = whole.SentAt
		inTime := whole.FirstAt > 0 || p.now()-whole.SentAt < t.Patience
		fresh := t.Status == http.StatusNotFound && len(have) == 0 // nobody has heard of it
		if again := fresh || t.Status == http.StatusServiceUnavailable; again && n < s.Rest && inTime {
			// A new request, or the same ask once more where there was no room.
			p.watch.Ended(t)
			if fresh || ask == 0 {
				root, ask = p.id(), -1
			}
			time.Sleep(time.Duration(min(max(e.after, 10_000), 500_000)) * time.Microsecond)
			continue
		}
		// No first token yet: it is waited for no longer than the first try would have.
		t.Last = n >= s.Rest || t.How != "broken" && t.How != "failed" || !inTime
		p.watch.Ended(t)
		if t.Last {
			return whole
		}
	}
}

func (p *player) id() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.ids++
	return fmt.Sprintf("e%016x%08x", p.spec.Seed, p.ids)
}

// send sends a try in the platform's form, and reads its answer to the end. have is
// what has come of the answer by all tries.
func (p *player) send(t *Try, in *balancer.Request, have *[]byte, rng *rand.Rand) ended {
	t.SentAt = p.now()
	e := ended{Ended: model.Ended{Class: t.Class, In: in, Out: t.Out, SentAt: t.SentAt, Attempts: 1}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Its patience is for the first token; the answer may take longer, up to a bound.
	var mu sync.Mutex
	first := false
	timer := time.AfterFunc(time.Duration(t.Patience)*time.Microsecond, func() {
		mu.Lock()
		defer mu.Unlock()
		if !first {
			stop()
		}
	})
	defer timer.Stop()
	bound := time.AfterFunc(10*time.Minute, stop)
	defer bound.Stop()
	over := func(how string) ended {
		t.At = p.now()
		if e.At, e.How = t.At, how; t.FirstAt == 0 && t.At-t.SentAt >= t.Patience && (how == "failed" || how == "broken") {
			e.How = "late"
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
		t.Text = strings.TrimSpace(string(text))
		if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && v > 0 && v < 3600 {
			e.after = balancer.Micros(v * 1e6)
		}
		switch {
		case t.Status == http.StatusTooManyRequests && bytes.Contains(text, []byte(`"contract"`)):
			return over("contract")
		case t.Status == http.StatusServiceUnavailable || t.Status == http.StatusTooManyRequests:
			return over("refused")
		case t.Ask > 0:
			return over("refused") // plainly: what was asked for cannot be had
		}
		return over("failed")
	}
	told := 0
	buf := make([]byte, 16<<10)
	for {
		n, err := resp.Body.Read(buf)
		if n > 0 {
			if t.FirstAt == 0 {
				mu.Lock()
				first = true
				mu.Unlock()
				t.FirstAt = p.now()
				e.FirstAt = t.FirstAt
			}
			*have = append(*have, buf[:n]...)
		}
		switch made := bytes.Count(*have, []byte(`"content"`)); {
		case told == 0 && n > 0:
			told = 1
			p.watch.State(t, "first")
		case told == 1 && made*2 >= t.Out:
			told = 2
			p.watch.State(t, "half")
		case told == 2 && made >= t.Out:
			told = 3
			p.watch.State(t, "last")
		}
		if err == io.EOF {
			if t.Whole = joined(*have, t.Out); t.Whole {
				return over("served")
			}
			return over("broken")
		}
		if err != nil {
			if t.Whole = joined(*have, t.Out); t.Whole { // all is there but the last chunk
				return over("served")
			}
			return over("broken")
		}
	}
}

// joined tells whether a text is an emulated worker's answer, byte for byte as far as
// it does not tell of the worker's own state.
func joined(have []byte, out int) bool {
	for n := 1; n <= out; n++ {
		rest, ok := bytes.CutPrefix(have, fmt.Appendf(nil, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"%s \"},\"finish_reason\":null}]}\n\n", word(n)))
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
func (p *player) post(ctx context.Context, t *Try, in *balancer.Request, have []byte, rng *rand.Rand) (*http.Response, error) {
	const body = `{"model":"chat","stream":true}`
	for n := 0; ; n++ {
		t.Gateway = p.gateways[rng.IntN(len(p.gateways))]
		for range 8 {
			if p.watch.Offered == nil || p.watch.Offered(t.Gateway) {
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
		h.Set("Req-Deadline", fmt.Sprintf("%du", max(1, t.Patience-(p.now()-t.SentAt))))
		if in.Session != 0 {
			h.Set("Req-Key", fmt.Sprintf("%016x", in.Session))
		}
		extra := fmt.Sprintf("prompt_len=%d,max_out=%d", in.PromptTokens, in.MaxTokens)
		if in.Prefix != 0 {
			extra += fmt.Sprintf(",prefix=%016x,prefix_len=%d", in.Prefix, in.PrefixTokens)
		}
		h.Set("Req-Extra", extra)
		h.Set("X-Emulate-Out", strconv.Itoa(t.Out))
		if t.Ask > 0 {
			h.Set("Req-Retry", "again")
			h.Set(httpwire.ResumeHeader, fmt.Sprintf("id=%s,ask=%d,bytes=%d,sum=%08x", t.Root, t.Ask, len(have), crc32.ChecksumIEEE(have)))
		}
		p.watch.State(t, "sent")
		resp, err := p.client.Do(req)
		if errors.Is(err, syscall.ECONNREFUSED) && n < 8 {
			continue
		}
		return resp, err
	}
}
