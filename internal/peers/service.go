// Package peers connects a gateway to the other gateways. It provides the sockets, the clock and
// the goroutines for packages membership and takeover, which make all decisions: one UDP socket
// for datagrams, and one TCP port of the same number that answers probes with the process's
// incarnation.
package peers

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"archknot/internal/membership"
	"archknot/internal/takeover"
)

const (
	// maxHeartbeatInterval is the longest time between two heartbeats of the process.
	maxHeartbeatInterval = 100 * time.Millisecond
	// heartbeatsPerFreeze is the least number of heartbeats within Options.FreezeThreshold. It is
	// no more than the detection of a freeze needs, because each heartbeat wakes an idle process.
	heartbeatsPerFreeze = 4
	// receiveBufferSize is the requested size of the socket's receive buffer in bytes.
	receiveBufferSize = 1 << 20
	// addressRetryInterval is the pause between two attempts to open the sockets while another process has the address.
	addressRetryInterval = 250 * time.Millisecond
)

// Options are the parameters of a Service.
type Options struct {
	Name                string
	ListenAddr          string   // host:port for datagrams and probes
	AdvertiseAddr       string   // where others reach it; empty: the address it listens on
	Zone                string   // of the gateway
	Seeds               []string // addresses of some other gateways
	Backups             int      // of each request
	Permits             int      // retries allowed for each request
	ReplyTimeout        time.Duration
	RecordTTL           time.Duration // how long a record is stored after its holder's last message
	FreezeThreshold     time.Duration // a gap between heartbeats after which leases are checked
	HandOverDelay       time.Duration // from SIGTERM to the hand-over of requests in flight
	MaxRecords          int           // of other gateways' requests
	MaxRecordsPerHolder int
	RandomSeed          uint64
	// AwaitAddress makes the service start without its sockets if another process has ListenAddr, as the old
	// process of an upgrade does. Until that ends, this gateway has no part in the membership, and leases
	// are not replicated.
	AwaitAddress bool
}

// Service exchanges datagrams and probes with the other gateways. Its methods may be called from
// any goroutine.
type Service struct {
	options   Options
	self      takeover.Member
	startedAt time.Time

	mu               sync.Mutex   // guards the fields below
	udp              *net.UDPConn // like tcp nil until the address is free, and set once
	tcp              net.Listener
	closed           bool
	node             *takeover.Node
	table            *membership.Table
	leases           map[string]*Lease        // by request id, like unreplicated and claims
	unreplicated     map[string]bool          // leases acquired while no other gateway was known
	claims           map[string]*pendingClaim // claims whose result is pending
	batches          map[string]*messageBatch // by member
	flushScheduled   bool
	lastFlush        int64 // in microseconds since startedAt
	resolvedAddrs    map[string]netip.AddrPort
	probing          map[string]bool   // members with a pending probe
	zones            map[string]string // by member
	backupCandidates []takeover.Member // alive or suspect, as of tableVersion
	tableVersion     uint64
	datagramsSent    uint64
	datagramsFailed  uint64

	lastHeartbeat atomic.Int64 // in microseconds since startedAt
	freezes       atomic.Int64 // gaps between heartbeats of at least FreezeThreshold
}

// Start opens the sockets. Run serves them until Close.
func Start(options Options) (*Service, error) {
	tcp, udp, err := listen(options.ListenAddr)
	busy := options.AwaitAddress && errors.Is(err, syscall.EADDRINUSE)
	if err != nil && !busy {
		return nil, err
	}
	if options.AdvertiseAddr == "" {
		if options.AdvertiseAddr, err = ownAddr(tcp, options.ListenAddr); err != nil {
			return nil, err
		}
	}
	startedAt := time.Now()
	s := &Service{
		options:       options,
		self:          takeover.Member{Name: options.Name, Incarnation: uint64(startedAt.UnixNano())},
		udp:           udp,
		tcp:           tcp,
		startedAt:     startedAt,
		leases:        map[string]*Lease{},
		unreplicated:  map[string]bool{},
		claims:        map[string]*pendingClaim{},
		batches:       map[string]*messageBatch{},
		resolvedAddrs: map[string]netip.AddrPort{},
		probing:       map[string]bool{},
		zones:         map[string]string{},
	}
	s.node = takeover.New(s.self, takeover.Settings{
		Permits:             options.Permits,
		ReplyTimeout:        options.ReplyTimeout.Microseconds(),
		RecordTTL:           options.RecordTTL.Microseconds(),
		MaxRecords:          options.MaxRecords,
		MaxRecordsPerHolder: options.MaxRecordsPerHolder,
	})
	self := membership.MemberInfo{Member: s.self, Addr: options.AdvertiseAddr, Zone: options.Zone}
	s.table = membership.New(self, options.Seeds, membership.DefaultSettings(), options.RandomSeed)
	s.lastHeartbeat.Store(s.now())
	return s, nil
}

// ownAddr returns the address that the service listens on, or will listen on if listener is nil.
func ownAddr(listener net.Listener, listenAddr string) (string, error) {
	if listener != nil {
		return listener.Addr().String(), nil
	}
	addr, err := net.ResolveTCPAddr("tcp", listenAddr)
	if err != nil {
		return "", fmt.Errorf("peers: %w", err)
	}
	return addr.String(), nil
}

