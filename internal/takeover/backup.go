package takeover

import "slices"

// The keeper's part.

// handleReplicate notes a request. A permit is there only where its first holder says so for
// the first time: who has forgotten what it gave away has nothing to give.
func (n *Node) handleReplicate(now Micros, from Member, m Message) {
	r := n.records[m.RequestID]
	if r == nil {
		if r = n.addRecord(m); r == nil {
			return
		}
		r.permitGranted = !m.Initial
	}
	if from == m.Holder {
		n.mergeHolder(r, m)
	}
	if r.holder == from {
		r.expiresAt = now + n.settings.RecordTTL
		r.deadline = now + m.TimeLeft
	}
}

// addRecord makes a record, if there is room. The newest is turned away where there is
// none: to drop an older one would be to forget what was given away.
func (n *Node) addRecord(m Message) *requestRecord {
	if len(n.records) >= n.settings.MaxRecords || n.recordsByHolder[m.Holder.Name] >= n.settings.MaxRecordsPerHolder {
		n.rejectedRecords++
		return nil
	}
	r := &requestRecord{holder: m.Holder, epoch: m.Epoch, resumeSeq: m.ResumeSeq, policy: m.Policy, backups: m.Backups, permitGranted: true}
	n.records[m.RequestID] = r
	n.recordsByHolder[m.Holder.Name]++
	return r
}

func (n *Node) removeRecord(id string) {
	r := n.records[id]
	n.setHolder(r, Member{})
	delete(n.records, id)
}

func (n *Node) setHolder(r *requestRecord, to Member) {
	if n.recordsByHolder[r.holder.Name]--; n.recordsByHolder[r.holder.Name] <= 0 {
		delete(n.recordsByHolder, r.holder.Name)
	}
	if r.holder = to; to.Name != "" {
		n.recordsByHolder[to.Name]++
	}
}

// mergeHolder takes over what a message knows of the holder, if it knows more, and tells
// whether the record agrees with it then.
func (n *Node) mergeHolder(r *requestRecord, m Message) bool {
	if m.Epoch > r.epoch {
		n.setHolder(r, m.Holder)
		r.epoch, r.resumeSeq = m.Epoch, max(r.resumeSeq, m.ResumeSeq)
	}
	return r.epoch == m.Epoch && r.holder == m.Holder
}

func (n *Node) handleLookup(now Micros, from Member, m Message) {
	a := Message{Kind: MsgLookupReply, RequestID: m.RequestID, QueryID: m.QueryID}
	if r := n.records[m.RequestID]; r != nil {
		a.OK, a.Holder, a.Epoch, a.ResumeSeq, a.Policy, a.Backups = true, r.holder, r.epoch, r.resumeSeq, r.policy, r.backups
		a.TimeLeft, a.ProvenDead = max(0, r.deadline-now), n.provenDead(r.backups)
	}
	n.send(from, a)
}

// handleGrantRequest begins a decision on a claim or a wish.
func (n *Node) handleGrantRequest(now Micros, from Member, m Message) {
	r := n.records[m.RequestID]
	no := func(why Reason) {
		a := Message{Kind: replyKind(m.Kind), RequestID: m.RequestID, QueryID: m.QueryID, Reason: why}
		if r != nil {
			a.Holder, a.Epoch, a.ResumeSeq = r.holder, r.epoch, r.resumeSeq
		}
		n.send(from, a)
	}
	if r == nil {
		no(ReasonUnknown)
		return
	}
	if r.decision != nil {
		if r.decision.requester != from || r.decision.request.QueryID != m.QueryID {
			no(ReasonAlreadyClaimed) // the one that asked first is being answered
		}
		return
	}
	if r.lastReply.QueryID == m.QueryID && r.lastRequester == from { // a question that came twice has one answer
		n.send(from, r.lastReply)
		return
	}
	agrees := n.mergeHolder(r, m)
	switch {
	case m.Kind == MsgPermit && !agrees && !n.disableFencing:
		no(ReasonSuperseded)
	case m.Kind == MsgClaim && m.NextResumeSeq <= r.resumeSeq:
		no(ReasonAlreadyClaimed)
	case r.permitGranted:
		no(ReasonAttemptsExhausted)
	case !n.isChainHead(r, m.Chain):
		no(ReasonNoProof)
	default:
		n.undecided[m.RequestID] = true
		r.decision = &pendingDecision{request: m, requester: from, startedAt: now, lastSentAt: now}
		if m.Kind == MsgClaim {
			r.decision.retransmit = Message{Kind: MsgRelease, RequestID: m.RequestID, QueryID: m.QueryID, Epoch: r.epoch}
			n.send(r.holder, r.decision.retransmit)
			if !n.isDead(r.holder) {
				n.probe(r.holder)
			}
			n.advanceDecision(now, m.RequestID, r)
		} else {
			n.beginGrant(now, m.RequestID, r)
		}
	}
}

