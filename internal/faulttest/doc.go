// Package faulttest runs many gateways as processes in front of an emulated fleet, injects faults into
// them and into the network between them, and audits what clients and replicas recorded.
//
// A drill (Run) carries out the strikes of its specification. A soak (Soak) draws its events at random by
// a seed: signals, operators' calls, faults of replicas and of discovery, and failing system calls.
//
// Everything is on loopback addresses, and each process is killed by its id.
package faulttest
