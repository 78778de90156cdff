package revision

import (
	"fmt"
	"math/rand/v2"

	"archknot/choice"
)

// Response is one message of the stream: all resources of one type, as the
// service has them now.
type Response struct {
	Type    Type
	Version string // the service's name for these resources
	Nonce   string
	Part    *Part  // what they say
	Err     string // why they cannot be read; Part is nil then

	answered bool
}

// Part is what the resources of one type say, to be joined into a Config.
type Part struct {
	Manifest *Manifest     // of TypeVersion
	Fill     func(*Config) // of any other type
}

// Manifest says which resources make a version.
type Manifest struct {
	Number Number
	Types  map[Type]string // the version names that belong together; a type that is not here stays as the files give it
	Stage  Stage
}

// Host carries out what the machine orders. It must not call back from within.
type Host interface {
	// Connect opens the stream after a while. Connected or Closed answers.
	Connect(after choice.Micros)
	// Close ends the stream; nothing answers.
	Close(reason string)
	// Send asks for a type from a version name on: an acknowledgement where the
	// nonce is of a response and why is empty, a refusal where it is not.
	Send(t Type, version, nonce, why string)
	// Apply has the gateway take a whole version, or go back to one. Applied
	// answers, in any turn after this one.
	Apply(c *Config)
	// Keep puts the version in force into the store, with those that must not be
	// taken again.
	Keep(c *Config, never []Number)
	// Tell is for the history and the log.
	Tell(e Entry)
}

// Entry is one line of the history.
type Entry struct {
	At     choice.Micros
	Number Number
	What   string // one of the words below
	Reason string
}

// What happened to a version.
const (
	Taken     = "taken"     // in force from here on
	Refused   = "refused"   // by itself, or as a step
	GivenBack = "givenback" // worse than before: the one before it is in force again
	Proved    = "proved"    // its hold went by
	Passed    = "passed"    // a newer one came before it was taken
	Waits     = "waits"     // until the first part of the gateways has proved it
	Lost      = "lost"      // the stream broke or stalled
)

// Options of a Machine. Times are microseconds.
type Options struct {
	Gateway string
	Limits  Limits
	Seed    uint64
	// Between is the least time from one version taken to the next.
	Between choice.Micros
	// Stall is how long a version may stay incomplete before the stream is dropped.
	Stall choice.Micros
	// BackoffFirst and BackoffMost bound the wait before the stream is opened again;
	// each wait is drawn from 0 to a bound that doubles.
	BackoffFirst, BackoffMost choice.Micros
	// Healthy is how long a stream must have lasted for the bound to start anew.
	Healthy choice.Micros
	// Grace is how much longer than the hold the others wait: the service must hear
	// that a version was given back, and withdraw it.
	Grace choice.Micros
	// VerdictLeast is how many requests must have ended within a hold for a
	// verdict.
	VerdictLeast int
}

// DefaultOptions are those of a gateway whose settings say nothing else.
func DefaultOptions(gateway string, seed uint64) Options {
	return Options{Gateway: gateway, Limits: DefaultLimits, Seed: seed, Between: 1_000_000, Stall: 10_000_000,
		BackoffFirst: 500_000, BackoffMost: 30_000_000, Healthy: 30_000_000, Grace: 3_000_000, VerdictLeast: 50}
}

// maxNever bounds how many versions are remembered as not to be taken again.
const maxNever = 64

// Machine follows the versions of one gateway. All its calls come from one task;
// each brings its time, and Next tells when Tick is wanted.
type Machine struct {
	o    Options
	host Host
	rng  *rand.Rand
	now  choice.Micros

	connected   bool
	connecting  bool
	since       choice.Micros // when the stream opened
	backoff     choice.Micros
	latest      map[Type]*Response
	unread      map[Type]bool   // types whose last response could not be read: told, and waited for
	acked       map[Type]string // version names in force, by type
	incomplete  choice.Micros   // since when a version is incomplete; 0: none is
	force       *Config         // in force; nil: the files
	forceNonces map[Type]string // of its resources, on the stream that stands
	before      *Config         // in force before that
	proving     bool            // the one in force is within its hold
	holdUntil   choice.Micros
	takenAt     choice.Micros // when a version was last taken, 0: never
	backAt      choice.Micros // when the way back is tried again; 0: it is not wanted
	backWhy     string
	waiting     *candidate // complete and good, not to be taken yet
	applying    *candidate
	goingBack   bool // what is being applied is the one before
	never       []Number
	known       map[Number]bool // of never
	usual, seen tally
}

