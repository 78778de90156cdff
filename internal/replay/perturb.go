package replay

import (
	"errors"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"strings"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// Perturbation is a kind of fault that is injected into the module's events.
type Perturbation string

// The perturbations, with the names that commands use.
const (
	LateReports       Perturbation = "late"      // load reports arrive with later responses and out of order
	EvictedPrompts    Perturbation = "void"      // replicas have no cached prompts from the midpoint of the run on
	DuplicateOutcomes Perturbation = "duplicate" // outcomes arrive twice, also after the end of the request
	DelayedOutcomes   Perturbation = "delay"     // outcomes arrive with delays of up to seconds, some past the deadline
	LostAttempts      Perturbation = "lost"      // some attempts fail
)

// Perturbations lists all kinds.
var Perturbations = []Perturbation{LateReports, EvictedPrompts, DuplicateOutcomes, DelayedOutcomes, LostAttempts}

// allPerturbations selects all kinds in ParsePerturbations.
const allPerturbations = "all"

// ParsePerturbations parses a comma-separated list of perturbations; "all" selects every kind.
func ParsePerturbations(text string) (map[Perturbation]bool, error) {
	out := map[Perturbation]bool{}
	for _, name := range strings.Split(text, ",") {
		known := false
		for _, p := range Perturbations {
			if name == allPerturbations || name == string(p) {
				out[p], known = true, true
			}
		}
		if !known {
			return nil, fmt.Errorf("no perturbation %q; there are all, late, void, duplicate, delay, lost", name)
		}
	}
	return out, nil
}

// PerturbResult counts the requests by outcome and lists the violations of the module's invariants.
type PerturbResult struct {
	Requests     uint64   `json:"requests"`
	Served       uint64   `json:"served"`
	Shed         uint64   `json:"refused"`
	Failed       uint64   `json:"failed"`
	Disconnected uint64   `json:"left"` // requests whose clients disconnected
	Attempts     uint64   `json:"attempts"`
	Events       uint64   `json:"events"`
	MaxInFlight  int      `json:"most_in_hand"` // largest number of requests in flight
	Violations   []string `json:"faults"`       // the first maxViolations

	violationCount uint64
}

// Line summarizes the result in one line.
func (r *PerturbResult) Line() string {
	return fmt.Sprintf("events=%d requests=%d served=%d refused=%d failed=%d left=%d attempts=%d most_in_hand=%d faults=%d",
		r.Events, r.Requests, r.Served, r.Shed, r.Failed, r.Disconnected, r.Attempts, r.MaxInFlight, r.violationCount)
}

const (
	// maxViolations bounds the number of violations that a result describes.
	maxViolations = 20
	// maxSamples bounds the number of recorded outcomes from which requests without one get theirs.
	maxSamples = 4096
	// drainTime is the time after the last event within which all requests must have ended. It exceeds every deadline.
	drainTime balancer.Micros = 120_000_000
)

// Perturb replays a run with perturbations through this build's module and checks the invariants: each request gets
// exactly one final answer and no more attempts than allowed, no attempt goes to a draining or removed replica, and the
// module's memory stays bounded. A panic counts as a violation. Equal seeds give equal perturbations.
func Perturb(run *capture.Run, kinds map[Perturbation]bool, seed uint64) (result *PerturbResult, err error) {
	f := newPerturbedFleet(run, kinds, seed)
	entries, err := f.load(run)
	if err != nil {
		return nil, err
	}
	defer func() {
		if p := recover(); p != nil {
			f.addViolation("panic: %v", p)
			result, err = f.result, nil
		}
	}()
	for _, e := range entries {
		f.advanceTo(e.At)
		if err := f.playEntry(run, e); err != nil {
			return nil, err
		}
	}
	f.advanceTo(f.now + drainTime)
	f.checkDrained()
	return f.result, nil
}

// load reads the run. It returns the events to be played, in order from the first checkpoint on, and stores the
// recorded outcomes in f.
func (f *perturbedFleet) load(run *capture.Run) (out []capture.Entry, err error) {
	r, err := capture.NewReader(run, math.MinInt64)
	if err != nil {
		return nil, err
	}
	defer r.Close()
	for {
		e, err := r.Next()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return nil, err
		}
		if e.Record == nil {
			continue
		}
		switch record := e.Record; record.Kind {
		case pb.Kind_KIND_CHECKPOINT:
			if len(out) == 0 {
				out = append(out, e)
			}
		case pb.Kind_KIND_LIST, pb.Kind_KIND_START, pb.Kind_KIND_ARRIVED, pb.Kind_KIND_LEFT, pb.Kind_KIND_MESSAGE, pb.Kind_KIND_RECONFIGURE:
			if len(out) > 0 {
				out = append(out, e)
			}
		case pb.Kind_KIND_FIRST:
			f.firstTokens[record.Request] = append(f.firstTokens[record.Request], record.Outcome)
		case pb.Kind_KIND_ENDED:
			f.outcomes[record.Request] = append(f.outcomes[record.Request], record.Outcome)
			if record.Outcome.Status == uint32(balancer.Served) && len(f.samples) < maxSamples {
				f.samples = append(f.samples, record.Outcome)
			}
		}
	}
	if len(out) == 0 {
		return nil, errNoCheckpoint
	}
	return out, nil
}

var errNoCheckpoint = errors.New("capture has no checkpoint to start from")

func newPerturbedFleet(run *capture.Run, kinds map[Perturbation]bool, seed uint64) *perturbedFleet {
	return &perturbedFleet{
		result:        &PerturbResult{Violations: []string{}},
		kinds:         kinds,
		rng:           rand.New(rand.NewPCG(seed, 1)),
		midpoint:      run.Begin() + (run.End()-run.Begin())/2,
		maxAttempts:   run.Settings.MaxAttempts,
		replicas:      map[balancer.ReplicaID]balancer.EndpointState{},
		requests:      map[balancer.RequestID]*simulatedRequest{},
		outcomes:      map[uint32][]*pb.Outcome{},
		firstTokens:   map[uint32][]*pb.Outcome{},
		recentReports: map[uint32][]*pb.Report{},
	}
}
