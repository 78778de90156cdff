// Package gateway is the gateway itself: the server, which serves clients;
// the loop, which owns the decision module; and the tasks that carry out what
// the module asks for. It never picks, retries or sheds by itself.
package gateway

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"archknot/balancer"
	"archknot/internal/adminapi"
	"archknot/internal/connpool"
	"archknot/internal/contract/ledger"
	"archknot/internal/controlstats"
	"archknot/internal/httpwire"
	"archknot/internal/maintenance"
	"archknot/internal/peers"
	"archknot/internal/sockets"
	"archknot/internal/subset"
)

// Options is what a gateway is built with. Package lifecycle reads, checks and
// defaults all of it.
type Options struct {
	Name       string
	Discovery  string // address of the registry
	Seed       uint64
	Settings   balancer.Settings
	CachedList httpwire.EndpointList // the list as last held, maybe old

	MaxInFlight           int // requests in hand at once
	MaxClientConns        int // client connections at once
	OverflowConns         int // accepted past them, to be told that the gateway is full
	MaxReplicaConns       int // connections to workers at once
	MaxBodyBytes          int64
	MaxListEntries        int // entries of discovery's list; 0: no bound
	ConnectTimeout        time.Duration
	ReplicaConnIdle       time.Duration // a kept connection to a worker is closed after so long
	ReplicaConnReuseDelay time.Duration // and carries nothing before so long
	ClientConnIdle        time.Duration // one from a client
	StreamIdleTimeout     time.Duration // a begun stream without an event for so long is given up
	HealthCheckTimeout    time.Duration
	PollWithin            time.Duration // after so long without asking, a change counts as told
	WatchWait             time.Duration // how long the registry may hold a watch call
	DiscoveryTimeout      time.Duration // how much longer an answer of the registry may take
	DrainAcceptPeriod     time.Duration // how long SIGTERM leaves the listener open

	Subset         subset.Settings    // the part of the fleet that it works with
	Capture        *Capture           // nil: nothing is recorded
	Contracts      *Contracts         // nil: there are none
	Ledger         *ledger.Store      // of teams' balances; nil: they are not kept
	Peers          *peers.Service     // nil: gateways do not talk
	SharedListener bool               // the clients' listening socket is shared with other processes of this gateway
	Orders         *maintenance.Store // of operators; nil: they have no address to call

	RequestEnded func(bad bool) // told of each request that ends: late or not served, or well; nil: nobody
}

// Gateway serves clients by the decisions of one choice.Balancer.
type Gateway struct {
	meters            [controlstats.PurposeCount]controlstats.Meter
	options           Options
	clock             monotonicClock
	pool              *connpool.Pool
	discovery         pooledClient // connections to the registry: apart, that workers' use leaves it one
	discoveryMoves    chan string  // the registry's next address, of which only the last counts
	loop              *eventLoop
	server            *http.Server
	clients           *clientTracker
	config            atomic.Pointer[liveConfig] // what versions may change, as other tasks than the loop see it
	rejectedLists     atomic.Int64               // lists of discovery's that were not taken
	invalidEntries    atomic.Int64               // entries of lists that could not be taken as they stood
	unknownKeys       atomic.Int64               // keys of the configuration in force that nothing serves
	capacityLog       rateLimitedLog             // lines that clients can cause at will
	rejectLog         rateLimitedLog
	invalidEntryLog   rateLimitedLog
	ready             atomic.Bool
	listening         chan struct{} // closed once listener is set
	listener          net.Listener
	acceptDone        chan struct{}  // closed once no connection is accepted any more
	ledgerWriter      *ledger.Writer // nil: balances are not kept
	hasContracts      atomic.Bool    // there are contracts
	discoveryAnswered atomic.Bool    // discovery itself has answered
	recentReplicas    replicaIDHistory
	pendingEjections  pendingEjections
	orderUpdates      chan struct{}
	adminCalls        adminapi.CallCounts
}

