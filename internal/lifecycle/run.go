package lifecycle

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"strings"
	"sync"
	"syscall"
	"time"

	"archknot/choice"
	"archknot/internal/asynclog"
	"archknot/internal/build"
	"archknot/internal/capture"
	"archknot/internal/conf"
	"archknot/internal/confstream"
	"archknot/internal/contract/ledger"
	"archknot/internal/contract/split"
	"archknot/internal/control"
	"archknot/internal/gateway"
	"archknot/internal/incident"
	"archknot/internal/maintenance"
	"archknot/internal/metrics"
	"archknot/internal/operator"
	"archknot/internal/peers"
	"archknot/internal/revision"
	"archknot/internal/subset"
)

// BadConfig says that the gateway was not started because of what it was told.
type BadConfig struct{ Err error }

func (b BadConfig) Error() string { return b.Err.Error() }
func (b BadConfig) Unwrap() error { return b.Err }

// dropAfter is when starting up is over.
const dropAfter = 1500 * time.Millisecond

var (
	level slog.LevelVar
	lines *asynclog.Writer
)

// flushWithin bounds how long the end waits for the log's reader.
const flushWithin = 500 * time.Millisecond

// StartLog has what is logged go to standard error as key=value text. Whatever becomes of its reader,
// the gateway goes on: a pipe that nobody reads holds nobody up, and one that was closed, or a file
// that may not grow, ends no process.
func StartLog() {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	lines = asynclog.New(os.Stderr)
	slog.SetDefault(slog.New(slog.NewTextHandler(lines, &slog.HandlerOptions{Level: &level})))
}

// EndLog waits for what was logged to be written.
func EndLog() { lines.Flush(flushWithin) }

func setLevel(word string) { _ = level.UnmarshalText([]byte(word)) } // conf lets in no other words

// recording makes the gateway's part of the settings; nil: nothing is recorded.
func recording(name string, c *conf.Config) *gateway.Capture {
	p, in := c.Capture, c.Incident
	if !p.Record {
		return nil
	}
	return &gateway.Capture{
		Writer: capture.Limits{Directory: p.Directory, Gateway: name, Build: build.Version(), Queue: p.Queue, KeepSize: p.KeepSize,
			KeepAge: p.KeepAge, Incidents: in.Directory, KeepIncidents: in.Keep, Window: in.Window, Pause: in.Pause,
			Log: func(msg string, args ...any) { slog.Info(msg, args...) }},
		Recorder: capture.Options{Checkpoint: p.Checkpoint, Block: int(p.Block), Flush: p.Flush, SegmentSize: p.SegmentSize,
			SegmentAge: p.SegmentAge, Pause: in.Pause, Incident: incident.Settings{Over: in.Over.Microseconds(), Least: in.Least, Unserved: in.Unserved,
				SlowFactor: in.SlowFactor, SlowWorkers: in.SlowWorkers, NearDeadline: in.NearDeadline.Microseconds()}},
	}
}

// contracts makes the gateway's part of the settings. Without teams there are none
// in force, but for those that a version of the configuration brings.
func contracts(c *conf.Config) *gateway.Contracts {
	out := &gateway.Contracts{Teams: c.Contracts.Teams, Settings: c.Contracts.Settings()}
	switch c.Contracts.Split {
	case "equal":
		out.Split = func() split.Way { return split.Equal{Gateways: c.Contracts.Gateways} }
	case "front":
		out.Split = func() split.Way { return &split.Front{} }
	case "alone":
		out.Split = func() split.Way { return &split.Alone{} }
	}
	return out
}

// part is what the gateway's part of the fleet is worked out from.
func part(c conf.Subset, s *choice.Settings) subset.Settings {
	index := c.Index
	if index < 0 {
		index = s.Self
	}
	return subset.Settings{MaxReplicas: c.Most, GatewayIndex: index, GatewayCount: s.Gateways, Zone: s.Zone, RemoteFraction: c.Remote,
		WeightIsSize: s.WeightKind == choice.WeightNominal, SlowStart: s.SlowStartFor}
}

// link opens the way to the other gateways, if there is one; nil: there is none.
func link(p conf.Peers, g gateway.Options) (*peers.Service, error) {
	if p.Listen == "" {
		return nil, nil
	}
	return peers.Start(peers.Options{Name: g.Name, ListenAddr: p.Listen, AdvertiseAddr: p.Advertise, Zone: p.Site, Seeds: strings.FieldsFunc(p.Join, func(r rune) bool { return r == ',' }),
		Backups: p.Copies, Permits: max(0, g.Settings.MaxAttempts-1), ReplyTimeout: p.Silence, RecordTTL: p.Remember, FreezeThreshold: p.Frozen, HandOverDelay: p.HandOver,
		MaxRecords: p.Records, MaxRecordsPerHolder: p.Each, RandomSeed: g.Seed})
}

