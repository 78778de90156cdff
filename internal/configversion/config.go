package configversion

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"archknot/balancer"
	"archknot/internal/contract"
)

// ResourceType names a type of resource. The stream's type URLs end with it.
type ResourceType string

// The types of resources that a version may have. A type that a version lacks
// stays as the configuration files give it.
const (
	TypeVersion     ResourceType = "Version" // the manifest: always required
	TypeClass       ResourceType = "Class"
	TypeTenant      ResourceType = "Tenant"
	TypeAttempts    ResourceType = "Attempts"
	TypeAdmission   ResourceType = "Admission"
	TypeConnections ResourceType = "Connections"
	TypeWatch       ResourceType = "Watch"
	TypeReplica     ResourceType = "Worker"
	TypeCapture     ResourceType = "Capture"
	TypeLog         ResourceType = "Log"
	TypeContract    ResourceType = "Contract" // of a team: an archknot.contract.v1.Terms
)

// ResourceTypes are all types, in the order in which they are subscribed to.
var ResourceTypes = []ResourceType{TypeVersion, TypeClass, TypeTenant, TypeAttempts, TypeAdmission, TypeConnections, TypeWatch, TypeReplica, TypeCapture, TypeLog, TypeContract}

// Number is a version's number; a higher one is newer. 0 is the configuration files.
type Number uint64

// Config is one complete version. A part that is nil, or a list that is not present
// (see the Has fields), stays as the configuration files give it.
type Config struct {
	Number  Number
	Rollout Rollout

	HasClasses, HasTenants, HasReplicaMarks, HasContracts bool

	Classes      []balancer.Class
	Tenants      []Tenant
	ReplicaMarks []ReplicaMark
	Attempts     *Attempts
	Admission    *Admission
	Connections  *Connections
	Watch        *Watch
	Capture      *Capture
	Log          *Log
	Contracts    []contract.Terms

	// Resources are the messages that the version was decoded from, as received,
	// for the store.
	Resources map[ResourceType][][]byte
}

// Rollout is how a version is rolled out: the first group of gateways applies it at
// once, the others after the hold and a grace period, unless the service has
// withdrawn it by then. Without a hold, all gateways apply it at once.
type Rollout struct {
	FirstPercent int             // size of the first group
	Hold         balancer.Micros // how long the first group observes the version
	// MaxRegression is by how much the share of late and unserved requests may rise
	// within the hold, as a fraction of 1. A gateway where it rises more rolls back.
	MaxRegression float64
}

// Tenant is a tenant with its quota and its share of the fleet; all shares sum to 1
// at most.
type Tenant struct {
	Name          string
	QuotaPerS     float64 // requests a second
	FleetFraction float64
}

// ReplicaMark is an operator's instruction for one replica, beside what discovery says.
type ReplicaMark struct {
	Name string
	Kind MarkKind
}

// MarkKind is what a mark instructs.
type MarkKind uint8

// The kinds of marks.
const (
	MarkDrain MarkKind = iota // no new attempts go to the replica
	MarkServe                 // an earlier MarkDrain is over; discovery's state counts again
)

// Attempts limits hedged requests and retries.
type Attempts struct {
	Max      int // attempts of a request in all
	MayHedge bool
	// HedgeRatio and RetryRatio are the hedges and retries allowed for each request,
	// as a fraction of 1; 0 means the balancer's defaults.
	HedgeRatio, RetryRatio float64
}

// Admission limits the requests that are admitted.
type Admission struct {
	MaxInFlight     int
	OverQuotaWeight float64
	MaxRetryAfter   balancer.Micros
}

// Connections limits connections and their times.
type Connections struct {
	Clients, Replicas           int
	IdleTimeout, ConnectTimeout balancer.Micros
}

// Watch is how discovery is polled.
type Watch struct{ Wait, CallTimeout balancer.Micros }

// Capture says whether the balancer is recorded, and how much of it is retained.
type Capture struct {
	Record             bool
	CheckpointInterval balancer.Micros
	MaxBytes           int64
	MaxAge             balancer.Micros
}

// Log is the log's level: debug, info, warn or error.
type Log struct{ Level string }

// Overlay returns the balancer's settings with a version's parts in place of those of
// the configuration files.
func (c *Config) Overlay(base balancer.Settings) balancer.Settings {
	s := base
	if c.HasClasses {
		s.Classes = slices.Clone(c.Classes)
		slices.SortFunc(s.Classes, func(a, b balancer.Class) int { return cmp.Compare(a.Name, b.Name) })
	}
	if c.HasTenants {
		s.Tenants = nil
		for _, t := range c.Tenants {
			s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, QuotaPerS: t.QuotaPerS})
		}
		slices.SortFunc(s.Tenants, func(a, b balancer.Tenant) int { return cmp.Compare(a.Name, b.Name) })
	}
	if a := c.Attempts; a != nil {
		s.MaxAttempts, s.MayHedge = a.Max, a.MayHedge && base.MayHedge
		s.HedgeRatio, s.RetryRatio = a.HedgeRatio, a.RetryRatio
	}
	if a := c.Admission; a != nil {
		s.OverQuotaWeight, s.MaxRetryAfter = a.OverQuotaWeight, a.MaxRetryAfter
		s.RetryAfter = s.MaxRetryAfter > 0
	}
	if n := c.Connections; n != nil {
		s.ConnIdleTimeout = n.IdleTimeout
	}
	return s
}

// DrainedReplicas returns the names of the replicas that the version's marks drain.
func (c *Config) DrainedReplicas() map[string]bool {
	drained := map[string]bool{}
	for _, mark := range c.ReplicaMarks {
		if mark.Kind == MarkDrain {
			drained[mark.Name] = true
		}
	}
	return drained
}

// bucketsPerPercent is the resolution of InFirstGroup.
const bucketsPerPercent = 100

// InFirstGroup reports whether a gateway is among those that apply a version at once.
// It goes by xxHash of the gateway's name and the number, so that each version begins
// with other gateways.
func InFirstGroup(gateway string, n Number, percent int) bool {
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", gateway, n))
	return hash%(100*bucketsPerPercent) < uint64(percent)*bucketsPerPercent
}
