package config

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ScaleRun is the plan of a scale run: which sizes of fleet are measured, and how.
type ScaleRun struct {
	Seed            int           `json:"Seed"`
	Repeat          int           `json:"Repeat"`   // runs of each size
	Duration        time.Duration `json:"For"`      // what is measured of each
	SettleTime      time.Duration `json:"Settle"`   // before it
	Replicas        []int         `json:"Replicas"` // sizes to vary, before the base number of gateways
	Gateways        []int         `json:"Gateways"` // and the other way round
	BaseReplicas    int           `json:"BaseReplicas"`
	BaseGateways    int           `json:"BaseGateways"`
	FleetGateways   int           `json:"Of"`        // gateways that each is told there are
	Processes       int           `json:"Processes"` // gateways that are processes of their own, beside the hollow ones
	Rate            float64       `json:"Rate"`      // requests a second at each gateway
	FirstEventDelay time.Duration `json:"First"`
	Events          int           `json:"Events"` // of an answer
	EventGap        time.Duration `json:"Gap"`
	Zones           int           `json:"Zones"`
	Subset          int           `json:"Subset"`
	Probe           bool          `json:"Probe"`
	ChangeInterval  time.Duration `json:"Changes"`  // of the list: one each
	Framing         string        `json:"Framing"`  // of the list
	MemoryMB        int           `json:"MemoryMB"` // of all processes together
}

// Framings of the list that a scale run's discovery can write.
const (
	FramingLength   = "length"
	FramingOneChunk = "one-chunk"
	FramingChunks   = "chunks"
	FramingIndented = "indented"
)

func (p *ScaleRun) keys() []keySpec {
	return []keySpec{
		intKey("seed", &p.Seed, "1", 0, 1<<30, "for all that is drawn"),
		intKey("repeat", &p.Repeat, "2", 1, 20, "runs of each size"),
		durationKey("for", &p.Duration, "8s", time.Second, 10*time.Minute, "what is measured of each run"),
		durationKey("settle", &p.SettleTime, "3s", 0, 10*time.Minute, "before it"),
		intListKey("replicas", &p.Replicas, "100 1000", 1, 20_000, "numbers of replicas to vary, before base-gateways"),
		intListKey("gateways", &p.Gateways, "10 50", 1, 400, "numbers of hollow gateways to vary, before base-replicas"),
		intKey("base-replicas", &p.BaseReplicas, "1000", 1, 20_000, "replicas while gateways vary"),
		intKey("base-gateways", &p.BaseGateways, "20", 1, 400, "hollow gateways while replicas vary"),
		intKey("of", &p.FleetGateways, "0", 0, 100_000, "gateways that each is told there are; 0: as many as there are"),
		intKey("processes", &p.Processes, "2", 0, 20, "gateways that are processes of their own, beside the hollow ones"),
		floatKey("rate", &p.Rate, "37", 0, 1000, "requests a second at each gateway"),
		durationKey("first", &p.FirstEventDelay, "30ms", time.Millisecond, 10*time.Second, "median time to an answer's first event"),
		intKey("events", &p.Events, "4", 1, 1000, "of an answer"),
		durationKey("gap", &p.EventGap, "10ms", 0, 10*time.Second, "between two events"),
		intKey("zones", &p.Zones, "3", 1, 100, "that replicas and gateways are dealt to"),
		intKey("subset", &p.Subset, "128", 0, 100_000, "subset.most of the gateways; 0: none"),
		boolKey("probe", &p.Probe, "on", "whether gateways may ask replicas for their load"),
		durationKey("changes", &p.ChangeInterval, "2s", 100*time.Millisecond, time.Hour, "the list changes once in so long"),
		enumKey("framing", &p.Framing, FramingLength, "how the list is written", FramingLength, FramingOneChunk, FramingChunks, FramingIndented),
		intKey("memory", &p.MemoryMB, "8192", 256, 1<<20, "megabytes that all processes together may take; the run is given up beyond"),
	}
}

// intListKey is a key with several whole numbers.
func intListKey(name string, to *[]int, otherwise string, least, most int, doc string) keySpec {
	show := func() string {
		words := make([]string, len(*to))
		for i, n := range *to {
			words[i] = strconv.Itoa(n)
		}
		return strings.Join(words, " ")
	}
	set := func(words []string) error {
		var list []int
		for _, word := range strings.Fields(strings.Join(words, " ")) {
			n, err := strconv.Atoi(word)
			if err != nil {
				return fmt.Errorf("expected whole numbers, got %q", word)
			}
			if err := checkRange(n, least, most, strconv.Itoa); err != nil {
				return err
			}
			list = append(list, n)
		}
		if len(list) == 0 || len(list) > 20 || !slices.IsSorted(list) || len(slices.Compact(slices.Clone(list))) != len(list) {
			return fmt.Errorf("expected 1 to 20 numbers, each larger than the one before")
		}
		*to = list
		return nil
	}
	return keySpec{name: name, valueType: "numbers", defaultText: otherwise, doc: doc, set: set, get: show}
}

// LoadScaleRun reads a plan with a section [scale]. The error is of type Problems and names all that
// is wrong.
func LoadScaleRun(file string) (*ScaleRun, error) {
	p := &ScaleRun{}
	keys := p.keys()
	for _, k := range keys {
		if err := k.set([]string{k.defaultText}); err != nil {
			panic("scale." + k.name + ": its default: " + err.Error())
		}
	}
	var r reader
	r.readFile(file, "", noPosition)
	seen := map[string]entry{}
	for _, e := range r.entries {
		if e.section != "scale" || e.label != "" {
			r.addProblem(e.file, e.setting.Pos, e.section+"."+e.setting.Key, "expected only a section [scale]")
			continue
		}
		r.assign(keys, e, "scale."+e.setting.Key, seen)
	}
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return p, nil
}