// openLedger opens the store of balances, if there is one.
func (s *server) openLedger() (closeIt func(), err error) {
	path := s.conf.Contracts.Store
	if path == "" {
		return func() {}, nil
	}
	store, aside, err := ledger.Open(path)
	if err != nil {
		return nil, fmt.Errorf("contracts.store: %w", err)
	}
	if aside != "" {
		slog.Error("contract_ledger_corrupted", "set_aside", aside)
	}
	s.c.Gateway.Ledger = store
	return func() { store.Close() }, nil
}

// server is a running gateway with what SIGHUP may change about it.
type server struct {
	getenv   func(string) string
	file     string // of our own settings; "" if there is none
	c        Config
	conf     *conf.Config
	g        *gateway.Gateway
	control  *control.Server
	metrics  *metrics.Server    // nil: none
	stream   *confstream.Client // nil: no control service
	store    *confstream.Store
	version  *revision.Config // in force
	mu       sync.Mutex       // over conf: a version's parts go before it
	registry string
	records  chan *conf.Config // the newest settings of the recording
}

// Run serves until SIGTERM or SIGINT has ended it in order. SIGHUP has it read
// the configuration and the settings again.
func Run(getenv func(string) string, file string) error {
	signals, hangups := make(chan os.Signal, 1), make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	defer signal.Stop(signals)
	// Caught from the first moment: SIGHUP's default is to end the program.
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	s := &server{getenv: getenv, file: file, records: make(chan *conf.Config, 1)}
	var err error
	if s.conf, err = conf.Load(file); err != nil {
		return BadConfig{err}
	}
	setLevel(s.conf.Log.Level)
	if s.c, err = Load(getenv); err != nil {
		return BadConfig{err}
	}
	s.registry = s.c.Gateway.Discovery
	closeStream, err := s.openStream()
	if err != nil {
		return BadConfig{err}
	}
	defer closeStream()
	closeLedger, err := s.openLedger()
	if err != nil {
		return BadConfig{err}
	}
	defer closeLedger()
	s.c.Gateway.SharedListener = s.c.Handed > 0
	s.c.Gateway.Contracts = contracts(s.conf)
	s.c.Gateway.Capture = recording(s.c.Gateway.Name, s.conf)
	s.c.Gateway.Subset = part(s.conf.Subset, &s.c.Gateway.Settings)
	runtime.GOMAXPROCS(s.c.Cores)
	debug.SetMemoryLimit(s.c.MemoryMB << 20)
	if s.c.Gateway.Peers, err = link(s.conf.Peers, s.c.Gateway); err != nil {
		return err
	}
	if s.c.Admin != "" {
		s.c.Gateway.Orders = maintenance.Open(maintenance.Options{Folder: cmp.Or(getenv("TMPDIR"), os.TempDir()), Name: s.c.Gateway.Name, Listen: s.c.Listen})
	}
	if s.g, err = gateway.New(s.c.Gateway); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := s.listenControl(); err != nil {
		return err
	}
	if err := s.listenMetrics(); err != nil {
		return err
	}
	var l net.Listener
	if err := patiently(func() (err error) { l, err = listen(s.c); return err }); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	slog.Info("start", "name", s.c.Gateway.Name, "listen", s.c.Listen, "discovery", s.c.Gateway.Discovery, "cores", s.c.Cores,
		"heap_mb", s.c.MemoryMB, "client_conns", s.c.Gateway.MaxClientConns, "replica_conns", s.c.Gateway.MaxReplicaConns,
		"conf", s.file, "capture", s.conf.Capture.Record, "build", build.Version())
	if s.c.Admin != "" {
		following, stopFollowing := context.WithCancel(context.Background())
		defer stopFollowing()
		go s.c.Gateway.Orders.Run(following)
		defer operator.Listen(s.c.Admin, s.g, s.g.AdminCalls()).Close()
	}
	s.c.tellUnknown()
	s.g.SetUnknownKeys(s.c.UnknownKeys)
	served := make(chan error, 1)
	go func() { served <- s.g.Serve(ctx, l) }()
	streamed := make(chan struct{})
	go func() { // the gateway serves meanwhile: its start never waits for the service
		defer close(streamed)
		if s.stream != nil {
			s.stream.Run(ctx)
		}
	}()
	defer func() { stop(); <-streamed }()
	go s.rerecord(ctx)
	time.AfterFunc(dropAfter, func() {
		if _, err := dropStartup(); err != nil {
			slog.Debug("startup_pages_release_failed", "err", err)
		}
	})
	drained := make(chan error, 1)
	for draining := false; ; {
		select {
		case err := <-served:
			if !draining {
				return fmt.Errorf("listen: %w", err)
			}
			served = nil
		case <-hangups: // also while the gateway drains
			s.reload()
		case sig := <-signals:
			if draining {
				continue
			}
			draining = true
			slog.Info("drain", "signal", sig.String())
			go func() { drained <- s.g.Drain(ctx) }()
		case err := <-drained:
			if s.control != nil {
				s.control.Close()
			}
			if s.c.Gateway.Orders != nil {
				_ = atTheEnd(s.c.Gateway.Orders.Close) // what cannot be saved was told
			}
			if err := atTheEnd(s.g.CloseLedger); err != nil {
				slog.Error("contract_ledger_write_failed", "err", err)
			}
			_ = atTheEnd(func(ctx context.Context) error { return s.g.SetCapture(ctx, nil) }) // what is not whole is told by the capture itself
			if err != nil {
				return fmt.Errorf("drain: %w", err)
			}
			slog.Info("stop")
			return nil
		}
	}
}

