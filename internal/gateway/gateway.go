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

	"archknot/choice"
	"archknot/internal/contract/ledger"
	"archknot/internal/figures"
	"archknot/internal/maintenance"
	"archknot/internal/memory"
	"archknot/internal/operator"
	"archknot/internal/peers"
	"archknot/internal/sockets"
	"archknot/internal/subset"
	"archknot/internal/wire/socket"
)

// Options is what a gateway is built with. Package lifecycle reads, checks and
// defaults all of it.
type Options struct {
	Name      string
	Discovery string // address of the registry
	Seed      uint64
	Settings  choice.Settings
	Known     socket.List // the list as last held, maybe old

	MostHeld       int // requests in hand at once
	ClientConns    int // client connections at once
	SpareConns     int // accepted past them, to be told that the gateway is full
	WorkerConns    int // connections to workers at once
	BodyBytes      int64
	MostInstances  int // entries of discovery's list; 0: no bound
	ConnectTimeout time.Duration
	ConnIdle       time.Duration // a kept connection to a worker is closed after so long
	ConnRest       time.Duration // and carries nothing before so long
	ClientIdle     time.Duration // one from a client
	Stall          time.Duration // a begun stream without an event for so long is given up
	ProbeTimeout   time.Duration
	AskWithin      time.Duration // after so long without asking, a change counts as told
	WatchWait      time.Duration // how long the registry may hold a watch call
	CallTimeout    time.Duration // how much longer an answer of the registry may take
	DrainAccept    time.Duration // how long SIGTERM leaves the listener open

	Subset    subset.Settings    // the part of the fleet that it works with
	Capture   *Capture           // nil: nothing is recorded
	Contracts *Contracts         // nil: there are none
	Ledger    *ledger.Store      // of teams' balances; nil: they are not kept
	Peers     *peers.Service     // nil: gateways do not talk
	Handed    bool               // the clients' listening socket is shared with other processes of this gateway
	Orders    *maintenance.Store // of operators; nil: they have no address to call

	Ended func(bad bool) // told of each request that ends: late or not served, or well; nil: nobody
}

// Gateway serves clients by the decisions of one choice.Balancer.
type Gateway struct {
	meters       [figures.PurposeCount]figures.Meter
	o            Options
	clock        clock
	pool         *memory.Pool
	registry     caller      // connections to the registry: apart, that workers' use leaves it one
	moves        chan string // the registry's next address, of which only the last counts
	loop         *loop
	server       *http.Server
	clients      *clients
	live         atomic.Pointer[live] // what versions may change, as other tasks than the loop see it
	refusedLists atomic.Int64         // lists of discovery's that were not taken
	oddEntries   atomic.Int64         // entries of lists that could not be taken as they stood
	unknownKeys  atomic.Int64         // keys of the configuration in force that nothing serves
	rareFull     rare                 // lines that clients can cause at will
	rareAway     rare
	rareOdd      rare
	ready        atomic.Bool
	serving      chan struct{} // closed once listener is set
	listener     net.Listener
	stopped      chan struct{}  // closed once no connection is accepted any more
	keeper       *ledger.Writer // nil: balances are not kept
	agreed       atomic.Bool    // there are contracts
	heard        atomic.Bool    // discovery itself has answered
	listed       listedIDs
	unproven     unproven
	ordersNews   chan struct{}
	calls        operator.Counts
}

