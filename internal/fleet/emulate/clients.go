package emulate

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/model"
)

// maxSessions bounds the sessions of a run that are open at once. Sessions beyond it are skipped and counted.
const maxSessions = 4000

// Play sends a Spec's traffic to gateways at loopback addresses for its duration, with its faults at the
// fleet. It returns how the requests ended, and how many sessions were skipped.
func Play(ctx context.Context, f *Fleet, spec *model.Spec, gateways []string) (result *model.Result, skippedSessions int, err error) {
	ignore := Observer{OnState: func(*ClientAttempt, string) {}, OnEnd: func(*ClientAttempt) {}}
	return PlayObserved(ctx, f, spec, gateways, ignore)
}

// PlayObserved is Play with an observer of each client attempt. A nil fleet has no faults.
func PlayObserved(ctx context.Context, f *Fleet, spec *model.Spec, gateways []string, observer Observer) (result *model.Result, skippedSessions int, err error) {
	for _, addr := range gateways {
		if !isLoopback(addr) {
			return nil, 0, fmt.Errorf("%s: %w", addr, errNotLoopback)
		}
	}
	p := newPlayer(spec, gateways, observer)
	ctx, stop := context.WithTimeout(ctx, time.Duration(spec.Duration)*time.Microsecond)
	defer stop()
	for _, fault := range spec.Faults {
		if fault.Kind == model.FaultBurst || fault.Kind == model.FaultHotPrefix {
			p.trafficFaults = append(p.trafficFaults, fault)
			continue
		}
		p.tasks.Go(func() { runFault(ctx, f, fault) })
	}
	for i := range spec.Streams {
		p.tasks.Go(func() { p.runStream(ctx, i) })
	}
	p.tasks.Wait()
	p.client.CloseIdleConnections()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.result.Finish()
	return p.result, p.skippedSessions, nil
}

// player is the clients of a run.
type player struct {
	spec          *model.Spec
	observer      Observer
	gateways      []string
	trafficFaults []model.Fault // faults of the clients' own
	startedAt     time.Time
	client        *http.Client
	slots         chan struct{} // one for each open session
	tasks         sync.WaitGroup

	mu              sync.Mutex
	result          *model.Result
	skippedSessions int
	lastID          int
}

func newPlayer(spec *model.Spec, gateways []string, observer Observer) *player {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true, IdleConnTimeout: 5 * time.Second}
	return &player{
		spec:      spec,
		observer:  observer,
		gateways:  gateways,
		startedAt: time.Now(),
		client:    &http.Client{Transport: transport},
		slots:     make(chan struct{}, maxSessions),
		result:    model.NewResult(spec),
	}
}

// now returns the time since the traffic began.
func (p *player) now() balancer.Micros { return time.Since(p.startedAt).Microseconds() }

// sleep waits for a time and returns true, or returns false once the context has ended.
func sleep(ctx context.Context, d balancer.Micros) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(time.Duration(d) * time.Microsecond)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// runFault begins and ends a fault at the fleet in its time.
func runFault(ctx context.Context, f *Fleet, fault model.Fault) {
	if f == nil || !sleep(ctx, fault.At) {
		return
	}
	f.StartFault(fault)
	if fault.Duration > 0 {
		sleep(ctx, fault.Duration)
		f.EndFault(fault)
	}
}

// trafficFactor returns the factor of a fault of the clients' own that is in progress, or else normal.
func (p *player) trafficFactor(kind string, normal float64) float64 {
	now := p.now()
	for _, fault := range p.trafficFaults {
		if fault.Kind == kind && now >= fault.At && (fault.Duration == 0 || now < fault.At+fault.Duration) {
			return fault.Factor
		}
	}
	return normal
}

// runStream starts a stream's sessions until the context ends.
func (p *player) runStream(ctx context.Context, index int) {
	stream := &p.spec.Streams[index]
	arrivals := model.NewSource(stream, rand.New(rand.NewPCG(p.spec.Seed, uint64(index)*2)))
	number := uint64(0)
	start := func(session *model.Session, in balancer.Micros) {
		number++
		p.startSession(ctx, index, number, session, in)
	}
	sessions, nextTurnIn := arrivals.SessionsInProgress()
	for i, session := range sessions {
		start(session, nextTurnIn[i])
	}
	for next := p.now(); ; {
		next += arrivals.NextArrival(p.trafficFactor(model.FaultBurst, 1))
		if !sleep(ctx, next-p.now()) {
			return
		}
		start(arrivals.NewSession(p.trafficFactor(model.FaultHotPrefix, 0)), 0)
	}
}

// startSession starts a session of a stream after a time. Sessions have random numbers of their own, so
// that they do not depend on how quickly others are served.
func (p *player) startSession(ctx context.Context, streamIndex int, number uint64, session *model.Session, in balancer.Micros) {
	select {
	case p.slots <- struct{}{}:
	default:
		p.mu.Lock()
		p.skippedSessions++
		p.mu.Unlock()
		return
	}
	stream := &p.spec.Streams[streamIndex]
	c := &sessionClient{
		player:  p,
		stream:  stream,
		class:   p.spec.ClassOf(stream),
		session: session,
		source:  model.NewSource(stream, rand.New(rand.NewPCG(p.spec.Seed^number<<20, uint64(streamIndex)*2+1))),
		rng:     rand.New(rand.NewPCG(p.spec.Seed+number, 77)),
	}
	p.tasks.Go(func() {
		defer func() { <-p.slots }()
		if sleep(ctx, in) {
			c.run(ctx)
		}
	})
}

// sessionClient is the client of one session.
type sessionClient struct {
	player  *player
	stream  *model.Stream
	class   *balancer.Class
	session *model.Session
	source  *model.Source
	rng     *rand.Rand // for the choice of gateways
}

// run sends the session's turns one after another, as long as they are served.
func (c *sessionClient) run(ctx context.Context) {
	for {
		request, outputTokens := c.source.NextTurn(c.session)
		outcome := c.runTurn(ctx, &request, outputTokens)
		c.session.AddTurn(&request, outputTokens)
		if outcome != model.OutcomeServed || c.session.TurnsLeft == 0 || !sleep(ctx, c.source.ThinkTime()) {
			return
		}
	}
}

// runTurn sends a request, and again if it was shed, and counts its end.
func (c *sessionClient) runTurn(ctx context.Context, request *balancer.Request, outputTokens int) (outcome string) {
	p := c.player
	for retries := 0; ; retries++ {
		end := c.sendRequest(ctx, request, outputTokens)
		shed := end.Outcome == model.OutcomeShed || end.Outcome == model.OutcomeContract
		if shed && retries < c.stream.MaxRetries {
			p.mu.Lock()
			p.result.CountRetry(end.SentAt, request)
			p.mu.Unlock()
			if sleep(ctx, end.retryAfter+c.source.RetryDelay()) {
				continue
			}
		}
		p.mu.Lock()
		p.result.CountEnd(end.RequestEnd)
		p.mu.Unlock()
		return end.Outcome
	}
}
