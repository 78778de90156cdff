package gateway

import (
	"container/heap"
	"context"
	"time"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/controlstats"
	"archknot/internal/inflight"
)

// eventQueueLength is the capacity of the event loop's queue; a sender waits while it is full.
const eventQueueLength = 1024

// event is something that happened. The event loop applies it between two others.
type event interface{ apply(l *eventLoop) }

// eventLoop owns the decision module and all state that goes with it. Other goroutines
// post events; the module's actions reach them through channels with enough capacity, so
// that no connection ever blocks the loop.
type eventLoop struct {
	gateway   *Gateway
	balancer  *balancer.Balancer
	module    capture.Module    // balancer, or the recorder in front of it
	recording *captureRecording // nil: nothing is recorded

	events   chan event
	deferred []event         // caused by an action; applied at the end of the turn
	now      balancer.Micros // read once in each turn
	timers   timerQueue
	busyTime time.Duration

	requests   *inflight.Table
	endpoints  endpointTracker
	accounting contractAccounting
	zones      zoneMonitor
	list       listMonitor
	reportAges controlstats.ReportAge

	pollRequests      chan struct{} // to the goroutine that watches discovery
	discoveryAnswered bool          // discovery itself has sent a list
}

func newEventLoop(g *Gateway) (*eventLoop, error) {
	l := &eventLoop{
		gateway:      g,
		events:       make(chan event, eventQueueLength),
		pollRequests: make(chan struct{}, 1),
		requests:     inflight.NewTable(),
	}
	var err error
	if l.balancer, err = balancer.New(g.options.Settings, g.options.Seed, l); err != nil {
		return nil, err
	}
	l.module = l.balancer
	l.publishListExpiry()
	l.endpoints = newEndpointTracker(g.options.Subset, l.balancer)
	if g.options.Orders != nil {
		l.endpoints.ejected = g.options.Orders.AllEjected()
	}
	return l, nil
}

// post hands an event to the loop. It waits while the queue is full.
func (l *eventLoop) post(ctx context.Context, e event) {
	select {
	case l.events <- e:
	case <-ctx.Done():
	}
}

// run applies events and fires timers until the context ends.
func (l *eventLoop) run(ctx context.Context) {
	l.now = l.gateway.clock.now()
	l.module.Start(l.now)
	l.loadCachedList(l.gateway.options.CachedList)
	wake := time.NewTimer(0)
	defer wake.Stop()
	for {
		var first event
		select {
		case first = <-l.events:
		case <-wake.C:
		case <-ctx.Done():
			return
		}
		l.now = l.gateway.clock.now()
		turnStart := time.Now()
		l.applyQueued(first)
		l.fireTimers()
		l.applyDeferred()
		l.zones.logChanges(l.now, l.balancer)
		l.list.logChanges(l.now, l.balancer, l.endpoints.Version())
		l.busyTime += time.Since(turnStart)
		if len(l.timers) > 0 {
			wake.Reset(time.Until(l.gateway.clock.timeAt(l.timers[0].at)))
		}
	}
}

// applyQueued applies the first event, if there is one, and those queued by now.
func (l *eventLoop) applyQueued(first event) {
	if first != nil {
		first.apply(l)
	}
	for n := len(l.events); n > 0; n-- {
		(<-l.events).apply(l)
	}
}

func (l *eventLoop) fireTimers() {
	for {
		t, expired := l.timers.popExpired(l.now)
		if !expired {
			return
		}
		l.module.TimerFired(l.now, t.token)
	}
}

func (l *eventLoop) applyDeferred() {
	for len(l.deferred) > 0 {
		e := l.deferred[0]
		l.deferred = l.deferred[1:]
		e.apply(l)
	}
}

// loopQuery has the loop evaluate a function between two events.
type loopQuery[T any] struct {
	run    func(*eventLoop) T
	result chan T
}

func (q loopQuery[T]) apply(l *eventLoop) { q.result <- q.run(l) }

// queryLoop returns the result of a function that the loop evaluates between two events.
func queryLoop[T any](ctx context.Context, l *eventLoop, run func(*eventLoop) T) (result T, err error) {
	query := loopQuery[T]{run, make(chan T, 1)}
	l.post(ctx, query)
	select {
	case result = <-query.result:
		return result, nil
	case <-ctx.Done():
		return result, ctx.Err()
	}
}

// timer is one that the decision module has set.
type timer struct {
	at    balancer.Micros
	token uint64
}

// timerQueue is a heap of timers, the earliest first.
type timerQueue []timer

func (q *timerQueue) add(at balancer.Micros, token uint64) {
	heap.Push(q, timer{at: at, token: token})
}

// popExpired removes and returns the earliest timer if it has expired.
func (q *timerQueue) popExpired(now balancer.Micros) (t timer, expired bool) {
	if len(*q) == 0 || (*q)[0].at > now {
		return timer{}, false
	}
	t = (*q)[0]
	heap.Pop(q)
	return t, true
}

// The following methods implement heap.Interface.

func (q timerQueue) Len() int           { return len(q) }
func (q timerQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q timerQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }

func (q *timerQueue) Push(x any) {
	if t, ok := x.(timer); ok {
		*q = append(*q, t)
	}
}

func (q *timerQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}
