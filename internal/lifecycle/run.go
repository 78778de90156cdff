package lifecycle

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"archknot/internal/adminapi"
	"archknot/internal/buildinfo"
	"archknot/internal/config"
	"archknot/internal/configversion"
	"archknot/internal/controlsocket"
	"archknot/internal/gateway"
	"archknot/internal/metrics"
	"archknot/internal/sibling"
	"archknot/internal/xdsclient"
)

// processStartedAt is when the process began to initialize its packages.
var processStartedAt = time.Now()

// startupPagesDelay is the time after the start at which memory pages that only startup needs are released.
const startupPagesDelay = 1500 * time.Millisecond

// ConfigError is returned by Run if the gateway cannot start because of its configuration.
type ConfigError struct{ Err error }

// Error returns the text of the underlying error.
func (e ConfigError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e ConfigError) Unwrap() error { return e.Err }

// server is a running gateway with its listeners and settings. Its methods are called in the goroutine of
// Run, except Apply, restartCaptures, the handlers of the control socket, and the methods that they call.
type server struct {
	getenv         func(string) string
	settingsFile   string // path; "" if there is none
	config         Config // as loaded at start
	gateway        *gateway.Gateway
	discovery      string // address of the discovery service in use
	controlSocket  *controlsocket.Server
	metricsServer  *metrics.Server   // nil: none
	configStream   *xdsclient.Client // nil: no control service
	versionStore   *xdsclient.Store  // nil: no control service, or it has no store
	captureChanges chan *config.Config
	busyResources  busyResources

	mu            sync.Mutex            // protects the fields below
	fileSettings  *config.Config        // replaced, never changed
	activeVersion *configversion.Config // streamed; takes precedence over the file; nil: none
}

// Run starts the gateway and serves until SIGTERM or SIGINT; then it drains the gateway and returns nil.
// SIGHUP reloads NODE_CONFIG and the settings file, whose path is settingsFile; "" stands for defaults. The
// error is a ConfigError if the configuration is at fault.
func Run(getenv func(string) string, settingsFile string) error {
	events := newEvents()
	defer events.stop()
	s, err := loadServer(getenv, settingsFile)
	if err != nil {
		return ConfigError{err}
	}
	// First of all that takes time, so that a predecessor that may end meanwhile is found.
	s.config.Gateway.Orders = openOrders(&s.config, s.getenv("TMPDIR"))
	closeStream, err := s.openConfigStream()
	if err != nil {
		return ConfigError{err}
	}
	defer closeStream()
	ledgerStore, err := openLedger(s.fileSettings.Contracts.StorePath, s.mayReplaceProcess())
	if err != nil {
		return ConfigError{err}
	}
	if ledgerStore != nil {
		defer ledgerStore.Close()
		s.config.Gateway.Ledger = ledgerStore
		if err := s.openOrTakeOver(contractStore, ledgerStore.Acquire); err != nil {
			return ConfigError{err}
		}
	}
	if err := s.newGateway(); err != nil {
		return err
	}
	listener, err := s.listen()
	if err != nil {
		return err
	}
	return s.serve(listener, events)
}

// events has the channels on which the goroutine of Run waits.
type events struct {
	terminate   chan os.Signal
	hangup      chan os.Signal
	reload      chan time.Time // when the earliest SIGHUP arrived that is not handled yet
	serveResult chan error     // the result of gateway.Serve
	drainResult chan error     // the result of gateway.Drain
}

// newEvents registers for signals. It is called before any other step of the start, because SIGHUP ends
// the process by default.
func newEvents() *events {
	e := &events{
		terminate:   make(chan os.Signal, 1),
		hangup:      make(chan os.Signal, 1),
		reload:      make(chan time.Time, 1),
		serveResult: make(chan error, 1),
		drainResult: make(chan error, 1),
	}
	signal.Notify(e.terminate, syscall.SIGTERM, os.Interrupt)
	signal.Notify(e.hangup, syscall.SIGHUP)
	go e.timestampHangups()
	return e
}

// timestampHangups notes when each SIGHUP arrives, because a reload of before may still run for a second. A
// SIGHUP that meets a waiting one is covered by it.
func (e *events) timestampHangups() {
	for range e.hangup {
		select {
		case e.reload <- time.Now():
		default:
		}
	}
}

func (e *events) stop() {
	signal.Stop(e.hangup) // nothing is sent to the channel from here on
	close(e.hangup)
	signal.Stop(e.terminate)
}

