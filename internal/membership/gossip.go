package membership

import (
	"cmp"
	"math/bits"
	"slices"

	"archknot/internal/takeover"
)

// retransmitFactor, times the binary logarithm of the number of members, is the number of times
// that an update is sent so that it reaches all members.
const retransmitFactor = 3

// leaveNotices is the number of members that a leaving gateway notifies directly.
const leaveNotices = 8

// Piggyback returns at most limit updates to send along with another message, those with the
// most transmissions left first. It counts them as sent.
func (t *Table) Piggyback(limit int) []MemberInfo {
	var pending []*memberState
	for name := range t.pendingUpdates {
		if m := t.members[name]; m != nil && m.transmitsLeft > 0 {
			pending = append(pending, m)
		} else {
			delete(t.pendingUpdates, name)
		}
	}
	if len(pending) == 0 {
		return nil
	}
	slices.SortFunc(pending, func(a, b *memberState) int {
		return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(a.Name, b.Name))
	})
	var updates []MemberInfo
	for _, m := range pending[:min(limit, len(pending))] {
		m.transmitsLeft--
		updates = append(updates, m.MemberInfo)
	}
	return updates
}

// queueUpdate queues a member's state to be gossiped.
func (t *Table) queueUpdate(m *memberState) {
	t.pendingUpdates[m.Name] = true
	m.transmitsLeft = retransmitFactor * bits.Len(uint(len(t.members)+1))
	t.version++
}

// send sends a message with this gateway's own state and pending updates.
func (t *Table) send(to string, kind MessageKind, seq uint32) {
	t.emitMessage(to, Message{Kind: kind, Seq: seq, Updates: t.withSelf(t.Piggyback(t.settings.MaxUpdates - 1))})
}

func (t *Table) emitMessage(to string, m Message) {
	t.outputs = append(t.outputs, Output{To: to, Message: m})
}

// withSelf returns this gateway's own state, followed by updates.
func (t *Table) withSelf(updates []MemberInfo) []MemberInfo {
	return append([]MemberInfo{t.self}, updates...)
}

// Receive applies the updates of a message from another member, and handles the message itself if
// the sender is in the table with the same incarnation.
func (t *Table) Receive(now Micros, from takeover.Member, m Message) {
	t.Merge(now, m.Updates)
	sender := t.members[from.Name]
	if sender == nil || sender.Incarnation != from.Incarnation {
		return
	}
	t.markResponsive(now, sender)
	switch m.Kind {
	case MsgPing:
		t.send(sender.Addr, MsgAck, m.Seq)
	case MsgJoin:
		t.send(sender.Addr, MsgAck, 0)
		for part := range slices.Chunk(t.Members(), t.settings.MaxUpdates) {
			t.emitMessage(sender.Addr, Message{Kind: MsgGossip, Updates: t.withSelf(part)})
		}
	}
}

// markResponsive records that a member's process runs.
func (t *Table) markResponsive(now Micros, m *memberState) {
	m.pingedAt = 0
	m.probing = false
	if m.State == Suspect || m.State == Unreachable {
		t.setState(now, m, Alive)
	}
}

// ConfirmAlive records that a probe was answered by the process in the expected incarnation.
func (t *Table) ConfirmAlive(now Micros, member takeover.Member) {
	if m := t.members[member.Name]; m != nil && m.Incarnation == member.Incarnation && m.State < Left {
		t.markResponsive(now, m)
	}
}

// ConfirmDead records that a process is proven to have ended.
func (t *Table) ConfirmDead(now Micros, member takeover.Member) {
	if m := t.members[member.Name]; m != nil && m.Incarnation <= member.Incarnation && m.State != Dead {
		t.setState(now, m, Dead)
	}
}

// Leave marks this gateway as left and notifies up to leaveNotices members, which gossip it.
func (t *Table) Leave(Micros) {
	t.self.State = Left
	for _, name := range t.sortedNames[:min(len(t.members), leaveNotices)] {
		t.send(t.members[name].Addr, MsgGossip, 0)
	}
}

// Merge applies updates from other members.
func (t *Table) Merge(now Micros, updates []MemberInfo) {
	for _, update := range updates {
		if update.Name == t.self.Name {
			t.refute(update)
		} else if m := t.members[update.Name]; m == nil {
			t.mergeUnknown(now, update)
		} else if supersedes(update, m.MemberInfo) {
			t.applyUpdate(now, m, update)
		}
	}
}

// refute refutes an update that reports this gateway as not alive. The next message carries the
// refutation.
func (t *Table) refute(update MemberInfo) {
	contradictsSelf := update.Incarnation == t.self.Incarnation && update.State > Alive && update.State != t.self.State
	if contradictsSelf && update.Refutations >= t.self.Refutations {
		t.self.Refutations = update.Refutations + 1
	}
}

// mergeUnknown adds a member that is not in the table. A member that is unreachable, left or dead
// is added only to an empty table: otherwise there is no reason to store it.
func (t *Table) mergeUnknown(now Micros, update MemberInfo) {
	if update.State >= Unreachable && len(t.members) > 0 {
		return
	}
	if len(t.members) >= t.settings.MaxMembers {
		t.rejected++
		return
	}
	t.addMember(now, update)
}

// supersedes reports whether an update has precedence over the known state of a member. The
// criteria are, in order: later incarnation, death, more refutations, greater state.
func supersedes(update, known MemberInfo) bool {
	if update.Incarnation != known.Incarnation {
		return update.Incarnation > known.Incarnation
	}
	if known.State == Dead || update.State == Dead {
		return known.State != Dead
	}
	if update.Refutations != known.Refutations {
		return update.Refutations > known.Refutations
	}
	return update.State > known.State
}

func (t *Table) applyUpdate(now Micros, m *memberState, update MemberInfo) {
	if update.State != m.State || update.Incarnation != m.Incarnation {
		m.stateSince = now
	}
	if update.State == Unreachable && m.State == Alive {
		update.State = Suspect // SuspicionTimeout has to pass at this gateway as well
	}
	if update.Incarnation != m.Incarnation {
		m.pingedAt = 0
		m.probing = false
	}
	m.MemberInfo = update
	t.queueUpdate(m)
}
