package peers

import (
	"context"
	"time"

	"archknot/internal/takeover"
)

// spareCandidates is the number of gateways, in addition to the number of backups, that a claim
// queries for a record. The holder may have selected its backups from other members than this
// gateway has in its table, and this gateway may be a backup itself.
const spareCandidates = 3

// Grant describes a claimed request.
type Grant struct {
	AttemptsMade int           // attempts that count as made before the one that the claim permits
	TimeLeft     time.Duration // until the deadline of the client's first request
}

// ClaimRejectedError is the error of a rejected claim. Its text is part of the response to the client.
type ClaimRejectedError struct{ Reason takeover.Reason }

// Error returns the reason's name.
func (e ClaimRejectedError) Error() string { return e.Reason.String() }

// pendingClaim is a claim that has no result yet.
type pendingClaim struct {
	result chan takeover.Output
	cancel func() // for Lease.cancel
	lease  *Lease // once the claim is granted
}

// Claim requests the lease of a request that a client resumes at this gateway. resumeSeq counts
// the client's resume requests, from 1. The error is a ClaimRejectedError if the claim is rejected,
// else the context's. For cancel see Acquire.
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
	if o.OK { // create the lease now: the next output may already be its loss
		claim.lease = s.addLease(o.RequestID, claim.cancel)
	}
	claim.result <- o
}

// abandonClaim ends a claim whose context has ended, and releases its lease if the claim was
// granted in the meantime.
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
