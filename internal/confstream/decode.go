// Package confstream is the gateway's side of a streamed configuration: the
// aggregated discovery service of xDS v3 over gRPC, both in its state-of-the-world
// and its incremental form, and the store of the last good version. What becomes
// of a version is decided by package revision.
package confstream

import (
	"fmt"
	"math"
	"strings"

	"google.golang.org/protobuf/proto"

	"archknot/choice"
	"archknot/internal/contract"
	"archknot/internal/revision"
	pb "archknot/internal/revision/configpb"
)

// TypeURLPrefix begins the type URLs of our resources.
const TypeURLPrefix = "type.googleapis.com/archknot.config.v1."

// TypeURL is the type URL of a type.
func TypeURL(t revision.ResourceType) string { return TypeURLPrefix + string(t) }

// ResourceTypeOf is the type of a URL, if it is one of ours.
func ResourceTypeOf(url string) (revision.ResourceType, bool) {
	name, ok := strings.CutPrefix(url, TypeURLPrefix)
	if !ok {
		return "", false
	}
	for _, t := range revision.ResourceTypes {
		if string(t) == name {
			return t, true
		}
	}
	return "", false
}

// clampInt reads a number that must fit an int.
func clampInt(v uint32) int { return int(min(v, math.MaxInt32)) }

// Decode reads the resources of one type.
func Decode(t revision.ResourceType, resources [][]byte) (*revision.Fragment, error) {
	if t == revision.TypeVersion {
		return decodeManifest(resources)
	}
	fills := make([]func(*revision.Config), 0, len(resources))
	for i, raw := range resources {
		fill, err := decodeResource(t, raw)
		if err != nil {
			return nil, fmt.Errorf("resource %d: %w", i, err)
		}
		fills = append(fills, fill)
	}
	switch t {
	case revision.TypeClass, revision.TypeTenant, revision.TypeReplica, revision.TypeContract:
	default:
		if len(resources) != 1 {
			return nil, fmt.Errorf("expected one resource, got %d", len(resources))
		}
	}
	return &revision.Fragment{MergeInto: func(c *revision.Config) {
		switch t { // also where the list is empty
		case revision.TypeClass:
			c.HasClasses = true
		case revision.TypeTenant:
			c.HasTenants = true
		case revision.TypeReplica:
			c.HasReplicaMarks = true
		case revision.TypeContract:
			c.HasContracts = true
		}
		for _, fill := range fills {
			fill(c)
		}
		if c.Resources == nil {
			c.Resources = map[revision.ResourceType][][]byte{}
		}
		c.Resources[t] = resources
	}}, nil
}

func decodeManifest(resources [][]byte) (*revision.Fragment, error) {
	if len(resources) != 1 {
		return nil, fmt.Errorf("expected one resource, got %d", len(resources))
	}
	var v pb.Version
	if err := proto.Unmarshal(resources[0], &v); err != nil {
		return nil, err
	}
	m := &revision.Manifest{Number: revision.Number(v.Number), Types: map[revision.ResourceType]string{},
		Rollout: revision.Rollout{FirstPercent: clampInt(v.FirstPercent), Hold: v.HoldUs, MaxRegression: v.WorseBy}}
	for name, version := range v.Types {
		t, ok := ResourceTypeOf(TypeURLPrefix + name)
		if !ok || t == revision.TypeVersion {
			return nil, fmt.Errorf("types: %q is no type of resources", name)
		}
		m.Types[t] = version
	}
	return &revision.Fragment{Manifest: m, MergeInto: func(c *revision.Config) {
		if c.Resources == nil {
			c.Resources = map[revision.ResourceType][][]byte{}
		}
		c.Resources[revision.TypeVersion] = resources
	}}, nil
}

