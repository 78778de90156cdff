package scaletest

import (
	"context"
	"math"
	"slices"
	"time"

	"archknot/internal/controlstats"
)

// The names of figures. Figures are means over gateways or replicas unless noted. The names of gateway
// figures are those of hollow gateways; with RealPrefix they are the figures of gateway processes.
const (
	GatewayCPU              = "gateway.cpu_share"       // CPU time of the gateway as a fraction of a core
	GatewayBusy             = "gateway.decide_share"    // time in the decision loop as a fraction of a core
	GatewayResident         = "gateway.resident_mb"     // hollow gateways: memory of their processes over their number
	GatewayHeap             = "gateway.heap_mb"         // hollow gateways only
	GatewayConns            = "gateway.connections"     // to replicas
	GatewayAttempts         = "gateway.attempts_per_s"  // attempts sent to replicas
	GatewayConnsOpened      = "gateway.opened_per_s"    // connections opened for attempts
	GatewayHealthChecks     = "gateway.probes_per_s"    // health checks sent
	GatewayHealthCheckBytes = "gateway.probe_b_per_s"   // bytes of health checks, both directions
	GatewayListBytes        = "gateway.list_b_per_s"    // bytes exchanged with discovery, both directions
	GatewayLists            = "gateway.lists_per_s"     // requests to discovery
	GatewayReportAge        = "gateway.report_age_ms"   // age of the load reports used to place attempts
	GatewayReportUnknown    = "gateway.report_unknown"  // fraction of attempts placed without a load report
	GatewaySubset           = "gateway.subset"          // replicas in the subset
	GatewayUnserved         = "gateway.unserved_share"  // fraction of requests
	ReplicaCPU              = "replica.cpu_share"       // fraction of a core
	ReplicaHealthChecks     = "replica.probes_per_s"    // health checks received
	ReplicaConns            = "replica.connections"     // open connections
	ReplicaConnsMaxOverMean = "replica.conns_most_mean" // maximum over replicas divided by the mean
	DiscoveryCPU            = "discovery.cpu_share"     // fraction of a core
	DiscoveryBytes          = "discovery.b_per_s"       // both directions
	DiscoveryCalls          = "discovery.lists_per_s"   // requests received
	ChangePropagation       = "change.in_force_ms"      // until the last gateway has a change of the endpoint list
)

// RealPrefix precedes the name of a gateway figure that was measured on gateway processes.
const RealPrefix = "real."

// measurement contains the counters and usage of all processes at one moment.
type measurement struct {
	at              time.Time
	replicas        []Reply
	discovery       Reply
	hollow          Reply // sum over the processes with hollow gateways
	real            []controlstats.Stats
	realUsage       []Usage
	realServed      [2]int64  // requests to real gateways: served, unserved
	oldestList      int64     // lowest version of the endpoint list at any gateway
	newestListSince time.Time // latest time at which a gateway received its version
}

// measure queries all processes of the fleet.
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
		if c.ListReceivedAt.After(v.newestListSince) {
			v.newestListSince = c.ListReceivedAt
		}
	}
	return v, nil
}

// add adds the usage, request counts and gateways of another process's reply.
func (a *Reply) add(b Reply) {
	a.Usage.CPU += b.Usage.CPU
	a.Usage.ResidentMB += b.Usage.ResidentMB
	a.Usage.HeapMB += b.Usage.HeapMB
	a.Served, a.Unserved = a.Served+b.Served, a.Unserved+b.Unserved
	a.Gateways = append(a.Gateways, b.Gateways...)
}

