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
	// freeAddrTries is how many ports are tried before there counts as none free.
	freeAddrTries = 200
	// The range of the gateways' ports lies below those that the system assigns itself.
	firstPort, portCount = 10_000, 20_000
	// readyPollInterval is the time between two requests whether a gateway is ready.
	readyPollInterval = 10 * time.Millisecond
	// logTailLines is how many lines of a log an error quotes.
	logTailLines = 8
)

// cluster is the gateways of a drill or soak, each a process.
type cluster struct {
	spec          *model.Spec
	program       string
	dir           string
	discoveryAddr func(gateway int) string
	relays        *relayNetwork // nil: the gateways reach each other directly
	nodes         []*node
	starts        chan func() // run by one thread, with which the processes end
	client        *http.Client
}

// newCluster starts the gateways of a specification. Their configurations and logs are in dir.
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

// runStarts starts processes. It has a thread of its own because Pdeathsig is sent when the thread that
// started a process ends.
func (c *cluster) runStarts() {
	runtime.LockOSThread()
	for start := range c.starts {
		start()
	}
}

// startAll creates all nodes, so that each knows the addresses of the others, and starts their processes.
func (c *cluster) startAll() error {
	if c.spec.Drill.Peers && c.spec.Drill.Relays {
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

// newNode assigns a gateway its addresses, and opens its relay if there is one.
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

// triedAddrs are the addresses that drills of this process have tried.
var triedAddrs sync.Map

// freeAddr returns a loopback address whose port no socket uses, neither TCP nor UDP.
func (c *cluster) freeAddr() (string, error) {
	for range freeAddrTries {
		addr := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(portCount))
		// Only one drill of this process tries an address: to try it takes the port for a moment.
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
	return "", errors.New("no free port found")
}

// advertisedAddr returns where the other gateways reach a gateway.
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

// logTimes returns when a gateway's processes logged an event.
func (c *cluster) logTimes(n *node, event string) (times []time.Time) {
	text, _ := os.ReadFile(c.path(n, "log")) // without a log there are no times
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

// logTail returns the end of a gateway's log.
func (c *cluster) logTail(n *node) string {
	text, _ := os.ReadFile(c.path(n, "log")) // without a log there is nothing to quote
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-logTailLines):], []byte("\n")))
}

// waitUntilReady waits until all gateways are ready for clients.
func (c *cluster) waitUntilReady(ctx context.Context) error {
	for _, n := range c.nodes {
		if err := c.waitUntilNodeReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

// waitUntilNodeReady waits until a gateway is ready for clients.
func (c *cluster) waitUntilNodeReady(ctx context.Context, n *node) error {
	for {
		if n.pid() == 0 {
			return fmt.Errorf("%s does not run: %s", n.name, c.logTail(n))
		}
		if c.isReady(ctx, n) {
			return nil
		}
		select {
		case <-time.After(readyPollInterval):
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %s", n.name, c.logTail(n))
		}
	}
}

// isReady reports whether a gateway answers that it is ready for clients.
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

// indexOf returns the index of the gateway at an address for clients, -1 if there is none.
func (c *cluster) indexOf(addr string) int {
	for i, n := range c.nodes {
		if n.addr == addr {
			return i
		}
	}
	return -1
}

// offered reports whether clients are directed to the gateway at an address.
func (c *cluster) offered(addr string) bool {
	i := c.indexOf(addr)
	return i < 0 || c.nodes[i].isOffered()
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

// close kills all processes, by their ids, and waits for them.
func (c *cluster) close() {
	var exits []<-chan struct{}
	for _, n := range c.nodes {
		exits = append(exits, n.signal(syscall.SIGKILL)) // this ends a stopped process as well
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
