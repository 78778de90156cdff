package balancer

import (
	"errors"
	"fmt"
)

// Micros is a point in time or a duration, in microseconds.
type Micros = int64

// Idempotency is the effect of a repeated attempt of a request.
type Idempotency uint8

// The kinds of idempotency.
const (
	Idempotent        Idempotency = iota // may run any number of times
	IdempotentWithKey                    // the replicas of a DedupScope drop repeats for the class's DedupWindow
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
	// LatencyObjective is the longest time to the first token, or to the answer of a
	// class that does not stream, with which a request earns its full PriorityWeight.
	LatencyObjective Micros `json:"Aim"`
	// ObjectivePer1000Tokens is added to LatencyObjective for each 1,000 prompt tokens.
	ObjectivePer1000Tokens Micros `json:"AimPer1000"`
	// TokenObjective is the time allowed for each streamed token.
	TokenObjective Micros `json:"TokenAim"`
	// Deadline is the longest time that a client waits for the complete answer.
	Deadline       Micros
	PriorityWeight float64 `json:"Worth"`
	// LateWeightShare is the fraction of PriorityWeight that a request earns between its
	// latency objective and its deadline.
	LateWeightShare float64     `json:"LateWorth"`
	Idempotency     Idempotency `json:"Effect"`
	// DedupScope and DedupWindow apply to IdempotentWithKey only: the replicas that drop
	// repeats, and for how long they do.
	DedupScope  DedupScope `json:"Scope"`
	DedupWindow Micros     `json:"RepeatsKept"`
	Streaming   bool       `json:"Stream"`
}

// Tenant is one of the parties that share the fleet.
type Tenant struct {
	Name string
	// QuotaPerS is the tenant's quota in requests per second, over all gateways.
	QuotaPerS float64
}

// ReportSource is the way in which replicas report their load.
type ReportSource uint8

// The sources of load reports.
const (
	ReportNone          ReportSource = iota // no load reports
	ReportInline                            // with each answer
	ReportOnHealthCheck                     // with the answer to a health check
)

// WeightKind is the meaning of an Endpoint's Weight.
type WeightKind uint8

// The meanings of an endpoint's weight.
const (
	WeightNone    WeightKind = iota // unused
	WeightNominal                   // registered size, exact or approximate
	WeightLive                      // size / (1 + requests in flight per core), measured some time ago
)

// Settings configure a Balancer. Reconfigure can change some of them. Captures
// store them as JSON under the names in the tags, in the order of the fields.
type Settings struct {
	Self, Gateways int // this gateway's index, from 0, and the number of gateways
	Zone           string
	Zones, Kinds   []string
	Classes        []Class
	Tenants        []Tenant
	// OverQuotaWeight multiplies the priority weight of requests of tenants over their quota.
	OverQuotaWeight float64      `json:"OverShareWorth"`
	ReportSource    ReportSource `json:"ReportVia"`
	WeightKind      WeightKind   `json:"Weights"`
	// PollDiscovery is set if discovery sends the endpoint list only on request.
	PollDiscovery bool `json:"AskRegistry"`
	// LocalDiscovery is set if an agent on this machine answers instead of discovery, so
	// that calls cost discovery nothing.
	LocalDiscovery bool `json:"ListsPushed"`
	// WatchInterval is the longest time that discovery takes to answer a watch; 0: discovery
	// answers only changes, so that without an answer the list stays valid.
	WatchInterval Micros `json:"WatchWait"`
	// DrainGrace is how long attempts may still be sent to a draining or removed replica after
	// its change counts as known to the gateway.
	DrainGrace Micros `json:",omitempty"`
	// Tick is the least time between two batches of events.
	Tick Micros

	MayHealthCheck bool `json:"MayProbe"`
	MayGossip      bool `json:"MayTellPeers"`
	MayCancel      bool
	MayHedge       bool `json:"SecondCopies"`
	RetryAfter     bool // overload replies have a Retry-After
	MaxAttempts    int
	MaxRetryAfter  Micros
	// HedgeRatio is the number of hedges allowed per request; 0: the default.
	HedgeRatio float64 `json:"HedgeShare"`
	// RetryRatio is the number of retries allowed per request; 0: the default.
	RetryRatio float64 `json:"RetryShare"`

	// Slow start. A warming replica fails if all gateways together send it more than
	// OverloadMultiple times its current capacity within OverloadWindow.
	InitialCapacity  float64 `json:"StartCapacity"` // fraction of its full capacity that a replica has at its start
	OverloadMultiple float64 `json:"FallMultiple"`
	SlowStartFor     Micros  `json:"ColdFor"`
	OverloadWindow   Micros  `json:"FallSpan"`

	StreamsPerConn  int    `json:"ConnStreams"` // concurrent attempts on one connection
	ConnIdleTimeout Micros `json:"ConnIdle"`

	// Costs in the unit of PriorityWeight.
	CrossZoneCost   float64 `json:"PriceCrossZone"` // of an attempt in another zone
	HandshakeCost   float64 `json:"PriceHandshake"` // of a new connection
	HealthCheckCost float64 `json:"PriceProbe"`     // of a health check
}

// Errors of New and Reconfigure that contain no value.
var (
	errNoSink           = errors.New("balancer: no sink")
	errNoClasses        = errors.New("balancer: no request classes")
	errMaxAttempts      = errors.New("balancer: MaxAttempts must be 1 or more")
	errInitialCapacity  = errors.New("balancer: InitialCapacity must be above 0 and at most 1")
	errNegativeSetting  = errors.New("balancer: negative figure in the rules")
	errZoneChanged      = errors.New("balancer: the zone cannot change")
	errDiscoveryChanged = errors.New("balancer: how the module hears of the fleet cannot change")
)

// validate returns an error if the settings are invalid.
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

// checkUnchanged returns an error if next differs from s in a setting that cannot
// change during the lifetime of a Balancer.
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

// prefillTimePerToken returns the time that the latency objectives allow for the prefill
// of a prompt token, in microseconds, as the mean over the classes.
func (s *Settings) prefillTimePerToken() float64 {
	sum := 0.0
	for _, class := range s.Classes {
		sum += float64(class.ObjectivePer1000Tokens)
	}
	return sum / 1000 / float64(len(s.Classes))
}
