package config

import (
	"maps"
	"slices"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/model"
)

// planSection describes a section of a plan.
type planSection struct {
	name     string
	labelled bool // sections of this name have a label, and there may be several
	// keys returns the keys, bound to a new element of the specification; nil: the
	// section is not parsed through keySpecs.
	keys func(b *specBuilder, label string) []keySpec
}

// planSections are all sections of a plan.
var planSections = []planSection{
	{name: runSection, keys: (*specBuilder).runKeys},
	{name: "network", keys: (*specBuilder).networkKeys},
	{name: "gateway", keys: (*specBuilder).gatewayKeys},
	{name: "class", labelled: true, keys: (*specBuilder).classKeys},
	{name: "tenant", labelled: true, keys: (*specBuilder).tenantKeys},
	{name: "workers", labelled: true, keys: (*specBuilder).replicaKeys},
	{name: "traffic", labelled: true, keys: (*specBuilder).trafficKeys},
	{name: "fault", labelled: true, keys: (*specBuilder).faultKeys},
	{name: "contracts", keys: (*specBuilder).contractsKeys},
	{name: contractSection, labelled: true},
	{name: "drill", keys: (*specBuilder).drillKeys},
	{name: "strike", labelled: true, keys: (*specBuilder).strikeKeys},
	{name: variantSection, labelled: true},
	{name: workloadSection, labelled: true},
}

// isUnlabelled reports whether the section has no label, and defaults for all keys.
func (s *planSection) isUnlabelled() bool { return !s.labelled && s.keys != nil }

func planSectionNames() []string {
	names := make([]string, len(planSections))
	for i := range planSections {
		names[i] = planSections[i].name
	}
	return names
}

// isUnlabelledSection reports whether there is an unlabelled section of that name.
func isUnlabelledSection(name string) bool {
	return slices.ContainsFunc(planSections, func(s planSection) bool { return s.name == name && s.isUnlabelled() })
}

// sectionKeys returns the keys of a section, bound to a new element of the
// specification. It returns nil if no section of this name has keySpecs, or if a label is
// missing or not allowed.
func (b *specBuilder) sectionKeys(name, label string) []keySpec {
	i := slices.IndexFunc(planSections, func(s planSection) bool { return s.name == name })
	if i < 0 || planSections[i].keys == nil || planSections[i].labelled != (label != "") {
		return nil
	}
	return planSections[i].keys(b, label)
}

const (
	hour = time.Hour
	day  = 24 * time.Hour
)

func (b *specBuilder) runKeys(string) []keySpec {
	s := b.spec
	return []keySpec{
		microsKey("for", &s.Duration, "60s", time.Second, day, "virtual time of a run"),
		microsKey("warm", &s.WarmUp, "5s", 0, hour, "requests that are sent before this time are not counted"),
		microsKey("window", &s.WindowLength, "10s", time.Second, hour, "length of the intervals that results are given for"),
		intKey("gateways", &s.Gateways, "3", 1, 10_000, "number of gateways"),
		intKey("subset", &s.SubsetSize, "0", 0, 10_000, "replicas that a gateway uses; 0: all"),
	}
}

func (b *specBuilder) networkKeys(string) []keySpec {
	s := b.spec
	return []keySpec{
		microsKey("near", &s.SameZoneDelay, "250us", 0, time.Second, "one-way network delay within a zone"),
		microsKey("far", &s.CrossZoneDelay, "10ms", 0, time.Second, "one-way network delay between two zones"),
		microsKey("poll", &s.PollWait, "10s", 10*time.Millisecond, hour, "maximum wait of a discovery watch"),
	}
}

func (b *specBuilder) gatewayKeys(string) []keySpec {
	g := &b.spec.Settings
	return []keySpec{
		intKey("attempts", &g.MaxAttempts, "3", 1, 3, "maximum attempts of a request, retries and hedges included"),
		boolKey("second-copies", &g.MayHedge, "on", "hedged requests"),
		boolKey("probe", &g.MayHealthCheck, "off", "health checks that return the load"),
		boolKey("cancel", &g.MayCancel, "on", "attempts may be cancelled"),
		boolKey("retry-after", &g.RetryAfter, "on", "rejections carry a Retry-After header"),
		microsKey("retry-after-most", &g.MaxRetryAfter, "2s", 0, hour, "maximum Retry-After"),
		floatKey("over-share-worth", &g.OverQuotaWeight, "0.05", 0, 1, "priority weight beyond a tenant's quota"),
		floatKey("hedge-share", &g.HedgeRatio, "0", 0, 1, "hedges per request; 0: the module's default"),
		floatKey("retry-share", &g.RetryRatio, "0", 0, 1, "retries per request; 0: the module's default"),
		enumKey("reports", &b.reportMode, reportsInline, "how replicas report their load", reportsInline, reportsNone),
		microsKey("cold-for", &g.SlowStartFor, "8s", 0, hour, "length of a replica's slow start"),
	}
}

