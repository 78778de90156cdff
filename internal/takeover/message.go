package takeover

// Micros is a time or a duration in microseconds.
type Micros = int64

// Member identifies a gateway process. A gateway that restarts keeps its name and gets a
// greater incarnation.
type Member struct {
	Name        string
	Incarnation uint64
}

// RetryPolicy states what a request's class allows.
type RetryPolicy struct {
	Idempotent bool // may run again after an attempt that may have run
	Hedgeable  bool // a second attempt may run concurrently with the first
}

// MessageKind distinguishes the messages between gateways. The values are part of the
// wire format.
type MessageKind uint8

// The kinds of messages. Each reply carries the QueryID of the message it answers.
const (
	MsgReplicate       MessageKind = iota + 1 // holder to backup: record this request
	MsgLookup                                 // claimant to gateways: who has a record of it?
	MsgLookupReply                            // OK if the sender has a record
	MsgClaim                                  // claimant to chain head: may I continue it?
	MsgClaimReply                             // OK if the claim is granted
	MsgPermit                                 // holder to chain head: may I make another attempt?
	MsgPermitReply                            // OK if the permit is granted
	MsgRelease                                // backup to holder: stop, and confirm it
	MsgReleaseReply                           // holder to backup: nothing of it runs here any more
	MsgUpdate                                 // record the new holder and the permit's grant
	MsgUpdateReply                            // not OK if the sender knows of another holder
	MsgLeaseCheck                             // holder to backup: is the lease still mine?
	MsgLeaseCheckReply                        // OK if the sender knows of no other holder
	MsgPermitReturn                           // holder to backup: the granted permit was not used
)

// Reason says why a claim or a permit was rejected. The values are part of the wire format.
type Reason uint8

// The reasons for a rejection.
const (
	ReasonNone              Reason = iota
	ReasonUnknown                  // no backup that replied has a record of the request
	ReasonAlreadyClaimed           // another gateway claimed it first
	ReasonAttemptsExhausted        // all allowed attempts were made, or may have been
	ReasonNoProof                  // its attempt may still run, and must not run concurrently with another
	ReasonMayHaveRun               // it may have run, and is not idempotent
	ReasonSuperseded               // the asking holder no longer has the lease
)

// String returns the reason as it stands in logs and in error texts for clients.
func (r Reason) String() string {
	return [...]string{"none", "unknown", "taken", "spent", "no_proof", "may_have_run", "superseded"}[r]
}

// Message is what one gateway sends another about a request.
type Message struct {
	Kind          MessageKind
	ToIncarnation uint64 // the receiving process: any other ignores the message
	RequestID     string // the id of the client's first request
	QueryID       uint32 // identifies a query of its sender; its reply carries the same
	Holder        Member
	Epoch         uint32 // of the lease: 1 for the first holder, one more with each takeover
	ResumeSeq     uint32 // sequence number of the client's resume request that the holder serves; 0: the first holder
	NextResumeSeq uint32 // MsgClaim: sequence number of the resume request that the claimant serves
	Policy        RetryPolicy
	TimeLeft      Micros   // until the client's deadline
	Backups       []Member // in the order of the chains
	Chain         int      // MsgClaim, MsgPermit, MsgUpdate, MsgPermitReturn: index of the permit's chain
	PermitGranted bool     // MsgUpdate: the chain's permit is granted
	Initial       bool     // MsgReplicate: sent for the first time, by the first holder
	OK            bool
	MayHaveRun    bool // MsgReleaseReply: an attempt may have run
	Reason        Reason
	ProvenDead    []Member // processes that the sender has proof to be dead
}

// Output is an action that the caller of a Node has to carry out.
type Output struct {
	Action    Action
	To        Member  // ActionSend, ActionProbe
	Message   Message // ActionSend
	RequestID string
	OK        bool // ActionPermitResult, ActionClaimResult, ActionLeaseCheckResult

	// The fields below belong to ActionClaimResult.

	ResumeSeq    uint32
	Reason       Reason
	TimeLeft     Micros // until the deadline of the client's first request, as far as it is known
	AttemptsMade int    // attempts that count as made, including the one that the claim permits
}

// Action is the kind of an Output.
type Action uint8

// The actions of a Node's caller.
const (
	ActionSend             Action = iota + 1 // send Message to To
	ActionProbe                              // find out whether To is dead, and report it with ConfirmDead
	ActionPermitResult                       // the result of RequestPermit
	ActionClaimResult                        // the result of Claim
	ActionLeaseCheckResult                   // the result of CheckLease
	ActionStop                               // end all attempts and the client's connection, then call Stopped
)
