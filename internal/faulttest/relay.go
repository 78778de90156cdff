package faulttest

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/netip"
	"strings"
	"sync"
	"time"
)

const (
	// listenRetryTime and listenRetryInterval are how long and how often retryListen tries.
	listenRetryTime     = 2 * time.Second
	listenRetryInterval = 5 * time.Millisecond
	// probeConnTimeout bounds a probe's connections through a relay.
	probeConnTimeout = 10 * time.Second
	// maxProbeLine is the most bytes of the line that a probe begins with.
	maxProbeLine = 256
	// relayStream selects the random numbers of relays among those of a seed.
	relayStream = 99
)

// relayNetwork is the network between the gateways: whoever sends to gateway j sends to relay j.
type relayNetwork struct {
	mu         sync.Mutex
	rng        *rand.Rand
	lossRate   float64 // of datagrams
	maxDelay   time.Duration
	partitions map[[2]int]bool // from one gateway to another
	byPort     map[uint16]int  // the gateways by the ports of their own
	byName     map[string]int
	list       []*relay
}

// relay forwards the datagrams and probes for one gateway.
type relay struct {
	network *relayNetwork
	index   int
	addr    string         // where it listens
	target  netip.AddrPort // where the gateway listens
	udp     *net.UDPConn

	mu  sync.Mutex
	tcp net.Listener // nil while the gateway's process is dead, so that probes are refused
}

func newRelayNetwork(seed uint64) *relayNetwork {
	return &relayNetwork{
		rng:        rand.New(rand.NewPCG(seed, relayStream)),
		partitions: map[[2]int]bool{},
		byPort:     map[uint16]int{},
		byName:     map[string]int{},
	}
}

// add opens the relay for a gateway, which listens at target, on addr.
func (n *relayNetwork) add(name, target, addr string) (*relay, error) {
	targetAddr, err := netip.ParseAddrPort(target)
	if err != nil {
		return nil, err
	}
	relayAddr, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, err
	}
	udp, err := retryListen(func() (*net.UDPConn, error) { return net.ListenUDP("udp", net.UDPAddrFromAddrPort(relayAddr)) })
	if err != nil {
		return nil, err
	}
	_ = udp.SetReadBuffer(1 << 20) // a smaller buffer works as well
	r := &relay{network: n, index: len(n.list), target: targetAddr, udp: udp, addr: addr}
	n.mu.Lock()
	n.list = append(n.list, r)
	n.byPort[targetAddr.Port()] = r.index
	n.byName[name] = r.index
	n.mu.Unlock()
	if err := r.up(); err != nil {
		udp.Close()
		return nil, err
	}
	go r.forwardDatagrams()
	return r, nil
}

func (n *relayNetwork) close() {
	for _, r := range n.list {
		r.udp.Close()
		r.down()
	}
}

// retryListen tries to listen for a moment. A process that another drill is just starting holds
// duplicates of all sockets of this process until it executes its own program.
func retryListen[T any](listen func() (T, error)) (listener T, err error) {
	for end := time.Now().Add(listenRetryTime); ; time.Sleep(listenRetryInterval) {
		if listener, err = listen(); err == nil || time.Now().After(end) {
			return listener, err
		}
	}
}

// setPartition cuts or heals the link from one gateway to another.
func (n *relayNetwork) setPartition(from, to int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.partitions[[2]int{from, to}] = true
	} else {
		delete(n.partitions, [2]int{from, to})
	}
}

// setQuality sets the share of datagrams that are lost, and the longest delay of the others.
func (n *relayNetwork) setQuality(lossRate float64, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = lossRate
	n.maxDelay = maxDelay
}

// transmit decides whether something gets from one gateway to another, and after what delay.
func (n *relayNetwork) transmit(from, to int, datagram bool) (ok bool, delay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.partitions[[2]int{from, to}] || datagram && n.lossRate > 0 && n.rng.Float64() < n.lossRate {
		return false, 0
	}
	if datagram && n.maxDelay > 0 {
		return true, time.Duration(n.rng.Float64() * float64(n.maxDelay))
	}
	return true, 0
}

// senderByPort returns the gateway whose process has a port.
func (n *relayNetwork) senderByPort(port uint16) (index int, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	index, ok = n.byPort[port]
	return index, ok
}

func (n *relayNetwork) senderByName(name string) (index int, ok bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	index, ok = n.byName[name]
	return index, ok
}

// up accepts probes, as the gateway's port does while its process lives.
func (r *relay) up() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tcp != nil {
		return nil
	}
	listener, err := retryListen(func() (net.Listener, error) { return net.Listen("tcp", r.addr) })
	if err != nil {
		return err
	}
	r.tcp = listener
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go r.forwardProbe(conn)
		}
	}()
	return nil
}

// down refuses probes: the process is dead.
func (r *relay) down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tcp != nil {
		r.tcp.Close()
		r.tcp = nil
	}
}

// forwardDatagrams forwards datagrams of other gateways until the socket is closed.
func (r *relay) forwardDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := r.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the gateway's port was closed for an earlier datagram
		}
		sender, ok := r.network.senderByPort(from.Port())
		if !ok {
			continue
		}
		ok, delay := r.network.transmit(sender, r.index, true)
		if !ok {
			continue
		}
		if delay == 0 {
			r.writeDatagram(buffer[:size])
			continue
		}
		datagram := append([]byte(nil), buffer[:size]...)
		time.AfterFunc(delay, func() { r.writeDatagram(datagram) })
	}
}

// writeDatagram sends a datagram to the gateway. One that cannot be sent is lost, as on any network.
func (r *relay) writeDatagram(datagram []byte) {
	_, _ = r.udp.WriteToUDPAddrPort(datagram, r.target)
}

// forwardProbe forwards a probe, which begins with the name of the prober. If the link is cut in either
// direction the probe gets no answer.
func (r *relay) forwardProbe(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(probeConnTimeout))
	line, err := bufio.NewReader(io.LimitReader(conn, maxProbeLine)).ReadString('\n')
	if err != nil {
		return
	}
	prober, _, _ := strings.Cut(line, " ")
	sender, known := r.network.senderByName(prober)
	there, _ := r.network.transmit(sender, r.index, false)
	back, _ := r.network.transmit(r.index, sender, false)
	if !known || !there || !back {
		_, _ = io.Copy(io.Discard, conn) // until the prober gives up
		return
	}
	gateway, err := net.DialTimeout("tcp", r.target.String(), time.Second)
	if err != nil {
		return
	}
	defer gateway.Close()
	_ = gateway.SetDeadline(time.Now().Add(probeConnTimeout))
	fmt.Fprint(gateway, line)
	_, _ = io.Copy(conn, gateway) // a broken connection is the prober's to notice
}
