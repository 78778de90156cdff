// Package zonehealth tracks the health of zones as one gateway sees it: healthy,
// suspect, unavailable or recovering. It performs no I/O and reads no clock: each input
// brings its time, and equal inputs give equal states. A [Tracker] belongs to one goroutine.
//
// A zone is unavailable to a gateway if several of its replicas, each by itself, have not
// answered and none has since. One bad replica says nothing of its zone: some part of a
// fleet's replicas is always slow or failing, and that several of one zone fail at once
// without an answer from any other must be more likely by an outage than by chance. The
// caller checks others of a suspect zone at once: an answer from any ends the suspicion.
package zonehealth

import "slices"

// Micros is a point in time or a duration, in microseconds.
type Micros = int64

// State is the state of a zone, as one gateway sees it.
type State uint8

// The states of a zone.
const (
	Healthy     State = iota
	Suspect           // some of its replicas did not answer, and none has since
	Unavailable       // so many did not that it is the zone; it gets nothing but trials
	Recovering        // it answers again, and gets a growing share of its traffic
)

var stateNames = [...]string{"healthy", "suspect", "unavailable", "recovering"}

// String is the state's name.
func (s State) String() string { return stateNames[s] }

const (
	// missThreshold is the number of replicas of a zone that must not have answered for it
	// to be unavailable. Let one in eight be bad by itself and a zone be unavailable in one
	// of a hundred windows: by chance four in a row miss once in 4,096.
	missThreshold = 4
	// missWindow is how long a miss counts: without further misses suspicion ends.
	missWindow Micros = 5_000_000
	// trialIntervalMin is the time until an unavailable zone is tried, and trialIntervalMax
	// what it grows to; a short gap of the network must not cost seconds.
	trialIntervalMin, trialIntervalMax Micros = 250_000, 1_000_000
	// maxTrialDoublings bounds the growth of the interval.
	maxTrialDoublings = 8
	// recoveryRamp is how long the traffic share of a zone grows after its return. Replicas
	// that have started anew are on the endpoint list within that time, and are held back
	// by their own slow start from then on.
	recoveryRamp Micros = 3_000_000
	// maxOutages bounds how many outages in a row count, and outageMemory is the time
	// without one after which none does.
	maxOutages          = 4
	outageMemory Micros = 60_000_000
)

// Zone is what is known of one zone.
type Zone struct {
	State            State
	Since            Micros   // when the state began
	MissedReplicas   []uint64 // replicas that did not answer since the zone's last answer
	LastMissAt       Micros
	Misses           int      // misses that count
	AnsweredReplicas []uint64 // unavailable: replicas that have answered since
	NextTrialAt      Micros   // unavailable: no trial before
	Trials           int      // unavailable: trials made
	Outages          int      // in a row, without a long healthy time between them
	UnavailableAt    Micros   // when it last became unavailable
}

// Tracker is what one gateway knows of all zones, by their index.
type Tracker struct {
	Zones map[int]*Zone // those with a miss so far
}

// New returns a Tracker that takes all zones for healthy.
func New() Tracker { return Tracker{Zones: map[int]*Zone{}} }

// State returns the state of a zone.
func (t Tracker) State(index int) State {
	if zone := t.Zones[index]; zone != nil {
		return zone.State
	}
	return Healthy
}

// IsUnavailable reports whether a zone is to get nothing but trials.
func (t Tracker) IsUnavailable(index int) bool { return t.State(index) == Unavailable }

// RecordMiss records that a replica did not answer, of a zone with so many ready replicas:
// no connection came up, or an open one fell silent or broke. suspect says that others of
// the zone are to be checked; unavailable, that the zone became unavailable by this.
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

// countMiss counts a miss, and reports whether it is a new one.
func (z *Zone) countMiss(now Micros, replica uint64, ready int) bool {
	sinceLast := now - z.LastMissAt
	if sinceLast > missWindow {
		z.MissedReplicas, z.Misses = nil, 0
	}
	z.LastMissAt = now
	if slices.Contains(z.MissedReplicas, replica) {
		// In a zone with few replicas each counts again, as often as it takes.
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
	if now-z.UnavailableAt > outageMemory {
		z.Outages = 1
	}
	z.State, z.Since, z.UnavailableAt = Unavailable, now, now
	z.MissedReplicas, z.Misses, z.AnsweredReplicas = nil, 0, nil
	z.Trials, z.NextTrialAt = 0, now+trialIntervalMin
}

// RecordAnswer records that a replica answered, whatever it said, of a zone with so many
// ready replicas. It reports whether the zone recovers by this: after a first outage one
// answer is enough, and more are needed each time that another outage follows soon.
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
		zone.NextTrialAt = now // where one answers others are checked soon
		if len(zone.AnsweredReplicas) >= min(zone.Outages, max(1, ready)) {
			zone.State, zone.Since, zone.AnsweredReplicas = Recovering, now, nil
			return true
		}
	}
	return false
}

// expire ends the states that end with time.
func (z *Zone) expire(now Micros) {
	switch {
	case z.State == Suspect && now-z.LastMissAt > missWindow:
		z.State, z.Since, z.MissedReplicas, z.Misses = Healthy, now, nil, 0
	case z.State == Recovering && now-z.Since >= z.rampTime():
		z.State, z.Since = Healthy, now
	}
}

// rampTime is how long the zone's traffic share takes to grow to 1.
func (z *Zone) rampTime() Micros { return recoveryRamp * Micros(max(1, z.Outages)) }

// TrafficShare is the part of its usual load that a zone may be given, above 0 and up to 1.
// The first recovery is held back by the slow start of its replicas alone: a share for the
// zone beside it left warm replicas idle (docs/measurements/site.md). After each
// further outage soon after, the share starts lower and grows for longer.
func (t Tracker) TrafficShare(now Micros, index int) float64 {
	zone := t.Zones[index]
	if zone == nil || zone.State != Recovering || zone.Outages < 2 {
		return 1
	}
	least := 1 / float64(zone.Outages)
	return min(1, least+(1-least)*float64(now-zone.Since)/float64(zone.rampTime()))
}

// TakeTrial reports whether an unavailable zone is due for a trial now, and counts it as
// made. jitter, from 0 to 1, sets many gateways apart.
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

// LikelyIsolated reports whether all zones but a gateway's own are unavailable to it, and
// its own is not: then the gateway is more likely to be isolated itself.
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
