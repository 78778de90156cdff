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
	Alive   State = iota
	Doubted       // it has not answered, and its port does not say why
	Away          // for long
	Left          // it said so
	Dead          // its process has ended: proven
)

// String is the word for people.
func (s State) String() string {
	return [...]string{"alive", "doubted", "away", "left", "dead"}[s]
}

// Info is a member as it is told.
type Info struct {
	takeover.Member
	Addr  string // host:port for datagrams and for probes
	Site  string
	State State
	Round uint32 // of denials: a member that hears itself doubted says the next
}

// Kind is what a message is.
type Kind uint8

const (
	Ping Kind = iota + 1
	Ack
	Join // as Ping, from one that knows nobody: the answer is the whole list, in pieces
	Tell // news only
)

// Message goes from one to another; its sender's own Info is always among the news.
type Message struct {
	Kind Kind
	Seq  uint32
	News []Info
}

// Output is what the caller has to do.
type Output struct {
	To    string // address for Msg
	Msg   Message
	Probe *Info // dial it, and tell by Proof or Answers
}

// Settings of a member.
type Settings struct {
	Every  Micros // between two pings
	Answer Micros // how long an answer is waited for
	Doubt  Micros // how long a doubted member has before it is away
	Forget Micros // how long those away, left and dead are remembered
	Most   int    // members known at most, in all states
	News   int    // entries in one message at most
}

// DefaultSettings are for some hundreds of members.
func DefaultSettings() Settings {
	return Settings{Every: 300_000, Answer: 150_000, Doubt: 2_000_000, Forget: 600_000_000, Most: 512, News: 16}
}

// Table is one gateway's view.
type Table struct {
	s       Settings
	self    Info
	seeds   []string
	members map[string]*member
	order   []string // their names, sorted: all runs go one way
	round   []string // whom to ask, in this round's order
	seq     uint32
	out     []Output
	nextAt  Micros
	joinAt  Micros
	joins   int
	rng     uint64
	fresh   map[string]bool // members with news to tell
	version uint64          // one more with each change that matters to who is there
	refused int
}

type member struct {
	Info
	since   Micros // in this state
	asked   Micros // a ping is out since; 0: none
	seq     uint32
	probing bool
	carry   int // how often this news is still to be told
}

// New returns the view of a gateway that knows the addresses of some others.
func New(self Info, seeds []string, s Settings, seed uint64) *Table {
	return &Table{s: s, self: self, seeds: seeds, members: map[string]*member{}, fresh: map[string]bool{}, rng: seed*2 + 1}
}

// Outputs returns what is to be done since the last call.
func (t *Table) Outputs() []Output {
	out := t.out
	t.out = nil
	return out
}

// Version changes whenever a member comes, goes, or is believed otherwise.
func (t *Table) Version() uint64 { return t.version }

// Refused is how many members there was no room for.
func (t *Table) Refused() int { return t.refused }

// Members lists what is known, by name, without the gateway itself.
func (t *Table) Members() []Info {
	out := make([]Info, len(t.order))
	for i, name := range t.order {
		out[i] = t.members[name].Info
	}
	return out
}

// Member is one by its name.
func (t *Table) Member(name string) (Info, bool) {
	if name == t.self.Name {
		return t.self, true
	}
	m := t.members[name]
	if m == nil {
		return Info{}, false
	}
	return m.Info, true
}

func (t *Table) random(n int) int {
	t.rng ^= t.rng << 13
	t.rng ^= t.rng >> 7
	t.rng ^= t.rng << 17
	return int((t.rng >> 11) % uint64(n))
}

// joinEvery is how often the seeds are asked while nobody is known; it grows from
// there, for a seed may be of another part of a fleet that was split.
const joinEvery = 500_000

// Tick lets time pass.
func (t *Table) Tick(now Micros) {
	for _, name := range slices.Clone(t.names()) {
		t.pass(now, t.members[name])
	}
	if now >= t.joinAt && len(t.seeds) > 0 {
		to := t.random(len(t.seeds))
		for i, seed := range t.seeds { // all while nobody is known: one of them may be gone
			if seed != t.self.Addr && (i == to || len(t.members) == 0 && i < 8) {
				t.send(now, seed, Join, 0)
			}
		}
		t.joins++
		t.joinAt = now + joinEvery*int64(min(t.joins, 20))
		if len(t.members) == 0 {
			t.joinAt = now + joinEvery
		}
	}
	if now >= t.nextAt {
		t.nextAt = now + t.s.Every
		t.ask(now)
	}
}

// names lists the members; good until one comes or goes.
func (t *Table) names() []string { return t.order }

func (t *Table) enter(now Micros, in Info) {
	m := &member{Info: in, since: now}
	t.members[in.Name] = m
	i, _ := slices.BinarySearch(t.order, in.Name)
	t.order = slices.Insert(t.order, i, in.Name)
	t.news(m)
}

func (t *Table) forget(name string) {
	delete(t.members, name)
	i, _ := slices.BinarySearch(t.order, name)
	t.order = slices.Delete(t.order, i, i+1)
	t.version++
}

