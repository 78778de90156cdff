// Command 9 is the driver of case 9: in an upgrade the new process ends, if the program's own settings name an address
// or a store.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"archknot/review/rig"
)

const (
	// readyWithin is how long the new process may take to say yes.
	readyWithin = 6 * time.Second
	// killAfter is when SIGKILL follows SIGTERM: the longest deadline, here 3 s, and 0.7 s.
	killAfter = 3700 * time.Millisecond
	clients   = 4
	// maxSocketFolder is the longest path of a folder in which a Unix socket can be made.
	maxSocketFolder = 90
)

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	fleet := r.NewFleet()
	replica, err := fleet.StartReplica("s-1", func(_ rig.Arrival, w http.ResponseWriter, _ *http.Request) {
		rig.Stream(w, 3, 20*time.Millisecond, 20, 3)
	})
	if err != nil {
		return err
	}
	discovery, err := rig.StartDiscovery(replica)
	if err != nil {
		return err
	}
	metrics, err := rig.FreePort()
	if err != nil {
		return err
	}
	peers, err := rig.FreePort()
	if err != nil {
		return err
	}
	silent, err := rig.FreePort() // a control service that is away
	if err != nil {
		return err
	}
	for _, d := range []deployment{
		{"plain", ""},
		{"store", "[contracts]\nstore " + r.Temp + "/balances.db\n[contract mine]\ntenants me\nrate 100000\nburst 100000\nbudget day 0 1000000\n"},
		{"metrics", "[metrics]\nlisten " + metrics + "\n"},
		{"control", "[control]\nsocket " + r.Temp + "/control\n"},
		{"peers", "[peers]\nlisten " + peers + "\nsite here\n"},
		{"versions", "[control-service]\naddress " + silent + "\nstore " + r.Temp + "/versions.db\n"},
	} {
		if d.name == "control" && len(r.Temp) > maxSocketFolder {
			r.Logf("--- %s is left out: the temporary folder's path is too long for a Unix socket", d.name)
			continue
		}
		if err := d.run(r, discovery.Addr); err != nil {
			return err
		}
	}
	return nil
}

// deployment is a gateway with some settings of the program's own.
type deployment struct{ name, conf string }

// run starts a gateway under load, and once more beside it.
func (d deployment) run(r *rig.Rig, discovery string) error {
	r.Logf("--- settings of its own: %s", d.name)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	defer listener.Close()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("listener of type %T", listener)
	}
	socket, err := tcp.File()
	if err != nil {
		return err
	}
	defer socket.Close()
	start := func(label string) (*rig.Gateway, error) {
		admin, err := rig.FreePort()
		if err != nil {
			return nil, err
		}
		return r.Start(rig.GatewayOptions{Name: "g-" + d.name, Label: label + " process (" + d.name + ")", Listen: listener.Addr().String(),
			Discovery: discovery, Admin: admin, Conf: d.conf, Socket: socket})
	}
	old, err := start("first")
	if err != nil {
		return err
	}
	if err := old.AwaitReady(10 * time.Second); err != nil {
		return err
	}
	if err := rig.Await(5*time.Second, "yes of the first process", func() bool { return saysYes(old) }); err != nil {
		return err
	}
	stop := d.load(r, listener.Addr().String())
	defer stop()
	time.Sleep(time.Second)
	last := old
	if r.Trouble {
		if last, err = d.upgrade(r, old, start); err != nil {
			return err
		}
	}
	time.Sleep(time.Second)
	stop()
	last.Kill()
	return nil
}

// upgrade starts a process beside the old one, and ends the old one when the new one says yes.
func (d deployment) upgrade(r *rig.Rig, old *rig.Gateway, start func(string) (*rig.Gateway, error)) (*rig.Gateway, error) {
	next, err := start("new")
	if err != nil {
		return nil, err
	}
	begun := time.Now()
	for !saysYes(next) {
		if next.Ended(20 * time.Millisecond) {
			r.Broken("%s ended %d ms after its start: %s; its log: %q", next.Label, time.Since(begun).Milliseconds(),
				next.Process.ProcessState, next.LastLines(1))
			return old, nil
		}
		if time.Since(begun) > readyWithin {
			r.Broken("%s has not said yes after %v", next.Label, readyWithin)
			return old, nil
		}
	}
	r.Logf("%s says yes %d ms after its start", next.Label, time.Since(begun).Milliseconds())
	old.Signal(syscall.SIGTERM)
	if !old.Ended(killAfter) {
		old.Signal(syscall.SIGKILL)
	}
	if next.Ended(0) {
		r.Broken("%s ended: %s", next.Label, next.Process.ProcessState)
	}
	return next, nil
}

// saysYes reports whether a process says at its second address that it can serve.
func saysYes(g *rig.Gateway) bool { return rig.StatusOf("http://"+g.Admin+"/-/ready") == http.StatusOK }

// load sends requests until stop is called.
func (d deployment) load(r *rig.Rig, addr string) (stop func()) {
	done := make(chan struct{})
	var senders sync.WaitGroup
	for i := range clients {
		senders.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-done:
					return
				case <-time.After(200 * time.Millisecond):
				}
				r.Do(addr, rig.Call{ID: fmt.Sprintf("%s-%d-%d-%d", d.name, os.Getpid(), i, n), Class: "chat", Tenant: "me", Deadline: 3 * time.Second})
			}
		})
	}
	var once sync.Once
	return func() {
		once.Do(func() { close(done) })
		senders.Wait()
	}
}
