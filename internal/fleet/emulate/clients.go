package emulate

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"archknot/choice"
	"archknot/internal/fleet/model"
)

// mostAtOnce bounds the sessions of a run that are open at once; what comes due
// beyond them is told as left out.
const mostAtOnce = 4000

// Play sends a specification's traffic to gateways for its time, with its faults at
// the fleet, and tells how it ended. The gateways' addresses are on loopback.
func Play(ctx context.Context, f *Fleet, spec *model.Spec, gateways []string) (res *model.Result, leftOut int, err error) {
	for _, g := range gateways {
		host, _, err := net.SplitHostPort(g)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return nil, 0, fmt.Errorf("%s: %w", g, errAddr)
		}
	}
	p := &player{spec: spec, gateways: gateways, began: time.Now(), res: model.NewResult(spec), slots: make(chan struct{}, mostAtOnce),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true, IdleConnTimeout: 5 * time.Second}}}
	ctx, stop := context.WithTimeout(ctx, time.Duration(spec.For)*time.Microsecond)
	defer stop()
	for _, x := range spec.Faults {
		switch x.Kind {
		case "burst", "hot":
			p.faults = append(p.faults, x) // the clients' own
			continue
		}
		p.all.Add(1)
		go func() {
			defer p.all.Done()
			p.fault(ctx, f, x)
		}()
	}
	for i := range spec.Streams {
		p.all.Add(1)
		go func() {
			defer p.all.Done()
			p.stream(ctx, i)
		}()
	}
	p.all.Wait()
	p.client.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.res.Finish()
	return p.res, p.left, nil
}

type player struct {
	spec     *model.Spec
	gateways []string
	faults   []model.Fault
	began    time.Time
	client   *http.Client
	slots    chan struct{}
	all      sync.WaitGroup
	mu       sync.Mutex
	res      *model.Result
	left     int
	ids      int
}

func (p *player) now() choice.Micros { return time.Since(p.began).Microseconds() }

func sleep(ctx context.Context, d choice.Micros) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(time.Duration(d) * time.Microsecond)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (p *player) fault(ctx context.Context, f *Fleet, x model.Fault) {
	if f == nil || !sleep(ctx, x.At) {
		return
	}
	f.Fault(x)
	if x.For > 0 {
		sleep(ctx, x.For)
		f.End(x)
	}
}

// factor is what a fault of the clients' own makes of now.
func (p *player) factor(kind string, otherwise float64) float64 {
	now := p.now()
	for _, x := range p.faults {
		if x.Kind == kind && now >= x.At && (x.For == 0 || now < x.At+x.For) {
			return x.Factor
		}
	}
	return otherwise
}

// stream begins a stream's sessions.
func (p *player) stream(ctx context.Context, i int) {
	s := &p.spec.Streams[i]
	class := p.spec.ClassOf(s)
	arrivals := model.NewSource(s, rand.New(rand.NewPCG(p.spec.Seed, uint64(i)*2)))
	n := uint64(0)
	begin := func(session *model.Session, after choice.Micros) {
		n++
		// Each session draws by itself: how quickly others were served changes nothing.
		from := model.NewSource(s, rand.New(rand.NewPCG(p.spec.Seed^n<<20, uint64(i)*2+1)))
		front := rand.New(rand.NewPCG(p.spec.Seed+n, 77))
		select {
		case p.slots <- struct{}{}:
		default:
			p.mu.Lock()
			p.left++
			p.mu.Unlock()
			return
		}
		p.all.Add(1)
		go func() {
			defer func() { <-p.slots; p.all.Done() }()
			if sleep(ctx, after) {
				p.session(ctx, s, class, from, session, front)
			}
		}()
	}
	list, in := arrivals.UnderWay()
	for i, session := range list {
		begin(session, in[i])
	}
	for next := p.now(); ; {
		next += arrivals.Gap(p.factor("burst", 1))
		if !sleep(ctx, next-p.now()) {
			return
		}
		begin(arrivals.Session(p.factor("hot", 0)), 0)
	}
}

