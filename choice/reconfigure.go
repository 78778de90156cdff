package choice

import (
	"errors"
	"fmt"
)

// setTerms makes what requests are taken on under from the settings.
func (b *Balancer) setTerms() {
	b.class, b.ten, b.terms = map[string]int{}, map[string]int{}, nil
	add := func(c Class) {
		b.terms = append(b.terms, &terms{Class: c, maxAttempts: b.s.MaxAttempts, secondCopies: b.s.SecondCopies})
	}
	for i, c := range b.s.Classes {
		b.class[c.Name] = i
		add(c)
	}
	// A class that is on no list is treated as the most fragile one.
	add(Class{Effect: Unsafe, Aim: b.s.Classes[0].Aim})
	for i, t := range b.s.Tenants {
		b.ten[t.Name] = i
	}
}

// Reconfigure puts other settings in force. Classes and tenants are matched by
// name, and what was learnt of them stays. A request in hand keeps the terms it
// was taken on under (its class, its attempts) to its end, also if its class is
// gone; it counts for its class of the same name. An error changes nothing.
func (b *Balancer) Reconfigure(now Micros, s Settings) error {
	if err := s.check(); err != nil {
		return err
	}
	if err := b.s.fixed(&s); err != nil {
		return err
	}
	class, ten, stats, usage, usedNow := b.class, b.ten, b.stats, b.usage, b.usedNow
	b.s = s
	b.setTerms()
	b.stats = make([]classStats, len(b.terms))
	b.stats[len(b.stats)-1] = stats[len(stats)-1]
	for name, i := range b.class {
		if old, ok := class[name]; ok {
			b.stats[i] = stats[old]
		}
	}
	b.usage, b.usedNow = make([]float64, len(s.Tenants)), make([]float64, len(s.Tenants))
	for name, i := range b.ten {
		if old, ok := ten[name]; ok {
			b.usage[i], b.usedNow[i] = usage[old], usedNow[old]
		}
	}
	// Old places to new ones, so that no name is looked up for each request; what
	// had no place may have one now.
	classTo, tenTo := make([]int, len(stats)), make([]int, len(usage))
	for name, old := range class {
		classTo[old] = place(b.class, name, len(b.terms)-1)
	}
	for name, old := range ten {
		tenTo[old] = place(b.ten, name, -1)
	}
	for _, r := range b.requests {
		if r.class < len(stats)-1 {
			r.class = classTo[r.class]
		} else {
			r.class = place(b.class, r.Class, len(b.terms)-1)
		}
		if r.tenant >= 0 {
			r.tenant = tenTo[r.tenant]
		} else {
			r.tenant = place(b.ten, r.Tenant, -1)
		}
	}
	b.refresh(now)
	return nil
}

func place(in map[string]int, name string, otherwise int) int {
	if i, ok := in[name]; ok {
		return i
	}
	return otherwise
}

// fixed tells what may not change while the module runs.
func (s *Settings) fixed(next *Settings) error {
	switch {
	case s.Self != next.Self || s.Gateways != next.Gateways:
		return fmt.Errorf("choice: gateway %d of %d cannot become %d of %d", s.Self, s.Gateways, next.Self, next.Gateways)
	case s.Zone != next.Zone:
		return errors.New("choice: the zone cannot change")
	case s.ReportVia != next.ReportVia || s.Weights != next.Weights || s.AskRegistry != next.AskRegistry || s.ListsPushed != next.ListsPushed || s.Tick != next.Tick || s.MayTellPeers != next.MayTellPeers:
		return errors.New("choice: how the module hears of the fleet cannot change")
	}
	return nil
}
