package configversion

import (
	"fmt"
	"math/rand/v2"

	"archknot/balancer"
)

// maxRejected bounds how many versions are remembered as not to be applied again.
const maxRejected = 64

// maxReasonLength bounds a rejection's text on the stream, in bytes.
const maxReasonLength = 4096

// backoffSeed is the second word of the seed of the backoff's random numbers.
const backoffSeed = 0x5eed

// Machine follows the versions of one gateway. It isn't safe for concurrent use: all
// calls come from one goroutine. Each call brings its time; NextTick returns when Tick
// must be called.
type Machine struct {
	options Options
	host    Host
	rng     *rand.Rand
	now     balancer.Micros

	// The stream.
	connected       bool
	connecting      bool
	openedAt        balancer.Micros // when the stream opened
	backoff         balancer.Micros
	latest          map[ResourceType]*Response
	undecodable     map[ResourceType]bool   // types whose last response was rejected as undecodable; another is awaited
	ackedVersions   map[ResourceType]string // the service's names of the version in force, by type
	incompleteSince balancer.Micros         // since when a version has been incomplete; 0: none is

	// The versions.
	inForce       *Config                 // nil: the configuration files
	inForceNonces map[ResourceType]string // of its resources, on the present stream
	previous      *Config                 // in force before that; nil: the configuration files
	appliedAt     balancer.Micros         // when a version was last applied; 0: never
	waiting       *candidate              // complete and valid, not to be applied yet
	applying      *candidate              // ordered from the host, not answered yet
	rejected      []Number                // not to be applied again, the oldest first
	rejectedSet   map[Number]bool         // the same

	// What a restart begins with.
	lastGood    *Config         // nil: the configuration files
	saveRetryAt balancer.Micros // when a failed save is tried again; 0: none has failed

	// The verdict on the version in force, and the way back.
	verifying          bool // within its hold
	holdUntil          balancer.Micros
	baseline, observed outcomeTally    // before the hold, and within it
	rollingBack        bool            // applying is the previous version
	rollbackRetryAt    balancer.Micros // when a rollback is tried again; 0: none is wanted
	rollbackReason     string
}

// candidate is a complete version that came over the stream.
type candidate struct {
	config   *Config
	nonces   map[ResourceType]string // to be answered
	versions map[ResourceType]string // the service's names of its resources
	applyAt  balancer.Micros         // when it may be applied
	reason   string                  // of a rollback
}

// New returns a machine. The version in force, if the store had one, and the versions
// that must not be applied again are as they were before a restart.
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

// Start begins to connect.
func (m *Machine) Start(now balancer.Micros) {
	m.now = now
	m.reconnect()
}

// InForce returns the version in force; nil means the configuration files.
func (m *Machine) InForce() *Config { return m.inForce }

// Rejected returns the versions that are not applied again.
func (m *Machine) Rejected() []Number { return m.rejected }

func (m *Machine) currentNumber() Number { return numberOf(m.inForce) }

func numberOf(c *Config) Number {
	if c == nil {
		return 0
	}
	return c.Number
}

// applyingNumber is the number of the version being applied, 0 if none is. A rollback
// counts as none.
func (m *Machine) applyingNumber() Number {
	if m.applying == nil || m.rollingBack {
		return 0
	}
	return m.applying.config.Number
}

// waitingNumber is the number of the version that waits, 0 if none does.
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

// reconnect opens the stream after a delay drawn from 0 to a bound that doubles, so
// that hundreds of gateways don't come back together.
func (m *Machine) reconnect() {
	m.connecting = true
	m.backoff = min(m.options.MaxBackoff, max(m.options.InitialBackoff, 2*m.backoff))
	m.host.Connect(balancer.Micros(m.rng.Float64() * float64(m.backoff)))
}

// Connected is called when the stream is open. The machine subscribes to each type, from
// the version in force on.
func (m *Machine) Connected(now balancer.Micros) {
	m.now, m.connected, m.connecting, m.openedAt = now, true, false, now
	m.resetResponses()
	for _, t := range ResourceTypes {
		m.host.SendRequest(t, m.ackedVersions[t], "", "")
	}
}

