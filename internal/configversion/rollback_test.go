package configversion

import (
	"errors"
	"slices"
	"testing"
)

// Guards against an operator's rollback that takes effect although it was rejected because the store could not be
// written.
func TestOrderedRollbackChangesNothingWhereItCannotBeSaved(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.runUntil(2 * sec)
	f.publish(version(4))
	f.runUntil(f.now + 2*sec)
	g := f.gateways[0]
	g.storeFails = true
	var notSaved *RollbackNotSavedError
	g.call(func() {
		if err := g.machine.Rollback(f.now, "ordered"); !errors.As(err, &notSaved) || !errors.Is(err, errStoreFails) {
			t.Errorf("Rollback returned %v, expected the store's error", err)
		}
	})
	f.runUntil(f.now + 10*sec)
	g.storeFails = false
	f.runUntil(f.now + 10*sec)
	if numberOf(g.inForce) != 4 || numberOf(g.persisted) != 4 || slices.Contains(g.rejected, 4) {
		t.Errorf("in force %d, persisted %d, rejected %v", numberOf(g.inForce), numberOf(g.persisted), g.rejected)
	}
	g.call(func() {
		if err := g.machine.Rollback(f.now, "ordered again"); err != nil {
			t.Error(err)
		}
	})
	f.runUntil(f.now + sec)
	if g.inForce != nil || g.persisted != nil || !slices.Contains(g.rejected, 4) {
		t.Errorf("in force %d, persisted %d, rejected %v", numberOf(g.inForce), numberOf(g.persisted), g.rejected)
	}
}

// Guards against a full disk that prevents an automatic rollback, and against a rollback that is not saved once the
// disk has space again.
func TestAutomaticRollbackIsSavedWhenTheStoreCanBeWrittenAgain(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.runUntil(2 * sec)
	f.publish(version(4))
	f.runUntil(f.now + 2*sec)
	g := f.gateways[0]
	serve := func(lateOrUnserved bool) {
		for range 200 {
			g.call(func() { g.machine.RequestEnded(lateOrUnserved) })
		}
	}
	serve(false)
	g.storeFails = true
	worse := version(5)
	worse.rollout = Rollout{FirstPercent: 100, Hold: 10 * sec, MaxRegression: 0.1}
	f.publish(worse)
	f.runUntil(f.now + 2*sec)
	if numberOf(g.inForce) != 5 {
		t.Fatalf("version %d is in force, expected 5", numberOf(g.inForce))
	}
	serve(true)
	f.runUntil(f.now + sec)
	if numberOf(g.inForce) != 4 {
		t.Errorf("version %d is in force while the store fails, expected 4", numberOf(g.inForce))
	}
	g.storeFails = false
	f.runUntil(f.now + 10*sec)
	if numberOf(g.persisted) != 4 || !slices.Contains(g.rejected, 5) {
		t.Errorf("persisted %d, rejected %v", numberOf(g.persisted), g.rejected)
	}
}

// Guards against a rollback to a version that was itself rejected. Requests in flight prevent the rollback of
// version 5; version 6, which then comes into force, must return to version 4.
func TestRollbackPassesOverARejectedVersion(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.runUntil(2 * sec)
	f.publish(version(4))
	f.runUntil(f.now + 2*sec)
	f.publish(version(5))
	f.runUntil(f.now + 2*sec)
	g := f.gateways[0]
	f.invalidTransition[4] = true // requests in flight prevent the rollback to version 4
	g.call(func() {
		if err := g.machine.Rollback(f.now, "ordered"); err != nil {
			t.Error(err)
		}
	})
	f.runUntil(f.now + sec/2)
	f.publish(version(6))
	f.runUntil(f.now + 2*sec)
	if numberOf(g.inForce) != 6 {
		t.Fatalf("version %d is in force, expected 6", numberOf(g.inForce))
	}
	f.invalidTransition[4] = false
	g.call(func() {
		if err := g.machine.Rollback(f.now, "ordered"); err != nil {
			t.Error(err)
		}
	})
	f.runUntil(f.now + 2*sec)
	if numberOf(g.inForce) != 4 || numberOf(g.persisted) != 4 {
		t.Errorf("in force %d, persisted %d, expected 4", numberOf(g.inForce), numberOf(g.persisted))
	}
}

// Guards against an acknowledgement of a version that is not saved yet: after a restart without the control service,
// the previous version would be in force.
func TestVersionIsSavedBeforeItIsAcknowledged(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.runUntil(2 * sec)
	g := f.gateways[0]
	acknowledged := false
	g.onAck = func() {
		acknowledged = true
		if numberOf(g.persisted) != 4 {
			t.Errorf("version 4 was acknowledged while version %d is saved", numberOf(g.persisted))
		}
	}
	f.publish(version(4))
	f.runUntil(f.now + 2*sec)
	if !acknowledged {
		t.Error("version 4 was not acknowledged")
	}
}
