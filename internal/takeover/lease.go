package takeover

import "slices"

// The holder's part, and the claimant's.

// Acquire takes a request into this gateway's hands: it is the first to have it. The
// keepers are told at once, and nothing waits for them.
func (n *Node) Acquire(now Micros, id string, terms RetryPolicy, left Micros, keepers []Member) {
	if n.leases[id] != nil {
		return
	}
	h := &leaseState{epoch: 1, policy: terms, deadline: now + left, backups: keepers, exhausted: make([]bool, n.settings.Permits)}
	n.leases[id] = h
	n.replicate(now, id, h, true)
}

func (n *Node) replicate(now Micros, id string, h *leaseState, fresh bool) {
	h.lastReplicatedAt = now
	for _, k := range h.backups {
		if !n.isDead(k) {
			n.send(k, Message{Kind: MsgReplicate, RequestID: id, Holder: n.self, Epoch: h.epoch, ResumeSeq: h.resumeSeq, Policy: h.policy,
				TimeLeft: max(0, h.deadline-now), Backups: h.backups, Initial: fresh})
		}
	}
}

// Release ends a hold: the request is answered and nothing of it runs here. ran tells
// whether an attempt may have run.
func (n *Node) Release(now Micros, id string, ran bool) {
	h := n.leases[id]
	if h == nil {
		return
	}
	if !ran && h.grantor.Name != "" {
		n.send(h.grantor, Message{Kind: MsgPermitReturn, RequestID: id, Holder: n.self, Epoch: h.epoch, Chain: h.grantorChain})
	}
	n.Stopped(now, id, ran)
}

// SetBackups gives a hold keepers that it began without: this gateway knew of no other.
func (n *Node) SetBackups(now Micros, id string, keepers []Member) {
	if h := n.leases[id]; h != nil && h.epoch == 1 && len(h.backups) == 0 && len(keepers) > 0 {
		h.backups = keepers
		n.replicate(now, id, h, true)
	}
}

// Stopped says that what Stop asked for is done. ran tells whether an attempt may
// have run.
func (n *Node) Stopped(now Micros, id string, ran bool) {
	h := n.leases[id]
	if h == nil {
		return
	}
	delete(n.leases, id)
	for _, q := range h.releaseQueries {
		n.send(q.to, Message{Kind: MsgReleaseReply, RequestID: id, QueryID: q.id, OK: true, MayHaveRun: ran})
	}
}

// handleRelease is a keeper's word that the request goes on elsewhere.
func (n *Node) handleRelease(now Micros, from Member, m Message) {
	// A grant that is on its way, or waits to be noted, is not to be used: the
	// keeper takes this gateway for the holder already.
	if c := n.claims[m.RequestID]; c != nil && (c.phase == phaseClaim && m.Epoch > c.latest.Epoch || c.phase == phaseReplicate && m.Epoch >= c.latest.Epoch) {
		n.rejectClaim(m.RequestID, c, ReasonSuperseded)
	}
	h := n.leases[m.RequestID]
	if h == nil {
		n.send(from, Message{Kind: MsgReleaseReply, RequestID: m.RequestID, QueryID: m.QueryID, OK: true, MayHaveRun: true})
		return
	}
	if m.Epoch < h.epoch {
		return // about an earlier holder's
	}
	if !slices.ContainsFunc(h.releaseQueries, func(q pendingQuery) bool { return q.to == from && q.id == m.QueryID }) {
		h.releaseQueries = append(h.releaseQueries, pendingQuery{to: from, id: m.QueryID})
	}
	n.stopLease(m.RequestID, h)
}

func (n *Node) stopLease(id string, h *leaseState) {
	if h.stopped {
		return
	}
	h.stopped = true
	if h.permitQuery != nil {
		h.permitQuery = nil
		n.outputs = append(n.outputs, Output{Action: ActionPermitResult, RequestID: id})
	}
	if h.leaseCheck != nil {
		h.leaseCheck = nil
		n.outputs = append(n.outputs, Output{Action: ActionLeaseCheckResult, RequestID: id})
	}
	n.outputs = append(n.outputs, Output{Action: ActionStop, RequestID: id})
}

// RequestPermit asks for a permit to send once more. One question is asked at a time.
func (n *Node) RequestPermit(now Micros, id string) {
	h := n.leases[id]
	if h == nil || h.stopped || h.permitQuery != nil {
		n.outputs = append(n.outputs, Output{Action: ActionPermitResult, RequestID: id})
		return
	}
	h.permitQuery = &pendingQuery{chain: -1}
	n.queryNextChain(now, id, h)
}

// queryNextChain puts the wish to the next chain that may have something to give.
func (n *Node) queryNextChain(now Micros, id string, h *leaseState) {
	q := h.permitQuery
	for q.chain++; q.chain < n.chainCount(h.backups); q.chain++ {
		if h.exhausted[q.chain] {
			continue
		}
		if to, ok := n.chainHead(n.chainMembers(h.backups, q.chain)); ok {
			n.sendPermitQuery(now, id, h, to)
			return
		}
	}
	h.permitQuery = nil
	n.outputs = append(n.outputs, Output{Action: ActionPermitResult, RequestID: id})
}

