package faulttest

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"sync"
	"syscall"
	"time"
)

// node is a gateway. It outlives the processes that run the gateway one after another.
type node struct {
	index    int
	name     string
	addr     string // listening address for clients
	peerAddr string // listening address for other gateways
	relay    *relay // nil: other gateways use peerAddr
	zone     int
	// discoveryAddr is the address of discovery in the gateway's configuration.
	discoveryAddr string
	listenSocket  *os.File // listening socket for clients, inherited by all processes; nil: each opens its own

	mu       sync.Mutex
	process  *gatewayProcess // nil: none runs
	starting bool            // the load balancer directs no clients here, because a restarted process is not ready
	crashes  []string        // descriptions of unexpected ends
}

// gatewayProcess is one process of a gateway.
type gatewayProcess struct {
	cmd         *exec.Cmd
	adminAddr   string        // address of the operators' API; empty: none
	exited      chan struct{} // closed after the process has ended
	endExpected bool          // SIGTERM or SIGKILL was sent
	killSentAt  time.Time     // when SIGKILL was first sent; zero: never
	end         processEnd
}

// processEnd describes the end of a process. It is set before exited is closed.
type processEnd struct {
	at     time.Time // when the wait for the process returned
	killed bool      // SIGKILL ended the process
}

// openListenSocket opens the listening socket for clients that a gateway's processes inherit.
func (n *node) openListenSocket() error {
	listener, err := retryListen(func() (net.Listener, error) { return net.Listen("tcp", n.addr) })
	if err != nil {
		return err
	}
	defer listener.Close()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("listen on %s: got a listener of type %T, expected *net.TCPListener", n.addr, listener)
	}
	n.listenSocket, err = tcp.File()
	return err
}

// start starts the next process of a gateway. It does nothing if one runs.
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
	process, err := c.newProcess(n, log)
	if err == nil {
		err = c.startCommand(process.cmd)
	}
	if err != nil {
		log.Close()
		return err
	}
	n.process = process
	go c.awaitExit(n, process, log)
	if n.relay != nil {
		return n.relay.up()
	}
	return nil
}

// newProcess prepares a gateway's next process without starting it.
func (c *cluster) newProcess(n *node, log *os.File) (*gatewayProcess, error) {
	cmd := exec.Command(c.program, "serve", "--config", c.path(n, "conf"))
	cmd.Env = append(os.Environ(), "NODE_CONFIG="+c.path(n, "json"), "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=", "NODE_SOCKET_FD=", "ARCHKNOT_CONF=")
	process := &gatewayProcess{cmd: cmd, exited: make(chan struct{})}
	if c.spec.Drill.Operators {
		var err error
		if process.adminAddr, err = c.freeAddr(); err != nil {
			return nil, err
		}
		cmd.Env = append(cmd.Env, "NODE_ADMIN="+process.adminAddr, "TMPDIR="+c.path(n, "tmp"))
	}
	if n.listenSocket != nil {
		cmd.ExtraFiles = []*os.File{n.listenSocket}
		cmd.Env = append(cmd.Env, "NODE_SOCKET_FD=3")
	}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	return process, nil
}

// startCommand starts a command on the thread of runStarts.
func (c *cluster) startCommand(cmd *exec.Cmd) error {
	started := make(chan error, 1)
	c.starts <- func() { started <- cmd.Start() }
	return <-started
}

// awaitExit waits for the end of a process, and records a crash if neither SIGTERM nor SIGKILL was sent to it.
func (c *cluster) awaitExit(n *node, process *gatewayProcess, log *os.File) {
	err := process.cmd.Wait()
	process.end.at = time.Now()
	status, ok := process.cmd.ProcessState.Sys().(syscall.WaitStatus)
	process.end.killed = ok && status.Signaled() && status.Signal() == syscall.SIGKILL
	log.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.relay != nil {
		n.relay.down()
	}
	if !process.endExpected {
		n.crashes = append(n.crashes, fmt.Sprintf("%s: process ended unexpectedly: %v; end of its log:\n%s", n.name, err, c.logTail(n)))
	}
	if n.process == process {
		n.process = nil
	}
	close(process.exited)
}

// signal sends a signal to a gateway's current process. It returns a channel that is closed when the process
// has ended, or nil if none runs.
func (n *node) signal(s syscall.Signal) (exited <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	return n.process.signal(s)
}

// currentProcess returns the gateway's current process, or nil if none runs.
func (n *node) currentProcess() *gatewayProcess {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// signalProcess sends a signal to a process of the gateway, which may already have a successor.
func (n *node) signalProcess(process *gatewayProcess, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	process.signal(s)
}

// exited returns a channel that is closed once the gateway's current process has ended. It is closed already if
// none runs.
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

// pid returns the id of the gateway's current process, or 0 if none runs.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.cmd.Process.Pid
}

// adminAddr returns the address of the current process's operators' API, or "" if no process runs.
func (n *node) adminAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return ""
	}
	return n.process.adminAddr
}

// setInRotation sets whether the load balancer directs clients to the gateway.
func (n *node) setInRotation(inRotation bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starting = !inRotation
}

func (n *node) inRotation() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.starting
}

// signal sends a signal to a process. The caller must hold the lock of the process's node.
func (p *gatewayProcess) signal(s syscall.Signal) (exited <-chan struct{}) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.endExpected = true
	}
	if s == syscall.SIGKILL && p.killSentAt.IsZero() {
		p.killSentAt = time.Now()
	}
	_ = p.cmd.Process.Signal(s) // it fails only if the process has ended
	return p.exited
}
