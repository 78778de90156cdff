package takeover

import "slices"

// The holder's part, and the claimant's.

// Hold takes a request into this gateway's hands: it is the first to have it. The
// keepers are told at once, and nothing waits for them.
func (n *Node) Hold(now Micros, id string, terms Terms, left Micros, keepers []Member) {
	if n.holds[id] != nil {
		return
	}
	h := &hold{epoch: 1, terms: terms, deadline: now + left, keepers: keepers, spent: make([]bool, n.s.Permits)}
	n.holds[id] = h
	n.tell(now, id, h, true)
}

func (n *Node) tell(now Micros, id string, h *hold, fresh bool) {
	h.told = now
	for _, k := range h.keepers {
		if !n.isDead(k) {
			n.send(k, Message{Kind: Keep, ID: id, Holder: n.self, Epoch: h.epoch, Ask: h.ask, Terms: h.terms,
				Left: max(0, h.deadline-now), Keepers: h.keepers, Fresh: fresh})
		}
	}
}

// Let ends a hold: the request is answered and nothing of it runs here. ran tells
// whether an attempt may have run.
func (n *Node) Let(now Micros, id string, ran bool) {
	h := n.holds[id]
	if h == nil {
		return
	}
	if !ran && h.giver.Name != "" {
		n.send(h.giver, Message{Kind: Return, ID: id, Holder: n.self, Epoch: h.epoch, Chain: h.chain})
	}
	n.Stopped(now, id, ran)
}

// Keepers gives a hold keepers that it began without: this gateway knew of no other.
func (n *Node) Keepers(now Micros, id string, keepers []Member) {
	if h := n.holds[id]; h != nil && h.epoch == 1 && len(h.keepers) == 0 && len(keepers) > 0 {
		h.keepers = keepers
		n.tell(now, id, h, true)
	}
}

// Stopped says that what Stop asked for is done. ran tells whether an attempt may
// have run.
func (n *Node) Stopped(now Micros, id string, ran bool) {
	h := n.holds[id]
	if h == nil {
		return
	}
	delete(n.holds, id)
	for _, q := range h.release {
		n.send(q.to, Message{Kind: Released, ID: id, Op: q.op, OK: true, Ran: ran})
	}
}

// releaseAsked is a keeper's word that the request goes on elsewhere.
func (n *Node) releaseAsked(now Micros, from Member, m Message) {
	// A grant that is on its way, or waits to be noted, is not to be used: the
	// keeper takes this gateway for the holder already.
	if c := n.claims[m.ID]; c != nil && (c.phase == claiming && m.Epoch > c.rec.Epoch || c.phase == marking && m.Epoch >= c.rec.Epoch) {
		n.refuse(m.ID, c, Gone)
	}
	h := n.holds[m.ID]
	if h == nil {
		n.send(from, Message{Kind: Released, ID: m.ID, Op: m.Op, OK: true, Ran: true})
		return
	}
	if m.Epoch < h.epoch {
		return // about an earlier holder's
	}
	if !slices.ContainsFunc(h.release, func(q question) bool { return q.to == from && q.op == m.Op }) {
		h.release = append(h.release, question{to: from, op: m.Op})
	}
	n.stop(m.ID, h)
}

func (n *Node) stop(id string, h *hold) {
	if h.stopped {
		return
	}
	h.stopped = true
	if h.want != nil {
		h.want = nil
		n.out = append(n.out, Output{Do: Permit, ID: id})
	}
	if h.check != nil {
		h.check = nil
		n.out = append(n.out, Output{Do: Confirmed, ID: id})
	}
	n.out = append(n.out, Output{Do: Stop, ID: id})
}

// Want asks for a permit to send once more. One question is asked at a time.
func (n *Node) Want(now Micros, id string) {
	h := n.holds[id]
	if h == nil || h.stopped || h.want != nil {
		n.out = append(n.out, Output{Do: Permit, ID: id})
		return
	}
	h.want = &question{chain: -1}
	n.nextChain(now, id, h)
}

// nextChain puts the wish to the next chain that may have something to give.
func (n *Node) nextChain(now Micros, id string, h *hold) {
	q := h.want
	for q.chain++; q.chain < n.chains(h.keepers); q.chain++ {
		if h.spent[q.chain] {
			continue
		}
		if to, ok := n.first(n.chain(h.keepers, q.chain)); ok {
			n.putWant(now, id, h, to)
			return
		}
	}
	h.want = nil
	n.out = append(n.out, Output{Do: Permit, ID: id})
}

