// Adapter hosts many instances of the decision module on the simulator's wire:
// batches of events on standard input, replies on standard output. With -capture
// it records each instance in a folder of its own.
package main

import (
	"flag"
	"fmt"
	"io"
	"math"
	"os"
	"path/filepath"
	"time"

	"archknot/balancer"
	"archknot/internal/buildinfo"
	"archknot/internal/capture"
	"archknot/internal/contract"
	"archknot/internal/simwire"
)

func main() {
	dir := flag.String("capture", "", "record each instance in a folder below this one")
	books := flag.Bool("contracts", false, "have the deployment's shares kept by contracts in place of the module's own quotas")
	flag.Parse()
	if err := run(os.Stdin, os.Stdout, *dir, *books); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// host holds the instances of one process.
type host struct {
	enc     *simwire.Encoder
	capture string // folder of captures; "": none
	books   bool   // shares are kept by contracts
	nodes   map[int]*node
	born    int
}

// node is one instance: its module, or the recorder before it.
type node struct {
	capture.Module
	recorder *capture.Recorder
	writer   *capture.Writer
	timers   *timers
	book     *contract.Ledger // nil: the module's own quotas
}

// run serves batches until the input ends. An error names the line.
func run(in io.Reader, out io.Writer, dir string, books bool) (err error) {
	dec := simwire.NewDecoder(in)
	h := &host{enc: simwire.NewEncoder(out), capture: dir, books: books, nodes: map[int]*node{}}
	defer func() {
		for _, n := range h.nodes {
			n.close()
		}
	}()
	for {
		ev, err := dec.Next()
		if err == io.EOF {
			return nil
		}
		if err == nil {
			err = h.apply(ev)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", dec.Line(), err)
		}
	}
}

// bear makes a new instance.
func (h *host) bear(ev *simwire.Event) (*node, error) {
	sink := h.enc.Sink(ev.Gateway)
	n := &node{}
	if h.capture != "" {
		n.timers = &timers{Sink: sink, set: capture.Timers{}}
		sink = n.timers
	}
	b, err := balancer.New(ev.Settings, ev.Seed, sink)
	if err != nil {
		return nil, err
	}
	n.Module = b
	if h.books {
		if n.book, err = shares(ev); err != nil {
			return nil, err
		}
	}
	if h.capture == "" {
		return n, nil
	}
	h.born++
	name := fmt.Sprintf("instance%d_%d", ev.Gateway, h.born)
	n.writer, err = capture.NewWriter(capture.WriterOptions{Directory: filepath.Join(h.capture, name), Gateway: name, Build: buildinfo.Version(),
		Seed: ev.Seed, QueueLength: 8, BlockWhenFull: true, MaxBytes: math.MaxInt64, MaxAge: math.MaxInt64})
	if err != nil {
		return nil, err
	}
	n.recorder = capture.NewRecorder(ev.Now, b, nil, sink, n.writer, capture.Host{Timers: n.timers.set.Pending},
		capture.Options{CheckpointInterval: 5 * time.Second, BlockSize: 64 << 10, FlushInterval: time.Minute, SegmentSize: 64 << 20, SegmentAge: time.Hour})
	n.Module = n.recorder
	return n, nil
}

func (n *node) close() {
	if n.recorder != nil {
		n.recorder.Close()
		n.writer.Close()
	}
}

// apply hands one event to its instance.
func (h *host) apply(ev *simwire.Event) error {
	switch ev.Kind {
	case simwire.BatchEnd:
		return h.enc.Flush()
	case simwire.InstanceStarted:
		n, err := h.bear(ev)
		if err != nil {
			return fmt.Errorf("BORN: %w", err)
		}
		h.nodes[ev.Gateway] = n
		n.now(ev.Now)
		n.Start(ev.Now)
		return nil
	}
	n := h.nodes[ev.Gateway]
	if n == nil {
		return fmt.Errorf("instance %d was never born or is dead", ev.Gateway)
	}
	n.now(ev.Now)
	switch ev.Kind {
	case simwire.InstanceKilled:
		n.close()
		delete(h.nodes, ev.Gateway)
	case simwire.EndpointList:
		n.ListChanged(ev.Now, ev.Endpoints)
	case simwire.RequestArrived:
		n.agreed(ev)
		n.RequestArrived(ev.Now, ev.Request)
	case simwire.TimerFired:
		if n.timers != nil {
			n.timers.set.Remove(ev.Token)
		}
		n.TimerFired(ev.Now, ev.Token)
		if n.book != nil && ev.Token == 0 { // the module's tick, at which it averages too
			n.book.UpdateDemand(ev.Now)
		}
	case simwire.HealthCheckEnded:
		n.HealthCheckEnded(ev.Now, ev.Outcome)
	case simwire.AttemptEnded:
		n.AttemptEnded(ev.Now, ev.Outcome)
	case simwire.ClientGone:
		n.ClientGone(ev.Now, ev.Outcome.ID)
	case simwire.FirstToken:
		n.FirstToken(ev.Now, ev.Outcome)
	case simwire.PeerMessage:
		n.PeerMessage(ev.Now, ev.Peer, ev.Body)
	}
	return nil
}

// shares are the deployment's quotas as contracts: a request counts as one. As the
// module's own rule has it, a tenant that lately asked for a quarter more than its
// quota is beyond it with all it sends. Each instance holds an equal part.
func shares(ev *simwire.Event) (*contract.Ledger, error) {
	s := &ev.Settings
	var terms []contract.Terms
	var parts []float64
	for _, t := range s.Tenants {
		if t.QuotaPerS > 0 {
			rate := 1.25 * t.QuotaPerS * float64(contract.Token)
			// Only what it asks for lately counts: the burst is never used up.
			terms = append(terms, contract.Terms{Team: t.Name, Tenants: []string{t.Name}, Rate: rate, Burst: contract.Units(max(1, 1e5*rate)),
				OverQuotaWeight: s.OverQuotaWeight, Surge: 1})
			parts = append(parts, 1/float64(max(1, s.Gateways)))
		}
	}
	b, err := contract.NewLedger(contract.Settings{UnknownTenantWeight: 1}, terms, ev.Now, 0)
	if err == nil {
		b.SetQuotaShares(ev.Now, parts)
	}
	return b, err
}

// agreed has the contract tell the worth that a request competes with.
func (n *node) agreed(ev *simwire.Event) {
	if n.book == nil {
		return
	}
	var c contract.Charge
	v := n.book.Charge(ev.Now, ev.Request.Tenant, ev.Request.Class, contract.Usage{OutputTokens: 1}, &c)
	n.book.Settle(ev.Now, &c, contract.Usage{OutputTokens: 1}, false)
	ev.Request.PriorityFactor = max(1e-6, v.PriorityWeight)
}

func (n *node) now(now balancer.Micros) {
	if n.timers != nil {
		n.timers.now = now
	}
}

// timers remembers those that are set: the simulator holds them, and a capture
// needs them in its checkpoints.
type timers struct {
	balancer.Sink
	now balancer.Micros
	set capture.Timers
}

func (t *timers) SetTimer(delay balancer.Micros, token uint64) {
	t.set.Add(t.now+delay, token)
	t.Sink.SetTimer(delay, token)
}
