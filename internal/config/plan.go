package config

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"archknot/balancer"
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
	entries   []entry
}

// Variant changes some settings of a plan.
type Variant struct {
	Name      string
	Program   string  // another build's program that is to run it; "": this one
	overrides []entry // settings in the place of the plan's, or beside them
}

// LoadPlan reads a plan and checks it with all its variants and workloads. The
// error is of type Problems and names all that is wrong.
func LoadPlan(file string) (*Plan, error) {
	var r reader
	r.readFile(file, "", noPosition)
	p := &Plan{File: file, Seeds: 1}
	for _, e := range r.entries {
		switch {
		case e.section == "variant" || e.section == "workload":
			p.addVariantLine(&r, e)
		case e.section == "run" && e.setting.Key == "seeds":
			k := intKey("seeds", &p.Seeds, "1", 1, 10_000, "")
			if err := k.set(e.setting.words()); err != nil {
				r.addProblem(e.file, e.setting.valuePos(), "run.seeds", "%v", err)
			}
		default:
			p.entries = append(p.entries, e)
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
				_, problems := p.buildSpec(v, w)
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

// addVariantLine enters a line of a [variant NAME] or [workload NAME] section.
func (p *Plan) addVariantLine(r *reader, e entry) {
	list := &p.Variants
	if e.section == "workload" {
		list = &p.Workloads
	}
	if e.label == "" || strings.ContainsAny(e.label, "/\\ ") {
		r.addProblem(e.file, e.sectionPos, e.section, "expected [%s NAME], without spaces and slashes", e.section)
		return
	}
	i := slices.IndexFunc(*list, func(v Variant) bool { return v.Name == e.label })
	if i < 0 {
		i = len(*list)
		*list = append(*list, Variant{Name: e.label})
	}
	v := &(*list)[i]
	words := e.setting.Values
	switch {
	case e.setting.Key == "base" && len(words) == 0:
	case e.setting.Key == "build" && e.section == "variant" && len(words) == 1:
		v.Program = words[0].Text
	case e.setting.Key == "set" && len(words) >= 2:
		parts := strings.Split(words[0].Text, ".")
		if len(parts) != 2 && len(parts) != 3 {
			r.addProblem(e.file, words[0].Pos, e.section+" "+e.label+".set", "expected section.key or section.label.key, got %q", words[0].Text)
			return
		}
		one := entry{section: parts[0], sectionPos: words[0].Pos, file: e.file,
			setting: &setting{Pos: words[0].Pos, Key: parts[len(parts)-1], Values: words[1:]}}
		if len(parts) == 3 {
			one.label = parts[1]
		}
		v.overrides = append(v.overrides, one)
	default:
		r.addProblem(e.file, e.setting.Pos, e.section+" "+e.label+"."+e.setting.Key, "expected `set section.key value`, `build FILE` or `base`")
	}
}

// Spec is what one variant, workload and seed make.
func (p *Plan) Spec(v, w Variant, seed uint64) (*model.Spec, error) {
	s, problems := p.buildSpec(v, w)
	if len(problems) > 0 {
		return nil, problems
	}
	s.Seed = seed
	return s, nil
}

// buildSpec makes a specification of the plan's lines, with those of a workload and then
// of a variant in their place.
func (p *Plan) buildSpec(v, w Variant) (*model.Spec, Problems) {
	var r reader
	entries := slices.Clone(p.entries)
	for _, e := range append(slices.Clone(w.overrides), v.overrides...) {
		at := -1
		for i, b := range entries {
			if b.section == e.section && b.label == e.label {
				if at = i; b.setting.Key == e.setting.Key {
					break
				}
			}
		}
		switch {
		case at < 0 && e.label == "" && slices.Contains(unlabelledSections, e.section): // all have their defaults
			entries = append(entries, e)
		case at < 0:
			r.addProblem(e.file, e.sectionPos, e.section, "the plan has no section [%s]", strings.TrimSpace(e.section+" "+e.label))
		case entries[at].setting.Key == e.setting.Key && !slices.Contains(repeatableContractKeys, e.setting.Key):
			entries[at] = e
		default:
			entries = slices.Insert(entries, at+1, e)
		}
	}
	b := specBuilder{spec: defaultSpec(), reader: &r, seen: map[string]entry{}, keys: map[string][]keySpec{}}
	for _, e := range entries {
		b.applyEntry(e)
	}
	if len(r.problems) == 0 {
		b.finish()
		if err := b.spec.Check(); err != nil {
			r.addProblem(p.File, noPosition, "", "%v", err)
		}
	}
	return b.spec, r.problems
}

func defaultSpec() *model.Spec {
	s := &model.Spec{}
	s.Settings = balancer.Settings{ReportSource: balancer.ReportInline, PollDiscovery: true, Tick: 2000, MayCancel: true, MayHedge: true, MaxAttempts: 3,
		InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 8_000_000, OverloadWindow: 1_500_000, StreamsPerConn: 1, ConnIdleTimeout: 60_000_000, OverQuotaWeight: 0.05}
	return s
}

// specBuilder enters the lines of a plan into a specification.
type specBuilder struct {
	spec       *model.Spec
	reader     *reader
	seen       map[string]entry
	keys       map[string][]keySpec // by section and label
	classes    []*balancer.Class
	tenants    []*balancer.Tenant
	groups     []*model.Group
	streams    []*model.Stream
	faults     []*model.Fault
	strikes    []*model.Strike
	effects    []*string // by class
	contracts  Contracts
	reportMode string
}

// unlabelledSections are the sections that there is one of.
var unlabelledSections = []string{"run", "network", "gateway", "contracts", "drill"}

var planSections = []string{"run", "network", "gateway", "class", "tenant", "workers", "traffic", "fault", "contracts", "contract", "drill", "strike", "variant", "workload"}

func (b *specBuilder) applyEntry(e entry) {
	at := strings.TrimSpace(e.section + " " + e.label)
	full := at + "." + e.setting.Key
	if e.section == "contract" {
		b.contracts.applyEntry(b.reader, e, b.seen)
		return
	}
	keys, ok := b.keys[at]
	if !ok {
		if keys = b.sectionKeys(e.section, e.label); keys == nil {
			switch {
			case !slices.Contains(planSections, e.section):
				b.reader.addProblem(e.file, e.sectionPos, at, "no section [%s] in a plan%s", e.section, suggestWord(e.section, planSections))
			case e.label == "":
				b.reader.addProblem(e.file, e.sectionPos, at, "expected [%s NAME]", e.section)
			default:
				b.reader.addProblem(e.file, e.sectionPos, at, "this section has no label")
			}
			return
		}
		b.keys[at] = keys
		for _, k := range keys {
			if k.defaultText != "" {
				if err := k.set([]string{k.defaultText}); err != nil {
					panic(at + "." + k.name + ": its default: " + err.Error())
				}
			}
		}
	}
	b.reader.assign(keys, e, full, b.seen)
}

// convertedDurationKey is a duration that is kept in another measure.
func convertedDurationKey(name, otherwise string, least, most time.Duration, doc string, set func(time.Duration)) keySpec {
	var d time.Duration
	k := durationKey(name, &d, otherwise, least, most, doc)
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

// microsKey is a time on the module's clock.
func microsKey(name string, to *balancer.Micros, otherwise string, least, most time.Duration, doc string) keySpec {
	return convertedDurationKey(name, otherwise, least, most, doc, func(d time.Duration) { *to = d.Microseconds() })
}

// fractionalMicrosKey is one in parts of a microsecond.
func fractionalMicrosKey(name string, to *float64, otherwise string, doc string) keySpec {
	return convertedDurationKey(name, otherwise, 0, time.Minute, doc, func(d time.Duration) { *to = float64(d.Nanoseconds()) / 1000 })
}

// secondsKey is one in seconds.
func secondsKey(name string, to *float64, otherwise, doc string) keySpec {
	return convertedDurationKey(name, otherwise, 0, 24*time.Hour, doc, func(d time.Duration) { *to = d.Seconds() })
}

func stringKey(name string, to *string, otherwise, doc string) keySpec {
	return newKey(name, "name", to, otherwise, doc, func(s string) (string, error) { return s, nil }, func(s string) string { return s })
}

// sectionKeys is the keys of one, bound to a new part of the specification; nil if
// there is none of that name with, or without, a label.
func (b *specBuilder) sectionKeys(name, label string) []keySpec {
	s := b.spec
	const hour = time.Hour
	if slices.Contains([]string{"class", "tenant", "workers", "traffic", "fault", "strike"}, name) != (label != "") {
		return nil
	}
	switch name {
	case "run":
		return []keySpec{microsKey("for", &s.Duration, "60s", time.Second, 24*hour, "virtual time of a run"),
			microsKey("warm", &s.WarmUp, "5s", 0, hour, "what is sent before is not counted"),
			microsKey("window", &s.WindowLength, "10s", time.Second, hour, "the spans that are told apart"),
			intKey("gateways", &s.Gateways, "3", 1, 10_000, "how many"), intKey("subset", &s.SubsetSize, "0", 0, 10_000, "replicas that a gateway works with; 0: all")}
	case "network":
		return []keySpec{microsKey("near", &s.SameZoneDelay, "250us", 0, time.Second, "one way within a zone"),
			microsKey("far", &s.CrossZoneDelay, "10ms", 0, time.Second, "one way between two zones"),
			microsKey("poll", &s.PollWait, "10s", 10*time.Millisecond, hour, "what a watch of the registry waits at most")}
	case "gateway":
		g := &s.Settings
		return []keySpec{intKey("attempts", &g.MaxAttempts, "3", 1, 3, "of a request, whatever kind"), boolKey("second-copies", &g.MayHedge, "on", "hedging"),
			boolKey("probe", &g.MayHealthCheck, "off", "may ask workers for their load"), boolKey("cancel", &g.MayCancel, "on", "may call an attempt off"),
			boolKey("retry-after", &g.RetryAfter, "on", "refusals advise when to come back"),
			microsKey("retry-after-most", &g.MaxRetryAfter, "2s", 0, hour, "the most that is advised"),
			floatKey("over-share-worth", &g.OverQuotaWeight, "0.05", 0, 1, "beyond a tenant's quota"),
			floatKey("hedge-share", &g.HedgeRatio, "0", 0, 1, "second copies a request; 0: the module's own"),
			floatKey("retry-share", &g.RetryRatio, "0", 0, 1, "retries a request; 0: the module's own"),
			enumKey("reports", &b.reportMode, "inline", "how workers tell their load", "inline", "none"),
			microsKey("cold-for", &g.SlowStartFor, "8s", 0, hour, "how long a worker counts as cold")}
	case "class":
		c := &balancer.Class{Name: label}
		effect := new(string)
		b.classes, b.effects = append(b.classes, c), append(b.effects, effect)
		return []keySpec{microsKey("aim", &c.LatencyObjective, "1s", 0, hour, "full worth for a first token within this"),
			microsKey("aim-per-1000", &c.ObjectivePer1000Tokens, "0s", 0, hour, "added for each 1,000 prompt tokens"),
			microsKey("token-aim", &c.TokenObjective, "300ms", 0, time.Minute, "for each token"),
			microsKey("deadline", &c.Deadline, "5s", time.Millisecond, hour, "the client's total wait"),
			floatKey("worth", &c.PriorityWeight, "1", 0, 1e6, "points"), floatKey("late-worth", &c.LateWeightShare, "0.3", 0, 1, "part of it after the aim"),
			boolKey("stream", &c.Streaming, "on", "answers come as streams"),
			enumKey("effect", effect, "repeatable", "whether it may run twice", "repeatable", "once")}
	case "tenant":
		t := &balancer.Tenant{Name: label}
		b.tenants = append(b.tenants, t)
		return []keySpec{floatKey("quota", &t.QuotaPerS, "0", 0, 1e9, "requests a second, over all gateways")}
	case "workers":
		g := &model.Group{Name: label}
		b.groups = append(b.groups, g)
		w := &g.Params
		return []keySpec{stringKey("zone", &g.Zone, "here", "where they are"), intKey("count", &g.Count, "1", 1, 100_000, "how many"),
			floatKey("weight", &g.Weight, "1", 0, 1e6, "in the registry's list"), intKey("slots", &w.MaxRunning, "16", 1, 4096, "sequences that run at once"),
			intKey("queue", &w.MaxQueued, "64", 0, 1<<20, "that may wait"), intKey("memory", &w.MemoryTokens, "100000", 16, 1<<30, "tokens of keys and values"),
			intKey("block", &w.BlockTokens, "16", 1, 4096, "tokens in a block"), intKey("chunk", &w.ChunkTokens, "512", 1, 1<<20, "prompt tokens read in a step"),
			fractionalMicrosKey("base", &w.StepBase, "8ms", "a step"), fractionalMicrosKey("per-sequence", &w.StepPerSequence, "150us", "for each that makes a token"),
			fractionalMicrosKey("per-context", &w.StepPerContext, "40us", "for each 1,000 tokens attended to"), fractionalMicrosKey("per-prompt", &w.StepPerPrompt, "40ms", "for each 1,000 tokens read"),
			microsKey("start", &w.StartupTime, "5s", 0, hour, "from a start until it takes work"), microsKey("cold", &w.WarmUpTime, "8s", 0, hour, "how long it is slower then"),
			floatKey("cold-slow", &w.WarmUpSlowdown, "3", 1, 1000, "so many times at first"), microsKey("connect", &w.ConnectTime, "100us", 0, time.Second, "to set a connection up")}
	case "traffic":
		t := &model.Stream{}
		b.streams = append(b.streams, t)
		return []keySpec{stringKey("class", &t.Class, "", "of its requests"), stringKey("tenant", &t.Tenant, label, "whose they are"),
			floatKey("rate", &t.RequestsPerSecond, "10", 0, 1e7, "requests a second"), floatKey("turns", &t.Turns, "1", 1, 1e4, "of a session, on average"),
			secondsKey("think", &t.ThinkSeconds, "5s", "between two turns, the median"), floatKey("prompt", &t.PromptTokens, "200", 1, 1e7, "new tokens in a turn, the median"),
			floatKey("answer", &t.AnswerTokens, "150", 1, 1e7, "tokens, the median"), floatKey("spread", &t.Spread, "0.6", 0, 3.9, "of both"),
			intKey("most", &t.MaxOutputTokens, "600", 1, 1<<24, "tokens of an answer"), intKey("prefixes", &t.Prefixes, "0", 0, 1<<20, "shared beginnings"),
			intKey("shared", &t.PrefixTokens, "0", 0, 1<<24, "tokens of them"), secondsKey("patience", &t.PatienceSeconds, "0s", "to the first token; 0s: the class's deadline"),
			intKey("retries", &t.MaxRetries, "0", 0, 100, "by clients, after a refusal"),
			intKey("rest", &t.MaxResumes, "0", 0, 10, "asks for the rest of an answer that broke (the emulator alone)")}
	case "fault":
		f := &model.Fault{Replica: -1}
		b.faults = append(b.faults, f)
		kinds := make([]string, 0, len(model.FaultKinds))
		for k := range model.FaultKinds {
			kinds = append(kinds, k)
		}
		slices.Sort(kinds)
		return []keySpec{microsKey("at", &f.At, "0s", 0, 24*hour, "when it begins"), microsKey("for", &f.Duration, "0s", 0, 24*hour, "how long; 0s: to the end"),
			enumKey("kind", &f.Kind, kinds[0], "what goes wrong", kinds...), replicaIndexKey(&f.Replica), stringKey("zone", &f.Zone, "", "of one zone alone"),
			floatKey("factor", &f.Factor, "1", 0, 1e6, "see the kinds")}
	case "drill":
		d := &s.Drill
		return []keySpec{boolKey("peers", &d.Peers, "on", "gateways go on with each other's work"), boolKey("relays", &d.Relays, "on", "what they say to each other can be cut and slowed"),
			intKey("copies", &d.RequestCopies, "5", 1, 8, "gateways that note each request"),
			intKey("records", &d.MaxRecords, "4096", 16, 100_000, "requests of others that a gateway notes at once"), intKey("sites", &d.Sites, "1", 1, 100, "gateways are dealt to so many"),
			intKey("memory", &d.MemoryMB, "32", 16, 4096, "of a gateway, megabytes"), intKey("files", &d.MaxFiles, "256", 64, 65536, "its descriptors"),
			microsKey("settle", &d.Settle, "1500ms", 0, time.Minute, "from the last gateway's start to the traffic")}
	case "strike":
		x := &model.Strike{}
		b.strikes = append(b.strikes, x)
		return []keySpec{microsKey("at", &x.At, "0s", 0, hour, "when"), microsKey("for", &x.Duration, "0s", 0, hour, "how long; 0s: to the end"),
			enumKey("kind", &x.Kind, "kill", "what happens to the gateways", slices.Sorted(maps.Keys(model.StrikeKinds))...),
			indexKey("gateway", &x.Gateway, "one of them, by its place"), shareKey("share", &x.Share, "0%", "so many of them, by chance"),
			indexKey("site", &x.Site, "of one site, by its place"),
			enumKey("when", &x.When, "at", "at a time, or when a request's first event, half or last event has come, or it was sent: at the gateway that serves it", "at", "sent", "first", "half", "last"),
			intKey("nth", &x.Nth, "1", 1, 1<<20, "which request"), floatKey("factor", &x.Factor, "1", 0, 1e6, "see the kinds")}
	case "contracts":
		return []keySpec{timeZoneKey("zone", &b.contracts.TimeZone, "UTC", "of days and quarters"), durationKey("pool", &b.contracts.BorrowPool, "1s", 0, time.Minute, "what idle shares may save up"),
			floatKey("others", &b.contracts.UnknownTenantWeight, "0.05", -1, 1000, "the worth of tenants without a contract")}
	}
	return nil
}

func replicaIndexKey(to *int) keySpec { return indexKey("worker", to, "which, by its place") }

// indexKey is one of some, by its place, or all of them.
func indexKey(name string, to *int, doc string) keySpec {
	return newKey(name, "all|number", to, "all", doc, func(s string) (int, error) {
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

func (b *specBuilder) finish() {
	s := b.spec
	for _, name := range unlabelledSections { // defaults of what is not there
		if b.keys[name] == nil {
			for _, k := range b.sectionKeys(name, "") {
				if k.defaultText != "" {
					_ = k.set([]string{k.defaultText})
				}
			}
		}
	}
	s.Settings.ReportSource = balancer.ReportInline
	if b.reportMode == "none" {
		s.Settings.ReportSource = balancer.ReportNone
	}
	for i, c := range b.classes {
		if *b.effects[i] == "once" {
			c.Idempotency = balancer.NonIdempotent
		}
		s.Settings.Classes = append(s.Settings.Classes, *c)
	}
	for _, t := range b.tenants {
		s.Settings.Tenants = append(s.Settings.Tenants, *t)
	}
	slices.SortFunc(s.Settings.Classes, func(x, y balancer.Class) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(s.Settings.Tenants, func(x, y balancer.Tenant) int { return cmp.Compare(x.Name, y.Name) })
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
	s.Contracts = b.contracts.Teams
	if err := contract.ValidateTerms(s.Contracts); err != nil {
		b.reader.addProblem(b.seen["run.for"].file, noPosition, "", "%v", err)
	}
	s.LedgerSettings = b.contracts.LedgerSettings()
}
