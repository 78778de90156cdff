// Command 8 is the driver of case 8: a gateway that operators have drained takes clients again after upgrades in a row.
package main

import (
	"fmt"
	"net/http"
	"os"
	"syscall"
	"time"

	"archknot/review/rig"
)

const (
	// upgrades follow one another: each begins when the old process of the one before has ended. SIGTERM reaches the old
	// process when the new one has said yes, from upgrade to upgrade termStep later, well within the 6 s.
	upgrades = 6
	termStep = 45 * time.Millisecond
	// drainLimit is when a drained gateway may not say yes any more, counted from the call.
	drainLimit = 4 * time.Second
	// readyWithin is how long a new process may take to say yes; killAfter is when SIGKILL follows SIGTERM.
	readyWithin = 6 * time.Second
	killAfter   = 3700 * time.Millisecond
	// frontInterval is how often the front asks whether the gateway is ready; watchFor is how long after the upgrades.
	frontInterval = 100 * time.Millisecond
	watchFor      = 3 * time.Second
)

func main() { rig.Main(run) }

// deployment is a gateway whose processes follow one another on a socket that the platform holds.
type deployment struct {
	rig       *rig.Rig
	discovery *rig.Discovery
	listen    string
	socket    *os.File
	number    int
}

func run(r *rig.Rig) error {
	d, err := newDeployment(r)
	if err != nil {
		return err
	}
	g, err := d.start()
	if err != nil {
		return err
	}
	if err := g.AwaitReady(5 * time.Second); err != nil {
		return err
	}
	called := time.Now()
	if err := drain(r, g); err != nil {
		return err
	}
	time.Sleep(drainLimit + time.Second)
	if r.Trouble {
		for i := range upgrades {
			if g, err = d.upgrade(g, time.Duration(i)*termStep); err != nil {
				return err
			}
		}
	}
	for range int(watchFor / frontInterval) {
		time.Sleep(frontInterval) // as often as the front asks
		if status := rig.StatusOf("http://" + d.listen + "/health/ready"); status == http.StatusOK {
			r.Broken("drained and not resumed, the gateway says yes to the front %.1f s after the call", time.Since(called).Seconds())
		}
	}
	answer := r.Do(d.listen, rig.Call{ID: fmt.Sprint("late-", os.Getpid()), Class: "chat", Tenant: "me", Deadline: 3 * time.Second})
	if answer.Served() {
		r.Broken("drained and not resumed, the gateway serves a new client")
	}
	return nil
}

func newDeployment(r *rig.Rig) (*deployment, error) {
	replica, err := r.NewFleet().StartReplica("s-1", func(_ rig.Arrival, w http.ResponseWriter, _ *http.Request) {
		rig.Stream(w, 3, 5*time.Millisecond, 20, 3)
	})
	if err != nil {
		return nil, err
	}
	discovery, err := rig.StartDiscovery(replica)
	if err != nil {
		return nil, err
	}
	socket, listen, err := rig.ListeningSocket()
	return &deployment{rig: r, discovery: discovery, listen: listen, socket: socket}, err
}

// start starts a process of the gateway, and waits until it says yes at its second address.
func (d *deployment) start() (*rig.Gateway, error) {
	admin, err := rig.FreePort()
	if err != nil {
		return nil, err
	}
	d.number++
	g, err := d.rig.Start(rig.GatewayOptions{Name: "g1", Label: fmt.Sprintf("process %d", d.number), Listen: d.listen,
		Discovery: d.discovery.Addr, Admin: admin, Socket: d.socket})
	if err != nil {
		return nil, err
	}
	return g, g.AwaitYes(readyWithin)
}

// upgrade starts a process beside the old one, and ends the old one some time after the new one has said yes.
func (d *deployment) upgrade(old *rig.Gateway, termAfter time.Duration) (*rig.Gateway, error) {
	g, err := d.start()
	if err != nil {
		return nil, err
	}
	time.Sleep(termAfter)
	old.Signal(syscall.SIGTERM)
	if !old.Ended(killAfter) {
		old.Signal(syscall.SIGKILL)
		old.Ended(killAfter)
	}
	return g, nil
}

// drain makes the operators' call.
func drain(r *rig.Rig, g *rig.Gateway) error {
	status, err := g.Call(http.MethodPut, "/-/drain")
	r.Logf("operators call drain at %s: %d, %v", g.Label, status, err)
	if err == nil && status != http.StatusOK {
		err = fmt.Errorf("the drain was answered %d", status)
	}
	return err
}
