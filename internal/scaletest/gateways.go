package scaletest

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"os"
	"time"

	"golang.org/x/sys/unix"

	"archknot/balancer"
	"archknot/internal/config"
	"archknot/internal/gateway"
	"archknot/internal/lifecycle"
	"archknot/internal/simwire"
)

// GatewaysSpec is the specification of a process with RoleGateways. It also describes the gateways that are
// processes of their own.
type GatewaysSpec struct {
	First       int     `json:"first"` // index of the first gateway
	Count       int     `json:"count"`
	FleetSize   int     `json:"of"` // number of gateways in the configuration of each gateway
	Discovery   string  `json:"discovery"`
	Zones       int     `json:"zones"`
	SubsetSize  int     `json:"subset"`
	HealthCheck bool    `json:"probe"`
	Rate        float64 `json:"rate"`
	Seed        uint64  `json:"seed"`
}

// The limits in the platform's configuration of each gateway.
const (
	gatewayMemoryMB = 128
	gatewaySockets  = 1024
)

// config returns the platform's configuration of a gateway as JSON.
func (s *GatewaysSpec) config(index int, listen string) ([]byte, error) {
	const second = 1_000_000
	settings := balancer.Settings{
		Self:     index,
		Gateways: s.FleetSize,
		Zone:     zoneName(index % s.Zones),
		Kinds:    []string{"kind-0", "kind-1"},
		Classes: []balancer.Class{{
			Name:                   "chat",
			LatencyObjective:       second,
			ObjectivePer1000Tokens: second / 10,
			TokenObjective:         second,
			Deadline:               10 * second,
			PriorityWeight:         1,
			Streaming:              true,
		}},
		Tenants:          []balancer.Tenant{{Name: "chats", QuotaPerS: 1e6}},
		ReportSource:     balancer.ReportInline,
		WeightKind:       balancer.WeightNone,
		PollDiscovery:    true,
		Tick:             2000,
		MayHealthCheck:   s.HealthCheck,
		MayCancel:        true,
		MaxAttempts:      3,
		MaxRetryAfter:    second,
		InitialCapacity:  0.3,
		OverloadMultiple: 3,
		SlowStartFor:     9 * second,
		OverloadWindow:   3 * second / 2,
		StreamsPerConn:   1,
		ConnIdleTimeout:  45 * second,
		CrossZoneCost:    0.02,
		HandshakeCost:    0.02,
		HealthCheckCost:  0.002,
	}
	for i := range s.Zones {
		settings.Zones = append(settings.Zones, zoneName(i))
	}
	encoded, err := simwire.MarshalSettings(settings)
	if err != nil {
		return nil, err
	}
	return json.Marshal(platformConfig{
		Name:      fmt.Sprintf("g%d", index),
		Listen:    listen,
		Discovery: s.Discovery,
		Seed:      fmt.Sprintf("%x", s.Seed+uint64(index)),
		Limits:    platformLimits{Cores: 1, MemoryMB: gatewayMemoryMB, Sockets: gatewaySockets},
		Settings:  encoded,
	})
}

// platformConfig is the content of the file that NODE_CONFIG names.
type platformConfig struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    platformLimits  `json:"limits"`
	Settings  json.RawMessage `json:"settings"`
}

type platformLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB float64 `json:"memory_mb"`
	Sockets  float64 `json:"sockets"`
}

// hollowGateways are the hollow gateways of one process. They run the program's own code, with their
// clients in the same process.
type hollowGateways struct {
	list    []*gateway.Gateway
	traffic *loadGenerator
	stop    context.CancelFunc
}

// startHollowGateways starts the gateways and their traffic. They stop when the context ends or Close is
// called.
func startHollowGateways(ctx context.Context, spec GatewaysSpec) (*hollowGateways, error) {
	ctx, stop := context.WithCancel(ctx)
	p := &hollowGateways{traffic: newLoadGenerator(ctx, spec.Rate, spec.Seed), stop: stop}
	ownConfig := config.Default()
	ownConfig.Subset.MaxReplicas = spec.SubsetSize
	for i := range spec.Count {
		platform, err := spec.config(spec.First+i, unusedAddress)
		if err != nil {
			stop()
			return nil, err
		}
		options, err := lifecycle.GatewayOptions(platform, ownConfig)
		if err != nil {
			stop()
			return nil, err
		}
		g, err := gateway.New(options)
		if err != nil {
			stop()
			return nil, err
		}
		p.list = append(p.list, g)
		listener := newMemoryListener()
		go func() { _ = g.Serve(ctx, listener) }() // returns when the context ends
		p.traffic.startTraffic("hollow", listener.dial)
	}
	return p, nil
}

// unusedAddress is the listen address in the configuration of a hollow gateway, which serves a memoryListener
// instead.
const unusedAddress = "127.0.0.1:1"

// measureTimeout bounds the time in which all gateways of a process return their statistics.
const measureTimeout = 10 * time.Second

// Handle carries out CommandMeasure: it returns the statistics of all gateways and their request counts.
func (p *hollowGateways) Handle(ctx context.Context, command Command) Reply {
	if command.Name != CommandMeasure {
		return Reply{Error: "gateways: unknown command " + command.Name}
	}
	reply := Reply{At: time.Now(), Usage: ownUsage()}
	ctx, stop := context.WithTimeout(ctx, measureTimeout)
	defer stop()
	for _, g := range p.list {
		stats, err := g.Control(ctx)
		if err != nil {
			return Reply{Error: err.Error()}
		}
		reply.Gateways = append(reply.Gateways, stats)
	}
	reply.Served = p.traffic.served.Load()
	reply.Unserved = p.traffic.unserved.Load()
	return reply
}

// Close stops the traffic, then all gateways.
func (p *hollowGateways) Close() {
	p.traffic.close()
	p.stop()
}

// memoryListener accepts connections from within this process. The connections are socket pairs rather than
// pipes in memory, because the gateway queries the kernel for the state of its clients' connections.
type memoryListener struct {
	accept chan net.Conn
	closed chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

// dial returns the client's end of a new connection after the server's end was accepted.
func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	clientEnd, serverEnd, err := connPair()
	if err != nil {
		return nil, err
	}
	select {
	case l.accept <- serverEnd:
		return clientEnd, nil
	case <-l.closed:
		err = net.ErrClosed
	case <-ctx.Done():
		err = ctx.Err()
	}
	clientEnd.Close()
	serverEnd.Close()
	return nil, err
}

// connPair returns the two ends of a Unix socket pair.
func connPair() (a, b net.Conn, err error) {
	ends, err := unix.Socketpair(unix.AF_UNIX, unix.SOCK_STREAM|unix.SOCK_CLOEXEC|unix.SOCK_NONBLOCK, 0)
	if err != nil {
		return nil, nil, err
	}
	if a, err = connOfDescriptor(ends[0]); err != nil {
		unix.Close(ends[1])
		return nil, nil, err
	}
	if b, err = connOfDescriptor(ends[1]); err != nil {
		a.Close()
		return nil, nil, err
	}
	return a, b, nil
}

// connOfDescriptor returns a connection with a duplicate of a descriptor, and closes the descriptor.
func connOfDescriptor(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "pair")
	defer f.Close() // net.FileConn duplicates the descriptor
	return net.FileConn(f)
}

// Accept implements net.Listener.
func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accept:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener. It must not be called twice.
func (l *memoryListener) Close() error {
	close(l.closed)
	return nil
}

// Addr implements net.Listener. It returns a loopback address without a port.
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
