// Package model is a fleet in virtual time: gateways, workers, the network, the
// registry and clients. The decision modules and the books of contracts in it are
// those that serve; each gateway can be recorded, and what is recorded replays.
//
// Sources: package worker names those of its model. Clients come in sessions with
// turns, as published traces of chat services do; arrivals of sessions are Poisson,
// lengths and thinking times log-normal.
package model

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"time"

	"archknot/choice"
	"archknot/internal/capture"
	"archknot/internal/contract"
	"archknot/internal/fleet/engine"
	"archknot/internal/fleet/worker"
	"archknot/internal/subset"
)

// Group is some workers alike.
type Group struct {
	Name   string // the kind's
	Zone   string
	Count  int
	Weight float64
	Params worker.Params
}

// Stream is a kind of traffic: sessions of one class and tenant.
type Stream struct {
	Class, Tenant string
	PerS          float64 // requests a second, over all gateways
	Turns         float64 // of a session, on average
	Think         float64 // seconds between two turns, the median
	Prompt        float64 // new tokens in a turn, the median
	Answer        float64 // tokens made, the median
	Spread        float64 // of both, as the deviation of the logarithm
	MaxOut        int
	Prefixes      int     // shared beginnings, of which the first are the most popular
	Shared        int     // tokens of them
	Patience      float64 // seconds to the first token; 0: the class's deadline
	Retries       int     // by clients, after a refusal
	Rest          int     // asks for the rest of an answer that broke (the emulator alone)
}

// Fault is something that goes wrong for a while.
type Fault struct {
	At, For choice.Micros // For 0: till the end
	Kind    string        // one of Faults
	Worker  int           // -1: all
	Zone    string        // "": of any
	Factor  float64
}

// Faults are the kinds: what they do, and what Factor is.
var Faults = map[string]string{
	"slow":     "steps take Factor times as long",
	"kill":     "the worker is gone at once, and comes back cold after For",
	"drain":    "the worker drains, and is ready again after For",
	"silent":   "the worker takes requests and answers nothing",
	"lose":     "the worker's machine is gone without a word; the registry says so after Factor seconds, and it comes back cold after For. Of a zone: its gateways are killed too",
	"flush":    "what the worker keeps of prompts is forgotten",
	"reset":    "answers break off after two tokens (the emulator alone)",
	"spoil":    "answers cannot be read after two tokens (the emulator alone)",
	"registry": "the registry does not answer",
	"restart":  "a part of Factor of all gateways is killed, and they come back after For with the list as they had it",
	"burst":    "arrivals come Factor times as often",
	"hot":      "a part of Factor of all requests share one beginning",
}

// Spec is all that a run depends on.
type Spec struct {
	Seed      uint64
	For       choice.Micros
	Warm      choice.Micros // what came before is not counted
	Gateways  int
	Settings  choice.Settings // Self, Gateways, zones and kinds are filled in
	Groups    []Group
	Streams   []Stream
	Faults    []Fault
	Near, Far choice.Micros // one way within a zone, and between two; a fifth more or less
	PollWait  choice.Micros // what a watch of the registry waits at most
	AskEach   choice.Micros // the registry's time for a call that begins a watch; 0: none
	Contracts []contract.Terms
	Book      contract.Settings
	Capture   string // folder of captures; "": none
	Window    choice.Micros
	Subset    int // replicas that a gateway works with; 0: all
	Drill     Drill
	Strikes   []Strike // at gateways, by drills with processes alone
}

// Drill is what a drill with processes needs besides.
type Drill struct {
	Peers   bool          // gateways go on with each other's work
	Relays  bool          // what they say to each other goes through relays, which strikes need
	Copies  int           // keepers of each request
	Records int           // of others' requests that a gateway keeps
	Sites   int           // gateways are dealt to so many
	Memory  int           // of a gateway, megabytes
	Files   int           // descriptors
	Settle  choice.Micros // from the last gateway's start to the traffic
}

