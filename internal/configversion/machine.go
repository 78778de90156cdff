package configversion

import (
	"fmt"
	"math/rand/v2"

	"archknot/balancer"
)

// maxRejected is how many rejected versions are remembered; the oldest one is forgotten first.
const maxRejected = 64

// maxReasonLength is the maximum length of a rejection's text on the stream, in bytes.
const maxReasonLength = 4096

// backoffSeed is the second word of the seed of the backoff's random number generator.
const backoffSeed = 0x5eed

// Machine is the state machine of the configuration versions of one gateway. It is not safe for concurrent use.
// The caller passes the current time to its methods, and calls Tick at the time that NextTick returns.
type Machine struct {
	options Options
	host    Host
	rng     *rand.Rand
	now     balancer.Micros

	// State of the stream.
	connected       bool
	connecting      bool
	openedAt        balancer.Micros            // when the stream was opened
	backoff         balancer.Micros            // current upper bound of the reconnection delay
	latest          map[ResourceType]*Response // on the present stream
	undecodable     map[ResourceType]bool      // types whose latest response could not be decoded
	ackedVersions   map[ResourceType]string    // the control service's version names of the acknowledged resources
	incompleteSince balancer.Micros            // start of the stall timeout of an incomplete version; 0: not running

	// State of the versions.
	inForce       *Config                 // nil: the configuration files
	inForceNonces map[ResourceType]string // nonces of the resources of inForce, on the present stream
	previous      *Config                 // in force before inForce; nil: the configuration files
	appliedAt     balancer.Micros         // when a version was last applied; 0: never
	waiting       *candidate              // complete and valid, not due yet
	applying      *candidate              // passed to Host.Apply, without a result yet
	rejected      []Number                // versions not to be applied again, the oldest first
	rejectedSet   map[Number]bool         // the contents of rejected as a set

	// Saved state, from which a restart continues.
	lastGood    *Config         // nil: the configuration files
	saveRetryAt balancer.Micros // when a failed save is retried; 0: no retry is due

	// Verification and rollback of the version in force.
	verifying          bool // the version in force is within its hold
	holdUntil          balancer.Micros
	baseline, observed outcomeTally    // requests that ended before the hold, and within it
	rollingBack        bool            // applying holds the previous version
	rollbackRetryAt    balancer.Micros // when a failed rollback is retried; 0: no retry is due
	rollbackReason     string
}

// candidate is a complete version received on the stream, or the target of a rollback.
type candidate struct {
	config   *Config
	nonces   map[ResourceType]string // nonces of its responses, for the ACK or NACK; nil if the stream has closed
	versions map[ResourceType]string // the control service's version names of its resources
	applyAt  balancer.Micros         // earliest time at which it may be applied
	reason   string                  // reason of a rollback
}

// New returns a machine that continues from the saved state: the version in force, nil if
// none was saved, and the versions that must not be applied again.
func New(o Options, host Host, inForce *Config, rejected []Number) *Machine {
	m := &Machine{
		options: o, host: host, rng: rand.New(rand.NewPCG(o.Seed, backoffSeed)),
		latest: map[ResourceType]*Response{}, undecodable: map[ResourceType]bool{}, ackedVersions: map[ResourceType]string{},
		inForce: inForce, lastGood: inForce, rejectedSet: map[Number]bool{},
	}
	for _, n := range rejected {
		m.markRejected(n)
	}
	return m
}

// Start opens the first stream.
func (m *Machine) Start(now balancer.Micros) {
	m.now = now
	m.reconnect()
}

// InForce returns the version in force; nil means the configuration files.
func (m *Machine) InForce() *Config { return m.inForce }

// Rejected returns the versions that must not be applied again, the oldest first.
func (m *Machine) Rejected() []Number { return m.rejected }

func (m *Machine) currentNumber() Number { return numberOf(m.inForce) }

func numberOf(c *Config) Number {
	if c == nil {
		return 0
	}
	return c.Number
}

// applyingNumber returns the number of the version that is being applied, or 0 if there is
// none. The target of a rollback does not count.
func (m *Machine) applyingNumber() Number {
	if m.applying == nil || m.rollingBack {
		return 0
	}
	return m.applying.config.Number
}

