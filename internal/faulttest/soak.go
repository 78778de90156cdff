package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"archknot/internal/fleet/emulate"
	"archknot/internal/fleet/model"
)

// SoakResult is the result of a soak.
type SoakResult struct {
	Seed       uint64        `json:"seed"`
	Sent       int           `json:"sent"`
	Outcomes   string        `json:"ends"` // number of requests by outcome, as text
	Attempts   int           `json:"attempts"`
	Events     []string      `json:"events"` // timeline, one line per event
	Violations []Violation   `json:"breaks"`
	Crashes    []string      `json:"crashes"`
	Duration   time.Duration `json:"took_ns"`
}

// The rules that only a soak checks, as Violation.Rule.
const (
	ruleStart    = "start"    // a gateway's process can be started
	ruleReady    = "ready"    // a started gateway becomes ready in time
	ruleOperator = "operator" // an operator's call succeeds, or fails if it is invalid
	ruleDrained  = "drained"  // a drained gateway loses all clients, and is ready again soon after it is resumed
	ruleLost     = "lost"     // a request gets a response, unless its gateway was killed
)

const (
	// clientsPerGateway is the number of clients for each gateway.
	clientsPerGateway = 10
	// meanThinkTime is the mean time that a client waits between two requests.
	meanThinkTime = 120 * time.Millisecond
	// idleClientCount is the number of clients without requests, in the seeds that have them.
	idleClientCount = 60
	// killDelay is added to the longest deadline to give the earliest time of SIGKILL after SIGTERM.
	killDelay = 700 * time.Millisecond
	// maxCountedDeadline is the upper limit of the deadline that counts for the time of SIGKILL.
	maxCountedDeadline = 3 * time.Second
	// maxFreeze is the longest time for which SIGSTOP stops a process.
	maxFreeze = 150 * time.Millisecond
	// drainCheckDelay is the time from the start of a drain after which the gateway must have no clients.
	drainCheckDelay = 4 * time.Second
	// adminTimeout is the time in which a gateway has to respond to an operator's call.
	adminTimeout = time.Second
	// ejectionGrace is the time after an accepted ejection in which attempts may still reach the replica.
	ejectionGrace = 1500 * time.Millisecond
	// drainGrace is the setting for the time in which attempts may still reach a replica that drains or is no
	// longer on the endpoint list.
	drainGrace = 2500 * time.Millisecond
	// transportGrace is added to drainGrace for the transport of an attempt over a socket.
	transportGrace = 50 * time.Millisecond
	// readyTimeout is the time in which a started gateway has to become ready while discovery is reachable.
	readyTimeout = 10 * time.Second
	// discoveryOutageAllowance is added to readyTimeout because discovery may be down.
	discoveryOutageAllowance = 6 * time.Second
	// soakTolerance is Rules.Tolerance of a soak's audit.
	soakTolerance = 100 * time.Millisecond
)

// The random number streams of a soak's tasks. Gateway i has the stream gatewayStream + i.
const (
	operatorStream    = 1
	replicaStream     = 2
	discoveryStream   = 3
	drainMannerStream = 4
	drainBatchStream  = 5
	gatewayStream     = 10
)

// soakRun holds the state of a running soak.
type soakRun struct {
	spec    *model.Spec
	cluster *cluster
	fleet   *emulate.Fleet
	links   []*discoveryLink // by gateway

	// drainBatchTriggers starts batches of drains.
	drainBatchTriggers chan struct{}
	clients            *soakClients
	// shutdownClients counts the clients that startShutdownClients has started.
	shutdownClients  sync.WaitGroup
	startedAt        time.Time
	shutdownDeadline time.Duration // the longest deadline of a class, at most maxCountedDeadline

	mu         sync.Mutex
	events     []string
	violations []Violation
	attempts   []emulate.ReplicaAttempt
	intervals  faultIntervals
	reserved   map[int]bool // indexes of replicas with an event in progress
}

// faultIntervals holds the times of events for the audit.
type faultIntervals struct {
	ejections []ejectionInterval
	changes   []emulate.ListChange
	links     []linkHistory // by gateway
	shutdowns []shutdownInterval
	pushed    bool // the gateways get pushed lists instead of polling discovery

	listenerCloses [][]time.Time // by gateway, from its log
}

