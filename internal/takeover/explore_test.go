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

// world is gateways, what is between them, and what runs at the workers: all that
// can happen next is listed, and each step checks the rules.
type world struct {
	nodes    []*Node // by gateway
	life     []uint64
	down     []bool
	frozen   []bool
	cut      map[[2]int]bool
	net      []flight
	probes   [][2]Member // who asks, and about whom
	stopping []stopping
	granted  []stopping // taken over, and not yet sent
	now      Micros
	reqs     []*req
	budget   budget
	broken   string // the rule that was broken
}

type flight struct {
	from, to Member
	m        Message
}

type stopping struct {
	g  int
	id string
}

// req is a client's request as the outside sees it.
type req struct {
	id       string
	terms    Terms
	attempts []att
	asks     uint32 // the client has made
	twice    bool   // it may ask at two gateways at once
	answers  map[string]int
	noted    map[int][]Member // by a gateway that woke: keepers that knew of a newer holder
}

type att struct {
	by        Member
	open, ran bool
}

type budget struct{ kills, starts, freezes, cuts, doubled, ticks, asks, wants, turned int }

func newWorld(gateways int, terms []Terms, b budget, permits int) *world {
	w := &world{life: make([]uint64, gateways), down: make([]bool, gateways), frozen: make([]bool, gateways), cut: map[[2]int]bool{}, budget: b}
	for g := range gateways {
		w.life[g] = 1
		w.nodes = append(w.nodes, New(w.member(g), Settings{Permits: permits, Silence: 4, Remember: 1000, Most: 100, MostEach: 50}))
	}
	for i, t := range terms {
		r := &req{id: "r" + strconv.Itoa(i), terms: t, answers: map[string]int{}, noted: map[int][]Member{}}
		w.reqs = append(w.reqs, r)
		g := i % gateways
		var keepers []Member
		for k := 1; k < gateways; k++ {
			keepers = append(keepers, w.member((g+k)%gateways))
		}
		w.nodes[g].Hold(w.now, r.id, t, 500, keepers)
		w.open(r, w.member(g))
		w.collect(g)
	}
	return w
}

func (w *world) member(g int) Member { return Member{"g" + strconv.Itoa(g), w.life[g]} }

func (w *world) at(m Member) int {
	g, _ := strconv.Atoi(m.Name[1:])
	return g
}

func (w *world) fail(format string, args ...any) {
	if w.broken == "" {
		w.broken = fmt.Sprintf(format, args...)
	}
}

// open is an attempt that goes to a worker: the rules are about these.
func (w *world) open(r *req, by Member) {
	for _, a := range r.attempts {
		if a.open && !r.terms.Beside {
			w.fail("%s: two attempts at once, by %v and %v", r.id, a.by, by)
		}
	}
	if !r.terms.Repeat && slices.ContainsFunc(r.attempts, func(a att) bool { return a.ran }) {
		w.fail("%s: runs twice", r.id)
	}
	if r.attempts = append(r.attempts, att{by, true, true}); len(r.attempts) > 3 {
		w.fail("%s: %d attempts", r.id, len(r.attempts))
	}
}

func (w *world) close(r *req, by Member) {
	for i := range r.attempts {
		if r.attempts[i].by == by {
			r.attempts[i].open = false
		}
	}
}

func (w *world) req(id string) *req {
	i, _ := strconv.Atoi(id[1:])
	return w.reqs[i]
}

