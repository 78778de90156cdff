package takeover

import (
	"encoding/binary"
	"fmt"
	"maps"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"golang.org/x/sync/errgroup"
	"pgregory.net/rapid"
)

// model is gateways, what is between them, and what runs at the workers: all that
// can happen next is listed, and each step checks the rules.
type model struct {
	nodes        []*Node // by gateway
	incarnations []uint64
	down         []bool
	frozen       []bool
	partitions   map[[2]int]bool
	network      []inFlightMessage
	probes       [][2]Member // who asks, and about whom
	stopping     []gatewayRequest
	granted      []gatewayRequest // taken over, and not yet sent
	now          Micros
	requests     []*clientRequest
	budget       eventBudget
	violation    string // the rule that was broken
}

type inFlightMessage struct {
	from, to Member
	message  Message
}

type gatewayRequest struct {
	gateway int
	id      string
}

// clientRequest is a client's request as the outside sees it.
type clientRequest struct {
	id            string
	policy        RetryPolicy
	attempts      []attempt
	resumes       uint32 // the client has made
	resumedTwice  bool   // it may ask at two gateways at once
	pendingClaims map[string]int
	supersededAt  map[int][]Member // by a gateway that woke: keepers that knew of a newer holder
}

type attempt struct {
	by               Member
	open, mayHaveRun bool
}

type eventBudget struct{ kills, starts, freezes, partitions, duplicates, ticks, resumes, failures, rejections int }

func newModel(gateways int, terms []RetryPolicy, b eventBudget, permits int) *model {
	w := &model{incarnations: make([]uint64, gateways), down: make([]bool, gateways), frozen: make([]bool, gateways), partitions: map[[2]int]bool{}, budget: b}
	for g := range gateways {
		w.incarnations[g] = 1
		w.nodes = append(w.nodes, New(w.member(g), Settings{Permits: permits, ReplyTimeout: 4, RecordTTL: 1000, MaxRecords: 100, MaxRecordsPerHolder: 50}))
	}
	for i, t := range terms {
		r := &clientRequest{id: "r" + strconv.Itoa(i), policy: t, pendingClaims: map[string]int{}, supersededAt: map[int][]Member{}}
		w.requests = append(w.requests, r)
		g := i % gateways
		var keepers []Member
		for k := 1; k < gateways; k++ {
			keepers = append(keepers, w.member((g+k)%gateways))
		}
		w.nodes[g].Acquire(w.now, r.id, t, 500, keepers)
		w.openAttempt(r, w.member(g))
		w.runOutputs(g)
	}
	return w
}

func (w *model) member(g int) Member { return Member{"g" + strconv.Itoa(g), w.incarnations[g]} }

func (w *model) gatewayIndex(m Member) int {
	g, _ := strconv.Atoi(m.Name[1:])
	return g
}

func (w *model) fail(format string, args ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, args...)
	}
}

// openAttempt is an attempt that goes to a worker: the rules are about these.
func (w *model) openAttempt(r *clientRequest, by Member) {
	for _, a := range r.attempts {
		if a.open && !r.policy.Hedgeable {
			w.fail("%s: two attempts at once, by %v and %v", r.id, a.by, by)
		}
	}
	if !r.policy.Idempotent && slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }) {
		w.fail("%s: runs twice", r.id)
	}
	if r.attempts = append(r.attempts, attempt{by, true, true}); len(r.attempts) > 3 {
		w.fail("%s: %d attempts", r.id, len(r.attempts))
	}
}

func (w *model) closeAttempts(r *clientRequest, by Member) {
	for i := range r.attempts {
		if r.attempts[i].by == by {
			r.attempts[i].open = false
		}
	}
}

func (w *model) request(id string) *clientRequest {
	i, _ := strconv.Atoi(id[1:])
	return w.requests[i]
}

