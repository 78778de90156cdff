// Package revision decides about numbered versions of a gateway's
// configuration: whether one is complete, good by itself, and good as a step
// from the one in force; when it is taken, kept or given back. It reads no clock
// and does no I/O; see docs/design/streamed-configuration.md.
package revision

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"archknot/choice"
	"archknot/internal/contract"
)

// Type names a kind of resources. The stream's type URLs end with it.
type Type string

// The kinds of resources that a version may have. One that it lacks stays as
// the files give it.
const (
	TypeVersion     Type = "Version" // which resources make a version: always needed
	TypeClass       Type = "Class"
	TypeTenant      Type = "Tenant"
	TypeAttempts    Type = "Attempts"
	TypeAdmission   Type = "Admission"
	TypeConnections Type = "Connections"
	TypeWatch       Type = "Watch"
	TypeWorker      Type = "Worker"
	TypeCapture     Type = "Capture"
	TypeLog         Type = "Log"
	TypeContract    Type = "Contract" // of a team: an archknot.contract.v1.Terms
)

// Types are all kinds, in the order in which they are asked for.
var Types = []Type{TypeVersion, TypeClass, TypeTenant, TypeAttempts, TypeAdmission, TypeConnections, TypeWatch, TypeWorker, TypeCapture, TypeLog, TypeContract}

// Number is a version's number; a higher one is newer. 0 is the files' own.
type Number uint64

// Config is one whole version. A part that is nil, or a list that is not given,
// stays as the files give it.
type Config struct {
	Number Number
	Stage  Stage

	HasClasses, HasTenants, HasWorkers, HasContracts bool

	Classes     []choice.Class
	Tenants     []Tenant
	Workers     []Mark
	Attempts    *Attempts
	Admission   *Admission
	Connections *Connections
	Watch       *Watch
	Capture     *Capture
	Log         *Log
	Contracts   []contract.Terms

	// Resources are the messages that say all this, as they came, for the store.
	Resources map[Type][][]byte
}

// Stage says how a version is rolled out: the first part of the gateways takes it
// at once, the others after the hold and a grace, if the service has not withdrawn
// it by then. Without a hold all take it at once.
type Stage struct {
	FirstPercent int
	Hold         choice.Micros
	// WorseBy is by how much the share of late and unserved requests may rise
	// within the hold, in parts of 1; a gateway where it rises more goes back.
	WorseBy float64
}

// Tenant is one with its part of the fleet; all parts are 1 at most.
type Tenant struct {
	Name      string
	QuotaPerS float64
	Share     float64
}

// Mark is what the operators say of a worker beside the registry.
type Mark struct {
	Name string
	Mark MarkKind
}

// MarkKind is what a mark asks for.
type MarkKind uint8

const (
	MarkDrain MarkKind = iota // nothing new goes there
	MarkServe                 // an earlier drain by mark is over; the registry's word stands
)

// Attempts bounds repeats.
type Attempts struct {
	Most         int
	SecondCopies bool
	// HedgeShare and RetryShare are the second copies and the retries allowed a
	// request, in parts of 1; 0: the module's own figures.
	HedgeShare, RetryShare float64
}

// Admission bounds what is let in.
type Admission struct {
	MostHeld       int
	OverShareWorth float64
	MaxRetryAfter  choice.Micros
}

// Connections bounds sockets and their times.
type Connections struct {
	Clients, Workers     int
	Idle, ConnectTimeout choice.Micros
}

// Watch is how the registry is asked.
type Watch struct{ Wait, CallTimeout choice.Micros }

// Capture is whether the module is recorded, and how much is kept.
type Capture struct {
	Record     bool
	Checkpoint choice.Micros
	KeepBytes  int64
	KeepAge    choice.Micros
}

// Log is what is logged.
type Log struct{ Level string }

