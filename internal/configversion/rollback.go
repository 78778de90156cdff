package configversion

import (
	"fmt"

	"archknot/balancer"
)

// The baseline follows about this many requests: when it has counted baselineRequests,
// its counts are multiplied by baselineDecay.
const (
	baselineRequests = 2000
	baselineDecay    = 0.5
)

// outcomeTally counts requests that ended, and those of them late or not served.
type outcomeTally struct{ total, bad float64 }

func (t outcomeTally) badShare() float64 {
	if t.total == 0 {
		return 0
	}
	return t.bad / t.total
}

// RequestEnded counts a request that ended; bad is late or not served.
func (m *Machine) RequestEnded(bad bool) {
	t := &m.baseline
	if m.verifying {
		t = &m.observed
	} else if t.total >= baselineRequests {
		t.total, t.bad = t.total*baselineDecay, t.bad*baselineDecay
	}
	t.total++
	if bad {
		t.bad++
	}
	// What is plainly worse is rolled back before its hold has passed.
	if m.verifying && m.applying == nil && m.observed.total >= 2*float64(m.options.MinVerdictRequests) && m.isWorse(2) {
		m.judgeHold()
	}
}

// isWorse reports whether the share of bad requests within the hold is higher than before
// by more than so many times the rollout's MaxRegression.
func (m *Machine) isWorse(times float64) bool {
	least := float64(m.options.MinVerdictRequests)
	return m.observed.total >= least && m.baseline.total >= least && m.observed.badShare() > m.baseline.badShare()+times*m.inForce.Rollout.MaxRegression
}

// judgeHold ends the hold: the version in force is good, or it is rolled back.
func (m *Machine) judgeHold() {
	m.verifying = false
	if m.isWorse(1) {
		m.startRollback(fmt.Sprintf("late or unserved %.1f%% of %.0f requests within the hold, %.1f%% before", 100*m.observed.badShare(), m.observed.total, 100*m.baseline.badShare()))
		return
	}
	m.recordEvent(m.currentNumber(), EventVerified, fmt.Sprintf("late or unserved %.1f%% of %.0f requests, %.1f%% before", 100*m.observed.badShare(), m.observed.total, 100*m.baseline.badShare()))
	m.baseline.total, m.baseline.bad = m.baseline.total+m.observed.total, m.baseline.bad+m.observed.bad
	m.markGood()
}

// Rollback is an operator's order to return to the previous version. It reports whether
// a rollback was started: not where the configuration files are in force, or a version
// is being applied.
func (m *Machine) Rollback(now balancer.Micros, reason string) bool {
	m.now = now
	if m.inForce == nil || m.applying != nil {
		return false
	}
	m.verifying = false
	m.startRollback(reason)
	return true
}

// startRollback orders the previous version.
func (m *Machine) startRollback(reason string) {
	m.rollbackAt = 0
	m.applying, m.rollingBack = &candidate{config: m.previous, reason: reason}, true
	m.host.Apply(m.previous)
}

// finishRollback takes the answer to the order of startRollback. The service learns of a
// rollback by a rejection of the version that was in force, on each type's last response.
func (m *Machine) finishRollback(c *candidate, rejections Rejections) {
	bad := m.inForce
	if len(rejections) > 0 {
		// Requests in flight don't allow the rollback now; it is tried again.
		m.recordEvent(bad.Number, EventRejected, "cannot go back now: "+rejections.String())
		m.rollbackAt, m.rollbackReason = m.now+max(1, m.options.MinInterval), c.reason
		return
	}
	m.markRejected(bad.Number)
	if w := m.waiting; w != nil && m.rejectedSet[w.config.Number] { // it was sent again meanwhile
		m.waiting = nil
		m.rejectNumber(w, fmt.Sprintf("version %d was given back", w.config.Number))
	}
	m.inForce, m.previous, m.appliedAt = c.config, nil, m.now
	m.recordEvent(bad.Number, EventRolledBack, c.reason)
	clear(m.ackedVersions)
	m.host.Persist(m.inForce, m.rejected)
	if m.connected {
		m.rejectInForce(bad.Number, c.reason)
	}
}

// rejectInForce sends the rejection of a version that was rolled back. It answers only the
// responses that belonged to the version and are still the latest: a newer version's
// resources get an answer of their own.
func (m *Machine) rejectInForce(n Number, reason string) {
	for _, t := range ResourceTypes {
		if r := m.latest[t]; r != nil && r.Nonce == m.inForceNonces[t] {
			r.answered = true
			m.host.SendRequest(t, "", r.Nonce, fmt.Sprintf("version %d: given back: %s", n, reason))
		}
	}
	m.inForceNonces = nil
}
