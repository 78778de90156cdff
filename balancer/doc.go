// Package balancer decides to which model replica a gateway sends each request.
//
// The mechanism is the enhanced table-based service-location manager of Roy et
// al., "A System Architecture for Managing Mobile Streaming Media Services".
// The load table has one row for each replica: its latest load report with the
// date of that report, a ledger of the gateway's own dispatches that have not
// ended, and a ratio of memory to tokens fitted from its reports. A pick is a
// full scan of the rows for the least predicted load; the prediction joins the
// report with the ledger.
//
// # Use
//
// A [Balancer] belongs to one goroutine. It performs no I/O, starts no
// goroutine and reads no clock: its owner calls an event method for everything
// that happens (RequestArrived, FirstToken, AttemptEnded, EndpointList changes,
// timers, health check results), each with the current time, and the Balancer
// answers by calling its [Sink] from within that event. Equal settings, seeds
// and events give equal actions, bit for bit: captures are replayed against it.
//
// # The four rules
//
// The protocol of the fleet binds every decision, and comments refer to its
// rules by number:
//
//  1. Every accepted request gets exactly one final answer before its client
//     gives up.
//  2. No request takes effect twice: retries, hedges and overload replies
//     respect its class's idempotency.
//  3. A replica that is draining or gone gets no new attempt.
//  4. All gateways together send a warming replica no more than it can bear.
//
// # Files
//
// settings.go and events.go hold the interface, balancer.go the construction
// and the timers, request.go the life of requests and attempts, loadtable.go,
// ledger.go and report.go the load table, predict.go, pick.go, affinity.go and
// polling.go the choice of a replica, admission.go load shedding, healthcheck.go,
// outlier.go and zones.go the health of replicas and zones, slowstart.go
// warming replicas, hedging.go hedges and the retry budget, discovery.go the
// endpoint list, gossip.go reports from peers, snapshot.go and archive.go the
// stored state, interceptor.go and introspect.go the hooks of replay and of the
// operators' views.
package balancer
