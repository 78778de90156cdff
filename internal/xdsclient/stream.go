package xdsclient

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"archknot/balancer"
	"archknot/internal/configversion"
)

// Limits of the stream.
const (
	maxMessageBytes     = 2 << 20          // of a received message
	sendQueueSize       = 64               // requests that wait to be sent
	maxResources        = 10_100           // of one type
	streamOpenTimeout   = 10 * time.Second // for the connection and the call that opens the stream
	grpcBufferBytes     = 8 << 10          // for reading, and for writing
	keepaliveTime       = 10 * time.Second
	keepaliveTimeout    = 5 * time.Second
	maxNameBytesInError = 80 // of a name received from the control service
)

// userAgent is the user agent name that the gateway sends to the control service.
const userAgent = "archknot"

// stream is one stream to the control service, or the attempt to open it.
type stream struct {
	cancel   context.CancelFunc
	requests chan request
}

// request is a subscription, an acknowledgement or a rejection; see
// configversion.Host.SendRequest.
type request struct {
	resourceType           configversion.ResourceType
	version, nonce, reason string
}

// errorDetail returns the error detail of a rejection, or nil for other requests.
func (r *request) errorDetail() *status.Status {
	if r.reason == "" {
		return nil
	}
	return &status.Status{Code: int32(codes.InvalidArgument), Message: r.reason}
}

func (c *Client) node() *corev3.Node {
	return &corev3.Node{Id: c.options.Machine.Gateway, UserAgentName: userAgent}
}

func (c *Client) stateOfTheWorldRequest(r request) *discovery.DiscoveryRequest {
	return &discovery.DiscoveryRequest{Node: c.node(), TypeUrl: TypeURL(r.resourceType), VersionInfo: r.version, ResponseNonce: r.nonce, ErrorDetail: r.errorDetail()}
}

func (c *Client) deltaRequest(r request) *discovery.DeltaDiscoveryRequest {
	m := &discovery.DeltaDiscoveryRequest{Node: c.node(), TypeUrl: TypeURL(r.resourceType), ResponseNonce: r.nonce, ErrorDetail: r.errorDetail()}
	if r.nonce == "" {
		m.ResourceNamesSubscribe = []string{"*"}
	}
	return m
}

// runStream opens a stream and delivers its responses until it ends. It returns the reason.
func (c *Client) runStream(ctx context.Context, s *stream) error {
	creds := c.options.TLS
	if creds == nil {
		creds = insecure.NewCredentials()
	}
	conn, err := grpc.NewClient("passthrough:///"+c.options.Address, grpc.WithTransportCredentials(creds),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)), grpc.WithDisableServiceConfig(),
		grpc.WithReadBufferSize(grpcBufferBytes), grpc.WithWriteBufferSize(grpcBufferBytes),
		// Without keepalive, the connection to a host that became unreachable would stay open.
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout, PermitWithoutStream: true}))
	if err != nil {
		return err
	}
	defer conn.Close()
	client := discovery.NewAggregatedDiscoveryServiceClient(conn)
	opening, cancelOpening := context.WithCancel(ctx)
	defer cancelOpening()
	timeout := time.AfterFunc(streamOpenTimeout, cancelOpening)
	defer timeout.Stop()
	if c.options.Delta {
		rpc, err := client.DeltaAggregatedResources(opening, grpc.WaitForReady(false))
		if err != nil {
			return err
		}
		timeout.Stop()
		return c.receiveDelta(ctx, s, rpc)
	}
	rpc, err := client.StreamAggregatedResources(opening, grpc.WaitForReady(false))
	if err != nil {
		return err
	}
	timeout.Stop()
	return c.receiveStateOfTheWorld(ctx, s, rpc)
}

// startSending notifies the machine that the stream is open, and starts the goroutine that
// sends the queued requests.
func (c *Client) startSending(ctx context.Context, s *stream, send func(request) error) {
	c.post(ctx, func(now balancer.Micros) {
		if c.stream == s {
			c.connected.Store(true)
			c.machine.Connected(now)
		}
	})
	go func() {
		for {
			select {
			case r := <-s.requests:
				if send(r) != nil { // the receiver gets and reports the error as well
					s.cancel()
					return
				}
			case <-ctx.Done():
				return
			}
		}
	}()
}