// New returns a gateway, or tells why the module does not take its settings.
func New(o Options) (*Gateway, error) {
	g := &Gateway{o: o, clock: newClock(), moves: make(chan string, 1), serving: make(chan struct{}), stopped: make(chan struct{}), ordersNews: make(chan struct{}, 1),
		pool: memory.NewPool(o.WorkerConns, o.ConnIdle, o.ConnectTimeout)}
	g.pool.SetReuseDelay(o.ConnRest)
	g.registry = caller{memory.NewPool(2, o.ConnIdle, o.CallTimeout), &g.meters[figures.PurposeDiscovery]}
	g.live.Store(&live{classes: o.Settings.Classes, mostHeld: o.MostHeld, maxRetryAfter: o.Settings.MaxRetryAfter,
		watchWait: o.WatchWait, callTimeout: o.CallTimeout})
	g.clients = newClients(o.ClientConns, o.SpareConns, g.clock)
	var err error
	if g.loop, err = newLoop(g); err != nil {
		return nil, err
	}
	if err := g.openBooks(); err != nil {
		return nil, err
	}
	if o.Capture != nil {
		w, err := o.Capture.writer(o.Seed)
		if err != nil {
			return nil, err
		}
		g.loop.now = g.clock.now()
		recordOrder{next: &recording{w: w, o: o.Capture.Recorder}}.apply(g.loop)
	}
	g.server = g.newServer()
	if o.Orders != nil {
		o.Orders.Follow(g.ordersChanged)
	}
	return g, nil
}

// Serve runs the gateway on a listener until Drain has ended it.
func (g *Gateway) Serve(ctx context.Context, l net.Listener) error {
	go g.loop.run(ctx)
	go g.watch(ctx)
	go g.sweep(ctx)
	go g.bookkeeping(ctx)
	go g.followOrders(ctx)
	if g.o.Peers != nil {
		go g.o.Peers.Run(ctx)
	}
	g.listener = l
	close(g.serving)
	if g.o.Handed {
		g.awaitReady(ctx)
	}
	err := g.server.Serve(g.clients.listen(sockets.NewRetryListener(l)))
	close(g.stopped)
	if g.clients.stoppingAt.Load() > 0 && errors.Is(err, net.ErrClosed) {
		return nil
	}
	return err
}

// MoveRegistry has the gateway follow the registry at another address from now
// on. What is in hand goes on, and the list as last held stands meanwhile. It is
// called by one task only.
func (g *Gateway) MoveRegistry(addr string) {
	select {
	case <-g.moves: // not yet taken up, and now out of date
	default:
	}
	g.moves <- addr
}

// Drain ends service in order. The listener stays open for a while, because
// the front goes on handing out connections; what comes is answered, and each
// answer ends its connection. Then the listener closes, and what is in hand
// is finished. The server's own Shutdown is not used: it drops requests that have been
// read, and closes connections under those that are being read.
func (g *Gateway) Drain(ctx context.Context) error {
	g.clients.stop()
	<-g.serving
	wait := func(d time.Duration) {
		select {
		case <-time.After(d):
		case <-ctx.Done():
		}
	}
	wait(g.o.DrainAccept)
	_ = g.listener.Close()
	<-g.stopped // what it had accepted is among the clients' connections
	go g.handOver(ctx)
	// By now a request on a connection that was opened and never used would have come.
	wait(g.o.DrainAccept / 4)
	g.clients.endUnused(0)
	return g.clients.none(ctx)
}

// sweep closes connections that are of no more use.
func (g *Gateway) sweep(ctx context.Context) {
	t := time.NewTicker(time.Second)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			g.clock.wall.look(g.clock.now())
			g.pool.CloseExpired()
		case <-ctx.Done():
			return
		}
	}
}

// clock is the monotonic clock in microseconds. It starts at the Unix time, so
// that the start of a worker from before the gateway's own is above 0: a worker
// still cold when its gateway restarts must count as cold.
type clock struct {
	start time.Time
	base  choice.Micros
	wall  *wallClock
}

func newClock() clock {
	now := time.Now()
	return clock{start: now, base: now.UnixMicro(), wall: &wallClock{read: func() choice.Micros { return time.Now().UnixMicro() }}}
}

func (c clock) now() choice.Micros { return c.base + time.Since(c.start).Microseconds() }

// at is the time of a clock reading.
func (c clock) at(us choice.Micros) time.Time {
	return c.start.Add(time.Duration(us-c.base) * time.Microsecond)
}

// since converts Unix milliseconds, the time of a start that is over.
func (c clock) since(unixMs int64) choice.Micros { return c.wall.since(c.now(), unixMs*1000) }
