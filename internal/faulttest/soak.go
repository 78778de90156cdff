package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/emulate"
	"archknot/internal/fleet/model"
)

// A soak: real processes before the emulated fleet, with a fault proxy before discovery, signals in
// series, operators' calls, replicas that fail, and system calls that do, all drawn by seed; clients keep
// using connections that stay open. An auditor judges the rules from both ends' records.

// SoakResult is what a soak saw.
type SoakResult struct {
	Seed       uint64        `json:"seed"`
	Sent       int           `json:"sent"`
	Outcomes   string        `json:"ends"`
	Attempts   int           `json:"attempts"`
	Events     []string      `json:"events"` // the timeline
	Violations []Violation   `json:"breaks"`
	Crashes    []string      `json:"crashes"`
	Duration   time.Duration `json:"took_ns"`
}

const (
	// clientsPerGateway is how many clients there are for each gateway, and meanThinkTime what each waits
	// between two requests in the mean.
	clientsPerGateway = 10
	meanThinkTime     = 120 * time.Millisecond
	// idleClientCount is the crowd of idle clients that some seeds have.
	idleClientCount = 60
	// killDelay is how long behind the longest deadline SIGKILL may follow SIGTERM; deadlines count as
	// 3 s where they are longer.
	killDelay, longestDeadline = 700 * time.Millisecond, 3 * time.Second
	// maxFreeze is how long a process may be held up.
	maxFreeze = 150 * time.Millisecond
	// drainCheckDelay is when a drained gateway must hold no client any more.
	drainCheckDelay = 4 * time.Second
	// adminTimeout bounds a call of operators.
	adminTimeout = time.Second
	// drainGrace is how long after an operator's yes or a list's drain new work may still come.
	drainGrace = 1500 * time.Millisecond
	// readyTimeout is how long a gateway that was started may take to serve.
	readyTimeout = 10 * time.Second
)

// soakRun is one that runs.
type soakRun struct {
	spec      *model.Spec
	cluster   *cluster
	fleet     *emulate.Fleet
	proxy     *faultProxy
	clients   *soakClients
	startedAt time.Time
	deadline  time.Duration // the longest, as it counts at a shutdown

	mu         sync.Mutex
	events     []string
	violations []Violation
	attempts   []emulate.ReplicaAttempt
	intervals  faultIntervals
	reserved   map[int]bool // replicas that operators have out, or are about to put back
}

// faultIntervals are the times that the auditor judges by.
type faultIntervals struct {
	ejections []ejectionInterval
	drains    []drainInterval
	outages   []interval // of discovery, by the proxy
	shutdowns []shutdownInterval

	deadline time.Duration // the longest, as it counts at a shutdown
}

type interval struct{ from, to time.Time }

// ejectionInterval is a time in which a gateway must send a replica nothing.
type ejectionInterval struct {
	gateway int
	replica string
	interval
}

// drainInterval is a time in which discovery lists a replica as draining.
type drainInterval struct {
	replica string
	interval
}

// shutdownInterval is the end of a gateway's process: told at from by SIGTERM, if it was, and over at to.
type shutdownInterval struct {
	gateway  int
	graceful bool
	interval
}

// Soak runs a specification's fleet and gateways for its time under events drawn by its seed.
func Soak(ctx context.Context, spec *model.Spec, o Options) (*SoakResult, error) {
	o, remove, err := o.withDefaults()
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
	s := &soakRun{spec: spec, fleet: fleet, reserved: map[int]bool{}}
	fleet.OnAttemptEnd = s.recordAttempt
	if s.proxy, err = newProxy(fleet.DiscoveryAddr); err != nil {
		return nil, err
	}
	defer s.proxy.close()
	spec.Drill.Operators, spec.Drill.SharedListener = true, spec.Seed%2 == 1
	if s.cluster, err = newCluster(spec, o.Program, o.Dir, s.proxy.addr); err != nil {
		return nil, err
	}
	defer s.cluster.close()
	starting, stop := context.WithTimeout(ctx, 30*time.Second)
	err = s.cluster.waitUntilReady(starting)
	stop()
	if err != nil {
		return nil, err
	}
	s.run(ctx)
	return s.result(time.Since(begun)), nil
}

