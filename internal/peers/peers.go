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
	Name      string
	Listen    string   // host:port for datagrams and probes
	Advertise string   // where others reach it, if not there
	Site      string   // where it stands
	Join      []string // addresses of some others
	Copies    int      // keepers of each request
	Permits   int      // further attempts allowed after the first
	Silence   time.Duration
	Remember  time.Duration
	Frozen    time.Duration // a gap in the gateway's own time that makes it ask before it goes on
	HandOver  time.Duration // how long after SIGTERM what is in hand goes on before others get it
	Records   int           // of others' requests, in all
	Each      int           // and for one gateway
	Seed      uint64
}

// Service is a running link.
type Service struct {
	o     Options
	self  takeover.Member
	udp   *net.UDPConn
	tcp   net.Listener
	began time.Time

	mu      sync.Mutex
	node    *takeover.Node
	table   *membership.Table
	held    map[string]*Held
	alone   map[string]bool // held requests that nobody was there to keep
	claims  map[string]*claim
	batches map[string]*batch // by name; words that can wait a little
	flush   bool              // is on its way
	flushed int64             // when batches last went
	addrs   map[string]netip.AddrPort
	probing map[string]bool
	sites   map[string]string
	members []takeover.Member // that may be keepers; of table version
	version uint64
	sent    uint64
	failed  uint64

	beat    atomic.Int64 // when this process was last seen to run
	freezes atomic.Int64 // gaps that were noticed
}

// claim is one that waits for its answer.
type claim struct {
	answer chan takeover.Output
	stop   func()
	held   *Held
}

type batch struct {
	to    takeover.Member
	words []takeover.Message
	size  int
}

// probes at once, and how long words of little haste wait for company.
const (
	mostProbes = 16
	wait       = 3 * time.Millisecond
	beatMost   = 100 * time.Millisecond
)

// Start opens a link. It ends with Close.
func Start(o Options) (*Service, error) {
	tcp, err := net.Listen("tcp", o.Listen)
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
	if o.Advertise == "" {
		o.Advertise = addr.String()
	}
	began := time.Now()
	s := &Service{o: o, self: takeover.Member{Name: o.Name, Life: uint64(began.UnixNano())}, udp: udp, tcp: tcp, began: began,
		held: map[string]*Held{}, alone: map[string]bool{}, claims: map[string]*claim{}, batches: map[string]*batch{}, addrs: map[string]netip.AddrPort{},
		probing: map[string]bool{}, sites: map[string]string{}}
	s.node = takeover.New(s.self, takeover.Settings{Permits: o.Permits, Silence: o.Silence.Microseconds(), Remember: o.Remember.Microseconds(),
		Most: o.Records, MostEach: o.Each})
	s.table = membership.New(membership.Info{Member: s.self, Addr: o.Advertise, Site: o.Site}, o.Join, membership.DefaultSettings(), o.Seed)
	s.beat.Store(s.now())
	return s, nil
}

// Addr is where the link listens.
func (s *Service) Addr() string { return s.tcp.Addr().String() }

func (s *Service) now() int64 { return time.Since(s.began).Microseconds() }

// Run serves the link until the context ends.
func (s *Service) Run(ctx context.Context) {
	go s.greet()
	go s.read()
	// Each beat wakes an idle process: no more of them than a freeze needs to be seen.
	t := time.NewTicker(min(beatMost, s.o.Frozen/4))
	defer t.Stop()
	defer s.Close()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			s.alive()
			s.mu.Lock()
			now := s.now()
			s.table.Tick(now)
			s.node.Tick(now)
			for id := range s.alone {
				if len(s.members) > 0 {
					s.node.Keepers(now, id, s.keepers(id, s.o.Copies))
					delete(s.alone, id)
				}
			}
			s.act(now)
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

// alive notes that the process runs, and whether it has not for long.
func (s *Service) alive() {
	now := s.now()
	if was := s.beat.Swap(now); now-was >= s.o.Frozen.Microseconds() {
		n := s.freezes.Add(1)
		slog.Info("frozen", "ms", (now-was)/1000, "times", n)
	}
}

// greet tells whoever dials which life of the gateway answers.
func (s *Service) greet() {
	room := make(chan struct{}, mostProbes)
	for {
		c, err := s.tcp.Accept()
		if err != nil {
			return
		}
		room <- struct{}{}
		go func() {
			defer func() { c.Close(); <-room }()
			_ = c.SetDeadline(time.Now().Add(time.Second))
			fmt.Fprintf(c, "%s %d\n", s.self.Name, s.self.Life)
			io.Copy(io.Discard, io.LimitReader(c, 256)) // who asks: that the close is none with data unread
		}()
	}
}

func (s *Service) read() {
	b := make([]byte, maxDatagram)
	for {
		n, _, err := s.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // told of a datagram of ours that found nobody
		}
		d, err := decode(b[:n])
		if err != nil || d.from.Name == s.self.Name {
			continue
		}
		s.alive()
		s.mu.Lock()
		now := s.now()
		s.table.Recv(now, d.from, d.gossip)
		s.deaths(now)
		for _, w := range d.words {
			s.node.Recv(now, d.from, w)
		}
		s.act(now)
		s.mu.Unlock()
	}
}

// deaths tells the take-overs of processes that the members have proof of.
func (s *Service) deaths(now int64) {
	if v := s.table.Version(); v != s.version {
		s.version, s.members = v, s.members[:0]
		clear(s.sites)
		s.sites[s.o.Name] = s.o.Site
		for _, m := range s.table.Members() {
			switch m.State {
			case membership.Dead:
				s.node.Dead(now, m.Member)
			case membership.Alive, membership.Doubted:
				if m.Life > 0 {
					s.node.Dead(now, takeover.Member{Name: m.Name, Life: m.Life - 1}) // its earlier lives
				}
				s.members = append(s.members, m.Member)
			}
			s.sites[m.Name] = m.Site
		}
	}
}

