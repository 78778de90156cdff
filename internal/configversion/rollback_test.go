package configversion

import (
	"errors"
	"slices"
	"testing"
)

// Guards against: an operator's rollback that is refused for a full disk and takes effect all the same.
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
			t.Errorf("answered by %v", err)
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

// Guards against: a full disk keeps a worse version in force, or its rollback is never saved when there is space again.
func TestAutomaticRollbackIsSavedWhenTheStoreCanBeWrittenAgain(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.runUntil(2 * sec)
	f.publish(version(4))
	f.runUntil(f.now + 2*sec)
	g := f.gateways[0]
	serve := func(bad bool) {
		for range 200 {
			g.call(func() { g.machine.RequestEnded(bad) })
		}
	}
	serve(false)
	g.storeFails = true
	worse := version(5)
	worse.rollout = Rollout{FirstPercent: 100, Hold: 10 * sec, MaxRegression: 0.1}
	f.publish(worse)
	f.runUntil(f.now + 2*sec)
	if numberOf(g.inForce) != 5 {
		t.Fatalf("on %d", numberOf(g.inForce))
	}
	serve(true)
	f.runUntil(f.now + sec)
	if numberOf(g.inForce) != 4 {
		t.Errorf("on %d while the store fails", numberOf(g.inForce))
	}
	g.storeFails = false
	f.runUntil(f.now + 10*sec)
	if numberOf(g.persisted) != 4 || !slices.Contains(g.rejected, 5) {
		t.Errorf("persisted %d, rejected %v", numberOf(g.persisted), g.rejected)
	}
}

// Guards against: a worse version returns to one that was itself to be rolled back, while requests in flight
// didn't allow it.
func TestRollbackPassesOverARejectedVersion(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.runUntil(2 * sec)
	f.publish(version(4))
	f.runUntil(f.now + 2*sec)
	f.publish(version(5))
	f.runUntil(f.now + 2*sec)
	g := f.gateways[0]
	f.badTransition[4] = true // requests in flight don't allow the way back
	g.call(func() {
		if err := g.machine.Rollback(f.now, "ordered"); err != nil {
			t.Error(err)
		}
	})
	f.runUntil(f.now + sec/2)
	f.publish(version(6))
	f.runUntil(f.now + 2*sec)
	if numberOf(g.inForce) != 6 {
		t.Fatalf("on %d", numberOf(g.inForce))
	}
	f.badTransition[4] = false
	g.call(func() {
		if err := g.machine.Rollback(f.now, "ordered"); err != nil {
			t.Error(err)
		}
	})
	f.runUntil(f.now + 2*sec)
	if numberOf(g.inForce) != 4 || numberOf(g.persisted) != 4 {
		t.Errorf("in force %d, persisted %d, not 4", numberOf(g.inForce), numberOf(g.persisted))
	}
}

// Guards against: the service is told that a version is in force, and a restart without the service begins with the
// one before.
func TestVersionIsSavedBeforeItIsAcknowledged(t *testing.T) {
	f := newFleet(t, 8, 1)
	f.runUntil(2 * sec)
	g := f.gateways[0]
	acknowledged := false
	g.onAck = func() {
		acknowledged = true
		if numberOf(g.persisted) != 4 {
			t.Errorf("acknowledged with version %d saved", numberOf(g.persisted))
		}
	}
	f.publish(version(4))
	f.runUntil(f.now + 2*sec)
	if !acknowledged {
		t.Error("not acknowledged")
	}
}
