package gateway

import (
	"time"

	"archknot/balancer"
	"archknot/internal/contract/ledger"
	"archknot/internal/httpwire"
	"archknot/internal/maintenance"
	"archknot/internal/peers"
	"archknot/internal/sibling"
	"archknot/internal/subset"
)

// Options configure a gateway. Package lifecycle reads them from the configuration, checks
// them and sets their defaults.
type Options struct {
	Name       string
	Discovery  string // address
	Seed       uint64 // of the decision module's random draws
	Settings   balancer.Settings
	CachedList httpwire.EndpointList // the last known endpoint list, possibly outdated
	StartedAt  time.Time             // when the process started; zero: now

	MaxInFlight            int   // requests in flight at once
	MaxClientConns         int   // client connections at once
	OverflowConns          int   // accepted beyond MaxClientConns, to answer that the gateway is at capacity
	MaxReplicaConns        int   // connections to replicas at once
	MaxBodyBytes           int64 // of all requests' bodies in memory
	MaxHeadBytes           int64 // of all requests' large heads in memory
	MaxListEntries         int   // of an endpoint list; 0: no bound
	ConnectTimeout         time.Duration
	ReplicaConnIdleTimeout time.Duration // when an idle connection to a replica is closed
	ReplicaConnReuseDelay  time.Duration // how long a connection to a replica carries no request after its last one
	ClientConnIdleTimeout  time.Duration // when an idle client connection is closed
	StreamIdleTimeout      time.Duration // longest time between two events of a stream
	HealthCheckTimeout     time.Duration
	MaxPollInterval        time.Duration // discovery counts a change as notified to a gateway that has not polled for this time
	WatchWait              time.Duration // how long discovery may delay its answer to a watch call
	DiscoveryTimeout       time.Duration // how much longer than that delay discovery's answer may take
	DrainAcceptPeriod      time.Duration // how long the listener stays open after SIGTERM

	Subset         subset.Settings    // the part of the fleet that the gateway works with
	Capture        *Capture           // nil: nothing is recorded
	Contracts      *Contracts         // nil: none
	Ledger         *ledger.Store      // stores the teams' balances; nil: they are not stored
	Peers          *peers.Service     // for take-overs between gateways; nil: none
	Siblings       *sibling.Group     // other processes of this gateway, in an upgrade; nil: there are none
	SharedListener bool               // other processes of this gateway accept on the same socket
	Orders         *maintenance.Store // operators' orders; nil: there is no admin address

	// RequestEnded is called at the end of each request, with true if it missed its latency
	// objective or was not served; nil: it is not called. It must not block.
	RequestEnded func(missedObjective bool)
}
