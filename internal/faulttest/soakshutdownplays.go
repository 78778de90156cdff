package faulttest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file has the shutdown scenarios of some seeds of a soak: signals in series, clients that use their open
// connections until the process ends, and a burst of clients that open new connections.

const (
	// shutdownScenarioPeriod is the number of consecutive seeds of which some have shutdown scenarios.
	shutdownScenarioPeriod = 5
	// firstScenarioRemainder is the smallest remainder, of the seed divided by shutdownScenarioPeriod, with shutdown
	// scenarios. Only seeds with exactly this remainder have a burst of new connections.
	firstScenarioRemainder = 3
	// persistentClients is the number of clients that use open connections during a shutdown.
	persistentClients = 6
	// persistentPause is the pause of each of them between two requests.
	persistentPause = 20 * time.Millisecond
	// newConnClients is the number of clients that open a connection for each request during a shutdown.
	newConnClients = 8
	// newConnRetryPause is the pause of each of them after a connection that could not be opened.
	newConnRetryPause = 10 * time.Millisecond
	// descriptorShortageDelay is the time from SIGTERM to a shortage of descriptors. The shortage covers the time at
	// which the process would close its listener.
	descriptorShortageDelay = 350 * time.Millisecond
	// descriptorShortageTime is the duration of the shortage.
	descriptorShortageTime = 300 * time.Millisecond
	// maxSignalPause bounds the time between two signals of a series.
	maxSignalPause = 600 * time.Millisecond
)

// hasShutdownScenarios reports whether the seed has signals in series and additional clients during shutdowns.
func (s *soakRun) hasShutdownScenarios() bool {
	return s.spec.Seed%shutdownScenarioPeriod >= firstScenarioRemainder
}

// signalSeries sends a series of signals and calls that ends a process. It returns when SIGTERM was first sent.
type signalSeries func(ctx context.Context, n *node, process *gatewayProcess, rng *rand.Rand) (from time.Time)

// sendSignalSeries sends a signalSeries that is drawn at random.
func (s *soakRun) sendSignalSeries(ctx context.Context, n *node, process *gatewayProcess, rng *rand.Rand) (from time.Time) {
	series := []signalSeries{
		s.terminateThen(),
		s.terminateThen(syscall.SIGTERM),
		s.terminateThen(syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP),
		s.hangUpAndTerminate,
		s.drainAndTerminate,
		s.terminateWithoutDescriptors,
		s.terminateWithoutDescriptors,
	}
	return series[rng.IntN(len(series))](ctx, n, process, rng)
}

// terminateThen returns a series that sends SIGTERM and then the other signals, each after a random pause.
func (s *soakRun) terminateThen(others ...syscall.Signal) signalSeries {
	return func(_ context.Context, n *node, process *gatewayProcess, rng *rand.Rand) (from time.Time) {
		from = time.Now()
		n.signalProcess(process, syscall.SIGTERM)
		for _, signal := range others {
			time.Sleep(between(rng, 0, maxSignalPause))
			s.logEvent("%s %v after SIGTERM", n.name, signal)
			n.signalProcess(process, signal)
		}
		return from
	}
}

// hangUpAndTerminate sends SIGTERM immediately after SIGHUP.
func (s *soakRun) hangUpAndTerminate(_ context.Context, n *node, process *gatewayProcess, _ *rand.Rand) (from time.Time) {
	s.logEvent("%s SIGHUP before SIGTERM", n.name)
	n.signalProcess(process, syscall.SIGHUP)
	from = time.Now()
	n.signalProcess(process, syscall.SIGTERM)
	return from
}

// drainAndTerminate drains the gateway by an operator's call, and sends SIGTERM soon after. The drain ends with
// the process.
func (s *soakRun) drainAndTerminate(ctx context.Context, n *node, process *gatewayProcess, rng *rand.Rand) (from time.Time) {
	if status := s.callAdmin(ctx, n, http.MethodPut, "/-/drain"); !isSuccess(status) {
		s.addViolation(ruleOperator, "%s drain before SIGTERM: status %d", n.name, status)
	}
	s.logEvent("%s drained by operators before SIGTERM", n.name)
	time.Sleep(between(rng, 0, maxSignalPause))
	from = time.Now()
	n.signalProcess(process, syscall.SIGTERM)
	return from
}

// terminateWithoutDescriptors sends SIGTERM, and limits the process's descriptors at the time when it would close
// its listener, so that connections wait in the accept queue.
func (s *soakRun) terminateWithoutDescriptors(_ context.Context, n *node, process *gatewayProcess, _ *rand.Rand) (from time.Time) {
	from = time.Now()
	n.signalProcess(process, syscall.SIGTERM)
	time.Sleep(descriptorShortageDelay)
	restore, ok := limitProcess(process.cmd.Process.Pid, unix.RLIMIT_NOFILE)
	if !ok {
		return from
	}
	s.logEvent("%s has no descriptors after SIGTERM", n.name)
	time.Sleep(descriptorShortageTime)
	restore()
	return from
}

// startShutdownClients starts the clients of the seed's shutdown scenarios. They send requests until stop is
// called, even if ctx has ended. Clients with open connections stop earlier if none is left.
func (s *soakRun) startShutdownClients(ctx context.Context, n *node) (stop func()) {
	ctx, stop = context.WithCancel(context.WithoutCancel(ctx))
	if !s.hasShutdownScenarios() {
		return stop
	}
	for i := range persistentClients {
		s.shutdownClients.Go(func() { s.clients.runPersistentClient(ctx, n.index, i) })
	}
	if s.spec.Seed%shutdownScenarioPeriod == firstScenarioRemainder {
		s.logEvent("%s: a burst of new connections", n.name)
		for i := range newConnClients {
			s.shutdownClients.Go(func() { s.clients.runNewConnClient(ctx, n.index, i) })
		}
	}
	return stop
}

// runPersistentClient sends one request after another on open connections to a gateway, until there is no idle
// one or the context ends.
func (s *soakClients) runPersistentClient(ctx context.Context, gateway, index int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(index)+persistentStream))
	for ctx.Err() == nil {
		conn := s.takeIdleConn(gateway)
		if conn == nil {
			return
		}
		stream := &s.spec.Streams[rng.IntN(len(s.spec.Streams))]
		s.sendRequest(rng, stream, gateway, func(int) *soakConn { return conn })
		pause(ctx, persistentPause)
	}
}

// runNewConnClient sends one request after another to a gateway, each on a new connection, until the context
// ends.
func (s *soakClients) runNewConnClient(ctx context.Context, gateway, index int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(index)+newConnStream))
	for ctx.Err() == nil {
		stream := &s.spec.Streams[rng.IntN(len(s.spec.Streams))]
		if s.sendRequest(rng, stream, gateway, noOpenConn) == outcomeUnsent {
			pause(ctx, newConnRetryPause)
		}
	}
}
