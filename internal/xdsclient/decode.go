// Package confstream is the gateway's side of a streamed configuration: the
// aggregated discovery service of xDS v3 over gRPC, both in its state-of-the-world
// and its incremental form, and the store of the last good version. What becomes
// of a version is decided by package revision.
package xdsclient

import (
	"fmt"
	"math"
	"strings"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
	"archknot/internal/contract"
)

// TypeURLPrefix begins the type URLs of our resources.
const TypeURLPrefix = "type.googleapis.com/archknot.config.v1."

// TypeURL is the type URL of a type.
func TypeURL(t configversion.ResourceType) string { return TypeURLPrefix + string(t) }

// ResourceTypeOf is the type of a URL, if it is one of ours.
func ResourceTypeOf(url string) (configversion.ResourceType, bool) {
	name, ok := strings.CutPrefix(url, TypeURLPrefix)
	if !ok {
		return "", false
	}
	for _, t := range configversion.ResourceTypes {
		if string(t) == name {
			return t, true
		}
	}
	return "", false
}

// clampInt reads a number that must fit an int.
func clampInt(v uint32) int { return int(min(v, math.MaxInt32)) }

// Decode reads the resources of one type.
func Decode(t configversion.ResourceType, resources [][]byte) (*configversion.Fragment, error) {
	if t == configversion.TypeVersion {
		return decodeManifest(resources)
	}
	fills := make([]func(*configversion.Config), 0, len(resources))
	for i, raw := range resources {
		fill, err := decodeResource(t, raw)
		if err != nil {
			return nil, fmt.Errorf("resource %d: %w", i, err)
		}
		fills = append(fills, fill)
	}
	switch t {
	case configversion.TypeClass, configversion.TypeTenant, configversion.TypeReplica, configversion.TypeContract:
	default:
		if len(resources) != 1 {
			return nil, fmt.Errorf("expected one resource, got %d", len(resources))
		}
	}
	return &configversion.Fragment{MergeInto: func(c *configversion.Config) {
		switch t { // also where the list is empty
		case configversion.TypeClass:
			c.HasClasses = true
		case configversion.TypeTenant:
			c.HasTenants = true
		case configversion.TypeReplica:
			c.HasReplicaMarks = true
		case configversion.TypeContract:
			c.HasContracts = true
		}
		for _, fill := range fills {
			fill(c)
		}
		if c.Resources == nil {
			c.Resources = map[configversion.ResourceType][][]byte{}
		}
		c.Resources[t] = resources
	}}, nil
}

func decodeManifest(resources [][]byte) (*configversion.Fragment, error) {
	if len(resources) != 1 {
		return nil, fmt.Errorf("expected one resource, got %d", len(resources))
	}
	var v pb.Version
	if err := proto.Unmarshal(resources[0], &v); err != nil {
		return nil, err
	}
	m := &configversion.Manifest{Number: configversion.Number(v.Number), Types: map[configversion.ResourceType]string{},
		Rollout: configversion.Rollout{FirstPercent: clampInt(v.FirstPercent), Hold: v.HoldUs, MaxRegression: v.WorseBy}}
	for name, version := range v.Types {
		t, ok := ResourceTypeOf(TypeURLPrefix + name)
		if !ok || t == configversion.TypeVersion {
			return nil, fmt.Errorf("types: %q is no type of resources", name)
		}
		m.Types[t] = version
	}
	return &configversion.Fragment{Manifest: m, MergeInto: func(c *configversion.Config) {
		if c.Resources == nil {
			c.Resources = map[configversion.ResourceType][][]byte{}
		}
		c.Resources[configversion.TypeVersion] = resources
	}}, nil
}

