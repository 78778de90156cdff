package lifecycle

import (
	"context"
	"fmt"
	"log/slog"
	"reflect"

	"archknot/internal/config"
	"archknot/internal/configversion"
	"archknot/internal/xdsclient"
)

// protocolDelta is the setting control-service.form for the incremental protocol.
const protocolDelta = "delta"

// openConfigStream creates the client of the control service and opens its TLS files and version store.
// It does not connect yet, and does nothing if no control service is set. The caller calls closeFiles
// after the client has stopped.
func (s *server) openConfigStream() (closeFiles func(), err error) {
	service := s.fileSettings.ControlService
	if service.Address == "" {
		return func() {}, nil
	}
	var closers []func()
	closeFiles = func() {
		for _, closeFile := range closers {
			closeFile()
		}
	}
	options := s.streamOptions(service)
	if service.Cert != "" {
		credentials, closeTLS, err := xdsclient.ClientTLS(xdsclient.TLSFiles{Cert: service.Cert, Key: service.Key, CA: service.CA, ServerName: service.ServerName})
		if err != nil {
			return nil, fmt.Errorf("control-service.cert: %w", err)
		}
		options.TLS = credentials
		closers = append(closers, closeTLS)
	}
	if service.StorePath != "" {
		if options.Store, err = openVersionStore(service.StorePath, s.mayReplaceProcess()); err != nil {
			closeFiles()
			return nil, err
		}
		s.versionStore = options.Store
		closers = append(closers, func() { s.versionStore.Close() })
		if err := s.openOrTakeOver(versionStore, s.versionStore.Acquire); err != nil {
			closeFiles()
			return nil, err
		}
	}
	if s.configStream, err = xdsclient.New(options, s); err != nil {
		closeFiles()
		return nil, fmt.Errorf("control-service: %w", err)
	}
	s.config.Gateway.RequestEnded = s.configStream.RequestEnded
	return closeFiles, nil
}

// streamOptions returns the options of the client except TLS and Store.
func (s *server) streamOptions(service config.ControlService) xdsclient.Options {
	o := &s.config.Gateway
	machineOptions := configversion.DefaultOptions(o.Name, o.Seed)
	machineOptions.MinInterval = service.MinInterval.Microseconds()
	machineOptions.StallTimeout = service.StallTimeout.Microseconds()
	machineOptions.Limits = s.versionLimits()
	return xdsclient.Options{Address: service.Address, Delta: service.Protocol == protocolDelta, Machine: machineOptions, Log: logInfo}
}

// openVersionStore opens the store of streamed versions. A corrupted store is renamed and replaced by an empty one.
// Another process may have the store open if mayBeBusy is set.
func openVersionStore(path string, mayBeBusy bool) (*xdsclient.Store, error) {
	open := xdsclient.OpenStore
	if mayBeBusy {
		open = xdsclient.OpenStoreBesidePredecessor
	}
	store, setAside, err := open(path)
	if err != nil {
		return nil, fmt.Errorf("control-service.store: %w", err)
	}
	if setAside != "" {
		slog.Error("config_store_corrupted", "path", path, "set_aside", setAside)
	}
	return store, nil
}

// currentSettings returns fileSettings, for goroutines other than that of Run. The result is never modified,
// only replaced.
func (s *server) currentSettings() *config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fileSettings
}

// versionLimits returns the limits that the platform's configuration imposes on streamed versions.
func (s *server) versionLimits() configversion.Limits {
	limits := configversion.DefaultLimits
	o := &s.config.Gateway
	limits.MaxConnections = o.MaxClientConns + o.MaxReplicaConns
	limits.MaxPollInterval = min(o.MaxPollInterval.Microseconds(), o.Settings.ListValidity())
	limits.MaxInFlight = o.MaxClientConns
	limits.MayCapture = s.currentSettings().Capture.Directory != ""
	return limits
}

// Apply puts a streamed version in force; it implements xdsclient.Target. The version is applied to the
// gateway first: only the gateway can reject it, and in that case nothing else has changed.
func (s *server) Apply(ctx context.Context, version *configversion.Config) configversion.Rejections {
	if rejections := s.gateway.ApplyVersion(ctx, version, s.versionLimits()); len(rejections) > 0 {
		return rejections
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	previous := s.effectiveSettings()
	s.activeVersion = version
	s.applySettings(previous)
	return nil
}

// effectiveSettings returns the settings of the file, overridden by those of the version in force. The
// version takes precedence even if the file is newer. The caller holds mu.
func (s *server) effectiveSettings() config.Config {
	settings := *s.fileSettings
	if s.activeVersion == nil {
		return settings
	}
	if log := s.activeVersion.Log; log != nil {
		settings.Log.Level = log.Level
	}
	if c := s.activeVersion.Capture; c != nil {
		settings.Capture.Record = c.Record && settings.Capture.Directory != ""
		settings.Capture.CheckpointInterval = microseconds(c.CheckpointInterval)
		settings.Capture.KeepSize = c.MaxBytes
		if c.MaxAge > 0 {
			settings.Capture.KeepAge = microseconds(c.MaxAge)
		}
	}
	return settings
}

// applySettings applies the effective settings to the log and, if the capture's settings differ from the
// previous ones, to the capture. The caller holds mu.
func (s *server) applySettings(previous config.Config) {
	settings := s.effectiveSettings()
	setLogLevel(settings.Log.Level)
	if reflect.DeepEqual(previous.Capture, settings.Capture) && reflect.DeepEqual(previous.Incident, settings.Incident) {
		return
	}
	select {
	case <-s.captureChanges: // discards settings that are outdated before they were applied
	default:
	}
	s.captureChanges <- &settings
}

// restartCaptures restarts the capture whenever its settings have changed, until the context ends. It
// runs in its own goroutine, so that a slow disk does not delay the handling of signals.
func (s *server) restartCaptures(ctx context.Context) {
	for {
		select {
		case settings := <-s.captureChanges:
			if err := s.gateway.SetCapture(ctx, captureOptions(s.config.Gateway.Name, settings)); err != nil {
				slog.Error("capture_failed", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}
