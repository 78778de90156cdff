package faulttest

import (
	"slices"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/emulate"
	"archknot/internal/fleet/model"
)

const (
	// interruptedAfter is the minimum time in flight, before the gateway's end, of a request that counts as
	// interrupted.
	interruptedAfter balancer.Micros = 50_000
	// lossWindow is the time after the first gateway fault in which new requests count for Result.WeightLost.
	lossWindow balancer.Micros = 10_000_000
	// vanishGrace is the time after the loss of a machine in which attempts do not count for
	// Result.ToVanishedFraction.
	vanishGrace = 1500 * time.Millisecond
)

// Result is the result of a drill.
type Result struct {
	Seed               uint64                  `json:"seed"`
	Sent               int                     `json:"sent"`
	Outcomes           map[string]int          `json:"ends"` // number of requests by their outcome for the client
	WeightServed       float64                 `json:"worth"`
	WeightOffered      float64                 `json:"worth_asked"`
	Interrupted        int                     `json:"caught"`         // idempotent requests in flight for over 50 ms at a gateway that was killed or terminated
	Recovered          int                     `json:"saved"`          // of those, completely served in time
	WeightLost         float64                 `json:"worth_lost_10s"` // priority weight not served, of requests in flight at the first gateway fault or sent within 10 s after it
	FirstTokenMs       map[string]float64      `json:"first_ms"`       // percentiles
	CPUMsPerRequest    float64                 `json:"cpu_ms_request"` // of the gateways' processes that ran to the end
	MemoryMB           float64                 `json:"memory_mb"`      // the largest resident memory of one of them at the end
	OpenFiles          int                     `json:"files"`          // the most open descriptors of one of them at the end
	Classes            map[string]*ClassResult `json:"classes"`
	ToVanishedFraction float64                 `json:"to_lost"` // fraction of the attempts that went to vanished replicas, from 1.5 s after they vanished
	Violations         []Violation             `json:"breaks"`
	Crashes            []string                `json:"crashes"`
	Skipped            int                     `json:"left_out"` // requests that the emulator did not send
}

// ClassResult is the part of a Result for the requests of one class.
type ClassResult struct {
	Sent          int     `json:"sent"`
	InTime        int     `json:"in_time"` // served with the first token within the latency objective
	Shed          int     `json:"refused"`
	WeightServed  float64 `json:"worth"`
	WeightOffered float64 `json:"worth_asked"`
}

// clientRequest holds the first and the last attempt of a client's request.
type clientRequest struct{ first, last emulate.ClientAttempt }

// groupRequests groups attempts by the id of their request's first attempt. A client resends a request of which no
// gateway has a record under a new id; the resent request belongs to the first one's group.
func groupRequests(attempts []emulate.ClientAttempt) map[string]*clientRequest {
	byRoot := map[string]*clientRequest{}
	for _, attempt := range attempts {
		request := byRoot[attempt.RootID]
		if request == nil {
			request = &clientRequest{first: attempt, last: attempt}
			byRoot[attempt.RootID] = request
		}
		if attempt.ResumeIndex <= request.first.ResumeIndex {
			request.first = attempt
		}
		if attempt.ResumeIndex >= request.last.ResumeIndex {
			request.last = attempt
		}
	}
	return byRoot
}

// firstTokenAt returns when the client received its first token, or 0 if it received none.
func (r *clientRequest) firstTokenAt() balancer.Micros {
	if r.first.FirstTokenAt != 0 {
		return r.first.FirstTokenAt
	}
	return r.last.FirstTokenAt
}

// firstTokenLatency returns the time from the client's request to its first token.
func (r *clientRequest) firstTokenLatency() balancer.Micros {
	return r.firstTokenAt() - r.first.RequestedAt
}

// inTime reports whether the request was completely served with a first token before the client's timeout.
func (r *clientRequest) inTime() bool {
	return r.last.Outcome == model.OutcomeServed && r.firstTokenAt() > 0 && r.firstTokenLatency() <= r.first.FirstTokenTimeout
}

// weightServed returns the priority weight that counts as served: all of it within the latency objective, a
// fraction later within the client's timeout, else 0.
func (r *clientRequest) weightServed() float64 {
	if !r.inTime() {
		return 0
	}
	class := r.first.Class
	if r.firstTokenLatency() > class.LatencyObjective+class.ObjectivePer1000Tokens {
		return class.PriorityWeight * class.LateWeightShare
	}
	return class.PriorityWeight
}

