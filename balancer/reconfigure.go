package balancer

import (
	"errors"
	"fmt"
)

// setPolicies makes what requests are taken on under from the settings.
func (b *Balancer) setPolicies() {
	b.classIndex, b.tenantIndex, b.policies = map[string]int{}, map[string]int{}, nil
	add := func(class Class) {
		b.policies = append(b.policies, &requestPolicy{Class: class, maxAttempts: b.settings.MaxAttempts, mayHedge: b.settings.MayHedge})
	}
	for i, class := range b.settings.Classes {
		b.classIndex[class.Name] = i
		add(class)
	}
	// A class that is on no list is treated as the most fragile one.
	add(Class{Idempotency: NonIdempotent, LatencyObjective: b.settings.Classes[0].LatencyObjective})
	for i, t := range b.settings.Tenants {
		b.tenantIndex[t.Name] = i
	}
}

// Reconfigure puts other settings in force. Classes and tenants are matched by
// name, and what was learnt of them stays. A request in hand keeps the terms it
// was taken on under (its class, its attempts) to its end, also if its class is
// gone; it counts for its class of the same name. An error changes nothing.
func (b *Balancer) Reconfigure(now Micros, s Settings) error {
	if err := s.validate(); err != nil {
		return err
	}
	if err := b.settings.checkUnchanged(&s); err != nil {
		return err
	}
	class, ten, stats, usage, usedNow := b.classIndex, b.tenantIndex, b.stats, b.tenantRate, b.tenantArrivals
	b.settings = s
	b.setPolicies()
	b.stats = make([]classStats, len(b.policies))
	b.stats[len(b.stats)-1] = stats[len(stats)-1]
	for name, i := range b.classIndex {
		if old, ok := class[name]; ok {
			b.stats[i] = stats[old]
		}
	}
	b.tenantRate, b.tenantArrivals = make([]float64, len(s.Tenants)), make([]float64, len(s.Tenants))
	for name, i := range b.tenantIndex {
		if old, ok := ten[name]; ok {
			b.tenantRate[i], b.tenantArrivals[i] = usage[old], usedNow[old]
		}
	}
	// Old places to new ones, so that no name is looked up for each request; what
	// had no place may have one now.
	classTo, tenTo := make([]int, len(stats)), make([]int, len(usage))
	for name, old := range class {
		classTo[old] = indexOr(b.classIndex, name, len(b.policies)-1)
	}
	for name, old := range ten {
		tenTo[old] = indexOr(b.tenantIndex, name, -1)
	}
	for _, req := range b.requests {
		if req.classIndex < len(stats)-1 {
			req.classIndex = classTo[req.classIndex]
		} else {
			req.classIndex = indexOr(b.classIndex, req.Class, len(b.policies)-1)
		}
		if req.tenantIndex >= 0 {
			req.tenantIndex = tenTo[req.tenantIndex]
		} else {
			req.tenantIndex = indexOr(b.tenantIndex, req.Tenant, -1)
		}
	}
	b.refreshEstimates(now)
	return nil
}

func indexOr(in map[string]int, name string, otherwise int) int {
	if i, ok := in[name]; ok {
		return i
	}
	return otherwise
}

// checkUnchanged tells what may not change while the module runs.
func (s *Settings) checkUnchanged(next *Settings) error {
	switch {
	case s.Self != next.Self || s.Gateways != next.Gateways:
		return fmt.Errorf("balancer: gateway %d of %d cannot become %d of %d", s.Self, s.Gateways, next.Self, next.Gateways)
	case s.Zone != next.Zone:
		return errors.New("balancer: the zone cannot change")
	case s.ReportSource != next.ReportSource || s.WeightKind != next.WeightKind || s.PollDiscovery != next.PollDiscovery || s.LocalDiscovery != next.LocalDiscovery || s.Tick != next.Tick || s.MayGossip != next.MayGossip:
		return errors.New("balancer: how the module hears of the fleet cannot change")
	}
	return nil
}