// Limits are what a version must keep within, from the platform's configuration.
type Limits struct {
	MaxAttempts  int // of a request, whatever kind; the protocol's bound
	Sockets      int // client and worker connections together
	AskWithin    choice.Micros
	StopSending  choice.Micros // the drain rule: nothing new so long after the word
	MayRecord    bool          // there is a folder for captures
	MostClasses  int
	MostTenants  int
	MostWorkers  int
	LongestSpan  choice.Micros // of any time a version names
	MostHeldOver int           // requests in hand, at most

	MostContracts int
}

// DefaultLimits fill in what the platform does not say.
var DefaultLimits = Limits{MaxAttempts: 3, Sockets: 1024, AskWithin: 10_000_000, StopSending: 2_500_000, MostClasses: 64,
	MostTenants: 10_000, MostWorkers: 10_000, LongestSpan: 3_600_000_000, MostHeldOver: 20_000,
	MostContracts: 10_000}

// Refusal is one reason why a version is not taken.
type Refusal struct {
	Type     Type   `json:"type"`
	Resource string `json:"resource"` // its name, "" for the whole type
	Field    string `json:"field"`
	Reason   string `json:"reason"`
}

func (r Refusal) String() string {
	at := string(r.Type)
	if r.Resource != "" {
		at += " " + r.Resource
	}
	if r.Field != "" {
		at += ": " + r.Field
	}
	return at + ": " + r.Reason
}

// Refusals are all of them, in order; nil is none.
type Refusals []Refusal

func (r Refusals) Error() string {
	lines := make([]string, len(r))
	for i, one := range r {
		lines[i] = one.String()
	}
	return strings.Join(lines, "; ")
}

func (r *Refusals) add(t Type, resource, field, format string, args ...any) {
	*r = append(*r, Refusal{t, resource, field, fmt.Sprintf(format, args...)})
}

// Check tells what is wrong with a version by itself.
func Check(c *Config, l Limits) Refusals {
	var r Refusals
	if c.Number == 0 {
		r.add(TypeVersion, "", "number", "expected above 0")
	}
	if c.Stage.FirstPercent < 0 || c.Stage.FirstPercent > 100 {
		r.add(TypeVersion, "", "first_percent", "expected 0 to 100, got %d", c.Stage.FirstPercent)
	}
	if !(c.Stage.WorseBy >= 0 && c.Stage.WorseBy <= 1) {
		r.add(TypeVersion, "", "worse_by", "expected 0 to 1, got %v", c.Stage.WorseBy)
	}
	span := func(t Type, resource, field string, v, least choice.Micros) {
		if v < least || v > l.LongestSpan {
			r.add(t, resource, field, "expected %d to %d us, got %d", least, l.LongestSpan, v)
		}
	}
	span(TypeVersion, "", "hold_us", c.Stage.Hold, 0)
	checkClasses(c, l, &r, span)
	checkTenants(c, l, &r)
	checkWorkers(c, l, &r)
	if c.HasContracts {
		if len(c.Contracts) > l.MostContracts {
			r.add(TypeContract, "", "", "expected at most %d, got %d", l.MostContracts, len(c.Contracts))
		}
		if err := contract.ValidateTerms(c.Contracts); err != nil {
			r.add(TypeContract, "", "", "%v", err)
		}
	}
	if a := c.Attempts; a != nil && (a.Most < 1 || a.Most > l.MaxAttempts) {
		r.add(TypeAttempts, "", "most", "expected 1 to %d, got %d", l.MaxAttempts, a.Most)
	}
	if a := c.Attempts; a != nil && !(a.HedgeShare >= 0 && a.HedgeShare <= 1 && a.RetryShare >= 0 && a.RetryShare <= 1) {
		r.add(TypeAttempts, "", "hedge_share, retry_share", "expected 0 to 1, got %v and %v", a.HedgeShare, a.RetryShare)
	}
	if a := c.Admission; a != nil {
		if a.MostHeld < 1 || a.MostHeld > l.MostHeldOver {
			r.add(TypeAdmission, "", "most_held", "expected 1 to %d, got %d", l.MostHeldOver, a.MostHeld)
		}
		if !(a.OverShareWorth >= 0 && a.OverShareWorth <= 1) {
			r.add(TypeAdmission, "", "over_share_worth", "expected 0 to 1, got %v", a.OverShareWorth)
		}
		span(TypeAdmission, "", "max_retry_after_us", a.MaxRetryAfter, 0)
	}
	if n := c.Connections; n != nil {
		if n.Clients < 1 || n.Workers < 1 || n.Clients+n.Workers > l.Sockets {
			r.add(TypeConnections, "", "clients, workers", "expected 1 or more each and %d in all, got %d and %d", l.Sockets, n.Clients, n.Workers)
		}
		span(TypeConnections, "", "idle_us", n.Idle, 1000)
		span(TypeConnections, "", "connect_timeout_us", n.ConnectTimeout, 1000)
	}
	if w := c.Watch; w != nil {
		span(TypeWatch, "", "wait_us", w.Wait, 1000)
		span(TypeWatch, "", "call_timeout_us", w.CallTimeout, 1000)
	}
	if p := c.Capture; p != nil {
		if p.Record && !l.MayRecord {
			r.add(TypeCapture, "", "record", "there is no folder for captures on this gateway (capture.directory)")
		}
		span(TypeCapture, "", "checkpoint_us", p.Checkpoint, 1_000_000)
		if p.KeepBytes < 256<<10 {
			r.add(TypeCapture, "", "keep_bytes", "expected %d or more, got %d", 256<<10, p.KeepBytes)
		}
	}
	if g := c.Log; g != nil && !slices.Contains([]string{"debug", "info", "warn", "error"}, g.Level) {
		r.add(TypeLog, "", "level", "expected debug, info, warn or error, got %q", g.Level)
	}
	return r
}

