// Command 7 is the driver of case 7: at SIGTERM a gateway with peers cuts off requests that nobody else may go on with.
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
	gateways = 2
	deadline = 8 * time.Second
	// killAfter is when SIGKILL comes at the earliest: the longest deadline, taken as 3 s where it is longer, and 0.7 s.
	killAfter = 3700 * time.Millisecond
	// The replica's part: the first token of a waiting request, and the events of a stream, come so long after the request.
	firstTokenAfter = 3500 * time.Millisecond
	eventPause      = 250 * time.Millisecond
	streamEvents    = 15 // the last one comes 3.5 s after the first one
	// termAfter is when SIGTERM comes, counted from the requests: all their answers end 2.9 s later at the latest.
	termAfter = 700 * time.Millisecond
)

func main() { rig.Main(run) }

func run(r *rig.Rig) error {
	fleet := r.NewFleet()
	var replicas []*rig.Replica
	for i := range 2 {
		replica, err := fleet.StartReplica(fmt.Sprintf("s-%d", i+1), answer)
		if err != nil {
			return err
		}
		replicas = append(replicas, replica)
	}
	discovery, err := rig.StartDiscovery(replicas...)
	if err != nil {
		return err
	}
	nodes, err := startGateways(r, discovery.Addr)
	if err != nil {
		return err
	}
	time.Sleep(2 * time.Second) // the gateways get to know each other
	var clients sync.WaitGroup
	for i := range 3 {
		clients.Go(func() { serveClient(r, nodes, fmt.Sprintf("wait-%d", i)) })
		clients.Go(func() { serveClient(r, nodes, fmt.Sprintf("stream-%d", i)) })
	}
	time.Sleep(termAfter)
	if r.Trouble {
		begun := time.Now()
		nodes[0].Signal(syscall.SIGTERM)
		if !nodes[0].Ended(killAfter) {
			r.Logf("%s after SIGTERM:", time.Since(begun).Round(time.Millisecond))
			nodes[0].Signal(syscall.SIGKILL)
		}
	}
	clients.Wait()
	return nil
}

// startGateways starts gateways that take over each other's requests.
func startGateways(r *rig.Rig, discovery string) (nodes []*rig.Gateway, err error) {
	var peers [gateways]string
	for i := range peers {
		if peers[i], err = rig.FreePort(); err != nil {
			return nil, err
		}
	}
	for i := range peers {
		node, err := r.Start(rig.GatewayOptions{
			Name:      fmt.Sprintf("g%d", i+1),
			Discovery: discovery,
			Conf:      fmt.Sprintf("[peers]\nlisten %s\nsite here\njoin %s\n", peers[i], peers[1-i]),
			Settings: map[string]any{
				"nInstances": gateways, "selfIndex": i,
				"limits": map[string]any{"secondCopies": false, "peers": true},
				"extra":  map[string]any{"resume": true},
				"requestClasses": []any{map[string]any{
					"name": "entry", "targetUs": 4_000_000, "deadlineUs": deadline.Microseconds(), "points": 2.0, "lateShare": 0.3,
					"effect": "once", "streamed": true,
				}},
			},
		})
		if err != nil {
			return nil, err
		}
		nodes = append(nodes, node)
	}
	for _, node := range nodes {
		if err := node.AwaitReady(10 * time.Second); err != nil {
			return nil, err
		}
	}
	return nodes, nil
}

// answer serves each request whole: one that waits for its first token, or a stream.
func answer(a rig.Arrival, w http.ResponseWriter, _ *http.Request) {
	if a.ID[0] == 'w' {
		time.Sleep(firstTokenAfter)
		rig.Stream(w, 3, 10*time.Millisecond, 20, 3)
		return
	}
	rig.Stream(w, streamEvents, eventPause, 20, streamEvents)
}

// serveClient sends a request, and asks the other gateway for the rest if its answer breaks. The request is lost if it
// gets no whole answer although its replica has served it in time. A failure is an answer, too, but for a stream that
// has begun it is none.
func serveClient(r *rig.Rig, nodes []*rig.Gateway, id string) {
	first := r.Do(nodes[0].Listen, rig.Call{ID: id, Class: "entry", Tenant: "me", Deadline: deadline})
	if first.Served() || first.Status != 0 && first.Status != http.StatusOK {
		return
	}
	rest := r.Do(nodes[1].Listen, rig.Call{ID: id + "-again", Class: "entry", Tenant: "me", Deadline: deadline,
		Rest: rig.RestOf(id, 1, first.Body)})
	if !rest.Served() {
		r.Broken("%s: the gateway ended the connection itself: %s; asked for the rest: %s", id, first, rest)
	}
}
