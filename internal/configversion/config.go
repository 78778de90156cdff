// Package revision decides about numbered versions of a gateway's
// configuration: whether one is complete, good by itself, and good as a step
// from the one in force; when it is taken, kept or given back. It reads no clock
// and does no I/O; see docs/design/streamed-configuration.md.
package configversion

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"archknot/balancer"
	"archknot/internal/contract"
)

// ResourceType names a kind of resources. The stream's type URLs end with it.
type ResourceType string

// The kinds of resources that a version may have. One that it lacks stays as
// the files give it.
const (
	TypeVersion     ResourceType = "Version" // which resources make a version: always needed
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

// ResourceTypes are all kinds, in the order in which they are asked for.
var ResourceTypes = []ResourceType{TypeVersion, TypeClass, TypeTenant, TypeAttempts, TypeAdmission, TypeConnections, TypeWatch, TypeReplica, TypeCapture, TypeLog, TypeContract}

// Number is a version's number; a higher one is newer. 0 is the files' own.
type Number uint64

// Config is one whole version. A part that is nil, or a list that is not given,
// stays as the files give it.
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

	// Resources are the messages that say all this, as they came, for the store.
	Resources map[ResourceType][][]byte
}

// Rollout says how a version is rolled out: the first part of the gateways takes it
// at once, the others after the hold and a grace, if the service has not withdrawn
// it by then. Without a hold all take it at once.
type Rollout struct {
	FirstPercent int
	Hold         balancer.Micros
	// MaxRegression is by how much the share of late and unserved requests may rise
	// within the hold, in parts of 1; a gateway where it rises more goes back.
	MaxRegression float64
}

// Tenant is one with its part of the fleet; all parts are 1 at most.
type Tenant struct {
	Name      string
	QuotaPerS float64
	Share     float64
}

// ReplicaMark is what the operators say of a worker beside the registry.
type ReplicaMark struct {
	Name string
	Kind MarkKind
}

// MarkKind is what a mark asks for.
type MarkKind uint8

const (
	MarkDrain MarkKind = iota // nothing new goes there
	MarkServe                 // an earlier drain by mark is over; the registry's word stands
)

// Attempts bounds repeats.
type Attempts struct {
	Max      int
	MayHedge bool
	// HedgeRatio and RetryRatio are the second copies and the retries allowed a
	// request, in parts of 1; 0: the module's own figures.
	HedgeRatio, RetryRatio float64
}

// Admission bounds what is let in.
type Admission struct {
	MaxInFlight     int
	OverQuotaWeight float64
	MaxRetryAfter   balancer.Micros
}

// Connections bounds sockets and their times.
type Connections struct {
	Clients, Replicas           int
	IdleTimeout, ConnectTimeout balancer.Micros
}

// Watch is how the registry is asked.
type Watch struct{ Wait, CallTimeout balancer.Micros }

// Capture is whether the module is recorded, and how much is kept.
type Capture struct {
	Record             bool
	CheckpointInterval balancer.Micros
	MaxBytes           int64
	MaxAge             balancer.Micros
}

// Log is what is logged.
type Log struct{ Level string }

// Limits are what a version must keep within, from the platform's configuration.
type Limits struct {
	MaxAttempts     int // of a request, whatever kind; the protocol's bound
	Sockets         int // client and worker connections together
	MaxPollInterval balancer.Micros
	DrainGrace      balancer.Micros // the drain rule: nothing new so long after the word
	MayCapture      bool            // there is a folder for captures
	MaxClasses      int
	MaxTenants      int
	MaxReplicaMarks int
	MaxDuration     balancer.Micros // of any time a version names
	MaxInFlight     int             // requests in hand, at most

	MaxContracts int
}