func replyKind(k MessageKind) MessageKind {
	if k == MsgClaim {
		return MsgClaimReply
	}
	return MsgPermitReply
}

// isChainHead tells whether this gateway is the first of a chain that is not proven dead.
func (n *Node) isChainHead(r *requestRecord, chain int) bool {
	m, ok := n.chainHead(n.chainMembers(r.backups, chain))
	return ok && m == n.self
}

// handleReleaseReply is the holder's word that nothing of it runs there any more.
func (n *Node) handleReleaseReply(now Micros, from Member, m Message) {
	r := n.records[m.RequestID]
	if r == nil || r.decision == nil || r.decision.request.Kind != MsgClaim || r.holder != from || r.decision.request.QueryID != m.QueryID || len(r.decision.awaitingAcks) > 0 {
		return
	}
	if m.MayHaveRun && !r.policy.Idempotent {
		n.finishDecision(now, m.RequestID, r, ReasonMayHaveRun)
		return
	}
	n.beginGrant(now, m.RequestID, r)
}

// advanceDecision takes a decision a step on, where a proof or the time allows.
func (n *Node) advanceDecision(now Micros, id string, r *requestRecord) {
	d := r.decision
	late := now-d.startedAt >= n.settings.ReplyTimeout
	if d.awaitingAcks != nil {
		waiting := slices.DeleteFunc(slices.Clone(d.awaitingAcks), n.isDead)
		switch {
		case len(waiting) == 0:
			n.finishDecision(now, id, r, ReasonNone)
		case late: // who stands behind may give it away again: it does not go out
			n.finishDecision(now, id, r, ReasonNoProof)
		case n.retransmitDue(now, &d.lastSentAt):
			for _, m := range waiting {
				n.send(m, d.retransmit)
				n.probe(m)
			}
		}
		return
	}
	if n.retransmitDue(now, &d.lastSentAt) && !n.isDead(r.holder) {
		n.send(r.holder, d.retransmit)
		n.probe(r.holder) // again: a process that dies closes its port last of all
	}
	ended := n.isDead(r.holder)
	switch {
	case ended && !r.policy.Idempotent:
		n.finishDecision(now, id, r, ReasonMayHaveRun)
	case ended, n.disableDeathProof:
		n.beginGrant(now, id, r)
	case late && r.policy.Hedgeable:
		n.beginGrant(now, id, r)
	case late:
		n.finishDecision(now, id, r, ReasonNoProof)
	}
}

// beginGrant has those behind in the chain note that the permit is given away, and then
// gives it.
func (n *Node) beginGrant(now Micros, id string, r *requestRecord) {
	d := r.decision
	r.permitGranted = true
	d.startedAt, d.lastSentAt, d.awaitingAcks = now, now, []Member{}
	note := n.decidedUpdate(r)
	note.RequestID = id
	d.retransmit = note
	for _, m := range n.chainMembers(r.backups, d.request.Chain) {
		if m != n.self && !n.isDead(m) {
			d.awaitingAcks = append(d.awaitingAcks, m)
			n.send(m, note)
		}
	}
	n.advanceDecision(now, id, r)
}

