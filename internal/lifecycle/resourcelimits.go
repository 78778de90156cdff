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
	// clientConnFraction is the share for clients' requests: each takes one socket, and its attempts one each,
	// mostly one in all.
	clientConnFraction = 0.44
	// overflowConnFraction is the share for client connections that only receive an overload reply.
	overflowConnFraction = 0.03
	// replicaConnFraction is the share for connections to replicas.
	replicaConnFraction = 0.5
)

// How the memory is divided.
const (
	mebibyte = 1 << 20
	// bodyMemoryFraction is the share for request bodies in memory at the same time.
	bodyMemoryFraction = 0.2
	// heapMemoryFraction is the share at which the garbage collector begins to work harder.
	heapMemoryFraction = 0.7
	// endpointListMemoryFraction is the share for discovery's endpoint list.
	endpointListMemoryFraction = 0.2
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
func parseLimit(key string, value *float64, fallback, minimum float64) (float64, error) {
	if value == nil {
		return fallback, nil
	}
	if !(*value >= minimum) {
		return 0, fmt.Errorf("%s: expected %v or more, got %v", key, minimum, *value)
	}
	return *value, nil
}

// apply divides the sockets and the memory among their uses.
func (l resourceLimits) apply(o *gateway.Options, hasAdmin bool) {
	usable := l.sockets - reservedSockets
	if hasAdmin {
		usable -= adminSockets
	}
	o.MaxClientConns = int(usable * clientConnFraction)
	o.OverflowConns = int(usable * overflowConnFraction)
	o.MaxReplicaConns = int(usable * replicaConnFraction)
	o.MaxBodyBytes = int64(l.memoryMB * bodyMemoryFraction * mebibyte)
	o.MaxListEntries = int(l.memoryMB * endpointListMemoryFraction * mebibyte / endpointBytes)
}
