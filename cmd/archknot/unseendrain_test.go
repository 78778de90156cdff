package main

import (
	"syscall"
	"testing"
	"time"
)

// expectUnseenDrainHeld publishes a drain that a fault of discovery hides from the gateway, and expects no attempts
// at the draining replica after the grace.
func expectUnseenDrainHeld(t *testing.T, gateways int, injectFault func(d *drainDeployment) (change int)) {
	t.Helper()
	d := newDrainDeployment(t, gateways)
	p := d.start()
	d.waitUntilReady(p)
	traffic := d.startTraffic(3)
	waitUntil(t, "the replica serves requests", func() bool { return len(d.draining.attemptsAfter(time.Time{})) > 20 })
	change := injectFault(d)
	published, _ := d.discovery.changeTimes(change)
	time.Sleep(time.Until(published.Add(drainDuration)))
	traffic.stopAndWait()
	d.expectDrained(change, time.Time{})
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}

// Guards against requests to a draining replica while discovery is up and sends the drain to other gateways, but
// answers this gateway with 503 for longer than propagationLimit and drainGrace.
func TestDrainIsHeldWhileDiscoveryTurnsTheGatewayAway(t *testing.T) {
	t.Parallel()
	expectUnseenDrainHeld(t, 200, func(d *drainDeployment) int {
		d.awaitWatch(100 * time.Millisecond)
		d.discovery.setFault(discoveryBusy)
		return d.drain()
	})
}

// Guards against requests to a draining replica when the gateway's watch got no answer from before the drain on, and
// discovery failed and reset the watch before the gateway had detected that.
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

// Guards against requests to a draining replica when discovery was back, and had the drain, only between two calls of
// the gateway that it reset.
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

// Guards against requests to a draining replica that nothing shows to the gateway: the watch of an agent is broken while
// the agent has the drain, and the agent fails before the gateway has detected that; or the gateway is restarted into an
// outage, and the replica takes work while it drains.
func TestDrainIsHeldWhereNothingShowsIt(t *testing.T) {
	for name, play := range map[string]func(d *missedChangeDeployment, p *gatewayProcess) (knownFrom time.Time){
		"broken watch of an agent": func(d *missedChangeDeployment, _ *gatewayProcess) time.Time {
			d.discovery.silenceOpenCalls()
			d.draining.declines.Store(true)
			d.drain()
			knownFrom := time.Now()
			time.Sleep(100 * time.Millisecond)
			d.discovery.setFault(d.source.outage)
			return knownFrom
		},
		"restart, replica that takes work": func(d *missedChangeDeployment, p *gatewayProcess) time.Time {
			knownFrom := restart(syscall.SIGTERM)(d, p)
			d.draining.declines.Store(false)
			return knownFrom
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newMissedChangeDeployment(t, pushedLists)
			d.playOutage(play)
		})
	}
}
