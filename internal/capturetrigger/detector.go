// Package incident decides when the last minutes of a capture are worth keeping.
// It is told what the decision module is told and orders, and the time with it;
// it reads no clock and writes nothing.
package capturetrigger

import (
	"fmt"

	"archknot/balancer"
)

// Settings are the conditions. Times are microseconds.
type Settings struct {
	Window           balancer.Micros // the span that shares are taken over
	MinRequests      int             // requests in it below which no share triggers
	UnservedShare    float64         // share of late, refused, failed and left requests; 0: never
	SlowFactor       float64         // first tokens take so many times the usual; 0: never
	SlowReplicaShare float64         // share of slow workers among those heard of in the span
	DeadlineMargin   balancer.Micros // a final answer so little before the deadline; 0: never
}

// Enabled tells whether anything can trigger.
func (s Settings) Enabled() bool { return s.Window > 0 }

// Reasons begin with one of these words.
const (
	ReasonUnserved     = "unserved"      // too many requests late, refused, failed or left
	ReasonSlow         = "slow"          // all workers at once
	ReasonNearDeadline = "near-deadline" // an answer just before, or past, its deadline
	ReasonDraining     = "draining"      // an attempt ordered to a worker told as draining or gone
	ReasonAttempts     = "attempts"      // more attempts than the settings allow
)

const (
	bucketCount = 10 // buckets that the span is cut into
	// baselineSamples is the number of first tokens that what is usual is taken over.
	baselineSamples = 200
	// minFirstTokens is how many first tokens a worker must have had in the span to
	// be heard of, and in all before anything is usual there.
	minFirstTokens, minBaselineTokens = 3, 20
	minReplicas                       = 2
)

// Detector looks for incidents in what one module is told.
type Detector struct {
	settings    Settings
	classes     map[string]balancer.Class
	maxAttempts int

	inFlight map[balancer.RequestID]*request
	baseline map[string]float64 // first-token time by class, microseconds
	replicas map[balancer.ReplicaID]*replica
	outcomes [bucketCount]outcomeCounts
	bucket   balancer.Micros // the bucket in use, in buckets since 0
	active   string          // the condition that has triggered and still holds
}

type request struct {
	objectiveAt, deadline balancer.Micros
	class                 string
	attempts              int
	started               bool
}

type outcomeCounts struct{ total, bad int }

type replica struct {
	state    balancer.EndpointState
	baseline float64 // first-token time against the class's usual, slowly followed
	samples  float64
	ratios   [bucketCount]struct{ sum, n float64 }
}

// New returns a watch for a module with these settings.
func New(s Settings, m balancer.Settings) *Detector {
	w := &Detector{settings: s, classes: map[string]balancer.Class{}, maxAttempts: m.MaxAttempts, inFlight: map[balancer.RequestID]*request{},
		baseline: map[string]float64{}, replicas: map[balancer.ReplicaID]*replica{}}
	for _, c := range m.Classes {
		w.classes[c.Name] = c
	}
	return w
}

// Reconfigured takes other settings over for what arrives from now on.
func (w *Detector) Reconfigured(m balancer.Settings) {
	w.classes, w.maxAttempts = map[string]balancer.Class{}, max(w.maxAttempts, m.MaxAttempts)
	for _, c := range m.Classes {
		w.classes[c.Name] = c
	}
}

// advance moves on to the bucket of a time and empties those passed over.
func (w *Detector) advance(now balancer.Micros) int {
	each := max(1, w.settings.Window/bucketCount)
	at := now / each
	if at > w.bucket {
		for i := max(w.bucket+1, at-bucketCount+1); i <= at; i++ {
			w.outcomes[i%bucketCount] = outcomeCounts{}
			for _, k := range w.replicas {
				k.ratios[i%bucketCount] = struct{ sum, n float64 }{}
			}
		}
		w.bucket = at
	}
	return int(w.bucket % bucketCount)
}

// ListChanged takes news of the fleet.
func (w *Detector) ListChanged(now balancer.Micros, l balancer.EndpointList) {
	if l.Kind.Failed() {
		return
	}
	if l.Kind.Complete() {
		for _, k := range w.replicas {
			k.state = balancer.EndpointGone
		}
	}
	for _, m := range l.Endpoints {
		k := w.replicas[m.Replica]
		if k == nil {
			k = &replica{}
			w.replicas[m.Replica] = k
		}
		k.state = m.State
	}
	for id, k := range w.replicas {
		if k.state == balancer.EndpointGone && k.samples == 0 {
			delete(w.replicas, id)
		}
	}
	if len(w.replicas) > 2*len(l.Endpoints)+1024 { // those gone for good
		for id, k := range w.replicas {
			if k.state == balancer.EndpointGone {
				delete(w.replicas, id)
			}
		}
	}
}

// RequestArrived takes a request on.
func (w *Detector) RequestArrived(now balancer.Micros, in balancer.Request) {
	c := w.classes[in.Class]
	w.inFlight[in.ID] = &request{class: c.Name, objectiveAt: now + c.LatencyObjective + c.ObjectivePer1000Tokens*int64(in.PromptTokens)/1000, deadline: now + in.TimeLeft}
}

