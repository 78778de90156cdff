package emulate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/model"
)

// maxSessions bounds the sessions of a run that are open at once; what comes due
// beyond them is told as left out.
const maxSessions = 4000

// Play sends a specification's traffic to gateways for its time, with its faults at
// the fleet, and tells how it ended. The gateways' addresses are on loopback.
func Play(ctx context.Context, f *Fleet, spec *model.Spec, gateways []string) (res *model.Result, leftOut int, err error) {
	return PlayObserved(ctx, f, spec, gateways, Observer{OnState: func(*ClientAttempt, string) {}, OnEnd: func(*ClientAttempt) {}})
}

// PlayObserved is Play with somebody who is told of each try as it goes, by both of its
// functions.
func PlayObserved(ctx context.Context, f *Fleet, spec *model.Spec, gateways []string, watch Observer) (res *model.Result, leftOut int, err error) {
	for _, g := range gateways {
		host, _, err := net.SplitHostPort(g)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return nil, 0, fmt.Errorf("%s: %w", g, errNotLoopback)
		}
	}
	p := &player{spec: spec, observer: watch, gateways: gateways, startedAt: time.Now(), result: model.NewResult(spec), slots: make(chan struct{}, maxSessions),
		client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true, IdleConnTimeout: 5 * time.Second}}}
	ctx, stop := context.WithTimeout(ctx, time.Duration(spec.Duration)*time.Microsecond)
	defer stop()
	for _, x := range spec.Faults {
		switch x.Kind {
		case "burst", "hot":
			p.faults = append(p.faults, x) // the clients' own
			continue
		}
		p.tasks.Add(1)
		go func() {
			defer p.tasks.Done()
			p.runFault(ctx, f, x)
		}()
	}
	for i := range spec.Streams {
		p.tasks.Add(1)
		go func() {
			defer p.tasks.Done()
			p.runStream(ctx, i)
		}()
	}
	p.tasks.Wait()
	p.client.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Finish()
	return p.result, p.skippedSessions, nil
}

type player struct {
	spec            *model.Spec
	observer        Observer
	gateways        []string
	faults          []model.Fault
	startedAt       time.Time
	client          *http.Client
	slots           chan struct{}
	tasks           sync.WaitGroup
	mu              sync.Mutex
	result          *model.Result
	skippedSessions int
	lastID          int
}

func (p *player) now() balancer.Micros { return time.Since(p.startedAt).Microseconds() }

func sleep(ctx context.Context, d balancer.Micros) bool {
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

func (p *player) runFault(ctx context.Context, f *Fleet, x model.Fault) {
	if f == nil || !sleep(ctx, x.At) {
		return
	}
	f.StartFault(x)
	if x.Duration > 0 {
		sleep(ctx, x.Duration)
		f.EndFault(x)
	}
}

// faultFactor is what a fault of the clients' own makes of now.
func (p *player) faultFactor(kind string, otherwise float64) float64 {
	now := p.now()
	for _, x := range p.faults {
		if x.Kind == kind && now >= x.At && (x.Duration == 0 || now < x.At+x.Duration) {
			return x.Factor
		}
	}
	return otherwise
}

// runStream begins a stream's sessions.
func (p *player) runStream(ctx context.Context, i int) {
	s := &p.spec.Streams[i]
	class := p.spec.ClassOf(s)
	arrivals := model.NewSource(s, rand.New(rand.NewPCG(p.spec.Seed, uint64(i)*2)))
	n := uint64(0)
	begin := func(session *model.Session, after balancer.Micros) {
		n++
		// Each session draws by itself: how quickly others were served changes nothing.
		from := model.NewSource(s, rand.New(rand.NewPCG(p.spec.Seed^n<<20, uint64(i)*2+1)))
		front := rand.New(rand.NewPCG(p.spec.Seed+n, 77))
		select {
		case p.slots <- struct{}{}:
		default:
			p.mu.Lock()
			p.skippedSessions++
			p.mu.Unlock()
			return
		}
		p.tasks.Add(1)
		go func() {
			defer func() { <-p.slots; p.tasks.Done() }()
			if sleep(ctx, after) {
				p.runSession(ctx, s, class, from, session, front)
			}
		}()
	}
	list, in := arrivals.SessionsInProgress()
	for i, session := range list {
		begin(session, in[i])
	}
	for next := p.now(); ; {
		next += arrivals.NextArrival(p.faultFactor("burst", 1))
		if !sleep(ctx, next-p.now()) {
			return
		}
		begin(arrivals.NewSession(p.faultFactor("hot", 0)), 0)
	}
}

// runSession is one client's turns.
func (p *player) runSession(ctx context.Context, s *model.Stream, class *balancer.Class, from *model.Source, n *model.Session, rng *rand.Rand) {
	for {
		in, out := from.NextTurn(n)
		how := ""
		for try := 0; ; try++ {
			e := p.sendRequest(s, class, &in, out, rng)
			how = e.Outcome
			if (how == "refused" || how == "contract") && try < s.MaxRetries {
				p.mu.Lock()
				p.result.CountRetry(e.SentAt, &in)
				p.mu.Unlock()
				if sleep(ctx, e.retryAfter+from.RetryDelay()) {
					continue
				}
			}
			p.mu.Lock()
			p.result.CountEnd(e.RequestEnd)
			p.mu.Unlock()
			break
		}
		n.AddTurn(&in, out)
		if how != "served" || n.TurnsLeft == 0 || !sleep(ctx, from.ThinkTime()) {
			return
		}
	}
}
