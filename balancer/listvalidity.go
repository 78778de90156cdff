package balancer

import (
	"cmp"
	"math"
)

// How long the endpoint list may be used for new attempts, and for which replicas. A change that the
// gateway does not have counts as known after a while, and the DrainGrace runs from then on, so a list
// is used only for a limited time after the last moment at which it was known to be current.

const (
	// maxNotificationDelay is the time after which a gateway counts as notified of a change of
	// the list, even if its calls fail. It starts when discovery has the change and is reachable.
	maxNotificationDelay Micros = 6_000_000
	// moveNotificationDelay is the time, counted from the order to follow discovery at another address, after
	// which a gateway counts as notified of the changes that were made there before.
	moveNotificationDelay Micros = 4_000_000
	// upgradeNotificationDelay is the time, counted from when it is ready, after which a process that replaces a
	// running one counts as notified of the changes that the other had.
	upgradeNotificationDelay Micros = 2_000_000
	// writeDelay is the longest time between the decision for an attempt and its write to the
	// connection. Half of it allows for a pause between reading the clock and writing.
	writeDelay Micros = 300_000
	// minLocalListValidity is the least ListValidity with an agent on this machine. With a shorter
	// one the list would expire between two calls to the agent.
	minLocalListValidity Micros = 600_000
	// minConfirmedConnAge is the least age of a connection over which a health check confirms a
	// replica. A younger one may lead to a new process at the same address, which answers
	// before it is listed.
	minConfirmedConnAge Micros = 5_000_000
)

// listValidity is what is known of the age of the endpoint list.
type listValidity struct {
	listReceived  bool   // discovery itself has sent a list
	listCurrentAt Micros // the list includes all changes up to this time
	// unavailableAt is the start of the last call to which discovery answered that it serves
	// no list, because it is down or overloaded.
	unavailableAt Micros
	// gapAt is the last ListGap that discovery has not answered yet; 0: there is none.
	gapAt Micros
	// unreachableSince and unreachableAt are the starts of the first and of the last call that
	// found discovery unreachable while changes of before may be missing; 0: there is none.
	unreachableSince, unreachableAt Micros
}

// ListValidity returns how long the list may be used after the last time at which it was current.
// An attempt that is written by then is within DrainGrace of every change that the gateway does
// not have yet. The changes of a local agent count as known as soon as the agent has them.
func (s *Settings) ListValidity() Micros {
	grace := max(0, s.DrainGrace-writeDelay)
	if s.LocalDiscovery {
		return max(minLocalListValidity, grace)
	}
	return maxNotificationDelay + grace
}

// StoredListAge returns how old a stored list counts as when a process starts with it. replacesProcess reports that
// another process of the same gateway still runs.
func (s *Settings) StoredListAge(replacesProcess bool) Micros {
	if replacesProcess && !s.LocalDiscovery {
		return maxNotificationDelay - upgradeNotificationDelay
	}
	return 0
}

// recordStoredList records that a stored list counts as current up to asOf; 0: now.
func (v *listValidity) recordStoredList(now, asOf Micros) {
	v.listCurrentAt = min(v.listCurrentAt, timeOfCall(now, asOf))
}

// recordListCurrent records that the list includes all changes up to asOf; 0: now.
func (v *listValidity) recordListCurrent(now, asOf Micros) {
	v.listCurrentAt = max(v.listCurrentAt, timeOfCall(now, asOf))
}

// recordUnreachable records that discovery could not be reached at asOf; 0: now. No gateway can have
// got changes meanwhile. That makes the list current, unless it lacked changes before.
func (v *listValidity) recordUnreachable(now, asOf Micros) {
	if !v.mayLackChanges() {
		v.recordListCurrent(now, asOf)
		return
	}
	v.unreachableAt = max(v.unreachableAt, timeOfCall(now, asOf))
	if v.unreachableSince == 0 {
		v.unreachableSince = v.unreachableAt
	}
}

// recordUnavailable records that discovery answered the call of asOf that it serves no list; 0: now.
func (v *listValidity) recordUnavailable(now, asOf Micros) {
	v.unavailableAt = max(v.unavailableAt, timeOfCall(now, asOf))
}

// timeOfCall returns the time of a call to discovery that has ended by now; asOf 0: now.
func timeOfCall(now, asOf Micros) Micros { return min(now, cmp.Or(asOf, now)) }

// mayLackChanges reports whether the list may lack changes that no later failure of discovery can
// rule out: it is a stored one that discovery has not answered for yet, or there was a ListGap.
func (v *listValidity) mayLackChanges() bool { return !v.listReceived || v.gapAt > 0 }

