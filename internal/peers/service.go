// Package peers is a gateway's link to the other gateways: one socket for datagrams,
// one port that tells which life of the process answers, and the clock. What is decided
// stands in packages membership and takeover.
package peers

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"archknot/internal/membership"
	"archknot/internal/takeover"
)

// Options of a gateway's link.
type Options struct {
	Name                string
	ListenAddr          string   // host:port for datagrams and probes
	AdvertiseAddr       string   // where others reach it, if not there
	Zone                string   // where it stands
	Seeds               []string // addresses of some others
	Backups             int      // keepers of each request
	Permits             int      // further attempts allowed after the first
	ReplyTimeout        time.Duration
	RecordTTL           time.Duration
	FreezeThreshold     time.Duration // a gap in the gateway's own time that makes it ask before it goes on
	HandOverDelay       time.Duration // how long after SIGTERM what is in hand goes on before others get it
	MaxRecords          int           // of others' requests, in all
	MaxRecordsPerHolder int           // and for one gateway
	RandomSeed          uint64
}

// Service is a running link.
type Service struct {
	options   Options
	self      takeover.Member
	udp       *net.UDPConn
	tcp       net.Listener
	startedAt time.Time

	mu               sync.Mutex
	node             *takeover.Node
	table            *membership.Table
	leases           map[string]*Lease
	unreplicated     map[string]bool // held requests that nobody was there to keep
	claims           map[string]*pendingClaim
	batches          map[string]*messageBatch // by name; words that can wait a little
	flushScheduled   bool                     // is on its way
	lastFlush        int64                    // when batches last went
	resolvedAddrs    map[string]netip.AddrPort
	probing          map[string]bool
	zones            map[string]string
	backupCandidates []takeover.Member // that may be keepers; of table version
	tableVersion     uint64
	datagramsSent    uint64
	datagramsFailed  uint64

	lastHeartbeat atomic.Int64 // when this process was last seen to run
	freezes       atomic.Int64 // gaps that were noticed
}

// pendingClaim is one that waits for its answer.
type pendingClaim struct {
	result chan takeover.Output
	cancel func()
	lease  *Lease
}

type messageBatch struct {
	to       takeover.Member
	messages []takeover.Message
	size     int
}

// probes at once, and how long words of little haste wait for company.
const (
	maxConcurrentProbes  = 16
	batchDelay           = 3 * time.Millisecond
	maxHeartbeatInterval = 100 * time.Millisecond
)

// Start opens a link. It ends with Close.
func Start(o Options) (*Service, error) {
	tcp, err := net.Listen("tcp", o.ListenAddr)
	if err != nil {
		return nil, fmt.Errorf("peers: %w", err)
	}
	addr := tcp.Addr().(*net.TCPAddr)
	udp, err := net.ListenUDP("udp", &net.UDPAddr{IP: addr.IP, Port: addr.Port, Zone: addr.Zone})
	if err != nil {
		tcp.Close()
		return nil, fmt.Errorf("peers: %w", err)
	}
	_ = udp.SetReadBuffer(1 << 20) // a wish; less will do
	if o.AdvertiseAddr == "" {
		o.AdvertiseAddr = addr.String()
	}
	began := time.Now()
	s := &Service{options: o, self: takeover.Member{Name: o.Name, Incarnation: uint64(began.UnixNano())}, udp: udp, tcp: tcp, startedAt: began,
		leases: map[string]*Lease{}, unreplicated: map[string]bool{}, claims: map[string]*pendingClaim{}, batches: map[string]*messageBatch{}, resolvedAddrs: map[string]netip.AddrPort{},
		probing: map[string]bool{}, zones: map[string]string{}}
	s.node = takeover.New(s.self, takeover.Settings{Permits: o.Permits, ReplyTimeout: o.ReplyTimeout.Microseconds(), RecordTTL: o.RecordTTL.Microseconds(),
		MaxRecords: o.MaxRecords, MaxRecordsPerHolder: o.MaxRecordsPerHolder})
	s.table = membership.New(membership.MemberInfo{Member: s.self, Addr: o.AdvertiseAddr, Zone: o.Zone}, o.Seeds, membership.DefaultSettings(), o.RandomSeed)
	s.lastHeartbeat.Store(s.now())
	return s, nil
}

// Addr is where the link listens.
func (s *Service) Addr() string { return s.tcp.Addr().String() }

func (s *Service) now() int64 { return time.Since(s.startedAt).Microseconds() }

