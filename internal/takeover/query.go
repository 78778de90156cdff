package takeover

import "slices"

// retransmitsPerTimeout is the number of times that a message without a reply is resent within
// Settings.ReplyTimeout.
const retransmitsPerTimeout = 4

// pendingQuery is a message to one or more gateways whose replies are awaited.
type pendingQuery struct {
	id         uint32
	retransmit Message // resent to the members of unanswered, because it may have been lost
	lastSentAt Micros
	chain      int
	to         Member // head of the chain, which the query was sent to
	startedAt  Micros
	unanswered []Member // members whose reply is awaited
}

// startQuery sends a message to the given members that are not proven dead.
func (n *Node) startQuery(now Micros, query *pendingQuery, to []Member, m Message) {
	query.startedAt = now
	query.lastSentAt = now
	query.unanswered = nil
	for _, member := range to {
		if !n.isDead(member) {
			query.unanswered = append(query.unanswered, member)
		}
	}
	n.lastQueryID++
	query.id = n.lastQueryID
	m.QueryID = n.lastQueryID
	query.retransmit = m
	for _, member := range query.unanswered {
		n.send(member, m)
	}
}

// refreshQuery stops waiting for members that are proven dead, resends the message to the other
// unanswered members if that is due, and returns how long the query has been pending.
func (n *Node) refreshQuery(now Micros, query *pendingQuery) (elapsed Micros) {
	query.unanswered = slices.DeleteFunc(query.unanswered, n.isDead)
	if n.retransmitDue(now, &query.lastSentAt) {
		for _, member := range query.unanswered {
			n.send(member, query.retransmit)
			n.probe(member)
		}
	}
	return now - query.startedAt
}

// retransmitDue reports whether a message that was last sent at *lastSentAt has to be resent,
// and if so sets *lastSentAt to now.
func (n *Node) retransmitDue(now Micros, lastSentAt *Micros) bool {
	if now-*lastSentAt < n.settings.ReplyTimeout/retransmitsPerTimeout {
		return false
	}
	*lastSentAt = now
	return true
}
