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

// This file has the events of a soak. Each task draws its events from its own random number stream.

const (
	// pollInterval is the time between two checks of a condition for which an event waits.
	pollInterval = 20 * time.Millisecond
	// resumeTimeout is the time after which the check of a resumed gateway's readiness stops.
	resumeTimeout = 3 * time.Second
	// maxResumeTime is the time in which a resumed gateway has to become ready.
	maxResumeTime = 2 * time.Second
	// orderTries is the maximum number of tries of a maintenance order.
	orderTries = 60
	// orderInterval is the time between two tries of a maintenance order.
	orderInterval = 50 * time.Millisecond
	// exhaustedLimit is the limit on open descriptors, or on the size of files in bytes, during limitResource.
	exhaustedLimit = 5
	// slowFactor is the factor by which the fault model.FaultSlow slows a replica down.
	slowFactor = 3
)

// The maintenance orders.
const (
	orderDisable = "disable" // eject the replica
	orderEnable  = "enable"  // reinstate it
)

// gatewayEvent plays an event of a gateway to its end.
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

// freeze stops the process for a short time, up to three times.
func (s *soakRun) freeze(_ context.Context, n *node, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(between(rng, maxFreeze/3, maxFreeze))
		n.signal(syscall.SIGCONT)
		time.Sleep(maxFreeze)
	}
	s.logEvent("%s was stopped briefly", n.name)
}

// drainClients drains a gateway by an operator's call, checks the gateway after drainCheckDelay, and resumes it.
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
	checkCtx := context.WithoutCancel(ctx) // a drain in progress is completed after the context has ended
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
		s.addViolation(ruleDrained, "%s not ready for %v after the resume call", n.name, took)
	}
	s.logEvent("%s resumed", n.name)
}

// limitResource returns an event in which a process's system calls fail for a while because a resource is
// exhausted.
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

// limitProcess limits a resource of a process to exhaustedLimit until restore is called. ok is false if the
// process does not run.
func limitProcess(pid, resource int) (restore func(), ok bool) {
	var original unix.Rlimit
	if pid == 0 || unix.Prlimit(pid, resource, nil, &original) != nil {
		return nil, false
	}
	// An error means that the process has ended.
	_ = unix.Prlimit(pid, resource, &unix.Rlimit{Cur: min(exhaustedLimit, original.Max), Max: original.Max}, nil)
	return func() { _ = unix.Prlimit(pid, resource, &original, nil) }, true
}

// callAdmin makes an operator's call to the gateway's current process. It returns the status, or 0 if there is no
// response in time. The call is made even if the context has ended.
func (s *soakRun) callAdmin(ctx context.Context, n *node, method, path string) int {
	adminAddr := n.adminAddr()
	if adminAddr == "" {
		return 0
	}
	client := http.Client{Timeout: adminTimeout + responseTolerance, Transport: &http.Transport{DisableKeepAlives: true}}
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

// isSuccess reports whether an HTTP status is 2xx.
func isSuccess(status int) bool { return status >= 200 && status < 300 }

// operatorEvents ejects replicas at all gateways, restarts some of them, and reinstates them. It also checks that
// an order for an unknown replica fails.
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

// maintainReplica ejects a replica at all gateways, restarts it in half of the cases, and reinstates it.
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

// orderUntilAccepted repeats a maintenance order until the gateway accepts it. A gateway may reject an order while
// it starts, ends, or lacks disk space. The result is the time of acceptance, or zero if all tries failed.
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
	s.logEvent("%s did not accept the order %s %s", n.name, order, replica)
	return time.Time{}
}

// reserve reserves a random unreserved replica for an event. It returns the replica's index, or -1 if half of the
// replicas are reserved.
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

