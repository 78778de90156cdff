// Package controlservice is a fake control service: an xDS v3 aggregated discovery server
// of scripted versions, valid and invalid. It is for tests and trials on loopback addresses
// only.
package controlservice

import (
	"context"
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

	"archknot/internal/configversion"
)

// Restart retries to bind the address: another connection may have the port for a moment.
const (
	bindTimeout = 3 * time.Second
	bindPause   = 10 * time.Millisecond
)

// maxAcks bounds the acknowledgements that are remembered; past it, the older half is
// forgotten.
const maxAcks = 100_000

// Ack is a gateway's answer to one response: an acknowledgement, or a rejection (NACK).
type Ack struct {
	Gateway string
	Type    configversion.ResourceType
	Version string // accepted so far
	Nonce   string
	Error   string // of a rejection; "": acknowledged
}

// Service is the fake. Its methods may be called by any goroutine.
type Service struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	addr string
	tls  credentials.TransportCredentials

	mu      sync.Mutex
	server  *grpc.Server
	current *Version
	changed chan struct{} // closed when current changes
	acks    []Ack
	acked   chan struct{} // closed at the next acknowledgement
	streams int           // opened so far
	nonce   int           // the last one
}

// Start starts a service on a loopback address; port 0 selects a free one. With no
// credentials it speaks plain text.
func Start(addr string, tls credentials.TransportCredentials) (*Service, error) {
	s := &Service{addr: addr, tls: tls, changed: make(chan struct{}), acked: make(chan struct{})}
	return s, s.Restart()
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() string { return s.addr }

// Restart starts to serve again after Stop, at the same address as before.
func (s *Service) Restart() error {
	host, _, err := net.SplitHostPort(s.addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("%s: not a loopback address", s.addr)
	}
	l, err := s.bind()
	if err != nil {
		return err
	}
	s.addr = l.Addr().String()
	var options []grpc.ServerOption
	if s.tls != nil {
		options = append(options, grpc.Creds(s.tls))
	}
	server := grpc.NewServer(options...)
	discovery.RegisterAggregatedDiscoveryServiceServer(server, s)
	s.mu.Lock()
	s.server = server
	s.mu.Unlock()
	go func() { _ = server.Serve(l) }() // it ends with Stop
	return nil
}

func (s *Service) bind() (net.Listener, error) {
	for end := time.Now().Add(bindTimeout); ; time.Sleep(bindPause) {
		if l, err := net.Listen("tcp", s.addr); err == nil || time.Now().After(end) {
			return l, err
		}
	}
}

// Stop closes all streams and the listener.
func (s *Service) Stop() {
	s.mu.Lock()
	server := s.server
	s.server = nil
	s.mu.Unlock()
	if server != nil {
		server.Stop()
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

// Streams returns the number of streams that were opened so far.
func (s *Service) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams
}

// Acks returns the answers so far.
func (s *Service) Acks() []Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.acks)
}

// AwaitAcks waits until the answers satisfy a condition, or the context ends.
func (s *Service) AwaitAcks(ctx context.Context, done func([]Ack) bool) error {
	for {
		s.mu.Lock()
		acks, acked := slices.Clone(s.acks), s.acked
		s.mu.Unlock()
		if done(acks) {
			return nil
		}
		select {
		case <-acked:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// recordAck records a gateway's answer; a subscription, which has no nonce, is none.
func (s *Service) recordAck(node *corev3.Node, typeURL, version, nonce string, detail *status.Status) {
	if nonce == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ack := Ack{Gateway: node.GetId(), Type: configversion.ResourceType(typeURL[min(len(typeURLPrefix), len(typeURL)):]), Version: version, Nonce: nonce, Error: detail.GetMessage()}
	if s.acks = append(s.acks, ack); len(s.acks) > maxAcks {
		s.acks = s.acks[maxAcks/2:]
	}
	close(s.acked)
	s.acked = make(chan struct{})
}
