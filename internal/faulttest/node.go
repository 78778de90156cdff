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

// node is a gateway, over all its processes.
type node struct {
	index    int
	name     string
	addr     string // for clients
	peerAddr string // where its process listens for other gateways
	relay    *relay // nil: none
	zone     int
	// discoveryAddr is discovery's address in the configuration. Only the task of the gateway's events uses it.
	discoveryAddr string
	listenSocket  *os.File // the clients' listening socket, shared by its processes; nil: each opens its own

	mu       sync.Mutex
	process  *gatewayProcess // nil: none runs
	starting bool            // a restarted process is not ready: clients are not directed to it
	crashes  []string
}

// gatewayProcess is one process of a gateway.
type gatewayProcess struct {
	cmd         *exec.Cmd
	adminAddr   string // the operators' address; empty: none
	exited      chan struct{}
	endExpected bool
	killSentAt  time.Time // when SIGKILL was sent first; zero: never
	end         processEnd
}

// processEnd is how a process has ended. It is set before exited is closed.
type processEnd struct {
	at     time.Time // when the wait for the process returned
	killed bool      // SIGKILL has ended it
}

// openListenSocket opens the clients' listening socket that a gateway's processes share.
func (n *node) openListenSocket() error {
	listener, err := retryListen(func() (net.Listener, error) { return net.Listen("tcp", n.addr) })
	if err != nil {
		return err
	}
	defer listener.Close()
	tcp, ok := listener.(*net.TCPListener)
	if !ok {
		return fmt.Errorf("%s: listens with a %T, expected a TCP listener", n.addr, listener)
	}
	n.listenSocket, err = tcp.File()
	return err
}

// start starts the next process of a gateway, unless one runs.
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

// newProcess returns a process of a gateway that has not been started.
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

// awaitExit waits for the end of a process, and records it as a crash if it was not expected.
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
		n.crashes = append(n.crashes, fmt.Sprintf("%s ended by itself: %v\n%s", n.name, err, c.logTail(n)))
	}
	if n.process == process {
		n.process = nil
	}
	close(process.exited)
}

// signal sends a signal to a gateway's process. It returns a channel that is closed when the process has
// ended, nil if none runs.
func (n *node) signal(s syscall.Signal) (exited <-chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return nil
	}
	return n.process.signal(s)
}

// currentProcess returns the gateway's process, nil if none runs.
func (n *node) currentProcess() *gatewayProcess {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.process
}

// signalProcess sends a signal to one of the gateway's processes, also one that has a successor.
func (n *node) signalProcess(process *gatewayProcess, s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	process.signal(s)
}

// exited returns a channel that is closed once the gateway's process has ended.
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

// pid returns the id of the gateway's process, 0 if none runs.
func (n *node) pid() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return 0
	}
	return n.process.cmd.Process.Pid
}

// adminAddr returns the operators' address of the gateway's process, empty if none runs.
func (n *node) adminAddr() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.process == nil {
		return ""
	}
	return n.process.adminAddr
}

// setOffered sets whether clients are directed to the gateway.
func (n *node) setOffered(offered bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.starting = !offered
}

func (n *node) isOffered() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return !n.starting
}

// signal sends a signal to a process. The caller holds the gateway's lock.
func (p *gatewayProcess) signal(s syscall.Signal) (exited <-chan struct{}) {
	if s == syscall.SIGKILL || s == syscall.SIGTERM {
		p.endExpected = true
	}
	if s == syscall.SIGKILL && p.killSentAt.IsZero() {
		p.killSentAt = time.Now()
	}
	_ = p.cmd.Process.Signal(s) // fails only if the process has ended
	return p.exited
}