// replicaEvents plays faults of replicas, drains among them, one after another.
func (s *soakRun) replicaEvents(ctx context.Context, rng *rand.Rand) {
	kinds := []string{
		model.FaultDrain,
		model.FaultDrain,
		model.FaultKill,
		model.FaultUnresponsive,
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
	s.logEvent("%s: end of %s", replica, fault.Kind)
}

const (
	// maxDrainBatch is the maximum number of replicas that one batch drains at once.
	maxDrainBatch = 3
	// minBatchDrain is the lower bound of drainedReplica.drainsFor.
	minBatchDrain = time.Second
	// maxBatchDrain is the upper bound of drainedReplica.drainsFor.
	maxBatchDrain = 12 * time.Second
	// drainToEndFraction is the fraction of replicas in batches that drain to the end of the run.
	drainToEndFraction = 0.25
	// minReplaceTime is the minimum time between two processes of a replica.
	minReplaceTime = 100 * time.Millisecond
	// maxReplaceTime is the maximum time between two processes of a replica.
	maxReplaceTime = 800 * time.Millisecond
)

// drainBatchEvents drains replicas in batches and replaces them in place: one replica ends and is ready again under
// its id while the others of its batch still drain. Some drain to the end of the run. A batch begins at random
// intervals, or when a fault of discovery triggers it.
func (s *soakRun) drainBatchEvents(ctx context.Context, rng *rand.Rand) {
	var batches sync.WaitGroup
	for ctx.Err() == nil {
		select {
		case <-s.drainBatchTriggers:
		case <-time.After(between(rng, 2*time.Second, 6*time.Second)):
		case <-ctx.Done():
		}
		var batch []drainedReplica
		for range 1 + rng.IntN(maxDrainBatch) {
			if index := s.reserve(rng); index >= 0 && ctx.Err() == nil {
				toEnd := rng.Float64() < drainToEndFraction
				batch = append(batch, drainedReplica{index, between(rng, minBatchDrain, maxBatchDrain), between(rng, minReplaceTime, maxReplaceTime), toEnd})
			}
		}
		batches.Go(func() { s.playDrainBatch(ctx, batch) })
	}
	batches.Wait()
}

// drainedReplica is a replica of a batch.
type drainedReplica struct {
	index       int
	drainsFor   time.Duration // from the replacement of the previous replica, or the start of the batch
	replaceTime time.Duration // between its two processes
	toEnd       bool          // it is not replaced, and drains to the end of the run
}

// playDrainBatch drains all replicas of a batch at once, and replaces them one after another.
func (s *soakRun) playDrainBatch(ctx context.Context, batch []drainedReplica) {
	for _, replica := range batch {
		s.logEvent("%s: drains in a batch", s.fleet.Replicas[replica.index].Name)
		s.fleet.StartFault(model.Fault{Kind: model.FaultDrain, Replica: replica.index})
	}
	for _, replica := range batch {
		if replica.toEnd {
			continue
		}
		pause(ctx, replica.drainsFor)
		s.replaceInPlace(replica)
		s.release(replica.index)
	}
}

const (
	// openingDrainCount is the number of replicas that drain in the opening.
	openingDrainCount = 4
	// openingDrainTime is the duration of their drains. It is longer than a gateway uses a list without an update.
	openingDrainTime = 11 * time.Second
	// openingWatchTime is the time from the start of the opening until the open watches hang.
	openingWatchTime = 500 * time.Millisecond
	// openingDrainDelay is the time from then until the replicas begin to drain.
	openingDrainDelay = 100 * time.Millisecond
	// openingHangTime is the time for which all calls hang, in seeds with that opening. It is longer than the drains.
	openingHangTime = openingDrainTime + time.Second
)

// playOpening makes calls of all gateways to discovery hang, and then drains replicas that still accept attempts.
// No other event is played meanwhile, so a gateway can learn of the drains only by its own calls to discovery.
func (s *soakRun) playOpening(ctx context.Context, hang func(*discoveryLink)) {
	pause(ctx, openingWatchTime)
	s.logEvent("open watches of all gateways hang")
	for _, link := range s.links {
		hang(link)
	}
	pause(ctx, openingDrainDelay)
	var drained sync.WaitGroup
	for index := range openingDrainCount {
		s.fleet.Replicas[index].SetDrainMode(emulate.DrainAccepts)
		drained.Go(func() { s.playFault(ctx, model.Fault{Kind: model.FaultDrain, Replica: index}, openingDrainTime) })
	}
	drained.Wait()
}

// replaceInPlace ends a draining replica's process and starts the next one under the same id.
func (s *soakRun) replaceInPlace(replica drainedReplica) {
	fault := model.Fault{Kind: model.FaultKill, Replica: replica.index}
	s.fleet.StartFault(fault)
	time.Sleep(replica.replaceTime)
	s.fleet.EndFault(fault)
	s.logEvent("%s: the next process runs", s.fleet.Replicas[replica.index].Name)
}

const (
	// hangFraction is the fraction of discovery's events that make open watches hang.
	hangFraction = 0.45
	// maxDrainBatchDelay is the maximum time from such an event to the batch of drains that it triggers.
	maxDrainBatchDelay = time.Second
	// minLinkFault is the minimum duration of a fault of discovery.
	minLinkFault = time.Second
	// maxLinkFault is the maximum duration of a fault of discovery.
	maxLinkFault = 9 * time.Second
)

// discoveryEvents plays faults of discovery, for all gateways or for one, and triggers batches of drains with them.
func (s *soakRun) discoveryEvents(ctx context.Context, rng *rand.Rand) {
	kinds := linkFaultKinds()
	for pause(ctx, between(rng, time.Second, 4*time.Second)); ctx.Err() == nil; pause(ctx, between(rng, 500*time.Millisecond, 5*time.Second)) {
		links, scope := s.links, "all gateways"
		if i := rng.IntN(2 * len(s.links)); i < len(s.links) {
			links, scope = s.links[i:i+1], s.cluster.nodes[i].name
		}
		if rng.Float64() < hangFraction {
			s.logEvent("open watches of %s hang", scope)
			for _, link := range links {
				link.hangOpenCalls()
			}
			s.triggerDrainBatch(ctx, between(rng, 0, maxDrainBatchDelay))
			continue
		}
		s.playLinkFault(ctx, links, scope, kinds[rng.IntN(len(kinds))], between(rng, minLinkFault, maxLinkFault))
	}
}

// triggerDrainBatch starts a batch of drains after a time, if drainBatchEvents is waiting for a trigger then.
func (s *soakRun) triggerDrainBatch(ctx context.Context, after time.Duration) {
	pause(ctx, after)
	select {
	case s.drainBatchTriggers <- struct{}{}:
	default:
	}
}

// playLinkFault plays a fault of discovery for a duration. It triggers a batch of drains shortly before the end.
func (s *soakRun) playLinkFault(ctx context.Context, links []*discoveryLink, scope string, kind linkFaultKind, duration time.Duration) {
	s.logEvent("%s, for %s", kind, scope)
	for _, link := range links {
		link.begin(kind)
	}
	const drainBeforeEnd = 300 * time.Millisecond
	pause(ctx, duration-drainBeforeEnd)
	s.triggerDrainBatch(ctx, 0)
	pause(ctx, drainBeforeEnd)
	for _, link := range links {
		link.end()
	}
	s.logEvent("end of: %s, for %s", kind, scope)
}
