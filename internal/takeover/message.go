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
	MsgReplicate       MessageKind = iota + 1 // holder to backup: store this record of the request
	MsgLookup                                 // claimant to gateways: send the record of the request
	MsgLookupReply                            // OK if the sender has a record
	MsgClaim                                  // claimant to chain head: request for the lease
	MsgClaimReply                             // OK if the claim is granted
	MsgPermit                                 // holder to chain head: request for another attempt
	MsgPermitReply                            // OK if the permit is granted
	MsgRelease                                // backup to holder: end all attempts, and confirm it
	MsgReleaseReply                           // holder to backup: no attempt of the request runs here
	MsgUpdate                                 // chain head or claimant to backup: record the new holder or the permit's grant
	MsgUpdateReply                            // not OK if the sender has recorded another holder, or cannot store a record
	MsgLeaseCheck                             // holder to backup: request to confirm the lease
	MsgLeaseCheckReply                        // OK if the sender has recorded no other holder or claim
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
	ReasonNoProof                  // the holder or a backup has neither replied nor been proven dead
	ReasonMayHaveRun               // an attempt may have run, and the request is not idempotent
	ReasonSuperseded               // the requesting gateway no longer has the lease
)

// String returns the reason as it appears in logs and in error texts for clients.
func (r Reason) String() string {
	return [...]string{"none", "unknown", "taken", "spent", "no_proof", "may_have_run", "superseded"}[r]
}

// Message is sent from one gateway to another and concerns one request.
type Message struct {
	Kind          MessageKind
	ToIncarnation uint64 // incarnation of the receiver: any other ignores the message
	RequestID     string // id of the client's first request
	QueryID       uint32 // identifies a query of its sender; the reply carries the same id
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
	ProvenDead    []Member // processes that are proven dead to the sender
}

// Output is an action that the caller of a Node has to execute.
type Output struct {
	Action    Action
	To        Member  // ActionSend, ActionProbe
	Message   Message // ActionSend
	RequestID string
	OK        bool // ActionPermitResult, ActionClaimResult, ActionLeaseCheckResult

	// The fields below belong to ActionClaimResult.

	ResumeSeq    uint32
	Reason       Reason
	TimeLeft     Micros // until the deadline of the client's first request; 0 if it has passed
	AttemptsMade int    // attempts that count as made before the one that the claim permits
}

// Action is the kind of an Output.
type Action uint8

// The actions of a Node's caller.
const (
	ActionSend             Action = iota + 1 // send Message to To
	ActionProbe                              // probe To, and call ConfirmDead if it is proven dead
	ActionPermitResult                       // the result of RequestPermit
	ActionClaimResult                        // the result of Claim
	ActionLeaseCheckResult                   // the result of CheckLease
	ActionStop                               // end all attempts and the client's connection, then call Stopped
)
