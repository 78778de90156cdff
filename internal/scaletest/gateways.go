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

// GatewaysSpec is what gateways are made by, hollow ones and processes alike.
type GatewaysSpec struct {
	First       int     `json:"first"` // index of the first
	Count       int     `json:"count"`
	FleetSize   int     `json:"of"` // how many each is told there are
	Discovery   string  `json:"discovery"`
	Zones       int     `json:"zones"`
	SubsetSize  int     `json:"subset"`
	HealthCheck bool    `json:"probe"`
	Rate        float64 `json:"rate"`
	Seed        uint64  `json:"seed"`
}

// The limits that gateways are told.
const (
	gatewayMemoryMB = 128
	gatewaySockets  = 1024
)

// config is the platform's configuration of one gateway.
func (s *GatewaysSpec) config(index int, listen string) ([]byte, error) {
	const second = 1_000_000
	settings := balancer.Settings{Self: index, Gateways: s.FleetSize, Zone: zoneName(index % s.Zones), Kinds: []string{"kind-0", "kind-1"},
		Classes:      []balancer.Class{{Name: "chat", LatencyObjective: second, ObjectivePer1000Tokens: second / 10, TokenObjective: second, Deadline: 10 * second, PriorityWeight: 1, Streaming: true}},
		Tenants:      []balancer.Tenant{{Name: "chats", QuotaPerS: 1e6}},
		ReportSource: balancer.ReportInline, WeightKind: balancer.WeightNone, PollDiscovery: true, Tick: 2000, MayHealthCheck: s.HealthCheck, MayCancel: true,
		MaxAttempts: 3, MaxRetryAfter: second, InitialCapacity: 0.3, OverloadMultiple: 3, SlowStartFor: 9 * second, OverloadWindow: 3 * second / 2,
		StreamsPerConn: 1, ConnIdleTimeout: 45 * second, CrossZoneCost: 0.02, HandshakeCost: 0.02, HealthCheckCost: 0.002}
	for i := range s.Zones {
		settings.Zones = append(settings.Zones, zoneName(i))
	}
	text, err := simwire.MarshalSettings(settings)
	if err != nil {
		return nil, err
	}
	return json.Marshal(platformConfig{Name: fmt.Sprintf("g%d", index), Listen: listen, Discovery: s.Discovery, Seed: fmt.Sprintf("%x", s.Seed+uint64(index)),
		Limits: platformLimits{Cores: 1, MemoryMB: gatewayMemoryMB, Sockets: gatewaySockets}, Settings: text})
}

// platformConfig is the file that NODE_CONFIG names.
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

// hollowGateways are hollow gateways of one process: the program's own, with clients in the same process.
type hollowGateways struct {
	list    []*gateway.Gateway
	traffic *loadGenerator
	stop    context.CancelFunc
}

func startHollowGateways(ctx context.Context, spec GatewaysSpec) (*hollowGateways, Greeting, error) {
	ctx, stop := context.WithCancel(ctx)
	p := &hollowGateways{traffic: newLoadGenerator(spec.Rate, spec.Seed), stop: stop}
	own := config.Default()
	own.Subset.MaxReplicas = spec.SubsetSize
	for i := range spec.Count {
		text, err := spec.config(spec.First+i, "127.0.0.1:1")
		if err != nil {
			return nil, Greeting{}, err
		}
		options, err := lifecycle.GatewayOptions(text, own)
		if err != nil {
			return nil, Greeting{}, err
		}
		g, err := gateway.New(options)
		if err != nil {
			return nil, Greeting{}, err
		}
		p.list = append(p.list, g)
		l := newMemoryListener()
		go g.Serve(ctx, l)
		p.traffic.startTraffic("hollow", l.dial)
	}
	return p, Greeting{}, nil
}

// measureTimeout bounds the time in which a gateway tells its figures.
const measureTimeout = 10 * time.Second

// Handle tells figures.
func (p *hollowGateways) Handle(ctx context.Context, o Command) Reply {
	if o.Name != CommandMeasure {
		return Reply{Error: "gateways: unknown order " + o.Name}
	}
	a := Reply{At: time.Now(), Usage: ownUsage()}
	ctx, stop := context.WithTimeout(ctx, measureTimeout)
	defer stop()
	for _, g := range p.list {
		c, err := g.Control(ctx)
		if err != nil {
			return Reply{Error: err.Error()}
		}
		a.Gateways = append(a.Gateways, c)
	}
	a.Served, a.Unserved = p.traffic.served.Load(), p.traffic.unserved.Load()
	return a
}

// Close ends all gateways.
func (p *hollowGateways) Close() {
	p.traffic.close()
	p.stop()
}

// memoryListener hands connections to a server that stay in this process: pairs of connected
// descriptors, for the gateway asks the system about its clients' connections.
type memoryListener struct {
	accept chan net.Conn
	closed chan struct{}
}

func newMemoryListener() *memoryListener {
	return &memoryListener{accept: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	here, there, err := connPair()
	if err != nil {
		return nil, err
	}
	select {
	case l.accept <- there:
		return here, nil
	case <-l.closed:
		err = net.ErrClosed
	case <-ctx.Done():
		err = ctx.Err()
	}
	here.Close()
	there.Close()
	return nil, err
}

// connPair is two ends of one connection.
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

func connOfDescriptor(fd int) (net.Conn, error) {
	f := os.NewFile(uintptr(fd), "pair")
	defer f.Close() // the connection has a copy
	return net.FileConn(f)
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.accept:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error {
	close(l.closed)
	return nil
}

func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)} }
