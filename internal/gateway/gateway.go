package gateway

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"archknot/internal/adminapi"
	"archknot/internal/connpool"
	"archknot/internal/contract/ledger"
	"archknot/internal/controlstats"
	"archknot/internal/sockets"
)

const (
	// maxDiscoveryConns bounds the connections to discovery: one for the call that runs, and
	// one for the call after a move.
	maxDiscoveryConns = 2
	// housekeepingInterval is how often idle connections and the wall clock are looked after.
	housekeepingInterval = time.Second
	// unusedConnDivisor of DrainAcceptPeriod is how long a drain waits, after the listener
	// is closed, for the first request on connections that were never used.
	unusedConnDivisor = 4
)

// Gateway serves clients by the decisions of one balancer.Balancer.
type Gateway struct {
	options Options
	clock   monotonicClock
	config  atomic.Pointer[liveConfig] // what configuration versions may change
	loop    *eventLoop

	// Clients.
	server     *http.Server
	clients    *clientTracker
	listener   net.Listener
	listening  chan struct{} // closed once listener is set
	acceptDone chan struct{} // closed once no connection is accepted any more
	ready      atomic.Bool   // a replica can take work

	// Replicas and discovery. Discovery has a pool of its own, so that connections to
	// replicas never use up its share.
	pool              *connpool.Pool
	discovery         pooledClient
	discoveryMoves    chan string  // discovery's next address; only the latest counts
	discoveryAnswered atomic.Bool  // discovery itself has answered
	listValidUntil    atomic.Int64 // when the list becomes too old for new attempts, on the clock

	// Contracts.
	ledgerWriter *ledger.Writer // nil: balances are not stored
	hasContracts atomic.Bool

	// Operators' orders.
	recentReplicas   replicaIDHistory
	pendingEjections pendingEjections
	orderUpdates     chan struct{}
	adminCalls       adminapi.CallCounts

	// Statistics, and logs that clients or discovery can cause at any rate.
	meters          [controlstats.PurposeCount]controlstats.Meter
	polls           pollCounts   // of discovery
	rejectedLists   atomic.Int64 // endpoint lists that were not applied
	invalidEntries  atomic.Int64 // entries that could not be applied as they were
	unknownKeys     atomic.Int64 // keys of the configuration that nothing serves
	capacityLog     rateLimitedLog
	rejectLog       rateLimitedLog
	invalidEntryLog rateLimitedLog
}

// New returns a gateway, or an error if the decision module does not accept its settings, the
// stored balances cannot be read or written, or the capture cannot be opened.
func New(options Options) (*Gateway, error) {
	g := &Gateway{
		options:        options,
		clock:          newMonotonicClock(),
		discoveryMoves: make(chan string, 1),
		listening:      make(chan struct{}),
		acceptDone:     make(chan struct{}),
		orderUpdates:   make(chan struct{}, 1),
		pool:           connpool.NewPool(options.MaxReplicaConns, options.ReplicaConnIdleTimeout, options.ConnectTimeout),
	}
	g.pool.SetReuseDelay(options.ReplicaConnReuseDelay)
	g.discovery = pooledClient{
		pool:  connpool.NewPool(maxDiscoveryConns, options.ReplicaConnIdleTimeout, options.DiscoveryTimeout),
		meter: &g.meters[controlstats.PurposeDiscovery],
	}
	g.config.Store(&liveConfig{
		classes:          options.Settings.Classes,
		maxInFlight:      options.MaxInFlight,
		maxRetryAfter:    options.Settings.MaxRetryAfter,
		watchWait:        options.WatchWait,
		discoveryTimeout: options.DiscoveryTimeout,
	})
	g.clients = newClientTracker(options.MaxClientConns, options.OverflowConns, g.clock)
	var err error
	if g.loop, err = newEventLoop(g); err != nil {
		return nil, err
	}
	if err := g.openLedger(); err != nil {
		return nil, err
	}
	if err := g.startCapture(); err != nil {
		return nil, err
	}
	g.server = g.newServer()
	if options.Orders != nil {
		options.Orders.OnChange(g.onOrdersChanged)
	}
	return g, nil
}

// Serve serves clients on a listener until Drain has ended it. It returns nil after a drain.
func (g *Gateway) Serve(ctx context.Context, listener net.Listener) error {
	go g.loop.run(ctx)
	go g.watchDiscovery(ctx)
	go g.runHousekeeping(ctx)
	go g.runLedgerTicks(ctx)
	go g.followOrders(ctx)
	if g.options.Peers != nil {
		go g.options.Peers.Run(ctx)
	}
	g.listener = listener
	close(g.listening)
	if g.options.SharedListener {
		g.awaitReady(ctx)
	}
	err := g.server.Serve(g.clients.wrapListener(sockets.NewRetryListener(listener)))
	close(g.acceptDone)
	if g.clients.shutdownAt.Load() > 0 && sockets.IsClosed(err) {
		return nil
	}
	return err
}

// MoveDiscovery has the gateway follow discovery at another address from now on. Requests in
// flight go on, and the last list stays in force meanwhile. Only one goroutine may call it at
// a time.
func (g *Gateway) MoveDiscovery(addr string) {
	select {
	case <-g.discoveryMoves: // an earlier move that was not followed yet
	default:
	}
	g.discoveryMoves <- addr
}

// Drain shuts the gateway down gracefully, and returns once all client connections have ended
// or the context has. The listener stays open for a while, because the front goes on handing
// out connections; each answer ends its connection. Then the listener closes, and requests in
// flight are finished. The server's own Shutdown is not used: it drops requests that have
// been read, and closes connections under those that are being read.
func (g *Gateway) Drain(ctx context.Context) error {
	g.clients.beginShutdown()
	<-g.listening
	sleep(ctx, g.options.DrainAcceptPeriod)
	g.closeListener(ctx)
	<-g.acceptDone // the connections that it accepted are tracked now
	go g.handOverRequests(ctx)
	sleep(ctx, g.options.DrainAcceptPeriod/unusedConnDivisor)
	g.clients.closeUnused(0)
	return g.clients.waitUntilEmpty(ctx)
}

// sleep returns after a time, or when the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// runHousekeeping closes expired connections and follows the wall clock until the context
// ends.
func (g *Gateway) runHousekeeping(ctx context.Context) {
	ticker := time.NewTicker(housekeepingInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.clock.wall.observe(g.clock.now())
			g.pool.CloseExpired()
		case <-ctx.Done():
			return
		}
	}
}
