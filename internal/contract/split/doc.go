// Package split computes a gateway's share of each contract where several gateways
// serve the same teams. Some strategies need no communication and go by what the
// gateway observes itself; where gateways can communicate, shared counters can be
// plugged in.
//
// The package does no I/O and reads no clock. A Strategy may be used by one
// goroutine at a time. See docs/design/contracts.md, "Many gateways".
package split