// DefaultLimits fill in what the platform does not say.
var DefaultLimits = Limits{MaxAttempts: 3, Sockets: 1024, MaxPollInterval: 10_000_000, DrainGrace: 2_500_000, MaxClasses: 64,
	MaxTenants: 10_000, MaxReplicaMarks: 10_000, MaxDuration: 3_600_000_000, MaxInFlight: 20_000,
	MaxContracts: 10_000}

// Rejection is one reason why a version is not taken.
type Rejection struct {
	Type     ResourceType `json:"type"`
	Resource string       `json:"resource"` // its name, "" for the whole type
	Field    string       `json:"field"`
	Reason   string       `json:"reason"`
}

func (r Rejection) String() string {
	at := string(r.Type)
	if r.Resource != "" {
		at += " " + r.Resource
	}
	if r.Field != "" {
		at += ": " + r.Field
	}
	return at + ": " + r.Reason
}

// Rejections are all of them, in order; nil is none.
type Rejections []Rejection

func (r Rejections) Error() string {
	lines := make([]string, len(r))
	for i, one := range r {
		lines[i] = one.String()
	}
	return strings.Join(lines, "; ")
}

func (r *Rejections) addf(t ResourceType, resource, field, format string, args ...any) {
	*r = append(*r, Rejection{t, resource, field, fmt.Sprintf(format, args...)})
}

// Validate tells what is wrong with a version by itself.
func Validate(c *Config, l Limits) Rejections {
	var r Rejections
	if c.Number == 0 {
		r.addf(TypeVersion, "", "number", "expected above 0")
	}
	if c.Rollout.FirstPercent < 0 || c.Rollout.FirstPercent > 100 {
		r.addf(TypeVersion, "", "first_percent", "expected 0 to 100, got %d", c.Rollout.FirstPercent)
	}
	if !(c.Rollout.MaxRegression >= 0 && c.Rollout.MaxRegression <= 1) {
		r.addf(TypeVersion, "", "worse_by", "expected 0 to 1, got %v", c.Rollout.MaxRegression)
	}
	span := func(t ResourceType, resource, field string, v, least balancer.Micros) {
		if v < least || v > l.MaxDuration {
			r.addf(t, resource, field, "expected %d to %d us, got %d", least, l.MaxDuration, v)
		}
	}
	span(TypeVersion, "", "hold_us", c.Rollout.Hold, 0)
	validateClasses(c, l, &r, span)
	validateTenants(c, l, &r)
	validateReplicaMarks(c, l, &r)
	if c.HasContracts {
		if len(c.Contracts) > l.MaxContracts {
			r.addf(TypeContract, "", "", "expected at most %d, got %d", l.MaxContracts, len(c.Contracts))
		}
		if err := contract.ValidateTerms(c.Contracts); err != nil {
			r.addf(TypeContract, "", "", "%v", err)
		}
	}
	if a := c.Attempts; a != nil && (a.Max < 1 || a.Max > l.MaxAttempts) {
		r.addf(TypeAttempts, "", "most", "expected 1 to %d, got %d", l.MaxAttempts, a.Max)
	}
	if a := c.Attempts; a != nil && !(a.HedgeRatio >= 0 && a.HedgeRatio <= 1 && a.RetryRatio >= 0 && a.RetryRatio <= 1) {
		r.addf(TypeAttempts, "", "hedge_share, retry_share", "expected 0 to 1, got %v and %v", a.HedgeRatio, a.RetryRatio)
	}
	if a := c.Admission; a != nil {
		if a.MaxInFlight < 1 || a.MaxInFlight > l.MaxInFlight {
			r.addf(TypeAdmission, "", "most_held", "expected 1 to %d, got %d", l.MaxInFlight, a.MaxInFlight)
		}
		if !(a.OverQuotaWeight >= 0 && a.OverQuotaWeight <= 1) {
			r.addf(TypeAdmission, "", "over_share_worth", "expected 0 to 1, got %v", a.OverQuotaWeight)
		}
		span(TypeAdmission, "", "max_retry_after_us", a.MaxRetryAfter, 0)
	}
	if n := c.Connections; n != nil {
		if n.Clients < 1 || n.Replicas < 1 || n.Clients+n.Replicas > l.Sockets {
			r.addf(TypeConnections, "", "clients, workers", "expected 1 or more each and %d in all, got %d and %d", l.Sockets, n.Clients, n.Replicas)
		}
		span(TypeConnections, "", "idle_us", n.IdleTimeout, 1000)
		span(TypeConnections, "", "connect_timeout_us", n.ConnectTimeout, 1000)
	}
	if w := c.Watch; w != nil {
		span(TypeWatch, "", "wait_us", w.Wait, 1000)
		span(TypeWatch, "", "call_timeout_us", w.CallTimeout, 1000)
	}
	if p := c.Capture; p != nil {
		if p.Record && !l.MayCapture {
			r.addf(TypeCapture, "", "record", "there is no folder for captures on this gateway (capture.directory)")
		}
		span(TypeCapture, "", "checkpoint_us", p.CheckpointInterval, 1_000_000)
		if p.MaxBytes < 256<<10 {
			r.addf(TypeCapture, "", "keep_bytes", "expected %d or more, got %d", 256<<10, p.MaxBytes)
		}
	}
	if g := c.Log; g != nil && !slices.Contains([]string{"debug", "info", "warn", "error"}, g.Level) {
		r.addf(TypeLog, "", "level", "expected debug, info, warn or error, got %q", g.Level)
	}
	return r
}