func (b *specBuilder) classKeys(label string) []keySpec {
	c := &balancer.Class{Name: label}
	effect := new(string)
	b.classes = append(b.classes, c)
	b.effects = append(b.effects, effect)
	return []keySpec{
		microsKey("aim", &c.LatencyObjective, "1s", 0, hour, "latency objective of the first token"),
		microsKey("aim-per-1000", &c.ObjectivePer1000Tokens, "0s", 0, hour, "added for each 1,000 prompt tokens"),
		microsKey("token-aim", &c.TokenObjective, "300ms", 0, time.Minute, "latency objective of each further token"),
		microsKey("deadline", &c.Deadline, "5s", time.Millisecond, hour, "the client's total time limit"),
		floatKey("worth", &c.PriorityWeight, "1", 0, 1e6, "priority weight"),
		floatKey("late-worth", &c.LateWeightShare, "0.3", 0, 1, "fraction of the priority weight of an answer beyond the latency objective"),
		boolKey("stream", &c.Streaming, "on", "answers are streamed"),
		enumKey("effect", effect, effectRepeatable, "whether a request may be executed twice", effectRepeatable, effectOnce),
	}
}

func (b *specBuilder) tenantKeys(label string) []keySpec {
	t := &balancer.Tenant{Name: label}
	b.tenants = append(b.tenants, t)
	return []keySpec{floatKey("quota", &t.QuotaPerS, "0", 0, 1e9, "requests a second, over all gateways")}
}

func (b *specBuilder) replicaKeys(label string) []keySpec {
	g := &model.Group{Name: label}
	b.groups = append(b.groups, g)
	w := &g.Params
	return []keySpec{
		stringKey("zone", &g.Zone, "here", "zone of the replicas"),
		intKey("count", &g.Count, "1", 1, 100_000, "number of replicas"),
		floatKey("weight", &g.Weight, "1", 0, 1e6, "weight in the endpoint list"),
		intKey("slots", &w.MaxRunning, "16", 1, 4096, "maximum sequences that run concurrently"),
		intKey("queue", &w.MaxQueued, "64", 0, 1<<20, "maximum queued requests"),
		intKey("memory", &w.MemoryTokens, "100000", 16, 1<<30, "capacity of the key-value cache, in tokens"),
		intKey("block", &w.BlockTokens, "16", 1, 4096, "tokens per block of the key-value cache"),
		intKey("chunk", &w.ChunkTokens, "512", 1, 1<<20, "maximum prompt tokens processed in a step"),
		fractionalMicrosKey("base", &w.StepBase, "8ms", "fixed time of a step"),
		fractionalMicrosKey("per-sequence", &w.StepPerSequence, "150us", "time of a step for each sequence that produces a token"),
		fractionalMicrosKey("per-context", &w.StepPerContext, "40us", "time of a step for each 1,000 tokens attended to"),
		fractionalMicrosKey("per-prompt", &w.StepPerPrompt, "40ms", "time of a step for each 1,000 prompt tokens processed"),
		microsKey("start", &w.StartupTime, "5s", 0, hour, "time from a start until the replica accepts requests"),
		microsKey("cold", &w.WarmUpTime, "8s", 0, hour, "length of the warm-up after a start"),
		floatKey("cold-slow", &w.WarmUpSlowdown, "3", 1, 1000, "slowdown factor at the start of the warm-up"),
		microsKey("connect", &w.ConnectTime, "100us", 0, time.Second, "time to open a connection"),
	}
}

