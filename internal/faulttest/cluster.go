package faulttest

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"time"

	"archknot/internal/fleet/model"
	"archknot/internal/httpwire"
	"archknot/internal/simwire"
)

// cluster is the gateways' processes.
type cluster struct {
	spec          *model.Spec
	program       string
	dir           string
	discoveryAddr string
	relays        *relayNetwork
	nodes         []*node
	starts        chan func() // processes are started by one thread: they end with it
	client        *http.Client
}

// node is one gateway, over all its lives.
type node struct {
	index        int
	name         string
	addr         string // for clients
	peerAddr     string // the process's own
	relay        *relay
	zone         int
	listenSocket *os.File // the clients' listening socket, which its lives share; nil: each binds its own
	mu           sync.Mutex
	process      *gatewayProcess // nil: it does not run
	starting     bool            // again, and not ready yet: the front does not offer it
	crashes      []string
}

// gatewayProcess is one process of a gateway.
type gatewayProcess struct {
	cmd         *exec.Cmd
	adminAddr   string // where operators call it
	exited      chan struct{}
	endExpected bool // to end
	frozen      bool
}

func newCluster(spec *model.Spec, program, dir, registry string) (*cluster, error) {
	c := &cluster{spec: spec, program: program, dir: dir, discoveryAddr: registry, starts: make(chan func()),
		client: &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}}
	go func() {
		runtime.LockOSThread() // Pdeathsig comes when the thread ends
		for do := range c.starts {
			do()
		}
	}()
	if spec.Drill.Peers && spec.Drill.Relays {
		c.relays = newRelayNetwork(spec.Seed)
	}
	for i := range spec.Gateways {
		n := &node{index: i, name: fmt.Sprintf("g%d", i+1), zone: i % max(1, spec.Drill.Sites)}
		var err error
		if n.addr, err = c.freeAddr(); err == nil {
			n.peerAddr, err = c.freeAddr()
		}
		if err == nil && c.relays != nil {
			var at string
			if at, err = c.freeAddr(); err == nil {
				n.relay, err = c.relays.add(n.name, n.peerAddr, at)
			}
		}
		if err != nil {
			c.close()
			return nil, err
		}
		c.nodes = append(c.nodes, n)
	}
	for _, n := range c.nodes {
		err := c.writeConfig(n)
		if err == nil && spec.Drill.SharedListener {
			err = n.openListenSocket()
		}
		if err != nil {
			c.close()
			return nil, err
		}
		if err := c.start(n); err != nil {
			c.close()
			return nil, err
		}
	}
	return c, nil
}

// triedAddrs are the addresses that drills of this process have looked at.
var triedAddrs sync.Map

// freeAddr finds a port that nothing uses, below those that the system deals out itself.
func (c *cluster) freeAddr() (string, error) {
	for range 200 {
		addr := fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000))
		// Looked at only by one drill of this process: a look takes the port for a moment.
		if _, taken := triedAddrs.LoadOrStore(addr, true); taken {
			continue
		}
		l, err := net.Listen("tcp", addr)
		if err != nil {
			continue
		}
		u, err := net.ListenPacket("udp", addr)
		l.Close()
		if err != nil {
			continue
		}
		u.Close()
		return addr, nil
	}
	return "", errors.New("no free port found")
}

// writeConfig makes a gateway's two configurations.
func (c *cluster) writeConfig(n *node) error {
	s := c.spec.Settings
	s.Self, s.Gateways = n.index, c.spec.Gateways
	zones, kinds := map[string]bool{}, map[string]bool{}
	for _, g := range c.spec.Groups {
		if !zones[g.Zone] {
			s.Zones = append(s.Zones, g.Zone)
		}
		if !kinds[g.Name] {
			s.Kinds = append(s.Kinds, g.Name)
		}
		zones[g.Zone], kinds[g.Name] = true, true
	}
	s.Zone = s.Zones[n.zone%len(s.Zones)]
	settings, err := simwire.MarshalSettings(s)
	if err != nil {
		return err
	}
	config, err := json.Marshal(map[string]any{"name": n.name, "listen": n.addr, "discovery": c.discoveryAddr, "seed": fmt.Sprintf("%x", c.spec.Seed*1000+uint64(n.index)+1),
		"limits": map[string]any{"cores": 1, "memory_mb": c.spec.Drill.MemoryMB, "sockets": c.spec.Drill.MaxFiles}, "settings": json.RawMessage(settings)})
	if err != nil {
		return err
	}
	own := "[log]\nlevel info\n"
	if d := c.spec.Drill; d.Peers {
		own += fmt.Sprintf("[peers]\nlisten %s\nsite s%d\ncopies %d\nrecords %d\nrecords-each %d\n", n.peerAddr, n.zone, d.RequestCopies, d.MaxRecords, d.MaxRecords)
		if n.relay != nil {
			own += "advertise " + n.relay.addr + "\n"
		}
		var join []string
		for _, o := range c.nodes[:min(3, len(c.nodes))] {
			join = append(join, c.advertisedAddr(o))
		}
		own += "join " + strings.Join(join, ",") + "\n"
	}
	if err := os.WriteFile(c.path(n, "json"), config, 0o600); err != nil {
		return err
	}
	if err := os.MkdirAll(c.path(n, "tmp"), 0o700); err != nil {
		return err
	}
	return os.WriteFile(c.path(n, "conf"), []byte(own), 0o600)
}

