// Package takeover decides which gateway continues a request after its gateway has failed.
// It uses no sockets and no clock: each input carries its time, the caller executes the
// outputs, and equal inputs give equal outputs.
//
// Each request has one lease holder. The holder replicates a record of the request (the
// state that another gateway needs to continue it) to the request's backups: other gateways,
// selected by rendezvous hashing of the request id. The holder's first attempt needs no
// permit. Each further attempt needs one, whichever gateway makes it. There are as many
// permits as allowed retries, so lost messages and partitions cannot cause more attempts.
//
// A permit belongs to a chain of backups. The chain's head, its first member that is not
// proven dead, grants the permit once, after the members behind it have recorded the
// grant. A gateway that receives a client's request to resume an interrupted response
// claims the request at the first chain, then at the next ones. A backup grants a claim when
// the holder's attempt is proven to have ended (the holder's process is dead, or has replied
// that it has stopped), or when the request's class allows concurrent attempts. Each granted
// claim increases the lease's epoch, which fences off earlier holders.
//
// A Node is not safe for concurrent use.
package takeover
