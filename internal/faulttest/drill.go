package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"archknot/internal/fleet/emulate"
	"archknot/internal/fleet/model"
	"archknot/internal/procstat"
)

const (
	// startTimeout bounds the time until all gateways are ready.
	startTimeout = 30 * time.Second
	// startTimeoutPerGateway is added to startTimeout for each gateway of a drill.
	startTimeoutPerGateway = 200 * time.Millisecond
	// endTimeout bounds the time that a drill may take beyond its specification's duration.
	endTimeout = time.Minute
	// drillTolerance is Rules.Tolerance of a drill's audit.
	drillTolerance = 50 * time.Millisecond
	// drainLimit is the time from the start of a drain after which no attempt may reach the replica.
	drainLimit = 2500 * time.Millisecond
	// gatewayFaultStream is the random number stream that selects the targets of gateway faults.
	gatewayFaultStream = 41
)

// Options are the parameters of a drill or soak besides its specification.
type Options struct {
	Program string // path of the gateways' executable; empty: that of this process
	Dir     string // directory for configurations and logs; empty: a temporary one, removed at the end
}

// withDefaults returns the options with defaults in place of empty fields. remove deletes the temporary
// directory, if one was created.
func (o Options) withDefaults() (complete Options, remove func(), err error) {
	remove = func() {}
	if o.Program == "" {
		if o.Program, err = os.Executable(); err != nil {
			return o, remove, err
		}
	}
	if o.Dir != "" {
		return o, remove, os.MkdirAll(o.Dir, 0o755)
	}
	if o.Dir, err = os.MkdirTemp("", "archknot-drill-"); err != nil {
		return o, remove, err
	}
	return o, func() { os.RemoveAll(o.Dir) }, nil
}

// drill holds the state of a running drill.
type drill struct {
	spec     *model.Spec
	fleet    *emulate.Fleet
	cluster  *cluster
	recorder *recorder
	injector *gatewayFaultInjector
}

