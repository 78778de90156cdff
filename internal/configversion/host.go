package configversion

import "archknot/balancer"

// Response is one message of the stream: the full current set of resources of one type.
type Response struct {
	Type        ResourceType
	Version     string // the control service's version name for these resources
	Nonce       string
	Fragment    *Fragment // the decoded resources; nil if DecodeError is set
	DecodeError string    // why the resources could not be decoded; "" if they were

	answered bool
}

// Fragment holds the decoded resources of one type, to be merged into a Config.
type Fragment struct {
	Manifest  *Manifest     // for TypeVersion
	MergeInto func(*Config) // adds the resources to a Config; may be nil for TypeVersion
}

// Manifest lists the resources that make up a version.
type Manifest struct {
	Number Number
	// Types are the control service's version names of the resources, by type. For a type
	// that is missing here, the configuration files apply.
	Types   map[ResourceType]string
	Rollout Rollout
}

// Host carries out the orders of a Machine. Its methods must not call the Machine.
type Host interface {
	// Connect opens the stream after a delay. The host reports the result by
	// Machine.Connected or Machine.Closed.
	Connect(after balancer.Micros)
	// Close closes the stream. The host does not call Machine.Closed for it.
	Close(reason string)
	// SendRequest sends a discovery request for a type. With an empty nonce it subscribes to the type, and
	// version is the version name that the gateway already has. With the nonce of a response it acknowledges
	// that response (ACK) if reason is empty, and rejects it (NACK) otherwise.
	SendRequest(t ResourceType, version, nonce, reason string)
	// Apply makes the gateway apply a version, or return to an earlier one; nil stands for the configuration
	// files. The host reports the result by Machine.Applied, after this call has returned.
	Apply(c *Config)
	// Persist saves the last good version and the versions that must not be applied again.
	// After an error, the Machine calls it again later.
	Persist(c *Config, rejected []Number) error
	// PersistRollback saves a rollback to the version c before Apply orders it: after a
	// restart c is in force, and the version that is in force now is not applied again.
	PersistRollback(c *Config, rejected []Number) error
	// RecordEvent writes an event to the history and the log.
	RecordEvent(e Event)
}

// Event is one entry of the history.
type Event struct {
	At     balancer.Micros
	Number Number
	Kind   string // one of the Event constants
	Reason string
}

// The kinds of events in the life of a version. Stored histories contain these values.
const (
	EventApplied    = "taken"     // put in force
	EventRejected   = "refused"   // invalid by itself, or as a transition from the gateway's state
	EventRolledBack = "givenback" // rolled back to the previous version, automatically or by an operator
	EventVerified   = "proved"    // its hold ended without too many late or unserved requests
	EventSuperseded = "passed"    // a newer version arrived before it was applied
	EventWaiting    = "waits"     // waiting until the first group of gateways has verified it
	EventStreamLost = "lost"      // the stream failed or stalled
)

// Options configures a Machine. Times are in microseconds.
type Options struct {
	Gateway string // the gateway's name
	Limits  Limits
	Seed    uint64 // for the backoff's jitter
	// MinInterval is the minimum time between the application of two versions.
	MinInterval balancer.Micros
	// StallTimeout is how long a version may stay incomplete before the stream is closed.
	StallTimeout balancer.Micros
	// InitialBackoff and MaxBackoff define the backoff before the stream is reopened: each
	// delay is drawn between 0 and a bound that doubles from InitialBackoff to MaxBackoff.
	InitialBackoff, MaxBackoff balancer.Micros
	// BackoffResetAfter is how long a stream must stay open for the backoff to be reset.
	BackoffResetAfter balancer.Micros
	// WithdrawGrace is how long gateways outside the first group wait beyond the hold. It
	// gives the control service time to receive a rollback and to withdraw the version.
	WithdrawGrace balancer.Micros
	// SaveRetryInterval is the delay before a failed save is retried.
	SaveRetryInterval balancer.Micros
	// MinVerdictRequests is the number of requests that must have ended before the hold, and
	// within it, for the two to be compared. With fewer, the version is not rolled back.
	MinVerdictRequests int
}

// DefaultOptions returns the options of a gateway whose configuration does not set them.
func DefaultOptions(gateway string, seed uint64) Options {
	return Options{Gateway: gateway, Limits: DefaultLimits, Seed: seed, MinInterval: 1_000_000, StallTimeout: 10_000_000,
		InitialBackoff: 500_000, MaxBackoff: 30_000_000, BackoffResetAfter: 30_000_000, WithdrawGrace: 3_000_000,
		SaveRetryInterval: 5_000_000, MinVerdictRequests: 50}
}
