package conf

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"archknot/choice"
	"archknot/internal/contract"
	"archknot/internal/fleet/model"
)

// Plan is an experiment: a fleet and its traffic, and what is varied about them.
// Each variant is tried with each workload and each seed.
type Plan struct {
	File      string
	Seeds     int
	Variants  []Variant // at least one
	Workloads []Variant // at least one
	base      []entry
}

// Variant changes some settings of a plan.
type Variant struct {
	Name  string
	Build string  // another build's program that is to run it; "": this one
	sets  []entry // settings in the place of the plan's, or beside them
}

// LoadPlan reads a plan and checks it with all its variants and workloads. The
// error is of type Problems and names all that is wrong.
func LoadPlan(file string) (*Plan, error) {
	var r reader
	r.file(file, "", posNone)
	p := &Plan{File: file, Seeds: 1}
	for _, e := range r.entries {
		switch {
		case e.section == "variant" || e.section == "workload":
			p.variant(&r, e)
		case e.section == "run" && e.set.Key == "seeds":
			k := count("seeds", &p.Seeds, "1", 1, 10_000, "")
			if err := k.set(e.set.words()); err != nil {
				r.problem(e.file, e.set.valuePos(), "run.seeds", "%v", err)
			}
		default:
			p.base = append(p.base, e)
		}
	}
	if len(p.Variants) == 0 {
		p.Variants = []Variant{{Name: "base"}}
	}
	if len(p.Workloads) == 0 {
		p.Workloads = []Variant{{Name: "base"}}
	}
	if len(r.problems) == 0 {
		for _, v := range p.Variants {
			for _, w := range p.Workloads {
				_, problems := p.bind(v, w)
				for _, one := range problems {
					if !slices.ContainsFunc(r.problems, func(q *Problem) bool { return *q == *one }) {
						r.problems = append(r.problems, one)
					}
				}
			}
		}
	}
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return p, nil
}

// variant enters a line of a [variant NAME] or [workload NAME] section.
func (p *Plan) variant(r *reader, e entry) {
	list := &p.Variants
	if e.section == "workload" {
		list = &p.Workloads
	}
	if e.label == "" || strings.ContainsAny(e.label, "/\\ ") {
		r.problem(e.file, e.sectionPos, e.section, "expected [%s NAME], without spaces and slashes", e.section)
		return
	}
	i := slices.IndexFunc(*list, func(v Variant) bool { return v.Name == e.label })
	if i < 0 {
		i = len(*list)
		*list = append(*list, Variant{Name: e.label})
	}
	v := &(*list)[i]
	words := e.set.Values
	switch {
	case e.set.Key == "base" && len(words) == 0:
	case e.set.Key == "build" && e.section == "variant" && len(words) == 1:
		v.Build = words[0].Text
	case e.set.Key == "set" && len(words) >= 2:
		parts := strings.Split(words[0].Text, ".")
		if len(parts) != 2 && len(parts) != 3 {
			r.problem(e.file, words[0].Pos, e.section+" "+e.label+".set", "expected section.key or section.label.key, got %q", words[0].Text)
			return
		}
		one := entry{section: parts[0], sectionPos: words[0].Pos, file: e.file,
			set: &setting{Pos: words[0].Pos, Key: parts[len(parts)-1], Values: words[1:]}}
		if len(parts) == 3 {
			one.label = parts[1]
		}
		v.sets = append(v.sets, one)
	default:
		r.problem(e.file, e.set.Pos, e.section+" "+e.label+"."+e.set.Key, "expected `set section.key value`, `build FILE` or `base`")
	}
}

// Spec is what one variant, workload and seed make.
func (p *Plan) Spec(v, w Variant, seed uint64) (*model.Spec, error) {
	s, problems := p.bind(v, w)
	if len(problems) > 0 {
		return nil, problems
	}
	s.Seed = seed
	return s, nil
}