// pass lets time pass for one member.
func (t *Table) pass(now Micros, m *member) {
	switch {
	case m.asked > 0 && now-m.asked >= t.s.Answer && !m.probing && m.State < Left:
		m.probing = true
		info := m.Info
		t.out = append(t.out, Output{Probe: &info})
	case m.asked > 0 && now-m.asked >= 3*t.s.Answer && m.State < Left:
		m.asked, m.probing = 0, false // neither the member nor its port has answered
		if m.State == Alive {
			t.believe(now, m, Doubted)
		}
	}
	if m.State == Doubted && now-m.since >= t.s.Doubt {
		t.believe(now, m, Away)
	}
	if m.State >= Away && now-m.since >= t.s.Forget {
		t.forget(m.Name)
	}
}

// ask pings the next one of the round: everyone once before anyone twice.
func (t *Table) ask(now Micros) {
	for range 2 * len(t.members) {
		if len(t.round) == 0 {
			t.round = slices.Clone(t.names())
			for i := len(t.round) - 1; i > 0; i-- {
				j := t.random(i + 1)
				t.round[i], t.round[j] = t.round[j], t.round[i]
			}
		}
		m := t.members[t.round[0]]
		t.round = t.round[1:]
		if m != nil && m.State < Left && m.asked == 0 {
			t.seq++
			m.asked, m.seq = now, t.seq
			t.send(now, m.Addr, Ping, t.seq)
			return
		}
	}
}

func (t *Table) believe(now Micros, m *member, s State) {
	m.State, m.since = s, now
	t.news(m)
}

// news has an entry told: so often that it reaches all.
func (t *Table) news(m *member) {
	t.fresh[m.Name] = true
	m.carry = 3 * bits.Len(uint(len(t.members)+1))
	t.version++
}

// Carry takes news to tell along with something else, at most so many entries: those
// least told first.
func (t *Table) Carry(most int) []Info {
	var list []*member
	for name := range t.fresh {
		if m := t.members[name]; m != nil && m.carry > 0 {
			list = append(list, m)
		} else {
			delete(t.fresh, name)
		}
	}
	if len(list) == 0 {
		return nil
	}
	slices.SortFunc(list, func(a, b *member) int { return cmp.Or(cmp.Compare(b.carry, a.carry), cmp.Compare(a.Name, b.Name)) })
	var out []Info
	for _, m := range list[:min(most, len(list))] {
		m.carry--
		out = append(out, m.Info)
	}
	return out
}

func (t *Table) send(_ Micros, to string, k Kind, seq uint32) {
	t.out = append(t.out, Output{To: to, Msg: Message{Kind: k, Seq: seq, News: append([]Info{t.self}, t.Carry(t.s.News-1)...)}})
}

// Recv takes a message from a process.
func (t *Table) Recv(now Micros, from takeover.Member, m Message) {
	t.News(now, m.News)
	f := t.members[from.Name]
	if f == nil || f.Life != from.Life {
		return
	}
	t.heard(now, f)
	switch m.Kind {
	case Ping:
		t.send(now, f.Addr, Ack, m.Seq)
	case Join:
		t.send(now, f.Addr, Ack, 0)
		all := t.Members()
		for len(all) > 0 {
			n := min(t.s.News, len(all))
			t.out = append(t.out, Output{To: f.Addr, Msg: Message{Kind: Tell, News: append([]Info{t.self}, all[:n]...)}})
			all = all[n:]
		}
	}
}

// heard says that a member's process has spoken: it lives.
func (t *Table) heard(now Micros, m *member) {
	if m.asked, m.probing = 0, false; m.State == Doubted || m.State == Away {
		t.believe(now, m, Alive)
	}
}

// Answers tells that a probe found the process there, as the life it was thought to be.
func (t *Table) Answers(now Micros, who takeover.Member) {
	if m := t.members[who.Name]; m != nil && m.Life == who.Life && m.State < Left {
		t.heard(now, m)
	}
}

// Proof tells that a process is proven to have ended.
func (t *Table) Proof(now Micros, who takeover.Member) {
	if m := t.members[who.Name]; m != nil && m.Life <= who.Life && m.State != Dead {
		t.believe(now, m, Dead)
	}
}

// Leave tells some others that this gateway goes.
func (t *Table) Leave(now Micros) {
	t.self.State = Left
	for _, name := range t.names()[:min(len(t.members), 8)] {
		t.send(now, t.members[name].Addr, Tell, 0)
	}
}

// News takes what others say of members. A later life goes before an earlier one, a
// later round before an earlier, and of one round the worse word before the better.
func (t *Table) News(now Micros, list []Info) {
	for _, in := range list {
		if in.Name == t.self.Name {
			if in.Life == t.self.Life && in.State > Alive && in.State != t.self.State && in.Round >= t.self.Round {
				t.self.Round = in.Round + 1 // goes out with the next message
			}
			continue
		}
		m := t.members[in.Name]
		if m == nil {
			if in.State >= Away && len(t.members) > 0 {
				continue // who was never here need not be remembered as gone
			}
			if len(t.members) >= t.s.Most {
				t.refused++
				continue
			}
			t.enter(now, in)
			continue
		}
		if in.Life > m.Life || in.Life == m.Life && m.State != Dead && (in.State == Dead || in.Round > m.Round || in.Round == m.Round && in.State > m.State) {
			if in.State != m.State || in.Life != m.Life {
				m.since = now
			}
			if in.State == Away && m.State == Alive {
				in.State = Doubted // it gets its time here as well
			}
			if in.Life != m.Life {
				m.asked, m.probing = 0, false
			}
			m.Info = in
			t.news(m)
		}
	}
}
