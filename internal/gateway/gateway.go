package gateway

import (
	"context"
	"log/slog"
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
	// maxDiscoveryConns bounds the connections to discovery: one for the running call, and one
	// for the first call to a new address.
	maxDiscoveryConns = 2
	// housekeepingInterval is how often expired connections are closed and the wall clock is
	// checked for steps.
	housekeepingInterval = time.Second
	// unusedConnDivisor determines how long a drain waits, after the listener has closed, for
	// the first request on unused connections: DrainAcceptPeriod / unusedConnDivisor.
	unusedConnDivisor = 4
)

// Gateway forwards clients' requests to replicas as one balancer.Balancer decides.
type Gateway struct {
	options Options
	clock   monotonicClock
	config  atomic.Pointer[liveConfig] // the settings that configuration versions may change
	loop    *eventLoop

	// Clients.
	server     *http.Server
	clients    *clientTracker
	listener   net.Listener
	listening  chan struct{} // closed once listener is set
	acceptDone chan struct{} // closed once no connection is accepted any more
	ready      atomic.Bool   // set once a replica can take work, and never cleared

	// Replicas and discovery. Discovery has a pool of its own, so that connections to
	// replicas cannot exhaust its connections.
	pool              *connpool.Pool
	discovery         pooledClient
	replacesProcess   bool               // another process of this gateway was running at the start
	discoveryMoves    chan discoveryMove // only the latest is kept
	discoveryAnswered atomic.Bool        // discovery itself has answered a poll
	listValidUntil    atomic.Int64       // the clock's reading from which the list is too old for new attempts

	// Contracts.
	ledgerWriter *ledger.Writer // nil: balances are not stored
	hasContracts atomic.Bool

	// Operators' orders.
	pendingEjections pendingEjections
	orderUpdates     chan struct{}
	adminCalls       adminapi.CallCounts

	// Statistics, and logs whose rate clients or discovery determine.
	meters          [controlstats.PurposeCount]controlstats.Meter
	polls           pollCounts   // of discovery
	rejectedLists   atomic.Int64 // endpoint lists that were not applied
	invalidEntries  atomic.Int64 // list entries that were invalid, and applied in part or not at all
	unknownKeys     atomic.Int64 // configuration keys that the program does not support
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
		discoveryMoves: make(chan discoveryMove, 1),
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
	g.replacesProcess = g.hasPredecessor()
	g.clients = newClientTracker(options.MaxClientConns, options.OverflowConns, options.MaxHeadBytes, g.clock)
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
	if options.Siblings != nil {
		if err := options.Siblings.Serve(g.clients); err != nil {
			slog.Warn("request_ids_not_shared", "err", err)
		}
	}
	return g, nil
}

// Serve accepts connections of clients and serves them until Drain closes the listener. It
// returns nil after a drain, and the listener's error otherwise.
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

// MoveDiscovery switches the gateway to another address of discovery, as it was ordered at orderedAt.
// Requests in flight continue, and the last list stays in force for a limited time until that address
// has sent one. Only one goroutine may call it at a time.
func (g *Gateway) MoveDiscovery(addr string, orderedAt time.Time) {
	move := discoveryMove{addr, orderedAt}
	select {
	case pending := <-g.discoveryMoves: // is replaced, but its changes count as known by its own time
		move.orderedAt = pending.orderedAt
	default:
	}
	g.discoveryMoves <- move
}

// Drain shuts the gateway down gracefully. It returns once all client connections have ended,
// or with the context's error. The listener stays open for DrainAcceptPeriod, because the
// front still opens connections; each answer closes its connection. Then the listener closes,
// and requests in flight are finished. http.Server.Shutdown is not used: it drops requests
// that have been read, and closes connections on which a request is arriving.
func (g *Gateway) Drain(ctx context.Context) error {
	g.clients.beginShutdown()
	<-g.listening
	sleep(ctx, g.options.DrainAcceptPeriod)
	g.closeListener(ctx)
	<-g.acceptDone // all accepted connections are tracked from here on
	go g.handOverRequests(ctx)
	sleep(ctx, g.options.DrainAcceptPeriod/unusedConnDivisor)
	g.clients.closeUnused(0)
	return g.clients.waitUntilEmpty(ctx)
}

// HandOverRequestIDs gives the ids of requests that must not run again to the other processes of the gateway. It is called
// after Drain.
func (g *Gateway) HandOverRequestIDs() {
	if g.options.Siblings != nil {
		g.options.Siblings.HandOver(g.clients.recentRequests())
		g.options.Siblings.Close()
	}
}

// sleep waits for d, or until the context ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-time.After(d):
	case <-ctx.Done():
	}
}

// runHousekeeping closes expired connections to replicas and checks the wall clock for steps
// until the context ends.
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
