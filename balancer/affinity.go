package balancer

import (
	"maps"
	"math"
	"slices"
)

const (
	// maxSessions bounds the sessions map.
	maxSessions = 4096
	// maxPrefixes bounds the prefixCounts map.
	maxPrefixes = 1024
	// maxPrefixTotal is the sum of the prefix counts above which they are halved, so that
	// old requests lose weight.
	maxPrefixTotal = 1 << 14
	// targetHeadroom is how many times more affinity targets a prefix has than its
	// fraction of the traffic requires, so that overloaded ones can be avoided.
	targetHeadroom = 3.0
)

// promptCache estimates where the prompts of sessions and prefixes are cached.
type promptCache struct {
	sessions        map[uint64]session
	sessionRing     []uint64 // ring buffer of session keys in insertion order; bounds the map
	sessionRingNext int
	prefixCounts    map[uint64]float64 // decaying counts of requests by prefix
	prefixTotal     float64            // sum of prefixCounts
	cacheConfidence float64            // mean ratio of tokens found cached to tokens expected to be
}

// session records the replica that last served a session and the prompt's length.
type session struct {
	replica ReplicaID
	tokens  int
}

func (b *Balancer) initPromptCache() {
	b.sessions, b.prefixCounts = map[uint64]session{}, map[uint64]float64{}
	b.sessionRing = make([]uint64, maxSessions)
	b.cacheConfidence = 0.8
}

// rememberSession records where a session was served. A new session evicts the oldest one.
func (c *promptCache) rememberSession(key uint64, s session) {
	if _, ok := c.sessions[key]; !ok {
		delete(c.sessions, c.sessionRing[c.sessionRingNext])
		c.sessionRing[c.sessionRingNext] = key
		c.sessionRingNext = (c.sessionRingNext + 1) % maxSessions
	}
	c.sessions[key] = s
}

// countPrefix counts a request's prefix, and first halves all counts if there are too many
// prefixes or requests.
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

// halvePrefixCounts halves the counts and deletes those that fall below 1.
func (c *promptCache) halvePrefixCounts() {
	halved := map[uint64]float64{}
	for key, count := range c.prefixCounts {
		if count >= 2 {
			halved[key] = count / 2
		}
	}
	// Sum in key order: floating-point sums depend on the order, and map order is random.
	c.prefixTotal = 0
	for _, key := range slices.Sorted(maps.Keys(halved)) {
		c.prefixTotal += halved[key]
	}
	c.prefixCounts = halved
}

// affinity lists the replicas where a request's prompt is likely to be cached.
type affinity struct {
	target       *replicaRow // the session's affinity target, the same at all gateways
	second       *replicaRow // the session's second affinity target, the same at all gateways
	servedBy     *replicaRow // the replica that last served the session through this gateway
	servedTokens float64     // prompt tokens of the session's last request at servedBy
}

// affinityOf finds the replicas that probably have a request's session or prefix cached.
// Affinity targets come from weighted rendezvous hashing among the targets of the prefix,
// so that all gateways agree. The weights depend on the replica's kind alone, in coarse
// steps, because gateways measure different slowness for the same replica.
func (b *Balancer) affinityOf(req *request) affinity {
	var found affinity
	if s, ok := b.sessions[req.Session]; ok && req.Session != 0 {
		if row := b.readyRow(s.replica); row != nil {
			found.servedBy, found.servedTokens = row, float64(s.tokens)
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
	targetFraction := b.prefixTargetFraction(req)
	bestScore, nextScore := math.Inf(1), math.Inf(1)
	targetByKind := b.resetTargetByKind()
	consider := func(row *replicaRow, penalty float64) {
		score := -math.Log(unitFloat(splitmix(keyHash^row.hash))+1e-18)*b.kinds[row.kind].slownessStep + penalty
		if score < bestScore {
			second, nextScore = target, bestScore
			bestScore, target = score, row
		} else if score < nextScore {
			second, nextScore = row, score
		}
		if score < targetByKind[row.kind].score {
			targetByKind[row.kind] = candidate{row: row, score: score}
		}
	}
	for i, hash := range b.hashes {
		if targetFraction >= 1 || unitFloat(splitmix(prefixHash^hash)) < targetFraction {
			if row := b.rows[i]; row.state == EndpointReady {
				consider(row, 0)
			}
		}
	}
	if second != nil {
		return target, b.secondTarget(target, second)
	}
	// Fewer than two targets of the prefix are ready: fall back to the other replicas, in
	// the order in which a larger targetFraction would include them.
	for _, row := range b.rows {
		if u := unitFloat(splitmix(prefixHash ^ row.hash)); row.state == EndpointReady && targetFraction < 1 && u >= targetFraction {
			consider(row, 1e6*(1+u))
		}
	}
	return target, b.secondTarget(target, second)
}

// resetTargetByKind clears targetByKind, with one entry for each kind.
func (b *Balancer) resetTargetByKind() []candidate {
	b.targetByKind = b.targetByKind[:0]
	for range b.kinds {
		b.targetByKind = append(b.targetByKind, candidate{score: math.Inf(1)})
	}
	return b.targetByKind
}

// secondTarget returns the best affinity target on a kind of machine other than the first
// target's, or the given second if there is none. Requests leave their target mostly for a
// kind that prefills faster or is less loaded. Without one fixed target of that kind, each
// turn of a session could go to a different replica and find nothing cached.
func (b *Balancer) secondTarget(target, second *replicaRow) *replicaRow {
	best := math.Inf(1)
	for _, other := range b.targetByKind {
		if other.row != nil && other.row.kind != target.kind && other.score < best {
			best, second = other.score, other.row
		}
	}
	return second
}

// prefixTargetFraction returns the fraction of replicas that are affinity targets of a
// request's prefix: the prefix's fraction of the traffic, times targetHeadroom, but at least
// two replicas.
//
// One count is added to the prefix, so that a gateway with few counts uses nearly all
// replicas: its targets would otherwise change with each count and differ between gateways.
// One of many gateways sees too few requests for an estimate, so half as many counts as
// there are gateways are added to the total, for other prefixes that its peers have seen.
// In a large fleet a prefix has more targets the longer the prompt is relative to the
// prefix: a few targets would have the prefix cached, but the uncached part of the prompts
// would overload them.
func (b *Balancer) prefixTargetFraction(req *request) float64 {
	if req.Prefix == 0 || b.prefixTotal <= 0 || b.readyCount == 0 {
		return 1
	}
	unseenCounts := math.Max(1, b.gatewaysPerReplica()/2-1)
	headroom := targetHeadroom
	if b.largeFleet() {
		headroom *= math.Max(1, float64(req.PromptTokens)/math.Max(1, float64(req.PrefixTokens)))
	}
	return math.Max(2/float64(b.readyCount), headroom*(b.prefixCounts[req.Prefix]+1)/(b.prefixTotal+unseenCounts))
}

// prefixCachedProbability returns the probability that a replica has cached a prefix since
// its start, given the rate at which it receives requests with that prefix. It is 1 for a
// replica that had no slow start.
func (row *replicaRow) prefixCachedProbability(now Micros, requestsPerSecond float64) float64 {
	if row.warmingUntil == 0 {
		return 1
	}
	return 1 - math.Exp(-requestsPerSecond*math.Max(0, float64(now-row.warmingSince))/microsPerSecond)
}