// candidate is a whole version that came over the stream.
type candidate struct {
	c      *Config
	nonces map[Type]string // to be answered
	names  map[Type]string
	at     choice.Micros // when it may be taken
	why    string        // the reason it is given back for
}

// tally counts requests that ended, and those late or not served.
type tally struct{ all, bad float64 }

func (t tally) share() float64 {
	if t.all == 0 {
		return 0
	}
	return t.bad / t.all
}

// New returns a machine. The version in force, if the store had one, and those
// that must not be taken again are as they were before a restart.
func New(o Options, host Host, force *Config, never []Number) *Machine {
	m := &Machine{o: o, host: host, rng: rand.New(rand.NewPCG(o.Seed, 0x5eed)), latest: map[Type]*Response{}, unread: map[Type]bool{}, acked: map[Type]string{},
		force: force, known: map[Number]bool{}}
	for _, n := range never {
		m.forbid(n)
	}
	return m
}

// Start begins to connect.
func (m *Machine) Start(now choice.Micros) {
	m.now = now
	m.reconnect()
}

// InForce is the version in force; nil: the files.
func (m *Machine) InForce() *Config { return m.force }

// Never are the versions that are not taken again.
func (m *Machine) Never() []Number { return m.never }

func (m *Machine) number() Number { return numberOf(m.force) }

func numberOf(c *Config) Number {
	if c == nil {
		return 0
	}
	return c.Number
}

func (m *Machine) forbid(n Number) {
	if n == 0 || m.known[n] {
		return
	}
	if len(m.never) >= maxNever {
		delete(m.known, m.never[0])
		m.never = m.never[1:]
	}
	m.never, m.known[n] = append(m.never, n), true
}

func (m *Machine) tell(n Number, what, reason string) {
	m.host.Tell(Entry{m.now, n, what, reason})
}

// reconnect waits a while drawn from 0 to a bound that doubles, so that hundreds
// of gateways do not come back together.
func (m *Machine) reconnect() {
	m.connecting = true
	m.backoff = min(m.o.BackoffMost, max(m.o.BackoffFirst, 2*m.backoff))
	m.host.Connect(choice.Micros(m.rng.Float64() * float64(m.backoff)))
}

// Connected tells that the stream is open: every type is asked for from the
// versions in force on.
func (m *Machine) Connected(now choice.Micros) {
	m.now, m.connected, m.connecting, m.since = now, true, false, now
	clear(m.latest)
	clear(m.unread)
	m.incomplete = 0
	for _, t := range Types {
		m.host.Send(t, m.acked[t], "", "")
	}
}

// Closed tells that the stream could not be opened, or has ended. What was
// incomplete is gone with it; what is complete is still taken.
func (m *Machine) Closed(now choice.Micros, reason string) {
	if !m.connected && !m.connecting {
		return
	}
	m.now = now
	m.tell(m.number(), Lost, reason)
	m.drop()
}

func (m *Machine) drop() {
	if m.connected && m.now-m.since >= m.o.Healthy {
		m.backoff = 0
	}
	m.connected = false
	clear(m.latest)
	clear(m.unread)
	m.incomplete = 0
	// What waits was whole; its nonces are of a stream that is gone.
	m.forceNonces = nil
	for _, c := range []*candidate{m.waiting, m.applying} {
		if c != nil {
			c.nonces = nil
		}
	}
	m.reconnect()
}

