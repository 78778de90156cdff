package subset

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"archknot/balancer"
)

const (
	// affinityPoolSize is about how many replicas are looked at for a request's home.
	affinityPoolSize = 128
	// minPrefixTargets is how many replicas keep a shared prefix at least, and prefixTargetHeadroom how many times
	// as many as its share of the traffic needs: see docs/measurements/scale.md.
	minPrefixTargets     = 8
	prefixTargetHeadroom = 6.0
)

// affinityPool is the replicas of a zone that take work, sorted by a hash of their own: a run of them with
// the same leading bits is a part of the zone that all gateways see alike.
type affinityPool struct {
	sortKeys []uint64
	replicas []*replica
}

// newAffinityPool makes a pool of replicas that are the pool's own from then on.
func newAffinityPool(replicas []*replica) *affinityPool {
	p := &affinityPool{replicas: replicas}
	slices.SortFunc(p.replicas, func(a, b *replica) int { return cmp.Compare(affinityPoolKey(a), affinityPoolKey(b)) })
	for _, r := range p.replicas {
		p.sortKeys = append(p.sortKeys, affinityPoolKey(r))
	}
	return p
}

func affinityPoolKey(r *replica) uint64 { return mix64(r.hash ^ 0x706f6f6c) }

// candidates returns the run of replicas that share a key's leading bits: as many bits as leave about
// affinityPoolSize of the zone's replicas, and fewer where so few would not do.
func (p *affinityPool) candidates(key uint64, least int) []*replica {
	n := len(p.replicas)
	lead := bits.Len(uint((n - 1) / affinityPoolSize))
	for ; lead > 0; lead-- {
		first := key >> (64 - lead) << (64 - lead)
		last := first | math.MaxUint64>>lead
		from, _ := slices.BinarySearch(p.sortKeys, first)
		to, exact := slices.BinarySearch(p.sortKeys, last)
		if exact {
			to++
		}
		if to-from >= least {
			return p.replicas[from:to]
		}
	}
	return p.replicas
}

// affinityTarget is the replica that all gateways of the zone take for a request's home: of the few that keep
// its prefix, the one that its session ranks first (weighted rendezvous). Replicas in slow start are
// nobody's home.
func (v *Selector) affinityTarget(now balancer.Micros, in *balancer.Request) (best *replica) {
	prefix, session := mix64(in.Prefix), mix64(in.Session)
	key, rank := prefix, session
	switch {
	case in.Prefix == 0 && in.Session == 0:
		return nil
	case in.Prefix == 0:
		key = session
	case in.Session == 0:
		rank = prefix
	}
	p := v.affinityPool(affinityZone(v.zones, mix64(key)))
	if p == nil {
		return nil
	}
	share := v.prefixStats.PrefixShare(in.Prefix)
	keep := max(minPrefixTargets, int(math.Ceil(prefixTargetHeadroom*share*float64(len(p.replicas)))))
	part := p.candidates(key, 2*keep)
	threshold := 1.0
	if in.Prefix != 0 {
		threshold = float64(keep) / float64(len(part))
	}
	var nearest *replica // where none keeps the prefix
	least, near := math.Inf(1), math.Inf(1)
	for _, r := range part {
		if now < r.StartedAt+v.settings.SlowStart {
			continue
		}
		distance := unitInterval(mix64(prefix ^ r.hash))
		if distance < near {
			nearest, near = r, distance
		}
		if distance >= threshold {
			continue
		}
		if score := -math.Log(unitInterval(mix64(rank^r.hash))+1e-18) / r.size(v.settings.WeightIsSize); score < least {
			best, least = r, score
		}
	}
	return cmp.Or(best, nearest)
}

// affinityZone draws the zone of a key's home: the gateway's own, but for what it has no replicas for.
func affinityZone(zones *zoneTable, key uint64) string {
	draw := unitInterval(key)
	for _, z := range zones.sorted {
		if draw -= z.affinityShare; draw < 0 {
			return z.name
		}
	}
	return ""
}
