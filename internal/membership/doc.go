// Package membership maintains a gateway's list of the other gateways by gossip: each
// gateway pings one other at a time, and updates travel on the messages that are sent
// anyway (SWIM: Das, Gupta and Motivala, DSN 2002). It uses no sockets and no clock.
//
// Two things differ from SWIM. A member that does not answer is probed by dialing its port.
// Only if the dial is refused, or a later incarnation answers, is the process proven dead,
// and only that is gossiped as death. A member that is silent becomes suspect, then
// unreachable; it is still pinged, and is alive again with its first answer. What relies on
// proof of death, as package takeover does, is thus never misled by a gateway that is frozen,
// starved of processor time or partitioned.
//
// A Table is not safe for concurrent use.
package membership