func checkClasses(c *Config, l Limits, r *Refusals, span func(Type, string, string, choice.Micros, choice.Micros)) {
	if !c.HasClasses {
		return
	}
	if len(c.Classes) == 0 || len(c.Classes) > l.MostClasses {
		r.add(TypeClass, "", "", "expected 1 to %d classes, got %d", l.MostClasses, len(c.Classes))
	}
	seen := map[string]bool{}
	for _, k := range c.Classes {
		if k.Name == "" || seen[k.Name] {
			r.add(TypeClass, k.Name, "name", "missing, or given twice")
		}
		seen[k.Name] = true
		span(TypeClass, k.Name, "deadline_us", k.Deadline, 1000)
		span(TypeClass, k.Name, "aim_us", k.LatencyObjective, 0)
		span(TypeClass, k.Name, "aim_per_1000_us", k.ObjectivePer1000Tokens, 0)
		span(TypeClass, k.Name, "token_aim_us", k.TokenObjective, 0)
		span(TypeClass, k.Name, "repeats_kept_us", k.DedupWindow, 0)
		if k.LatencyObjective > k.Deadline {
			r.add(TypeClass, k.Name, "aim_us", "longer than the deadline, %d us", k.Deadline)
		}
		if !(k.PriorityWeight >= 0 && k.PriorityWeight <= 1e6) {
			r.add(TypeClass, k.Name, "worth", "expected 0 to 1000000, got %v", k.PriorityWeight)
		}
		if !(k.LateWeightShare >= 0 && k.LateWeightShare <= 1) {
			r.add(TypeClass, k.Name, "late_worth", "expected 0 to 1, got %v", k.LateWeightShare)
		}
		if k.Idempotency > choice.NonIdempotent || k.DedupScope > choice.DedupCell {
			r.add(TypeClass, k.Name, "effect, scope", "not known")
		}
	}
}