func (n *Node) sendPermitQuery(now Micros, id string, h *leaseState, to Member) {
	q := h.permitQuery
	q.to = to
	n.startQuery(now, q, []Member{to}, Message{Kind: MsgPermit, RequestID: id, Holder: n.self, Epoch: h.epoch, ResumeSeq: h.resumeSeq, Chain: q.chain,
		ProvenDead: n.provenDead(n.chainMembers(h.backups, q.chain))})
}

func (n *Node) advancePermitQuery(now Micros, id string, h *leaseState) {
	q := h.permitQuery
	switch late := n.refreshQuery(now, q); {
	case n.isDead(q.to):
		if to, ok := n.chainHead(n.chainMembers(h.backups, q.chain)); ok {
			n.sendPermitQuery(now, id, h, to)
		} else {
			n.queryNextChain(now, id, h)
		}
	case late >= 2*n.settings.ReplyTimeout: // the keeper itself waits for one behind it
		h.exhausted[q.chain] = true // what is given now is not heard any more
		n.queryNextChain(now, id, h)
	}
}

// CheckLease asks whether a request is still this gateway's own: after a freeze, before
// anything of it is sent, passed on or charged.
func (n *Node) CheckLease(now Micros, id string) {
	h := n.leases[id]
	if h == nil || h.stopped {
		n.outputs = append(n.outputs, Output{Action: ActionLeaseCheckResult, RequestID: id})
		return
	}
	if h.leaseCheck != nil {
		return
	}
	h.leaseCheck = &pendingQuery{}
	n.startQuery(now, h.leaseCheck, h.backups, Message{Kind: MsgLeaseCheck, RequestID: id, Holder: n.self, Epoch: h.epoch, ResumeSeq: h.resumeSeq})
	n.advanceLeaseCheck(now, id, h)
}

func (n *Node) advanceLeaseCheck(now Micros, id string, h *leaseState) {
	q := h.leaseCheck
	switch late := n.refreshQuery(now, q); {
	case len(q.unanswered) == 0:
		h.leaseCheck = nil
		n.outputs = append(n.outputs, Output{Action: ActionLeaseCheckResult, RequestID: id, OK: true})
	case late >= n.settings.ReplyTimeout: // one that cannot be asked may have given it to another
		n.stopLease(id, h)
	}
}

// Claim asks for a request that a client wants the rest of. ask counts the client's
// asks for it, from 1. The candidates are who may be its keepers, by the ranks that
// this gateway sees. The answer is an Output of kind Claimed.
func (n *Node) Claim(now Micros, id string, ask uint32, candidates []Member) {
	if n.claims[id] != nil || ask == 0 {
		n.outputs = append(n.outputs, Output{Action: ActionClaimResult, RequestID: id, ResumeSeq: ask, Reason: ReasonAlreadyClaimed})
		return
	}
	c := &claimState{resumeSeq: ask, pendingQuery: pendingQuery{chain: -1}}
	n.claims[id] = c
	n.startQuery(now, &c.pendingQuery, candidates, Message{Kind: MsgLookup, RequestID: id})
	n.advanceClaim(now, id, c)
}

// AbandonClaim ends a claim whose client has gone.
func (n *Node) AbandonClaim(id string) { delete(n.claims, id) }

func (n *Node) rejectClaim(id string, c *claimState, why Reason) {
	delete(n.claims, id)
	n.outputs = append(n.outputs, Output{Action: ActionClaimResult, RequestID: id, ResumeSeq: c.resumeSeq, Reason: why})
}

// advanceClaim takes a claim a step on.
func (n *Node) advanceClaim(now Micros, id string, c *claimState) {
	late := n.refreshQuery(now, &c.pendingQuery)
	switch c.phase {
	case phaseLookup:
		// The first to know it will do: its list has all the others.
		if c.found {
			n.claimNextChain(now, id, c)
		} else if len(c.unanswered) == 0 || late >= n.settings.ReplyTimeout {
			n.rejectClaim(id, c, ReasonUnknown)
		}
	case phaseClaim:
		switch {
		case n.isDead(c.to):
			c.chain-- // the same one once more, at who stands behind
			n.claimNextChain(now, id, c)
		case late >= 3*n.settings.ReplyTimeout: // it waits for the holder, then for those behind it
			if !c.latest.Policy.Hedgeable {
				n.rejectClaim(id, c, ReasonNoProof)
				return
			}
			n.claimNextChain(now, id, c)
		}
	case phaseReplicate:
		if len(c.unanswered) == 0 {
			n.completeClaim(now, id, c)
		} else if late >= n.settings.ReplyTimeout {
			n.rejectClaim(id, c, ReasonNoProof)
		}
	}
}

