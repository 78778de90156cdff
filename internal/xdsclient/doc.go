// Package xdsclient receives the gateway's streamed configuration. It contains a client of
// the xDS v3 aggregated discovery service (ADS) over gRPC, for both the state-of-the-world
// and the incremental (delta) variant, and the store of the last good version. Package
// configversion decides which versions are applied and rolled back.
package xdsclient
