package faulttest

import (
	"context"
	"fmt"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"sync"
	"syscall"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/emulate"
	"archknot/internal/fleet/model"
	"archknot/internal/procstat"
)

// Options of a drill.
type Options struct {
	Program string // what is started; "": this one
	Dir     string // for configurations and logs; "": a folder that is removed at the end
}

// Result is what a drill saw.
type Result struct {
	Seed            uint64                  `json:"seed"`
	Sent            int                     `json:"sent"`
	Outcomes        map[string]int          `json:"ends"` // of requests, by how they ended for the client
	WeightServed    float64                 `json:"worth"`
	WeightOffered   float64                 `json:"worth_asked"`
	Interrupted     int                     `json:"caught"`         // in hand for over 50 ms at a gateway that was killed or ended, of classes that may run again
	Recovered       int                     `json:"saved"`          // of those, answered whole and in time
	WeightLost      float64                 `json:"worth_lost_10s"` // of what was in hand at the first strike or came within 10 s of it
	FirstTokenMs    map[string]float64      `json:"first_ms"`
	CPUMsPerRequest float64                 `json:"cpu_ms_request"` // of the gateways' processes that ran to the end
	MemoryMB        float64                 `json:"memory_mb"`      // the most resident memory of one of them at the end
	OpenFiles       int                     `json:"files"`          // the most descriptors open at the end
	Classes         map[string]*ClassResult `json:"classes"`
	ToVanishedShare float64                 `json:"to_lost"` // of the attempts, those sent to workers that were away, later than 1.5 s after they vanished
	Violations      []Violation             `json:"breaks"`
	Crashes         []string                `json:"crashes"`
	Skipped         int                     `json:"left_out"`
}

// ClassResult is what became of one class's requests.
type ClassResult struct {
	Sent          int     `json:"sent"`
	InTime        int     `json:"in_time"` // with the first token within the aim
	Shed          int     `json:"refused"`
	WeightServed  float64 `json:"worth"`
	WeightOffered float64 `json:"worth_asked"`
}

// recorder gathers what clients and workers see.
type recorder struct {
	mu           sync.Mutex
	requests     []emulate.ClientAttempt
	attempts     []emulate.ReplicaAttempt
	stateStrikes map[string][]*stateStrike
	cluster      *cluster
	fire         func(x *model.Strike, serving int)
}

// stateStrike is a strike that waits for a request's state.
type stateStrike struct {
	strike *model.Strike
	seen   int
}

func (w *recorder) onState(t *emulate.ClientAttempt, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.stateStrikes[state] {
		if t.ResumeIndex > 0 {
			continue
		}
		if a.seen++; a.seen == a.strike.Nth {
			serving := slices.IndexFunc(w.cluster.nodes, func(n *node) bool { return n.addr == t.Gateway })
			go w.fire(a.strike, serving)
		}
	}
}

