package main

import (
	"flag"
	"syscall"
	"testing"
)

// upgrades is how many the test of upgrades makes: a run by hand takes 50.
var upgrades = flag.Int("upgrades", 4, "upgrades under load")

// metAtTheDoor is how many requests of an upgrade may meet a refused, reset or unread connection.
const metAtTheDoor = 2

// The process is replaced under load, again and again: no request is refused, reset or left unread beyond
// two an upgrade, none has no answer, and a replica that is out stays so.
func TestUpgradesUnderLoad(t *testing.T) {
	d := newDeployment(t, 4)
	p := d.start()
	d.ready(p)
	f := d.traffic(8)
	until(t, "traffic", func() bool { return f.served.Load() > 100 })
	d.wants(p, "PUT", "/-/replicas/s-4/disable")
	for range *upgrades {
		served := f.served.Load()
		p = d.upgrade(p)
		until(t, "the next process serves", func() bool { return f.served.Load() > served+50 })
		d.quiet(d.replicas[3], f, "over the upgrade")
	}
	f.end()
	most := int64(metAtTheDoor * *upgrades)
	t.Logf("%d upgrades: %d served, %d refused or failed, %d broken, %d sent again", *upgrades, f.served.Load(), f.other.Load(), f.broken.Load(), f.again.Load())
	if f.other.Load() > 0 || f.broken.Load() > 0 || f.again.Load() > most {
		t.Errorf("at the door of %d upgrades: %d refused or failed, %d broken, %d sent again", *upgrades, f.other.Load(), f.broken.Load(), f.again.Load())
	}
	p.signal(t, syscall.SIGTERM)
	p.ends(t)
}
