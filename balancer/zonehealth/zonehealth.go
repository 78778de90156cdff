// Package site keeps what one gateway can tell of whole sites: whether one is well, in
// doubt, lost or on its way back. It knows no sockets and no clock: each input brings its
// time, and equal inputs give equal states.
//
// A site is lost to a gateway when several of its workers, each by itself, have not
// answered and none has since. One worker that is bad says nothing of its site: of the
// workers of a fleet some part is always slow or failing, and that several of one site
// fail at once without a word from any other has to be more likely by a loss than by
// chance. Who doubts asks others of the site at once: an answer from any ends the doubt.
package zonehealth

import "slices"

// Micros is a time or a duration in microseconds.
type Micros = int64

// State of a site, as one gateway sees it.
type State uint8

const (
	Healthy     State = iota
	Suspect           // some of its workers did not answer, and none has since
	Unavailable       // so many that it is the site; nothing is sent there but trials
	Recovering        // it answers again, and gets a part that grows
)

// String is the word for people.
func (s State) String() string { return [...]string{"well", "doubted", "lost", "returning"}[s] }

const (
	// missThreshold is of how many workers of a site nothing may be heard before it is lost. Let
	// one in eight be bad by itself and a site be lost in one of a hundred windows: by
	// chance four in a row miss once in 4,096.
	missThreshold = 4
	// missWindow is how long a miss counts: doubt that nothing feeds is over.
	missWindow Micros = 5_000_000
	// trialIntervalMin is the wait before a lost site is tried, and trialIntervalMax what it grows to;
	// a short gap of the network must not cost seconds.
	trialIntervalMin, trialIntervalMax Micros = 250_000, 1_000_000
	// recoveryRamp is how long a site's part grows to the whole after its return. Workers that
	// started anew are told of by the list within that time, and are held back by
	// themselves from then on.
	recoveryRamp Micros = 3_000_000
	// maxOutages bounds how often a return counts against the next, and forgiven is after how
	// long without a loss none does.
	maxOutages          = 4
	outageMemory Micros = 60_000_000
)

// Zone is what is known of one site.
type Zone struct {
	State            State
	Since            Micros   // when that began
	MissedReplicas   []uint64 // workers that did not answer since the site was last heard
	LastMissAt       Micros   // the last of them
	Misses           int      // that count
	AnsweredReplicas []uint64 // workers that answered since the site was lost
	NextTrialAt      Micros   // lost: no trial before
	Trials           int      // lost: trials made
	Outages          int      // in a row, without long peace between
	UnavailableAt    Micros   // when it was last lost
}

// Tracker is what one gateway knows of all sites, by number.
type Tracker struct {
	Zones map[int]*Zone
}

// New returns a book that takes all sites for well.
func New() Tracker { return Tracker{Zones: map[int]*Zone{}} }

// State tells how a site is.
func (b Tracker) State(site int) State {
	if zone := b.Zones[site]; zone != nil {
		return zone.State
	}
	return Healthy
}

// IsUnavailable tells whether nothing is to be sent to a site but trials.
func (b Tracker) IsUnavailable(site int) bool { return b.State(site) == Unavailable }

// RecordMiss takes that a worker of a site that has of workers did not answer: no connection
// came up, or what was open fell silent or broke. News tells that others of the site are
// to be asked; lost that with this the site counts as lost.
func (b Tracker) RecordMiss(now Micros, site int, worker uint64, of int) (news, lost bool) {
	zone := b.Zones[site]
	if zone == nil {
		zone = &Zone{Since: now}
		b.Zones[site] = zone
	}
	b.expire(now, zone)
	if zone.State == Unavailable {
		return false, false
	}
	since := now - zone.LastMissAt
	if since > missWindow {
		zone.MissedReplicas, zone.Misses = nil, 0
	}
	zone.LastMissAt = now
	if slices.Contains(zone.MissedReplicas, worker) {
		// Of a site with few workers each counts again, as often as it takes.
		if of >= missThreshold || since < trialIntervalMin {
			return false, false
		}
	} else if len(zone.MissedReplicas) < missThreshold {
		zone.MissedReplicas = append(zone.MissedReplicas, worker)
	}
	if zone.Misses++; of >= 2 && len(zone.MissedReplicas) >= min(missThreshold, of) && zone.Misses >= missThreshold {
		if zone.Outages = min(maxOutages, zone.Outages+1); now-zone.UnavailableAt > outageMemory {
			zone.Outages = 1
		}
		zone.State, zone.Since, zone.UnavailableAt = Unavailable, now, now
		zone.MissedReplicas, zone.Misses, zone.AnsweredReplicas, zone.Trials, zone.NextTrialAt = nil, 0, nil, 0, now+trialIntervalMin
		return false, true
	}
	if zone.State == Healthy {
		zone.State, zone.Since = Suspect, now
	}
	return true, false
}

