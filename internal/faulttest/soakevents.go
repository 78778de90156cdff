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
func (s *soak) gatewayEvents(ctx context.Context, n *node, rng *rand.Rand) {
	kinds := []func(context.Context, *node, *rand.Rand){s.hangups, s.freeze, s.kill, s.end, s.drainClients, s.shortOf(unix.RLIMIT_NOFILE, "descriptors"),
		s.shortOf(unix.RLIMIT_FSIZE, "disk")}
	if s.spec.Drill.SharedListener {
		kinds = append(kinds, s.upgrade, s.upgrade)
	}
	for pause(ctx, between(rng, 200*time.Millisecond, 1500*time.Millisecond)); ctx.Err() == nil; pause(ctx, between(rng, 200*time.Millisecond, 1500*time.Millisecond)) {
		kinds[rng.IntN(len(kinds))](ctx, n, rng)
	}
}

// hangups sends SIGHUP a few times in a row.
func (s *soak) hangups(_ context.Context, n *node, rng *rand.Rand) {
	times := 1 + rng.IntN(3)
	s.tell("%s SIGHUP, %d times", n.name, times)
	for range times {
		n.signal(syscall.SIGHUP)
	}
}

// freeze holds the process up for a moment.
func (s *soak) freeze(_ context.Context, n *node, rng *rand.Rand) {
	for range 1 + rng.IntN(3) {
		n.signal(syscall.SIGSTOP)
		time.Sleep(between(rng, freezeMost/3, freezeMost))
		n.signal(syscall.SIGCONT)
		time.Sleep(freezeMost)
	}
	s.tell("%s was stopped for moments", n.name)
}

// kill ends the process at once, and starts it again.
func (s *soak) kill(ctx context.Context, n *node, rng *rand.Rand) {
	from := time.Now()
	s.tell("%s SIGKILL", n.name)
	if exited := n.signal(syscall.SIGKILL); exited != nil {
		<-exited
	}
	s.ended(n, false, from)
	s.begin(ctx, n)
}

// end tells the process to end, kills it at the earliest that the platform may, and starts it again.
func (s *soak) end(ctx context.Context, n *node, rng *rand.Rand) {
	from := time.Now()
	s.tell("%s SIGTERM", n.name)
	exited := n.signal(syscall.SIGTERM)
	if exited == nil {
		return
	}
	if rng.IntN(3) == 0 {
		n.signal(syscall.SIGHUP)
	}
	s.awaitEnd(n.name, exited, func() { n.signal(syscall.SIGKILL) })
	s.ended(n, true, from)
	s.begin(ctx, n)
}

// awaitEnd waits for a process that was told to end, as long as the platform does at least.
func (s *soak) awaitEnd(name string, exited <-chan struct{}, kill func()) {
	select {
	case <-exited:
	case <-time.After(s.deadline + earliestKill):
		s.tell("%s SIGKILL at the earliest", name)
		kill()
		<-exited
	}
}

// ended notes the end of a process.
func (s *soak) ended(n *node, told bool, from time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.spans.ends = append(s.spans.ends, endSpan{n.n, told, span{from, time.Now()}})
}

// begin starts a gateway's next life, which has to be ready in time.
func (s *soak) begin(ctx context.Context, n *node) {
	if err := s.c.start(n); err != nil {
		s.broke("start", "", "%s: %v", n.name, err)
		return
	}
	begun := time.Now()
	waiting, stop := context.WithTimeout(context.WithoutCancel(ctx), readyWithin+6*time.Second) // discovery may be out
	defer stop()
	if err := s.c.readyOne(waiting, n); err != nil {
		s.broke("ready", "", "%v", err)
		return
	}
	s.tell("%s ready after %d ms", n.name, time.Since(begun).Milliseconds())
}

