// Package zonehealth tracks the health of zones as one gateway sees it: healthy,
// suspect, unavailable or recovering. It performs no I/O and reads no clock: the current
// time is a parameter, and equal inputs give equal states. A [Tracker] must be used by one
// goroutine only.
//
// A zone is unavailable to a gateway if several of its replicas have not answered and none
// has answered since. One failed replica is not enough, because some replicas of a fleet
// are always slow or failing. The threshold is set so that an outage is a more likely cause
// than independent failures of that many replicas without an answer from any other. The
// caller checks other replicas of a suspect zone at once, and an answer from any of them
// makes the zone healthy again.
package zonehealth

import "slices"

// Micros is a point in time or a duration, in microseconds.
type Micros = int64

// State is the health of a zone as seen by one gateway.
type State uint8

// The states of a zone.
const (
	Healthy     State = iota
	Suspect           // some replicas did not answer, and none has answered since
	Unavailable       // missThreshold was reached; the zone receives trials only
	Recovering        // the zone answers again; see TrafficFraction
)

var stateNames = [...]string{"healthy", "suspect", "unavailable", "recovering"}

// String returns the state's name in lower case. It panics for a value that is not a state.
func (s State) String() string { return stateNames[s] }

const (
	// missThreshold is the number of misses, in general from as many replicas, that make a
	// zone unavailable. If one replica in eight fails independently, four in a row miss by
	// chance once in 4,096 times, much less often than an outage in one of a hundred windows.
	missThreshold = 4
	// missWindow is the time without further misses after which earlier misses expire and a
	// suspect zone becomes healthy.
	missWindow Micros = 5_000_000
	// trialIntervalMin is the time until the first trial of an unavailable zone. It is short
	// so that a brief network interruption does not cost seconds.
	trialIntervalMin Micros = 250_000
	// trialIntervalMax bounds the interval of trials in a first outage, before jitter.
	trialIntervalMax Micros = 1_000_000
	// maxTrialDoublings bounds the exponential growth of the interval.
	maxTrialDoublings = 8
	// recoveryRamp is the duration of a recovery, per consecutive outage. Replicas that were
	// restarted are listed with their new start time within it, and from then on their own
	// slow start limits their load.
	recoveryRamp Micros = 3_000_000
	// maxOutages bounds the count of consecutive outages.
	maxOutages = 4
	// outageResetAfter is the time from the start of an outage after which the next one
	// counts as a first outage again.
	outageResetAfter Micros = 60_000_000
)

// Zone holds the health of one zone.
type Zone struct {
	State            State
	Since            Micros   // when the state began
	MissedReplicas   []uint64 // replicas that did not answer since the zone's last answer
	LastMissAt       Micros
	Misses           int      // misses that count towards missThreshold
	AnsweredReplicas []uint64 // unavailable: replicas that have answered since
	NextTrialAt      Micros   // unavailable: earliest time of the next trial
	Trials           int      // unavailable: trials made
	Outages          int      // consecutive outages, at most maxOutages
	UnavailableAt    Micros   // when it last became unavailable
}

// Tracker holds the health of all zones as seen by one gateway, by zone index.
type Tracker struct {
	Zones map[int]*Zone // zones with at least one miss so far
}

// New returns a Tracker with all zones healthy.
func New() Tracker { return Tracker{Zones: map[int]*Zone{}} }

// State returns the state of a zone, Healthy for a zone without misses. States that end with
// time are updated by RecordMiss and RecordAnswer only.
func (t Tracker) State(index int) State {
	if zone := t.Zones[index]; zone != nil {
		return zone.State
	}
	return Healthy
}

// IsUnavailable reports whether a zone may receive trials only.
func (t Tracker) IsUnavailable(index int) bool { return t.State(index) == Unavailable }

// RecordMiss records that a replica did not answer: a connect failed, or an open connection
// broke or became unresponsive. ready is the number of ready replicas in the zone. suspect
// reports that the caller must check other replicas of the zone, unavailable that this miss
// made the zone unavailable.
func (t Tracker) RecordMiss(now Micros, index int, replica uint64, ready int) (suspect, unavailable bool) {
	zone := t.Zones[index]
	if zone == nil {
		zone = &Zone{Since: now}
		t.Zones[index] = zone
	}
	zone.expire(now)
	if zone.State == Unavailable || !zone.countMiss(now, replica, ready) {
		return false, false
	}
	if ready >= 2 && len(zone.MissedReplicas) >= min(missThreshold, ready) && zone.Misses >= missThreshold {
		zone.becomeUnavailable(now)
		return false, true
	}
	if zone.State == Healthy {
		zone.State, zone.Since = Suspect, now
	}
	return true, false
}

