package lifecycle

import (
	"errors"
	"fmt"
	"slices"

	"archknot/balancer"
	"archknot/internal/simwire"
)

// maxMaxAttempts bounds the setting limits.maxAttempts.
const maxMaxAttempts = 100

// parseBalancerSettings parses and checks the balancer's settings, and adapts them from the simulator to sockets.
func (f *nodeConfig) parseBalancerSettings() (balancer.Settings, error) {
	if len(f.Settings) == 0 {
		return balancer.Settings{}, errors.New("settings: missing")
	}
	settings, err := simwire.ParseSettings(f.Settings)
	if err != nil {
		return settings, err
	}
	if err := checkSettings(&settings); err != nil {
		return settings, err
	}
	adaptSettings(&settings)
	return settings, nil
}

// adaptSettings overrides the settings that differ between sockets and the simulator.
func adaptSettings(s *balancer.Settings) {
	// limits.retryAfter applies to the simulator's messages only. An HTTP response can always have a
	// Retry-After header, and clients should know when to retry.
	s.RetryAfter = s.MaxRetryAfter > 0
	// Over sockets, the discovery service and its agent on this machine only answer polls; neither pushes updates.
	s.PollDiscovery = true
	// The balancer's gossip has no transport over sockets.
	s.MayGossip = false
}

// checkSettings rejects invalid values, which would otherwise change the balancer's decisions without an error.
func checkSettings(s *balancer.Settings) error {
	if err := checkGeneralSettings(s); err != nil {
		return err
	}
	if err := checkCosts(s); err != nil {
		return err
	}
	return checkClasses(s.Classes)
}

func checkGeneralSettings(s *balancer.Settings) error {
	switch {
	case s.Gateways < 1:
		return newKeyError("settings.nInstances", "expected 1 or more, got %d", s.Gateways)
	case s.Self < 0 || s.Self >= s.Gateways:
		return newKeyError("settings.selfIndex", "expected 0 to %d, got %d", s.Gateways-1, s.Self)
	case s.MaxAttempts < 1 || s.MaxAttempts > maxMaxAttempts:
		return newKeyError("settings.limits.maxAttempts", "expected 1 to %d, got %d", maxMaxAttempts, s.MaxAttempts)
	case s.Tick < 0:
		return newKeyError("settings.tickUs", "expected 0 or more, got %d", s.Tick)
	case s.ConnIdleTimeout <= 0:
		return newKeyError("settings.limits.connIdleUs", "expected above 0, got %d", s.ConnIdleTimeout)
	case s.SlowStartFor > 0 && !(s.InitialCapacity > 0 && s.InitialCapacity <= 1):
		return newKeyError("settings.rules.startCapacity", "expected above 0 and at most 1, got %v", s.InitialCapacity)
	case s.Zone != "" && len(s.Zones) > 0 && !slices.Contains(s.Zones, s.Zone):
		return newKeyError("settings.zone", "expected one of the zones %q, got %q", s.Zones, s.Zone)
	case len(s.Classes) == 0:
		return newKeyError("settings.requestClasses", "missing")
	}
	return nil
}

func checkCosts(s *balancer.Settings) error {
	for _, c := range []struct {
		key  string
		cost float64
	}{
		{"crossZone", s.CrossZoneCost},
		{"handshake", s.HandshakeCost},
		{"probe", s.HealthCheckCost},
	} {
		if !(c.cost >= 0 && c.cost <= 1) {
			return newKeyError("settings.penalties."+c.key, "expected a fraction of a request's weight from 0 to 1, got %v", c.cost)
		}
	}
	return nil
}

func checkClasses(classes []balancer.Class) error {
	for i, c := range classes {
		key := fmt.Sprintf("settings.requestClasses[%d]", i)
		hasSameName := func(other balancer.Class) bool { return other.Name == c.Name }
		switch {
		case c.Name == "":
			return newKeyError(key+".name", "missing")
		case slices.ContainsFunc(classes[:i], hasSameName):
			return newKeyError(key+".name", "duplicate class name %q", c.Name)
		case c.Deadline <= 0:
			return newKeyError(key+".deadlineUs", "expected above 0, got %d", c.Deadline)
		case c.LatencyObjective < 0 || c.LatencyObjective > c.Deadline:
			return newKeyError(key+".targetUs", "expected 0 to the deadline %d, got %d", c.Deadline, c.LatencyObjective)
		case !(c.PriorityWeight >= 0):
			return newKeyError(key+".points", "expected 0 or more, got %v", c.PriorityWeight)
		case !(c.LateWeightShare >= 0 && c.LateWeightShare <= 1):
			return newKeyError(key+".lateShare", "expected 0 to 1, got %v", c.LateWeightShare)
		}
	}
	return nil
}
