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

// The kinds of strikes that a plan names.
const (
	strikeKill   = "kill"   // SIGKILL
	strikeTerm   = "term"   // SIGTERM, later SIGKILL
	strikeFreeze = "freeze" // SIGSTOP, later SIGCONT
	strikeCut    = "cut"    // a partition of the peer network
	strikeMute   = "mute"   // what the gateways send is lost
	strikeDeaf   = "deaf"   // what is sent to the gateways is lost
	strikeLose   = "lose"   // a share of all datagrams is lost
	strikeSlow   = "slow"   // datagrams are delayed
)

// termTimeout is how long a gateway has from the end of a strike with SIGTERM to SIGKILL.
const termTimeout = 2 * time.Second

// striker carries out strikes.
type striker struct {
	cluster   *cluster
	spec      *model.Spec
	startedAt time.Time
	tasks     sync.WaitGroup

	mu            sync.Mutex // guards the fields below until all tasks are done
	random        *rand.Rand
	firstStrikeAt time.Time
	endedAt       map[string][]time.Time // by a gateway's address: when its process was killed or terminated
}

// targets selects the gateways of a strike. serving is the index of the gateway that serves the request
// that fires the strike, -1 if none does.
func (s *striker) targets(strike *model.Strike, serving int) (targets []*node) {
	nodes := s.cluster.nodes
	if serving >= 0 {
		return []*node{nodes[serving]}
	}
	if strike.Gateway >= 0 {
		return []*node{nodes[strike.Gateway%len(nodes)]}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.random.Perm(len(nodes)) {
		if strike.Site >= 0 && nodes[i].zone != strike.Site {
			continue
		}
		if strike.Share > 0 && float64(len(targets)) >= strike.Share*float64(len(nodes))-0.5 {
			break
		}
		targets = append(targets, nodes[i])
	}
	return targets
}

// strike begins a strike now, and ends it after its duration or with the drill.
func (s *striker) strike(ctx context.Context, strike *model.Strike, serving int) {
	targets := s.targets(strike, serving)
	s.record(strike, targets)
	for _, n := range targets {
		beginStrike(strike.Kind, n)
	}
	s.setLinks(strike, targets, true)
	if strike.Duration <= 0 {
		return
	}
	select {
	case <-time.After(time.Duration(strike.Duration) * time.Microsecond):
	case <-ctx.Done():
		return
	}
	s.setLinks(strike, targets, false)
	for _, n := range targets {
		s.endStrike(ctx, strike.Kind, n)
	}
}

// record records the time of a strike.
func (s *striker) record(strike *model.Strike, targets []*node) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.firstStrikeAt.IsZero() {
		s.firstStrikeAt = time.Now()
	}
	if strike.Kind != strikeKill && strike.Kind != strikeTerm {
		return
	}
	for _, n := range targets {
		s.endedAt[n.addr] = append(s.endedAt[n.addr], time.Now())
	}
}

// beginStrike does to a process what a strike of a kind begins with.
func beginStrike(kind string, n *node) {
	switch kind {
	case strikeKill:
		if exited := n.signal(syscall.SIGKILL); exited != nil {
			<-exited
		}
	case strikeTerm:
		n.signal(syscall.SIGTERM)
	case strikeFreeze:
		n.signal(syscall.SIGSTOP)
	}
}

// endStrike continues a process, or starts the next one of a gateway.
func (s *striker) endStrike(ctx context.Context, kind string, n *node) {
	switch kind {
	case strikeTerm:
		exited := n.exited()
		select {
		case <-exited:
		case <-time.After(termTimeout):
			n.signal(syscall.SIGKILL)
			<-exited
		}
		s.restart(ctx, n)
	case strikeKill:
		s.restart(ctx, n)
	case strikeFreeze:
		n.signal(syscall.SIGCONT)
	}
}

// restart starts a gateway again, unless the drill has ended. Clients are directed to it once it is ready.
func (s *striker) restart(ctx context.Context, n *node) {
	if ctx.Err() != nil {
		return
	}
	n.setOffered(false)
	_ = s.cluster.start(n) // a gateway that cannot start is reported as a crash
	s.tasks.Go(func() {
		defer n.setOffered(true)
		_ = s.cluster.waitUntilNodeReady(ctx, n) // it ends with the drill at the latest
	})
}

// setLinks begins or ends what a strike does to the peer network.
func (s *striker) setLinks(strike *model.Strike, targets []*node, on bool) {
	relays := s.cluster.relays
	if relays == nil {
		return
	}
	switch strike.Kind {
	case strikeCut, strikeMute, strikeDeaf:
		for _, target := range targets {
			for _, other := range s.cluster.nodes {
				if slices.Contains(targets, other) {
					continue
				}
				if strike.Kind != strikeDeaf {
					relays.setPartition(target.index, other.index, on)
				}
				if strike.Kind != strikeMute {
					relays.setPartition(other.index, target.index, on)
				}
			}
		}
	case strikeLose:
		relays.setQuality(onlyIf(on, strike.Factor), 0)
	case strikeSlow:
		relays.setQuality(0, time.Duration(onlyIf(on, strike.Factor)*float64(time.Millisecond)))
	}
}

// onlyIf returns the value if on, else 0.
func onlyIf(on bool, value float64) float64 {
	if on {
		return value
	}
	return 0
}