// loadServer reads the settings file and the configuration.
func loadServer(getenv func(string) string, settingsFile string) (*server, error) {
	s := &server{getenv: getenv, settingsFile: settingsFile, captureChanges: make(chan *config.Config, 1), busyResources: busyResources{}}
	var err error
	if s.fileSettings, err = config.Load(settingsFile); err != nil {
		return nil, err
	}
	setLogLevel(s.fileSettings.Log.Level)
	if s.config, err = Load(getenv); err != nil {
		return nil, err
	}
	s.discovery = s.config.Gateway.Discovery
	return s, nil
}

// newGateway completes the gateway's options, applies the limits of the runtime, and creates the gateway.
func (s *server) newGateway() error {
	o := &s.config.Gateway
	o.StartedAt = processStartedAt
	o.SharedListener = s.config.ListenFD > 0
	o.Contracts = contractOptions(s.fileSettings)
	o.Capture = captureOptions(o.Name, s.fileSettings)
	o.Subset = subsetSettings(s.fileSettings.Subset, &o.Settings)
	runtime.GOMAXPROCS(s.config.Cores)
	debug.SetMemoryLimit(s.config.MemoryMB * mebibyte)
	var err error
	if o.Peers, err = startPeers(s.fileSettings.Peers, *o, s.mayReplaceProcess()); err != nil {
		return err
	}
	if s.mayReplaceProcess() {
		o.Siblings = sibling.New(o.Name, s.config.Listen)
	}
	if s.gateway, err = gateway.New(*o); err != nil {
		return fmt.Errorf("settings: %w", err)
	}
	return nil
}

// serve runs the gateway and its listeners and background tasks until the gateway has drained.
func (s *server) serve(listener net.Listener, events *events) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	s.logStart()
	defer s.startAdmin()()
	s.config.logUnknownKeys()
	s.gateway.SetUnknownKeys(s.config.UnknownKeyCount)
	go func() { events.serveResult <- s.gateway.Serve(ctx, listener) }()
	streamEnded := s.startConfigStream(ctx)
	defer func() {
		cancel()
		<-streamEnded
	}()
	go s.restartCaptures(ctx)
	time.AfterFunc(startupPagesDelay, func() {
		if _, err := releaseStartupPages(); err != nil {
			slog.Debug("startup_pages_release_failed", "err", err)
		}
	})
	return s.handleEvents(ctx, events)
}

func (s *server) logStart() {
	o := &s.config.Gateway
	slog.Info("start", "name", o.Name, "listen", s.config.Listen, "discovery", o.Discovery, "cores", s.config.Cores,
		"heap_mb", s.config.MemoryMB, "client_conns", o.MaxClientConns, "replica_conns", o.MaxReplicaConns,
		"conf", s.settingsFile, "capture", s.fileSettings.Capture.Record, "build", buildinfo.Version())
}

// startAdmin serves the operators' address, if there is one, and keeps the maintenance orders in sync with
// their file. Both continue until stop is called, including while the gateway drains.
func (s *server) startAdmin() (stop func()) {
	if s.config.Admin == "" {
		return func() {}
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.config.Gateway.Orders.Listen() // before this process says that it can serve, and its predecessor may end
	go s.config.Gateway.Orders.Run(ctx)
	admin := adminapi.Listen(s.config.Admin, s.gateway, s.gateway.AdminCalls())
	return func() {
		admin.Close()
		cancel()
	}
}

// startConfigStream runs the client of the control service, if there is one, in the background until the
// context ends. The gateway starts to serve without waiting for the control service.
func (s *server) startConfigStream(ctx context.Context) (ended <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		if s.configStream != nil {
			s.configStream.Run(ctx)
		}
	}()
	return done
}

// handleEvents reloads and drains the gateway on signals, and returns when it has drained or cannot serve.
// The context must not end before.
func (s *server) handleEvents(ctx context.Context, events *events) error {
	serveResult := events.serveResult
	draining := false
	for {
		select {
		case err := <-serveResult:
			if !draining {
				return fmt.Errorf("listen: %w", err)
			}
			serveResult = nil // the drain has ended Serve; a nil channel is never ready
		case orderedAt := <-events.reload: // also while the gateway drains
			s.reload(ctx, orderedAt)
		case <-s.nextTakeOver():
			s.takeOver()
		case sig := <-events.terminate:
			if draining {
				continue
			}
			draining = true
			slog.Info("drain", "signal", sig.String())
			go func() { events.drainResult <- s.gateway.Drain(ctx) }()
		case err := <-events.drainResult:
			s.saveAtShutdown(ctx)
			if err != nil {
				return fmt.Errorf("drain: %w", err)
			}
			slog.Info("stop")
			return nil
		}
	}
}
