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
	Name string
	Life uint64
}

// Terms are what a request's class allows.
type Terms struct {
	Repeat bool // may run again after an attempt that may have run
	Beside bool // a second copy may run beside the first
}

// Kind is what a message says.
type Kind uint8

const (
	Keep     Kind = iota + 1 // holder to keeper: note this request
	Find                     // asked gateway to gateways: who holds it?
	Found                    // the answer, OK if it is known
	Claim                    // asked gateway to keeper: may I go on with it?
	Granted                  // the answer
	Want                     // holder to keeper: may I send once more?
	Given                    // the answer
	Release                  // keeper to holder: stop, and say so
	Released                 // the answer: nothing runs there any more
	Mark                     // note the newest holder, and what was given away
	Marked                   // the answer, not OK where another has it
	Check                    // holder to keeper: is it still mine?
	Still                    // the answer
	Return                   // holder to keeper: what was granted was not used
)

// Reason says why an answer is no.
type Reason uint8

const (
	None    Reason = iota
	Unknown        // no keeper that answers has heard of it
	Taken          // another gateway was asked for it before
	Spent          // as many attempts as are allowed have been made, or may have been
	NoProof        // its attempt may still run, and a copy beside it is not allowed
	MayRun         // it may have run, and must not run twice
	Gone           // the asking holder is no longer its holder
)

// String is the word for logs and answers.
func (r Reason) String() string {
	return [...]string{"none", "unknown", "taken", "spent", "no_proof", "may_have_run", "superseded"}[r]
}

// Message is what gateways tell each other about requests.
type Message struct {
	Kind    Kind
	To      uint64 // the receiver's life that is meant
	ID      string // of the request: its first try's
	Op      uint32 // a question's number, which its answer bears
	Holder  Member
	Epoch   uint32 // one more with each taker; 1 is the first holder
	Ask     uint32 // how often its client had asked for the rest when the holder got it
	Next    uint32 // for Claim: how often it has now
	Terms   Terms
	Left    Micros   // of the client's wait
	Keepers []Member // in the holder's order
	Chain   int      // for Claim, Want, Mark
	Given   bool     // the chain's permit is given away
	Fresh   bool     // for Keep: said for the first time, by the first holder
	OK      bool
	Ran     bool // for Released: an attempt may have run
	Reason  Reason
	Dead    []Member // whom the sender has proof to be dead
}

// Output is what the caller has to do.
type Output struct {
	Do  Do
	To  Member  // for Send and Probe
	Msg Message // for Send
	ID  string
	OK  bool // for Permit, Claimed and Confirmed

	// For Claimed.
	Ask    uint32
	Reason Reason
	Left   Micros // of the first try's wait, as far as that is known
	Made   int    // attempts that are counted as made already
}

// Do is an output's kind.
type Do uint8

const (
	Send      Do = iota + 1 // a message
	Probe                   // find out whether a process is dead, and say so by Dead
	Permit                  // the answer to Want
	Claimed                 // the answer to Claim
	Confirmed               // the answer to Check
	Stop                    // end all attempts and the client's connection, then say Stopped
)
