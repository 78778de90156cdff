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
	Seed     uint64             `json:"seed"`
	Sent     int                `json:"sent"`
	Ends     map[string]int     `json:"ends"` // of requests, by how they ended for the client
	Worth    float64            `json:"worth"`
	Asked    float64            `json:"worth_asked"`
	Caught   int                `json:"caught"`         // in hand for over 50 ms at a gateway that was killed or ended, of classes that may run again
	Saved    int                `json:"saved"`          // of those, answered whole and in time
	LostIn   float64            `json:"worth_lost_10s"` // of what was in hand at the first strike or came within 10 s of it
	FirstMs  map[string]float64 `json:"first_ms"`
	CPUMs    float64            `json:"cpu_ms_request"` // of the gateways' processes that ran to the end
	MemoryMB float64            `json:"memory_mb"`      // the most resident memory of one of them at the end
	Files    int                `json:"files"`          // the most descriptors open at the end
	Classes  map[string]*Class  `json:"classes"`
	ToLost   float64            `json:"to_lost"` // of the attempts, those sent to workers that were away, later than 1.5 s after they vanished
	Breaks   []Break            `json:"breaks"`
	Crashes  []string           `json:"crashes"`
	LeftOut  int                `json:"left_out"`
}

// Class is what became of one class's requests.
type Class struct {
	Sent    int     `json:"sent"`
	InTime  int     `json:"in_time"` // with the first token within the aim
	Refused int     `json:"refused"`
	Worth   float64 `json:"worth"`
	Asked   float64 `json:"worth_asked"`
}

// watch gathers what clients and workers see.
type watch struct {
	mu       sync.Mutex
	tries    []emulate.ClientAttempt
	attempts []emulate.ReplicaAttempt
	strikes  map[string][]*armed
	c        *cluster
	fire     func(x *model.Strike, serving int)
}

// armed is a strike that waits for a request's state.
type armed struct {
	x    *model.Strike
	seen int
}

func (w *watch) state(t *emulate.ClientAttempt, state string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, a := range w.strikes[state] {
		if t.ResumeIndex > 0 {
			continue
		}
		if a.seen++; a.seen == a.x.Nth {
			serving := slices.IndexFunc(w.c.nodes, func(n *node) bool { return n.addr == t.Gateway })
			go w.fire(a.x, serving)
		}
	}
}

