package takeover

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Settings of a gateway's part.
type Settings struct {
	Permits             int    // further attempts after the first: the most attempts less one
	ReplyTimeout        Micros // how long an answer is waited for before it counts as not coming
	RecordTTL           Micros // how long a record outlasts its holder's last word
	MaxRecords          int    // records kept in all
	MaxRecordsPerHolder int    // records kept for one holder
}

// Node is one gateway's part: holder of its own requests, keeper of others', and
// claimant where clients ask it for the rest.
type Node struct {
	self            Member
	settings        Settings
	records         map[string]*requestRecord
	recordsByHolder map[string]int  // records by holder
	undecided       map[string]bool // records with a decision under way
	lastSweep       Micros          // when records were last looked through
	leases          map[string]*leaseState
	claims          map[string]*claimState
	scratchIDs      []string          // scratch
	tombstones      map[string]uint64 // the newest life proven dead, by name
	lastQueryID     uint32
	outputs         []Output
	rejectedRecords uint64 // records turned away for want of room

	// For tests of the tests: a broken node must be found.
	disableFencing, disableDeathProof bool
}

// requestRecord is what a keeper has of a request.
type requestRecord struct {
	holder           Member
	epoch, resumeSeq uint32
	policy           RetryPolicy
	deadline         Micros // of the client's first wait
	backups          []Member
	permitGranted    bool // this chain's permit
	expiresAt        Micros
	decision         *pendingDecision // under way
	lastReply        Message          // the last decision's, and to whom
	lastRequester    Member
}

// pendingDecision is a keeper's on a claim or a wish; it takes steps.
type pendingDecision struct {
	request      Message // that asked
	requester    Member
	startedAt    Micros
	awaitingAcks []Member // whose note is awaited
	retransmit   Message  // to them, or to the holder
	lastSentAt   Micros
}

// leaseState is a request that this gateway holds.
type leaseState struct {
	epoch            uint32
	resumeSeq        uint32
	policy           RetryPolicy
	deadline         Micros
	backups          []Member
	lastReplicatedAt Micros
	exhausted        []bool // chains that have nothing to give any more
	grantor          Member // of the first permit of a hold that was taken over
	grantorChain     int    // the giver's
	permitQuery      *pendingQuery
	leaseCheck       *pendingQuery
	releaseQueries   []pendingQuery // who waits for it to stop
	stopped          bool
}

// pendingQuery is one put to others.
type pendingQuery struct {
	id         uint32
	retransmit Message // for those that do not answer: it may have been lost
	lastSentAt Micros  // when it was last said
	chain      int
	to         Member
	startedAt  Micros
	unanswered []Member
}

// claimState is a request that this gateway was asked for.
type claimState struct {
	pendingQuery
	resumeSeq uint32
	phase     claimPhase
	found     bool
	latest    Message // the newest that was told of it
	grantor   Member
	deadline  Micros
}

type claimPhase uint8

const (
	phaseLookup claimPhase = iota
	phaseClaim
	phaseReplicate
)

// New returns a gateway's part.
func New(self Member, s Settings) *Node {
	return &Node{self: self, settings: s, records: map[string]*requestRecord{}, recordsByHolder: map[string]int{}, undecided: map[string]bool{}, leases: map[string]*leaseState{},
		claims: map[string]*claimState{}, tombstones: map[string]uint64{}}
}

// Outputs returns what is to be done since the last call.
func (n *Node) Outputs() []Output {
	out := n.outputs
	n.outputs = nil
	return out
}

// RecordCounts is how many records of others' requests there are, and how many were turned
// away for want of room.
func (n *Node) RecordCounts() (records int, refused uint64) { return len(n.records), n.rejectedRecords }

