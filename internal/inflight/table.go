// Package inflight tracks the client requests that the gateway is serving and their attempts at replicas.
package inflight

import (
	"context"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/endpoint"
)

// Table holds the requests in flight by the balancer's ID. Only the gateway's event loop may use it.
type Table struct {
	nextID balancer.RequestID
	byID   map[balancer.RequestID]*Request
}

// NewTable returns an empty table.
func NewTable() *Table { return &Table{byID: map[balancer.RequestID]*Request{}} }

// Add adds a request and assigns an ID that no request in flight has.
func (t *Table) Add(r *Request) {
	for t.byID[t.nextID] != nil {
		t.nextID++
	}
	r.ID, r.BalancerRequest.ID = t.nextID, t.nextID
	t.byID[r.ID] = r
	t.nextID++
}

// Get returns the request with the ID, or nil if it is not in flight.
func (t *Table) Get(id balancer.RequestID) *Request { return t.byID[id] }

// Len returns the number of requests in flight.
func (t *Table) Len() int { return len(t.byID) }

// StartAttempt adds a new attempt of the request at a replica, and counts it as in flight at both.
func (t *Table) StartAttempt(r *Request, replica *endpoint.Replica, now, timeoutAt balancer.Micros) *Attempt {
	attempt := &Attempt{
		Request:   r,
		Index:     len(r.Attempts),
		Replica:   replica,
		SentAt:    now,
		TimeoutAt: timeoutAt,
		Events:    make(chan []byte),
	}
	attempt.Ctx, attempt.Cancel = context.WithCancel(r.Ctx)
	r.Attempts = append(r.Attempts, attempt)
	r.attemptsInFlight++
	replica.AddInFlight(1)
	return attempt
}

// FinishAttempt records the end of an attempt. It returns false if the attempt had ended before.
func (t *Table) FinishAttempt(attempt *Attempt) bool {
	if attempt.ended {
		return false
	}
	attempt.ended = true
	attempt.Request.attemptsInFlight--
	attempt.Replica.AddInFlight(-1)
	return true
}

// EachOpenCharge calls visit with each unsettled charge to a contract, in no particular order. The charge of a
// request without attempts has attempt index 0.
func (t *Table) EachOpenCharge(visit func(id balancer.RequestID, attemptIndex int, charge *contract.Charge)) {
	for id, r := range t.byID {
		if r.Charge.Open() {
			visit(id, 0, &r.Charge)
		}
		for _, attempt := range r.Attempts {
			if attempt.Charge.Open() {
				visit(id, attempt.Index, &attempt.Charge)
			}
		}
	}
}

// RemoveIfFinished removes the request if it is finished and has no attempts in flight.
func (t *Table) RemoveIfFinished(r *Request) {
	if r.Finished && r.attemptsInFlight == 0 {
		delete(t.byID, r.ID)
	}
}