// Strike is something that happens to gateways.
type Strike struct {
	At, For choice.Micros // For 0: till the end
	Kind    string        // one of Strikes
	Gateway int           // -1: by share or site, or that which serves
	Share   float64
	Site    int    // -1: any
	When    string // "": at a time; else when a request is in this state, at the gateway that serves it
	Nth     int    // which request
	Factor  float64
}

// Strikes are the kinds: what they do.
var Strikes = map[string]string{
	"kill":   "SIGKILL; started again after For",
	"term":   "SIGTERM; started again after For",
	"freeze": "SIGSTOP, and SIGCONT after For",
	"cut":    "nothing passes between those struck and the other gateways",
	"mute":   "nothing passes from those struck to the others",
	"deaf":   "nothing passes from the others to those struck",
	"lose":   "a part of Factor of all datagrams is lost",
	"slow":   "datagrams take up to Factor milliseconds more, and pass each other",
}

// Check tells what is wrong with it.
func (s *Spec) Check() error {
	workers := 0
	for i := range s.Groups {
		if err := s.Groups[i].Params.Check(); err != nil {
			return fmt.Errorf("workers %q: %w", s.Groups[i].Name, err)
		}
		workers += s.Groups[i].Count
	}
	switch {
	case s.For <= 0 || s.Warm < 0 || s.Warm >= s.For:
		return fmt.Errorf("for %d us, warm %d us: expected some time, and less to warm up", s.For, s.Warm)
	case s.Gateways < 1 || s.Gateways > 10_000 || workers < 1 || workers > 100_000:
		return fmt.Errorf("%d gateways, %d workers: expected 1 or more, and not too many", s.Gateways, workers)
	case len(s.Streams) == 0:
		return fmt.Errorf("no traffic")
	case s.Near < 0 || s.Far < 0 || s.PollWait <= 0:
		return fmt.Errorf("times on the way, of a poll: expected 0 or more, and above 0")
	}
	classes := map[string]bool{}
	for _, c := range s.Settings.Classes {
		classes[c.Name] = true
	}
	for _, t := range s.Streams {
		switch {
		case !classes[t.Class]:
			return fmt.Errorf("traffic of class %q, which the settings do not have", t.Class)
		case !(t.PerS > 0 && t.PerS < 1e7 && t.Turns >= 1 && t.Think >= 0 && t.Prompt >= 1 && t.Answer >= 1 && t.Spread >= 0 && t.Spread < 4) || t.MaxOut < 1:
			return fmt.Errorf("traffic of %q: rates, turns, lengths: expected above 0", t.Class)
		}
	}
	for _, f := range s.Faults {
		if _, ok := Faults[f.Kind]; !ok {
			return fmt.Errorf("fault %q: not known", f.Kind)
		}
		if f.At < 0 || f.For < 0 || f.Worker >= workers {
			return fmt.Errorf("fault %q: its time or its worker does not exist", f.Kind)
		}
	}
	return nil
}

// sim is one run.
type sim struct {
	s        *Spec
	e        *engine.Engine
	gateways []*gateway
	workers  []*host
	version  int64
	changed  []change      // the registry's log
	deaf     bool          // the registry does not answer
	askFree  choice.Micros // when it has worked off the calls that came
	net      *rand.Rand
	traffic  []*traffic
	zones    []string
	kinds    []string
	burst    float64
	hot      float64
	jobs     uint64
	res      *Result
}

type change struct {
	version int64
	member  choice.Member
}

// host is a worker at an address.
type host struct {
	no     int
	group  *Group
	w      *worker.Worker
	state  choice.MemberState
	since  choice.Micros
	life   int // counts its starts
	silent bool
	hung   []*attempt // what it had when its machine vanished
	slow   float64
	jobs   map[uint64]*attempt
	wake   choice.Micros
	zone   string
}

// start is when virtual time begins: above 0, for 0 says 'long ago'.
const start choice.Micros = 1_000_000_000

