package faulttest

import (
	"fmt"
	"strings"
	"time"
)

// violationOf returns a violation of a rule that is about a request.
func violationOf(rule string, request *soakRequest, format string, args ...any) Violation {
	details := fmt.Sprintf("%s request to g%d ", request.class, request.gateway+1) + fmt.Sprintf(format, args...)
	return Violation{Rule: rule, RequestID: request.id, Details: details}
}

// describeEnd describes the end of a request's connection: the kind of connection, its error, and the times of the
// gateway's nearest shutdown relative to the end.
func (a *soakAuditor) describeEnd(request *soakRequest) string {
	var text strings.Builder
	kind := "a new"
	if request.reusedConn {
		kind = "a reused"
	}
	fmt.Fprintf(&text, ", on %s connection, at %s: %v", kind, request.endedAt.Format(auditTimeFormat), request.err)
	shutdown, ok := a.nearestShutdown(request.gateway, request.endedAt)
	if !ok {
		return text.String() + "; its gateway was never shut down"
	}
	since := func(at time.Time) string { return at.Sub(request.endedAt).Round(100 * time.Microsecond).String() }
	signal := "SIGKILL"
	if shutdown.graceful {
		signal = "SIGTERM"
	}
	fmt.Fprintf(&text, "; the nearest %s at %s", signal, since(shutdown.from))
	for _, closedAt := range a.listenerCloses[request.gateway] {
		if closedAt.After(shutdown.from) && closedAt.Before(shutdown.to) {
			fmt.Fprintf(&text, ", listener closed at %s", since(closedAt))
		}
	}
	if !shutdown.killedAt.IsZero() {
		fmt.Fprintf(&text, ", killed at %s", since(shutdown.killedAt))
	}
	fmt.Fprintf(&text, ", process end seen at %s", since(shutdown.to))
	return text.String()
}

// nearestShutdown returns the shutdown of a gateway that is nearest to a time. ok is false if the gateway was
// never shut down.
func (a *soakAuditor) nearestShutdown(gateway int, at time.Time) (nearest shutdownInterval, ok bool) {
	for _, shutdown := range a.shutdowns {
		if shutdown.gateway == gateway && (!ok || shutdown.distance(at) < nearest.distance(at)) {
			nearest, ok = shutdown, true
		}
	}
	return nearest, ok
}

// distance returns the time between at and the interval, or 0 if at lies within the interval.
func (i interval) distance(at time.Time) time.Duration {
	return max(i.from.Sub(at), at.Sub(i.to), 0)
}
