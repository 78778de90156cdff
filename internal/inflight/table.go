// Package inflight tracks the client requests that the gateway is serving and their attempts at replicas.
package inflight

import (
	"context"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/endpoint"
)

// ActionKind is what the module, or the binding of a stream, asks of the task
// that serves a request.
type ActionKind uint8

const (
	ActionForward ActionKind = iota // send it to a worker
	ActionStream                    // the attempt's stream is the client's
	ActionShed                      // answer with an overload reply
	ActionFail                      // answer with a failure
	ActionReject                    // answer that it cannot be taken on
	ActionDeny                      // answer that the team's contract does not allow it
)

// Action is one such order.
type Action struct {
	Kind       ActionKind
	Attempt    *Attempt        // for Begin and ActionStream
	RetryAfter balancer.Micros // for Overload and Contract; 0: no advice
	Reason     string          // for Contract, for machines, and for ActionReject; for Overload, for the log
}

// Request is a client's request while it is owed an answer or has attempts
// out. Its task reads Actions; all else belongs to the loop.
type Request struct {
	ID               balancer.RequestID
	ClientRequestID  string // the client's own id of it
	BalancerRequest  balancer.Request
	Ctx              context.Context // ends when the client leaves or is answered
	ClientClosed     func() bool     // whether the client has closed its connection, asked of the system; nil: it cannot be asked
	Cancel           func()          // ends Ctx
	Deadline         balancer.Micros // when the client gives up, on the gateway's clock
	Actions          chan Action
	Attempts         []*Attempt
	Winner           *Attempt        // whose stream the client gets
	Finished         bool            // finally answered, or the client has left
	attemptsInFlight int             // attempts that have not ended
	Charge           contract.Charge // until its first attempt has it
	EstimatedUse     contract.Usage  // what it was charged for
	OverRate         bool            // it competes beyond its team's rate
}

// Attempt is one attempt of a request at a worker.
type Attempt struct {
	Request   *Request
	Index     int
	Replica   *endpoint.Replica
	SentAt    balancer.Micros
	TimeoutAt balancer.Micros
	Ctx       context.Context
	Cancel    context.CancelFunc
	Events    chan []byte // the stream as it comes; closed at its end
	Complete  bool        // the stream came to its last chunk; set before Events closes
	Charge    contract.Charge
	NeverRan  bool   // known once it has ended
	Cause     string // first, retry or hedge: for the log
	ended     bool
}

// Table are those in hand, by the module's number. The loop owns it.
type Table struct {
	nextID balancer.RequestID
	byID   map[balancer.RequestID]*Request
}

// NewTable returns an empty store.
func NewTable() *Table { return &Table{byID: map[balancer.RequestID]*Request{}} }

// NewRequest makes the record of a request. The module sends at most
// maxAttempts attempts, of which one is bound, and one final answer: so many
// actions never block the loop.
func NewRequest(ctx context.Context, name string, in balancer.Request, deadline balancer.Micros, maxAttempts int) *Request {
	return &Request{ClientRequestID: name, BalancerRequest: in, Ctx: ctx, Deadline: deadline, Actions: make(chan Action, maxAttempts+2)}
}

// ClientGone tells whether the client has left. The server hears of it a while later where the core
// is busy, or where the client had sent more behind its request; then Ctx ends here.
func (r *Request) ClientGone() bool {
	if r.Ctx.Err() == nil && r.ClientClosed != nil && r.ClientClosed() {
		r.Cancel()
	}
	return r.Ctx.Err() != nil
}

// AttemptsInFlight is how many of its attempts have not ended.
func (r *Request) AttemptsInFlight() int { return r.attemptsInFlight }

// Add numbers a request and takes it in.
func (s *Table) Add(r *Request) {
	for s.byID[s.nextID] != nil {
		s.nextID++
	}
	r.ID, r.BalancerRequest.ID = s.nextID, s.nextID
	s.byID[r.ID] = r
	s.nextID++
}

// Get is the request with this number, nil if it is no longer in hand.
func (s *Table) Get(id balancer.RequestID) *Request { return s.byID[id] }

// Len is the number of requests in hand.
func (s *Table) Len() int { return len(s.byID) }

// StartAttempt enters a new attempt of r.
func (s *Table) StartAttempt(r *Request, w *endpoint.Replica, now, cutAt balancer.Micros) *Attempt {
	d := &Attempt{Request: r, Index: len(r.Attempts), Replica: w, SentAt: now, TimeoutAt: cutAt, Events: make(chan []byte)}
	d.Ctx, d.Cancel = context.WithCancel(r.Ctx)
	r.Attempts = append(r.Attempts, d)
	r.attemptsInFlight++
	w.AddInFlight(1)
	return d
}

// FinishAttempt notes the end of an attempt and tells whether it is news.
func (s *Table) FinishAttempt(d *Attempt) bool {
	if d.ended {
		return false
	}
	d.ended = true
	d.Request.attemptsInFlight--
	d.Replica.AddInFlight(-1)
	return true
}

// EachOpenCharge lists what is charged to contracts and not settled, by the requests'
// numbers and the copies'.
func (s *Table) EachOpenCharge(each func(id balancer.RequestID, copy int, c *contract.Charge)) {
	for id, r := range s.byID {
		if r.Charge.Open() {
			each(id, 0, &r.Charge)
		}
		for _, d := range r.Attempts {
			if d.Charge.Open() {
				each(id, d.Index, &d.Charge)
			}
		}
	}
}

// RemoveIfFinished drops r once it is answered and nothing is out for it.
func (s *Table) RemoveIfFinished(r *Request) {
	if r.Finished && r.attemptsInFlight == 0 {
		delete(s.byID, r.ID)
	}
}
