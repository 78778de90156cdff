package confstream

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

	"archknot/choice"
	"archknot/internal/revision"
)

// Target is what versions are applied to.
type Target interface {
	// Apply takes a whole version, or goes back to one; nil is the files. It
	// returns why not, with nothing changed, or nothing. It may wait for the
	// module's owner, not for sockets.
	Apply(ctx context.Context, c *revision.Config) revision.Refusals
}

// Options of a Client.
type Options struct {
	Address string
	Delta   bool                             // the incremental form
	TLS     credentials.TransportCredentials // nil: plain, for loopback only
	Machine revision.Options
	Store   *Store // nil: nothing is kept over restarts
	Log     func(msg string, args ...any)
}

// Bounds on the stream.
const (
	maxMessage  = 2 << 20
	maxSends    = 64
	maxResource = 10_100
	dialWithin  = 10 * time.Second
)

// Client follows a control service. One task owns the machine; the stream's own
// tasks hand it what comes.
type Client struct {
	o      Options
	target Target
	m      *revision.Machine
	inputs chan func(now choice.Micros)
	start  time.Time
	stream *stream // the one at hand; nil: none
	serial int
	ctx    context.Context

	good, bad atomic.Int64 // requests that ended and are not told yet
	force     atomic.Pointer[revision.Config]
	up        atomic.Bool
}

// stream is one attempt to follow the service.
type stream struct {
	serial int
	stop   context.CancelFunc
	sends  chan any // requests of the form at hand
}

// New returns a client that begins from what the store has. What is in the store
// is not applied by it: Start does.
func New(o Options, target Target) (*Client, error) {
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	c := &Client{o: o, target: target, inputs: make(chan func(choice.Micros), 256), start: time.Now()}
	var force *revision.Config
	var never []revision.Number
	if o.Store != nil {
		var err error
		if force, never, err = o.Store.Load(); err != nil {
			return nil, err
		}
	}
	c.force.Store(force)
	c.m = revision.New(o.Machine, c, force, never)
	return c, nil
}

func (c *Client) now() choice.Micros { return 1 + time.Since(c.start).Microseconds() }

// InForce is the version in force; nil: the files.
func (c *Client) InForce() *revision.Config { return c.force.Load() }

// Connected tells whether the stream stands.
func (c *Client) Connected() bool { return c.up.Load() }

// Ended counts a request that ended: late or not served, or well. It never waits.
func (c *Client) Ended(bad bool) {
	if bad {
		c.bad.Add(1)
	} else {
		c.good.Add(1)
	}
}