// bind makes a specification of the plan's lines, with those of a workload and then
// of a variant in their place.
func (p *Plan) bind(v, w Variant) (*model.Spec, Problems) {
	var r reader
	entries := slices.Clone(p.base)
	for _, e := range append(slices.Clone(w.sets), v.sets...) {
		at := -1
		for i, b := range entries {
			if b.section == e.section && b.label == e.label {
				if at = i; b.set.Key == e.set.Key {
					break
				}
			}
		}
		switch {
		case at < 0 && e.label == "" && slices.Contains(unlabelled, e.section): // all have their defaults
			entries = append(entries, e)
		case at < 0:
			r.problem(e.file, e.sectionPos, e.section, "the plan has no section [%s]", strings.TrimSpace(e.section+" "+e.label))
		case entries[at].set.Key == e.set.Key && !slices.Contains(contractRepeats, e.set.Key):
			entries[at] = e
		default:
			entries = slices.Insert(entries, at+1, e)
		}
	}
	b := binder{s: defaultSpec(), r: &r, seen: map[string]entry{}, keys: map[string][]key{}}
	for _, e := range entries {
		b.entry(e)
	}
	if len(r.problems) == 0 {
		b.finish()
		if err := b.s.Check(); err != nil {
			r.problem(p.File, posNone, "", "%v", err)
		}
	}
	return b.s, r.problems
}

func defaultSpec() *model.Spec {
	s := &model.Spec{}
	s.Settings = choice.Settings{ReportSource: choice.ReportInline, PollDiscovery: true, Tick: 2000, MayCancel: true, MayHedge: true, MaxAttempts: 3,
		InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 8_000_000, OverloadWindow: 1_500_000, StreamsPerConn: 1, ConnIdleTimeout: 60_000_000, OverQuotaWeight: 0.05}
	return s
}

// binder enters the lines of a plan into a specification.
type binder struct {
	s       *model.Spec
	r       *reader
	seen    map[string]entry
	keys    map[string][]key // by section and label
	classes []*choice.Class
	tenants []*choice.Tenant
	groups  []*model.Group
	streams []*model.Stream
	faults  []*model.Fault
	strikes []*model.Strike
	effects []*string // by class
	book    Contracts
	reports string
}

// unlabelled are the sections that there is one of.
var unlabelled = []string{"run", "network", "gateway", "contracts", "drill"}

var planSections = []string{"run", "network", "gateway", "class", "tenant", "workers", "traffic", "fault", "contracts", "contract", "drill", "strike", "variant", "workload"}

func (b *binder) entry(e entry) {
	at := strings.TrimSpace(e.section + " " + e.label)
	full := at + "." + e.set.Key
	if e.section == "contract" {
		b.book.entry(b.r, e, b.seen)
		return
	}
	keys, ok := b.keys[at]
	if !ok {
		if keys = b.section(e.section, e.label); keys == nil {
			switch {
			case !slices.Contains(planSections, e.section):
				b.r.problem(e.file, e.sectionPos, at, "no section [%s] in a plan%s", e.section, nearest(e.section, planSections))
			case e.label == "":
				b.r.problem(e.file, e.sectionPos, at, "expected [%s NAME]", e.section)
			default:
				b.r.problem(e.file, e.sectionPos, at, "this section has no label")
			}
			return
		}
		b.keys[at] = keys
		for _, k := range keys {
			if k.otherwise != "" {
				if err := k.set([]string{k.otherwise}); err != nil {
					panic(at + "." + k.name + ": its default: " + err.Error())
				}
			}
		}
	}
	b.r.assign(keys, e, full, b.seen)
}

// timed is a duration that is kept in another measure.
func timed(name, otherwise string, least, most time.Duration, doc string, set func(time.Duration)) key {
	var d time.Duration
	k := duration(name, &d, otherwise, least, most, doc)
	read := k.set
	k.set = func(words []string) error {
		err := read(words)
		if err == nil {
			set(d)
		}
		return err
	}
	return k
}

