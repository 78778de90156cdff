package membership

import "archknot/internal/takeover"

// Micros is a time or a duration in microseconds.
type Micros = takeover.Micros

// State is the known state of a member. Of two updates with the same incarnation and number of
// refutations the one with the greater state has precedence. The values are part of the wire
// format.
type State uint8

// The states of a member.
const (
	Alive       State = iota
	Suspect           // it has not answered a ping, and dialing its port has proven nothing
	Unreachable       // suspect for Settings.SuspicionTimeout
	Left              // it has announced that it leaves
	Dead              // its process is proven to have ended
)

// String returns the state's name.
func (s State) String() string {
	return [...]string{"alive", "suspect", "unreachable", "left", "dead"}[s]
}

// MemberInfo is the gossiped information about a member.
type MemberInfo struct {
	takeover.Member
	Addr        string // host:port for datagrams and for probes
	Zone        string
	State       State
	Refutations uint32 // increased by a member that is reported as not alive (SWIM's incarnation number)
}

// MessageKind distinguishes the messages between members. The values are part of the wire
// format.
type MessageKind uint8

// The kinds of messages.
const (
	MsgPing   MessageKind = iota + 1
	MsgAck                // the reply to MsgPing and MsgJoin
	MsgJoin               // to a seed: the reply is followed by its complete member list, in parts
	MsgGossip             // updates only
)

// Message is sent from one member to another. The first of its updates is the sender's own
// MemberInfo.
type Message struct {
	Kind    MessageKind
	Seq     uint32 // of a ping, and of its reply
	Updates []MemberInfo
}

// Output is an action that the caller of a Table has to execute: to send a message or to probe
// a member.
type Output struct {
	To      string // the address that Message is sent to
	Message Message
	Probe   *MemberInfo // nil: send Message; else dial this member and call ConfirmDead or ConfirmAlive
}
