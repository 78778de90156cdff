package config

import (
	"cmp"
	"slices"
	"strings"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/fleet/model"
)

// Values of the keys gateway.reports and class.effect.
const (
	reportsInline    = "inline"
	reportsNone      = "none"
	effectRepeatable = "repeatable"
	effectOnce       = "once"
)

// defaultSpec returns a specification with the settings that plans cannot change, and
// with initial values for the others.
func defaultSpec() *model.Spec {
	s := &model.Spec{}
	s.Settings = balancer.Settings{
		ReportSource:     balancer.ReportInline,
		PollDiscovery:    true,
		Tick:             2000,
		MayCancel:        true,
		MayHedge:         true,
		MaxAttempts:      3,
		InitialCapacity:  0.3,
		OverloadMultiple: 3,
		SlowStartFor:     8_000_000,
		OverloadWindow:   1_500_000,
		StreamsPerConn:   1,
		ConnIdleTimeout:  60_000_000,
		OverQuotaWeight:  0.05,
	}
	return s
}

// specBuilder applies the entries of a plan to a specification.
type specBuilder struct {
	spec       *model.Spec
	reader     *reader
	seen       map[string]entry     // entries applied so far, by the key's full name
	keys       map[string][]keySpec // by section and label
	classes    []*balancer.Class
	tenants    []*balancer.Tenant
	groups     []*model.Group
	streams    []*model.Stream
	faults     []*model.Fault
	strikes    []*model.GatewayFault
	effects    []*string // by class
	contracts  Contracts
	reportMode string
}

// applyEntry applies one entry, or adds an error to the reader.
func (b *specBuilder) applyEntry(e entry) {
	if e.section == contractSection {
		b.contracts.applyEntry(b.reader, e, b.seen)
		return
	}
	name := strings.TrimSpace(e.section + " " + e.label)
	keys := b.keys[name]
	if keys == nil {
		if keys = b.sectionKeys(e.section, e.label); keys == nil {
			b.addSectionProblem(e, name)
			return
		}
		b.keys[name] = keys
		setDefaults(name, keys)
	}
	b.reader.assign(keys, e, name+"."+e.setting.Key, b.seen)
}

// addSectionProblem adds an error for an unknown section or a wrong label.
func (b *specBuilder) addSectionProblem(e entry, name string) {
	known := planSectionNames()
	switch {
	case !slices.Contains(known, e.section):
		b.reader.addProblem(e.file, e.sectionPos, name, "no section [%s] in a plan%s", e.section, suggestWord(e.section, known))
	case e.label == "":
		b.reader.addProblem(e.file, e.sectionPos, name, "expected [%s NAME]", e.section)
	default:
		b.reader.addProblem(e.file, e.sectionPos, name, "section takes no label")
	}
}

// finish completes the specification after the last entry: it applies the defaults of
// omitted sections and moves the collected elements into it.
func (b *specBuilder) finish() {
	for _, s := range planSections {
		if s.isUnlabelled() && b.keys[s.name] == nil {
			setDefaults(s.name, s.keys(b, ""))
		}
	}
	s := b.spec
	s.Settings.ReportSource = balancer.ReportInline
	if b.reportMode == reportsNone {
		s.Settings.ReportSource = balancer.ReportNone
	}
	for i, class := range b.classes {
		if *b.effects[i] == effectOnce {
			class.Idempotency = balancer.NonIdempotent
		}
	}
	s.Settings.Classes = appendValues(s.Settings.Classes, b.classes)
	s.Settings.Tenants = appendValues(s.Settings.Tenants, b.tenants)
	slices.SortFunc(s.Settings.Classes, func(x, y balancer.Class) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(s.Settings.Tenants, func(x, y balancer.Tenant) int { return cmp.Compare(x.Name, y.Name) })
	s.Groups = appendValues(s.Groups, b.groups)
	s.Streams = appendValues(s.Streams, b.streams)
	s.GatewayFaults = appendValues(s.GatewayFaults, b.strikes)
	s.Faults = appendValues(s.Faults, b.faults)
	s.Contracts = b.contracts.Teams
	if err := contract.ValidateTerms(s.Contracts); err != nil {
		b.reader.addProblem(b.seen["run.for"].file, noPosition, "", "%v", err)
	}
	s.LedgerSettings = b.contracts.LedgerSettings()
}

// appendValues appends the values that pointers point to.
func appendValues[T any](list []T, pointers []*T) []T {
	for _, p := range pointers {
		list = append(list, *p)
	}
	return list
}
