package scaletest

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"archknot/internal/controlsocket"
	"archknot/internal/controlstats"
	"archknot/internal/httpwire"
	"archknot/internal/procstat"
)

// gatewayProcesses are gateways that run `archknot serve` in processes of their own.
type gatewayProcesses struct{ list []*gatewayProcess }

// gatewayProcess is a process that runs `archknot serve`.
type gatewayProcess struct {
	address     string
	controlPath string
	log         *os.File
	cmd         *exec.Cmd
}

// startProcesses starts n gateways with consecutive indexes from spec.First on.
func startProcesses(program, dir string, spec GatewaysSpec, n int) (*gatewayProcesses, error) {
	all := &gatewayProcesses{}
	for i := range n {
		p, err := startProcess(program, dir, spec, spec.First+i)
		if err != nil {
			all.close()
			return nil, err
		}
		all.list = append(all.list, p)
	}
	return all, nil
}

// startProcess writes the configuration of a gateway into dir and starts its process.
func startProcess(program, dir string, spec GatewaysSpec, index int) (*gatewayProcess, error) {
	address, err := freeAddress()
	if err != nil {
		return nil, err
	}
	path := func(extension string) string { return filepath.Join(dir, fmt.Sprintf("g%d.%s", index, extension)) }
	platform, err := spec.config(index, address)
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(path("json"), platform, 0o600); err != nil {
		return nil, err
	}
	p := &gatewayProcess{address: address, controlPath: path("socket")}
	ownConfig := fmt.Sprintf("[log]\nlevel warn\n[control]\nsocket %s\n[subset]\nmost %d\n", p.controlPath, spec.SubsetSize)
	if err := os.WriteFile(path("conf"), []byte(ownConfig), 0o600); err != nil {
		return nil, err
	}
	if p.log, err = os.Create(path("log")); err != nil {
		return nil, err
	}
	p.cmd = exec.Command(program, "serve", "--config", path("conf"))
	p.cmd.Env = append(os.Environ(), "NODE_CONFIG="+path("json"), "NODE_NAME=", "NODE_LISTEN=", "NODE_DISCOVERY=", "NODE_SOCKET_FD=", "ARCHKNOT_CONF=")
	p.cmd.Stdout, p.cmd.Stderr = p.log, p.log
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Setpgid: true}
	return p, p.cmd.Start()
}

// freeAddress returns a loopback address on which no socket listens at the moment.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

// waitUntilReady waits until the ready endpoint of each gateway returns 200.
func (all *gatewayProcesses) waitUntilReady(ctx context.Context) error {
	client := &http.Client{Timeout: time.Second}
	for _, p := range all.list {
		for {
			resp, err := client.Get("http://" + p.address + httpwire.ReadyPath)
			if err == nil {
				resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if !pause(ctx, 50*time.Millisecond) {
				return fmt.Errorf("gateway %s is not ready: %w", p.address, ctx.Err())
			}
		}
	}
	return nil
}

// measure returns the statistics of a gateway and the usage of its process.
func (p *gatewayProcess) measure(ctx context.Context) (stats controlstats.Stats, usage Usage, err error) {
	if err := controlsocket.Call(ctx, p.controlPath, "figures", struct{}{}, &stats); err != nil {
		return stats, usage, fmt.Errorf("read statistics of gateway %s: %w", p.address, err)
	}
	pid := p.cmd.Process.Pid
	return stats, Usage{CPU: procstat.CPUTime(pid), ResidentMB: procstat.ResidentMB(pid)}, nil
}

// close kills all processes and waits for them.
func (all *gatewayProcesses) close() {
	if all == nil {
		return
	}
	for _, p := range all.list {
		if p.cmd.Process != nil {
			_ = p.cmd.Process.Kill()
			_ = p.cmd.Wait()
		}
		p.log.Close()
	}
}