// decidedUpdate is the record as it will be once the decision stands.
func (n *Node) decidedUpdate(r *requestRecord) Message {
	m := Message{Kind: MsgUpdate, QueryID: r.decision.request.QueryID, Holder: r.holder, Epoch: r.epoch, ResumeSeq: r.resumeSeq, Policy: r.policy, Backups: r.backups, PermitGranted: true, Chain: r.decision.request.Chain}
	if r.decision.request.Kind == MsgClaim {
		m.Holder, m.Epoch, m.ResumeSeq = r.decision.requester, r.epoch+1, r.decision.request.NextResumeSeq
	}
	return m
}

// finishDecision ends a decision.
func (n *Node) finishDecision(now Micros, id string, r *requestRecord, why Reason) {
	d, m := r.decision, n.decidedUpdate(r)
	if r.decision = nil; why == ReasonNone {
		n.mergeHolder(r, m)
		r.expiresAt = now + n.settings.RecordTTL
	}
	r.lastRequester = d.requester
	r.lastReply = Message{Kind: replyKind(d.request.Kind), RequestID: id, QueryID: d.request.QueryID, OK: why == ReasonNone, Reason: why, Holder: r.holder, Epoch: r.epoch,
		ResumeSeq: r.resumeSeq, Policy: r.policy, TimeLeft: max(0, r.deadline-now)}
	n.send(d.requester, r.lastReply)
}

// handleUpdate notes the newest holder, and whether the permit is given away.
func (n *Node) handleUpdate(now Micros, from Member, m Message) {
	r := n.records[m.RequestID]
	if r == nil {
		if r = n.addRecord(m); r == nil { // the note may come before what it is about
			n.send(from, Message{Kind: MsgUpdateReply, RequestID: m.RequestID, QueryID: m.QueryID})
			return
		}
		r.deadline = now + m.TimeLeft
	}
	ok := n.mergeHolder(r, m)
	r.permitGranted = r.permitGranted || m.PermitGranted
	r.expiresAt = now + n.settings.RecordTTL
	n.send(from, Message{Kind: MsgUpdateReply, RequestID: m.RequestID, QueryID: m.QueryID, OK: ok})
}

// handleUpdateReply is the answer to a note: of a chain's keeper, or of a claim's.
func (n *Node) handleUpdateReply(now Micros, from Member, m Message) {
	if r := n.records[m.RequestID]; r != nil && r.decision != nil && r.decision.request.QueryID == m.QueryID && slices.Contains(r.decision.awaitingAcks, from) {
		r.decision.awaitingAcks = without(r.decision.awaitingAcks, from)
		if !m.OK {
			n.finishDecision(now, m.RequestID, r, ReasonAlreadyClaimed)
			return
		}
		n.advanceDecision(now, m.RequestID, r)
		return
	}
	n.handleReply(now, from, m)
}

// handlePermitReturn takes back a permit that was granted and not used: the module that it was
// for turned the request away. Those behind in the chain go on taking it for given.
func (n *Node) handlePermitReturn(_ Micros, from Member, m Message) {
	if r := n.records[m.RequestID]; r != nil && r.decision == nil && r.holder == from && r.epoch == m.Epoch && n.isChainHead(r, m.Chain) {
		r.permitGranted = false
	}
}

// handleLeaseCheck tells a holder whether a request is still its own.
func (n *Node) handleLeaseCheck(_ Micros, from Member, m Message) {
	ok := true
	if r := n.records[m.RequestID]; r != nil {
		ok = n.mergeHolder(r, m) && (r.decision == nil || r.decision.request.Kind != MsgClaim) || n.disableFencing
	}
	n.send(from, Message{Kind: MsgLeaseCheckReply, RequestID: m.RequestID, QueryID: m.QueryID, OK: ok})
}