func checkTenants(c *Config, l Limits, r *Refusals) {
	if !c.HasTenants {
		return
	}
	if len(c.Tenants) > l.MostTenants {
		r.add(TypeTenant, "", "", "expected at most %d, got %d", l.MostTenants, len(c.Tenants))
	}
	sum, seen := 0.0, map[string]bool{}
	for _, t := range c.Tenants {
		if t.Name == "" || seen[t.Name] {
			r.add(TypeTenant, t.Name, "name", "missing, or given twice")
		}
		seen[t.Name] = true
		if !(t.QuotaPerS >= 0 && t.QuotaPerS <= 1e9) {
			r.add(TypeTenant, t.Name, "quota_per_s", "expected 0 or more, got %v", t.QuotaPerS)
		}
		if !(t.Share >= 0 && t.Share <= 1) {
			r.add(TypeTenant, t.Name, "share", "expected 0 to 1, got %v", t.Share)
		}
		sum += t.Share
	}
	if sum > 1+1e-9 {
		r.add(TypeTenant, "", "share", "the shares sum to %.4f, over 1", sum)
	}
}

func checkWorkers(c *Config, l Limits, r *Refusals) {
	if !c.HasWorkers {
		return
	}
	if len(c.Workers) > l.MostWorkers {
		r.add(TypeWorker, "", "", "expected at most %d, got %d", l.MostWorkers, len(c.Workers))
	}
	seen := map[string]bool{}
	for _, w := range c.Workers {
		if w.Name == "" || seen[w.Name] {
			r.add(TypeWorker, w.Name, "name", "missing, or given twice")
		}
		seen[w.Name] = true
		if w.Mark > MarkServe {
			r.add(TypeWorker, w.Name, "mark", "not known")
		}
	}
}

// Present is what a step must fit: the gateway as it is now.
type Present struct {
	Settings choice.Settings // in force in the module
	Watch    Watch           // in force
	Clients  int             // client connections open
	Workers  map[string]WorkerState
	InHand   map[string]InHand        // by class
	Held     int                      // requests in hand
	Tenants  map[string]int           // requests in hand by tenant
	Accounts []contract.AccountStatus // the books of the contracts in force
}

// WorkerState is a worker as the registry and earlier marks have it.
type WorkerState struct {
	Registry choice.EndpointState
	Marked   bool // drained by a mark
	// Emptying is how many own attempts are still out on a worker that drains.
	Emptying int
}

// InHand is what a class has in hand.
type InHand struct {
	Requests int
	Longest  choice.Micros // the most that one that waits for its first token was given from its arrival
}

// clockSlack is how much more than it asked for a request may seem to have been
// given: the loop reads its clock once a turn, a little before it takes one on.
const clockSlack choice.Micros = 20_000

// CheckStep tells why a version that is good by itself must not be taken from
// where the gateway stands.
func CheckStep(c *Config, l Limits, p *Present) Refusals {
	var r Refusals
	if c.HasClasses {
		next := map[string]choice.Class{}
		for _, k := range c.Classes {
			next[k.Name] = k
		}
		now := map[string]choice.Micros{}
		for _, k := range p.Settings.Classes {
			now[k.Name] = k.Deadline
		}
		for _, name := range slices.Sorted(maps.Keys(p.InHand)) {
			in := p.InHand[name]
			k, ok := next[name]
			switch {
			case in.Requests == 0:
			case !ok:
				r.add(TypeClass, name, "", "taken out with %d requests in hand", in.Requests)
			case k.Deadline < now[name] && k.Deadline+clockSlack < in.Longest:
				r.add(TypeClass, name, "deadline_us", "shortened to %d us under a request in hand that was given %d us", k.Deadline, in.Longest)
			}
		}
	}
	if c.HasTenants {
		next := map[string]bool{}
		for _, t := range c.Tenants {
			next[t.Name] = true
		}
		for _, name := range slices.Sorted(maps.Keys(p.Tenants)) {
			if n := p.Tenants[name]; n > 0 && !next[name] {
				r.add(TypeTenant, name, "", "taken out with %d requests in hand", n)
			}
		}
	}
	if c.HasContracts {
		checkBudgets(c, p, &r)
	}
	// The drain rule, by the worker's own route and by the registry's.
	if c.HasWorkers {
		for _, w := range c.Workers {
			s, known := p.Workers[w.Name]
			switch {
			case w.Mark != MarkServe:
			case !known:
				r.add(TypeWorker, w.Name, "mark", "brought back, but the registry's list does not have it")
			case s.Registry != choice.EndpointReady:
				r.add(TypeWorker, w.Name, "mark", "brought back, but the registry says that it drains or is gone")
			case s.Marked && s.Emptying > 0:
				r.add(TypeWorker, w.Name, "mark", "brought back while it empties: %d attempts are out on it", s.Emptying)
			}
		}
		if servingAfter(c, p) == 0 && servingAfter(&Config{}, p) > 0 {
			r.add(TypeWorker, "", "mark", "no worker would be left to serve")
		}
	}
	if w := c.Watch; w != nil {
		// A change counts as told once the gateway has gone without asking for
		// AskWithin; what waits longer learns of a drain too late to stop.
		if most := l.AskWithin; w.Wait+w.CallTimeout > most {
			r.add(TypeWatch, "", "wait_us", "with the call's time-out %d us, over the %d us after which a drain counts as told (and %d us later nothing may go out)",
				w.Wait+w.CallTimeout, most, l.StopSending)
		}
	}
	if a := c.Admission; a != nil && a.MostHeld < p.Held {
		r.add(TypeAdmission, "", "most_held", "below the %d requests in hand", p.Held)
	}
	if n := c.Connections; n != nil && n.Clients < p.Clients {
		r.add(TypeConnections, "", "clients", "below the %d that are open", p.Clients)
	}
	return r
}

