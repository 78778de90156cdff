// Package scaletest measures the CPU time, memory, connections and traffic of gateways, replicas and discovery
// as a fleet grows. Replicas and most gateways are hollow: thousands of replicas that do no work, and many
// gateways, share a few processes. Hollow gateways run the program's own code, with their clients in the
// same process. A few gateways are processes of their own; the figures of the hollow gateways are compared
// with theirs.
//
// All addresses are loopback addresses, and each process is killed by its id.
package scaletest

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"time"

	"archknot/internal/buildinfo"
	"archknot/internal/config"
	"archknot/internal/httpwire"
	"archknot/internal/procstat"
)

// Options are the parameters of a run besides its plan.
type Options struct {
	Program    string                                    // executable of roles and gateways; empty: this process's own
	OnProgress func(done, total int, description string) // called before each point; may be nil
}

// Size is the number of replicas and hollow gateways of a fleet.
type Size struct {
	Replicas int `json:"replicas"`
	Gateways int `json:"gateways"` // hollow ones
}

// Point is one measurement of a fleet of one size.
type Point struct {
	Size
	Varied  string             `json:"varied"` // variedReplicas or variedGateways
	Repeat  int                `json:"repeat"`
	Figures map[string]float64 `json:"figures"` // by name, see GatewayCPU and the following
}

// Result contains the measurements of a run and the lines and comparisons computed from them.
type Result struct {
	Build       string           `json:"build"`
	Plan        *config.ScaleRun `json:"plan"`
	Points      []Point          `json:"points"`
	Slopes      []Slope          `json:"slopes"`
	Comparisons []Comparison     `json:"hollow_beside_real"`
}

// The values of Point.Varied.
const (
	variedReplicas = "replicas"
	variedGateways = "gateways"
)

// PlannedPoints returns the points that a plan measures, in order and without figures.
func PlannedPoints(p *config.ScaleRun) (out []Point) {
	for repeat := range p.Repeat {
		for _, n := range p.Replicas {
			out = append(out, Point{Size: Size{n, p.BaseGateways}, Varied: variedReplicas, Repeat: repeat})
		}
		for _, n := range p.Gateways {
			out = append(out, Point{Size: Size{p.BaseReplicas, n}, Varied: variedGateways, Repeat: repeat})
		}
	}
	return out
}

// Run measures all points of a plan one after another, each with a fleet of its own. It stops at the first
// error.
func Run(ctx context.Context, p *config.ScaleRun, o Options) (*Result, error) {
	if o.Program == "" {
		self, err := os.Executable()
		if err != nil {
			return nil, err
		}
		o.Program = self
	}
	result := &Result{Build: buildinfo.Version(), Plan: p, Points: PlannedPoints(p)}
	for i := range result.Points {
		point := &result.Points[i]
		if o.OnProgress != nil {
			o.OnProgress(i, len(result.Points), fmt.Sprintf("%d replicas, %d gateways", point.Replicas, point.Gateways))
		}
		if err := measurePoint(ctx, p, o.Program, point, uint64(p.Seed+i)); err != nil {
			return nil, fmt.Errorf("%d replicas, %d gateways: %w", point.Replicas, point.Gateways, err)
		}
	}
	result.Slopes = FitSlopes(result.Points)
	result.Comparisons = Compare(result.Points)
	return result, nil
}

// startAndStopTime bounds the time of a point besides settling and traffic.
const startAndStopTime = 3 * time.Minute

