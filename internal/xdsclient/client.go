package xdsclient

import (
	"context"
	"errors"
	"io"
	"sync/atomic"
	"time"

	"google.golang.org/grpc/credentials"

	"archknot/balancer"
	"archknot/internal/configversion"
)

// Target applies versions to the gateway.
type Target interface {
	// Apply applies a complete version, or returns to an earlier one; nil stands for the
	// configuration files. If it returns rejections, nothing has changed. It may block on
	// the balancer's goroutine, but not on the network.
	Apply(ctx context.Context, c *configversion.Config) configversion.Rejections
}

// Options configures a Client.
type Options struct {
	Address string
	Delta   bool                             // use the incremental variant of the protocol
	TLS     credentials.TransportCredentials // nil: no TLS, for loopback addresses only
	Machine configversion.Options
	Store   *Store                        // nil: nothing is saved across restarts
	Log     func(msg string, args ...any) // nil: no logging; arguments as of slog.Info
}

// eventQueueSize is the capacity of the event queue of the goroutine of Run.
const eventQueueSize = 256

// requestCountInterval is how often ended requests are reported to the machine.
const requestCountInterval = 100 * time.Millisecond

// Client receives versions from a control service and applies them to a Target. The
// goroutine of Run owns the machine; the goroutines of the stream post events to it.
type Client struct {
	options     Options
	target      Target
	machine     *configversion.Machine
	events      chan func(now balancer.Micros)
	startedAt   time.Time
	stream      *stream         // the current stream; nil: none
	runContext  context.Context // context of Run; the methods of configversion.Host have no context parameter
	streamCount int

	onTimeRequests, lateOrUnservedRequests atomic.Int64 // ended requests that the machine has not counted yet
	inForce                                atomic.Pointer[configversion.Config]
	connected                              atomic.Bool
}

// New returns a client that continues from the version in the store, which Run applies. It
// returns an error if the store cannot be read.
func New(o Options, target Target) (*Client, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	c := &Client{options: o, target: target, events: make(chan func(balancer.Micros), eventQueueSize), startedAt: time.Now()}
	var inForce *configversion.Config
	var rejected []configversion.Number
	if o.Store != nil {
		var err error
		if inForce, rejected, err = o.Store.Load(); err != nil {
			return nil, err
		}
	}
	c.inForce.Store(inForce)
	c.machine = configversion.New(o.Machine, c, inForce, rejected)
	return c, nil
}

// now returns the machine's time. It is never 0, which the machine uses for "none".
func (c *Client) now() balancer.Micros { return 1 + time.Since(c.startedAt).Microseconds() }

// InForce returns the version in force; nil means the configuration files. It is safe for concurrent use.
func (c *Client) InForce() *configversion.Config { return c.inForce.Load() }

// Connected reports whether the stream is open. It is safe for concurrent use.
func (c *Client) Connected() bool { return c.connected.Load() }

// RequestEnded counts a request that ended, for the verification of the version in force.
// It never blocks, and is safe for concurrent use.
func (c *Client) RequestEnded(lateOrUnserved bool) {
	if lateOrUnserved {
		c.lateOrUnservedRequests.Add(1)
	} else {
		c.onTimeRequests.Add(1)
	}
}