// decodeResource reads one resource of a type other than Version.
func decodeResource(t configversion.ResourceType, raw []byte) (func(*configversion.Config), error) {
	read := func(m proto.Message) error { return proto.Unmarshal(raw, m) }
	switch t {
	case configversion.TypeClass:
		var m pb.Class
		if err := read(&m); err != nil {
			return nil, err
		}
		k := balancer.Class{Name: m.Name, LatencyObjective: m.AimUs, ObjectivePer1000Tokens: m.AimPer_1000Us, TokenObjective: m.TokenAimUs, Deadline: m.DeadlineUs, PriorityWeight: m.Worth,
			LateWeightShare: m.LateWorth, Idempotency: balancer.Idempotency(min(uint32(m.Effect), 255)), DedupScope: balancer.DedupScope(min(uint32(m.Scope), 255)), DedupWindow: m.RepeatsKeptUs, Streaming: m.Stream}
		return func(c *configversion.Config) { c.Classes = append(c.Classes, k) }, nil
	case configversion.TypeTenant:
		var m pb.Tenant
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *configversion.Config) {
			c.Tenants = append(c.Tenants, configversion.Tenant{Name: m.Name, QuotaPerS: m.QuotaPerS, Share: m.Share})
		}, nil
	case configversion.TypeReplica:
		var m pb.Worker
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *configversion.Config) {
			c.ReplicaMarks = append(c.ReplicaMarks, configversion.ReplicaMark{Name: m.Name, Kind: configversion.MarkKind(min(uint32(m.Mark), 255))})
		}, nil
	case configversion.TypeAttempts:
		var m pb.Attempts
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *configversion.Config) {
			c.Attempts = &configversion.Attempts{Max: clampInt(m.Most), MayHedge: m.SecondCopies, HedgeRatio: m.HedgeShare, RetryRatio: m.RetryShare}
		}, nil
	case configversion.TypeAdmission:
		var m pb.Admission
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *configversion.Config) {
			c.Admission = &configversion.Admission{MaxInFlight: clampInt(m.MostHeld), OverQuotaWeight: m.OverShareWorth, MaxRetryAfter: m.MaxRetryAfterUs}
		}, nil
	case configversion.TypeConnections:
		var m pb.Connections
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *configversion.Config) {
			c.Connections = &configversion.Connections{Clients: clampInt(m.Clients), Replicas: clampInt(m.Workers), IdleTimeout: m.IdleUs, ConnectTimeout: m.ConnectTimeoutUs}
		}, nil
	case configversion.TypeWatch:
		var m pb.Watch
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *configversion.Config) {
			c.Watch = &configversion.Watch{Wait: m.WaitUs, CallTimeout: m.CallTimeoutUs}
		}, nil
	case configversion.TypeCapture:
		var m pb.Capture
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *configversion.Config) {
			c.Capture = &configversion.Capture{Record: m.Record, CheckpointInterval: m.CheckpointUs, MaxBytes: m.KeepBytes, MaxAge: m.KeepAgeUs}
		}, nil
	case configversion.TypeContract:
		var m pb.Contract
		if err := read(&m); err != nil {
			return nil, err
		}
		t := contract.TermsFromProto(m.Terms)
		t.Team = m.Name
		return func(c *configversion.Config) { c.Contracts = append(c.Contracts, t) }, nil
	case configversion.TypeLog:
		var m pb.Log
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *configversion.Config) { c.Log = &configversion.Log{Level: m.Level} }, nil
	}
	return nil, fmt.Errorf("no type %q", t)
}

// MarshalConfig is a version in the store's form.
func MarshalConfig(c *configversion.Config) ([]byte, error) {
	var s pb.Stored
	for _, t := range configversion.ResourceTypes {
		if raw, ok := c.Resources[t]; ok {
			s.Parts = append(s.Parts, &pb.Stored_Part{Type: string(t), Resources: raw})
		}
	}
	return proto.Marshal(&s)
}

// UnmarshalConfig reads a version as Pack wrote it.
func UnmarshalConfig(text []byte) (*configversion.Config, error) {
	var s pb.Stored
	if err := proto.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	c := &configversion.Config{}
	for _, p := range s.Parts {
		t, ok := ResourceTypeOf(TypeURLPrefix + p.Type)
		if !ok {
			return nil, fmt.Errorf("no type %q", p.Type)
		}
		part, err := Decode(t, p.Resources)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", t, err)
		}
		if m := part.Manifest; m != nil {
			c.Number, c.Rollout = m.Number, m.Rollout
		}
		part.MergeInto(c)
	}
	if c.Number == 0 {
		return nil, fmt.Errorf("it has no number")
	}
	return c, nil
}
