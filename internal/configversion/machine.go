package configversion

import (
	"fmt"
	"math/rand/v2"

	"archknot/balancer"
)

// Response is one message of the stream: all resources of one type, as the
// service has them now.
type Response struct {
	Type        ResourceType
	Version     string // the service's name for these resources
	Nonce       string
	Fragment    *Fragment // what they say
	DecodeError string    // why they cannot be read; Part is nil then

	answered bool
}

// Fragment is what the resources of one type say, to be joined into a Config.
type Fragment struct {
	Manifest  *Manifest     // of TypeVersion
	MergeInto func(*Config) // of any other type
}

// Manifest says which resources make a version.
type Manifest struct {
	Number  Number
	Types   map[ResourceType]string // the version names that belong together; a type that is not here stays as the files give it
	Rollout Rollout
}

// Host carries out what the machine orders. It must not call back from within.
type Host interface {
	// Connect opens the stream after a while. Connected or Closed answers.
	Connect(after balancer.Micros)
	// Close ends the stream; nothing answers.
	Close(reason string)
	// SendRequest asks for a type from a version name on: an acknowledgement where the
	// nonce is of a response and why is empty, a refusal where it is not.
	SendRequest(t ResourceType, version, nonce, why string)
	// Apply has the gateway take a whole version, or go back to one. Applied
	// answers, in any turn after this one.
	Apply(c *Config)
	// Persist puts the version in force into the store, with those that must not be
	// taken again.
	Persist(c *Config, never []Number)
	// RecordEvent is for the history and the log.
	RecordEvent(e Event)
}

// Event is one line of the history.
type Event struct {
	At     balancer.Micros
	Number Number
	Kind   string // one of the words below
	Reason string
}

// What happened to a version.
const (
	EventApplied    = "taken"     // in force from here on
	EventRejected   = "refused"   // by itself, or as a step
	EventRolledBack = "givenback" // worse than before: the one before it is in force again
	EventVerified   = "proved"    // its hold went by
	EventSuperseded = "passed"    // a newer one came before it was taken
	EventWaiting    = "waits"     // until the first part of the gateways has proved it
	EventStreamLost = "lost"      // the stream broke or stalled
)

// Options of a Machine. Times are microseconds.
type Options struct {
	Gateway string
	Limits  Limits
	Seed    uint64
	// MinInterval is the least time from one version taken to the next.
	MinInterval balancer.Micros
	// StallTimeout is how long a version may stay incomplete before the stream is dropped.
	StallTimeout balancer.Micros
	// InitialBackoff and MaxBackoff bound the wait before the stream is opened again;
	// each wait is drawn from 0 to a bound that doubles.
	InitialBackoff, MaxBackoff balancer.Micros
	// BackoffResetAfter is how long a stream must have lasted for the bound to start anew.
	BackoffResetAfter balancer.Micros
	// WithdrawGrace is how much longer than the hold the others wait: the service must hear
	// that a version was given back, and withdraw it.
	WithdrawGrace balancer.Micros
	// MinVerdictRequests is how many requests must have ended within a hold for a
	// verdict.
	MinVerdictRequests int
}

// DefaultOptions are those of a gateway whose settings say nothing else.
func DefaultOptions(gateway string, seed uint64) Options {
	return Options{Gateway: gateway, Limits: DefaultLimits, Seed: seed, MinInterval: 1_000_000, StallTimeout: 10_000_000,
		InitialBackoff: 500_000, MaxBackoff: 30_000_000, BackoffResetAfter: 30_000_000, WithdrawGrace: 3_000_000, MinVerdictRequests: 50}
}

// maxRejected bounds how many versions are remembered as not to be taken again.
const maxRejected = 64

