package configversion

import (
	"fmt"
	"slices"
	"strings"

	"archknot/balancer"
	"archknot/internal/contract"
)

// Limits are the bounds on the values of a version. They come from the platform's configuration.
type Limits struct {
	MaxAttempts     int // attempts per request, in any class; fixed by the protocol
	MaxConnections  int // connections to clients and replicas together
	MaxPollInterval balancer.Micros
	DrainGrace      balancer.Micros // how long new attempts may still be sent after a drain was received
	MayCapture      bool            // the gateway has a directory for captures
	MaxClasses      int
	MaxTenants      int
	MaxReplicaMarks int
	MaxDuration     balancer.Micros // of any duration in a version
	MaxInFlight     int             // requests in flight
	MaxContracts    int
}

// DefaultLimits are the limits that apply unless the platform's configuration sets others.
var DefaultLimits = Limits{MaxAttempts: 3, MaxConnections: 1024, MaxPollInterval: 10_000_000, DrainGrace: 2_500_000, MaxClasses: 64,
	MaxTenants: 10_000, MaxReplicaMarks: 10_000, MaxDuration: 3_600_000_000, MaxInFlight: 20_000,
	MaxContracts: 10_000}

// Bounds on individual values.
const (
	minTimeout            balancer.Micros = 1000
	minCheckpointInterval balancer.Micros = 1_000_000
	minCaptureBytes                       = 256 << 10
	maxPriorityWeight                     = 1e6
	maxQuotaPerS                          = 1e9
	fractionSumTolerance                  = 1e-9 // allowed rounding error of fractions that sum to 1
)

// Rejection is one reason why a version is not applied.
type Rejection struct {
	Type     ResourceType `json:"type"`
	Resource string       `json:"resource"` // name of the resource; "" for the whole type
	Field    string       `json:"field"`
	Reason   string       `json:"reason"`
}

// String formats the rejection as "type resource: field: reason", without the parts that are empty.
func (r Rejection) String() string {
	text := string(r.Type)
	if r.Resource != "" {
		text += " " + r.Resource
	}
	if r.Field != "" {
		text += ": " + r.Field
	}
	return text + ": " + r.Reason
}

// Rejections lists all reasons why a version is not applied. If it is empty, the version is accepted.
type Rejections []Rejection

// String joins the reasons by semicolons, for the log and for the control service.
func (r Rejections) String() string {
	lines := make([]string, len(r))
	for i, rejection := range r {
		lines[i] = rejection.String()
	}
	return strings.Join(lines, "; ")
}

func (r *Rejections) addf(t ResourceType, resource, field, format string, args ...any) {
	*r = append(*r, Rejection{t, resource, field, fmt.Sprintf(format, args...)})
}

// Validate checks a version by itself, without the gateway's state, and returns all violations.
func Validate(c *Config, l Limits) Rejections {
	v := validator{config: c, limits: l}
	v.validateRollout()
	v.validateClasses()
	v.validateTenants()
	v.validateReplicaMarks()
	v.validateContracts()
	v.validateAttempts()
	v.validateAdmission()
	v.validateConnections()
	v.validateWatch()
	v.validateCapture()
	v.validateLog()
	return v.rejections
}

// validator validates one version and collects the rejections.
type validator struct {
	config     *Config
	limits     Limits
	rejections Rejections
}

func (v *validator) rejectf(t ResourceType, resource, field, format string, args ...any) {
	v.rejections.addf(t, resource, field, format, args...)
}

// validateDuration rejects a duration below the minimum or above MaxDuration.
func (v *validator) validateDuration(t ResourceType, resource, field string, duration, minimum balancer.Micros) {
	if duration < minimum || duration > v.limits.MaxDuration {
		v.rejectf(t, resource, field, "expected %d to %d us, got %d", minimum, v.limits.MaxDuration, duration)
	}
}

// inRange reports whether a value is between 0 and the limit. It is false for NaN.
func inRange(value, limit float64) bool { return value >= 0 && value <= limit }

