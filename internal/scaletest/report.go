package scaletest

import (
	"context"
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"archknot/internal/controlstats"
)

// Names of figures. Those of gateways stand once for hollow ones and once, behind Real, for processes.
const (
	GatewayCPU              = "gateway.cpu_share"       // of a core, all that it does
	GatewayBusy             = "gateway.decide_share"    // of a core, in the task that decides
	GatewayResident         = "gateway.resident_mb"     // of hollow ones: the process's by their number
	GatewayHeap             = "gateway.heap_mb"         // hollow ones alone
	GatewayConns            = "gateway.connections"     // to replicas
	GatewayAttempts         = "gateway.attempts_per_s"  //
	GatewayConnsOpened      = "gateway.opened_per_s"    // connections for attempts
	GatewayProbes           = "gateway.probes_per_s"    //
	GatewayProbeBytes       = "gateway.probe_b_per_s"   // both ways
	GatewayListBytes        = "gateway.list_b_per_s"    // both ways
	GatewayLists            = "gateway.lists_per_s"     //
	GatewayReportAge        = "gateway.report_age_ms"   // of reports that attempts went by
	GatewayReportUnknown    = "gateway.report_unknown"  // share of attempts without one
	GatewaySubset           = "gateway.subset"          // replicas
	GatewayUnserved         = "gateway.unserved_share"  // of requests
	ReplicaCPU              = "replica.cpu_share"       //
	ReplicaProbes           = "replica.probes_per_s"    //
	ReplicaConns            = "replica.connections"     // mean
	ReplicaConnsMaxOverMean = "replica.conns_most_mean" // largest over mean
	DiscoveryCPU            = "discovery.cpu_share"     //
	DiscoveryBytes          = "discovery.b_per_s"       // both ways
	DiscoveryCalls          = "discovery.lists_per_s"   //
	ChangePropagation       = "change.in_force_ms"      // at the last gateway
)

// RealPrefix is before the names of figures of gateways that are processes.
const RealPrefix = "real."

// measurement is what all processes told at one moment.
type measurement struct {
	at              time.Time
	replicas        []Reply
	discovery       Reply
	hollow          Reply // of all processes together
	real            []controlstats.Stats
	realUsage       []Usage
	realServed      [2]int64
	oldestList      int64     // the oldest version of the list that a gateway has
	newestListSince time.Time // since when the last gateway has its own
}

// measure asks all processes for their figures.
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

// add enters another process's answer.
func (a *Reply) add(b Reply) {
	a.Usage.CPU += b.Usage.CPU
	a.Usage.ResidentMB += b.Usage.ResidentMB
	a.Usage.HeapMB += b.Usage.HeapMB
	a.Served, a.Unserved = a.Served+b.Served, a.Unserved+b.Unserved
	a.Gateways = append(a.Gateways, b.Gateways...)
}

// figuresBetween are the figures of the time between two looks.
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

// share is a as a share of a and b together.
func share(a, b int64) float64 {
	if a+b == 0 {
		return 0
	}
	return float64(a) / float64(a+b)
}

// addGatewayFigures are the means over gateways.
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

// Slope is how a figure grows with what was varied, by least squares.
type Slope struct {
	Figure       string     `json:"figure"`
	Varied       string     `json:"varied"`
	Points       int        `json:"points"`
	At0          float64    `json:"at_0"`
	Slope        float64    `json:"slope"`
	Interval     [2]float64 `json:"interval"` // 95%, of the slope
	Linear       bool       `json:"straight"` // each size's mean lies within a fifth of the line
	MaxDeviation float64    `json:"worst_miss"`
}

// linearTolerance is how far from the line a size's mean may lie, as a share of the line's value.
const linearTolerance = 0.2

// FitSlopes fits a line to each figure by what was varied.
func FitSlopes(points []Point) (out []Slope) {
	for _, varied := range []string{"replicas", "gateways"} {
		var x []float64
		y := map[string][]float64{}
		for _, p := range points {
			if p.Varied != varied {
				continue
			}
			x = append(x, p.size(varied))
			for name, v := range p.Figures {
				y[name] = append(y[name], v)
			}
		}
		names := make([]string, 0, len(y))
		for name := range y {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if s, ok := fitLine(x, y[name]); ok {
				s.Figure, s.Varied = name, varied
				out = append(out, s)
			}
		}
	}
	return out
}

func (p *Point) size(varied string) float64 {
	if varied == "replicas" {
		return float64(p.Replicas)
	}
	return float64(p.Gateways)
}

