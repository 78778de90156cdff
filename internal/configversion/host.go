package configversion

import "archknot/balancer"

// Response is one message of the stream: all resources of one type, as the control
// service has them now.
type Response struct {
	Type        ResourceType
	Version     string // the service's name for these resources
	Nonce       string
	Fragment    *Fragment // the decoded resources
	DecodeError string    // why the resources can't be decoded; Fragment is nil then

	answered bool
}

// Fragment is the decoded resources of one type, to be merged into a Config.
type Fragment struct {
	Manifest  *Manifest     // for TypeVersion
	MergeInto func(*Config) // for all types but TypeVersion; may be nil
}

// Manifest says which resources make a version.
type Manifest struct {
	Number Number
	// Types are the service's version names of the resources that belong together. A
	// type that isn't there stays as the configuration files give it.
	Types   map[ResourceType]string
	Rollout Rollout
}

// Host carries out what a Machine orders. It must not call the Machine from within.
type Host interface {
	// Connect opens the stream after a delay. The host answers by Machine.Connected or
	// Machine.Closed.
	Connect(after balancer.Micros)
	// Close closes the stream, without an answer.
	Close(reason string)
	// SendRequest sends a request for a type. With no nonce it subscribes, from a version
	// name on. With a response's nonce it is an acknowledgement where reason is empty, and
	// otherwise a rejection (NACK).
	SendRequest(t ResourceType, version, nonce, reason string)
	// Apply makes the gateway apply a version, or return to one; nil is the configuration
	// files. The host answers by Machine.Applied, later than this call.
	Apply(c *Config)
	// Persist saves the last good version, with those that must not be applied again. What
	// could not be saved is saved again later.
	Persist(c *Config, rejected []Number) error
	// PersistRollback saves, before the return to a version is ordered by Apply, that a
	// restart begins with that version, and that the one in force is not applied again.
	PersistRollback(c *Config, rejected []Number) error
	// RecordEvent is for the history and the log.
	RecordEvent(e Event)
}

// Event is one entry of the history.
type Event struct {
	At     balancer.Micros
	Number Number
	Kind   string // one of the Event constants
	Reason string
}

// The kinds of events: what happened to a version. The values stand in stored histories.
const (
	EventApplied    = "taken"     // in force from now on
	EventRejected   = "refused"   // invalid by itself, or as a step
	EventRolledBack = "givenback" // worse than the previous version, which is in force again
	EventVerified   = "proved"    // its hold has passed
	EventSuperseded = "passed"    // a newer version came before it was applied
	EventWaiting    = "waits"     // until the first group of gateways has verified it
	EventStreamLost = "lost"      // the stream broke or stalled
)

// Options of a Machine. Times are microseconds.
type Options struct {
	Gateway string // the gateway's name
	Limits  Limits
	Seed    uint64 // for the backoff's jitter
	// MinInterval is the least time from one version applied to the next.
	MinInterval balancer.Micros
	// StallTimeout is how long a version may stay incomplete before the stream is dropped.
	StallTimeout balancer.Micros
	// InitialBackoff and MaxBackoff bound the delay before the stream is opened again:
	// each delay is drawn from 0 to a bound that doubles.
	InitialBackoff, MaxBackoff balancer.Micros
	// BackoffResetAfter is how long a stream must have lasted for the bound to start anew.
	BackoffResetAfter balancer.Micros
	// WithdrawGrace is how much longer than the hold the other gateways wait: the service
	// must learn that a version was rolled back, and withdraw it.
	WithdrawGrace balancer.Micros
	// SaveRetryInterval is the pause after which a failed save is tried again.
	SaveRetryInterval balancer.Micros
	// MinVerdictRequests is how many requests must have ended within a hold for a verdict.
	MinVerdictRequests int
}

// DefaultOptions are the options of a gateway whose configuration says nothing else.
func DefaultOptions(gateway string, seed uint64) Options {
	return Options{Gateway: gateway, Limits: DefaultLimits, Seed: seed, MinInterval: 1_000_000, StallTimeout: 10_000_000,
		InitialBackoff: 500_000, MaxBackoff: 30_000_000, BackoffResetAfter: 30_000_000, WithdrawGrace: 3_000_000,
		SaveRetryInterval: 5_000_000, MinVerdictRequests: 50}
}
