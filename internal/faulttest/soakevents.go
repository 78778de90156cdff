package faulttest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"archknot/internal/fleet/emulate"
	"archknot/internal/fleet/model"
)

// This file has the events of a soak. Each task draws its events from its own random numbers.

const (
	// pollInterval is the time between two checks for a condition that an event waits for.
	pollInterval = 20 * time.Millisecond
	// resumeTimeout is how long a resumed gateway is waited for, maxResumeTime how long it may take.
	resumeTimeout, maxResumeTime = 3 * time.Second, 2 * time.Second
	// orderTries is how often a maintenance order is given until it is accepted, at orderInterval.
	orderTries, orderInterval = 60, 50 * time.Millisecond
	// limitWhileShort is the limit on descriptors, or on the size of files, of a process that is short of
	// them.
	limitWhileShort = 5
	// slowFactor is how much slower a replica with the fault model.FaultSlow is.
	slowFactor = 3
)

// The maintenance orders.
const (
	orderDisable = "disable" // eject the replica
	orderEnable  = "enable"  // reinstate it
)

// gatewayEvent is something that happens to a gateway.
type gatewayEvent func(ctx context.Context, n *node, rng *rand.Rand)

// gatewayEvents plays events of a gateway, one after another, until the context ends.
func (s *soakRun) gatewayEvents(ctx context.Context, n *node, rng *rand.Rand) {
	events := []gatewayEvent{
		s.sendHangups,
		s.freeze,
		s.kill,
		s.terminate,
		s.drainClients,
		s.limitResource(unix.RLIMIT_NOFILE, "descriptors"),
		s.limitResource(unix.RLIMIT_FSIZE, "disk"),
	}
	if s.spec.Drill.SharedListener {
		events = append(events, s.upgrade, s.upgrade)
	}
	wait := func() { pause(ctx, between(rng, 200*time.Millisecond, 1500*time.Millisecond)) }
	for wait(); ctx.Err() == nil; wait() {
		events[rng.IntN(len(events))](ctx, n, rng)
	}
}

// sendHangups sends SIGHUP a few times in a row.
func (s *soakRun) sendHangups(_ context.Context, n *node, rng *rand.Rand) {
	times := 1 + rng.IntN(3)
	s.logEvent("%s SIGHUP, %d times", n.name, times)
	for range times {
		n.signal(syscall.SIGHUP)
	}
}

// freeze stops the process for moments.
func (s *soakRun) freeze(_ context.Context, n *node, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(between(rng, maxFreeze/3, maxFreeze))
		n.signal(syscall.SIGCONT)
		time.Sleep(maxFreeze)
	}
	s.logEvent("%s was stopped for moments", n.name)
}

// drainClients has operators drain a gateway, checks it drainCheckDelay later, and has them resume it.
func (s *soakRun) drainClients(ctx context.Context, n *node, _ *rand.Rand) {
	if status := s.callAdmin(ctx, n, http.MethodPut, "/-/drain"); !isSuccess(status) {
		s.addViolation(ruleOperator, "%s drain: status %d", n.name, status)
		return
	}
	from := time.Now()
	s.logEvent("%s drained by operators", n.name)
	time.Sleep(drainCheckDelay)
	if remaining := s.clients.remainingAt(n.index, from.Add(drainCheckDelay/2)); len(remaining) > 0 {
		s.addViolation(ruleDrained, "%s has %d connections and requests of clients 4 s after the call: %s", n.name, len(remaining), remaining[0])
	}
	checkCtx := context.WithoutCancel(ctx) // a drain that has begun is completed
	if s.cluster.isReady(checkCtx, n) {
		s.addViolation(ruleDrained, "%s answers that it is ready 4 s after the call", n.name)
	}
	if status := s.callAdmin(ctx, n, http.MethodPut, "/-/resume"); !isSuccess(status) {
		s.addViolation(ruleOperator, "%s resume: status %d", n.name, status)
	}
	resumed := time.Now()
	for !s.cluster.isReady(checkCtx, n) && time.Since(resumed) < resumeTimeout {
		time.Sleep(pollInterval)
	}
	if took := time.Since(resumed); took > maxResumeTime {
		s.addViolation(ruleDrained, "%s is ready %v after the drain's end", n.name, took)
	}
	s.logEvent("%s resumed", n.name)
}