type interval struct{ from, to time.Time }

// ejectionInterval is the time in which a replica is ejected at a gateway, which must send it no attempts.
type ejectionInterval struct {
	gateway int
	replica string
	interval
}

// shutdownInterval is the shutdown of a gateway's process, from the first signal to its exit.
type shutdownInterval struct {
	gateway  int
	graceful bool      // the first signal was SIGTERM
	killedAt time.Time // when the SIGKILL that ended it was sent; zero: it exited without one
	interval
}

// Soak runs a specification's fleet and gateways for its duration, with events drawn at random from its seed,
// and audits the records of clients and replicas. Each gateway has its own link to discovery, which injects
// faults. Rule violations and crashes are part of the result, not errors.
func Soak(ctx context.Context, spec *model.Spec, options Options) (*SoakResult, error) {
	options, remove, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	defer remove()
	begun := time.Now()
	fleet, err := emulate.Start(spec, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	s := &soakRun{spec: spec, fleet: fleet, reserved: map[int]bool{}, drainBatchTriggers: make(chan struct{})}
	fleet.OnAttemptEnd, fleet.OnListChange = s.recordAttempt, s.recordListChange
	defer s.closeLinks()
	if err := s.openLinks(); err != nil {
		return nil, err
	}
	s.applySeedSettings()
	if s.cluster, err = newCluster(spec, options.Program, options.Dir, func(i int) string { return s.links[i].proxy.addr }); err != nil {
		return nil, err
	}
	defer s.cluster.close()
	startCtx, stop := context.WithTimeout(ctx, startTimeout)
	err = s.cluster.waitUntilReady(startCtx)
	stop()
	if err != nil {
		return nil, err
	}
	s.run(ctx)
	return s.result(time.Since(begun)), nil
}

// fleetSizes are the numbers of gateways in the settings, selected by the seed.
var fleetSizes = []int{3, 200, 30, 900, 8}

const (
	// pushedListPeriod is the number of consecutive seeds of which one has pushed lists.
	pushedListPeriod = 4
	// openingPeriod is the number of consecutive seeds of which one hangs open calls at the start, and one, if its
	// lists are polled, hangs all calls for openingHangTime.
	openingPeriod = 3
)

// applySeedSettings sets the settings and the replicas' behavior that depend on the seed.
func (s *soakRun) applySeedSettings() {
	seed := s.spec.Seed
	s.spec.Drill.Operators = true
	s.spec.Drill.SharedListener = seed%2 == 1
	s.spec.Drill.FleetSize = fleetSizes[seed%uint64(len(fleetSizes))]
	s.spec.Settings.PollDiscovery = seed%pushedListPeriod != 0
	s.spec.Settings.DrainGrace = drainGrace.Microseconds()
	s.intervals.pushed = !s.spec.Settings.PollDiscovery
	rng := s.newRandom(drainMannerStream)
	for _, replica := range s.fleet.Replicas {
		replica.SetDrainMode(emulate.DrainMode(rng.IntN(emulate.DrainModeCount)))
	}
	s.startedAt = time.Now()
	s.logEvent("fleet size in the settings: %d gateways, pushed lists: %t", s.spec.Drill.FleetSize, s.intervals.pushed)
}

// openLinks opens a link to discovery for each gateway.
func (s *soakRun) openLinks() error {
	for range s.spec.Gateways {
		link, err := newDiscoveryLink(s.fleet.DiscoveryAddr)
		if err != nil {
			return err
		}
		s.links = append(s.links, link)
	}
	return nil
}

func (s *soakRun) closeLinks() {
	for _, link := range s.links {
		link.close()
	}
}

// run generates traffic and events for the specification's duration.
func (s *soakRun) run(ctx context.Context) {
	s.startedAt = time.Now()
	for _, class := range s.spec.Settings.Classes {
		s.shutdownDeadline = max(s.shutdownDeadline, time.Duration(class.Deadline)*time.Microsecond)
	}
	s.shutdownDeadline = min(s.shutdownDeadline, maxCountedDeadline)
	s.clients = newSoakClients(s.spec, s.cluster.nodes)
	trafficCtx, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var traffic, events sync.WaitGroup
	s.startTraffic(trafficCtx, &traffic)
	switch opening := s.spec.Seed % openingPeriod; {
	case opening == 1:
		s.playOpening(ctx, (*discoveryLink).hangOpenCalls)
	case opening == 2 && !s.intervals.pushed: // with pushed lists the agent's calls would hang too, so it would have no new list to push
		s.playOpening(ctx, func(link *discoveryLink) { link.hangCallsFor(openingHangTime) })
	}
	eventCtx, endEvents := context.WithTimeout(ctx, time.Duration(s.spec.Duration)*time.Microsecond)
	defer endEvents()
	s.startEvents(eventCtx, &events)
	events.Wait()
	s.shutdownClients.Wait()
	endTraffic()
	traffic.Wait()
}

// startTraffic starts the clients. Every third seed has idle clients as well.
func (s *soakRun) startTraffic(ctx context.Context, tasks *sync.WaitGroup) {
	nodes := len(s.cluster.nodes)
	tasks.Go(func() { s.clients.checkReadiness(ctx) })
	for i := range clientsPerGateway * nodes {
		tasks.Go(func() { s.clients.runClient(ctx, i, meanThinkTime) })
	}
	if s.spec.Seed%3 == 0 {
		tasks.Go(func() { s.clients.openIdleConns(ctx, int(s.spec.Seed)%nodes, idleClientCount) })
	}
}

// startEvents starts the tasks that draw and play events. Each has its own random number stream.
func (s *soakRun) startEvents(ctx context.Context, tasks *sync.WaitGroup) {
	for i, n := range s.cluster.nodes {
		tasks.Go(func() { s.gatewayEvents(ctx, n, s.newRandom(uint64(i)+gatewayStream)) })
	}
	tasks.Go(func() { s.operatorEvents(ctx, s.newRandom(operatorStream)) })
	tasks.Go(func() { s.replicaEvents(ctx, s.newRandom(replicaStream)) })
	tasks.Go(func() { s.discoveryEvents(ctx, s.newRandom(discoveryStream)) })
	tasks.Go(func() { s.drainBatchEvents(ctx, s.newRandom(drainBatchStream)) })
}

func (s *soakRun) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.spec.Seed, stream))
}

