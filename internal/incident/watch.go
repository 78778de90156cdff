// Package incident decides when the last minutes of a capture are worth keeping.
// It is told what the decision module is told and orders, and the time with it;
// it reads no clock and writes nothing.
package incident

import (
	"fmt"

	"archknot/choice"
)

// Settings are the conditions. Times are microseconds.
type Settings struct {
	Over         choice.Micros // the span that shares are taken over
	Least        int           // requests in it below which no share triggers
	Unserved     float64       // share of late, refused, failed and left requests; 0: never
	SlowFactor   float64       // first tokens take so many times the usual; 0: never
	SlowWorkers  float64       // share of slow workers among those heard of in the span
	NearDeadline choice.Micros // a final answer so little before the deadline; 0: never
}

// On tells whether anything can trigger.
func (s Settings) On() bool { return s.Over > 0 }

// Reasons begin with one of these words.
const (
	Unserved = "unserved"      // too many requests late, refused, failed or left
	Slow     = "slow"          // all workers at once
	Near     = "near-deadline" // an answer just before, or past, its deadline
	Draining = "draining"      // an attempt ordered to a worker told as draining or gone
	Attempts = "attempts"      // more attempts than the settings allow
)

const (
	spans = 10 // buckets that the span is cut into
	// usualOver is the number of first tokens that what is usual is taken over.
	usualOver = 200
	// fewFirsts is how many first tokens a worker must have had in the span to
	// be heard of, and in all before anything is usual there.
	fewFirsts, fewUsual = 3, 20
	fewWorkers          = 2
)

// Watch looks for incidents in what one module is told.
type Watch struct {
	s        Settings
	classes  map[string]choice.Class
	attempts int

	inHand  map[choice.RequestID]*request
	usual   map[string]float64 // first-token time by class, microseconds
	workers map[choice.ReplicaID]*worker
	counts  [spans]count
	at      choice.Micros // the bucket in use, in buckets since 0
	held    string        // the condition that has triggered and still holds
}

type request struct {
	aim, deadline choice.Micros
	class         string
	attempts      int
	opened        bool
}

type count struct{ all, bad int }

type worker struct {
	state  choice.EndpointState
	usual  float64 // first-token time against the class's usual, slowly followed
	seen   float64
	ratios [spans]struct{ sum, n float64 }
}

// New returns a watch for a module with these settings.
func New(s Settings, m choice.Settings) *Watch {
	w := &Watch{s: s, classes: map[string]choice.Class{}, attempts: m.MaxAttempts, inHand: map[choice.RequestID]*request{},
		usual: map[string]float64{}, workers: map[choice.ReplicaID]*worker{}}
	for _, c := range m.Classes {
		w.classes[c.Name] = c
	}
	return w
}

// Reconfigured takes other settings over for what arrives from now on.
func (w *Watch) Reconfigured(m choice.Settings) {
	w.classes, w.attempts = map[string]choice.Class{}, max(w.attempts, m.MaxAttempts)
	for _, c := range m.Classes {
		w.classes[c.Name] = c
	}
}

// turn moves on to the bucket of a time and empties those passed over.
func (w *Watch) turn(now choice.Micros) int {
	each := max(1, w.s.Over/spans)
	at := now / each
	if at > w.at {
		for i := max(w.at+1, at-spans+1); i <= at; i++ {
			w.counts[i%spans] = count{}
			for _, k := range w.workers {
				k.ratios[i%spans] = struct{ sum, n float64 }{}
			}
		}
		w.at = at
	}
	return int(w.at % spans)
}

// Listed takes news of the fleet.
func (w *Watch) Listed(now choice.Micros, l choice.EndpointList) {
	if l.Kind.Failed() {
		return
	}
	if l.Kind.Complete() {
		for _, k := range w.workers {
			k.state = choice.EndpointGone
		}
	}
	for _, m := range l.Endpoints {
		k := w.workers[m.Replica]
		if k == nil {
			k = &worker{}
			w.workers[m.Replica] = k
		}
		k.state = m.State
	}
	for id, k := range w.workers {
		if k.state == choice.EndpointGone && k.seen == 0 {
			delete(w.workers, id)
		}
	}
	if len(w.workers) > 2*len(l.Endpoints)+1024 { // those gone for good
		for id, k := range w.workers {
			if k.state == choice.EndpointGone {
				delete(w.workers, id)
			}
		}
	}
}

// Arrived takes a request on.
func (w *Watch) Arrived(now choice.Micros, in choice.Request) {
	c := w.classes[in.Class]
	w.inHand[in.ID] = &request{class: c.Name, aim: now + c.LatencyObjective + c.ObjectivePer1000Tokens*int64(in.PromptTokens)/1000, deadline: now + in.TimeLeft}
}

