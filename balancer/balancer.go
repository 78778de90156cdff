package balancer

import (
	"math"

	"archknot/balancer/zonehealth"
)

// Balancer makes the decisions of one gateway. It belongs to one goroutine, is
// deterministic and reads no clock: each event brings its time.
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
	interceptor   Interceptor      // nil in service
	breakdowns    []ScoreBreakdown // of the last scan, for the interceptor

	loadTable
	promptCache
	pickState
	discoveryState
	trafficRates
	attemptBudgets
	admissionState
}

// trafficRates are averages over this gateway's own traffic.
type trafficRates struct {
	lastTickAt          Micros
	dispatchRate        float64 // dispatches a second
	dispatchesSinceTick float64
	meanWork            float64 // mean work of a request with nothing cached; see workTokens
	meanServiceMs       float64 // mean reported service time
}

// classStats is what a gateway has seen of one class.
type classStats struct {
	streamTime     float64 // mean time from the first token to the end, in microseconds
	cachedFraction float64 // mean share of the prompt found in the cache
}

// Timer tokens: the low timerBits give the purpose, the bits above them the request.
const (
	timerTick uint64 = iota
	timerDeadline
	timerHedge
	timerObjective
	timerBits        = 2
	timerPurposeMask = 1<<timerBits - 1
	// timerPoll, a bit above the request, ends a request's wait for load reports. The
	// simulator's wire carries tokens below 1<<63.
	timerPoll uint64 = 1 << 62
)

// timerToken is the token of a request's timer.
func timerToken(purpose uint64, id RequestID) uint64 { return purpose | uint64(id)<<timerBits }

const (
	// tickInterval is the interval of upkeep: well under the second within which
	// reports are renewed.
	tickInterval Micros = 250_000
	// rateWindow is the time constant of rates, in seconds.
	rateWindow = 8.0
	// learnRate is the weight of a new sample in slow averages (about 30 samples).
	learnRate = 1.0 / 32
	// microsPerSecond converts between Micros and seconds.
	microsPerSecond = 1e6
)

// New returns a Balancer for the settings, or an error if it cannot work with them.
// The seed sets its random source.
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

// Start is called once, before all other events.
func (b *Balancer) Start(now Micros) {
	b.lastTickAt, b.lastHeardAt = now, now
	if b.settings.PollDiscovery {
		// Each gateway has its turn.
		b.nextPollAt = now + b.pollSpread()*int64(b.settings.Self)/int64(b.settings.Gateways)
		if b.nextPollAt == now {
			b.watch(now)
		}
	}
	b.sink.SetTimer(1+int64(b.random()*float64(tickInterval)), timerTick)
}

// TimerFired handles a timer set through the Sink. Timers of requests that have
// ended have no effect.
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

// tick does the upkeep, every tickEvery.
func (b *Balancer) tick(now Micros) {
	elapsed := math.Max(1e-3, float64(now-b.lastTickAt)/microsPerSecond)
	b.lastTickAt = now
	b.updateRates(elapsed)
	b.updateLimit(elapsed)
	b.followDiscovery(now)
	b.refreshEstimates(now)
	b.runHealthChecks(now)
	b.tryUnavailableZones(now)
}

// updateRates averages the counts since the last tick, elapsed seconds ago.
func (b *Balancer) updateRates(elapsed float64) {
	gain := math.Min(1, elapsed/rateWindow)
	b.dispatchRate += gain * (b.dispatchesSinceTick/elapsed - b.dispatchRate)
	b.dispatchesSinceTick = 0
	for i := range b.tenantRate {
		b.tenantRate[i] += gain * (b.tenantArrivals[i]/elapsed - b.tenantRate[i])
		b.tenantArrivals[i] = 0
	}
}
