package subset

import (
	"cmp"
	"math"
	"math/bits"
	"slices"

	"archknot/balancer"
)

const (
	// affinityPoolSize is the approximate number of candidates for a request's affinity target.
	affinityPoolSize = 128
	// minPrefixTargets is the least number of replicas that serve a shared prefix.
	minPrefixTargets = 8
	// prefixTargetHeadroom is the factor by which the replicas that serve a prefix exceed the number that
	// its fraction of the traffic requires: see docs/measurements/scale.md.
	prefixTargetHeadroom = 6.0
	// scoreEpsilon keeps the logarithm in the rendezvous score finite.
	scoreEpsilon = 1e-18
	// affinityPoolSeed separates the order of affinity pools from other uses of a replica's hash.
	affinityPoolSeed = 0x706f6f6c // "pool"
)

// affinityPool holds the ready replicas of a zone, sorted by affinityPoolKey. Replicas whose keys share their
// leading bits form a run, which is the same at all gateways.
type affinityPool struct {
	sortKeys []uint64
	replicas []*replica // in the order of sortKeys
}

// newAffinityPool returns a pool of the replicas. It takes ownership of the slice and sorts it.
func newAffinityPool(replicas []*replica) *affinityPool {
	p := &affinityPool{replicas: replicas}
	slices.SortFunc(p.replicas, func(a, b *replica) int { return cmp.Compare(affinityPoolKey(a), affinityPoolKey(b)) })
	for _, r := range p.replicas {
		p.sortKeys = append(p.sortKeys, affinityPoolKey(r))
	}
	return p
}

func affinityPoolKey(r *replica) uint64 { return mix64(r.hash ^ affinityPoolSeed) }

// candidates returns the run of replicas that share a key's leading bits. The number of bits leaves about
// affinityPoolSize replicas; fewer bits are used if the run would have less than minCount.
func (p *affinityPool) candidates(key uint64, minCount int) []*replica {
	n := len(p.replicas)
	leadingBits := bits.Len(uint((n - 1) / affinityPoolSize))
	for ; leadingBits > 0; leadingBits-- {
		first := key >> (64 - leadingBits) << (64 - leadingBits)
		last := first | math.MaxUint64>>leadingBits
		from, _ := slices.BinarySearch(p.sortKeys, first)
		to, exact := slices.BinarySearch(p.sortKeys, last)
		if exact {
			to++
		}
		if to-from >= minCount {
			return p.replicas[from:to]
		}
	}
	return p.replicas
}

// AssignAffinityTarget sets the AffinityTarget of an arriving request. If that replica is not announced to
// the balancer yet, changed is true and the returned list announces it; the balancer must receive this list
// before the request.
func (s *Selector) AssignAffinityTarget(now balancer.Micros, request *balancer.Request) (list balancer.EndpointList, changed bool) {
	if !s.subsetting {
		return list, false
	}
	target := s.affinityTarget(now, request)
	if target == nil {
		return list, false
	}
	s.useCounter++
	s.announceTarget(target, &list)
	request.AffinityTarget = target.Replica
	list.Kind, list.FleetSize = balancer.ListOverride, s.stats.Ready
	sortByReplica(list.Endpoints)
	return list, len(list.Endpoints) > 0
}

// affinityTarget returns the affinity target of a request, which is the same at all gateways of the zone: of
// the few replicas that serve the request's prefix, the one that ranks first for its session by weighted
// rendezvous hashing. Replicas that are warming up are excluded. It returns nil if the request has neither
// session nor prefix, or if there is no such replica.
func (s *Selector) affinityTarget(now balancer.Micros, request *balancer.Request) *replica {
	if request.Prefix == 0 && request.Session == 0 {
		return nil
	}
	prefixHash, sessionHash := mix64(request.Prefix), mix64(request.Session)
	poolHash, rankHash := prefixHash, sessionHash
	if request.Prefix == 0 {
		poolHash = sessionHash
	} else if request.Session == 0 {
		rankHash = prefixHash
	}
	pool := s.affinityPool(affinityZone(s.zones, mix64(poolHash)))
	if pool == nil {
		return nil
	}
	targetCount := s.prefixTargetCount(request.Prefix, len(pool.replicas))
	candidates := pool.candidates(poolHash, 2*targetCount)
	maxDistance := 1.0
	if request.Prefix != 0 {
		maxDistance = float64(targetCount) / float64(len(candidates))
	}
	return s.bestTarget(now, candidates, prefixHash, rankHash, maxDistance)
}

