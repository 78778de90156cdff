package gateway

import (
	"log/slog"
	"slices"

	"archknot/balancer"
)

// zoneCheckInterval is how often the event loop checks for zones that were lost or recovered.
const zoneCheckInterval balancer.Micros = 250_000

// zoneMonitor logs the zones that become unavailable and those that recover. The event loop
// owns it.
type zoneMonitor struct {
	lost      []string // unavailable zones at the last check
	nextCheck balancer.Micros
}

// logChanges logs the zones that changed since the last check, once per zoneCheckInterval.
func (m *zoneMonitor) logChanges(now balancer.Micros, b *balancer.Balancer) {
	if now < m.nextCheck {
		return
	}
	m.nextCheck = now + zoneCheckInterval
	lost, isolated := b.UnavailableZones()
	for _, zone := range lost {
		if !slices.Contains(m.lost, zone) {
			slog.Warn("zone_lost", "zone", zone, "isolated", isolated)
		}
	}
	for _, zone := range m.lost {
		if !slices.Contains(lost, zone) {
			slog.Info("zone_recovered", "zone", zone)
		}
	}
	m.lost = lost
}