// collect carries out what a gateway ordered.
func (w *world) collect(g int) {
	n := w.nodes[g]
	for outs := n.Outputs(); len(outs) > 0; outs = n.Outputs() {
		for _, o := range outs {
			switch r := o.ID; o.Do {
			case Send:
				if o.To == w.member(g) { // to itself: no wire is between
					n.Recv(w.now, o.To, o.Msg)
					continue
				}
				w.net = append(w.net, flight{w.member(g), o.To, o.Msg})
			case Probe:
				if p := [2]Member{w.member(g), o.To}; !slices.Contains(w.probes, p) {
					w.probes = append(w.probes, p)
				}
			case Stop:
				w.stopping = append(w.stopping, stopping{g, r})
			case Permit:
				if o.OK {
					w.open(w.req(r), w.member(g))
				}
			case Claimed:
				key := fmt.Sprintf("%d/%d", g, o.Ask)
				if w.req(r).answers[key]--; w.req(r).answers[key] < 0 {
					w.fail("%s: ask %s answered twice", r, key)
				}
				if o.OK {
					w.granted = append(w.granted, stopping{g, r})
				}
			case Confirmed:
				q := w.req(r)
				for _, k := range q.noted[g] {
					if o.OK && !w.down[w.at(k)] && w.life[w.at(k)] == k.Life {
						w.fail("%s: %v knew of a newer holder, and the one that woke went on", r, k)
					}
				}
				delete(q.noted, g)
			}
		}
	}
}

func (w *world) blocked(a, b int) bool {
	return w.cut[[2]int{min(a, b), max(a, b)}]
}

// step is one thing that can happen.
type step struct {
	name string
	do   func(w *world)
}

// steps lists all that can happen now.
func (w *world) steps() (out []step) {
	add := func(name string, do func(w *world)) { out = append(out, step{name, do}) }
	for i, f := range w.net {
		to := w.at(f.to)
		name := f.from.Name + ">" + f.to.Name + " " + strconv.Itoa(int(f.m.Kind)) + " " + f.m.ID
		if !w.frozen[to] && !w.blocked(w.at(f.from), to) {
			add("deliver "+name, func(w *world) {
				w.net = slices.Delete(slices.Clone(w.net), i, i+1)
				w.deliver(f)
			})
			if w.budget.doubled > 0 {
				add("double "+name, func(w *world) { w.budget.doubled--; w.deliver(f) })
			}
		}
	}
	for i, p := range w.probes {
		from, to := w.at(p[0]), w.at(p[1])
		if w.down[from] || w.life[from] != p[0].Life {
			add("probe void", func(w *world) { w.probes = slices.Delete(slices.Clone(w.probes), i, i+1) })
			continue
		}
		if w.frozen[from] || w.blocked(from, to) {
			continue
		}
		add(fmt.Sprintf("probe %v %v", p[0], p[1]), func(w *world) {
			w.probes = slices.Delete(slices.Clone(w.probes), i, i+1)
			if w.down[to] || w.life[to] != p[1].Life && !w.frozen[to] {
				w.nodes[from].Dead(w.now, p[1])
				w.collect(from)
			}
		})
	}
	for i, s := range w.stopping {
		if w.frozen[s.g] {
			continue
		}
		add("stopped "+s.id, func(w *world) {
			w.stopping = slices.Delete(slices.Clone(w.stopping), i, i+1)
			if !w.down[s.g] {
				w.close(w.req(s.id), w.member(s.g))
				w.nodes[s.g].Stopped(w.now, s.id, true)
				w.collect(s.g)
			}
		})
	}
	for i, s := range w.granted {
		if w.frozen[s.g] {
			continue
		}
		h := w.nodes[s.g].holds[s.id]
		gone := w.down[s.g] || h == nil || h.stopped
		add("send "+s.id, func(w *world) {
			if w.granted = slices.Delete(slices.Clone(w.granted), i, i+1); !gone {
				w.open(w.req(s.id), w.member(s.g))
			}
		})
		if !gone && w.budget.turned > 0 {
			add("turn away "+s.id, func(w *world) {
				w.budget.turned--
				w.granted = slices.Delete(slices.Clone(w.granted), i, i+1)
				w.nodes[s.g].Let(w.now, s.id, false)
				w.collect(s.g)
			})
		}
	}
	for g := range w.nodes {
		switch {
		case w.down[g]:
			if w.budget.starts > 0 {
				add(fmt.Sprintf("start g%d", g), func(w *world) {
					w.budget.starts--
					w.down[g], w.life[g] = false, w.life[g]+1
					w.nodes[g] = New(w.member(g), w.nodes[g].s)
				})
			}
			continue
		case w.frozen[g]:
			add(fmt.Sprintf("wake g%d", g), func(w *world) { w.wake(g) })
		case w.budget.freezes > 0:
			add(fmt.Sprintf("freeze g%d", g), func(w *world) { w.budget.freezes--; w.frozen[g] = true })
		}
		if w.budget.kills > 0 {
			add(fmt.Sprintf("kill g%d", g), func(w *world) { w.kill(g) })
		}
		if w.frozen[g] {
			continue
		}
		for _, r := range w.reqs {
			w.requestSteps(g, r, add)
		}
	}
	for a := range w.nodes {
		for b := a + 1; b < len(w.nodes); b++ {
			if p := [2]int{a, b}; w.cut[p] {
				add("heal", func(w *world) { delete(w.cut, p) })
			} else if w.budget.cuts > 0 {
				add(fmt.Sprint("cut ", p), func(w *world) { w.budget.cuts--; w.cut[p] = true })
			}
		}
	}
	if w.budget.ticks > 0 {
		add("time", func(w *world) {
			w.budget.ticks--
			w.now += 4 // as long as the longest wait for one answer
			for g, n := range w.nodes {
				if !w.down[g] && !w.frozen[g] {
					n.Tick(w.now)
					w.collect(g)
				}
			}
		})
	}
	return out
}

