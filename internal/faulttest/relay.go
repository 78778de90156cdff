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
	// listenRetryTime bounds the time for which retryListen tries.
	listenRetryTime = 2 * time.Second
	// listenRetryInterval is the time between two tries of retryListen.
	listenRetryInterval = 5 * time.Millisecond
	// probeConnTimeout bounds the lifetime of a probe's connections through a relay.
	probeConnTimeout = 10 * time.Second
	// maxProbeLine is the maximum length in bytes of a probe's first line.
	maxProbeLine = 256
	// relayStream is the random number stream for the loss and delay of datagrams.
	relayStream = 99
)

// relayNetwork emulates the network between the gateways: datagrams and probes for a gateway pass its relay.
type relayNetwork struct {
	mu         sync.Mutex
	rng        *rand.Rand
	lossRate   float64         // fraction of datagrams that are lost
	maxDelay   time.Duration   // of datagrams
	partitions map[[2]int]bool // cut links, by the indexes of sender and receiver
	byPort     map[uint16]int  // indexes by the gateways' peer ports, not their relays' ports
	byName     map[string]int
	list       []*relay
}

// relay forwards the datagrams and probes for one gateway.
type relay struct {
	network *relayNetwork
	index   int
	addr    string         // listening address of the relay
	target  netip.AddrPort // listening address of the gateway
	udp     *net.UDPConn

	mu  sync.Mutex
	tcp net.Listener // nil while the gateway has no process, so that probes are refused
}

func newRelayNetwork(seed uint64) *relayNetwork {
	return &relayNetwork{
		rng:        rand.New(rand.NewPCG(seed, relayStream)),
		partitions: map[[2]int]bool{},
		byPort:     map[uint16]int{},
		byName:     map[string]int{},
	}
}

// add opens a relay on addr for the gateway that listens on target.
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
	_ = udp.SetReadBuffer(1 << 20) // on failure the default size suffices
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

// retryListen calls listen until it succeeds, for at most listenRetryTime. A port may be busy for a short
// time: a process that another drill starts holds duplicates of all sockets of this process until exec.
func retryListen[T any](listen func() (T, error)) (listener T, err error) {
	for end := time.Now().Add(listenRetryTime); ; time.Sleep(listenRetryInterval) {
		if listener, err = listen(); err == nil || time.Now().After(end) {
			return listener, err
		}
	}
}

// setPartition cuts or restores the link from one gateway to another.
func (n *relayNetwork) setPartition(from, to int, cut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if cut {
		n.partitions[[2]int{from, to}] = true
	} else {
		delete(n.partitions, [2]int{from, to})
	}
}

// setLossAndDelay sets the fraction of datagrams that are lost, and the maximum delay of the others.
func (n *relayNetwork) setLossAndDelay(lossRate float64, maxDelay time.Duration) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lossRate = lossRate
	n.maxDelay = maxDelay
}

// transmit decides whether a datagram or probe passes from one gateway to another, and draws a datagram's delay.
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

// senderByPort returns the index of the gateway whose process has a peer port.
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

// up starts to accept probes. It is called when the gateway's process starts.
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

// down refuses further probes. It is called when the gateway's process has ended.
func (r *relay) down() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tcp != nil {
		r.tcp.Close()
		r.tcp = nil
	}
}

// forwardDatagrams forwards datagrams from other gateways until the socket is closed.
func (r *relay) forwardDatagrams() {
	buffer := make([]byte, 64<<10)
	for {
		size, from, err := r.udp.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue // the gateway's port was closed when an earlier datagram arrived
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

// writeDatagram sends a datagram to the gateway. A datagram that cannot be sent is lost.
func (r *relay) writeDatagram(datagram []byte) {
	_, _ = r.udp.WriteToUDPAddrPort(datagram, r.target)
}

// forwardProbe forwards a probe, whose first word is the prober's name. A probe gets no response if the
// prober is unknown or the link is cut in either direction.
func (r *relay) forwardProbe(conn net.Conn) {
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(probeConnTimeout))
	line, err := bufio.NewReader(io.LimitReader(conn, maxProbeLine)).ReadString('\n')
	if err != nil {
		return
	}
	prober, _, _ := strings.Cut(line, " ")
	sender, known := r.network.senderByName(prober)
	requestPasses, _ := r.network.transmit(sender, r.index, false)
	responsePasses, _ := r.network.transmit(r.index, sender, false)
	if !known || !requestPasses || !responsePasses {
		_, _ = io.Copy(io.Discard, conn) // until the prober closes the connection
		return
	}
	gateway, err := net.DialTimeout("tcp", r.target.String(), time.Second)
	if err != nil {
		return
	}
	defer gateway.Close()
	_ = gateway.SetDeadline(time.Now().Add(probeConnTimeout))
	fmt.Fprint(gateway, line)
	_, _ = io.Copy(conn, gateway) // the prober detects a broken connection
}
