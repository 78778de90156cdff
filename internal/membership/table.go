// Package membership knows which gateways there are: each asks one other at a time
// whether it lives, and news travels on what is sent anyway (the scheme of SWIM: Das,
// Gupta and Motivala, DSN 2002). It knows no sockets and no clock.
//
// Two things differ from SWIM. A member that does not answer is probed by a dial of its
// port: where that is refused, or a later life answers, the death of the process is
// proven, and only that is told as death. Silence makes a member doubted, then away; it
// is asked on, and comes back with its first answer. Who builds on proof, as takeover
// does, is never misled by a gateway that is frozen, starved or cut off.
package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"archknot/internal/takeover"
)

// Micros is a time or a duration in microseconds.
type Micros = takeover.Micros

// State is what is believed of a member.
type State uint8

const (
	Alive       State = iota
	Suspect           // it has not answered, and its port does not say why
	Unreachable       // for long
	Left              // it said so
	Dead              // its process has ended: proven
)

// String is the word for people.
func (s State) String() string {
	return [...]string{"alive", "doubted", "away", "left", "dead"}[s]
}

// MemberInfo is a member as it is told.
type MemberInfo struct {
	takeover.Member
	Addr        string // host:port for datagrams and for probes
	Zone        string
	State       State
	Refutations uint32 // of denials: a member that hears itself doubted says the next
}

// MessageKind is what a message is.
type MessageKind uint8

const (
	MsgPing MessageKind = iota + 1
	MsgAck
	MsgJoin   // as Ping, from one that knows nobody: the answer is the whole list, in pieces
	MsgGossip // news only
)

// Message goes from one to another; its sender's own Info is always among the news.
type Message struct {
	Kind    MessageKind
	Seq     uint32
	Updates []MemberInfo
}

// Output is what the caller has to do.
type Output struct {
	To      string // address for Msg
	Message Message
	Probe   *MemberInfo // dial it, and tell by Proof or Answers
}

// Settings of a member.
type Settings struct {
	PingInterval     Micros // between two pings
	AckTimeout       Micros // how long an answer is waited for
	SuspicionTimeout Micros // how long a doubted member has before it is away
	TombstoneTTL     Micros // how long those away, left and dead are remembered
	MaxMembers       int    // members known at most, in all states
	MaxUpdates       int    // entries in one message at most
}

// DefaultSettings are for some hundreds of members.
func DefaultSettings() Settings {
	return Settings{PingInterval: 300_000, AckTimeout: 150_000, SuspicionTimeout: 2_000_000, TombstoneTTL: 600_000_000, MaxMembers: 512, MaxUpdates: 16}
}

// Table is one gateway's view.
type Table struct {
	settings       Settings
	self           MemberInfo
	seeds          []string
	members        map[string]*memberState
	sortedNames    []string // their names, sorted: all runs go one way
	pingOrder      []string // whom to ask, in this round's order
	seq            uint32
	outputs        []Output
	nextPingAt     Micros
	nextJoinAt     Micros
	joinRounds     int
	randomState    uint64
	pendingUpdates map[string]bool // members with news to tell
	version        uint64          // one more with each change that matters to who is there
	rejected       int
}

type memberState struct {
	MemberInfo
	stateSince    Micros // in this state
	pingedAt      Micros // a ping is out since; 0: none
	pingSeq       uint32
	probing       bool
	transmitsLeft int // how often this news is still to be told
}

// New returns the view of a gateway that knows the addresses of some others.
func New(self MemberInfo, seeds []string, s Settings, seed uint64) *Table {
	return &Table{settings: s, self: self, seeds: seeds, members: map[string]*memberState{}, pendingUpdates: map[string]bool{}, randomState: seed*2 + 1}
}

// Outputs returns what is to be done since the last call.
func (t *Table) Outputs() []Output {
	out := t.outputs
	t.outputs = nil
	return out
}

// Version changes whenever a member comes, goes, or is believed otherwise.
func (t *Table) Version() uint64 { return t.version }

// Rejected is how many members there was no room for.
func (t *Table) Rejected() int { return t.rejected }

// Members lists what is known, by name, without the gateway itself.
func (t *Table) Members() []MemberInfo {
	out := make([]MemberInfo, len(t.sortedNames))
	for i, name := range t.sortedNames {
		out[i] = t.members[name].MemberInfo
	}
	return out
}

