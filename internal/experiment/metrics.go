package experiment

import "archknot/internal/fleet/model"

// Metric is a scalar computed from a run's result by which variants are compared.
type Metric struct {
	Name           string // in summaries, and of the flag --figure of `experiment gate`
	HigherIsBetter bool
	value          func(*model.Result) float64
}

// Metrics contains all metrics in the order in which they are printed; the first is the default of a gate.
var Metrics = []Metric{
	{"worth_in_time", true, func(r *model.Result) float64 { return r.All.WeightedGoodput() }},
	{"worst_class", true, func(r *model.Result) float64 { return worstGoodput(r.Classes) }},
	{"worst_tenant", true, func(r *model.Result) float64 { return worstGoodput(r.Tenants) }},
	{"worst_window", true, worstWindow},
	{"first_p50_ms", false, func(r *model.Result) float64 { return r.All.FirstTokenMs["p50"] }},
	{"first_p95_ms", false, func(r *model.Result) float64 { return r.All.FirstTokenMs["p95"] }},
	{"first_p99_ms", false, func(r *model.Result) float64 { return r.All.FirstTokenMs["p99"] }},
	{"whole_p95_ms", false, func(r *model.Result) float64 { return r.All.ResponseMs["p95"] }},
	{"refused_share", false, func(r *model.Result) float64 {
		return outcomeFraction(r.All, model.OutcomeShed, model.OutcomeFailed, model.OutcomeContract)
	}},
	{"late_share", false, func(r *model.Result) float64 {
		return outcomeFraction(r.All, model.OutcomeLate, model.OutcomeBroken)
	}},
	{"attempts_a_request", false, func(r *model.Result) float64 { return float64(r.Attempts) / float64(max(1, r.All.Sent)) }},
	{"wasted_a_request", false, func(r *model.Result) float64 { return float64(r.Wasted) / float64(max(1, r.All.Sent)) }},
	{"read_anew", false, func(r *model.Result) float64 {
		return float64(r.PromptTokensRead) / float64(max(1, r.PromptTokensRead+r.PromptTokensReused))
	}},
}

// worstGoodput returns the least weighted goodput of several counts, or 1 if none has weight.
func worstGoodput(counts map[string]*model.Count) float64 {
	worst := 1.0
	for _, c := range counts {
		if c.WeightOffered > 0 {
			worst = min(worst, c.WeightedGoodput())
		}
	}
	return worst
}

// worstWindow returns the least weighted goodput of a run's windows, or 1 if none has weight.
func worstWindow(r *model.Result) float64 {
	worst := 1.0
	for _, w := range r.Windows {
		if w.WeightOffered > 0 {
			worst = min(worst, w.WeightServed/w.WeightOffered)
		}
	}
	return worst
}

// outcomeFraction returns the fraction of requests with one of the outcomes.
func outcomeFraction(c *model.Count, outcomes ...string) float64 {
	n := int64(0)
	for _, outcome := range outcomes {
		n += c.Ends[outcome]
	}
	return float64(n) / float64(max(1, c.Sent))
}
