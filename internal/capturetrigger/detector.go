// Package capturetrigger detects conditions upon which the last minutes of a capture are
// saved as an incident. A Detector receives the events and actions of a balancer, with the
// time of each. It reads no clock and does no I/O.
package capturetrigger

import (
	"fmt"

	"archknot/balancer"
)

// Settings are the conditions of an incident. Times are microseconds.
type Settings struct {
	Window              balancer.Micros // sliding window over which fractions are computed; 0: nothing triggers
	MinRequests         int             // minimum number of requests in the window for ReasonUnserved
	UnservedFraction    float64         // fraction of late, shed, failed and abandoned requests that triggers; 0: never
	SlowFactor          float64         // a replica is slow above this multiple of its baseline; 0: never
	SlowReplicaFraction float64         // fraction of slow replicas, among those with enough samples, that triggers
	DeadlineMargin      balancer.Micros // triggers if a request is shed or failed with less time left; 0: never
}

// Enabled reports whether any condition can trigger.
func (s Settings) Enabled() bool { return s.Window > 0 }

// The conditions of an incident. Each reason that a Detector returns begins with one of them.
const (
	ReasonUnserved     = "unserved"      // too many requests were late, shed, failed or abandoned
	ReasonSlow         = "slow"          // too many replicas were slow at once
	ReasonNearDeadline = "near-deadline" // a request was shed or failed just before, or after, its deadline
	ReasonDraining     = "draining"      // an attempt was dispatched to a replica that is not ready
	ReasonAttempts     = "attempts"      // a request had more attempts than the settings allow
)

const (
	// bucketCount is the number of buckets of the window.
	bucketCount = 10
	// baselineSamples is the number of samples over which a baseline adapts: the inverse of
	// the weight of a new sample.
	baselineSamples = 200
	// minFirstTokens is the minimum number of first tokens of a replica within the window.
	minFirstTokens = 3
	// minBaselineTokens is the minimum number of first tokens in all that a replica's
	// baseline requires.
	minBaselineTokens = 20
	// minReplicas is the minimum number of replicas with enough first tokens.
	minReplicas = 2
	// maxExtraReplicas is the number of replicas that may be tracked in excess of twice the
	// length of the endpoint list.
	maxExtraReplicas = 1024
)

// Detector detects incidents in the events of one balancer. It is not safe for concurrent
// use. Methods that return a string return the reason of an incident, or "".
type Detector struct {
	settings    Settings
	classes     map[string]balancer.Class
	maxAttempts int

	inFlight        map[balancer.RequestID]*request
	baseline        map[string]float64 // average time to the first token by class, in microseconds
	replicas        map[balancer.ReplicaID]*replica
	outcomes        [bucketCount]outcomeCounts
	bucket          balancer.Micros // number of the current bucket, counted from time 0
	activeCondition string          // the condition that triggered last and still holds
}

type request struct {
	objectiveAt, deadline balancer.Micros
	class                 string
	attempts              int
	started               bool // its first token has been received
}

// outcomeCounts counts all requests, and those of them that were late or not served.
type outcomeCounts struct{ total, unserved int }

// ratioSum is the sum and the number of times to the first token, each divided by the
// baseline of its class.
type ratioSum struct{ sum, n float64 }

// replica has the state and the recent times to the first token of a replica.
type replica struct {
	state    balancer.EndpointState
	baseline float64 // average time to the first token, divided by the baseline of the class
	samples  float64 // number of first tokens in all
	ratios   [bucketCount]ratioSum
}

// New returns a detector for a balancer with the given settings.
func New(s Settings, m balancer.Settings) *Detector {
	d := &Detector{settings: s, inFlight: map[balancer.RequestID]*request{},
		baseline: map[string]float64{}, replicas: map[balancer.ReplicaID]*replica{}}
	d.Reconfigured(m)
	return d
}

// Reconfigured applies new settings of the balancer to requests that arrive from now on. The
// attempt limit is only ever raised, since requests in flight may have the earlier limit.
func (d *Detector) Reconfigured(m balancer.Settings) {
	d.classes, d.maxAttempts = map[string]balancer.Class{}, max(d.maxAttempts, m.MaxAttempts)
	for _, c := range m.Classes {
		d.classes[c.Name] = c
	}
}

