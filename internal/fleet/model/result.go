package model

import (
	"cmp"
	"encoding/json"
	"maps"
	"slices"

	"github.com/HdrHistogram/hdrhistogram-go"

	"archknot/balancer"
	"archknot/internal/fleet/replica"
)

// Outcomes of a request as its client sees them.
const (
	OutcomeServed   = "served"
	OutcomeBroken   = "broken"   // the answer was interrupted
	OutcomeShed     = "refused"  // an overload response
	OutcomeFailed   = "failed"   // a failure response or no response
	OutcomeLate     = "late"     // no first token before the client's timeout
	OutcomeContract = "contract" // rejected by the team's contract
)

// defaultWindowLength is the length of a Window if the Spec does not set one.
const defaultWindowLength = 10_000_000 // microseconds

// Parameters of the latency histograms.
const (
	minLatency    = 1           // microseconds
	maxLatency    = 600_000_000 // microseconds
	latencyDigits = 3           // significant decimal digits
)

// Count holds the totals of a set of requests. Weights are the priority weights of their classes.
type Count struct {
	Sent          int64            `json:"sent"`
	Ends          map[string]int64 `json:"ends"`    // by outcome
	InTime        int64            `json:"in_time"` // served, with the first token within the latency objective
	WeightServed  float64          `json:"points"`  // of served requests; late ones are multiplied by their class's LateWeightShare
	WeightOffered float64          `json:"most"`    // of all requests
	Retried       int64            `json:"retried"` // retries of clients whose requests were shed
	OutputTokens  int64            `json:"made"`    // of served requests
	firstToken    *hdrhistogram.Histogram
	response      *hdrhistogram.Histogram
	FirstTokenMs  map[string]float64 `json:"first_ms"` // percentiles of the time to the first token
	ResponseMs    map[string]float64 `json:"whole_ms"` // percentiles of the time to the end of the answer
}

// Result holds the measurements of a run. Requests that are sent during WarmUp are not in the counts, the
// windows, Attempts and Wasted; the totals of replicas, discovery and health checks cover the whole run.
type Result struct {
	All      *Count            `json:"all"`
	Classes  map[string]*Count `json:"classes"`
	Tenants  map[string]*Count `json:"tenants"`
	Windows  []Window          `json:"windows"`
	Attempts int64             `json:"attempts"`
	Wasted   int64             `json:"wasted"` // attempts that may have run and whose output was not used
	Events   uint64            `json:"events"` // processed by the simulation
	// DiscoveryCallsFailed counts the calls to discovery that timed out in its queue.
	DiscoveryCallsFailed int     `json:"asks_failed"`
	Steps                int64   `json:"steps"`
	OutputTokens         int64   `json:"made"` // of all replicas, including those of unserved requests
	PromptTokensRead     int64   `json:"read"`
	PromptTokensReused   int64   `json:"reused"` // found in a replica's cache
	Preempted            int64   `json:"preempted"`
	Declined             int64   `json:"declined"`
	HealthChecks         int64   `json:"probes"`
	BusyFraction         float64 `json:"busy"` // busy fraction of the replicas' time
	spec                 *Spec
	replicaCount         int
}

// Window holds the totals of the requests that were sent within an interval of the run.
type Window struct {
	At            float64 `json:"at_s"` // beginning, in seconds since the run began
	Sent          int64   `json:"sent"`
	Served        int64   `json:"served"`
	InTime        int64   `json:"in_time"`
	WeightServed  float64 `json:"points"`
	WeightOffered float64 `json:"most"`
}

// RequestEnd describes a request that has ended. Times are relative to the beginning of the run.
type RequestEnd struct {
	Class                         *balancer.Class
	Request                       *balancer.Request
	OutputTokens                  int
	SentAt, FirstTokenAt, EndedAt balancer.Micros
	Outcome                       string
	Attempts, Wasted              int
}

// WeightedGoodput returns the fraction of the offered weight that was served, 0 if none was offered.
func (c *Count) WeightedGoodput() float64 {
	if c.WeightOffered == 0 {
		return 0
	}
	return c.WeightServed / c.WeightOffered
}

func newCount() *Count {
	return &Count{
		Ends:       map[string]int64{},
		firstToken: hdrhistogram.New(minLatency, maxLatency, latencyDigits),
		response:   hdrhistogram.New(minLatency, maxLatency, latencyDigits),
	}
}

// NewResult returns an empty result with one Window for each interval of the run.
func NewResult(spec *Spec) *Result {
	res := &Result{All: newCount(), Classes: map[string]*Count{}, Tenants: map[string]*Count{}, spec: spec}
	for at := balancer.Micros(0); at < spec.Duration; at += spec.windowLength() {
		res.Windows = append(res.Windows, Window{At: float64(at) / 1e6})
	}
	return res
}

