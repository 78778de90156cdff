package takeover

import "slices"

// This file implements the backup role: storing records of other gateways' requests, and
// granting the permits of the chains whose head this gateway is.

// requestRecord is a backup's record of a request.
type requestRecord struct {
	holder        Member
	epoch         uint32
	resumeSeq     uint32
	policy        RetryPolicy
	deadline      Micros // of the client's first request
	backups       []Member
	permitGranted bool // the permit of this backup's chain
	expiresAt     Micros
	decision      *pendingDecision // nil: none is pending
	lastReply     Message          // the result of the last decision
	lastRequester Member           // the receiver of lastReply
}

// pendingDecision is a backup's decision on a claim or a permit query. It first waits for the
// holder of a claimed request to stop, then for the chain to record the grant.
type pendingDecision struct {
	request      Message
	requester    Member
	startedAt    Micros
	awaitingAcks []Member // chain members that have not recorded the grant; nil: the update is not sent yet
	retransmit   Message  // to the members of awaitingAcks; while that is nil, to the holder
	lastSentAt   Micros
}

// handleReplicate stores or renews a record. The permit is available only if the record is
// created from the first holder's initial message: a backup that has lost its record cannot
// know whether it has granted the permit.
func (n *Node) handleReplicate(now Micros, from Member, m Message) {
	record := n.records[m.RequestID]
	if record == nil {
		record = n.addRecord(m)
		if record == nil {
			return
		}
		record.permitGranted = !m.Initial
	}
	if from == m.Holder {
		n.mergeHolder(record, m)
	}
	if record.holder == from {
		record.expiresAt = now + n.settings.RecordTTL
		record.deadline = now + m.TimeLeft
	}
}

// addRecord creates a record, or returns nil if a limit on records is reached. The new
// record is rejected because evicting an old one would lose the grant of its permit.
func (n *Node) addRecord(m Message) *requestRecord {
	if len(n.records) >= n.settings.MaxRecords || n.recordsByHolder[m.Holder.Name] >= n.settings.MaxRecordsPerHolder {
		n.rejectedRecords++
		return nil
	}
	record := &requestRecord{
		holder:        m.Holder,
		epoch:         m.Epoch,
		resumeSeq:     m.ResumeSeq,
		policy:        m.Policy,
		backups:       m.Backups,
		permitGranted: true,
	}
	n.records[m.RequestID] = record
	n.recordsByHolder[m.Holder.Name]++
	return record
}

func (n *Node) removeRecord(id string) {
	n.setHolder(n.records[id], Member{})
	delete(n.records, id)
}

// setHolder changes a record's holder and the counts of records by holder. The zero Member
// means none.
func (n *Node) setHolder(record *requestRecord, holder Member) {
	n.recordsByHolder[record.holder.Name]--
	if n.recordsByHolder[record.holder.Name] <= 0 {
		delete(n.recordsByHolder, record.holder.Name)
	}
	record.holder = holder
	if holder.Name != "" {
		n.recordsByHolder[holder.Name]++
	}
}

// mergeHolder sets a record's holder to the one in a message if the message has a greater
// epoch. It reports whether the record and the message agree on the holder afterwards.
func (n *Node) mergeHolder(record *requestRecord, m Message) bool {
	if m.Epoch > record.epoch {
		n.setHolder(record, m.Holder)
		record.epoch = m.Epoch
		record.resumeSeq = max(record.resumeSeq, m.ResumeSeq)
	}
	return record.epoch == m.Epoch && record.holder == m.Holder
}

// handleLookup replies with the record of a request, or that this gateway has none.
func (n *Node) handleLookup(now Micros, from Member, m Message) {
	reply := Message{Kind: MsgLookupReply, RequestID: m.RequestID, QueryID: m.QueryID}
	if record := n.records[m.RequestID]; record != nil {
		reply.OK = true
		reply.Holder = record.holder
		reply.Epoch = record.epoch
		reply.ResumeSeq = record.resumeSeq
		reply.Policy = record.policy
		reply.Backups = record.backups
		reply.TimeLeft = max(0, record.deadline-now)
		reply.ProvenDead = n.provenDead(record.backups)
	}
	n.send(from, reply)
}

// handleGrantRequest begins the decision on a claim or a permit query, unless it can be
// rejected at once.
func (n *Node) handleGrantRequest(now Micros, from Member, m Message) {
	record := n.records[m.RequestID]
	if record == nil {
		n.rejectGrant(from, m, nil, ReasonUnknown)
		return
	}
	if decision := record.decision; decision != nil {
		if decision.requester != from || decision.request.QueryID != m.QueryID {
			n.rejectGrant(from, m, record, ReasonAlreadyClaimed) // the first requester has precedence
		}
		return
	}
	if record.lastReply.QueryID == m.QueryID && record.lastRequester == from {
		n.send(from, record.lastReply) // a duplicate gets the same reply
		return
	}
	if reason := n.rejectionReason(record, m); reason != ReasonNone {
		n.rejectGrant(from, m, record, reason)
		return
	}
	n.beginDecision(now, from, m, record)
}