// Received takes a message of the stream.
func (m *Machine) Received(now choice.Micros, r Response) {
	if !m.connected {
		return
	}
	m.now = now
	if r.Err != "" {
		// Not to be read: refused by itself, at once. The version that it would be
		// part of stays incomplete.
		m.host.Send(r.Type, m.acked[r.Type], r.Nonce, r.Err)
		m.tell(m.newest(), Refused, string(r.Type)+": "+r.Err)
		delete(m.latest, r.Type)
		m.unread[r.Type], m.incomplete = true, 0
		return
	}
	delete(m.unread, r.Type)
	m.latest[r.Type] = &r
	m.complete()
}

// newest is the number of the newest version that the stream speaks of.
func (m *Machine) newest() Number {
	if v := m.latest[TypeVersion]; v != nil {
		return v.Part.Manifest.Number
	}
	return 0
}

// wanting notes since when a version is incomplete. One that lacks what could
// not be read is not the stream's fault: the service has been told.
func (m *Machine) wanting() {
	if m.incomplete == 0 && len(m.unread) == 0 {
		m.incomplete = m.now
	}
}

// complete looks whether the latest resources make a whole version, and has it
// judged by itself.
func (m *Machine) complete() {
	v := m.latest[TypeVersion]
	if v == nil {
		m.wanting()
		return
	}
	f := v.Part.Manifest
	for t, name := range f.Types {
		if t == TypeVersion {
			continue
		}
		if got := m.latest[t]; got == nil || got.Version != name {
			m.wanting()
			return
		}
	}
	m.incomplete = 0
	c := &candidate{c: &Config{Number: f.Number, Stage: f.Stage}, nonces: map[Type]string{}, names: map[Type]string{}}
	for _, t := range Types {
		got := m.latest[t]
		if got == nil {
			continue
		}
		if _, belongs := f.Types[t]; !belongs && t != TypeVersion {
			continue
		}
		c.nonces[t], c.names[t] = got.Nonce, got.Version
		if got.Part.Fill != nil {
			got.Part.Fill(c.c)
		}
	}
	m.consider(c)
}

// consider decides what becomes of a whole version.
func (m *Machine) consider(c *candidate) {
	n := c.c.Number
	switch {
	case n == m.number() && n != 0 && (m.goingBack || m.backAt > 0):
		m.refuse(c, Refusals{{TypeVersion, "", "number", fmt.Sprintf("version %d is being given back", n)}}, false)
		return
	case n == m.number() && m.applying == nil || m.applying != nil && !m.goingBack && n == m.applying.c.Number:
		// Sent again: an acknowledgement was lost, or the service began anew.
		if m.applying != nil {
			m.applying.nonces, m.applying.names = c.nonces, c.names
			return
		}
		m.forceNonces = c.nonces
		m.accept(c)
		return
	case m.known[n]:
		m.refuse(c, Refusals{{TypeVersion, "", "number", fmt.Sprintf("version %d was given back or refused before", n)}}, false)
		return
	case m.waiting != nil && n == m.waiting.c.Number:
		m.waiting.nonces, m.waiting.names = c.nonces, c.names
		return
	case n < m.number() || m.waiting != nil && n < m.waiting.c.Number || m.applying != nil && !m.goingBack && n < m.applying.c.Number:
		m.refuse(c, Refusals{{TypeVersion, "", "number", fmt.Sprintf("version %d is older than %d", n, max(m.number(), m.pendingNumber()))}}, false)
		return
	}
	if r := Check(c.c, m.o.Limits); len(r) > 0 {
		m.refuse(c, r, true)
		return
	}
	if m.waiting != nil {
		m.tell(m.waiting.c.Number, Passed, fmt.Sprintf("version %d came", n))
	}
	c.at = m.now
	if s := c.c.Stage; s.Hold > 0 && !First(m.o.Gateway, n, s.FirstPercent) {
		c.at += s.Hold + m.o.Grace
		m.tell(n, Waits, fmt.Sprintf("%d%% of the gateways go first", s.FirstPercent))
	}
	m.waiting = c
	m.Tick(m.now)
}

