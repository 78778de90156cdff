package main

import (
	"flag"
	"syscall"
	"testing"
)

// upgrades is how many upgrades the test makes; 50 for a manual run.
var upgrades = flag.Int("upgrades", 4, "upgrades under load")

// maxResentPerUpgrade is how many requests per upgrade may have to be sent again because their connection was
// refused, reset or closed unread.
const maxResentPerUpgrade = 2

// Guards against lost requests and orders when the process is replaced repeatedly under load. Every request gets a
// response, at most two per upgrade are sent again, and an ejected replica stays ejected.
func TestUpgradesUnderLoad(t *testing.T) {
	d := newDeployment(t, 4)
	p := d.start()
	d.waitUntilReady(p)
	traffic := d.startTraffic(8)
	waitUntil(t, "traffic", func() bool { return traffic.served.Load() > 100 })
	d.order(p, "PUT", "/-/replicas/s-4/disable")
	for range *upgrades {
		served := traffic.served.Load()
		p = d.upgrade(p)
		waitUntil(t, "the next process serves", func() bool { return traffic.served.Load() > served+50 })
		d.expectNoAttempts(d.replicas[3], traffic, "after the upgrade")
	}
	traffic.stopAndWait()
	maxResent := int64(maxResentPerUpgrade * *upgrades)
	t.Logf("%d upgrades: %d served, %d rejected or failed, %d broken, %d sent again", *upgrades, traffic.served.Load(), traffic.failed.Load(), traffic.broken.Load(), traffic.resent.Load())
	if traffic.failed.Load() > 0 || traffic.broken.Load() > 0 || traffic.resent.Load() > maxResent {
		t.Errorf("in %d upgrades: %d rejected or failed, %d broken, %d sent again", *upgrades, traffic.failed.Load(), traffic.broken.Load(), traffic.resent.Load())
	}
	p.signal(t, syscall.SIGTERM)
	p.waitForExit(t)
}
