package balancer

import (
	"math"
	"sort"
)

// loadTable holds one row for each replica of the endpoint list, and fleet-wide estimates
// for predictions.
type loadTable struct {
	rows      []*replicaRow // sorted by replica ID, for a deterministic scan order
	hashes    []uint64      // hashes of the rows: scans of these skip most rows cheaply
	rowByID   map[ReplicaID]*replicaRow
	zoneIndex map[string]int // by zone name
	kindIndex map[string]int // by replica kind
	ownZone   int            // index of this gateway's zone
	kinds     []kindStats    // by kindIndex

	fleetSize         int     // ready replicas of the whole fleet; 0: only those in the list
	readyCount        int     // replicas listed as ready
	warmingCount      int     // ready replicas that are warming up
	meanLoad          float64 // mean of slowness x held tokens over rows with recent reports
	memoryPerToken    float64 // mean fraction of a replica's memory per token
	tokensPerLiveLoad float64 // held tokens per unit of the load computed from live weights
	meanLifetime      float64 // mean time from dispatch to end, in microseconds; sets how reports age
	meanHeldTokens    float64 // mean held tokens of a request
	meanCharge        float64 // mean charge of a dispatch
	warmUtilization   float64 // mean reported utilization of warm replicas; 0: not reported
	meanSlotFraction  float64 // mean reported utilization per request in flight; 0: not reported
	inFlightTokens    float64 // sum of heldTokens over all own attempts in flight
}

// kindStats compares the replicas of one kind of machine with the whole fleet.
type kindStats struct {
	slownessSum, slownessCount float64 // decaying sum and count of observed slowness
	slowness                   float64 // 1: as fast as the fleet's mean
	slownessStep               float64 // slowness rounded to half powers of two
	idleWeight                 float64 // the largest live weight seen

	firstTokenSum, firstTokenCount float64 // decaying sum (microseconds) and count of first-token times
	firstTokenRatio                float64 // mean first-token time relative to that of all kinds
}

// replicaRow is one replica's row of the table.
type replicaRow struct {
	// The fields that a scan reads come first, within two cache lines: with thousands of
	// rows, memory bandwidth determines the duration of a scan.
	hash                uint64
	reportedAt          Micros     // time of the last report; -1: none
	reportedTokens      float64    // held tokens according to the last report
	slowness            float64    // 1: as fast as the fleet's mean
	charge              float64    // sum of the charges in the ledger
	unreported          float64    // part of charge that is too recent for the last report
	warmingUntil        Micros     // end of slow start
	backoffUntil        Micros     // no dispatches before, unless no replica is eligible
	ledger              []*attempt // own attempts in flight
	openConns           int        // connections assumed open
	lastUsedAt          Micros     // when a connection was last in use
	errorRate           float64    // decaying fraction of attempts that failed
	zone                int        // by zoneIndex
	kind                int        // by kindIndex
	consecutiveFailures int
	id                  ReplicaID
	state               EndpointState
	healthCheckPending  bool

	cell                  int64
	size                  float64 // registered size relative to other replicas; 0: unknown
	startedAt             Micros  // 0: unknown
	memoryPerToken        float64 // fitted fraction of its memory per token
	memoryPerTokenSamples float64

	slownessSum, slownessCount float64 // decaying sum and count of observed slowness
	slownessAt                 Micros  // time of the last observation

	liveLoad        float64 // load computed from the last live weight
	healthCheckedAt Micros  // time of the last health check
	confirmedAt     Micros  // when it last passed a health check over an old connection
	warmingSince    Micros  // start of slow start
	acceptedAt      Micros  // when the last attempt was sent that it accepted while the list may lack changes; 0: none
}

const (
	// slownessThreshold is the ratio of a replica's slowness to its kind's above which the
	// replica's own slowness is used.
	slownessThreshold = 1.6
	// minKindRatio is the lower bound of a kind's slowness and first-token ratio.
	minKindRatio = 0.25
	// maxKindRatio is the upper bound of a kind's slowness and first-token ratio.
	maxKindRatio = 4
	// maxSlowness is the upper bound of a replica's own slowness.
	maxSlowness = 8
	// kindDecay multiplies the sums and counts of each kind at each refresh.
	kindDecay = 0.99
	// kindPrior is the number of observations at which a kind's mean and the prior of 1
	// have equal weight.
	kindPrior = 8
	// replicaPrior is the number of observations at which a replica's own slowness and
	// that of its kind have equal weight.
	replicaPrior = 6
	// slownessDecay is the time after which observations of a replica's slowness expire.
	slownessDecay Micros = 20_000_000
)

func (b *Balancer) initTable() {
	t := &b.loadTable
	t.rowByID = map[ReplicaID]*replicaRow{}
	t.zoneIndex = map[string]int{}
	t.kindIndex = map[string]int{}
	t.meanLifetime = float64(b.settings.Classes[0].LatencyObjective)
	t.ownZone = t.zoneIndexOf(b.settings.Zone)
}

// applyEndpoint applies one entry of the endpoint list to the table. A replica in the
// first list after the gateway's start counts as warm unless it has a recent start time.
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
	row.zone, row.kind = b.zoneIndexOf(endpoint.Zone), b.kindIndexOf(endpoint.Kind)
	switch {
	case b.settings.WeightKind == WeightLive && endpoint.Weight > 0:
		b.applyLiveWeight(now, row, endpoint.Weight)
	case b.settings.WeightKind == WeightNominal:
		row.size = endpoint.Weight
	}
}

