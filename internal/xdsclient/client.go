package xdsclient

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync/atomic"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"archknot/balancer"
	"archknot/internal/configversion"
)

// Target is what versions are applied to.
type Target interface {
	// Apply takes a whole version, or goes back to one; nil is the files. It
	// returns why not, with nothing changed, or nothing. It may wait for the
	// module's owner, not for sockets.
	Apply(ctx context.Context, c *configversion.Config) configversion.Rejections
}

// Options of a Client.
type Options struct {
	Address string
	Delta   bool                             // the incremental form
	TLS     credentials.TransportCredentials // nil: plain, for loopback only
	Machine configversion.Options
	Store   *Store // nil: nothing is kept over restarts
	Log     func(msg string, args ...any)
}

// Bounds on the stream.
const (
	maxMessageSize = 2 << 20
	sendQueueSize  = 64
	maxResources   = 10_100
	dialTimeout    = 10 * time.Second
)

// Client follows a control service. One task owns the machine; the stream's own
// tasks hand it what comes.
type Client struct {
	options     Options
	target      Target
	machine     *configversion.Machine
	events      chan func(now balancer.Micros)
	startedAt   time.Time
	stream      *stream // the one at hand; nil: none
	streamCount int
	ctx         context.Context

	goodRequests, badRequests atomic.Int64 // requests that ended and are not told yet
	inForce                   atomic.Pointer[configversion.Config]
	connected                 atomic.Bool
}

// stream is one attempt to follow the service.
type stream struct {
	serial   int
	cancel   context.CancelFunc
	requests chan any // requests of the form at hand
}

// New returns a client that begins from what the store has. What is in the store
// is not applied by it: Start does.
func New(o Options, target Target) (*Client, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	c := &Client{options: o, target: target, events: make(chan func(balancer.Micros), 256), startedAt: time.Now()}
	var force *configversion.Config
	var never []configversion.Number
	if o.Store != nil {
		var err error
		if force, never, err = o.Store.Load(); err != nil {
			return nil, err
		}
	}
	c.inForce.Store(force)
	c.machine = configversion.New(o.Machine, c, force, never)
	return c, nil
}

func (c *Client) now() balancer.Micros { return 1 + time.Since(c.startedAt).Microseconds() }

// InForce is the version in force; nil: the files.
func (c *Client) InForce() *configversion.Config { return c.inForce.Load() }

// Connected tells whether the stream stands.
func (c *Client) Connected() bool { return c.connected.Load() }

// RequestEnded counts a request that ended: late or not served, or well. It never waits.
func (c *Client) RequestEnded(bad bool) {
	if bad {
		c.badRequests.Add(1)
	} else {
		c.goodRequests.Add(1)
	}
}

