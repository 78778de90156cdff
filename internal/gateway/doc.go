// Package gateway serves clients by forwarding their requests to model replicas.
//
// Three kinds of goroutine share the work:
//
//   - The HTTP server has one goroutine for each client connection. It reads a
//     request, posts it to the event loop and carries out the loop's actions:
//     dispatch an attempt, relay its stream or send the final answer.
//   - The event loop owns the decision module (package balancer) and all state
//     stored with it: requests in flight, endpoints and contract accounting.
//   - Each attempt, health check and discovery poll runs in a goroutine of its
//     own and reports its one outcome to the loop as an event.
//
// The decision module makes all decisions about replica choice, retries, hedged
// requests and load shedding. This package only enforces the gateway's own
// limits (connections, body memory, requests in flight).
package gateway