// Closed is called when the stream couldn't be opened, or has ended. What was incomplete
// is lost with it; what is complete is still applied.
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
	// What waits is complete; its nonces belong to a stream that is gone.
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

// Received handles a message of the stream.
func (m *Machine) Received(now balancer.Micros, r Response) {
	if !m.connected {
		return
	}
	m.now = now
	if r.DecodeError != "" {
		// Rejected by itself, at once. The version that it would be part of stays
		// incomplete.
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

// latestNumber is the number in the stream's latest manifest, 0 if there is none.
func (m *Machine) latestNumber() Number {
	if r := m.latest[TypeVersion]; r != nil {
		return r.Fragment.Manifest.Number
	}
	return 0
}

// markIncomplete notes since when a version has been incomplete. A version that lacks
// what couldn't be decoded doesn't count as a stalled stream: the service knows of it.
func (m *Machine) markIncomplete() {
	if m.incompleteSince == 0 && len(m.undecodable) == 0 {
		m.incompleteSince = m.now
	}
}

// assemble considers the version that the latest resources make, if they are complete.
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

// isComplete reports whether there is a manifest, and the resources that it names.
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

// evaluate decides what becomes of a complete version.
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

// evaluateResent takes a version that is in force, or being applied, and was sent again:
// an acknowledgement was lost, or the service started anew.
func (m *Machine) evaluateResent(c *candidate) {
	if m.applying != nil {
		m.applying.nonces, m.applying.versions = c.nonces, c.versions
		return
	}
	m.inForceNonces = c.nonces
	m.acknowledge(c)
}

// evaluateNew validates a version and has it wait for its turn.
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

// respond answers the response that a candidate has of a type, once, and only while it
// is the latest: the service waits for no other answer.
func (m *Machine) respond(c *candidate, t ResourceType, version, reason string) {
	r := m.latest[t]
	if !m.connected || c.nonces == nil || r == nil || r.Nonce != c.nonces[t] || r.answered {
		return
	}
	r.answered = true
	m.host.SendRequest(t, version, r.Nonce, reason)
}

// reject rejects a version: each of its resources, since a version is applied as a whole
// or not at all.
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

// rejectNumber rejects a version for its number.
func (m *Machine) rejectNumber(c *candidate, reason string) {
	m.reject(c, Rejections{{TypeVersion, "", "number", reason}})
}

// Tick does what is due.
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
		m.recordEvent(m.latestNumber(), EventStreamLost, "the stream stalled in the midst of a version")
		m.host.Close("stalled")
		m.dropStream()
	}
}

// applicableAt is when a version that waits may be applied.
func (m *Machine) applicableAt(c *candidate) balancer.Micros {
	at := c.applyAt
	if m.appliedAt > 0 {
		at = max(at, m.appliedAt+m.options.MinInterval)
	}
	return at
}

// NextTick returns when Tick must be called; 0 means that it need not be.
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

// Applied answers Host.Apply: the version was applied, or rejected with nothing changed.
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
		// Not remembered as rejected: the same version may fit when the gateway's state
		// has changed.
		m.reject(c, rejections)
	default:
		m.putInForce(c)
	}
	m.Tick(now)
}

// putInForce makes a version that was applied the one in force.
func (m *Machine) putInForce(c *candidate) {
	m.verifying, m.rollbackRetryAt = false, 0 // a newer version ends what was pending about the one before it
	if !m.rejectedSet[m.currentNumber()] {    // a version whose rollback was pending is no way back
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

// markGood makes the version in force the last good one.
func (m *Machine) markGood() {
	m.verifying = false
	m.lastGood = m.inForce
	m.save()
}

// save saves what a restart begins with. After a failure it is called again by Tick.
func (m *Machine) save() {
	m.saveRetryAt = 0
	if err := m.host.Persist(m.lastGood, m.rejected); err != nil {
		m.scheduleSave()
	}
}

func (m *Machine) scheduleSave() { m.saveRetryAt = m.now + max(1, m.options.SaveRetryInterval) }
