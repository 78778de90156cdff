// Package site keeps what one gateway can tell of whole sites: whether one is well, in
// doubt, lost or on its way back. It knows no sockets and no clock: each input brings its
// time, and equal inputs give equal states.
//
// A site is lost to a gateway when several of its workers, each by itself, have not
// answered and none has since. One worker that is bad says nothing of its site: of the
// workers of a fleet some part is always slow or failing, and that several of one site
// fail at once without a word from any other has to be more likely by a loss than by
// chance. Who doubts asks others of the site at once: an answer from any ends the doubt.
package site

import "slices"

// Micros is a time or a duration in microseconds.
type Micros = int64

// State of a site, as one gateway sees it.
type State uint8

const (
	Well      State = iota
	Doubted         // some of its workers did not answer, and none has since
	Lost            // so many that it is the site; nothing is sent there but trials
	Returning       // it answers again, and gets a part that grows
)

// String is the word for people.
func (s State) String() string { return [...]string{"well", "doubted", "lost", "returning"}[s] }

const (
	// need is of how many workers of a site nothing may be heard before it is lost. Let
	// one in eight be bad by itself and a site be lost in one of a hundred windows: by
	// chance four in a row miss once in 4,096.
	need = 4
	// window is how long a miss counts: doubt that nothing feeds is over.
	window Micros = 5_000_000
	// firstTrial is the wait before a lost site is tried, and mostTrial what it grows to;
	// a short gap of the network must not cost seconds.
	firstTrial, mostTrial Micros = 250_000, 1_000_000
	// settles is how long a site's part grows to the whole after its return. Workers that
	// started anew are told of by the list within that time, and are held back by
	// themselves from then on.
	settles Micros = 3_000_000
	// flaps bounds how often a return counts against the next, and forgiven is after how
	// long without a loss none does.
	flaps           = 4
	forgiven Micros = 60_000_000
)

// Place is what is known of one site.
type Place struct {
	State   State
	Since   Micros   // when that began
	Missed  []uint64 // workers that did not answer since the site was last heard
	MissAt  Micros   // the last of them
	Misses  int      // that count
	Heard   []uint64 // workers that answered since the site was lost
	TrialAt Micros   // lost: no trial before
	Trials  int      // lost: trials made
	Losses  int      // in a row, without long peace between
	LostAt  Micros   // when it was last lost
}

// Book is what one gateway knows of all sites, by number.
type Book struct {
	Places map[int]*Place
}

// New returns a book that takes all sites for well.
func New() Book { return Book{Places: map[int]*Place{}} }

// State tells how a site is.
func (b Book) State(site int) State {
	if p := b.Places[site]; p != nil {
		return p.State
	}
	return Well
}

// Lost tells whether nothing is to be sent to a site but trials.
func (b Book) Lost(site int) bool { return b.State(site) == Lost }

// Miss takes that a worker of a site that has of workers did not answer: no connection
// came up, or what was open fell silent or broke. News tells that others of the site are
// to be asked; lost that with this the site counts as lost.
func (b Book) Miss(now Micros, site int, worker uint64, of int) (news, lost bool) {
	p := b.Places[site]
	if p == nil {
		p = &Place{Since: now}
		b.Places[site] = p
	}
	b.pass(now, p)
	if p.State == Lost {
		return false, false
	}
	since := now - p.MissAt
	if since > window {
		p.Missed, p.Misses = nil, 0
	}
	p.MissAt = now
	if slices.Contains(p.Missed, worker) {
		// Of a site with few workers each counts again, as often as it takes.
		if of >= need || since < firstTrial {
			return false, false
		}
	} else if len(p.Missed) < need {
		p.Missed = append(p.Missed, worker)
	}
	if p.Misses++; of >= 2 && len(p.Missed) >= min(need, of) && p.Misses >= need {
		if p.Losses = min(flaps, p.Losses+1); now-p.LostAt > forgiven {
			p.Losses = 1
		}
		p.State, p.Since, p.LostAt = Lost, now, now
		p.Missed, p.Misses, p.Heard, p.Trials, p.TrialAt = nil, 0, nil, 0, now+firstTrial
		return false, true
	}
	if p.State == Well {
		p.State, p.Since = Doubted, now
	}
	return true, false
}

// Heard takes that a worker of the site answered, whatever it said. Back tells that the
// site returns with this: one word is enough the first time, and more each time that it
// was lost again soon.
func (b Book) Heard(now Micros, site int, worker uint64, of int) (back bool) {
	p := b.Places[site]
	if p == nil {
		return false
	}
	b.pass(now, p)
	p.Missed, p.Misses = nil, 0
	switch p.State {
	case Doubted:
		p.State, p.Since = Well, now
	case Lost:
		if !slices.Contains(p.Heard, worker) {
			p.Heard = append(p.Heard, worker)
		}
		p.TrialAt = now // where one answers others are asked soon
		if len(p.Heard) >= min(p.Losses, max(1, of)) {
			p.State, p.Since, p.Heard = Returning, now, nil
			return true
		}
	}
	return false
}

// pass lets time end what it ends.
func (b Book) pass(now Micros, p *Place) {
	switch {
	case p.State == Doubted && now-p.MissAt > window:
		p.State, p.Since, p.Missed, p.Misses = Well, now, nil, 0
	case p.State == Returning && now-p.Since >= p.grows():
		p.State, p.Since = Well, now
	}
}

// grows is how long the site's part takes to the whole.
func (p *Place) grows() Micros { return settles * Micros(max(1, p.Losses)) }

// Trust is the part of its usual load that a site may be given. The first return is held
// back by its workers' own warmth alone: a part for the whole site beside it left warm
// workers idle (docs/measurements/site.md). After each further loss soon after, a part
// that starts lower grows to the whole, for longer.
func (b Book) Trust(now Micros, site int) float64 {
	p := b.Places[site]
	if p == nil || p.State != Returning || p.Losses < 2 {
		return 1
	}
	least := 1 / float64(p.Losses)
	return min(1, least+(1-least)*float64(now-p.Since)/float64(p.grows()))
}

// Due tells whether a lost site is to be tried now, and notes the trial. By is from 0 to
// 1 and sets many gateways apart.
func (b Book) Due(now Micros, site int, by float64) bool {
	p := b.Places[site]
	if p == nil || p.State != Lost || now < p.TrialAt {
		return false
	}
	p.Trials++
	wait := min(mostTrial, firstTrial<<min(p.Trials, 8)) * Micros(p.Losses)
	p.TrialAt = now + Micros(float64(wait)*(0.75+by/2))
	return true
}

// Alone tells whether this gateway hears of no other site than its own, and of that well:
// then it is likelier that it is cut off itself.
func (b Book) Alone(own int, sites []int) bool {
	others := 0
	for _, s := range sites {
		if s == own {
			continue
		}
		if others++; b.State(s) != Lost {
			return false
		}
	}
	return others > 1 && b.State(own) != Lost
}
