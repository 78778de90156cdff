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

// The roles that a scale run starts as processes: `archknot drill scale-role ROLE`. Such a process reads
// its specification and then commands from its standard input, one line of JSON each, and exits at the end
// of the input.
const (
	RoleReplicas  = "replicas"  // hollow replicas
	RoleDiscovery = "discovery" // the discovery service
	RoleGateways  = "gateways"  // hollow gateways
)

// The commands that a process with a role accepts; CommandChangeList is for RoleDiscovery only.
const (
	CommandMeasure    = "look"   // reply with measurements
	CommandChangeList = "change" // change the endpoint list
)

// Command is the line of JSON that requests an action of a process with a role.
type Command struct {
	Name string `json:"do"`
}

// Greeting is the first line that a process with a role writes: that it is ready, or why it failed to start.
type Greeting struct {
	Address   string              `json:"address,omitempty"`
	Endpoints []httpwire.Endpoint `json:"instances,omitempty"`
	Error     string              `json:"error,omitempty"`
}

// Reply is the line of JSON that responds to a Command.
type Reply struct {
	Version int64     `json:"version,omitempty"` // version of the endpoint list
	At      time.Time `json:"at"`
	Usage   Usage     `json:"usage"`
	Calls   Calls     `json:"calls"`
	// ReplicaConns are the open connections of each hollow replica.
	ReplicaConns []int                `json:"conns,omitempty"`
	Gateways     []controlstats.Stats `json:"gateways,omitempty"`
	Served       int64                `json:"served,omitempty"`
	Unserved     int64                `json:"unserved,omitempty"`
	Error        string               `json:"error,omitempty"`
}

// Calls counts the requests that a process has served, by kind, and the bytes of its connections.
type Calls struct {
	Attempts     int64 `json:"attempts"`
	HealthChecks int64 `json:"probes"`
	Lists        int64 `json:"lists"`
	BytesIn      int64 `json:"bytes_in"`
	BytesOut     int64 `json:"bytes_out"`
}

// Usage is the CPU time that a process has used and its present memory.
type Usage struct {
	CPU        time.Duration `json:"cpu_ns"`
	ResidentMB float64       `json:"resident_mb"`
	HeapMB     float64       `json:"heap_mb"`
}

// ownUsage returns the usage of this process.
func ownUsage() Usage {
	var resources syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &resources) // cannot fail for this process
	var memory runtime.MemStats
	runtime.ReadMemStats(&memory)
	return Usage{
		CPU:        time.Duration(resources.Utime.Nano() + resources.Stime.Nano()),
		ResidentMB: procstat.ResidentMB(os.Getpid()),
		HeapMB:     float64(memory.HeapAlloc) / (1 << 20),
	}
}

// roleProcess is a child process with a role.
type roleProcess struct {
	cmd      *exec.Cmd
	in       io.WriteCloser
	out      *bufio.Reader
	mu       sync.Mutex
	greeting Greeting
}

// startRole starts a process with a role, sends its specification and waits for its greeting.
func startRole(ctx context.Context, program, name string, spec any) (*roleProcess, error) {
	r := &roleProcess{cmd: exec.Command(program, "drill", "scale-role", name)}
	r.cmd.Stderr = os.Stderr
	r.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true} // an interrupt reaches only the run, which stops the processes
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

// exchange writes a line of JSON to the process and reads the line that responds to it.
func (r *roleProcess) exchange(ctx context.Context, request, reply any) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	encoded, err := json.Marshal(request)
	if err != nil {
		return err
	}
	done := make(chan error, 1)
	go func() {
		if _, err := r.in.Write(append(encoded, '\n')); err != nil {
			done <- err
			return
		}
		line, err := r.out.ReadBytes('\n')
		if err != nil {
			done <- fmt.Errorf("process ended before it replied: %w", err)
			return
		}
		done <- json.Unmarshal(line, reply)
	}()
	select {
	case err := <-done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// command sends a command and returns the reply, or the error that the reply contains.
func (r *roleProcess) command(ctx context.Context, command Command) (Reply, error) {
	var reply Reply
	if err := r.exchange(ctx, command, &reply); err != nil {
		return reply, err
	}
	if reply.Error != "" {
		return reply, errors.New(reply.Error)
	}
	return reply, nil
}

// pid returns the id of the process, or 0 if it was not started.
func (r *roleProcess) pid() int {
	if r == nil || r.cmd.Process == nil {
		return 0
	}
	return r.cmd.Process.Pid
}

// close kills the process and waits for it.
func (r *roleProcess) close() {
	if r == nil {
		return
	}
	r.in.Close()
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}

// RoleServer does the work of a role in the role's process.
type RoleServer interface {
	// Handle carries out a command.
	Handle(ctx context.Context, command Command) Reply
	// Close stops the server.
	Close()
}

// Serve runs a role until the end of in: it reads the specification and commands from in, and writes the
// Greeting and replies to out. An error of the start is reported in the Greeting.
func Serve(ctx context.Context, name string, in io.Reader, out io.Writer) error {
	lines := bufio.NewReaderSize(in, 1<<16)
	spec, err := lines.ReadBytes('\n')
	if err != nil {
		return fmt.Errorf("scale-role: read specification: %w", err)
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	server, greeting, err := startServer(ctx, name, spec)
	if err != nil {
		greeting.Error = err.Error()
	}
	replies := json.NewEncoder(out)
	if err := replies.Encode(greeting); err != nil || greeting.Error != "" {
		return err
	}
	defer server.Close()
	for {
		line, err := lines.ReadBytes('\n')
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		var command Command
		if err := json.Unmarshal(line, &command); err != nil {
			return fmt.Errorf("scale-role: parse command: %w", err)
		}
		if err := replies.Encode(server.Handle(ctx, command)); err != nil {
			return err
		}
	}
}

// startServer starts the server of a role. spec is the JSON of the role's specification.
func startServer(ctx context.Context, name string, spec []byte) (RoleServer, Greeting, error) {
	switch name {
	case RoleReplicas:
		return startWithSpec(spec, func(s ReplicasSpec) (RoleServer, Greeting, error) { return startHollowReplicas(s) })
	case RoleDiscovery:
		return startWithSpec(spec, func(s DiscoverySpec) (RoleServer, Greeting, error) { return startDiscovery(s) })
	case RoleGateways:
		return startWithSpec(spec, func(s GatewaysSpec) (RoleServer, Greeting, error) {
			server, err := startHollowGateways(ctx, s)
			return server, Greeting{}, err
		})
	}
	return nil, Greeting{}, fmt.Errorf("role %q: expected %s, %s or %s", name, RoleReplicas, RoleDiscovery, RoleGateways)
}

// startWithSpec parses a specification and starts a server with it.
func startWithSpec[S any](encoded []byte, start func(S) (RoleServer, Greeting, error)) (RoleServer, Greeting, error) {
	var spec S
	if err := json.Unmarshal(encoded, &spec); err != nil {
		return nil, Greeting{}, fmt.Errorf("specification: %w", err)
	}
	return start(spec)
}
