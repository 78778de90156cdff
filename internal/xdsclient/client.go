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

// Target is what versions are applied to.
type Target interface {
	// Apply applies a complete version, or returns to one; nil is the configuration
	// files. It returns why not, with nothing changed, or nothing. It may wait for the
	// balancer's goroutine, not for the network.
	Apply(ctx context.Context, c *configversion.Config) configversion.Rejections
}

// Options of a Client.
type Options struct {
	Address string
	Delta   bool                             // use the incremental form
	TLS     credentials.TransportCredentials // nil: plain text, for loopback only
	Machine configversion.Options
	Store   *Store // nil: nothing is saved over restarts
	Log     func(msg string, args ...any)
}

// eventQueueSize is how many events may wait for the client's goroutine.
const eventQueueSize = 256

// requestCountInterval is how often requests that ended are counted.
const requestCountInterval = 100 * time.Millisecond

// Client follows a control service. The goroutine of Run owns the machine; the stream's
// goroutines post their events to it.
type Client struct {
	options     Options
	target      Target
	machine     *configversion.Machine
	events      chan func(now balancer.Micros)
	startedAt   time.Time
	stream      *stream         // the present one; nil: none
	runContext  context.Context // of Run: the machine's host methods have no context of their own
	streamCount int

	onTimeRequests, lateOrUnservedRequests atomic.Int64 // requests that ended and aren't counted yet
	inForce                                atomic.Pointer[configversion.Config]
	connected                              atomic.Bool
}

// New returns a client that starts from the version in the store. It doesn't apply that
// version: Run does.
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

// now is the machine's time; it is never 0.
func (c *Client) now() balancer.Micros { return 1 + time.Since(c.startedAt).Microseconds() }

// InForce returns the version in force; nil means the configuration files. It may be
// called by any goroutine.
func (c *Client) InForce() *configversion.Config { return c.inForce.Load() }

// Connected reports whether the stream is open. It may be called by any goroutine.
func (c *Client) Connected() bool { return c.connected.Load() }

// RequestEnded counts a request that ended; bad is late or not served. It never waits,
// and may be called by any goroutine.
func (c *Client) RequestEnded(lateOrUnserved bool) {
	if lateOrUnserved {
		c.lateOrUnservedRequests.Add(1)
	} else {
		c.onTimeRequests.Add(1)
	}
}

// Rollback starts the return to the previous version. With nil that is saved, and outlives
// the process; otherwise nothing has changed. It may be called by any goroutine while Run
// runs.
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

// post queues a function that the goroutine of Run calls. It returns false if the context
// ended first.
func (c *Client) post(ctx context.Context, event func(balancer.Micros)) bool {
	select {
	case c.events <- event:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run applies the stored version and follows the service until the context ends. The
// gateway's start doesn't wait for it.
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

// applyStored applies the version that was in force before a restart. No request is in
// flight yet that it could harm, but the configuration files may have changed since.
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
	_, rejected, _ := c.options.Store.Load() // New has read it before; if that fails now, no version counts as rejected
	c.inForce.Store(nil)
	c.machine = configversion.New(c.options.Machine, c, nil, rejected)
}

// countRequests passes the requests that ended on to the machine.
func (c *Client) countRequests() {
	for range c.onTimeRequests.Swap(0) {
		c.machine.RequestEnded(false)
	}
	for range c.lateOrUnservedRequests.Swap(0) {
		c.machine.RequestEnded(true)
	}
}

// The methods below are configversion.Host. The machine calls them on the goroutine of Run.

// Connect opens a stream after a delay.
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

// closeReason says why a stream ended.
func closeReason(err error) string {
	if err == nil || errors.Is(err, io.EOF) {
		return "the service ended the stream"
	}
	return err.Error()
}

// Close closes the stream.
func (c *Client) Close(string) {
	if c.stream != nil {
		c.stream.cancel()
		c.stream = nil
	}
	c.connected.Store(false)
}

// SendRequest queues a request for the stream. A service that doesn't read its requests
// loses the stream.
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

// Apply applies a version to the target in a new goroutine, so that the machine doesn't
// wait for it.
func (c *Client) Apply(version *configversion.Config) {
	run := c.runContext
	go func() {
		rejections := c.target.Apply(run, version)
		c.post(run, func(now balancer.Micros) {
			if len(rejections) == 0 {
				c.inForce.Store(version)
			}
			c.machine.Applied(now, rejections)
		})
	}()
}

// Persist saves the last good version in the store. A failure is logged.
func (c *Client) Persist(version *configversion.Config, rejected []configversion.Number) error {
	return c.saveVersion(version, rejected)
}

// PersistRollback saves in the store that the version in force is given back. A failure is
// logged.
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

// RecordEvent logs an event, and appends it to the store's history unless it is about the
// stream.
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