// Run carries out one drill.
func Run(ctx context.Context, spec *model.Spec, o Options) (*Result, error) {
	o, remove, err := o.complete()
	if err != nil {
		return nil, err
	}
	defer remove()
	f, err := emulate.Start(spec, "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	defer f.Close()
	w := &watch{strikes: map[string][]*armed{}}
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
	err = c.ready(starting)
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
	before := c.usage()
	s := &striker{c: c, spec: spec, rng: rand.New(rand.NewPCG(spec.Seed, 41)), began: time.Now()}
	w.c = c
	w.fire = func(x *model.Strike, serving int) { s.strike(ctx, x, serving) }
	for i := range spec.Strikes {
		x := &spec.Strikes[i]
		if x.When != "" && x.When != "at" {
			w.strikes[x.When] = append(w.strikes[x.When], &armed{x: x})
			continue
		}
		s.all.Go(func() {
			select {
			case <-time.After(time.Until(s.began.Add(time.Duration(x.At) * time.Microsecond))):
				s.strike(ctx, x, -1)
			case <-ctx.Done():
			}
		})
	}
	var addrs []string
	for _, n := range c.nodes {
		addrs = append(addrs, n.addr)
	}
	drains := drained(spec, s.began)
	_, left, err := emulate.PlayObserved(ctx, f, spec, addrs, emulate.Observer{OnState: w.state, IsOffered: c.offered, OnEnd: func(t *emulate.ClientAttempt) {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.tries = append(w.tries, *t)
	}})
	if err != nil {
		return nil, err
	}
	stop()
	s.all.Wait()
	for _, n := range c.nodes {
		n.signal(syscall.SIGCONT)
	}
	res := &Result{Seed: spec.Seed, LeftOut: left, Crashes: c.crashes()}
	c.spent(before, res)
	w.quiet()
	res.measure(spec, w, s)
	res.ToLost = toLost(spec, w, s.began)
	rules := Rules{Attempts: spec.Settings.MaxAttempts, Beside: spec.Settings.MayHedge, Once: map[string]bool{}, Slack: 50 * time.Millisecond, Drains: drains}
	for _, k := range spec.Settings.Classes {
		rules.Once[k.Name] = k.Idempotency == balancer.NonIdempotent
	}
	res.Breaks = Audit(rules, w.tries, w.attempts)
	return res, nil
}

// quiet waits until the workers have nothing more to tell.
func (w *watch) quiet() {
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

// drained is when workers that drain must get nothing new any more.
func drained(spec *model.Spec, began time.Time) map[string]time.Time {
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

// toLost is the share of attempts that went to machines that had vanished, later than a
// second and a half after, of all that were made in that time.
func toLost(spec *model.Spec, w *watch, began time.Time) float64 {
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
	c     *cluster
	spec  *model.Spec
	rng   *rand.Rand
	began time.Time
	all   sync.WaitGroup
	mu    sync.Mutex
	first time.Time              // the first strike's
	ended map[string][]time.Time // by a gateway's address: when its process was told to end
}

// struck chooses whom a strike is for.
func (s *striker) struck(x *model.Strike, serving int) (out []*node) {
	if serving >= 0 {
		return []*node{s.c.nodes[serving]}
	}
	if x.Gateway >= 0 {
		return []*node{s.c.nodes[x.Gateway%len(s.c.nodes)]}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.rng.Perm(len(s.c.nodes)) {
		n := s.c.nodes[i]
		if x.Site >= 0 && n.site != x.Site {
			continue
		}
		if x.Share > 0 && float64(len(out)) >= x.Share*float64(len(s.c.nodes))-0.5 {
			break
		}
		out = append(out, n)
	}
	return out
}

// strike begins a strike now, and ends it after its time or with the drill.
func (s *striker) strike(ctx context.Context, x *model.Strike, serving int) {
	list := s.struck(x, serving)
	s.mu.Lock()
	if s.first.IsZero() {
		s.first = time.Now()
	}
	if s.ended == nil {
		s.ended = map[string][]time.Time{}
	}
	if x.Kind == "kill" || x.Kind == "term" {
		for _, n := range list {
			s.ended[n.addr] = append(s.ended[n.addr], time.Now())
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
	s.link(x, list, true)
	if x.Duration <= 0 {
		return
	}
	select {
	case <-time.After(time.Duration(x.Duration) * time.Microsecond):
	case <-ctx.Done():
		return
	}
	s.link(x, list, false)
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
				s.again(ctx, n)
			}
		case "freeze":
			n.signal(syscall.SIGCONT)
		}
	}
}

// again starts a gateway once more, and has the front offer it when it is ready.
func (s *striker) again(ctx context.Context, n *node) {
	n.offer(false)
	_ = s.c.start(n) // one that cannot start is seen as a crash
	s.all.Go(func() {
		defer n.offer(true)
		_ = s.c.readyOne(ctx, n) // it ends with the drill at the latest
	})
}

func (n *node) offer(on bool) {
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

// link begins or ends what a strike does to the links.
func (s *striker) link(x *model.Strike, list []*node, on bool) {
	rs := s.c.relays
	if rs == nil {
		return
	}
	switch x.Kind {
	case "cut", "mute", "deaf":
		for _, n := range list {
			for _, o := range s.c.nodes {
				if slices.Contains(list, o) {
					continue
				}
				if x.Kind != "deaf" {
					rs.set(n.n, o.n, on)
				}
				if x.Kind != "mute" {
					rs.set(o.n, n.n, on)
				}
			}
		}
	case "lose", "slow":
		rs.mu.Lock()
		defer rs.mu.Unlock()
		if rs.lose, rs.slow = 0, 0; on && x.Kind == "lose" {
			rs.lose = x.Factor
		} else if on {
			rs.slow = time.Duration(x.Factor * float64(time.Millisecond))
		}
	}
}

// use is what a process has taken up.
type use struct {
	pid  int
	time time.Duration
}

// usage is what the processes have used of the processors.
func (c *cluster) usage() []use {
	out := make([]use, len(c.nodes))
	for i, n := range c.nodes {
		n.mu.Lock()
		if n.life != nil {
			out[i] = use{n.life.cmd.Process.Pid, procstat.CPUTime(n.life.cmd.Process.Pid)}
		}
		n.mu.Unlock()
	}
	return out
}

// spent enters what the processes that ran all the time used.
func (c *cluster) spent(before []use, res *Result) {
	total := time.Duration(0)
	for i, now := range c.usage() {
		if now.pid == 0 || now.pid != before[i].pid {
			continue
		}
		total += now.time - before[i].time
		res.MemoryMB = max(res.MemoryMB, procstat.ResidentMB(now.pid))
		files, _ := filepath.Glob(fmt.Sprintf("/proc/%d/fd/*", now.pid))
		res.Files = max(res.Files, len(files))
	}
	res.CPUMs = total.Seconds() * 1000
}

func one(v bool) int {
	if v {
		return 1
	}
	return 0
}

// measure tells how the requests ended.
func (res *Result) measure(spec *model.Spec, w *watch, s *striker) {
	res.Ends, res.Classes = map[string]int{}, map[string]*Class{}
	type request struct {
		first, last emulate.ClientAttempt
	}
	// A client whose request nobody had heard of sends it under a new id: the story
	// goes on under the first one.
	byRoot := map[string]*request{}
	for _, t := range w.tries {
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
		res.Ends[r.last.Outcome]++
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
		res.Asked += k.PriorityWeight
		res.Worth += worth
		of := res.Classes[k.Name]
		if of == nil {
			of = &Class{}
			res.Classes[k.Name] = of
		}
		of.Sent++
		of.Asked, of.Worth = of.Asked+k.PriorityWeight, of.Worth+worth
		of.InTime += one(worth >= k.PriorityWeight && k.PriorityWeight > 0)
		of.Refused += one(r.last.Outcome == "refused")
		struck := s.first.Sub(s.began).Microseconds()
		if !s.first.IsZero() && r.last.EndedAt >= struck && r.first.RequestedAt < struck+10_000_000 {
			res.LostIn += k.PriorityWeight - worth
		}
		for _, at := range s.ended[r.first.Gateway] {
			died := at.Sub(s.began).Microseconds()
			if k.Idempotency != balancer.NonIdempotent && r.first.SentAt <= died-50_000 && r.first.EndedAt >= died {
				res.Caught++
				if inTime {
					res.Saved++
				}
			}
		}
	}
	slices.Sort(firsts)
	res.FirstMs = map[string]float64{}
	for name, q := range map[string]float64{"p50": 0.5, "p95": 0.95, "p99": 0.99} {
		if len(firsts) > 0 {
			res.FirstMs[name] = firsts[min(len(firsts)-1, int(q*float64(len(firsts))))]
		}
	}
	if res.Sent > 0 {
		res.CPUMs /= float64(res.Sent)
	}
}
