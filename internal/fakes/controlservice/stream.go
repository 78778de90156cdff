package controlservice

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	discovery "github.com/envoyproxy/go-control-plane/envoy/service/discovery/v3"
	"google.golang.org/protobuf/types/known/anypb"

	"archknot/internal/configversion"
)

// typeURLPrefix equals xdsclient.TypeURLPrefix. Importing xdsclient here would be an import
// cycle, because its tests import this package.
const typeURLPrefix = "type.googleapis.com/archknot.config.v1."

// repeatedNonce is the nonce of every message of a version that has RepeatNonce set.
const repeatedNonce = "always"

// errStreamClosed ends a stream after Version.CloseAfter messages.
var errStreamClosed = errors.New("the service vanishes")

func (s *Service) nextNonce(m message) string {
	if m.repeatNonce {
		return repeatedNonce
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nonce++
	return fmt.Sprint("n", s.nonce)
}

// serve sends the current version to one stream, then each newly published version, until the
// stream ends.
func (s *Service) serve(ctx context.Context, send func(message) error) error {
	s.mu.Lock()
	s.streams++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		v, changed := s.current, s.changed
		s.mu.Unlock()
		if v != nil {
			if err := sendVersion(ctx, v, send); err != nil {
				return err
			}
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// sendVersion sends a version's messages with the delay and the early end that it specifies.
func sendVersion(ctx context.Context, v *Version, send func(message) error) error {
	messages, err := v.encode()
	if err != nil {
		return err
	}
	for i, m := range messages {
		if v.CloseAfter > 0 && i >= v.CloseAfter {
			return errStreamClosed
		}
		if err := send(m); err != nil {
			return err
		}
		if v.Delay <= 0 {
			continue
		}
		select {
		case <-time.After(v.Delay):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// receive handles the requests of a stream until the client ends it, then cancels the stream's
// context.
func receive[R any](cancel context.CancelFunc, next func() (R, error), handle func(R)) {
	defer cancel()
	for {
		r, err := next()
		if err != nil {
			return
		}
		handle(r)
	}
}

// StreamAggregatedResources serves a stream of the state-of-the-world variant of xDS: each
// message has all resources of its type.
func (s *Service) StreamAggregatedResources(st discovery.AggregatedDiscoveryService_StreamAggregatedResourcesServer) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	go receive(cancel, st.Recv, func(m *discovery.DiscoveryRequest) {
		s.recordAck(m.Node, m.TypeUrl, m.VersionInfo, m.ResponseNonce, m.ErrorDetail)
	})
	return s.serve(ctx, func(m message) error {
		return st.Send(&discovery.DiscoveryResponse{TypeUrl: typeURLPrefix + string(m.resourceType), VersionInfo: m.version, Nonce: s.nextNonce(m), Resources: m.resources})
	})
}

// DeltaAggregatedResources serves a stream of the incremental variant of xDS: each message has
// only the resources that changed since the previous message of its type on this stream.
func (s *Service) DeltaAggregatedResources(st discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	go receive(cancel, st.Recv, func(m *discovery.DeltaDiscoveryRequest) {
		s.recordAck(m.Node, m.TypeUrl, "", m.ResponseNonce, m.ErrorDetail)
	})
	sent := map[configversion.ResourceType]map[string]string{} // encoded resources by type and name
	return s.serve(ctx, func(m message) error {
		r := &discovery.DeltaDiscoveryResponse{TypeUrl: typeURLPrefix + string(m.resourceType), SystemVersionInfo: m.version, Nonce: s.nextNonce(m)}
		sent[m.resourceType] = fillDelta(r, m, sent[m.resourceType])
		return st.Send(r)
	})
}

// fillDelta adds to r the resources of m that differ from those sent before and the names of
// removed resources. It returns the encoded resources of m by name.
func fillDelta(r *discovery.DeltaDiscoveryResponse, m message, sent map[string]string) map[string]string {
	present := map[string]string{}
	for i, a := range m.resources {
		name := resourceName(m.resourceType, i, a)
		present[name] = string(a.Value)
		if old, ok := sent[name]; !ok || old != present[name] {
			r.Resources = append(r.Resources, &discovery.Resource{Name: name, Version: m.version, Resource: a})
		}
	}
	for name := range sent {
		if _, ok := present[name]; !ok {
			r.RemovedResources = append(r.RemovedResources, name)
		}
	}
	slices.Sort(r.RemovedResources)
	return present
}

// resourceName returns the resource's own name. If the resource has no name or cannot be
// decoded, it returns the type followed by the position in the list.
func resourceName(t configversion.ResourceType, i int, a *anypb.Any) string {
	m, err := a.UnmarshalNew()
	if err == nil {
		if named, ok := m.(interface{ GetName() string }); ok {
			return named.GetName()
		}
	}
	return fmt.Sprint(t, i)
}
