package takeover

import "slices"

// The keeper's part.

// keep notes a request. A permit is there only where its first holder says so for
// the first time: who has forgotten what it gave away has nothing to give.
func (n *Node) keep(now Micros, from Member, m Message) {
	r := n.records[m.ID]
	if r == nil {
		if r = n.enter(m); r == nil {
			return
		}
		r.given = !m.Fresh
	}
	if from == m.Holder {
		n.newest(r, m)
	}
	if r.holder == from {
		r.until = now + n.s.Remember
		r.deadline = now + m.Left
	}
}

// enter makes a record, if there is room. The newest is turned away where there is
// none: to drop an older one would be to forget what was given away.
func (n *Node) enter(m Message) *record {
	if len(n.records) >= n.s.Most || n.each[m.Holder.Name] >= n.s.MostEach {
		n.refused++
		return nil
	}
	r := &record{holder: m.Holder, epoch: m.Epoch, ask: m.Ask, terms: m.Terms, keepers: m.Keepers, given: true}
	n.records[m.ID] = r
	n.each[m.Holder.Name]++
	return r
}

func (n *Node) forget(id string) {
	r := n.records[id]
	n.holderOf(r, Member{})
	delete(n.records, id)
}

func (n *Node) holderOf(r *record, to Member) {
	if n.each[r.holder.Name]--; n.each[r.holder.Name] <= 0 {
		delete(n.each, r.holder.Name)
	}
	if r.holder = to; to.Name != "" {
		n.each[to.Name]++
	}
}

// newest takes over what a message knows of the holder, if it knows more, and tells
// whether the record agrees with it then.
func (n *Node) newest(r *record, m Message) bool {
	if m.Epoch > r.epoch {
		n.holderOf(r, m.Holder)
		r.epoch, r.ask = m.Epoch, max(r.ask, m.Ask)
	}
	return r.epoch == m.Epoch && r.holder == m.Holder
}

func (n *Node) find(now Micros, from Member, m Message) {
	a := Message{Kind: Found, ID: m.ID, Op: m.Op}
	if r := n.records[m.ID]; r != nil {
		a.OK, a.Holder, a.Epoch, a.Ask, a.Terms, a.Keepers = true, r.holder, r.epoch, r.ask, r.terms, r.keepers
		a.Left, a.Dead = max(0, r.deadline-now), n.proofs(r.keepers)
	}
	n.send(from, a)
}

// asked begins a decision on a claim or a wish.
func (n *Node) asked(now Micros, from Member, m Message) {
	r := n.records[m.ID]
	no := func(why Reason) {
		a := Message{Kind: answerTo(m.Kind), ID: m.ID, Op: m.Op, Reason: why}
		if r != nil {
			a.Holder, a.Epoch, a.Ask = r.holder, r.epoch, r.ask
		}
		n.send(from, a)
	}
	if r == nil {
		no(Unknown)
		return
	}
	if r.op != nil {
		if r.op.from != from || r.op.m.Op != m.Op {
			no(Taken) // the one that asked first is being answered
		}
		return
	}
	if r.answer.Op == m.Op && r.asker == from { // a question that came twice has one answer
		n.send(from, r.answer)
		return
	}
	agrees := n.newest(r, m)
	switch {
	case m.Kind == Want && !agrees && !n.skipFence:
		no(Gone)
	case m.Kind == Claim && m.Next <= r.ask:
		no(Taken)
	case r.given:
		no(Spent)
	case !n.mayGive(r, m.Chain):
		no(NoProof)
	default:
		n.open[m.ID] = true
		r.op = &decision{m: m, from: from, since: now, again: now}
		if m.Kind == Claim {
			r.op.said = Message{Kind: Release, ID: m.ID, Op: m.Op, Epoch: r.epoch}
			n.send(r.holder, r.op.said)
			if !n.isDead(r.holder) {
				n.probe(r.holder)
			}
			n.decide(now, m.ID, r)
		} else {
			n.give(now, m.ID, r)
		}
	}
}

func answerTo(k Kind) Kind {
	if k == Claim {
		return Granted
	}
	return Given
}

// mayGive tells whether this gateway is the first of a chain that is not proven dead.
func (n *Node) mayGive(r *record, chain int) bool {
	m, ok := n.first(n.chain(r.keepers, chain))
	return ok && m == n.self
}

// released is the holder's word that nothing of it runs there any more.
func (n *Node) released(now Micros, from Member, m Message) {
	r := n.records[m.ID]
	if r == nil || r.op == nil || r.op.m.Kind != Claim || r.holder != from || r.op.m.Op != m.Op || len(r.op.marking) > 0 {
		return
	}
	if m.Ran && !r.terms.Repeat {
		n.settle(now, m.ID, r, MayRun)
		return
	}
	n.give(now, m.ID, r)
}

