package configversion

import (
	"maps"
	"slices"

	"archknot/balancer"
	"archknot/internal/contract"
)

// GatewayState is the current state of the gateway, which a version is validated against.
type GatewayState struct {
	Settings         balancer.Settings // of the balancer, in force
	Watch            Watch             // in force
	Clients          int               // open client connections
	Replicas         map[string]ReplicaState
	InFlightByClass  map[string]InFlight
	InFlight         int            // all requests in flight
	InFlightByTenant map[string]int // requests in flight
	Accounts         []contract.AccountStatus
}

// ReplicaState is the state of a replica according to discovery and to earlier marks.
type ReplicaState struct {
	Discovered balancer.EndpointState
	Marked     bool // drained by a mark
	// AttemptsInFlight is the number of this gateway's attempts that are still in flight at a draining replica.
	AttemptsInFlight int
}

// InFlight describes the requests in flight of one class.
type InFlight struct {
	Requests int
	// LongestDeadline is the longest deadline, counted from arrival, among the requests that
	// still wait for their first token.
	LongestDeadline balancer.Micros
}

// clockTolerance is by how much the measured deadline of a request may exceed the requested one. The event loop
// reads its clock once per iteration, shortly before it admits the request.
const clockTolerance balancer.Micros = 20_000

// ValidateTransition returns the reasons why a version that is valid by itself must not be
// applied in the gateway's current state; none means that it may be.
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

// transition validates the change from a gateway's state to a version, and collects the rejections.
type transition struct {
	config     *Config
	limits     Limits
	state      *GatewayState
	rejections Rejections
}

func (t *transition) rejectf(resourceType ResourceType, resource, field, format string, args ...any) {
	t.rejections.addf(resourceType, resource, field, format, args...)
}

// validateClasses rejects the removal of a class, or a shorter deadline, while requests of
// the class are in flight.
func (t *transition) validateClasses() {
	if !t.config.HasClasses {
		return
	}
	next := map[string]balancer.Class{}
	for _, class := range t.config.Classes {
		next[class.Name] = class
	}
	deadline := map[string]balancer.Micros{} // of the classes in force
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

// validateBudgets rejects a hard limit below the usage of a team that is within its present limit: all further
// requests of the team would be rejected immediately. To stop a team, the operator ends its contract instead.
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

// validateReplicaMarks rejects a MarkServe for a replica whose drain has not ended, and a
// version that leaves no replica in service.
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

// validateWatch rejects poll settings with which one poll may take longer than MaxPollInterval. Discovery
// assumes that a gateway has received a change after that interval. A gateway that polls less often would
// receive a drain too late, and would still send attempts to the replica.
func (t *transition) validateWatch() {
	watch := t.config.Watch
	if watch == nil || watch.Wait+watch.CallTimeout <= t.limits.MaxPollInterval {
		return
	}
	t.rejectf(TypeWatch, "", "wait_us", "with the call's time-out %d us, over the %d us after which a drain counts as told (and %d us later nothing may go out)",
		watch.Wait+watch.CallTimeout, t.limits.MaxPollInterval, t.limits.DrainGrace)
}

// validateCounts rejects limits below the number of requests in flight or of open connections.
func (t *transition) validateCounts() {
	if a := t.config.Admission; a != nil && a.MaxInFlight < t.state.InFlight {
		t.rejectf(TypeAdmission, "", "most_held", "below the %d requests in hand", t.state.InFlight)
	}
	if n := t.config.Connections; n != nil && n.Clients < t.state.Clients {
		t.rejectf(TypeConnections, "", "clients", "below the %d that are open", t.state.Clients)
	}
}

// countServingAfter counts the ready replicas that the version does not mark as draining.
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