func (b *specBuilder) trafficKeys(label string) []keySpec {
	t := &model.Stream{}
	b.streams = append(b.streams, t)
	return []keySpec{
		stringKey("class", &t.Class, "", "class of the requests"),
		stringKey("tenant", &t.Tenant, label, "tenant of the requests"),
		floatKey("rate", &t.RequestsPerSecond, "10", 0, 1e7, "requests a second"),
		floatKey("turns", &t.Turns, "1", 1, 1e4, "turns of a session, on average"),
		secondsKey("think", &t.ThinkSeconds, "5s", "median time between two turns"),
		floatKey("prompt", &t.PromptTokens, "200", 1, 1e7, "median of the new tokens in a turn"),
		floatKey("answer", &t.AnswerTokens, "150", 1, 1e7, "median of the output tokens"),
		floatKey("spread", &t.Spread, "0.6", 0, 3.9, "spread of the prompt and output lengths"),
		intKey("most", &t.MaxOutputTokens, "600", 1, 1<<24, "maximum output tokens of an answer"),
		intKey("prefixes", &t.Prefixes, "0", 0, 1<<20, "number of shared prefixes"),
		intKey("shared", &t.PrefixTokens, "0", 0, 1<<24, "tokens of a shared prefix"),
		secondsKey("patience", &t.FirstTokenTimeoutSeconds, "0s", "the client's time limit for the first token; 0s: the class's deadline"),
		intKey("retries", &t.MaxRetries, "0", 0, 100, "retries by clients, after a rejection"),
		intKey("rest", &t.MaxResumes, "0", 0, 10, "requests for the remainder of an interrupted answer (emulator only)"),
	}
}

func (b *specBuilder) faultKeys(string) []keySpec {
	f := &model.Fault{Replica: allIndices}
	b.faults = append(b.faults, f)
	kinds := slices.Sorted(maps.Keys(model.FaultKinds))
	return []keySpec{
		microsKey("at", &f.At, "0s", 0, day, "when the fault begins"),
		microsKey("for", &f.Duration, "0s", 0, day, "how long the fault lasts; 0s: until the end of the run"),
		enumKey("kind", &f.Kind, kinds[0], "kind of fault", kinds...),
		indexKey("worker", &f.Replica, "index of a replica"),
		stringKey("zone", &f.Zone, "", "zone of the affected replicas; empty: all zones"),
		floatKey("factor", &f.Factor, "1", 0, 1e6, "parameter of the kind: see model.FaultKinds"),
	}
}

func (b *specBuilder) contractsKeys(string) []keySpec {
	c := &b.contracts
	return []keySpec{
		timeZoneKey("zone", &c.TimeZone, "UTC", "time zone of days and quarters"),
		durationKey("pool", &c.BorrowPool, "1s", 0, time.Minute, "capacity of the pool for borrowing, as time at the sum of all rates"),
		floatKey("others", &c.UnknownTenantWeight, "0.05", -1, 1000, "priority weight of tenants without a contract"),
	}
}

func (b *specBuilder) drillKeys(string) []keySpec {
	d := &b.spec.Drill
	return []keySpec{
		boolKey("peers", &d.Peers, "on", "gateways take over each other's requests"),
		boolKey("relays", &d.GossipRelays, "on", "messages between gateways pass relays that can drop and delay them"),
		intKey("copies", &d.RequestCopies, "5", 1, 8, "gateways that record each request"),
		intKey("records", &d.MaxRecords, "4096", 16, 100_000, "requests of other gateways that a gateway records at once"),
		intKey("sites", &d.Sites, "1", 1, 100, "zones that gateways are distributed over"),
		intKey("memory", &d.MemoryMB, "32", 16, 4096, "memory limit of a gateway, megabytes"),
		intKey("files", &d.MaxFiles, "256", 64, 65536, "file descriptor limit of a gateway"),
		microsKey("settle", &d.SettleTime, "1500ms", 0, time.Minute, "time from the start of the last gateway to the start of traffic"),
	}
}

func (b *specBuilder) strikeKeys(string) []keySpec {
	s := &model.GatewayFault{}
	b.strikes = append(b.strikes, s)
	kinds := slices.Sorted(maps.Keys(model.GatewayFaultKinds))
	return []keySpec{
		microsKey("at", &s.At, "0s", 0, hour, "when it begins"),
		microsKey("for", &s.Duration, "0s", 0, hour, "how long it lasts; 0s: until the end of the run"),
		enumKey("kind", &s.Kind, "kill", "what happens to the gateways", kinds...),
		indexKey("gateway", &s.Gateway, "index of a gateway"),
		fractionKey("share", &s.GatewayFraction, "0%", "fraction of the gateways, drawn at random"),
		indexKey("site", &s.Site, "index of a zone"),
		enumKey("when", &s.When, "at", "trigger: a time, or a request that was sent, or whose first event, half of the events or last event has arrived; the latter hit the gateway of the request",
			"at", "sent", "first", "half", "last"),
		intKey("nth", &s.Nth, "1", 1, 1<<20, "number of the request that triggers"),
		floatKey("factor", &s.Factor, "1", 0, 1e6, "parameter of the kind: see model.GatewayFaultKinds"),
	}
}
