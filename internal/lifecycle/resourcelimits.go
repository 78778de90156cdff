package lifecycle

import (
	"fmt"

	"archknot/internal/adminapi"
	"archknot/internal/gateway"
)

// Defaults and lower bounds of the limits that the platform sets.
const (
	defaultCores    = 1
	defaultMemoryMB = 192
	defaultSockets  = 1024
	minCores        = 0.01
	minMemoryMB     = 16
	minSockets      = 64
)

// How the sockets are divided.
const (
	// reservedSockets are for the listener, discovery, the log and the runtime.
	reservedSockets = 16
	// adminSockets are for operators' calls, their listener, the orders file and a successor's handoff.
	adminSockets = adminapi.MaxConnections + 4
	// clientConnShare is the share for clients' requests: each takes one socket, and its attempts one each,
	// mostly one in all.
	clientConnShare = 0.44
	// spareConnShare is the share for client connections that only receive an overload reply.
	spareConnShare = 0.03
	// replicaConnShare is the share for connections to replicas.
	replicaConnShare = 0.5
)

// How the memory is divided.
const (
	mebibyte = 1 << 20
	// bodyMemoryShare is the share for request bodies in memory at the same time.
	bodyMemoryShare = 0.2
	// heapMemoryShare is the share at which the garbage collector begins to work harder.
	heapMemoryShare = 0.7
	// endpointListMemoryShare is the share for discovery's endpoint list.
	endpointListMemoryShare = 0.2
	// endpointBytes is what an entry of the list takes up: its strings, its places in maps, the balancer's row.
	endpointBytes = 1024
)

// resourceLimits are the limits that the platform sets.
type resourceLimits struct {
	cores    float64
	memoryMB float64
	sockets  float64
}

func (f *nodeConfig) parseResourceLimits() (resourceLimits, error) {
	var limits resourceLimits
	var err error
	if limits.cores, err = parseLimit("limits.cores", f.Limits.Cores, defaultCores, minCores); err != nil {
		return limits, err
	}
	if limits.memoryMB, err = parseLimit("limits.memory_mb", f.Limits.MemoryMB, defaultMemoryMB, minMemoryMB); err != nil {
		return limits, err
	}
	limits.sockets, err = parseLimit("limits.sockets", f.Limits.Sockets, defaultSockets, minSockets)
	return limits, err
}

// parseLimit returns the value of a key, or fallback if the key is missing. NaN is an error too.
func parseLimit(key string, value *float64, fallback, least float64) (float64, error) {
	if value == nil {
		return fallback, nil
	}
	if !(*value >= least) {
		return 0, fmt.Errorf("%s: expected %v or more, got %v", key, least, *value)
	}
	return *value, nil
}

// apply divides the sockets and the memory among their uses.
func (l resourceLimits) apply(o *gateway.Options, hasAdmin bool) {
	usable := l.sockets - reservedSockets
	if hasAdmin {
		usable -= adminSockets
	}
	o.MaxClientConns = int(usable * clientConnShare)
	o.OverflowConns = int(usable * spareConnShare)
	o.MaxReplicaConns = int(usable * replicaConnShare)
	o.MaxBodyBytes = int64(l.memoryMB * bodyMemoryShare * mebibyte)
	o.MaxListEntries = int(l.memoryMB * endpointListMemoryShare * mebibyte / endpointBytes)
}
