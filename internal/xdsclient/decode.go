package xdsclient

import (
	"errors"
	"fmt"
	"math"
	"strings"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	"archknot/internal/configversion"
	pb "archknot/internal/configversion/configpb"
	"archknot/internal/contract"
)

// TypeURLPrefix is the prefix of the type URLs of the gateway's resources.
const TypeURLPrefix = "type.googleapis.com/archknot.config.v1."

// maxEnum is the maximum of an enumeration's value: configversion stores them as uint8.
const maxEnum = math.MaxUint8

var errNoNumber = errors.New("stored version has no number")

// TypeURL returns the type URL of a resource type.
func TypeURL(t configversion.ResourceType) string { return TypeURLPrefix + string(t) }

// ResourceTypeOf returns the resource type of a type URL, or false if it is not a type of
// the gateway's configuration.
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

// clampInt converts a value to an int, limited to the range of int32.
func clampInt(v uint32) int { return int(min(v, math.MaxInt32)) }

// clampEnum converts an enumeration's value. A value that does not fit becomes maxEnum, which
// validation rejects as unknown.
func clampEnum[E ~int32](v E) uint8 { return uint8(min(uint32(v), maxEnum)) }

// Decode decodes the resources of one type. It returns an error if one of them is malformed, if
// the type is unknown, or if a type that is not a list has not exactly one resource.
func Decode(t configversion.ResourceType, resources [][]byte) (*configversion.Fragment, error) {
	if t == configversion.TypeVersion {
		return decodeManifest(resources)
	}
	decodeOne := decoders[t]
	merges := make([]mergeFunc, 0, len(resources))
	for i, raw := range resources {
		if decodeOne == nil {
			return nil, fmt.Errorf("resource %d: no type %q", i, t)
		}
		merge, err := decodeOne(raw)
		if err != nil {
			return nil, fmt.Errorf("resource %d: %w", i, err)
		}
		merges = append(merges, merge)
	}
	if markPresent := listTypes[t]; markPresent == nil && len(resources) != 1 {
		return nil, fmt.Errorf("expected one resource, got %d", len(resources))
	}
	return &configversion.Fragment{MergeInto: func(c *configversion.Config) {
		if markPresent := listTypes[t]; markPresent != nil {
			markPresent(c)
		}
		for _, merge := range merges {
			merge(c)
		}
		addResources(c, t, resources)
	}}, nil
}

// addResources adds the undecoded messages of a type to a version.
func addResources(c *configversion.Config, t configversion.ResourceType, resources [][]byte) {
	if c.Resources == nil {
		c.Resources = map[configversion.ResourceType][][]byte{}
	}
	c.Resources[t] = resources
}

func decodeManifest(resources [][]byte) (*configversion.Fragment, error) {
	if len(resources) != 1 {
		return nil, fmt.Errorf("expected one resource, got %d", len(resources))
	}
	var v pb.Version
	if err := proto.Unmarshal(resources[0], &v); err != nil {
		return nil, err
	}
	manifest := &configversion.Manifest{Number: configversion.Number(v.Number), Types: map[configversion.ResourceType]string{},
		Rollout: configversion.Rollout{FirstPercent: clampInt(v.FirstPercent), Hold: v.HoldUs, MaxRegression: v.WorseBy}}
	for name, version := range v.Types {
		t, ok := ResourceTypeOf(TypeURLPrefix + name)
		if !ok || t == configversion.TypeVersion {
			return nil, fmt.Errorf("types: %q is no type of resources", name)
		}
		manifest.Types[t] = version
	}
	return &configversion.Fragment{Manifest: manifest, MergeInto: func(c *configversion.Config) {
		addResources(c, configversion.TypeVersion, resources)
	}}, nil
}

// mergeFunc adds a decoded resource to a version.
type mergeFunc func(*configversion.Config)

// listTypes are the types of which a version may have any number of resources. The
// functions set the Has field of the list, so that an empty list overrides the files too.
var listTypes = map[configversion.ResourceType]mergeFunc{
	configversion.TypeClass:    func(c *configversion.Config) { c.HasClasses = true },
	configversion.TypeTenant:   func(c *configversion.Config) { c.HasTenants = true },
	configversion.TypeReplica:  func(c *configversion.Config) { c.HasReplicaMarks = true },
	configversion.TypeContract: func(c *configversion.Config) { c.HasContracts = true },
}

// decoders decode a single resource, for each type except TypeVersion.
var decoders = map[configversion.ResourceType]func(raw []byte) (mergeFunc, error){
	configversion.TypeClass:       decoder(mergeClass),
	configversion.TypeTenant:      decoder(mergeTenant),
	configversion.TypeReplica:     decoder(mergeReplicaMark),
	configversion.TypeAttempts:    decoder(mergeAttempts),
	configversion.TypeAdmission:   decoder(mergeAdmission),
	configversion.TypeConnections: decoder(mergeConnections),
	configversion.TypeWatch:       decoder(mergeWatch),
	configversion.TypeCapture:     decoder(mergeCapture),
	configversion.TypeContract:    decoder(mergeContract),
	configversion.TypeLog:         decoder(mergeLog),
}

