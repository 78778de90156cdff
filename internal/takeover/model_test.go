package takeover

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
)

// model is a set of gateways, the network between them and the attempts at the replicas. It enumerates
// the transitions that are possible in a state, and each transition checks the invariants.
type model struct {
	nodes        []*Node // by gateway
	incarnations []uint64
	down         []bool
	frozen       []bool
	partitions   map[[2]int]bool
	network      []inFlightMessage
	probes       [][2]Member // the prober and the probed
	stopping     []gatewayRequest
	granted      []gatewayRequest // claimed requests whose attempt has not been sent
	now          Micros
	requests     []*clientRequest
	budget       eventBudget
	violation    string // the first invariant that was violated
}

type inFlightMessage struct {
	from, to Member
	message  Message
}

type gatewayRequest struct {
	gateway int
	id      string
}

// clientRequest is a client's request and its attempts, as seen from outside the gateways.
type clientRequest struct {
	id            string
	policy        RetryPolicy
	attempts      []attempt
	resumes       uint32           // resume requests that the client has sent
	resumedTwice  bool             // the same resume request went to a second gateway
	pendingClaims map[string]int   // by gateway and resume sequence number
	supersededAt  map[int][]Member // by gateway whose freeze ended: backups that had recorded a newer holder
}

type attempt struct {
	by               Member
	open, mayHaveRun bool
}

type eventBudget struct{ kills, starts, freezes, partitions, duplicates, ticks, resumes, failures, rejections int }

func newModel(gateways int, policies []RetryPolicy, budget eventBudget, permits int) *model {
	m := &model{
		incarnations: make([]uint64, gateways),
		down:         make([]bool, gateways),
		frozen:       make([]bool, gateways),
		partitions:   map[[2]int]bool{},
		budget:       budget,
	}
	for g := range gateways {
		m.incarnations[g] = 1
		m.nodes = append(m.nodes, New(m.member(g), Settings{Permits: permits, ReplyTimeout: 4, RecordTTL: 1000, MaxRecords: 100, MaxRecordsPerHolder: 50}))
	}
	for i, policy := range policies {
		r := &clientRequest{id: "r" + strconv.Itoa(i), policy: policy, pendingClaims: map[string]int{}, supersededAt: map[int][]Member{}}
		m.requests = append(m.requests, r)
		g := i % gateways
		var backups []Member
		for k := 1; k < gateways; k++ {
			backups = append(backups, m.member((g+k)%gateways))
		}
		m.nodes[g].Acquire(m.now, r.id, policy, 500, backups)
		m.openAttempt(r, m.member(g))
		m.runOutputs(g)
	}
	return m
}

func (m *model) member(g int) Member { return Member{"g" + strconv.Itoa(g), m.incarnations[g]} }

func (m *model) gatewayIndex(member Member) int {
	g, _ := strconv.Atoi(member.Name[1:])
	return g
}

func (m *model) fail(format string, args ...any) {
	if m.violation == "" {
		m.violation = fmt.Sprintf(format, args...)
	}
}

// openAttempt records an attempt that is sent to a replica and checks the invariants of attempts.
func (m *model) openAttempt(r *clientRequest, by Member) {
	for _, a := range r.attempts {
		if a.open && !r.policy.Hedgeable {
			m.fail("%s: two attempts at once, by %v and %v", r.id, a.by, by)
		}
	}
	if !r.policy.Idempotent && slices.ContainsFunc(r.attempts, func(a attempt) bool { return a.mayHaveRun }) {
		m.fail("%s: runs twice", r.id)
	}
	if r.attempts = append(r.attempts, attempt{by, true, true}); len(r.attempts) > 3 {
		m.fail("%s: %d attempts", r.id, len(r.attempts))
	}
}

func (m *model) closeAttempts(r *clientRequest, by Member) {
	for i := range r.attempts {
		if r.attempts[i].by == by {
			r.attempts[i].open = false
		}
	}
}

func (m *model) request(id string) *clientRequest {
	i, _ := strconv.Atoi(id[1:])
	return m.requests[i]
}