// upgrade starts the next process beside the one that serves, and has that one end once the next can
// serve.
func (s *soak) upgrade(ctx context.Context, n *node, rng *rand.Rand) {
	n.mu.Lock()
	old := n.life
	n.life = nil
	n.mu.Unlock()
	if old == nil {
		return
	}
	begun := time.Now()
	if err := s.c.start(n); err != nil {
		s.broke("start", "", "%s: %v", n.name, err)
		return
	}
	for !yes(s.call(n, http.MethodGet, "/-/ready")) && time.Since(begun) < readyWithin+6*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	if time.Since(begun) >= readyWithin+6*time.Second {
		s.broke("ready", "", "%s beside its predecessor", n.name)
	}
	from := time.Now()
	s.tell("%s next process ready after %d ms; SIGTERM to the one before", n.name, from.Sub(begun).Milliseconds())
	n.mu.Lock()
	exited := old.signal(syscall.SIGTERM)
	n.mu.Unlock()
	s.awaitEnd(n.name, exited, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		old.signal(syscall.SIGKILL)
	})
	s.ended(n, true, from)
}

// drainClients has operators drain a gateway, looks at it 4 s later, and takes it back.
func (s *soak) drainClients(ctx context.Context, n *node, rng *rand.Rand) {
	if status := s.call(n, http.MethodPut, "/-/drain"); !yes(status) {
		s.broke("operator", "", "%s drain: status %d", n.name, status)
		return
	}
	from := time.Now()
	s.tell("%s drained by operators", n.name)
	time.Sleep(drainedFor)
	if held := s.clients.stillHeld(n.n, from.Add(drainedFor/2)); len(held) > 0 {
		s.broke("drained", "", "%s holds %d of clients 4 s behind the call: %s", n.name, len(held), held[0])
	}
	if s.c.isReady(n) {
		s.broke("drained", "", "%s says that it is ready 4 s behind the call", n.name)
	}
	if status := s.call(n, http.MethodPut, "/-/resume"); !yes(status) {
		s.broke("operator", "", "%s resume: status %d", n.name, status)
	}
	resumed := time.Now()
	for !s.c.isReady(n) && time.Since(resumed) < 3*time.Second {
		time.Sleep(20 * time.Millisecond)
	}
	if took := time.Since(resumed); took > 2*time.Second {
		s.broke("drained", "", "%s is ready %v after the drain's end", n.name, took)
	}
	s.tell("%s resumed", n.name)
}

// shortOf has the process's system calls fail for a while for want of something.
func (s *soak) shortOf(resource int, name string) func(context.Context, *node, *rand.Rand) {
	return func(_ context.Context, n *node, rng *rand.Rand) {
		n.mu.Lock()
		pid := 0
		if n.life != nil {
			pid = n.life.cmd.Process.Pid
		}
		n.mu.Unlock()
		var was unix.Rlimit
		if pid == 0 || unix.Prlimit(pid, resource, nil, &was) != nil {
			return
		}
		s.tell("%s has no %s", n.name, name)
		_ = unix.Prlimit(pid, resource, &unix.Rlimit{Cur: min(5, was.Max), Max: was.Max}, nil)
		time.Sleep(between(rng, 200*time.Millisecond, time.Second))
		_ = unix.Prlimit(pid, resource, &was, nil)
		s.tell("%s has %s again", n.name, name)
	}
}