// messageOf is the constraint of a pointer to M that is a protocol buffer message.
type messageOf[M any] interface {
	*M
	proto.Message
}

// decoder returns a function that decodes a message of type M and returns its merge into a version.
func decoder[M any, P messageOf[M]](merge func(*configversion.Config, P)) func(raw []byte) (mergeFunc, error) {
	return func(raw []byte) (mergeFunc, error) {
		m := P(new(M))
		if err := proto.Unmarshal(raw, m); err != nil {
			return nil, err
		}
		return func(c *configversion.Config) { merge(c, m) }, nil
	}
}

func mergeClass(c *configversion.Config, m *pb.Class) {
	c.Classes = append(c.Classes, balancer.Class{
		Name:                   m.Name,
		LatencyObjective:       m.AimUs,
		ObjectivePer1000Tokens: m.AimPer_1000Us,
		TokenObjective:         m.TokenAimUs,
		Deadline:               m.DeadlineUs,
		PriorityWeight:         m.Worth,
		LateWeightShare:        m.LateWorth,
		Idempotency:            balancer.Idempotency(clampEnum(m.Effect)),
		DedupScope:             balancer.DedupScope(clampEnum(m.Scope)),
		DedupWindow:            m.RepeatsKeptUs,
		Streaming:              m.Stream,
	})
}

func mergeTenant(c *configversion.Config, m *pb.Tenant) {
	c.Tenants = append(c.Tenants, configversion.Tenant{Name: m.Name, QuotaPerS: m.QuotaPerS, FleetFraction: m.Share})
}

func mergeReplicaMark(c *configversion.Config, m *pb.Worker) {
	c.ReplicaMarks = append(c.ReplicaMarks, configversion.ReplicaMark{Name: m.Name, Kind: configversion.MarkKind(clampEnum(m.Mark))})
}

func mergeAttempts(c *configversion.Config, m *pb.Attempts) {
	c.Attempts = &configversion.Attempts{Max: clampInt(m.Most), MayHedge: m.SecondCopies, HedgeRatio: m.HedgeShare, RetryRatio: m.RetryShare}
}

func mergeAdmission(c *configversion.Config, m *pb.Admission) {
	c.Admission = &configversion.Admission{MaxInFlight: clampInt(m.MostHeld), OverQuotaWeight: m.OverShareWorth, MaxRetryAfter: m.MaxRetryAfterUs}
}

func mergeConnections(c *configversion.Config, m *pb.Connections) {
	c.Connections = &configversion.Connections{Clients: clampInt(m.Clients), Replicas: clampInt(m.Workers), IdleTimeout: m.IdleUs, ConnectTimeout: m.ConnectTimeoutUs}
}

func mergeWatch(c *configversion.Config, m *pb.Watch) {
	c.Watch = &configversion.Watch{Wait: m.WaitUs, CallTimeout: m.CallTimeoutUs}
}

func mergeCapture(c *configversion.Config, m *pb.Capture) {
	c.Capture = &configversion.Capture{Record: m.Record, CheckpointInterval: m.CheckpointUs, MaxBytes: m.KeepBytes, MaxAge: m.KeepAgeUs}
}

func mergeContract(c *configversion.Config, m *pb.Contract) {
	terms := contract.TermsFromProto(m.Terms)
	terms.Team = m.Name
	c.Contracts = append(c.Contracts, terms)
}

func mergeLog(c *configversion.Config, m *pb.Log) {
	c.Log = &configversion.Log{Level: m.Level}
}

// MarshalConfig encodes a version for the store, from the messages in its Resources.
func MarshalConfig(c *configversion.Config) ([]byte, error) {
	var stored pb.Stored
	for _, t := range configversion.ResourceTypes {
		if raw, ok := c.Resources[t]; ok {
			stored.Parts = append(stored.Parts, &pb.Stored_Part{Type: string(t), Resources: raw})
		}
	}
	return proto.Marshal(&stored)
}

// UnmarshalConfig decodes a version that MarshalConfig encoded. It does not validate it.
func UnmarshalConfig(data []byte) (*configversion.Config, error) {
	var stored pb.Stored
	if err := proto.Unmarshal(data, &stored); err != nil {
		return nil, err
	}
	c := &configversion.Config{}
	for _, part := range stored.Parts {
		t, ok := ResourceTypeOf(TypeURLPrefix + part.Type)
		if !ok {
			return nil, fmt.Errorf("unknown resource type %q", part.Type)
		}
		fragment, err := Decode(t, part.Resources)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", t, err)
		}
		if m := fragment.Manifest; m != nil {
			c.Number, c.Rollout = m.Number, m.Rollout
		}
		fragment.MergeInto(c)
	}
	if c.Number == 0 {
		return nil, errNoNumber
	}
	return c, nil
}
