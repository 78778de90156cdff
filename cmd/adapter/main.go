// Adapter runs many instances of the decision module for the simulator, which sends batches of events on standard
// input and reads the replies on standard output. With -capture each instance is recorded in a directory of its own.
package main

import (
	"errors"
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
	contracts := flag.Bool("contracts", false, "enforce the deployment's quotas by contracts instead of the module's own rule")
	flag.Parse()
	if err := run(os.Stdin, os.Stdout, *dir, *contracts); err != nil {
		fmt.Fprintln(os.Stderr, "adapter:", err)
		os.Exit(1)
	}
}

// Settings of captures. Captures are complete: a full queue blocks the adapter, and no segment is deleted.
const (
	captureQueueLength = 8 // blocks
	checkpointInterval = 5 * time.Second
	blockSize          = 64 << 10    // bytes
	flushInterval      = time.Minute // of virtual time, for which records may stay in memory
	segmentSize        = 64 << 20    // bytes
	segmentAge         = time.Hour
)

// host runs the gateway instances of one process.
type host struct {
	encoder    *simwire.Encoder
	captureDir string // parent directory of the captures; empty if instances are not recorded
	contracts  bool   // enforce quotas by contracts
	instances  map[int]*instance
	started    int // recorded instances so far, which number the captures
}

// instance is one gateway: its decision module, or a recorder that wraps the module.
type instance struct {
	capture.Module
	recorder *capture.Recorder
	writer   *capture.Writer
	timers   *timers
	ledger   *contract.Ledger // nil if the module enforces quotas by its own rule
}

// run processes batches of events until the input ends. A returned error names the input line.
func run(in io.Reader, out io.Writer, captureDir string, contracts bool) error {
	decoder := simwire.NewDecoder(in)
	h := &host{
		encoder:    simwire.NewEncoder(out),
		captureDir: captureDir,
		contracts:  contracts,
		instances:  map[int]*instance{},
	}
	defer func() {
		for _, n := range h.instances {
			n.close()
		}
	}()
	for {
		ev, err := decoder.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err == nil {
			err = h.apply(ev)
		}
		if err != nil {
			return fmt.Errorf("line %d: %w", decoder.Line(), err)
		}
	}
}

// start creates the instance that an InstanceStarted event describes.
func (h *host) start(ev *simwire.Event) (*instance, error) {
	sink := h.encoder.Sink(ev.Gateway)
	n := &instance{}
	if h.captureDir != "" {
		n.timers = &timers{Sink: sink, pending: capture.Timers{}}
		sink = n.timers
	}
	b, err := balancer.New(ev.Settings, ev.Seed, sink)
	if err != nil {
		return nil, err
	}
	n.Module = b
	if h.contracts {
		if n.ledger, err = newLedger(ev); err != nil {
			return nil, err
		}
	}
	if h.captureDir != "" {
		err = h.record(n, ev, b, sink)
	}
	return n, err
}

// record wraps the module of an instance in a recorder.
func (h *host) record(n *instance, ev *simwire.Event, b *balancer.Balancer, sink balancer.Sink) error {
	h.started++
	name := fmt.Sprintf("instance%d_%d", ev.Gateway, h.started)
	writer, err := capture.NewWriter(capture.WriterOptions{
		Directory:     filepath.Join(h.captureDir, name),
		Gateway:       name,
		Build:         buildinfo.Version(),
		Seed:          ev.Seed,
		QueueLength:   captureQueueLength,
		BlockWhenFull: true,
		MaxBytes:      math.MaxInt64,
		MaxAge:        math.MaxInt64,
	})
	if err != nil {
		return err
	}
	n.writer = writer
	n.recorder = capture.NewRecorder(ev.Now, b, nil, sink, writer, capture.Host{Timers: n.timers.pending.Pending}, capture.Options{
		CheckpointInterval: checkpointInterval,
		BlockSize:          blockSize,
		FlushInterval:      flushInterval,
		SegmentSize:        segmentSize,
		SegmentAge:         segmentAge,
	})
	n.Module = n.recorder
	return nil
}

