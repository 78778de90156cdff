// The interface of the decision module: the settings it is built with, the
// events it is told and the actions it asks for. The decisions themselves
// stand in choice.go (requests), table.go (rows and the pick) and guard.go
// (health, cold starts, admission).

package balancer

// Micros is a clock time or a duration in microseconds.
type Micros = int64

// ReplicaID names a model server; RequestID names one try of a client.
type (
	ReplicaID uint32
	RequestID uint32
)

// Idempotency tells what a repeated request does.
type Idempotency uint8

const (
	Idempotent        Idempotency = iota // may be repeated at will
	IdempotentWithKey                    // repeats are dropped within a group, for a while
	NonIdempotent                        // must not run twice
)

// DedupScope is the set of replicas that drop a keyed request's repeats.
type DedupScope uint8

const (
	DedupAll DedupScope = iota
	DedupZone
	DedupCell
)

// Class describes one class of requests.
type Class struct {
	Name                   string
	LatencyObjective       Micros      `json:"Aim"`        // full worth for a first token (or answer) within this
	ObjectivePer1000Tokens Micros      `json:"AimPer1000"` // added to Aim for each 1,000 prompt tokens
	TokenObjective         Micros      `json:"TokenAim"`   // time allowed for each streamed token
	Deadline               Micros      // the client's total wait
	PriorityWeight         float64     `json:"Worth"`
	LateWeightShare        float64     `json:"LateWorth"` // share of Worth paid between aim and deadline
	Idempotency            Idempotency `json:"Effect"`
	DedupScope             DedupScope  `json:"Scope"`       // for Keyed
	DedupWindow            Micros      `json:"RepeatsKept"` // for Keyed: how long the group remembers
	Streaming              bool        `json:"Stream"`
}

// Tenant is a party that shares the fleet.
type Tenant struct {
	Name      string
	QuotaPerS float64 // requests a second within its share, over all gateways
}

// ReportSource tells how replicas report their load.
type ReportSource uint8

const (
	ReportNone ReportSource = iota
	ReportInline
	ReportOnHealthCheck
)

// WeightKind tells what a list entry's Weight stands for.
type WeightKind uint8

const (
	WeightNone    WeightKind = iota
	WeightNominal            // the registered size, exact or rough
	WeightLive               // size / (1 + requests held a core), measured a while ago
)

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Self, Gateways  int // this gateway's number and how many there are
	Zone            string
	Zones, Kinds    []string
	Classes         []Class
	Tenants         []Tenant
	OverQuotaWeight float64      `json:"OverShareWorth"`
	ReportSource    ReportSource `json:"ReportVia"`
	WeightKind      WeightKind   `json:"Weights"`
	PollDiscovery   bool         `json:"AskRegistry"` // the server list answers only when asked
	LocalDiscovery  bool         `json:"ListsPushed"` // whom to ask is an agent on this machine, which answers at no cost
	WatchInterval   Micros       `json:"WatchWait"`   // a call that waits for news is answered at least so often; 0: no news means that there is none
	Tick            Micros       // least time between two rounds of events

	MayHealthCheck bool `json:"MayProbe"`
	MayGossip      bool `json:"MayTellPeers"`
	MayCancel      bool
	MayHedge       bool `json:"SecondCopies"`
	RetryAfter     bool
	MaxAttempts    int
	MaxRetryAfter  Micros
	HedgeRatio     float64 `json:"HedgeShare"` // further attempts allowed a request; 0: the module's own figures
	RetryRatio     float64 `json:"RetryShare"`

	// Cold replicas: sent more than OverloadMultiple times their present capacity
	// for OverloadWindow by all gateways together, they fall over.
	InitialCapacity  float64 `json:"StartCapacity"`
	OverloadMultiple float64 `json:"FallMultiple"`
	SlowStartFor     Micros  `json:"ColdFor"`
	OverloadWindow   Micros  `json:"FallSpan"`

	// Connections: attempts that share one, and how long an idle one stays open.
	StreamsPerConn  int    `json:"ConnStreams"`
	ConnIdleTimeout Micros `json:"ConnIdle"`

	// Points of service for one of each, a request.
	CrossZoneCost   float64 `json:"PriceCrossZone"`
	HandshakeCost   float64 `json:"PriceHandshake"`
	HealthCheckCost float64 `json:"PriceProbe"`
}