// runOutputs carries out what a gateway ordered.
func (w *model) runOutputs(g int) {
	n := w.nodes[g]
	for outs := n.Outputs(); len(outs) > 0; outs = n.Outputs() {
		for _, o := range outs {
			switch r := o.RequestID; o.Action {
			case ActionSend:
				if o.To == w.member(g) { // to itself: no wire is between
					n.Receive(w.now, o.To, o.Message)
					continue
				}
				w.network = append(w.network, inFlightMessage{w.member(g), o.To, o.Message})
			case ActionProbe:
				if p := [2]Member{w.member(g), o.To}; !slices.Contains(w.probes, p) {
					w.probes = append(w.probes, p)
				}
			case ActionStop:
				w.stopping = append(w.stopping, gatewayRequest{g, r})
			case ActionPermitResult:
				if o.OK {
					w.openAttempt(w.request(r), w.member(g))
				}
			case ActionClaimResult:
				key := fmt.Sprintf("%d/%d", g, o.ResumeSeq)
				if w.request(r).pendingClaims[key]--; w.request(r).pendingClaims[key] < 0 {
					w.fail("%s: ask %s answered twice", r, key)
				}
				if o.OK {
					w.granted = append(w.granted, gatewayRequest{g, r})
				}
			case ActionLeaseCheckResult:
				q := w.request(r)
				for _, k := range q.supersededAt[g] {
					if o.OK && !w.down[w.gatewayIndex(k)] && w.incarnations[w.gatewayIndex(k)] == k.Incarnation {
						w.fail("%s: %v knew of a newer holder, and the one that woke went on", r, k)
					}
				}
				delete(q.supersededAt, g)
			}
		}
	}
}

func (w *model) partitioned(a, b int) bool {
	return w.partitions[[2]int{min(a, b), max(a, b)}]
}

// transition is one thing that can happen.
type transition struct {
	name  string
	apply func(w *model)
}

// transitions lists all that can happen now.
func (w *model) transitions() (out []transition) {
	add := func(name string, do func(w *model)) { out = append(out, transition{name, do}) }
	for i, f := range w.network {
		to := w.gatewayIndex(f.to)
		name := f.from.Name + ">" + f.to.Name + " " + strconv.Itoa(int(f.message.Kind)) + " " + f.message.RequestID
		if !w.frozen[to] && !w.partitioned(w.gatewayIndex(f.from), to) {
			add("deliver "+name, func(w *model) {
				w.network = slices.Delete(slices.Clone(w.network), i, i+1)
				w.deliver(f)
			})
			if w.budget.duplicates > 0 {
				add("double "+name, func(w *model) { w.budget.duplicates--; w.deliver(f) })
			}
		}
	}
	for i, p := range w.probes {
		from, to := w.gatewayIndex(p[0]), w.gatewayIndex(p[1])
		if w.down[from] || w.incarnations[from] != p[0].Incarnation {
			add("probe void", func(w *model) { w.probes = slices.Delete(slices.Clone(w.probes), i, i+1) })
			continue
		}
		if w.frozen[from] || w.partitioned(from, to) {
			continue
		}
		add(fmt.Sprintf("probe %v %v", p[0], p[1]), func(w *model) {
			w.probes = slices.Delete(slices.Clone(w.probes), i, i+1)
			if w.down[to] || w.incarnations[to] != p[1].Incarnation && !w.frozen[to] {
				w.nodes[from].ConfirmDead(w.now, p[1])
				w.runOutputs(from)
			}
		})
	}
	for i, s := range w.stopping {
		if w.frozen[s.gateway] {
			continue
		}
		add("stopped "+s.id, func(w *model) {
			w.stopping = slices.Delete(slices.Clone(w.stopping), i, i+1)
			if !w.down[s.gateway] {
				w.closeAttempts(w.request(s.id), w.member(s.gateway))
				w.nodes[s.gateway].Stopped(w.now, s.id, true)
				w.runOutputs(s.gateway)
			}
		})
	}
	for i, s := range w.granted {
		if w.frozen[s.gateway] {
			continue
		}
		h := w.nodes[s.gateway].leases[s.id]
		gone := w.down[s.gateway] || h == nil || h.stopped
		add("send "+s.id, func(w *model) {
			if w.granted = slices.Delete(slices.Clone(w.granted), i, i+1); !gone {
				w.openAttempt(w.request(s.id), w.member(s.gateway))
			}
		})
		if !gone && w.budget.rejections > 0 {
			add("turn away "+s.id, func(w *model) {
				w.budget.rejections--
				w.granted = slices.Delete(slices.Clone(w.granted), i, i+1)
				w.nodes[s.gateway].Release(w.now, s.id, false)
				w.runOutputs(s.gateway)
			})
		}
	}
	for g := range w.nodes {
		switch {
		case w.down[g]:
			if w.budget.starts > 0 {
				add(fmt.Sprintf("start g%d", g), func(w *model) {
					w.budget.starts--
					w.down[g], w.incarnations[g] = false, w.incarnations[g]+1
					w.nodes[g] = New(w.member(g), w.nodes[g].settings)
				})
			}
			continue
		case w.frozen[g]:
			add(fmt.Sprintf("wake g%d", g), func(w *model) { w.wake(g) })
		case w.budget.freezes > 0:
			add(fmt.Sprintf("freeze g%d", g), func(w *model) { w.budget.freezes--; w.frozen[g] = true })
		}
		if w.budget.kills > 0 {
			add(fmt.Sprintf("kill g%d", g), func(w *model) { w.kill(g) })
		}
		if w.frozen[g] {
			continue
		}
		for _, r := range w.requests {
			w.requestTransitions(g, r, add)
		}
	}
	for a := range w.nodes {
		for b := a + 1; b < len(w.nodes); b++ {
			if p := [2]int{a, b}; w.partitions[p] {
				add("heal", func(w *model) { delete(w.partitions, p) })
			} else if w.budget.partitions > 0 {
				add(fmt.Sprint("cut ", p), func(w *model) { w.budget.partitions--; w.partitions[p] = true })
			}
		}
	}
	if w.budget.ticks > 0 {
		add("time", func(w *model) {
			w.budget.ticks--
			w.now += 4 // as long as the longest wait for one answer
			for g, n := range w.nodes {
				if !w.down[g] && !w.frozen[g] {
					n.Tick(w.now)
					w.runOutputs(g)
				}
			}
		})
	}
	return out
}