// Run plays a run to its end.
func Run(s *Spec) (*Result, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	x := &sim{s: s, e: engine.New(s.Seed, start), burst: 1, res: NewResult(s)}
	x.net = x.e.Rand("net")
	zones, kinds := []string{}, []string{}
	for i := range s.Groups {
		g := &s.Groups[i]
		if !slices.Contains(zones, g.Zone) {
			zones = append(zones, g.Zone)
		}
		if !slices.Contains(kinds, g.Name) {
			kinds = append(kinds, g.Name)
		}
		for range g.Count {
			h := &host{no: len(x.workers), group: g, slow: 1, zone: g.Zone, jobs: map[uint64]*attempt{}}
			h.w = worker.New(g.Params, start-3600_000_000)
			x.workers = append(x.workers, h)
		}
	}
	x.version, x.zones, x.kinds = 1, zones, kinds
	for i := range s.Gateways {
		g, err := x.newGateway(i, zones, kinds)
		if err != nil {
			return nil, err
		}
		x.gateways = append(x.gateways, g)
	}
	for _, g := range x.gateways {
		g.start()
	}
	for i := range s.Streams {
		x.begin(i)
	}
	for _, f := range s.Faults {
		x.fault(f)
	}
	x.e.Run(start + s.For)
	x.res.Events = x.e.Done
	for _, h := range x.workers {
		x.res.addWorker(h.w)
	}
	for _, g := range x.gateways {
		if err := g.close(); err != nil {
			return nil, err
		}
	}
	x.res.Finish()
	return x.res, nil
}

// way is how long a message takes between two zones.
func (x *sim) way(a, b string) choice.Micros {
	d := x.s.Near
	if a != b {
		d = x.s.Far
	}
	return choice.Micros(float64(d) * (0.8 + 0.4*x.net.Float64()))
}

// The registry.

func (x *sim) tell(h *host, state choice.MemberState) {
	h.state = state
	x.version++
	x.changed = append(x.changed, change{x.version, x.member(h)})
	for _, g := range x.gateways {
		g.changed()
	}
}

func (x *sim) member(h *host) choice.Member {
	return choice.Member{Replica: choice.ReplicaID(h.no + 1), State: h.state, Weight: h.group.Weight, Kind: h.group.Name, Zone: h.zone, Since: h.since}
}

// Faults.

func (x *sim) fault(f Fault) {
	var hosts []*host
	for _, h := range x.workers {
		if (f.Worker < 0 || f.Worker == h.no) && (f.Zone == "" || f.Zone == h.zone) {
			hosts = append(hosts, h)
		}
	}
	begin := func(choice.Micros) {
		switch f.Kind {
		case "registry":
			x.deaf = true
		case "restart":
			for i := range x.gateways {
				if float64(i%100) < 100*f.Factor || f.Factor >= 1 {
					x.gateways[i].kill(f.For)
				}
			}
		case "lose":
			for _, g := range x.gateways {
				if f.Zone != "" && g.zone == f.Zone && f.Worker < 0 {
					g.kill(f.For)
				}
			}
		case "burst":
			x.burst = f.Factor
		case "hot":
			x.hot = f.Factor
		}
		for _, h := range hosts {
			switch f.Kind {
			case "slow":
				h.w.Slow(f.Factor)
			case "kill":
				x.kill(h)
			case "lose":
				x.lose(h, choice.Micros(f.Factor*1e6))
			case "drain":
				x.tell(h, choice.MemberDraining)
			case "silent":
				h.silent = true
			case "flush":
				h.w.Flush()
			}
		}
	}
	end := func(now choice.Micros) {
		switch f.Kind {
		case "registry":
			x.deaf = false
			for _, g := range x.gateways {
				g.changed()
			}
		case "burst":
			x.burst = 1
		case "hot":
			x.hot = 0
		}
		for _, h := range hosts {
			switch f.Kind {
			case "slow":
				h.w.Slow(1)
			case "kill":
				x.revive(now, h)
			case "lose":
				x.hangUp(h)
				h.silent = false
				x.revive(now, h)
			case "drain":
				x.tell(h, choice.MemberReady)
			case "silent":
				h.silent = false
			}
		}
	}
	x.e.At(start+f.At, begin)
	if f.For > 0 {
		x.e.At(start+f.At+f.For, end)
	}
}