// decodeResource reads one resource of a type other than Version.
func decodeResource(t revision.ResourceType, raw []byte) (func(*revision.Config), error) {
	read := func(m proto.Message) error { return proto.Unmarshal(raw, m) }
	switch t {
	case revision.TypeClass:
		var m pb.Class
		if err := read(&m); err != nil {
			return nil, err
		}
		k := choice.Class{Name: m.Name, LatencyObjective: m.AimUs, ObjectivePer1000Tokens: m.AimPer_1000Us, TokenObjective: m.TokenAimUs, Deadline: m.DeadlineUs, PriorityWeight: m.Worth,
			LateWeightShare: m.LateWorth, Idempotency: choice.Idempotency(min(uint32(m.Effect), 255)), DedupScope: choice.DedupScope(min(uint32(m.Scope), 255)), DedupWindow: m.RepeatsKeptUs, Streaming: m.Stream}
		return func(c *revision.Config) { c.Classes = append(c.Classes, k) }, nil
	case revision.TypeTenant:
		var m pb.Tenant
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *revision.Config) {
			c.Tenants = append(c.Tenants, revision.Tenant{Name: m.Name, QuotaPerS: m.QuotaPerS, Share: m.Share})
		}, nil
	case revision.TypeReplica:
		var m pb.Worker
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *revision.Config) {
			c.ReplicaMarks = append(c.ReplicaMarks, revision.ReplicaMark{Name: m.Name, Kind: revision.MarkKind(min(uint32(m.Mark), 255))})
		}, nil
	case revision.TypeAttempts:
		var m pb.Attempts
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *revision.Config) {
			c.Attempts = &revision.Attempts{Max: clampInt(m.Most), MayHedge: m.SecondCopies, HedgeRatio: m.HedgeShare, RetryRatio: m.RetryShare}
		}, nil
	case revision.TypeAdmission:
		var m pb.Admission
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *revision.Config) {
			c.Admission = &revision.Admission{MaxInFlight: clampInt(m.MostHeld), OverQuotaWeight: m.OverShareWorth, MaxRetryAfter: m.MaxRetryAfterUs}
		}, nil
	case revision.TypeConnections:
		var m pb.Connections
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *revision.Config) {
			c.Connections = &revision.Connections{Clients: clampInt(m.Clients), Replicas: clampInt(m.Workers), IdleTimeout: m.IdleUs, ConnectTimeout: m.ConnectTimeoutUs}
		}, nil
	case revision.TypeWatch:
		var m pb.Watch
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *revision.Config) { c.Watch = &revision.Watch{Wait: m.WaitUs, CallTimeout: m.CallTimeoutUs} }, nil
	case revision.TypeCapture:
		var m pb.Capture
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *revision.Config) {
			c.Capture = &revision.Capture{Record: m.Record, CheckpointInterval: m.CheckpointUs, MaxBytes: m.KeepBytes, MaxAge: m.KeepAgeUs}
		}, nil
	case revision.TypeContract:
		var m pb.Contract
		if err := read(&m); err != nil {
			return nil, err
		}
		t := contract.TermsFromProto(m.Terms)
		t.Team = m.Name
		return func(c *revision.Config) { c.Contracts = append(c.Contracts, t) }, nil
	case revision.TypeLog:
		var m pb.Log
		if err := read(&m); err != nil {
			return nil, err
		}
		return func(c *revision.Config) { c.Log = &revision.Log{Level: m.Level} }, nil
	}
	return nil, fmt.Errorf("no type %q", t)
}

// MarshalConfig is a version in the store's form.
func MarshalConfig(c *revision.Config) ([]byte, error) {
	var s pb.Stored
	for _, t := range revision.ResourceTypes {
		if raw, ok := c.Resources[t]; ok {
			s.Parts = append(s.Parts, &pb.Stored_Part{Type: string(t), Resources: raw})
		}
	}
	return proto.Marshal(&s)
}

// UnmarshalConfig reads a version as Pack wrote it.
func UnmarshalConfig(text []byte) (*revision.Config, error) {
	var s pb.Stored
	if err := proto.Unmarshal(text, &s); err != nil {
		return nil, err
	}
	c := &revision.Config{}
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