// between draws a duration from the range [least, most).
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Float64()*float64(most-least))
}

// logEvent adds an event to the timeline.
func (s *soakRun) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// addViolation adds a violation that is not about a request.
func (s *soakRun) addViolation(rule, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, Violation{Rule: rule, Details: fmt.Sprintf(format, args...)})
}

func (s *soakRun) recordListChange(change emulate.ListChange) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intervals.changes = append(s.intervals.changes, change)
}

func (s *soakRun) recordAttempt(attempt emulate.ReplicaAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, attempt)
}

// result audits the records and returns the result.
func (s *soakRun) result(duration time.Duration) *SoakResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, n := range s.cluster.nodes {
		s.intervals.listenerCloses = append(s.intervals.listenerCloses, s.cluster.logTimes(n, "listener_closed"))
	}
	for _, link := range s.links {
		s.intervals.links = append(s.intervals.links, link.history())
	}
	auditor := newSoakAuditor(s.intervals, s.clients.requests, s.attempts)
	rules := newRules(s.spec, soakTolerance)
	violations := append(s.violations, auditor.withoutClientRetries(Audit(rules, nil, s.attempts))...)
	violations = append(violations, auditor.audit(s.attempts)...)
	slices.SortStableFunc(violations, func(a, b Violation) int { return strings.Compare(a.Rule, b.Rule) })
	return &SoakResult{
		Seed:       s.spec.Seed,
		Sent:       len(s.clients.requests),
		Outcomes:   s.clients.outcomeCounts(),
		Attempts:   len(s.attempts),
		Events:     s.events,
		Violations: violations,
		Crashes:    s.cluster.crashes(),
		Duration:   duration,
	}
}
