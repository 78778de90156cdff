package takeover

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Settings of a gateway's part.
type Settings struct {
	Permits  int    // further attempts after the first: the most attempts less one
	Silence  Micros // how long an answer is waited for before it counts as not coming
	Remember Micros // how long a record outlasts its holder's last word
	Most     int    // records kept in all
	MostEach int    // records kept for one holder
}

// Node is one gateway's part: holder of its own requests, keeper of others', and
// claimant where clients ask it for the rest.
type Node struct {
	self    Member
	s       Settings
	records map[string]*record
	each    map[string]int  // records by holder
	open    map[string]bool // records with a decision under way
	swept   Micros          // when records were last looked through
	holds   map[string]*hold
	claims  map[string]*claim
	asking  []string          // scratch
	dead    map[string]uint64 // the newest life proven dead, by name
	op      uint32
	out     []Output
	refused uint64 // records turned away for want of room

	// For tests of the tests: a broken node must be found.
	skipFence, skipProof bool
}

// record is what a keeper has of a request.
type record struct {
	holder     Member
	epoch, ask uint32
	terms      Terms
	deadline   Micros // of the client's first wait
	keepers    []Member
	given      bool // this chain's permit
	until      Micros
	op         *decision // under way
	answer     Message   // the last decision's, and to whom
	asker      Member
}

// decision is a keeper's on a claim or a wish; it takes steps.
type decision struct {
	m       Message // that asked
	from    Member
	since   Micros
	marking []Member // whose note is awaited
	said    Message  // to them, or to the holder
	again   Micros
}

// hold is a request that this gateway holds.
type hold struct {
	epoch    uint32
	ask      uint32
	terms    Terms
	deadline Micros
	keepers  []Member
	told     Micros
	spent    []bool // chains that have nothing to give any more
	giver    Member // of the first permit of a hold that was taken over
	chain    int    // the giver's
	want     *question
	check    *question
	release  []question // who waits for it to stop
	stopped  bool
}

// question is one put to others.
type question struct {
	op      uint32
	said    Message // for those that do not answer: it may have been lost
	again   Micros  // when it was last said
	chain   int
	to      Member
	since   Micros
	waiting []Member
}

// claim is a request that this gateway was asked for.
type claim struct {
	question
	ask      uint32
	phase    phase
	found    bool
	rec      Message // the newest that was told of it
	giver    Member
	deadline Micros
}

type phase uint8

const (
	finding phase = iota
	claiming
	marking
)

// New returns a gateway's part.
func New(self Member, s Settings) *Node {
	return &Node{self: self, s: s, records: map[string]*record{}, each: map[string]int{}, open: map[string]bool{}, holds: map[string]*hold{},
		claims: map[string]*claim{}, dead: map[string]uint64{}}
}

// Outputs returns what is to be done since the last call.
func (n *Node) Outputs() []Output {
	out := n.out
	n.out = nil
	return out
}

// Kept is how many records of others' requests there are, and how many were turned
// away for want of room.
func (n *Node) Kept() (records int, refused uint64) { return len(n.records), n.refused }

// Keepers chooses among members who keeps a request: by rendezvous, those of other
// sites than the holder's first. Without the holder itself.
func Keepers(id string, holder Member, site func(Member) string, members []Member, most int) []Member {
	type place struct {
		m     Member
		far   bool
		score uint64
	}
	list := make([]place, 0, len(members))
	own := site(holder)
	for _, m := range members {
		if m.Name != holder.Name {
			list = append(list, place{m, site(m) != own, score(id, m.Name)})
		}
	}
	// The best of any site, then half of the places to other sites: a site that is
	// lost takes no request with it, and few claims need to cross.
	slices.SortFunc(list, func(a, b place) int { return cmp.Compare(b.score, a.score) })
	var out []Member
	far := 0
	for _, p := range list {
		if p.far && far < (most+1)/2 {
			out = append(out, p.m)
			far++
		}
	}
	for _, p := range list {
		if len(out) < most && !slices.Contains(out, p.m) {
			out = append(out, p.m)
		}
	}
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(score(id, b.Name), score(id, a.Name)) })
	return out
}

