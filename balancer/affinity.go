package balancer

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxSessions and maxPrefixes bound what is remembered of cached prompts.
	maxSessions = 4096
	maxPrefixes = 1024
	// maxPrefixTotal bounds the sum of the prefix counts, so that they decay.
	maxPrefixTotal = 1 << 14
	// targetHeadroom is the factor by which a prefix has more affinity targets than its
	// share of the traffic needs, so that an overloaded one can be avoided.
	targetHeadroom = 3.0
)

// promptCache remembers where the prompts of sessions and prefixes are cached.
type promptCache struct {
	sessions        map[uint64]session
	sessionRing     []uint64 // the sessions, from the oldest: bounds the map
	sessionRingNext int
	prefixCounts    map[uint64]float64 // decaying counts of requests by prefix
	prefixTotal     float64            // their sum
	cacheConfidence float64            // tokens found cached over tokens expected to be
}

// session is where a session's last answer came from, and how long its prompt was.
type session struct {
	replica ReplicaID
	tokens  int
}

func (b *Balancer) initPromptCache() {
	b.sessions, b.prefixCounts = map[uint64]session{}, map[uint64]float64{}
	b.sessionRing = make([]uint64, maxSessions)
	b.cacheConfidence = 0.8
}

// rememberSession notes where a session is, in place of the oldest one.
func (c *promptCache) rememberSession(key uint64, s session) {
	if _, ok := c.sessions[key]; !ok {
		delete(c.sessions, c.sessionRing[c.sessionRingNext])
		c.sessionRing[c.sessionRingNext] = key
		c.sessionRingNext = (c.sessionRingNext + 1) % maxSessions
	}
	c.sessions[key] = s
}

// countPrefix counts a request's prefix. All counts are halved when there are too many.
func (c *promptCache) countPrefix(req *request) {
	if req.Prefix == 0 {
		return
	}
	if len(c.prefixCounts) >= maxPrefixes || c.prefixTotal > maxPrefixTotal {
		c.halvePrefixCounts()
	}
	c.prefixCounts[req.Prefix]++
	c.prefixTotal++
}

// halvePrefixCounts halves the counts and drops those that become less than one.
func (c *promptCache) halvePrefixCounts() {
	halved := map[uint64]float64{}
	for key, count := range c.prefixCounts {
		if count >= 2 {
			halved[key] = count / 2
		}
	}
	// In the order of the keys: sums of halves of halves depend on the order.
	c.prefixTotal = 0
	for _, key := range slices.Sorted(maps.Keys(halved)) {
		c.prefixTotal += halved[key]
	}
	c.prefixCounts = halved
}

// affinity is where a request's prompt is likely to be cached.
type affinity struct {
	target *replicaRow // the session's affinity target, the same at all gateways
	second *replicaRow // its second target, likewise the same
	// holder has served the session, as this gateway knows, with a prompt of holderTokens.
	holder       *replicaRow
	holderTokens float64
}

// affinityOf finds the replicas that have cached a request's session or prefix.
// Affinity targets come from weighted rendezvous hashing within the targets of the
// prefix, so that all gateways agree. Weights are by kind, in coarse steps: weighted by
// what each has learned of a replica, gateways disagreed.
func (b *Balancer) affinityOf(req *request) affinity {
	var found affinity
	if s, ok := b.sessions[req.Session]; ok && req.Session != 0 {
		if row := b.readyRow(s.replica); row != nil {
			found.holder, found.holderTokens = row, float64(s.tokens)
		}
	}
	if req.AffinityTarget != 0 {
		found.target = b.readyRow(req.AffinityTarget)
		return found
	}
	key := req.Session
	if key == 0 {
		key = req.Prefix
	}
	if key != 0 {
		found.target, found.second = b.rendezvous(key, req)
	}
	return found
}

// rendezvous finds the first and the second affinity target of a key among the targets
// of a request's prefix.
func (b *Balancer) rendezvous(key uint64, req *request) (target, second *replicaRow) {
	keyHash, prefixHash := splitmix(key), splitmix(req.Prefix)
	targetShare := b.prefixTargetShare(req)
	best, next := math.Inf(1), math.Inf(1)
	targetByKind := b.resetTargetByKind()
	enter := func(row *replicaRow, penalty float64) {
		score := -math.Log(unitFloat(splitmix(keyHash^row.hash))+1e-18)*b.kinds[row.kind].slownessStep + penalty
		if score < best {
			second, next = target, best
			best, target = score, row
		} else if score < next {
			second, next = row, score
		}
		if score < targetByKind[row.kind].score {
			targetByKind[row.kind] = candidate{row: row, score: score}
		}
	}
	for i, hash := range b.hashes {
		if targetShare >= 1 || unitFloat(splitmix(prefixHash^hash)) < targetShare {
			if row := b.rows[i]; row.state == EndpointReady {
				enter(row, 0)
			}
		}
	}
	if second != nil {
		return target, b.secondTarget(target, second)
	}
	// Fewer than two targets of the prefix are ready: take the others, in the order in
	// which a larger share would include them.
	for _, row := range b.rows {
		if u := unitFloat(splitmix(prefixHash ^ row.hash)); row.state == EndpointReady && targetShare < 1 && u >= targetShare {
			enter(row, 1e6*(1+u))
		}
	}
	return target, b.secondTarget(target, second)
}

// resetTargetByKind empties the best target by kind of machine.
func (b *Balancer) resetTargetByKind() []candidate {
	b.targetByKind = b.targetByKind[:0]
	for range b.kinds {
		b.targetByKind = append(b.targetByKind, candidate{score: math.Inf(1)})
	}
	return b.targetByKind
}

// secondTarget is the second affinity target: the best one on another kind of machine than
// the first target's, if there is one. Requests leave their target most often for machines
// that prefill faster or are less loaded as a kind, at all gateways; when each turn of a
// session went to another one of these, nothing was cached there.
func (b *Balancer) secondTarget(target, second *replicaRow) *replicaRow {
	best := math.Inf(1)
	for _, other := range b.targetByKind {
		if other.row != nil && other.row.kind != target.kind && other.score < best {
			best, second = other.score, other.row
		}
	}
	return second
}

// prefixTargetShare is the share of replicas that are affinity targets of a request's
// prefix: as much as its share of the traffic needs, and some to spare. The one added
// count keeps gateways that have seen little near to all replicas, and so near to each
// other: on a few counts, targets moved about with them. One of many gateways counts too
// little to estimate a share: what the others have seen stands beside it as counts of
// other prefixes, half as many as there are gateways. There a prefix has more targets the
// longer the prompt is: a few would save the prefix and crowd all the rest.
func (b *Balancer) prefixTargetShare(req *request) float64 {
	if req.Prefix == 0 || b.prefixTotal <= 0 || b.readyCount == 0 {
		return 1
	}
	unseen := math.Max(1, b.gatewaysPerReplica()/2-1)
	spread := targetHeadroom
	if b.largeFleet() {
		spread *= math.Max(1, float64(req.PromptTokens)/math.Max(1, float64(req.PrefixTokens)))
	}
	return math.Max(2/float64(b.readyCount), spread*(b.prefixCounts[req.Prefix]+1)/(b.prefixTotal+unseen))
}

// prefixCachedChance is how likely a replica, if it has started lately, has cached a
// prefix that it gets so often.
func (row *replicaRow) prefixCachedChance(now Micros, perSecond float64) float64 {
	if row.warmingUntil == 0 {
		return 1
	}
	return 1 - math.Exp(-perSecond*math.Max(0, float64(now-row.warmingSince))/microsPerSecond)
}