// RecordAnswer takes that a worker of the site answered, whatever it said. Back tells that the
// site returns with this: one word is enough the first time, and more each time that it
// was lost again soon.
func (b Tracker) RecordAnswer(now Micros, site int, worker uint64, of int) (back bool) {
	zone := b.Zones[site]
	if zone == nil {
		return false
	}
	b.expire(now, zone)
	zone.MissedReplicas, zone.Misses = nil, 0
	switch zone.State {
	case Suspect:
		zone.State, zone.Since = Healthy, now
	case Unavailable:
		if !slices.Contains(zone.AnsweredReplicas, worker) {
			zone.AnsweredReplicas = append(zone.AnsweredReplicas, worker)
		}
		zone.NextTrialAt = now // where one answers others are asked soon
		if len(zone.AnsweredReplicas) >= min(zone.Outages, max(1, of)) {
			zone.State, zone.Since, zone.AnsweredReplicas = Recovering, now, nil
			return true
		}
	}
	return false
}

// expire lets time end what it ends.
func (b Tracker) expire(now Micros, zone *Zone) {
	switch {
	case zone.State == Suspect && now-zone.LastMissAt > missWindow:
		zone.State, zone.Since, zone.MissedReplicas, zone.Misses = Healthy, now, nil, 0
	case zone.State == Recovering && now-zone.Since >= zone.rampTime():
		zone.State, zone.Since = Healthy, now
	}
}

// rampTime is how long the site's part takes to the whole.
func (zone *Zone) rampTime() Micros { return recoveryRamp * Micros(max(1, zone.Outages)) }

// TrafficShare is the part of its usual load that a site may be given. The first return is held
// back by its workers' own warmth alone: a part for the whole site beside it left warm
// workers idle (docs/measurements/site.md). After each further loss soon after, a part
// that starts lower grows to the whole, for longer.
func (b Tracker) TrafficShare(now Micros, site int) float64 {
	zone := b.Zones[site]
	if zone == nil || zone.State != Recovering || zone.Outages < 2 {
		return 1
	}
	least := 1 / float64(zone.Outages)
	return min(1, least+(1-least)*float64(now-zone.Since)/float64(zone.rampTime()))
}

// TrialDue tells whether a lost site is to be tried now, and notes the trial. By is from 0 to
// 1 and sets many gateways apart.
func (b Tracker) TrialDue(now Micros, site int, by float64) bool {
	zone := b.Zones[site]
	if zone == nil || zone.State != Unavailable || now < zone.NextTrialAt {
		return false
	}
	zone.Trials++
	wait := min(trialIntervalMax, trialIntervalMin<<min(zone.Trials, 8)) * Micros(zone.Outages)
	zone.NextTrialAt = now + Micros(float64(wait)*(0.75+by/2))
	return true
}

// LikelyIsolated tells whether this gateway hears of no other site than its own, and of that well:
// then it is likelier that it is cut off itself.
func (b Tracker) LikelyIsolated(own int, sites []int) bool {
	others := 0
	for _, s := range sites {
		if s == own {
			continue
		}
		if others++; b.State(s) != Unavailable {
			return false
		}
	}
	return others > 1 && b.State(own) != Unavailable
}