// rejectionReason merges the holder in a claim or a permit query into the record. It returns
// the reason to reject the message at once, or ReasonNone.
func (n *Node) rejectionReason(record *requestRecord, m Message) Reason {
	holderAgrees := n.mergeHolder(record, m)
	switch {
	case m.Kind == MsgPermit && !holderAgrees && !n.disableFencing:
		return ReasonSuperseded
	case m.Kind == MsgClaim && m.NextResumeSeq <= record.resumeSeq:
		return ReasonAlreadyClaimed
	case record.permitGranted:
		return ReasonAttemptsExhausted
	case !n.isChainHead(record, m.Chain):
		return ReasonNoProof
	default:
		return ReasonNone
	}
}

// rejectGrant rejects a claim or a permit query. The record may be nil.
func (n *Node) rejectGrant(to Member, m Message, record *requestRecord, reason Reason) {
	reply := Message{Kind: replyKind(m.Kind), RequestID: m.RequestID, QueryID: m.QueryID, Reason: reason}
	if record != nil {
		reply.Holder = record.holder
		reply.Epoch = record.epoch
		reply.ResumeSeq = record.resumeSeq
	}
	n.send(to, reply)
}

// beginDecision begins to grant a permit to the holder, or requests the holder of a claimed
// request to stop.
func (n *Node) beginDecision(now Micros, from Member, m Message, record *requestRecord) {
	n.pendingDecisions[m.RequestID] = true
	decision := &pendingDecision{request: m, requester: from, startedAt: now, lastSentAt: now}
	record.decision = decision
	if m.Kind == MsgPermit {
		n.beginGrant(now, m.RequestID, record)
		return
	}
	decision.retransmit = Message{Kind: MsgRelease, RequestID: m.RequestID, QueryID: m.QueryID, Epoch: record.epoch}
	n.send(record.holder, decision.retransmit)
	if !n.isDead(record.holder) {
		n.probe(record.holder)
	}
	n.advanceDecision(now, m.RequestID, record)
}

// replyKind returns the kind of the reply to a claim or a permit query.
func replyKind(request MessageKind) MessageKind {
	if request == MsgClaim {
		return MsgClaimReply
	}
	return MsgPermitReply
}

// isChainHead reports whether this gateway is the head of a chain of a record's backups.
func (n *Node) isChainHead(record *requestRecord, chain int) bool {
	head, ok := n.chainHead(n.chainMembers(record.backups, chain))
	return ok && head == n.self
}

// handleReleaseReply handles the holder's confirmation that it runs no attempt of a request.
func (n *Node) handleReleaseReply(now Micros, from Member, m Message) {
	record := n.records[m.RequestID]
	if record == nil || record.decision == nil || record.holder != from {
		return
	}
	decision := record.decision
	if decision.request.Kind != MsgClaim || decision.request.QueryID != m.QueryID || len(decision.awaitingAcks) > 0 {
		return
	}
	if m.MayHaveRun && !record.policy.Idempotent {
		n.finishDecision(now, m.RequestID, record, ReasonMayHaveRun)
		return
	}
	n.beginGrant(now, m.RequestID, record)
}

// advanceDecision continues a decision where a proof of death or a timeout allows it.
func (n *Node) advanceDecision(now Micros, id string, record *requestRecord) {
	timedOut := now-record.decision.startedAt >= n.settings.ReplyTimeout
	if record.decision.awaitingAcks != nil {
		n.awaitChain(now, id, record, timedOut)
		return
	}
	n.awaitHolder(now, id, record, timedOut)
}

// awaitChain finishes a decision once all live members of the chain have recorded the grant.
func (n *Node) awaitChain(now Micros, id string, record *requestRecord, timedOut bool) {
	decision := record.decision
	waiting := slices.DeleteFunc(slices.Clone(decision.awaitingAcks), n.isDead)
	switch {
	case len(waiting) == 0:
		n.finishDecision(now, id, record, ReasonNone)
	case timedOut: // a member without the update may grant the permit again: the grant must not be used
		n.finishDecision(now, id, record, ReasonNoProof)
	case n.retransmitDue(now, &decision.lastSentAt):
		for _, member := range waiting {
			n.send(member, decision.retransmit)
			n.probe(member)
		}
	}
}

// awaitHolder decides on a claim whose holder has not confirmed that it has stopped.
func (n *Node) awaitHolder(now Micros, id string, record *requestRecord, timedOut bool) {
	decision := record.decision
	if n.retransmitDue(now, &decision.lastSentAt) && !n.isDead(record.holder) {
		n.send(record.holder, decision.retransmit)
		n.probe(record.holder) // repeated because a terminating process closes its port last
	}
	dead := n.isDead(record.holder)
	switch {
	case dead && !record.policy.Idempotent:
		n.finishDecision(now, id, record, ReasonMayHaveRun)
	case dead, n.disableDeathProof:
		n.beginGrant(now, id, record)
	case timedOut && record.policy.Hedgeable:
		n.beginGrant(now, id, record)
	case timedOut:
		n.finishDecision(now, id, record, ReasonNoProof)
	}
}