// requestTransitions lists what a gateway and a client may do about a request.
func (w *model) requestTransitions(g int, r *clientRequest, add func(string, func(*model))) {
	if h := w.nodes[g].leases[r.id]; h != nil && !h.stopped && h.leaseCheck == nil {
		mine := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.by == w.member(g) && a.open })
		if mine >= 0 && w.budget.failures > 0 && h.permitQuery == nil {
			add(fmt.Sprintf("g%d: the attempt of %s fails", g, r.id), func(w *model) {
				w.budget.failures--
				w.closeAttempts(w.request(r.id), w.member(g))
				if !r.policy.Idempotent { // else the module would not wish for more
					w.request(r.id).attempts[mine].mayHaveRun = false
				}
				w.nodes[g].RequestPermit(w.now, r.id)
				w.runOutputs(g)
			})
		}
	}
	if w.budget.resumes > 0 && r.resumes < 3 && len(r.attempts) > 0 {
		add(fmt.Sprintf("the client of %s asks g%d", r.id, g), func(w *model) {
			w.budget.resumes--
			q := w.request(r.id)
			q.resumes++
			w.claim(g, q)
		})
		if r.resumes > 0 && !r.resumedTwice {
			add(fmt.Sprintf("the client of %s asks g%d as well", r.id, g), func(w *model) {
				q := w.request(r.id)
				q.resumedTwice = true
				w.claim(g, q)
			})
		}
	}
}

func (w *model) claim(g int, q *clientRequest) {
	if w.nodes[g].claims[q.id] != nil {
		return // the rim answers that one itself
	}
	q.pendingClaims[fmt.Sprintf("%d/%d", g, q.resumes)]++
	var all []Member
	for i := range w.nodes {
		all = append(all, w.member(i))
	}
	w.nodes[g].Claim(w.now, q.id, q.resumes, all)
	w.runOutputs(g)
}

