// Package emulate runs the fleet model's replicas on loopback sockets in real time, to test complete gateways.
// The replicas serve the platform's protocol, and a discovery server lists them. All servers listen on loopback
// addresses only.
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
	// initialUptime is the time since the replicas became ready, when the fleet starts.
	initialUptime balancer.Micros = 3600_000_000
	// readHeaderTimeout is the ReadHeaderTimeout of the fleet's HTTP servers.
	readHeaderTimeout = 5 * time.Second
	// unresponsiveTimeout is the time after which an unresponsive server ends a request.
	unresponsiveTimeout = time.Minute
)

// Fleet is a set of replicas and a discovery server. They run until Close.
type Fleet struct {
	DiscoveryAddr string
	Replicas      []*Replica
	discovery     *discoveryServer
	startedAt     time.Time

	// OnAttemptEnd, if set, is called concurrently for each attempt that ends at a replica. It must be set
	// before the first request.
	OnAttemptEnd func(ReplicaAttempt)
	// OnListChange, if set, is called for each change of the endpoint list, in order.
	OnListChange func(ListChange)
}

// ListChange is a change of a replica's entry on the endpoint list.
type ListChange struct {
	Generation int64
	Replica    string
	Ready      bool // the replica may receive new attempts
	At         time.Time
}

// ReplicaAttempt is an attempt as a replica received it.
type ReplicaAttempt struct {
	RootID, ID, Replica string
	Class               string
	ReceivedAt, EndedAt time.Time // from the last byte of the request to the end of its processing
	FirstTokenDeadline  time.Time // when the gateway's timeout for the first token ends
	Declined            bool      // the replica did not process it
	Complete            bool      // the whole answer was written
}

// Start starts a fleet. discoveryAddr is the loopback address of the discovery server, such as 127.0.0.1:8500;
// port 0 selects a free port.
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

// Close stops the replicas and the discovery server, and closes their connections.
func (f *Fleet) Close() {
	for _, r := range f.Replicas {
		r.stop()
	}
	f.discovery.close()
}

// now returns the time of the replicas' clock, which starts with the fleet.
func (f *Fleet) now() balancer.Micros { return time.Since(f.startedAt).Microseconds() }

// errNotLoopback is returned for an address that is malformed or not a loopback address.
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

// serveHTTP serves until the server is closed. Earlier errors are ignored: they show as errors of its clients.
func serveHTTP(server *http.Server, l net.Listener) { _ = server.Serve(l) }
