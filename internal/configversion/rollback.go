package configversion

import (
	"errors"
	"fmt"
	"slices"

	"archknot/balancer"
)

// The baseline follows about this many requests: when it has counted baselineRequests,
// its counts are multiplied by baselineDecay.
const (
	baselineRequests = 2000
	baselineDecay    = 0.5
)

// outcomeTally counts requests that ended, and those of them late or not served.
type outcomeTally struct{ total, lateOrUnserved float64 }

func (t outcomeTally) lateOrUnservedFraction() float64 {
	if t.total == 0 {
		return 0
	}
	return t.lateOrUnserved / t.total
}

// RequestEnded counts a request that ended; bad is late or not served.
func (m *Machine) RequestEnded(lateOrUnserved bool) {
	tally := &m.baseline
	if m.verifying {
		tally = &m.observed
	} else if tally.total >= baselineRequests {
		tally.total, tally.lateOrUnserved = tally.total*baselineDecay, tally.lateOrUnserved*baselineDecay
	}
	tally.total++
	if lateOrUnserved {
		tally.lateOrUnserved++
	}
	// What is plainly worse is rolled back before its hold has passed.
	if m.verifying && m.applying == nil && m.observed.total >= 2*float64(m.options.MinVerdictRequests) && m.isWorse(2) {
		m.endHold()
	}
}

// isWorse reports whether the share of bad requests within the hold is higher than before
// by more than so many times the rollout's MaxRegression.
func (m *Machine) isWorse(factor float64) bool {
	minRequests := float64(m.options.MinVerdictRequests)
	return m.observed.total >= minRequests && m.baseline.total >= minRequests && m.observed.lateOrUnservedFraction() > m.baseline.lateOrUnservedFraction()+factor*m.inForce.Rollout.MaxRegression
}

// endHold ends the hold: the version in force is good, or it is rolled back.
func (m *Machine) endHold() {
	m.verifying = false
	if m.isWorse(1) {
		m.startRollback(fmt.Sprintf("late or unserved %.1f%% of %.0f requests within the hold, %.1f%% before", 100*m.observed.lateOrUnservedFraction(), m.observed.total, 100*m.baseline.lateOrUnservedFraction()))
		return
	}
	m.recordEvent(m.currentNumber(), EventVerified, fmt.Sprintf("late or unserved %.1f%% of %.0f requests, %.1f%% before", 100*m.observed.lateOrUnservedFraction(), m.observed.total, 100*m.baseline.lateOrUnservedFraction()))
	m.baseline.total, m.baseline.lateOrUnserved = m.baseline.total+m.observed.total, m.baseline.lateOrUnserved+m.observed.lateOrUnserved
	m.markGood()
}

// ErrCannotRollBack is returned for an operator's rollback where the configuration files
// are in force, or a version is being applied.
var ErrCannotRollBack = errors.New("there is no streamed version in force, or one is being applied")

// RollbackNotSavedError is returned for an operator's rollback that could not be saved: a
// restart would have undone it.
type RollbackNotSavedError struct{ Err error }

func (e *RollbackNotSavedError) Error() string {
	return "not rolled back, as the store cannot be written: " + e.Err.Error()
}

// Unwrap returns the error of the store.
func (e *RollbackNotSavedError) Unwrap() error { return e.Err }

// Rollback is an operator's order to return to the previous version. The return has
// started, and is saved, when it returns nil; otherwise nothing has changed.
func (m *Machine) Rollback(now balancer.Micros, reason string) error {
	m.now = now
	if m.inForce == nil || m.applying != nil {
		return ErrCannotRollBack
	}
	if err := m.persistRollback(); err != nil {
		return &RollbackNotSavedError{err}
	}
	m.verifying = false
	m.orderPrevious(reason)
	return nil
}

// startRollback starts a rollback that no operator waits for. It goes on where it can't be
// saved: requests are served worse meanwhile, and the save is tried again.
func (m *Machine) startRollback(reason string) {
	_ = m.persistRollback() // the host has logged it
	m.orderPrevious(reason)
}

// persistRollback saves the rollback of the version in force, before it has any effect: a
// process that ends at any later moment begins with the previous version.
func (m *Machine) persistRollback() error {
	if m.rejectedSet[m.inForce.Number] {
		return nil // saved before; requests in flight didn't allow the rollback
	}
	rejected := append(slices.Clone(m.rejected), m.inForce.Number)
	if err := m.host.PersistRollback(m.previous, rejected[max(0, len(rejected)-maxRejected):]); err != nil {
		m.scheduleSave() // what holds is saved again: the failed write may have reached the disk
		return err
	}
	m.lastGood, m.saveRetryAt = m.previous, 0
	m.markRejected(m.inForce.Number)
	return nil
}

// orderPrevious orders the previous version.
func (m *Machine) orderPrevious(reason string) {
	m.rollbackRetryAt = 0
	m.applying, m.rollingBack = &candidate{config: m.previous, reason: reason}, true
	m.host.Apply(m.previous)
}

// finishRollback takes the answer to the order of startRollback. The service learns of a
// rollback by a rejection of the version that was in force, on each type's last response.
func (m *Machine) finishRollback(c *candidate, rejections Rejections) {
	rolledBack := m.inForce
	if len(rejections) > 0 {
		// Requests in flight don't allow the rollback now; it is tried again.
		m.recordEvent(rolledBack.Number, EventRejected, "cannot go back now: "+rejections.String())
		m.rollbackRetryAt, m.rollbackReason = m.now+max(1, m.options.MinInterval), c.reason
		return
	}
	m.markRejected(rolledBack.Number)
	if waiting := m.waiting; waiting != nil && m.rejectedSet[waiting.config.Number] { // it was sent again meanwhile
		m.waiting = nil
		m.rejectNumber(waiting, fmt.Sprintf("version %d was given back", waiting.config.Number))
	}
	m.inForce, m.previous, m.appliedAt = c.config, nil, m.now
	m.recordEvent(rolledBack.Number, EventRolledBack, c.reason)
	clear(m.ackedVersions)
	m.lastGood = m.inForce
	m.save()
	if m.connected {
		m.rejectInForce(rolledBack.Number, c.reason)
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