// beginGrant sends the grant of the permit to the live members behind this one in the chain.
// The requester receives the permit after they have recorded the grant.
func (n *Node) beginGrant(now Micros, id string, record *requestRecord) {
	decision := record.decision
	record.permitGranted = true
	decision.startedAt = now
	decision.lastSentAt = now
	decision.awaitingAcks = []Member{}
	decision.retransmit = decidedUpdate(now, record)
	decision.retransmit.RequestID = id
	for _, member := range n.chainMembers(record.backups, decision.request.Chain) {
		if member != n.self && !n.isDead(member) {
			decision.awaitingAcks = append(decision.awaitingAcks, member)
			n.send(member, decision.retransmit)
		}
	}
	n.advanceDecision(now, id, record)
}

// decidedUpdate returns an update to the record's state after the pending decision is granted.
func decidedUpdate(now Micros, record *requestRecord) Message {
	request := record.decision.request
	update := Message{
		Kind:          MsgUpdate,
		QueryID:       request.QueryID,
		Holder:        record.holder,
		Epoch:         record.epoch,
		ResumeSeq:     record.resumeSeq,
		Policy:        record.policy,
		TimeLeft:      max(0, record.deadline-now),
		Backups:       record.backups,
		PermitGranted: true,
		Chain:         request.Chain,
	}
	if request.Kind == MsgClaim {
		update.Holder = record.decision.requester
		update.Epoch = record.epoch + 1
		update.ResumeSeq = request.NextResumeSeq
	}
	return update
}

// finishDecision sends the result of a decision: granted for ReasonNone, else rejected.
func (n *Node) finishDecision(now Micros, id string, record *requestRecord, reason Reason) {
	decision := record.decision
	update := decidedUpdate(now, record)
	record.decision = nil
	if reason == ReasonNone {
		n.mergeHolder(record, update)
		record.expiresAt = now + n.settings.RecordTTL
	}
	record.lastRequester = decision.requester
	record.lastReply = Message{
		Kind:      replyKind(decision.request.Kind),
		RequestID: id,
		QueryID:   decision.request.QueryID,
		OK:        reason == ReasonNone,
		Reason:    reason,
		Holder:    record.holder,
		Epoch:     record.epoch,
		ResumeSeq: record.resumeSeq,
		Policy:    record.policy,
		TimeLeft:  max(0, record.deadline-now),
	}
	n.send(decision.requester, record.lastReply)
}

// handleUpdate records a new holder, and whether the permit is granted.
func (n *Node) handleUpdate(now Micros, from Member, m Message) {
	reply := Message{Kind: MsgUpdateReply, RequestID: m.RequestID, QueryID: m.QueryID}
	record := n.records[m.RequestID]
	if record == nil { // the update may arrive before the record itself
		record = n.addRecord(m)
		if record == nil {
			n.send(from, reply)
			return
		}
		record.deadline = now + m.TimeLeft
	}
	reply.OK = n.mergeHolder(record, m)
	record.permitGranted = record.permitGranted || m.PermitGranted
	record.expiresAt = now + n.settings.RecordTTL
	n.send(from, reply)
}

// handleUpdateReply handles the reply to an update of a decision, or of a claim.
func (n *Node) handleUpdateReply(now Micros, from Member, m Message) {
	record := n.records[m.RequestID]
	if record == nil || !record.awaitsAck(from, m.QueryID) {
		n.handleReply(now, from, m)
		return
	}
	record.decision.awaitingAcks = without(record.decision.awaitingAcks, from)
	if !m.OK {
		n.finishDecision(now, m.RequestID, record, ReasonAlreadyClaimed)
		return
	}
	n.advanceDecision(now, m.RequestID, record)
}

// awaitsAck reports whether the pending decision on a query waits for a member of the chain.
func (r *requestRecord) awaitsAck(from Member, queryID uint32) bool {
	return r.decision != nil && r.decision.request.QueryID == queryID && slices.Contains(r.decision.awaitingAcks, from)
}

// handlePermitReturn makes a granted permit available again that was not used because the new
// holder rejected the request. The members behind in the chain still record it as granted.
func (n *Node) handlePermitReturn(from Member, m Message) {
	record := n.records[m.RequestID]
	if record == nil || record.decision != nil {
		return
	}
	if record.holder == from && record.epoch == m.Epoch && n.isChainHead(record, m.Chain) {
		record.permitGranted = false
	}
}

// handleLeaseCheck replies whether a holder still has its lease according to the record here.
// Without a record the reply is OK.
func (n *Node) handleLeaseCheck(from Member, m Message) {
	valid := true
	if record := n.records[m.RequestID]; record != nil {
		holderAgrees := n.mergeHolder(record, m)
		claimPending := record.decision != nil && record.decision.request.Kind == MsgClaim
		valid = holderAgrees && !claimPending || n.disableFencing
	}
	n.send(from, Message{Kind: MsgLeaseCheckReply, RequestID: m.RequestID, QueryID: m.QueryID, OK: valid})
}