// Rollback goes back to the version before.
func (c *Client) Rollback(ctx context.Context, why string) error {
	done := make(chan bool, 1)
	if !c.post(ctx, func(now balancer.Micros) { done <- c.machine.Rollback(now, why) }) {
		return ctx.Err()
	}
	select {
	case ok := <-done:
		if !ok {
			return errors.New("there is no streamed version in force, or one is being applied")
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *Client) post(ctx context.Context, f func(balancer.Micros)) bool {
	select {
	case c.events <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run applies the kept version and follows the service until the context ends.
// The gateway's start does not wait for it.
func (c *Client) Run(ctx context.Context) {
	c.ctx = ctx
	if force := c.inForce.Load(); force != nil {
		// As it was before the restart: nothing is in hand yet that it could harm,
		// but what the files say may have changed since.
		refused := configversion.Validate(force, c.options.Machine.Limits)
		if len(refused) == 0 {
			refused = c.target.Apply(ctx, force)
		}
		if len(refused) > 0 {
			c.options.Log("config_kept_refused", "version", uint64(force.Number), "reason", refused.String())
			_, never, _ := c.options.Store.Load()
			c.inForce.Store(nil)
			c.machine = configversion.New(c.options.Machine, c, nil, never)
		} else {
			c.options.Log("config_kept", "version", uint64(force.Number))
		}
	}
	c.machine.Start(c.now())
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		select {
		case f := <-c.events:
			f(c.now())
		case <-tick.C:
			for range c.goodRequests.Swap(0) {
				c.machine.RequestEnded(false)
			}
			for range c.badRequests.Swap(0) {
				c.machine.RequestEnded(true)
			}
		case <-wake.C:
			c.machine.Tick(c.now())
		case <-ctx.Done():
			if c.stream != nil {
				c.stream.cancel()
			}
			return
		}
		if at := c.machine.NextTick(); at > 0 {
			wake.Reset(time.Duration(max(0, at-c.now())) * time.Microsecond)
		}
	}
}

// The machine's orders: revision.Host.

func (c *Client) Connect(after balancer.Micros) {
	c.streamCount++
	ctx, stop := context.WithCancel(c.ctx)
	s := &stream{serial: c.streamCount, cancel: stop, requests: make(chan any, sendQueueSize)}
	c.stream = s
	go func() {
		defer stop()
		select {
		case <-time.After(time.Duration(after) * time.Microsecond):
		case <-ctx.Done():
			return
		}
		err := c.follow(ctx, s)
		c.post(c.ctx, func(now balancer.Micros) {
			if c.stream == s {
				c.stream = nil
				c.connected.Store(false)
				c.machine.Closed(now, closeReason(err))
			}
		})
	}()
}

// closeReason tells in words why a stream ended.
func closeReason(err error) string {
	if err == nil || errors.Is(err, io.EOF) {
		return "the service ended the stream"
	}
	return err.Error()
}

func (c *Client) Close(reason string) {
	if c.stream != nil {
		c.stream.cancel()
		c.stream = nil
	}
	c.connected.Store(false)
}

func (c *Client) SendRequest(t configversion.ResourceType, version, nonce, why string) {
	if c.stream == nil {
		return
	}
	var detail *status.Status
	if why != "" {
		detail = &status.Status{Code: int32(codes.InvalidArgument), Message: why}
	}
	node := &corev3.Node{Id: c.options.Machine.Gateway, UserAgentName: "archknot"}
	var m any
	if c.options.Delta {
		r := &discovery.DeltaDiscoveryRequest{Node: node, TypeUrl: TypeURL(t), ResponseNonce: nonce, ErrorDetail: detail}
		if nonce == "" {
			r.ResourceNamesSubscribe = []string{"*"}
		}
		m = r
	} else {
		m = &discovery.DiscoveryRequest{Node: node, TypeUrl: TypeURL(t), VersionInfo: version, ResponseNonce: nonce, ErrorDetail: detail}
	}
	select {
	case c.stream.requests <- m:
	default: // a service that reads nothing: the stream is of no use
		c.stream.cancel()
	}
}

func (c *Client) Apply(next *configversion.Config) {
	s := c.ctx
	go func() {
		refused := c.target.Apply(s, next)
		c.post(s, func(now balancer.Micros) {
			if len(refused) == 0 {
				c.inForce.Store(next)
			}
			c.machine.Applied(now, refused)
		})
	}()
}

func (c *Client) Persist(v *configversion.Config, never []configversion.Number) {
	if c.options.Store == nil {
		return
	}
	if err := c.options.Store.SaveVersion(v, never); err != nil {
		c.options.Log("config_store_failed", "err", err.Error())
	}
}

func (c *Client) RecordEvent(e configversion.Event) {
	c.options.Log("config_"+e.Kind, "version", uint64(e.Number), "reason", e.Reason)
	if c.options.Store == nil || e.Kind == configversion.EventStreamLost {
		return
	}
	if err := c.options.Store.AppendHistory(HistoryEntry{time.Now().UTC(), e.Number, e.Kind, e.Reason}); err != nil {
		c.options.Log("config_store_failed", "err", err.Error())
	}
}

// follow opens the stream and passes on what comes, until it ends.
func (c *Client) follow(ctx context.Context, s *stream) error {
	creds := c.options.TLS
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+c.options.Address, grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageSize)), grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(8<<10), grpc.WithWriteBufferSize(8<<10),
		// A machine that vanished leaves its connection open and silent.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: 10 * time.Second, Timeout: 5 * time.Second, PermitWithoutStream: true}))
	if err != nil {
		return err
	}
	defer conn.Close()
	client := discovery.NewAggregatedDiscoveryServiceClient(conn)
	opening, opened := context.WithCancel(ctx)
	defer opened()
	late := time.AfterFunc(dialTimeout, opened)
	defer late.Stop()
	if c.options.Delta {
		st, err := client.DeltaAggregatedResources(opening, grpc.WaitForReady(false))
		if err != nil {
			return err
		}
		late.Stop()
		return c.receiveDelta(ctx, s, st)
	}
	st, err := client.StreamAggregatedResources(opening, grpc.WaitForReady(false))
	if err != nil {
		return err
	}
	late.Stop()
	return c.receiveStateOfTheWorld(ctx, s, st)
}

// startSending tells the machine that the stream stands, and sends what it orders.
func startSending[R any](ctx context.Context, c *Client, s *stream, send func(R) error) {
	c.post(ctx, func(now balancer.Micros) {
		if c.stream == s {
			c.connected.Store(true)
			c.machine.Connected(now)
		}
	})
	go func() {
		for {
			select {
			case m := <-s.requests:
				if send(m.(R)) != nil {
					s.cancel()
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
}

func (c *Client) deliver(ctx context.Context, s *stream, r configversion.Response) {
	c.post(ctx, func(now balancer.Micros) {
		if c.stream == s {
			c.machine.Received(now, r)
		}
	})
}

// receiveStateOfTheWorld is the state-of-the-world form: each response has all of a type.
func (c *Client) receiveStateOfTheWorld(ctx context.Context, s *stream, st discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient) error {
	startSending(ctx, c, s, st.Send)
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		t, ok := ResourceTypeOf(m.TypeUrl)
		if !ok {
			return fmt.Errorf("a response of type %q, which was not asked for", truncate(m.TypeUrl))
		}
		r := configversion.Response{Type: t, Version: m.VersionInfo, Nonce: m.Nonce}
		raw := make([][]byte, 0, len(m.Resources))
		for i, a := range m.Resources {
			if a.GetTypeUrl() != m.TypeUrl {
				r.DecodeError = fmt.Sprintf("resource %d: of type %q", i, truncate(a.GetTypeUrl()))
			}
			raw = append(raw, a.GetValue())
		}
		c.deliver(ctx, s, withFragment(r, t, raw))
	}
}

func withFragment(r configversion.Response, t configversion.ResourceType, raw [][]byte) configversion.Response {
	if r.DecodeError == "" && len(raw) > maxResources {
		r.DecodeError = fmt.Sprintf("%d resources, %d are the most", len(raw), maxResources)
	}
	if r.DecodeError == "" {
		part, err := Decode(t, raw)
		if err != nil {
			r.DecodeError = err.Error()
		}
		r.Fragment = part
	}
	if r.DecodeError != "" {
		r.Fragment = nil
	}
	return r
}

// receiveDelta is the incremental form: responses change what is held of a type. The
// machine gets all of it each time.
func (c *Client) receiveDelta(ctx context.Context, s *stream, st discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient) error {
	startSending(ctx, c, s, st.Send)
	held := map[configversion.ResourceType]map[string][]byte{}
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		t, ok := ResourceTypeOf(m.TypeUrl)
		if !ok {
			return fmt.Errorf("a response of type %q, which was not asked for", truncate(m.TypeUrl))
		}
		r := configversion.Response{Type: t, Version: m.SystemVersionInfo, Nonce: m.Nonce}
		next := maps.Clone(held[t])
		if next == nil {
			next = map[string][]byte{}
		}
		for _, name := range m.RemovedResources {
			delete(next, name)
		}
		for _, res := range m.Resources {
			if res.GetResource().GetTypeUrl() != m.TypeUrl {
				r.DecodeError = fmt.Sprintf("resource %q: of type %q", truncate(res.GetName()), truncate(res.GetResource().GetTypeUrl()))
			}
			next[res.GetName()] = res.GetResource().GetValue()
		}
		raw := make([][]byte, 0, len(next))
		for _, name := range slices.Sorted(maps.Keys(next)) {
			raw = append(raw, next[name])
		}
		r = withFragment(r, t, raw)
		if r.DecodeError == "" { // what cannot be read changes nothing
			held[t] = next
		}
		c.deliver(ctx, s, r)
	}
}

func truncate(s string) string { return s[:min(len(s), 80)] }
