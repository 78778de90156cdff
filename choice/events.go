// The interface of the decision module: the settings it is built with, the
// events it is told and the actions it asks for. The decisions themselves
// stand in choice.go (requests), table.go (rows and the pick) and guard.go
// (health, cold starts, admission).

package choice

// Micros is a clock time or a duration in microseconds.
type Micros = int64

// ReplicaID names a model server; RequestID names one try of a client.
type (
	ReplicaID uint32
	RequestID uint32
)

// Effect tells what a repeated request does.
type Effect uint8

const (
	Safe   Effect = iota // may be repeated at will
	Keyed                // repeats are dropped within a group, for a while
	Unsafe               // must not run twice
)

// Scope is the set of replicas that drop a keyed request's repeats.
type Scope uint8

const (
	ScopeAll Scope = iota
	ScopeZone
	ScopeCell
)

// Class describes one class of requests.
type Class struct {
	Name        string
	Aim         Micros  `json:"Aim"`        // full worth for a first token (or answer) within this
	AimPer1000  Micros  `json:"AimPer1000"` // added to Aim for each 1,000 prompt tokens
	TokenAim    Micros  `json:"TokenAim"`   // time allowed for each streamed token
	Deadline    Micros  // the client's total wait
	Worth       float64 `json:"Worth"`
	LateWorth   float64 `json:"LateWorth"` // share of Worth paid between aim and deadline
	Effect      Effect  `json:"Effect"`
	Scope       Scope   `json:"Scope"`       // for Keyed
	RepeatsKept Micros  `json:"RepeatsKept"` // for Keyed: how long the group remembers
	Stream      bool    `json:"Stream"`
}

// Tenant is a party that shares the fleet.
type Tenant struct {
	Name      string
	QuotaPerS float64 // requests a second within its share, over all gateways
}

// ReportVia tells how replicas report their load.
type ReportVia uint8

const (
	ReportNone ReportVia = iota
	ReportInline
	ReportOnProbe
)

// WeightMeaning tells what a list entry's Weight stands for.
type WeightMeaning uint8

const (
	WeightNone    WeightMeaning = iota
	WeightNominal               // the registered size, exact or rough
	WeightLive                  // size / (1 + requests held a core), measured a while ago
)

// Settings are fixed for the life of a Balancer.
type Settings struct {
	Self, Gateways int // this gateway's number and how many there are
	Zone           string
	Zones, Kinds   []string
	Classes        []Class
	Tenants        []Tenant
	OverShareWorth float64       `json:"OverShareWorth"`
	ReportVia      ReportVia     `json:"ReportVia"`
	Weights        WeightMeaning `json:"Weights"`
	AskRegistry    bool          `json:"AskRegistry"` // the server list answers only when asked
	ListsPushed    bool          `json:"ListsPushed"` // whom to ask is an agent on this machine, which answers at no cost
	WatchWait      Micros        `json:"WatchWait"`   // a call that waits for news is answered at least so often; 0: no news means that there is none
	Tick           Micros        // least time between two rounds of events

	MayProbe      bool `json:"MayProbe"`
	MayTellPeers  bool `json:"MayTellPeers"`
	MayCancel     bool
	SecondCopies  bool `json:"SecondCopies"`
	RetryAfter    bool
	MaxAttempts   int
	MaxRetryAfter Micros
	HedgeShare    float64 `json:"HedgeShare"` // further attempts allowed a request; 0: the module's own figures
	RetryShare    float64 `json:"RetryShare"`

	// Cold replicas: sent more than FallMultiple times their present capacity
	// for FallSpan by all gateways together, they fall over.
	StartCapacity float64 `json:"StartCapacity"`
	FallMultiple  float64 `json:"FallMultiple"`
	ColdFor       Micros  `json:"ColdFor"`
	FallSpan      Micros  `json:"FallSpan"`

	// Connections: attempts that share one, and how long an idle one stays open.
	ConnStreams int    `json:"ConnStreams"`
	ConnIdle    Micros `json:"ConnIdle"`

	// Points of service for one of each, a request.
	PriceCrossZone float64 `json:"PriceCrossZone"`
	PriceHandshake float64 `json:"PriceHandshake"`
	PriceProbe     float64 `json:"PriceProbe"`
}