// Machine follows the versions of one gateway. All its calls come from one task;
// each brings its time, and Next tells when Tick is wanted.
type Machine struct {
	options Options
	host    Host
	rng     *rand.Rand
	now     balancer.Micros

	connected          bool
	connecting         bool
	openedAt           balancer.Micros // when the stream opened
	backoff            balancer.Micros
	latest             map[ResourceType]*Response
	undecodable        map[ResourceType]bool   // types whose last response could not be read: told, and waited for
	ackedVersions      map[ResourceType]string // version names in force, by type
	incompleteSince    balancer.Micros         // since when a version is incomplete; 0: none is
	inForce            *Config                 // in force; nil: the files
	inForceNonces      map[ResourceType]string // of its resources, on the stream that stands
	previous           *Config                 // in force before that
	verifying          bool                    // the one in force is within its hold
	holdUntil          balancer.Micros
	appliedAt          balancer.Micros // when a version was last taken, 0: never
	rollbackAt         balancer.Micros // when the way back is tried again; 0: it is not wanted
	rollbackReason     string
	waiting            *candidate // complete and good, not to be taken yet
	applying           *candidate
	rollingBack        bool // what is being applied is the one before
	rejected           []Number
	rejectedSet        map[Number]bool // of never
	baseline, observed outcomeTally
}

// candidate is a whole version that came over the stream.
type candidate struct {
	config   *Config
	nonces   map[ResourceType]string // to be answered
	versions map[ResourceType]string
	applyAt  balancer.Micros // when it may be taken
	reason   string          // the reason it is given back for
}

// outcomeTally counts requests that ended, and those late or not served.
type outcomeTally struct{ total, bad float64 }

func (t outcomeTally) badShare() float64 {
	if t.total == 0 {
		return 0
	}
	return t.bad / t.total
}

// New returns a machine. The version in force, if the store had one, and those
// that must not be taken again are as they were before a restart.
func New(o Options, host Host, force *Config, never []Number) *Machine {
	m := &Machine{options: o, host: host, rng: rand.New(rand.NewPCG(o.Seed, 0x5eed)), latest: map[ResourceType]*Response{}, undecodable: map[ResourceType]bool{}, ackedVersions: map[ResourceType]string{},
		inForce: force, rejectedSet: map[Number]bool{}}
	for _, n := range never {
		m.markRejected(n)
	}
	return m
}

// Start begins to connect.
func (m *Machine) Start(now balancer.Micros) {
	m.now = now
	m.reconnect()
}

// InForce is the version in force; nil: the files.
func (m *Machine) InForce() *Config { return m.inForce }

// Rejected are the versions that are not taken again.
func (m *Machine) Rejected() []Number { return m.rejected }

func (m *Machine) currentNumber() Number { return numberOf(m.inForce) }

func numberOf(c *Config) Number {
	if c == nil {
		return 0
	}
	return c.Number
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

func (m *Machine) recordEvent(n Number, what, reason string) {
	m.host.RecordEvent(Event{m.now, n, what, reason})
}

// reconnect waits a while drawn from 0 to a bound that doubles, so that hundreds
// of gateways do not come back together.
func (m *Machine) reconnect() {
	m.connecting = true
	m.backoff = min(m.options.MaxBackoff, max(m.options.InitialBackoff, 2*m.backoff))
	m.host.Connect(balancer.Micros(m.rng.Float64() * float64(m.backoff)))
}

// Connected tells that the stream is open: every type is asked for from the
// versions in force on.
func (m *Machine) Connected(now balancer.Micros) {
	m.now, m.connected, m.connecting, m.openedAt = now, true, false, now
	clear(m.latest)
	clear(m.undecodable)
	m.incompleteSince = 0
	for _, t := range ResourceTypes {
		m.host.SendRequest(t, m.ackedVersions[t], "", "")
	}
}

// Closed tells that the stream could not be opened, or has ended. What was
// incomplete is gone with it; what is complete is still taken.
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
	clear(m.latest)
	clear(m.undecodable)
	m.incompleteSince = 0
	// What waits was whole; its nonces are of a stream that is gone.
	m.inForceNonces = nil
	for _, c := range []*candidate{m.waiting, m.applying} {
		if c != nil {
			c.nonces = nil
		}
	}
	m.reconnect()
}