// waitingNumber returns the number of the waiting version, or 0 if there is none.
func (m *Machine) waitingNumber() Number {
	if m.waiting == nil {
		return 0
	}
	return m.waiting.config.Number
}

func (m *Machine) markRejected(n Number) {
	if n == 0 || m.rejectedSet[n] {
		return
	}
	if len(m.rejected) >= maxRejected {
		delete(m.rejectedSet, m.rejected[0])
		m.rejected = m.rejected[1:]
	}
	m.rejected, m.rejectedSet[n] = append(m.rejected, n), true
}

func (m *Machine) recordEvent(n Number, kind, reason string) {
	m.host.RecordEvent(Event{m.now, n, kind, reason})
}

// reconnect opens the stream after a randomized exponential backoff. The jitter keeps
// hundreds of gateways from reconnecting at the same time.
func (m *Machine) reconnect() {
	m.connecting = true
	m.backoff = min(m.options.MaxBackoff, max(m.options.InitialBackoff, 2*m.backoff))
	m.host.Connect(balancer.Micros(m.rng.Float64() * float64(m.backoff)))
}

// Connected must be called when the stream has opened. The machine subscribes to each type,
// with the version name that it acknowledged last.
func (m *Machine) Connected(now balancer.Micros) {
	m.now, m.connected, m.connecting, m.openedAt = now, true, false, now
	m.resetResponses()
	for _, t := range ResourceTypes {
		m.host.SendRequest(t, m.ackedVersions[t], "", "")
	}
}

// Closed must be called when the stream could not be opened, or has ended. An incomplete
// version is discarded; a complete one is still applied.
func (m *Machine) Closed(now balancer.Micros, reason string) {
	if !m.connected && !m.connecting {
		return
	}
	m.now = now
	m.recordEvent(m.currentNumber(), EventStreamLost, reason)
	m.dropStream()
}

func (m *Machine) dropStream() {
	if m.connected && m.now-m.openedAt >= m.options.BackoffResetAfter {
		m.backoff = 0
	}
	m.connected = false
	m.resetResponses()
	// Complete versions are retained, but their nonces are invalid on a new stream.
	m.inForceNonces = nil
	for _, pending := range []*candidate{m.waiting, m.applying} {
		if pending != nil {
			pending.nonces = nil
		}
	}
	m.reconnect()
}

func (m *Machine) resetResponses() {
	clear(m.latest)
	clear(m.undecodable)
	m.incompleteSince = 0
}

// Received handles a response from the stream.
func (m *Machine) Received(now balancer.Micros, r Response) {
	if !m.connected {
		return
	}
	m.now = now
	if r.DecodeError != "" {
		// Only this response is rejected. The version that it belongs to stays incomplete.
		m.host.SendRequest(r.Type, m.ackedVersions[r.Type], r.Nonce, r.DecodeError)
		m.recordEvent(m.latestNumber(), EventRejected, string(r.Type)+": "+r.DecodeError)
		delete(m.latest, r.Type)
		m.undecodable[r.Type], m.incompleteSince = true, 0
		return
	}
	delete(m.undecodable, r.Type)
	m.latest[r.Type] = &r
	m.assemble()
}

// latestNumber returns the number in the latest manifest on the stream, or 0 if there is none.
func (m *Machine) latestNumber() Number {
	if r := m.latest[TypeVersion]; r != nil {
		return r.Fragment.Manifest.Number
	}
	return 0
}

// markIncomplete starts the stall timeout of an incomplete version. It does not start it while a type is
// undecodable: the control service has received a NACK, so the stream has not stalled.
func (m *Machine) markIncomplete() {
	if m.incompleteSince == 0 && len(m.undecodable) == 0 {
		m.incompleteSince = m.now
	}
}

// assemble builds a version from the latest resources, if they are complete, and evaluates it.
func (m *Machine) assemble() {
	if !m.isComplete() {
		m.markIncomplete()
		return
	}
	m.incompleteSince = 0
	manifest := m.latest[TypeVersion].Fragment.Manifest
	c := &candidate{config: &Config{Number: manifest.Number, Rollout: manifest.Rollout}, nonces: map[ResourceType]string{}, versions: map[ResourceType]string{}}
	for _, t := range ResourceTypes {
		r := m.latest[t]
		if r == nil {
			continue
		}
		if _, belongs := manifest.Types[t]; !belongs && t != TypeVersion {
			continue
		}
		c.nonces[t], c.versions[t] = r.Nonce, r.Version
		if r.Fragment.MergeInto != nil {
			r.Fragment.MergeInto(c.config)
		}
	}
	m.evaluate(c)
}

