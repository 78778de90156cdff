package balancer

import (
	"math"
	"sort"
)

// loadTable holds one row for each replica of the endpoint list, and the estimates
// over all of them that predictions use.
type loadTable struct {
	rows      []*replicaRow // sorted by replica, so that scans have one order everywhere
	hashes    []uint64      // of the rows: a scan of them alone passes by most rows
	rowByID   map[ReplicaID]*replicaRow
	zoneIndex map[string]int // by zone name
	kindIndex map[string]int // by replica kind
	ownZone   int            // this gateway's
	kinds     []kindStats    // by kindIndex

	fleetSize         int     // ready replicas of the whole fleet; 0: those that are listed
	readyCount        int     // replicas listed as ready
	warmingCount      int     // ready replicas that are warming up
	meanLoad          float64 // mean of slowness x held tokens over rows with recent reports
	memoryPerToken    float64 // mean share of a replica's memory that a token takes
	tokensPerLiveLoad float64 // tokens held for each unit of load by live weights
	meanLifetime      float64 // mean time from dispatch to end, in microseconds: reports age by it
	meanHeldTokens    float64 // mean tokens held for a request
	meanCharge        float64 // mean charge of a dispatch
	warmUtilization   float64 // mean reported utilization of warm replicas; 0: not reported
	meanSlotFraction  float64 // mean reported share of a replica that a request takes; 0: not reported
	inFlightTokens    float64 // sum of heldTokens over all own attempts in flight
}

// kindStats compares the replicas of one kind of machine with all.
type kindStats struct {
	slownessSum, slownessCount float64 // decaying sum and count of observed slowness
	slowness                   float64 // 1: as fast as the fleet's mean
	slownessStep               float64 // slowness rounded to half powers of two
	idleWeight                 float64 // the largest live weight seen

	firstTokenSum, firstTokenCount float64 // decaying sum (microseconds) and count of first-token times
	firstTokenRatio                float64 // mean first-token time against all kinds'; 1: the same
}

// replicaRow is one replica's row of the table.
type replicaRow struct {
	// What a scan reads of each row stands first, in two cache lines: over thousands
	// of rows memory bandwidth sets the scan's time.
	hash                uint64
	reportedAt          Micros     // date of the last report; -1: none
	reportedTokens      float64    // tokens held by the last report
	slowness            float64    // 1: as fast as the fleet's mean
	charge              float64    // sum of the charges in the ledger
	unreported          float64    // the part of charge that is too young for the last report
	warmingUntil        Micros     // end of slow start
	backoffUntil        Micros     // no dispatches before, unless all replicas are in backoff
	ledger              []*attempt // own attempts in flight
	openConns           int        // connections believed open
	lastUsedAt          Micros     // when a connection was last in use
	errorRate           float64    // decaying share of attempts that failed
	zone                int        // by zoneIndex
	kind                int        // by kindIndex
	consecutiveFailures int
	id                  ReplicaID
	state               EndpointState
	healthCheckPending  bool

	cell                  int64
	size                  float64 // registered size against others; 0: unknown
	startedAt             Micros  // 0: unknown
	memoryPerToken        float64 // fitted share of its memory that a token takes
	memoryPerTokenSamples float64

	slownessSum, slownessCount float64 // decaying sum and count of observed slowness
	slownessAt                 Micros  // the last observation

	liveLoad        float64 // load by the last live weight
	healthCheckedAt Micros  // the last health check
	confirmedAt     Micros  // when it last passed a health check over an old connection
	warmingSince    Micros  // start of slow start
}

const (
	// slownessThreshold is how many times slower than its kind a replica must seem to be
	// before its own slowness counts.
	slownessThreshold = 1.6
	// minKindRatio and maxKindRatio bound how much kinds differ, and maxSlowness how slow
	// a replica counts as.
	minKindRatio, maxKindRatio, maxSlowness = 0.25, 4, 8
	// kindDecay is applied to what was seen of a kind at each refresh.
	kindDecay = 0.99
	// kindPrior and replicaPrior are the observations before a kind's or a replica's own
	// slowness counts half.
	kindPrior, replicaPrior = 8, 6
	// slownessDecay is how long an observation of a replica's slowness counts.
	slownessDecay Micros = 20_000_000
)

