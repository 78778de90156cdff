// Package split computes a gateway's share of each contract where several gateways serve
// the same teams. Equal, Proportional and LocalEstimate need no communication and use only
// the gateway's own observations; Shared uses counters that the gateways share.
//
// The package does no I/O and reads no clock. A Strategy may be used by one
// goroutine at a time. See docs/design/contracts.md, "Many gateways".
package split