// call makes an operator's call to the process that serves now, and wants an answer in time; 0: none.
func (s *soak) call(n *node, method, path string) int {
	n.mu.Lock()
	admin := ""
	if n.life != nil {
		admin = n.life.admin
	}
	n.mu.Unlock()
	if admin == "" {
		return 0
	}
	client := http.Client{Timeout: answerOperators + answerSlack, Transport: &http.Transport{DisableKeepAlives: true}}
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

func yes(status int) bool { return status >= 200 && status < 300 }

// operators takes replicas out at all gateways, restarts them and puts them back.
func (s *soak) operators(ctx context.Context, rng *rand.Rand) {
	for pause(ctx, between(rng, 0, time.Second)); ctx.Err() == nil; pause(ctx, between(rng, 500*time.Millisecond, time.Second)) {
		at := s.reserve(rng)
		if at < 0 {
			continue
		}
		w := s.fleet.Replicas[at]
		s.tell("operators take %s out", w.Name)
		out := make([]time.Time, len(s.c.nodes))
		for i, n := range s.c.nodes {
			out[i] = s.order(ctx, n, w.Name, "disable")
		}
		pause(ctx, banGrace)
		if rng.IntN(2) == 0 {
			s.tell("%s is restarted", w.Name)
			s.fleet.StartFault(model.Fault{Kind: "kill", Replica: at})
			time.Sleep(between(rng, 200*time.Millisecond, time.Second))
			s.fleet.EndFault(model.Fault{Kind: "kill", Replica: at})
		}
		pause(ctx, between(rng, time.Second, 3*time.Second))
		for i, n := range s.c.nodes {
			back := time.Now()
			if !out[i].IsZero() {
				s.mu.Lock()
				s.spans.bans = append(s.spans.bans, banSpan{i, w.Name, span{out[i], back}})
				s.mu.Unlock()
			}
			s.order(ctx, n, w.Name, "enable")
		}
		s.tell("operators have put %s back", w.Name)
		s.release(at)
		if status := s.call(s.c.nodes[rng.IntN(len(s.c.nodes))], http.MethodPut, "/-/replicas/never-listed/disable"); yes(status) {
			s.broke("operator", "", "a replica that was never listed: status %d", status)
		}
	}
}

// order gives an order until the gateway says yes: it may be starting, ending, or short of a disk. It
// returns when it did, or zero.
func (s *soak) order(ctx context.Context, n *node, replica, what string) time.Time {
	for try := 0; try < 60; try++ {
		if yes(s.call(n, http.MethodPut, "/-/replicas/"+replica+"/"+what)) {
			return time.Now()
		}
		if what == "disable" && ctx.Err() != nil {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	s.tell("%s does not say yes to %s %s", n.name, what, replica)
	return time.Time{}
}

// reserve finds a replica that nothing happens to; -1: enough happens to the others.
func (s *soak) reserve(rng *rand.Rand) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.banned)*2 >= len(s.fleet.Replicas) {
		return -1
	}
	for {
		if at := rng.IntN(len(s.fleet.Replicas)); !s.banned[at] {
			s.banned[at] = true
			return at
		}
	}
}

func (s *soak) release(at int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.banned, at)
}

// replicas has things happen to replicas: drains by the list, and faults.
func (s *soak) replicas(ctx context.Context, rng *rand.Rand) {
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
		s.tell("%s: %s", w.Name, x.Kind)
		s.fleet.StartFault(x)
		pause(ctx, between(rng, 1500*time.Millisecond, 5*time.Second))
		if x.Kind == "drain" {
			s.mu.Lock()
			s.spans.drains = append(s.spans.drains, drainSpan{w.Name, span{from, time.Now()}})
			s.mu.Unlock()
		}
		s.fleet.EndFault(x)
		s.tell("%s: the end of %s", w.Name, x.Kind)
		s.release(at)
	}
}

// discovery has the proxy before discovery do harm.
func (s *soak) discovery(ctx context.Context, rng *rand.Rand) {
	for pause(ctx, between(rng, time.Second, 4*time.Second)); ctx.Err() == nil; pause(ctx, between(rng, 2*time.Second, 5*time.Second)) {
		mode, from := proxyMode(1+rng.IntN(proxyModes-1)), time.Now()
		s.tell("discovery %s", mode)
		s.proxy.set(mode)
		pause(ctx, between(rng, time.Second, 3*time.Second))
		s.proxy.set(proxyPasses)
		s.mu.Lock()
		s.spans.outages = append(s.spans.outages, span{from, time.Now()})
		s.mu.Unlock()
		s.tell("discovery passes")
	}
}
