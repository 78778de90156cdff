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

	"archknot/balancer"
	"archknot/internal/adminapi"
	"archknot/internal/asynclog"
	"archknot/internal/buildinfo"
	"archknot/internal/capture"
	"archknot/internal/capturetrigger"
	"archknot/internal/config"
	"archknot/internal/configversion"
	"archknot/internal/contract/ledger"
	"archknot/internal/contract/split"
	"archknot/internal/controlsocket"
	"archknot/internal/gateway"
	"archknot/internal/maintenance"
	"archknot/internal/metrics"
	"archknot/internal/peers"
	"archknot/internal/subset"
	"archknot/internal/xdsclient"
)

// ConfigError says that the gateway was not started because of what it was told.
type ConfigError struct{ Err error }

func (b ConfigError) Error() string { return b.Err.Error() }
func (b ConfigError) Unwrap() error { return b.Err }

// startupPagesDelay is when starting up is over.
const startupPagesDelay = 1500 * time.Millisecond

var (
	logLevel  slog.LevelVar
	logWriter *asynclog.Writer
)

// logFlushTimeout bounds how long the end waits for the log's reader.
const logFlushTimeout = 500 * time.Millisecond

// StartLog has what is logged go to standard error as key=value text. Whatever becomes of its reader,
// the gateway goes on: a pipe that nobody reads holds nobody up, and one that was closed, or a file
// that may not grow, ends no process.
func StartLog() {
	signal.Ignore(syscall.SIGPIPE, syscall.SIGXFSZ)
	logWriter = asynclog.New(os.Stderr)
	slog.SetDefault(slog.New(slog.NewTextHandler(logWriter, &slog.HandlerOptions{Level: &logLevel})))
}

// FlushLog waits for what was logged to be written.
func FlushLog() { logWriter.Flush(logFlushTimeout) }

func setLogLevel(word string) { _ = logLevel.UnmarshalText([]byte(word)) } // conf lets in no other words

// captureOptions makes the gateway's part of the settings; nil: nothing is recorded.
func captureOptions(name string, c *config.Config) *gateway.Capture {
	p, in := c.Capture, c.Incident
	if !p.Record {
		return nil
	}
	return &gateway.Capture{
		Writer: capture.WriterOptions{Directory: p.Directory, Gateway: name, Build: buildinfo.Version(), QueueLength: p.QueueBlocks, MaxBytes: p.KeepSize,
			MaxAge: p.KeepAge, IncidentDirectory: in.Directory, MaxIncidents: in.MaxIncidents, IncidentWindow: in.Window, IncidentInterval: in.MinInterval,
			Log: func(msg string, args ...any) { slog.Info(msg, args...) }},
		Recorder: capture.Options{CheckpointInterval: p.CheckpointInterval, BlockSize: int(p.BlockSize), FlushInterval: p.FlushInterval, SegmentSize: p.SegmentSize,
			SegmentAge: p.SegmentAge, IncidentInterval: in.MinInterval, Incident: capturetrigger.Settings{Window: in.EvaluationWindow.Microseconds(), MinRequests: in.MinRequests, UnservedShare: in.UnservedShare,
				SlowFactor: in.SlowFactor, SlowReplicaShare: in.SlowReplicas, DeadlineMargin: in.NearDeadline.Microseconds()}},
	}
}

// contractOptions makes the gateway's part of the settings. Without teams there are none
// in force, but for those that a version of the configuration brings.
func contractOptions(c *config.Config) *gateway.Contracts {
	out := &gateway.Contracts{Teams: c.Contracts.Teams, Settings: c.Contracts.LedgerSettings()}
	switch c.Contracts.Split {
	case "equal":
		out.Split = func() split.Strategy { return split.Equal{Gateways: c.Contracts.Gateways} }
	case "front":
		out.Split = func() split.Strategy { return &split.Proportional{} }
	case "alone":
		out.Split = func() split.Strategy { return &split.LocalEstimate{} }
	}
	return out
}

// subsetSettings is what the gateway's part of the fleet is worked out from.
func subsetSettings(c config.Subset, s *balancer.Settings) subset.Settings {
	index := c.GatewayIndex
	if index < 0 {
		index = s.Self
	}
	return subset.Settings{MaxReplicas: c.MaxReplicas, GatewayIndex: index, GatewayCount: s.Gateways, Zone: s.Zone, RemoteFraction: c.RemoteShare,
		WeightIsSize: s.WeightKind == balancer.WeightNominal, SlowStart: s.SlowStartFor}
}

// startPeers opens the way to the other gateways, if there is one; nil: there is none.
func startPeers(p config.Peers, g gateway.Options) (*peers.Service, error) {
	if p.Listen == "" {
		return nil, nil
	}
	return peers.Start(peers.Options{Name: g.Name, ListenAddr: p.Listen, AdvertiseAddr: p.Advertise, Zone: p.Zone, Seeds: strings.FieldsFunc(p.Join, func(r rune) bool { return r == ',' }),
		Backups: p.Keepers, Permits: max(0, g.Settings.MaxAttempts-1), ReplyTimeout: p.ReplyTimeout, RecordTTL: p.RecordTTL, FreezeThreshold: p.FreezeThreshold, HandOverDelay: p.HandOverDelay,
		MaxRecords: p.MaxRecords, MaxRecordsPerHolder: p.MaxRecordsPerGateway, RandomSeed: g.Seed})
}