// act carries out what was ordered. The caller holds the lock.
func (s *Service) act(now int64) {
	for {
		s.deaths(now)
		gossip, orders := s.table.Outputs(), s.node.Outputs()
		if len(gossip)+len(orders) == 0 {
			s.first(now)
			return
		}
		for _, o := range gossip {
			if o.Probe != nil {
				s.probe(o.Probe.Member, o.Probe.Addr)
				continue
			}
			s.write(o.To, &datagram{from: s.self, gossip: o.Msg})
		}
		for _, o := range orders {
			s.order(now, o)
		}
	}
}

func (s *Service) order(now int64, o takeover.Output) {
	switch o.Do {
	case takeover.Send:
		if o.To == s.self {
			s.node.Recv(now, s.self, o.Msg)
			return
		}
		s.post(o.To, o.Msg)
	case takeover.Probe:
		if m, ok := s.table.Member(o.To.Name); ok {
			s.probe(o.To, m.Addr)
		}
	case takeover.Claimed:
		if c := s.claims[o.ID]; c != nil {
			delete(s.claims, o.ID)
			if o.OK { // held from this moment: the next word may be that it is lost again
				c.held = s.enter(o.ID, c.stop)
			}
			c.answer <- o
		}
	case takeover.Permit, takeover.Confirmed:
		if h := s.held[o.ID]; h != nil {
			h.answer(o)
		}
	case takeover.Stop:
		if h := s.held[o.ID]; h != nil {
			h.Lost.Store(true)
			go h.stop()
		} else {
			s.node.Stopped(now, o.ID, true)
		}
	}
}

// post sends a word to a member. First notes can wait a little for company: nobody
// waits for them.
func (s *Service) post(to takeover.Member, m takeover.Message) {
	b := s.batches[to.Name]
	if b == nil {
		b = &batch{to: to}
		s.batches[to.Name] = b
	}
	b.words = append(b.words, m)
	b.size += 64 + len(m.ID) + 24*(len(m.Keepers)+len(m.Dead))
	if m.Kind != takeover.Keep || b.size > wantedSize {
		s.send(b)
	}
}

// first sends the first notes of requests: at once where none went a moment ago, or else
// together with those that come until then. A timer for each woke the process once more
// a request.
func (s *Service) first(now int64) {
	if len(s.batches) == 0 || s.flush {
		return
	}
	if now-s.flushed >= wait.Microseconds() {
		s.sendAll(now)
		return
	}
	s.flush = true
	time.AfterFunc(wait, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.flush = false
		s.sendAll(s.now())
	})
}

func (s *Service) sendAll(now int64) {
	s.flushed = now
	for _, b := range s.batches {
		s.send(b)
	}
}

func (s *Service) send(b *batch) {
	delete(s.batches, b.to.Name)
	if m, ok := s.table.Member(b.to.Name); ok {
		s.write(m.Addr, &datagram{from: s.self, gossip: membership.Message{News: s.table.Carry(4)}, words: b.words})
	}
}

func (s *Service) write(to string, d *datagram) {
	addr, ok := s.addrs[to]
	if !ok {
		a, err := net.ResolveUDPAddr("udp", to)
		if err != nil {
			s.failed++
			return
		}
		ip, _ := netip.AddrFromSlice(a.IP)
		addr = netip.AddrPortFrom(ip.Unmap(), uint16(a.Port))
		if len(s.addrs) > 2048 {
			clear(s.addrs)
		}
		s.addrs[to] = addr
	}
	b, err := d.encode()
	if err == nil {
		_, err = s.udp.WriteToUDPAddrPort(b, addr)
	}
	if err != nil {
		s.failed++
	} else {
		s.sent++
	}
}

// probe dials a member's port: refused, or answered by a later life, is the proof that
// the process has ended. Silence proves nothing.
func (s *Service) probe(who takeover.Member, addr string) {
	if s.probing[who.Name] || len(s.probing) >= mostProbes {
		return
	}
	s.probing[who.Name] = true
	go func() {
		life, err := dial(addr, s.self.Name, who.Name, s.o.Silence)
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.probing, who.Name)
		now := s.now()
		switch {
		case errors.Is(err, syscall.ECONNREFUSED) || err == nil && life > who.Life:
			slog.Info("peer_dead", "peer", who.Name, "incarnation", who.Life, "answered_by", life)
			s.table.Proof(now, who)
			s.node.Dead(now, who)
		case err == nil && life == who.Life:
			s.table.Answers(now, who)
		}
		s.act(now)
	}()
}

func dial(addr, self, name string, limit time.Duration) (life uint64, err error) {
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

// Figures are what the link has done and knows.
type Figures struct {
	Members, Records, Held int
	Sent, Failed, Refused  uint64
	Freezes                int64
}

// Figures tells them.
func (s *Service) Figures() Figures {
	s.mu.Lock()
	defer s.mu.Unlock()
	records, refused := s.node.Kept()
	return Figures{Members: len(s.members), Records: records, Held: len(s.held), Sent: s.sent, Failed: s.failed, Refused: refused, Freezes: s.freezes.Load()}
}

// Leave has the others choose other keepers from now on.
func (s *Service) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.table.Leave(s.now())
	s.act(s.now())
}

// HandOverAfter is how long what is in hand at SIGTERM goes on here.
func (s *Service) HandOverAfter() time.Duration { return s.o.HandOver }

// HandOver gives up all that is held: the clients ask others for the rest.
func (s *Service) HandOver() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, h := range s.held {
		h.Lost.Store(true)
		go h.stop()
		n++
	}
	return n
}