// runOutputs executes the outputs of a gateway.
func (m *model) runOutputs(g int) {
	n := m.nodes[g]
	for outs := n.Outputs(); len(outs) > 0; outs = n.Outputs() {
		for _, o := range outs {
			switch id := o.RequestID; o.Action {
			case ActionSend:
				if o.To == m.member(g) { // no network lies between a gateway and itself
					n.Receive(m.now, o.To, o.Message)
					continue
				}
				m.network = append(m.network, inFlightMessage{m.member(g), o.To, o.Message})
			case ActionProbe:
				if p := [2]Member{m.member(g), o.To}; !slices.Contains(m.probes, p) {
					m.probes = append(m.probes, p)
				}
			case ActionStop:
				m.stopping = append(m.stopping, gatewayRequest{g, id})
			case ActionPermitResult:
				if o.OK {
					m.openAttempt(m.request(id), m.member(g))
				}
			case ActionClaimResult:
				key := fmt.Sprintf("%d/%d", g, o.ResumeSeq)
				if m.request(id).pendingClaims[key]--; m.request(id).pendingClaims[key] < 0 {
					m.fail("%s: two results for claim %s", id, key)
				}
				if o.OK {
					m.granted = append(m.granted, gatewayRequest{g, id})
				}
			case ActionLeaseCheckResult:
				request := m.request(id)
				for _, backup := range request.supersededAt[g] {
					if o.OK && !m.down[m.gatewayIndex(backup)] && m.incarnations[m.gatewayIndex(backup)] == backup.Incarnation {
						m.fail("%s: %v knew of a newer holder, and the resumed gateway continued", id, backup)
					}
				}
				delete(request.supersededAt, g)
			}
		}
	}
}

func (m *model) partitioned(a, b int) bool {
	return m.partitions[[2]int{min(a, b), max(a, b)}]
}

// transition is one event that is possible in a state.
type transition struct {
	name  string
	apply func(m *model)
}

// transitions returns all events that are possible now.
func (m *model) transitions() (out []transition) {
	add := func(name string, apply func(m *model)) { out = append(out, transition{name, apply}) }
	for i, f := range m.network {
		to := m.gatewayIndex(f.to)
		name := f.from.Name + ">" + f.to.Name + " " + strconv.Itoa(int(f.message.Kind)) + " " + f.message.RequestID
		if !m.frozen[to] && !m.partitioned(m.gatewayIndex(f.from), to) {
			add("deliver "+name, func(m *model) {
				m.network = slices.Delete(slices.Clone(m.network), i, i+1)
				m.deliver(f)
			})
			if m.budget.duplicates > 0 {
				add("duplicate "+name, func(m *model) { m.budget.duplicates--; m.deliver(f) })
			}
		}
	}
	for i, p := range m.probes {
		from, to := m.gatewayIndex(p[0]), m.gatewayIndex(p[1])
		if m.down[from] || m.incarnations[from] != p[0].Incarnation {
			add("probe void", func(m *model) { m.probes = slices.Delete(slices.Clone(m.probes), i, i+1) })
			continue
		}
		if m.frozen[from] || m.partitioned(from, to) {
			continue
		}
		add(fmt.Sprintf("probe %v %v", p[0], p[1]), func(m *model) {
			m.probes = slices.Delete(slices.Clone(m.probes), i, i+1)
			if m.down[to] || m.incarnations[to] != p[1].Incarnation && !m.frozen[to] {
				m.nodes[from].ConfirmDead(m.now, p[1])
				m.runOutputs(from)
			}
		})
	}
	for i, s := range m.stopping {
		if m.frozen[s.gateway] {
			continue
		}
		add("stopped "+s.id, func(m *model) {
			m.stopping = slices.Delete(slices.Clone(m.stopping), i, i+1)
			if !m.down[s.gateway] {
				m.closeAttempts(m.request(s.id), m.member(s.gateway))
				m.nodes[s.gateway].Stopped(m.now, s.id, true)
				m.runOutputs(s.gateway)
			}
		})
	}
	for i, s := range m.granted {
		if m.frozen[s.gateway] {
			continue
		}
		lease := m.nodes[s.gateway].leases[s.id]
		lost := m.down[s.gateway] || lease == nil || lease.stopped
		add("send "+s.id, func(m *model) {
			if m.granted = slices.Delete(slices.Clone(m.granted), i, i+1); !lost {
				m.openAttempt(m.request(s.id), m.member(s.gateway))
			}
		})
		if !lost && m.budget.rejections > 0 {
			add("reject "+s.id, func(m *model) {
				m.budget.rejections--
				m.granted = slices.Delete(slices.Clone(m.granted), i, i+1)
				m.nodes[s.gateway].Release(m.now, s.id, false)
				m.runOutputs(s.gateway)
			})
		}
	}
	for g := range m.nodes {
		switch {
		case m.down[g]:
			if m.budget.starts > 0 {
				add(fmt.Sprintf("start g%d", g), func(m *model) {
					m.budget.starts--
					m.down[g], m.incarnations[g] = false, m.incarnations[g]+1
					m.nodes[g] = New(m.member(g), m.nodes[g].settings)
				})
			}
			continue
		case m.frozen[g]:
			add(fmt.Sprintf("resume g%d", g), func(m *model) { m.resumeGateway(g) })
		case m.budget.freezes > 0:
			add(fmt.Sprintf("freeze g%d", g), func(m *model) { m.budget.freezes--; m.frozen[g] = true })
		}
		if m.budget.kills > 0 {
			add(fmt.Sprintf("kill g%d", g), func(m *model) { m.kill(g) })
		}
		if m.frozen[g] {
			continue
		}
		for _, r := range m.requests {
			m.requestTransitions(g, r, add)
		}
	}
	for a := range m.nodes {
		for b := a + 1; b < len(m.nodes); b++ {
			if p := [2]int{a, b}; m.partitions[p] {
				add("heal", func(m *model) { delete(m.partitions, p) })
			} else if m.budget.partitions > 0 {
				add(fmt.Sprint("partition ", p), func(m *model) { m.budget.partitions--; m.partitions[p] = true })
			}
		}
	}
	if m.budget.ticks > 0 {
		add("time", func(m *model) {
			m.budget.ticks--
			m.now += 4 // as long as ReplyTimeout
			for g, n := range m.nodes {
				if !m.down[g] && !m.frozen[g] {
					n.Tick(m.now)
					m.runOutputs(g)
				}
			}
		})
	}
	return out
}

