// Package takeover decides who goes on with a request whose gateway is lost. It
// knows no sockets and no clock: each input brings its time, outputs are taken up
// by the caller, and equal inputs give equal outputs.
//
// A request is held by one gateway, its holder. Copies of what it takes to go on
// are kept by further gateways, its keepers, which the holder chose by rendezvous
// of the request's id. The holder's first attempt is its own. Each further attempt,
// by whomever, needs a permit, and there are as many permits as further attempts
// are allowed: more than that can never be made, whatever is lost or cut off.
//
// A permit belongs to a chain of keepers. The first of the chain that is not proven
// dead gives it away, once, after those behind it have noted so. A gateway that a
// client asks for the rest of a broken answer claims the request at the first chain,
// then at the next. A keeper grants a claim when the holder's attempt is proven to
// have ended (the process is dead, or says that it has stopped), or where the class
// lets a second copy run beside the first.
package takeover

// Micros is a time or a duration in microseconds.
type Micros = int64

// Member is a process: a gateway's name, and the life that it is in. A gateway that
// starts again has another life.
type Member struct {
	Name        string
	Incarnation uint64
}

// RetryPolicy are what a request's class allows.
type RetryPolicy struct {
	Idempotent bool // may run again after an attempt that may have run
	Hedgeable  bool // a second copy may run beside the first
}

// MessageKind is what a message says.
type MessageKind uint8

const (
	MsgReplicate       MessageKind = iota + 1 // holder to keeper: note this request
	MsgLookup                                 // asked gateway to gateways: who holds it?
	MsgLookupReply                            // the answer, OK if it is known
	MsgClaim                                  // asked gateway to keeper: may I go on with it?
	MsgClaimReply                             // the answer
	MsgPermit                                 // holder to keeper: may I send once more?
	MsgPermitReply                            // the answer
	MsgRelease                                // keeper to holder: stop, and say so
	MsgReleaseReply                           // the answer: nothing runs there any more
	MsgUpdate                                 // note the newest holder, and what was given away
	MsgUpdateReply                            // the answer, not OK where another has it
	MsgLeaseCheck                             // holder to keeper: is it still mine?
	MsgLeaseCheckReply                        // the answer
	MsgPermitReturn                           // holder to keeper: what was granted was not used
)

// Reason says why an answer is no.
type Reason uint8

const (
	ReasonNone              Reason = iota
	ReasonUnknown                  // no keeper that answers has heard of it
	ReasonAlreadyClaimed           // another gateway was asked for it before
	ReasonAttemptsExhausted        // as many attempts as are allowed have been made, or may have been
	ReasonNoProof                  // its attempt may still run, and a copy beside it is not allowed
	ReasonMayHaveRun               // it may have run, and must not run twice
	ReasonSuperseded               // the asking holder is no longer its holder
)

// String is the word for logs and answers.
func (r Reason) String() string {
	return [...]string{"none", "unknown", "taken", "spent", "no_proof", "may_have_run", "superseded"}[r]
}

// Message is what gateways tell each other about requests.
type Message struct {
	Kind          MessageKind
	ToIncarnation uint64 // the receiver's life that is meant
	RequestID     string // of the request: its first try's
	QueryID       uint32 // a question's number, which its answer bears
	Holder        Member
	Epoch         uint32 // one more with each taker; 1 is the first holder
	ResumeSeq     uint32 // how often its client had asked for the rest when the holder got it
	NextResumeSeq uint32 // for Claim: how often it has now
	Policy        RetryPolicy
	TimeLeft      Micros   // of the client's wait
	Backups       []Member // in the holder's order
	Chain         int      // for Claim, Want, Mark
	PermitGranted bool     // the chain's permit is given away
	Initial       bool     // for Keep: said for the first time, by the first holder
	OK            bool
	MayHaveRun    bool // for Released: an attempt may have run
	Reason        Reason
	ProvenDead    []Member // whom the sender has proof to be dead
}

// Output is what the caller has to do.
type Output struct {
	Action    Action
	To        Member  // for Send and Probe
	Message   Message // for Send
	RequestID string
	OK        bool // for Permit, Claimed and Confirmed

	// For Claimed.
	ResumeSeq    uint32
	Reason       Reason
	TimeLeft     Micros // of the first try's wait, as far as that is known
	AttemptsMade int    // attempts that are counted as made already
}

// Action is an output's kind.
type Action uint8

const (
	ActionSend             Action = iota + 1 // a message
	ActionProbe                              // find out whether a process is dead, and say so by Dead
	ActionPermitResult                       // the answer to Want
	ActionClaimResult                        // the answer to Claim
	ActionLeaseCheckResult                   // the answer to Check
	ActionStop                               // end all attempts and the client's connection, then say Stopped
)