// checkBudgets refuses a hard limit put below what a team that is within its limit
// has used already: all of its next requests would be refused from that moment on.
// A team that is to be refused has its contract end.
func checkBudgets(c *Config, p *Present, r *Refusals) {
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
				r.add(TypeContract, t.Team, "budgets", "by %s: %d is below the %d used already, of %d: all of its requests would be refused", g.Period,
					g.Hard/contract.Token, used/contract.Token, was/contract.Token)
			}
		}
	}
}

// servingAfter counts the workers that would take work.
func servingAfter(c *Config, p *Present) (n int) {
	drained := map[string]bool{}
	for _, w := range c.Workers {
		drained[w.Name] = w.Mark == MarkDrain
	}
	for name, s := range p.Workers {
		if s.Registry == choice.EndpointReady && !drained[name] {
			n++
		}
	}
	return n
}

// Overlay is the module's settings with a version's parts in place of the files'.
func (c *Config) Overlay(base choice.Settings) choice.Settings {
	s := base
	if c.HasClasses {
		s.Classes = slices.Clone(c.Classes)
		slices.SortFunc(s.Classes, func(a, b choice.Class) int { return cmp.Compare(a.Name, b.Name) })
	}
	if c.HasTenants {
		s.Tenants = nil
		for _, t := range c.Tenants {
			s.Tenants = append(s.Tenants, choice.Tenant{Name: t.Name, QuotaPerS: t.QuotaPerS})
		}
		slices.SortFunc(s.Tenants, func(a, b choice.Tenant) int { return cmp.Compare(a.Name, b.Name) })
	}
	if a := c.Attempts; a != nil {
		s.MaxAttempts, s.MayHedge = a.Most, a.SecondCopies && base.MayHedge
		s.HedgeRatio, s.RetryRatio = a.HedgeShare, a.RetryShare
	}
	if a := c.Admission; a != nil {
		s.OverQuotaWeight, s.MaxRetryAfter = a.OverShareWorth, a.MaxRetryAfter
		s.RetryAfter = s.MaxRetryAfter > 0
	}
	if n := c.Connections; n != nil {
		s.ConnIdleTimeout = n.Idle
	}
	return s
}

// Drained tells the workers that the version's marks drain.
func (c *Config) Drained() map[string]bool {
	out := map[string]bool{}
	for _, w := range c.Workers {
		if w.Mark == MarkDrain {
			out[w.Name] = true
		}
	}
	return out
}

// First tells whether a gateway is among those that take a version at once: by
// xxHash of its name and the number, so that each version begins elsewhere.
func First(gateway string, n Number, percent int) bool {
	h := xxhash.Sum64String(fmt.Sprintf("%s/%d", gateway, n))
	return h%10_000 < uint64(percent)*100
}
