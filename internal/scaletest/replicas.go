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

// ReplicasSpec is what hollow replicas are made by.
type ReplicasSpec struct {
	First      int           `json:"first"` // number of the first
	Count      int           `json:"count"`
	Zones      int           `json:"zones"`
	Seed       uint64        `json:"seed"`
	FirstEvent time.Duration `json:"first_event"` // median time to it
	Events     int           `json:"events"`
	Gap        time.Duration `json:"gap"` // between two events
}

// hollowReplicas are hollow replicas of one process: each has an address, id, zone, kind and start of its
// own, answers attempts, probes and load reports after a drawn time, and does no work.
type hollowReplicas struct {
	spec      ReplicasSpec
	server    *http.Server
	byAddress map[string]*replicaState // by address
	byNumber  []*replicaState
	meter     connMeter
	calls     [2]atomic.Int64 // attempts, probes
}

type replicaState struct {
	running     atomic.Int64
	connections atomic.Int64
}

// replicaPort is the port of every hollow replica; their addresses differ.
const replicaPort = 18081

// replicaAddress is the loopback address of a replica by its number.
func replicaAddress(n int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 64+n/62_500, n/250%250, 1+n%250, replicaPort)
}

func startHollowReplicas(spec ReplicasSpec) (*hollowReplicas, Greeting, error) {
	p := &hollowReplicas{spec: spec, byAddress: map[string]*replicaState{}}
	p.server = &http.Server{Handler: p, IdleTimeout: time.Minute, ConnState: p.trackConn}
	rng := rand.New(rand.NewPCG(spec.Seed, 3))
	var hello Greeting
	for i := range spec.Count {
		n := spec.First + i
		addr := replicaAddress(n)
		l, err := net.Listen("tcp", addr)
		if err != nil {
			p.Close()
			return nil, hello, err
		}
		state := &replicaState{}
		p.byAddress[addr] = state
		p.byNumber = append(p.byNumber, state)
		go p.server.Serve(countedListener{l, &p.meter})
		up := time.Duration(float64(time.Hour) * (1 + 99*rng.Float64()))
		hello.Endpoints = append(hello.Endpoints, httpwire.Endpoint{ID: fmt.Sprintf("replica-%05d", n), Addr: addr, Zone: zoneName(n % spec.Zones),
			Kind: fmt.Sprintf("kind-%d", n%2), Lifecycle: "ready", Weight: 1, StartedAtMs: time.Now().Add(-up).UnixMilli()})
	}
	return p, hello, nil
}

func zoneName(n int) string { return fmt.Sprintf("zone-%d", n) }

// trackConn counts the connections of each replica.
func (p *hollowReplicas) trackConn(c net.Conn, s http.ConnState) {
	state := p.byAddress[c.LocalAddr().String()]
	switch s {
	case http.StateNew:
		state.connections.Add(1)
	case http.StateClosed, http.StateHijacked:
		state.connections.Add(-1)
	}
}

func (p *hollowReplicas) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	state := p.byAddress[r.Context().Value(http.LocalAddrContextKey).(net.Addr).String()]
	switch r.URL.Path {
	case httpwire.StatsPath:
		p.calls[1].Add(1)
		io.WriteString(w, state.loadReport())
	case httpwire.LivePath:
		p.calls[1].Add(1)
	case httpwire.CompletionsPath:
		p.calls[0].Add(1)
		p.serveAttempt(w, r, state)
	default:
		http.NotFound(w, r)
	}
}

// loadReport is the report of a replica that can run slots attempts at once.
func (s *replicaState) loadReport() string {
	const slots = 16
	running := s.running.Load()
	return fmt.Sprintf("busy_reqs=%d,pending=0,x0=%.4f", running, min(1, float64(running)/slots))
}

// serveAttempt answers one attempt: its first event after a drawn time, the others each after the gap.
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

func pause(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// Handle tells figures.
func (p *hollowReplicas) Handle(_ context.Context, o Command) Reply {
	if o.Name != CommandMeasure {
		return Reply{Error: "replicas: unknown order " + o.Name}
	}
	a := Reply{At: time.Now(), Usage: ownUsage(), Calls: Calls{Attempts: p.calls[0].Load(), Probes: p.calls[1].Load()}}
	a.Calls.BytesIn, a.Calls.BytesOut = p.meter.in.Load(), p.meter.out.Load()
	for _, s := range p.byNumber {
		a.ReplicaConns = append(a.ReplicaConns, int(s.connections.Load()))
	}
	return a
}

// Close ends all replicas.
func (p *hollowReplicas) Close() { p.server.Close() }

// connMeter counts the bytes of connections.
type connMeter struct{ in, out atomic.Int64 }

// countedListener accepts connections whose bytes are counted.
type countedListener struct {
	net.Listener
	meter *connMeter
}

func (l countedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countedConn{Conn: c, meter: l.meter}, nil
}

type countedConn struct {
	net.Conn
	meter *connMeter
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.in.Add(int64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.out.Add(int64(n))
	return n, err
}