func (n *Node) putWant(now Micros, id string, h *hold, to Member) {
	q := h.want
	q.to = to
	n.ask(now, q, []Member{to}, Message{Kind: Want, ID: id, Holder: n.self, Epoch: h.epoch, Ask: h.ask, Chain: q.chain,
		Dead: n.proofs(n.chain(h.keepers, q.chain))})
}

func (n *Node) wanting(now Micros, id string, h *hold) {
	q := h.want
	switch late := n.wait(now, q); {
	case n.isDead(q.to):
		if to, ok := n.first(n.chain(h.keepers, q.chain)); ok {
			n.putWant(now, id, h, to)
		} else {
			n.nextChain(now, id, h)
		}
	case late >= 2*n.s.Silence: // the keeper itself waits for one behind it
		h.spent[q.chain] = true // what is given now is not heard any more
		n.nextChain(now, id, h)
	}
}

// Check asks whether a request is still this gateway's own: after a freeze, before
// anything of it is sent, passed on or charged.
func (n *Node) Check(now Micros, id string) {
	h := n.holds[id]
	if h == nil || h.stopped {
		n.out = append(n.out, Output{Do: Confirmed, ID: id})
		return
	}
	if h.check != nil {
		return
	}
	h.check = &question{}
	n.ask(now, h.check, h.keepers, Message{Kind: Check, ID: id, Holder: n.self, Epoch: h.epoch, Ask: h.ask})
	n.checking(now, id, h)
}

func (n *Node) checking(now Micros, id string, h *hold) {
	q := h.check
	switch late := n.wait(now, q); {
	case len(q.waiting) == 0:
		h.check = nil
		n.out = append(n.out, Output{Do: Confirmed, ID: id, OK: true})
	case late >= n.s.Silence: // one that cannot be asked may have given it to another
		n.stop(id, h)
	}
}

// Claim asks for a request that a client wants the rest of. ask counts the client's
// asks for it, from 1. The candidates are who may be its keepers, by the ranks that
// this gateway sees. The answer is an Output of kind Claimed.
func (n *Node) Claim(now Micros, id string, ask uint32, candidates []Member) {
	if n.claims[id] != nil || ask == 0 {
		n.out = append(n.out, Output{Do: Claimed, ID: id, Ask: ask, Reason: Taken})
		return
	}
	c := &claim{ask: ask, question: question{chain: -1}}
	n.claims[id] = c
	n.ask(now, &c.question, candidates, Message{Kind: Find, ID: id})
	n.claiming(now, id, c)
}

// Abandon ends a claim whose client has gone.
func (n *Node) Abandon(id string) { delete(n.claims, id) }

func (n *Node) refuse(id string, c *claim, why Reason) {
	delete(n.claims, id)
	n.out = append(n.out, Output{Do: Claimed, ID: id, Ask: c.ask, Reason: why})
}

// claiming takes a claim a step on.
func (n *Node) claiming(now Micros, id string, c *claim) {
	late := n.wait(now, &c.question)
	switch c.phase {
	case finding:
		// The first to know it will do: its list has all the others.
		if c.found {
			n.claimNext(now, id, c)
		} else if len(c.waiting) == 0 || late >= n.s.Silence {
			n.refuse(id, c, Unknown)
		}
	case claiming:
		switch {
		case n.isDead(c.to):
			c.chain-- // the same one once more, at who stands behind
			n.claimNext(now, id, c)
		case late >= 3*n.s.Silence: // it waits for the holder, then for those behind it
			if !c.rec.Terms.Beside {
				n.refuse(id, c, NoProof)
				return
			}
			n.claimNext(now, id, c)
		}
	case marking:
		if len(c.waiting) == 0 {
			n.take(now, id, c)
		} else if late >= n.s.Silence {
			n.refuse(id, c, NoProof)
		}
	}
}

