package faulttest

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"syscall"
	"time"

	"archknot/internal/fleet/model"
)

// The kinds of gateway faults, as plans name them.
const (
	gatewayFaultKill         = "kill"   // SIGKILL
	gatewayFaultTerminate    = "term"   // SIGTERM, and SIGKILL if the process does not end in time
	gatewayFaultFreeze       = "freeze" // SIGSTOP, later SIGCONT
	gatewayFaultPartition    = "cut"    // a partition between the targets and the other gateways
	gatewayFaultDropOutgoing = "mute"   // datagrams and probes from the targets are lost
	gatewayFaultDropIncoming = "deaf"   // datagrams and probes to the targets are lost
	gatewayFaultLoss         = "lose"   // a fraction of all datagrams is lost
	gatewayFaultDelay        = "slow"   // all datagrams are delayed
)

// termTimeout is the time from the end of a fault of kind gatewayFaultTerminate to SIGKILL.
const termTimeout = 2 * time.Second

// gatewayFaultInjector injects faults into the processes of gateways and the network between them.
type gatewayFaultInjector struct {
	cluster   *cluster
	spec      *model.Spec
	startedAt time.Time
	tasks     sync.WaitGroup

	mu           sync.Mutex // guards the fields below until all tasks have ended
	random       *rand.Rand
	firstFaultAt time.Time
	endTimes     map[string][]time.Time // times at which SIGKILL or SIGTERM was sent, by the gateway's client address
}

// targets selects the gateways of a fault. serving is the index of the gateway that serves the request that
// triggers the fault, or -1 if none does.
func (s *gatewayFaultInjector) targets(fault *model.GatewayFault, serving int) (targets []*node) {
	nodes := s.cluster.nodes
	if serving >= 0 {
		return []*node{nodes[serving]}
	}
	if fault.Gateway >= 0 {
		return []*node{nodes[fault.Gateway%len(nodes)]}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.random.Perm(len(nodes)) {
		if fault.Site >= 0 && nodes[i].zone != fault.Site {
			continue
		}
		if fault.GatewayFraction > 0 && float64(len(targets)) >= fault.GatewayFraction*float64(len(nodes))-0.5 {
			break
		}
		targets = append(targets, nodes[i])
	}
	return targets
}

// inject begins a fault now, and ends it after its duration unless the drill ends first.
func (s *gatewayFaultInjector) inject(ctx context.Context, fault *model.GatewayFault, serving int) {
	targets := s.targets(fault, serving)
	s.record(fault, targets)
	for _, n := range targets {
		beginProcessFault(fault.Kind, n)
	}
	s.setNetworkFault(fault, targets, true)
	if fault.Duration <= 0 {
		return
	}
	select {
	case <-time.After(time.Duration(fault.Duration) * time.Microsecond):
	case <-ctx.Done():
		return
	}
	s.setNetworkFault(fault, targets, false)
	for _, n := range targets {
		s.endProcessFault(ctx, fault.Kind, n)
	}
}

// record records the time of a fault for the result.
func (s *gatewayFaultInjector) record(fault *model.GatewayFault, targets []*node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstFaultAt.IsZero() {
		s.firstFaultAt = time.Now()
	}
	if fault.Kind != gatewayFaultKill && fault.Kind != gatewayFaultTerminate {
		return
	}
	for _, n := range targets {
		s.endTimes[n.addr] = append(s.endTimes[n.addr], time.Now())
	}
}

// beginProcessFault sends a gateway's process the signal with which a fault of a kind begins, if any.
func beginProcessFault(kind string, n *node) {
	switch kind {
	case gatewayFaultKill:
		if exited := n.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
	case gatewayFaultTerminate:
		n.signal(syscall.SIGTERM)
	case gatewayFaultFreeze:
		n.signal(syscall.SIGSTOP)
	}
}

// endProcessFault continues a stopped process, or starts the next process of a gateway whose process was ended.
func (s *gatewayFaultInjector) endProcessFault(ctx context.Context, kind string, n *node) {
	switch kind {
	case gatewayFaultTerminate:
		exited := n.exited()
		select {
		case <-exited:
		case <-time.After(termTimeout):
			n.signal(syscall.SIGKILL)
			<-exited
		}
		s.restart(ctx, n)
	case gatewayFaultKill:
		s.restart(ctx, n)
	case gatewayFaultFreeze:
		n.signal(syscall.SIGCONT)
	}
}

// restart starts a gateway's next process, unless the drill has ended. The load balancer directs clients to it
// once it is ready.
func (s *gatewayFaultInjector) restart(ctx context.Context, n *node) {
	if ctx.Err() != nil {
		return
	}
	n.setInRotation(false)
	_ = s.cluster.start(n) // a gateway that cannot start is reported as a crash
	s.tasks.Go(func() {
		defer n.setInRotation(true)
		_ = s.cluster.waitUntilNodeReady(ctx, n) // returns at the latest when the drill ends
	})
}

// setNetworkFault begins or ends the effect of a fault on the network between gateways.
func (s *gatewayFaultInjector) setNetworkFault(fault *model.GatewayFault, targets []*node, active bool) {
	relays := s.cluster.relays
	if relays == nil {
		return
	}
	switch fault.Kind {
	case gatewayFaultPartition, gatewayFaultDropOutgoing, gatewayFaultDropIncoming:
		for _, target := range targets {
			for _, other := range s.cluster.nodes {
				if slices.Contains(targets, other) {
					continue
				}
				if fault.Kind != gatewayFaultDropIncoming {
					relays.setPartition(target.index, other.index, active)
				}
				if fault.Kind != gatewayFaultDropOutgoing {
					relays.setPartition(other.index, target.index, active)
				}
			}
		}
	case gatewayFaultLoss:
		relays.setLossAndDelay(valueIf(active, fault.Factor), 0)
	case gatewayFaultDelay:
		relays.setLossAndDelay(0, time.Duration(valueIf(active, fault.Factor)*float64(time.Millisecond)))
	}
}

// valueIf returns the value if active, else 0.
func valueIf(active bool, value float64) float64 {
	if active {
		return value
	}
	return 0
}
