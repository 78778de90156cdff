package choice

import (
	"errors"
	"fmt"
	"maps"
	"slices"

	"archknot/internal/site"
)

// What a Balancer remembers. No decision stands here.

// classStats is what a gateway has seen of one class.
type classStats struct {
	stream float64 // mean time from the first token to the end; microseconds
	kept   float64 // mean share of the prompt found kept
}

// terms are what a request is taken on under: they hold for it to its end.
type terms struct {
	Class
	maxAttempts  int
	secondCopies bool
}

// less is the terms of a request of which some attempts were made elsewhere.
func (t *terms) less(spent int) *terms {
	if spent <= 0 {
		return t
	}
	left := *t
	left.maxAttempts = max(0, t.maxAttempts-spent)
	return &left
}

type request struct {
	Request
	terms             *terms
	class             int
	tenant            int // -1: none
	arrived, deadline Micros
	attempts          []*attempt
	live              int  // attempts still out
	opened            bool // a stream has begun: it belongs to the client now
	ended             bool // finally answered: nothing more goes out for it
	hedged            bool
	late              bool // its aim has passed without a first token
	avoidZone         int  // zone of a failed connect, -1: none
}

type attempt struct {
	row        *row
	sent       Micros
	unread     float64 // prompt tokens expected to be read there
	read, hold float64 // the charge: what reading costs until the stream opens, what is held until it ends
	status     Status
	ended      bool
	connected  bool   // it needed a new connection
	opened     Micros // time to the first token; 0: not begun
}

// table holds the rows, one for each replica that the server list names.
type table struct {
	rows   []*row   // sorted by id, so that scans have one order everywhere
	hashes []uint64 // theirs: a scan of them alone passes by most rows
	byID   map[ReplicaID]*row
	zoneNo map[string]int
	kindNo map[string]int
	myZone int
	kinds  []kindStats

	fleet      int     // replicas that take work in all; 0: those that are listed
	ready      int     // replicas listed as ready
	cold       int     // those of them that are cold
	meanLoad   float64 // mean of slowness x held tokens over fresh rows
	shareRatio float64 // fleet mean of memory share a token
	liveScale  float64 // tokens held for each unit of a live weight's load
	lifetime   float64 // mean time from dispatch to end: how long a report says something
	meanHold   float64 // mean tokens held for a request
	util       float64 // how busy warm replicas say they are; 0: not told
	slotShare  float64 // share of a worker's slots that a request takes, by reports; 0: not told
	meanCharge float64 // mean charge of a dispatch
	openTokens float64 // sum of hold tokens of all own attempts out

	short   [shortList]candidate // of the last pick
	ofKind  []candidate          // first homes by kind, as of the last look
	asking  bool                 // it may ask replicas for reports before it sends
	offered *row                 // the one cold replica that the attempt at hand may go to

	sessions  map[uint64]session
	sessRing  []uint64
	sessNext  int
	popular   map[uint64]float64 // decayed counts of shared prefixes
	popTotal  float64
	keptTrust float64 // found kept over expected kept
}

type kindStats struct {
	slowNum, slowDen float64
	slow             float64
	share            float64 // slow, in steps of a half power of two
	idleWeight       float64 // the largest live weight seen

	firstNum, firstDen float64 // first-token times seen and reported there, fading; microseconds
	first              float64 // their mean against all kinds', 1 = as all
}

// row is one replica's line in the table.
type row struct {
	// What each pick reads of each row stands first, in two cache lines: over thousands
	// of rows the memory's pace is the scan's.
	hash      uint64
	reportAt  Micros     // when the last report came; -1: never
	held      float64    // tokens held by it
	slow      float64    // slowness against the fleet, 1 = mean
	charge    float64    // sum of the charges of own attempts out
	unseen    float64    // that of those too young for the last report
	coldUntil Micros     // it is cold from its start up to then
	retryAt   Micros     // no sends before, unless nothing else is left
	open      []*attempt // the ledger: own attempts out
	conns     int        // connections believed open, and when one was last in use
	usedAt    Micros
	errors    float64 // fading share of attempts that failed
	zone      int
	kind      int
	fails     int // in a row
	id        ReplicaID
	state     MemberState
	probing   bool

	cell   int64
	size   float64 // its registered size against others; 0: not told
	since  Micros
	ratio  float64 // memory share a token
	ratioN float64

	slowNum, slowDen float64
	slowAt           Micros

	live     float64 // load by the last live weight
	probed   Micros
	provedAt Micros // when it was last known to take work: a send that it took or a probe that it answered
	coldFrom Micros
}

// candidate is a row as a pick weighed it.
type candidate struct {
	row         *row
	score, kept float64
}