// claimNextChain puts the claim to the next chain.
func (n *Node) claimNextChain(now Micros, id string, c *claimState) {
	c.phase, c.unanswered = phaseClaim, nil
	for c.chain++; c.chain < n.chainCount(c.latest.Backups); c.chain++ {
		chain := n.chainMembers(c.latest.Backups, c.chain)
		to, ok := n.chainHead(chain)
		if !ok {
			continue
		}
		c.to = to
		n.startQuery(now, &c.pendingQuery, []Member{to}, Message{Kind: MsgClaim, RequestID: id, ResumeSeq: c.latest.ResumeSeq, NextResumeSeq: c.resumeSeq, Chain: c.chain, Holder: c.latest.Holder, Epoch: c.latest.Epoch,
			ProvenDead: n.provenDead(chain)})
		return
	}
	n.rejectClaim(id, c, ReasonAttemptsExhausted)
}

// handleReply takes the answer to one of this gateway's own questions.
func (n *Node) handleReply(now Micros, from Member, m Message) {
	if h := n.leases[m.RequestID]; h != nil && (m.Kind == MsgPermitReply || m.Kind == MsgLeaseCheckReply) {
		n.handleHolderReply(now, from, m, h)
		return
	}
	c := n.claims[m.RequestID]
	if c == nil || c.id != m.QueryID {
		return
	}
	switch {
	case m.Kind == MsgLookupReply && c.phase == phaseLookup:
		c.unanswered = without(c.unanswered, from)
		if m.OK {
			c.found, c.latest, c.deadline = true, m, now+m.TimeLeft
		}
		n.advanceClaim(now, m.RequestID, c)
	case m.Kind == MsgClaimReply && c.phase == phaseClaim && from == c.to:
		if m.Epoch > c.latest.Epoch {
			c.latest.Holder, c.latest.Epoch, c.latest.ResumeSeq = m.Holder, m.Epoch, m.ResumeSeq
		}
		switch {
		case m.OK:
			c.grantor = from
			n.replicateClaim(now, m.RequestID, c)
		case m.Reason == ReasonAttemptsExhausted || m.Reason == ReasonUnknown:
			n.claimNextChain(now, m.RequestID, c)
		default:
			n.rejectClaim(m.RequestID, c, m.Reason)
		}
	case m.Kind == MsgUpdateReply && c.phase == phaseReplicate:
		if c.unanswered = without(c.unanswered, from); !m.OK {
			n.rejectClaim(m.RequestID, c, ReasonAlreadyClaimed)
			return
		}
		n.advanceClaim(now, m.RequestID, c)
	}
}

// replicateClaim tells all keepers of the new holder. Where nothing may run beside the
// work taken over, all have to have noted it, or be dead, before it begins.
func (n *Node) replicateClaim(now Micros, id string, c *claimState) {
	c.phase = phaseReplicate
	others := without(c.latest.Backups, c.to)
	n.startQuery(now, &c.pendingQuery, others, Message{Kind: MsgUpdate, RequestID: id, Holder: n.self, Epoch: c.latest.Epoch, ResumeSeq: c.resumeSeq, Policy: c.latest.Policy, Backups: c.latest.Backups,
		TimeLeft: max(0, c.deadline-now)})
	if c.latest.Policy.Hedgeable {
		n.completeClaim(now, id, c)
		return
	}
	n.advanceClaim(now, id, c)
}

// completeClaim makes a claimed request this gateway's own.
func (n *Node) completeClaim(now Micros, id string, c *claimState) {
	delete(n.claims, id)
	h := &leaseState{grantor: c.grantor, grantorChain: c.chain, epoch: c.latest.Epoch, resumeSeq: c.resumeSeq, policy: c.latest.Policy, deadline: c.deadline, backups: c.latest.Backups, lastReplicatedAt: now, exhausted: make([]bool, n.settings.Permits)}
	for i := range c.chain + 1 {
		h.exhausted[i] = true
	}
	if old := n.leases[id]; old != nil { // it was this gateway's before, and stopped
		for _, q := range old.releaseQueries {
			n.send(q.to, Message{Kind: MsgReleaseReply, RequestID: id, QueryID: q.id, OK: true, MayHaveRun: true})
		}
	}
	n.leases[id] = h
	n.outputs = append(n.outputs, Output{Action: ActionClaimResult, RequestID: id, ResumeSeq: c.resumeSeq, OK: true, TimeLeft: max(0, c.deadline-now), AttemptsMade: c.chain + 1})
}

func (n *Node) handleHolderReply(now Micros, from Member, m Message, h *leaseState) {
	if q := h.leaseCheck; m.Kind == MsgLeaseCheckReply && q != nil && q.id == m.QueryID {
		if q.unanswered = without(q.unanswered, from); !m.OK {
			n.stopLease(m.RequestID, h)
			return
		}
		n.advanceLeaseCheck(now, m.RequestID, h)
		return
	}
	q := h.permitQuery
	if m.Kind != MsgPermitReply || q == nil || q.id != m.QueryID || q.to != from {
		return
	}
	switch {
	case m.OK:
		h.exhausted[q.chain], h.permitQuery = true, nil
		n.outputs = append(n.outputs, Output{Action: ActionPermitResult, RequestID: m.RequestID, OK: true})
	case m.Reason == ReasonSuperseded:
		n.stopLease(m.RequestID, h)
	default:
		h.exhausted[q.chain] = true
		n.queryNextChain(now, m.RequestID, h)
	}
}