// close ends the instance's capture, if it has one.
func (n *instance) close() {
	if n.recorder != nil {
		n.recorder.Close()
		n.writer.Close()
	}
}

// apply passes one event to its instance.
func (h *host) apply(ev *simwire.Event) error {
	switch ev.Kind {
	case simwire.BatchEnd:
		return h.encoder.Flush()
	case simwire.InstanceStarted:
		n, err := h.start(ev)
		if err != nil {
			return fmt.Errorf("BORN: %w", err)
		}
		h.instances[ev.Gateway] = n
		n.setClock(ev.Now)
		n.Start(ev.Now)
		return nil
	}
	n := h.instances[ev.Gateway]
	if n == nil {
		return fmt.Errorf("instance %d was never born or is dead", ev.Gateway)
	}
	n.setClock(ev.Now)
	switch ev.Kind {
	case simwire.InstanceKilled:
		n.close()
		delete(h.instances, ev.Gateway)
	case simwire.EndpointList:
		n.ListChanged(ev.Now, ev.Endpoints)
	case simwire.RequestArrived:
		n.chargeRequest(ev)
		n.RequestArrived(ev.Now, ev.Request)
	case simwire.TimerFired:
		if n.timers != nil {
			n.timers.pending.Remove(ev.Token)
		}
		n.TimerFired(ev.Now, ev.Token)
		if n.ledger != nil && ev.Token == 0 { // the periodic tick, at which the module updates its own averages
			n.ledger.UpdateDemand(ev.Now)
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

// demandHeadroom is the ratio of a tenant's recent demand to its quota above which all its requests count as over
// quota. The module's own rule uses the same ratio.
const demandHeadroom = 1.25

// newLedger returns a ledger with one contract for each tenant that has a quota. A request counts as one token, and
// each instance enforces an equal fraction of the quotas.
func newLedger(ev *simwire.Event) (*contract.Ledger, error) {
	s := &ev.Settings
	var terms []contract.Terms
	var quotaShares []float64
	for _, t := range s.Tenants {
		if t.QuotaPerS <= 0 {
			continue
		}
		rate := demandHeadroom * t.QuotaPerS * float64(contract.Token)
		terms = append(terms, contract.Terms{
			Team:    t.Name,
			Tenants: []string{t.Name},
			Rate:    rate,
			// A burst that is never used up: only the rate of recent demand counts.
			Burst:           contract.Units(max(1, 1e5*rate)),
			OverQuotaWeight: s.OverQuotaWeight,
			SurgeFactor:     1,
		})
		quotaShares = append(quotaShares, 1/float64(max(1, s.Gateways)))
	}
	l, err := contract.NewLedger(contract.Settings{UnknownTenantWeight: 1}, terms, ev.Now, 0)
	if err != nil {
		return nil, err
	}
	l.SetQuotaShares(ev.Now, quotaShares)
	return l, nil
}

// chargeRequest sets the priority factor of an arriving request from its tenant's contract.
func (n *instance) chargeRequest(ev *simwire.Event) {
	if n.ledger == nil {
		return
	}
	var c contract.Charge
	usage := contract.Usage{OutputTokens: 1}
	v := n.ledger.Charge(ev.Now, ev.Request.Tenant, ev.Request.Class, usage, &c)
	n.ledger.Settle(ev.Now, &c, usage, false)
	ev.Request.PriorityFactor = max(minPriorityFactor, v.PriorityWeight)
}

// minPriorityFactor is the factor of a request without priority: 0 would mean that no factor is set.
const minPriorityFactor = 1e-6

// setClock sets the time of the next event, to which the delays of the instance's timers are added.
func (n *instance) setClock(now balancer.Micros) {
	if n.timers != nil {
		n.timers.now = now
	}
}

// timers tracks the pending timers of a module, which the simulator runs. The checkpoints of a capture include them.
type timers struct {
	balancer.Sink
	now     balancer.Micros
	pending capture.Timers
}

// SetTimer tracks the timer and forwards the action to the simulator.
func (t *timers) SetTimer(delay balancer.Micros, token uint64) {
	t.pending.Add(t.now+delay, token)
	t.Sink.SetTimer(delay, token)
}
