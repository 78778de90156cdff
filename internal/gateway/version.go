package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"archknot/balancer"
	"archknot/internal/configversion"
	"archknot/internal/contract"
	"archknot/internal/httpwire"
)

// protocolMaxAttempts is the protocol's bound, whatever a version says.
const protocolMaxAttempts = 3

// liveConfig is what versions may change and tasks other than the loop need. It is
// replaced whole.
type liveConfig struct {
	classes                     []balancer.Class
	maxInFlight                 int
	maxRetryAfter               balancer.Micros
	watchWait, discoveryTimeout time.Duration
}

// class is the class of a name.
func (v *liveConfig) class(name string) (balancer.Class, error) {
	for _, c := range v.classes {
		if c.Name == name {
			return c, nil
		}
	}
	return balancer.Class{}, fmt.Errorf("Req-Kind: no class %.40q", name)
}

// missedObjective tells whether a request came late or was not served.
func (v *liveConfig) missedObjective(job *httpwire.ClientRequest, answer string, first balancer.Micros) bool {
	if answer != "served" && answer != "stream_broken" {
		return true
	}
	c, err := v.class(job.Request.Class)
	return err == nil && first > c.LatencyObjective+c.ObjectivePer1000Tokens*int64(job.Request.PromptTokens)/1000
}

// Files are what holds where a version says nothing: the platform's
// configuration.
func (g *Gateway) baseConfig() *configversion.Config {
	o := &g.options
	c := &configversion.Config{HasClasses: true, HasTenants: true, HasReplicaMarks: true, Classes: o.Settings.Classes,
		Attempts:    &configversion.Attempts{Max: o.Settings.MaxAttempts, MayHedge: o.Settings.MayHedge},
		Admission:   &configversion.Admission{MaxInFlight: o.MaxInFlight, OverQuotaWeight: o.Settings.OverQuotaWeight, MaxRetryAfter: o.Settings.MaxRetryAfter},
		Connections: &configversion.Connections{Clients: o.MaxClientConns, Replicas: o.MaxReplicaConns, IdleTimeout: o.Settings.ConnIdleTimeout, ConnectTimeout: o.ConnectTimeout.Microseconds()},
		Watch:       &configversion.Watch{Wait: o.WatchWait.Microseconds(), CallTimeout: o.DiscoveryTimeout.Microseconds()}}
	for _, t := range o.Settings.Tenants {
		c.Tenants = append(c.Tenants, configversion.Tenant{Name: t.Name, QuotaPerS: t.QuotaPerS})
	}
	return c
}

// completeVersion is a version with the files' parts where it has none of its own.
func (g *Gateway) completeVersion(c *configversion.Config) *configversion.Config {
	f := g.baseConfig()
	if c == nil {
		return f
	}
	w := *c
	if !w.HasClasses {
		w.HasClasses, w.Classes = true, f.Classes
	}
	if !w.HasTenants {
		w.HasTenants, w.Tenants = true, f.Tenants
	}
	w.HasReplicaMarks = true // none of its own: no marks
	if w.Attempts == nil {
		w.Attempts = f.Attempts
	}
	if w.Admission == nil {
		w.Admission = f.Admission
	}
	if w.Connections == nil {
		w.Connections = f.Connections
	}
	if w.Watch == nil {
		w.Watch = f.Watch
	}
	return &w
}

// ApplyVersion takes a version, or with nil goes back to the files. It is taken
// whole, between two events of the loop, or not at all: the refusals say why.
func (g *Gateway) ApplyVersion(ctx context.Context, c *configversion.Config, limits configversion.Limits) configversion.Rejections {
	stored, err := g.storedBalances()
	if err != nil {
		return configversion.Rejections{{Type: configversion.TypeContract, Reason: err.Error()}}
	}
	e := versionChange{g.completeVersion(c), stored, limits, make(chan configversion.Rejections, 1)}
	g.loop.post(ctx, e)
	select {
	case r := <-e.result:
		return r
	case <-ctx.Done():
		return configversion.Rejections{{Type: configversion.TypeVersion, Reason: "the gateway ends"}}
	}
}

type versionChange struct {
	config   *configversion.Config
	balances []contract.Balance
	limits   configversion.Limits
	result   chan configversion.Rejections
}

