package faulttest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"
)

// This file has the events of a soak that end a gateway's process.

// kill kills the process with SIGKILL, and starts the next one.
func (s *soakRun) kill(ctx context.Context, n *node, _ *rand.Rand) {
	from := time.Now()
	s.logEvent("%s SIGKILL", n.name)
	if process := n.currentProcess(); process != nil {
		n.signalProcess(process, syscall.SIGKILL)
		<-process.exited
		s.recordShutdown(n, process, false, from)
	}
	s.startNode(ctx, n)
}

// terminate sends SIGTERM, kills the process at the earliest time at which the platform may kill it, and starts
// the next one.
func (s *soakRun) terminate(ctx context.Context, n *node, rng *rand.Rand) {
	process := n.currentProcess()
	from := time.Now()
	s.logEvent("%s SIGTERM", n.name)
	if process == nil {
		return
	}
	stopClients := func() {}
	if !s.spec.Drill.SharedListener { // their connections to a shared socket would wait for the next process
		stopClients = s.startShutdownClients(ctx, n)
	}
	if s.hasShutdownScenarios() {
		from = s.sendSignalSeries(ctx, n, process, rng)
	} else {
		n.signalProcess(process, syscall.SIGTERM)
		if rng.IntN(3) == 0 {
			n.signalProcess(process, syscall.SIGHUP)
		}
	}
	s.awaitEnd(n, process, from)
	stopClients()
	s.recordShutdown(n, process, true, from)
	s.startNode(ctx, n)
}

// awaitEnd waits for the end of a process that got SIGTERM at a time. It kills the process after the minimum time
// that the platform waits.
func (s *soakRun) awaitEnd(n *node, process *gatewayProcess, from time.Time) {
	select {
	case <-process.exited:
	case <-time.After(time.Until(from.Add(s.shutdownDeadline + killDelay))):
		s.logEvent("%s SIGKILL at the earliest permitted time", n.name)
		n.signalProcess(process, syscall.SIGKILL)
		<-process.exited
	}
}

// recordShutdown records the shutdown of a process that has ended. It uses the times of the signals and of the
// process's end, since on a busy machine the call itself may be late.
func (s *soakRun) recordShutdown(n *node, process *gatewayProcess, graceful bool, from time.Time) {
	shutdown := shutdownInterval{gateway: n.index, graceful: graceful, interval: interval{from, process.end.at}}
	if process.end.killed {
		shutdown.killedAt = process.killSentAt
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intervals.shutdowns = append(s.intervals.shutdowns, shutdown)
}

// startNode starts a gateway's next process and checks that it becomes ready in time.
func (s *soakRun) startNode(ctx context.Context, n *node) {
	if err := s.cluster.start(n); err != nil {
		s.addViolation(ruleStart, "%s: %v", n.name, err)
		return
	}
	begun := time.Now()
	readyCtx, stop := context.WithTimeout(context.WithoutCancel(ctx), readyTimeout+discoveryOutageAllowance)
	defer stop()
	if err := s.cluster.waitUntilNodeReady(readyCtx, n); err != nil {
		s.addViolation(ruleReady, "%v", err)
		return
	}
	s.logEvent("%s ready after %d ms", n.name, time.Since(begun).Milliseconds())
}

// upgrade starts the next process while the current one still serves, and terminates the old process once the
// next one is ready.
func (s *soakRun) upgrade(ctx context.Context, n *node, _ *rand.Rand) {
	n.mu.Lock()
	old := n.process
	n.process = nil
	n.mu.Unlock()
	if old == nil {
		return
	}
	begun := time.Now()
	if err := s.cluster.start(n); err != nil {
		s.addViolation(ruleStart, "%s: %v", n.name, err)
		return
	}
	for !isSuccess(s.callAdmin(ctx, n, http.MethodGet, "/-/ready")) && time.Since(begun) < readyTimeout+discoveryOutageAllowance {
		time.Sleep(pollInterval)
	}
	if time.Since(begun) >= readyTimeout+discoveryOutageAllowance {
		s.addViolation(ruleReady, "%s: not ready in time beside its predecessor", n.name)
	}
	from := time.Now()
	s.logEvent("%s next process ready after %d ms; SIGTERM to the previous one", n.name, from.Sub(begun).Milliseconds())
	stopClients := s.startShutdownClients(ctx, n)
	n.signalProcess(old, syscall.SIGTERM)
	s.awaitEnd(n, old, from)
	stopClients()
	s.recordShutdown(n, old, true, from)
}