// Dispatched takes the order of an attempt.
func (w *Watch) Dispatched(now choice.Micros, id choice.RequestID, to choice.ReplicaID) string {
	if r := w.inHand[id]; r != nil {
		if r.attempts++; r.attempts > w.attempts {
			return w.trigger(Attempts, "request %d had %d attempts, %d are allowed", id, r.attempts, w.attempts)
		}
	}
	if k := w.workers[to]; k != nil && k.state != choice.EndpointReady {
		return w.trigger(Draining, "an attempt of request %d was ordered to worker %d, told as draining or gone", id, to)
	}
	return ""
}

// First takes a stream's beginning.
func (w *Watch) First(now choice.Micros, o choice.Outcome) string {
	r := w.inHand[o.ID]
	if r == nil || r.opened {
		return ""
	}
	r.opened = true
	at := w.turn(now)
	why := w.count(at, now > r.aim)
	if slow := w.first(at, r, o); why == "" {
		why = slow
	}
	return why
}

// first compares a first token with what is usual for its class and worker.
func (w *Watch) first(at int, r *request, o choice.Outcome) string {
	k := w.workers[o.Replica]
	if w.s.SlowFactor <= 0 || k == nil || o.Elapsed <= 0 {
		return ""
	}
	follow := func(m *float64, v float64) {
		if *m == 0 {
			*m = v
		}
		*m += (v - *m) / usualOver
	}
	usual := w.usual[r.class]
	follow(&usual, float64(o.Elapsed))
	w.usual[r.class] = usual
	ratio := float64(o.Elapsed) / usual
	k.ratios[at].sum += ratio
	k.ratios[at].n++
	k.seen++
	follow(&k.usual, ratio)
	heard, slow := 0, 0
	for _, k := range w.workers {
		sum, n := 0.0, 0.0
		for _, b := range k.ratios {
			sum, n = sum+b.sum, n+b.n
		}
		if n < fewFirsts || k.seen < fewUsual {
			continue
		}
		heard++
		if sum/n > w.s.SlowFactor*k.usual {
			slow++
		}
	}
	if heard < fewWorkers || float64(slow) < w.s.SlowWorkers*float64(heard) {
		w.ease(Slow)
		return ""
	}
	return w.trigger(Slow, "first tokens at %d of %d workers take over %g times the usual", slow, heard, w.s.SlowFactor)
}

// Ended takes the end of an attempt.
func (w *Watch) Ended(now choice.Micros, o choice.Outcome) string {
	r := w.inHand[o.ID]
	if r == nil || !o.Final {
		return ""
	}
	delete(w.inHand, o.ID)
	if r.opened { // counted when it began
		return ""
	}
	if o.Status == choice.Served {
		return w.count(w.turn(now), now > r.aim)
	}
	return w.count(w.turn(now), true)
}

// Left takes a client's leaving.
func (w *Watch) Left(now choice.Micros, id choice.RequestID) string {
	r := w.inHand[id]
	if r == nil {
		return ""
	}
	delete(w.inHand, id)
	if r.opened {
		return ""
	}
	return w.count(w.turn(now), true)
}

// Answered takes a refusal or a failure.
func (w *Watch) Answered(now choice.Micros, id choice.RequestID) string {
	r := w.inHand[id]
	if r == nil {
		return ""
	}
	delete(w.inHand, id)
	why := w.count(w.turn(now), true)
	if left := r.deadline - now; w.s.NearDeadline > 0 && left < w.s.NearDeadline {
		return w.trigger(Near, "request %d was answered %.1f ms before its deadline", id, float64(left)/1000)
	}
	return why
}

func (w *Watch) count(at int, bad bool) string {
	c := &w.counts[at]
	if c.all++; bad {
		c.bad++
	}
	all, allBad := 0, 0
	for _, c := range w.counts {
		all, allBad = all+c.all, allBad+c.bad
	}
	if w.s.Unserved <= 0 || all < w.s.Least || float64(allBad) < w.s.Unserved*float64(all) {
		w.ease(Unserved)
		return ""
	}
	return w.trigger(Unserved, "%d of %d requests within %g s were late or not served", allBad, all, float64(w.s.Over)/1e6)
}

// trigger gives the reason once; a condition that goes on holding is silent
// until it has eased.
func (w *Watch) trigger(word, format string, args ...any) string {
	if w.held == word && (word == Unserved || word == Slow) {
		return ""
	}
	w.held = word
	return word + ": " + fmt.Sprintf(format, args...)
}

func (w *Watch) ease(word string) {
	if w.held == word {
		w.held = ""
	}
}

// InHand is the number of requests that the watch remembers.
func (w *Watch) InHand() int { return len(w.inHand) }