func validateClasses(c *Config, l Limits, r *Rejections, span func(ResourceType, string, string, balancer.Micros, balancer.Micros)) {
	if !c.HasClasses {
		return
	}
	if len(c.Classes) == 0 || len(c.Classes) > l.MaxClasses {
		r.addf(TypeClass, "", "", "expected 1 to %d classes, got %d", l.MaxClasses, len(c.Classes))
	}
	seen := map[string]bool{}
	for _, k := range c.Classes {
		if k.Name == "" || seen[k.Name] {
			r.addf(TypeClass, k.Name, "name", "missing, or given twice")
		}
		seen[k.Name] = true
		span(TypeClass, k.Name, "deadline_us", k.Deadline, 1000)
		span(TypeClass, k.Name, "aim_us", k.LatencyObjective, 0)
		span(TypeClass, k.Name, "aim_per_1000_us", k.ObjectivePer1000Tokens, 0)
		span(TypeClass, k.Name, "token_aim_us", k.TokenObjective, 0)
		span(TypeClass, k.Name, "repeats_kept_us", k.DedupWindow, 0)
		if k.LatencyObjective > k.Deadline {
			r.addf(TypeClass, k.Name, "aim_us", "longer than the deadline, %d us", k.Deadline)
		}
		if !(k.PriorityWeight >= 0 && k.PriorityWeight <= 1e6) {
			r.addf(TypeClass, k.Name, "worth", "expected 0 to 1000000, got %v", k.PriorityWeight)
		}
		if !(k.LateWeightShare >= 0 && k.LateWeightShare <= 1) {
			r.addf(TypeClass, k.Name, "late_worth", "expected 0 to 1, got %v", k.LateWeightShare)
		}
		if k.Idempotency > balancer.NonIdempotent || k.DedupScope > balancer.DedupCell {
			r.addf(TypeClass, k.Name, "effect, scope", "not known")
		}
	}
}

