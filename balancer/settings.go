package balancer

import (
	"errors"
	"fmt"
)

// Micros is a point in time or a duration, in microseconds.
type Micros = int64

// Idempotency says what a repeated attempt of a request does.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // repeats are dropped within a DedupScope, for the class's DedupWindow
	NonIdempotent                        // must not run twice
)

// DedupScope is the set of replicas that drop repeats of a request with an idempotency key.
type DedupScope uint8

// The deduplication scopes.
const (
	DedupAll  DedupScope = iota // all replicas
	DedupZone                   // the replicas of one zone
	DedupCell                   // the replicas of one cell
)

// Class describes one class of requests. Captures store classes as JSON under
// the names in the tags.
type Class struct {
	Name string
	// LatencyObjective is the time to the first token, or to the answer of a class
	// that does not stream, up to which a request earns its full weight.
	LatencyObjective Micros `json:"Aim"`
	// ObjectivePer1000Tokens is added to LatencyObjective for each 1,000 prompt tokens.
	ObjectivePer1000Tokens Micros `json:"AimPer1000"`
	// TokenObjective is the time allowed for each streamed token.
	TokenObjective Micros `json:"TokenAim"`
	// Deadline is how long a client waits in all.
	Deadline       Micros
	PriorityWeight float64 `json:"Worth"`
	// LateWeightShare is the share of PriorityWeight earned between the latency
	// objective and the deadline.
	LateWeightShare float64     `json:"LateWorth"`
	Idempotency     Idempotency `json:"Effect"`
	// DedupScope and DedupWindow matter for IdempotentWithKey alone: which replicas
	// drop repeats, and for how long.
	DedupScope  DedupScope `json:"Scope"`
	DedupWindow Micros     `json:"RepeatsKept"`
	Streaming   bool       `json:"Stream"`
}

// Tenant is a party that shares the fleet.
type Tenant struct {
	Name string
	// QuotaPerS is the tenant's quota in requests a second, over all gateways.
	QuotaPerS float64
}

// ReportSource says how replicas report their load.
type ReportSource uint8

// The ways of load reports.
const (
	ReportNone          ReportSource = iota // not at all
	ReportInline                            // with each answer
	ReportOnHealthCheck                     // with the answer to a health check
)

// WeightKind says what the Weight of an Endpoint means.
type WeightKind uint8

// The meanings of an endpoint's weight.
const (
	WeightNone    WeightKind = iota
	WeightNominal            // the registered size, exact or rough
	WeightLive               // size / (1 + requests in flight per core), measured a while ago
)

// Settings configure a Balancer. Reconfigure can change some of them. Captures
// store them as JSON under the names in the tags, in the order of the fields.
type Settings struct {
	Self, Gateways int // this gateway's index, from 0, and the number of gateways
	Zone           string
	Zones, Kinds   []string
	Classes        []Class
	Tenants        []Tenant
	// OverQuotaWeight multiplies the priority weight of requests over their tenant's quota.
	OverQuotaWeight float64      `json:"OverShareWorth"`
	ReportSource    ReportSource `json:"ReportVia"`
	WeightKind      WeightKind   `json:"Weights"`
	// PollDiscovery: discovery sends the endpoint list only when asked.
	PollDiscovery bool `json:"AskRegistry"`
	// LocalDiscovery: an agent on this machine answers for discovery, at no cost.
	LocalDiscovery bool `json:"ListsPushed"`
	// WatchInterval is the longest time that discovery takes to answer a watch; 0: no
	// answer means that nothing has changed.
	WatchInterval Micros `json:"WatchWait"`
	// DrainGrace is how long after it counts as known that a replica drains or is gone attempts
	// may still be sent there.
	DrainGrace Micros `json:",omitempty"`
	// Tick is the least time between two rounds of events.
	Tick Micros

	MayHealthCheck bool `json:"MayProbe"`
	MayGossip      bool `json:"MayTellPeers"`
	MayCancel      bool
	MayHedge       bool `json:"SecondCopies"`
	RetryAfter     bool // overload replies carry a Retry-After
	MaxAttempts    int
	MaxRetryAfter  Micros
	// HedgeRatio and RetryRatio are the hedges and retries allowed for each request;
	// 0: the defaults.
	HedgeRatio float64 `json:"HedgeShare"`
	RetryRatio float64 `json:"RetryShare"`

	// Slow start. A warming replica fails if all gateways together send it more than
	// OverloadMultiple times its present capacity during OverloadWindow.
	InitialCapacity  float64 `json:"StartCapacity"` // share of its capacity that a replica has at its start
	OverloadMultiple float64 `json:"FallMultiple"`
	SlowStartFor     Micros  `json:"ColdFor"`
	OverloadWindow   Micros  `json:"FallSpan"`

	// Connections: attempts that share one, and how long an idle one stays open.
	StreamsPerConn  int    `json:"ConnStreams"`
	ConnIdleTimeout Micros `json:"ConnIdle"`

	// Costs of one of each, in the unit of PriorityWeight.
	CrossZoneCost   float64 `json:"PriceCrossZone"`
	HandshakeCost   float64 `json:"PriceHandshake"`
	HealthCheckCost float64 `json:"PriceProbe"`
}

