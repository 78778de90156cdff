package takeover

import "slices"

// This file is the lease holder's part.

// permitReplyTimeouts is how many reply timeouts a holder waits for a permit: the chain's
// head waits for the members behind it in turn.
const permitReplyTimeouts = 2

// leaseState is a request whose lease this gateway holds.
type leaseState struct {
	epoch            uint32
	resumeSeq        uint32
	policy           RetryPolicy
	deadline         Micros
	backups          []Member
	lastReplicatedAt Micros
	exhausted        []bool // by chain: it has no permit left to grant
	grantor          Member // backup that granted the claim; zero for the first holder
	grantorChain     int
	permitQuery      *pendingQuery
	leaseCheck       *pendingQuery
	releaseQueries   []pendingQuery // of backups that wait for the lease to be released
	stopped          bool
}

// Acquire makes this gateway the first lease holder of a request and sends the record to its
// backups, without waiting for them.
func (n *Node) Acquire(now Micros, id string, policy RetryPolicy, timeLeft Micros, backups []Member) {
	if n.leases[id] != nil {
		return
	}
	lease := &leaseState{
		epoch:     1,
		policy:    policy,
		deadline:  now + timeLeft,
		backups:   backups,
		exhausted: make([]bool, n.settings.Permits),
	}
	n.leases[id] = lease
	n.replicate(now, id, lease, true)
}

// replicate sends the request's record to the backups. It also renews the record's TTL there.
func (n *Node) replicate(now Micros, id string, lease *leaseState, initial bool) {
	lease.lastReplicatedAt = now
	record := n.leaseMessage(MsgReplicate, id, lease)
	record.Policy = lease.policy
	record.TimeLeft = max(0, lease.deadline-now)
	record.Backups = lease.backups
	record.Initial = initial
	for _, backup := range lease.backups {
		if !n.isDead(backup) {
			n.send(backup, record)
		}
	}
}

// leaseMessage returns a message about a lease of this gateway's.
func (n *Node) leaseMessage(kind MessageKind, id string, lease *leaseState) Message {
	return Message{Kind: kind, RequestID: id, Holder: n.self, Epoch: lease.epoch, ResumeSeq: lease.resumeSeq}
}

// Release ends a lease: the request is answered and nothing of it runs here any more.
// mayHaveRun says whether an attempt may have run; if none has, the permit of a request that
// was taken over goes back to the backup that granted it.
func (n *Node) Release(now Micros, id string, mayHaveRun bool) {
	lease := n.leases[id]
	if lease == nil {
		return
	}
	if !mayHaveRun && lease.grantor.Name != "" {
		n.send(lease.grantor, Message{Kind: MsgPermitReturn, RequestID: id, Holder: n.self, Epoch: lease.epoch, Chain: lease.grantorChain})
	}
	n.Stopped(now, id, mayHaveRun)
}

// SetBackups gives a lease its backups if it had none because this gateway knew of no other.
func (n *Node) SetBackups(now Micros, id string, backups []Member) {
	lease := n.leases[id]
	if lease == nil || lease.epoch != 1 || len(lease.backups) > 0 || len(backups) == 0 {
		return
	}
	lease.backups = backups
	n.replicate(now, id, lease, true)
}

// Stopped reports that an ActionStop has been carried out. mayHaveRun says whether an attempt
// may have run.
func (n *Node) Stopped(_ Micros, id string, mayHaveRun bool) {
	lease := n.leases[id]
	if lease == nil {
		return
	}
	delete(n.leases, id)
	n.replyToReleases(id, lease, mayHaveRun)
}

// replyToReleases confirms to the waiting backups that nothing of a request runs here.
func (n *Node) replyToReleases(id string, lease *leaseState, mayHaveRun bool) {
	for _, query := range lease.releaseQueries {
		n.send(query.to, Message{Kind: MsgReleaseReply, RequestID: id, QueryID: query.id, OK: true, MayHaveRun: mayHaveRun})
	}
}

// handleRelease handles a backup's request to stop: another gateway is to continue the request.
func (n *Node) handleRelease(from Member, m Message) {
	if claim := n.claims[m.RequestID]; claim != nil && releaseSupersedes(m, claim) {
		n.rejectClaim(m.RequestID, claim, ReasonSuperseded)
	}
	lease := n.leases[m.RequestID]
	if lease == nil {
		n.send(from, Message{Kind: MsgReleaseReply, RequestID: m.RequestID, QueryID: m.QueryID, OK: true, MayHaveRun: true})
		return
	}
	if m.Epoch < lease.epoch {
		return // addressed to an earlier holder
	}
	known := slices.ContainsFunc(lease.releaseQueries, func(query pendingQuery) bool {
		return query.to == from && query.id == m.QueryID
	})
	if !known {
		lease.releaseQueries = append(lease.releaseQueries, pendingQuery{to: from, id: m.QueryID})
	}
	n.stopLease(m.RequestID, lease)
}

// releaseSupersedes reports whether a release makes a pending claim of this gateway's void.
// The backup takes this gateway for the holder already, so a grant that is under way, or is
// still being replicated, must not be used.
func releaseSupersedes(release Message, claim *claimState) bool {
	switch claim.phase {
	case phaseClaim:
		return release.Epoch > claim.latestRecord.Epoch
	case phaseReplicate:
		return release.Epoch >= claim.latestRecord.Epoch
	default:
		return false
	}
}

