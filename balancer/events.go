package balancer

// ReplicaID identifies a model replica.
type ReplicaID uint32

// RequestID identifies a request within its gateway. IDs are not reused.
type RequestID uint32

// EndpointState is a replica's state in the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointReady    EndpointState = iota // takes new attempts
	EndpointDraining                      // finishes its attempts and takes no new ones
	EndpointRemoved                       // no longer in the endpoint list
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Replica    ReplicaID
	State      EndpointState
	Weight     float64 // see WeightKind
	Cell       int64
	Kind, Zone string
	StartedAt  Micros // 0: unknown
}

// ListKind is the relation of an EndpointList to the list that the Balancer has.
type ListKind uint8

// The kinds of endpoint lists.
const (
	ListDelta       ListKind = iota // the changed entries
	ListFull                        // all entries: a replica that is not in it was removed
	ListCached                      // all entries of a stored list, which may be outdated
	ListFailed                      // no list: a call to discovery failed
	ListUnreachable                 // no list: discovery could not be reached at AsOf
	ListOverride                    // entries changed by an operator, not by discovery
	ListUnavailable                 // no list: discovery answered the call of AsOf that it serves none
	ListGap                         // no list: until discovery answers, changes of before AsOf may be missing
)

// Complete reports whether a list of this kind names all replicas.
func (k ListKind) Complete() bool { return k == ListFull || k == ListCached }

// Failed reports whether this kind stands for a failed call to discovery, without a list.
func (k ListKind) Failed() bool {
	return k == ListFailed || k == ListUnreachable || k == ListUnavailable
}

// FromDiscovery reports whether a list of this kind is an answer of discovery, rather than
// a stored list or an operator's override.
func (k ListKind) FromDiscovery() bool { return k == ListFull || k == ListDelta }

// EndpointList is a complete endpoint list, a change of it, or the failure to fetch one.
type EndpointList struct {
	Kind      ListKind
	Version   int64
	Endpoints []Endpoint
	// AsOf is the time up to which the list includes all changes. For a failed call it is the
	// time at which the call began. 0: now.
	AsOf Micros
	// FleetSize is the number of ready replicas in the whole fleet if the list names only
	// this gateway's subset of it; 0: the list names all replicas.
	FleetSize int
}

// Request is one request of a client. It gets exactly one final answer.
type Request struct {
	ID                                    RequestID
	Class, Tenant                         string
	TimeLeft                              Micros // until the client's deadline
	PromptTokens, PrefixTokens, MaxTokens int
	Session, Prefix                       uint64 // hashes; 0: none
	// AffinityTarget is the replica that all gateways choose for the request's session or
	// prefix, so that it is likely cached there; 0: it is computed from the listed replicas.
	AffinityTarget ReplicaID
	// PriorityFactor is the contract's multiplier of the class's priority weight; 0: there is
	// no contract, and the tenant's quota applies.
	PriorityFactor float64
	// PriorAttempts is the number of attempts that another gateway has made, or may have
	// made, before this one took the request over.
	PriorAttempts int
}

// The fields that are present in a LoadReport.
const (
	HasMemory uint8 = 1 << iota
	HasPrefillBacklog
	HasInFlight
	HasQueued
	HasService
	HasUtilization
)

// LoadReport is the load that a replica reports about itself. It is delayed and noisy.
type LoadReport struct {
	Has             uint8   // the fields that are present: bits HasMemory and so on
	MemoryShare     float64 // fraction of memory held by running requests
	PrefillBacklogK float64 // thousands of prompt tokens that wait for prefill
	InFlight        float64 // requests running
	Queued          float64 // requests waiting
	ServiceMs       float64 // recent service time
	Utilization     float64 // fraction of capacity in use
}

// Status is the result of an attempt or a health check.
type Status uint8

// The results of an attempt. NeverRan reports which of them prove that it had no effect.
const (
	Served        Status = iota
	Errored              // may have run
	Shed                 // never ran: the replica refused it because of overload
	TimedOut             // may have run
	ConnectFailed        // never ran
	ConnBroken           // may have run
	Cancelled            // may have run
	NotSent              // never ran
	Malformed            // may have run; the answer cannot be read
	Rejected             // the request is invalid at every replica
)

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Shed || s == ConnectFailed || s == NotSent }

// Outcome describes the first token or the end of an attempt, or the end of a
// health check, for which ID and Attempt are unused.
type Outcome struct {
	ID           RequestID
	Attempt      int // index among the request's attempts
	Replica      ReplicaID
	Status       Status
	Elapsed      Micros // since the dispatch
	Final        bool   // the client has its answer, from this attempt or an earlier one
	CachedTokens int    // prompt tokens found in the replica's cache
	OutputTokens int    // tokens of the answer; 0: not reported
	Report       LoadReport
	ConnAge      Micros // how long the connection of a health check had been open
}

// Sink carries out the actions of a Balancer. Its methods are called in order, before
// the method for the event that caused them returns, and must not call the Balancer.
type Sink interface {
	// Dispatch sends an attempt of a request to a replica. The attempt times out at deadline.
	Dispatch(id RequestID, to ReplicaID, deadline Micros)
	// Shed answers a request with an overload reply, which states that a repeat is
	// harmless. With retryAfter 0 the reply has no Retry-After.
	Shed(id RequestID, retryAfter Micros)
	// Fail answers a request with an error.
	Fail(id RequestID)
	// Cancel aborts an attempt. AttemptEnded must still be called for it.
	Cancel(id RequestID, attempt int)
	// SetTimer schedules a call of TimerFired with the token after the delay. Timers are
	// never stopped.
	SetTimer(delay Micros, token uint64)
	// HealthCheck checks a replica's health and requests its load report.
	// HealthCheckEnded must be called with the result.
	HealthCheck(to ReplicaID)
	// Gossip sends a message to the other gateways, which pass it to PeerMessage.
	Gossip(body []byte)
	// WatchDiscovery requests the endpoint list and its changes from discovery.
	// ListChanged must be called with the answers.
	WatchDiscovery()
}
