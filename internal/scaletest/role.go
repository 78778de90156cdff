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
	OrderLook   = "look"   // tell figures
	OrderChange = "change" // change the list
)

// Order is one line to a role.
type Order struct {
	Do string `json:"do"`
}

// Hello is a role's first line: it is ready.
type Hello struct {
	Address   string              `json:"address,omitempty"`
	Instances []httpwire.Endpoint `json:"instances,omitempty"`
	Error     string              `json:"error,omitempty"`
}

// Answer is a role's answer to an order.
type Answer struct {
	Version int64     `json:"version,omitempty"` // of the list, after a change
	At      time.Time `json:"at"`
	Usage   Usage     `json:"usage"`
	Calls   Calls     `json:"calls"`
	// Conns are the connections open at each hollow replica.
	Conns    []int                `json:"conns,omitempty"`
	Gateways []controlstats.Stats `json:"gateways,omitempty"`
	Served   int64                `json:"served,omitempty"`
	Unserved int64                `json:"unserved,omitempty"`
	Error    string               `json:"error,omitempty"`
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

// usage is this process's.
func usage() Usage {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Usage{CPU: time.Duration(r.Utime.Nano() + r.Stime.Nano()), ResidentMB: procstat.ResidentMB(os.Getpid()), HeapMB: float64(m.HeapAlloc) / (1 << 20)}
}

// role is a process that was started in a role.
type role struct {
	cmd   *exec.Cmd
	in    io.WriteCloser
	out   *bufio.Reader
	mu    sync.Mutex
	hello Hello
}

// startRole starts a role and waits until it is ready.
func startRole(ctx context.Context, program, name string, spec any) (*role, error) {
	r := &role{cmd: exec.Command(program, "drill", "scale-role", name)}
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
	if err := r.exchange(ctx, spec, &r.hello); err != nil {
		r.close()
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	if r.hello.Error != "" {
		r.close()
		return nil, fmt.Errorf("%s: %s", name, r.hello.Error)
	}
	return r, nil
}

// exchange writes one line and reads one.
func (r *role) exchange(ctx context.Context, order, answer any) error {
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

func (r *role) ask(ctx context.Context, o Order) (Answer, error) {
	var a Answer
	if err := r.exchange(ctx, o, &a); err != nil {
		return a, err
	}
	if a.Error != "" {
		return a, errors.New(a.Error)
	}
	return a, nil
}

func (r *role) pid() int {
	if r == nil || r.cmd.Process == nil {
		return 0
	}
	return r.cmd.Process.Pid
}

// close ends the process.
func (r *role) close() {
	if r == nil {
		return
	}
	r.in.Close()
	_ = r.cmd.Process.Kill()
	_ = r.cmd.Wait()
}

// Player is a role's work in its own process.
type Player interface {
	Answer(ctx context.Context, o Order) Answer
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
	player, hello, err := play(ctx, name, first)
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
		var o Order
		if err := json.Unmarshal(line, &o); err != nil {
			return err
		}
		if err := answers.Encode(player.Answer(ctx, o)); err != nil {
			return err
		}
	}
}

// play begins a role by its specification.
func play(ctx context.Context, name string, text []byte) (Player, Hello, error) {
	switch name {
	case RoleReplicas:
		return begin(text, func(s ReplicasSpec) (Player, Hello, error) { return startReplicas(s) })
	case RoleDiscovery:
		return begin(text, func(s DiscoverySpec) (Player, Hello, error) { return startDiscovery(s) })
	case RoleGateways:
		return begin(text, func(s GatewaysSpec) (Player, Hello, error) { return startGateways(ctx, s) })
	}
	return nil, Hello{}, fmt.Errorf("role %q: expected %s, %s or %s", name, RoleReplicas, RoleDiscovery, RoleGateways)
}

func begin[S any](text []byte, start func(S) (Player, Hello, error)) (Player, Hello, error) {
	var spec S
	if err := json.Unmarshal(text, &spec); err != nil {
		return nil, Hello{}, err
	}
	return start(spec)
}