// MemberState is a replica's state in the server list.
type MemberState uint8

const (
	MemberReady MemberState = iota
	MemberDraining
	MemberGone
)

// Member is one entry of the server list.
type Member struct {
	Replica    ReplicaID
	State      MemberState
	Weight     float64
	Cell       int64
	Kind, Zone string
	Since      Micros // when it last started; 0: long ago
}

// ListKind tells how a ServerList relates to what was held before.
type ListKind uint8

const (
	ListDelta     ListKind = iota // changed entries only
	ListFull                      // everything; what is absent is gone
	ListSaved                     // the list as last held, maybe outdated
	ListFailed                    // a call to discovery failed, the old list stands
	ListUnreached                 // so too, and discovery could not be reached just now
	ListOwn                       // changed entries by the operators' word: nothing was heard of discovery
)

// Whole tells whether a list of this kind has all replicas: what it lacks is gone.
func (k ListKind) Whole() bool { return k == ListFull || k == ListSaved }

// Failed tells that there is no list, but word of a call that failed.
func (k ListKind) Failed() bool { return k == ListFailed || k == ListUnreached }

// Heard tells that a list of this kind is discovery's own word, given now.
func (k ListKind) Heard() bool { return k == ListFull || k == ListDelta }

// ServerList is news of the fleet.
type ServerList struct {
	Kind    ListKind
	Version int64
	Members []Member
	// Fleet is how many replicas take work in all, where the lists name a part of them to this
	// gateway and other parts to others; 0: the lists name all.
	Fleet int
}

// Request is one try of a client; exactly one final answer is owed for it.
type Request struct {
	ID                                    RequestID
	Class, Tenant                         string
	TimeLeft                              Micros // until the client gives this try up
	PromptTokens, PrefixTokens, MaxTokens int
	Session, Prefix                       uint64 // 0: none
	// Home is the replica that all gateways agree to keep the request's session or prefix at;
	// 0: it is found among the replicas listed.
	Home ReplicaID
	// Factor is what a contract makes of the class's worth; 0: there is none, and
	// the tenant's quota counts.
	Factor float64
	// Spent is how many attempts another gateway has made, or may have made: this
	// one goes on with a request that it lost.
	Spent int
}

// Fields of a Report that were present.
const (
	HasMemory uint8 = 1 << iota
	HasUnread
	HasInFlight
	HasQueued
	HasService
	HasUtil
)

// Report is a replica's own account of its load, late and noisy.
type Report struct {
	Has         uint8
	MemoryShare float64 // of memory held by running requests
	UnreadK     float64 // thousands of prompt tokens waiting to be read
	InFlight    float64 // requests held
	Queued      float64 // requests waiting
	ServiceMs   float64 // recent service time
	Util        float64 // share of capacity busy
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
	Spoilt               // may have run; what came back cannot be read
	Rejected             // the request itself is at fault, wherever it goes
)

// NeverRan tells whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Shed || s == ConnectFailed || s == NotSent }

// Outcome is the end of one attempt.
type Outcome struct {
	ID      RequestID
	Attempt int
	Replica ReplicaID
	Status  Status
	Elapsed Micros
	Final   bool // the request has ended, by this or before
	Kept    int  // prompt tokens found kept
	Tokens  int  // of the answer; 0: not told
	Report  Report
}

// Sink takes the actions of a Balancer, in order.
type Sink interface {
	Dispatch(id RequestID, to ReplicaID, cutAt Micros)
	Refuse(id RequestID, retryAfter Micros)
	Fail(id RequestID)
	Cancel(id RequestID, attempt int)
	SetTimer(delay Micros, token uint64)
	Probe(to ReplicaID)
	TellPeers(body []byte)
	WatchRegistry()
}