func (c *cluster) advertisedAddr(n *node) string {
	if n.relay != nil {
		return n.relay.addr
	}
	return n.peerAddr
}

func (c *cluster) path(n *node, ending string) string {
	return filepath.Join(c.dir, n.name+"."+ending)
}

// start starts a gateway's next life.
func (c *cluster) start(n *node) error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return nil
	}
	log, err := os.OpenFile(c.path(n, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command(c.program, "serve", "--config", c.path(n, "conf"))
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+c.path(n, "json"), "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=", "NODE_SOCKET_FD=", "ARCHKNOT_CONF=")
	born := &gatewayProcess{cmd: cmd, exited: make(chan struct{})}
	if c.spec.Drill.Operators {
		if born.adminAddr, err = c.freeAddr(); err != nil {
			log.Close()
			return err
		}
		cmd.Env = append(cmd.Env, "NODE_ADMIN="+born.adminAddr, "TMPDIR="+c.path(n, "tmp"))
	}
	if n.listenSocket != nil {
		cmd.ExtraFiles = []*os.File{n.listenSocket}
		cmd.Env = append(cmd.Env, "NODE_SOCKET_FD=3")
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	started := make(chan error, 1)
	c.starts <- func() { started <- cmd.Start() }
	if err := <-started; err != nil {
		log.Close()
		return err
	}
	n.process = born
	go func() {
		err := cmd.Wait()
		log.Close()
		n.mu.Lock()
		defer n.mu.Unlock()
		if n.relay != nil {
			n.relay.down()
		}
		if !born.endExpected {
			n.crashes = append(n.crashes, fmt.Sprintf("%s ended by itself: %v\n%s", n.name, err, c.logTail(n)))
		}
		if n.process == born {
			n.process = nil
		}
		close(born.exited)
	}()
	if n.relay != nil {
		return n.relay.up()
	}
	return nil
}

// logTail is the end of a gateway's log.
func (c *cluster) logTail(n *node) string {
	text, _ := os.ReadFile(c.path(n, "log"))
	lines := bytes.Split(bytes.TrimSpace(text), []byte("\n"))
	return string(bytes.Join(lines[max(0, len(lines)-8):], []byte("\n")))
}

// signal sends a signal to a gateway's process, by its id, if it runs.
func (n *node) signal(s syscall.Signal) (exited <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	return n.process.signal(s)
}

// exited is closed once the gateway's process has ended.
func (n *node) exited() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process != nil {
		return n.process.exited
	}
	none := make(chan struct{})
	close(none)
	return none
}

// signal sends a signal to a process. It is called under its gateway's mu.
func (l *gatewayProcess) signal(s syscall.Signal) (exited <-chan struct{}) {
	switch s {
	case syscall.SIGKILL, syscall.SIGTERM:
		l.endExpected = true
	case syscall.SIGSTOP, syscall.SIGCONT:
		l.frozen = s == syscall.SIGSTOP
	}
	_ = l.cmd.Process.Signal(s)
	return l.exited
}

// waitUntilReady waits until all gateways take clients.
func (c *cluster) waitUntilReady(ctx context.Context) error {
	for _, n := range c.nodes {
		if err := c.waitUntilNodeReady(ctx, n); err != nil {
			return err
		}
	}
	return nil
}

func (c *cluster) waitUntilNodeReady(ctx context.Context, n *node) error {
	for {
		n.mu.Lock()
		running := n.process != nil
		n.mu.Unlock()
		if !running {
			return fmt.Errorf("%s does not run: %s", n.name, c.logTail(n))
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+n.addr+httpwire.ReadyPath, nil)
		if err != nil {
			return err
		}
		if resp, err := c.client.Do(req); err == nil {
			resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				return nil
			}
		}
		select {
		case <-time.After(10 * time.Millisecond):
		case <-ctx.Done():
			return fmt.Errorf("%s is not ready: %s", n.name, c.logTail(n))
		}
	}
}

// crashes are the processes that ended and were not to.
func (c *cluster) crashes() (out []string) {
	for _, n := range c.nodes {
		n.mu.Lock()
		out = append(out, n.crashes...)
		n.mu.Unlock()
	}
	return out
}

// close ends every process, by its id, and waits for it.
func (c *cluster) close() {
	var ends []<-chan struct{}
	for _, n := range c.nodes {
		ends = append(ends, n.signal(syscall.SIGKILL)) // also one that is stopped
	}
	for _, e := range ends {
		if e != nil {
			<-e // SIGKILL is obeyed
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