// atTheEnd leaves something whole on disk, if the disk is quick enough.
func atTheEnd(do func(context.Context) error) error {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	done := make(chan error, 1)
	go func() { done <- do(ctx) }()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// rerecord begins recordings anew by changed settings, in a task of its own: a
// slow disk must not keep signals waiting.
func (s *server) rerecord(ctx context.Context) {
	for {
		select {
		case c := <-s.records:
			if err := s.g.SetCapture(ctx, recording(s.c.Gateway.Name, c)); err != nil {
				slog.Error("capture_failed", "err", err)
			}
		case <-ctx.Done():
			return
		}
	}
}

// reload reads the configuration and the settings again. What does not pass the
// checks changes nothing.
func (s *server) reload() {
	next, err := Reload(s.getenv)
	if err != nil {
		slog.Error("reload_failed", "err", err)
		return
	}
	settings, err := conf.Load(s.file)
	if err != nil {
		slog.Error("reload_failed", "err", err)
		return
	}
	slog.Info("reload", "discovery", next.Gateway.Discovery, "needs_restart", strings.Join(s.c.differs(next), ","))
	next.tellUnknown()
	s.g.SetUnknownKeys(next.UnknownKeys)
	if next.Gateway.Discovery != s.registry {
		s.registry = next.Gateway.Discovery
		s.g.MoveDiscovery(s.registry)
	}
	was := s.conf
	s.mu.Lock()
	before := s.effective()
	s.conf = settings
	s.follow(before)
	s.mu.Unlock()
	if !reflect.DeepEqual(was.Contracts, settings.Contracts) {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		if err := s.g.SetContracts(ctx, contracts(settings)); err != nil {
			slog.Error("contracts_failed", "err", err)
		}
		stop()
	}
	if was.Service != settings.Service {
		slog.Warn("reload", "needs_restart", "control-service")
	}
	if was.Contracts.Store != settings.Contracts.Store {
		slog.Warn("reload", "needs_restart", "contracts.store")
	}
	if was.Subset != settings.Subset {
		slog.Warn("reload", "needs_restart", "subset")
	}
	if was.Peers != settings.Peers {
		slog.Warn("reload", "needs_restart", "peers")
	}
	if was.Metrics != settings.Metrics {
		s.metrics.Close()
		if err := s.listenMetrics(); err != nil {
			slog.Error("metrics_failed", "err", err)
		}
	}
	if was.Control != settings.Control {
		if s.control != nil {
			s.control.Close()
			s.control = nil
		}
		if err := s.listenControl(); err != nil {
			slog.Error("control_failed", "err", err)
		}
	}
}

// listen opens the clients' listener, or takes the one that the platform hands on:
// it holds the address, and every process of the gateway accepts on that socket.
func listen(c Config) (net.Listener, error) {
	if c.Handed == 0 {
		return net.Listen("tcp", c.Listen)
	}
	f := os.NewFile(uintptr(c.Handed), "NODE_SOCKET_FD")
	if f == nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: descriptor %d is not open", c.Handed)
	}
	defer f.Close() // the listener holds a copy
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: descriptor %d: %w", c.Handed, err)
	}
	return l, nil
}

// listenMetrics serves the figures, if that is wanted.
func (s *server) listenMetrics() (err error) {
	s.metrics = nil
	if m := s.conf.Metrics; m.Listen != "" {
		s.metrics, err = metrics.Listen(m.Listen, m.Teams, s.g)
	}
	return err
}

func (s *server) listenControl() (err error) {
	if s.conf.Control.Socket == "" {
		return nil
	}
	s.control, err = control.Listen(s.conf.Control.Socket, map[string]control.Handler{"capture/save": s.save,
		"config/status": s.status, "config/history": s.history, "config/rollback": s.rollback,
		"figures":            func(ctx context.Context, _ json.RawMessage) (any, error) { return s.g.Control(ctx) },
		"contracts/accounts": func(ctx context.Context, _ json.RawMessage) (any, error) { return s.g.Accounts(ctx) }})
	return err
}

// SaveOrder and SaveAnswer are what `archknot capture save` sends and gets.
type SaveOrder struct {
	Reason string `json:"reason"`
}

type SaveAnswer struct {
	Path     string `json:"path"`
	Segments int    `json:"segments"`
	Bytes    int64  `json:"bytes"`
}

func (s *server) save(ctx context.Context, text json.RawMessage) (any, error) {
	var o SaveOrder
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, err
	}
	if o.Reason == "" {
		o.Reason = "ordered"
	}
	saved, err := s.g.SaveIncident(ctx, o.Reason)
	return SaveAnswer{saved.Path, saved.Segments, saved.Bytes}, err
}