// Received takes a message of the stream.
func (m *Machine) Received(now balancer.Micros, r Response) {
	if !m.connected {
		return
	}
	m.now = now
	if r.DecodeError != "" {
		// Not to be read: refused by itself, at once. The version that it would be
		// part of stays incomplete.
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

// latestNumber is the number of the newest version that the stream speaks of.
func (m *Machine) latestNumber() Number {
	if v := m.latest[TypeVersion]; v != nil {
		return v.Fragment.Manifest.Number
	}
	return 0
}

// markIncomplete notes since when a version is incomplete. One that lacks what could
// not be read is not the stream's fault: the service has been told.
func (m *Machine) markIncomplete() {
	if m.incompleteSince == 0 && len(m.undecodable) == 0 {
		m.incompleteSince = m.now
	}
}

// assemble looks whether the latest resources make a whole version, and has it
// judged by itself.
func (m *Machine) assemble() {
	v := m.latest[TypeVersion]
	if v == nil {
		m.markIncomplete()
		return
	}
	f := v.Fragment.Manifest
	for t, name := range f.Types {
		if t == TypeVersion {
			continue
		}
		if got := m.latest[t]; got == nil || got.Version != name {
			m.markIncomplete()
			return
		}
	}
	m.incompleteSince = 0
	c := &candidate{config: &Config{Number: f.Number, Rollout: f.Rollout}, nonces: map[ResourceType]string{}, versions: map[ResourceType]string{}}
	for _, t := range ResourceTypes {
		got := m.latest[t]
		if got == nil {
			continue
		}
		if _, belongs := f.Types[t]; !belongs && t != TypeVersion {
			continue
		}
		c.nonces[t], c.versions[t] = got.Nonce, got.Version
		if got.Fragment.MergeInto != nil {
			got.Fragment.MergeInto(c.config)
		}
	}
	m.consider(c)
}

// consider decides what becomes of a whole version.
func (m *Machine) consider(c *candidate) {
	n := c.config.Number
	switch {
	case n == m.currentNumber() && n != 0 && (m.rollingBack || m.rollbackAt > 0):
		m.reject(c, Rejections{{TypeVersion, "", "number", fmt.Sprintf("version %d is being given back", n)}}, false)
		return
	case n == m.currentNumber() && m.applying == nil || m.applying != nil && !m.rollingBack && n == m.applying.config.Number:
		// Sent again: an acknowledgement was lost, or the service began anew.
		if m.applying != nil {
			m.applying.nonces, m.applying.versions = c.nonces, c.versions
			return
		}
		m.inForceNonces = c.nonces
		m.acknowledge(c)
		return
	case m.rejectedSet[n]:
		m.reject(c, Rejections{{TypeVersion, "", "number", fmt.Sprintf("version %d was given back or refused before", n)}}, false)
		return
	case m.waiting != nil && n == m.waiting.config.Number:
		m.waiting.nonces, m.waiting.versions = c.nonces, c.versions
		return
	case n < m.currentNumber() || m.waiting != nil && n < m.waiting.config.Number || m.applying != nil && !m.rollingBack && n < m.applying.config.Number:
		m.reject(c, Rejections{{TypeVersion, "", "number", fmt.Sprintf("version %d is older than %d", n, max(m.currentNumber(), m.pendingNumber()))}}, false)
		return
	}
	if r := Validate(c.config, m.options.Limits); len(r) > 0 {
		m.reject(c, r, true)
		return
	}
	if m.waiting != nil {
		m.recordEvent(m.waiting.config.Number, EventSuperseded, fmt.Sprintf("version %d came", n))
	}
	c.applyAt = m.now
	if s := c.config.Rollout; s.Hold > 0 && !InFirstGroup(m.options.Gateway, n, s.FirstPercent) {
		c.applyAt += s.Hold + m.options.WithdrawGrace
		m.recordEvent(n, EventWaiting, fmt.Sprintf("%d%% of the gateways go first", s.FirstPercent))
	}
	m.waiting = c
	m.Tick(m.now)
}

func (m *Machine) pendingNumber() (n Number) {
	if m.waiting != nil {
		n = m.waiting.config.Number
	}
	if m.applying != nil && !m.rollingBack {
		n = max(n, m.applying.config.Number)
	}
	return n
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

// respond answers the response that a candidate has of a type, once, and only
// while it is the latest: the service waits for no other.
func (m *Machine) respond(c *candidate, t ResourceType, name, why string) {
	got := m.latest[t]
	if !m.connected || c.nonces == nil || got == nil || got.Nonce != c.nonces[t] || got.answered {
		return
	}
	got.answered = true
	m.host.SendRequest(t, name, got.Nonce, why)
}

// reject turns a version down: each of its resources, for the version is whole
// or none of it.
func (m *Machine) reject(c *candidate, why Rejections, never bool) {
	if never {
		m.markRejected(c.config.Number)
	}
	m.recordEvent(c.config.Number, EventRejected, why.Error())
	m.rejectResources(c, fmt.Sprintf("version %d: %s", c.config.Number, why.Error()))
}

func (m *Machine) rejectResources(c *candidate, why string) {
	if len(why) > maxReasonLength {
		why = why[:maxReasonLength]
	}
	for _, t := range ResourceTypes {
		if _, ok := c.nonces[t]; ok {
			m.respond(c, t, m.ackedVersions[t], why)
		}
	}
}

// maxReasonLength bounds a refusal's text on the stream.
const maxReasonLength = 4096

// Tick does what is due.
func (m *Machine) Tick(now balancer.Micros) {
	m.now = now
	if m.verifying && now >= m.holdUntil && m.applying == nil {
		m.judgeHold()
	}
	if m.rollbackAt > 0 && now >= m.rollbackAt && m.applying == nil {
		m.startRollback(m.rollbackReason)
	}
	if c := m.waiting; c != nil && m.applying == nil && now >= m.applicableAt(c) {
		m.waiting, m.applying, m.rollingBack = nil, c, false
		m.host.Apply(c.config)
	}
	if m.connected && m.incompleteSince > 0 && now-m.incompleteSince >= m.options.StallTimeout {
		m.recordEvent(m.latestNumber(), EventStreamLost, "the stream stalled in the midst of a version")
		m.host.Close("stalled")
		m.dropStream()
	}
}

// applicableAt is when a version that waits may be taken.
func (m *Machine) applicableAt(c *candidate) balancer.Micros {
	at := c.applyAt
	if m.appliedAt > 0 {
		at = max(at, m.appliedAt+m.options.MinInterval)
	}
	return at
}

// NextTick is when Tick is wanted; 0: not.
func (m *Machine) NextTick() balancer.Micros {
	next := balancer.Micros(0)
	sooner := func(at balancer.Micros) {
		if next == 0 || at < next {
			next = max(1, at)
		}
	}
	if m.verifying && m.applying == nil {
		sooner(m.holdUntil)
	}
	if m.rollbackAt > 0 && m.applying == nil {
		sooner(m.rollbackAt)
	}
	if m.waiting != nil && m.applying == nil {
		sooner(m.applicableAt(m.waiting))
	}
	if m.connected && m.incompleteSince > 0 {
		sooner(m.incompleteSince + m.options.StallTimeout)
	}
	return next
}

// Applied answers Apply: the step was taken, or refused with nothing changed.
func (m *Machine) Applied(now balancer.Micros, refused Rejections) {
	c := m.applying
	if c == nil {
		return
	}
	m.now, m.applying = now, nil
	if m.rollingBack {
		m.rollingBack = false
		m.finishRollback(c, refused)
		m.Tick(now)
		return
	}
	if len(refused) > 0 {
		// Not never: the same version may fit when the present state has changed.
		m.reject(c, refused, false)
		m.Tick(now)
		return
	}
	m.verifying, m.rollbackAt = false, 0 // a newer version ends what was open about the one before it
	m.previous, m.inForce, m.appliedAt = m.inForce, c.config, now
	m.recordEvent(c.config.Number, EventApplied, "")
	m.inForceNonces = c.nonces
	m.acknowledge(c)
	m.observed = outcomeTally{}
	if s := c.config.Rollout; s.Hold > 0 && s.MaxRegression > 0 {
		m.verifying, m.holdUntil = true, now+s.Hold
	} else {
		m.markGood()
	}
	m.Tick(now)
}

// markGood makes the version in force the last good one.
func (m *Machine) markGood() {
	m.verifying = false
	m.host.Persist(m.inForce, m.rejected)
}

// RequestEnded counts a request that ended: late or not served, or well.
func (m *Machine) RequestEnded(bad bool) {
	t := &m.baseline
	if m.verifying {
		t = &m.observed
	} else if t.total >= baselineRequests {
		t.total, t.bad = t.total*baselineDecay, t.bad*baselineDecay
	}
	t.total++
	if bad {
		t.bad++
	}
	// What is plainly worse is given back before its hold is over.
	if m.verifying && m.applying == nil && m.observed.total >= 2*float64(m.options.MinVerdictRequests) && m.isWorse(2) {
		m.judgeHold()
	}
}

// isWorse tells whether the hold is worse than before by so many times the bound.
func (m *Machine) isWorse(times float64) bool {
	least := float64(m.options.MinVerdictRequests)
	return m.observed.total >= least && m.baseline.total >= least && m.observed.badShare() > m.baseline.badShare()+times*m.inForce.Rollout.MaxRegression
}

// What is usual is taken over about so many requests.
const (
	baselineRequests = 2000
	baselineDecay    = 0.5
)

// judgeHold compares the hold with what was usual before.
func (m *Machine) judgeHold() {
	m.verifying = false
	if m.isWorse(1) {
		why := fmt.Sprintf("late or unserved %.1f%% of %.0f requests within the hold, %.1f%% before", 100*m.observed.badShare(), m.observed.total, 100*m.baseline.badShare())
		m.startRollback(why)
		return
	}
	m.recordEvent(m.currentNumber(), EventVerified, fmt.Sprintf("late or unserved %.1f%% of %.0f requests, %.1f%% before", 100*m.observed.badShare(), m.observed.total, 100*m.baseline.badShare()))
	m.baseline.total, m.baseline.bad = m.baseline.total+m.observed.total, m.baseline.bad+m.observed.bad
	m.markGood()
}

// startRollback returns to the version before.
func (m *Machine) startRollback(why string) {
	m.rollbackAt = 0
	m.applying, m.rollingBack = &candidate{config: m.previous, reason: why}, true
	m.host.Apply(m.previous)
}

// Rollback is an operator's order to go back to the version before; it tells
// whether there is one to go back from.
func (m *Machine) Rollback(now balancer.Micros, why string) bool {
	m.now = now
	if m.inForce == nil || m.applying != nil {
		return false
	}
	m.verifying = false
	m.startRollback(why)
	return true
}

// finishRollback answers the order to go back. The service hears of it by a refusal of
// the version that was in force, on each type's last response.
func (m *Machine) finishRollback(c *candidate, refused Rejections) {
	bad := m.inForce
	if len(refused) > 0 {
		// What is in hand does not allow the way back now: in a while it will.
		m.recordEvent(bad.Number, EventRejected, "cannot go back now: "+refused.Error())
		m.rollbackAt, m.rollbackReason = m.now+max(1, m.options.MinInterval), c.reason
		return
	}
	m.markRejected(bad.Number)
	if w := m.waiting; w != nil && m.rejectedSet[w.config.Number] { // it came again meanwhile
		m.waiting = nil
		m.reject(w, Rejections{{TypeVersion, "", "number", fmt.Sprintf("version %d was given back", w.config.Number)}}, false)
	}
	m.inForce, m.previous, m.appliedAt = c.config, nil, m.now
	m.recordEvent(bad.Number, EventRolledBack, c.reason)
	clear(m.ackedVersions)
	m.host.Persist(m.inForce, m.rejected)
	if !m.connected {
		return
	}
	for _, t := range ResourceTypes {
		// Only what belonged to it, and is still the latest: a newer version's
		// resources have an answer of their own to come.
		if got := m.latest[t]; got != nil && got.Nonce == m.inForceNonces[t] {
			got.answered = true
			m.host.SendRequest(t, "", got.Nonce, fmt.Sprintf("version %d: given back: %s", bad.Number, c.reason))
		}
	}
	m.inForceNonces = nil
}
