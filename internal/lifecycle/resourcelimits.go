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

// Division of the sockets.
const (
	// reservedSockets is the number for the listener, discovery, the log and the runtime.
	reservedSockets = 16
	// adminSockets is the number for operators' calls, their listener, the orders file and the handoff to
	// a successor.
	adminSockets = adminapi.MaxConnections + 4
	// clientConnFraction is for client connections. Each request occupies one client connection, and one
	// replica connection per attempt. Most requests have one attempt, so the two fractions are similar.
	clientConnFraction = 0.44
	// overflowConnFraction is for client connections that only receive an overload response.
	overflowConnFraction = 0.03
	// replicaConnFraction is for connections to replicas.
	replicaConnFraction = 0.5
)

// Division of the memory.
const (
	mebibyte = 1 << 20
	// bodyMemoryFraction is for request bodies in memory at the same time.
	bodyMemoryFraction = 0.2
	// headMemoryFraction is for large request heads in memory at the same time.
	headMemoryFraction = 0.1
	// heapMemoryFraction is the soft memory limit of the Go runtime, which makes the garbage collector work harder.
	heapMemoryFraction = 0.7
	// endpointListMemoryFraction is for discovery's endpoint list.
	endpointListMemoryFraction = 0.2
	// endpointBytes is the memory of one list entry: its strings, its map entries and its row in the balancer.
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
	o.MaxHeadBytes = int64(l.memoryMB * headMemoryFraction * mebibyte)
	o.MaxListEntries = int(l.memoryMB * endpointListMemoryFraction * mebibyte / endpointBytes)
}