// isComplete reports whether the manifest and all resources that it lists have been received.
func (m *Machine) isComplete() bool {
	version := m.latest[TypeVersion]
	if version == nil {
		return false
	}
	for t, name := range version.Fragment.Manifest.Types {
		if t == TypeVersion {
			continue
		}
		if r := m.latest[t]; r == nil || r.Version != name {
			return false
		}
	}
	return true
}

// evaluate decides by its number whether a complete version is rejected, already known or new.
func (m *Machine) evaluate(c *candidate) {
	n := c.config.Number
	switch {
	case n == m.currentNumber() && n != 0 && (m.rollingBack || m.rollbackRetryAt > 0):
		m.rejectNumber(c, fmt.Sprintf("version %d is being given back", n))
	case n == m.currentNumber() && m.applying == nil || m.applying != nil && !m.rollingBack && n == m.applying.config.Number:
		m.evaluateResent(c)
	case m.rejectedSet[n]:
		m.rejectNumber(c, fmt.Sprintf("version %d was given back or refused before", n))
	case m.waiting != nil && n == m.waiting.config.Number:
		m.waiting.nonces, m.waiting.versions = c.nonces, c.versions
	case n < max(m.currentNumber(), m.waitingNumber(), m.applyingNumber()):
		m.rejectNumber(c, fmt.Sprintf("version %d is older than %d", n, max(m.currentNumber(), m.waitingNumber(), m.applyingNumber())))
	default:
		m.evaluateNew(c)
	}
}

// evaluateResent handles a version that is in force or being applied, and was received
// again because an acknowledgement was lost or the control service has restarted.
func (m *Machine) evaluateResent(c *candidate) {
	if m.applying != nil {
		m.applying.nonces, m.applying.versions = c.nonces, c.versions
		return
	}
	m.inForceNonces = c.nonces
	m.acknowledge(c)
}

// evaluateNew validates a version, and schedules its application.
func (m *Machine) evaluateNew(c *candidate) {
	n := c.config.Number
	if r := Validate(c.config, m.options.Limits); len(r) > 0 {
		m.markRejected(n)
		m.reject(c, r)
		return
	}
	if m.waiting != nil {
		m.recordEvent(m.waiting.config.Number, EventSuperseded, fmt.Sprintf("version %d came", n))
	}
	c.applyAt = m.now
	if r := c.config.Rollout; r.Hold > 0 && !InFirstGroup(m.options.Gateway, n, r.FirstPercent) {
		c.applyAt += r.Hold + m.options.WithdrawGrace
		m.recordEvent(n, EventWaiting, fmt.Sprintf("%d%% of the gateways go first", r.FirstPercent))
	}
	m.waiting = c
	m.Tick(m.now)
}

// acknowledge acknowledges each resource of a version.
func (m *Machine) acknowledge(c *candidate) {
	for _, t := range ResourceTypes {
		name, ok := c.versions[t]
		if !ok {
			continue
		}
		m.ackedVersions[t] = name
		m.respond(c, t, name, "")
	}
}

// respond sends the ACK or NACK for the response of one type of a candidate. It sends it once, and only while
// that response is the latest: the control service expects no answer to an earlier one.
func (m *Machine) respond(c *candidate, t ResourceType, version, reason string) {
	r := m.latest[t]
	if !m.connected || c.nonces == nil || r == nil || r.Nonce != c.nonces[t] || r.answered {
		return
	}
	r.answered = true
	m.host.SendRequest(t, version, r.Nonce, reason)
}

// reject rejects all resources of a version, since a version is applied as a whole or not at all.
func (m *Machine) reject(c *candidate, reasons Rejections) {
	m.recordEvent(c.config.Number, EventRejected, reasons.String())
	text := fmt.Sprintf("version %d: %s", c.config.Number, reasons)
	if len(text) > maxReasonLength {
		text = text[:maxReasonLength]
	}
	for _, t := range ResourceTypes {
		if _, ok := c.nonces[t]; ok {
			m.respond(c, t, m.ackedVersions[t], text)
		}
	}
}

