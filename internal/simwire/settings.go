package simwire

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"archknot/balancer"
)

// setup is the JSON settings object of a BORN line and of NODE_CONFIG. Unknown keys are ignored here; package lifecycle
// reports them.
type setup struct {
	SelfIndex      int     `json:"selfIndex"`
	NInstances     int     `json:"nInstances"`
	Zone           string  `json:"zone"`
	OverShareWorth float64 `json:"overShareWorth"`
	Discovery      string  `json:"discovery"`
	Weights        string  `json:"weights"`
	TickUs         int64   `json:"tickUs"`

	Zones []string `json:"zones"`
	Kinds []string `json:"kinds"`
	Extra struct {
		AimUsPer1000 []float64 `json:"aimUsPer1000PromptTokens"`
		TokenAimUs   []float64 `json:"tokenAimUs"`
	} `json:"extra"`
	RequestClasses []requestClass `json:"requestClasses"`
	Tenants        []tenant       `json:"tenants"`
	Feedback       struct {
		Via string `json:"via"`
	} `json:"feedback"`
	Limits struct {
		MayProbe        bool  `json:"mayProbe"`
		Peers           bool  `json:"peers"`
		Cancelling      bool  `json:"cancelling"`
		SecondCopies    bool  `json:"secondCopies"`
		RetryAfter      bool  `json:"retryAfter"`
		MaxAttempts     int   `json:"maxAttempts"`
		Multiplex       int   `json:"multiplex"`
		ConnIdleUs      int64 `json:"connIdleUs"`
		MaxRetryAfterUs int64 `json:"maxRetryAfterUs"`
	} `json:"limits"`
	Rules struct {
		StartCapacity float64 `json:"startCapacity"`
		ColdUs        int64   `json:"coldUs"`
		FallMultiple  float64 `json:"fallMultiple"`
		TipAfterUs    int64   `json:"tipAfterUs"`
		StopSendingUs int64   `json:"stopSendingWithinUs"`
	} `json:"rules"`
	Penalties struct {
		CrossZone float64 `json:"crossZone"`
		Probe     float64 `json:"probe"`
		Handshake float64 `json:"handshake"`
	} `json:"penalties"`
}

// requestClass is one of the settings' requestClasses.
type requestClass struct {
	Name         string  `json:"name"`
	TargetUs     int64   `json:"targetUs"`
	DeadlineUs   int64   `json:"deadlineUs"`
	Points       float64 `json:"points"`
	LateShare    float64 `json:"lateShare"`
	Effect       string  `json:"effect"`
	Group        string  `json:"group"`
	MemorySpanUs int64   `json:"memorySpanUs"`
	Streamed     bool    `json:"streamed"`
}

// tenant is one of the settings' tenants.
type tenant struct {
	Name          string  `json:"name"`
	AllowancePerS float64 `json:"allowancePerS"`
}

// enumValue returns the value with a name. The error contains the field and an unknown name.
func enumValue[T any](field, name string, known map[string]T) (T, error) {
	v, ok := known[name]
	if !ok {
		return v, fmt.Errorf("settings: %s: unknown value %q", field, name)
	}
	return v, nil
}

// Names of enumeration values in the settings. An empty name is that of a missing key.
var (
	idempotencyNames = map[string]balancer.Idempotency{
		"repeatable": balancer.Idempotent, "by_key": balancer.IdempotentWithKey, "once": balancer.NonIdempotent}
	dedupScopeNames = map[string]balancer.DedupScope{
		"": balancer.DedupAll, "all": balancer.DedupAll, "zone": balancer.DedupZone, "cell": balancer.DedupCell}
	reportSourceNames = map[string]balancer.ReportSource{
		"": balancer.ReportNone, "off": balancer.ReportNone,
		"inline": balancer.ReportInline, "on_probe": balancer.ReportOnHealthCheck}
	weightKindNames = map[string]balancer.WeightKind{
		"": balancer.WeightNone, "off": balancer.WeightNone, "nominal": balancer.WeightNominal,
		"rough": balancer.WeightNominal, "live": balancer.WeightLive}
	pollDiscoveryNames = map[string]bool{"": false, "pushed": false, "on_request": true}
)

// SettingsType returns the Go type of the settings object, for callers that check the object's keys.
func SettingsType() reflect.Type { return reflect.TypeFor[setup]() }

// ParseSettings parses a settings object. The error names the invalid field.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var in setup
	if err := json.Unmarshal(text, &in); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: decode JSON object: %w", err)
	}
	s := in.unconvertedSettings()
	var err error
	if s.ReportSource, err = enumValue("feedback.via", in.Feedback.Via, reportSourceNames); err != nil {
		return s, err
	}
	if s.WeightKind, err = enumValue("weights", in.Weights, weightKindNames); err != nil {
		return s, err
	}
	if s.PollDiscovery, err = enumValue("discovery", in.Discovery, pollDiscoveryNames); err != nil {
		return s, err
	}
	s.LocalDiscovery = in.Discovery == "pushed"
	for i := range in.RequestClasses {
		class, err := in.class(i)
		if err != nil {
			return s, err
		}
		s.Classes = append(s.Classes, class)
	}
	for _, t := range in.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, QuotaPerS: t.AllowancePerS})
	}
	return s, nil
}