// requestTransitions adds the transitions of a request at a gateway: a failed attempt, and resume requests.
func (m *model) requestTransitions(g int, r *clientRequest, add func(string, func(*model))) {
	if lease := m.nodes[g].leases[r.id]; lease != nil && !lease.stopped && lease.leaseCheck == nil {
		current := slices.IndexFunc(r.attempts, func(a attempt) bool { return a.by == m.member(g) && a.open })
		if current >= 0 && m.budget.failures > 0 && lease.permitQuery == nil {
			add(fmt.Sprintf("g%d: the attempt of %s fails", g, r.id), func(m *model) {
				m.budget.failures--
				m.closeAttempts(m.request(r.id), m.member(g))
				if !r.policy.Idempotent { // else it would not be retried
					m.request(r.id).attempts[current].mayHaveRun = false
				}
				m.nodes[g].RequestPermit(m.now, r.id)
				m.runOutputs(g)
			})
		}
	}
	if m.budget.resumes > 0 && r.resumes < 3 && len(r.attempts) > 0 {
		add(fmt.Sprintf("the client of %s resumes at g%d", r.id, g), func(m *model) {
			m.budget.resumes--
			request := m.request(r.id)
			request.resumes++
			m.claim(g, request)
		})
		if r.resumes > 0 && !r.resumedTwice {
			add(fmt.Sprintf("the client of %s resumes at g%d as well", r.id, g), func(m *model) {
				request := m.request(r.id)
				request.resumedTwice = true
				m.claim(g, request)
			})
		}
	}
}

func (m *model) claim(g int, request *clientRequest) {
	if m.nodes[g].claims[request.id] != nil {
		return // the gateway rejects a second claim while one is pending
	}
	request.pendingClaims[fmt.Sprintf("%d/%d", g, request.resumes)]++
	var all []Member
	for i := range m.nodes {
		all = append(all, m.member(i))
	}
	m.nodes[g].Claim(m.now, request.id, request.resumes, all)
	m.runOutputs(g)
}

