// Command 7 is the driver of case 7: after an upgrade operators cannot take out a replica that is not listed just then.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"archknot/review/rig"
)

const (
	replicas = 3
	clients  = 6
	// grace is stopSendingWithinUs, callLimit is when a call counts whatever its answer. slack is what the protocol adds
	// to each time limit; margin is for this measurement.
	grace     = 2500 * time.Millisecond
	callLimit = time.Second
	slack     = 50 * time.Millisecond
	margin    = 50 * time.Millisecond
	// readyWithin is how long the new process may take to say yes; killAfter is when SIGKILL follows SIGTERM.
	readyWithin = 6 * time.Second
	killAfter   = 3700 * time.Millisecond
	watchFor    = 10 * time.Second
)

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	fleet := r.NewFleet()
	discovery, err := startReplicas(fleet)
	if err != nil {
		return err
	}
	socket, listen, err := rig.ListeningSocket()
	if err != nil {
		return err
	}
	start := func(label string) (*rig.Gateway, error) {
		admin, err := rig.FreePort()
		if err != nil {
			return nil, err
		}
		g, err := r.Start(rig.GatewayOptions{Name: "g1", Label: label + " process", Listen: listen, Discovery: discovery.Addr,
			Admin: admin, Socket: socket, Settings: map[string]any{"rules": map[string]any{"stopSendingWithinUs": grace.Microseconds()}}})
		if err != nil {
			return nil, err
		}
		return g, g.AwaitYes(readyWithin)
	}
	g, err := start("first")
	if err != nil {
		return err
	}
	stop := load(r, g.Listen)
	defer stop()
	time.Sleep(2 * time.Second)
	discovery.Remove(r, "s-1")
	time.Sleep(2 * time.Second)
	if r.Trouble {
		old := g
		if g, err = start("new"); err != nil {
			return err
		}
		old.Signal(syscall.SIGTERM)
		if !old.Ended(killAfter) {
			old.Signal(syscall.SIGKILL)
		}
	}
	time.Sleep(time.Second)
	called := time.Now()
	status, err := g.Call(http.MethodPut, "/-/replicas/s-1/disable")
	r.Logf("operators call disable s-1 at the %s: %d, %v", g.Label, status, err)
	time.Sleep(time.Second)
	discovery.Return(r, "s-1")
	time.Sleep(watchFor)
	stop()
	for _, a := range fleet.Arrivals() {
		if limit := called.Add(callLimit + grace + slack + margin); a.Replica == "s-1" && a.At.After(limit) {
			r.Broken("replica s-1 got %s %d ms after the grace of the call that takes it out (which was answered %d)", a.ID, a.At.Sub(limit).Milliseconds(), status)
		}
	}
	return nil
}

// startReplicas starts the replicas, and a discovery service that lists them.
func startReplicas(fleet *rig.Fleet) (*rig.Discovery, error) {
	var all []*rig.Replica
	for i := range replicas {
		replica, err := fleet.StartReplica(fmt.Sprintf("s-%d", i+1), func(_ rig.Arrival, w http.ResponseWriter, _ *http.Request) {
			rig.Stream(w, 10, 30*time.Millisecond, 20, 10)
		})
		if err != nil {
			return nil, err
		}
		all = append(all, replica)
	}
	return rig.StartDiscovery(all...)
}

// load sends requests until stop is called.
func load(r *rig.Rig, addr string) (stop func()) {
	done := make(chan struct{})
	var senders sync.WaitGroup
	for client := range clients {
		senders.Go(func() {
			for i := 0; ; i++ {
				select {
				case <-done:
					return
				default:
				}
				r.Do(addr, rig.Call{ID: fmt.Sprintf("c%d-%d-%d", os.Getpid(), client, i), Class: "chat", Tenant: "me", Deadline: 3 * time.Second})
			}
		})
	}
	var once sync.Once
	return func() {
		once.Do(func() { close(done) })
		senders.Wait()
	}
}