func (w *model) deliver(f inFlightMessage) {
	to := w.gatewayIndex(f.to)
	if w.down[to] {
		return
	}
	w.nodes[to].Receive(w.now, f.from, f.message)
	w.runOutputs(to)
}

func (w *model) kill(g int) {
	w.budget.kills--
	w.down[g], w.frozen[g] = true, false
	for _, r := range w.requests {
		w.closeAttempts(r, w.member(g))
		delete(r.supersededAt, g)
	}
	w.stopping = slices.DeleteFunc(slices.Clone(w.stopping), func(s gatewayRequest) bool { return s.gateway == g })
	w.granted = slices.DeleteFunc(slices.Clone(w.granted), func(s gatewayRequest) bool { return s.gateway == g })
}

// wake has a gateway go on after a freeze: it checks what it holds first.
func (w *model) wake(g int) {
	w.frozen[g] = false
	n := w.nodes[g]
	for _, id := range sortedKeys(n.leases) {
		if n.leases[id].leaseCheck != nil || n.leases[id].stopped {
			continue
		}
		r := w.request(id)
		r.supersededAt[g] = nil
		for k, other := range w.nodes {
			if rec := other.records[id]; rec != nil && !w.down[k] && rec.epoch > n.leases[id].epoch {
				r.supersededAt[g] = append(r.supersededAt[g], w.member(k))
			}
		}
		n.CheckLease(w.now, id)
	}
	w.runOutputs(g)
}

// clone copies the world, so that another step can be tried from here.
func (w *model) clone() *model {
	c := *w
	c.nodes = make([]*Node, len(w.nodes))
	for i, n := range w.nodes {
		c.nodes[i] = cloneNode(n)
	}
	c.incarnations, c.down, c.frozen, c.partitions = slices.Clone(w.incarnations), slices.Clone(w.down), slices.Clone(w.frozen), maps.Clone(w.partitions)
	c.network, c.probes, c.stopping = slices.Clone(w.network), slices.Clone(w.probes), slices.Clone(w.stopping)
	c.granted = slices.Clone(w.granted)
	c.requests = make([]*clientRequest, len(w.requests))
	for i, r := range w.requests {
		q := *r
		q.attempts, q.pendingClaims, q.supersededAt = slices.Clone(r.attempts), maps.Clone(r.pendingClaims), maps.Clone(r.supersededAt)
		c.requests[i] = &q
	}
	return &c
}

func copyOf[T any](p *T) *T {
	if p == nil {
		return nil
	}
	v := *p
	return &v
}

func cloneNode(n *Node) *Node {
	c := *n
	c.records, c.leases, c.claims = map[string]*requestRecord{}, map[string]*leaseState{}, map[string]*claimState{}
	c.recordsByHolder, c.tombstones, c.undecided, c.scratchIDs = maps.Clone(n.recordsByHolder), maps.Clone(n.tombstones), maps.Clone(n.undecided), nil
	for id, r := range n.records {
		q := *r
		if q.decision = copyOf(r.decision); q.decision != nil && q.decision.awaitingAcks != nil {
			q.decision.awaitingAcks = append([]Member{}, q.decision.awaitingAcks...)
		}
		c.records[id] = &q
	}
	for id, h := range n.leases {
		q := *h
		q.exhausted, q.permitQuery, q.leaseCheck, q.releaseQueries = slices.Clone(h.exhausted), copyOf(h.permitQuery), copyOf(h.leaseCheck), slices.Clone(h.releaseQueries)
		for _, own := range []*pendingQuery{q.permitQuery, q.leaseCheck} {
			if own != nil {
				own.unanswered = slices.Clone(own.unanswered)
			}
		}
		c.leases[id] = &q
	}
	for id, k := range n.claims {
		c.claims[id] = copyOf(k)
		c.claims[id].unanswered = slices.Clone(k.unanswered)
	}
	return &c
}