func (s *Spec) windowLength() balancer.Micros { return cmp.Or(s.WindowLength, defaultWindowLength) }

// countsOf returns the counts of all requests, of the request's class and of its tenant.
func (res *Result) countsOf(request *balancer.Request) []*Count {
	if res.Classes[request.Class] == nil {
		res.Classes[request.Class] = newCount()
	}
	if res.Tenants[request.Tenant] == nil {
		res.Tenants[request.Tenant] = newCount()
	}
	return []*Count{res.All, res.Classes[request.Class], res.Tenants[request.Tenant]}
}

// CountRetry counts the retry of a request. sentAt is the request's send time since the run began; requests
// sent during WarmUp are not counted.
func (res *Result) CountRetry(sentAt balancer.Micros, request *balancer.Request) {
	if sentAt < res.spec.WarmUp {
		return
	}
	for _, c := range res.countsOf(request) {
		c.Retried++
	}
}

// CountEnd counts a request that has ended, unless it was sent during WarmUp.
func (res *Result) CountEnd(e RequestEnd) {
	if e.SentAt < res.spec.WarmUp {
		return
	}
	res.Attempts += int64(e.Attempts)
	res.Wasted += int64(e.Wasted)
	served, inTime, weight := e.Outcome == OutcomeServed, e.inTime(), e.weightServed()
	for _, c := range res.countsOf(e.Request) {
		c.Sent++
		c.Ends[e.Outcome]++
		c.WeightOffered += e.Class.PriorityWeight
		c.WeightServed += weight
		if served {
			c.OutputTokens += int64(e.OutputTokens)
			// RecordValue returns an error above maxLatency: such values are left out of the percentiles.
			_ = c.firstToken.RecordValue(max(minLatency, e.firstTokenLatency()))
			_ = c.response.RecordValue(max(minLatency, e.EndedAt-e.SentAt))
		}
		if inTime {
			c.InTime++
		}
	}
	window := &res.Windows[min(len(res.Windows)-1, int(e.SentAt/res.spec.windowLength()))]
	window.Sent++
	window.WeightOffered += e.Class.PriorityWeight
	window.WeightServed += weight
	if served {
		window.Served++
	}
	if inTime {
		window.InTime++
	}
}

func (e *RequestEnd) firstTokenLatency() balancer.Micros { return e.FirstTokenAt - e.SentAt }

// inTime reports whether the request was served within its class's latency objective.
func (e *RequestEnd) inTime() bool {
	objective := e.Class.LatencyObjective + e.Class.ObjectivePer1000Tokens*int64(e.Request.PromptTokens)/1000
	return e.Outcome == OutcomeServed && e.firstTokenLatency() <= objective
}

// weightServed returns the priority weight credited to the request; late ones get LateWeightShare of it.
func (e *RequestEnd) weightServed() float64 {
	switch {
	case e.Outcome != OutcomeServed:
		return 0
	case e.inTime():
		return e.Class.PriorityWeight
	default:
		return e.Class.PriorityWeight * e.Class.LateWeightShare
	}
}

// addReplica adds the counts of a replica; r is nil if its process is not running.
func (res *Result) addReplica(r *replica.Simulator) {
	res.replicaCount++
	if r == nil {
		return
	}
	res.Steps += r.Steps
	res.OutputTokens += r.OutputTokens
	res.PromptTokensRead += r.PromptTokensRead
	res.PromptTokensReused += r.PromptTokensReused
	res.Preempted += r.Preempted
	res.Declined += r.Declined
	res.BusyFraction += float64(r.BusyTime)
}

// percentiles lists the percentiles in FirstTokenMs and ResponseMs.
var percentiles = []struct {
	name     string
	quantile float64
}{{"p50", 50}, {"p90", 90}, {"p95", 95}, {"p99", 99}, {"max", 100}}

// Finish computes the percentiles and BusyFraction. Call it once, after the last request has been counted.
func (res *Result) Finish() {
	res.BusyFraction /= float64(res.spec.Duration) * float64(max(1, res.replicaCount))
	for _, c := range slices.Concat([]*Count{res.All}, slices.Collect(maps.Values(res.Classes)), slices.Collect(maps.Values(res.Tenants))) {
		c.FirstTokenMs, c.ResponseMs = map[string]float64{}, map[string]float64{}
		for _, p := range percentiles {
			c.FirstTokenMs[p.name] = float64(c.firstToken.ValueAtQuantile(p.quantile)) / 1000
			c.ResponseMs[p.name] = float64(c.response.ValueAtQuantile(p.quantile)) / 1000
		}
	}
}

// JSON returns the result as indented JSON. Equal results give equal bytes.
func (res *Result) JSON() []byte {
	text, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		panic(err) // cannot happen: a result contains only numbers and strings
	}
	return text
}
