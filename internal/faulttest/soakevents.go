package faulttest

import (
	"context"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"archknot/internal/fleet/model"
)

// The events of a soak, each drawn by its seed.

// gatewayEvents has things happen to a gateway, one after another.
func (s *soakRun) gatewayEvents(ctx context.Context, n *node, rng *rand.Rand) {
	kinds := []func(context.Context, *node, *rand.Rand){s.sendHangups, s.freeze, s.kill, s.terminate, s.drainClients, s.limitResource(unix.RLIMIT_NOFILE, "descriptors"),
		s.limitResource(unix.RLIMIT_FSIZE, "disk")}
	if s.spec.Drill.SharedListener {
		kinds = append(kinds, s.upgrade, s.upgrade)
	}
	for pause(ctx, between(rng, 200*time.Millisecond, 1500*time.Millisecond)); ctx.Err() == nil; pause(ctx, between(rng, 200*time.Millisecond, 1500*time.Millisecond)) {
		kinds[rng.IntN(len(kinds))](ctx, n, rng)
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

// freeze holds the process up for a moment.
func (s *soakRun) freeze(_ context.Context, n *node, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(between(rng, maxFreeze/3, maxFreeze))
		n.signal(syscall.SIGCONT)
		time.Sleep(maxFreeze)
	}
	s.logEvent("%s was stopped for moments", n.name)
}

// kill ends the process at once, and starts it again.
func (s *soakRun) kill(ctx context.Context, n *node, rng *rand.Rand) {
	from := time.Now()
	s.logEvent("%s SIGKILL", n.name)
	if exited := n.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
	s.recordShutdown(n, false, from)
	s.startNode(ctx, n)
}

// terminate tells the process to end, kills it at the earliest that the platform may, and starts it again.
func (s *soakRun) terminate(ctx context.Context, n *node, rng *rand.Rand) {
	from := time.Now()
	s.logEvent("%s SIGTERM", n.name)
	exited := n.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	if rng.IntN(3) == 0 {
		n.signal(syscall.SIGHUP)
	}
	s.awaitEnd(n.name, exited, func() { n.signal(syscall.SIGKILL) })
	s.recordShutdown(n, true, from)
	s.startNode(ctx, n)
}

// awaitEnd waits for a process that was told to end, as long as the platform does at least.
func (s *soakRun) awaitEnd(name string, exited <-chan struct{}, kill func()) {
	select {
	case <-exited:
	case <-time.After(s.deadline + killDelay):
		s.logEvent("%s SIGKILL at the earliest", name)
		kill()
		<-exited
	}
}

// recordShutdown notes the end of a process.
func (s *soakRun) recordShutdown(n *node, told bool, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.intervals.shutdowns = append(s.intervals.shutdowns, shutdownInterval{n.index, told, interval{from, time.Now()}})
}

// startNode starts a gateway's next life, which has to be ready in time.
func (s *soakRun) startNode(ctx context.Context, n *node) {
	if err := s.cluster.start(n); err != nil {
		s.addViolation("start", "", "%s: %v", n.name, err)
		return
	}
	begun := time.Now()
	waiting, stop := context.WithTimeout(context.WithoutCancel(ctx), readyTimeout+6*time.Second) // discovery may be out
	defer stop()
	if err := s.cluster.waitUntilNodeReady(waiting, n); err != nil {
		s.addViolation("ready", "", "%v", err)
		return
	}
	s.logEvent("%s ready after %d ms", n.name, time.Since(begun).Milliseconds())
}

// upgrade starts the next process beside the one that serves, and has that one end once the next can
// serve.
func (s *soakRun) upgrade(ctx context.Context, n *node, rng *rand.Rand) {
	n.mu.Lock()
	old := n.process
	n.process = nil
	n.mu.Unlock()
	if old == nil {
		return
	}
	begun := time.Now()
	if err := s.cluster.start(n); err != nil {
		s.addViolation("start", "", "%s: %v", n.name, err)
		return
	}
	for !isSuccess(s.callAdmin(n, http.MethodGet, "/-/ready")) && time.Since(begun) < readyTimeout+6*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	if time.Since(begun) >= readyTimeout+6*time.Second {
		s.addViolation("ready", "", "%s beside its predecessor", n.name)
	}
	from := time.Now()
	s.logEvent("%s next process ready after %d ms; SIGTERM to the one before", n.name, from.Sub(begun).Milliseconds())
	n.mu.Lock()
	exited := old.signal(syscall.SIGTERM)
	n.mu.Unlock()
	s.awaitEnd(n.name, exited, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		old.signal(syscall.SIGKILL)
	})
	s.recordShutdown(n, true, from)
}

