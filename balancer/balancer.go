package balancer

import (
	"math"

	"archknot/balancer/zonehealth"
)

// Balancer makes the decisions of one gateway. It is deterministic and reads no
// clock: each event carries its time. It must be used from one goroutine.
type Balancer struct {
	settings    Settings
	sink        Sink
	rng         uint64 // state of the random source
	seed        uint64
	classIndex  map[string]int   // by class name
	tenantIndex map[string]int   // by tenant name
	policies    []*requestPolicy // by class; the last one is for unknown classes

	requests      map[RequestID]*request
	stats         []classStats // by class, like policies
	firstTokenFit linearFit    // time to first token by prompt tokens to prefill
	zones         zonehealth.Tracker
	interceptor   Interceptor      // nil except in replay
	breakdowns    []ScoreBreakdown // of the last scan, for the interceptor

	loadTable
	promptCache
	pickState
	discoveryState
	listValidity
	trafficRates
	attemptBudgets
	admissionState
}

// trafficRates are moving averages over this gateway's own traffic.
type trafficRates struct {
	lastTickAt          Micros
	dispatchRate        float64 // dispatches per second
	dispatchesSinceTick float64
	meanWork            float64 // mean work of a request with nothing cached; see workTokens
	meanServiceMs       float64 // mean reported service time
}

// classStats are statistics of the requests of one class.
type classStats struct {
	streamTime     float64 // mean time from the first token to the end, in microseconds
	cachedFraction float64 // mean fraction of the prompt found in the cache
}

// A timer token has the timer's purpose in its low timerBits bits and the request's ID above them.
const (
	timerTick uint64 = iota
	timerDeadline
	timerHedge
	timerObjective
	timerBits        = 2
	timerPurposeMask = 1<<timerBits - 1
	// timerPoll ends a request's wait for load reports. It is a bit above the request's
	// ID; the simulator's protocol limits tokens to below 1<<63.
	timerPoll uint64 = 1 << 62
)

func timerToken(purpose uint64, id RequestID) uint64 { return purpose | uint64(id)<<timerBits }

const (
	// tickInterval is the interval of periodic work. It is well below the second within
	// which replicas renew their reports.
	tickInterval Micros = 250_000
	// rateTimeConstant is the time constant of moving averages of rates, in seconds.
	rateTimeConstant = 8.0
	// learnRate is the weight of a new sample in slow moving averages (about 30 samples).
	learnRate       = 1.0 / 32
	microsPerSecond = 1e6
)

// New returns a Balancer, or an error if the settings are invalid or sink is nil. The
// seed initializes its random source.
func New(settings Settings, seed uint64, sink Sink) (*Balancer, error) {
	if sink == nil {
		return nil, errNoSink
	}
	if err := settings.validate(); err != nil {
		return nil, err
	}
	b := &Balancer{
		settings:    settings,
		sink:        sink,
		seed:        seed,
		rng:         splitmix(seed) | 1,
		classIndex:  map[string]int{},
		tenantIndex: map[string]int{},
		requests:    map[RequestID]*request{},
		stats:       make([]classStats, len(settings.Classes)+1),
		zones:       zonehealth.New(),
	}
	b.setPolicies()
	b.initTable()
	b.initPromptCache()
	b.initAdmission()
	b.initBudgets()
	return b, nil
}

// Start begins the watch of discovery and the periodic timer. It must be called once,
// before all other events.
func (b *Balancer) Start(now Micros) {
	b.lastTickAt, b.listCurrentAt = now, now
	if b.settings.PollDiscovery {
		// The first calls of all gateways are spread, in the order of their indices.
		b.nextPollAt = now + b.pollSpread()*int64(b.settings.Self)/int64(b.settings.Gateways)
		if b.nextPollAt == now {
			b.watch(now)
		}
	}
	b.sink.SetTimer(1+int64(b.random()*float64(tickInterval)), timerTick)
}

// TimerFired handles a timer set through the Sink. Timers of requests that have
// ended or that stream have no effect.
func (b *Balancer) TimerFired(now Micros, token uint64) {
	if token == timerTick {
		b.tick(now)
		b.sink.SetTimer(tickInterval, timerTick)
		return
	}
	req := b.requests[RequestID(token>>timerBits)]
	if req == nil || req.ended || req.streaming {
		return
	}
	switch token & (timerPurposeMask | timerPoll) {
	case timerPoll:
		if len(req.attempts) == 0 {
			b.recordUnansweredPolls(now, req)
			b.dispatch(now, req)
		}
	case timerDeadline:
		b.shedOrFail(req)
	case timerHedge:
		b.hedge(now, req)
	case timerObjective:
		req.late = true
		b.recordLateness(1)
		b.recordOverdueAttempts(now, req)
	}
}

// tick does the periodic work.
func (b *Balancer) tick(now Micros) {
	elapsed := math.Max(1e-3, float64(now-b.lastTickAt)/microsPerSecond)
	b.lastTickAt = now
	b.updateRates(elapsed)
	b.updateLimit(elapsed)
	b.tickDiscovery(now)
	b.refreshEstimates(now)
	b.runHealthChecks(now)
	b.tryUnavailableZones(now)
}

// updateRates adds the counts since the last tick, elapsed seconds ago, to the moving averages.
func (b *Balancer) updateRates(elapsed float64) {
	gain := math.Min(1, elapsed/rateTimeConstant)
	b.dispatchRate += gain * (b.dispatchesSinceTick/elapsed - b.dispatchRate)
	b.dispatchesSinceTick = 0
	for i := range b.tenantRate {
		b.tenantRate[i] += gain * (b.tenantArrivals[i]/elapsed - b.tenantRate[i])
		b.tenantArrivals[i] = 0
	}
}
