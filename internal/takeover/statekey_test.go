package takeover

import (
	"encoding/binary"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// stateKey returns the hash of a state. Two states with the same key have the same successors. It
// encodes the fields without reflection, because millions of keys are computed.
func (m *model) stateKey() uint64 {
	b := make(stateEncoder, 0, 2048)
	for g := range m.nodes {
		b.ints(int64(m.incarnations[g]))
		b.bools(m.down[g], m.frozen[g])
	}
	for a := range m.nodes {
		for c := a + 1; c < len(m.nodes); c++ {
			b.bools(m.partitions[[2]int{a, c}])
		}
	}
	left := m.budget
	for _, v := range []int{left.kills, left.starts, left.freezes, left.partitions, left.duplicates, left.ticks, left.resumes, left.failures, left.rejections} {
		b.ints(int64(v))
	}
	b.ints(m.now)
	b.unordered(len(m.network), func(b *stateEncoder, i int) {
		f := &m.network[i]
		b.member(f.from)
		b.member(f.to)
		b.message(&f.message)
	})
	b.unordered(len(m.probes), func(b *stateEncoder, i int) { b.members(m.probes[i][:]) })
	b.unordered(len(m.granted), func(b *stateEncoder, i int) { b.ints(int64(m.granted[i].gateway)); b.text(m.granted[i].id) })
	b.unordered(len(m.stopping), func(b *stateEncoder, i int) { b.ints(int64(m.stopping[i].gateway)); b.text(m.stopping[i].id) })
	for g, n := range m.nodes {
		if m.down[g] {
			continue
		}
		b.ints(int64(n.lastQueryID))
		b.unordered(len(m.nodes), func(b *stateEncoder, i int) { b.ints(int64(i)); b.ints(int64(n.tombstones["g"+strconv.Itoa(i)])) })
		for _, r := range m.requests {
			if record := n.records[r.id]; record != nil {
				b.member(record.holder)
				b.ints(int64(record.epoch), int64(record.resumeSeq), record.deadline, record.expiresAt)
				b.bools(record.permitGranted)
				b.member(record.lastRequester)
				b.message(&record.lastReply)
				if decision := record.decision; decision != nil {
					b.message(&decision.request)
					b.member(decision.requester)
					b.ints(decision.startedAt, decision.lastSentAt)
					b.bools(decision.awaitingAcks != nil)
					b.members(decision.awaitingAcks)
				}
			}
			b.text("/")
			if lease := n.leases[r.id]; lease != nil {
				b.ints(int64(lease.epoch), int64(lease.resumeSeq))
				b.bools(lease.exhausted...)
				b.member(lease.grantor)
				b.bools(lease.stopped)
				b.query(lease.permitQuery)
				b.query(lease.leaseCheck)
				for i := range lease.releaseQueries {
					b.query(&lease.releaseQueries[i])
				}
			}
			b.text("/")
			if claim := n.claims[r.id]; claim != nil {
				b.query(&claim.pendingQuery)
				b.ints(int64(claim.resumeSeq), int64(claim.phase), claim.deadline)
				b.bools(claim.recordFound)
				b.message(&claim.latestRecord)
			}
		}
	}
	for _, r := range m.requests {
		for _, a := range r.attempts {
			b.member(a.by)
			b.bools(a.open, a.mayHaveRun)
		}
		b.ints(int64(r.resumes))
		b.bools(r.resumedTwice)
		for _, k := range sortedKeys(r.pendingClaims) {
			b.text(k)
			b.ints(int64(r.pendingClaims[k]))
		}
		for g := range m.nodes {
			b.members(r.supersededAt[g])
		}
	}
	return xxhash.Sum64(b)
}

// stateEncoder builds the encoding of a state that is hashed.
type stateEncoder []byte

func (b *stateEncoder) ints(list ...int64) {
	for _, v := range list {
		*b = binary.AppendVarint(*b, v)
	}
}

func (b *stateEncoder) bools(list ...bool) {
	for _, v := range list {
		if v {
			*b = append(*b, 1)
		} else {
			*b = append(*b, 0)
		}
	}
}
func (b *stateEncoder) text(s string) { *b = append(append(*b, s...), 0) }
func (b *stateEncoder) member(m Member) {
	b.text(m.Name)
	b.ints(int64(m.Incarnation))
}
func (b *stateEncoder) members(list []Member) {
	b.ints(int64(len(list)))
	for _, m := range list {
		b.member(m)
	}
}

func (b *stateEncoder) message(m *Message) {
	b.ints(int64(m.Kind), int64(m.ToIncarnation), int64(m.QueryID), int64(m.Epoch), int64(m.ResumeSeq), int64(m.NextResumeSeq), m.TimeLeft, int64(m.Chain), int64(m.Reason))
	b.text(m.RequestID)
	b.member(m.Holder)
	b.bools(m.PermitGranted, m.Initial, m.OK, m.MayHaveRun)
	b.members(m.ProvenDead)
}

func (b *stateEncoder) query(query *pendingQuery) {
	if query == nil {
		b.text("-")
		return
	}
	b.ints(int64(query.id), int64(query.chain), query.startedAt, query.lastSentAt)
	b.member(query.to)
	b.members(query.unanswered)
}

// unordered writes a set of n elements, independently of their order.
func (b *stateEncoder) unordered(n int, each func(*stateEncoder, int)) {
	var all uint64
	var one stateEncoder
	for i := range n {
		one = one[:0]
		each(&one, i)
		all += xxhash.Sum64(one)
	}
	b.ints(int64(n), int64(all))
}