// Rollback starts a rollback to the previous version. If it returns nil, the rollback is saved and survives a
// restart; if it returns an error of configversion, nothing has changed; if ctx has ended, the result is
// unknown. It is safe for concurrent use while Run is running.
func (c *Client) Rollback(ctx context.Context, reason string) error {
	started := make(chan error, 1)
	if !c.post(ctx, func(now balancer.Micros) { started <- c.machine.Rollback(now, reason) }) {
		return ctx.Err()
	}
	select {
	case err := <-started:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// post queues a function to be called by the goroutine of Run. It returns false if the
// context ended before the function was queued.
func (c *Client) post(ctx context.Context, event func(balancer.Micros)) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run applies the stored version, and then receives versions from the control service until
// the context ends. The gateway starts without waiting for it.
func (c *Client) Run(ctx context.Context) {
	c.runContext = ctx
	c.applyStored(ctx)
	c.machine.Start(c.now())
	countTicker := time.NewTicker(requestCountInterval)
	defer countTicker.Stop()
	tick := time.NewTimer(time.Hour)
	defer tick.Stop()
	for {
		select {
		case event := <-c.events:
			event(c.now())
		case <-countTicker.C:
			c.countRequests()
		case <-tick.C:
			c.machine.Tick(c.now())
		case <-ctx.Done():
			if c.stream != nil {
				c.stream.cancel()
			}
			return
		}
		if at := c.machine.NextTick(); at > 0 {
			tick.Reset(time.Duration(max(0, at-c.now())) * time.Microsecond)
		}
	}
}

// applyStored applies the version that was in force before a restart. It validates the version again, since the
// configuration files may have changed. If the version is not valid, the configuration files stay in force.
func (c *Client) applyStored(ctx context.Context) {
	stored := c.inForce.Load()
	if stored == nil {
		return
	}
	rejections := configversion.Validate(stored, c.options.Machine.Limits)
	if len(rejections) == 0 {
		rejections = c.target.Apply(ctx, stored)
	}
	if len(rejections) == 0 {
		c.options.Log("config_kept", "version", uint64(stored.Number))
		return
	}
	c.options.Log("config_kept_refused", "version", uint64(stored.Number), "reason", rejections.String())
	_, rejected, _ := c.options.Store.Load() // read by New before; if it fails now, no version is rejected
	c.inForce.Store(nil)
	c.machine = configversion.New(c.options.Machine, c, nil, rejected)
}

// countRequests reports the ended requests to the machine.
func (c *Client) countRequests() {
	for range c.onTimeRequests.Swap(0) {
		c.machine.RequestEnded(false)
	}
	for range c.lateOrUnservedRequests.Swap(0) {
		c.machine.RequestEnded(true)
	}
}

// The methods below implement configversion.Host. The machine calls them on the goroutine of Run.

// Connect opens a stream after a delay, in a new goroutine. The machine is notified when the
// stream opens and when it ends.
func (c *Client) Connect(after balancer.Micros) {
	c.streamCount++
	runContext := c.runContext
	ctx, cancel := context.WithCancel(runContext)
	s := &stream{cancel: cancel, requests: make(chan request, sendQueueSize)}
	c.stream = s
	go func() {
		defer cancel()
		select {
		case <-time.After(time.Duration(after) * time.Microsecond):
		case <-ctx.Done():
			return
		}
		err := c.runStream(ctx, s)
		c.post(runContext, func(now balancer.Micros) {
			if c.stream == s {
				c.stream = nil
				c.connected.Store(false)
				c.machine.Closed(now, closeReason(err))
			}
		})
	}()
}

// closeReason returns the reason why a stream ended, for the log.
func closeReason(err error) string {
	if err == nil || errors.Is(err, io.EOF) {
		return "control service closed the stream"
	}
	return err.Error()
}

// Close closes the stream, without a call of Machine.Closed.
func (c *Client) Close(string) {
	if c.stream != nil {
		c.stream.cancel()
		c.stream = nil
	}
	c.connected.Store(false)
}

// SendRequest queues a request for the stream. If the queue is full because the control
// service does not read its requests, the stream is closed.
func (c *Client) SendRequest(t configversion.ResourceType, version, nonce, reason string) {
	if c.stream == nil {
		return
	}
	select {
	case c.stream.requests <- request{t, version, nonce, reason}:
	default:
		c.stream.cancel()
	}
}

// Apply applies a version to the target in a new goroutine, so that the machine is not blocked meanwhile.
func (c *Client) Apply(version *configversion.Config) {
	runContext := c.runContext
	go func() {
		rejections := c.target.Apply(runContext, version)
		c.post(runContext, func(now balancer.Micros) {
			if len(rejections) == 0 {
				c.inForce.Store(version)
			}
			c.machine.Applied(now, rejections)
		})
	}()
}

// Persist saves the last good version in the store. An error is logged and returned.
func (c *Client) Persist(version *configversion.Config, rejected []configversion.Number) error {
	return c.saveVersion(version, rejected)
}

// PersistRollback saves the rollback of the version in force in the store. An error is logged and returned.
func (c *Client) PersistRollback(previous *configversion.Config, rejected []configversion.Number) error {
	return c.saveVersion(previous, rejected)
}

func (c *Client) saveVersion(version *configversion.Config, rejected []configversion.Number) error {
	if c.options.Store == nil {
		return nil
	}
	err := c.options.Store.SaveVersion(version, rejected)
	c.logStoreFailure(err)
	return err
}

// RecordEvent logs an event, and appends it to the store's history unless its kind is EventStreamLost.
func (c *Client) RecordEvent(e configversion.Event) {
	c.options.Log("config_"+e.Kind, "version", uint64(e.Number), "reason", e.Reason)
	if c.options.Store == nil || e.Kind == configversion.EventStreamLost {
		return
	}
	c.logStoreFailure(c.options.Store.AppendHistory(HistoryEntry{time.Now().UTC(), e.Number, e.Kind, e.Reason}))
}

func (c *Client) logStoreFailure(err error) {
	if err != nil {
		c.options.Log("config_store_failed", "err", err.Error())
	}
}
