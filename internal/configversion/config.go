package configversion

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"archknot/balancer"
	"archknot/internal/contract"
)

// ResourceType names a type of resource. It is the last part of the type URLs on the stream.
type ResourceType string

// The types of resources that a version may have. For a type that a version does not
// have, the configuration files apply.
const (
	TypeVersion     ResourceType = "Version" // the manifest; required in each version
	TypeClass       ResourceType = "Class"
	TypeTenant      ResourceType = "Tenant"
	TypeAttempts    ResourceType = "Attempts"
	TypeAdmission   ResourceType = "Admission"
	TypeConnections ResourceType = "Connections"
	TypeWatch       ResourceType = "Watch"
	TypeReplica     ResourceType = "Worker"
	TypeCapture     ResourceType = "Capture"
	TypeLog         ResourceType = "Log"
	TypeContract    ResourceType = "Contract" // the contract of a team, an archknot.contract.v1.Terms
)

// ResourceTypes lists all types, in the order of their subscriptions.
var ResourceTypes = []ResourceType{TypeVersion, TypeClass, TypeTenant, TypeAttempts, TypeAdmission, TypeConnections, TypeWatch, TypeReplica, TypeCapture, TypeLog, TypeContract}

// Number is the number of a version; a higher number is newer. 0 stands for the configuration files.
type Number uint64

// Config is one complete version. The configuration files apply for each part that is
// nil, and for each list whose Has field is false.
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

	// Resources are the undecoded messages of the version, for the store.
	Resources map[ResourceType][][]byte
}

// Rollout defines how a version is rolled out. The first group of gateways applies it
// immediately; the others apply it after the hold and a grace period, unless the control
// service has withdrawn it by then. Without a hold, all gateways apply it immediately.
type Rollout struct {
	FirstPercent int             // size of the first group, in percent of the gateways
	Hold         balancer.Micros // how long the first group observes the version before it is verified
	// MaxRegression is the permitted increase, within the hold, of the fraction of requests
	// that are late or unserved. A gateway with a larger increase rolls the version back.
	MaxRegression float64
}

// Tenant is a tenant with its quota and its fraction of the fleet. The fractions of all
// tenants sum to at most 1.
type Tenant struct {
	Name          string
	QuotaPerS     float64 // requests per second
	FleetFraction float64
}

// ReplicaMark is an operator's instruction for one replica, in addition to its state in discovery.
type ReplicaMark struct {
	Name string
	Kind MarkKind
}

// MarkKind is the instruction of a ReplicaMark.
type MarkKind uint8

// The kinds of marks.
const (
	MarkDrain MarkKind = iota // send no new attempts to the replica
	MarkServe                 // end an earlier MarkDrain: the state in discovery applies again
)

// Attempts limits hedged requests and retries.
type Attempts struct {
	Max      int // attempts per request, hedges and retries included
	MayHedge bool
	// HedgeRatio and RetryRatio are the numbers of hedges and retries allowed per request,
	// from 0 to 1; 0 selects the balancer's defaults.
	HedgeRatio, RetryRatio float64
}

// Admission limits the number of requests in flight, and sets the weight of over-quota
// requests and the maximum Retry-After; a maximum of 0 disables Retry-After.
type Admission struct {
	MaxInFlight     int
	OverQuotaWeight float64
	MaxRetryAfter   balancer.Micros
}

// Connections limits the number of connections to clients and replicas, and sets their timeouts.
type Connections struct {
	Clients, Replicas           int
	IdleTimeout, ConnectTimeout balancer.Micros
}

// Watch sets how long discovery may hold a poll open, and the timeout of the call.
type Watch struct{ Wait, CallTimeout balancer.Micros }

// Capture sets whether the balancer's run is recorded, and how much of the recording is retained.
type Capture struct {
	Record             bool
	CheckpointInterval balancer.Micros
	MaxBytes           int64
	MaxAge             balancer.Micros
}

// Log sets the level of the log: debug, info, warn or error.
type Log struct{ Level string }

// Overlay returns the balancer's settings: base, which comes from the configuration files,
// overridden by the parts that the version has.
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

// DrainedReplicas returns the set of replica names that the version marks as draining.
func (c *Config) DrainedReplicas() map[string]bool {
	drained := map[string]bool{}
	for _, mark := range c.ReplicaMarks {
		if mark.Kind == MarkDrain {
			drained[mark.Name] = true
		}
	}
	return drained
}

// bucketsPerPercent sets the resolution of InFirstGroup: one hundredth of a percent.
const bucketsPerPercent = 100

// InFirstGroup reports whether a gateway is in the group that applies a version immediately. The hash covers
// the gateway's name and the version's number, so that the group differs from version to version.
func InFirstGroup(gateway string, n Number, percent int) bool {
	hash := xxhash.Sum64String(fmt.Sprintf("%s/%d", gateway, n))
	return hash%(100*bucketsPerPercent) < uint64(percent)*bucketsPerPercent
}