// New returns a gateway, or tells why the module does not take its settings.
func New(o Options) (*Gateway, error) {
	g := &Gateway{options: o, clock: newMonotonicClock(), discoveryMoves: make(chan string, 1), listening: make(chan struct{}), acceptDone: make(chan struct{}), orderUpdates: make(chan struct{}, 1),
		pool: connpool.NewPool(o.MaxReplicaConns, o.ReplicaConnIdle, o.ConnectTimeout)}
	g.pool.SetReuseDelay(o.ReplicaConnReuseDelay)
	g.discovery = pooledClient{connpool.NewPool(2, o.ReplicaConnIdle, o.DiscoveryTimeout), &g.meters[controlstats.PurposeDiscovery]}
	g.config.Store(&liveConfig{classes: o.Settings.Classes, maxInFlight: o.MaxInFlight, maxRetryAfter: o.Settings.MaxRetryAfter,
		watchWait: o.WatchWait, discoveryTimeout: o.DiscoveryTimeout})
	g.clients = newClientTracker(o.MaxClientConns, o.OverflowConns, g.clock)
	var err error
	if g.loop, err = newEventLoop(g); err != nil {
		return nil, err
	}
	if err := g.openLedger(); err != nil {
		return nil, err
	}
	if o.Capture != nil {
		w, err := o.Capture.newWriter(o.Seed)
		if err != nil {
			return nil, err
		}
		g.loop.now = g.clock.now()
		captureChange{next: &captureRecording{writer: w, options: o.Capture.Recorder}}.apply(g.loop)
	}
	g.server = g.newServer()
	if o.Orders != nil {
		o.Orders.OnChange(g.onOrdersChanged)
	}
	return g, nil
}

// Serve runs the gateway on a listener until Drain has ended it.
func (g *Gateway) Serve(ctx context.Context, l net.Listener) error {
	go g.loop.run(ctx)
	go g.watchDiscovery(ctx)
	go g.runHousekeeping(ctx)
	go g.runLedgerTicks(ctx)
	go g.followOrders(ctx)
	if g.options.Peers != nil {
		go g.options.Peers.Run(ctx)
	}
	g.listener = l
	close(g.listening)
	if g.options.SharedListener {
		g.awaitReady(ctx)
	}
	err := g.server.Serve(g.clients.wrapListener(sockets.NewRetryListener(l)))
	close(g.acceptDone)
	if g.clients.shutdownAt.Load() > 0 && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// MoveDiscovery has the gateway follow the registry at another address from now
// on. What is in hand goes on, and the list as last held stands meanwhile. It is
// called by one task only.
func (g *Gateway) MoveDiscovery(addr string) {
	select {
	case <-g.discoveryMoves: // not yet taken up, and now out of date
	default:
	}
	g.discoveryMoves <- addr
}

// Drain ends service in order. The listener stays open for a while, because
// the front goes on handing out connections; what comes is answered, and each
// answer ends its connection. Then the listener closes, and what is in hand
// is finished. The server's own Shutdown is not used: it drops requests that have been
// read, and closes connections under those that are being read.
func (g *Gateway) Drain(ctx context.Context) error {
	g.clients.beginShutdown()
	<-g.listening
	wait := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	wait(g.options.DrainAcceptPeriod)
	_ = g.listener.Close()
	<-g.acceptDone // what it had accepted is among the clients' connections
	go g.handOverRequests(ctx)
	// By now a request on a connection that was opened and never used would have come.
	wait(g.options.DrainAcceptPeriod / 4)
	g.clients.closeUnused(0)
	return g.clients.waitUntilEmpty(ctx)
}

// runHousekeeping closes connections that are of no more use.
func (g *Gateway) runHousekeeping(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.clock.wall.observe(g.clock.now())
			g.pool.CloseExpired()
		case <-ctx.Done():
			return
		}
	}
}

// monotonicClock is the monotonic clock in microseconds. It starts at the Unix time, so
// that the start of a worker from before the gateway's own is above 0: a worker
// still cold when its gateway restarts must count as cold.
type monotonicClock struct {
	start time.Time
	base  balancer.Micros
	wall  *wallClock
}

func newMonotonicClock() monotonicClock {
	now := time.Now()
	return monotonicClock{start: now, base: now.UnixMicro(), wall: &wallClock{read: func() balancer.Micros { return time.Now().UnixMicro() }}}
}

func (c monotonicClock) now() balancer.Micros { return c.base + time.Since(c.start).Microseconds() }

// timeAt is the time of a clock reading.
func (c monotonicClock) timeAt(us balancer.Micros) time.Time {
	return c.start.Add(time.Duration(us-c.base) * time.Microsecond)
}

// fromUnixMillis converts Unix milliseconds, the time of a start that is over.
func (c monotonicClock) fromUnixMillis(unixMs int64) balancer.Micros {
	return c.wall.toMonotonic(c.now(), unixMs*1000)
}