// fitLine is the least-squares line with Student's interval; it takes three points and two sizes.
func fitLine(x, y []float64) (s Slope, ok bool) {
	n := len(x)
	if n < 3 || len(y) != n || slices.Min(x) == slices.Max(x) {
		return s, false
	}
	s.Points = n
	s.At0, s.Slope = stat.LinearRegression(x, y, nil, false)
	mean, rest, spread := stat.Mean(x, nil), 0.0, 0.0
	sums, counts := map[float64]float64{}, map[float64]float64{}
	for i := range x {
		off := y[i] - s.At0 - s.Slope*x[i]
		rest += off * off
		spread += (x[i] - mean) * (x[i] - mean)
		sums[x[i]] += y[i]
		counts[x[i]]++
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 2)}.Quantile(0.975)
	half := t * math.Sqrt(rest/float64(n-2)/spread)
	s.Interval = [2]float64{s.Slope - half, s.Slope + half}
	for size, sum := range sums {
		line, seen := s.At0+s.Slope*size, sum/counts[size]
		if scale := max(math.Abs(line), math.Abs(seen)); scale > 0 {
			s.MaxDeviation = max(s.MaxDeviation, math.Abs(line-seen)/scale)
		}
	}
	s.Linear = s.MaxDeviation <= linearTolerance
	return s, true
}

// Comparison is a hollow figure beside that of real gateways, over all sizes.
type Comparison struct {
	Figure string  `json:"figure"`
	Hollow float64 `json:"hollow"`
	Real   float64 `json:"real"`
	Ratio  float64 `json:"ratio"` // the largest off 1 of any size's mean
	Agrees bool    `json:"counts"`
}

// agreementTolerance is how far a hollow figure may be from the real one and still count.
const agreementTolerance = 0.2

// Compare sets hollow figures beside real ones, size by size.
func Compare(points []Point) (out []Comparison) {
	names := map[string]bool{}
	for _, p := range points {
		for name := range p.Figures {
			if real, ok := strings.CutPrefix(name, RealPrefix); ok {
				names[real] = true
			}
		}
	}
	for _, name := range sortedNames(names) {
		c := Comparison{Figure: name, Ratio: 1}
		type sums struct{ hollow, real float64 }
		sizes := map[Size]*sums{}
		for _, p := range points {
			if sizes[p.Size] == nil {
				sizes[p.Size] = &sums{}
			}
			s := sizes[p.Size]
			s.hollow, s.real = s.hollow+p.Figures[name], s.real+p.Figures[RealPrefix+name]
			c.Hollow, c.Real = c.Hollow+p.Figures[name]/float64(len(points)), c.Real+p.Figures[RealPrefix+name]/float64(len(points))
		}
		for _, s := range sizes {
			if s.hollow == 0 && s.real == 0 {
				continue
			}
			if ratio := s.hollow / s.real; math.Abs(ratio-1) > math.Abs(c.Ratio-1) || math.IsNaN(ratio) {
				c.Ratio = ratio
			}
		}
		if math.IsInf(c.Ratio, 0) || math.IsNaN(c.Ratio) {
			c.Ratio = 0
		}
		c.Agrees = math.Abs(c.Ratio-1) <= agreementTolerance
		out = append(out, c)
	}
	return out
}

func sortedNames(set map[string]bool) (out []string) {
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// WriteTables writes the result as Markdown: what was measured, the slopes, and hollow beside real.
func (r *Result) WriteTables(w io.Writer) {
	fmt.Fprintf(w, "Build %s, seed %d, %d runs of each size, %s measured of each.\n\n", r.Build, r.Plan.Seed, r.Plan.Repeat, r.Plan.Duration)
	fmt.Fprint(w, "| figure | varied | at 0 | slope | 95% of the slope | a line fits |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Slopes {
		fits := "yes"
		if !s.Linear {
			fits = fmt.Sprintf("no: off by %.0f%%", 100*s.MaxDeviation)
		}
		fmt.Fprintf(w, "| %s | %s | %.4g | %.4g | %.4g to %.4g | %s |\n", s.Figure, s.Varied, s.At0, s.Slope, s.Interval[0], s.Interval[1], fits)
	}
	fmt.Fprint(w, "\n| hollow beside real | hollow | real | hollow over real, worst size | counts |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range r.Comparisons {
		counts := "yes"
		if !c.Agrees {
			counts = "no"
		}
		fmt.Fprintf(w, "| %s | %.4g | %.4g | %.2f | %s |\n", c.Figure, c.Hollow, c.Real, c.Ratio, counts)
	}
	r.writeMeans(w)
}

// writeMeans writes each size's means.
func (r *Result) writeMeans(w io.Writer) {
	var order []Size
	sums, counts := map[Size]map[string]float64{}, map[Size]float64{}
	names := map[string]bool{}
	for _, p := range r.Points {
		if sums[p.Size] == nil {
			sums[p.Size] = map[string]float64{}
			order = append(order, p.Size)
		}
		counts[p.Size]++
		for name, v := range p.Figures {
			sums[p.Size][name] += v
			names[name] = true
		}
	}
	fmt.Fprint(w, "\n| figure |")
	for _, s := range order {
		fmt.Fprintf(w, " %d x %d |", s.Replicas, s.Gateways)
	}
	fmt.Fprint(w, "\n| --- |"+strings.Repeat(" --- |", len(order))+"\n")
	for _, name := range sortedNames(names) {
		fmt.Fprintf(w, "| %s |", name)
		for _, s := range order {
			fmt.Fprintf(w, " %.4g |", sums[s][name]/counts[s])
		}
		fmt.Fprintln(w)
	}
}
