package conf

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"
)

// ScaleRun is the plan of a scale run: which sizes of fleet are measured, and how.
type ScaleRun struct {
	Seed         int           `json:"Seed"`
	Repeat       int           `json:"Repeat"`   // runs of each size
	For          time.Duration `json:"For"`      // what is measured of each
	Settle       time.Duration `json:"Settle"`   // before it
	Replicas     []int         `json:"Replicas"` // sizes to vary, before the base number of gateways
	Gateways     []int         `json:"Gateways"` // and the other way round
	BaseReplicas int           `json:"BaseReplicas"`
	BaseGateways int           `json:"BaseGateways"`
	Of           int           `json:"Of"`        // gateways that each is told there are
	Processes    int           `json:"Processes"` // gateways that are processes of their own, beside the hollow ones
	Rate         float64       `json:"Rate"`      // requests a second at each gateway
	First        time.Duration `json:"First"`
	Events       int           `json:"Events"` // of an answer
	Gap          time.Duration `json:"Gap"`
	Zones        int           `json:"Zones"`
	Subset       int           `json:"Subset"`
	Probe        bool          `json:"Probe"`
	Changes      time.Duration `json:"Changes"`  // of the list: one each
	Framing      string        `json:"Framing"`  // of the list
	MemoryMB     int           `json:"MemoryMB"` // of all processes together
}

// Framings of the list that a scale run's discovery can write.
const (
	FramingLength   = "length"
	FramingOneChunk = "one-chunk"
	FramingChunks   = "chunks"
	FramingIndented = "indented"
)

func (p *ScaleRun) keys() []key {
	return []key{
		count("seed", &p.Seed, "1", 0, 1<<30, "for all that is drawn"),
		count("repeat", &p.Repeat, "2", 1, 20, "runs of each size"),
		duration("for", &p.For, "8s", time.Second, 10*time.Minute, "what is measured of each run"),
		duration("settle", &p.Settle, "3s", 0, 10*time.Minute, "before it"),
		counts("replicas", &p.Replicas, "100 1000", 1, 20_000, "numbers of replicas to vary, before base-gateways"),
		counts("gateways", &p.Gateways, "10 50", 1, 400, "numbers of hollow gateways to vary, before base-replicas"),
		count("base-replicas", &p.BaseReplicas, "1000", 1, 20_000, "replicas while gateways vary"),
		count("base-gateways", &p.BaseGateways, "20", 1, 400, "hollow gateways while replicas vary"),
		count("of", &p.Of, "0", 0, 100_000, "gateways that each is told there are; 0: as many as there are"),
		count("processes", &p.Processes, "2", 0, 20, "gateways that are processes of their own, beside the hollow ones"),
		factor("rate", &p.Rate, "37", 0, 1000, "requests a second at each gateway"),
		duration("first", &p.First, "30ms", time.Millisecond, 10*time.Second, "median time to an answer's first event"),
		count("events", &p.Events, "4", 1, 1000, "of an answer"),
		duration("gap", &p.Gap, "10ms", 0, 10*time.Second, "between two events"),
		count("zones", &p.Zones, "3", 1, 100, "that replicas and gateways are dealt to"),
		count("subset", &p.Subset, "128", 0, 100_000, "subset.most of the gateways; 0: none"),
		onOff("probe", &p.Probe, "on", "whether gateways may ask replicas for their load"),
		duration("changes", &p.Changes, "2s", 100*time.Millisecond, time.Hour, "the list changes once in so long"),
		choiceOf("framing", &p.Framing, FramingLength, "how the list is written", FramingLength, FramingOneChunk, FramingChunks, FramingIndented),
		count("memory", &p.MemoryMB, "8192", 256, 1<<20, "megabytes that all processes together may take; the run is given up beyond"),
	}
}

// counts is a key with several whole numbers.
func counts(name string, to *[]int, otherwise string, least, most int, doc string) key {
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
			if err := within(n, least, most, strconv.Itoa); err != nil {
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
	return key{name: name, form: "numbers", otherwise: otherwise, doc: doc, set: set, get: show}
}

// LoadScaleRun reads a plan with a section [scale]. The error is of type Problems and names all that
// is wrong.
func LoadScaleRun(file string) (*ScaleRun, error) {
	p := &ScaleRun{}
	keys := p.keys()
	for _, k := range keys {
		if err := k.set([]string{k.otherwise}); err != nil {
			panic("scale." + k.name + ": its default: " + err.Error())
		}
	}
	var r reader
	r.file(file, "", posNone)
	seen := map[string]entry{}
	for _, e := range r.entries {
		if e.section != "scale" || e.label != "" {
			r.problem(e.file, e.set.Pos, e.section+"."+e.set.Key, "expected only a section [scale]")
			continue
		}
		r.assign(keys, e, "scale."+e.set.Key, seen)
	}
	if len(r.problems) > 0 {
		return nil, r.problems
	}
	return p, nil
}
