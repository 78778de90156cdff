package lifecycle

import (
	"context"
	"log/slog"
	"reflect"
	"strings"
	"time"

	"archknot/internal/config"
)

// contractReloadTimeout bounds how long a reload waits for the gateway to apply new contracts.
const contractReloadTimeout = time.Second

// reload reads the configuration and the settings file again, as it was ordered at orderedAt. If either is
// invalid, nothing changes.
func (s *server) reload(ctx context.Context, orderedAt time.Time) {
	next, err := Reload(s.getenv)
	if err != nil {
		slog.Error("reload_failed", "err", err)
		return
	}
	settings, err := config.Load(s.settingsFile)
	if err != nil {
		slog.Error("reload_failed", "err", err)
		return
	}
	s.reloadConfig(next, orderedAt)
	previous := s.replaceSettings(settings)
	if !reflect.DeepEqual(previous.Contracts, settings.Contracts) {
		s.reloadContracts(ctx)
	}
	for _, section := range restartSections(previous, settings) {
		slog.Warn("reload", "needs_restart", section)
	}
	if previous.Metrics != settings.Metrics {
		s.reopenMetrics()
	}
	if previous.Control != settings.Control {
		s.reopenControl()
	}
}

// reloadConfig switches to the discovery service of the new configuration, and logs the other changed keys.
func (s *server) reloadConfig(next Config, orderedAt time.Time) {
	slog.Info("reload", "discovery", next.Gateway.Discovery, "needs_restart", strings.Join(s.config.restartKeys(next), ","))
	next.logUnknownKeys()
	s.gateway.SetUnknownKeys(next.UnknownKeyCount)
	if next.Gateway.Discovery != s.discovery {
		s.discovery = next.Gateway.Discovery
		s.gateway.MoveDiscovery(s.discovery, orderedAt)
	}
}

// replaceSettings replaces and applies the settings of the file, and returns the previous ones.
func (s *server) replaceSettings(settings *config.Config) (previous *config.Config) {
	s.mu.Lock()
	defer s.mu.Unlock()
	previous = s.fileSettings
	previousEffective := s.effectiveSettings()
	s.fileSettings = settings
	s.applySettings(previousEffective)
	return previous
}

func (s *server) reloadContracts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, contractReloadTimeout)
	defer cancel()
	if err := s.gateway.SetContracts(ctx, contractOptions(s.fileSettings)); err != nil {
		slog.Error("contracts_failed", "err", err)
	}
}

// restartSections returns the changed sections of the settings file that take effect only at a restart.
func restartSections(previous, next *config.Config) []string {
	var sections []string
	for _, section := range []struct {
		name string
		same bool
	}{
		{"control-service", previous.ControlService == next.ControlService},
		{"contracts.store", previous.Contracts.StorePath == next.Contracts.StorePath},
		{"subset", previous.Subset == next.Subset},
		{"peers", previous.Peers == next.Peers},
	} {
		if !section.same {
			sections = append(sections, section.name)
		}
	}
	return sections
}

func (s *server) reopenMetrics() {
	s.metricsServer.Close() // does nothing if nil
	if err := s.openOrTakeOver(metricsListener, s.listenMetrics); err != nil {
		slog.Error("metrics_failed", "err", err)
	}
}

func (s *server) reopenControl() {
	if s.controlSocket != nil {
		s.controlSocket.Close()
		s.controlSocket = nil
	}
	if err := s.openOrTakeOver(controlListener, s.listenControl); err != nil {
		slog.Error("control_failed", "err", err)
	}
}
