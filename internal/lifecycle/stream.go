package lifecycle

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"reflect"
	"time"

	"archknot/internal/conf"
	"archknot/internal/confstream"
	"archknot/internal/revision"
)

// openStream readies the client of the control service, if the settings name one.
// It connects to nothing yet.
func (s *server) openStream() (closeAll func(), err error) {
	v := s.conf.Service
	if v.Address == "" {
		return func() {}, nil
	}
	var closers []func()
	closeAll = func() {
		for _, c := range closers {
			c()
		}
	}
	g := &s.c.Gateway
	o := confstream.Options{Address: v.Address, Delta: v.Form == "delta", Machine: revision.DefaultOptions(g.Name, g.Seed),
		Log: func(msg string, args ...any) { slog.Info(msg, args...) }}
	o.Machine.Between, o.Machine.Stall, o.Machine.Limits = v.Between.Microseconds(), v.Stall.Microseconds(), s.limits()
	if v.Cert != "" {
		creds, closeFiles, err := confstream.ClientTLS(confstream.Files{Cert: v.Cert, Key: v.Key, CA: v.CA, Name: v.Name})
		if err != nil {
			return nil, fmt.Errorf("control-service.cert: %w", err)
		}
		o.TLS = creds
		closers = append(closers, closeFiles)
	}
	if v.Store != "" {
		store, aside, err := confstream.OpenStore(v.Store)
		if err != nil {
			closeAll()
			return nil, fmt.Errorf("control-service.store: %w", err)
		}
		if aside != "" {
			slog.Error("config_store_corrupted", "path", v.Store, "set_aside", aside)
		}
		s.store, o.Store = store, store
		closers = append(closers, func() { store.Close() })
	}
	if s.stream, err = confstream.New(o, s); err != nil {
		closeAll()
		return nil, fmt.Errorf("control-service: %w", err)
	}
	g.RequestEnded = s.stream.Ended
	return closeAll, nil
}

// settings are our own settings in force, for tasks other than that of signals. They are replaced whole.
func (s *server) settings() *conf.Config {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conf
}

// limits are what versions must keep within, by the platform's configuration.
func (s *server) limits() revision.Limits {
	l, g := revision.DefaultLimits, &s.c.Gateway
	l.Sockets, l.AskWithin = g.MaxClientConns+g.MaxReplicaConns, g.PollWithin.Microseconds()
	l.MostHeldOver = g.MaxClientConns
	l.MayRecord = s.settings().Capture.Directory != ""
	return l
}

// Apply takes a version: confstream.Target. The gateway's own part is the only
// one that can be refused, and goes first.
func (s *server) Apply(ctx context.Context, c *revision.Config) revision.Refusals {
	if r := s.g.ApplyVersion(ctx, c, s.limits()); len(r) > 0 {
		return r
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	before := s.effective()
	s.version = c
	s.follow(before)
	return nil
}

// effective is the settings with the parts of the version in force before the
// file's: a version goes before the files, whichever came last.
func (s *server) effective() conf.Config {
	c := *s.conf
	if s.version == nil {
		return c
	}
	if l := s.version.Log; l != nil {
		c.Log.Level = l.Level
	}
	if p := s.version.Capture; p != nil {
		c.Capture.Record, c.Capture.Checkpoint = p.Record && c.Capture.Directory != "", time.Duration(p.Checkpoint)*time.Microsecond
		c.Capture.KeepSize = p.KeepBytes
		if p.KeepAge > 0 {
			c.Capture.KeepAge = time.Duration(p.KeepAge) * time.Microsecond
		}
	}
	return c
}

// follow has log and recording follow what is in force now.
func (s *server) follow(before conf.Config) {
	now := s.effective()
	setLevel(now.Log.Level)
	if reflect.DeepEqual(before.Capture, now.Capture) && reflect.DeepEqual(before.Incident, now.Incident) {
		return
	}
	select {
	case <-s.records: // not yet taken up, and now out of date
	default:
	}
	s.records <- &now
}

// Status is what `archknot config status` shows.
type Status struct {
	Service   string `json:"service"`
	Connected bool   `json:"connected"`
	Version   uint64 `json:"version"` // 0: the files
	Classes   int    `json:"classes"`
	Tenants   int    `json:"tenants"`
	Marks     int    `json:"marks"`
}

var errNoService = errors.New("no control service is set (control-service.address)")

func (s *server) status(context.Context, json.RawMessage) (any, error) {
	if s.stream == nil {
		return nil, errNoService
	}
	st := Status{Service: s.settings().Service.Address, Connected: s.stream.Connected()}
	if c := s.stream.InForce(); c != nil {
		st.Version, st.Classes, st.Tenants, st.Marks = uint64(c.Number), len(c.Classes), len(c.Tenants), len(c.Workers)
	}
	return st, nil
}

func (s *server) history(context.Context, json.RawMessage) (any, error) {
	if s.store == nil {
		return nil, errors.New("no history is kept (control-service.store)")
	}
	return s.store.History()
}

// RollbackOrder is what `archknot config rollback` sends.
type RollbackOrder struct {
	Reason string `json:"reason"`
}

func (s *server) rollback(ctx context.Context, text json.RawMessage) (any, error) {
	if s.stream == nil {
		return nil, errNoService
	}
	var o RollbackOrder
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, err
	}
	was := s.stream.InForce()
	if err := s.stream.Rollback(ctx, "ordered: "+o.Reason); err != nil {
		return nil, err
	}
	for { // until the gateway has gone back
		if s.stream.InForce() != was {
			return s.status(ctx, nil)
		}
		select {
		case <-time.After(5 * time.Millisecond):
		case <-ctx.Done():
			return nil, errors.New("ordered, but what is in hand does not allow it yet; it is tried again each second")
		}
	}
}
