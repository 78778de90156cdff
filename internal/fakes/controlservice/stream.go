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

// typeURLPrefix is xdsclient.TypeURLPrefix. The tests of that package use this one, so it
// can't be imported here.
const typeURLPrefix = "type.googleapis.com/archknot.config.v1."

// repeatedNonce is the nonce of all messages of a version with RepeatNonce.
const repeatedNonce = "always"

// errStreamClosed ends a stream as Version.CloseAfter orders.
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

// serve sends each version that is published to one stream, until the stream ends.
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

// sendVersion sends a version's messages.
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

// receive handles the requests of a stream until it ends, then cancels the stream's context.
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

// StreamAggregatedResources serves a stream of the state-of-the-world form.
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

// DeltaAggregatedResources serves a stream of the incremental form: only what has changed
// on this stream is sent.
func (s *Service) DeltaAggregatedResources(st discovery.AggregatedDiscoveryService_DeltaAggregatedResourcesServer) error {
	ctx, cancel := context.WithCancel(st.Context())
	defer cancel()
	go receive(cancel, st.Recv, func(m *discovery.DeltaDiscoveryRequest) {
		s.recordAck(m.Node, m.TypeUrl, "", m.ResponseNonce, m.ErrorDetail)
	})
	sent := map[configversion.ResourceType]map[string]string{} // contents by type and name
	return s.serve(ctx, func(m message) error {
		r := &discovery.DeltaDiscoveryResponse{TypeUrl: typeURLPrefix + string(m.resourceType), SystemVersionInfo: m.version, Nonce: s.nextNonce(m)}
		sent[m.resourceType] = fillDelta(r, m, sent[m.resourceType])
		return st.Send(r)
	})
}

// fillDelta adds to a response what has changed since the contents sent before, and returns
// the present contents by name.
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

// resourceName is the name that a resource has in itself, or the type and the position in
// the list.
func resourceName(t configversion.ResourceType, i int, a *anypb.Any) string {
	m, err := a.UnmarshalNew()
	if err == nil {
		if named, ok := m.(interface{ GetName() string }); ok {
			return named.GetName()
		}
	}
	return fmt.Sprint(t, i)
}