// kill ends a worker: its connections break, and the registry learns of it a little
// later.
func (x *sim) kill(h *host) {
	h.life++
	for _, id := range sorted(h.jobs) {
		h.jobs[id].reset()
	}
	clear(h.jobs)
	h.w, h.wake = nil, 0
	life := h.life
	x.e.After(500_000, func(choice.Micros) {
		if h.life == life && h.w == nil {
			x.tell(h, choice.MemberGone)
		}
	})
}

// lose takes a worker's machine away: what it had stays open and silent until the gateways
// give it up, or the machine is back.
func (x *sim) lose(h *host, told choice.Micros) {
	h.life++
	for _, id := range sorted(h.jobs) {
		h.hung = append(h.hung, h.jobs[id])
	}
	clear(h.jobs)
	h.w, h.wake, h.silent = nil, 0, true
	life := h.life
	x.e.After(told, func(choice.Micros) {
		if h.life == life {
			x.tell(h, choice.MemberGone)
		}
	})
	x.e.After(stall, func(choice.Micros) {
		if h.life == life {
			x.hangUp(h)
		}
	})
}

// stall is how long a gateway waits for the next event of a stream.
const stall choice.Micros = 4_000_000

func (x *sim) hangUp(h *host) {
	for _, a := range h.hung {
		a.reset()
	}
	h.hung = nil
}

func (x *sim) revive(now choice.Micros, h *host) {
	h.life++
	h.since = now
	h.w = worker.New(h.group.Params, now+h.group.Params.Start)
	x.e.After(h.group.Params.Start, func(choice.Micros) { x.tell(h, choice.MemberReady) })
}