func score(id, name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	h.Write([]byte{0})
	h.Write([]byte(id))
	x := h.Sum64() // FNV alone leaves names that are alike in one order
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

func (n *Node) send(to Member, m Message) {
	m.To = to.Life
	n.out = append(n.out, Output{Do: Send, To: to, Msg: m, ID: m.ID})
}

func (n *Node) isDead(m Member) bool {
	life, ok := n.dead[m.Name]
	return ok && life >= m.Life
}

// ask puts a question to some; repeat says it again to those that have not answered.
func (n *Node) ask(now Micros, q *question, to []Member, m Message) {
	q.since, q.again, q.waiting = now, now, nil
	for _, k := range to {
		if !n.isDead(k) {
			q.waiting = append(q.waiting, k)
		}
	}
	n.op++
	q.op, m.Op = n.op, n.op
	q.said = m
	for _, k := range q.waiting {
		n.send(k, m)
	}
}

// wait drops those from a question that are dead, and says it again to the others after a
// part of the time that it has.
func (n *Node) wait(now Micros, q *question) (late Micros) {
	q.waiting = slices.DeleteFunc(q.waiting, n.isDead)
	if n.again(now, &q.again) {
		for _, k := range q.waiting {
			n.send(k, q.said)
			n.probe(k)
		}
	}
	return now - q.since
}

// again tells whether something is to be said once more.
func (n *Node) again(now Micros, last *Micros) bool {
	if now-*last < n.s.Silence/4 {
		return false
	}
	*last = now
	return true
}

func (n *Node) probe(m Member) { n.out = append(n.out, Output{Do: Probe, To: m}) }

// chain is the keepers that a permit belongs to, in order.
func (n *Node) chain(keepers []Member, c int) (out []Member) {
	for i := c; i < len(keepers); i += max(1, n.s.Permits) {
		out = append(out, keepers[i])
	}
	return out
}

func (n *Node) chains(keepers []Member) int { return min(n.s.Permits, len(keepers)) }

// first is the first of a chain that is not proven dead.
func (n *Node) first(chain []Member) (Member, bool) {
	for _, m := range chain {
		if !n.isDead(m) {
			return m, true
		}
	}
	return Member{}, false
}

// proofs lists whom of a list this gateway has proof to be dead.
func (n *Node) proofs(list []Member) (out []Member) {
	for _, m := range list {
		if n.isDead(m) {
			out = append(out, m)
		}
	}
	return out
}

func (n *Node) believe(dead []Member) {
	for _, m := range dead {
		n.dead[m.Name] = max(n.dead[m.Name], m.Life)
	}
}

// Dead tells that a process is proven to have ended.
func (n *Node) Dead(now Micros, m Member) {
	if n.isDead(m) {
		return
	}
	n.believe([]Member{m})
	n.decisions(now)
	n.advance(now)
}

// decisions takes those that are under way a step on.
func (n *Node) decisions(now Micros) {
	for _, id := range sorted(n.open) {
		if r := n.records[id]; r != nil && r.op != nil {
			n.decide(now, id, r)
		} else {
			delete(n.open, id)
		}
	}
}

// sweepEvery is how often records are looked through for those that have had their time.
const sweepEvery = 1_000_000

// Tick lets time pass: what has waited for too long goes on without.
func (n *Node) Tick(now Micros) {
	n.decisions(now)
	n.advance(now)
	if now-n.swept < sweepEvery {
		return
	}
	n.swept = now
	for id, r := range n.records {
		if r.op == nil && now >= r.until {
			n.forget(id)
		}
	}
	for _, id := range sorted(n.holds) {
		if h := n.holds[id]; !h.stopped && now-h.told >= n.s.Remember/2 {
			n.tell(now, id, h, false)
		}
	}
}

// advance takes the questions of this gateway's own a step on.
func (n *Node) advance(now Micros) {
	for id, h := range n.holds {
		if h.want == nil && h.check == nil {
			continue
		}
		n.asking = append(n.asking, id)
	}
	slices.Sort(n.asking) // all runs go one way
	for _, id := range n.asking {
		h := n.holds[id]
		if h != nil && h.want != nil {
			n.wanting(now, id, h)
		}
		if h != nil && h.check != nil {
			n.checking(now, id, h)
		}
	}
	n.asking = n.asking[:0]
	for _, id := range sorted(n.claims) {
		if c := n.claims[id]; c != nil {
			n.claiming(now, id, c)
		}
	}
}

func sorted[T any](m map[string]T) []string {
	if len(m) == 0 {
		return nil
	}
	keys := make([]string, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func drop(list []Member, m Member) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(o Member) bool { return o == m })
}

// Recv takes a message from a process.
func (n *Node) Recv(now Micros, from Member, m Message) {
	if m.To != n.self.Life || n.isDead(from) {
		return // meant for a life that is over, or come late from one
	}
	n.believe(m.Dead)
	switch m.Kind {
	case Keep:
		n.keep(now, from, m)
	case Find:
		n.find(now, from, m)
	case Claim, Want:
		n.asked(now, from, m)
	case Released:
		n.released(now, from, m)
	case Mark:
		n.mark(now, from, m)
	case Return:
		n.returned(now, from, m)
	case Check:
		n.checked(now, from, m)
	case Release:
		n.releaseAsked(now, from, m)
	case Marked:
		n.marked(now, from, m)
	case Given, Still, Found, Granted:
		n.answered(now, from, m)
	}
}