// micros is a time on the module's clock.
func micros(name string, to *choice.Micros, otherwise string, least, most time.Duration, doc string) key {
	return timed(name, otherwise, least, most, doc, func(d time.Duration) { *to = d.Microseconds() })
}

// microsF is one in parts of a microsecond.
func microsF(name string, to *float64, otherwise string, doc string) key {
	return timed(name, otherwise, 0, time.Minute, doc, func(d time.Duration) { *to = float64(d.Nanoseconds()) / 1000 })
}

// seconds is one in seconds.
func seconds(name string, to *float64, otherwise, doc string) key {
	return timed(name, otherwise, 0, 24*time.Hour, doc, func(d time.Duration) { *to = d.Seconds() })
}

func text(name string, to *string, otherwise, doc string) key {
	return bind(name, "name", to, otherwise, doc, func(s string) (string, error) { return s, nil }, func(s string) string { return s })
}

// section is the keys of one, bound to a new part of the specification; nil if
// there is none of that name with, or without, a label.
func (b *binder) section(name, label string) []key {
	s := b.s
	const hour = time.Hour
	if slices.Contains([]string{"class", "tenant", "workers", "traffic", "fault", "strike"}, name) != (label != "") {
		return nil
	}
	switch name {
	case "run":
		return []key{micros("for", &s.For, "60s", time.Second, 24*hour, "virtual time of a run"),
			micros("warm", &s.Warm, "5s", 0, hour, "what is sent before is not counted"),
			micros("window", &s.Window, "10s", time.Second, hour, "the spans that are told apart"),
			count("gateways", &s.Gateways, "3", 1, 10_000, "how many"), count("subset", &s.Subset, "0", 0, 10_000, "replicas that a gateway works with; 0: all")}
	case "network":
		return []key{micros("near", &s.Near, "250us", 0, time.Second, "one way within a zone"),
			micros("far", &s.Far, "10ms", 0, time.Second, "one way between two zones"),
			micros("poll", &s.PollWait, "10s", 10*time.Millisecond, hour, "what a watch of the registry waits at most")}
	case "gateway":
		g := &s.Settings
		return []key{count("attempts", &g.MaxAttempts, "3", 1, 3, "of a request, whatever kind"), onOff("second-copies", &g.MayHedge, "on", "hedging"),
			onOff("probe", &g.MayHealthCheck, "off", "may ask workers for their load"), onOff("cancel", &g.MayCancel, "on", "may call an attempt off"),
			onOff("retry-after", &g.RetryAfter, "on", "refusals advise when to come back"),
			micros("retry-after-most", &g.MaxRetryAfter, "2s", 0, hour, "the most that is advised"),
			factor("over-share-worth", &g.OverQuotaWeight, "0.05", 0, 1, "beyond a tenant's quota"),
			factor("hedge-share", &g.HedgeRatio, "0", 0, 1, "second copies a request; 0: the module's own"),
			factor("retry-share", &g.RetryRatio, "0", 0, 1, "retries a request; 0: the module's own"),
			choiceOf("reports", &b.reports, "inline", "how workers tell their load", "inline", "none"),
			micros("cold-for", &g.SlowStartFor, "8s", 0, hour, "how long a worker counts as cold")}
	case "class":
		c := &choice.Class{Name: label}
		effect := new(string)
		b.classes, b.effects = append(b.classes, c), append(b.effects, effect)
		return []key{micros("aim", &c.LatencyObjective, "1s", 0, hour, "full worth for a first token within this"),
			micros("aim-per-1000", &c.ObjectivePer1000Tokens, "0s", 0, hour, "added for each 1,000 prompt tokens"),
			micros("token-aim", &c.TokenObjective, "300ms", 0, time.Minute, "for each token"),
			micros("deadline", &c.Deadline, "5s", time.Millisecond, hour, "the client's total wait"),
			factor("worth", &c.PriorityWeight, "1", 0, 1e6, "points"), factor("late-worth", &c.LateWeightShare, "0.3", 0, 1, "part of it after the aim"),
			onOff("stream", &c.Streaming, "on", "answers come as streams"),
			choiceOf("effect", effect, "repeatable", "whether it may run twice", "repeatable", "once")}
	case "tenant":
		t := &choice.Tenant{Name: label}
		b.tenants = append(b.tenants, t)
		return []key{factor("quota", &t.QuotaPerS, "0", 0, 1e9, "requests a second, over all gateways")}
	case "workers":
		g := &model.Group{Name: label}
		b.groups = append(b.groups, g)
		w := &g.Params
		return []key{text("zone", &g.Zone, "here", "where they are"), count("count", &g.Count, "1", 1, 100_000, "how many"),
			factor("weight", &g.Weight, "1", 0, 1e6, "in the registry's list"), count("slots", &w.Slots, "16", 1, 4096, "sequences that run at once"),
			count("queue", &w.Queue, "64", 0, 1<<20, "that may wait"), count("memory", &w.Memory, "100000", 16, 1<<30, "tokens of keys and values"),
			count("block", &w.Block, "16", 1, 4096, "tokens in a block"), count("chunk", &w.Chunk, "512", 1, 1<<20, "prompt tokens read in a step"),
			microsF("base", &w.Base, "8ms", "a step"), microsF("per-sequence", &w.PerSequence, "150us", "for each that makes a token"),
			microsF("per-context", &w.PerContext, "40us", "for each 1,000 tokens attended to"), microsF("per-prompt", &w.PerPrompt, "40ms", "for each 1,000 tokens read"),
			micros("start", &w.Start, "5s", 0, hour, "from a start until it takes work"), micros("cold", &w.ColdFor, "8s", 0, hour, "how long it is slower then"),
			factor("cold-slow", &w.ColdSlow, "3", 1, 1000, "so many times at first"), micros("connect", &w.Connect, "100us", 0, time.Second, "to set a connection up")}
	case "traffic":
		t := &model.Stream{}
		b.streams = append(b.streams, t)
		return []key{text("class", &t.Class, "", "of its requests"), text("tenant", &t.Tenant, label, "whose they are"),
			factor("rate", &t.PerS, "10", 0, 1e7, "requests a second"), factor("turns", &t.Turns, "1", 1, 1e4, "of a session, on average"),
			seconds("think", &t.Think, "5s", "between two turns, the median"), factor("prompt", &t.Prompt, "200", 1, 1e7, "new tokens in a turn, the median"),
			factor("answer", &t.Answer, "150", 1, 1e7, "tokens, the median"), factor("spread", &t.Spread, "0.6", 0, 3.9, "of both"),
			count("most", &t.MaxOut, "600", 1, 1<<24, "tokens of an answer"), count("prefixes", &t.Prefixes, "0", 0, 1<<20, "shared beginnings"),
			count("shared", &t.Shared, "0", 0, 1<<24, "tokens of them"), seconds("patience", &t.Patience, "0s", "to the first token; 0s: the class's deadline"),
			count("retries", &t.Retries, "0", 0, 100, "by clients, after a refusal"),
			count("rest", &t.Rest, "0", 0, 10, "asks for the rest of an answer that broke (the emulator alone)")}
	case "fault":
		f := &model.Fault{Worker: -1}
		b.faults = append(b.faults, f)
		kinds := make([]string, 0, len(model.Faults))
		for k := range model.Faults {
			kinds = append(kinds, k)
		}
		slices.Sort(kinds)
		return []key{micros("at", &f.At, "0s", 0, 24*hour, "when it begins"), micros("for", &f.For, "0s", 0, 24*hour, "how long; 0s: to the end"),
			choiceOf("kind", &f.Kind, kinds[0], "what goes wrong", kinds...), worker(&f.Worker), text("zone", &f.Zone, "", "of one zone alone"),
			factor("factor", &f.Factor, "1", 0, 1e6, "see the kinds")}
	case "drill":
		d := &s.Drill
		return []key{onOff("peers", &d.Peers, "on", "gateways go on with each other's work"), onOff("relays", &d.Relays, "on", "what they say to each other can be cut and slowed"),
			count("copies", &d.Copies, "5", 1, 8, "gateways that note each request"),
			count("records", &d.Records, "4096", 16, 100_000, "requests of others that a gateway notes at once"), count("sites", &d.Sites, "1", 1, 100, "gateways are dealt to so many"),
			count("memory", &d.Memory, "32", 16, 4096, "of a gateway, megabytes"), count("files", &d.Files, "256", 64, 65536, "its descriptors"),
			micros("settle", &d.Settle, "1500ms", 0, time.Minute, "from the last gateway's start to the traffic")}
	case "strike":
		x := &model.Strike{}
		b.strikes = append(b.strikes, x)
		return []key{micros("at", &x.At, "0s", 0, hour, "when"), micros("for", &x.For, "0s", 0, hour, "how long; 0s: to the end"),
			choiceOf("kind", &x.Kind, "kill", "what happens to the gateways", slices.Sorted(maps.Keys(model.Strikes))...),
			numbered("gateway", &x.Gateway, "one of them, by its place"), share("share", &x.Share, "0%", "so many of them, by chance"),
			numbered("site", &x.Site, "of one site, by its place"),
			choiceOf("when", &x.When, "at", "at a time, or when a request's first event, half or last event has come, or it was sent: at the gateway that serves it", "at", "sent", "first", "half", "last"),
			count("nth", &x.Nth, "1", 1, 1<<20, "which request"), factor("factor", &x.Factor, "1", 0, 1e6, "see the kinds")}
	case "contracts":
		return []key{zone("zone", &b.book.Zone, "UTC", "of days and quarters"), duration("pool", &b.book.Pool, "1s", 0, time.Minute, "what idle shares may save up"),
			factor("others", &b.book.Other, "0.05", -1, 1000, "the worth of tenants without a contract")}
	}
	return nil
}