// figuresBetween returns the figures of the period between measurements a and b.
func figuresBetween(a, b measurement, size Size) map[string]float64 {
	out := map[string]float64{}
	seconds := b.at.Sub(a.at).Seconds()
	n := float64(size.Gateways)
	addGatewayFigures(out, "", a.hollow.Gateways, b.hollow.Gateways, seconds)
	out[GatewayCPU] = (b.hollow.Usage.CPU - a.hollow.Usage.CPU).Seconds() / seconds / n
	out[GatewayResident], out[GatewayHeap] = b.hollow.Usage.ResidentMB/n, b.hollow.Usage.HeapMB/n
	out[GatewayUnserved] = fraction(b.hollow.Unserved-a.hollow.Unserved, b.hollow.Served-a.hollow.Served)
	if len(b.real) > 0 {
		addGatewayFigures(out, RealPrefix, a.real, b.real, seconds)
		cpu, resident := 0.0, 0.0
		for i := range b.real {
			cpu += (b.realUsage[i].CPU - a.realUsage[i].CPU).Seconds() / seconds
			resident += b.realUsage[i].ResidentMB
		}
		out[RealPrefix+GatewayCPU], out[RealPrefix+GatewayResident] = cpu/float64(len(b.real)), resident/float64(len(b.real))
		out[RealPrefix+GatewayUnserved] = fraction(b.realServed[1]-a.realServed[1], b.realServed[0]-a.realServed[0])
	}
	addReplicaFigures(out, a, b, seconds, float64(size.Replicas))
	calls, before := b.discovery.Calls, a.discovery.Calls
	out[DiscoveryCPU] = (b.discovery.Usage.CPU - a.discovery.Usage.CPU).Seconds() / seconds
	out[DiscoveryBytes] = float64(calls.BytesIn+calls.BytesOut-before.BytesIn-before.BytesOut) / seconds
	out[DiscoveryCalls] = float64(calls.Lists-before.Lists) / seconds
	return out
}

// fraction returns a/(a+b), or 0 if both are 0.
func fraction(a, b int64) float64 {
	if a+b == 0 {
		return 0
	}
	return float64(a) / float64(a+b)
}

// addGatewayFigures adds the gateway figures, whose names get the prefix, to out.
func addGatewayFigures(out map[string]float64, prefix string, a, b []controlstats.Stats, seconds float64) {
	n := float64(len(b))
	add := func(name string, v float64) { out[prefix+name] += v / n }
	var known, unknown int64
	var age time.Duration
	for i := range b {
		before, after := a[i], b[i]
		add(GatewayBusy, (after.LoopBusy-before.LoopBusy).Seconds()/seconds)
		add(GatewayConns, float64(after.Connections))
		add(GatewaySubset, float64(after.Subset))
		traffic := func(p controlstats.Purpose) (calls, opened, bytes float64) {
			t, s := after.Traffic[p], before.Traffic[p]
			return float64(t.Calls-s.Calls) / seconds, float64(t.ConnectionsOpened-s.ConnectionsOpened) / seconds,
				float64(t.BytesIn+t.BytesOut-s.BytesIn-s.BytesOut) / seconds
		}
		calls, opened, _ := traffic(controlstats.PurposeAttempt)
		add(GatewayAttempts, calls)
		add(GatewayConnsOpened, opened)
		calls, _, bytes := traffic(controlstats.PurposeHealthCheck)
		add(GatewayHealthChecks, calls)
		add(GatewayHealthCheckBytes, bytes)
		calls, _, bytes = traffic(controlstats.PurposeDiscovery)
		add(GatewayLists, calls)
		add(GatewayListBytes, bytes)
		known, unknown = known+after.Reports.WithReport-before.Reports.WithReport, unknown+after.Reports.WithoutReport-before.Reports.WithoutReport
		age += after.Reports.Sum - before.Reports.Sum
	}
	if known > 0 {
		out[prefix+GatewayReportAge] = age.Seconds() * 1000 / float64(known)
	}
	out[prefix+GatewayReportUnknown] = fraction(unknown, known)
}

// addReplicaFigures adds the figures of n replicas to out.
func addReplicaFigures(out map[string]float64, a, b measurement, seconds, n float64) {
	conns, maxConns := 0, 0
	for i := range b.replicas {
		after, before := b.replicas[i], a.replicas[i]
		out[ReplicaCPU] += (after.Usage.CPU - before.Usage.CPU).Seconds() / seconds / n
		out[ReplicaHealthChecks] += float64(after.Calls.HealthChecks-before.Calls.HealthChecks) / seconds / n
		for _, open := range after.ReplicaConns {
			conns, maxConns = conns+open, max(maxConns, open)
		}
	}
	out[ReplicaConns] = float64(conns) / n
	if conns > 0 {
		out[ReplicaConnsMaxOverMean] = float64(maxConns) / out[ReplicaConns]
	}
}