// sorted are a map's keys in their order, that each run goes by them alike.
func sorted[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// drive has the worker's next step end when it does.
func (x *sim) drive(h *host) {
	at := h.w.Next()
	if at == 0 || at == h.wake {
		return
	}
	h.wake = at
	life := h.life
	x.e.At(at, func(now choice.Micros) {
		if h.life != life || h.wake != at {
			return
		}
		h.wake = 0
		for _, ev := range h.w.Advance(now) {
			if a := h.jobs[ev.Job]; a != nil {
				a.happened(ev)
			}
		}
		x.drive(h)
	})
}

// attempt is one attempt at a worker.
type attempt struct {
	g     *gateway
	r     *request
	n     int
	h     *host
	id    uint64
	life  int
	sent  choice.Micros
	over  bool // its outcome was told
	kept  int
	made  int
	first bool
	// When the news of its first token comes: what follows does not overtake it.
	firstComes choice.Micros
}

// report is the worker's load as it stands.
func (h *host) report() choice.Report {
	if h.w == nil {
		return choice.Report{}
	}
	running, waiting, memory, unread := h.w.Load()
	return choice.Report{Has: choice.HasInFlight | choice.HasQueued | choice.HasMemory | choice.HasUnread, InFlight: float64(running + waiting),
		Queued: float64(waiting), MemoryShare: memory, UnreadK: float64(unread) / 1000}
}

// arrive is the request at the worker.
func (a *attempt) arrive(now choice.Micros) {
	h := a.h
	a.life = h.life
	if h.silent {
		return
	}
	if h.w == nil {
		a.tell(choice.ConnectFailed, choice.Report{})
		return
	}
	r := a.r
	out := r.out
	if !h.w.Offer(now, worker.Job{ID: a.id, Prompt: r.in.PromptTokens, Out: out, Prefix: r.in.Prefix, Shared: r.in.PrefixTokens, Session: r.in.Session}) {
		a.tell(choice.Shed, h.report())
		return
	}
	h.jobs[a.id] = a
	a.g.x.drive(h)
}

// happened is news of the worker.
func (a *attempt) happened(ev worker.Event) {
	switch ev.Kind {
	case worker.First:
		a.kept = ev.Kept
		x := a.g.x
		a.firstComes = x.e.Now() + x.way(a.h.zone, a.g.zone)
		x.e.At(a.firstComes, func(now choice.Micros) { a.g.opened(now, a) })
	case worker.Done:
		a.made = ev.Made
		delete(a.h.jobs, a.id)
		a.tell(choice.Served, a.h.report())
	}
}

// reset is the end of the worker.
func (a *attempt) reset() { a.tell(choice.ConnBroken, choice.Report{}) }

// tell has the gateway learn the outcome, one way later.
func (a *attempt) tell(status choice.Status, rep choice.Report) {
	x := a.g.x
	at := max(x.e.Now()+x.way(a.h.zone, a.g.zone), a.firstComes)
	x.e.At(at, func(now choice.Micros) { a.g.ended(now, a, status, rep) })
}

// cancel leaves the worker: it learns of it one way later.
func (a *attempt) cancel() {
	x, h := a.g.x, a.h
	x.e.After(x.way(a.h.zone, a.g.zone), func(now choice.Micros) {
		if h.w != nil && h.life == a.life && h.jobs[a.id] == a {
			delete(h.jobs, a.id)
			h.w.Cancel(a.id)
		}
	})
}

// Gateways.

type gateway struct {
	x        *sim
	no       int
	zone     string
	b        *choice.Balancer
	m        capture.Module
	view     *subset.View
	book     *contract.Book
	books    capture.Books
	rec      *capture.Recorder
	writer   *capture.Writer
	requests map[choice.RequestID]*request
	next     choice.RequestID
	seen     int64 // the registry's version that it has
	waiting  bool  // a watch is out
	watch    int   // counts them
	timers   capture.Timers
	rng      *rand.Rand
	dead     bool // killed: what comes for it is nobody's
	lives    int
}

// askLimit is how long a call may wait for its turn at the registry.
const askLimit choice.Micros = 2_000_000

// request is one at a gateway.
type request struct {
	in       choice.Request
	traffic  *traffic
	session  *Session
	tried    int // by the client, before
	sentAt   choice.Micros
	deadline choice.Micros
	out      int
	attempts []*attempt
	bound    *attempt
	done     bool
	firstAt  choice.Micros
	charge   contract.Charge
	charges  map[int]*contract.Charge
	thought  contract.Use
	over     bool
	counted  bool
	wasted   int // attempts that may have run and served nobody
}

// kill ends a gateway at once, with all that it has in hand, and has it come back with
// the list that it had.
func (g *gateway) kill(after choice.Micros) {
	x := g.x
	if g.dead || x.s.Capture != "" { // a recording has one life
		return
	}
	g.dead = true
	for _, id := range sorted(g.requests) {
		r := g.requests[id]
		for _, a := range r.attempts {
			if !a.over {
				a.over = true
				a.cancel()
			}
		}
		if !r.done {
			r.done = true
			x.ends(x.e.Now(), r, "broken", 0)
		}
	}
	x.e.After(max(1, after), func(choice.Micros) {
		next, err := x.newGateway(g.no, x.zones, x.kinds)
		if err != nil {
			panic(err) // the same settings were good before
		}
		next.lives, next.seen = g.lives+1, g.seen
		x.gateways[g.no] = next
		next.start()
	})
}

func (x *sim) newGateway(i int, zones, kinds []string) (*gateway, error) {
	s := x.s.Settings
	s.Self, s.Gateways, s.Zones, s.Kinds = i, x.s.Gateways, zones, kinds
	s.Zone = zones[i%len(zones)]
	g := &gateway{x: x, no: i, zone: s.Zone, requests: map[choice.RequestID]*request{}, next: 1, timers: capture.Timers{}, rng: x.e.Rand(fmt.Sprint("gateway", i))}
	seed := g.rng.Uint64()
	var err error
	if g.b, err = choice.New(s, seed, g); err != nil {
		return nil, err
	}
	g.m = g.b
	g.view = subset.NewView(subset.Settings{Most: x.s.Subset, Index: i, Zone: s.Zone, Remote: subset.DefaultRemote,
		Weighted: s.Weights == choice.WeightNominal, ColdFor: s.ColdFor}, g.b)
	if len(x.s.Contracts) > 0 {
		if g.book, err = contract.New(x.s.Book, x.s.Contracts, start, start); err != nil {
			return nil, err
		}
		parts := make([]float64, len(x.s.Contracts))
		for i := range parts {
			parts[i] = 1 / float64(x.s.Gateways)
		}
		g.book.SetParts(start, parts)
		g.books = capture.Plain{Book: g.book}
	}
	if x.s.Capture != "" {
		name := fmt.Sprintf("gateway%d", i)
		if g.writer, err = capture.NewWriter(capture.Limits{Directory: filepath.Join(x.s.Capture, name), Gateway: name, Build: "model", Seed: seed, Queue: 8,
			Wait: true, KeepSize: math.MaxInt64, KeepAge: math.MaxInt64}); err != nil {
			return nil, err
		}
		g.rec = capture.Record(start, g.b, g.book, g, g.writer, capture.Host{Timers: g.timers.Pending, Charges: g.open},
			capture.Options{Checkpoint: 15 * time.Second, Block: 64 << 10, Flush: time.Minute, SegmentSize: 64 << 20, SegmentAge: time.Hour})
		g.m = g.rec
		if g.book != nil {
			g.books = g.rec
		}
	}
	return g, nil
}

func (g *gateway) close() error {
	if g.rec != nil {
		g.rec.Close()
		g.writer.Close()
	}
	return nil
}

func (g *gateway) start() {
	now := g.x.e.Now()
	g.m.Start(now)
	list := choice.ServerList{Kind: choice.ListFull, Version: g.x.version}
	for _, h := range g.x.workers {
		list.Members = append(list.Members, g.x.member(h))
	}
	if !g.waiting { // its turn at the registry has not come
		list.Kind = choice.ListSaved
	}
	if g.lives == 0 {
		g.seen = g.x.version
	} else { // what has changed since it does not know
		for _, c := range g.x.changed {
			if c.version > g.seen {
				list.Members[c.member.Replica-1].State = choice.MemberReady
				list.Members[c.member.Replica-1].Since = 0
			}
		}
	}
	g.m.ListChanged(now, g.view.Apply(now, list))
}

// changed answers a watch that is out.
func (g *gateway) changed() {
	if g.waiting && !g.x.deaf && g.seen < g.x.version {
		g.waiting = false
		g.x.e.After(2*g.x.s.Near, func(now choice.Micros) { g.answer(now) })
	}
}

func (g *gateway) answer(now choice.Micros) {
	if g.dead {
		return
	}
	l := choice.ServerList{Kind: choice.ListDelta, Version: g.x.version}
	for _, c := range g.x.changed {
		if c.version > g.seen {
			l.Members = append(l.Members, c.member)
		}
	}
	g.seen = g.x.version
	g.m.ListChanged(now, g.view.Apply(now, l))
	g.waiting = true // the gateway's watch goes on by itself
	g.watched()
}

// WatchRegistry: choice.Sink.
func (g *gateway) WatchRegistry() {
	if g.waiting {
		return
	}
	g.waiting = true
	if each := g.x.s.AskEach; each > 0 {
		// Calls are answered in turn; it works for those too that it then fails.
		now := g.x.e.Now()
		g.x.askFree = max(g.x.askFree, now) + each
		if g.x.askFree > now+askLimit {
			g.x.res.AsksFailed++
			g.x.e.After(askLimit, func(now choice.Micros) {
				if g.waiting = false; !g.dead {
					g.m.ListChanged(now, choice.ServerList{Kind: choice.ListFailed})
				}
			})
			return
		}
		g.x.e.At(g.x.askFree, func(choice.Micros) { g.watched() })
		return
	}
	g.watched()
}

// watched is a watch that has begun.
func (g *gateway) watched() {
	g.watch++
	watch := g.watch
	g.x.e.After(0, func(choice.Micros) { g.changed() })
	g.x.e.After(g.x.s.PollWait, func(now choice.Micros) {
		if !g.waiting || g.watch != watch {
			return
		}
		g.waiting = false
		if g.x.deaf && !g.dead {
			g.m.ListChanged(now, choice.ServerList{Kind: choice.ListFailed})
			return
		}
		g.answer(now)
	})
}

func (g *gateway) open() (out []contract.Open) {
	for id, r := range g.requests {
		if r.charge.Open() {
			out = append(out, contract.Open{Key: capture.ChargeKey(id, 0), Charge: &r.charge})
		}
		for n, c := range r.charges {
			if c.Open() {
				out = append(out, contract.Open{Key: capture.ChargeKey(id, n), Charge: c})
			}
		}
	}
	return out
}

// SetTimer: choice.Sink.
func (g *gateway) SetTimer(delay choice.Micros, token uint64) {
	at := g.x.e.Now() + delay
	g.timers.Set(at, token)
	g.x.e.At(at, func(now choice.Micros) {
		if g.dead {
			return
		}
		g.timers.Fired(token)
		g.m.TimerFired(now, token)
	})
}

// arrive is a request of a client.
func (g *gateway) arrive(now choice.Micros, r *request) {
	if g.dead {
		g.x.ends(now, r, "failed", 0)
		return
	}
	for g.requests[g.next] != nil || g.next == 0 {
		g.next++
	}
	r.in.ID = g.next
	g.next++
	r.in.TimeLeft = r.deadline - now
	g.requests[r.in.ID] = r
	if g.books != nil {
		v := g.books.Charge(now, &r.in, 0, &r.charge)
		g.book.Notices()
		if v.Refuse {
			r.done = true
			g.x.ends(now, r, "contract", v.RetryAfter)
			g.forget(r)
			return
		}
		r.in.Factor, r.over, r.thought = max(1e-6, v.Worth), v.Over, r.charge.Thought
	}
	g.x.e.At(r.deadline, func(now choice.Micros) { g.leave(now, r) })
	if home, tell := g.view.Home(now, &r.in); tell {
		g.m.ListChanged(now, home)
	}
	g.m.RequestArrived(now, r.in)
}

// leave is a client whose patience has ended before its first token.
func (g *gateway) leave(now choice.Micros, r *request) {
	if r.done || r.bound != nil {
		return
	}
	r.done = true
	g.m.ClientGone(now, r.in.ID)
	for _, a := range r.attempts {
		if !a.over {
			a.over = true
			a.cancel()
			g.outcome(now, a, choice.Cancelled, choice.Report{})
		}
	}
	g.x.ends(now, r, "late", 0)
	g.forget(r)
}

func (g *gateway) forget(r *request) {
	if !r.done {
		return
	}
	for _, a := range r.attempts {
		if !a.over {
			return
		}
	}
	if g.books != nil {
		g.books.Settle(g.x.e.Now(), r.in.ID, 0, &r.charge, contract.Use{}, false)
	}
	delete(g.requests, r.in.ID)
}

// Dispatch: choice.Sink.
func (g *gateway) Dispatch(id choice.RequestID, to choice.ReplicaID, cutAt choice.Micros) {
	r, now := g.requests[id], g.x.e.Now()
	if r == nil || r.done || r.bound != nil {
		return
	}
	h := g.x.workers[to-1]
	g.x.jobs++
	a := &attempt{g: g, r: r, n: len(r.attempts), h: h, id: g.x.jobs, sent: now}
	r.attempts = append(r.attempts, a)
	if g.books != nil {
		c := &contract.Charge{}
		if a.n == 0 {
			*c, r.charge = r.charge, contract.Charge{}
		} else if v := g.books.Charge(now, &r.in, a.n, c); v.Refuse {
			g.x.e.After(0, func(now choice.Micros) { g.ended(now, a, choice.NotSent, choice.Report{}) })
			return
		}
		if r.charges == nil {
			r.charges = map[int]*contract.Charge{}
		}
		r.charges[a.n] = c
	}
	if cutAt <= 0 || cutAt > r.deadline {
		cutAt = r.deadline
	}
	g.x.e.At(cutAt, func(now choice.Micros) {
		if !a.over && r.bound != a && !r.done {
			a.cancel()
			g.ended(now, a, choice.TimedOut, choice.Report{})
		}
	})
	g.x.e.After(g.x.way(g.zone, h.zone)+h.group.Params.Connect, a.arrive)
}

// opened is a first token that has come.
func (g *gateway) opened(now choice.Micros, a *attempt) {
	r := a.r
	if a.over || a.first {
		return
	}
	a.first = true
	if r.done || r.bound != nil { // nobody's any more
		a.cancel()
		g.ended(now, a, choice.Cancelled, choice.Report{})
		return
	}
	r.bound, r.firstAt = a, now
	g.m.FirstToken(now, choice.Outcome{ID: r.in.ID, Attempt: a.n, Replica: choice.ReplicaID(a.h.no + 1), Elapsed: now - a.sent})
}

func (g *gateway) ended(now choice.Micros, a *attempt, status choice.Status, rep choice.Report) {
	if a.over {
		return
	}
	a.over = true
	r := a.r
	if status == choice.Served && r.bound != a {
		status = choice.Cancelled
	}
	final := r.bound == a
	if final {
		r.done = true
	}
	g.outcome(now, a, status, rep)
	if final {
		if status == choice.Served {
			g.x.ends(now, r, "served", 0)
		} else {
			g.x.ends(now, r, "broken", 0)
		}
	}
	g.forget(r)
}

// outcome settles an attempt and tells the module.
func (g *gateway) outcome(now choice.Micros, a *attempt, status choice.Status, rep choice.Report) {
	r := a.r
	if c := r.charges[a.n]; c != nil {
		used := c.Used(status, r.in.PromptTokens, a.kept, a.made)
		g.books.Settle(now, r.in.ID, a.n, c, used, status == choice.Served)
		g.book.Notices()
	}
	if !status.NeverRan() && status != choice.Served {
		r.wasted++
		if r.counted && r.sentAt-start >= g.x.s.Warm { // it ended after its request did
			g.x.res.Wasted++
		}
	}
	g.m.AttemptEnded(now, choice.Outcome{ID: r.in.ID, Attempt: a.n, Replica: choice.ReplicaID(a.h.no + 1), Status: status, Elapsed: now - a.sent,
		Final: r.done, Kept: a.kept, Tokens: a.made, Report: rep})
}

// Refuse: choice.Sink.
func (g *gateway) Refuse(id choice.RequestID, after choice.Micros) { g.giveUp(id, "refused", after) }

// Fail: choice.Sink.
func (g *gateway) Fail(id choice.RequestID) { g.giveUp(id, "failed", 0) }

func (g *gateway) giveUp(id choice.RequestID, how string, after choice.Micros) {
	r, now := g.requests[id], g.x.e.Now()
	if r == nil || r.done || r.bound != nil {
		return
	}
	r.done = true
	if g.books != nil {
		g.books.Settle(now, id, 0, &r.charge, contract.Use{}, false)
		g.books.TurnedAway(now, &r.in, r.thought, r.over)
	}
	g.x.ends(now, r, how, after)
	g.x.e.After(0, func(choice.Micros) { g.forget(r) })
}

// Cancel: choice.Sink.
func (g *gateway) Cancel(id choice.RequestID, n int) {
	r := g.requests[id]
	if r == nil || n >= len(r.attempts) || r.attempts[n] == r.bound || r.attempts[n].over {
		return
	}
	a := r.attempts[n]
	a.cancel()
	g.x.e.After(0, func(now choice.Micros) { g.ended(now, a, choice.Cancelled, choice.Report{}) })
}

// Probe: choice.Sink.
func (g *gateway) Probe(to choice.ReplicaID) {
	g.x.res.Probes++
	h, began := g.x.workers[to-1], g.x.e.Now()
	g.x.e.After(g.x.way(g.zone, h.zone), func(choice.Micros) {
		o := choice.Outcome{Replica: to, Status: choice.Served, Report: h.report()}
		if h.w == nil && !h.silent {
			o.Status = choice.ConnectFailed
		}
		back := g.x.way(h.zone, g.zone)
		if h.silent { // as the gateway gives a probe up
			o.Status, o.Report, back = choice.TimedOut, choice.Report{}, 250_000
		}
		g.x.e.After(back, func(now choice.Micros) {
			if o.Elapsed = now - began; !g.dead {
				g.m.ProbeEnded(now, o)
			}
		})
	})
}

// TellPeers: choice.Sink. The gateways here do not talk.
func (g *gateway) TellPeers([]byte) {}
