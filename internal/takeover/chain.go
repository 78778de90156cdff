package takeover

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// SelectBackups selects at most limit members that store the record of a request, by
// rendezvous hashing of its id. Half of the places, rounded up, are reserved for members in
// other zones than the holder's. The holder itself is never selected. The result is in the
// order of the rendezvous scores, whatever the zones.
func SelectBackups(id string, holder Member, zoneOf func(Member) string, members []Member, limit int) []Member {
	type candidate struct {
		member Member
		remote bool
		score  uint64
	}
	candidates := make([]candidate, 0, len(members))
	holderZone := zoneOf(holder)
	for _, m := range members {
		if m.Name != holder.Name {
			candidates = append(candidates, candidate{m, zoneOf(m) != holderZone, rendezvousScore(id, m.Name)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.score, a.score) })
	// Half of the places go to other zones, so that the loss of a zone loses no request. The
	// others go to the best of any zone, so that few claims need to cross zones.
	var selected []Member
	remote := 0
	for _, c := range candidates {
		if c.remote && remote < (limit+1)/2 {
			selected = append(selected, c.member)
			remote++
		}
	}
	for _, c := range candidates {
		if len(selected) < limit && !slices.Contains(selected, c.member) {
			selected = append(selected, c.member)
		}
	}
	slices.SortFunc(selected, func(a, b Member) int {
		return cmp.Compare(rendezvousScore(id, b.Name), rendezvousScore(id, a.Name))
	})
	return selected
}

// rendezvousScore returns the rendezvous hash of a gateway for a request.
func rendezvousScore(id, name string) uint64 {
	hash := fnv.New64a()
	hash.Write([]byte(name))
	hash.Write([]byte{0})
	hash.Write([]byte(id))
	// FNV alone ranks similar names in the same order for all ids. The first round of the
	// MurmurHash3 finalizer mixes the bits.
	x := hash.Sum64()
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	return x
}

// chainCount returns how many chains a list of backups forms.
func (n *Node) chainCount(backups []Member) int { return min(n.settings.Permits, len(backups)) }

// chainMembers returns the backups of one chain, in order.
func (n *Node) chainMembers(backups []Member, chain int) (members []Member) {
	for i := chain; i < len(backups); i += max(1, n.settings.Permits) {
		members = append(members, backups[i])
	}
	return members
}

// chainHead returns the first of a chain's members that is not proven dead.
func (n *Node) chainHead(members []Member) (head Member, ok bool) {
	for _, m := range members {
		if !n.isDead(m) {
			return m, true
		}
	}
	return Member{}, false
}