// requestSteps lists what a gateway and a client may do about a request.
func (w *world) requestSteps(g int, r *req, add func(string, func(*world))) {
	if h := w.nodes[g].holds[r.id]; h != nil && !h.stopped && h.check == nil {
		mine := slices.IndexFunc(r.attempts, func(a att) bool { return a.by == w.member(g) && a.open })
		if mine >= 0 && w.budget.wants > 0 && h.want == nil {
			add(fmt.Sprintf("g%d: the attempt of %s fails", g, r.id), func(w *world) {
				w.budget.wants--
				w.close(w.req(r.id), w.member(g))
				if !r.terms.Repeat { // else the module would not wish for more
					w.req(r.id).attempts[mine].ran = false
				}
				w.nodes[g].Want(w.now, r.id)
				w.collect(g)
			})
		}
	}
	if w.budget.asks > 0 && r.asks < 3 && len(r.attempts) > 0 {
		add(fmt.Sprintf("the client of %s asks g%d", r.id, g), func(w *world) {
			w.budget.asks--
			q := w.req(r.id)
			q.asks++
			w.ask(g, q)
		})
		if r.asks > 0 && !r.twice {
			add(fmt.Sprintf("the client of %s asks g%d as well", r.id, g), func(w *world) {
				q := w.req(r.id)
				q.twice = true
				w.ask(g, q)
			})
		}
	}
}

func (w *world) ask(g int, q *req) {
	if w.nodes[g].claims[q.id] != nil {
		return // the rim answers that one itself
	}
	q.answers[fmt.Sprintf("%d/%d", g, q.asks)]++
	var all []Member
	for i := range w.nodes {
		all = append(all, w.member(i))
	}
	w.nodes[g].Claim(w.now, q.id, q.asks, all)
	w.collect(g)
}

func (w *world) deliver(f flight) {
	to := w.at(f.to)
	if w.down[to] {
		return
	}
	w.nodes[to].Recv(w.now, f.from, f.m)
	w.collect(to)
}

func (w *world) kill(g int) {
	w.budget.kills--
	w.down[g], w.frozen[g] = true, false
	for _, r := range w.reqs {
		w.close(r, w.member(g))
		delete(r.noted, g)
	}
	w.stopping = slices.DeleteFunc(slices.Clone(w.stopping), func(s stopping) bool { return s.g == g })
	w.granted = slices.DeleteFunc(slices.Clone(w.granted), func(s stopping) bool { return s.g == g })
}

// wake has a gateway go on after a freeze: it checks what it holds first.
func (w *world) wake(g int) {
	w.frozen[g] = false
	n := w.nodes[g]
	for _, id := range sorted(n.holds) {
		if n.holds[id].check != nil || n.holds[id].stopped {
			continue
		}
		r := w.req(id)
		r.noted[g] = nil
		for k, other := range w.nodes {
			if rec := other.records[id]; rec != nil && !w.down[k] && rec.epoch > n.holds[id].epoch {
				r.noted[g] = append(r.noted[g], w.member(k))
			}
		}
		n.Check(w.now, id)
	}
	w.collect(g)
}