// advance moves the window to a time. It clears the buckets that it enters and returns the
// index of the current bucket.
func (d *Detector) advance(now balancer.Micros) int {
	width := max(1, d.settings.Window/bucketCount)
	bucket := now / width
	if bucket > d.bucket {
		for i := max(d.bucket+1, bucket-bucketCount+1); i <= bucket; i++ {
			d.outcomes[i%bucketCount] = outcomeCounts{}
			for _, r := range d.replicas {
				r.ratios[i%bucketCount] = ratioSum{}
			}
		}
		d.bucket = bucket
	}
	return int(d.bucket % bucketCount)
}

// ListChanged handles a complete or partial update of the endpoint list. It ignores failed
// ones.
func (d *Detector) ListChanged(_ balancer.Micros, l balancer.EndpointList) {
	if l.Kind.Failed() {
		return
	}
	if l.Kind.Complete() {
		for _, r := range d.replicas {
			r.state = balancer.EndpointRemoved
		}
	}
	for _, e := range l.Endpoints {
		r := d.replicas[e.Replica]
		if r == nil {
			r = &replica{}
			d.replicas[e.Replica] = r
		}
		r.state = e.State
	}
	d.pruneReplicas(len(l.Endpoints))
}

// pruneReplicas deletes removed replicas that have no samples. If too many replicas are left,
// it deletes all removed ones.
func (d *Detector) pruneReplicas(listed int) {
	for id, r := range d.replicas {
		if r.state == balancer.EndpointRemoved && r.samples == 0 {
			delete(d.replicas, id)
		}
	}
	if len(d.replicas) <= 2*listed+maxExtraReplicas {
		return
	}
	for id, r := range d.replicas {
		if r.state == balancer.EndpointRemoved {
			delete(d.replicas, id)
		}
	}
}

// RequestArrived handles the arrival of a request.
func (d *Detector) RequestArrived(now balancer.Micros, in balancer.Request) {
	c := d.classes[in.Class]
	d.inFlight[in.ID] = &request{class: c.Name, objectiveAt: now + c.LatencyObjective + c.ObjectivePer1000Tokens*int64(in.PromptTokens)/1000, deadline: now + in.TimeLeft}
}

// Dispatched handles the balancer's dispatch of an attempt.
func (d *Detector) Dispatched(_ balancer.Micros, id balancer.RequestID, to balancer.ReplicaID) string {
	if r := d.inFlight[id]; r != nil {
		if r.attempts++; r.attempts > d.maxAttempts {
			return d.trigger(ReasonAttempts, "request %d had %d attempts, %d are allowed", id, r.attempts, d.maxAttempts)
		}
	}
	if r := d.replicas[to]; r != nil && r.state != balancer.EndpointReady {
		return d.trigger(ReasonDraining, "an attempt of request %d was ordered to worker %d, told as draining or gone", id, to)
	}
	return ""
}

// FirstToken handles the first token of a stream.
func (d *Detector) FirstToken(now balancer.Micros, o balancer.Outcome) string {
	r := d.inFlight[o.ID]
	if r == nil || r.started {
		return ""
	}
	r.started = true
	bucket := d.advance(now)
	reason := d.countOutcome(bucket, now > r.objectiveAt)
	if slow := d.checkSlow(bucket, r, o); reason == "" {
		reason = slow
	}
	return reason
}

// updateBaseline updates an exponential moving average; the first value sets it.
func updateBaseline(baseline *float64, value float64) {
	if *baseline == 0 {
		*baseline = value
	}
	*baseline += (value - *baseline) / baselineSamples
}

