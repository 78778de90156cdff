package subset

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"archknot/choice"
)

const (
	// poolMost is about how many replicas are looked at for a request's home.
	poolMost = 128
	// homesLeast is how many replicas keep a shared prefix at least, and homeSpread how many times
	// as many as its share of the traffic needs: see docs/measurements/scale.md.
	homesLeast = 8
	homeSpread = 6.0
)

// pool is the replicas of a zone that take work, sorted by a hash of their own: a run of them with
// the same leading bits is a part of the zone that all gateways see alike.
type pool struct {
	keys     []uint64
	replicas []*replica
}

// newPool makes a pool of replicas that are the pool's own from then on.
func newPool(replicas []*replica) *pool {
	p := &pool{replicas: replicas}
	slices.SortFunc(p.replicas, func(a, b *replica) int { return cmp.Compare(poolKey(a), poolKey(b)) })
	for _, r := range p.replicas {
		p.keys = append(p.keys, poolKey(r))
	}
	return p
}

func poolKey(r *replica) uint64 { return hash(r.hash ^ 0x706f6f6c) }

// part returns the run of replicas that share a key's leading bits: as many bits as leave about
// poolMost of the zone's replicas, and fewer where so few would not do.
func (p *pool) part(key uint64, least int) []*replica {
	n := len(p.replicas)
	lead := bits.Len(uint((n - 1) / poolMost))
	for ; lead > 0; lead-- {
		first := key >> (64 - lead) << (64 - lead)
		last := first | math.MaxUint64>>lead
		from, _ := slices.BinarySearch(p.keys, first)
		to, exact := slices.BinarySearch(p.keys, last)
		if exact {
			to++
		}
		if to-from >= least {
			return p.replicas[from:to]
		}
	}
	return p.replicas
}

// home is the replica that all gateways of the zone take for a request's home: of the few that keep
// its prefix, the one that its session ranks first (weighted rendezvous). Replicas in slow start are
// nobody's home.
func (v *View) home(now choice.Micros, in *choice.Request) (best *replica) {
	prefix, session := hash(in.Prefix), hash(in.Session)
	key, rank := prefix, session
	switch {
	case in.Prefix == 0 && in.Session == 0:
		return nil
	case in.Prefix == 0:
		key = session
	case in.Session == 0:
		rank = prefix
	}
	p := v.pool(homeZone(v.zones, hash(key)))
	if p == nil {
		return nil
	}
	share := v.figures.PrefixShare(in.Prefix)
	keep := max(homesLeast, int(math.Ceil(homeSpread*share*float64(len(p.replicas)))))
	part := p.part(key, 2*keep)
	threshold := 1.0
	if in.Prefix != 0 {
		threshold = float64(keep) / float64(len(part))
	}
	var nearest *replica // where none keeps the prefix
	least, near := math.Inf(1), math.Inf(1)
	for _, r := range part {
		if now < r.StartedAt+v.s.ColdFor {
			continue
		}
		distance := unit(hash(prefix ^ r.hash))
		if distance < near {
			nearest, near = r, distance
		}
		if distance >= threshold {
			continue
		}
		if score := -math.Log(unit(hash(rank^r.hash))+1e-18) / r.size(v.s.Weighted); score < least {
			best, least = r, score
		}
	}
	return cmp.Or(best, nearest)
}

// homeZone draws the zone of a key's home: the gateway's own, but for what it has no replicas for.
func homeZone(zones *zoneTable, key uint64) string {
	draw := unit(key)
	for _, z := range zones.sorted {
		if draw -= z.home; draw < 0 {
			return z.name
		}
	}
	return ""
}
