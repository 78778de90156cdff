package takeover

// This file implements the claimant role.

// claimReplyTimeouts is the number of reply timeouts that a claimant waits for a chain's head,
// which itself waits up to one for the holder, then up to one for the members behind it.
const claimReplyTimeouts = 3

// claimState is a pending claim of this gateway.
type claimState struct {
	pendingQuery
	resumeSeq    uint32
	phase        claimPhase
	recordFound  bool
	latestRecord Message // the newest record that was received
	grantor      Member
	deadline     Micros
}

// claimPhase is the step that a pending claim has reached.
type claimPhase uint8

const (
	phaseLookup    claimPhase = iota // looking for a gateway that has the record
	phaseClaim                       // waiting for a chain's head to grant the claim
	phaseReplicate                   // waiting for the backups to record the new holder
)

// Claim requests the lease of a request that a client resumes at this gateway. resumeSeq counts
// the client's resume requests, from 1. The candidates are the members that may be the request's
// backups according to this gateway's membership table. The result is an ActionClaimResult.
func (n *Node) Claim(now Micros, id string, resumeSeq uint32, candidates []Member) {
	if n.claims[id] != nil || resumeSeq == 0 {
		n.emit(Output{Action: ActionClaimResult, RequestID: id, ResumeSeq: resumeSeq, Reason: ReasonAlreadyClaimed})
		return
	}
	claim := &claimState{resumeSeq: resumeSeq, pendingQuery: pendingQuery{chain: -1}}
	n.claims[id] = claim
	n.startQuery(now, &claim.pendingQuery, candidates, Message{Kind: MsgLookup, RequestID: id})
	n.advanceClaim(now, id, claim)
}

// AbandonClaim ends a claim whose client has disconnected. No ActionClaimResult follows.
func (n *Node) AbandonClaim(id string) { delete(n.claims, id) }

func (n *Node) rejectClaim(id string, claim *claimState, reason Reason) {
	delete(n.claims, id)
	n.emit(Output{Action: ActionClaimResult, RequestID: id, ResumeSeq: claim.resumeSeq, Reason: reason})
}

// advanceClaim continues a claim where replies, a proof of death or a timeout allow it.
func (n *Node) advanceClaim(now Micros, id string, claim *claimState) {
	elapsed := n.refreshQuery(now, &claim.pendingQuery)
	switch claim.phase {
	case phaseLookup:
		n.advanceLookup(now, id, claim, elapsed)
	case phaseClaim:
		n.advanceChainClaim(now, id, claim, elapsed)
	case phaseReplicate:
		if len(claim.unanswered) == 0 {
			n.completeClaim(now, id, claim)
		} else if elapsed >= n.settings.ReplyTimeout {
			n.rejectClaim(id, claim, ReasonNoProof)
		}
	}
}

func (n *Node) advanceLookup(now Micros, id string, claim *claimState, elapsed Micros) {
	switch {
	case claim.recordFound: // one record is enough: it lists all backups
		n.claimNextChain(now, id, claim)
	case len(claim.unanswered) == 0 || elapsed >= n.settings.ReplyTimeout:
		n.rejectClaim(id, claim, ReasonUnknown)
	}
}

func (n *Node) advanceChainClaim(now Micros, id string, claim *claimState, elapsed Micros) {
	switch {
	case n.isDead(claim.to):
		claim.chain-- // retry the same chain at its new head
		n.claimNextChain(now, id, claim)
	case elapsed < claimReplyTimeouts*n.settings.ReplyTimeout:
		return
	case !claim.latestRecord.Policy.Hedgeable:
		n.rejectClaim(id, claim, ReasonNoProof)
	default:
		n.claimNextChain(now, id, claim)
	}
}

// claimNextChain sends the claim to the head of the next chain that has a live member, or
// rejects the claim if there is none.
func (n *Node) claimNextChain(now Micros, id string, claim *claimState) {
	claim.phase = phaseClaim
	claim.unanswered = nil
	for claim.chain++; claim.chain < n.chainCount(claim.latestRecord.Backups); claim.chain++ {
		members := n.chainMembers(claim.latestRecord.Backups, claim.chain)
		head, ok := n.chainHead(members)
		if !ok {
			continue
		}
		claim.to = head
		n.startQuery(now, &claim.pendingQuery, []Member{head}, Message{
			Kind:          MsgClaim,
			RequestID:     id,
			Holder:        claim.latestRecord.Holder,
			Epoch:         claim.latestRecord.Epoch,
			ResumeSeq:     claim.latestRecord.ResumeSeq,
			NextResumeSeq: claim.resumeSeq,
			Chain:         claim.chain,
			ProvenDead:    n.provenDead(members),
		})
		return
	}
	n.rejectClaim(id, claim, ReasonAttemptsExhausted)
}