// clone copies the world, so that another step can be tried from here.
func (w *world) clone() *world {
	c := *w
	c.nodes = make([]*Node, len(w.nodes))
	for i, n := range w.nodes {
		c.nodes[i] = cloneNode(n)
	}
	c.life, c.down, c.frozen, c.cut = slices.Clone(w.life), slices.Clone(w.down), slices.Clone(w.frozen), maps.Clone(w.cut)
	c.net, c.probes, c.stopping = slices.Clone(w.net), slices.Clone(w.probes), slices.Clone(w.stopping)
	c.granted = slices.Clone(w.granted)
	c.reqs = make([]*req, len(w.reqs))
	for i, r := range w.reqs {
		q := *r
		q.attempts, q.answers, q.noted = slices.Clone(r.attempts), maps.Clone(r.answers), maps.Clone(r.noted)
		c.reqs[i] = &q
	}
	return &c
}

func copied[T any](p *T) *T {
	if p == nil {
		return nil
	}
	v := *p
	return &v
}

func cloneNode(n *Node) *Node {
	c := *n
	c.records, c.holds, c.claims = map[string]*record{}, map[string]*hold{}, map[string]*claim{}
	c.each, c.dead, c.open, c.asking = maps.Clone(n.each), maps.Clone(n.dead), maps.Clone(n.open), nil
	for id, r := range n.records {
		q := *r
		if q.op = copied(r.op); q.op != nil && q.op.marking != nil {
			q.op.marking = append([]Member{}, q.op.marking...)
		}
		c.records[id] = &q
	}
	for id, h := range n.holds {
		q := *h
		q.spent, q.want, q.check, q.release = slices.Clone(h.spent), copied(h.want), copied(h.check), slices.Clone(h.release)
		for _, own := range []*question{q.want, q.check} {
			if own != nil {
				own.waiting = slices.Clone(own.waiting)
			}
		}
		c.holds[id] = &q
	}
	for id, k := range n.claims {
		c.claims[id] = copied(k)
		c.claims[id].waiting = slices.Clone(k.waiting)
	}
	return &c
}

// key names a state: two with the same key go on alike. It is written by hand, for
// millions are made.
func (w *world) key() uint64 {
	b := make(writer, 0, 2048)
	for g := range w.nodes {
		b.num(int64(w.life[g]))
		b.yes(w.down[g], w.frozen[g])
	}
	for a := range w.nodes {
		for c := a + 1; c < len(w.nodes); c++ {
			b.yes(w.cut[[2]int{a, c}])
		}
	}
	u := w.budget
	for _, v := range []int{u.kills, u.starts, u.freezes, u.cuts, u.doubled, u.ticks, u.asks, u.wants, u.turned} {
		b.num(int64(v))
	}
	b.num(w.now)
	b.sum(len(w.net), func(b *writer, i int) {
		f := &w.net[i]
		b.member(f.from)
		b.member(f.to)
		b.message(&f.m)
	})
	b.sum(len(w.probes), func(b *writer, i int) { b.members(w.probes[i][:]) })
	b.sum(len(w.granted), func(b *writer, i int) { b.num(int64(w.granted[i].g)); b.text(w.granted[i].id) })
	b.sum(len(w.stopping), func(b *writer, i int) { b.num(int64(w.stopping[i].g)); b.text(w.stopping[i].id) })
	for g, n := range w.nodes {
		if w.down[g] {
			continue
		}
		b.num(int64(n.op))
		b.sum(len(w.nodes), func(b *writer, i int) { b.num(int64(i)); b.num(int64(n.dead["g"+strconv.Itoa(i)])) })
		for _, r := range w.reqs {
			if rec := n.records[r.id]; rec != nil {
				b.member(rec.holder)
				b.num(int64(rec.epoch), int64(rec.ask), rec.deadline, rec.until)
				b.yes(rec.given)
				b.member(rec.asker)
				b.message(&rec.answer)
				if d := rec.op; d != nil {
					b.message(&d.m)
					b.member(d.from)
					b.num(d.since, d.again)
					b.yes(d.marking != nil)
					b.members(d.marking)
				}
			}
			b.text("/")
			if h := n.holds[r.id]; h != nil {
				b.num(int64(h.epoch), int64(h.ask))
				b.yes(h.spent...)
				b.member(h.giver)
				b.yes(h.stopped)
				b.question(h.want)
				b.question(h.check)
				for i := range h.release {
					b.question(&h.release[i])
				}
			}
			b.text("/")
			if c := n.claims[r.id]; c != nil {
				b.question(&c.question)
				b.num(int64(c.ask), int64(c.phase), c.deadline)
				b.yes(c.found)
				b.message(&c.rec)
			}
		}
	}
	for _, r := range w.reqs {
		for _, a := range r.attempts {
			b.member(a.by)
			b.yes(a.open, a.ran)
		}
		b.num(int64(r.asks))
		b.yes(r.twice)
		for _, k := range sorted(r.answers) {
			b.text(k)
			b.num(int64(r.answers[k]))
		}
		for g := range w.nodes {
			b.members(r.noted[g])
		}
	}
	return xxhash.Sum64(b)
}

