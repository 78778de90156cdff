// Package emulate runs the fleet model's replicas on loopback sockets in real time: they answer with the
// platform's protocol, and a discovery server lists them, so that complete gateways can be tested with
// them. It listens on loopback addresses only.
package emulate

import (
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"archknot/balancer"
	"archknot/internal/fleet/model"
)

const (
	// initialUptime is how long the replicas have been ready when the fleet starts.
	initialUptime balancer.Micros = 3600_000_000
	// readHeaderTimeout is that of the fleet's HTTP servers.
	readHeaderTimeout = 5 * time.Second
	// unresponsiveTimeout ends the requests to a silent server.
	unresponsiveTimeout = time.Minute
)

// Fleet is a discovery server and replicas that run until Close.
type Fleet struct {
	DiscoveryAddr string
	Replicas      []*Replica
	discovery     *discoveryServer
	startedAt     time.Time

	// OnAttemptEnd, if it is set before the first request, is called for each attempt that ends at a
	// replica, from many goroutines at once.
	OnAttemptEnd func(ReplicaAttempt)
	// OnListChange, if it is set, is called for each change of the endpoint list, in their order.
	OnListChange func(ListChange)
}

// ListChange is a change of one replica's entry on the endpoint list.
type ListChange struct {
	Generation int64
	Replica    string
	Ready      bool // the replica may get new attempts
	At         time.Time
}

// ReplicaAttempt is a request as a replica got it.
type ReplicaAttempt struct {
	RootID, ID, Replica string
	Class               string
	ReceivedAt, EndedAt time.Time // from the last byte of the request until nothing of it runs
	FirstTokenBy        time.Time // until when the gateway waits for the first token
	Declined            bool      // it never ran
	Complete            bool      // the answer was written to its end
}

// Start starts a fleet. Discovery listens at an address such as 127.0.0.1:8500, or one with port 0.
func Start(spec *model.Spec, discoveryAddr string) (*Fleet, error) {
	f := &Fleet{startedAt: time.Now(), discovery: newDiscoveryServer()}
	f.discovery.onChange = func(change ListChange) {
		if f.OnListChange != nil {
			f.OnListChange(change)
		}
	}
	if err := f.start(spec, discoveryAddr); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(spec *model.Spec, discoveryAddr string) error {
	for i := range spec.Groups {
		group := &spec.Groups[i]
		for range group.Count {
			name := fmt.Sprintf("%s-%d", group.Name, len(f.Replicas)+1)
			r := &Replica{Name: name, Addr: "127.0.0.1:0", group: group, fleet: f, index: len(f.Replicas)}
			if err := r.start(-initialUptime); err != nil {
				return err
			}
			f.Replicas = append(f.Replicas, r)
			f.discovery.list.Endpoints = append(f.discovery.list.Endpoints, r.listEntry(lifecycleReady, 0))
		}
	}
	l, err := listenLoopback(discoveryAddr)
	if err != nil {
		return err
	}
	f.DiscoveryAddr = l.Addr().String()
	f.discovery.serve(l)
	return nil
}

// Close stops all servers.
func (f *Fleet) Close() {
	for _, r := range f.Replicas {
		r.stop()
	}
	f.discovery.close()
}

// now returns the time since the fleet's start, which is the clock of its replicas.
func (f *Fleet) now() balancer.Micros { return time.Since(f.startedAt).Microseconds() }

// errNotLoopback reports that an address is not of this machine alone.
var errNotLoopback = errors.New("expected a loopback address and port, such as 127.0.0.1:8500")

func isLoopback(addr string) bool {
	host, _, err := net.SplitHostPort(addr)
	ip := net.ParseIP(host)
	return err == nil && ip != nil && ip.IsLoopback()
}

func listenLoopback(addr string) (net.Listener, error) {
	if !isLoopback(addr) {
		return nil, fmt.Errorf("%s: %w", addr, errNotLoopback)
	}
	return net.Listen("tcp", addr)
}

// serveHTTP serves until the server is closed. If it fails before, its clients notice.
func serveHTTP(server *http.Server, l net.Listener) { _ = server.Serve(l) }