// countMiss adds a miss and reports whether it counts. A replica's repeated miss counts only
// in a zone of fewer than missThreshold ready replicas, and not within trialIntervalMin of
// the zone's last miss.
func (z *Zone) countMiss(now Micros, replica uint64, ready int) bool {
	sinceLast := now - z.LastMissAt
	if sinceLast > missWindow {
		z.MissedReplicas, z.Misses = nil, 0
	}
	z.LastMissAt = now
	if slices.Contains(z.MissedReplicas, replica) {
		// A zone with few replicas can only reach missThreshold by repeated misses.
		if ready >= missThreshold || sinceLast < trialIntervalMin {
			return false
		}
	} else if len(z.MissedReplicas) < missThreshold {
		z.MissedReplicas = append(z.MissedReplicas, replica)
	}
	z.Misses++
	return true
}

// becomeUnavailable begins an outage.
func (z *Zone) becomeUnavailable(now Micros) {
	z.Outages = min(maxOutages, z.Outages+1)
	if now-z.UnavailableAt > outageResetAfter {
		z.Outages = 1
	}
	z.State, z.Since, z.UnavailableAt = Unavailable, now, now
	z.MissedReplicas, z.Misses, z.AnsweredReplicas = nil, 0, nil
	z.Trials, z.NextTrialAt = 0, now+trialIntervalMin
}

// RecordAnswer records that a replica answered, with any status. ready is the number of
// ready replicas in the zone. It reports whether an unavailable zone begins to recover: this
// takes answers from one replica after a first outage, and from one more replica for each
// consecutive outage.
func (t Tracker) RecordAnswer(now Micros, index int, replica uint64, ready int) (recovers bool) {
	zone := t.Zones[index]
	if zone == nil {
		return false
	}
	zone.expire(now)
	zone.MissedReplicas, zone.Misses = nil, 0
	switch zone.State {
	case Suspect:
		zone.State, zone.Since = Healthy, now
	case Unavailable:
		if !slices.Contains(zone.AnsweredReplicas, replica) {
			zone.AnsweredReplicas = append(zone.AnsweredReplicas, replica)
		}
		zone.NextTrialAt = now // after one answer, try other replicas without delay
		if len(zone.AnsweredReplicas) >= min(zone.Outages, max(1, ready)) {
			zone.State, zone.Since, zone.AnsweredReplicas = Recovering, now, nil
			return true
		}
	}
	return false
}

// expire makes a zone healthy whose suspicion or recovery has ended by now.
func (z *Zone) expire(now Micros) {
	switch {
	case z.State == Suspect && now-z.LastMissAt > missWindow:
		z.State, z.Since, z.MissedReplicas, z.Misses = Healthy, now, nil, 0
	case z.State == Recovering && now-z.Since >= z.rampTime():
		z.State, z.Since = Healthy, now
	}
}

// rampTime returns the duration of the zone's recovery.
func (z *Zone) rampTime() Micros { return recoveryRamp * Micros(max(1, z.Outages)) }

// TrafficFraction returns the fraction of its usual load that a zone may receive, above 0
// and at most 1. After a first outage it is 1, because the slow start of restarted replicas
// limits their load: limiting the zone as well would leave warm replicas idle
// (docs/measurements/site.md). After each consecutive outage the fraction starts lower and
// grows for longer.
func (t Tracker) TrafficFraction(now Micros, index int) float64 {
	zone := t.Zones[index]
	if zone == nil || zone.State != Recovering || zone.Outages < 2 {
		return 1
	}
	least := 1 / float64(zone.Outages)
	return min(1, least+(1-least)*float64(now-zone.Since)/float64(zone.rampTime()))
}

// TakeTrial reports whether an unavailable zone is due for a trial at now, and if so counts
// the trial and schedules the next. jitter, from 0 to 1, desynchronizes gateways.
func (t Tracker) TakeTrial(now Micros, index int, jitter float64) bool {
	zone := t.Zones[index]
	if zone == nil || zone.State != Unavailable || now < zone.NextTrialAt {
		return false
	}
	zone.Trials++
	wait := min(trialIntervalMax, trialIntervalMin<<min(zone.Trials, maxTrialDoublings)) * Micros(zone.Outages)
	zone.NextTrialAt = now + Micros(float64(wait)*(0.75+jitter/2))
	return true
}

// LikelyIsolated reports whether at least two zones other than the gateway's own are listed,
// all of them are unavailable and its own is not. The gateway itself is then more likely to
// be isolated than all the others to have failed.
func (t Tracker) LikelyIsolated(own int, zones []int) bool {
	others := 0
	for _, index := range zones {
		if index == own {
			continue
		}
		others++
		if t.State(index) != Unavailable {
			return false
		}
	}
	return others > 1 && t.State(own) != Unavailable
}
