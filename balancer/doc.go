// Package balancer decides to which model replica a gateway sends each request.
//
// The mechanism is the enhanced table-based service-location manager of Roy et
// al., "A System Architecture for Managing Mobile Streaming Media Services".
// The load table has one row for each replica: its latest load report with the
// time of that report, a ledger of the gateway's own attempts in flight, and a
// ratio of memory to tokens fitted from its reports. A pick scans all rows for
// the least predicted load; the prediction combines the report with the ledger.
//
// # Use
//
// A [Balancer] must be used from one goroutine. It performs no I/O, starts no
// goroutine and reads no clock. Its owner calls a method for each event (request
// arrival, first token, end of an attempt, endpoint list, timer, health check
// result) with the current time, and the Balancer calls its [Sink] with the
// resulting actions before the method returns. Equal settings, seeds and events
// give bit-identical actions, so that captures can be replayed.
//
// # The four rules
//
// Every decision obeys four rules, to which comments refer by number:
//
//  1. Every accepted request gets exactly one final answer before its client's
//     deadline.
//  2. No request takes effect twice: retries, hedges and overload replies
//     respect the idempotency of its class.
//  3. A replica that is draining or removed gets no new attempt.
//  4. All gateways together do not overload a replica that is warming up.
//
// # Files
//
// settings.go and events.go define the interface, balancer.go construction and
// timers, request.go the lifecycle of requests and attempts, loadtable.go,
// ledger.go and report.go the load table, predict.go, pick.go, affinity.go and
// polling.go the choice of a replica, admission.go load shedding, healthcheck.go,
// outlier.go and zones.go the health of replicas and zones, slowstart.go
// warming replicas, hedging.go hedges and the retry budget, discovery.go the
// endpoint list, gossip.go reports from peers, snapshot.go and archive.go the
// stored state, interceptor.go the hooks of replay, and introspect.go read
// access for replay and operators.
package balancer
