package simwire

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"archknot/balancer"
)

// setup is the settings object of BORN. Keys it does not name are skipped here; package lifecycle tells them.
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
	} `json:"rules"`
	Penalties struct {
		CrossZone float64 `json:"crossZone"`
		Probe     float64 `json:"probe"`
		Handshake float64 `json:"handshake"`
	} `json:"penalties"`
}

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

type tenant struct {
	Name          string  `json:"name"`
	AllowancePerS float64 `json:"allowancePerS"`
}

// lookUpWord maps a word to its value, or tells what was expected.
func lookUpWord[T any](field, word string, known map[string]T) (T, error) {
	v, ok := known[word]
	if !ok {
		return v, fmt.Errorf("settings: %s: unknown word %q", field, word)
	}
	return v, nil
}

var (
	idempotencyWords = map[string]balancer.Idempotency{
		"repeatable": balancer.Idempotent, "by_key": balancer.IdempotentWithKey, "once": balancer.NonIdempotent}
	dedupScopeWords = map[string]balancer.DedupScope{
		"": balancer.DedupAll, "all": balancer.DedupAll, "zone": balancer.DedupZone, "cell": balancer.DedupCell}
	reportSourceWords = map[string]balancer.ReportSource{
		"": balancer.ReportNone, "off": balancer.ReportNone,
		"inline": balancer.ReportInline, "on_probe": balancer.ReportOnHealthCheck}
	weightKindWords = map[string]balancer.WeightKind{
		"": balancer.WeightNone, "off": balancer.WeightNone, "nominal": balancer.WeightNominal,
		"rough": balancer.WeightNominal, "live": balancer.WeightLive}
	pollDiscoveryWords = map[string]bool{"": false, "pushed": false, "on_request": true}
)

// SettingsType is the form of the settings object, for whoever checks its keys.
func SettingsType() reflect.Type { return reflect.TypeFor[setup]() }

// ParseSettings reads the settings object of BORN.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var in setup
	var s balancer.Settings
	if err := json.Unmarshal(text, &in); err != nil {
		return s, fmt.Errorf("settings: not the expected JSON object: %v", err)
	}
	s = balancer.Settings{
		Self: in.SelfIndex, Gateways: in.NInstances, Zone: in.Zone, Zones: in.Zones, Kinds: in.Kinds,
		OverQuotaWeight: in.OverShareWorth, Tick: in.TickUs,
		MayHealthCheck: in.Limits.MayProbe, MayGossip: in.Limits.Peers, MayCancel: in.Limits.Cancelling,
		MayHedge: in.Limits.SecondCopies, RetryAfter: in.Limits.RetryAfter,
		MaxAttempts: in.Limits.MaxAttempts, MaxRetryAfter: in.Limits.MaxRetryAfterUs,
		InitialCapacity: in.Rules.StartCapacity, OverloadMultiple: in.Rules.FallMultiple,
		SlowStartFor: in.Rules.ColdUs, OverloadWindow: in.Rules.TipAfterUs,
		CrossZoneCost: in.Penalties.CrossZone, HealthCheckCost: in.Penalties.Probe,
		HandshakeCost:  in.Penalties.Handshake,
		StreamsPerConn: in.Limits.Multiplex, ConnIdleTimeout: in.Limits.ConnIdleUs,
	}
	var err error
	if s.ReportSource, err = lookUpWord("feedback.via", in.Feedback.Via, reportSourceWords); err != nil {
		return s, err
	}
	if s.WeightKind, err = lookUpWord("weights", in.Weights, weightKindWords); err != nil {
		return s, err
	}
	if s.PollDiscovery, err = lookUpWord("discovery", in.Discovery, pollDiscoveryWords); err != nil {
		return s, err
	}
	s.LocalDiscovery = in.Discovery == "pushed"
	for i, c := range in.RequestClasses {
		out := balancer.Class{Name: c.Name, LatencyObjective: c.TargetUs, Deadline: c.DeadlineUs, PriorityWeight: c.Points,
			LateWeightShare: c.LateShare, DedupWindow: c.MemorySpanUs, Streaming: c.Streamed}
		if out.Idempotency, err = lookUpWord("requestClasses.effect", c.Effect, idempotencyWords); err != nil {
			return s, err
		}
		if out.DedupScope, err = lookUpWord("requestClasses.group", c.Group, dedupScopeWords); err != nil {
			return s, err
		}
		if i < len(in.Extra.AimUsPer1000) {
			out.ObjectivePer1000Tokens = int64(in.Extra.AimUsPer1000[i])
		}
		if i < len(in.Extra.TokenAimUs) {
			out.TokenObjective = int64(in.Extra.TokenAimUs[i])
		}
		s.Classes = append(s.Classes, out)
	}
	for _, t := range in.Tenants {
		s.Tenants = append(s.Tenants, balancer.Tenant{Name: t.Name, QuotaPerS: t.AllowancePerS})
	}
	return s, nil
}

// MarshalSettings is the settings object that ParseSettings reads as these settings: for
// those who start gateways.
func MarshalSettings(s balancer.Settings) ([]byte, error) {
	var out setup
	out.SelfIndex, out.NInstances, out.Zone, out.Zones, out.Kinds = s.Self, s.Gateways, s.Zone, s.Zones, s.Kinds
	out.OverShareWorth, out.TickUs = s.OverQuotaWeight, s.Tick
	l := &out.Limits
	l.MayProbe, l.Peers, l.Cancelling, l.SecondCopies, l.RetryAfter = s.MayHealthCheck, s.MayGossip, s.MayCancel, s.MayHedge, s.RetryAfter
	l.MaxAttempts, l.MaxRetryAfterUs, l.Multiplex, l.ConnIdleUs = s.MaxAttempts, s.MaxRetryAfter, s.StreamsPerConn, s.ConnIdleTimeout
	r := &out.Rules
	r.StartCapacity, r.ColdUs, r.FallMultiple, r.TipAfterUs = s.InitialCapacity, s.SlowStartFor, s.OverloadMultiple, s.OverloadWindow
	out.Penalties.CrossZone, out.Penalties.Probe, out.Penalties.Handshake = s.CrossZoneCost, s.HealthCheckCost, s.HandshakeCost
	out.Feedback.Via, out.Weights, out.Discovery = wordFor(reportSourceWords, s.ReportSource), wordFor(weightKindWords, s.WeightKind), wordFor(pollDiscoveryWords, s.PollDiscovery)
	for _, c := range s.Classes {
		out.Extra.AimUsPer1000 = append(out.Extra.AimUsPer1000, float64(c.ObjectivePer1000Tokens))
		out.Extra.TokenAimUs = append(out.Extra.TokenAimUs, float64(c.TokenObjective))
		out.RequestClasses = append(out.RequestClasses, requestClass{c.Name, c.LatencyObjective, c.Deadline, c.PriorityWeight, c.LateWeightShare, wordFor(idempotencyWords, c.Idempotency),
			wordFor(dedupScopeWords, c.DedupScope), c.DedupWindow, c.Streaming})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, tenant{t.Name, t.QuotaPerS})
	}
	return json.Marshal(out)
}

// wordFor is the first of the words, in their order, that stands for a value.
func wordFor[T comparable](known map[string]T, v T) string {
	for _, word := range slices.Sorted(maps.Keys(known)) {
		if known[word] == v && word != "" {
			return word
		}
	}
	return ""
}