func validateTenants(c *Config, l Limits, r *Rejections) {
	if !c.HasTenants {
		return
	}
	if len(c.Tenants) > l.MaxTenants {
		r.addf(TypeTenant, "", "", "expected at most %d, got %d", l.MaxTenants, len(c.Tenants))
	}
	sum, seen := 0.0, map[string]bool{}
	for _, t := range c.Tenants {
		if t.Name == "" || seen[t.Name] {
			r.addf(TypeTenant, t.Name, "name", "missing, or given twice")
		}
		seen[t.Name] = true
		if !(t.QuotaPerS >= 0 && t.QuotaPerS <= 1e9) {
			r.addf(TypeTenant, t.Name, "quota_per_s", "expected 0 or more, got %v", t.QuotaPerS)
		}
		if !(t.Share >= 0 && t.Share <= 1) {
			r.addf(TypeTenant, t.Name, "share", "expected 0 to 1, got %v", t.Share)
		}
		sum += t.Share
	}
	if sum > 1+1e-9 {
		r.addf(TypeTenant, "", "share", "the shares sum to %.4f, over 1", sum)
	}
}

func validateReplicaMarks(c *Config, l Limits, r *Rejections) {
	if !c.HasReplicaMarks {
		return
	}
	if len(c.ReplicaMarks) > l.MaxReplicaMarks {
		r.addf(TypeReplica, "", "", "expected at most %d, got %d", l.MaxReplicaMarks, len(c.ReplicaMarks))
	}
	seen := map[string]bool{}
	for _, w := range c.ReplicaMarks {
		if w.Name == "" || seen[w.Name] {
			r.addf(TypeReplica, w.Name, "name", "missing, or given twice")
		}
		seen[w.Name] = true
		if w.Kind > MarkServe {
			r.addf(TypeReplica, w.Name, "mark", "not known")
		}
	}
}

// GatewayState is what a step must fit: the gateway as it is now.
type GatewayState struct {
	Settings         balancer.Settings // in force in the module
	Watch            Watch             // in force
	Clients          int               // client connections open
	Replicas         map[string]ReplicaState
	InFlightByClass  map[string]InFlight      // by class
	InFlight         int                      // requests in hand
	InFlightByTenant map[string]int           // requests in hand by tenant
	Accounts         []contract.AccountStatus // the books of the contracts in force
}

// ReplicaState is a worker as the registry and earlier marks have it.
type ReplicaState struct {
	Discovered balancer.EndpointState
	Marked     bool // drained by a mark
	// AttemptsInFlight is how many own attempts are still out on a worker that drains.
	AttemptsInFlight int
}

// InFlight is what a class has in hand.
type InFlight struct {
	Requests        int
	LongestDeadline balancer.Micros // the most that one that waits for its first token was given from its arrival
}

// clockTolerance is how much more than it asked for a request may seem to have been
// given: the loop reads its clock once a turn, a little before it takes one on.
const clockTolerance balancer.Micros = 20_000

