package balancer

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"archknot/balancer/zonehealth"
)

// What a Balancer remembers. No decision stands here.

// classStats is what a gateway has seen of one class.
type classStats struct {
	streamTime  float64 // mean time from the first token to the end; microseconds
	cachedShare float64 // mean share of the prompt found kept
}

// requestPolicy are what a request is taken on under: they hold for it to its end.
type requestPolicy struct {
	Class
	maxAttempts int
	mayHedge    bool
}

// withPriorAttempts is the terms of a request of which some attempts were made elsewhere.
func (t *requestPolicy) withPriorAttempts(spent int) *requestPolicy {
	if spent <= 0 {
		return t
	}
	left := *t
	left.maxAttempts = max(0, t.maxAttempts-spent)
	return &left
}

type request struct {
	Request
	policy              *requestPolicy
	classIndex          int
	tenantIndex         int // -1: none
	arrivedAt, deadline Micros
	attempts            []*attempt
	inFlight            int  // attempts still out
	streaming           bool // a stream has begun: it belongs to the client now
	ended               bool // finally answered: nothing more goes out for it
	hedged              bool
	late                bool // its aim has passed without a first token
	avoidZone           int  // zone of a failed connect, -1: none
}

type attempt struct {
	row                       *replicaRow
	sentAt                    Micros
	prefillTokens             float64 // prompt tokens expected to be read there
	prefillCharge, heldTokens float64 // the charge: what reading costs until the stream opens, what is held until it ends
	status                    Status
	ended                     bool
	newConn                   bool   // it needed a new connection
	timeToFirstToken          Micros // time to the first token; 0: not begun
}

// loadTable holds the rows, one for each replica that the server list names.
type loadTable struct {
	rows      []*replicaRow // sorted by id, so that scans have one order everywhere
	hashes    []uint64      // theirs: a scan of them alone passes by most rows
	rowByID   map[ReplicaID]*replicaRow
	zoneIndex map[string]int
	kindIndex map[string]int
	ownZone   int
	kinds     []kindStats

	fleetSize         int     // replicas that take work in all; 0: those that are listed
	readyCount        int     // replicas listed as ready
	warmingCount      int     // those of them that are cold
	meanLoad          float64 // mean of slowness x held tokens over fresh rows
	memoryPerToken    float64 // fleet mean of memory share a token
	tokensPerLiveLoad float64 // tokens held for each unit of a live weight's load
	meanLifetime      float64 // mean time from dispatch to end: how long a report says something
	meanHeldTokens    float64 // mean tokens held for a request
	warmUtilization   float64 // how busy warm replicas say they are; 0: not told
	meanSlotShare     float64 // share of a worker's slots that a request takes, by reports; 0: not told
	meanCharge        float64 // mean charge of a dispatch
	inFlightTokens    float64 // sum of hold tokens of all own attempts out

	shortlist      [shortlistSize]candidate // of the last pick
	homeByKind     []candidate              // first homes by kind, as of the last look
	mayPoll        bool                     // it may ask replicas for reports before it sends
	offeredWarming *replicaRow              // the one cold replica that the attempt at hand may go to

	sessions        map[uint64]session
	sessionRing     []uint64
	sessionRingNext int
	prefixCounts    map[uint64]float64 // decayed counts of shared prefixes
	prefixTotal     float64
	cacheTrust      float64 // found kept over expected kept
}

type kindStats struct {
	slownessSum, slownessCount float64
	slowness                   float64
	slownessStep               float64 // slow, in steps of a half power of two
	idleWeight                 float64 // the largest live weight seen

	firstTokenSum, firstTokenCount float64 // first-token times seen and reported there, fading; microseconds
	firstTokenRatio                float64 // their mean against all kinds', 1 = as all
}

// replicaRow is one replica's line in the table.
type replicaRow struct {
	// What each pick reads of each row stands first, in two cache lines: over thousands
	// of rows the memory's pace is the scan's.
	hash                uint64
	reportedAt          Micros     // when the last report came; -1: never
	reportedTokens      float64    // tokens held by it
	slowness            float64    // slowness against the fleet, 1 = mean
	charge              float64    // sum of the charges of own attempts out
	unreported          float64    // that of those too young for the last report
	warmingUntil        Micros     // it is cold from its start up to then
	backoffUntil        Micros     // no sends before, unless nothing else is left
	ledger              []*attempt // the ledger: own attempts out
	openConns           int        // connections believed open, and when one was last in use
	lastUsedAt          Micros
	errorRate           float64 // fading share of attempts that failed
	zone                int
	kind                int
	consecutiveFailures int // in a row
	id                  ReplicaID
	state               EndpointState
	healthCheckPending  bool

	cell                  int64
	size                  float64 // its registered size against others; 0: not told
	startedAt             Micros
	memoryPerToken        float64 // memory share a token
	memoryPerTokenSamples float64

	slownessSum, slownessCount float64
	slownessAt                 Micros

	liveLoad         float64 // load by the last live weight
	healthCheckedAt  Micros
	confirmedReadyAt Micros // when it was last known to take work: a send that it took or a probe that it answered
	warmingSince     Micros
}

// candidate is a row as a pick weighed it.
type candidate struct {
	row                 *replicaRow
	score, cachedTokens float64
}