func (m *model) deliver(f inFlightMessage) {
	to := m.gatewayIndex(f.to)
	if m.down[to] {
		return
	}
	m.nodes[to].Receive(m.now, f.from, f.message)
	m.runOutputs(to)
}

func (m *model) kill(g int) {
	m.budget.kills--
	m.down[g], m.frozen[g] = true, false
	for _, r := range m.requests {
		m.closeAttempts(r, m.member(g))
		delete(r.supersededAt, g)
	}
	m.stopping = slices.DeleteFunc(slices.Clone(m.stopping), func(s gatewayRequest) bool { return s.gateway == g })
	m.granted = slices.DeleteFunc(slices.Clone(m.granted), func(s gatewayRequest) bool { return s.gateway == g })
}

// resumeGateway ends the freeze of a gateway, which first checks its leases.
func (m *model) resumeGateway(g int) {
	m.frozen[g] = false
	n := m.nodes[g]
	for _, id := range sortedKeys(n.leases) {
		if n.leases[id].leaseCheck != nil || n.leases[id].stopped {
			continue
		}
		r := m.request(id)
		r.supersededAt[g] = nil
		for i, other := range m.nodes {
			if record := other.records[id]; record != nil && !m.down[i] && record.epoch > n.leases[id].epoch {
				r.supersededAt[g] = append(r.supersededAt[g], m.member(i))
			}
		}
		n.CheckLease(m.now, id)
	}
	m.runOutputs(g)
}

// clone returns a deep copy, to which another transition can be applied.
func (m *model) clone() *model {
	c := *m
	c.nodes = make([]*Node, len(m.nodes))
	for i, n := range m.nodes {
		c.nodes[i] = cloneNode(n)
	}
	c.incarnations = slices.Clone(m.incarnations)
	c.down = slices.Clone(m.down)
	c.frozen = slices.Clone(m.frozen)
	c.partitions = maps.Clone(m.partitions)
	c.network = slices.Clone(m.network)
	c.probes = slices.Clone(m.probes)
	c.stopping = slices.Clone(m.stopping)
	c.granted = slices.Clone(m.granted)
	c.requests = make([]*clientRequest, len(m.requests))
	for i, r := range m.requests {
		request := copyOf(r)
		request.attempts = slices.Clone(r.attempts)
		request.pendingClaims = maps.Clone(r.pendingClaims)
		request.supersededAt = maps.Clone(r.supersededAt)
		c.requests[i] = request
	}
	return &c
}

func copyOf[T any](p *T) *T {
	if p == nil {
		return nil
	}
	v := *p
	return &v
}

func cloneNode(n *Node) *Node {
	c := *n
	c.records = map[string]*requestRecord{}
	c.leases = map[string]*leaseState{}
	c.claims = map[string]*claimState{}
	c.recordsByHolder = maps.Clone(n.recordsByHolder)
	c.tombstones = maps.Clone(n.tombstones)
	c.pendingDecisions = maps.Clone(n.pendingDecisions)
	c.scratchIDs = nil
	for id, record := range n.records {
		recordCopy := copyOf(record)
		recordCopy.decision = copyOf(record.decision)
		if decision := recordCopy.decision; decision != nil && decision.awaitingAcks != nil {
			decision.awaitingAcks = append([]Member{}, decision.awaitingAcks...)
		}
		c.records[id] = recordCopy
	}
	for id, lease := range n.leases {
		leaseCopy := copyOf(lease)
		leaseCopy.exhausted = slices.Clone(lease.exhausted)
		leaseCopy.permitQuery = copyOf(lease.permitQuery)
		leaseCopy.leaseCheck = copyOf(lease.leaseCheck)
		leaseCopy.releaseQueries = slices.Clone(lease.releaseQueries)
		for _, query := range []*pendingQuery{leaseCopy.permitQuery, leaseCopy.leaseCheck} {
			if query != nil {
				query.unanswered = slices.Clone(query.unanswered)
			}
		}
		c.leases[id] = leaseCopy
	}
	for id, claim := range n.claims {
		claimCopy := copyOf(claim)
		claimCopy.unanswered = slices.Clone(claim.unanswered)
		c.claims[id] = claimCopy
	}
	return &c
}
