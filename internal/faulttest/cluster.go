package faulttest

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"archknot/internal/fleet/model"
	"archknot/internal/httpwire"
)

const (
	// freeAddrTries is the number of ports that are tried before freeAddr fails.
	freeAddrTries = 200
	// firstPort is the lowest port of gateways.
	firstPort = 10_000
	// portCount keeps the gateways' ports below the system's range of ephemeral ports.
	portCount = 20_000
	// readyPollInterval is the time between two readiness checks of a gateway.
	readyPollInterval = 10 * time.Millisecond
	// logTailLines is the number of log lines that an error quotes.
	logTailLines = 8
)

// cluster holds the gateways of a drill or soak. Each gateway is a process.
type cluster struct {
	spec          *model.Spec
	program       string
	dir           string
	discoveryAddr func(gateway int) string
	relays        *relayNetwork // nil: the gateways reach each other directly
	nodes         []*node
	starts        chan func() // functions that start processes, run by runStarts
	client        *http.Client
}

// newCluster starts the gateways of a specification. Their configurations and logs are written to dir.
func newCluster(spec *model.Spec, program, dir string, discoveryAddr func(gateway int) string) (*cluster, error) {
	c := &cluster{
		spec:          spec,
		program:       program,
		dir:           dir,
		discoveryAddr: discoveryAddr,
		starts:        make(chan func()),
		client:        &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	go c.runStarts()
	if err := c.startAll(); err != nil {
		c.close()
		return nil, err
	}
	return c, nil
}

// runStarts runs the functions from starts, on one locked thread: the kernel sends Pdeathsig to a process
// when the thread that started the process ends.
func (c *cluster) runStarts() {
	runtime.LockOSThread()
	for start := range c.starts {
		start()
	}
}

// startAll creates all nodes before it starts their processes, because a node's configuration has the
// addresses of other nodes.
func (c *cluster) startAll() error {
	if c.spec.Drill.Peers && c.spec.Drill.GossipRelays {
		c.relays = newRelayNetwork(c.spec.Seed)
	}
	for i := range c.spec.Gateways {
		n, err := c.newNode(i)
		if err != nil {
			return err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		if err := c.writeConfig(n); err != nil {
			return err
		}
		if c.spec.Drill.SharedListener {
			if err := n.openListenSocket(); err != nil {
				return err
			}
		}
		if err := c.start(n); err != nil {
			return err
		}
	}
	return nil
}

// newNode assigns addresses to a gateway, and opens its relay if the cluster uses relays.
func (c *cluster) newNode(index int) (*node, error) {
	n := &node{
		index:         index,
		name:          fmt.Sprintf("g%d", index+1),
		zone:          index % max(1, c.spec.Drill.Sites),
		discoveryAddr: c.discoveryAddr(index),
	}
	var err error
	if n.addr, err = c.freeAddr(); err != nil {
		return nil, err
	}
	if n.peerAddr, err = c.freeAddr(); err != nil {
		return nil, err
	}
	if c.relays == nil {
		return n, nil
	}
	relayAddr, err := c.freeAddr()
	if err != nil {
		return nil, err
	}
	n.relay, err = c.relays.add(n.name, n.peerAddr, relayAddr)
	return n, err
}

// triedAddrs holds the addresses that freeAddr has tried in this process.
var triedAddrs sync.Map

// freeAddr returns a loopback address whose port is free for both TCP and UDP.
func (c *cluster) freeAddr() (string, error) {
	for range freeAddrTries {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		// Concurrent drills must not try the same address: the attempt binds the port for a short time.
		if _, tried := triedAddrs.LoadOrStore(addr, true); tried {
			continue
		}
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		packetConn, err := net.ListenPacket("udp", addr)
		listener.Close()
		if err != nil {
			continue
		}
		packetConn.Close()
		return addr, nil
	}
	return "", errors.New("find a free port on 127.0.0.1: all tried ports are in use")
}

// advertisedAddr returns the address at which the other gateways reach a gateway.
func (c *cluster) advertisedAddr(n *node) string {
	if n.relay != nil {
		return n.relay.addr
	}
	return n.peerAddr
}

// path returns the path of a gateway's file.
func (c *cluster) path(n *node, extension string) string {
	return filepath.Join(c.dir, n.name+"."+extension)
}

// logTimes returns the times at which a gateway's processes logged an event.
func (c *cluster) logTimes(n *node, event string) (times []time.Time) {
	text, _ := os.ReadFile(c.path(n, "log")) // a missing log has no events
	for line := range strings.Lines(string(text)) {
		fields := strings.Fields(line)
		if !slices.Contains(fields, "msg="+event) {
			continue
		}
		value, _ := strings.CutPrefix(fields[0], "time=")
		if at, err := time.Parse(time.RFC3339Nano, value); err == nil {
			times = append(times, at)
		}
	}
	return times
}

// logTail returns the last logTailLines lines of a gateway's log.
func (c *cluster) logTail(n *node) string {
	text, _ := os.ReadFile(c.path(n, "log")) // a missing log is quoted as empty
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-logTailLines):], []byte("\n")))
}

// waitUntilReady waits until all gateways are ready. It fails if one has no process, or when the context ends.
func (c *cluster) waitUntilReady(ctx context.Context) error {
	for _, n := range c.nodes {
		if err := c.waitUntilNodeReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// waitUntilNodeReady is waitUntilReady for one gateway.
func (c *cluster) waitUntilNodeReady(ctx context.Context, n *node) error {
	for {
		if n.pid() == 0 {
			return fmt.Errorf("wait until %s is ready: its process has ended; end of its log: %s", n.name, c.logTail(n))
		}
		if c.isReady(ctx, n) {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("wait until %s is ready: not ready in time, or canceled; end of its log: %s", n.name, c.logTail(n))
		}
	}
}

// isReady reports whether a gateway's readiness check succeeds.
func (c *cluster) isReady(ctx context.Context, n *node) bool {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addr+httpwire.ReadyPath, nil)
	if err != nil {
		return false
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// indexOf returns the index of the gateway with a client address, or -1 if there is none.
func (c *cluster) indexOf(addr string) int {
	for i, n := range c.nodes {
		if n.addr == addr {
			return i
		}
	}
	return -1
}

// inRotation reports whether the load balancer directs clients to the gateway with a client address. It does
// for an unknown address.
func (c *cluster) inRotation(addr string) bool {
	i := c.indexOf(addr)
	return i < 0 || c.nodes[i].inRotation()
}

// crashes returns a description of each process that ended unexpectedly.
func (c *cluster) crashes() (out []string) {
	for _, n := range c.nodes {
		n.mu.Lock()
		out = append(out, n.crashes...)
		n.mu.Unlock()
	}
	return out
}

// close kills all processes by id, waits for their ends, and closes sockets and relays.
func (c *cluster) close() {
	var exits []<-chan struct{}
	for _, n := range c.nodes {
		exits = append(exits, n.signal(syscall.SIGKILL)) // also ends a process stopped by SIGSTOP
	}
	for _, exited := range exits {
		if exited != nil {
			<-exited
		}
	}
	for _, n := range c.nodes {
		if n.listenSocket != nil {
			n.listenSocket.Close()
		}
	}
	if c.relays != nil {
		c.relays.close()
	}
	close(c.starts)
}
