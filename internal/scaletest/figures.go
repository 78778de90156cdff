package scaletest

import (
	"context"
	"math"
	"slices"
	"time"

	"archknot/internal/controlstats"
)

// The names of figures. Those of gateways are for hollow ones; with RealPrefix they are for gateways that
// are processes.
const (
	GatewayCPU              = "gateway.cpu_share"    // of a core, for everything
	GatewayBusy             = "gateway.decide_share" // of a core, in the decision loop
	GatewayResident         = "gateway.resident_mb"  // of hollow ones: the memory of their process by their number
	GatewayHeap             = "gateway.heap_mb"      // of hollow ones only
	GatewayConns            = "gateway.connections"  // to replicas
	GatewayAttempts         = "gateway.attempts_per_s"
	GatewayConnsOpened      = "gateway.opened_per_s" // connections for attempts
	GatewayProbes           = "gateway.probes_per_s"
	GatewayProbeBytes       = "gateway.probe_b_per_s" // in both directions
	GatewayListBytes        = "gateway.list_b_per_s"  // in both directions
	GatewayLists            = "gateway.lists_per_s"
	GatewayReportAge        = "gateway.report_age_ms"  // of the load reports that attempts were decided on
	GatewayReportUnknown    = "gateway.report_unknown" // share of attempts without a load report
	GatewaySubset           = "gateway.subset"         // number of replicas
	GatewayUnserved         = "gateway.unserved_share" // share of requests
	ReplicaCPU              = "replica.cpu_share"
	ReplicaProbes           = "replica.probes_per_s"
	ReplicaConns            = "replica.connections"     // mean over replicas
	ReplicaConnsMaxOverMean = "replica.conns_most_mean" // the largest over the mean
	DiscoveryCPU            = "discovery.cpu_share"
	DiscoveryBytes          = "discovery.b_per_s" // in both directions
	DiscoveryCalls          = "discovery.lists_per_s"
	ChangePropagation       = "change.in_force_ms" // until the last gateway has the change
)

// RealPrefix is the prefix for the figures of gateways that are processes.
const RealPrefix = "real."

// measurement is the state of all processes at one moment.
type measurement struct {
	at              time.Time
	replicas        []Reply
	discovery       Reply
	hollow          Reply // the sum over all processes
	real            []controlstats.Stats
	realUsage       []Usage
	realServed      [2]int64
	oldestList      int64     // the oldest version of the endpoint list that any gateway has
	newestListSince time.Time // when the last gateway got its version
}

// measure measures all processes.
func (f *testFleet) measure(ctx context.Context) (v measurement, err error) {
	v.at = time.Now()
	for _, r := range f.replicas {
		a, err := r.command(ctx, Command{Name: CommandMeasure})
		if err != nil {
			return v, err
		}
		v.replicas = append(v.replicas, a)
	}
	if v.discovery, err = f.discovery.command(ctx, Command{Name: CommandMeasure}); err != nil {
		return v, err
	}
	for _, r := range f.hollowGateways {
		a, err := r.command(ctx, Command{Name: CommandMeasure})
		if err != nil {
			return v, err
		}
		v.hollow.add(a)
	}
	for _, p := range f.realGateways.list {
		c, u, err := p.measure(ctx)
		if err != nil {
			return v, err
		}
		v.real, v.realUsage = append(v.real, c), append(v.realUsage, u)
	}
	v.realServed = [2]int64{f.traffic.served.Load(), f.traffic.unserved.Load()}
	v.oldestList = math.MaxInt64
	for _, c := range slices.Concat(v.hollow.Gateways, v.real) {
		v.oldestList = min(v.oldestList, c.ListVersion)
		if c.ListSince.After(v.newestListSince) {
			v.newestListSince = c.ListSince
		}
	}
	return v, nil
}

// add adds the reply of another process.
func (a *Reply) add(b Reply) {
	a.Usage.CPU += b.Usage.CPU
	a.Usage.ResidentMB += b.Usage.ResidentMB
	a.Usage.HeapMB += b.Usage.HeapMB
	a.Served, a.Unserved = a.Served+b.Served, a.Unserved+b.Unserved
	a.Gateways = append(a.Gateways, b.Gateways...)
}