// stateKey names a state: two with the same key go on alike. It is written by hand, for
// millions are made.
func (w *model) stateKey() uint64 {
	b := make(stateEncoder, 0, 2048)
	for g := range w.nodes {
		b.ints(int64(w.incarnations[g]))
		b.bools(w.down[g], w.frozen[g])
	}
	for a := range w.nodes {
		for c := a + 1; c < len(w.nodes); c++ {
			b.bools(w.partitions[[2]int{a, c}])
		}
	}
	u := w.budget
	for _, v := range []int{u.kills, u.starts, u.freezes, u.partitions, u.duplicates, u.ticks, u.resumes, u.failures, u.rejections} {
		b.ints(int64(v))
	}
	b.ints(w.now)
	b.unordered(len(w.network), func(b *stateEncoder, i int) {
		f := &w.network[i]
		b.member(f.from)
		b.member(f.to)
		b.message(&f.message)
	})
	b.unordered(len(w.probes), func(b *stateEncoder, i int) { b.members(w.probes[i][:]) })
	b.unordered(len(w.granted), func(b *stateEncoder, i int) { b.ints(int64(w.granted[i].gateway)); b.text(w.granted[i].id) })
	b.unordered(len(w.stopping), func(b *stateEncoder, i int) { b.ints(int64(w.stopping[i].gateway)); b.text(w.stopping[i].id) })
	for g, n := range w.nodes {
		if w.down[g] {
			continue
		}
		b.ints(int64(n.lastQueryID))
		b.unordered(len(w.nodes), func(b *stateEncoder, i int) { b.ints(int64(i)); b.ints(int64(n.tombstones["g"+strconv.Itoa(i)])) })
		for _, r := range w.requests {
			if rec := n.records[r.id]; rec != nil {
				b.member(rec.holder)
				b.ints(int64(rec.epoch), int64(rec.resumeSeq), rec.deadline, rec.expiresAt)
				b.bools(rec.permitGranted)
				b.member(rec.lastRequester)
				b.message(&rec.lastReply)
				if d := rec.decision; d != nil {
					b.message(&d.request)
					b.member(d.requester)
					b.ints(d.startedAt, d.lastSentAt)
					b.bools(d.awaitingAcks != nil)
					b.members(d.awaitingAcks)
				}
			}
			b.text("/")
			if h := n.leases[r.id]; h != nil {
				b.ints(int64(h.epoch), int64(h.resumeSeq))
				b.bools(h.exhausted...)
				b.member(h.grantor)
				b.bools(h.stopped)
				b.question(h.permitQuery)
				b.question(h.leaseCheck)
				for i := range h.releaseQueries {
					b.question(&h.releaseQueries[i])
				}
			}
			b.text("/")
			if c := n.claims[r.id]; c != nil {
				b.question(&c.pendingQuery)
				b.ints(int64(c.resumeSeq), int64(c.phase), c.deadline)
				b.bools(c.found)
				b.message(&c.latest)
			}
		}
	}
	for _, r := range w.requests {
		for _, a := range r.attempts {
			b.member(a.by)
			b.bools(a.open, a.mayHaveRun)
		}
		b.ints(int64(r.resumes))
		b.bools(r.resumedTwice)
		for _, k := range sortedKeys(r.pendingClaims) {
			b.text(k)
			b.ints(int64(r.pendingClaims[k]))
		}
		for g := range w.nodes {
			b.members(r.supersededAt[g])
		}
	}
	return xxhash.Sum64(b)
}

type stateEncoder []byte

func (b *stateEncoder) ints(list ...int64) {
	for _, v := range list {
		*b = binary.AppendVarint(*b, v)
	}
}

func (b *stateEncoder) bools(list ...bool) {
	for _, v := range list {
		if v {
			*b = append(*b, 1)
		} else {
			*b = append(*b, 0)
		}
	}
}
func (b *stateEncoder) text(s string) { *b = append(append(*b, s...), 0) }
func (b *stateEncoder) member(m Member) {
	b.text(m.Name)
	b.ints(int64(m.Incarnation))
}
func (b *stateEncoder) members(list []Member) {
	b.ints(int64(len(list)))
	for _, m := range list {
		b.member(m)
	}
}

