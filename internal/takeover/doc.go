// Package takeover decides which gateway continues a request whose gateway was lost. It
// uses no sockets and no clock: each input carries its time, the caller carries out the
// outputs, and equal inputs give equal outputs.
//
// Each request has one lease holder. The holder replicates a record of the request (what
// another gateway needs in order to continue it) to its backups, other gateways that are
// selected by rendezvous hashing of the request id. The holder's first attempt needs no
// permission. Each further attempt, whichever gateway makes it, needs a permit, and there
// are as many permits as retries are allowed: more attempts than that are impossible,
// whatever is lost or partitioned.
//
// A permit belongs to a chain of backups. The chain's head, its first member that is not
// proven dead, grants the permit once, after the members behind it have recorded the
// grant. A gateway that a client asks to resume a broken answer claims the
// request at the first chain, then at the next. A backup grants a claim when the holder's
// attempt is proven to have ended (its process is dead, or reports that it has stopped), or
// when the request's class allows a second attempt beside the first. Each granted claim
// increases the lease's epoch, which fences off earlier holders.
//
// A Node is not safe for concurrent use.
package takeover