// measure sets the counts, weights and latencies of the requests.
func (r *Result) measure(spec *model.Spec, recorder *recorder, injector *gatewayFaultInjector) {
	r.Outcomes = map[string]int{}
	r.Classes = map[string]*ClassResult{}
	requests := groupRequests(recorder.requests)
	var latenciesMs []float64
	for _, root := range sortedKeys(requests) {
		request := requests[root]
		if !request.last.Last || request.first.RequestedAt < spec.WarmUp {
			continue // resent as another request, which is counted; or requested during the warm-up
		}
		r.addRequest(request)
		r.addLosses(request, injector)
		if request.inTime() {
			latenciesMs = append(latenciesMs, float64(request.firstTokenLatency())/1000)
		}
	}
	r.FirstTokenMs = percentiles(latenciesMs)
	if r.Sent > 0 {
		r.CPUMsPerRequest /= float64(r.Sent)
	}
}

// addRequest counts a request in the totals and in the result of its class.
func (r *Result) addRequest(request *clientRequest) {
	class := request.first.Class
	weight := request.weightServed()
	r.Sent++
	r.Outcomes[request.last.Outcome]++
	r.WeightOffered += class.PriorityWeight
	r.WeightServed += weight
	classResult := r.Classes[class.Name]
	if classResult == nil {
		classResult = &ClassResult{}
		r.Classes[class.Name] = classResult
	}
	classResult.Sent++
	classResult.WeightOffered += class.PriorityWeight
	classResult.WeightServed += weight
	if weight >= class.PriorityWeight && class.PriorityWeight > 0 {
		classResult.InTime++
	}
	if request.last.Outcome == model.OutcomeShed {
		classResult.Shed++
	}
}

// addLosses counts the effects of gateway faults on a request.
func (r *Result) addLosses(request *clientRequest, injector *gatewayFaultInjector) {
	class := request.first.Class
	if !injector.firstFaultAt.IsZero() {
		firstFault := injector.firstFaultAt.Sub(injector.startedAt).Microseconds()
		if request.last.EndedAt >= firstFault && request.first.RequestedAt < firstFault+lossWindow {
			r.WeightLost += class.PriorityWeight - request.weightServed()
		}
	}
	if class.Idempotency == balancer.NonIdempotent {
		return
	}
	for _, at := range injector.endTimes[request.first.Gateway] {
		ended := at.Sub(injector.startedAt).Microseconds()
		if request.first.SentAt <= ended-interruptedAfter && request.first.EndedAt >= ended {
			r.Interrupted++
			if request.inTime() {
				r.Recovered++
			}
		}
	}
}

// percentiles sorts the values and returns their median, 95th and 99th percentile. The result is empty if there
// are no values.
func percentiles(values []float64) map[string]float64 {
	slices.Sort(values)
	out := map[string]float64{}
	for name, q := range map[string]float64{"p50": 0.5, "p95": 0.95, "p99": 0.99} {
		if len(values) > 0 {
			out[name] = values[min(len(values)-1, int(q*float64(len(values))))]
		}
	}
	return out
}

// vanishedFraction returns the fraction of attempts that went to vanished machines, among the attempts made while
// machines had vanished. The time vanishGrace after each loss does not count.
func vanishedFraction(spec *model.Spec, recorder *recorder, startedAt time.Time) float64 {
	zones := map[string]string{}
	for _, replica := range replicasOf(spec) {
		zones[replica.name] = replica.zone
	}
	all, toVanished := 0, 0
	for _, fault := range spec.Faults {
		if fault.Kind != model.FaultLoseMachine {
			continue
		}
		from := startedAt.Add(time.Duration(fault.At)*time.Microsecond + vanishGrace)
		to := startedAt.Add(time.Duration(fault.At+fault.Duration) * time.Microsecond)
		for _, attempt := range recorder.attempts {
			if !attempt.ReceivedAt.After(from) || !attempt.ReceivedAt.Before(to) {
				continue
			}
			all++
			if zones[attempt.Replica] == fault.Zone {
				toVanished++
			}
		}
	}
	return float64(toVanished) / float64(max(1, all))
}
