package faulttest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file has what some seeds of a soak play during a shutdown: signals in series, clients that go on using
// their open connections until the process ends, and a crowd of clients that open new ones.

const (
	// Of each shutdownPlayEvery seeds those from the remainder crowdRemainder on have these plays, and the first
	// of them a crowd.
	shutdownPlayEvery = 5
	crowdRemainder    = 3
	// persistentClients use open connections during a shutdown, each with a pause of persistentPause between
	// two requests. crowdClients open one connection after another, crowdPause after one that was refused.
	persistentClients, persistentPause = 6, 20 * time.Millisecond
	crowdClients, crowdPause           = 8, 10 * time.Millisecond
	// descriptorsGoneAt is how long after SIGTERM a process lacks descriptors, for descriptorsGoneFor: while its
	// listener would be closed.
	descriptorsGoneAt, descriptorsGoneFor = 350 * time.Millisecond, 300 * time.Millisecond
	// maxSignalPause bounds the time between two signals of a series.
	maxSignalPause = 600 * time.Millisecond
)

// hasShutdownPlays reports whether the seed has signals in series and clients that go on during a shutdown.
func (s *soakRun) hasShutdownPlays() bool { return s.spec.Seed%shutdownPlayEvery >= crowdRemainder }

// signalSeries is a series of signals and calls that ends a process. It returns when SIGTERM was sent first.
type signalSeries func(ctx context.Context, n *node, process *gatewayProcess, rng *rand.Rand) (from time.Time)

// sendSignalSeries ends a process with a series drawn at random.
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

// terminateThen returns a series that sends SIGTERM, and the other signals after pauses.
func (s *soakRun) terminateThen(others ...syscall.Signal) signalSeries {
	return func(_ context.Context, n *node, process *gatewayProcess, rng *rand.Rand) (from time.Time) {
		from = time.Now()
		n.signalProcess(process, syscall.SIGTERM)
		for _, signal := range others {
			time.Sleep(between(rng, 0, maxSignalPause))
			s.logEvent("%s %v behind SIGTERM", n.name, signal)
			n.signalProcess(process, signal)
		}
		return from
	}
}

// hangUpAndTerminate sends SIGTERM right behind SIGHUP.
func (s *soakRun) hangUpAndTerminate(_ context.Context, n *node, process *gatewayProcess, _ *rand.Rand) (from time.Time) {
	s.logEvent("%s SIGHUP before SIGTERM", n.name)
	n.signalProcess(process, syscall.SIGHUP)
	from = time.Now()
	n.signalProcess(process, syscall.SIGTERM)
	return from
}

// drainAndTerminate has operators drain the gateway, and sends SIGTERM soon after. The drain ends with the
// process.
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

// terminateWithoutDescriptors sends SIGTERM, and has the process lack descriptors while its listener would be
// closed: connections wait in the accept queue.
func (s *soakRun) terminateWithoutDescriptors(_ context.Context, n *node, process *gatewayProcess, _ *rand.Rand) (from time.Time) {
	from = time.Now()
	n.signalProcess(process, syscall.SIGTERM)
	time.Sleep(descriptorsGoneAt)
	restore, ok := limitProcess(process.cmd.Process.Pid, unix.RLIMIT_NOFILE)
	if !ok {
		return from
	}
	s.logEvent("%s has no descriptors behind SIGTERM", n.name)
	time.Sleep(descriptorsGoneFor)
	restore()
	return from
}

// startShutdownClients starts the clients of a shutdown that the seed has. Until stop is called they begin
// further requests, those on open connections until these have ended; also if ctx has ended.
func (s *soakRun) startShutdownClients(ctx context.Context, n *node) (stop func()) {
	ctx, stop = context.WithCancel(context.WithoutCancel(ctx))
	if !s.hasShutdownPlays() {
		return stop
	}
	for i := range persistentClients {
		s.shutdownClients.Go(func() { s.clients.runPersistent(ctx, n.index, i) })
	}
	if s.spec.Seed%shutdownPlayEvery == crowdRemainder {
		s.logEvent("%s: a crowd of new connections", n.name)
		for i := range crowdClients {
			s.shutdownClients.Go(func() { s.clients.runCrowd(ctx, n.index, i) })
		}
	}
	return stop
}

// runPersistent sends one request after another on open connections to a gateway, until none is left or the
// context ends.
func (s *soakClients) runPersistent(ctx context.Context, gateway, index int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(index)+persistentStream))
	for ctx.Err() == nil {
		c := s.takeIdleConn(gateway)
		if c == nil {
			return
		}
		stream := &s.spec.Streams[rng.IntN(len(s.spec.Streams))]
		s.sendRequest(rng, stream, gateway, func(int) *soakConn { return c })
		pause(ctx, persistentPause)
	}
}

// runCrowd sends one request after another to a gateway, each on a new connection, until the context ends.
func (s *soakClients) runCrowd(ctx context.Context, gateway, index int) {
	rng := rand.New(rand.NewPCG(s.seed, uint64(index)+crowdStream))
	for ctx.Err() == nil {
		stream := &s.spec.Streams[rng.IntN(len(s.spec.Streams))]
		if s.sendRequest(rng, stream, gateway, noOpenConn) == outcomeUnsent {
			pause(ctx, crowdPause)
		}
	}
}