// drainClients has operators drain a gateway, looks at it 4 s later, and takes it back.
func (s *soakRun) drainClients(ctx context.Context, n *node, rng *rand.Rand) {
	if status := s.callAdmin(n, http.MethodPut, "/-/drain"); !isSuccess(status) {
		s.addViolation("operator", "", "%s drain: status %d", n.name, status)
		return
	}
	from := time.Now()
	s.logEvent("%s drained by operators", n.name)
	time.Sleep(drainCheckDelay)
	if held := s.clients.remainingAt(n.index, from.Add(drainCheckDelay/2)); len(held) > 0 {
		s.addViolation("drained", "", "%s holds %d of clients 4 s behind the call: %s", n.name, len(held), held[0])
	}
	if s.cluster.isReady(n) {
		s.addViolation("drained", "", "%s says that it is ready 4 s behind the call", n.name)
	}
	if status := s.callAdmin(n, http.MethodPut, "/-/resume"); !isSuccess(status) {
		s.addViolation("operator", "", "%s resume: status %d", n.name, status)
	}
	resumed := time.Now()
	for !s.cluster.isReady(n) && time.Since(resumed) < 3*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(resumed); took > 2*time.Second {
		s.addViolation("drained", "", "%s is ready %v after the drain's end", n.name, took)
	}
	s.logEvent("%s resumed", n.name)
}

// limitResource has the process's system calls fail for a while for want of something.
func (s *soakRun) limitResource(resource int, name string) func(context.Context, *node, *rand.Rand) {
	return func(_ context.Context, n *node, rng *rand.Rand) {
		n.mu.Lock()
		pid := 0
		if n.process != nil {
			pid = n.process.cmd.Process.Pid
		}
		n.mu.Unlock()
		var was unix.Rlimit
		if pid == 0 || unix.Prlimit(pid, resource, nil, &was) != nil {
			return
		}
		s.logEvent("%s has no %s", n.name, name)
		_ = unix.Prlimit(pid, resource, &unix.Rlimit{Cur: min(5, was.Max), Max: was.Max}, nil)
		time.Sleep(between(rng, 200*time.Millisecond, time.Second))
		_ = unix.Prlimit(pid, resource, &was, nil)
		s.logEvent("%s has %s again", n.name, name)
	}
}

// callAdmin makes an operator's call to the process that serves now, and wants an answer in time; 0: none.
func (s *soakRun) callAdmin(n *node, method, path string) int {
	n.mu.Lock()
	admin := ""
	if n.process != nil {
		admin = n.process.adminAddr
	}
	n.mu.Unlock()
	if admin == "" {
		return 0
	}
	client := http.Client{Timeout: adminTimeout + answerTolerance, Transport: &http.Transport{DisableKeepAlives: true}}
	in, err := http.NewRequest(method, "http://"+admin+path, nil)
	if err != nil {
		return 0
	}
	out, err := client.Do(in)
	if err != nil {
		return 0
	}
	out.Body.Close()
	return out.StatusCode
}

func isSuccess(status int) bool { return status >= 200 && status < 300 }