type session struct {
	at     ReplicaID
	tokens int
}

// guard keeps replicas and clients from harm: health, cold starts, refusals,
// budgets of further attempts, the subscription to the server list, probes.
type guard struct {
	lastTick  Micros
	firstList bool // the registry itself has answered or pushed

	watching   bool
	askAt      Micros // when to ask the registry again; 0: not due
	askBackoff Micros
	toldAt     Micros // up to when discovery's word is known

	sendRate, sentNow float64 // own dispatches a second
	meanWork          float64 // mean of what a request takes where nothing is kept
	serviceMs         float64

	hedges, retries float64         // what is left of the budgets
	pace            float64         // median of first-token times less reading and the least seen
	paceFloor       map[int]float64 // the least seen, by zone and need of a connection
	told            bool            // answers tell their length
	slowStreams     float64         // share of recent streams that took longer than their token aims
	late            float64         // share of recent requests past their aim or unserved
	openLimit       float64         // most tokens that may be open; 0: no limit
	openFloor       float64         // below this it does not close before the next tick
	openMean        float64         // tokens open of late
	worthPerToken   float64
	usage           []float64 // requests a second, by tenant
	usedNow         []float64
	sites           site.Book
}

// check tells why the settings cannot be served.
func (s *Settings) check() error {
	switch {
	case s.Gateways < 1 || s.Self < 0 || s.Self >= s.Gateways:
		return fmt.Errorf("choice: gateway %d of %d: expected a number from 0 below the count", s.Self, s.Gateways)
	case len(s.Classes) == 0:
		return errors.New("choice: no request classes")
	case s.MaxAttempts < 1:
		return errors.New("choice: MaxAttempts must be 1 or more")
	case s.ColdFor > 0 && (s.StartCapacity <= 0 || s.StartCapacity > 1):
		return errors.New("choice: StartCapacity must be above 0 and at most 1")
	case s.ColdFor < 0 || s.FallSpan < 0 || s.FallMultiple < 0 || s.Tick < 0:
		return errors.New("choice: negative figure in the rules")
	}
	for _, c := range s.Classes {
		if c.Deadline <= 0 || c.Aim < 0 {
			return fmt.Errorf("choice: class %q: deadline must be positive", c.Name)
		}
	}
	return nil
}

// readPace is the time that the aims allow for reading a prompt token, the classes' mean;
// microseconds.
func (s *Settings) readPace() float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += float64(c.AimPer1000)
	}
	return sum / 1000 / float64(len(s.Classes))
}

func (b *Balancer) initTable() {
	t := &b.table
	t.byID, t.zoneNo, t.kindNo = map[ReplicaID]*row{}, map[string]int{}, map[string]int{}
	t.sessions, t.popular = map[uint64]session{}, map[uint64]float64{}
	t.sessRing = make([]uint64, maxSessions)
	t.keptTrust, t.lifetime = 0.8, float64(b.s.Classes[0].Aim)
	t.myZone = t.zone(b.s.Zone)
}

// rehash follows a change of the rows.
func (t *table) rehash() {
	t.hashes = t.hashes[:0]
	for _, w := range t.rows {
		t.hashes = append(t.hashes, w.hash)
	}
}

func (t *table) zone(name string) int {
	n, ok := t.zoneNo[name]
	if !ok {
		n = len(t.zoneNo)
		t.zoneNo[name] = n
	}
	return n
}

func (t *table) kindOf(name string) int {
	n, ok := t.kindNo[name]
	if !ok {
		n = len(t.kindNo)
		t.kindNo[name] = n
		t.kinds = append(t.kinds, kindStats{slow: 1, share: 1, first: 1})
	}
	return n
}

func (b *Balancer) initGuard() {
	b.usage = make([]float64, len(b.s.Tenants))
	b.usedNow = make([]float64, len(b.s.Tenants))
	b.sites, b.paceFloor = site.New(), map[int]float64{}
	b.hedges, b.retries = 1, budgetCap
}

// notePrefix counts a prefix; all counts are halved when there are too many.
func (b *Balancer) notePrefix(r *request) {
	if r.Prefix == 0 {
		return
	}
	if len(b.popular) >= maxPrefixes || b.popTotal > 1<<14 {
		b.popTotal = 0
		keep := map[uint64]float64{}
		for k, n := range b.popular {
			if n >= 2 {
				keep[k] = n / 2
			}
		}
		// In the keys' order: halves of halves do not add up to the same in any.
		for _, k := range slices.Sorted(maps.Keys(keep)) {
			b.popTotal += keep[k]
		}
		b.popular = keep
	}
	b.popular[r.Prefix]++
	b.popTotal++
}
