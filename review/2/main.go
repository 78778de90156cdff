// Command 2 restarts a gateway, whose lists are pushed, at the beginning of an outage of discovery: see claim.txt.
package main

import (
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"archknot/review/standin"
)

const (
	deadline = 3 * time.Second
	// grace is the settings' stopSendingWithinUs; slack is what the rules on sockets add to each time limit.
	grace = 1500 * time.Millisecond
	slack = 50 * time.Millisecond
	// outage is how long discovery is down.
	outage = 8 * time.Second
	// interval is the time between two clients' requests.
	interval = 50 * time.Millisecond
	// killAfter is the least time from SIGTERM to SIGKILL: the longest deadline, taken as 3 s, and 0.7 s.
	killAfter = 3700 * time.Millisecond
)

// deployment is the gateway with what surrounds it.
type deployment struct {
	*standin.Case
	listen   string
	agent    *standin.Discovery
	known    standin.List // as the gateway last had it
	drained  atomic.Bool  // r1 drains: it turns away what is new
	requests int
}

func main() {
	d := &deployment{Case: standin.New("2")}
	answer := standin.Plan{FirstToken: 30 * time.Millisecond, Events: 4, Gap: 10 * time.Millisecond, Prompt: 20, OutputPerText: 4}
	r1 := d.StartReplica("r1", func(string) standin.Plan {
		plan := answer
		plan.Declines = d.drained.Load()
		return plan
	})
	r2 := d.StartReplica("r2", func(string) standin.Plan { return answer })
	d.agent, d.listen = d.StartDiscovery(r1, r2), d.FreeAddr()
	first := d.start(false)
	d.load(2 * time.Second)
	d.known = d.agent.List()

	first.Signal(syscall.SIGTERM)
	if _, ended := first.Ended(killAfter); !ended {
		first.Signal(syscall.SIGKILL)
	}
	d.agent.SetLifecycle("r1", "draining") // the agent has it from now on
	d.drained.Store(true)
	time.Sleep(500 * time.Millisecond)
	if d.Trouble { // discovery goes down, and so the agent is silent
		d.agent.SetSilent(true)
		time.AfterFunc(outage, func() { d.agent.SetSilent(false) })
	}
	second := d.start(true)
	ready := time.Now()
	d.load(outage + 2*time.Second)
	if status, ended := second.Ended(0); ended {
		d.Abort("the gateway ended: %s", status)
	}
	d.Finish(d.judge(r1, ready))
}

// start starts the gateway and waits until it is ready.
func (d *deployment) start(again bool) *standin.Process {
	classes := []map[string]any{standin.Class("help-chat", "repeatable", deadline)}
	platform := d.Platform("n1", d.listen, d.agent.Addr, classes, func(platform, settings map[string]any) {
		settings["discovery"] = "pushed"
		if rules, ok := settings["rules"].(map[string]any); ok {
			rules["stopSendingWithinUs"] = grace.Microseconds()
			rules["startCapacity"], rules["coldUs"], rules["tipAfterUs"] = 0.19, 24_000_000, 2_000_000
		}
		if limits, ok := settings["limits"].(map[string]any); ok {
			limits["connectTimeoutUs"] = 120_000
		}
		if again {
			platform["known"] = d.known
		}
	})
	gateway := d.Start("n1", []string{"NODE_CONFIG=" + platform})
	d.AwaitReady(gateway, d.listen)
	return gateway
}

// load sends requests for a time, and waits for the answers.
func (d *deployment) load(span time.Duration) {
	var clients sync.WaitGroup
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(interval) {
		d.requests++
		r := standin.Request{ID: fmt.Sprintf("r-%d", d.requests), Class: "help-chat", Tenant: "island-tax", Deadline: deadline}
		clients.Go(func() { d.Send(d.listen, r) })
	}
	clients.Wait()
}

// judge counts what the draining replica got too late. The agent had the change before the new process began; the
// grace is counted from the moment at which that process was ready, which is later.
func (d *deployment) judge(draining *standin.Replica, ready time.Time) (violations []string) {
	late, last := 0, time.Duration(0)
	for _, a := range draining.Arrivals() {
		if since := a.At.Sub(ready); since > grace+slack {
			late++
			last = since
		}
	}
	if late > 0 {
		violations = append(violations, fmt.Sprintf("%d attempts at r1, which drains, later than %v after the new process was ready, the last one after %v", late, grace+slack, last))
	}
	return violations
}
