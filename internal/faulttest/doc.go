// Package faulttest runs many gateways as processes in front of an emulated fleet, injects faults into
// them and into the network between them, and audits the records of clients and replicas.
//
// A drill (Run) injects the gateway faults that its specification schedules, which plans call strikes. A
// soak (Soak) draws events at random from a seed: signals, operators' calls, faults of replicas and of
// discovery, and failing system calls.
//
// All sockets are on loopback addresses, and each process is killed by its id.
package faulttest
