package config

import "time"

// scaleSection is the only section of a scale run's plan.
const scaleSection = "scale"

// ScaleRun is the plan of a scale run: which sizes of fleet are measured, and how.
type ScaleRun struct {
	Seed            int           `json:"Seed"`
	Repeat          int           `json:"Repeat"`   // runs of each size
	Duration        time.Duration `json:"For"`      // that is measured of each run
	SettleTime      time.Duration `json:"Settle"`   // before it
	Replicas        []int         `json:"Replicas"` // sizes to vary, with BaseGateways
	Gateways        []int         `json:"Gateways"` // sizes to vary, with BaseReplicas
	BaseReplicas    int           `json:"BaseReplicas"`
	BaseGateways    int           `json:"BaseGateways"`
	FleetGateways   int           `json:"Of"`        // the number of gateways that each assumes; 0: as many as there are
	Processes       int           `json:"Processes"` // gateways that are processes of their own, beside the hollow ones
	Rate            float64       `json:"Rate"`      // requests a second at each gateway
	FirstEventDelay time.Duration `json:"First"`     // the median
	Events          int           `json:"Events"`    // of an answer
	EventGap        time.Duration `json:"Gap"`
	Zones           int           `json:"Zones"`
	Subset          int           `json:"Subset"`   // replicas that a gateway uses; 0: all
	Probe           bool          `json:"Probe"`    // gateways may send health checks
	ChangeInterval  time.Duration `json:"Changes"`  // between two changes of the endpoint list
	Framing         string        `json:"Framing"`  // of the endpoint list
	MemoryMB        int           `json:"MemoryMB"` // of all processes together
}

// Framings in which a scale run's discovery can send the endpoint list.
const (
	FramingLength   = "length"
	FramingOneChunk = "one-chunk"
	FramingChunks   = "chunks"
	FramingIndented = "indented"
)

// keys returns the keys of the section, bound to p.
func (p *ScaleRun) keys() []keySpec {
	return []keySpec{
		intKey("seed", &p.Seed, "1", 0, 1<<30, "of all random draws"),
		intKey("repeat", &p.Repeat, "2", 1, 20, "runs of each size"),
		durationKey("for", &p.Duration, "8s", time.Second, 10*time.Minute, "that is measured of each run"),
		durationKey("settle", &p.SettleTime, "3s", 0, 10*time.Minute, "before it"),
		intListKey("replicas", &p.Replicas, "100 1000", 1, 20_000, "numbers of replicas to vary, with base-gateways"),
		intListKey("gateways", &p.Gateways, "10 50", 1, 400, "numbers of hollow gateways to vary, with base-replicas"),
		intKey("base-replicas", &p.BaseReplicas, "1000", 1, 20_000, "replicas while gateways vary"),
		intKey("base-gateways", &p.BaseGateways, "20", 1, 400, "hollow gateways while replicas vary"),
		intKey("of", &p.FleetGateways, "0", 0, 100_000, "number of gateways that each assumes; 0: as many as there are"),
		intKey("processes", &p.Processes, "2", 0, 20, "gateways that are processes of their own, beside the hollow ones"),
		floatKey("rate", &p.Rate, "37", 0, 1000, "requests a second at each gateway"),
		durationKey("first", &p.FirstEventDelay, "30ms", time.Millisecond, 10*time.Second, "median time to an answer's first event"),
		intKey("events", &p.Events, "4", 1, 1000, "of an answer"),
		durationKey("gap", &p.EventGap, "10ms", 0, 10*time.Second, "between two events"),
		intKey("zones", &p.Zones, "3", 1, 100, "that replicas and gateways are distributed over"),
		intKey("subset", &p.Subset, "128", 0, 100_000, "subset.most of the gateways; 0: none"),
		boolKey("probe", &p.Probe, "on", "health checks that return the load"),
		durationKey("changes", &p.ChangeInterval, "2s", 100*time.Millisecond, time.Hour, "between two changes of the endpoint list"),
		enumKey("framing", &p.Framing, FramingLength, "of the endpoint list", FramingLength, FramingOneChunk, FramingChunks, FramingIndented),
		intKey("memory", &p.MemoryMB, "8192", 256, 1<<20, "megabytes of all processes together; beyond them the run is aborted"),
	}
}

// LoadScaleRun reads the plan of a scale run, a section [scale]. The error is of type
// SettingErrors and has all that is wrong.
func LoadScaleRun(file string) (*ScaleRun, error) {
	p := &ScaleRun{}
	keys := p.keys()
	setDefaults(scaleSection, keys)
	var r reader
	r.readFile(file, "", noPosition)
	seen := map[string]entry{}
	for _, e := range r.entries {
		if e.section != scaleSection || e.label != "" {
			r.addProblem(e.file, e.setting.Pos, e.section+"."+e.setting.Key, "expected only a section [scale]")
			continue
		}
		r.assign(keys, e, scaleSection+"."+e.setting.Key, seen)
	}
	if err := r.err(); err != nil {
		return nil, err
	}
	return p, nil
}