// prefixTargetCount returns how many of the zone's replicas serve a prefix.
func (s *Selector) prefixTargetCount(prefix uint64, zoneSize int) int {
	trafficFraction := s.prefixStats.PrefixShare(prefix)
	return max(minPrefixTargets, int(math.Ceil(prefixTargetHeadroom*trafficFraction*float64(zoneSize))))
}

// bestTarget returns the candidate with the best rendezvous score of those whose hash distance to the
// prefix is less than maxDistance, or else the nearest one. Replicas that are warming up are skipped.
func (s *Selector) bestTarget(now balancer.Micros, candidates []*replica, prefixHash, rankHash uint64, maxDistance float64) *replica {
	var best, nearest *replica
	bestScore, nearestDistance := math.Inf(1), math.Inf(1)
	for _, r := range candidates {
		if now < r.StartedAt+s.settings.SlowStart {
			continue
		}
		distance := unitInterval(mix64(prefixHash ^ r.hash))
		if distance < nearestDistance {
			nearest, nearestDistance = r, distance
		}
		if distance >= maxDistance {
			continue
		}
		score := -math.Log(unitInterval(mix64(rankHash^r.hash))+scoreEpsilon) / r.size(s.settings.WeightIsSize)
		if score < bestScore {
			best, bestScore = r, score
		}
	}
	return cmp.Or(best, nearest)
}

// affinityZone returns the zone of a key's affinity target. Keys are divided among the zones by their
// affinityFraction: zones other than the gateway's own are used only if that has too few replicas or none.
func affinityZone(zones *zoneTable, key uint64) string {
	remaining := unitInterval(key)
	for _, z := range zones.sorted {
		if remaining -= z.affinityFraction; remaining < 0 {
			return z.name
		}
	}
	return ""
}

// announceTarget appends to the list the changes that announce a target, if it is not announced yet, and
// records the use of a target outside the subset.
func (s *Selector) announceTarget(target *replica, list *balancer.EndpointList) {
	_, announced := s.announced[target.Replica]
	_, outside := s.outsideTargets[target.Replica]
	if announced && !outside {
		return
	}
	if !outside {
		if len(s.outsideTargets) >= s.maxOutsideTargets() {
			s.withdrawOldestTarget(list)
		}
		list.Endpoints = append(list.Endpoints, target.Endpoint)
		s.announced[target.Replica] = target.Endpoint
	}
	s.outsideTargets[target.Replica] = s.useCounter
	s.stats.OutsideTargets = len(s.outsideTargets)
}

// maxOutsideTargets returns the limit on announced affinity targets outside the subset.
func (s *Selector) maxOutsideTargets() int { return max(1, s.settings.MaxReplicas/2) }

// withdrawOldestTarget withdraws the least recently used target outside the subset. Its attempts in flight
// continue.
func (s *Selector) withdrawOldestTarget(list *balancer.EndpointList) {
	var oldest balancer.ReplicaID
	oldestUse := uint64(math.MaxUint64)
	for id, lastUse := range s.outsideTargets {
		if lastUse < oldestUse {
			oldest, oldestUse = id, lastUse
		}
	}
	withdrawn := s.announced[oldest]
	withdrawn.State = balancer.EndpointRemoved
	list.Endpoints = append(list.Endpoints, withdrawn)
	delete(s.outsideTargets, oldest)
	delete(s.announced, oldest)
}
