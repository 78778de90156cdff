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

// maxSessions limits the concurrent sessions of a run. Further sessions are skipped and counted.
const maxSessions = 4000

// GenerateLoad sends the traffic of a Spec to gateways for the duration of the Spec, and injects its faults into the
// fleet. The gateways must have loopback addresses. It returns the results of the requests, and the number of
// sessions that were skipped because too many were open.
func GenerateLoad(ctx context.Context, f *Fleet, spec *model.Spec, gateways []string) (result *model.Result, skippedSessions int, err error) {
	ignore := Observer{OnState: func(*ClientAttempt, string) {}, OnEnd: func(*ClientAttempt) {}}
	return GenerateLoadObserved(ctx, f, spec, gateways, ignore)
}

// GenerateLoadObserved sends the traffic and notifies an observer of each client attempt. If the fleet is nil, only the
// faults of the traffic are injected.
func GenerateLoadObserved(ctx context.Context, f *Fleet, spec *model.Spec, gateways []string, observer Observer) (result *model.Result, skippedSessions int, err error) {
	for _, addr := range gateways {
		if !isLoopback(addr) {
			return nil, 0, fmt.Errorf("%s: %w", addr, errNotLoopback)
		}
	}
	generator := newLoadGenerator(spec, gateways, observer)
	ctx, stop := context.WithTimeout(ctx, time.Duration(spec.Duration)*time.Microsecond)
	defer stop()
	for _, fault := range spec.Faults {
		if fault.Kind == model.FaultBurst || fault.Kind == model.FaultHotPrefix {
			generator.trafficFaults = append(generator.trafficFaults, fault)
			continue
		}
		generator.tasks.Go(func() { runFault(ctx, f, fault) })
	}
	for i := range spec.Streams {
		generator.tasks.Go(func() { generator.runStream(ctx, i) })
	}
	generator.tasks.Wait()
	generator.client.CloseIdleConnections()
	generator.mu.Lock()
	defer generator.mu.Unlock()
	generator.result.Finish()
	return generator.result, generator.skippedSessions, nil
}

// loadGenerator emulates the clients of a run.
type loadGenerator struct {
	spec          *model.Spec
	observer      Observer
	gateways      []string
	trafficFaults []model.Fault // bursts and hot prefixes, which change the clients' traffic
	startedAt     time.Time
	client        *http.Client
	slots         chan struct{} // semaphore of the open sessions
	tasks         sync.WaitGroup

	mu              sync.Mutex
	result          *model.Result
	skippedSessions int
	lastID          int
}

func newLoadGenerator(spec *model.Spec, gateways []string, observer Observer) *loadGenerator {
	transport := &http.Transport{MaxIdleConnsPerHost: 1000, DisableCompression: true, IdleConnTimeout: 5 * time.Second}
	return &loadGenerator{
		spec:      spec,
		observer:  observer,
		gateways:  gateways,
		startedAt: time.Now(),
		client:    &http.Client{Transport: transport},
		slots:     make(chan struct{}, maxSessions),
		result:    model.NewResult(spec),
	}
}

// now returns the time since the start of the traffic.
func (g *loadGenerator) now() balancer.Micros { return time.Since(g.startedAt).Microseconds() }

// sleep returns true after the delay d, or false once ctx is done.
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

// runFault starts and ends a fault of the fleet at its scheduled times. A fault without a duration does not end.
func runFault(ctx context.Context, fleet *Fleet, fault model.Fault) {
	if fleet == nil || !sleep(ctx, fault.At) {
		return
	}
	fleet.StartFault(fault)
	if fault.Duration > 0 {
		sleep(ctx, fault.Duration)
		fleet.EndFault(fault)
	}
}

// trafficFactor returns the factor of the active traffic fault of the kind, or normal if there is none.
func (g *loadGenerator) trafficFactor(kind string, normal float64) float64 {
	now := g.now()
	for _, fault := range g.trafficFaults {
		if fault.Kind == kind && now >= fault.At && (fault.Duration == 0 || now < fault.At+fault.Duration) {
			return fault.Factor
		}
	}
	return normal
}

// runStream starts the sessions of a stream until ctx is done.
func (g *loadGenerator) runStream(ctx context.Context, index int) {
	stream := &g.spec.Streams[index]
	arrivals := model.NewSource(stream, rand.New(rand.NewPCG(g.spec.Seed, uint64(index)*2)))
	sessionNumber := uint64(0)
	start := func(session *model.Session, delay balancer.Micros) {
		sessionNumber++
		g.startSession(ctx, index, sessionNumber, session, delay)
	}
	sessions, nextTurnIn := arrivals.SessionsInProgress()
	for i, session := range sessions {
		start(session, nextTurnIn[i])
	}
	for next := g.now(); ; {
		next += arrivals.NextArrival(g.trafficFactor(model.FaultBurst, 1))
		if !sleep(ctx, next-g.now()) {
			return
		}
		start(arrivals.NewSession(g.trafficFactor(model.FaultHotPrefix, 0)), 0)
	}
}

// startSession starts a session of a stream after a delay. Each session has its own random number generators,
// so that its requests do not depend on how quickly other sessions are served.
func (g *loadGenerator) startSession(ctx context.Context, streamIndex int, sessionNumber uint64, session *model.Session, delay balancer.Micros) {
	select {
	case g.slots <- struct{}{}:
	default:
		g.mu.Lock()
		g.skippedSessions++
		g.mu.Unlock()
		return
	}
	stream := &g.spec.Streams[streamIndex]
	c := &sessionClient{
		generator: g,
		stream:    stream,
		class:     g.spec.ClassOf(stream),
		session:   session,
		source:    model.NewSource(stream, rand.New(rand.NewPCG(g.spec.Seed^sessionNumber<<20, uint64(streamIndex)*2+1))),
		rng:       rand.New(rand.NewPCG(g.spec.Seed+sessionNumber, 77)),
	}
	g.tasks.Go(func() {
		defer func() { <-g.slots }()
		if sleep(ctx, delay) {
			c.run(ctx)
		}
	})
}

// sessionClient is the client of one session.
type sessionClient struct {
	generator *loadGenerator
	stream    *model.Stream
	class     *balancer.Class
	session   *model.Session
	source    *model.Source
	rng       *rand.Rand // picks gateways
}

// run sends the session's turns one after another until one is not served.
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

// runTurn sends a request, retries it while it is rejected, and records its result.
func (c *sessionClient) runTurn(ctx context.Context, request *balancer.Request, outputTokens int) (outcome string) {
	generator := c.generator
	for retries := 0; ; retries++ {
		end := c.sendRequest(ctx, request, outputTokens)
		shed := end.Outcome == model.OutcomeShed || end.Outcome == model.OutcomeContract
		if shed && retries < c.stream.MaxRetries {
			generator.mu.Lock()
			generator.result.CountRetry(end.SentAt, request)
			generator.mu.Unlock()
			if sleep(ctx, end.retryAfter+c.source.RetryDelay()) {
				continue
			}
		}
		generator.mu.Lock()
		generator.result.CountEnd(end.RequestEnd)
		generator.mu.Unlock()
		return end.Outcome
	}
}
