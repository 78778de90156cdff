// Package controlservice is a stand-in for a control service: an xDS v3
// aggregated discovery server of scripted versions, good and bad. It is for tests
// and trials on loopback addresses only.
package controlservice

import (
	"context"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	corev3 "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/genproto/googleapis/rpc/status"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/anypb"

	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
)

const typeURLPrefix = "type.googleapis.com/archknot.config.v1."

// Version is one version as the service sends it.
type Version struct {
	Number        uint64
	FirstPercent  uint32
	Hold          time.Duration
	MaxRegression float64
	Resources     map[configversion.ResourceType][]proto.Message
	Truncate      configversion.ResourceType // this type's resources come cut off
	CloseAfter    int                        // so many messages; 0: not at all
	Delay         time.Duration              // between two messages
	RepeatNonce   bool                       // all messages have one and the same nonce
}

// Ack is what a gateway said of one response.
type Ack struct {
	Gateway string
	Type    configversion.ResourceType
	Version string // accepted so far
	Nonce   string
	Error   string // "" : acknowledged
}

// Service is the stand-in.
type Service struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	addr string
	tls  credentials.TransportCredentials

	mu      sync.Mutex
	server  *grpc.Server
	current *Version
	changed chan struct{} // closed at the next change
	acks    []Ack
	acked   chan struct{} // closed at the next answer
	streams int
	nonce   int
}

// Start listens on a loopback address; port 0 finds a free one.
func Start(addr string, tls credentials.TransportCredentials) (*Service, error) {
	s := &Service{addr: addr, tls: tls, changed: make(chan struct{}), acked: make(chan struct{})}
	return s, s.Restart()
}

// Addr is where it listens.
func (s *Service) Addr() string { return s.addr }

// Restart begins to serve, at the same address as before.
func (s *Service) Restart() error {
	host, _, err := net.SplitHostPort(s.addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s: not a loopback address", s.addr)
	}
	// The port may be some other connection's for a moment.
	var l net.Listener
	for end := time.Now().Add(3 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		if l, err = net.Listen("tcp", s.addr); err == nil || time.Now().After(end) {
			break
		}
	}
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	var o []grpc.ServerOption
	if s.tls != nil {
		o = append(o, grpc.Creds(s.tls))
	}
	g := grpc.NewServer(o...)
	discovery.RegisterAggregatedDiscoveryServiceServer(g, s)
	s.mu.Lock()
	s.server = g
	s.mu.Unlock()
	go g.Serve(l)
	return nil
}

// Stop ends all streams and the listener.
func (s *Service) Stop() {
	s.mu.Lock()
	g := s.server
	s.server = nil
	s.mu.Unlock()
	if g != nil {
		g.Stop()
	}
}

// Publish makes a version the current one.
func (s *Service) Publish(v *Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = v
	close(s.changed)
	s.changed = make(chan struct{})
}

// Streams counts those opened so far.
func (s *Service) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams
}

// Acks are those so far.
func (s *Service) Acks() []Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.acks)
}

