package inflight

import (
	"context"
	"sync/atomic"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/endpoint"
)

// ActionKind selects what the goroutine that serves a request does on an Action.
type ActionKind uint8

// The kinds of actions. All but ActionForward and ActionStream are the final answer to the client.
const (
	ActionForward ActionKind = iota // send an attempt to a replica
	ActionStream                    // forward the attempt's stream to the client
	ActionShed                      // answer with an overload response
	ActionFail                      // answer with a failure
	ActionReject                    // answer that the request is not accepted
	ActionDeny                      // answer that the team's contract does not allow the request
)

// nonAttemptActions is the maximum number of a request's actions besides ActionForward: one stream and one
// final answer.
const nonAttemptActions = 2

// Action is an instruction of the event loop to the goroutine that serves a request.
type Action struct {
	Kind       ActionKind
	Attempt    *Attempt        // for ActionForward and ActionStream
	RetryAfter balancer.Micros // for ActionShed and ActionDeny; 0: no advice
	Reason     string          // for ActionDeny a code and for ActionReject a text, both for the client; for ActionShed, for the log
}

// Request is a client's request that awaits its answer or has attempts in flight. The goroutine that serves
// it may read Actions and Ctx and check for a disconnected client; only the event loop may use anything else.
type Request struct {
	ID              balancer.RequestID
	ClientRequestID string
	BalancerRequest balancer.Request
	Ctx             context.Context // ends when the client disconnects or is answered
	Cancel          func()          // ends Ctx
	ClientClosed    func() bool     // reports whether the kernel has received the client's FIN or reset; nil: cannot be checked
	Deadline        balancer.Micros // when the client's timeout expires, on the gateway's clock
	Actions         chan Action
	Attempts        []*Attempt
	Winner          *Attempt        // the attempt whose stream is forwarded to the client; nil: none yet
	Finished        bool            // the client has its final answer or has disconnected
	LastStatus      string          // status of the attempt that ended last, for the log
	Charge          contract.Charge // the contract charge; moved to the first attempt when that starts
	EstimatedUse    contract.Usage  // the estimated usage that was charged
	OverQuota       bool            // the request is over its team's rate or a soft limit

	attemptsInFlight int
	sentAttempts     atomic.Int32 // attempts that may have run
}

// NewRequest returns a request that is in no table yet. Actions has capacity for maxAttempts attempts, one
// stream and one final answer, so that the event loop never blocks when it sends an action.
func NewRequest(ctx context.Context, clientRequestID string, request balancer.Request, deadline balancer.Micros, maxAttempts int) *Request {
	return &Request{
		ClientRequestID: clientRequestID,
		BalancerRequest: request,
		Ctx:             ctx,
		Deadline:        deadline,
		Actions:         make(chan Action, maxAttempts+nonAttemptActions),
	}
}

// ClientDisconnected reports whether the client has disconnected, and cancels Ctx if it has. The HTTP server cancels
// Ctx too, but late on a busy core, or if the client had sent more bytes after its request.
func (r *Request) ClientDisconnected() bool {
	if r.Ctx.Err() == nil && r.ClientClosed != nil && r.ClientClosed() {
		r.Cancel()
	}
	return r.Ctx.Err() != nil
}

// BeginSend counts an attempt that is about to be sent. It is called before the last check whether the client is still
// there, so that MayHaveRun includes each attempt that passes the check. Any goroutine may call it.
func (r *Request) BeginSend() { r.sentAttempts.Add(1) }

// RetractSend takes back BeginSend for an attempt that is proved not to have run. Any goroutine may call it.
func (r *Request) RetractSend() { r.sentAttempts.Add(-1) }

// MayHaveRun reports whether an attempt may have run. Any goroutine may call it; the result is final for sends that
// begin before Ctx ends.
func (r *Request) MayHaveRun() bool { return r.sentAttempts.Load() > 0 }

// AttemptsInFlight returns the number of the request's attempts that have not ended.
func (r *Request) AttemptsInFlight() int { return r.attemptsInFlight }

// ReportAgeUnknown is the ReportAge of a replica that has sent no load report since it started.
const ReportAgeUnknown balancer.Micros = -1

// Basis is the information on which the decision for an attempt was based, for the log.
type Basis struct {
	ListVersion int64           // version of the endpoint list
	ListAge     balancer.Micros // time since discovery last confirmed the endpoint list
	ReportAge   balancer.Micros // age of the replica's load report; negative: it has sent none
	After       string          // status of the attempt that ended last before this one; empty: none
}

// Attempt is one attempt of a request at a replica.
type Attempt struct {
	Request   *Request
	Index     int // in the order of the request's attempts, from 0
	Replica   *endpoint.Replica
	SentAt    balancer.Micros
	TimeoutAt balancer.Micros
	// EntryValidUntil is the time until which it may be written according to the endpoint list at its dispatch.
	EntryValidUntil balancer.Micros
	Ctx             context.Context
	Cancel          context.CancelFunc
	Events          chan []byte // the response stream as it arrives; closed at its end
	Complete        bool        // the stream arrived up to its last chunk; set before Events is closed
	Charge          contract.Charge
	NeverRan        bool   // the replica did not run the attempt; set when it ends
	Cause           string // "first", "retry" or "hedge", for the log
	Basis           Basis  // for the log

	ended bool
}