// recordGap records that the list may lack changes of before asOf (0: now), until discovery answers. Where
// discovery is asked for the list, these changes count as known earlier than those that it gets from now on.
func (b *Balancer) recordGap(now, asOf Micros) {
	b.gapAt, b.unreachableSince, b.unreachableAt = now, 0, 0
	if !b.settings.LocalDiscovery {
		b.listCurrentAt = min(b.listCurrentAt, timeOfCall(now, asOf)-(maxNotificationDelay-moveNotificationDelay))
	}
	b.forgetAcceptance()
}

// recordAnswered records that discovery has answered with all changes up to asOf; 0: now.
func (b *Balancer) recordAnswered(now, asOf Micros) {
	b.recordListCurrent(now, asOf)
	if b.mayLackChanges() {
		b.listReceived, b.gapAt, b.unreachableSince, b.unreachableAt = true, 0, 0, 0
		b.forgetAcceptance()
	}
}

func (b *Balancer) forgetAcceptance() {
	for _, row := range b.rows {
		row.acceptedAt = 0
	}
}

// recordAccepted records that a replica has accepted an attempt. By the protocol a draining replica
// turns new work away, so this one was not draining when the attempt was sent. It is recorded only
// while the list may lack changes; otherwise the list shows which replicas drain.
func (b *Balancer) recordAccepted(a *attempt) {
	if b.mayLackChanges() && a.sentAt >= b.gapAt {
		a.row.acceptedAt = max(a.row.acceptedAt, a.sentAt)
	}
}

// acceptedWhileUnreachable reports whether a replica has accepted an attempt that was sent while
// discovery could not be reached. Changes that the list lacks are older, so none of them drains
// this replica.
func (b *Balancer) acceptedWhileUnreachable(row *replicaRow) bool {
	return b.unreachableSince > 0 && row.acceptedAt >= b.unreachableSince
}

// ListAge returns the time since the list was last known to include all changes.
func (b *Balancer) ListAge(now Micros) Micros { return now - b.listCurrentAt }

// ListValidUntil returns the time until which attempts may be written according to the list.
// Later a replica may be draining or removed, and its DrainGrace over, without this gateway
// having the change. While the list may lack changes, each replica has a limit of its own, which
// may be earlier: see EntryValidUntil.
func (b *Balancer) ListValidUntil() Micros {
	if b.settings.WatchInterval <= 0 { // discovery sends only changes, so the list does not expire
		return math.MaxInt64
	}
	return max(b.listCurrentAt, b.unavailableAt, b.unreachableAt) + b.settings.ListValidity()
}

// EntryValidUntil returns the time until which attempts may be written to a replica according to
// its entry in the list.
func (b *Balancer) EntryValidUntil(id ReplicaID) Micros {
	if row := b.rowByID[id]; row != nil {
		return b.entryValidUntil(row)
	}
	return b.CompleteListValidUntil()
}

func (b *Balancer) entryValidUntil(row *replicaRow) Micros {
	until := b.CompleteListValidUntil()
	if !b.mayLackChanges() || row.acceptedAt == 0 {
		return until
	}
	if b.acceptedWhileUnreachable(row) {
		until = max(until, b.unreachableAt+b.settings.ListValidity())
	}
	return max(until, b.unavailableAt+b.settings.ListValidity())
}

// CompleteListValidUntil returns the time until which attempts may be written to all replicas that
// the list shows as ready.
func (b *Balancer) CompleteListValidUntil() Micros {
	if b.settings.WatchInterval > 0 && b.mayLackChanges() {
		return b.listCurrentAt + b.settings.ListValidity()
	}
	return b.ListValidUntil()
}

// ListStale reports whether the list is too old for new attempts.
func (b *Balancer) ListStale(now Micros) bool { return now >= b.ListValidUntil() }

// ListUnconfirmed reports whether ListValidity has passed since the list was last current. Such a
// list, which logs call doubtful, is used until ListValidUntil, while discovery is unreachable or
// answers that it serves none. Changes may be missing, so new attempts go only to replicas that
// needsConfirmation does not exclude.
func (b *Balancer) ListUnconfirmed(now Micros) bool {
	return b.settings.WatchInterval > 0 && now >= b.listCurrentAt+b.settings.ListValidity()
}

// needsConfirmation reports whether a replica must pass a health check before new attempts,
// because the list is unconfirmed.
func (b *Balancer) needsConfirmation(now Micros, row *replicaRow) bool {
	return b.ListUnconfirmed(now) && !b.acceptedWhileUnreachable(row) && !b.isConfirmed(now, row)
}

// isConfirmed reports whether a replica has recently passed a health check over an old connection,
// so its process runs and is the listed one.
func (b *Balancer) isConfirmed(now Micros, row *replicaRow) bool {
	return now-row.confirmedAt < maxNotificationDelay
}