func (m *Machine) pendingNumber() (n Number) {
	if m.waiting != nil {
		n = m.waiting.c.Number
	}
	if m.applying != nil && !m.goingBack {
		n = max(n, m.applying.c.Number)
	}
	return n
}

// accept acknowledges each resource of a version.
func (m *Machine) accept(c *candidate) {
	for _, t := range Types {
		name, ok := c.names[t]
		if !ok {
			continue
		}
		m.acked[t] = name
		m.answer(c, t, name, "")
	}
}

// answer answers the response that a candidate has of a type, once, and only
// while it is the latest: the service waits for no other.
func (m *Machine) answer(c *candidate, t Type, name, why string) {
	got := m.latest[t]
	if !m.connected || c.nonces == nil || got == nil || got.Nonce != c.nonces[t] || got.answered {
		return
	}
	got.answered = true
	m.host.Send(t, name, got.Nonce, why)
}

// refuse turns a version down: each of its resources, for the version is whole
// or none of it.
func (m *Machine) refuse(c *candidate, why Refusals, never bool) {
	if never {
		m.forbid(c.c.Number)
	}
	m.tell(c.c.Number, Refused, why.Error())
	m.deny(c, fmt.Sprintf("version %d: %s", c.c.Number, why.Error()))
}

func (m *Machine) deny(c *candidate, why string) {
	if len(why) > maxWhy {
		why = why[:maxWhy]
	}
	for _, t := range Types {
		if _, ok := c.nonces[t]; ok {
			m.answer(c, t, m.acked[t], why)
		}
	}
}

// maxWhy bounds a refusal's text on the stream.
const maxWhy = 4096

// Tick does what is due.
func (m *Machine) Tick(now choice.Micros) {
	m.now = now
	if m.proving && now >= m.holdUntil && m.applying == nil {
		m.verdict()
	}
	if m.backAt > 0 && now >= m.backAt && m.applying == nil {
		m.back(m.backWhy)
	}
	if c := m.waiting; c != nil && m.applying == nil && now >= m.dueAt(c) {
		m.waiting, m.applying, m.goingBack = nil, c, false
		m.host.Apply(c.c)
	}
	if m.connected && m.incomplete > 0 && now-m.incomplete >= m.o.Stall {
		m.tell(m.newest(), Lost, "the stream stalled in the midst of a version")
		m.host.Close("stalled")
		m.drop()
	}
}

// dueAt is when a version that waits may be taken.
func (m *Machine) dueAt(c *candidate) choice.Micros {
	at := c.at
	if m.takenAt > 0 {
		at = max(at, m.takenAt+m.o.Between)
	}
	return at
}

// Next is when Tick is wanted; 0: not.
func (m *Machine) Next() choice.Micros {
	next := choice.Micros(0)
	sooner := func(at choice.Micros) {
		if next == 0 || at < next {
			next = max(1, at)
		}
	}
	if m.proving && m.applying == nil {
		sooner(m.holdUntil)
	}
	if m.backAt > 0 && m.applying == nil {
		sooner(m.backAt)
	}
	if m.waiting != nil && m.applying == nil {
		sooner(m.dueAt(m.waiting))
	}
	if m.connected && m.incomplete > 0 {
		sooner(m.incomplete + m.o.Stall)
	}
	return next
}

// Applied answers Apply: the step was taken, or refused with nothing changed.
func (m *Machine) Applied(now choice.Micros, refused Refusals) {
	c := m.applying
	if c == nil {
		return
	}
	m.now, m.applying = now, nil
	if m.goingBack {
		m.goingBack = false
		m.backDone(c, refused)
		m.Tick(now)
		return
	}
	if len(refused) > 0 {
		// Not never: the same version may fit when the present state has changed.
		m.refuse(c, refused, false)
		m.Tick(now)
		return
	}
	m.proving, m.backAt = false, 0 // a newer version ends what was open about the one before it
	m.before, m.force, m.takenAt = m.force, c.c, now
	m.tell(c.c.Number, Taken, "")
	m.forceNonces = c.nonces
	m.accept(c)
	m.seen = tally{}
	if s := c.c.Stage; s.Hold > 0 && s.WorseBy > 0 {
		m.proving, m.holdUntil = true, now+s.Hold
	} else {
		m.proved()
	}
	m.Tick(now)
}

