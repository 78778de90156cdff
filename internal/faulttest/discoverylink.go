package faulttest

import (
	"sync"
	"time"
)

// discoveryLink connects one gateway to discovery through a fault proxy, which injects faults of connections, and
// a front, which injects faults of discovery itself. It records faults and list writes for the audit.
type discoveryLink struct {
	proxy *faultProxy
	front *discoveryFront

	mu     sync.Mutex
	writes []listWrite
	faults []linkFault
}

// listWrite records that a generation of the endpoint list was written to the gateway.
type listWrite struct {
	generation int64
	at         time.Time
}

// linkFault is a period with a fault on the link. Its end is zero while the fault lasts.
type linkFault struct {
	interval
	reachable bool // further calls could reach discovery in spite of the fault
	name      string
}

// newDiscoveryLink starts a link to discovery at target. The caller has to close it.
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

// recordWrite records a list that the front has written. Lists that the proxy does not forward are not recorded.
func (l *discoveryLink) recordWrite(generation int64) {
	if mode, _ := l.proxy.currentMode(); mode == proxyBlackhole || mode == proxyRefuse {
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
	fault.apply(l)
}

// end ends the fault that began last. Faults of a link do not overlap.
func (l *discoveryLink) end() {
	l.front.setMode(frontPass)
	l.proxy.setMode(proxyForward)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[len(l.faults)-1].to = time.Now()
}

// hangOpenCalls makes open calls, such as the watch, hang. Later calls reach discovery.
func (l *discoveryLink) hangOpenCalls() {
	l.mu.Lock()
	now := time.Now()
	l.faults = append(l.faults, linkFault{interval{now, now}, true, "the open watch hangs"})
	l.mu.Unlock()
	l.front.hangCallsBefore(now)
}

// hangCallsFor makes all calls that begin within a duration hang. The audit still counts discovery as reachable.
func (l *discoveryLink) hangCallsFor(duration time.Duration) {
	l.mu.Lock()
	now := time.Now()
	l.faults = append(l.faults, linkFault{interval{now, now.Add(duration)}, true, "all calls hang"})
	l.mu.Unlock()
	l.front.hangCallsBefore(now.Add(duration))
}

// linkFaultKind is a fault of either the front or the proxy: exactly one mode is not zero.
type linkFaultKind struct {
	front frontMode
	proxy proxyMode
}

// linkFaultKinds returns all kinds of faults of a link.
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
	return k.front.reachable() && k.proxy != proxyBlackhole && k.proxy != proxyRefuse
}

func (k linkFaultKind) String() string {
	if k.proxy != proxyForward {
		return "connection " + k.proxy.String()
	}
	return "discovery " + k.front.String()
}

func (k linkFaultKind) apply(l *discoveryLink) {
	l.front.setMode(k.front)
	l.proxy.setMode(k.proxy)
}

// linkHistory holds the records of a link for the audit.
type linkHistory struct {
	writes []listWrite
	faults []linkFault
}

func (l *discoveryLink) history() linkHistory {
	l.mu.Lock()
	defer l.mu.Unlock()
	return linkHistory{l.writes, l.faults}
}

// firstWrite returns when a list of the generation or a later one was first written, or zero if none was.
func (h *linkHistory) firstWrite(generation int64) time.Time {
	for _, write := range h.writes {
		if write.generation >= generation {
			return write.at
		}
	}
	return time.Time{}
}

// reachableFrom returns the first time from at on at which discovery was reachable. If it never was again, the
// result lies an hour ahead, after the end of any soak.
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

// faultFreeBetween reports whether the link had no fault between two times.
func (h *linkHistory) faultFreeBetween(from, to time.Time) bool {
	for _, fault := range h.faults {
		if fault.from.Before(to) && (fault.to.IsZero() || fault.to.After(from)) {
			return false
		}
	}
	return true
}