// Run serves the link until the context ends.
func (s *Service) Run(ctx context.Context) {
	go s.serveProbes()
	go s.readDatagrams()
	// Each beat wakes an idle process: no more of them than a freeze needs to be seen.
	t := time.NewTicker(min(maxHeartbeatInterval, s.options.FreezeThreshold/4))
	defer t.Stop()
	defer s.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.recordHeartbeat()
			s.mu.Lock()
			now := s.now()
			s.table.Tick(now)
			s.node.Tick(now)
			for id := range s.unreplicated {
				if len(s.backupCandidates) > 0 {
					s.node.SetBackups(now, id, s.selectBackups(id, s.options.Backups))
					delete(s.unreplicated, id)
				}
			}
			s.runOutputs(now)
			s.mu.Unlock()
		}
	}
}

// Close ends the link. The port stays open to the very end of the process: a refused
// probe is taken for its death.
func (s *Service) Close() {
	s.udp.Close()
	s.tcp.Close()
}

// recordHeartbeat notes that the process runs, and whether it has not for long.
func (s *Service) recordHeartbeat() {
	now := s.now()
	if was := s.lastHeartbeat.Swap(now); now-was >= s.options.FreezeThreshold.Microseconds() {
		n := s.freezes.Add(1)
		slog.Info("frozen", "ms", (now-was)/1000, "times", n)
	}
}

// serveProbes tells whoever dials which life of the gateway answers.
func (s *Service) serveProbes() {
	room := make(chan struct{}, maxConcurrentProbes)
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			return
		}
		room <- struct{}{}
		go func() {
			defer func() { c.Close(); <-room }()
			_ = c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprintf(c, "%s %d\n", s.self.Name, s.self.Incarnation)
			io.Copy(io.Discard, io.LimitReader(c, 256)) // who asks: that the close is none with data unread
		}()
	}
}

func (s *Service) readDatagrams() {
	b := make([]byte, maxDatagramSize)
	for {
		n, _, err := s.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // told of a datagram of ours that found nobody
		}
		d, err := decodeDatagram(b[:n])
		if err != nil || d.from.Name == s.self.Name {
			continue
		}
		s.recordHeartbeat()
		s.mu.Lock()
		now := s.now()
		s.table.Receive(now, d.from, d.gossip)
		s.syncMembers(now)
		for _, w := range d.messages {
			s.node.Receive(now, d.from, w)
		}
		s.runOutputs(now)
		s.mu.Unlock()
	}
}

// syncMembers tells the take-overs of processes that the members have proof of.
func (s *Service) syncMembers(now int64) {
	if v := s.table.Version(); v != s.tableVersion {
		s.tableVersion, s.backupCandidates = v, s.backupCandidates[:0]
		clear(s.zones)
		s.zones[s.options.Name] = s.options.Zone
		for _, m := range s.table.Members() {
			switch m.State {
			case membership.Dead:
				s.node.ConfirmDead(now, m.Member)
			case membership.Alive, membership.Suspect:
				if m.Incarnation > 0 {
					s.node.ConfirmDead(now, takeover.Member{Name: m.Name, Incarnation: m.Incarnation - 1}) // its earlier lives
				}
				s.backupCandidates = append(s.backupCandidates, m.Member)
			}
			s.zones[m.Name] = m.Zone
		}
	}
}

// runOutputs carries out what was ordered. The caller holds the lock.
func (s *Service) runOutputs(now int64) {
	for {
		s.syncMembers(now)
		gossip, orders := s.table.Outputs(), s.node.Outputs()
		if len(gossip)+len(orders) == 0 {
			s.scheduleFlush(now)
			return
		}
		for _, o := range gossip {
			if o.Probe != nil {
				s.probeMember(o.Probe.Member, o.Probe.Addr)
				continue
			}
			s.writeDatagram(o.To, &datagram{from: s.self, gossip: o.Message})
		}
		for _, o := range orders {
			s.runTakeoverOutput(now, o)
		}
	}
}

func (s *Service) runTakeoverOutput(now int64, o takeover.Output) {
	switch o.Action {
	case takeover.ActionSend:
		if o.To == s.self {
			s.node.Receive(now, s.self, o.Message)
			return
		}
		s.enqueue(o.To, o.Message)
	case takeover.ActionProbe:
		if m, ok := s.table.Member(o.To.Name); ok {
			s.probeMember(o.To, m.Addr)
		}
	case takeover.ActionClaimResult:
		if c := s.claims[o.RequestID]; c != nil {
			delete(s.claims, o.RequestID)
			if o.OK { // held from this moment: the next word may be that it is lost again
				c.lease = s.addLease(o.RequestID, c.cancel)
			}
			c.result <- o
		}
	case takeover.ActionPermitResult, takeover.ActionLeaseCheckResult:
		if h := s.leases[o.RequestID]; h != nil {
			h.deliver(o)
		}
	case takeover.ActionStop:
		if h := s.leases[o.RequestID]; h != nil {
			h.Lost.Store(true)
			go h.cancel()
		} else {
			s.node.Stopped(now, o.RequestID, true)
		}
	}
}