// Member is one by its name.
func (t *Table) Member(name string) (MemberInfo, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	m := t.members[name]
	if m == nil {
		return MemberInfo{}, false
	}
	return m.MemberInfo, true
}

func (t *Table) randomIntN(n int) int {
	t.randomState ^= t.randomState << 13
	t.randomState ^= t.randomState >> 7
	t.randomState ^= t.randomState << 17
	return int((t.randomState >> 11) % uint64(n))
}

// joinInterval is how often the seeds are asked while nobody is known; it grows from
// there, for a seed may be of another part of a fleet that was split.
const joinInterval = 500_000

// Tick lets time pass.
func (t *Table) Tick(now Micros) {
	for _, name := range slices.Clone(t.memberNames()) {
		t.advanceMember(now, t.members[name])
	}
	if now >= t.nextJoinAt && len(t.seeds) > 0 {
		to := t.randomIntN(len(t.seeds))
		for i, seed := range t.seeds { // all while nobody is known: one of them may be gone
			if seed != t.self.Addr && (i == to || len(t.members) == 0 && i < 8) {
				t.send(now, seed, MsgJoin, 0)
			}
		}
		t.joinRounds++
		t.nextJoinAt = now + joinInterval*int64(min(t.joinRounds, 20))
		if len(t.members) == 0 {
			t.nextJoinAt = now + joinInterval
		}
	}
	if now >= t.nextPingAt {
		t.nextPingAt = now + t.settings.PingInterval
		t.pingNext(now)
	}
}

// memberNames lists the members; good until one comes or goes.
func (t *Table) memberNames() []string { return t.sortedNames }

func (t *Table) addMember(now Micros, in MemberInfo) {
	m := &memberState{MemberInfo: in, stateSince: now}
	t.members[in.Name] = m
	i, _ := slices.BinarySearch(t.sortedNames, in.Name)
	t.sortedNames = slices.Insert(t.sortedNames, i, in.Name)
	t.queueUpdate(m)
}

func (t *Table) removeMember(name string) {
	delete(t.members, name)
	i, _ := slices.BinarySearch(t.sortedNames, name)
	t.sortedNames = slices.Delete(t.sortedNames, i, i+1)
	t.version++
}

// advanceMember lets time pass for one member.
func (t *Table) advanceMember(now Micros, m *memberState) {
	switch {
	case m.pingedAt > 0 && now-m.pingedAt >= t.settings.AckTimeout && !m.probing && m.State < Left:
		m.probing = true
		info := m.MemberInfo
		t.outputs = append(t.outputs, Output{Probe: &info})
	case m.pingedAt > 0 && now-m.pingedAt >= 3*t.settings.AckTimeout && m.State < Left:
		m.pingedAt, m.probing = 0, false // neither the member nor its port has answered
		if m.State == Alive {
			t.setState(now, m, Suspect)
		}
	}
	if m.State == Suspect && now-m.stateSince >= t.settings.SuspicionTimeout {
		t.setState(now, m, Unreachable)
	}
	if m.State >= Unreachable && now-m.stateSince >= t.settings.TombstoneTTL {
		t.removeMember(m.Name)
	}
}

// pingNext pings the next one of the round: everyone once before anyone twice.
func (t *Table) pingNext(now Micros) {
	for range 2 * len(t.members) {
		if len(t.pingOrder) == 0 {
			t.pingOrder = slices.Clone(t.memberNames())
			for i := len(t.pingOrder) - 1; i > 0; i-- {
				j := t.randomIntN(i + 1)
				t.pingOrder[i], t.pingOrder[j] = t.pingOrder[j], t.pingOrder[i]
			}
		}
		m := t.members[t.pingOrder[0]]
		t.pingOrder = t.pingOrder[1:]
		if m != nil && m.State < Left && m.pingedAt == 0 {
			t.seq++
			m.pingedAt, m.pingSeq = now, t.seq
			t.send(now, m.Addr, MsgPing, t.seq)
			return
		}
	}
}

func (t *Table) setState(now Micros, m *memberState, s State) {
	m.State, m.stateSince = s, now
	t.queueUpdate(m)
}

// queueUpdate has an entry told: so often that it reaches all.
func (t *Table) queueUpdate(m *memberState) {
	t.pendingUpdates[m.Name] = true
	m.transmitsLeft = 3 * bits.Len(uint(len(t.members)+1))
	t.version++
}