// figuresBetween returns the figures of the time between two measurements.
func figuresBetween(a, b measurement, size Size) map[string]float64 {
	out := map[string]float64{}
	seconds := b.at.Sub(a.at).Seconds()
	n := float64(size.Gateways)
	addGatewayFigures(out, "", a.hollow.Gateways, b.hollow.Gateways, seconds)
	out[GatewayCPU] = (b.hollow.Usage.CPU - a.hollow.Usage.CPU).Seconds() / seconds / n
	out[GatewayResident], out[GatewayHeap] = b.hollow.Usage.ResidentMB/n, b.hollow.Usage.HeapMB/n
	out[GatewayUnserved] = share(b.hollow.Unserved-a.hollow.Unserved, b.hollow.Served-a.hollow.Served)
	if len(b.real) > 0 {
		addGatewayFigures(out, RealPrefix, a.real, b.real, seconds)
		cpu, resident := 0.0, 0.0
		for i := range b.real {
			cpu += (b.realUsage[i].CPU - a.realUsage[i].CPU).Seconds() / seconds
			resident += b.realUsage[i].ResidentMB
		}
		out[RealPrefix+GatewayCPU], out[RealPrefix+GatewayResident] = cpu/float64(len(b.real)), resident/float64(len(b.real))
		out[RealPrefix+GatewayUnserved] = share(b.realServed[1]-a.realServed[1], b.realServed[0]-a.realServed[0])
	}
	addReplicaFigures(out, a, b, seconds, float64(size.Replicas))
	calls, before := b.discovery.Calls, a.discovery.Calls
	out[DiscoveryCPU] = (b.discovery.Usage.CPU - a.discovery.Usage.CPU).Seconds() / seconds
	out[DiscoveryBytes] = float64(calls.BytesIn+calls.BytesOut-before.BytesIn-before.BytesOut) / seconds
	out[DiscoveryCalls] = float64(calls.Lists-before.Lists) / seconds
	return out
}

// share returns a as a share of a and b together, 0 if both are 0.
func share(a, b int64) float64 {
	if a+b == 0 {
		return 0
	}
	return float64(a) / float64(a+b)
}

// addGatewayFigures adds the means over gateways.
func addGatewayFigures(out map[string]float64, prefix string, a, b []controlstats.Stats, seconds float64) {
	n := float64(len(b))
	add := func(name string, v float64) { out[prefix+name] += v / n }
	var known, unknown int64
	var age time.Duration
	for i := range b {
		was, is := a[i], b[i]
		add(GatewayBusy, (is.LoopBusy-was.LoopBusy).Seconds()/seconds)
		add(GatewayConns, float64(is.Connections))
		add(GatewaySubset, float64(is.Subset))
		traffic := func(p controlstats.Purpose) (calls, opened, bytes float64) {
			t, s := is.Traffic[p], was.Traffic[p]
			return float64(t.Calls-s.Calls) / seconds, float64(t.ConnectionsOpened-s.ConnectionsOpened) / seconds,
				float64(t.BytesIn+t.BytesOut-s.BytesIn-s.BytesOut) / seconds
		}
		calls, opened, _ := traffic(controlstats.PurposeAttempt)
		add(GatewayAttempts, calls)
		add(GatewayConnsOpened, opened)
		calls, _, bytes := traffic(controlstats.PurposeHealthCheck)
		add(GatewayProbes, calls)
		add(GatewayProbeBytes, bytes)
		calls, _, bytes = traffic(controlstats.PurposeDiscovery)
		add(GatewayLists, calls)
		add(GatewayListBytes, bytes)
		known, unknown = known+is.Reports.WithReport-was.Reports.WithReport, unknown+is.Reports.WithoutReport-was.Reports.WithoutReport
		age += is.Reports.Sum - was.Reports.Sum
	}
	if known > 0 {
		out[prefix+GatewayReportAge] = age.Seconds() * 1000 / float64(known)
	}
	out[prefix+GatewayReportUnknown] = share(unknown, known)
}

// addReplicaFigures adds the means over replicas.
func addReplicaFigures(out map[string]float64, a, b measurement, seconds, n float64) {
	conns, most := 0, 0
	for i := range b.replicas {
		is, was := b.replicas[i], a.replicas[i]
		out[ReplicaCPU] += (is.Usage.CPU - was.Usage.CPU).Seconds() / seconds / n
		out[ReplicaProbes] += float64(is.Calls.Probes-was.Calls.Probes) / seconds / n
		for _, open := range is.ReplicaConns {
			conns, most = conns+open, max(most, open)
		}
	}
	out[ReplicaConns] = float64(conns) / n
	if conns > 0 {
		out[ReplicaConnsMaxOverMean] = float64(most) / out[ReplicaConns]
	}
}