// proved makes the version in force the last good one.
func (m *Machine) proved() {
	m.proving = false
	m.host.Keep(m.force, m.never)
}

// Ended counts a request that ended: late or not served, or well.
func (m *Machine) Ended(bad bool) {
	t := &m.usual
	if m.proving {
		t = &m.seen
	} else if t.all >= usualOver {
		t.all, t.bad = t.all*usualFades, t.bad*usualFades
	}
	t.all++
	if bad {
		t.bad++
	}
	// What is plainly worse is given back before its hold is over.
	if m.proving && m.applying == nil && m.seen.all >= 2*float64(m.o.VerdictLeast) && m.worse(2) {
		m.verdict()
	}
}

// worse tells whether the hold is worse than before by so many times the bound.
func (m *Machine) worse(times float64) bool {
	least := float64(m.o.VerdictLeast)
	return m.seen.all >= least && m.usual.all >= least && m.seen.share() > m.usual.share()+times*m.force.Stage.WorseBy
}

// What is usual is taken over about so many requests.
const (
	usualOver  = 2000
	usualFades = 0.5
)

// verdict compares the hold with what was usual before.
func (m *Machine) verdict() {
	m.proving = false
	if m.worse(1) {
		why := fmt.Sprintf("late or unserved %.1f%% of %.0f requests within the hold, %.1f%% before", 100*m.seen.share(), m.seen.all, 100*m.usual.share())
		m.back(why)
		return
	}
	m.tell(m.number(), Proved, fmt.Sprintf("late or unserved %.1f%% of %.0f requests, %.1f%% before", 100*m.seen.share(), m.seen.all, 100*m.usual.share()))
	m.usual.all, m.usual.bad = m.usual.all+m.seen.all, m.usual.bad+m.seen.bad
	m.proved()
}

// back returns to the version before.
func (m *Machine) back(why string) {
	m.backAt = 0
	m.applying, m.goingBack = &candidate{c: m.before, why: why}, true
	m.host.Apply(m.before)
}

// Rollback is an operator's order to go back to the version before; it tells
// whether there is one to go back from.
func (m *Machine) Rollback(now choice.Micros, why string) bool {
	m.now = now
	if m.force == nil || m.applying != nil {
		return false
	}
	m.proving = false
	m.back(why)
	return true
}

// backDone answers the order to go back. The service hears of it by a refusal of
// the version that was in force, on each type's last response.
func (m *Machine) backDone(c *candidate, refused Refusals) {
	bad := m.force
	if len(refused) > 0 {
		// What is in hand does not allow the way back now: in a while it will.
		m.tell(bad.Number, Refused, "cannot go back now: "+refused.Error())
		m.backAt, m.backWhy = m.now+max(1, m.o.Between), c.why
		return
	}
	m.forbid(bad.Number)
	if w := m.waiting; w != nil && m.known[w.c.Number] { // it came again meanwhile
		m.waiting = nil
		m.refuse(w, Refusals{{TypeVersion, "", "number", fmt.Sprintf("version %d was given back", w.c.Number)}}, false)
	}
	m.force, m.before, m.takenAt = c.c, nil, m.now
	m.tell(bad.Number, GivenBack, c.why)
	clear(m.acked)
	m.host.Keep(m.force, m.never)
	if !m.connected {
		return
	}
	for _, t := range Types {
		// Only what belonged to it, and is still the latest: a newer version's
		// resources have an answer of their own to come.
		if got := m.latest[t]; got != nil && got.Nonce == m.forceNonces[t] {
			got.answered = true
			m.host.Send(t, "", got.Nonce, fmt.Sprintf("version %d: given back: %s", bad.Number, c.why))
		}
	}
	m.forceNonces = nil
}
