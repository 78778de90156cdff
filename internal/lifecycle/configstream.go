package lifecycle

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"time"

	"archknot/internal/config"
	"archknot/internal/configversion"
	"archknot/internal/xdsclient"
)

// openConfigStream readies the client of the control service, if the settings name one.
// It connects to nothing yet.
func (s *server) openConfigStream() (closeAll func(), err error) {
	v := s.fileSettings.ControlService
	if v.Address == "" {
		return func() {}, nil
	}
	var closers []func()
	closeAll = func() {
		for _, c := range closers {
			c()
		}
	}
	g := &s.config.Gateway
	o := xdsclient.Options{Address: v.Address, Delta: v.Protocol == "delta", Machine: configversion.DefaultOptions(g.Name, g.Seed),
		Log: func(msg string, args ...any) { slog.Info(msg, args...) }}
	o.Machine.MinInterval, o.Machine.StallTimeout, o.Machine.Limits = v.MinInterval.Microseconds(), v.StallTimeout.Microseconds(), s.versionLimits()
	if v.Cert != "" {
		creds, closeFiles, err := xdsclient.ClientTLS(xdsclient.TLSFiles{Cert: v.Cert, Key: v.Key, CA: v.CA, ServerName: v.ServerName})
		if err != nil {
			return nil, fmt.Errorf("control-service.cert: %w", err)
		}
		o.TLS = creds
		closers = append(closers, closeFiles)
	}
	if v.StorePath != "" {
		store, aside, err := xdsclient.OpenStore(v.StorePath)
		if err != nil {
			closeAll()
			return nil, fmt.Errorf("control-service.store: %w", err)
		}
		if aside != "" {
			slog.Error("config_store_corrupted", "path", v.StorePath, "set_aside", aside)
		}
		s.versionStore, o.Store = store, store
		closers = append(closers, func() { store.Close() })
	}
	if s.configStream, err = xdsclient.New(o, s); err != nil {
		closeAll()
		return nil, fmt.Errorf("control-service: %w", err)
	}
	g.RequestEnded = s.configStream.RequestEnded
	return closeAll, nil
}

// currentSettings are our own settings in force, for tasks other than that of signals. They are replaced whole.
func (s *server) currentSettings() *config.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.fileSettings
}

// versionLimits are what versions must keep within, by the platform's configuration.
func (s *server) versionLimits() configversion.Limits {
	l, g := configversion.DefaultLimits, &s.config.Gateway
	l.Sockets, l.MaxPollInterval = g.MaxClientConns+g.MaxReplicaConns, g.PollWithin.Microseconds()
	l.MaxInFlight = g.MaxClientConns
	l.MayCapture = s.currentSettings().Capture.Directory != ""
	return l
}

// Apply takes a version: confstream.Target. The gateway's own part is the only
// one that can be refused, and goes first.
func (s *server) Apply(ctx context.Context, c *configversion.Config) configversion.Rejections {
	if r := s.gateway.ApplyVersion(ctx, c, s.versionLimits()); len(r) > 0 {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.effectiveSettings()
	s.activeVersion = c
	s.applySettings(before)
	return nil
}

// effectiveSettings is the settings with the parts of the version in force before the
// file's: a version goes before the files, whichever came last.
func (s *server) effectiveSettings() config.Config {
	c := *s.fileSettings
	if s.activeVersion == nil {
		return c
	}
	if l := s.activeVersion.Log; l != nil {
		c.Log.Level = l.Level
	}
	if p := s.activeVersion.Capture; p != nil {
		c.Capture.Record, c.Capture.CheckpointInterval = p.Record && c.Capture.Directory != "", time.Duration(p.CheckpointInterval)*time.Microsecond
		c.Capture.KeepSize = p.MaxBytes
		if p.MaxAge > 0 {
			c.Capture.KeepAge = time.Duration(p.MaxAge) * time.Microsecond
		}
	}
	return c
}

// applySettings has log and recording follow what is in force now.
func (s *server) applySettings(before config.Config) {
	now := s.effectiveSettings()
	setLogLevel(now.Log.Level)
	if reflect.DeepEqual(before.Capture, now.Capture) && reflect.DeepEqual(before.Incident, now.Incident) {
		return
	}
	select {
	case <-s.captureChanges: // not yet taken up, and now out of date
	default:
	}
	s.captureChanges <- &now
}

// ConfigStatus is what `archknot config status` shows.
type ConfigStatus struct {
	Service   string `json:"service"`
	Connected bool   `json:"connected"`
	Version   uint64 `json:"version"` // 0: the files
	Classes   int    `json:"classes"`
	Tenants   int    `json:"tenants"`
	Marks     int    `json:"marks"`
}

var errNoControlService = errors.New("no control service is set (control-service.address)")

func (s *server) configStatus(context.Context, json.RawMessage) (any, error) {
	if s.configStream == nil {
		return nil, errNoControlService
	}
	st := ConfigStatus{Service: s.currentSettings().ControlService.Address, Connected: s.configStream.Connected()}
	if c := s.configStream.InForce(); c != nil {
		st.Version, st.Classes, st.Tenants, st.Marks = uint64(c.Number), len(c.Classes), len(c.Tenants), len(c.ReplicaMarks)
	}
	return st, nil
}

func (s *server) configHistory(context.Context, json.RawMessage) (any, error) {
	if s.versionStore == nil {
		return nil, errors.New("no history is kept (control-service.store)")
	}
	return s.versionStore.History()
}

// RollbackRequest is what `archknot config rollback` sends.
type RollbackRequest struct {
	Reason string `json:"reason"`
}

func (s *server) configRollback(ctx context.Context, text json.RawMessage) (any, error) {
	if s.configStream == nil {
		return nil, errNoControlService
	}
	var o RollbackRequest
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, err
	}
	was := s.configStream.InForce()
	if err := s.configStream.Rollback(ctx, "ordered: "+o.Reason); err != nil {
		return nil, err
	}
	for { // until the gateway has gone back
		if s.configStream.InForce() != was {
			return s.configStatus(ctx, nil)
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return nil, errors.New("ordered, but what is in hand does not allow it yet; it is tried again each second")
		}
	}
}
