package gateway

import (
	"context"
	"fmt"
	"log/slog"
	"time"

	"archknot/choice"
	"archknot/internal/contract"
	"archknot/internal/revision"
	"archknot/internal/wire/socket"
)

// mostAttempts is the protocol's bound, whatever a version says.
const mostAttempts = 3

// live is what versions may change and tasks other than the loop need. It is
// replaced whole.
type live struct {
	classes                []choice.Class
	mostHeld               int
	maxRetryAfter          choice.Micros
	watchWait, callTimeout time.Duration
}

// class is the class of a name.
func (v *live) class(name string) (choice.Class, error) {
	for _, c := range v.classes {
		if c.Name == name {
			return c, nil
		}
	}
	return choice.Class{}, fmt.Errorf("Req-Kind: no class %.40q", name)
}

// bad tells whether a request came late or was not served.
func (v *live) bad(job *socket.Job, answer string, first choice.Micros) bool {
	if answer != "served" && answer != "stream_broken" {
		return true
	}
	c, err := v.class(job.Request.Class)
	return err == nil && first > c.LatencyObjective+c.ObjectivePer1000Tokens*int64(job.Request.PromptTokens)/1000
}

// Files are what holds where a version says nothing: the platform's
// configuration.
func (g *Gateway) files() *revision.Config {
	o := &g.o
	c := &revision.Config{HasClasses: true, HasTenants: true, HasWorkers: true, Classes: o.Settings.Classes,
		Attempts:    &revision.Attempts{Most: o.Settings.MaxAttempts, SecondCopies: o.Settings.MayHedge},
		Admission:   &revision.Admission{MostHeld: o.MostHeld, OverShareWorth: o.Settings.OverQuotaWeight, MaxRetryAfter: o.Settings.MaxRetryAfter},
		Connections: &revision.Connections{Clients: o.ClientConns, Workers: o.WorkerConns, Idle: o.Settings.ConnIdleTimeout, ConnectTimeout: o.ConnectTimeout.Microseconds()},
		Watch:       &revision.Watch{Wait: o.WatchWait.Microseconds(), CallTimeout: o.CallTimeout.Microseconds()}}
	for _, t := range o.Settings.Tenants {
		c.Tenants = append(c.Tenants, revision.Tenant{Name: t.Name, QuotaPerS: t.QuotaPerS})
	}
	return c
}

// whole is a version with the files' parts where it has none of its own.
func (g *Gateway) whole(c *revision.Config) *revision.Config {
	f := g.files()
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
	w.HasWorkers = true // none of its own: no marks
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
func (g *Gateway) ApplyVersion(ctx context.Context, c *revision.Config, limits revision.Limits) revision.Refusals {
	stored, err := g.stored()
	if err != nil {
		return revision.Refusals{{Type: revision.TypeContract, Reason: err.Error()}}
	}
	e := versionOrder{g.whole(c), stored, limits, make(chan revision.Refusals, 1)}
	g.loop.post(ctx, e)
	select {
	case r := <-e.done:
		return r
	case <-ctx.Done():
		return revision.Refusals{{Type: revision.TypeVersion, Reason: "the gateway ends"}}
	}
}

type versionOrder struct {
	c      *revision.Config
	stored []contract.Balance
	limits revision.Limits
	done   chan revision.Refusals
}

func (e versionOrder) apply(l *loop) {
	if r := revision.CheckStep(e.c, e.limits, l.present()); len(r) > 0 {
		e.done <- r
		return
	}
	g := l.g
	s := e.c.Overlay(g.o.Settings)
	if err := l.m.Reconfigure(l.now, s); err != nil {
		e.done <- revision.Refusals{{Type: revision.TypeVersion, Reason: err.Error()}}
		return
	}
	// From here on nothing can fail.
	us := func(v choice.Micros) time.Duration { return time.Duration(v) * time.Microsecond }
	g.live.Store(&live{classes: s.Classes, mostHeld: min(e.c.Admission.MostHeld, e.c.Connections.Clients), maxRetryAfter: s.MaxRetryAfter,
		watchWait: us(e.c.Watch.Wait), callTimeout: us(e.c.Watch.CallTimeout)})
	g.clients.most.Store(int64(e.c.Connections.Clients))
	// Well below the workers' own limit, as for the files' figure.
	g.pool.SetLimits(e.c.Connections.Workers, us(s.ConnIdleTimeout)*3/4, us(e.c.Connections.ConnectTimeout))
	l.withhold(e.c.Drained(), l.out)
	if had := l.versioned != nil; had || e.c.HasContracts {
		if l.versioned = nil; e.c.HasContracts {
			l.versioned = append([]contract.Terms{}, e.c.Contracts...)
		}
		if err := l.agree(e.stored); err != nil {
			slog.Error("contracts_failed", "err", err) // they were checked: not to be seen
		}
	}
	e.done <- nil
}

// present is the gateway as a step must fit it.
func (l *loop) present() *revision.Present {
	classes, tenants, emptying := l.b.InFlight()
	p := &revision.Present{Settings: l.b.Settings(), Clients: l.g.clients.count(), Held: l.g.clients.held(),
		InHand: map[string]revision.InHand{}, Tenants: map[string]int{}, Workers: map[string]revision.WorkerState{}}
	for name, in := range classes {
		p.InHand[name] = revision.InHand{Requests: in.Requests, Longest: in.LongestTimeout}
	}
	for name, in := range tenants {
		p.Tenants[name] = in.Requests
	}
	if l.book != nil {
		p.Accounts = l.book.Accounts()
	}
	for name, i := range l.truth {
		s := revision.WorkerState{Registry: i.State(), Marked: l.marks[name]}
		if w := l.registry.ByName(name); w != nil {
			s.Emptying = emptying[w.ID]
		}
		p.Workers[name] = s
	}
	return p
}

// marked puts the marks of the version in force on a list, and remembers what the
// registry itself said.
func (l *loop) marked(in socket.List, kind choice.ListKind) socket.List {
	if kind != choice.ListDelta {
		clear(l.truth)
	}
	out := in
	out.Instances = make([]socket.Instance, len(in.Instances))
	for i, w := range in.Instances {
		if w.State() == choice.EndpointGone {
			delete(l.truth, w.ID)
		} else {
			l.truth[w.ID] = w
		}
		if l.withheld(w.ID) && w.State() == choice.EndpointReady {
			w.Lifecycle = "draining"
		}
		out.Instances[i] = w
	}
	return out
}

// withheld tells whether a replica is to get nothing new whatever the list says, by the version in
// force or by operators.
func (l *loop) withheld(id string) bool {
	_, out := l.out[id]
	return out || l.marks[id]
}

// withhold puts other marks and orders in force. The workers that they change are told to the
// module as the registry would: what drains gets nothing new from this moment on.
func (l *loop) withhold(marks map[string]bool, out map[string]struct{}) {
	was := map[string]bool{}
	for name := range l.truth {
		was[name] = l.withheld(name)
	}
	l.marks, l.out = marks, out
	change := socket.List{Generation: l.registry.Version()}
	for name, i := range l.truth {
		if was[name] != l.withheld(name) {
			change.Instances = append(change.Instances, i)
		}
	}
	if len(change.Instances) > 0 {
		l.take(change, choice.ListDelta, true)
	}
}
