package peers

import (
	"context"
	"time"

	"archknot/internal/takeover"
)

// spareCandidates is how many more gateways than there are backups are asked for a record: the
// holder may have known others, and this gateway may be a backup itself.
const spareCandidates = 3

// Grant describes a claimed request.
type Grant struct {
	AttemptsMade int           // attempts that count as made
	TimeLeft     time.Duration // until the deadline of the client's first request
}

// ClaimRejectedError is the error of a claim that was rejected.
type ClaimRejectedError struct{ Reason takeover.Reason }

// Error implements the error interface.
func (e ClaimRejectedError) Error() string { return e.Reason.String() }

// pendingClaim is a claim whose result is awaited.
type pendingClaim struct {
	result chan takeover.Output
	cancel func() // of the lease
	lease  *Lease // once the claim is granted
}

// Claim asks the other gateways for the lease of a request that a client wants to resume.
// resumeSeq counts the client's resume requests, from 1. The error is a RefusalError, or the
// context's. For cancel see Acquire.
func (s *Service) Claim(ctx context.Context, id string, resumeSeq uint32, cancel func()) (*Lease, Grant, error) {
	claim := s.startClaim(id, resumeSeq, cancel)
	if claim == nil {
		return nil, Grant{}, ClaimRejectedError{takeover.ReasonAlreadyClaimed}
	}
	select {
	case o := <-claim.result:
		if !o.OK {
			return nil, Grant{}, ClaimRejectedError{o.Reason}
		}
		return claim.lease, Grant{AttemptsMade: o.AttemptsMade, TimeLeft: time.Duration(o.TimeLeft) * time.Microsecond}, nil
	case <-ctx.Done():
		s.abandonClaim(id, claim)
		return nil, Grant{}, ctx.Err()
	}
}

// startClaim starts a claim. It returns nil if one for the same request is pending.
func (s *Service) startClaim(id string, resumeSeq uint32, cancel func()) *pendingClaim {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.claims[id] != nil {
		return nil
	}
	s.syncMembers(now)
	claim := &pendingClaim{result: make(chan takeover.Output, 1), cancel: cancel}
	s.claims[id] = claim
	candidates := append(s.selectBackups(id, s.options.Backups+spareCandidates), s.self)
	s.node.Claim(now, id, resumeSeq, candidates)
	s.runOutputs(now)
	return claim
}

// finishClaim passes the result of a claim to the goroutine that waits for it. The caller holds
// the lock.
func (s *Service) finishClaim(o takeover.Output) {
	claim := s.claims[o.RequestID]
	if claim == nil {
		return
	}
	delete(s.claims, o.RequestID)
	if o.OK { // the lease exists from now on: the next message may be that it is lost again
		claim.lease = s.addLease(o.RequestID, claim.cancel)
	}
	claim.result <- o
}

// abandonClaim ends a claim whose client has gone, and its lease if it was granted meanwhile.
func (s *Service) abandonClaim(id string, claim *pendingClaim) {
	s.mu.Lock()
	if s.claims[id] == claim {
		delete(s.claims, id)
		s.node.AbandonClaim(id)
	}
	lease := claim.lease
	s.mu.Unlock()
	if lease != nil {
		lease.Release(false)
	}
}