// AwaitAcks waits until the answers satisfy a condition.
func (s *Service) AwaitAcks(ctx context.Context, done func([]Ack) bool) error {
	for {
		s.mu.Lock()
		all, news := slices.Clone(s.acks), s.acked
		s.mu.Unlock()
		if done(all) {
			return nil
		}
		select {
		case <-news:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func (s *Service) recordAck(node *corev3.Node, url, version, nonce string, detail *status.Status) {
	if nonce == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Ack{Gateway: node.GetId(), Type: configversion.ResourceType(url[min(len(typeURLPrefix), len(url)):]), Version: version, Nonce: nonce, Error: detail.GetMessage()}
	if s.acks = append(s.acks, a); len(s.acks) > 100_000 {
		s.acks = s.acks[50_000:]
	}
	close(s.acked)
	s.acked = make(chan struct{})
}

func (s *Service) nextNonce(m message) string {
	if m.repeatNonce {
		return "always"
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nonce++
	return fmt.Sprint("n", s.nonce)
}

var errStreamClosed = errors.New("the service vanishes")

// message is what one type of a version says.
type message struct {
	resourceType configversion.ResourceType
	version      string
	resources    []*anypb.Any
	repeatNonce  bool // its nonce is that of others
}

// encode are those of a version, in the order of the types: the manifest comes
// first for even numbers and last for odd ones.
func (v *Version) encode() ([]message, error) {
	manifest := &pb.Version{Number: v.Number, Types: map[string]string{}, FirstPercent: v.FirstPercent, HoldUs: v.Hold.Microseconds(), WorseBy: v.MaxRegression}
	var out []message
	for _, t := range configversion.ResourceTypes {
		list, ok := v.Resources[t]
		if !ok {
			continue
		}
		m := message{resourceType: t, version: fmt.Sprintf("%s-%d", t, v.Number)}
		manifest.Types[string(t)] = m.version
		for _, r := range list {
			a, err := anypb.New(r)
			if err != nil {
				return nil, err
			}
			if t == v.Truncate {
				a.Value = append(a.Value[:len(a.Value)/2], 0xff)
			}
			m.resources = append(m.resources, a)
		}
		m.repeatNonce = v.RepeatNonce
		out = append(out, m)
	}
	a, err := anypb.New(manifest)
	if err != nil {
		return nil, err
	}
	m := message{resourceType: configversion.TypeVersion, version: fmt.Sprint("v", v.Number), resources: []*anypb.Any{a}, repeatNonce: v.RepeatNonce}
	if v.Number%2 == 0 {
		return append([]message{m}, out...), nil
	}
	return append(out, m), nil
}

// serve sends each version to one stream, until it ends.
func (s *Service) serve(ctx context.Context, send func(message) error) error {
	s.mu.Lock()
	s.streams++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		v, changed := s.current, s.changed
		s.mu.Unlock()
		if v != nil {
			list, err := v.encode()
			if err != nil {
				return err
			}
			for i, m := range list {
				if v.CloseAfter > 0 && i >= v.CloseAfter {
					return errStreamClosed
				}
				if err := send(m); err != nil {
					return err
				}
				if v.Delay > 0 {
					select {
					case <-time.After(v.Delay):
					case <-ctx.Done():
						return ctx.Err()
					}
				}
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// StreamAggregatedResources is the state-of-the-world form.
func (s *Service) StreamAggregatedResources(st discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	ctx, stop := context.WithCancel(st.Context())
	defer stop()
	go func() {
		defer stop()
		for {
			m, err := st.Recv()
			if err != nil {
				return
			}
			s.recordAck(m.Node, m.TypeUrl, m.VersionInfo, m.ResponseNonce, m.ErrorDetail)
		}
	}()
	return s.serve(ctx, func(m message) error {
		return st.Send(&discovery.DiscoveryResponse{TypeUrl: typeURLPrefix + string(m.resourceType), VersionInfo: m.version, Nonce: s.nextNonce(m), Resources: m.resources})
	})
}

// DeltaAggregatedResources is the incremental form: only what has changed on this
// stream is sent.
func (s *Service) DeltaAggregatedResources(st discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	ctx, stop := context.WithCancel(st.Context())
	defer stop()
	go func() {
		defer stop()
		for {
			m, err := st.Recv()
			if err != nil {
				return
			}
			s.recordAck(m.Node, m.TypeUrl, "", m.ResponseNonce, m.ErrorDetail)
		}
	}()
	sent := map[configversion.ResourceType]map[string]string{}
	return s.serve(ctx, func(m message) error {
		r := &discovery.DeltaDiscoveryResponse{TypeUrl: typeURLPrefix + string(m.resourceType), SystemVersionInfo: m.version, Nonce: s.nextNonce(m)}
		now := map[string]string{}
		for i, a := range m.resources {
			name := resourceName(m.resourceType, i, a)
			now[name] = string(a.Value)
			if old, ok := sent[m.resourceType][name]; !ok || old != now[name] {
				r.Resources = append(r.Resources, &discovery.Resource{Name: name, Version: m.version, Resource: a})
			}
		}
		for name := range sent[m.resourceType] {
			if _, ok := now[name]; !ok {
				r.RemovedResources = append(r.RemovedResources, name)
			}
		}
		slices.Sort(r.RemovedResources)
		sent[m.resourceType] = now
		return st.Send(r)
	})
}

// resourceName is that of a named resource, or of the only one of its type.
func resourceName(t configversion.ResourceType, i int, a *anypb.Any) string {
	m, err := a.UnmarshalNew()
	if err == nil {
		if named, ok := m.(interface{ GetName() string }); ok {
			return named.GetName()
		}
	}
	return fmt.Sprint(t, i)
}