// Rollback goes back to the version before.
func (c *Client) Rollback(ctx context.Context, why string) error {
	done := make(chan bool, 1)
	if !c.post(ctx, func(now choice.Micros) { done <- c.m.Rollback(now, why) }) {
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

func (c *Client) post(ctx context.Context, f func(choice.Micros)) bool {
	select {
	case c.inputs <- f:
		return true
	case <-ctx.Done():
		return false
	}
}

// Run applies the kept version and follows the service until the context ends.
// The gateway's start does not wait for it.
func (c *Client) Run(ctx context.Context) {
	c.ctx = ctx
	if force := c.force.Load(); force != nil {
		// As it was before the restart: nothing is in hand yet that it could harm,
		// but what the files say may have changed since.
		refused := revision.Check(force, c.o.Machine.Limits)
		if len(refused) == 0 {
			refused = c.target.Apply(ctx, force)
		}
		if len(refused) > 0 {
			c.o.Log("config_kept_refused", "version", uint64(force.Number), "reason", refused.Error())
			_, never, _ := c.o.Store.Load()
			c.force.Store(nil)
			c.m = revision.New(c.o.Machine, c, nil, never)
		} else {
			c.o.Log("config_kept", "version", uint64(force.Number))
		}
	}
	c.m.Start(c.now())
	tick := time.NewTicker(100 * time.Millisecond)
	defer tick.Stop()
	wake := time.NewTimer(time.Hour)
	defer wake.Stop()
	for {
		select {
		case f := <-c.inputs:
			f(c.now())
		case <-tick.C:
			for range c.good.Swap(0) {
				c.m.Ended(false)
			}
			for range c.bad.Swap(0) {
				c.m.Ended(true)
			}
		case <-wake.C:
			c.m.Tick(c.now())
		case <-ctx.Done():
			if c.stream != nil {
				c.stream.stop()
			}
			return
		}
		if at := c.m.Next(); at > 0 {
			wake.Reset(time.Duration(max(0, at-c.now())) * time.Microsecond)
		}
	}
}

// The machine's orders: revision.Host.

func (c *Client) Connect(after choice.Micros) {
	c.serial++
	ctx, stop := context.WithCancel(c.ctx)
	s := &stream{serial: c.serial, stop: stop, sends: make(chan any, maxSends)}
	c.stream = s
	go func() {
		defer stop()
		select {
		case <-time.After(time.Duration(after) * time.Microsecond):
		case <-ctx.Done():
			return
		}
		err := c.follow(ctx, s)
		c.post(c.ctx, func(now choice.Micros) {
			if c.stream == s {
				c.stream = nil
				c.up.Store(false)
				c.m.Closed(now, plain(err))
			}
		})
	}()
}

// plain tells in words why a stream ended.
func plain(err error) string {
	if err == nil || errors.Is(err, io.EOF) {
		return "the service ended the stream"
	}
	return err.Error()
}

func (c *Client) Close(reason string) {
	if c.stream != nil {
		c.stream.stop()
		c.stream = nil
	}
	c.up.Store(false)
}

func (c *Client) Send(t revision.Type, version, nonce, why string) {
	if c.stream == nil {
		return
	}
	var detail *status.Status
	if why != "" {
		detail = &status.Status{Code: int32(codes.InvalidArgument), Message: why}
	}
	node := &corev3.Node{Id: c.o.Machine.Gateway, UserAgentName: "archknot"}
	var m any
	if c.o.Delta {
		r := &discovery.DeltaDiscoveryRequest{Node: node, TypeUrl: URL(t), ResponseNonce: nonce, ErrorDetail: detail}
		if nonce == "" {
			r.ResourceNamesSubscribe = []string{"*"}
		}
		m = r
	} else {
		m = &discovery.DiscoveryRequest{Node: node, TypeUrl: URL(t), VersionInfo: version, ResponseNonce: nonce, ErrorDetail: detail}
	}
	select {
	case c.stream.sends <- m:
	default: // a service that reads nothing: the stream is of no use
		c.stream.stop()
	}
}

func (c *Client) Apply(next *revision.Config) {
	s := c.ctx
	go func() {
		refused := c.target.Apply(s, next)
		c.post(s, func(now choice.Micros) {
			if len(refused) == 0 {
				c.force.Store(next)
			}
			c.m.Applied(now, refused)
		})
	}()
}

func (c *Client) Keep(v *revision.Config, never []revision.Number) {
	if c.o.Store == nil {
		return
	}
	if err := c.o.Store.Keep(v, never); err != nil {
		c.o.Log("config_store_failed", "err", err.Error())
	}
}

func (c *Client) Tell(e revision.Entry) {
	c.o.Log("config_"+e.What, "version", uint64(e.Number), "reason", e.Reason)
	if c.o.Store == nil || e.What == revision.Lost {
		return
	}
	if err := c.o.Store.Note(Line{time.Now().UTC(), e.Number, e.What, e.Reason}); err != nil {
		c.o.Log("config_store_failed", "err", err.Error())
	}
}

// follow opens the stream and passes on what comes, until it ends.
func (c *Client) follow(ctx context.Context, s *stream) error {
	creds := c.o.TLS
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+c.o.Address, grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage)), grpc.WithDisableServiceConfig(),
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
	late := time.AfterFunc(dialWithin, opened)
	defer late.Stop()
	if c.o.Delta {
		st, err := client.DeltaAggregatedResources(opening, grpc.WaitForReady(false))
		if err != nil {
			return err
		}
		late.Stop()
		return c.delta(ctx, s, st)
	}
	st, err := client.StreamAggregatedResources(opening, grpc.WaitForReady(false))
	if err != nil {
		return err
	}
	late.Stop()
	return c.world(ctx, s, st)
}

