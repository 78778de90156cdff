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
	Outcomes   string        `json:"ends"` // the number of requests by outcome
	Attempts   int           `json:"attempts"`
	Events     []string      `json:"events"` // the timeline
	Violations []Violation   `json:"breaks"`
	Crashes    []string      `json:"crashes"`
	Duration   time.Duration `json:"took_ns"`
}

// The rules of a soak besides those of Audit and ruleDrain, as Violation.Rule.
const (
	ruleStart    = "start"    // a process starts
	ruleReady    = "ready"    // a started gateway becomes ready in time
	ruleOperator = "operator" // an operator's call has the expected result
	ruleDrained  = "drained"  // a drained gateway gets rid of its clients, and takes them again when resumed
	ruleLost     = "lost"     // a request gets a response, unless its gateway was killed
)

const (
	// clientsPerGateway is the number of clients for each gateway, meanThinkTime the mean time that each
	// waits between two requests.
	clientsPerGateway = 10
	meanThinkTime     = 120 * time.Millisecond
	// idleClientCount is how many clients without requests some seeds have.
	idleClientCount = 60
	// killDelay is the time from the longest deadline after SIGTERM to the earliest SIGKILL. Deadlines over
	// longestDeadline count as that.
	killDelay, longestDeadline = 700 * time.Millisecond, 3 * time.Second
	// maxFreeze is how long a process may be stopped.
	maxFreeze = 150 * time.Millisecond
	// drainCheckDelay is when a drained gateway must have no client any more.
	drainCheckDelay = 4 * time.Second
	// adminTimeout bounds an operator's call.
	adminTimeout = time.Second
	// ejectionGrace is how long after an accepted ejection attempts may still reach the replica.
	ejectionGrace = 1500 * time.Millisecond
	// drainGrace is the settings' grace for drains and ends in the endpoint list, and socketGrace what the
	// protocol adds to it on sockets.
	drainGrace, socketGrace = 2500 * time.Millisecond, 50 * time.Millisecond
	// readyTimeout is how long a started gateway may take to become ready, outageAllowance what is added
	// because discovery may be down.
	readyTimeout, outageAllowance = 10 * time.Second, 6 * time.Second
	// soakTolerance is the tolerance of a soak's audit.
	soakTolerance = 100 * time.Millisecond
)

// The random numbers of a soak's tasks among those of a seed. Those of gateway i begin at gatewayStream.
const (
	operatorStream  = 1
	replicaStream   = 2
	discoveryStream = 3
	mannerStream    = 4
	waveStream      = 5
	gatewayStream   = 10
)

// soakRun is a soak under way.
type soakRun struct {
	spec    *model.Spec
	cluster *cluster
	fleet   *emulate.Fleet
	links   []*discoveryLink // by gateway

	// waveOccasions start waves of drains.
	waveOccasions chan struct{}
	clients       *soakClients
	// shutdownClients are the clients of shutdowns.
	shutdownClients sync.WaitGroup
	startedAt       time.Time
	deadline        time.Duration // the longest, as it counts for a shutdown

	mu         sync.Mutex
	events     []string
	violations []Violation
	attempts   []emulate.ReplicaAttempt
	intervals  faultIntervals
	reserved   map[int]bool // replicas that an event is under way for
}

// faultIntervals are the times of events, for the audit.
type faultIntervals struct {
	ejections []ejectionInterval
	changes   []emulate.ListChange
	links     []linkHistory // by gateway
	shutdowns []shutdownInterval
	pushed    bool // lists are pushed to the gateways

	listenerCloses [][]time.Time // by gateway, as its processes logged them
}

type interval struct{ from, to time.Time }

// ejectionInterval is a time in which a gateway must send a replica nothing.
type ejectionInterval struct {
	gateway int
	replica string
	interval
}

// shutdownInterval is the end of a gateway's process, from its first signal to its exit.
type shutdownInterval struct {
	gateway  int
	graceful bool      // the first signal was SIGTERM
	killedAt time.Time // when the SIGKILL that ended it was sent; zero: it ended by itself
	interval
}

