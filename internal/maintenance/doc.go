// Package maintenance stores operators' maintenance orders for a gateway: the ejected replicas, and whether
// the gateway itself is drained. Ejections are saved in a file and survive a restart. A process that is
// started while its predecessor still runs receives all orders from it over a Unix socket (see handoff);
// without a running predecessor a drain ends.
package maintenance