// unconvertedSettings returns the settings that are copied without conversion.
func (in *setup) unconvertedSettings() balancer.Settings {
	return balancer.Settings{
		Self:             in.SelfIndex,
		Gateways:         in.NInstances,
		Zone:             in.Zone,
		Zones:            in.Zones,
		Kinds:            in.Kinds,
		OverQuotaWeight:  in.OverShareWorth,
		Tick:             in.TickUs,
		MayHealthCheck:   in.Limits.MayProbe,
		MayGossip:        in.Limits.Peers,
		MayCancel:        in.Limits.Cancelling,
		MayHedge:         in.Limits.SecondCopies,
		RetryAfter:       in.Limits.RetryAfter,
		MaxAttempts:      in.Limits.MaxAttempts,
		MaxRetryAfter:    in.Limits.MaxRetryAfterUs,
		InitialCapacity:  in.Rules.StartCapacity,
		OverloadMultiple: in.Rules.FallMultiple,
		SlowStartFor:     in.Rules.ColdUs,
		OverloadWindow:   in.Rules.TipAfterUs,
		DrainGrace:       in.Rules.StopSendingUs,
		CrossZoneCost:    in.Penalties.CrossZone,
		HealthCheckCost:  in.Penalties.Probe,
		HandshakeCost:    in.Penalties.Handshake,
		StreamsPerConn:   in.Limits.Multiplex,
		ConnIdleTimeout:  in.Limits.ConnIdleUs,
	}
}

// class returns the i-th request class. Its objectives per token are in separate lists of the settings object.
func (in *setup) class(i int) (balancer.Class, error) {
	c := in.RequestClasses[i]
	class := balancer.Class{
		Name:             c.Name,
		LatencyObjective: c.TargetUs,
		Deadline:         c.DeadlineUs,
		PriorityWeight:   c.Points,
		LateWeightShare:  c.LateShare,
		DedupWindow:      c.MemorySpanUs,
		Streaming:        c.Streamed,
	}
	var err error
	if class.Idempotency, err = enumValue("requestClasses.effect", c.Effect, idempotencyNames); err != nil {
		return class, err
	}
	if class.DedupScope, err = enumValue("requestClasses.group", c.Group, dedupScopeNames); err != nil {
		return class, err
	}
	if i < len(in.Extra.AimUsPer1000) {
		class.ObjectivePer1000Tokens = int64(in.Extra.AimUsPer1000[i])
	}
	if i < len(in.Extra.TokenAimUs) {
		class.TokenObjective = int64(in.Extra.TokenAimUs[i])
	}
	return class, nil
}

// MarshalSettings returns the settings object that ParseSettings parses to these settings, for callers that start
// gateways. It does not encode LocalDiscovery, which ParseSettings then sets if PollDiscovery is false.
func MarshalSettings(s balancer.Settings) ([]byte, error) {
	var out setup
	out.SelfIndex = s.Self
	out.NInstances = s.Gateways
	out.Zone = s.Zone
	out.Zones = s.Zones
	out.Kinds = s.Kinds
	out.OverShareWorth = s.OverQuotaWeight
	out.TickUs = s.Tick

	out.Limits.MayProbe = s.MayHealthCheck
	out.Limits.Peers = s.MayGossip
	out.Limits.Cancelling = s.MayCancel
	out.Limits.SecondCopies = s.MayHedge
	out.Limits.RetryAfter = s.RetryAfter
	out.Limits.MaxAttempts = s.MaxAttempts
	out.Limits.MaxRetryAfterUs = s.MaxRetryAfter
	out.Limits.Multiplex = s.StreamsPerConn
	out.Limits.ConnIdleUs = s.ConnIdleTimeout

	out.Rules.StartCapacity = s.InitialCapacity
	out.Rules.ColdUs = s.SlowStartFor
	out.Rules.FallMultiple = s.OverloadMultiple
	out.Rules.TipAfterUs = s.OverloadWindow
	out.Rules.StopSendingUs = s.DrainGrace

	out.Penalties.CrossZone = s.CrossZoneCost
	out.Penalties.Probe = s.HealthCheckCost
	out.Penalties.Handshake = s.HandshakeCost

	out.Feedback.Via = enumName(reportSourceNames, s.ReportSource)
	out.Weights = enumName(weightKindNames, s.WeightKind)
	out.Discovery = enumName(pollDiscoveryNames, s.PollDiscovery)
	for _, c := range s.Classes {
		out.Extra.AimUsPer1000 = append(out.Extra.AimUsPer1000, float64(c.ObjectivePer1000Tokens))
		out.Extra.TokenAimUs = append(out.Extra.TokenAimUs, float64(c.TokenObjective))
		out.RequestClasses = append(out.RequestClasses, requestClass{
			Name:         c.Name,
			TargetUs:     c.LatencyObjective,
			DeadlineUs:   c.Deadline,
			Points:       c.PriorityWeight,
			LateShare:    c.LateWeightShare,
			Effect:       enumName(idempotencyNames, c.Idempotency),
			Group:        enumName(dedupScopeNames, c.DedupScope),
			MemorySpanUs: c.DedupWindow,
			Streamed:     c.Streaming,
		})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, tenant{t.Name, t.QuotaPerS})
	}
	return json.Marshal(out)
}

// enumName returns the alphabetically first non-empty name of a value; "" if it has none.
func enumName[T comparable](known map[string]T, v T) string {
	for _, name := range slices.Sorted(maps.Keys(known)) {
		if known[name] == v && name != "" {
			return name
		}
	}
	return ""
}
