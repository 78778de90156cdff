package membership

import "slices"

const (
	// joinInterval is the time between two joins while no member is known.
	joinInterval Micros = 500_000
	// maxJoinBackoff is the largest backoff between later joins, as a multiple of joinInterval. Joins
	// never stop, because after a partition a seed may be the only contact to its part of the fleet.
	maxJoinBackoff Micros = 20

	// maxSeedsAtOnce is the number of seeds that a join is sent to while no member is known.
	maxSeedsAtOnce = 8

	// suspectAfterAckTimeouts is the time, in multiples of Settings.AckTimeout, after which a member
	// is suspect if it has answered neither a ping nor the probe that follows.
	suspectAfterAckTimeouts Micros = 3
)

// Settings are the parameters of a Table.
type Settings struct {
	PingInterval     Micros
	AckTimeout       Micros // from a ping without an answer to the probe
	SuspicionTimeout Micros // from suspect to unreachable
	TombstoneTTL     Micros // how long members that are unreachable, left or dead are stored
	MaxMembers       int    // in all states
	MaxUpdates       int    // in one message
}

// DefaultSettings returns settings for some hundreds of members.
func DefaultSettings() Settings {
	return Settings{
		PingInterval:     300_000,
		AckTimeout:       150_000,
		SuspicionTimeout: 2_000_000,
		TombstoneTTL:     600_000_000,
		MaxMembers:       512,
		MaxUpdates:       16,
	}
}

// Table is one gateway's membership list of the other gateways. It is not safe for concurrent use.
type Table struct {
	settings       Settings
	self           MemberInfo
	seeds          []string
	members        map[string]*memberState // by name
	sortedNames    []string                // of members: equal inputs have to give equal outputs
	pingOrder      []string                // members that remain to be pinged in this round
	pingSeq        uint32
	outputs        []Output
	nextPingAt     Micros
	nextJoinAt     Micros
	joinRounds     int
	randomState    uint64
	pendingUpdates map[string]bool // members whose state is still to be gossiped
	version        uint64
	rejected       int
}

// memberState is a member and the state of its ping and gossip.
type memberState struct {
	MemberInfo
	stateSince    Micros
	pingedAt      Micros // time of the unanswered ping; 0: none
	pingSeq       uint32
	probing       bool
	transmitsLeft int // number of times that this state is still to be gossiped
}

// New returns the table of a gateway, without members. The seeds are the addresses of the gateways
// that it joins. The random seed determines the order of its pings and the seed of each join.
func New(self MemberInfo, seeds []string, settings Settings, randomSeed uint64) *Table {
	return &Table{
		settings:       settings,
		self:           self,
		seeds:          seeds,
		members:        map[string]*memberState{},
		pendingUpdates: map[string]bool{},
		randomState:    randomSeed*2 + 1,
	}
}

// Outputs returns the actions to execute that were added since the last call, in order.
func (t *Table) Outputs() []Output {
	outputs := t.outputs
	t.outputs = nil
	return outputs
}

// Version changes whenever a member is added or removed, or its state changes.
func (t *Table) Version() uint64 { return t.version }

// Rejected returns how many new members were rejected because of Settings.MaxMembers.
func (t *Table) Rejected() int { return t.rejected }

// Members returns the known members, sorted by name, without the gateway itself.
func (t *Table) Members() []MemberInfo {
	members := make([]MemberInfo, len(t.sortedNames))
	for i, name := range t.sortedNames {
		members[i] = t.members[name].MemberInfo
	}
	return members
}

// Member returns a member, or the gateway itself, by its name.
func (t *Table) Member(name string) (info MemberInfo, ok bool) {
	if name == t.self.Name {
		return t.self, true
	}
	m := t.members[name]
	if m == nil {
		return MemberInfo{}, false
	}
	return m.MemberInfo, true
}