// Soak runs a specification's fleet and gateways for its duration, with events drawn by its seed, and
// audits what clients and replicas recorded. Each gateway has a link of its own to discovery, which plays
// faults.
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
	s := &soakRun{spec: spec, fleet: fleet, reserved: map[int]bool{}, waveOccasions: make(chan struct{})}
	fleet.OnAttemptEnd, fleet.OnListChange = s.recordAttempt, s.recordListChange
	defer s.closeLinks()
	if err := s.openLinks(); err != nil {
		return nil, err
	}
	s.drawSettings()
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

// fleetSizes are the numbers of gateways that the settings name, and pushedEvery is how many seeds have one with
// pushed lists.
var fleetSizes = []int{3, 200, 30, 900, 8}

const pushedEvery = 4

// openingEvery is how many seeds have one of each opening that playOpening has; the longer one is for polled lists.
const openingEvery = 3

// drawSettings sets what a seed decides about the deployment.
func (s *soakRun) drawSettings() {
	seed := s.spec.Seed
	s.spec.Drill.Operators = true
	s.spec.Drill.SharedListener = seed%2 == 1
	s.spec.Drill.FleetSize = fleetSizes[seed%uint64(len(fleetSizes))]
	s.spec.Settings.PollDiscovery = seed%pushedEvery != 0
	s.spec.Settings.DrainGrace = drainGrace.Microseconds()
	s.intervals.pushed = !s.spec.Settings.PollDiscovery
	rng := s.newRandom(mannerStream)
	for _, replica := range s.fleet.Replicas {
		replica.SetDrainManner(emulate.DrainManner(rng.IntN(emulate.DrainMannerCount)))
	}
	s.startedAt = time.Now()
	s.logEvent("the settings name %d gateways, pushed lists: %t", s.spec.Drill.FleetSize, s.intervals.pushed)
}

// openLinks opens each gateway's link to discovery.
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

// run plays traffic and events for the specification's duration.
func (s *soakRun) run(ctx context.Context) {
	s.startedAt = time.Now()
	for _, class := range s.spec.Settings.Classes {
		s.deadline = max(s.deadline, time.Duration(class.Deadline)*time.Microsecond)
	}
	s.deadline = min(s.deadline, longestDeadline)
	s.clients = newSoakClients(s.spec, s.cluster.nodes)
	trafficCtx, endTraffic := context.WithCancel(ctx)
	defer endTraffic()
	var traffic, events sync.WaitGroup
	s.startTraffic(trafficCtx, &traffic)
	switch opening := s.spec.Seed % openingEvery; {
	case opening == 1:
		s.playOpening(ctx, (*discoveryLink).silence)
	case opening == 2 && !s.intervals.pushed: // an agent that answers no call has learnt nothing either
		s.playOpening(ctx, func(link *discoveryLink) { link.silenceFor(openingSilence) })
	}
	eventCtx, endEvents := context.WithTimeout(ctx, time.Duration(s.spec.Duration)*time.Microsecond)
	defer endEvents()
	s.startEvents(eventCtx, &events)
	events.Wait()
	s.shutdownClients.Wait()
	endTraffic()
	traffic.Wait()
}

// startTraffic starts the clients. Each third seed has idle ones as well.
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

// startEvents starts the tasks that draw events.
func (s *soakRun) startEvents(ctx context.Context, tasks *sync.WaitGroup) {
	for i, n := range s.cluster.nodes {
		tasks.Go(func() { s.gatewayEvents(ctx, n, s.newRandom(uint64(i)+gatewayStream)) })
	}
	tasks.Go(func() { s.operatorEvents(ctx, s.newRandom(operatorStream)) })
	tasks.Go(func() { s.replicaEvents(ctx, s.newRandom(replicaStream)) })
	tasks.Go(func() { s.discoveryEvents(ctx, s.newRandom(discoveryStream)) })
	tasks.Go(func() { s.waveEvents(ctx, s.newRandom(waveStream)) })
}

func (s *soakRun) newRandom(stream uint64) *rand.Rand {
	return rand.New(rand.NewPCG(s.spec.Seed, stream))
}

// between draws a duration between two others.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Float64()*float64(most-least))
}

// logEvent adds an event to the timeline.
func (s *soakRun) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// addViolation adds a violation that no request belongs to.
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
