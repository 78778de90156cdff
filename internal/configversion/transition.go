package configversion

import (
	"maps"
	"slices"

	"archknot/balancer"
	"archknot/internal/contract"
)

// GatewayState is the gateway as it is now, which a version must fit as the next step.
type GatewayState struct {
	Settings         balancer.Settings // in force in the balancer
	Watch            Watch             // in force
	Clients          int               // open client connections
	Replicas         map[string]ReplicaState
	InFlightByClass  map[string]InFlight
	InFlight         int            // requests in flight
	InFlightByTenant map[string]int // requests in flight
	Accounts         []contract.AccountStatus
}

// ReplicaState is a replica as discovery and earlier marks have it.
type ReplicaState struct {
	Discovered balancer.EndpointState
	Marked     bool // drained by a mark
	// AttemptsInFlight is how many of this gateway's attempts are still in flight at a
	// replica that is draining.
	AttemptsInFlight int
}

// InFlight are the requests in flight of one class.
type InFlight struct {
	Requests int
	// LongestDeadline is the longest time from arrival that a request which waits for
	// its first token was given.
	LongestDeadline balancer.Micros
}

// clockTolerance is how much longer than it asked for a request's deadline may seem: the
// event loop reads its clock once a turn, a little before it admits the request.
const clockTolerance balancer.Micros = 20_000

// ValidateTransition returns why a version that is valid by itself must not be applied
// from the gateway's present state.
func ValidateTransition(c *Config, l Limits, state *GatewayState) Rejections {
	t := transition{config: c, limits: l, state: state}
	t.validateClasses()
	t.validateTenants()
	t.validateBudgets()
	t.validateReplicaMarks()
	t.validateWatch()
	t.validateCounts()
	return t.rejections
}

// transition collects what is wrong with the step from a state to a version.
type transition struct {
	config     *Config
	limits     Limits
	state      *GatewayState
	rejections Rejections
}

func (t *transition) rejectf(resourceType ResourceType, resource, field, format string, args ...any) {
	t.rejections.addf(resourceType, resource, field, format, args...)
}

// validateClasses rejects a class that is removed, or whose deadline is shortened, under
// requests in flight.
func (t *transition) validateClasses() {
	if !t.config.HasClasses {
		return
	}
	next := map[string]balancer.Class{}
	for _, class := range t.config.Classes {
		next[class.Name] = class
	}
	deadline := map[string]balancer.Micros{} // in force
	for _, class := range t.state.Settings.Classes {
		deadline[class.Name] = class.Deadline
	}
	for _, name := range slices.Sorted(maps.Keys(t.state.InFlightByClass)) {
		inFlight := t.state.InFlightByClass[name]
		class, ok := next[name]
		switch {
		case inFlight.Requests == 0:
		case !ok:
			t.rejectf(TypeClass, name, "", "taken out with %d requests in hand", inFlight.Requests)
		case class.Deadline < deadline[name] && class.Deadline+clockTolerance < inFlight.LongestDeadline:
			t.rejectf(TypeClass, name, "deadline_us", "shortened to %d us under a request in hand that was given %d us", class.Deadline, inFlight.LongestDeadline)
		}
	}
}

// validateTenants rejects the removal of a tenant with requests in flight.
func (t *transition) validateTenants() {
	if !t.config.HasTenants {
		return
	}
	next := map[string]bool{}
	for _, tenant := range t.config.Tenants {
		next[tenant.Name] = true
	}
	for _, name := range slices.Sorted(maps.Keys(t.state.InFlightByTenant)) {
		if n := t.state.InFlightByTenant[name]; n > 0 && !next[name] {
			t.rejectf(TypeTenant, name, "", "taken out with %d requests in hand", n)
		}
	}
}

// validateBudgets rejects a hard limit below what a team that is within its present limit
// has used already: all of its next requests would be rejected from that moment on. To
// stop a team, its contract is ended.
func (t *transition) validateBudgets() {
	if !t.config.HasContracts {
		return
	}
	accounts := map[string]*contract.AccountStatus{}
	for i := range t.state.Accounts {
		accounts[t.state.Accounts[i].Team] = &t.state.Accounts[i]
	}
	for i := range t.config.Contracts {
		terms := &t.config.Contracts[i]
		account := accounts[terms.Team]
		if account == nil {
			continue
		}
		for _, budget := range terms.Budgets {
			used, limit := account.Used[budget.Period], account.Limit[budget.Period]
			if budget.Hard > 0 && budget.Hard < used && (limit == 0 || used < limit) {
				t.rejectf(TypeContract, terms.Team, "budgets", "by %s: %d is below the %d used already, of %d: all of its requests would be refused", budget.Period,
					budget.Hard/contract.Token, used/contract.Token, limit/contract.Token)
			}
		}
	}
}

// validateReplicaMarks rejects a replica that would serve again before its drain has
// ended, and a version that leaves no replica to serve.
func (t *transition) validateReplicaMarks() {
	if !t.config.HasReplicaMarks {
		return
	}
	for _, mark := range t.config.ReplicaMarks {
		replica, listed := t.state.Replicas[mark.Name]
		switch {
		case mark.Kind != MarkServe:
		case !listed:
			t.rejectf(TypeReplica, mark.Name, "mark", "brought back, but the registry's list does not have it")
		case replica.Discovered != balancer.EndpointReady:
			t.rejectf(TypeReplica, mark.Name, "mark", "brought back, but the registry says that it drains or is gone")
		case replica.Marked && replica.AttemptsInFlight > 0:
			t.rejectf(TypeReplica, mark.Name, "mark", "brought back while it empties: %d attempts are out on it", replica.AttemptsInFlight)
		}
	}
	if countServingAfter(t.config, t.state) == 0 && countServingAfter(&Config{}, t.state) > 0 {
		t.rejectf(TypeReplica, "", "mark", "no worker would be left to serve")
	}
}

// validateWatch rejects a poll that takes longer than the limit. Discovery counts on a
// change being known once a gateway has gone MaxPollInterval without a poll; one that
// polls less often learns of a drain too late to stop sending.
func (t *transition) validateWatch() {
	watch := t.config.Watch
	if watch == nil || watch.Wait+watch.CallTimeout <= t.limits.MaxPollInterval {
		return
	}
	t.rejectf(TypeWatch, "", "wait_us", "with the call's time-out %d us, over the %d us after which a drain counts as told (and %d us later nothing may go out)",
		watch.Wait+watch.CallTimeout, t.limits.MaxPollInterval, t.limits.DrainGrace)
}

// validateCounts rejects limits below what is in flight or open.
func (t *transition) validateCounts() {
	if a := t.config.Admission; a != nil && a.MaxInFlight < t.state.InFlight {
		t.rejectf(TypeAdmission, "", "most_held", "below the %d requests in hand", t.state.InFlight)
	}
	if n := t.config.Connections; n != nil && n.Clients < t.state.Clients {
		t.rejectf(TypeConnections, "", "clients", "below the %d that are open", t.state.Clients)
	}
}

// countServingAfter counts the ready replicas that a version's marks don't drain.
func countServingAfter(c *Config, state *GatewayState) (n int) {
	drained := map[string]bool{}
	for _, mark := range c.ReplicaMarks {
		drained[mark.Name] = mark.Kind == MarkDrain
	}
	for name, replica := range state.Replicas {
		if replica.Discovered == balancer.EndpointReady && !drained[name] {
			n++
		}
	}
	return n
}