// deliver passes a response to the machine, unless the stream has been closed or replaced.
func (c *Client) deliver(ctx context.Context, s *stream, r configversion.Response) {
	c.post(ctx, func(now balancer.Micros) {
		if c.stream == s {
			c.machine.Received(now, r)
		}
	})
}

// receiveStateOfTheWorld receives responses that contain all resources of a type.
func (c *Client) receiveStateOfTheWorld(ctx context.Context, s *stream, rpc discovery.AggregatedDiscoveryService_StreamAggregatedResourcesClient) error {
	c.startSending(ctx, s, func(r request) error { return rpc.Send(c.stateOfTheWorldRequest(r)) })
	for {
		m, err := rpc.Recv()
		if err != nil {
			return err
		}
		t, ok := ResourceTypeOf(m.TypeUrl)
		if !ok {
			return unexpectedTypeError(m.TypeUrl)
		}
		r := configversion.Response{Type: t, Version: m.VersionInfo, Nonce: m.Nonce}
		raw := make([][]byte, 0, len(m.Resources))
		for i, a := range m.Resources {
			if a.GetTypeUrl() != m.TypeUrl {
				r.DecodeError = fmt.Sprintf("resource %d: of type %q", i, truncate(a.GetTypeUrl()))
			}
			raw = append(raw, a.GetValue())
		}
		c.deliver(ctx, s, withFragment(r, raw))
	}
}

// receiveDelta receives responses that contain the changes to the resources of a type. It
// delivers the full set of resources of the type each time.
func (c *Client) receiveDelta(ctx context.Context, s *stream, rpc discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesClient) error {
	c.startSending(ctx, s, func(r request) error { return rpc.Send(c.deltaRequest(r)) })
	current := map[configversion.ResourceType]map[string][]byte{} // by name
	for {
		m, err := rpc.Recv()
		if err != nil {
			return err
		}
		t, ok := ResourceTypeOf(m.TypeUrl)
		if !ok {
			return unexpectedTypeError(m.TypeUrl)
		}
		r := configversion.Response{Type: t, Version: m.SystemVersionInfo, Nonce: m.Nonce}
		next, decodeError := applyDelta(current[t], m)
		r.DecodeError = decodeError
		raw := make([][]byte, 0, len(next))
		for _, name := range slices.Sorted(maps.Keys(next)) {
			raw = append(raw, next[name])
		}
		r = withFragment(r, raw)
		if r.DecodeError == "" { // a response that could not be decoded is not applied
			current[t] = next
		}
		c.deliver(ctx, s, r)
	}
}

// applyDelta returns the resources of a type, by name, after the changes of a response. If
// the response contains a resource of another type, decodeError describes it.
func applyDelta(current map[string][]byte, m *discovery.DeltaDiscoveryResponse) (next map[string][]byte, decodeError string) {
	next = maps.Clone(current)
	if next == nil {
		next = map[string][]byte{}
	}
	for _, name := range m.RemovedResources {
		delete(next, name)
	}
	for _, r := range m.Resources {
		if r.GetResource().GetTypeUrl() != m.TypeUrl {
			decodeError = fmt.Sprintf("resource %q: of type %q", truncate(r.GetName()), truncate(r.GetResource().GetTypeUrl()))
		}
		next[r.GetName()] = r.GetResource().GetValue()
	}
	return next, decodeError
}

// withFragment decodes the resources and adds the result, or the error, to a response.
func withFragment(r configversion.Response, raw [][]byte) configversion.Response {
	if r.DecodeError == "" && len(raw) > maxResources {
		r.DecodeError = fmt.Sprintf("%d resources, %d are the most", len(raw), maxResources)
	}
	if r.DecodeError != "" {
		return r
	}
	fragment, err := Decode(r.Type, raw)
	if err != nil {
		r.DecodeError = err.Error()
		return r
	}
	r.Fragment = fragment
	return r
}

func unexpectedTypeError(typeURL string) error {
	return fmt.Errorf("received a response of unrequested type %q", truncate(typeURL))
}

// truncate shortens a name received from the control service, for error texts.
func truncate(s string) string { return s[:min(len(s), maxNameBytesInError)] }