// addRow inserts the row of a replica that is new in the list, in order of replica ID.
func (b *Balancer) addRow(now Micros, endpoint Endpoint, firstList bool) *replicaRow {
	row := &replicaRow{
		id:              endpoint.Replica,
		hash:            splitmix(uint64(endpoint.Replica)),
		reportedAt:      -1,
		slowness:        1,
		startedAt:       endpoint.StartedAt,
		healthCheckedAt: now, // the replica's owner checks it first
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

// detectRestart begins the slow start of a listed replica if its start time has changed or
// it had been removed from the list.
func (b *Balancer) detectRestart(now Micros, row *replicaRow, endpoint Endpoint) {
	wasDelisted := row.state == EndpointRemoved
	if b.fleetSize > 0 && wasDelisted && endpoint.StartedAt == row.startedAt && endpoint.StartedAt > 0 {
		row.reportedAt = -1 // returned to this gateway's subset of the fleet without a restart
		return
	}
	restarted := endpoint.StartedAt != row.startedAt && endpoint.StartedAt > 0
	if !restarted && !wasDelisted {
		return
	}
	b.beginSlowStart(row, max(endpoint.StartedAt, row.startedAt))
	if endpoint.StartedAt == row.startedAt || endpoint.StartedAt == 0 {
		b.beginSlowStart(row, now) // listed again without a new start time: assume a restart
	}
	row.startedAt, row.reportedAt = endpoint.StartedAt, -1
	row.slownessSum, row.slownessCount = 0, 0
}

// removeDelistedRows deletes the rows of replicas that were removed from the endpoint list and
// have no attempt in flight.
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

// rebuildHashes recomputes hashes after a change of the rows.
func (t *loadTable) rebuildHashes() {
	t.hashes = t.hashes[:0]
	for _, row := range t.rows {
		t.hashes = append(t.hashes, row.hash)
	}
}

// zoneIndexOf returns the index of a zone, and assigns one to a new name.
func (t *loadTable) zoneIndexOf(name string) int {
	n, ok := t.zoneIndex[name]
	if !ok {
		n = len(t.zoneIndex)
		t.zoneIndex[name] = n
	}
	return n
}

// kindIndexOf returns the index of a kind of replica, and assigns one to a new name.
func (t *loadTable) kindIndexOf(name string) int {
	n, ok := t.kindIndex[name]
	if !ok {
		n = len(t.kindIndex)
		t.kindIndex[name] = n
		t.kinds = append(t.kinds, kindStats{slowness: 1, slownessStep: 1, firstTokenRatio: 1})
	}
	return n
}

// readyRow returns the row of a replica, or nil if the replica is not ready.
func (t *loadTable) readyRow(id ReplicaID) *replicaRow {
	if row := t.rowByID[id]; row != nil && row.state == EndpointReady {
		return row
	}
	return nil
}

// refreshEstimates recomputes the estimates for scans: the slowness of kinds and replicas,
// the counts of replicas and the fleet's mean load.
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
		if freshness := 1 - float64(now-row.reportedAt)/(2*math.Max(1, b.meanLifetime)); freshness > 0 {
			load += freshness * row.slowness * row.reportedTokens
			weight += freshness
		}
	}
	if weight > 0 {
		b.meanLoad = load / weight
	}
}

// meanSize returns the mean registered size of the replicas that have one; NaN if none has.
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
	weight := row.slownessWeight(now)
	row.slowness = t.kinds[row.kind].slowness
	observed := (replicaPrior*row.slowness + row.slownessSum*weight) / (replicaPrior + row.slownessCount*weight)
	// First-token times vary, and all gateways receive the same reports: a small
	// difference would move them all, so only a clear one counts.
	if observed > slownessThreshold*row.slowness {
		row.slowness = math.Min(maxSlowness, observed)
	}
	if row.size > 0 { // a replica of twice the size takes twice the load
		row.slowness *= meanSize / row.size
	}
}

// updateKindSlowness estimates the slowness of each kind and decays its observations.
func (t *loadTable) updateKindSlowness() {
	for i := range t.kinds {
		kind := &t.kinds[i]
		kind.slowness = math.Max(minKindRatio, math.Min(maxKindRatio, (kindPrior+kind.slownessSum)/(kindPrior+kind.slownessCount)))
		kind.slownessStep = math.Exp2(math.Round(2*math.Log2(kind.slowness)) / 2)
		kind.slownessSum, kind.slownessCount = kind.slownessSum*kindDecay, kind.slownessCount*kindDecay
	}
}

// updateKindRatios compares the first-token times of each kind with those of all kinds, and
// decays the observations.
func (t *loadTable) updateKindRatios() {
	sum, count := 0.0, 0.0
	for _, kind := range t.kinds {
		sum, count = sum+kind.firstTokenSum, count+kind.firstTokenCount
	}
	for i := range t.kinds {
		kind := &t.kinds[i]
		if sum > 0 {
			overallMean := sum / count
			ratio := (kindPrior*overallMean + kind.firstTokenSum) / (kindPrior + kind.firstTokenCount) / overallMean
			kind.firstTokenRatio = math.Max(minKindRatio, math.Min(maxKindRatio, ratio))
		}
		kind.firstTokenSum, kind.firstTokenCount = kind.firstTokenSum*kindDecay, kind.firstTokenCount*kindDecay
	}
}