// openLedger opens the store of balances, if there is one.
func (s *server) openLedger() (closeIt func(), err error) {
	path := s.fileSettings.Contracts.StorePath
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
	s.config.Gateway.Ledger = store
	return func() { store.Close() }, nil
}

// server is a running gateway with what SIGHUP may change about it.
type server struct {
	getenv         func(string) string
	settingsFile   string // of our own settings; "" if there is none
	config         Config
	fileSettings   *config.Config
	gateway        *gateway.Gateway
	controlSocket  *controlsocket.Server
	metricsServer  *metrics.Server   // nil: none
	configStream   *xdsclient.Client // nil: no control service
	versionStore   *xdsclient.Store
	activeVersion  *configversion.Config // in force
	mu             sync.Mutex            // over conf: a version's parts go before it
	discovery      string
	captureChanges chan *config.Config // the newest settings of the recording
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
	s := &server{getenv: getenv, settingsFile: file, captureChanges: make(chan *config.Config, 1)}
	var err error
	if s.fileSettings, err = config.Load(file); err != nil {
		return ConfigError{err}
	}
	setLogLevel(s.fileSettings.Log.Level)
	if s.config, err = Load(getenv); err != nil {
		return ConfigError{err}
	}
	s.discovery = s.config.Gateway.Discovery
	closeStream, err := s.openConfigStream()
	if err != nil {
		return ConfigError{err}
	}
	defer closeStream()
	closeLedger, err := s.openLedger()
	if err != nil {
		return ConfigError{err}
	}
	defer closeLedger()
	s.config.Gateway.SharedListener = s.config.ListenFD > 0
	s.config.Gateway.Contracts = contractOptions(s.fileSettings)
	s.config.Gateway.Capture = captureOptions(s.config.Gateway.Name, s.fileSettings)
	s.config.Gateway.Subset = subsetSettings(s.fileSettings.Subset, &s.config.Gateway.Settings)
	runtime.GOMAXPROCS(s.config.Cores)
	debug.SetMemoryLimit(s.config.MemoryMB << 20)
	if s.config.Gateway.Peers, err = startPeers(s.fileSettings.Peers, s.config.Gateway); err != nil {
		return err
	}
	if s.config.Admin != "" {
		s.config.Gateway.Orders = maintenance.Open(maintenance.Options{Directory: cmp.Or(getenv("TMPDIR"), os.TempDir()), Name: s.config.Gateway.Name, Listen: s.config.Listen})
	}
	if s.gateway, err = gateway.New(s.config.Gateway); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	if err := s.listenControl(); err != nil {
		return err
	}
	if err := s.listenMetrics(); err != nil {
		return err
	}
	var l net.Listener
	if err := retryTransient(func() (err error) { l, err = openListener(s.config); return err }); err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	slog.Info("start", "name", s.config.Gateway.Name, "listen", s.config.Listen, "discovery", s.config.Gateway.Discovery, "cores", s.config.Cores,
		"heap_mb", s.config.MemoryMB, "client_conns", s.config.Gateway.MaxClientConns, "replica_conns", s.config.Gateway.MaxReplicaConns,
		"conf", s.settingsFile, "capture", s.fileSettings.Capture.Record, "build", buildinfo.Version())
	if s.config.Admin != "" {
		following, stopFollowing := context.WithCancel(context.Background())
		defer stopFollowing()
		go s.config.Gateway.Orders.Run(following)
		defer adminapi.Listen(s.config.Admin, s.gateway, s.gateway.AdminCalls()).Close()
	}
	s.config.logUnknownKeys()
	s.gateway.SetUnknownKeys(s.config.UnknownKeyCount)
	served := make(chan error, 1)
	go func() { served <- s.gateway.Serve(ctx, l) }()
	streamed := make(chan struct{})
	go func() { // the gateway serves meanwhile: its start never waits for the service
		defer close(streamed)
		if s.configStream != nil {
			s.configStream.Run(ctx)
		}
	}()
	defer func() { stop(); <-streamed }()
	go s.restartCaptures(ctx)
	time.AfterFunc(startupPagesDelay, func() {
		if _, err := releaseStartupPages(); err != nil {
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
			go func() { drained <- s.gateway.Drain(ctx) }()
		case err := <-drained:
			if s.controlSocket != nil {
				s.controlSocket.Close()
			}
			if s.config.Gateway.Orders != nil {
				_ = withShutdownTimeout(s.config.Gateway.Orders.Close) // what cannot be saved was told
			}
			if err := withShutdownTimeout(s.gateway.CloseLedger); err != nil {
				slog.Error("contract_ledger_write_failed", "err", err)
			}
			_ = withShutdownTimeout(func(ctx context.Context) error { return s.gateway.SetCapture(ctx, nil) }) // what is not whole is told by the capture itself
			if err != nil {
				return fmt.Errorf("drain: %w", err)
			}
			slog.Info("stop")
			return nil
		}
	}
}

// withShutdownTimeout leaves something whole on disk, if the disk is quick enough.
func withShutdownTimeout(do func(context.Context) error) error {
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

// restartCaptures begins recordings anew by changed settings, in a task of its own: a
// slow disk must not keep signals waiting.
func (s *server) restartCaptures(ctx context.Context) {
	for {
		select {
		case c := <-s.captureChanges:
			if err := s.gateway.SetCapture(ctx, captureOptions(s.config.Gateway.Name, c)); err != nil {
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
	settings, err := config.Load(s.settingsFile)
	if err != nil {
		slog.Error("reload_failed", "err", err)
		return
	}
	slog.Info("reload", "discovery", next.Gateway.Discovery, "needs_restart", strings.Join(s.config.restartKeys(next), ","))
	next.logUnknownKeys()
	s.gateway.SetUnknownKeys(next.UnknownKeyCount)
	if next.Gateway.Discovery != s.discovery {
		s.discovery = next.Gateway.Discovery
		s.gateway.MoveDiscovery(s.discovery)
	}
	was := s.fileSettings
	s.mu.Lock()
	before := s.effectiveSettings()
	s.fileSettings = settings
	s.applySettings(before)
	s.mu.Unlock()
	if !reflect.DeepEqual(was.Contracts, settings.Contracts) {
		ctx, stop := context.WithTimeout(context.Background(), time.Second)
		if err := s.gateway.SetContracts(ctx, contractOptions(settings)); err != nil {
			slog.Error("contracts_failed", "err", err)
		}
		stop()
	}
	if was.ControlService != settings.ControlService {
		slog.Warn("reload", "needs_restart", "control-service")
	}
	if was.Contracts.StorePath != settings.Contracts.StorePath {
		slog.Warn("reload", "needs_restart", "contracts.store")
	}
	if was.Subset != settings.Subset {
		slog.Warn("reload", "needs_restart", "subset")
	}
	if was.Peers != settings.Peers {
		slog.Warn("reload", "needs_restart", "peers")
	}
	if was.Metrics != settings.Metrics {
		s.metricsServer.Close()
		if err := s.listenMetrics(); err != nil {
			slog.Error("metrics_failed", "err", err)
		}
	}
	if was.Control != settings.Control {
		if s.controlSocket != nil {
			s.controlSocket.Close()
			s.controlSocket = nil
		}
		if err := s.listenControl(); err != nil {
			slog.Error("control_failed", "err", err)
		}
	}
}

// openListener opens the clients' listener, or takes the one that the platform hands on:
// it holds the address, and every process of the gateway accepts on that socket.
func openListener(c Config) (net.Listener, error) {
	if c.ListenFD == 0 {
		return net.Listen("tcp", c.Listen)
	}
	f := os.NewFile(uintptr(c.ListenFD), "NODE_SOCKET_FD")
	if f == nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: descriptor %d is not open", c.ListenFD)
	}
	defer f.Close() // the listener holds a copy
	l, err := net.FileListener(f)
	if err != nil {
		return nil, fmt.Errorf("NODE_SOCKET_FD: descriptor %d: %w", c.ListenFD, err)
	}
	return l, nil
}

// listenMetrics serves the figures, if that is wanted.
func (s *server) listenMetrics() (err error) {
	s.metricsServer = nil
	if m := s.fileSettings.Metrics; m.Listen != "" {
		s.metricsServer, err = metrics.Listen(m.Listen, m.MaxTeams, s.gateway)
	}
	return err
}

func (s *server) listenControl() (err error) {
	if s.fileSettings.Control.Socket == "" {
		return nil
	}
	s.controlSocket, err = controlsocket.Listen(s.fileSettings.Control.Socket, map[string]controlsocket.Handler{"capture/save": s.saveCapture,
		"config/status": s.configStatus, "config/history": s.configHistory, "config/rollback": s.configRollback,
		"figures":            func(ctx context.Context, _ json.RawMessage) (any, error) { return s.gateway.Control(ctx) },
		"contracts/accounts": func(ctx context.Context, _ json.RawMessage) (any, error) { return s.gateway.Accounts(ctx) }})
	return err
}

// SaveRequest and SaveResponse are what `archknot capture save` sends and gets.
type SaveRequest struct {
	Reason string `json:"reason"`
}

type SaveResponse struct {
	Path     string `json:"path"`
	Segments int    `json:"segments"`
	Bytes    int64  `json:"bytes"`
}

func (s *server) saveCapture(ctx context.Context, text json.RawMessage) (any, error) {
	var o SaveRequest
	if err := json.Unmarshal(text, &o); err != nil {
		return nil, err
	}
	if o.Reason == "" {
		o.Reason = "ordered"
	}
	saved, err := s.gateway.SaveIncident(ctx, o.Reason)
	return SaveResponse{saved.Path, saved.Segments, saved.Bytes}, err
}
