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
	Seed     uint64        `json:"seed"`
	Sent     int           `json:"sent"`
	Ends     string        `json:"ends"`
	Attempts int           `json:"attempts"`
	Events   []string      `json:"events"` // the timeline
	Breaks   []Break       `json:"breaks"`
	Crashes  []string      `json:"crashes"`
	Took     time.Duration `json:"took_ns"`
}

const (
	// soakClientsEach is how many clients there are for each gateway, and soakThink what each waits
	// between two requests in the mean.
	soakClientsEach = 10
	soakThink       = 120 * time.Millisecond
	// soakCrowd is the crowd of idle clients that some seeds have.
	soakCrowd = 60
	// earliestKill is how long behind the longest deadline SIGKILL may follow SIGTERM; deadlines count as
	// 3 s where they are longer.
	earliestKill, longestDeadline = 700 * time.Millisecond, 3 * time.Second
	// freezeMost is how long a process may be held up.
	freezeMost = 150 * time.Millisecond
	// drainedFor is when a drained gateway must hold no client any more.
	drainedFor = 4 * time.Second
	// answerOperators bounds a call of operators.
	answerOperators = time.Second
	// banGrace is how long after an operator's yes or a list's drain new work may still come.
	banGrace = 1500 * time.Millisecond
	// readyWithin is how long a gateway that was started may take to serve.
	readyWithin = 10 * time.Second
)

// soak is one that runs.
type soak struct {
	spec     *model.Spec
	c        *cluster
	fleet    *emulate.Fleet
	proxy    *proxy
	clients  *soakClients
	began    time.Time
	deadline time.Duration // the longest, as it counts at a shutdown

	mu       sync.Mutex
	events   []string
	breaks   []Break
	attempts []emulate.ReplicaAttempt
	spans    spans
	banned   map[int]bool // replicas that operators have out, or are about to put back
}

// spans are the times that the auditor judges by.
type spans struct {
	bans    []banSpan
	drains  []drainSpan
	outages []span // of discovery, by the proxy
	ends    []endSpan

	deadline time.Duration // the longest, as it counts at a shutdown
}

type span struct{ from, to time.Time }

// banSpan is a time in which a gateway must send a replica nothing.
type banSpan struct {
	gateway int
	replica string
	span
}

// drainSpan is a time in which discovery lists a replica as draining.
type drainSpan struct {
	replica string
	span
}

// endSpan is the end of a gateway's process: told at from by SIGTERM, if it was, and over at to.
type endSpan struct {
	gateway int
	told    bool
	span
}

// Soak runs a specification's fleet and gateways for its time under events drawn by its seed.
func Soak(ctx context.Context, spec *model.Spec, o Options) (*SoakResult, error) {
	o, remove, err := o.complete()
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
	s := &soak{spec: spec, fleet: fleet, banned: map[int]bool{}}
	fleet.OnAttemptEnd = s.worked
	if s.proxy, err = newProxy(fleet.DiscoveryAddr); err != nil {
		return nil, err
	}
	defer s.proxy.close()
	spec.Drill.Operators, spec.Drill.SharedListener = true, spec.Seed%2 == 1
	if s.c, err = newCluster(spec, o.Program, o.Dir, s.proxy.addr); err != nil {
		return nil, err
	}
	defer s.c.close()
	starting, stop := context.WithTimeout(ctx, 30*time.Second)
	err = s.c.ready(starting)
	stop()
	if err != nil {
		return nil, err
	}
	s.run(ctx)
	return s.result(time.Since(begun)), nil
}

// run lets traffic and events happen for the specification's time.
func (s *soak) run(ctx context.Context) {
	s.began = time.Now()
	for _, k := range s.spec.Settings.Classes {
		s.deadline = max(s.deadline, time.Duration(k.Deadline)*time.Microsecond)
	}
	s.deadline = min(s.deadline, longestDeadline)
	s.clients = newSoakClients(s.spec, s.c.nodes)
	traffic, endTraffic := context.WithCancel(ctx)
	var senders, events sync.WaitGroup
	senders.Go(func() { s.clients.front(traffic) })
	for i := range soakClientsEach * len(s.c.nodes) {
		senders.Go(func() { s.clients.client(traffic, i, soakThink) })
	}
	if s.spec.Seed%3 == 0 {
		senders.Go(func() { s.clients.crowd(traffic, int(s.spec.Seed)%len(s.c.nodes), soakCrowd) })
	}
	eventful, endEvents := context.WithTimeout(ctx, time.Duration(s.spec.Duration)*time.Microsecond)
	for i, n := range s.c.nodes {
		events.Go(func() { s.gatewayEvents(eventful, n, s.random(uint64(i)+10)) })
	}
	events.Go(func() { s.operators(eventful, s.random(1)) })
	events.Go(func() { s.replicas(eventful, s.random(2)) })
	events.Go(func() { s.discovery(eventful, s.random(3)) })
	events.Wait()
	endEvents()
	endTraffic()
	senders.Wait()
}

func (s *soak) random(of uint64) *rand.Rand { return rand.New(rand.NewPCG(s.spec.Seed, of)) }

// between draws a time.
func between(rng *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(rng.Float64()*float64(most-least))
}

// tell enters an event in the timeline.
func (s *soak) tell(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.events = append(s.events, fmt.Sprintf("%7.3f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// broke enters a broken rule.
func (s *soak) broke(rule, request, format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.breaks = append(s.breaks, Break{rule, request, fmt.Sprintf(format, args...)})
}

func (s *soak) worked(a emulate.ReplicaAttempt) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.attempts = append(s.attempts, a)
}

// result judges what was seen.
func (s *soak) result(took time.Duration) *SoakResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	r := &SoakResult{Seed: s.spec.Seed, Sent: len(s.clients.tries), Attempts: len(s.attempts), Events: s.events, Crashes: s.c.crashes(), Took: took}
	r.Ends = s.clients.counts()
	rules := Rules{Attempts: s.spec.Settings.MaxAttempts, Beside: s.spec.Settings.MayHedge, Once: map[string]bool{}, Slack: 100 * time.Millisecond}
	for _, k := range s.spec.Settings.Classes {
		rules.Once[k.Name] = k.Idempotency == balancer.NonIdempotent
	}
	s.spans.deadline = s.deadline
	a := newSoakAuditor(s.spans, s.clients.tries, s.attempts)
	r.Breaks = append(s.breaks, a.unlessSentAgain(Audit(rules, nil, s.attempts))...)
	r.Breaks = append(r.Breaks, a.judge(s.attempts)...)
	slices.SortStableFunc(r.Breaks, func(a, b Break) int { return strings.Compare(a.Rule, b.Rule) })
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

// hold opens the clients' listening socket that a gateway's lives share.
func (n *node) hold() error {
	l, err := soon(func() (net.Listener, error) { return net.Listen("tcp", n.addr) })
	if err != nil {
		return err
	}
	defer l.Close()
	n.socket, err = l.(*net.TCPListener).File()
	return err
}

// complete fills in what is not set; remove takes away what was made for it.
func (o Options) complete() (full Options, remove func(), err error) {
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
