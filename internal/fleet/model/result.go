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

// Count is how requests of one kind ended.
type Count struct {
	Sent          int64            `json:"sent"`
	Ends          map[string]int64 `json:"ends"`    // served, broken, refused, failed, late (before a first token), contract
	InTime        int64            `json:"in_time"` // served, with the first token within the aim
	WeightServed  float64          `json:"points"`  // worth answered
	WeightOffered float64          `json:"most"`    // worth asked for
	Retried       int64            `json:"retried"` // by clients, after a refusal
	OutputTokens  int64            `json:"made"`    // tokens
	firstToken    *hdrhistogram.Histogram
	response      *hdrhistogram.Histogram
	FirstTokenMs  map[string]float64 `json:"first_ms"` // percentiles of the first token
	ResponseMs    map[string]float64 `json:"whole_ms"` // and of the whole answer
}

// Result of a run.
type Result struct {
	All      *Count            `json:"all"`
	Classes  map[string]*Count `json:"classes"`
	Tenants  map[string]*Count `json:"tenants"`
	Windows  []Window          `json:"windows"`
	Attempts int64             `json:"attempts"`
	Wasted   int64             `json:"wasted"` // attempts that may have run and served nobody
	Events   uint64            `json:"events"`
	// DiscoveryCallsFailed counts calls of the registry that waited for too long.
	DiscoveryCallsFailed int     `json:"asks_failed"`
	Steps                int64   `json:"steps"`
	OutputTokens         int64   `json:"made"` // tokens, by all workers
	PromptTokensRead     int64   `json:"read"`
	PromptTokensReused   int64   `json:"reused"` // tokens that were kept and not read again
	Preempted            int64   `json:"preempted"`
	Declined             int64   `json:"declined"`
	HealthChecks         int64   `json:"probes"`
	BusyShare            float64 `json:"busy"` // of the workers' time
	spec                 *Spec
	replicaCount         int
}

// Window is what ended of what was sent within a span.
type Window struct {
	At            float64 `json:"at_s"`
	Sent          int64   `json:"sent"`
	Served        int64   `json:"served"`
	InTime        int64   `json:"in_time"`
	WeightServed  float64 `json:"points"`
	WeightOffered float64 `json:"most"`
}

// WeightedGoodput is what was answered in worth, of what was asked for.
func (c *Count) WeightedGoodput() float64 {
	if c.WeightOffered == 0 {
		return 0
	}
	return c.WeightServed / c.WeightOffered
}

func newCount() *Count {
	return &Count{Ends: map[string]int64{}, firstToken: hdrhistogram.New(1, 600_000_000, 3), response: hdrhistogram.New(1, 600_000_000, 3)}
}

// NewResult is one with nothing in it.
func NewResult(s *Spec) *Result {
	r := &Result{All: newCount(), Classes: map[string]*Count{}, Tenants: map[string]*Count{}, spec: s}
	window := cmp.Or(s.WindowLength, 10_000_000)
	for at := balancer.Micros(0); at < s.Duration; at += window {
		r.Windows = append(r.Windows, Window{At: float64(at) / 1e6})
	}
	return r
}

func (res *Result) counts(in *balancer.Request) []*Count {
	if res.Classes[in.Class] == nil {
		res.Classes[in.Class] = newCount()
	}
	if res.Tenants[in.Tenant] == nil {
		res.Tenants[in.Tenant] = newCount()
	}
	return []*Count{res.All, res.Classes[in.Class], res.Tenants[in.Tenant]}
}

// CountRetry counts a client that comes back after a refusal.
func (res *Result) CountRetry(sentAt balancer.Micros, in *balancer.Request) {
	if sentAt < res.spec.WarmUp {
		return
	}
	for _, c := range res.counts(in) {
		c.Retried++
	}
}

// RequestEnd is a request that has ended; times are since the run began.
type RequestEnd struct {
	Class                         *balancer.Class
	Request                       *balancer.Request
	OutputTokens                  int // tokens
	SentAt, FirstTokenAt, EndedAt balancer.Micros
	Outcome                       string // served, broken, refused, failed, late or contract
	Attempts, Wasted              int
}

// CountEnd counts a request's end.
func (res *Result) CountEnd(e RequestEnd) {
	if e.SentAt < res.spec.WarmUp {
		return
	}
	res.Attempts += int64(e.Attempts)
	res.Wasted += int64(e.Wasted)
	aim := e.Class.LatencyObjective + e.Class.ObjectivePer1000Tokens*int64(e.Request.PromptTokens)/1000
	first := e.FirstTokenAt - e.SentAt
	inTime := e.Outcome == "served" && first <= aim
	points := 0.0
	if e.Outcome == "served" {
		if points = e.Class.PriorityWeight; !inTime {
			points *= e.Class.LateWeightShare
		}
	}
	for _, c := range res.counts(e.Request) {
		c.Sent++
		c.Ends[e.Outcome]++
		c.WeightOffered += e.Class.PriorityWeight
		c.WeightServed += points
		if e.Outcome == "served" {
			c.OutputTokens += int64(e.OutputTokens)
			_ = c.firstToken.RecordValue(max(1, first))
			_ = c.response.RecordValue(max(1, e.EndedAt-e.SentAt))
		}
		if inTime {
			c.InTime++
		}
	}
	w := &res.Windows[min(len(res.Windows)-1, int(e.SentAt/cmp.Or(res.spec.WindowLength, 10_000_000)))]
	w.Sent++
	w.WeightOffered += e.Class.PriorityWeight
	w.WeightServed += points
	if e.Outcome == "served" {
		w.Served++
	}
	if inTime {
		w.InTime++
	}
}

func (res *Result) addReplica(w *replica.Simulator) {
	res.replicaCount++
	if w == nil {
		return
	}
	res.Steps += w.Steps
	res.OutputTokens += w.OutputTokens
	res.PromptTokensRead += w.PromptTokensRead
	res.PromptTokensReused += w.PromptTokensReused
	res.Preempted += w.Preempted
	res.Declined += w.Declined
	res.BusyShare += float64(w.BusyTime)
}

// Finish sums it up.
func (res *Result) Finish() {
	res.BusyShare /= float64(res.spec.Duration) * float64(max(1, res.replicaCount))
	for _, c := range slices.Concat([]*Count{res.All}, slices.Collect(maps.Values(res.Classes)), slices.Collect(maps.Values(res.Tenants))) {
		c.FirstTokenMs, c.ResponseMs = map[string]float64{}, map[string]float64{}
		for _, p := range []struct {
			name string
			q    float64
		}{{"p50", 50}, {"p90", 90}, {"p95", 95}, {"p99", 99}, {"max", 100}} {
			c.FirstTokenMs[p.name] = float64(c.firstToken.ValueAtQuantile(p.q)) / 1000
			c.ResponseMs[p.name] = float64(c.response.ValueAtQuantile(p.q)) / 1000
		}
	}
}

// JSON is the result as JSON: the same bytes for the same run.
func (res *Result) JSON() []byte {
	text, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		panic(err) // numbers and words alone
	}
	return text
}