// Dispatched takes the order of an attempt.
func (w *Detector) Dispatched(now balancer.Micros, id balancer.RequestID, to balancer.ReplicaID) string {
	if r := w.inFlight[id]; r != nil {
		if r.attempts++; r.attempts > w.maxAttempts {
			return w.trigger(ReasonAttempts, "request %d had %d attempts, %d are allowed", id, r.attempts, w.maxAttempts)
		}
	}
	if k := w.replicas[to]; k != nil && k.state != balancer.EndpointReady {
		return w.trigger(ReasonDraining, "an attempt of request %d was ordered to worker %d, told as draining or gone", id, to)
	}
	return ""
}

// FirstToken takes a stream's beginning.
func (w *Detector) FirstToken(now balancer.Micros, o balancer.Outcome) string {
	r := w.inFlight[o.ID]
	if r == nil || r.started {
		return ""
	}
	r.started = true
	at := w.advance(now)
	why := w.countOutcome(at, now > r.objectiveAt)
	if slow := w.checkSlow(at, r, o); why == "" {
		why = slow
	}
	return why
}

// checkSlow compares a first token with what is usual for its class and worker.
func (w *Detector) checkSlow(at int, r *request, o balancer.Outcome) string {
	k := w.replicas[o.Replica]
	if w.settings.SlowFactor <= 0 || k == nil || o.Elapsed <= 0 {
		return ""
	}
	follow := func(m *float64, v float64) {
		if *m == 0 {
			*m = v
		}
		*m += (v - *m) / baselineSamples
	}
	usual := w.baseline[r.class]
	follow(&usual, float64(o.Elapsed))
	w.baseline[r.class] = usual
	ratio := float64(o.Elapsed) / usual
	k.ratios[at].sum += ratio
	k.ratios[at].n++
	k.samples++
	follow(&k.baseline, ratio)
	heard, slow := 0, 0
	for _, k := range w.replicas {
		sum, n := 0.0, 0.0
		for _, b := range k.ratios {
			sum, n = sum+b.sum, n+b.n
		}
		if n < minFirstTokens || k.samples < minBaselineTokens {
			continue
		}
		heard++
		if sum/n > w.settings.SlowFactor*k.baseline {
			slow++
		}
	}
	if heard < minReplicas || float64(slow) < w.settings.SlowReplicaShare*float64(heard) {
		w.clearCondition(ReasonSlow)
		return ""
	}
	return w.trigger(ReasonSlow, "first tokens at %d of %d workers take over %g times the usual", slow, heard, w.settings.SlowFactor)
}

// AttemptEnded takes the end of an attempt.
func (w *Detector) AttemptEnded(now balancer.Micros, o balancer.Outcome) string {
	r := w.inFlight[o.ID]
	if r == nil || !o.Final {
		return ""
	}
	delete(w.inFlight, o.ID)
	if r.started { // counted when it began
		return ""
	}
	if o.Status == balancer.Served {
		return w.countOutcome(w.advance(now), now > r.objectiveAt)
	}
	return w.countOutcome(w.advance(now), true)
}

// ClientGone takes a client's leaving.
func (w *Detector) ClientGone(now balancer.Micros, id balancer.RequestID) string {
	r := w.inFlight[id]
	if r == nil {
		return ""
	}
	delete(w.inFlight, id)
	if r.started {
		return ""
	}
	return w.countOutcome(w.advance(now), true)
}

// RequestFailed takes a refusal or a failure.
func (w *Detector) RequestFailed(now balancer.Micros, id balancer.RequestID) string {
	r := w.inFlight[id]
	if r == nil {
		return ""
	}
	delete(w.inFlight, id)
	why := w.countOutcome(w.advance(now), true)
	if left := r.deadline - now; w.settings.DeadlineMargin > 0 && left < w.settings.DeadlineMargin {
		return w.trigger(ReasonNearDeadline, "request %d was answered %.1f ms before its deadline", id, float64(left)/1000)
	}
	return why
}

func (w *Detector) countOutcome(at int, bad bool) string {
	c := &w.outcomes[at]
	if c.total++; bad {
		c.bad++
	}
	all, allBad := 0, 0
	for _, c := range w.outcomes {
		all, allBad = all+c.total, allBad+c.bad
	}
	if w.settings.UnservedShare <= 0 || all < w.settings.MinRequests || float64(allBad) < w.settings.UnservedShare*float64(all) {
		w.clearCondition(ReasonUnserved)
		return ""
	}
	return w.trigger(ReasonUnserved, "%d of %d requests within %g s were late or not served", allBad, all, float64(w.settings.Window)/1e6)
}

// trigger gives the reason once; a condition that goes on holding is silent
// until it has eased.
func (w *Detector) trigger(word, format string, args ...any) string {
	if w.active == word && (word == ReasonUnserved || word == ReasonSlow) {
		return ""
	}
	w.active = word
	return word + ": " + fmt.Sprintf(format, args...)
}

func (w *Detector) clearCondition(word string) {
	if w.active == word {
		w.active = ""
	}
}

// InFlight is the number of requests that the watch remembers.
func (w *Detector) InFlight() int { return len(w.inFlight) }