func worker(to *int) key { return numbered("worker", to, "which, by its place") }

// numbered is one of some, by its place, or all of them.
func numbered(name string, to *int, doc string) key {
	return bind(name, "all|number", to, "all", doc, func(s string) (int, error) {
		if s == "all" {
			return -1, nil
		}
		v, err := strconv.Atoi(s)
		if err != nil || v < 0 {
			return 0, fmt.Errorf("expected all, or a number from 0, got %q", s)
		}
		return v, nil
	}, func(v int) string { return strconv.Itoa(v) })
}

func (b *binder) finish() {
	s := b.s
	for _, name := range unlabelled { // defaults of what is not there
		if b.keys[name] == nil {
			for _, k := range b.section(name, "") {
				if k.otherwise != "" {
					_ = k.set([]string{k.otherwise})
				}
			}
		}
	}
	s.Settings.ReportSource = choice.ReportInline
	if b.reports == "none" {
		s.Settings.ReportSource = choice.ReportNone
	}
	for i, c := range b.classes {
		if *b.effects[i] == "once" {
			c.Idempotency = choice.NonIdempotent
		}
		s.Settings.Classes = append(s.Settings.Classes, *c)
	}
	for _, t := range b.tenants {
		s.Settings.Tenants = append(s.Settings.Tenants, *t)
	}
	slices.SortFunc(s.Settings.Classes, func(x, y choice.Class) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(s.Settings.Tenants, func(x, y choice.Tenant) int { return cmp.Compare(x.Name, y.Name) })
	for _, g := range b.groups {
		s.Groups = append(s.Groups, *g)
	}
	for _, t := range b.streams {
		s.Streams = append(s.Streams, *t)
	}
	for _, x := range b.strikes {
		s.Strikes = append(s.Strikes, *x)
	}
	for _, f := range b.faults {
		s.Faults = append(s.Faults, *f)
	}
	s.Contracts = b.book.Teams
	if err := contract.Check(s.Contracts); err != nil {
		b.r.problem(b.seen["run.for"].file, posNone, "", "%v", err)
	}
	s.Book = b.book.Settings()
}
