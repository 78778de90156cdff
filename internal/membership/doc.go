// Package membership maintains a gateway's list of the other gateways by gossip: each
// gateway pings one other gateway at a time, and membership updates are piggybacked on other
// messages (SWIM: Das, Gupta and Motivala, DSN 2002). It uses no sockets and no clock.
//
// Two things differ from SWIM. A member that does not answer is probed by dialing its port.
// The process is proven dead only if the dial is refused or a later incarnation answers, and
// only proven deaths are gossiped as dead. A member that is unresponsive becomes suspect, then
// unreachable; it is still pinged, and is alive again with its first answer. A gateway that is
// frozen, starved of processor time or partitioned is therefore never reported as dead, which
// package takeover relies on.
//
// A Table is not safe for concurrent use.
package membership