// Tick handles timeouts, and sends joins and pings that are due.
func (t *Table) Tick(now Micros) {
	for _, name := range slices.Clone(t.sortedNames) {
		t.advanceMember(now, t.members[name])
	}
	if now >= t.nextJoinAt && len(t.seeds) > 0 {
		t.join(now)
	}
	if now >= t.nextPingAt {
		t.nextPingAt = now + t.settings.PingInterval
		t.pingNext(now)
	}
}

// join sends a join to a random seed. While no member is known it also sends one to each of the
// first seeds, because some of them may no longer run.
func (t *Table) join(now Micros) {
	selected := t.randomIntN(len(t.seeds))
	noMembers := len(t.members) == 0
	for i, seed := range t.seeds {
		if seed != t.self.Addr && (i == selected || noMembers && i < maxSeedsAtOnce) {
			t.send(seed, MsgJoin, 0)
		}
	}
	t.joinRounds++
	backoff := min(Micros(t.joinRounds), maxJoinBackoff)
	if noMembers {
		backoff = 1
	}
	t.nextJoinAt = now + joinInterval*backoff
}

// advanceMember handles the timeouts of one member.
func (t *Table) advanceMember(now Micros, m *memberState) {
	if m.pingedAt > 0 && m.State < Left {
		t.advancePing(now, m)
	}
	if m.State == Suspect && now-m.stateSince >= t.settings.SuspicionTimeout {
		t.setState(now, m, Unreachable)
	}
	if m.State >= Unreachable && now-m.stateSince >= t.settings.TombstoneTTL {
		t.removeMember(m.Name)
	}
}

// advancePing probes a member that has not answered a ping, and suspects it if the probe has no
// result either.
func (t *Table) advancePing(now Micros, m *memberState) {
	unansweredFor := now - m.pingedAt
	switch {
	case unansweredFor >= t.settings.AckTimeout && !m.probing:
		m.probing = true
		info := m.MemberInfo
		t.outputs = append(t.outputs, Output{Probe: &info})
	case unansweredFor >= suspectAfterAckTimeouts*t.settings.AckTimeout:
		m.pingedAt = 0
		m.probing = false
		if m.State == Alive {
			t.setState(now, m, Suspect)
		}
	}
}

// pingNext pings the next member of the round. In a round each member is pinged once, in random
// order.
func (t *Table) pingNext(now Micros) {
	for range 2 * len(t.members) {
		if len(t.pingOrder) == 0 {
			t.pingOrder = t.shuffledNames()
		}
		m := t.members[t.pingOrder[0]]
		t.pingOrder = t.pingOrder[1:]
		if m != nil && m.State < Left && m.pingedAt == 0 {
			t.pingSeq++
			m.pingedAt = now
			m.pingSeq = t.pingSeq
			t.send(m.Addr, MsgPing, t.pingSeq)
			return
		}
	}
}

func (t *Table) shuffledNames() []string {
	names := slices.Clone(t.sortedNames)
	for i := len(names) - 1; i > 0; i-- {
		j := t.randomIntN(i + 1)
		names[i], names[j] = names[j], names[i]
	}
	return names
}

// randomIntN returns a pseudo-random number in [0,n) by the xorshift generator.
func (t *Table) randomIntN(n int) int {
	t.randomState ^= t.randomState << 13
	t.randomState ^= t.randomState >> 7
	t.randomState ^= t.randomState << 17
	return int((t.randomState >> 11) % uint64(n))
}

func (t *Table) addMember(now Micros, info MemberInfo) {
	m := &memberState{MemberInfo: info, stateSince: now}
	t.members[info.Name] = m
	i, _ := slices.BinarySearch(t.sortedNames, info.Name)
	t.sortedNames = slices.Insert(t.sortedNames, i, info.Name)
	t.queueUpdate(m)
}

func (t *Table) removeMember(name string) {
	delete(t.members, name)
	i, _ := slices.BinarySearch(t.sortedNames, name)
	t.sortedNames = slices.Delete(t.sortedNames, i, i+1)
	t.version++
}

func (t *Table) setState(now Micros, m *memberState, state State) {
	m.State = state
	m.stateSince = now
	t.queueUpdate(m)
}
