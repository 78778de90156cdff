package faulttest

import (
	"fmt"
	"time"

	"archknot/internal/fleet/emulate"
)

const (
	// auditSlack is what a busy machine may add to each time.
	auditSlack = 150 * time.Millisecond
	// toldWithin is how long a change may take to count as told once discovery can be reached, and
	// toldUsually where it could be all the time.
	toldWithin, toldUsually = 6 * time.Second, 500 * time.Millisecond
	// goneWithin is how long behind a client's close an attempt for it may begin.
	goneWithin = 100 * time.Millisecond
	// toldOver is by how much the time that an attempt tells may be over what is left.
	toldOver = 150 * time.Millisecond
	// lateAfterTerm is how long behind SIGTERM a request may come that SIGKILL may find unanswered.
	lateAfterTerm = 700 * time.Millisecond
)

// newSoakAuditor returns an auditor of what both ends have recorded, and of the times of events.
func newSoakAuditor(s spans, tries []*soakTry, attempts []emulate.ReplicaAttempt) *soakAuditor {
	a := &soakAuditor{list: tries, spans: s, tries: map[string]*soakTry{}, attempts: map[string][]emulate.ReplicaAttempt{}}
	for _, t := range tries {
		a.tries[t.id] = t
	}
	for _, at := range attempts {
		a.attempts[at.ID] = append(a.attempts[at.ID], at)
	}
	return a
}

// unlessSentAgain leaves out what is the client's doing: it sends a request once more where its kept
// connection was closed, and cannot know that a gateway that was killed had sent it on.
func (a *soakAuditor) unlessSentAgain(breaks []Break) (out []Break) {
	for _, b := range breaks {
		if t := a.tries[b.Root]; t == nil || t.again.IsZero() || !a.killed(t.gateway, t.again) {
			out = append(out, b)
		}
	}
	return out
}

// judge looks at each attempt and each request.
func (a *soakAuditor) judge(attempts []emulate.ReplicaAttempt) (out []Break) {
	for _, at := range attempts {
		if t := a.tries[at.ID]; t != nil {
			out = append(out, a.attempt(t, at)...)
		}
	}
	for _, t := range a.list {
		out = append(out, a.answer(t)...)
	}
	return out
}

type soakAuditor struct {
	spans
	list     []*soakTry
	tries    map[string]*soakTry
	attempts map[string][]emulate.ReplicaAttempt
}

// attempt judges one attempt.
func (a *soakAuditor) attempt(t *soakTry, at emulate.ReplicaAttempt) (out []Break) {
	for _, b := range a.bans {
		if b.gateway == t.gateway && b.replica == at.Replica && at.ReceivedAt.After(b.from.Add(banGrace+auditSlack)) && at.ReceivedAt.Before(b.to) {
			out = append(out, brokenBy("drain", t, "came to %s %v after operators had taken it out", at.Replica, at.ReceivedAt.Sub(b.from)))
		}
	}
	for _, d := range a.drains {
		if told := a.told(d); d.replica == at.Replica && at.ReceivedAt.After(told.Add(banGrace+auditSlack)) && at.ReceivedAt.Before(d.to) {
			out = append(out, brokenBy("drain", t, "came to %s %v after its drain counted as told", at.Replica, at.ReceivedAt.Sub(told)))
		}
	}
	if t.how == endLeft && at.ReceivedAt.After(t.endAt.Add(goneWithin+auditSlack)) {
		out = append(out, brokenBy("lost", t, "an attempt at %s began %v after the client had left", at.Replica, at.ReceivedAt.Sub(t.endAt)))
	}
	if over := at.FirstTokenBy.Sub(t.sentAt.Add(t.wait)); !at.FirstTokenBy.IsZero() && !t.sentAt.IsZero() && over > toldOver+auditSlack {
		out = append(out, brokenBy("deadline", t, "the attempt at %s was told %v more than is left", at.Replica, over))
	}
	return out
}

// told is when a drain counts as told at the latest.
func (a *soakAuditor) told(d drainSpan) time.Time {
	told := d.from.Add(toldUsually)
	for _, o := range a.outages {
		if o.from.Before(told) && o.to.After(d.from.Add(-toldUsually)) {
			told = o.to.Add(toldWithin)
		}
	}
	return told
}

// answer judges what became of a request.
func (a *soakAuditor) answer(t *soakTry) (out []Break) {
	switch t.how {
	case endClosed, endLate:
		if !a.excused(t) && !(t.how == endClosed && t.sentAt.IsZero()) {
			out = append(out, brokenBy("lost", t, "got no answer (%s) %v after it was sent", t.how, t.endAt.Sub(t.sentAt)))
		}
	case endBroken:
		for _, at := range a.attempts[t.id] {
			if at.Complete && !a.excused(t) {
				out = append(out, brokenBy("lost", t, "was cut off, though %s had answered to the end", at.Replica))
			}
		}
	}
	for _, at := range a.attempts[t.id] {
		if !t.again.IsZero() && at.ReceivedAt.Before(t.again) && !a.killed(t.gateway, t.again) {
			out = append(out, brokenBy("lost", t, "was sent on to %s, and its connection closed without an answer", at.Replica))
		}
	}
	return out
}

// killed tells whether a gateway's process was killed about a time.
func (a *soakAuditor) killed(gateway int, at time.Time) bool {
	for _, e := range a.ends {
		killed := !e.told || e.to.Sub(e.from) >= a.deadline+earliestKill
		if killed && e.gateway == gateway && at.After(e.from.Add(-auditSlack)) && at.Before(e.to.Add(auditSlack)) {
			return true
		}
	}
	return false
}

// excused tells whether the gateway's process was killed under the request. Behind SIGTERM only what came
// soon may be.
func (a *soakAuditor) excused(t *soakTry) bool {
	for _, e := range a.ends {
		if e.gateway != t.gateway || t.begunAt.After(e.to) || t.endAt.Before(e.from.Add(-auditSlack)) {
			continue
		}
		killed := !e.told || e.to.Sub(e.from) >= a.deadline+earliestKill
		if killed && (!e.told || t.sentAt.Before(e.from.Add(lateAfterTerm))) && t.endAt.After(e.to.Add(-auditSlack-freezeMost)) {
			return true
		}
	}
	return false
}

func brokenBy(rule string, t *soakTry, format string, args ...any) Break {
	return Break{rule, t.id, fmt.Sprintf("%s request to g%d ", t.class, t.gateway+1) + fmt.Sprintf(format, args...)}
}