func (v *validator) validateRollout() {
	if v.config.Number == 0 {
		v.rejectf(TypeVersion, "", "number", "expected above 0")
	}
	rollout := &v.config.Rollout
	if rollout.FirstPercent < 0 || rollout.FirstPercent > 100 {
		v.rejectf(TypeVersion, "", "first_percent", "expected 0 to 100, got %d", rollout.FirstPercent)
	}
	if !inRange(rollout.MaxRegression, 1) {
		v.rejectf(TypeVersion, "", "worse_by", "expected 0 to 1, got %v", rollout.MaxRegression)
	}
	v.validateDuration(TypeVersion, "", "hold_us", rollout.Hold, 0)
}

func (v *validator) validateClasses() {
	if !v.config.HasClasses {
		return
	}
	classes := v.config.Classes
	if len(classes) == 0 || len(classes) > v.limits.MaxClasses {
		v.rejectf(TypeClass, "", "", "expected 1 to %d classes, got %d", v.limits.MaxClasses, len(classes))
	}
	seen := map[string]bool{}
	for i := range classes {
		class := &classes[i]
		if class.Name == "" || seen[class.Name] {
			v.rejectf(TypeClass, class.Name, "name", "missing, or given twice")
		}
		seen[class.Name] = true
		v.validateClass(class)
	}
}

func (v *validator) validateClass(class *balancer.Class) {
	v.validateDuration(TypeClass, class.Name, "deadline_us", class.Deadline, minTimeout)
	v.validateDuration(TypeClass, class.Name, "aim_us", class.LatencyObjective, 0)
	v.validateDuration(TypeClass, class.Name, "aim_per_1000_us", class.ObjectivePer1000Tokens, 0)
	v.validateDuration(TypeClass, class.Name, "token_aim_us", class.TokenObjective, 0)
	v.validateDuration(TypeClass, class.Name, "repeats_kept_us", class.DedupWindow, 0)
	if class.LatencyObjective > class.Deadline {
		v.rejectf(TypeClass, class.Name, "aim_us", "longer than the deadline, %d us", class.Deadline)
	}
	if !inRange(class.PriorityWeight, maxPriorityWeight) {
		v.rejectf(TypeClass, class.Name, "worth", "expected 0 to 1000000, got %v", class.PriorityWeight)
	}
	if !inRange(class.LateWeightShare, 1) {
		v.rejectf(TypeClass, class.Name, "late_worth", "expected 0 to 1, got %v", class.LateWeightShare)
	}
	if class.Idempotency > balancer.NonIdempotent || class.DedupScope > balancer.DedupCell {
		v.rejectf(TypeClass, class.Name, "effect, scope", "not known")
	}
}

func (v *validator) validateTenants() {
	if !v.config.HasTenants {
		return
	}
	tenants := v.config.Tenants
	if len(tenants) > v.limits.MaxTenants {
		v.rejectf(TypeTenant, "", "", "expected at most %d, got %d", v.limits.MaxTenants, len(tenants))
	}
	sum, seen := 0.0, map[string]bool{}
	for _, tenant := range tenants {
		if tenant.Name == "" || seen[tenant.Name] {
			v.rejectf(TypeTenant, tenant.Name, "name", "missing, or given twice")
		}
		seen[tenant.Name] = true
		if !inRange(tenant.QuotaPerS, maxQuotaPerS) {
			v.rejectf(TypeTenant, tenant.Name, "quota_per_s", "expected 0 or more, got %v", tenant.QuotaPerS)
		}
		if !inRange(tenant.FleetFraction, 1) {
			v.rejectf(TypeTenant, tenant.Name, "share", "expected 0 to 1, got %v", tenant.FleetFraction)
		}
		sum += tenant.FleetFraction
	}
	if sum > 1+fractionSumTolerance {
		v.rejectf(TypeTenant, "", "share", "the shares sum to %.4f, over 1", sum)
	}
}