type writer []byte

func (b *writer) num(list ...int64) {
	for _, v := range list {
		*b = binary.AppendVarint(*b, v)
	}
}

func (b *writer) yes(list ...bool) {
	for _, v := range list {
		if v {
			*b = append(*b, 1)
		} else {
			*b = append(*b, 0)
		}
	}
}
func (b *writer) text(s string) { *b = append(append(*b, s...), 0) }
func (b *writer) member(m Member) {
	b.text(m.Name)
	b.num(int64(m.Life))
}
func (b *writer) members(list []Member) {
	b.num(int64(len(list)))
	for _, m := range list {
		b.member(m)
	}
}

func (b *writer) message(m *Message) {
	b.num(int64(m.Kind), int64(m.To), int64(m.Op), int64(m.Epoch), int64(m.Ask), int64(m.Next), m.Left, int64(m.Chain), int64(m.Reason))
	b.text(m.ID)
	b.member(m.Holder)
	b.yes(m.Given, m.Fresh, m.OK, m.Ran)
	b.members(m.Dead)
}

func (b *writer) question(q *question) {
	if q == nil {
		b.text("-")
		return
	}
	b.num(int64(q.op), int64(q.chain), q.since, q.again)
	b.member(q.to)
	b.members(q.waiting)
}

// sum writes a set: its order does not matter.
func (b *writer) sum(n int, each func(*writer, int)) {
	var all uint64
	var one writer
	for i := range n {
		one = one[:0]
		each(&one, i)
		all += xxhash.Sum64(one)
	}
	b.num(int64(n), int64(all))
}