// opened tells the machine that the stream stands, and sends what it orders.
func opened[R any](ctx context.Context, c *Client, s *stream, send func(R) error) {
	c.post(ctx, func(now choice.Micros) {
		if c.stream == s {
			c.up.Store(true)
			c.m.Connected(now)
		}
	})
	go func() {
		for {
			select {
			case m := <-s.sends:
				if send(m.(R)) != nil {
					s.stop()
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
}

func (c *Client) receive(ctx context.Context, s *stream, r revision.Response) {
	c.post(ctx, func(now choice.Micros) {
		if c.stream == s {
			c.m.Received(now, r)
		}
	})
}

// world is the state-of-the-world form: each response has all of a type.
func (c *Client) world(ctx context.Context, s *stream, st discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient) error {
	opened(ctx, c, s, st.Send)
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		t, ok := TypeOf(m.TypeUrl)
		if !ok {
			return fmt.Errorf("a response of type %q, which was not asked for", clip(m.TypeUrl))
		}
		r := revision.Response{Type: t, Version: m.VersionInfo, Nonce: m.Nonce}
		raw := make([][]byte, 0, len(m.Resources))
		for i, a := range m.Resources {
			if a.GetTypeUrl() != m.TypeUrl {
				r.Err = fmt.Sprintf("resource %d: of type %q", i, clip(a.GetTypeUrl()))
			}
			raw = append(raw, a.GetValue())
		}
		c.receive(ctx, s, decoded(r, t, raw))
	}
}

func decoded(r revision.Response, t revision.Type, raw [][]byte) revision.Response {
	if r.Err == "" && len(raw) > maxResource {
		r.Err = fmt.Sprintf("%d resources, %d are the most", len(raw), maxResource)
	}
	if r.Err == "" {
		part, err := Decode(t, raw)
		if err != nil {
			r.Err = err.Error()
		}
		r.Part = part
	}
	if r.Err != "" {
		r.Part = nil
	}
	return r
}

// delta is the incremental form: responses change what is held of a type. The
// machine gets all of it each time.
func (c *Client) delta(ctx context.Context, s *stream, st discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient) error {
	opened(ctx, c, s, st.Send)
	held := map[revision.Type]map[string][]byte{}
	for {
		m, err := st.Recv()
		if err != nil {
			return err
		}
		t, ok := TypeOf(m.TypeUrl)
		if !ok {
			return fmt.Errorf("a response of type %q, which was not asked for", clip(m.TypeUrl))
		}
		r := revision.Response{Type: t, Version: m.SystemVersionInfo, Nonce: m.Nonce}
		next := maps.Clone(held[t])
		if next == nil {
			next = map[string][]byte{}
		}
		for _, name := range m.RemovedResources {
			delete(next, name)
		}
		for _, res := range m.Resources {
			if res.GetResource().GetTypeUrl() != m.TypeUrl {
				r.Err = fmt.Sprintf("resource %q: of type %q", clip(res.GetName()), clip(res.GetResource().GetTypeUrl()))
			}
			next[res.GetName()] = res.GetResource().GetValue()
		}
		raw := make([][]byte, 0, len(next))
		for _, name := range slices.Sorted(maps.Keys(next)) {
			raw = append(raw, next[name])
		}
		r = decoded(r, t, raw)
		if r.Err == "" { // what cannot be read changes nothing
			held[t] = next
		}
		c.receive(ctx, s, r)
	}
}

func clip(s string) string { return s[:min(len(s), 80)] }
