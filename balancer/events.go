package balancer

// ReplicaID identifies a model replica.
type ReplicaID uint32

// RequestID identifies a request, as the gateway numbers them.
type RequestID uint32

// EndpointState is a replica's state in the endpoint list.
type EndpointState uint8

// The states of an endpoint.
const (
	EndpointReady EndpointState = iota
	EndpointDraining
	EndpointRemoved
)

// Endpoint is one entry of the endpoint list.
type Endpoint struct {
	Replica    ReplicaID
	State      EndpointState
	Weight     float64 // see WeightKind
	Cell       int64
	Kind, Zone string
	StartedAt  Micros // 0: long ago
}

// ListKind says how an EndpointList relates to the list that the Balancer has.
type ListKind uint8

// The kinds of endpoint lists.
const (
	ListDelta       ListKind = iota // the changed entries
	ListFull                        // all entries: a replica that is not in it is gone
	ListCached                      // all entries as last stored, which may be outdated
	ListFailed                      // no list: a call to discovery failed
	ListUnreachable                 // no list: discovery could not be reached, by AsOf
	ListOverride                    // entries changed by an operator, without word from discovery
	ListUnavailable                 // no list: discovery has answered since AsOf that it serves none
)

// Complete reports whether a list of this kind has all replicas.
func (k ListKind) Complete() bool { return k == ListFull || k == ListCached }

// Failed reports whether there is no list, since a call to discovery failed.
func (k ListKind) Failed() bool {
	return k == ListFailed || k == ListUnreachable || k == ListUnavailable
}

// FromDiscovery reports whether discovery itself has sent a list of this kind just now.
func (k ListKind) FromDiscovery() bool { return k == ListFull || k == ListDelta }

// EndpointList is a change of the fleet, or the fact that none could be fetched.
type EndpointList struct {
	Kind      ListKind
	Version   int64
	Endpoints []Endpoint
	// AsOf is the time up to which all changes are known by this word of discovery's, or up to
	// which discovery could not be reached; 0: now.
	AsOf Micros
	// FleetSize is the number of ready replicas in the whole fleet if lists name only
	// this gateway's subset of it; 0: lists name all.
	FleetSize int
}

// Request is one request of a client. The Balancer owes it exactly one final answer.
type Request struct {
	ID                                    RequestID
	Class, Tenant                         string
	TimeLeft                              Micros // until the client gives up
	PromptTokens, PrefixTokens, MaxTokens int
	Session, Prefix                       uint64 // hashes; 0: none
	// AffinityTarget is the replica that is expected to have cached the request's session or
	// prefix, by agreement of all gateways; 0: it is found among the listed replicas.
	AffinityTarget ReplicaID
	// PriorityFactor multiplies the class's priority weight by contract; 0: there is no
	// contract, and the tenant's quota counts.
	PriorityFactor float64
	// PriorAttempts is how many attempts another gateway has made, or may have made, if
	// this one takes the request over.
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

// LoadReport is a replica's own account of its load. It is late and noisy.
type LoadReport struct {
	Has             uint8   // the fields that are present: a union of HasMemory and so on
	MemoryShare     float64 // share of its memory held by running requests
	PrefillBacklogK float64 // thousands of prompt tokens that wait for prefill
	InFlight        float64 // requests running
	Queued          float64 // requests waiting
	ServiceMs       float64 // recent service time
	Utilization     float64 // share of capacity in use
}

// Status says how an attempt or a health check ended.
type Status uint8

// The ends of an attempt. See NeverRan for those that prove it had no effect.
const (
	Served        Status = iota
	Errored              // may have run
	Shed                 // the replica refused it, overloaded
	TimedOut             // may have run
	ConnectFailed        // never ran
	ConnBroken           // may have run
	Cancelled            // may have run
	NotSent              // never ran
	Malformed            // may have run; the answer cannot be read
	Rejected             // the request itself is invalid, at whichever replica
)

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Shed || s == ConnectFailed || s == NotSent }

// Outcome describes the first token or the end of an attempt, or the end of a
// health check (which has no ID and no Attempt).
type Outcome struct {
	ID           RequestID
	Attempt      int // index among the request's attempts
	Replica      ReplicaID
	Status       Status
	Elapsed      Micros // since the dispatch
	Final        bool   // the client has its answer, by this attempt or before
	CachedTokens int    // prompt tokens found in the replica's cache
	OutputTokens int    // of the answer; 0: not reported
	Report       LoadReport
	ConnAge      Micros // of the connection of a health check, which had been open for so long
}

// Sink carries out the actions of a Balancer. Its methods are called in order, from
// within the event that caused them, and must not call the Balancer.
type Sink interface {
	// Dispatch sends an attempt of a request to a replica; it is cut off at deadline.
	Dispatch(id RequestID, to ReplicaID, deadline Micros)
	// Shed answers a request with an overload reply, which says that a repeat is
	// harmless; retryAfter 0: without advice.
	Shed(id RequestID, retryAfter Micros)
	// Fail answers a request with an error.
	Fail(id RequestID)
	// Cancel aborts an attempt; its outcome still follows.
	Cancel(id RequestID, attempt int)
	// SetTimer has TimerFired called with the token after the delay. Timers are
	// never stopped.
	SetTimer(delay Micros, token uint64)
	// HealthCheck asks a replica for a sign of life and its load report;
	// HealthCheckEnded follows.
	HealthCheck(to ReplicaID)
	// Gossip sends a message to the other gateways, for their PeerMessage.
	Gossip(body []byte)
	// WatchDiscovery asks discovery for the endpoint list and its changes; ListChanged
	// follows.
	WatchDiscovery()
}