func (b *stateEncoder) message(m *Message) {
	b.ints(int64(m.Kind), int64(m.ToIncarnation), int64(m.QueryID), int64(m.Epoch), int64(m.ResumeSeq), int64(m.NextResumeSeq), m.TimeLeft, int64(m.Chain), int64(m.Reason))
	b.text(m.RequestID)
	b.member(m.Holder)
	b.bools(m.PermitGranted, m.Initial, m.OK, m.MayHaveRun)
	b.members(m.ProvenDead)
}

func (b *stateEncoder) question(q *pendingQuery) {
	if q == nil {
		b.text("-")
		return
	}
	b.ints(int64(q.id), int64(q.chain), q.startedAt, q.lastSentAt)
	b.member(q.to)
	b.members(q.unanswered)
}

// unordered writes a set: its order does not matter.
func (b *stateEncoder) unordered(n int, each func(*stateEncoder, int)) {
	var all uint64
	var one stateEncoder
	for i := range n {
		one = one[:0]
		each(&one, i)
		all += xxhash.Sum64(one)
	}
	b.ints(int64(n), int64(all))
}

// explore visits all states that can be reached, up to a number, breadth first on
// all cores, and returns how many and the way to one that breaks a rule.
func explore(start *model, most int) (states int, whole bool, broken string, way []string) {
	type place struct {
		w    *model
		from *place
		name string
	}
	seen := map[uint64]bool{start.stateKey(): true}
	level := []*place{{start, nil, "start"}}
	type found struct {
		p   *place
		key uint64
	}
	for len(level) > 0 {
		const share = 64
		next := make([][]found, (len(level)+share-1)/share)
		var group errgroup.Group
		group.SetLimit(runtime.GOMAXPROCS(0))
		for i := range next {
			group.Go(func() error {
				for _, p := range level[i*share : min(len(level), (i+1)*share)] {
					for _, s := range p.w.transitions() {
						w := p.w.clone()
						s.apply(w)
						next[i] = append(next[i], found{&place{w, p, s.name}, w.stateKey()})
					}
					p.w = nil // its successors have what is needed
				}
				return nil
			})
		}
		_ = group.Wait()
		level = level[:0]
		for _, list := range next {
			for _, f := range list {
				if f.p.w.violation != "" {
					for p := f.p; p != nil; p = p.from {
						way = append(way, p.name)
					}
					slices.Reverse(way)
					return len(seen), false, f.p.w.violation, way
				}
				if !seen[f.key] {
					if seen[f.key] = true; len(seen) >= most {
						return len(seen), false, "", nil
					}
					level = append(level, f.p)
				}
			}
		}
	}
	return len(seen), true, "", nil
}

var (
	hedgeable     = RetryPolicy{Idempotent: true, Hedgeable: true}
	idempotent    = RetryPolicy{Idempotent: true}
	notIdempotent = RetryPolicy{}
)

func stateLimit() int {
	if v, err := strconv.Atoi(os.Getenv("TAKEOVER_STATES")); err == nil {
		return v
	}
	return 20_000
}

// withRecordsReplicated has all records noted before anything happens.
func withRecordsReplicated(w *model) *model {
	for len(w.network) > 0 {
		f := w.network[0]
		w.network = w.network[1:]
		w.deliver(f)
	}
	return w
}