// decide takes a decision a step on, where a proof or the time allows.
func (n *Node) decide(now Micros, id string, r *record) {
	d := r.op
	late := now-d.since >= n.s.Silence
	if d.marking != nil {
		waiting := slices.DeleteFunc(slices.Clone(d.marking), n.isDead)
		switch {
		case len(waiting) == 0:
			n.settle(now, id, r, None)
		case late: // who stands behind may give it away again: it does not go out
			n.settle(now, id, r, NoProof)
		case n.again(now, &d.again):
			for _, m := range waiting {
				n.send(m, d.said)
				n.probe(m)
			}
		}
		return
	}
	if n.again(now, &d.again) && !n.isDead(r.holder) {
		n.send(r.holder, d.said)
		n.probe(r.holder) // again: a process that dies closes its port last of all
	}
	ended := n.isDead(r.holder)
	switch {
	case ended && !r.terms.Repeat:
		n.settle(now, id, r, MayRun)
	case ended, n.skipProof:
		n.give(now, id, r)
	case late && r.terms.Beside:
		n.give(now, id, r)
	case late:
		n.settle(now, id, r, NoProof)
	}
}

// give has those behind in the chain note that the permit is given away, and then
// gives it.
func (n *Node) give(now Micros, id string, r *record) {
	d := r.op
	r.given = true
	d.since, d.again, d.marking = now, now, []Member{}
	note := n.next(r)
	note.ID = id
	d.said = note
	for _, m := range n.chain(r.keepers, d.m.Chain) {
		if m != n.self && !n.isDead(m) {
			d.marking = append(d.marking, m)
			n.send(m, note)
		}
	}
	n.decide(now, id, r)
}

// next is the record as it will be once the decision stands.
func (n *Node) next(r *record) Message {
	m := Message{Kind: Mark, Op: r.op.m.Op, Holder: r.holder, Epoch: r.epoch, Ask: r.ask, Terms: r.terms, Keepers: r.keepers, Given: true, Chain: r.op.m.Chain}
	if r.op.m.Kind == Claim {
		m.Holder, m.Epoch, m.Ask = r.op.from, r.epoch+1, r.op.m.Next
	}
	return m
}

// settle ends a decision.
func (n *Node) settle(now Micros, id string, r *record, why Reason) {
	d, m := r.op, n.next(r)
	if r.op = nil; why == None {
		n.newest(r, m)
		r.until = now + n.s.Remember
	}
	r.asker = d.from
	r.answer = Message{Kind: answerTo(d.m.Kind), ID: id, Op: d.m.Op, OK: why == None, Reason: why, Holder: r.holder, Epoch: r.epoch,
		Ask: r.ask, Terms: r.terms, Left: max(0, r.deadline-now)}
	n.send(d.from, r.answer)
}

// mark notes the newest holder, and whether the permit is given away.
func (n *Node) mark(now Micros, from Member, m Message) {
	r := n.records[m.ID]
	if r == nil {
		if r = n.enter(m); r == nil { // the note may come before what it is about
			n.send(from, Message{Kind: Marked, ID: m.ID, Op: m.Op})
			return
		}
		r.deadline = now + m.Left
	}
	ok := n.newest(r, m)
	r.given = r.given || m.Given
	r.until = now + n.s.Remember
	n.send(from, Message{Kind: Marked, ID: m.ID, Op: m.Op, OK: ok})
}

// marked is the answer to a note: of a chain's keeper, or of a claim's.
func (n *Node) marked(now Micros, from Member, m Message) {
	if r := n.records[m.ID]; r != nil && r.op != nil && r.op.m.Op == m.Op && slices.Contains(r.op.marking, from) {
		r.op.marking = drop(r.op.marking, from)
		if !m.OK {
			n.settle(now, m.ID, r, Taken)
			return
		}
		n.decide(now, m.ID, r)
		return
	}
	n.answered(now, from, m)
}

// returned takes back a permit that was granted and not used: the module that it was
// for turned the request away. Those behind in the chain go on taking it for given.
func (n *Node) returned(_ Micros, from Member, m Message) {
	if r := n.records[m.ID]; r != nil && r.op == nil && r.holder == from && r.epoch == m.Epoch && n.mayGive(r, m.Chain) {
		r.given = false
	}
}

// checked tells a holder whether a request is still its own.
func (n *Node) checked(_ Micros, from Member, m Message) {
	ok := true
	if r := n.records[m.ID]; r != nil {
		ok = n.newest(r, m) && (r.op == nil || r.op.m.Kind != Claim) || n.skipFence
	}
	n.send(from, Message{Kind: Still, ID: m.ID, Op: m.Op, OK: ok})
}
