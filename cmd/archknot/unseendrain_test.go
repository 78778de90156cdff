package main

import (
	"syscall"
	"testing"
	"time"
)

// expectUnseenDrainHeld plays a drain that the gateway cannot see, and expects it to be held all the same.
func expectUnseenDrainHeld(t *testing.T, gateways int, injectFault func(d *drainDeployment) (change int)) {
	t.Helper()
	d := newDrainDeployment(t, gateways)
	p := d.start()
	d.waitUntilReady(p)
	traffic := d.startTraffic(3)
	waitUntil(t, "it serves", func() bool { return len(d.draining.attemptsAfter(time.Time{})) > 20 })
	change := injectFault(d)
	published, _ := d.discovery.changeTimes(change)
	time.Sleep(time.Until(published.Add(drainDuration)))
	traffic.stopAndWait()
	d.expectDrained(change, time.Time{})
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// Guards against: work for a draining replica while discovery is up, tells others of the drain, and turns this gateway
// away with 503 for longer than the term and the grace.
func TestDrainIsHeldWhileDiscoveryTurnsTheGatewayAway(t *testing.T) {
	t.Parallel()
	expectUnseenDrainHeld(t, 200, func(d *drainDeployment) int {
		d.awaitWatch(100 * time.Millisecond)
		d.discovery.setFault(discoveryBusy)
		return d.drain()
	})
}

// Guards against: work for a draining replica where the watch had fallen silent before the drain, and was reset, with
// the end of discovery, before the silence was noticed.
func TestDrainIsHeldBehindASilentWatchThatIsReset(t *testing.T) {
	t.Parallel()
	expectUnseenDrainHeld(t, 200, func(d *drainDeployment) int {
		d.awaitWatch(400 * time.Millisecond)
		d.discovery.silenceOpenCalls()
		change := d.drain()
		time.Sleep(time.Second)
		d.discovery.setFault(discoveryResets)
		return change
	})
}

// Guards against: work for a draining replica where discovery was back, with the drain, between two of the gateway's
// calls that it refused.
func TestDrainIsHeldWhereDiscoveryReturnsBetweenTwoRefusals(t *testing.T) {
	t.Parallel()
	expectUnseenDrainHeld(t, 900, func(d *drainDeployment) int {
		d.discovery.setFault(discoveryResets)
		for range 2 { // an open watch has ended, and one call was refused
			calls := d.discovery.callCount()
			waitUntil(t, "a refused call", func() bool { return d.discovery.callCount() > calls })
		}
		d.discovery.setFault(discoveryUp)
		change := d.drain()
		time.Sleep(time.Second)
		d.discovery.setFault(discoveryResets)
		return change
	})
}
