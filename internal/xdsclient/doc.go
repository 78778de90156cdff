// Package xdsclient is the gateway's side of a streamed configuration: a client of the
// aggregated discovery service of xDS v3 over gRPC, in both its state-of-the-world and
// its incremental (delta) form, and the store of the last good version. Package
// configversion decides what becomes of a version.
package xdsclient