type session struct {
	replica ReplicaID
	tokens  int
}

// guard keeps replicas and clients from harm: health, cold starts, refusals,
// budgets of further attempts, the subscription to the server list, probes.
type guard struct {
	lastTickAt   Micros
	listReceived bool // the registry itself has answered or pushed

	watching    bool
	nextPollAt  Micros // when to ask the registry again; 0: not due
	pollBackoff Micros
	lastHeardAt Micros // up to when discovery's word is known

	dispatchRate, dispatchesSinceTick float64 // own dispatches a second
	meanWork                          float64 // mean of what a request takes where nothing is kept
	meanServiceMs                     float64

	hedgeBudget, retryBudget float64         // what is left of the budgets
	stepExcess               float64         // median of first-token times less reading and the least seen
	stepFloor                map[int]float64 // the least seen, by zone and need of a connection
	lengthsReported          bool            // answers tell their length
	slowStreamShare          float64         // share of recent streams that took longer than their token aims
	lateShare                float64         // share of recent requests past their aim or unserved
	tokenLimit               float64         // most tokens that may be open; 0: no limit
	tokenLimitFloor          float64         // below this it does not close before the next tick
	meanInFlightTokens       float64         // tokens open of late
	meanWeightPerToken       float64
	tenantRate               []float64 // requests a second, by tenant
	tenantArrivals           []float64
	zones                    zonehealth.Tracker
}

// validate tells why the settings cannot be served.
func (s *Settings) validate() error {
	switch {
	case s.Gateways < 1 || s.Self < 0 || s.Self >= s.Gateways:
		return fmt.Errorf("balancer: gateway %d of %d: expected a number from 0 below the count", s.Self, s.Gateways)
	case len(s.Classes) == 0:
		return errors.New("balancer: no request classes")
	case s.MaxAttempts < 1:
		return errors.New("balancer: MaxAttempts must be 1 or more")
	case s.SlowStartFor > 0 && (s.InitialCapacity <= 0 || s.InitialCapacity > 1):
		return errors.New("balancer: StartCapacity must be above 0 and at most 1")
	case s.SlowStartFor < 0 || s.OverloadWindow < 0 || s.OverloadMultiple < 0 || s.Tick < 0:
		return errors.New("balancer: negative figure in the rules")
	}
	for _, class := range s.Classes {
		if class.Deadline <= 0 || class.LatencyObjective < 0 {
			return fmt.Errorf("balancer: class %q: deadline must be positive", class.Name)
		}
	}
	return nil
}

// prefillTimePerToken is the time that the aims allow for reading a prompt token, the classes' mean;
// microseconds.
func (s *Settings) prefillTimePerToken() float64 {
	sum := 0.0
	for _, class := range s.Classes {
		sum += float64(class.ObjectivePer1000Tokens)
	}
	return sum / 1000 / float64(len(s.Classes))
}

func (b *Balancer) initTable() {
	t := &b.loadTable
	t.rowByID, t.zoneIndex, t.kindIndex = map[ReplicaID]*replicaRow{}, map[string]int{}, map[string]int{}
	t.sessions, t.prefixCounts = map[uint64]session{}, map[uint64]float64{}
	t.sessionRing = make([]uint64, maxSessions)
	t.cacheTrust, t.meanLifetime = 0.8, float64(b.settings.Classes[0].LatencyObjective)
	t.ownZone = t.zoneOf(b.settings.Zone)
}

// rebuildHashes follows a change of the rows.
func (t *loadTable) rebuildHashes() {
	t.hashes = t.hashes[:0]
	for _, row := range t.rows {
		t.hashes = append(t.hashes, row.hash)
	}
}

func (t *loadTable) zoneOf(name string) int {
	n, ok := t.zoneIndex[name]
	if !ok {
		n = len(t.zoneIndex)
		t.zoneIndex[name] = n
	}
	return n
}

func (t *loadTable) kindOf(name string) int {
	n, ok := t.kindIndex[name]
	if !ok {
		n = len(t.kindIndex)
		t.kindIndex[name] = n
		t.kinds = append(t.kinds, kindStats{slowness: 1, slownessStep: 1, firstTokenRatio: 1})
	}
	return n
}

func (b *Balancer) initGuard() {
	b.tenantRate = make([]float64, len(b.settings.Tenants))
	b.tenantArrivals = make([]float64, len(b.settings.Tenants))
	b.zones, b.stepFloor = zonehealth.New(), map[int]float64{}
	b.hedgeBudget, b.retryBudget = 1, budgetCap
}

// countPrefix counts a prefix; all counts are halved when there are too many.
func (b *Balancer) countPrefix(req *request) {
	if req.Prefix == 0 {
		return
	}
	if len(b.prefixCounts) >= maxPrefixes || b.prefixTotal > 1<<14 {
		b.prefixTotal = 0
		keep := map[uint64]float64{}
		for k, n := range b.prefixCounts {
			if n >= 2 {
				keep[k] = n / 2
			}
		}
		// In the keys' order: halves of halves do not add up to the same in any.
		for _, k := range slices.Sorted(maps.Keys(keep)) {
			b.prefixTotal += keep[k]
		}
		b.prefixCounts = keep
	}
	b.prefixCounts[req.Prefix]++
	b.prefixTotal++
}
