package faulttest

import (
	"sync"
	"time"
)

// discoveryLink is one gateway's way to discovery: a fault proxy for its connections, and behind it a front that
// plays discovery's own faults. It records what the audit has to know.
type discoveryLink struct {
	proxy *faultProxy
	front *discoveryFront

	mu     sync.Mutex
	writes []listWrite
	faults []linkFault
}

// listWrite is a generation of the endpoint list that was written to the gateway.
type listWrite struct {
	generation int64
	at         time.Time
}

// linkFault is a time in which something was wrong with the link. Its end is zero while it lasts.
type linkFault struct {
	interval
	reachable bool // discovery could be reached all the same
	name      string
}

// newDiscoveryLink starts a link to discovery. It ends with close.
func newDiscoveryLink(target string) (*discoveryLink, error) {
	l := &discoveryLink{}
	var err error
	if l.front, err = newDiscoveryFront(target, l.recordWrite); err != nil {
		return nil, err
	}
	if l.proxy, err = newProxy(l.front.addr()); err != nil {
		l.front.close()
		return nil, err
	}
	return l, nil
}

func (l *discoveryLink) close() {
	l.proxy.close()
	l.front.close()
}

// recordWrite records a list that was written. What is written into a silent connection does not count.
func (l *discoveryLink) recordWrite(generation int64) {
	if mode, _ := l.proxy.currentMode(); mode == proxySilent || mode == proxyRefuse {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.writes = append(l.writes, listWrite{generation, time.Now()})
}

// begin begins a fault.
func (l *discoveryLink) begin(fault linkFaultKind) {
	l.mu.Lock()
	l.faults = append(l.faults, linkFault{interval{from: time.Now()}, fault.reachable(), fault.String()})
	l.mu.Unlock()
	fault.set(l)
}

// end ends the fault that began last.
func (l *discoveryLink) end() {
	l.front.setMode(frontPass)
	l.proxy.setMode(proxyForward)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[len(l.faults)-1].to = time.Now()
}

// silence leaves the open watch without an answer. Discovery can be reached by further calls.
func (l *discoveryLink) silence() {
	l.mu.Lock()
	now := time.Now()
	l.faults = append(l.faults, linkFault{interval{now, now}, true, "the open watch falls silent"})
	l.mu.Unlock()
	l.front.silenceCalls(now)
}

// silenceFor leaves all calls without an answer for a duration. Others can reach discovery meanwhile.
func (l *discoveryLink) silenceFor(duration time.Duration) {
	l.mu.Lock()
	now := time.Now()
	l.faults = append(l.faults, linkFault{interval{now, now.Add(duration)}, true, "no call is answered"})
	l.mu.Unlock()
	l.front.silenceCalls(now.Add(duration))
}

// linkFaultKind is a mode of the front or of the proxy: one of both is not zero.
type linkFaultKind struct {
	front frontMode
	proxy proxyMode
}

// linkFaultKinds are all faults of a link.
func linkFaultKinds() (kinds []linkFaultKind) {
	for mode := 1; mode < frontModeCount; mode++ {
		kinds = append(kinds, linkFaultKind{front: frontMode(mode)})
	}
	for mode := 1; mode < proxyModeCount; mode++ {
		kinds = append(kinds, linkFaultKind{proxy: proxyMode(mode)})
	}
	return kinds
}

func (k linkFaultKind) reachable() bool {
	return k.front.reachable() && k.proxy != proxySilent && k.proxy != proxyRefuse
}

func (k linkFaultKind) String() string {
	if k.proxy != proxyForward {
		return "connection " + k.proxy.String()
	}
	return "discovery " + k.front.String()
}

func (k linkFaultKind) set(l *discoveryLink) {
	l.front.setMode(k.front)
	l.proxy.setMode(k.proxy)
}

// linkHistory is what happened on a link, for the audit.
type linkHistory struct {
	writes []listWrite
	faults []linkFault
}

func (l *discoveryLink) history() linkHistory {
	l.mu.Lock()
	defer l.mu.Unlock()
	return linkHistory{l.writes, l.faults}
}

// firstWrite returns when a generation or a later one was first written; zero: never.
func (h *linkHistory) firstWrite(generation int64) time.Time {
	for _, write := range h.writes {
		if write.generation >= generation {
			return write.at
		}
	}
	return time.Time{}
}

// reachableFrom returns when discovery could first be reached from a time on.
func (h *linkHistory) reachableFrom(at time.Time) time.Time {
	for _, fault := range h.faults {
		if !fault.reachable && fault.from.Before(at) && (fault.to.IsZero() || fault.to.After(at)) {
			at = fault.to // faults do not overlap
			if at.IsZero() {
				return time.Now().Add(time.Hour)
			}
		}
	}
	return at
}

// undisturbedSince reports whether nothing was wrong with the link from one time to another.
func (h *linkHistory) undisturbedSince(from, to time.Time) bool {
	for _, fault := range h.faults {
		if fault.from.Before(to) && (fault.to.IsZero() || fault.to.After(from)) {
			return false
		}
	}
	return true
}