func (b *Balancer) initTable() {
	t := &b.loadTable
	t.rowByID = map[ReplicaID]*replicaRow{}
	t.zoneIndex = map[string]int{}
	t.kindIndex = map[string]int{}
	t.meanLifetime = float64(b.settings.Classes[0].LatencyObjective)
	t.ownZone = t.zoneOf(b.settings.Zone)
}

// applyEndpoint enters one entry of the endpoint list in the table. A replica in
// the first list of all counts as warm unless its start time says otherwise.
func (b *Balancer) applyEndpoint(now Micros, endpoint Endpoint, firstList bool) {
	row := b.rowByID[endpoint.Replica]
	if endpoint.State == EndpointRemoved {
		if row != nil {
			row.state = EndpointRemoved
		}
		return
	}
	if row == nil {
		row = b.addRow(now, endpoint, firstList)
	} else {
		b.detectRestart(now, row, endpoint)
	}
	row.state, row.cell = endpoint.State, endpoint.Cell
	row.zone, row.kind = b.zoneOf(endpoint.Zone), b.kindOf(endpoint.Kind)
	switch {
	case b.settings.WeightKind == WeightLive && endpoint.Weight > 0:
		b.applyLiveWeight(now, row, endpoint.Weight)
	case b.settings.WeightKind == WeightNominal:
		row.size = endpoint.Weight
	}
}

// addRow adds the row of a replica that is new on the list, in the order of the replicas.
func (b *Balancer) addRow(now Micros, endpoint Endpoint, firstList bool) *replicaRow {
	row := &replicaRow{
		id:              endpoint.Replica,
		hash:            splitmix(uint64(endpoint.Replica)),
		reportedAt:      -1,
		slowness:        1,
		startedAt:       endpoint.StartedAt,
		healthCheckedAt: now, // its owner checks it first
	}
	b.rowByID[endpoint.Replica] = row
	i := sort.Search(len(b.rows), func(i int) bool { return b.rows[i].id >= endpoint.Replica })
	b.rows = append(b.rows, nil)
	copy(b.rows[i+1:], b.rows[i:])
	b.rows[i] = row
	if endpoint.StartedAt > 0 {
		b.beginSlowStart(row, endpoint.StartedAt)
	} else if !firstList {
		b.beginSlowStart(row, now)
	}
	return row
}

// detectRestart starts a listed replica anew if its start time has changed, or if it
// was gone.
func (b *Balancer) detectRestart(now Micros, row *replicaRow, endpoint Endpoint) {
	wasGone := row.state == EndpointRemoved
	if b.fleetSize > 0 && wasGone && endpoint.StartedAt == row.startedAt && endpoint.StartedAt > 0 {
		row.reportedAt = -1 // back in this gateway's subset of the fleet, not restarted
		return
	}
	restarted := endpoint.StartedAt != row.startedAt && endpoint.StartedAt > 0
	if !restarted && !wasGone {
		return
	}
	b.beginSlowStart(row, max(endpoint.StartedAt, row.startedAt))
	if endpoint.StartedAt == row.startedAt || endpoint.StartedAt == 0 {
		b.beginSlowStart(row, now) // back on the list without a start time: assume a restart
	}
	row.startedAt, row.reportedAt = endpoint.StartedAt, -1
	row.slownessSum, row.slownessCount = 0, 0
}

// removeDelistedRows removes the rows of replicas that are gone and have no attempt in flight.
func (b *Balancer) removeDelistedRows() {
	keep := b.rows[:0]
	for _, row := range b.rows {
		if row.state == EndpointRemoved && len(row.ledger) == 0 {
			delete(b.rowByID, row.id)
			continue
		}
		keep = append(keep, row)
	}
	clear(b.rows[len(keep):])
	b.rows = keep
	b.rebuildHashes()
}

// rebuildHashes follows a change of the rows.
func (t *loadTable) rebuildHashes() {
	t.hashes = t.hashes[:0]
	for _, row := range t.rows {
		t.hashes = append(t.hashes, row.hash)
	}
}