// handleReply handles the reply to a query of this gateway.
func (n *Node) handleReply(now Micros, from Member, m Message) {
	if lease := n.leases[m.RequestID]; lease != nil && (m.Kind == MsgPermitReply || m.Kind == MsgLeaseCheckReply) {
		n.handleHolderReply(now, from, m, lease)
		return
	}
	claim := n.claims[m.RequestID]
	if claim == nil || claim.id != m.QueryID {
		return
	}
	switch {
	case m.Kind == MsgLookupReply && claim.phase == phaseLookup:
		n.handleLookupReply(now, from, m, claim)
	case m.Kind == MsgClaimReply && claim.phase == phaseClaim && from == claim.to:
		n.handleClaimReply(now, from, m, claim)
	case m.Kind == MsgUpdateReply && claim.phase == phaseReplicate:
		claim.unanswered = without(claim.unanswered, from)
		if !m.OK {
			n.rejectClaim(m.RequestID, claim, ReasonAlreadyClaimed)
			return
		}
		n.advanceClaim(now, m.RequestID, claim)
	}
}

func (n *Node) handleLookupReply(now Micros, from Member, m Message, claim *claimState) {
	claim.unanswered = without(claim.unanswered, from)
	if m.OK {
		claim.recordFound = true
		claim.latestRecord = m
		claim.deadline = now + m.TimeLeft
	}
	n.advanceClaim(now, m.RequestID, claim)
}

func (n *Node) handleClaimReply(now Micros, from Member, m Message, claim *claimState) {
	if m.Epoch > claim.latestRecord.Epoch {
		claim.latestRecord.Holder = m.Holder
		claim.latestRecord.Epoch = m.Epoch
		claim.latestRecord.ResumeSeq = m.ResumeSeq
	}
	switch {
	case m.OK:
		claim.grantor = from
		n.replicateClaim(now, m.RequestID, claim)
	case m.Reason == ReasonAttemptsExhausted || m.Reason == ReasonUnknown:
		n.claimNextChain(now, m.RequestID, claim)
	default:
		n.rejectClaim(m.RequestID, claim, m.Reason)
	}
}

// replicateClaim sends the new holder to all other backups. Unless the request allows concurrent
// attempts, each backup has to record it or be proven dead before the takeover is complete.
func (n *Node) replicateClaim(now Micros, id string, claim *claimState) {
	claim.phase = phaseReplicate
	others := without(claim.latestRecord.Backups, claim.to)
	n.startQuery(now, &claim.pendingQuery, others, Message{
		Kind:      MsgUpdate,
		RequestID: id,
		Holder:    n.self,
		Epoch:     claim.latestRecord.Epoch,
		ResumeSeq: claim.resumeSeq,
		Policy:    claim.latestRecord.Policy,
		Backups:   claim.latestRecord.Backups,
		TimeLeft:  max(0, claim.deadline-now),
	})
	if claim.latestRecord.Policy.Hedgeable {
		n.completeClaim(now, id, claim)
		return
	}
	n.advanceClaim(now, id, claim)
}

// completeClaim makes this gateway the lease holder of a request that it claimed.
func (n *Node) completeClaim(now Micros, id string, claim *claimState) {
	delete(n.claims, id)
	lease := &leaseState{
		epoch:            claim.latestRecord.Epoch,
		resumeSeq:        claim.resumeSeq,
		policy:           claim.latestRecord.Policy,
		deadline:         claim.deadline,
		backups:          claim.latestRecord.Backups,
		lastReplicatedAt: now,
		exhausted:        make([]bool, n.settings.Permits),
		grantor:          claim.grantor,
		grantorChain:     claim.chain,
	}
	for chain := range claim.chain + 1 {
		lease.exhausted[chain] = true
	}
	if earlier := n.leases[id]; earlier != nil { // this gateway held the lease before and was stopped
		n.replyToReleases(id, earlier, true)
	}
	n.leases[id] = lease
	n.emit(Output{
		Action:       ActionClaimResult,
		RequestID:    id,
		ResumeSeq:    claim.resumeSeq,
		OK:           true,
		TimeLeft:     max(0, claim.deadline-now),
		AttemptsMade: claim.chain + 1,
	})
}