// run lets traffic and events happen for the specification's time.
func (s *soakRun) run(ctx context.Context) {
	s.startedAt = time.Now()
	for _, k := range s.spec.Settings.Classes {
		s.deadline = max(s.deadline, time.Duration(k.Deadline)*time.Microsecond)
	}
	s.deadline = min(s.deadline, longestDeadline)
	s.clients = newSoakClients(s.spec, s.cluster.nodes)
	traffic, endTraffic := context.WithCancel(ctx)
	var senders, events sync.WaitGroup
	senders.Go(func() { s.clients.checkReadiness(traffic) })
	for i := range clientsPerGateway * len(s.cluster.nodes) {
		senders.Go(func() { s.clients.runClient(traffic, i, meanThinkTime) })
	}
	if s.spec.Seed%3 == 0 {
		senders.Go(func() { s.clients.openIdleConns(traffic, int(s.spec.Seed)%len(s.cluster.nodes), idleClientCount) })
	}
	eventful, endEvents := context.WithTimeout(ctx, time.Duration(s.spec.Duration)*time.Microsecond)
	for i, n := range s.cluster.nodes {
		events.Go(func() { s.gatewayEvents(eventful, n, s.newRandom(uint64(i)+10)) })
	}
	events.Go(func() { s.operatorEvents(eventful, s.newRandom(1)) })
	events.Go(func() { s.replicaEvents(eventful, s.newRandom(2)) })
	events.Go(func() { s.discoveryEvents(eventful, s.newRandom(3)) })
	events.Wait()
	endEvents()
	endTraffic()
	senders.Wait()
}

func (s *soakRun) newRandom(of uint64) *rand.Rand { return rand.New(rand.NewPCG(s.spec.Seed, of)) }

// between draws a time.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Float64()*float64(most-least))
}

// logEvent enters an event in the timeline.
func (s *soakRun) logEvent(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%7.3f ", time.Since(s.startedAt).Seconds())+fmt.Sprintf(format, args...))
}

// addViolation enters a broken rule.
func (s *soakRun) addViolation(rule, request, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.violations = append(s.violations, Violation{rule, request, fmt.Sprintf(format, args...)})
}

func (s *soakRun) recordAttempt(a emulate.ReplicaAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
}

// result judges what was seen.
func (s *soakRun) result(took time.Duration) *SoakResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &SoakResult{Seed: s.spec.Seed, Sent: len(s.clients.requests), Attempts: len(s.attempts), Events: s.events, Crashes: s.cluster.crashes(), Duration: took}
	r.Outcomes = s.clients.outcomeCounts()
	rules := Rules{MaxAttempts: s.spec.Settings.MaxAttempts, MayHedge: s.spec.Settings.MayHedge, NonIdempotent: map[string]bool{}, Tolerance: 100 * time.Millisecond}
	for _, k := range s.spec.Settings.Classes {
		rules.NonIdempotent[k.Name] = k.Idempotency == balancer.NonIdempotent
	}
	s.intervals.deadline = s.deadline
	a := newSoakAuditor(s.intervals, s.clients.requests, s.attempts)
	r.Violations = append(s.violations, a.withoutClientRetries(Audit(rules, nil, s.attempts))...)
	r.Violations = append(r.Violations, a.audit(s.attempts)...)
	slices.SortStableFunc(r.Violations, func(a, b Violation) int { return strings.Compare(a.Rule, b.Rule) })
	return r
}

// isReady tells whether a gateway says that it takes clients.
func (c *cluster) isReady(n *node) bool {
	resp, err := c.client.Get("http://" + n.addr + "/health/ready")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// openListenSocket opens the clients' listening socket that a gateway's lives share.
func (n *node) openListenSocket() error {
	l, err := retryListen(func() (net.Listener, error) { return net.Listen("tcp", n.addr) })
	if err != nil {
		return err
	}
	defer l.Close()
	n.listenSocket, err = l.(*net.TCPListener).File()
	return err
}

// withDefaults fills in what is not set; remove takes away what was made for it.
func (o Options) withDefaults() (full Options, remove func(), err error) {
	remove = func() {}
	if o.Program == "" {
		if o.Program, err = os.Executable(); err != nil {
			return o, remove, err
		}
	}
	if o.Dir != "" {
		return o, remove, os.MkdirAll(o.Dir, 0o755)
	}
	if o.Dir, err = os.MkdirTemp("", "archknot-drill-"); err != nil {
		return o, remove, err
	}
	return o, func() { os.RemoveAll(o.Dir) }, nil
}