// Run carries out one drill.
func Run(ctx context.Context, spec *model.Spec, o Options) (*Result, error) {
	o, remove, err := o.withDefaults()
	if err != nil {
		return nil, err
	}
	defer remove()
	f, err := emulate.Start(spec, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	w := &recorder{stateStrikes: map[string][]*stateStrike{}}
	f.OnAttemptEnd = func(a emulate.ReplicaAttempt) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.attempts = append(w.attempts, a)
	}
	c, err := newCluster(spec, o.Program, o.Dir, f.DiscoveryAddr)
	if err != nil {
		return nil, err
	}
	defer c.close()
	starting, stop := context.WithTimeout(ctx, 30*time.Second+time.Duration(spec.Gateways)*200*time.Millisecond)
	err = c.waitUntilReady(starting)
	stop()
	if err != nil {
		return nil, err
	}
	if spec.Drill.Peers { // how long they take to find each other is not theirs to tell
		select {
		case <-time.After(time.Duration(spec.Drill.Settle) * time.Microsecond):
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	ctx, stop = context.WithTimeout(ctx, time.Duration(spec.Duration)*time.Microsecond+time.Minute)
	defer stop()
	before := c.processUsage()
	s := &striker{cluster: c, spec: spec, random: rand.New(rand.NewPCG(spec.Seed, 41)), startedAt: time.Now()}
	w.cluster = c
	w.fire = func(x *model.Strike, serving int) { s.strike(ctx, x, serving) }
	for i := range spec.Strikes {
		x := &spec.Strikes[i]
		if x.When != "" && x.When != "at" {
			w.stateStrikes[x.When] = append(w.stateStrikes[x.When], &stateStrike{strike: x})
			continue
		}
		s.tasks.Go(func() {
			select {
			case <-time.After(time.Until(s.startedAt.Add(time.Duration(x.At) * time.Microsecond))):
				s.strike(ctx, x, -1)
			case <-ctx.Done():
			}
		})
	}
	var addrs []string
	for _, n := range c.nodes {
		addrs = append(addrs, n.addr)
	}
	drains := drainDeadlines(spec, s.startedAt)
	_, left, err := emulate.PlayObserved(ctx, f, spec, addrs, emulate.Observer{OnState: w.onState, IsOffered: c.offered, OnEnd: func(t *emulate.ClientAttempt) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.requests = append(w.requests, *t)
	}})
	if err != nil {
		return nil, err
	}
	stop()
	s.tasks.Wait()
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
	}
	res := &Result{Seed: spec.Seed, Skipped: left, Crashes: c.crashes()}
	c.addUsage(before, res)
	w.waitForAttempts()
	res.measure(spec, w, s)
	res.ToVanishedShare = vanishedShare(spec, w, s.startedAt)
	rules := Rules{MaxAttempts: spec.Settings.MaxAttempts, MayHedge: spec.Settings.MayHedge, NonIdempotent: map[string]bool{}, Tolerance: 50 * time.Millisecond, DrainedBy: drains}
	for _, k := range spec.Settings.Classes {
		rules.NonIdempotent[k.Name] = k.Idempotency == balancer.NonIdempotent
	}
	res.Violations = Audit(rules, w.requests, w.attempts)
	return res, nil
}

// waitForAttempts waits until the workers have nothing more to tell.
func (w *recorder) waitForAttempts() {
	for last, end := -1, time.Now().Add(time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		w.mu.Lock()
		n := len(w.attempts)
		w.mu.Unlock()
		if n == last {
			return
		}
		last = n
	}
}

// drainDeadlines is when workers that drain must get nothing new any more.
func drainDeadlines(spec *model.Spec, began time.Time) map[string]time.Time {
	out := map[string]time.Time{}
	i := 0
	for _, g := range spec.Groups {
		for range g.Count {
			for _, x := range spec.Faults {
				if x.Kind == "drain" && x.Duration == 0 && (x.Replica == i || x.Replica < 0) {
					out[fmt.Sprintf("%s-%d", g.Name, i+1)] = began.Add(time.Duration(x.At)*time.Microsecond + drainLimit)
				}
			}
			i++
		}
	}
	return out
}

// vanishedShare is the share of attempts that went to machines that had vanished, later than a
// second and a half after, of all that were made in that time.
func vanishedShare(spec *model.Spec, w *recorder, began time.Time) float64 {
	zones, all, wrong := map[string]string{}, 0, 0
	n := 0
	for _, g := range spec.Groups {
		for range g.Count {
			n++
			zones[fmt.Sprintf("%s-%d", g.Name, n)] = g.Zone
		}
	}
	for _, x := range spec.Faults {
		if x.Kind != "lose" {
			continue
		}
		from, to := began.Add(time.Duration(x.At)*time.Microsecond+1500*time.Millisecond), began.Add(time.Duration(x.At+x.Duration)*time.Microsecond)
		for _, a := range w.attempts {
			if a.ReceivedAt.After(from) && a.ReceivedAt.Before(to) {
				all++
				if zones[a.Replica] == x.Zone {
					wrong++
				}
			}
		}
	}
	return float64(wrong) / float64(max(1, all))
}

// drainLimit is how long after a drain was told new work may still come.
const drainLimit = 2500 * time.Millisecond

// striker carries out strikes.
type striker struct {
	cluster       *cluster
	spec          *model.Spec
	random        *rand.Rand
	startedAt     time.Time
	tasks         sync.WaitGroup
	mu            sync.Mutex
	firstStrikeAt time.Time              // the first strike's
	endedAt       map[string][]time.Time // by a gateway's address: when its process was told to end
}

