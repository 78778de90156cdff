package scaletest

import (
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"archknot/internal/httpwire"
)

// ReplicasSpec is the specification of a process with RoleReplicas.
type ReplicasSpec struct {
	First      int           `json:"first"` // number of the first replica
	Count      int           `json:"count"`
	Zones      int           `json:"zones"`
	Seed       uint64        `json:"seed"`
	FirstEvent time.Duration `json:"first_event"` // median time to the first event of a stream
	Events     int           `json:"events"`
	Gap        time.Duration `json:"gap"` // between two events of a stream
}

// hollowReplicas are the hollow replicas of one process. Each has an address, id, zone, kind and start time
// of its own. They respond to attempts after a random time and to health checks at once, and do no work.
type hollowReplicas struct {
	spec         ReplicasSpec
	server       *http.Server
	byAddress    map[string]*replicaState
	byNumber     []*replicaState // in the order of replica numbers, from spec.First on
	meter        connMeter
	attempts     atomic.Int64
	healthChecks atomic.Int64
}

type replicaState struct {
	running     atomic.Int64 // attempts
	connections atomic.Int64 // open connections
}

// replicaPort is the port of all hollow replicas. Their IP addresses differ.
const replicaPort = 18081

// replicaAddress returns the loopback address of the replica with number n.
func replicaAddress(n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+n/62_500, n/250%250, 1+n%250, replicaPort)
}

// startHollowReplicas starts the replicas and returns their endpoints in the Greeting.
func startHollowReplicas(spec ReplicasSpec) (*hollowReplicas, Greeting, error) {
	p := &hollowReplicas{spec: spec, byAddress: map[string]*replicaState{}}
	p.server = &http.Server{Handler: p, IdleTimeout: time.Minute, ConnState: p.trackConn}
	rng := rand.New(rand.NewPCG(spec.Seed, 3))
	var greeting Greeting
	for i := range spec.Count {
		n := spec.First + i
		addr := replicaAddress(n)
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			p.Close()
			return nil, greeting, err
		}
		state := &replicaState{}
		p.byAddress[addr] = state
		p.byNumber = append(p.byNumber, state)
		serveInBackground(p.server, countedListener{listener, &p.meter})
		uptime := time.Duration(float64(time.Hour) * (1 + 99*rng.Float64()))
		greeting.Endpoints = append(greeting.Endpoints, httpwire.Endpoint{
			ID:          fmt.Sprintf("replica-%05d", n),
			Addr:        addr,
			Zone:        zoneName(n % spec.Zones),
			Kind:        fmt.Sprintf("kind-%d", n%2),
			Lifecycle:   lifecycleReady,
			Weight:      1,
			StartedAtMs: time.Now().Add(-uptime).UnixMilli(),
		})
	}
	return p, greeting, nil
}

func zoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

// serveInBackground serves a listener until the server is closed.
func serveInBackground(server *http.Server, listener net.Listener) {
	go func() { _ = server.Serve(listener) }() // the error is http.ErrServerClosed after Close
}

// trackConn counts the open connections of each replica.
func (p *hollowReplicas) trackConn(conn net.Conn, connState http.ConnState) {
	state := p.byAddress[conn.LocalAddr().String()]
	switch connState {
	case http.StateNew:
		state.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		state.connections.Add(-1)
	}
}

// ServeHTTP serves a request as the replica whose address is the local address of the connection.
func (p *hollowReplicas) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	localAddr, ok := r.Context().Value(http.LocalAddrContextKey).(net.Addr)
	if !ok {
		http.Error(w, "request without a local address", http.StatusInternalServerError)
		return
	}
	state := p.byAddress[localAddr.String()]
	switch r.URL.Path {
	case httpwire.StatsPath:
		p.healthChecks.Add(1)
		_, _ = io.WriteString(w, state.loadReport())
	case httpwire.LivePath:
		p.healthChecks.Add(1)
	case httpwire.CompletionsPath:
		p.attempts.Add(1)
		p.serveAttempt(w, r, state)
	default:
		http.NotFound(w, r)
	}
}

// loadReport returns the load report of a replica with a capacity of slots concurrent attempts.
func (s *replicaState) loadReport() string {
	const slots = 16
	running := s.running.Load()
	return fmt.Sprintf("busy_reqs=%d,pending=0,x0=%.4f", running, min(1, float64(running)/slots))
}

// serveAttempt responds to an attempt with a stream of events: the first after a log-normal time with median
// ReplicasSpec.FirstEvent, the others at intervals of ReplicasSpec.Gap.
func (p *hollowReplicas) serveAttempt(w http.ResponseWriter, r *http.Request, state *replicaState) {
	state.running.Add(1)
	defer state.running.Add(-1)
	if _, err := io.Copy(io.Discard, http.MaxBytesReader(w, r.Body, httpwire.MaxBodyBytes)); err != nil {
		return
	}
	const spread = 0.5
	wait := time.Duration(float64(p.spec.FirstEvent) * math.Exp(spread*rand.NormFloat64()))
	flush := http.NewResponseController(w)
	for n := range p.spec.Events {
		if !pause(r.Context(), wait) {
			return
		}
		if n == 0 {
			w.Header().Set("Content-Type", "text/event-stream")
			wait = p.spec.Gap
		}
		fmt.Fprintf(w, "data: {\"choices\":[{\"index\":0,\"delta\":{\"content\":\"word%d \"},\"finish_reason\":null}]}\n\n", n)
		if flush.Flush() != nil {
			return
		}
	}
	fmt.Fprintf(w, "data: {\"choices\":[],\"usage\":{\"prompt_tokens\":100,\"completion_tokens\":%d,\"prompt_tokens_details\":{\"cached_tokens\":0}}}\n\n"+
		"data: [DONE]\n\n: Srv-Load: %s\n\n", p.spec.Events, state.loadReport())
}

// pause waits for a duration. It reports false if the context ends first.
func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Handle carries out CommandMeasure: it returns the calls served and each replica's open connections.
func (p *hollowReplicas) Handle(_ context.Context, command Command) Reply {
	if command.Name != CommandMeasure {
		return Reply{Error: "replicas: unknown command " + command.Name}
	}
	reply := Reply{
		At:    time.Now(),
		Usage: ownUsage(),
		Calls: Calls{
			Attempts:     p.attempts.Load(),
			HealthChecks: p.healthChecks.Load(),
			BytesIn:      p.meter.in.Load(),
			BytesOut:     p.meter.out.Load(),
		},
	}
	for _, state := range p.byNumber {
		reply.ReplicaConns = append(reply.ReplicaConns, int(state.connections.Load()))
	}
	return reply
}

// Close stops all replicas and closes their connections.
func (p *hollowReplicas) Close() { p.server.Close() }

// connMeter counts the bytes that connections have received and sent.
type connMeter struct{ in, out atomic.Int64 }

// countedListener accepts connections whose bytes are counted in a meter.
type countedListener struct {
	net.Listener
	meter *connMeter
}

// Accept implements net.Listener.
func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, meter: l.meter}, nil
}

// countedConn counts its bytes in a meter.
type countedConn struct {
	net.Conn
	meter *connMeter
}

// Read implements net.Conn.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(int64(n))
	return n, err
}