// listen opens a TCP listener and a UDP socket on the same address and port.
func listen(address string) (net.Listener, *net.UDPConn, error) {
	tcp, err := net.Listen("tcp", address)
	if err != nil {
		return nil, nil, fmt.Errorf("peers: %w", err)
	}
	addr, ok := tcp.Addr().(*net.TCPAddr)
	if !ok {
		tcp.Close()
		return nil, nil, fmt.Errorf("peers: %s listens on %s, expected a TCP address", address, tcp.Addr())
	}
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port, Zone: addr.Zone})
	if err != nil {
		tcp.Close()
		return nil, nil, fmt.Errorf("peers: %w", err)
	}
	_ = udp.SetReadBuffer(receiveBufferSize) // an error is ignored: a smaller buffer also works
	return tcp, udp, nil
}

// Addr returns the address that the service listens on, or will listen on.
func (s *Service) Addr() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.tcp == nil {
		return s.options.ListenAddr
	}
	return s.tcp.Addr().String()
}

// now returns the microseconds since the start.
func (s *Service) now() int64 { return time.Since(s.startedAt).Microseconds() }

// Run serves the sockets until the context ends, then closes them.
func (s *Service) Run(ctx context.Context) {
	go s.serveSockets(ctx)
	ticker := time.NewTicker(min(maxHeartbeatInterval, s.options.FreezeThreshold/heartbeatsPerFreeze))
	defer ticker.Stop()
	defer s.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.recordHeartbeat()
			s.tick()
		}
	}
}

// serveSockets serves the sockets until they are closed. If another process has the address, it first waits until that
// is free.
func (s *Service) serveSockets(ctx context.Context) {
	for waited := false; !s.listening(); waited = true {
		if !waited {
			slog.Warn("listener_busy", "listener", "peers", "listen", s.options.ListenAddr)
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(addressRetryInterval):
		}
		if tcp, udp, err := listen(s.options.ListenAddr); err == nil {
			s.setSockets(tcp, udp)
			slog.Info("listener_opened", "listener", "peers")
		}
	}
	go s.serveProbes(s.tcp) // neither changes from here on
	s.readDatagrams(s.udp)
}

func (s *Service) listening() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tcp != nil
}

// setSockets sets the sockets, or closes them if the service is closed.
func (s *Service) setSockets(tcp net.Listener, udp *net.UDPConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.tcp, s.udp = tcp, udp
	if s.closed {
		s.closeSockets()
	}
}

// tick advances the membership and the takeovers to the present time. A gateway without sockets has no part in
// the membership yet.
func (s *Service) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := s.now()
	if s.tcp != nil {
		s.table.Tick(now)
	}
	s.node.Tick(now)
	if len(s.backupCandidates) > 0 {
		for id := range s.unreplicated {
			s.node.SetBackups(now, id, s.selectBackups(id, s.options.Backups))
			delete(s.unreplicated, id)
		}
	}
	s.runOutputs(now)
}

// Close closes the sockets. The process has to end right after it: a refused probe proves to
// the other gateways that it is dead.
func (s *Service) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	if s.tcp != nil {
		s.closeSockets()
	}
}

func (s *Service) closeSockets() {
	s.udp.Close()
	s.tcp.Close()
}

// recordHeartbeat records the time of a heartbeat, and counts a freeze if the last heartbeat is at
// least Options.FreezeThreshold ago.
func (s *Service) recordHeartbeat() {
	now := s.now()
	if last := s.lastHeartbeat.Swap(now); now-last >= s.options.FreezeThreshold.Microseconds() {
		freezes := s.freezes.Add(1)
		slog.Info("frozen", "ms", (now-last)/1000, "times", freezes)
	}
}

// Stats are the counters and gauges of a Service.
type Stats struct {
	Members         int // other gateways that are alive or suspect
	Records         int // of other gateways' requests
	Leases          int
	DatagramsSent   uint64
	DatagramsFailed uint64 // could not be sent
	RecordsRejected uint64 // because of MaxRecords and MaxRecordsPerHolder
	Freezes         int64  // of this process
}

// Stats returns the current values.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, rejected := s.node.RecordCounts()
	return Stats{
		Members:         len(s.backupCandidates),
		Records:         records,
		Leases:          len(s.leases),
		DatagramsSent:   s.datagramsSent,
		DatagramsFailed: s.datagramsFailed,
		RecordsRejected: rejected,
		Freezes:         s.freezes.Load(),
	}
}

// Leave notifies some other gateways, which spread it, that this one leaves, so that they no longer
// select it as a backup.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Leave(s.now())
	s.runOutputs(s.now())
}

// HandOverDelay returns how long requests in flight at SIGTERM continue here.
func (s *Service) HandOverDelay() time.Duration { return s.options.HandOverDelay }

// HandOver marks all leases as lost and cancels their requests, so that the clients resume them at
// other gateways. It returns the number of leases.
func (s *Service) HandOver() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, lease := range s.leases {
		lease.lose()
	}
	return len(s.leases)
}