// zoneOf is the index of a zone, which is new if the name is.
func (t *loadTable) zoneOf(name string) int {
	n, ok := t.zoneIndex[name]
	if !ok {
		n = len(t.zoneIndex)
		t.zoneIndex[name] = n
	}
	return n
}

// kindOf is the index of a kind of replica, which is new if the name is.
func (t *loadTable) kindOf(name string) int {
	n, ok := t.kindIndex[name]
	if !ok {
		n = len(t.kindIndex)
		t.kindIndex[name] = n
		t.kinds = append(t.kinds, kindStats{slowness: 1, slownessStep: 1, firstTokenRatio: 1})
	}
	return n
}

// readyRow is the row of a replica if it is ready, else nil.
func (t *loadTable) readyRow(id ReplicaID) *replicaRow {
	if row := t.rowByID[id]; row != nil && row.state == EndpointReady {
		return row
	}
	return nil
}

// refreshEstimates renews what scans use: the slowness of kinds and replicas, the
// counts of replicas and the fleet's mean load.
func (b *Balancer) refreshEstimates(now Micros) {
	b.updateKindSlowness()
	b.updateKindRatios()
	b.readyCount, b.warmingCount = 0, 0
	load, weight := 0.0, 0.0
	meanSize := b.meanSize()
	for _, row := range b.rows {
		if row.state != EndpointReady {
			continue
		}
		b.readyCount++
		if now < row.warmingUntil {
			b.warmingCount++
		}
		b.updateSlowness(now, row, meanSize)
		if row.reportedAt < 0 {
			continue
		}
		if fresh := 1 - float64(now-row.reportedAt)/(2*math.Max(1, b.meanLifetime)); fresh > 0 {
			load += fresh * row.slowness * row.reportedTokens
			weight += fresh
		}
	}
	if weight > 0 {
		b.meanLoad = load / weight
	}
}

// meanSize is the mean registered size of the replicas that have one.
func (t *loadTable) meanSize() float64 {
	sum, count := 0.0, 0.0
	for _, row := range t.rows {
		if row.size > 0 {
			sum, count = sum+row.size, count+1
		}
	}
	return sum / count
}

// updateSlowness estimates a replica's slowness from its kind's and its own observations.
func (t *loadTable) updateSlowness(now Micros, row *replicaRow, meanSize float64) {
	keep := row.slownessKept(now)
	row.slowness = t.kinds[row.kind].slowness
	own := (replicaPrior*row.slowness + row.slownessSum*keep) / (replicaPrior + row.slownessCount*keep)
	// First-token times scatter, and reported ones reach all gateways alike:
	// only what stands out is held against a replica.
	if own > slownessThreshold*row.slowness {
		row.slowness = math.Min(maxSlowness, own)
	}
	if row.size > 0 { // twice the size bears twice the load
		row.slowness *= meanSize / row.size
	}
}

// updateKindSlowness estimates the slowness of each kind, and lets observations decay.
func (t *loadTable) updateKindSlowness() {
	for i := range t.kinds {
		kind := &t.kinds[i]
		kind.slowness = math.Max(minKindRatio, math.Min(maxKindRatio, (kindPrior+kind.slownessSum)/(kindPrior+kind.slownessCount)))
		kind.slownessStep = math.Exp2(math.Round(2*math.Log2(kind.slowness)) / 2)
		kind.slownessSum, kind.slownessCount = kind.slownessSum*kindDecay, kind.slownessCount*kindDecay
	}
}

// updateKindRatios compares the first-token times of each kind with all, and lets
// observations decay.
func (t *loadTable) updateKindRatios() {
	sum, count := 0.0, 0.0
	for _, kind := range t.kinds {
		sum, count = sum+kind.firstTokenSum, count+kind.firstTokenCount
	}
	for i := range t.kinds {
		kind := &t.kinds[i]
		if sum > 0 {
			all := sum / count
			ratio := (kindPrior*all + kind.firstTokenSum) / (kindPrior + kind.firstTokenCount) / all
			kind.firstTokenRatio = math.Max(minKindRatio, math.Min(maxKindRatio, ratio))
		}
		kind.firstTokenSum, kind.firstTokenCount = kind.firstTokenSum*kindDecay, kind.firstTokenCount*kindDecay
	}
}
