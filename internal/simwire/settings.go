package simwire

import (
	"encoding/json"
	"fmt"
	"maps"
	"reflect"
	"slices"

	"archknot/balancer"
)

// setup is the settings object of a BORN line, and of NODE_CONFIG. Keys that it does not name are ignored here;
// package lifecycle reports them.
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

// lookUpWord returns the value of a word. The error names the field and the word.
func lookUpWord[T any](field, word string, known map[string]T) (T, error) {
	v, ok := known[word]
	if !ok {
		return v, fmt.Errorf("settings: %s: unknown word %q", field, word)
	}
	return v, nil
}

// The words of the settings and their values. An empty word stands for a key that is missing.
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

// SettingsType returns the Go type of the settings object, for callers that check the keys of one.
func SettingsType() reflect.Type { return reflect.TypeFor[setup]() }

// ParseSettings parses a settings object. The error names the field at fault.
func ParseSettings(text []byte) (balancer.Settings, error) {
	var in setup
	if err := json.Unmarshal(text, &in); err != nil {
		return balancer.Settings{}, fmt.Errorf("settings: not the expected JSON object: %w", err)
	}
	s := in.plainSettings()
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

// plainSettings are the settings that need no conversion.
func (in *setup) plainSettings() balancer.Settings {
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

// class is the i-th request class, whose objectives per token stand in lists of their own.
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
	if class.Idempotency, err = lookUpWord("requestClasses.effect", c.Effect, idempotencyWords); err != nil {
		return class, err
	}
	if class.DedupScope, err = lookUpWord("requestClasses.group", c.Group, dedupScopeWords); err != nil {
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

// MarshalSettings returns the settings object that ParseSettings reads as these settings, for callers that start
// gateways.
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

	out.Feedback.Via = wordFor(reportSourceWords, s.ReportSource)
	out.Weights = wordFor(weightKindWords, s.WeightKind)
	out.Discovery = wordFor(pollDiscoveryWords, s.PollDiscovery)
	for _, c := range s.Classes {
		out.Extra.AimUsPer1000 = append(out.Extra.AimUsPer1000, float64(c.ObjectivePer1000Tokens))
		out.Extra.TokenAimUs = append(out.Extra.TokenAimUs, float64(c.TokenObjective))
		out.RequestClasses = append(out.RequestClasses, requestClass{
			Name:         c.Name,
			TargetUs:     c.LatencyObjective,
			DeadlineUs:   c.Deadline,
			Points:       c.PriorityWeight,
			LateShare:    c.LateWeightShare,
			Effect:       wordFor(idempotencyWords, c.Idempotency),
			Group:        wordFor(dedupScopeWords, c.DedupScope),
			MemorySpanUs: c.DedupWindow,
			Streamed:     c.Streaming,
		})
	}
	for _, t := range s.Tenants {
		out.Tenants = append(out.Tenants, tenant{t.Name, t.QuotaPerS})
	}
	return json.Marshal(out)
}

// wordFor returns the first word, in alphabetical order, that stands for a value.
func wordFor[T comparable](known map[string]T, v T) string {
	for _, word := range slices.Sorted(maps.Keys(known)) {
		if known[word] == v && word != "" {
			return word
		}
	}
	return ""
}
