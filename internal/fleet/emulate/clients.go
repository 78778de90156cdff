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

// mostAtOnce bounds the sessions of a run that are open at once; what comes due
// beyond them is told as left out.
const mostAtOnce = 4000

// Play sends a specification's traffic to gateways for its time, with its faults at
// the fleet, and tells how it ended. The gateways' addresses are on loopback.
func Play(ctx context.Context, f *Fleet, spec *model.Spec, gateways []string) (res *model.Result, leftOut int, err error) {
	return PlayWatched(ctx, f, spec, gateways, Watch{State: func(*Try, string) {}, Ended: func(*Try) {}})
}

// PlayWatched is Play with somebody who is told of each try as it goes, by both of its
// functions.
func PlayWatched(ctx context.Context, f *Fleet, spec *model.Spec, gateways []string, watch Watch) (res *model.Result, leftOut int, err error) {
	for _, g := range gateways {
		host, _, err := net.SplitHostPort(g)
		if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
			return nil, 0, fmt.Errorf("%s: %w", g, errAddr)
		}
	}
	p := &player{spec: spec, watch: watch, gateways: gateways, began: time.Now(), res: model.NewResult(spec), slots: make(chan struct{}, mostAtOnce),
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
	watch    Watch
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

func (p *player) now() balancer.Micros { return time.Since(p.began).Microseconds() }

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
	begin := func(session *model.Session, after balancer.Micros) {
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
func (p *player) session(ctx context.Context, s *model.Stream, class *balancer.Class, from *model.Source, n *model.Session, rng *rand.Rand) {
	for {
		in, out := from.Turn(n)
		how := ""
		for try := 0; ; try++ {
			e := p.request(s, class, &in, out, rng)
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
