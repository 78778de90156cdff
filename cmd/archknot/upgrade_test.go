package main

import (
	"flag"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"
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

// saveTime is the time after which a process has saved what was listed to it.
const saveTime = 2 * time.Second

// Guards against an order on a replica that only an earlier process had listed being refused: the replica came back into
// service although operators had taken it out (issue 74, review/7).
func TestOrderOnReplicaThatOnlyAnEarlierProcessListed(t *testing.T) {
	end := func(how syscall.Signal) func(*deployment, *gatewayProcess) *gatewayProcess {
		return func(d *deployment, p *gatewayProcess) *gatewayProcess {
			p.signal(d.t, how)
			<-p.exited
			return d.start()
		}
	}
	upgrade := func(d *deployment, p *gatewayProcess) *gatewayProcess { return d.upgrade(p) }
	for name, replace := range map[string]func(*deployment, *gatewayProcess) *gatewayProcess{
		"upgrade": upgrade, "restart": end(syscall.SIGTERM), "kill": end(syscall.SIGKILL),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDeployment(t, 3)
			p := d.start()
			d.waitUntilReady(p)
			absent := d.replicas[0]
			d.discovery.remove(absent.id, absent.addr)
			waitUntil(t, "the replica is off the list", d.discovery.allDelivered)
			time.Sleep(saveTime)
			p = replace(d, p)
			d.waitUntilReady(p)
			traffic := d.startTraffic(2)
			d.order(p, http.MethodPut, "/-/replicas/"+absent.id+"/disable")
			if status := p.callAdmin(http.MethodPut, "/-/replicas/s-9/disable"); !isError(status) {
				t.Errorf("never listed: status %d, want an error", status)
			}
			d.discovery.publish(absent.id, endpointJSON(absent.id, absent.addr, "ready", ""))
			waitUntil(t, "the replica is listed again", d.discovery.allDelivered)
			d.expectNoAttempts(absent, traffic, "listed again")
			traffic.stopAndWait()
		})
	}
}

// onceConfigFormat is the configuration of a gateway whose only class must not run twice.
const onceConfigFormat = `{"name":"g","listen":"%s","discovery":"%s","admin":"%s","limits":{"cores":1,"memory_mb":64,"sockets":512},
 "settings":{"nInstances":1,"selfIndex":0,"zone":"a","zones":["a"],"limits":{"maxAttempts":1,"connIdleUs":60000000,"connectTimeoutUs":500000,"mostHeld":2000},
  "rules":{"askWithinUs":10000000,"startCapacity":0.5},"requestClasses":[{"name":"chat","targetUs":1000000,"deadlineUs":3000000,"effect":"once","streamed":true}]}}`

// Guards against a request that runs twice when its id comes again, after its client has left, at the other process of an
// upgrade (issue 74, picture d).
func TestIDDoesNotRunAgainInTheOtherProcess(t *testing.T) {
	for name, oldEnds := range map[string]bool{"beside the old process": false, "after its end": true} {
		t.Run(name, func(t *testing.T) {
			d := newDeployment(t, 1)
			d.platformConfig = func(adminAddr string) string {
				return fmt.Sprintf(onceConfigFormat, d.addr, d.discovery.addr, adminAddr)
			}
			old := d.start()
			d.waitUntilReady(old)
			c := old.dial(t)
			c.send(requestText("same", "hold"))
			waitUntil(t, "the replica has the request", func() bool { return d.replicas[0].attemptsSince(time.Time{}) == 1 })
			c.Close()
			if oldEnds {
				d.upgrade(old)
			} else {
				d.waitUntilReady(d.start())
			}
			for range 8 { // beside each other, either process may accept a connection
				c = old.dial(t)
				c.send(requestText("same", "-"))
				if status, _, _ := c.readResponse(); status == http.StatusOK {
					t.Errorf("status %d of an id that came again, want an error", status)
				}
			}
			if n := d.replicas[0].attemptsSince(time.Time{}); n != 1 {
				t.Errorf("the replica got the id %d times, want once", n)
			}
		})
	}
}