func (e versionChange) apply(l *eventLoop) {
	if r := configversion.ValidateTransition(e.config, e.limits, l.currentState()); len(r) > 0 {
		e.result <- r
		return
	}
	g := l.gateway
	s := e.config.Overlay(g.options.Settings)
	if err := l.module.Reconfigure(l.now, s); err != nil {
		e.result <- configversion.Rejections{{Type: configversion.TypeVersion, Reason: err.Error()}}
		return
	}
	// From here on nothing can fail.
	us := func(v balancer.Micros) time.Duration { return time.Duration(v) * time.Microsecond }
	g.config.Store(&liveConfig{classes: s.Classes, maxInFlight: min(e.config.Admission.MaxInFlight, e.config.Connections.Clients), maxRetryAfter: s.MaxRetryAfter,
		watchWait: us(e.config.Watch.Wait), discoveryTimeout: us(e.config.Watch.CallTimeout)})
	g.clients.maxConns.Store(int64(e.config.Connections.Clients))
	// Well below the workers' own limit, as for the files' figure.
	g.pool.SetLimits(e.config.Connections.Replicas, us(s.ConnIdleTimeout)*3/4, us(e.config.Connections.ConnectTimeout))
	l.setWithheld(e.config.DrainedReplicas(), l.ejected)
	if had := l.versionContracts != nil; had || e.config.HasContracts {
		if l.versionContracts = nil; e.config.HasContracts {
			l.versionContracts = append([]contract.Terms{}, e.config.Contracts...)
		}
		if err := l.applyContracts(e.balances); err != nil {
			slog.Error("contracts_failed", "err", err) // they were checked: not to be seen
		}
	}
	e.result <- nil
}

// currentState is the gateway as a step must fit it.
func (l *eventLoop) currentState() *configversion.GatewayState {
	classes, tenants, emptying := l.balancer.InFlight()
	p := &configversion.GatewayState{Settings: l.balancer.Settings(), Clients: l.gateway.clients.connCount(), InFlight: l.gateway.clients.inFlightCount(),
		InFlightByClass: map[string]configversion.InFlight{}, InFlightByTenant: map[string]int{}, Replicas: map[string]configversion.ReplicaState{}}
	for name, in := range classes {
		p.InFlightByClass[name] = configversion.InFlight{Requests: in.Requests, LongestDeadline: in.LongestTimeout}
	}
	for name, in := range tenants {
		p.InFlightByTenant[name] = in.Requests
	}
	if l.ledger != nil {
		p.Accounts = l.ledger.Accounts()
	}
	for name, i := range l.listed {
		s := configversion.ReplicaState{Discovered: i.State(), Marked: l.drainMarks[name]}
		if w := l.endpoints.ByName(name); w != nil {
			s.AttemptsInFlight = emptying[w.ID]
		}
		p.Replicas[name] = s
	}
	return p
}

// overlayWithheld puts the marks of the version in force on a list, and remembers what the
// registry itself said.
func (l *eventLoop) overlayWithheld(in httpwire.EndpointList, kind balancer.ListKind) httpwire.EndpointList {
	if kind != balancer.ListDelta {
		clear(l.listed)
	}
	out := in
	out.Endpoints = make([]httpwire.Endpoint, len(in.Endpoints))
	for i, w := range in.Endpoints {
		if w.State() == balancer.EndpointGone {
			delete(l.listed, w.ID)
		} else {
			l.listed[w.ID] = w
		}
		if l.isWithheld(w.ID) && w.State() == balancer.EndpointReady {
			w.Lifecycle = "draining"
		}
		out.Endpoints[i] = w
	}
	return out
}

// isWithheld tells whether a replica is to get nothing new whatever the list says, by the version in
// force or by operators.
func (l *eventLoop) isWithheld(id string) bool {
	_, out := l.ejected[id]
	return out || l.drainMarks[id]
}

// setWithheld puts other marks and orders in force. The workers that they change are told to the
// module as the registry would: what drains gets nothing new from this moment on.
func (l *eventLoop) setWithheld(marks map[string]bool, out map[string]struct{}) {
	was := map[string]bool{}
	for name := range l.listed {
		was[name] = l.isWithheld(name)
	}
	l.drainMarks, l.ejected = marks, out
	change := httpwire.EndpointList{Generation: l.endpoints.Version()}
	for name, i := range l.listed {
		if was[name] != l.isWithheld(name) {
			change.Endpoints = append(change.Endpoints, i)
		}
	}
	if len(change.Endpoints) > 0 {
		l.applyList(change, balancer.ListDelta, true)
	}
}