// session is one client's turns.
func (p *player) session(ctx context.Context, s *model.Stream, class *choice.Class, from *model.Source, n *model.Session, rng *rand.Rand) {
	for {
		in, out := from.Turn(n)
		how := ""
		for try := 0; ; try++ {
			e := p.send(s, class, &in, out, p.gateways[rng.IntN(len(p.gateways))])
			how = e.How
			if (how == "refused" || how == "contract") && try < s.Retries {
				p.mu.Lock()
				p.res.Retried(e.SentAt, &in)
				p.mu.Unlock()
				if sleep(ctx, e.after+from.Again()) {
					continue
				}
			}
			p.mu.Lock()
			p.res.Note(e.Ended)
			p.mu.Unlock()
			break
		}
		n.Answered(&in, out)
		if how != "served" || n.Left == 0 || !sleep(ctx, from.Think()) {
			return
		}
	}
}

type ended struct {
	model.Ended
	after choice.Micros // that it was advised
}

// send sends one request in the platform's form, and reads its answer to the end.
func (p *player) send(s *model.Stream, class *choice.Class, in *choice.Request, out int, gateway string) ended {
	p.mu.Lock()
	p.ids++
	id := p.ids
	p.mu.Unlock()
	patience := s.PatienceOf(class)
	e := ended{Ended: model.Ended{Class: class, In: in, Out: out, SentAt: p.now(), Attempts: 1}}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	// Its patience is for the first token; the answer may take longer, up to a bound.
	var mu sync.Mutex
	first := false
	timer := time.AfterFunc(time.Duration(patience)*time.Microsecond, func() {
		mu.Lock()
		defer mu.Unlock()
		if !first {
			stop()
		}
	})
	defer timer.Stop()
	bound := time.AfterFunc(10*time.Minute, stop)
	defer bound.Stop()
	const body = `{"model":"chat","stream":true}`
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+gateway+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	h := req.Header
	h.Set("Req-Id", fmt.Sprintf("e%016x%08x", p.spec.Seed, id))
	h.Set("Req-Kind", in.Class)
	h.Set("Req-Owner", in.Tenant)
	h.Set("Req-Deadline", fmt.Sprintf("%du", patience))
	if in.Session != 0 {
		h.Set("Req-Key", fmt.Sprintf("%016x", in.Session))
	}
	extra := fmt.Sprintf("prompt_len=%d,max_out=%d", in.PromptTokens, in.MaxTokens)
	if in.Prefix != 0 {
		extra += fmt.Sprintf(",prefix=%016x,prefix_len=%d", in.Prefix, in.PrefixTokens)
	}
	h.Set("Req-Extra", extra)
	h.Set("X-Emulate-Out", strconv.Itoa(out))
	resp, err := p.client.Do(req)
	if err != nil {
		e.How, e.At = "failed", p.now()
		if e.At-e.SentAt >= patience {
			e.How = "late"
		}
		return e
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(io.LimitReader(resp.Body, 4096))
		e.How, e.At = "refused", p.now()
		if resp.StatusCode == http.StatusTooManyRequests && bytes.Contains(text, []byte(`"contract"`)) {
			e.How = "contract"
		}
		if v, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil && v > 0 && v < 3600 {
			e.after = choice.Micros(v * 1e6)
		}
		return e
	}
	done := false
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if e.FirstAt == 0 && bytes.HasPrefix(lines.Bytes(), []byte("data: ")) {
			mu.Lock()
			first = true
			mu.Unlock()
			e.FirstAt = p.now()
		}
		done = done || bytes.Equal(lines.Bytes(), []byte("data: [DONE]"))
	}
	e.At = p.now()
	switch {
	case done:
		e.How = "served"
	case e.FirstAt == 0 && e.At-e.SentAt >= patience:
		e.How = "late"
	default:
		e.How = "broken"
	}
	return e
}