// rejectNumber rejects a version because of its number.
func (m *Machine) rejectNumber(c *candidate, reason string) {
	m.reject(c, Rejections{{TypeVersion, "", "number", reason}})
}

// Tick performs the actions that are due at the given time.
func (m *Machine) Tick(now balancer.Micros) {
	m.now = now
	if m.verifying && now >= m.holdUntil && m.applying == nil {
		m.endHold()
	}
	if m.rollbackRetryAt > 0 && now >= m.rollbackRetryAt && m.applying == nil {
		m.startRollback(m.rollbackReason)
	}
	if c := m.waiting; c != nil && m.applying == nil && now >= m.applicableAt(c) {
		m.waiting, m.applying, m.rollingBack = nil, c, false
		m.host.Apply(c.config)
	}
	if m.saveRetryAt > 0 && now >= m.saveRetryAt {
		m.save()
	}
	if m.connected && m.incompleteSince > 0 && now-m.incompleteSince >= m.options.StallTimeout {
		m.recordEvent(m.latestNumber(), EventStreamLost, "stream stalled: version incomplete for longer than the stall timeout")
		m.host.Close("stalled")
		m.dropStream()
	}
}

// applicableAt returns the earliest time at which a waiting version may be applied.
func (m *Machine) applicableAt(c *candidate) balancer.Micros {
	at := c.applyAt
	if m.appliedAt > 0 {
		at = max(at, m.appliedAt+m.options.MinInterval)
	}
	return at
}

// NextTick returns the time at which Tick must be called, or 0 if nothing is scheduled.
func (m *Machine) NextTick() balancer.Micros {
	next := balancer.Micros(0)
	addDueTime := func(at balancer.Micros) {
		if next == 0 || at < next {
			next = max(1, at)
		}
	}
	if m.verifying && m.applying == nil {
		addDueTime(m.holdUntil)
	}
	if m.rollbackRetryAt > 0 && m.applying == nil {
		addDueTime(m.rollbackRetryAt)
	}
	if m.waiting != nil && m.applying == nil {
		addDueTime(m.applicableAt(m.waiting))
	}
	if m.saveRetryAt > 0 {
		addDueTime(m.saveRetryAt)
	}
	if m.connected && m.incompleteSince > 0 {
		addDueTime(m.incompleteSince + m.options.StallTimeout)
	}
	return next
}

// Applied reports the result of Host.Apply: with no rejections the version was applied,
// otherwise the gateway is unchanged.
func (m *Machine) Applied(now balancer.Micros, rejections Rejections) {
	c := m.applying
	if c == nil {
		return
	}
	m.now, m.applying = now, nil
	switch {
	case m.rollingBack:
		m.rollingBack = false
		m.finishRollback(c, rejections)
	case len(rejections) > 0:
		// The version is not remembered as rejected: it may be valid once the gateway's state has changed.
		m.reject(c, rejections)
	default:
		m.putInForce(c)
	}
	m.Tick(now)
}

// putInForce makes a version that has been applied the version in force.
func (m *Machine) putInForce(c *candidate) {
	m.verifying, m.rollbackRetryAt = false, 0 // a newer version cancels the verification or rollback of the one before it
	if !m.rejectedSet[m.currentNumber()] {    // never roll back to a version that is itself rejected
		m.previous = m.inForce
	}
	m.inForce, m.appliedAt = c.config, m.now
	m.recordEvent(c.config.Number, EventApplied, "")
	m.inForceNonces = c.nonces
	m.observed = outcomeTally{}
	if r := c.config.Rollout; r.Hold > 0 && r.MaxRegression > 0 {
		m.verifying, m.holdUntil = true, m.now+r.Hold
	} else {
		m.markGood()
	}
	m.acknowledge(c)
}

// markGood makes the version in force the last good version, and saves it.
func (m *Machine) markGood() {
	m.verifying = false
	m.lastGood = m.inForce
	m.save()
}

// save persists the last good version and the rejected versions. Tick retries it after a failure.
func (m *Machine) save() {
	m.saveRetryAt = 0
	if err := m.host.Persist(m.lastGood, m.rejected); err != nil {
		m.scheduleSave()
	}
}

func (m *Machine) scheduleSave() { m.saveRetryAt = m.now + max(1, m.options.SaveRetryInterval) }