// checkSlow adds the time to a first token to the baselines of its class and replica, and
// checks whether too many replicas are slow.
func (d *Detector) checkSlow(bucket int, req *request, o balancer.Outcome) string {
	r := d.replicas[o.Replica]
	if d.settings.SlowFactor <= 0 || r == nil || o.Elapsed <= 0 {
		return ""
	}
	baseline := d.baseline[req.class]
	updateBaseline(&baseline, float64(o.Elapsed))
	d.baseline[req.class] = baseline
	ratio := float64(o.Elapsed) / baseline
	r.ratios[bucket].sum += ratio
	r.ratios[bucket].n++
	r.samples++
	updateBaseline(&r.baseline, ratio)
	eligible, slow := d.countSlow()
	if eligible < minReplicas || float64(slow) < d.settings.SlowReplicaFraction*float64(eligible) {
		d.clearCondition(ReasonSlow)
		return ""
	}
	return d.trigger(ReasonSlow, "first tokens at %d of %d workers take over %g times the usual", slow, eligible, d.settings.SlowFactor)
}

// countSlow counts the replicas that have enough first tokens to be eligible, and those of
// them that are slow within the window.
func (d *Detector) countSlow() (eligible, slow int) {
	for _, r := range d.replicas {
		sum, n := 0.0, 0.0
		for _, b := range r.ratios {
			sum, n = sum+b.sum, n+b.n
		}
		if n < minFirstTokens || r.samples < minBaselineTokens {
			continue
		}
		eligible++
		if sum/n > d.settings.SlowFactor*r.baseline {
			slow++
		}
	}
	return eligible, slow
}

// AttemptEnded handles the end of an attempt.
func (d *Detector) AttemptEnded(now balancer.Micros, o balancer.Outcome) string {
	r := d.inFlight[o.ID]
	if r == nil || !o.Final {
		return ""
	}
	delete(d.inFlight, o.ID)
	if r.started { // counted at its first token
		return ""
	}
	return d.countOutcome(d.advance(now), o.Status != balancer.Served || now > r.objectiveAt)
}

// ClientGone handles a client's disconnection.
func (d *Detector) ClientGone(now balancer.Micros, id balancer.RequestID) string {
	r := d.inFlight[id]
	if r == nil {
		return ""
	}
	delete(d.inFlight, id)
	if r.started {
		return ""
	}
	return d.countOutcome(d.advance(now), true)
}

// RequestFailed handles the balancer's decision to shed or fail a request.
func (d *Detector) RequestFailed(now balancer.Micros, id balancer.RequestID) string {
	r := d.inFlight[id]
	if r == nil {
		return ""
	}
	delete(d.inFlight, id)
	reason := d.countOutcome(d.advance(now), true)
	if left := r.deadline - now; d.settings.DeadlineMargin > 0 && left < d.settings.DeadlineMargin {
		return d.trigger(ReasonNearDeadline, "request %d was answered %.1f ms before its deadline", id, float64(left)/1000)
	}
	return reason
}

// countOutcome counts a request, and checks the fraction of requests within the window that
// were late or not served.
func (d *Detector) countOutcome(bucket int, unserved bool) string {
	c := &d.outcomes[bucket]
	if c.total++; unserved {
		c.unserved++
	}
	total, totalUnserved := 0, 0
	for _, c := range d.outcomes {
		total, totalUnserved = total+c.total, totalUnserved+c.unserved
	}
	if d.settings.UnservedFraction <= 0 || total < d.settings.MinRequests || float64(totalUnserved) < d.settings.UnservedFraction*float64(total) {
		d.clearCondition(ReasonUnserved)
		return ""
	}
	return d.trigger(ReasonUnserved, "%d of %d requests within %g s were late or not served", totalUnserved, total, float64(d.settings.Window)/1e6)
}

// trigger returns the reason of an incident. ReasonUnserved and ReasonSlow hold for a while:
// they trigger once, and again only after the condition was cleared or another triggered.
func (d *Detector) trigger(condition, format string, args ...any) string {
	if d.activeCondition == condition && (condition == ReasonUnserved || condition == ReasonSlow) {
		return ""
	}
	d.activeCondition = condition
	return condition + ": " + fmt.Sprintf(format, args...)
}

func (d *Detector) clearCondition(condition string) {
	if d.activeCondition == condition {
		d.activeCondition = ""
	}
}

// InFlight returns the number of requests that the detector tracks.
func (d *Detector) InFlight() int { return len(d.inFlight) }
