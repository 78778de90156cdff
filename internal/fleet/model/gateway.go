package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/contract"
	"archknot/internal/subset"
)

// gateway is one incarnation of a gateway: its balancer, the selector of its subset of the fleet, its
// contract ledger, timers and requests. It implements balancer.Sink.
type gateway struct {
	sim         *sim
	index       int
	zone        string
	incarnation int
	killed      bool // messages that arrive are dropped
	rng         *rand.Rand

	balancer       *balancer.Balancer
	module         capture.Module // the balancer, or the recorder that wraps it
	selector       *subset.Selector
	ledger         *contract.Ledger       // nil: no contracts
	recordedLedger capture.ContractLedger // the ledger, or the recorder that wraps it
	recorder       *capture.Recorder      // nil: no capture
	writer         *capture.Writer
	timers         capture.Timers

	requests map[balancer.RequestID]*request
	nextID   balancer.RequestID

	listVersion int64 // version of discovery's list that the gateway has
	watching    bool
	watchCount  int
}

func (s *sim) newGateway(index int) (*gateway, error) {
	settings := s.spec.Settings
	settings.Self = index
	settings.Gateways = s.spec.Gateways
	settings.Zones = s.zones
	settings.Kinds = s.kinds
	settings.Zone = s.zones[index%len(s.zones)]
	g := &gateway{
		sim:      s,
		index:    index,
		zone:     settings.Zone,
		requests: map[balancer.RequestID]*request{},
		nextID:   1,
		timers:   capture.Timers{},
		rng:      s.engine.Rand(fmt.Sprint("gateway", index)),
	}
	seed := g.rng.Uint64()
	var err error
	if g.balancer, err = balancer.New(settings, seed, g); err != nil {
		return nil, err
	}
	g.module = g.balancer
	g.selector = subset.NewSelector(subset.Settings{
		MaxReplicas:    s.spec.SubsetSize,
		GatewayIndex:   index,
		GatewayCount:   s.spec.Gateways,
		Zone:           settings.Zone,
		RemoteFraction: subset.DefaultRemoteFraction,
		WeightIsSize:   settings.WeightKind == balancer.WeightNominal,
		SlowStart:      settings.SlowStartFor,
	}, g.balancer)
	if len(s.spec.Contracts) > 0 {
		if err := g.addLedger(); err != nil {
			return nil, err
		}
	}
	if s.spec.Capture != "" {
		if err := g.addRecorder(seed); err != nil {
			return nil, err
		}
	}
	return g, nil
}

// addLedger gives the gateway a contract ledger with an equal share of each quota.
func (g *gateway) addLedger() (err error) {
	spec := g.sim.spec
	g.ledger, err = contract.NewLedger(spec.LedgerSettings, spec.Contracts, startTime, startTime)
	if err != nil {
		return err
	}
	shares := make([]float64, len(spec.Contracts))
	for i := range shares {
		shares[i] = 1 / float64(spec.Gateways)
	}
	g.ledger.SetQuotaShares(startTime, shares)
	g.recordedLedger = capture.UnrecordedLedger{Ledger: g.ledger}
	return nil
}

// addRecorder captures the gateway's balancer and ledger.
func (g *gateway) addRecorder(seed uint64) (err error) {
	name := fmt.Sprintf("gateway%d", g.index)
	g.writer, err = capture.NewWriter(capture.WriterOptions{
		Directory:     filepath.Join(g.sim.spec.Capture, name),
		Gateway:       name,
		Build:         "model",
		Seed:          seed,
		QueueLength:   8,
		BlockWhenFull: true,
		MaxBytes:      math.MaxInt64,
		MaxAge:        math.MaxInt64,
	})
	if err != nil {
		return err
	}
	host := capture.Host{Timers: g.timers.Pending, OpenCharges: g.openCharges}
	options := capture.Options{
		CheckpointInterval: 15 * time.Second,
		BlockSize:          64 << 10,
		FlushInterval:      time.Minute,
		SegmentSize:        64 << 20,
		SegmentAge:         time.Hour,
	}
	g.recorder = capture.NewRecorder(startTime, g.balancer, g.ledger, g, g.writer, host, options)
	g.module = g.recorder
	if g.ledger != nil {
		g.recordedLedger = g.recorder
	}
	return nil
}

// start starts the balancer and passes it the initial list.
func (g *gateway) start() {
	now := g.sim.engine.Now()
	g.module.Start(now)
	g.module.ListChanged(now, g.selector.Apply(now, g.initialList()))
}

// close completes the capture.
func (g *gateway) close() {
	if g.recorder != nil {
		g.recorder.Close()
		g.writer.Close()
	}
}

// kill ends the gateway and all its requests. After restartAfter its next incarnation starts with the
// same endpoint list. In captured runs, kill does nothing: a capture covers one incarnation.
func (g *gateway) kill(restartAfter balancer.Micros) {
	s := g.sim
	if g.killed || s.spec.Capture != "" {
		return
	}
	g.killed = true
	for _, id := range sortedKeys(g.requests) {
		r := g.requests[id]
		for _, a := range r.attempts {
			if !a.ended {
				a.ended = true
				a.cancel()
			}
		}
		if !r.finished {
			r.finished = true
			s.requestEnded(s.engine.Now(), r, OutcomeBroken, 0)
		}
	}
	s.engine.After(max(1, restartAfter), func(balancer.Micros) {
		next, err := s.newGateway(g.index)
		if err != nil {
			panic(err) // the same settings were valid for the previous incarnation
		}
		next.incarnation = g.incarnation + 1
		next.listVersion = g.listVersion
		s.gateways[g.index] = next
		next.start()
	})
}

// SetTimer implements balancer.Sink.
func (g *gateway) SetTimer(delay balancer.Micros, token uint64) {
	at := g.sim.engine.Now() + delay
	g.timers.Add(at, token)
	g.sim.engine.At(at, func(now balancer.Micros) {
		if g.killed {
			return
		}
		g.timers.Remove(token)
		g.module.TimerFired(now, token)
	})
}

// healthCheckTimeout is the timeout of a health check.
const healthCheckTimeout balancer.Micros = 250_000

// HealthCheck implements balancer.Sink.
func (g *gateway) HealthCheck(to balancer.ReplicaID) {
	s := g.sim
	s.result.HealthChecks++
	h, sentAt := s.hosts[to-1], s.engine.Now()
	s.engine.After(s.networkDelay(g.zone, h.zone), func(balancer.Micros) {
		outcome := balancer.Outcome{Replica: to, Status: balancer.Served, Report: h.loadReport()}
		if h.simulator == nil && !h.unresponsive {
			outcome.Status = balancer.ConnectFailed
		}
		responseDelay := s.networkDelay(h.zone, g.zone)
		if h.unresponsive {
			outcome.Status = balancer.TimedOut
			outcome.Report = balancer.LoadReport{}
			responseDelay = healthCheckTimeout
		}
		s.engine.After(responseDelay, func(now balancer.Micros) {
			outcome.Elapsed = now - sentAt
			if !g.killed {
				g.module.HealthCheckEnded(now, outcome)
			}
		})
	})
}

// Gossip implements balancer.Sink. It does nothing: the gateways of the model do not gossip.
func (g *gateway) Gossip([]byte) {}