// Errors of New and Reconfigure that name no value.
var (
	errNoSink           = errors.New("balancer: no sink")
	errNoClasses        = errors.New("balancer: no request classes")
	errMaxAttempts      = errors.New("balancer: MaxAttempts must be 1 or more")
	errInitialCapacity  = errors.New("balancer: InitialCapacity must be above 0 and at most 1")
	errNegativeSetting  = errors.New("balancer: negative figure in the rules")
	errZoneChanged      = errors.New("balancer: the zone cannot change")
	errDiscoveryChanged = errors.New("balancer: how the module hears of the fleet cannot change")
)

// validate returns an error if no Balancer can work with the settings.
func (s *Settings) validate() error {
	switch {
	case s.Gateways < 1 || s.Self < 0 || s.Self >= s.Gateways:
		return fmt.Errorf("balancer: gateway %d of %d: expected a number from 0 below the count", s.Self, s.Gateways)
	case len(s.Classes) == 0:
		return errNoClasses
	case s.MaxAttempts < 1:
		return errMaxAttempts
	case s.SlowStartFor > 0 && (s.InitialCapacity <= 0 || s.InitialCapacity > 1):
		return errInitialCapacity
	case s.SlowStartFor < 0 || s.OverloadWindow < 0 || s.OverloadMultiple < 0 || s.Tick < 0 || s.DrainGrace < 0:
		return errNegativeSetting
	}
	for _, class := range s.Classes {
		if class.Deadline <= 0 || class.LatencyObjective < 0 {
			return fmt.Errorf("balancer: class %q: deadline must be positive", class.Name)
		}
	}
	return nil
}

// checkUnchanged returns an error if next differs from s in a setting that is
// fixed for the life of a Balancer.
func (s *Settings) checkUnchanged(next *Settings) error {
	switch {
	case s.Self != next.Self || s.Gateways != next.Gateways:
		return fmt.Errorf("balancer: gateway %d of %d cannot become %d of %d", s.Self, s.Gateways, next.Self, next.Gateways)
	case s.Zone != next.Zone:
		return errZoneChanged
	case s.ReportSource != next.ReportSource || s.WeightKind != next.WeightKind,
		s.PollDiscovery != next.PollDiscovery || s.LocalDiscovery != next.LocalDiscovery,
		s.Tick != next.Tick || s.MayGossip != next.MayGossip:
		return errDiscoveryChanged
	}
	return nil
}

// prefillTimePerToken is the time that the latency objectives allow for the prefill
// of a prompt token, in microseconds: the mean over the classes.
func (s *Settings) prefillTimePerToken() float64 {
	sum := 0.0
	for _, class := range s.Classes {
		sum += float64(class.ObjectivePer1000Tokens)
	}
	return sum / 1000 / float64(len(s.Classes))
}