// EndpointState is a replica's state in the server list.
type EndpointState uint8

const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointGone
)

// Endpoint is one entry of the server list.
type Endpoint struct {
	Replica    ReplicaID
	State      EndpointState
	Weight     float64
	Cell       int64
	Kind, Zone string
	StartedAt  Micros // when it last started; 0: long ago
}

// ListKind tells how a EndpointList relates to what was held before.
type ListKind uint8

const (
	ListDelta       ListKind = iota // changed entries only
	ListFull                        // everything; what is absent is gone
	ListCached                      // the list as last held, maybe outdated
	ListFailed                      // a call to discovery failed, the old list stands
	ListUnreachable                 // so too, and discovery could not be reached just now
	ListOverride                    // changed entries by the operators' word: nothing was heard of discovery
)

// Complete tells whether a list of this kind has all replicas: what it lacks is gone.
func (k ListKind) Complete() bool { return k == ListFull || k == ListCached }

// Failed tells that there is no list, but word of a call that failed.
func (k ListKind) Failed() bool { return k == ListFailed || k == ListUnreachable }

// FromDiscovery tells that a list of this kind is discovery's own word, given now.
func (k ListKind) FromDiscovery() bool { return k == ListFull || k == ListDelta }

// EndpointList is news of the fleet.
type EndpointList struct {
	Kind      ListKind
	Version   int64
	Endpoints []Endpoint
	// FleetSize is how many replicas take work in all, where the lists name a part of them to this
	// gateway and other parts to others; 0: the lists name all.
	FleetSize int
}

// Request is one try of a client; exactly one final answer is owed for it.
type Request struct {
	ID                                    RequestID
	Class, Tenant                         string
	TimeLeft                              Micros // until the client gives this try up
	PromptTokens, PrefixTokens, MaxTokens int
	Session, Prefix                       uint64 // 0: none
	// HomeReplica is the replica that all gateways agree to keep the request's session or prefix at;
	// 0: it is found among the replicas listed.
	HomeReplica ReplicaID
	// PriorityFactor is what a contract makes of the class's worth; 0: there is none, and
	// the tenant's quota counts.
	PriorityFactor float64
	// PriorAttempts is how many attempts another gateway has made, or may have made: this
	// one goes on with a request that it lost.
	PriorAttempts int
}

// Fields of a Report that were present.
const (
	HasMemory uint8 = 1 << iota
	HasPrefillBacklog
	HasInFlight
	HasQueued
	HasService
	HasUtilization
)

// LoadReport is a replica's own account of its load, late and noisy.
type LoadReport struct {
	Has             uint8
	MemoryShare     float64 // of memory held by running requests
	PrefillBacklogK float64 // thousands of prompt tokens waiting to be read
	InFlight        float64 // requests held
	Queued          float64 // requests waiting
	ServiceMs       float64 // recent service time
	Utilization     float64 // share of capacity busy
}

// Status is how an attempt or a probe ended.
type Status uint8

const (
	Served        Status = iota
	Errored              // may have run
	Shed                 // refused unseen
	TimedOut             // may have run
	ConnectFailed        // never ran
	ConnBroken           // may have run
	Cancelled            // may have run
	NotSent              // never ran
	Malformed            // may have run; what came back cannot be read
	Rejected             // the request itself is at fault, wherever it goes
)

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Shed || s == ConnectFailed || s == NotSent }

// Outcome is the end of one attempt.
type Outcome struct {
	ID           RequestID
	Attempt      int
	Replica      ReplicaID
	Status       Status
	Elapsed      Micros
	Final        bool // the request has ended, by this or before
	CachedTokens int  // prompt tokens found kept
	OutputTokens int  // of the answer; 0: not told
	Report       LoadReport
}

// Sink takes the actions of a Balancer, in order.
type Sink interface {
	Dispatch(id RequestID, to ReplicaID, cutAt Micros)
	Shed(id RequestID, retryAfter Micros)
	Fail(id RequestID)
	Cancel(id RequestID, attempt int)
	SetTimer(delay Micros, token uint64)
	HealthCheck(to ReplicaID)
	Gossip(body []byte)
	WatchDiscovery()
}