func (v *validator) validateReplicaMarks() {
	if !v.config.HasReplicaMarks {
		return
	}
	marks := v.config.ReplicaMarks
	if len(marks) > v.limits.MaxReplicaMarks {
		v.rejectf(TypeReplica, "", "", "expected at most %d, got %d", v.limits.MaxReplicaMarks, len(marks))
	}
	seen := map[string]bool{}
	for _, mark := range marks {
		if mark.Name == "" || seen[mark.Name] {
			v.rejectf(TypeReplica, mark.Name, "name", "missing, or given twice")
		}
		seen[mark.Name] = true
		if mark.Kind > MarkServe {
			v.rejectf(TypeReplica, mark.Name, "mark", "not known")
		}
	}
}

func (v *validator) validateContracts() {
	if !v.config.HasContracts {
		return
	}
	if n := len(v.config.Contracts); n > v.limits.MaxContracts {
		v.rejectf(TypeContract, "", "", "expected at most %d, got %d", v.limits.MaxContracts, n)
	}
	if err := contract.ValidateTerms(v.config.Contracts); err != nil {
		v.rejectf(TypeContract, "", "", "%v", err)
	}
}

func (v *validator) validateAttempts() {
	attempts := v.config.Attempts
	if attempts == nil {
		return
	}
	if attempts.Max < 1 || attempts.Max > v.limits.MaxAttempts {
		v.rejectf(TypeAttempts, "", "most", "expected 1 to %d, got %d", v.limits.MaxAttempts, attempts.Max)
	}
	if !inRange(attempts.HedgeRatio, 1) || !inRange(attempts.RetryRatio, 1) {
		v.rejectf(TypeAttempts, "", "hedge_share, retry_share", "expected 0 to 1, got %v and %v", attempts.HedgeRatio, attempts.RetryRatio)
	}
}

func (v *validator) validateAdmission() {
	admission := v.config.Admission
	if admission == nil {
		return
	}
	if admission.MaxInFlight < 1 || admission.MaxInFlight > v.limits.MaxInFlight {
		v.rejectf(TypeAdmission, "", "most_held", "expected 1 to %d, got %d", v.limits.MaxInFlight, admission.MaxInFlight)
	}
	if !inRange(admission.OverQuotaWeight, 1) {
		v.rejectf(TypeAdmission, "", "over_share_worth", "expected 0 to 1, got %v", admission.OverQuotaWeight)
	}
	v.validateDuration(TypeAdmission, "", "max_retry_after_us", admission.MaxRetryAfter, 0)
}

func (v *validator) validateConnections() {
	connections := v.config.Connections
	if connections == nil {
		return
	}
	if connections.Clients < 1 || connections.Replicas < 1 || connections.Clients+connections.Replicas > v.limits.MaxConnections {
		v.rejectf(TypeConnections, "", "clients, workers", "expected 1 or more each and %d in all, got %d and %d", v.limits.MaxConnections, connections.Clients, connections.Replicas)
	}
	v.validateDuration(TypeConnections, "", "idle_us", connections.IdleTimeout, minTimeout)
	v.validateDuration(TypeConnections, "", "connect_timeout_us", connections.ConnectTimeout, minTimeout)
}

func (v *validator) validateWatch() {
	watch := v.config.Watch
	if watch == nil {
		return
	}
	v.validateDuration(TypeWatch, "", "wait_us", watch.Wait, minTimeout)
	v.validateDuration(TypeWatch, "", "call_timeout_us", watch.CallTimeout, minTimeout)
}

func (v *validator) validateCapture() {
	capture := v.config.Capture
	if capture == nil {
		return
	}
	if capture.Record && !v.limits.MayCapture {
		v.rejectf(TypeCapture, "", "record", "there is no folder for captures on this gateway (capture.directory)")
	}
	v.validateDuration(TypeCapture, "", "checkpoint_us", capture.CheckpointInterval, minCheckpointInterval)
	if capture.MaxBytes < minCaptureBytes {
		v.rejectf(TypeCapture, "", "keep_bytes", "expected %d or more, got %d", minCaptureBytes, capture.MaxBytes)
	}
}

// logLevels are the valid levels of a Log resource.
var logLevels = []string{"debug", "info", "warn", "error"}

func (v *validator) validateLog() {
	if log := v.config.Log; log != nil && !slices.Contains(logLevels, log.Level) {
		v.rejectf(TypeLog, "", "level", "expected debug, info, warn or error, got %q", log.Level)
	}
}
