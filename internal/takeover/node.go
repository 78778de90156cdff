package takeover

import "slices"

// sweepInterval is the interval between sweeps that remove expired records and renew the records
// of this gateway's leases.
const sweepInterval Micros = 1_000_000

// Settings are the parameters of a Node.
type Settings struct {
	Permits             int    // retries allowed for each request: the limit on attempts less one
	ReplyTimeout        Micros // how long to wait for a reply
	RecordTTL           Micros // how long a record is stored after its holder's last message
	MaxRecords          int    // of all holders
	MaxRecordsPerHolder int
}

// Node is one gateway's state machine for takeovers. It is the lease holder of the gateway's own
// requests, a backup of other gateways' requests, and the claimant of requests that clients
// resume at this gateway. It is not safe for concurrent use.
type Node struct {
	self             Member
	settings         Settings
	records          map[string]*requestRecord // by request id, like undecided, leases and claims
	recordsByHolder  map[string]int            // by the holder's name
	pendingDecisions map[string]bool           // records with a pending decision
	lastSweep        Micros
	leases           map[string]*leaseState
	claims           map[string]*claimState
	scratchIDs       []string          // buffer of advanceQueries
	tombstones       map[string]uint64 // the latest incarnation proven dead, by name
	lastQueryID      uint32
	outputs          []Output
	rejectedRecords  uint64 // because of the limits in settings

	// Faults that tests inject in order to show that the state exploration detects them.
	disableFencing, disableDeathProof bool
}

// New returns the Node of a gateway.
func New(self Member, settings Settings) *Node {
	return &Node{
		self:             self,
		settings:         settings,
		records:          map[string]*requestRecord{},
		recordsByHolder:  map[string]int{},
		pendingDecisions: map[string]bool{},
		leases:           map[string]*leaseState{},
		claims:           map[string]*claimState{},
		tombstones:       map[string]uint64{},
	}
}

// Outputs returns the actions to execute that were added since the last call, in order.
func (n *Node) Outputs() []Output {
	outputs := n.outputs
	n.outputs = nil
	return outputs
}

// RecordCounts returns how many records of other gateways' requests are stored, and how many
// have been rejected because of the limits.
func (n *Node) RecordCounts() (records int, rejected uint64) {
	return len(n.records), n.rejectedRecords
}

// Receive handles a message from another gateway, or from this one.
func (n *Node) Receive(now Micros, from Member, m Message) {
	if m.ToIncarnation != n.self.Incarnation || n.isDead(from) {
		return // addressed to another incarnation, or delayed and from a dead one
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
		n.handlePermitReturn(from, m)
	case MsgLeaseCheck:
		n.handleLeaseCheck(from, m)
	case MsgRelease:
		n.handleRelease(from, m)
	case MsgUpdateReply:
		n.handleUpdateReply(now, from, m)
	case MsgPermitReply, MsgLeaseCheckReply, MsgLookupReply, MsgClaimReply:
		n.handleReply(now, from, m)
	}
}

// Tick handles timeouts, removes expired records and renews the records of this gateway's
// leases.
func (n *Node) Tick(now Micros) {
	n.advanceDecisions(now)
	n.advanceQueries(now)
	if now-n.lastSweep < sweepInterval {
		return
	}
	n.lastSweep = now
	for id, record := range n.records {
		if record.decision == nil && now >= record.expiresAt {
			n.removeRecord(id)
		}
	}
	for _, id := range sortedKeys(n.leases) {
		lease := n.leases[id]
		if !lease.stopped && now-lease.lastReplicatedAt >= n.settings.RecordTTL/2 {
			n.replicate(now, id, lease, false)
		}
	}
}

// ConfirmDead records that a process is proven to have ended, and continues the decisions and
// queries that wait for it.
func (n *Node) ConfirmDead(now Micros, m Member) {
	if n.isDead(m) {
		return
	}
	n.addTombstones([]Member{m})
	n.advanceDecisions(now)
	n.advanceQueries(now)
}

func (n *Node) isDead(m Member) bool {
	incarnation, ok := n.tombstones[m.Name]
	return ok && incarnation >= m.Incarnation
}

func (n *Node) addTombstones(dead []Member) {
	for _, m := range dead {
		n.tombstones[m.Name] = max(n.tombstones[m.Name], m.Incarnation)
	}
}

// provenDead returns the given members that are proven dead.
func (n *Node) provenDead(members []Member) (dead []Member) {
	for _, m := range members {
		if n.isDead(m) {
			dead = append(dead, m)
		}
	}
	return dead
}

// advanceDecisions continues the pending decisions, in the order of their request ids.
func (n *Node) advanceDecisions(now Micros) {
	for _, id := range sortedKeys(n.pendingDecisions) {
		if record := n.records[id]; record != nil && record.decision != nil {
			n.advanceDecision(now, id, record)
		} else {
			delete(n.pendingDecisions, id)
		}
	}
}

// advanceQueries continues the queries of this gateway's leases, then its claims, in the order
// of their request ids.
func (n *Node) advanceQueries(now Micros) {
	for id, lease := range n.leases {
		if lease.permitQuery != nil || lease.leaseCheck != nil {
			n.scratchIDs = append(n.scratchIDs, id)
		}
	}
	slices.Sort(n.scratchIDs) // so that equal inputs give equal outputs
	for _, id := range n.scratchIDs {
		lease := n.leases[id]
		if lease != nil && lease.permitQuery != nil {
			n.advancePermitQuery(now, id, lease)
		}
		if lease != nil && lease.leaseCheck != nil {
			n.advanceLeaseCheck(now, id, lease)
		}
	}
	n.scratchIDs = n.scratchIDs[:0]
	for _, id := range sortedKeys(n.claims) {
		if claim := n.claims[id]; claim != nil {
			n.advanceClaim(now, id, claim)
		}
	}
}

func (n *Node) emit(o Output) { n.outputs = append(n.outputs, o) }

func (n *Node) send(to Member, m Message) {
	m.ToIncarnation = to.Incarnation
	n.emit(Output{Action: ActionSend, To: to, Message: m, RequestID: m.RequestID})
}

func (n *Node) probe(m Member) { n.emit(Output{Action: ActionProbe, To: m}) }

func sortedKeys[T any](m map[string]T) []string {
	if len(m) == 0 {
		return nil
	}
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	slices.Sort(keys)
	return keys
}

// without returns a copy of members that lacks the excluded one.
func without(members []Member, excluded Member) []Member {
	return slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m == excluded })
}
