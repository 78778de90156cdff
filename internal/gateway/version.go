package gateway

import (
	"context"
	"log/slog"
	"time"

	"archknot/balancer"
	"archknot/internal/configversion"
	"archknot/internal/contract"
)

// ApplyVersion applies a configuration version; nil restores the platform's configuration. A
// version is applied completely, between two events of the loop, or not at all; then the
// rejections give the reasons. Any goroutine may call it while Serve runs.
func (g *Gateway) ApplyVersion(ctx context.Context, version *configversion.Config, limits configversion.Limits) configversion.Rejections {
	balances, err := g.storedBalances()
	if err != nil {
		return configversion.Rejections{{Type: configversion.TypeContract, Reason: err.Error()}}
	}
	change := versionChange{g.completeVersion(version), balances, limits, make(chan configversion.Rejections, 1)}
	g.loop.post(ctx, change)
	select {
	case rejections := <-change.result:
		return rejections
	case <-ctx.Done():
		return configversion.Rejections{{Type: configversion.TypeVersion, Reason: "the gateway ends"}}
	}
}

// platformConfig returns the platform's configuration, which supplies the parts that a version
// does not have.
func (g *Gateway) platformConfig() *configversion.Config {
	options := &g.options
	config := &configversion.Config{
		HasClasses:      true,
		HasTenants:      true,
		HasReplicaMarks: true,
		Classes:         options.Settings.Classes,
		Attempts:        &configversion.Attempts{Max: options.Settings.MaxAttempts, MayHedge: options.Settings.MayHedge},
		Admission: &configversion.Admission{
			MaxInFlight:     options.MaxInFlight,
			OverQuotaWeight: options.Settings.OverQuotaWeight,
			MaxRetryAfter:   options.Settings.MaxRetryAfter,
		},
		Connections: &configversion.Connections{
			Clients:        options.MaxClientConns,
			Replicas:       options.MaxReplicaConns,
			IdleTimeout:    options.Settings.ConnIdleTimeout,
			ConnectTimeout: options.ConnectTimeout.Microseconds(),
		},
		Watch: &configversion.Watch{
			Wait:        options.WatchWait.Microseconds(),
			CallTimeout: options.DiscoveryTimeout.Microseconds(),
		},
	}
	for _, tenant := range options.Settings.Tenants {
		config.Tenants = append(config.Tenants, configversion.Tenant{Name: tenant.Name, QuotaPerS: tenant.QuotaPerS})
	}
	return config
}

// completeVersion returns a copy of a version with its missing parts taken from the platform's
// configuration.
func (g *Gateway) completeVersion(version *configversion.Config) *configversion.Config {
	base := g.platformConfig()
	if version == nil {
		return base
	}
	complete := *version
	if !complete.HasClasses {
		complete.HasClasses, complete.Classes = true, base.Classes
	}
	if !complete.HasTenants {
		complete.HasTenants, complete.Tenants = true, base.Tenants
	}
	complete.HasReplicaMarks = true // a version without marks removes them all
	if complete.Attempts == nil {
		complete.Attempts = base.Attempts
	}
	if complete.Admission == nil {
		complete.Admission = base.Admission
	}
	if complete.Connections == nil {
		complete.Connections = base.Connections
	}
	if complete.Watch == nil {
		complete.Watch = base.Watch
	}
	return &complete
}

// versionChange applies a complete version.
type versionChange struct {
	config   *configversion.Config
	balances []contract.Balance // stored balances, for a ledger that the version starts
	limits   configversion.Limits
	result   chan configversion.Rejections
}

func (e versionChange) apply(l *eventLoop) {
	if rejections := configversion.ValidateTransition(e.config, e.limits, l.currentState()); len(rejections) > 0 {
		e.result <- rejections
		return
	}
	settings := e.config.Overlay(l.gateway.options.Settings)
	if err := l.module.Reconfigure(l.now, settings); err != nil {
		e.result <- configversion.Rejections{{Type: configversion.TypeVersion, Reason: err.Error()}}
		return
	}
	// The steps from here on cannot fail.
	l.gateway.applyLimits(e.config, &settings)
	l.setExclusions(e.config.DrainedReplicas(), l.endpoints.ejected)
	l.applyVersionContracts(e.config, e.balances)
	e.result <- nil
}

const (
	// idleTimeoutNumerator / idleTimeoutDenominator is the fraction of the replicas' own idle
	// timeout after which an idle connection to a replica is closed, as in the platform's
	// configuration.
	idleTimeoutNumerator = 3
	// idleTimeoutDenominator is the denominator of that fraction.
	idleTimeoutDenominator = 4
)

// applyLimits puts a version's limits in force, other than those that the decision module
// enforces.
func (g *Gateway) applyLimits(config *configversion.Config, settings *balancer.Settings) {
	g.config.Store(&liveConfig{
		classes:          settings.Classes,
		maxInFlight:      min(config.Admission.MaxInFlight, config.Connections.Clients),
		maxRetryAfter:    settings.MaxRetryAfter,
		watchWait:        microsDuration(config.Watch.Wait),
		discoveryTimeout: microsDuration(config.Watch.CallTimeout),
	})
	g.clients.maxConns.Store(int64(config.Connections.Clients))
	idle := microsDuration(settings.ConnIdleTimeout) * idleTimeoutNumerator / idleTimeoutDenominator
	g.pool.SetLimits(config.Connections.Replicas, idle, microsDuration(config.Connections.ConnectTimeout))
}

func microsDuration(us balancer.Micros) time.Duration { return time.Duration(us) * time.Microsecond }

// applyVersionContracts puts a version's contracts in force, or removes the last version's.
func (l *eventLoop) applyVersionContracts(c *configversion.Config, stored []contract.Balance) {
	a := &l.accounting
	if a.versionContracts == nil && !c.HasContracts {
		return
	}
	a.versionContracts = nil
	if c.HasContracts {
		a.versionContracts = append([]contract.Terms{}, c.Contracts...)
	}
	if err := l.applyContracts(stored); err != nil {
		slog.Error("contracts_failed", "err", err) // not expected: they were validated
	}
}

// currentState returns the gateway's state, against which a version is validated.
func (l *eventLoop) currentState() *configversion.GatewayState {
	classes, tenants, replicas := l.balancer.InFlight()
	state := &configversion.GatewayState{
		Settings:         l.balancer.Settings(),
		Clients:          l.gateway.clients.connCount(),
		InFlight:         l.gateway.clients.inFlightCount(),
		InFlightByClass:  map[string]configversion.InFlight{},
		InFlightByTenant: map[string]int{},
		Replicas:         map[string]configversion.ReplicaState{},
	}
	for name, c := range classes {
		state.InFlightByClass[name] = configversion.InFlight{Requests: c.Requests, LongestDeadline: c.LongestTimeout}
	}
	for name, t := range tenants {
		state.InFlightByTenant[name] = t.Requests
	}
	if l.accounting.ledger != nil {
		state.Accounts = l.accounting.ledger.Accounts()
	}
	for name, entry := range l.endpoints.listed {
		r := configversion.ReplicaState{Discovered: entry.State(), Marked: l.endpoints.drainMarks[name]}
		if replica := l.endpoints.ByName(name); replica != nil {
			r.AttemptsInFlight = replicas[replica.ID]
		}
		state.Replicas[name] = r
	}
	return state
}
