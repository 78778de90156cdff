// Command 6 is the driver of case 6: after a new configuration a draining replica gets work for too long.
package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"

	"archknot/review/rig"
)

const (
	replicas = 4
	clients  = 6
	// grace is stopSendingWithinUs. slack is what the protocol adds to each time limit; margin is for this measurement.
	grace  = 2500 * time.Millisecond
	slack  = 50 * time.Millisecond
	margin = 50 * time.Millisecond
	// toldAfter is when what discovery has to tell counts as told, counted from SIGHUP.
	toldAfter = 4 * time.Second
	// A crowded discovery fails a call that has waited for callWait. It is crowded for so long.
	callWait   = 2 * time.Second
	crowdedFor = 8 * time.Second
	// oldClosesAfter is when the discovery at the old address closes its connections.
	oldClosesAfter = 1500 * time.Millisecond
)

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	fleet := r.NewFleet()
	drains := newSwitch()
	var all []*rig.Replica
	for i := range replicas {
		first := i == 0
		replica, err := fleet.StartReplica(fmt.Sprintf("s-%d", i+1), func(_ rig.Arrival, w http.ResponseWriter, _ *http.Request) {
			if first && drains.isOn() { // it finishes what it has, and turns new work away
				w.Header().Set("Srv-Declined", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
				return
			}
			rig.Stream(w, 10, 30*time.Millisecond, 20, 10)
		})
		if err != nil {
			return err
		}
		all = append(all, replica)
	}
	old, err := rig.StartDiscovery(all...)
	if err != nil {
		return err
	}
	next, err := rig.StartDiscovery(all...)
	if err != nil {
		return err
	}
	options := rig.GatewayOptions{Name: "g1", Discovery: old.Addr,
		Settings: map[string]any{"rules": map[string]any{"stopSendingWithinUs": grace.Microseconds()}}}
	g, err := r.Start(options)
	if err != nil {
		return err
	}
	if err := g.AwaitReady(10 * time.Second); err != nil {
		return err
	}
	stop := load(r, g)
	defer stop()
	time.Sleep(3 * time.Second)

	drains.on()
	next.Drain(r, "s-1")
	var told time.Time
	if r.Trouble {
		next.CrowdedFor(callWait, crowdedFor)
		g.Discovery = next.Addr
		if err := r.Reconfigure(g); err != nil {
			return err
		}
		told = time.Now().Add(toldAfter)
		g.Signal(syscall.SIGHUP)
		old.Close(oldClosesAfter)
	} else {
		told = time.Now()
		old.Drain(r, "s-1")
	}
	time.Sleep(time.Until(told.Add(grace + 5*time.Second)))
	stop()
	judge(r, fleet, told.Add(grace+slack+margin))
	return nil
}

// judge checks that the draining replica got nothing from a time on.
func judge(r *rig.Rig, fleet *rig.Fleet, from time.Time) {
	for _, a := range fleet.Arrivals() {
		if a.Replica == "s-1" && a.At.After(from) {
			r.Broken("draining replica s-1 got %s %d ms after the grace", a.ID, a.At.Sub(from).Milliseconds())
		}
	}
}

// load sends requests until stop is called.
func load(r *rig.Rig, g *rig.Gateway) (stop func()) {
	done := newSwitch()
	var senders sync.WaitGroup
	for client := range clients {
		senders.Go(func() {
			for i := 0; !done.isOn(); i++ {
				answer := r.Do(g.Listen, rig.Call{ID: fmt.Sprintf("c%d-%d", client, i), Class: "chat", Tenant: "me", Deadline: 3 * time.Second})
				if !answer.Served() {
					time.Sleep(100 * time.Millisecond)
				}
			}
		})
	}
	return func() {
		done.on()
		senders.Wait()
	}
}

// onOff is a switch that is turned on once.
type onOff struct {
	once sync.Once
	done chan struct{}
}

func newSwitch() *onOff { return &onOff{done: make(chan struct{})} }

func (s *onOff) on() { s.once.Do(func() { close(s.done) }) }

func (s *onOff) isOn() bool {
	select {
	case <-s.done:
		return true
	default:
		return false
	}
}