// measurePoint starts a fleet of one size, measures its figures and stops all its processes.
func measurePoint(ctx context.Context, p *config.ScaleRun, program string, point *Point, seed uint64) error {
	ctx, stop := context.WithTimeout(ctx, p.SettleTime+p.Duration+startAndStopTime)
	defer stop()
	dir, err := os.MkdirTemp("", "archknot-scale-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f := &testFleet{plan: p, program: program, dir: dir, size: point.Size, rng: rand.New(rand.NewPCG(seed, 7))}
	defer f.close()
	if err := f.start(ctx); err != nil {
		return err
	}
	if err := f.wait(ctx, p.SettleTime); err != nil {
		return err
	}
	before, err := f.measure(ctx)
	if err != nil {
		return err
	}
	if err := f.runTraffic(ctx); err != nil {
		return err
	}
	after, err := f.measure(ctx)
	if err != nil {
		return err
	}
	point.Figures = figuresBetween(before, after, point.Size)
	propagation, err := f.propagationTime(ctx)
	if err != nil {
		return err
	}
	point.Figures[ChangePropagation] = propagation.Seconds() * 1000
	return nil
}

// testFleet contains the processes of one point.
type testFleet struct {
	plan           *config.ScaleRun
	program        string
	dir            string
	size           Size
	rng            *rand.Rand
	replicas       []*roleProcess
	discovery      *roleProcess
	hollowGateways []*roleProcess
	realGateways   *gatewayProcesses
	endpoints      []httpwire.Endpoint
	traffic        *loadGenerator // sends to the real gateways
}

// The largest numbers of hollow replicas and gateways in one process. Each has a listener and connections,
// which stay within the usual limit on file descriptors.
const (
	replicasPerProcess = 2500
	gatewaysPerProcess = 25
)

func (f *testFleet) start(ctx context.Context) error {
	for first := 0; first < f.size.Replicas; first += replicasPerProcess {
		spec := ReplicasSpec{First: first, Count: min(replicasPerProcess, f.size.Replicas-first), Zones: f.plan.Zones, Seed: f.rng.Uint64(),
			FirstEvent: f.plan.FirstEventDelay, Events: f.plan.Events, Gap: f.plan.EventGap}
		r, err := startRole(ctx, f.program, RoleReplicas, spec)
		if err != nil {
			return err
		}
		f.replicas = append(f.replicas, r)
		f.endpoints = append(f.endpoints, r.greeting.Endpoints...)
	}
	var err error
	if f.discovery, err = startRole(ctx, f.program, RoleDiscovery, DiscoverySpec{Endpoints: f.endpoints, Framing: f.plan.Framing}); err != nil {
		return err
	}
	gateways := GatewaysSpec{First: f.size.Gateways, FleetSize: max(f.plan.FleetGateways, f.size.Gateways+f.plan.Processes), Discovery: f.discovery.greeting.Address, Zones: f.plan.Zones,
		SubsetSize: f.plan.Subset, HealthCheck: f.plan.Probe, Rate: f.plan.Rate, Seed: f.rng.Uint64()}
	if f.realGateways, err = startProcesses(f.program, f.dir, gateways, f.plan.Processes); err != nil {
		return err
	}
	for first := 0; first < f.size.Gateways; first += gatewaysPerProcess {
		gateways.First, gateways.Count = first, min(gatewaysPerProcess, f.size.Gateways-first)
		r, err := startRole(ctx, f.program, RoleGateways, gateways)
		if err != nil {
			return err
		}
		f.hollowGateways = append(f.hollowGateways, r)
	}
	if err := f.realGateways.waitUntilReady(ctx); err != nil {
		return err
	}
	f.traffic = newLoadGenerator(ctx, f.plan.Rate, f.rng.Uint64())
	for _, g := range f.realGateways.list {
		f.traffic.startTraffic(g.address, nil)
	}
	return nil
}

// close stops the traffic, then kills all processes.
func (f *testFleet) close() {
	if f.traffic != nil {
		f.traffic.close()
	}
	for _, r := range f.roles() {
		r.close()
	}
	f.realGateways.close()
}

// roles returns all processes but the real gateways.
func (f *testFleet) roles() []*roleProcess {
	out := slices.Concat(f.hollowGateways, f.replicas)
	if f.discovery != nil {
		out = append(out, f.discovery)
	}
	return out
}

// wait waits for a duration. It returns an error as soon as the processes use more memory than the plan allows.
func (f *testFleet) wait(ctx context.Context, d time.Duration) error {
	const checkInterval = 500 * time.Millisecond
	for end := time.Now().Add(d); time.Now().Before(end); {
		select {
		case <-time.After(min(checkInterval, time.Until(end))):
		case <-ctx.Done():
			return ctx.Err()
		}
		if mb := f.residentMB(); mb > float64(f.plan.MemoryMB) {
			return fmt.Errorf("resident memory of all processes is %.0f MB, scale.memory allows %d MB", mb, f.plan.MemoryMB)
		}
	}
	return nil
}

// residentMB returns the resident memory of all processes in megabytes.
func (f *testFleet) residentMB() float64 {
	sum := procstat.ResidentMB(os.Getpid())
	for _, r := range f.roles() {
		sum += procstat.ResidentMB(r.pid())
	}
	for _, g := range f.realGateways.list {
		sum += procstat.ResidentMB(g.cmd.Process.Pid)
	}
	return sum
}

// runTraffic lets the traffic run for the plan's duration and changes the endpoint list at the plan's interval.
func (f *testFleet) runTraffic(ctx context.Context) error {
	for end := time.Now().Add(f.plan.Duration); ; {
		if err := f.wait(ctx, min(f.plan.ChangeInterval, time.Until(end))); err != nil {
			return err
		}
		if !time.Now().Before(end) {
			return nil
		}
		if _, err := f.discovery.command(ctx, Command{Name: CommandChangeList}); err != nil {
			return err
		}
	}
}

const (
	// timedChanges is the number of changes of the endpoint list whose propagation time is measured.
	timedChanges = 3
	// propagationTimeout bounds the time until all gateways have a change of the endpoint list.
	propagationTimeout = 6 * time.Second
)

// propagationTime returns the mean time from a change of the endpoint list until the last gateway has it.
func (f *testFleet) propagationTime(ctx context.Context) (time.Duration, error) {
	sum := time.Duration(0)
	for range timedChanges {
		change, err := f.discovery.command(ctx, Command{Name: CommandChangeList})
		if err != nil {
			return 0, err
		}
		last, err := f.waitForPropagation(ctx, change.Version, change.At)
		if err != nil {
			return 0, err
		}
		sum += last.Sub(change.At)
	}
	return sum / timedChanges, nil
}

// errNotPropagated reports a change of the endpoint list that some gateway did not receive within
// propagationTimeout.
var errNotPropagated = errors.New("change of the endpoint list did not reach all gateways within the time limit")

// waitForPropagation waits until all gateways have a version of the endpoint list, and returns the time at
// which the last gateway received it.
func (f *testFleet) waitForPropagation(ctx context.Context, version int64, since time.Time) (last time.Time, err error) {
	for time.Since(since) < propagationTimeout {
		if err := f.wait(ctx, 200*time.Millisecond); err != nil {
			return last, err
		}
		now, err := f.measure(ctx)
		if err != nil {
			return last, err
		}
		if now.oldestList >= version {
			return now.newestListSince, nil
		}
	}
	return last, errNotPropagated
}