// targets chooses whom a strike is for.
func (s *striker) targets(x *model.Strike, serving int) (out []*node) {
	if serving >= 0 {
		return []*node{s.cluster.nodes[serving]}
	}
	if x.Gateway >= 0 {
		return []*node{s.cluster.nodes[x.Gateway%len(s.cluster.nodes)]}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.random.Perm(len(s.cluster.nodes)) {
		n := s.cluster.nodes[i]
		if x.Site >= 0 && n.zone != x.Site {
			continue
		}
		if x.Share > 0 && float64(len(out)) >= x.Share*float64(len(s.cluster.nodes))-0.5 {
			break
		}
		out = append(out, n)
	}
	return out
}

// strike begins a strike now, and ends it after its time or with the drill.
func (s *striker) strike(ctx context.Context, x *model.Strike, serving int) {
	list := s.targets(x, serving)
	s.mu.Lock()
	if s.firstStrikeAt.IsZero() {
		s.firstStrikeAt = time.Now()
	}
	if s.endedAt == nil {
		s.endedAt = map[string][]time.Time{}
	}
	if x.Kind == "kill" || x.Kind == "term" {
		for _, n := range list {
			s.endedAt[n.addr] = append(s.endedAt[n.addr], time.Now())
		}
	}
	s.mu.Unlock()
	for _, n := range list {
		switch x.Kind {
		case "kill":
			if exited := n.signal(syscall.SIGKILL); exited != nil {
				<-exited
			}
		case "term":
			n.signal(syscall.SIGTERM)
		case "freeze":
			n.signal(syscall.SIGSTOP)
		}
	}
	s.setLinks(x, list, true)
	if x.Duration <= 0 {
		return
	}
	select {
	case <-time.After(time.Duration(x.Duration) * time.Microsecond):
	case <-ctx.Done():
		return
	}
	s.setLinks(x, list, false)
	for _, n := range list {
		switch x.Kind {
		case "term":
			exited := n.exited()
			select {
			case <-exited:
			case <-time.After(2 * time.Second):
				n.signal(syscall.SIGKILL)
				<-exited
			}
			fallthrough
		case "kill":
			if ctx.Err() == nil {
				s.restart(ctx, n)
			}
		case "freeze":
			n.signal(syscall.SIGCONT)
		}
	}
}

// restart starts a gateway once more, and has the front offer it when it is ready.
func (s *striker) restart(ctx context.Context, n *node) {
	n.setOffered(false)
	_ = s.cluster.start(n) // one that cannot start is seen as a crash
	s.tasks.Go(func() {
		defer n.setOffered(true)
		_ = s.cluster.waitUntilNodeReady(ctx, n) // it ends with the drill at the latest
	})
}

func (n *node) setOffered(on bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starting = !on
}

// offered tells whether the front offers a gateway.
func (c *cluster) offered(addr string) bool {
	for _, n := range c.nodes {
		if n.addr == addr {
			n.mu.Lock()
			defer n.mu.Unlock()
			return !n.starting
		}
	}
	return true
}

// setLinks begins or ends what a strike does to the links.
func (s *striker) setLinks(x *model.Strike, list []*node, on bool) {
	rs := s.cluster.relays
	if rs == nil {
		return
	}
	switch x.Kind {
	case "cut", "mute", "deaf":
		for _, n := range list {
			for _, o := range s.cluster.nodes {
				if slices.Contains(list, o) {
					continue
				}
				if x.Kind != "deaf" {
					rs.setPartition(n.index, o.index, on)
				}
				if x.Kind != "mute" {
					rs.setPartition(o.index, n.index, on)
				}
			}
		}
	case "lose", "slow":
		rs.mu.Lock()
		defer rs.mu.Unlock()
		if rs.lossRate, rs.maxDelay = 0, 0; on && x.Kind == "lose" {
			rs.lossRate = x.Factor
		} else if on {
			rs.maxDelay = time.Duration(x.Factor * float64(time.Millisecond))
		}
	}
}

// processUsage is what a process has taken up.
type processUsage struct {
	pid     int
	cpuTime time.Duration
}

// processUsage is what the processes have used of the processors.
func (c *cluster) processUsage() []processUsage {
	out := make([]processUsage, len(c.nodes))
	for i, n := range c.nodes {
		n.mu.Lock()
		if n.process != nil {
			out[i] = processUsage{n.process.cmd.Process.Pid, procstat.CPUTime(n.process.cmd.Process.Pid)}
		}
		n.mu.Unlock()
	}
	return out
}

// addUsage enters what the processes that ran all the time used.
func (c *cluster) addUsage(before []processUsage, res *Result) {
	total := time.Duration(0)
	for i, now := range c.processUsage() {
		if now.pid == 0 || now.pid != before[i].pid {
			continue
		}
		total += now.cpuTime - before[i].cpuTime
		res.MemoryMB = max(res.MemoryMB, procstat.ResidentMB(now.pid))
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", now.pid))
		res.OpenFiles = max(res.OpenFiles, len(files))
	}
	res.CPUMsPerRequest = total.Seconds() * 1000
}

func boolToInt(v bool) int {
	if v {
		return 1
	}
	return 0
}

// measure tells how the requests ended.
func (res *Result) measure(spec *model.Spec, w *recorder, s *striker) {
	res.Outcomes, res.Classes = map[string]int{}, map[string]*ClassResult{}
	type request struct {
		first, last emulate.ClientAttempt
	}
	// A client whose request nobody had heard of sends it under a new id: the story
	// goes on under the first one.
	byRoot := map[string]*request{}
	for _, t := range w.requests {
		r := byRoot[t.RootID]
		if r == nil {
			r = &request{first: t, last: t}
			byRoot[t.RootID] = r
		}
		if t.ResumeIndex <= r.first.ResumeIndex {
			r.first = t
		}
		if t.ResumeIndex >= r.last.ResumeIndex {
			r.last = t
		}
	}
	var firsts []float64
	for _, root := range sortedKeys(byRoot) {
		r := byRoot[root]
		if !r.last.Last || r.first.RequestedAt < spec.WarmUp {
			continue // sent again as a new one, which is counted; or before what counts
		}
		res.Sent++
		res.Outcomes[r.last.Outcome]++
		k := r.first.Class
		firstAt := r.first.FirstTokenAt
		if firstAt == 0 {
			firstAt = r.last.FirstTokenAt
		}
		whole := r.last.Outcome == "served"
		inTime := whole && firstAt > 0 && firstAt-r.first.RequestedAt <= r.first.FirstTokenTimeout
		worth := 0.0
		if inTime {
			if worth = k.PriorityWeight; firstAt-r.first.RequestedAt > k.LatencyObjective+k.ObjectivePer1000Tokens {
				worth *= k.LateWeightShare
			}
			firsts = append(firsts, float64(firstAt-r.first.RequestedAt)/1000)
		}
		res.WeightOffered += k.PriorityWeight
		res.WeightServed += worth
		of := res.Classes[k.Name]
		if of == nil {
			of = &ClassResult{}
			res.Classes[k.Name] = of
		}
		of.Sent++
		of.WeightOffered, of.WeightServed = of.WeightOffered+k.PriorityWeight, of.WeightServed+worth
		of.InTime += boolToInt(worth >= k.PriorityWeight && k.PriorityWeight > 0)
		of.Shed += boolToInt(r.last.Outcome == "refused")
		struck := s.firstStrikeAt.Sub(s.startedAt).Microseconds()
		if !s.firstStrikeAt.IsZero() && r.last.EndedAt >= struck && r.first.RequestedAt < struck+10_000_000 {
			res.WeightLost += k.PriorityWeight - worth
		}
		for _, at := range s.endedAt[r.first.Gateway] {
			died := at.Sub(s.startedAt).Microseconds()
			if k.Idempotency != balancer.NonIdempotent && r.first.SentAt <= died-50_000 && r.first.EndedAt >= died {
				res.Interrupted++
				if inTime {
					res.Recovered++
				}
			}
		}
	}
	slices.Sort(firsts)
	res.FirstTokenMs = map[string]float64{}
	for name, q := range map[string]float64{"p50": 0.5, "p95": 0.95, "p99": 0.99} {
		if len(firsts) > 0 {
			res.FirstTokenMs[name] = firsts[min(len(firsts)-1, int(q*float64(len(firsts))))]
		}
	}
	if res.Sent > 0 {
		res.CPUMsPerRequest /= float64(res.Sent)
	}
}
