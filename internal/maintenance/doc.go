// Package maintenance stores the maintenance orders that operators give a gateway: the replicas they
// have ejected, and whether the gateway itself is drained. Orders outlive the process: they are saved in
// a file, and a process that is started beside its predecessor takes them over from it (see handoff).
package maintenance
