package scaletest

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"sync"
	"syscall"
	"time"

	"archknot/internal/controlstats"
	"archknot/internal/httpwire"
	"archknot/internal/procstat"
)

// The roles that a scale run starts as processes: `archknot drill scale-role ROLE`, which reads its
// specification and then orders from its standard input, and ends when that does.
const (
	RoleReplicas  = "replicas"
	RoleDiscovery = "discovery"
	RoleGateways  = "gateways"
)

// Orders to a role.
const (
	CommandMeasure    = "look"   // tell figures
	CommandChangeList = "change" // change the list
)

// Command is one line to a role.
type Command struct {
	Name string `json:"do"`
}

// Greeting is a role's first line: it is ready.
type Greeting struct {
	Address   string              `json:"address,omitempty"`
	Endpoints []httpwire.Endpoint `json:"instances,omitempty"`
	Error     string              `json:"error,omitempty"`
}

// Reply is a role's answer to an order.
type Reply struct {
	Version int64     `json:"version,omitempty"` // of the list, after a change
	At      time.Time `json:"at"`
	Usage   Usage     `json:"usage"`
	Calls   Calls     `json:"calls"`
	// ReplicaConns are the connections open at each hollow replica.
	ReplicaConns []int                `json:"conns,omitempty"`
	Gateways     []controlstats.Stats `json:"gateways,omitempty"`
	Served       int64                `json:"served,omitempty"`
	Unserved     int64                `json:"unserved,omitempty"`
	Error        string               `json:"error,omitempty"`
}

// Calls is what a role was asked, by kind, and the bytes of its connections.
type Calls struct {
	Attempts int64 `json:"attempts"`
	Probes   int64 `json:"probes"`
	Lists    int64 `json:"lists"`
	BytesIn  int64 `json:"bytes_in"`
	BytesOut int64 `json:"bytes_out"`
}

// Usage is what a process has used.
type Usage struct {
	CPU        time.Duration `json:"cpu_ns"`
	ResidentMB float64       `json:"resident_mb"`
	HeapMB     float64       `json:"heap_mb"`
}

// ownUsage is this process's.
func ownUsage() Usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Usage{CPU: time.Duration(r.Utime.Nano() + r.Stime.Nano()), ResidentMB: procstat.ResidentMB(os.Getpid()), HeapMB: float64(m.HeapAlloc) / (1 << 20)}
}

// roleProcess is a process that was started in a role.
type roleProcess struct {
	cmd      *exec.Cmd
	in       io.WriteCloser
	out      *bufio.Reader
	mu       sync.Mutex
	greeting Greeting
}

// startRole starts a role and waits until it is ready.
func startRole(ctx context.Context, program, name string, spec any) (*roleProcess, error) {
	r := &roleProcess{cmd: exec.Command(program, "drill", "scale-role", name)}
	r.cmd.Stderr = os.Stderr
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // ^C ends the run, and the run its roles
	var err error
	if r.in, err = r.cmd.StdinPipe(); err != nil {
		return nil, err
	}
	out, err := r.cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	r.out = bufio.NewReaderSize(out, 1<<16)
	if err := r.cmd.Start(); err != nil {
		return nil, err
	}
	if err := r.exchange(ctx, spec, &r.greeting); err != nil {
		r.close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if r.greeting.Error != "" {
		r.close()
		return nil, fmt.Errorf("%s: %s", name, r.greeting.Error)
	}
	return r, nil
}

// exchange writes one line and reads one.
func (r *roleProcess) exchange(ctx context.Context, order, answer any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	text, err := json.Marshal(order)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		if _, err := r.in.Write(append(text, '\n')); err != nil {
			done <- err
			return
		}
		line, err := r.out.ReadBytes('\n')
		if err != nil {
			done <- fmt.Errorf("ended by itself: %w", err)
			return
		}
		done <- json.Unmarshal(line, answer)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (r *roleProcess) command(ctx context.Context, o Command) (Reply, error) {
	var a Reply
	if err := r.exchange(ctx, o, &a); err != nil {
		return a, err
	}
	if a.Error != "" {
		return a, errors.New(a.Error)
	}
	return a, nil
}

func (r *roleProcess) pid() int {
	if r == nil || r.cmd.Process == nil {
		return 0
	}
	return r.cmd.Process.Pid
}

// close ends the process.
func (r *roleProcess) close() {
	if r == nil {
		return
	}
	r.in.Close()
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}

// RoleServer is a role's work in its own process.
type RoleServer interface {
	Handle(ctx context.Context, o Command) Reply
	Close()
}

// Serve is the life of a role's process.
func Serve(ctx context.Context, name string, in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<16)
	first, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("scale-role: no specification: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	player, hello, err := startServer(ctx, name, first)
	if err != nil {
		hello.Error = err.Error()
	}
	answers := json.NewEncoder(out)
	if err := answers.Encode(hello); err != nil || hello.Error != "" {
		return err
	}
	defer player.Close()
	for {
		line, err := lines.ReadBytes('\n')
		if err == io.EOF {
			return nil
		}
		if err != nil {
			return err
		}
		var o Command
		if err := json.Unmarshal(line, &o); err != nil {
			return err
		}
		if err := answers.Encode(player.Handle(ctx, o)); err != nil {
			return err
		}
	}
}

// startServer begins a role by its specification.
func startServer(ctx context.Context, name string, text []byte) (RoleServer, Greeting, error) {
	switch name {
	case RoleReplicas:
		return startWithSpec(text, func(s ReplicasSpec) (RoleServer, Greeting, error) { return startHollowReplicas(s) })
	case RoleDiscovery:
		return startWithSpec(text, func(s DiscoverySpec) (RoleServer, Greeting, error) { return startDiscovery(s) })
	case RoleGateways:
		return startWithSpec(text, func(s GatewaysSpec) (RoleServer, Greeting, error) { return startHollowGateways(ctx, s) })
	}
	return nil, Greeting{}, fmt.Errorf("role %q: expected %s, %s or %s", name, RoleReplicas, RoleDiscovery, RoleGateways)
}

func startWithSpec[S any](text []byte, start func(S) (RoleServer, Greeting, error)) (RoleServer, Greeting, error) {
	var spec S
	if err := json.Unmarshal(text, &spec); err != nil {
		return nil, Greeting{}, err
	}
	return start(spec)
}