// Run carries out a drill: it starts the gateways of a specification in front of an emulated fleet, sends
// the clients' requests, injects the gateway faults, and audits the records of clients and replicas. Rule
// violations and crashes are part of the result, not errors.
func Run(ctx context.Context, spec *model.Spec, options Options) (*Result, error) {
	options, remove, err := options.withDefaults()
	if err != nil {
		return nil, err
	}
	defer remove()
	fleet, err := emulate.Start(spec, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer fleet.Close()
	d := &drill{spec: spec, fleet: fleet, recorder: newRecorder()}
	fleet.OnAttemptEnd = d.recorder.recordAttempt
	d.cluster, err = newCluster(spec, options.Program, options.Dir, func(int) string { return fleet.DiscoveryAddr })
	if err != nil {
		return nil, err
	}
	defer d.cluster.close()
	if err := d.waitUntilStarted(ctx); err != nil {
		return nil, err
	}
	return d.run(ctx)
}

// waitUntilStarted waits until the gateways are ready and, if they are peers, for the time that the
// specification allows them to discover each other.
func (d *drill) waitUntilStarted(ctx context.Context) error {
	startCtx, stop := context.WithTimeout(ctx, startTimeout+time.Duration(d.spec.Gateways)*startTimeoutPerGateway)
	defer stop()
	if err := d.cluster.waitUntilReady(startCtx); err != nil {
		return err
	}
	if !d.spec.Drill.Peers {
		return nil
	}
	select {
	case <-time.After(time.Duration(d.spec.Drill.SettleTime) * time.Microsecond):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// run sends the clients' requests, injects the gateway faults, and returns the result.
func (d *drill) run(ctx context.Context) (*Result, error) {
	ctx, stop := context.WithTimeout(ctx, time.Duration(d.spec.Duration)*time.Microsecond+endTimeout)
	defer stop()
	usageBefore := d.cluster.processUsage()
	d.injector = &gatewayFaultInjector{
		cluster:   d.cluster,
		spec:      d.spec,
		random:    rand.New(rand.NewPCG(d.spec.Seed, gatewayFaultStream)),
		startedAt: time.Now(),
		endTimes:  map[string][]time.Time{},
	}
	d.scheduleGatewayFaults(ctx)
	var addrs []string
	for _, n := range d.cluster.nodes {
		addrs = append(addrs, n.addr)
	}
	drainedBy := drainDeadlines(d.spec, d.injector.startedAt)
	observer := emulate.Observer{OnState: d.recorder.onState, IsOffered: d.cluster.inRotation, OnEnd: d.recorder.recordRequest}
	_, skipped, err := emulate.GenerateLoadObserved(ctx, d.fleet, d.spec, addrs, observer)
	if err != nil {
		return nil, err
	}
	stop()
	d.injector.tasks.Wait()
	for _, n := range d.cluster.nodes {
		n.signal(syscall.SIGCONT)
	}
	result := &Result{Seed: d.spec.Seed, Skipped: skipped, Crashes: d.cluster.crashes()}
	d.cluster.addUsage(usageBefore, result)
	d.recorder.waitForAttempts()
	result.measure(d.spec, d.recorder, d.injector)
	result.ToVanishedFraction = vanishedFraction(d.spec, d.recorder, d.injector.startedAt)
	rules := newRules(d.spec, drillTolerance)
	rules.DrainedBy = drainedBy
	result.Violations = Audit(rules, d.recorder.requests, d.recorder.attempts)
	return result, nil
}

// scheduleGatewayFaults starts a task for each fault that is scheduled at a time, and registers with the recorder
// those that a request's state triggers.
func (d *drill) scheduleGatewayFaults(ctx context.Context) {
	byState := map[string][]*stateFault{}
	for i := range d.spec.GatewayFaults {
		fault := &d.spec.GatewayFaults[i]
		if fault.When != "" && fault.When != "at" {
			byState[fault.When] = append(byState[fault.When], &stateFault{fault: fault})
			continue
		}
		d.injector.tasks.Go(func() {
			select {
			case <-time.After(time.Until(d.injector.startedAt.Add(time.Duration(fault.At) * time.Microsecond))):
				d.injector.inject(ctx, fault, -1)
			case <-ctx.Done():
			}
		})
	}
	d.recorder.setFaults(d.cluster, byState, func(fault *model.GatewayFault, serving int) { d.injector.inject(ctx, fault, serving) })
}

// drainDeadlines returns, for each replica that drains to the end of the run, the last time at which an attempt
// may reach it.
func drainDeadlines(spec *model.Spec, startedAt time.Time) map[string]time.Time {
	deadlines := map[string]time.Time{}
	for i, replica := range replicasOf(spec) {
		for _, fault := range spec.Faults {
			if fault.Kind == model.FaultDrain && fault.Duration == 0 && (fault.Replica == i || fault.Replica < 0) {
				deadlines[replica.name] = startedAt.Add(time.Duration(fault.At)*time.Microsecond + drainLimit)
			}
		}
	}
	return deadlines
}

// specReplica is the name and zone of a replica of a specification.
type specReplica struct{ name, zone string }

// replicasOf returns the replicas of a specification in the order of their indexes.
func replicasOf(spec *model.Spec) (replicas []specReplica) {
	for _, group := range spec.Groups {
		for range group.Count {
			name := fmt.Sprintf("%s-%d", group.Name, len(replicas)+1)
			replicas = append(replicas, specReplica{name, group.Zone})
		}
	}
	return replicas
}

// recorder records the attempts of clients and replicas, and injects gateway faults that a request's state
// triggers.
type recorder struct {
	mu       sync.Mutex
	requests []emulate.ClientAttempt
	attempts []emulate.ReplicaAttempt

	faults  map[string][]*stateFault // by state
	cluster *cluster
	inject  func(fault *model.GatewayFault, serving int)
}

// stateFault is a gateway fault that the nth request to reach a state triggers.
type stateFault struct {
	fault *model.GatewayFault
	seen  int // requests that have reached the state
}

func newRecorder() *recorder { return &recorder{} }

// setFaults sets the gateway faults that requests trigger, by state. inject is called with the index of the
// gateway that serves the request.
func (r *recorder) setFaults(c *cluster, faults map[string][]*stateFault, inject func(fault *model.GatewayFault, serving int)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cluster = c
	r.faults = faults
	r.inject = inject
}

func (r *recorder) recordAttempt(attempt emulate.ReplicaAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts = append(r.attempts, attempt)
}

func (r *recorder) recordRequest(request *emulate.ClientAttempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.requests = append(r.requests, *request)
}

// onState injects the gateway faults that a request triggers by reaching a state. Resume requests are ignored.
func (r *recorder) onState(request *emulate.ClientAttempt, state string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if request.ResumeIndex > 0 {
		return
	}
	for _, waiting := range r.faults[state] {
		waiting.seen++
		if waiting.seen == waiting.fault.Nth {
			go r.inject(waiting.fault, r.cluster.indexOf(request.Gateway))
		}
	}
}

// waitForAttempts waits until the replicas have reported no attempt for 20 ms, for at most a second.
func (r *recorder) waitForAttempts() {
	for last, end := -1, time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		r.mu.Lock()
		n := len(r.attempts)
		r.mu.Unlock()
		if n == last {
			return
		}
		last = n
	}
}

// processUsage is the id of a gateway's process and the CPU time that the process has used.
type processUsage struct {
	pid     int // 0: the gateway does not run
	cpuTime time.Duration
}

// processUsage returns the usage of each gateway's current process.
func (c *cluster) processUsage() []processUsage {
	usages := make([]processUsage, len(c.nodes))
	for i, n := range c.nodes {
		if pid := n.pid(); pid != 0 {
			usages[i] = processUsage{pid, procstat.CPUTime(pid)}
		}
	}
	return usages
}

// addUsage sets the resource usage in a result. It counts only processes that ran during the whole drill.
func (c *cluster) addUsage(before []processUsage, result *Result) {
	total := time.Duration(0)
	for i, now := range c.processUsage() {
		if now.pid == 0 || now.pid != before[i].pid {
			continue
		}
		total += now.cpuTime - before[i].cpuTime
		result.MemoryMB = max(result.MemoryMB, procstat.ResidentMB(now.pid))
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", now.pid)) // the pattern is valid
		result.OpenFiles = max(result.OpenFiles, len(files))
	}
	result.CPUMsPerRequest = total.Seconds() * 1000
}
