package inflight

import (
	"context"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/endpoint"
)

// ActionKind is what the event loop asks the goroutine that serves a request to do.
type ActionKind uint8

// The kinds of actions.
const (
	ActionForward ActionKind = iota // send an attempt to a replica
	ActionStream                    // forward the attempt's stream to the client
	ActionShed                      // answer with an overload response
	ActionFail                      // answer with a failure
	ActionReject                    // answer that the request is not accepted
	ActionDeny                      // answer that the team's contract does not allow the request
)

// nonAttemptActions is the number of a request's actions that no attempt begins: one stream and one answer.
const nonAttemptActions = 2

// Action is an instruction of the event loop to the goroutine that serves a request.
type Action struct {
	Kind       ActionKind
	Attempt    *Attempt        // for ActionForward and ActionStream
	RetryAfter balancer.Micros // for ActionShed and ActionDeny; 0: no advice
	Reason     string          // for ActionDeny and ActionReject a machine-readable reason; for ActionShed, for the log
}

// Request is a client's request while it awaits its answer or has attempts in flight. The goroutine that
// serves it reads Actions and Ctx and calls ClientGone; all else belongs to the event loop.
type Request struct {
	ID              balancer.RequestID
	ClientRequestID string
	BalancerRequest balancer.Request
	Ctx             context.Context // ends when the client disconnects or is answered
	Cancel          func()          // ends Ctx
	ClientClosed    func() bool     // reports whether the kernel has seen the client close its connection; nil: not known
	Deadline        balancer.Micros // when the client gives up, on the gateway's clock
	Actions         chan Action
	Attempts        []*Attempt
	Winner          *Attempt        // the attempt whose stream the client gets; nil before there is one
	Finished        bool            // the client has its final answer or has disconnected
	LastStatus      string          // of the attempt that ended last, for the log
	Charge          contract.Charge // until the first attempt takes it over
	EstimatedUse    contract.Usage  // the use that was charged
	OverRate        bool            // the request competes beyond its team's rate

	attemptsInFlight int
}

// NewRequest returns a request that is in no table yet. It gets at most maxAttempts attempts, one stream
// and one final answer; Actions has the capacity for these, so that the event loop never blocks.
func NewRequest(ctx context.Context, clientRequestID string, request balancer.Request, deadline balancer.Micros, maxAttempts int) *Request {
	return &Request{
		ClientRequestID: clientRequestID,
		BalancerRequest: request,
		Ctx:             ctx,
		Deadline:        deadline,
		Actions:         make(chan Action, maxAttempts+nonAttemptActions),
	}
}

// ClientGone reports whether the client has disconnected. The HTTP server notices it late on a busy core,
// or where the client had sent more bytes after its request; ClientGone then ends Ctx itself.
func (r *Request) ClientGone() bool {
	if r.Ctx.Err() == nil && r.ClientClosed != nil && r.ClientClosed() {
		r.Cancel()
	}
	return r.Ctx.Err() != nil
}

// AttemptsInFlight returns the number of the request's attempts that have not ended.
func (r *Request) AttemptsInFlight() int { return r.attemptsInFlight }

// ReportUnknown is the ReportAge of a replica that has sent no load report since it started.
const ReportUnknown balancer.Micros = -1

// Basis is what an attempt was decided on, for the log.
type Basis struct {
	ListVersion int64           // of the endpoint list
	ListAge     balancer.Micros // since discovery's last word
	ReportAge   balancer.Micros // of the replica's load report; ReportUnknown: it has sent none
	After       string          // status of the attempt that ended before; empty: none has ended
}

// Attempt is one attempt of a request at a replica.
type Attempt struct {
	Request   *Request
	Index     int // in the order of the request's attempts, from 0
	Replica   *endpoint.Replica
	SentAt    balancer.Micros
	TimeoutAt balancer.Micros
	Ctx       context.Context
	Cancel    context.CancelFunc
	Events    chan []byte // the response stream as it arrives; closed at its end
	Complete  bool        // the stream arrived up to its last chunk; set before Events is closed
	Charge    contract.Charge
	NeverRan  bool   // the replica did not run the attempt; set once it has ended
	Cause     string // first, retry or hedge: for the log
	Basis     Basis  // for the log

	ended bool
}