// explore visits all states that can be reached, up to a number, breadth first on
// all cores, and returns how many and the way to one that breaks a rule.
func explore(start *world, most int) (states int, whole bool, broken string, way []string) {
	type place struct {
		w    *world
		from *place
		name string
	}
	seen := map[uint64]bool{start.key(): true}
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
					for _, s := range p.w.steps() {
						w := p.w.clone()
						s.do(w)
						next[i] = append(next[i], found{&place{w, p, s.name}, w.key()})
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
				if f.p.w.broken != "" {
					for p := f.p; p != nil; p = p.from {
						way = append(way, p.name)
					}
					slices.Reverse(way)
					return len(seen), false, f.p.w.broken, way
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
	any3   = Terms{Repeat: true, Beside: true}
	strict = Terms{Repeat: true}
	unsafe = Terms{}
)

func most() int {
	if v, err := strconv.Atoi(os.Getenv("TAKEOVER_STATES")); err == nil {
		return v
	}
	return 20_000
}

// kept has all records noted before anything happens.
func kept(w *world) *world {
	for len(w.net) > 0 {
		f := w.net[0]
		w.net = w.net[1:]
		w.deliver(f)
	}
	return w
}

// All that can happen to small numbers of gateways and requests breaks no rule. A
// message that is lost is one that is not delivered to the end.
// TAKEOVER_STATES=5000000 explores further than there is time for each time.
func TestAllThatCanHappen(t *testing.T) {
	for _, c := range []struct {
		name  string
		terms []Terms
		late  bool // the records are on their way
		b     budget
	}{
		{"killed before the record is kept", []Terms{strict}, true, budget{kills: 1, asks: 1}},
		{"killed", []Terms{any3}, false, budget{kills: 1, ticks: 1, asks: 1}},
		{"killed, one at a time", []Terms{strict}, false, budget{kills: 1, ticks: 1, asks: 1}},
		{"killed, unsafe", []Terms{unsafe}, false, budget{kills: 1, ticks: 1, asks: 1, wants: 1}},
		{"retried and killed", []Terms{strict}, false, budget{kills: 1, asks: 1, wants: 1}},
		{"frozen", []Terms{any3}, false, budget{freezes: 1, ticks: 1, asks: 1}},
		{"frozen, one at a time", []Terms{strict}, false, budget{freezes: 1, ticks: 1, asks: 1}},
		{"cut and healed", []Terms{strict}, false, budget{cuts: 1, ticks: 1, asks: 1}},
		{"doubled", []Terms{strict}, false, budget{kills: 1, asks: 1, doubled: 1}},
		{"started again", []Terms{strict}, false, budget{kills: 1, starts: 1, asks: 1}},
		{"turned away, and asked again", []Terms{strict}, false, budget{kills: 1, asks: 2, turned: 1}},
		{"owner and keeper killed", []Terms{strict}, false, budget{kills: 2, asks: 1}},
		{"asked at two at once", []Terms{strict}, false, budget{asks: 1}},
		{"asked twice", []Terms{strict}, false, budget{kills: 1, asks: 2}},
		{"two requests", []Terms{strict, any3}, false, budget{kills: 1, asks: 2}},
	} {
		w := newWorld(3, c.terms, c.b, 2)
		if !c.late {
			w = kept(w)
		}
		states, whole, broken, way := explore(w, most())
		if t.Logf("%s: %d states, whole=%v", c.name, states, whole); broken != "" {
			t.Errorf("%s: %s\n  %s", c.name, broken, strings.Join(way, "\n  "))
		}
	}
}

// A machine without the fence, or without the proof, is found out.
func TestBrokenMachinesAreFound(t *testing.T) {
	w := kept(newWorld(3, []Terms{strict}, budget{ticks: 1, asks: 1}, 2))
	for _, n := range w.nodes {
		n.skipProof = true
	}
	if _, _, broken, _ := explore(w, 200_000); !strings.Contains(broken, "at once") {
		t.Errorf("without proof: %q", broken)
	}
	w = kept(newWorld(3, []Terms{any3}, budget{freezes: 1, ticks: 1, asks: 1}, 2))
	for _, n := range w.nodes {
		n.skipFence = true
	}
	if _, _, broken, _ := explore(w, 400_000); !strings.Contains(broken, "newer holder") {
		t.Errorf("without a fence: %q", broken)
	}
}

// Longer stories of more gateways and requests, by chance.
func TestLongStories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		kinds := []Terms{any3, strict, unsafe}
		var terms []Terms
		for range rapid.IntRange(1, 4).Draw(t, "requests") {
			terms = append(terms, rapid.SampledFrom(kinds).Draw(t, "terms"))
		}
		few := rapid.IntRange(0, 3)
		w := newWorld(rapid.IntRange(3, 6).Draw(t, "gateways"), terms, budget{kills: few.Draw(t, "kills"), starts: few.Draw(t, "starts"),
			freezes: few.Draw(t, "freezes"), cuts: few.Draw(t, "cuts"), doubled: few.Draw(t, "doubled"),
			ticks: 12, asks: 6, wants: 4, turned: 2}, 2)
		var way []string
		for range 120 {
			list := w.steps()
			if len(list) == 0 {
				break
			}
			s := list[rapid.IntRange(0, len(list)-1).Draw(t, "step")]
			way = append(way, s.name)
			if s.do(w); w.broken != "" {
				t.Fatalf("%s\n  %s", w.broken, strings.Join(way, "\n  "))
			}
		}
	})
}
