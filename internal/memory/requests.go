package memory

import (
	"context"

	"archknot/choice"
	"archknot/internal/contract"
)

// ActionKind is what the module, or the binding of a stream, asks of the task
// that serves a request.
type ActionKind uint8

const (
	Begin    ActionKind = iota // send it to a worker
	PassOn                     // the attempt's stream is the client's
	Overload                   // answer with an overload reply
	Fail                       // answer with a failure
	TurnAway                   // answer that it cannot be taken on
	Contract                   // answer that the team's contract does not allow it
)

// Action is one such order.
type Action struct {
	Kind       ActionKind
	Attempt    *Attempt      // for Begin and PassOn
	RetryAfter choice.Micros // for Overload and Contract; 0: no advice
	Reason     string        // for Contract, for machines, and for TurnAway; for Overload, for the log
}

// Request is a client's request while it is owed an answer or has attempts
// out. Its task reads Actions; all else belongs to the loop.
type Request struct {
	ID       choice.RequestID
	Name     string // the client's own id of it
	In       choice.Request
	Ctx      context.Context // ends when the client leaves or is answered
	Left     func() bool     // whether the client has closed its connection, asked of the system; nil: it cannot be asked
	End      func()          // ends Ctx
	Deadline choice.Micros   // when the client gives up, on the gateway's clock
	Actions  chan Action
	Attempts []*Attempt
	Bound    *Attempt        // whose stream the client gets
	Done     bool            // finally answered, or the client has left
	out      int             // attempts that have not ended
	Charge   contract.Charge // until its first attempt has it
	Thought  contract.Use    // what it was charged for
	Over     bool            // it competes beyond its team's rate
}

// Attempt is one attempt of a request at a worker.
type Attempt struct {
	Request  *Request
	N        int
	Worker   *Worker
	SentAt   choice.Micros
	CutAt    choice.Micros
	Ctx      context.Context
	Cancel   context.CancelFunc
	Events   chan []byte // the stream as it comes; closed at its end
	Whole    bool        // the stream came to its last chunk; set before Events closes
	Charge   contract.Charge
	NeverRan bool   // known once it has ended
	Why      string // first, retry or hedge: for the log
	ended    bool
}

// Requests are those in hand, by the module's number. The loop owns it.
type Requests struct {
	next choice.RequestID
	byID map[choice.RequestID]*Request
}

// NewRequests returns an empty store.
func NewRequests() *Requests { return &Requests{byID: map[choice.RequestID]*Request{}} }

// NewRequest makes the record of a request. The module sends at most
// maxAttempts attempts, of which one is bound, and one final answer: so many
// actions never block the loop.
func NewRequest(ctx context.Context, name string, in choice.Request, deadline choice.Micros, maxAttempts int) *Request {
	return &Request{Name: name, In: in, Ctx: ctx, Deadline: deadline, Actions: make(chan Action, maxAttempts+2)}
}

// Gone tells whether the client has left. The server hears of it a while later where the core
// is busy, or where the client had sent more behind its request; then Ctx ends here.
func (r *Request) Gone() bool {
	if r.Ctx.Err() == nil && r.Left != nil && r.Left() {
		r.End()
	}
	return r.Ctx.Err() != nil
}

// Out is how many of its attempts have not ended.
func (r *Request) Out() int { return r.out }

// Add numbers a request and takes it in.
func (s *Requests) Add(r *Request) {
	for s.byID[s.next] != nil {
		s.next++
	}
	r.ID, r.In.ID = s.next, s.next
	s.byID[r.ID] = r
	s.next++
}

// Get is the request with this number, nil if it is no longer in hand.
func (s *Requests) Get(id choice.RequestID) *Request { return s.byID[id] }

// Len is the number of requests in hand.
func (s *Requests) Len() int { return len(s.byID) }

// Attempt enters a new attempt of r.
func (s *Requests) Attempt(r *Request, w *Worker, now, cutAt choice.Micros) *Attempt {
	d := &Attempt{Request: r, N: len(r.Attempts), Worker: w, SentAt: now, CutAt: cutAt, Events: make(chan []byte)}
	d.Ctx, d.Cancel = context.WithCancel(r.Ctx)
	r.Attempts = append(r.Attempts, d)
	r.out++
	w.count(1)
	return d
}

// Ended notes the end of an attempt and tells whether it is news.
func (s *Requests) Ended(d *Attempt) bool {
	if d.ended {
		return false
	}
	d.ended = true
	d.Request.out--
	d.Worker.count(-1)
	return true
}

// Charges lists what is charged to contracts and not settled, by the requests'
// numbers and the copies'.
func (s *Requests) Charges(each func(id choice.RequestID, copy int, c *contract.Charge)) {
	for id, r := range s.byID {
		if r.Charge.Open() {
			each(id, 0, &r.Charge)
		}
		for _, d := range r.Attempts {
			if d.Charge.Open() {
				each(id, d.N, &d.Charge)
			}
		}
	}
}

// Forget drops r once it is answered and nothing is out for it.
func (s *Requests) Forget(r *Request) {
	if r.Done && r.out == 0 {
		delete(s.byID, r.ID)
	}
}