// SelectBackups chooses among members who keeps a request: by rendezvous, those of other
// sites than the holder's first. Without the holder itself.
func SelectBackups(id string, holder Member, site func(Member) string, members []Member, most int) []Member {
	type place struct {
		m     Member
		far   bool
		score uint64
	}
	list := make([]place, 0, len(members))
	own := site(holder)
	for _, m := range members {
		if m.Name != holder.Name {
			list = append(list, place{m, site(m) != own, rendezvousScore(id, m.Name)})
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
	slices.SortFunc(out, func(a, b Member) int { return cmp.Compare(rendezvousScore(id, b.Name), rendezvousScore(id, a.Name)) })
	return out
}

func rendezvousScore(id, name string) uint64 {
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
	m.ToIncarnation = to.Incarnation
	n.outputs = append(n.outputs, Output{Action: ActionSend, To: to, Message: m, RequestID: m.RequestID})
}

func (n *Node) isDead(m Member) bool {
	life, ok := n.tombstones[m.Name]
	return ok && life >= m.Incarnation
}

// startQuery puts a question to some; repeat says it again to those that have not answered.
func (n *Node) startQuery(now Micros, q *pendingQuery, to []Member, m Message) {
	q.startedAt, q.lastSentAt, q.unanswered = now, now, nil
	for _, k := range to {
		if !n.isDead(k) {
			q.unanswered = append(q.unanswered, k)
		}
	}
	n.lastQueryID++
	q.id, m.QueryID = n.lastQueryID, n.lastQueryID
	q.retransmit = m
	for _, k := range q.unanswered {
		n.send(k, m)
	}
}

// refreshQuery drops those from a question that are dead, and says it again to the others after a
// part of the time that it has.
func (n *Node) refreshQuery(now Micros, q *pendingQuery) (late Micros) {
	q.unanswered = slices.DeleteFunc(q.unanswered, n.isDead)
	if n.retransmitDue(now, &q.lastSentAt) {
		for _, k := range q.unanswered {
			n.send(k, q.retransmit)
			n.probe(k)
		}
	}
	return now - q.startedAt
}

// retransmitDue tells whether something is to be said once more.
func (n *Node) retransmitDue(now Micros, last *Micros) bool {
	if now-*last < n.settings.ReplyTimeout/4 {
		return false
	}
	*last = now
	return true
}

func (n *Node) probe(m Member) { n.outputs = append(n.outputs, Output{Action: ActionProbe, To: m}) }

// chainMembers is the keepers that a permit belongs to, in order.
func (n *Node) chainMembers(keepers []Member, c int) (out []Member) {
	for i := c; i < len(keepers); i += max(1, n.settings.Permits) {
		out = append(out, keepers[i])
	}
	return out
}

func (n *Node) chainCount(keepers []Member) int { return min(n.settings.Permits, len(keepers)) }

// chainHead is the first of a chain that is not proven dead.
func (n *Node) chainHead(chain []Member) (Member, bool) {
	for _, m := range chain {
		if !n.isDead(m) {
			return m, true
		}
	}
	return Member{}, false
}

// provenDead lists whom of a list this gateway has proof to be dead.
func (n *Node) provenDead(list []Member) (out []Member) {
	for _, m := range list {
		if n.isDead(m) {
			out = append(out, m)
		}
	}
	return out
}

func (n *Node) addTombstones(dead []Member) {
	for _, m := range dead {
		n.tombstones[m.Name] = max(n.tombstones[m.Name], m.Incarnation)
	}
}

// ConfirmDead tells that a process is proven to have ended.
func (n *Node) ConfirmDead(now Micros, m Member) {
	if n.isDead(m) {
		return
	}
	n.addTombstones([]Member{m})
	n.advanceDecisions(now)
	n.advanceQueries(now)
}

// advanceDecisions takes those that are under way a step on.
func (n *Node) advanceDecisions(now Micros) {
	for _, id := range sortedKeys(n.undecided) {
		if r := n.records[id]; r != nil && r.decision != nil {
			n.advanceDecision(now, id, r)
		} else {
			delete(n.undecided, id)
		}
	}
}

// sweepInterval is how often records are looked through for those that have had their time.
const sweepInterval = 1_000_000

// Tick lets time pass: what has waited for too long goes on without.
func (n *Node) Tick(now Micros) {
	n.advanceDecisions(now)
	n.advanceQueries(now)
	if now-n.lastSweep < sweepInterval {
		return
	}
	n.lastSweep = now
	for id, r := range n.records {
		if r.decision == nil && now >= r.expiresAt {
			n.removeRecord(id)
		}
	}
	for _, id := range sortedKeys(n.leases) {
		if h := n.leases[id]; !h.stopped && now-h.lastReplicatedAt >= n.settings.RecordTTL/2 {
			n.replicate(now, id, h, false)
		}
	}
}

// advanceQueries takes the questions of this gateway's own a step on.
func (n *Node) advanceQueries(now Micros) {
	for id, h := range n.leases {
		if h.permitQuery == nil && h.leaseCheck == nil {
			continue
		}
		n.scratchIDs = append(n.scratchIDs, id)
	}
	slices.Sort(n.scratchIDs) // all runs go one way
	for _, id := range n.scratchIDs {
		h := n.leases[id]
		if h != nil && h.permitQuery != nil {
			n.advancePermitQuery(now, id, h)
		}
		if h != nil && h.leaseCheck != nil {
			n.advanceLeaseCheck(now, id, h)
		}
	}
	n.scratchIDs = n.scratchIDs[:0]
	for _, id := range sortedKeys(n.claims) {
		if c := n.claims[id]; c != nil {
			n.advanceClaim(now, id, c)
		}
	}
}

func sortedKeys[T any](m map[string]T) []string {
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

func without(list []Member, m Member) []Member {
	return slices.DeleteFunc(slices.Clone(list), func(o Member) bool { return o == m })
}

// Receive takes a message from a process.
func (n *Node) Receive(now Micros, from Member, m Message) {
	if m.ToIncarnation != n.self.Incarnation || n.isDead(from) {
		return // meant for a life that is over, or come late from one
	}
	n.addTombstones(m.ProvenDead)
	switch m.Kind {
	case MsgReplicate:
		n.handleReplicate(now, from, m)
	case MsgLookup:
		n.handleLookup(now, from, m)
	case MsgClaim, MsgPermit:
		n.handleGrantRequest(now, from, m)
	case MsgReleaseReply:
		n.handleReleaseReply(now, from, m)
	case MsgUpdate:
		n.handleUpdate(now, from, m)
	case MsgPermitReturn:
		n.handlePermitReturn(now, from, m)
	case MsgLeaseCheck:
		n.handleLeaseCheck(now, from, m)
	case MsgRelease:
		n.handleRelease(now, from, m)
	case MsgUpdateReply:
		n.handleUpdateReply(now, from, m)
	case MsgPermitReply, MsgLeaseCheckReply, MsgLookupReply, MsgClaimReply:
		n.handleReply(now, from, m)
	}
}
