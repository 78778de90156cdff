package configversion

import (
	"errors"
	"fmt"
	"slices"

	"archknot/balancer"
)

// The baseline covers about the last baselineRequests requests: when it has counted that
// many, its counts are multiplied by baselineDecay.
const (
	baselineRequests = 2000
	baselineDecay    = 0.5
)

// outcomeTally counts the requests that ended, and those among them that were late or unserved.
type outcomeTally struct{ total, lateOrUnserved float64 }

func (t outcomeTally) lateOrUnservedFraction() float64 {
	if t.total == 0 {
		return 0
	}
	return t.lateOrUnserved / t.total
}

// RequestEnded counts a request that ended, either in the baseline or, within a hold, against
// the version in force. It ends the hold early if the version is clearly worse.
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
	// With enough requests and twice the permitted regression, do not wait for the end of the hold.
	if m.verifying && m.applying == nil && m.observed.total >= 2*float64(m.options.MinVerdictRequests) && m.isWorse(2) {
		m.endHold()
	}
}

// isWorse reports whether the fraction of late or unserved requests within the hold exceeds
// the baseline by more than factor times the rollout's MaxRegression.
func (m *Machine) isWorse(factor float64) bool {
	minRequests := float64(m.options.MinVerdictRequests)
	return m.observed.total >= minRequests && m.baseline.total >= minRequests && m.observed.lateOrUnservedFraction() > m.baseline.lateOrUnservedFraction()+factor*m.inForce.Rollout.MaxRegression
}

// endHold ends the hold: the version in force becomes the last good one, or is rolled back.
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

// ErrCannotRollBack is returned by Rollback if the configuration files are in force, or if a
// version is being applied.
var ErrCannotRollBack = errors.New("there is no streamed version in force, or one is being applied")

// RollbackNotSavedError is returned by Rollback if the rollback could not be saved. It is not
// carried out then, since a restart would undo it.
type RollbackNotSavedError struct{ Err error }

func (e *RollbackNotSavedError) Error() string {
	return "not rolled back, as the store cannot be written: " + e.Err.Error()
}

// Unwrap returns the error of the store.
func (e *RollbackNotSavedError) Unwrap() error { return e.Err }

// Rollback starts an operator's rollback to the previous version. If it returns nil, the
// rollback has been saved and started; otherwise nothing has changed.
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

// startRollback starts an automatic rollback. A failed save does not stop it, since the
// version in force degrades service; the save is retried.
func (m *Machine) startRollback(reason string) {
	_ = m.persistRollback() // the host has logged it
	m.orderPrevious(reason)
}

// persistRollback saves the rollback of the version in force before it takes effect, so that
// a process that ends at any later moment restarts with the previous version.
func (m *Machine) persistRollback() error {
	if m.rejectedSet[m.inForce.Number] {
		return nil // saved by an earlier attempt, which requests in flight prevented
	}
	rejected := append(slices.Clone(m.rejected), m.inForce.Number)
	if err := m.host.PersistRollback(m.previous, rejected[max(0, len(rejected)-maxRejected):]); err != nil {
		m.scheduleSave() // restore the saved state: the failed write may have reached the disk
		return err
	}
	m.lastGood, m.saveRetryAt = m.previous, 0
	m.markRejected(m.inForce.Number)
	return nil
}

// orderPrevious orders the host to apply the previous version.
func (m *Machine) orderPrevious(reason string) {
	m.rollbackRetryAt = 0
	m.applying, m.rollingBack = &candidate{config: m.previous, reason: reason}, true
	m.host.Apply(m.previous)
}

// finishRollback handles the result of the order of orderPrevious. The control service is
// notified of a rollback by a NACK of the latest response of each type of the version.
func (m *Machine) finishRollback(c *candidate, rejections Rejections) {
	rolledBack := m.inForce
	if len(rejections) > 0 {
		// Requests in flight prevent the rollback for now; it is retried.
		m.recordEvent(rolledBack.Number, EventRejected, "cannot go back now: "+rejections.String())
		m.rollbackRetryAt, m.rollbackReason = m.now+max(1, m.options.MinInterval), c.reason
		return
	}
	m.markRejected(rolledBack.Number)
	if waiting := m.waiting; waiting != nil && m.rejectedSet[waiting.config.Number] { // received again during the rollback
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

// rejectInForce sends a NACK for the version that was rolled back. It answers only those of its responses that
// are still the latest: the resources of a newer version are answered when that version is evaluated.
func (m *Machine) rejectInForce(n Number, reason string) {
	for _, t := range ResourceTypes {
		if r := m.latest[t]; r != nil && r.Nonce == m.inForceNonces[t] {
			r.answered = true
			m.host.SendRequest(t, "", r.Nonce, fmt.Sprintf("version %d: given back: %s", n, reason))
		}
	}
	m.inForceNonces = nil
}