// operatorEvents takes replicas out at all gateways, restarts them and puts them back.
func (s *soakRun) operatorEvents(ctx context.Context, rng *rand.Rand) {
	for pause(ctx, between(rng, 0, time.Second)); ctx.Err() == nil; pause(ctx, between(rng, 500*time.Millisecond, time.Second)) {
		at := s.reserve(rng)
		if at < 0 {
			continue
		}
		w := s.fleet.Replicas[at]
		s.logEvent("operators take %s out", w.Name)
		out := make([]time.Time, len(s.cluster.nodes))
		for i, n := range s.cluster.nodes {
			out[i] = s.orderUntilAccepted(ctx, n, w.Name, "disable")
		}
		pause(ctx, drainGrace)
		if rng.IntN(2) == 0 {
			s.logEvent("%s is restarted", w.Name)
			s.fleet.StartFault(model.Fault{Kind: "kill", Replica: at})
			time.Sleep(between(rng, 200*time.Millisecond, time.Second))
			s.fleet.EndFault(model.Fault{Kind: "kill", Replica: at})
		}
		pause(ctx, between(rng, time.Second, 3*time.Second))
		for i, n := range s.cluster.nodes {
			back := time.Now()
			if !out[i].IsZero() {
				s.mu.Lock()
				s.intervals.ejections = append(s.intervals.ejections, ejectionInterval{i, w.Name, interval{out[i], back}})
				s.mu.Unlock()
			}
			s.orderUntilAccepted(ctx, n, w.Name, "enable")
		}
		s.logEvent("operators have put %s back", w.Name)
		s.release(at)
		if status := s.callAdmin(s.cluster.nodes[rng.IntN(len(s.cluster.nodes))], http.MethodPut, "/-/replicas/never-listed/disable"); isSuccess(status) {
			s.addViolation("operator", "", "a replica that was never listed: status %d", status)
		}
	}
}

// orderUntilAccepted gives an order until the gateway says yes: it may be starting, ending, or short of a disk. It
// returns when it did, or zero.
func (s *soakRun) orderUntilAccepted(ctx context.Context, n *node, replica, what string) time.Time {
	for try := 0; try < 60; try++ {
		if isSuccess(s.callAdmin(n, http.MethodPut, "/-/replicas/"+replica+"/"+what)) {
			return time.Now()
		}
		if what == "disable" && ctx.Err() != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.logEvent("%s does not say yes to %s %s", n.name, what, replica)
	return time.Time{}
}

// reserve finds a replica that nothing happens to; -1: enough happens to the others.
func (s *soakRun) reserve(rng *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.reserved)*2 >= len(s.fleet.Replicas) {
		return -1
	}
	for {
		if at := rng.IntN(len(s.fleet.Replicas)); !s.reserved[at] {
			s.reserved[at] = true
			return at
		}
	}
}

func (s *soakRun) release(at int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.reserved, at)
}

// replicaEvents has things happen to replicas: drains by the list, and faults.
func (s *soakRun) replicaEvents(ctx context.Context, rng *rand.Rand) {
	kinds := []string{"drain", "drain", "kill", "silent", "slow", "reset", "spoil", "lose"}
	for pause(ctx, between(rng, 0, time.Second)); ctx.Err() == nil; pause(ctx, between(rng, 200*time.Millisecond, time.Second)) {
		at := s.reserve(rng)
		if at < 0 {
			continue
		}
		x := model.Fault{Kind: kinds[rng.IntN(len(kinds))], Replica: at, Factor: 1}
		if x.Kind == "slow" {
			x.Factor = 3
		}
		w, from := s.fleet.Replicas[at], time.Now()
		s.logEvent("%s: %s", w.Name, x.Kind)
		s.fleet.StartFault(x)
		pause(ctx, between(rng, 1500*time.Millisecond, 5*time.Second))
		if x.Kind == "drain" {
			s.mu.Lock()
			s.intervals.drains = append(s.intervals.drains, drainInterval{w.Name, interval{from, time.Now()}})
			s.mu.Unlock()
		}
		s.fleet.EndFault(x)
		s.logEvent("%s: the end of %s", w.Name, x.Kind)
		s.release(at)
	}
}

// discoveryEvents has the proxy before discovery do harm.
func (s *soakRun) discoveryEvents(ctx context.Context, rng *rand.Rand) {
	for pause(ctx, between(rng, time.Second, 4*time.Second)); ctx.Err() == nil; pause(ctx, between(rng, 2*time.Second, 5*time.Second)) {
		mode, from := proxyMode(1+rng.IntN(proxyModeCount-1)), time.Now()
		s.logEvent("discovery %s", mode)
		s.proxy.setMode(mode)
		pause(ctx, between(rng, time.Second, 3*time.Second))
		s.proxy.setMode(proxyForward)
		s.mu.Lock()
		s.intervals.outages = append(s.intervals.outages, interval{from, time.Now()})
		s.mu.Unlock()
		s.logEvent("discovery passes")
	}
}
