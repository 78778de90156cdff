package takeover

import "slices"

// This file implements the lease holder role.

// permitReplyTimeouts is the number of reply timeouts that a holder waits for a chain's head,
// which itself waits up to one for the members behind it.
const permitReplyTimeouts = 2

// leaseState is a request whose lease this gateway holds.
type leaseState struct {
	epoch            uint32
	resumeSeq        uint32
	policy           RetryPolicy
	deadline         Micros
	backups          []Member
	lastReplicatedAt Micros
	exhausted        []bool // by chain: not to be queried for a permit again
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

func (n *Node) leaseMessage(kind MessageKind, id string, lease *leaseState) Message {
	return Message{Kind: kind, RequestID: id, Holder: n.self, Epoch: lease.epoch, ResumeSeq: lease.resumeSeq}
}

// Release ends a lease after all attempts of the request here have ended. mayHaveRun reports
// whether an attempt may have run. If none has, and the lease was claimed, the claim's permit
// is returned to the backup that granted it.
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

// SetBackups sets the backups of a lease that was acquired while this gateway had no other
// gateway in its membership table. A lease that already has backups stays unchanged.
func (n *Node) SetBackups(now Micros, id string, backups []Member) {
	lease := n.leases[id]
	if lease == nil || lease.epoch != 1 || len(lease.backups) > 0 || len(backups) == 0 {
		return
	}
	lease.backups = backups
	n.replicate(now, id, lease, true)
}

// Stopped confirms that an ActionStop has been executed. mayHaveRun reports whether an attempt
// may have run.
func (n *Node) Stopped(_ Micros, id string, mayHaveRun bool) {
	lease := n.leases[id]
	if lease == nil {
		return
	}
	delete(n.leases, id)
	n.replyToReleases(id, lease, mayHaveRun)
}

// replyToReleases confirms to the waiting backups that no attempt of a request runs here.
func (n *Node) replyToReleases(id string, lease *leaseState, mayHaveRun bool) {
	for _, query := range lease.releaseQueries {
		n.send(query.to, Message{Kind: MsgReleaseReply, RequestID: id, QueryID: query.id, OK: true, MayHaveRun: mayHaveRun})
	}
}

// handleRelease handles a backup's order to stop because another gateway has claimed the request.
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

// releaseSupersedes reports whether a release invalidates a pending claim of this gateway. The
// backup has already recorded this gateway as the holder and now decides on another claim. A
// grant that is in flight or still being replicated must therefore not be used.
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

// stopLease rejects the pending queries of a lease and emits an ActionStop.
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

// RequestPermit requests a permit for another attempt. The result is an ActionPermitResult. It
// is a rejection at once if the lease is stopped or a permit query is already pending.
func (n *Node) RequestPermit(now Micros, id string) {
	lease := n.leases[id]
	if lease == nil || lease.stopped || lease.permitQuery != nil {
		n.emit(Output{Action: ActionPermitResult, RequestID: id})
		return
	}
	lease.permitQuery = &pendingQuery{chain: -1}
	n.queryNextChain(now, id, lease)
}

// queryNextChain sends the permit query to the next chain that may have a permit left.
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
		lease.exhausted[query.chain] = true // a grant that arrives later is ignored
		n.queryNextChain(now, id, lease)
	}
}

func (n *Node) finishPermitQuery(id string, lease *leaseState, granted bool) {
	lease.permitQuery = nil
	n.emit(Output{Action: ActionPermitResult, RequestID: id, OK: granted})
}

// CheckLease queries the backups whether this gateway still holds a lease. It is required after
// a freeze of the process, before any data of the request is sent, relayed or charged. The
// result is an ActionLeaseCheckResult. A pending check is restarted, because its replies may be
// older than the freeze.
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
	case elapsed >= n.settings.ReplyTimeout: // an unreachable backup may have granted a claim of the request
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