// All that can happen to small numbers of gateways and requests breaks no rule. A
// message that is lost is one that is not delivered to the end.
// TAKEOVER_STATES=5000000 explores further than there is time for each time.
func TestExhaustiveExploration(t *testing.T) {
	for _, c := range []struct {
		name  string
		terms []RetryPolicy
		late  bool // the records are on their way
		b     eventBudget
	}{
		{"killed before the record is kept", []RetryPolicy{idempotent}, true, eventBudget{kills: 1, resumes: 1}},
		{"killed", []RetryPolicy{hedgeable}, false, eventBudget{kills: 1, ticks: 1, resumes: 1}},
		{"killed, one at a time", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, ticks: 1, resumes: 1}},
		{"killed, unsafe", []RetryPolicy{notIdempotent}, false, eventBudget{kills: 1, ticks: 1, resumes: 1, failures: 1}},
		{"retried and killed", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, resumes: 1, failures: 1}},
		{"frozen", []RetryPolicy{hedgeable}, false, eventBudget{freezes: 1, ticks: 1, resumes: 1}},
		{"frozen, one at a time", []RetryPolicy{idempotent}, false, eventBudget{freezes: 1, ticks: 1, resumes: 1}},
		{"cut and healed", []RetryPolicy{idempotent}, false, eventBudget{partitions: 1, ticks: 1, resumes: 1}},
		{"doubled", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, resumes: 1, duplicates: 1}},
		{"started again", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, starts: 1, resumes: 1}},
		{"turned away, and asked again", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, resumes: 2, rejections: 1}},
		{"owner and keeper killed", []RetryPolicy{idempotent}, false, eventBudget{kills: 2, resumes: 1}},
		{"asked at two at once", []RetryPolicy{idempotent}, false, eventBudget{resumes: 1}},
		{"asked twice", []RetryPolicy{idempotent}, false, eventBudget{kills: 1, resumes: 2}},
		{"two requests", []RetryPolicy{idempotent, hedgeable}, false, eventBudget{kills: 1, resumes: 2}},
	} {
		w := newModel(3, c.terms, c.b, 2)
		if !c.late {
			w = withRecordsReplicated(w)
		}
		states, whole, broken, way := explore(w, stateLimit())
		if t.Logf("%s: %d states, whole=%v", c.name, states, whole); broken != "" {
			t.Errorf("%s: %s\n  %s", c.name, broken, strings.Join(way, "\n  "))
		}
	}
}

// A machine without the fence, or without the proof, is found out.
func TestExplorationFindsBrokenNodes(t *testing.T) {
	w := withRecordsReplicated(newModel(3, []RetryPolicy{idempotent}, eventBudget{ticks: 1, resumes: 1}, 2))
	for _, n := range w.nodes {
		n.disableDeathProof = true
	}
	if _, _, broken, _ := explore(w, 200_000); !strings.Contains(broken, "at once") {
		t.Errorf("without proof: %q", broken)
	}
	w = withRecordsReplicated(newModel(3, []RetryPolicy{hedgeable}, eventBudget{freezes: 1, ticks: 1, resumes: 1}, 2))
	for _, n := range w.nodes {
		n.disableFencing = true
	}
	if _, _, broken, _ := explore(w, 400_000); !strings.Contains(broken, "newer holder") {
		t.Errorf("without a fence: %q", broken)
	}
}

// Longer stories of more gateways and requests, by chance.
func TestRandomSchedules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kinds := []RetryPolicy{hedgeable, idempotent, notIdempotent}
		var terms []RetryPolicy
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			terms = append(terms, rapid.SampledFrom(kinds).Draw(t, "terms"))
		}
		few := rapid.IntRange(0, 3)
		w := newModel(rapid.IntRange(3, 6).Draw(t, "gateways"), terms, eventBudget{kills: few.Draw(t, "kills"), starts: few.Draw(t, "starts"),
			freezes: few.Draw(t, "freezes"), partitions: few.Draw(t, "cuts"), duplicates: few.Draw(t, "doubled"),
			ticks: 12, resumes: 6, failures: 4, rejections: 2}, 2)
		var way []string
		for range 120 {
			list := w.transitions()
			if len(list) == 0 {
				break
			}
			s := list[rapid.IntRange(0, len(list)-1).Draw(t, "step")]
			way = append(way, s.name)
			if s.apply(w); w.violation != "" {
				t.Fatalf("%s\n  %s", w.violation, strings.Join(way, "\n  "))
			}
		}
	})
}