// ValidateTransition tells why a version that is good by itself must not be taken from
// where the gateway stands.
func ValidateTransition(c *Config, l Limits, p *GatewayState) Rejections {
	var r Rejections
	if c.HasClasses {
		next := map[string]balancer.Class{}
		for _, k := range c.Classes {
			next[k.Name] = k
		}
		now := map[string]balancer.Micros{}
		for _, k := range p.Settings.Classes {
			now[k.Name] = k.Deadline
		}
		for _, name := range slices.Sorted(maps.Keys(p.InFlightByClass)) {
			in := p.InFlightByClass[name]
			k, ok := next[name]
			switch {
			case in.Requests == 0:
			case !ok:
				r.addf(TypeClass, name, "", "taken out with %d requests in hand", in.Requests)
			case k.Deadline < now[name] && k.Deadline+clockTolerance < in.LongestDeadline:
				r.addf(TypeClass, name, "deadline_us", "shortened to %d us under a request in hand that was given %d us", k.Deadline, in.LongestDeadline)
			}
		}
	}
	if c.HasTenants {
		next := map[string]bool{}
		for _, t := range c.Tenants {
			next[t.Name] = true
		}
		for _, name := range slices.Sorted(maps.Keys(p.InFlightByTenant)) {
			if n := p.InFlightByTenant[name]; n > 0 && !next[name] {
				r.addf(TypeTenant, name, "", "taken out with %d requests in hand", n)
			}
		}
	}
	if c.HasContracts {
		validateBudgets(c, p, &r)
	}
	// The drain rule, by the worker's own route and by the registry's.
	if c.HasReplicaMarks {
		for _, w := range c.ReplicaMarks {
			s, known := p.Replicas[w.Name]
			switch {
			case w.Kind != MarkServe:
			case !known:
				r.addf(TypeReplica, w.Name, "mark", "brought back, but the registry's list does not have it")
			case s.Discovered != balancer.EndpointReady:
				r.addf(TypeReplica, w.Name, "mark", "brought back, but the registry says that it drains or is gone")
			case s.Marked && s.AttemptsInFlight > 0:
				r.addf(TypeReplica, w.Name, "mark", "brought back while it empties: %d attempts are out on it", s.AttemptsInFlight)
			}
		}
		if countServingAfter(c, p) == 0 && countServingAfter(&Config{}, p) > 0 {
			r.addf(TypeReplica, "", "mark", "no worker would be left to serve")
		}
	}
	if w := c.Watch; w != nil {
		// A change counts as told once the gateway has gone without asking for
		// MaxPollInterval; what waits longer learns of a drain too late to stop.
		if most := l.MaxPollInterval; w.Wait+w.CallTimeout > most {
			r.addf(TypeWatch, "", "wait_us", "with the call's time-out %d us, over the %d us after which a drain counts as told (and %d us later nothing may go out)",
				w.Wait+w.CallTimeout, most, l.DrainGrace)
		}
	}
	if a := c.Admission; a != nil && a.MaxInFlight < p.InFlight {
		r.addf(TypeAdmission, "", "most_held", "below the %d requests in hand", p.InFlight)
	}
	if n := c.Connections; n != nil && n.Clients < p.Clients {
		r.addf(TypeConnections, "", "clients", "below the %d that are open", p.Clients)
	}
	return r
}

// validateBudgets refuses a hard limit put below what a team that is within its limit
// has used already: all of its next requests would be refused from that moment on.
// A team that is to be refused has its contract end.
func validateBudgets(c *Config, p *GatewayState, r *Rejections) {
	by := map[string]*contract.AccountStatus{}
	for i := range p.Accounts {
		by[p.Accounts[i].Team] = &p.Accounts[i]
	}
	for i := range c.Contracts {
		t := &c.Contracts[i]
		a := by[t.Team]
		if a == nil {
			continue
		}
		for _, g := range t.Budgets {
			used, was := a.Used[g.Period], a.Limit[g.Period]
			if g.Hard > 0 && g.Hard < used && (was == 0 || used < was) {
				r.addf(TypeContract, t.Team, "budgets", "by %s: %d is below the %d used already, of %d: all of its requests would be refused", g.Period,
					g.Hard/contract.Token, used/contract.Token, was/contract.Token)
			}
		}
	}
}

// countServingAfter counts the workers that would take work.
func countServingAfter(c *Config, p *GatewayState) (n int) {
	drained := map[string]bool{}
	for _, w := range c.ReplicaMarks {
		drained[w.Name] = w.Kind == MarkDrain
	}
	for name, s := range p.Replicas {
		if s.Discovered == balancer.EndpointReady && !drained[name] {
			n++
		}
	}
	return n
}

// Overlay is the module's settings with a version's parts in place of the files'.
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

// DrainedReplicas tells the workers that the version's marks drain.
func (c *Config) DrainedReplicas() map[string]bool {
	out := map[string]bool{}
	for _, w := range c.ReplicaMarks {
		if w.Kind == MarkDrain {
			out[w.Name] = true
		}
	}
	return out
}

// InFirstGroup tells whether a gateway is among those that take a version at once: by
// xxHash of its name and the number, so that each version begins elsewhere.
func InFirstGroup(gateway string, n Number, percent int) bool {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%d", gateway, n))
	return h%10_000 < uint64(percent)*100
}