// stopLease rejects what is pending for a lease and orders the caller to end its attempts.
func (n *Node) stopLease(id string, lease *leaseState) {
	if lease.stopped {
		return
	}
	lease.stopped = true
	if lease.permitQuery != nil {
		n.finishPermitQuery(id, lease, false)
	}
	if lease.leaseCheck != nil {
		n.finishLeaseCheck(id, lease, false)
	}
	n.emit(Output{Action: ActionStop, RequestID: id})
}

// RequestPermit asks for a permit to make another attempt. One such query is pending at a
// time; the result is an ActionPermitResult.
func (n *Node) RequestPermit(now Micros, id string) {
	lease := n.leases[id]
	if lease == nil || lease.stopped || lease.permitQuery != nil {
		n.emit(Output{Action: ActionPermitResult, RequestID: id})
		return
	}
	lease.permitQuery = &pendingQuery{chain: -1}
	n.queryNextChain(now, id, lease)
}

// queryNextChain asks the next chain that may have a permit left.
func (n *Node) queryNextChain(now Micros, id string, lease *leaseState) {
	query := lease.permitQuery
	for query.chain++; query.chain < n.chainCount(lease.backups); query.chain++ {
		if lease.exhausted[query.chain] {
			continue
		}
		if head, ok := n.chainHead(n.chainMembers(lease.backups, query.chain)); ok {
			n.sendPermitQuery(now, id, lease, head)
			return
		}
	}
	n.finishPermitQuery(id, lease, false)
}

func (n *Node) sendPermitQuery(now Micros, id string, lease *leaseState, head Member) {
	query := lease.permitQuery
	query.to = head
	m := n.leaseMessage(MsgPermit, id, lease)
	m.Chain = query.chain
	m.ProvenDead = n.provenDead(n.chainMembers(lease.backups, query.chain))
	n.startQuery(now, query, []Member{head}, m)
}

func (n *Node) advancePermitQuery(now Micros, id string, lease *leaseState) {
	query := lease.permitQuery
	elapsed := n.refreshQuery(now, query)
	switch {
	case n.isDead(query.to):
		if head, ok := n.chainHead(n.chainMembers(lease.backups, query.chain)); ok {
			n.sendPermitQuery(now, id, lease, head)
		} else {
			n.queryNextChain(now, id, lease)
		}
	case elapsed >= permitReplyTimeouts*n.settings.ReplyTimeout:
		lease.exhausted[query.chain] = true // a grant that comes now is ignored
		n.queryNextChain(now, id, lease)
	}
}

func (n *Node) finishPermitQuery(id string, lease *leaseState, granted bool) {
	lease.permitQuery = nil
	n.emit(Output{Action: ActionPermitResult, RequestID: id, OK: granted})
}

// CheckLease asks the backups whether this gateway still holds a lease: after a freeze of the
// process, before anything of the request is sent, relayed or charged. The result is an
// ActionLeaseCheckResult. A check that is pending starts anew: its replies may be older than
// the freeze.
func (n *Node) CheckLease(now Micros, id string) {
	lease := n.leases[id]
	if lease == nil || lease.stopped {
		n.emit(Output{Action: ActionLeaseCheckResult, RequestID: id})
		return
	}
	lease.leaseCheck = &pendingQuery{}
	n.startQuery(now, lease.leaseCheck, lease.backups, n.leaseMessage(MsgLeaseCheck, id, lease))
	n.advanceLeaseCheck(now, id, lease)
}

func (n *Node) advanceLeaseCheck(now Micros, id string, lease *leaseState) {
	elapsed := n.refreshQuery(now, lease.leaseCheck)
	switch {
	case len(lease.leaseCheck.unanswered) == 0:
		n.finishLeaseCheck(id, lease, true)
	case elapsed >= n.settings.ReplyTimeout: // a backup out of reach may have granted it to another
		n.stopLease(id, lease)
	}
}

func (n *Node) finishLeaseCheck(id string, lease *leaseState, valid bool) {
	lease.leaseCheck = nil
	n.emit(Output{Action: ActionLeaseCheckResult, RequestID: id, OK: valid})
}

// handleHolderReply handles the reply to a lease check or a permit query.
func (n *Node) handleHolderReply(now Micros, from Member, m Message, lease *leaseState) {
	switch m.Kind {
	case MsgLeaseCheckReply:
		n.handleLeaseCheckReply(now, from, m, lease)
	case MsgPermitReply:
		n.handlePermitReply(now, from, m, lease)
	}
}

func (n *Node) handleLeaseCheckReply(now Micros, from Member, m Message, lease *leaseState) {
	query := lease.leaseCheck
	if query == nil || query.id != m.QueryID {
		return
	}
	query.unanswered = without(query.unanswered, from)
	if !m.OK {
		n.stopLease(m.RequestID, lease)
		return
	}
	n.advanceLeaseCheck(now, m.RequestID, lease)
}

func (n *Node) handlePermitReply(now Micros, from Member, m Message, lease *leaseState) {
	query := lease.permitQuery
	if query == nil || query.id != m.QueryID || query.to != from {
		return
	}
	switch {
	case m.OK:
		lease.exhausted[query.chain] = true
		n.finishPermitQuery(m.RequestID, lease, true)
	case m.Reason == ReasonSuperseded:
		n.stopLease(m.RequestID, lease)
	default:
		lease.exhausted[query.chain] = true
		n.queryNextChain(now, m.RequestID, lease)
	}
}