// Piggyback takes news to tell along with something else, at most so many entries: those
// least told first.
func (t *Table) Piggyback(most int) []MemberInfo {
	var list []*memberState
	for name := range t.pendingUpdates {
		if m := t.members[name]; m != nil && m.transmitsLeft > 0 {
			list = append(list, m)
		} else {
			delete(t.pendingUpdates, name)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *memberState) int {
		return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(a.Name, b.Name))
	})
	var out []MemberInfo
	for _, m := range list[:min(most, len(list))] {
		m.transmitsLeft--
		out = append(out, m.MemberInfo)
	}
	return out
}

func (t *Table) send(_ Micros, to string, k MessageKind, seq uint32) {
	t.outputs = append(t.outputs, Output{To: to, Message: Message{Kind: k, Seq: seq, Updates: append([]MemberInfo{t.self}, t.Piggyback(t.settings.MaxUpdates-1)...)}})
}

// Receive takes a message from a process.
func (t *Table) Receive(now Micros, from takeover.Member, m Message) {
	t.Merge(now, m.Updates)
	f := t.members[from.Name]
	if f == nil || f.Incarnation != from.Incarnation {
		return
	}
	t.markResponsive(now, f)
	switch m.Kind {
	case MsgPing:
		t.send(now, f.Addr, MsgAck, m.Seq)
	case MsgJoin:
		t.send(now, f.Addr, MsgAck, 0)
		all := t.Members()
		for len(all) > 0 {
			n := min(t.settings.MaxUpdates, len(all))
			t.outputs = append(t.outputs, Output{To: f.Addr, Message: Message{Kind: MsgGossip, Updates: append([]MemberInfo{t.self}, all[:n]...)}})
			all = all[n:]
		}
	}
}

// markResponsive says that a member's process has spoken: it lives.
func (t *Table) markResponsive(now Micros, m *memberState) {
	if m.pingedAt, m.probing = 0, false; m.State == Suspect || m.State == Unreachable {
		t.setState(now, m, Alive)
	}
}

// ConfirmAlive tells that a probe found the process there, as the life it was thought to be.
func (t *Table) ConfirmAlive(now Micros, who takeover.Member) {
	if m := t.members[who.Name]; m != nil && m.Incarnation == who.Incarnation && m.State < Left {
		t.markResponsive(now, m)
	}
}

// ConfirmDead tells that a process is proven to have ended.
func (t *Table) ConfirmDead(now Micros, who takeover.Member) {
	if m := t.members[who.Name]; m != nil && m.Incarnation <= who.Incarnation && m.State != Dead {
		t.setState(now, m, Dead)
	}
}

// Leave tells some others that this gateway goes.
func (t *Table) Leave(now Micros) {
	t.self.State = Left
	for _, name := range t.memberNames()[:min(len(t.members), 8)] {
		t.send(now, t.members[name].Addr, MsgGossip, 0)
	}
}

// Merge takes what others say of members. A later life goes before an earlier one, a
// later round before an earlier, and of one round the worse word before the better.
func (t *Table) Merge(now Micros, list []MemberInfo) {
	for _, in := range list {
		if in.Name == t.self.Name {
			if in.Incarnation == t.self.Incarnation && in.State > Alive && in.State != t.self.State && in.Refutations >= t.self.Refutations {
				t.self.Refutations = in.Refutations + 1 // goes out with the next message
			}
			continue
		}
		m := t.members[in.Name]
		if m == nil {
			if in.State >= Unreachable && len(t.members) > 0 {
				continue // who was never here need not be remembered as gone
			}
			if len(t.members) >= t.settings.MaxMembers {
				t.rejected++
				continue
			}
			t.addMember(now, in)
			continue
		}
		if in.Incarnation > m.Incarnation || in.Incarnation == m.Incarnation && m.State != Dead && (in.State == Dead || in.Refutations > m.Refutations || in.Refutations == m.Refutations && in.State > m.State) {
			if in.State != m.State || in.Incarnation != m.Incarnation {
				m.stateSince = now
			}
			if in.State == Unreachable && m.State == Alive {
				in.State = Suspect // it gets its time here as well
			}
			if in.Incarnation != m.Incarnation {
				m.pingedAt, m.probing = 0, false
			}
			m.MemberInfo = in
			t.queueUpdate(m)
		}
	}
}