// limitResource returns an event in which a process's system calls fail for a while because a resource is
// short.
func (s *soakRun) limitResource(resource int, name string) gatewayEvent {
	return func(_ context.Context, n *node, rng *rand.Rand) {
		restore, ok := limitProcess(n.pid(), resource)
		if !ok {
			return
		}
		s.logEvent("%s has no %s", n.name, name)
		time.Sleep(between(rng, 200*time.Millisecond, time.Second))
		restore()
		s.logEvent("%s has %s again", n.name, name)
	}
}

// limitProcess limits a resource of a process to limitWhileShort until restore is called. ok is false if the
// process does not run.
func limitProcess(pid, resource int) (restore func(), ok bool) {
	var usual unix.Rlimit
	if pid == 0 || unix.Prlimit(pid, resource, nil, &usual) != nil {
		return nil, false
	}
	// The process may end meanwhile: then there is nothing to limit.
	_ = unix.Prlimit(pid, resource, &unix.Rlimit{Cur: min(limitWhileShort, usual.Max), Max: usual.Max}, nil)
	return func() { _ = unix.Prlimit(pid, resource, &usual, nil) }, true
}

// callAdmin makes an operator's call to the process that serves now. It returns the status, 0 without an
// answer in time. A call is made also once the context has ended.
func (s *soakRun) callAdmin(ctx context.Context, n *node, method, path string) int {
	adminAddr := n.adminAddr()
	if adminAddr == "" {
		return 0
	}
	client := http.Client{Timeout: adminTimeout + answerTolerance, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequestWithContext(context.WithoutCancel(ctx), method, "http://"+adminAddr+path, nil)
	if err != nil {
		return 0
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// isSuccess reports whether a status is one of success.
func isSuccess(status int) bool { return status >= 200 && status < 300 }

// operatorEvents ejects replicas at all gateways, restarts some and reinstates them.
func (s *soakRun) operatorEvents(ctx context.Context, rng *rand.Rand) {
	for pause(ctx, between(rng, 0, time.Second)); ctx.Err() == nil; pause(ctx, between(rng, 500*time.Millisecond, time.Second)) {
		index := s.reserve(rng)
		if index < 0 {
			continue
		}
		s.maintainReplica(ctx, rng, index)
		s.release(index)
		anyNode := s.cluster.nodes[rng.IntN(len(s.cluster.nodes))]
		if status := s.callAdmin(ctx, anyNode, http.MethodPut, "/-/replicas/never-listed/"+orderDisable); isSuccess(status) {
			s.addViolation(ruleOperator, "a replica that was never listed: status %d", status)
		}
	}
}

// maintainReplica ejects a replica at all gateways, restarts it at times, and reinstates it.
func (s *soakRun) maintainReplica(ctx context.Context, rng *rand.Rand, index int) {
	replica := s.fleet.Replicas[index].Name
	s.logEvent("operators eject %s", replica)
	ejectedAt := make([]time.Time, len(s.cluster.nodes))
	for i, n := range s.cluster.nodes {
		ejectedAt[i] = s.orderUntilAccepted(ctx, n, replica, orderDisable)
	}
	pause(ctx, ejectionGrace)
	if rng.IntN(2) == 0 {
		s.logEvent("%s is restarted", replica)
		s.fleet.StartFault(model.Fault{Kind: model.FaultKill, Replica: index})
		time.Sleep(between(rng, 200*time.Millisecond, time.Second))
		s.fleet.EndFault(model.Fault{Kind: model.FaultKill, Replica: index})
	}
	pause(ctx, between(rng, time.Second, 3*time.Second))
	for i, n := range s.cluster.nodes {
		if !ejectedAt[i].IsZero() {
			s.recordEjection(i, replica, ejectedAt[i])
		}
		s.orderUntilAccepted(ctx, n, replica, orderEnable)
	}
	s.logEvent("operators have reinstated %s", replica)
}

// recordEjection records an ejection that ends now.
func (s *soakRun) recordEjection(gateway int, replica string, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intervals.ejections = append(s.intervals.ejections, ejectionInterval{gateway, replica, interval{from, time.Now()}})
}

// orderUntilAccepted gives a maintenance order until the gateway accepts it: it may be starting, ending, or
// short of disk space. It returns when the gateway accepted it, or the zero time.
func (s *soakRun) orderUntilAccepted(ctx context.Context, n *node, replica, order string) time.Time {
	for range orderTries {
		if isSuccess(s.callAdmin(ctx, n, http.MethodPut, "/-/replicas/"+replica+"/"+order)) {
			return time.Now()
		}
		if order == orderDisable && ctx.Err() != nil {
			break
		}
		time.Sleep(orderInterval)
	}
	s.logEvent("%s does not accept %s %s", n.name, order, replica)
	return time.Time{}
}

// reserve reserves a replica without an event under way for the next event. It returns its index, or -1 if
// half of the replicas have one.
func (s *soakRun) reserve(rng *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reserved)*2 >= len(s.fleet.Replicas) {
		return -1
	}
	for {
		if index := rng.IntN(len(s.fleet.Replicas)); !s.reserved[index] {
			s.reserved[index] = true
			return index
		}
	}
}

// release ends a reservation.
func (s *soakRun) release(index int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, index)
}

// replicaEvents plays faults of replicas, and drains in the endpoint list.
func (s *soakRun) replicaEvents(ctx context.Context, rng *rand.Rand) {
	kinds := []string{
		model.FaultDrain,
		model.FaultDrain,
		model.FaultKill,
		model.FaultSilent,
		model.FaultSlow,
		model.FaultReset,
		model.FaultMalformed,
		model.FaultLoseMachine,
	}
	for pause(ctx, between(rng, 0, time.Second)); ctx.Err() == nil; pause(ctx, between(rng, 200*time.Millisecond, time.Second)) {
		index := s.reserve(rng)
		if index < 0 {
			continue
		}
		fault := model.Fault{Kind: kinds[rng.IntN(len(kinds))], Replica: index, Factor: 1}
		if fault.Kind == model.FaultSlow {
			fault.Factor = slowFactor
		}
		s.playFault(ctx, fault, between(rng, 1500*time.Millisecond, 5*time.Second))
		s.release(index)
	}
}

// playFault plays a replica's fault for a duration.
func (s *soakRun) playFault(ctx context.Context, fault model.Fault, duration time.Duration) {
	replica := s.fleet.Replicas[fault.Replica].Name
	s.logEvent("%s: %s", replica, fault.Kind)
	s.fleet.StartFault(fault)
	pause(ctx, duration)
	s.fleet.EndFault(fault)
	s.logEvent("%s: the end of %s", replica, fault.Kind)
}

const (
	// maxWave is how many replicas drain at once at most, and the next ones how long they do.
	maxWave                    = 3
	minWaveDrain, maxWaveDrain = time.Second, 12 * time.Second
	// drainToEndShare is the part of the drained replicas that drain to the end.
	drainToEndShare = 0.25
	// minReplaceTime and maxReplaceTime bound the time between two processes of a replica.
	minReplaceTime, maxReplaceTime = 100 * time.Millisecond, 800 * time.Millisecond
)

// waveEvents drains replicas in waves, and replaces them in place: one is gone, and ready again under its id,
// while the rest of the wave drains. Some drain to the end. A wave begins from time to time, or when a fault of
// discovery gives the occasion.
func (s *soakRun) waveEvents(ctx context.Context, rng *rand.Rand) {
	var waves sync.WaitGroup
	for ctx.Err() == nil {
		select {
		case <-s.waveOccasions:
		case <-time.After(between(rng, 2*time.Second, 6*time.Second)):
		case <-ctx.Done():
		}
		var wave []drainedReplica
		for range 1 + rng.IntN(maxWave) {
			if index := s.reserve(rng); index >= 0 && ctx.Err() == nil {
				toEnd := rng.Float64() < drainToEndShare
				wave = append(wave, drainedReplica{index, between(rng, minWaveDrain, maxWaveDrain), between(rng, minReplaceTime, maxReplaceTime), toEnd})
			}
		}
		waves.Go(func() { s.playWave(ctx, wave) })
	}
	waves.Wait()
}

// drainedReplica is a replica of a wave.
type drainedReplica struct {
	index       int
	drainsFor   time.Duration // from the end of the replica before it
	replaceTime time.Duration
	toEnd       bool // it drains to the end of the run
}

// playWave drains replicas at once, and replaces one after the other.
func (s *soakRun) playWave(ctx context.Context, wave []drainedReplica) {
	for _, replica := range wave {
		s.logEvent("%s: drains in a wave", s.fleet.Replicas[replica.index].Name)
		s.fleet.StartFault(model.Fault{Kind: model.FaultDrain, Replica: replica.index})
	}
	for _, replica := range wave {
		if replica.toEnd {
			continue
		}
		pause(ctx, replica.drainsFor)
		s.replaceInPlace(replica)
		s.release(replica.index)
	}
}

const (
	// openingWave is how many replicas drain in the opening, and for how long.
	openingWave  = 4
	openingDrain = 11 * time.Second
	// openingWatch is how long watches are open before they fall silent, openingChange how long behind that the
	// replicas begin to drain.
	openingWatch, openingChange = 500 * time.Millisecond, 100 * time.Millisecond
	// openingSilence is how long no call is answered in the opening of the seeds that have this one: longer than
	// the replicas drain, which is longer than a list is used.
	openingSilence = openingDrain + time.Second
)

// playOpening has all open watches fall silent, or all calls for longer than a list is used, and replicas that take
// work begin to drain right behind that; nothing else happens meanwhile, so that a gateway has nothing but its own
// calls to learn of it.
func (s *soakRun) playOpening(ctx context.Context, silence func(*discoveryLink)) {
	pause(ctx, openingWatch)
	s.logEvent("open watches of all gateways fall silent")
	for _, link := range s.links {
		silence(link)
	}
	pause(ctx, openingChange)
	var drained sync.WaitGroup
	for index := range openingWave {
		s.fleet.Replicas[index].SetDrainManner(emulate.DrainAccepts)
		drained.Go(func() { s.playFault(ctx, model.Fault{Kind: model.FaultDrain, Replica: index}, openingDrain) })
	}
	drained.Wait()
}

// replaceInPlace ends a draining replica's process and starts the next one, which discovery lists later.
func (s *soakRun) replaceInPlace(replica drainedReplica) {
	fault := model.Fault{Kind: model.FaultKill, Replica: replica.index}
	s.fleet.StartFault(fault)
	time.Sleep(replica.replaceTime)
	s.fleet.EndFault(fault)
	s.logEvent("%s: the next process runs", s.fleet.Replicas[replica.index].Name)
}

const (
	// silenceShare is the part of discovery's events that silence open watches.
	silenceShare = 0.45
	// occasionWithin is how soon after that a wave of drains may begin.
	occasionWithin = time.Second
	// minLinkFault and maxLinkFault bound how long a fault of discovery lasts.
	minLinkFault, maxLinkFault = time.Second, 9 * time.Second
)

// discoveryEvents plays faults of discovery, for all gateways or for one.
func (s *soakRun) discoveryEvents(ctx context.Context, rng *rand.Rand) {
	kinds := linkFaultKinds()
	for pause(ctx, between(rng, time.Second, 4*time.Second)); ctx.Err() == nil; pause(ctx, between(rng, 500*time.Millisecond, 5*time.Second)) {
		links, whose := s.links, "all gateways"
		if i := rng.IntN(2 * len(s.links)); i < len(s.links) {
			links, whose = s.links[i:i+1], s.cluster.nodes[i].name
		}
		if rng.Float64() < silenceShare {
			s.logEvent("open watches of %s fall silent", whose)
			for _, link := range links {
				link.silence()
			}
			s.offerWave(ctx, between(rng, 0, occasionWithin))
			continue
		}
		s.playLinkFault(ctx, links, whose, kinds[rng.IntN(len(kinds))], between(rng, minLinkFault, maxLinkFault))
	}
}

// offerWave has a wave of drains begin after a time, unless one begins just now.
func (s *soakRun) offerWave(ctx context.Context, after time.Duration) {
	pause(ctx, after)
	select {
	case s.waveOccasions <- struct{}{}:
	default:
	}
}

// playLinkFault plays a fault of discovery for a duration.
func (s *soakRun) playLinkFault(ctx context.Context, links []*discoveryLink, whose string, kind linkFaultKind, duration time.Duration) {
	s.logEvent("%s, for %s", kind, whose)
	for _, link := range links {
		link.begin(kind)
	}
	const drainBeforeEnd = 300 * time.Millisecond
	pause(ctx, duration-drainBeforeEnd)
	s.offerWave(ctx, 0)
	pause(ctx, drainBeforeEnd)
	for _, link := range links {
		link.end()
	}
	s.logEvent("%s no more, for %s", kind, whose)
}