// claimNext puts the claim to the next chain.
func (n *Node) claimNext(now Micros, id string, c *claim) {
	c.phase, c.waiting = claiming, nil
	for c.chain++; c.chain < n.chains(c.rec.Keepers); c.chain++ {
		chain := n.chain(c.rec.Keepers, c.chain)
		to, ok := n.first(chain)
		if !ok {
			continue
		}
		c.to = to
		n.ask(now, &c.question, []Member{to}, Message{Kind: Claim, ID: id, Ask: c.rec.Ask, Next: c.ask, Chain: c.chain, Holder: c.rec.Holder, Epoch: c.rec.Epoch,
			Dead: n.proofs(chain)})
		return
	}
	n.refuse(id, c, Spent)
}

// answered takes the answer to one of this gateway's own questions.
func (n *Node) answered(now Micros, from Member, m Message) {
	if h := n.holds[m.ID]; h != nil && (m.Kind == Given || m.Kind == Still) {
		n.answeredHolder(now, from, m, h)
		return
	}
	c := n.claims[m.ID]
	if c == nil || c.op != m.Op {
		return
	}
	switch {
	case m.Kind == Found && c.phase == finding:
		c.waiting = drop(c.waiting, from)
		if m.OK {
			c.found, c.rec, c.deadline = true, m, now+m.Left
		}
		n.claiming(now, m.ID, c)
	case m.Kind == Granted && c.phase == claiming && from == c.to:
		if m.Epoch > c.rec.Epoch {
			c.rec.Holder, c.rec.Epoch, c.rec.Ask = m.Holder, m.Epoch, m.Ask
		}
		switch {
		case m.OK:
			c.giver = from
			n.register(now, m.ID, c)
		case m.Reason == Spent || m.Reason == Unknown:
			n.claimNext(now, m.ID, c)
		default:
			n.refuse(m.ID, c, m.Reason)
		}
	case m.Kind == Marked && c.phase == marking:
		if c.waiting = drop(c.waiting, from); !m.OK {
			n.refuse(m.ID, c, Taken)
			return
		}
		n.claiming(now, m.ID, c)
	}
}

// register tells all keepers of the new holder. Where nothing may run beside the
// work taken over, all have to have noted it, or be dead, before it begins.
func (n *Node) register(now Micros, id string, c *claim) {
	c.phase = marking
	others := drop(c.rec.Keepers, c.to)
	n.ask(now, &c.question, others, Message{Kind: Mark, ID: id, Holder: n.self, Epoch: c.rec.Epoch, Ask: c.ask, Terms: c.rec.Terms, Keepers: c.rec.Keepers,
		Left: max(0, c.deadline-now)})
	if c.rec.Terms.Beside {
		n.take(now, id, c)
		return
	}
	n.claiming(now, id, c)
}

// take makes a claimed request this gateway's own.
func (n *Node) take(now Micros, id string, c *claim) {
	delete(n.claims, id)
	h := &hold{giver: c.giver, chain: c.chain, epoch: c.rec.Epoch, ask: c.ask, terms: c.rec.Terms, deadline: c.deadline, keepers: c.rec.Keepers, told: now, spent: make([]bool, n.s.Permits)}
	for i := range c.chain + 1 {
		h.spent[i] = true
	}
	if old := n.holds[id]; old != nil { // it was this gateway's before, and stopped
		for _, q := range old.release {
			n.send(q.to, Message{Kind: Released, ID: id, Op: q.op, OK: true, Ran: true})
		}
	}
	n.holds[id] = h
	n.out = append(n.out, Output{Do: Claimed, ID: id, Ask: c.ask, OK: true, Left: max(0, c.deadline-now), Made: c.chain + 1})
}

func (n *Node) answeredHolder(now Micros, from Member, m Message, h *hold) {
	if q := h.check; m.Kind == Still && q != nil && q.op == m.Op {
		if q.waiting = drop(q.waiting, from); !m.OK {
			n.stop(m.ID, h)
			return
		}
		n.checking(now, m.ID, h)
		return
	}
	q := h.want
	if m.Kind != Given || q == nil || q.op != m.Op || q.to != from {
		return
	}
	switch {
	case m.OK:
		h.spent[q.chain], h.want = true, nil
		n.out = append(n.out, Output{Do: Permit, ID: m.ID, OK: true})
	case m.Reason == Gone:
		n.stop(m.ID, h)
	default:
		h.spent[q.chain] = true
		n.nextChain(now, m.ID, h)
	}
}
