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

// event is an input of the event loop, which applies events one at a time.
type event interface{ apply(l *eventLoop) }

// eventLoop owns the decision module and all state that belongs to it. Other goroutines post
// events; the loop sends them the module's actions over buffered channels, so that a slow
// connection never blocks the loop.
type eventLoop struct {
	gateway   *Gateway
	balancer  *balancer.Balancer
	module    capture.Module    // the balancer, or the recorder that wraps it
	recording *captureRecording // nil: nothing is recorded

	events   chan event
	deferred []event         // events caused by an action; applied at the end of the turn
	now      balancer.Micros // the clock's reading at the start of the turn
	timers   timerQueue
	busyTime time.Duration

	requests   *inflight.Table
	endpoints  endpointTracker
	accounting contractAccounting
	zones      zoneMonitor
	list       listMonitor
	reportAges controlstats.ReportAge

	pollRequests      chan struct{} // to the goroutine that watches discovery
	discoveryAnswered bool          // discovery itself has answered a poll
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

// post queues an event for the loop. It blocks while the queue is full, and drops the event if
// the context ends meanwhile.
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

// applyQueued applies first, unless it is nil, and then the events that are already queued.
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

// loopQuery is an event that evaluates a function in the loop and sends its result.
type loopQuery[T any] struct {
	run    func(*eventLoop) T
	result chan T
}

func (q loopQuery[T]) apply(l *eventLoop) { q.result <- q.run(l) }

// queryLoop evaluates a function in the event loop and returns its result, or the context's
// error.
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

// timer is a pending timer of the decision module, which identifies it by the token.
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
