package config

import "time"

// scaleSection is the only section of a scale run's plan.
const scaleSection = "scale"

// ScaleRun is the plan of a scale run: the fleet sizes to measure, and the load. Hollow
// gateways are gateways that share a process with others.
type ScaleRun struct {
	Seed            int           `json:"Seed"`         // of all random draws
	Repeat          int           `json:"Repeat"`       // runs of each size
	Duration        time.Duration `json:"For"`          // measured part of each run
	SettleTime      time.Duration `json:"Settle"`       // from the start of the fleet to the measurement
	Replicas        []int         `json:"Replicas"`     // numbers of replicas to measure, with BaseGateways
	Gateways        []int         `json:"Gateways"`     // numbers of hollow gateways to measure, with BaseReplicas
	BaseReplicas    int           `json:"BaseReplicas"` // while Gateways vary
	BaseGateways    int           `json:"BaseGateways"` // while Replicas vary
	FleetGateways   int           `json:"Of"`           // number of gateways in the configuration of each; the number that run, if larger
	Processes       int           `json:"Processes"`    // gateways in a process each, in addition to the hollow gateways
	Rate            float64       `json:"Rate"`         // requests a second at each gateway
	FirstEventDelay time.Duration `json:"First"`        // median time to the first event of an answer
	Events          int           `json:"Events"`       // per answer
	EventGap        time.Duration `json:"Gap"`          // between two events of an answer
	Zones           int           `json:"Zones"`        // that replicas and gateways are distributed over
	Subset          int           `json:"Subset"`       // replicas that a gateway uses; 0: all
	Probe           bool          `json:"Probe"`        // gateways may send health checks
	ChangeInterval  time.Duration `json:"Changes"`      // between two changes of the endpoint list
	Framing         string        `json:"Framing"`      // of the endpoint list; one of the Framing constants
	MemoryMB        int           `json:"MemoryMB"`     // limit on all processes together; beyond it the run is aborted
}

// Framings in which a scale run's discovery can send the endpoint list.
const (
	FramingLength   = "length"    // body with a Content-Length
	FramingOneChunk = "one-chunk" // chunked encoding, the body in one chunk
	FramingChunks   = "chunks"    // chunked encoding, the body in several chunks
	FramingIndented = "indented"  // indented JSON with a Content-Length
)

// keys returns the keys of the section [scale], bound to p.
func (p *ScaleRun) keys() []keySpec {
	return []keySpec{
		intKey("seed", &p.Seed, "1", 0, 1<<30, "seed of all random draws"),
		intKey("repeat", &p.Repeat, "2", 1, 20, "runs of each size"),
		durationKey("for", &p.Duration, "8s", time.Second, 10*time.Minute, "length of the measurement in each run"),
		durationKey("settle", &p.SettleTime, "3s", 0, 10*time.Minute, "time from the start of the fleet to the measurement"),
		intListKey("replicas", &p.Replicas, "100 1000", 1, 20_000, "numbers of replicas to measure, with base-gateways"),
		intListKey("gateways", &p.Gateways, "10 50", 1, 400, "numbers of hollow gateways to measure, with base-replicas"),
		intKey("base-replicas", &p.BaseReplicas, "1000", 1, 20_000, "replicas while gateways vary"),
		intKey("base-gateways", &p.BaseGateways, "20", 1, 400, "hollow gateways while replicas vary"),
		intKey("of", &p.FleetGateways, "0", 0, 100_000, "number of gateways in the configuration of each; the number that run, if larger"),
		intKey("processes", &p.Processes, "2", 0, 20, "gateways in a process each, in addition to the hollow gateways"),
		floatKey("rate", &p.Rate, "37", 0, 1000, "requests a second at each gateway"),
		durationKey("first", &p.FirstEventDelay, "30ms", time.Millisecond, 10*time.Second, "median time to an answer's first event"),
		intKey("events", &p.Events, "4", 1, 1000, "events per answer"),
		durationKey("gap", &p.EventGap, "10ms", 0, 10*time.Second, "time between two events"),
		intKey("zones", &p.Zones, "3", 1, 100, "zones that replicas and gateways are distributed over"),
		intKey("subset", &p.Subset, "128", 0, 100_000, "maximum number of replicas that a gateway uses; 0: all"),
		boolKey("probe", &p.Probe, "on", "health checks that return the load"),
		durationKey("changes", &p.ChangeInterval, "2s", 100*time.Millisecond, time.Hour, "time between two changes of the endpoint list"),
		enumKey("framing", &p.Framing, FramingLength, "framing of the endpoint list", FramingLength, FramingOneChunk, FramingChunks, FramingIndented),
		intKey("memory", &p.MemoryMB, "8192", 256, 1<<20, "memory limit on all processes together, megabytes; beyond it the run is aborted"),
	}
}

// LoadScaleRun reads the plan of a scale run, which consists of a section [scale]. The
// error is of type SettingErrors and lists all errors.
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