// enqueue sends a word to a member. First notes can wait a little for company: nobody
// waits for them.
func (s *Service) enqueue(to takeover.Member, m takeover.Message) {
	b := s.batches[to.Name]
	if b == nil {
		b = &messageBatch{to: to}
		s.batches[to.Name] = b
	}
	b.messages = append(b.messages, m)
	b.size += 64 + len(m.RequestID) + 24*(len(m.Backups)+len(m.ProvenDead))
	if m.Kind != takeover.MsgReplicate || b.size > targetDatagramSize {
		s.sendBatch(b)
	}
}

// scheduleFlush sends the first notes of requests: at once where none went a moment ago, or else
// together with those that come until then. A timer for each woke the process once more
// a request.
func (s *Service) scheduleFlush(now int64) {
	if len(s.batches) == 0 || s.flushScheduled {
		return
	}
	if now-s.lastFlush >= batchDelay.Microseconds() {
		s.flushBatches(now)
		return
	}
	s.flushScheduled = true
	time.AfterFunc(batchDelay, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.flushScheduled = false
		s.flushBatches(s.now())
	})
}

func (s *Service) flushBatches(now int64) {
	s.lastFlush = now
	for _, b := range s.batches {
		s.sendBatch(b)
	}
}

func (s *Service) sendBatch(b *messageBatch) {
	delete(s.batches, b.to.Name)
	if m, ok := s.table.Member(b.to.Name); ok {
		s.writeDatagram(m.Addr, &datagram{from: s.self, gossip: membership.Message{Updates: s.table.Piggyback(4)}, messages: b.messages})
	}
}

func (s *Service) writeDatagram(to string, d *datagram) {
	addr, ok := s.resolvedAddrs[to]
	if !ok {
		a, err := net.ResolveUDPAddr("udp", to)
		if err != nil {
			s.datagramsFailed++
			return
		}
		ip, _ := netip.AddrFromSlice(a.IP)
		addr = netip.AddrPortFrom(ip.Unmap(), uint16(a.Port))
		if len(s.resolvedAddrs) > 2048 {
			clear(s.resolvedAddrs)
		}
		s.resolvedAddrs[to] = addr
	}
	b, err := d.encode()
	if err == nil {
		_, err = s.udp.WriteToUDPAddrPort(b, addr)
	}
	if err != nil {
		s.datagramsFailed++
	} else {
		s.datagramsSent++
	}
}

// probeMember dials a member's port: refused, or answered by a later life, is the proof that
// the process has ended. Silence proves nothing.
func (s *Service) probeMember(who takeover.Member, addr string) {
	if s.probing[who.Name] || len(s.probing) >= maxConcurrentProbes {
		return
	}
	s.probing[who.Name] = true
	go func() {
		life, err := dialIncarnation(addr, s.self.Name, who.Name, s.options.ReplyTimeout)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.probing, who.Name)
		now := s.now()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED) || err == nil && life > who.Incarnation:
			slog.Info("peer_dead", "peer", who.Name, "incarnation", who.Incarnation, "answered_by", life)
			s.table.ConfirmDead(now, who)
			s.node.ConfirmDead(now, who)
		case err == nil && life == who.Incarnation:
			s.table.ConfirmAlive(now, who)
		}
		s.runOutputs(now)
	}()
}

func dialIncarnation(addr, self, name string, limit time.Duration) (life uint64, err error) {
	c, err := net.DialTimeout("tcp", addr, limit)
	if err != nil {
		return 0, err
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(limit))
	fmt.Fprintf(c, "%s 0\n", self)
	line, err := bufio.NewReader(io.LimitReader(c, 256)).ReadString('\n')
	if err != nil {
		return 0, err
	}
	who, text, _ := strings.Cut(strings.TrimSpace(line), " ")
	if who != name {
		return 0, fmt.Errorf("%s: %.64q answers in the place of %s", addr, who, name)
	}
	return strconv.ParseUint(text, 10, 64)
}

// Stats are what the link has done and knows.
type Stats struct {
	Members, Records, Leases                        int
	DatagramsSent, DatagramsFailed, RecordsRejected uint64
	Freezes                                         int64
}

// Stats tells them.
func (s *Service) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, refused := s.node.RecordCounts()
	return Stats{Members: len(s.backupCandidates), Records: records, Leases: len(s.leases), DatagramsSent: s.datagramsSent, DatagramsFailed: s.datagramsFailed, RecordsRejected: refused, Freezes: s.freezes.Load()}
}

// Leave has the others choose other keepers from now on.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Leave(s.now())
	s.runOutputs(s.now())
}

// HandOverDelay is how long what is in hand at SIGTERM goes on here.
func (s *Service) HandOverDelay() time.Duration { return s.options.HandOverDelay }

// HandOverDelay gives up all that is held: the clients ask others for the rest.
func (s *Service) HandOver() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.leases {
		h.Lost.Store(true)
		go h.cancel()
		n++
	}
	return n
}
