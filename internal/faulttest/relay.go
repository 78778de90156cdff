// Package drill starts many processes of the program before an emulated fleet, lets
// faults happen to them and between them, and checks the rules by what workers and
// clients saw. Everything is on loopback addresses.
package faulttest

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

// relayNetwork stand before the gateways' links to each other: who speaks to gateway j speaks
// to relay j.
type relayNetwork struct {
	mu         sync.Mutex
	rng        *rand.Rand
	lossRate   float64
	maxDelay   time.Duration
	partitions map[[2]int]bool // from, to
	byPort     map[uint16]int  // the gateways' own ports
	byName     map[string]int
	list       []*relay
}

type relay struct {
	network *relayNetwork
	index   int
	addr    string // where it listens
	target  netip.AddrPort
	udp     *net.UDPConn
	mu      sync.Mutex
	tcp     net.Listener // nil while the gateway's process is dead: a dial is refused then
}

func newRelayNetwork(seed uint64) *relayNetwork {
	return &relayNetwork{rng: rand.New(rand.NewPCG(seed, 99)), partitions: map[[2]int]bool{}, byPort: map[uint16]int{}, byName: map[string]int{}}
}

// add opens the relay before a gateway's link.
func (rs *relayNetwork) add(name, real, addr string) (*relay, error) {
	to, err := netip.ParseAddrPort(real)
	if err != nil {
		return nil, err
	}
	at, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	udp, err := retryListen(func() (*net.UDPConn, error) { return net.ListenUDP("udp", net.UDPAddrFromAddrPort(at)) })
	if err != nil {
		return nil, err
	}
	_ = udp.SetReadBuffer(1 << 20)
	r := &relay{network: rs, index: len(rs.list), target: to, udp: udp, addr: addr}
	rs.mu.Lock()
	rs.list = append(rs.list, r)
	rs.byPort[to.Port()], rs.byName[name] = r.index, r.index
	rs.mu.Unlock()
	if err := r.up(); err != nil {
		udp.Close()
		return nil, err
	}
	go r.forwardDatagrams()
	return r, nil
}

func (rs *relayNetwork) close() {
	for _, r := range rs.list {
		r.udp.Close()
		r.down()
	}
}

// retryListen tries for a moment to listen: a process that is just being started by another
// drill has copies of all sockets of this one until it runs its own program.
func retryListen[T any](listen func() (T, error)) (got T, err error) {
	for end := time.Now().Add(2 * time.Second); ; time.Sleep(5 * time.Millisecond) {
		if got, err = listen(); err == nil || time.Now().After(end) {
			return got, err
		}
	}
}

// up has the relay take dials, as the gateway's port does while its process lives.
func (r *relay) up() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tcp != nil {
		return nil
	}
	l, err := retryListen(func() (net.Listener, error) { return net.Listen("tcp", r.addr) })
	if err != nil {
		return err
	}
	r.tcp = l
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go r.forwardProbe(c)
		}
	}()
	return nil
}

// down has dials refused: the process is dead.
func (r *relay) down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tcp != nil {
		r.tcp.Close()
		r.tcp = nil
	}
}

// setPartition cuts or heals the way from one gateway to another.
func (rs *relayNetwork) setPartition(from, to int, cut bool) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if cut {
		rs.partitions[[2]int{from, to}] = true
	} else {
		delete(rs.partitions, [2]int{from, to})
	}
}

// transmit tells whether, and when, something goes through.
func (rs *relayNetwork) transmit(from, to int, datagram bool) (bool, time.Duration) {
	rs.mu.Lock()
	defer rs.mu.Unlock()
	if rs.partitions[[2]int{from, to}] || datagram && rs.lossRate > 0 && rs.rng.Float64() < rs.lossRate {
		return false, 0
	}
	if datagram && rs.maxDelay > 0 {
		return true, time.Duration(rs.rng.Float64() * float64(rs.maxDelay))
	}
	return true, 0
}

func (r *relay) forwardDatagrams() {
	b := make([]byte, 64<<10)
	for {
		n, from, err := r.udp.ReadFromUDPAddrPort(b)
		if err != nil {
			if strings.Contains(err.Error(), "closed") {
				return
			}
			continue // told that the gateway's port is closed
		}
		r.network.mu.Lock()
		i, ok := r.network.byPort[from.Port()]
		r.network.mu.Unlock()
		if !ok {
			continue
		}
		if pass, late := r.network.transmit(i, r.index, true); pass && late > 0 {
			text := append([]byte(nil), b[:n]...)
			time.AfterFunc(late, func() { r.udp.WriteToUDPAddrPort(text, r.target) })
		} else if pass {
			r.udp.WriteToUDPAddrPort(b[:n], r.target)
		}
	}
}

// forwardProbe passes on a probe, which begins with who asks. One that may not pass is left
// without an answer, as on a network that is cut.
func (r *relay) forwardProbe(c net.Conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	line, err := bufio.NewReader(io.LimitReader(c, 256)).ReadString('\n')
	if err != nil {
		return
	}
	who, _, _ := strings.Cut(line, " ")
	r.network.mu.Lock()
	i, ok := r.network.byName[who]
	r.network.mu.Unlock()
	there, _ := r.network.transmit(i, r.index, false)
	back, _ := r.network.transmit(r.index, i, false)
	if !ok || !there || !back {
		io.Copy(io.Discard, c) // until the other side has waited long enough
		return
	}
	to, err := net.DialTimeout("tcp", r.target.String(), time.Second)
	if err != nil {
		return
	}
	defer to.Close()
	_ = to.SetDeadline(time.Now().Add(10 * time.Second))
	fmt.Fprint(to, line)
	io.Copy(c, to)
}
