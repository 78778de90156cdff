package config

import (
	"slices"
	"strings"

	"archknot/internal/fleet/model"
)

// Plan is an experiment: a fleet with its traffic, and the variants and workloads to
// compare. Each variant is run with each workload and each seed.
type Plan struct {
	File      string
	Seeds     int       // runs of each variant with each workload, with seeds from 1
	Variants  []Variant // at least one
	Workloads []Variant // at least one
	entries   []entry   // the settings of all other sections
}

// Variant is a named set of changes to a plan: a variant or a workload.
type Variant struct {
	Name      string
	Program   string  // path of the build that runs it; "": this program
	overrides []entry // replace settings of the plan, or are added to it
}

const (
	variantSection  = "variant"
	workloadSection = "workload"
	runSection      = "run"
	seedsKey        = "seeds"
	maxSeeds        = 10_000
	// baseVariant names the implicit variant, or workload, of a plan that declares none.
	baseVariant = "base"
)

// LoadPlan reads a plan and validates each pair of its variants and workloads. The error
// is of type SettingErrors and lists all errors.
func LoadPlan(file string) (*Plan, error) {
	var r reader
	r.readFile(file, "", noPosition)
	p := &Plan{File: file, Seeds: 1}
	for _, e := range r.entries {
		p.addEntry(&r, e)
	}
	if len(p.Variants) == 0 {
		p.Variants = []Variant{{Name: baseVariant}}
	}
	if len(p.Workloads) == 0 {
		p.Workloads = []Variant{{Name: baseVariant}}
	}
	if len(r.problems) == 0 {
		r.problems = p.check()
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	return p, nil
}

// check returns the errors of all pairs of a variant and a workload, without duplicates.
func (p *Plan) check() (problems SettingErrors) {
	for i := range p.Variants {
		for j := range p.Workloads {
			_, specProblems := p.buildSpec(&p.Variants[i], &p.Workloads[j])
			for _, problem := range specProblems {
				if !slices.ContainsFunc(problems, func(other *SettingError) bool { return *other == *problem }) {
					problems = append(problems, problem)
				}
			}
		}
	}
	return problems
}

// addEntry adds a setting to the plan, or an error to r.
func (p *Plan) addEntry(r *reader, e entry) {
	switch {
	case e.section == variantSection:
		p.addVariantEntry(r, &p.Variants, e)
	case e.section == workloadSection:
		p.addVariantEntry(r, &p.Workloads, e)
	case e.section == runSection && e.setting.Key == seedsKey:
		seeds := intKey(seedsKey, &p.Seeds, "1", 1, maxSeeds, "")
		if err := seeds.set(e.setting.words()); err != nil {
			r.addProblem(e.file, e.setting.valuePos(), runSection+"."+seedsKey, "%v", err)
		}
	default:
		p.entries = append(p.entries, e)
	}
}

// addVariantEntry adds a setting of a section [variant NAME] or [workload NAME] to a list.
func (p *Plan) addVariantEntry(r *reader, list *[]Variant, e entry) {
	if e.label == "" || strings.ContainsAny(e.label, "/\\ ") {
		r.addProblem(e.file, e.sectionPos, e.section, "expected [%s NAME] with a name without spaces and slashes", e.section)
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
	case e.setting.Key == "build" && e.section == variantSection && len(words) == 1:
		v.Program = words[0].Text
	case e.setting.Key == "set" && len(words) >= 2:
		v.addOverride(r, e)
	default:
		r.addProblem(e.file, e.setting.Pos, e.section+" "+e.label+"."+e.setting.Key, "expected `set section.key value`, `build FILE` or `base`")
	}
}

// addOverride adds a line `set section.key value` or `set section.label.key value`.
func (v *Variant) addOverride(r *reader, e entry) {
	target, values := e.setting.Values[0], e.setting.Values[1:]
	parts := strings.Split(target.Text, ".")
	if len(parts) != 2 && len(parts) != 3 {
		r.addProblem(e.file, target.Pos, e.section+" "+e.label+".set", "expected section.key or section.label.key, got %q", target.Text)
		return
	}
	override := entry{
		section:    parts[0],
		sectionPos: target.Pos,
		file:       e.file,
		setting:    &setting{Pos: target.Pos, Key: parts[len(parts)-1], Values: values},
	}
	if len(parts) == 3 {
		override.label = parts[1]
	}
	v.overrides = append(v.overrides, override)
}

// Spec returns the specification of the run of one variant, workload and seed. The
// error is of type SettingErrors.
func (p *Plan) Spec(variant, workload Variant, seed uint64) (*model.Spec, error) {
	spec, problems := p.buildSpec(&variant, &workload)
	if len(problems) > 0 {
		return nil, problems
	}
	spec.Seed = seed
	return spec, nil
}

// buildSpec returns the specification of the plan's settings, overridden by those of the
// workload and then by those of the variant.
func (p *Plan) buildSpec(variant, workload *Variant) (*model.Spec, SettingErrors) {
	var r reader
	entries := slices.Clone(p.entries)
	for _, e := range slices.Concat(workload.overrides, variant.overrides) {
		entries = override(&r, entries, e)
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

// override replaces the entry of a key, or adds it to its section. An entry of a
// repeatable key is always added.
func override(r *reader, entries []entry, e entry) []entry {
	index := -1
	for i := range entries {
		if entries[i].section != e.section || entries[i].label != e.label {
			continue
		}
		index = i
		if entries[i].setting.Key == e.setting.Key {
			break
		}
	}
	switch {
	case index < 0 && e.label == "" && isUnlabelledSection(e.section): // the section may be omitted: all its keys have defaults
		return append(entries, e)
	case index < 0:
		r.addProblem(e.file, e.sectionPos, e.section, "the plan has no section [%s]", strings.TrimSpace(e.section+" "+e.label))
		return entries
	case entries[index].setting.Key == e.setting.Key && !isRepeatable(e.setting.Key):
		entries[index] = e
		return entries
	}
	return slices.Insert(entries, index+1, e)
}
