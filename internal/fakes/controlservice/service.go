// Package controlservice is a fake control service: an xDS v3 aggregated discovery server that
// sends scripted configuration versions, valid and invalid. It is for tests and trials, and
// listens on loopback addresses only.
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

// bindTimeout bounds the attempts of Restart to bind its address: another connection may occupy
// the port for a moment.
const bindTimeout = 3 * time.Second

// bindPause is the time between two attempts to bind the address.
const bindPause = 10 * time.Millisecond

// maxAcks bounds the recorded answers; when it is exceeded, the older half is discarded.
const maxAcks = 100_000

// Ack is a gateway's answer to one response: an acknowledgement, or a rejection (NACK).
type Ack struct {
	Gateway string
	Type    configversion.ResourceType
	Version string // last accepted version
	Nonce   string
	Error   string // reason of a rejection; empty for an acknowledgement
}

// Service is a fake control service. Its methods other than Restart are safe for concurrent use.
type Service struct {
	discovery.UnimplementedAggregatedDiscoveryServiceServer
	addr string
	tls  credentials.TransportCredentials

	mu      sync.Mutex
	server  *grpc.Server
	current *Version
	changed chan struct{} // closed when current changes
	acks    []Ack
	acked   chan struct{} // closed at the next answer
	streams int           // number of streams opened so far
	nonce   int           // number in the last nonce
}

// Start starts a service on a loopback address; port 0 selects a free port. Without
// credentials the service uses plain text. It returns an error if the address is not a loopback
// address or cannot be bound.
func Start(addr string, tls credentials.TransportCredentials) (*Service, error) {
	s := &Service{addr: addr, tls: tls, changed: make(chan struct{}), acked: make(chan struct{})}
	return s, s.Restart()
}

// Addr returns the address that the service listens on.
func (s *Service) Addr() string { return s.addr }

// Restart resumes serving after Stop, at the same address. It must not run concurrently with
// itself or Addr, since it sets the address.
func (s *Service) Restart() error {
	host, _, err := net.SplitHostPort(s.addr)
	if ip := net.ParseIP(host); err != nil || ip == nil || !ip.IsLoopback() {
		return fmt.Errorf("listen %s: not a loopback address", s.addr)
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
	go func() { _ = server.Serve(l) }() // returns when Stop is called
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

// Publish makes v the current version and sends it on all open streams. A version that is
// replaced before a stream sends it is skipped on that stream.
func (s *Service) Publish(v *Version) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.current = v
	close(s.changed)
	s.changed = make(chan struct{})
}

// Streams returns the number of streams opened since Start.
func (s *Service) Streams() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.streams
}

// Acks returns a copy of the recorded answers, oldest first. Old answers may have been discarded.
func (s *Service) Acks() []Ack {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.acks)
}

// AwaitAcks waits until done returns true for the recorded answers. It returns the context's
// error if the context ends first.
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

// recordAck records a gateway's answer to a response. A request without a nonce is a
// subscription and is not recorded.
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
