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
	Sent    int64            `json:"sent"`
	Ends    map[string]int64 `json:"ends"`    // served, broken, refused, failed, late (before a first token), contract
	InTime  int64            `json:"in_time"` // served, with the first token within the aim
	Points  float64          `json:"points"`  // worth answered
	Most    float64          `json:"most"`    // worth asked for
	Retried int64            `json:"retried"` // by clients, after a refusal
	Made    int64            `json:"made"`    // tokens
	first   *hdrhistogram.Histogram
	whole   *hdrhistogram.Histogram
	FirstMs map[string]float64 `json:"first_ms"` // percentiles of the first token
	WholeMs map[string]float64 `json:"whole_ms"` // and of the whole answer
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
	// AsksFailed counts calls of the registry that waited for too long.
	AsksFailed int     `json:"asks_failed"`
	Steps      int64   `json:"steps"`
	Made       int64   `json:"made"` // tokens, by all workers
	Read       int64   `json:"read"`
	Reused     int64   `json:"reused"` // tokens that were kept and not read again
	Preempt    int64   `json:"preempted"`
	Declined   int64   `json:"declined"`
	Probes     int64   `json:"probes"`
	Busy       float64 `json:"busy"` // of the workers' time
	s          *Spec
	workers    int
}

// Window is what ended of what was sent within a span.
type Window struct {
	At     float64 `json:"at_s"`
	Sent   int64   `json:"sent"`
	Served int64   `json:"served"`
	InTime int64   `json:"in_time"`
	Points float64 `json:"points"`
	Most   float64 `json:"most"`
}

// WorthInTime is what was answered in worth, of what was asked for.
func (c *Count) WorthInTime() float64 {
	if c.Most == 0 {
		return 0
	}
	return c.Points / c.Most
}

func newCount() *Count {
	return &Count{Ends: map[string]int64{}, first: hdrhistogram.New(1, 600_000_000, 3), whole: hdrhistogram.New(1, 600_000_000, 3)}
}

// NewResult is one with nothing in it.
func NewResult(s *Spec) *Result {
	r := &Result{All: newCount(), Classes: map[string]*Count{}, Tenants: map[string]*Count{}, s: s}
	window := cmp.Or(s.Window, 10_000_000)
	for at := balancer.Micros(0); at < s.For; at += window {
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

// Retried counts a client that comes back after a refusal.
func (res *Result) Retried(sentAt balancer.Micros, in *balancer.Request) {
	if sentAt < res.s.Warm {
		return
	}
	for _, c := range res.counts(in) {
		c.Retried++
	}
}

// Ended is a request that has ended; times are since the run began.
type Ended struct {
	Class               *balancer.Class
	In                  *balancer.Request
	Out                 int // tokens
	SentAt, FirstAt, At balancer.Micros
	How                 string // served, broken, refused, failed, late or contract
	Attempts, Wasted    int
}

// Note counts a request's end.
func (res *Result) Note(e Ended) {
	if e.SentAt < res.s.Warm {
		return
	}
	res.Attempts += int64(e.Attempts)
	res.Wasted += int64(e.Wasted)
	aim := e.Class.LatencyObjective + e.Class.ObjectivePer1000Tokens*int64(e.In.PromptTokens)/1000
	first := e.FirstAt - e.SentAt
	inTime := e.How == "served" && first <= aim
	points := 0.0
	if e.How == "served" {
		if points = e.Class.PriorityWeight; !inTime {
			points *= e.Class.LateWeightShare
		}
	}
	for _, c := range res.counts(e.In) {
		c.Sent++
		c.Ends[e.How]++
		c.Most += e.Class.PriorityWeight
		c.Points += points
		if e.How == "served" {
			c.Made += int64(e.Out)
			_ = c.first.RecordValue(max(1, first))
			_ = c.whole.RecordValue(max(1, e.At-e.SentAt))
		}
		if inTime {
			c.InTime++
		}
	}
	w := &res.Windows[min(len(res.Windows)-1, int(e.SentAt/cmp.Or(res.s.Window, 10_000_000)))]
	w.Sent++
	w.Most += e.Class.PriorityWeight
	w.Points += points
	if e.How == "served" {
		w.Served++
	}
	if inTime {
		w.InTime++
	}
}

func (res *Result) addWorker(w *replica.Worker) {
	res.workers++
	if w == nil {
		return
	}
	res.Steps += w.Steps
	res.Made += w.Made
	res.Read += w.Read
	res.Reused += w.Reused
	res.Preempt += w.Preempted
	res.Declined += w.Declined
	res.Busy += float64(w.Busy)
}

// Finish sums it up.
func (res *Result) Finish() {
	res.Busy /= float64(res.s.For) * float64(max(1, res.workers))
	for _, c := range slices.Concat([]*Count{res.All}, slices.Collect(maps.Values(res.Classes)), slices.Collect(maps.Values(res.Tenants))) {
		c.FirstMs, c.WholeMs = map[string]float64{}, map[string]float64{}
		for _, p := range []struct {
			name string
			q    float64
		}{{"p50", 50}, {"p90", 90}, {"p95", 95}, {"p99", 99}, {"max", 100}} {
			c.FirstMs[p.name] = float64(c.first.ValueAtQuantile(p.q)) / 1000
			c.WholeMs[p.name] = float64(c.whole.ValueAtQuantile(p.q)) / 1000
		}
	}
}

// Text is the result as JSON: the same bytes for the same run.
func (res *Result) Text() []byte {
	text, err := json.MarshalIndent(res, "", "  ")
	if err != nil {
		panic(err) // numbers and words alone
	}
	return text
}
