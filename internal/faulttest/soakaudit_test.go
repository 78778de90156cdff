package faulttest

import (
	"errors"
	"strings"
	"syscall"
	"testing"
	"time"
)

// Guards against an audit that excuses lost requests too often: only a kill of the gateway excuses a request without
// a response. The time that counts is when SIGKILL was sent, not when the process's end was seen. After SIGTERM the
// kill excuses only requests that arrived soon.
func TestAuditExcusesRequestsOfKilledProcesses(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	ended := func(graceful bool, from, killed, seen int) shutdownInterval {
		shutdown := shutdownInterval{graceful: graceful, interval: interval{at(from), at(seen)}}
		if killed >= 0 {
			shutdown.killedAt = at(killed)
		}
		return shutdown
	}
	const notKilled = -1
	for name, c := range map[string]struct {
		shutdown       shutdownInterval
		sentAt, endsAt int
		lost           bool
	}{
		"closed by SIGKILL": {ended(false, 1000, 1000, 1002), 980, 1001, false},
		"closed by SIGKILL, whose process's end is seen late": {ended(false, 1000, 1000, 1450), 970, 1003, false},
		"closed before SIGKILL":                               {ended(false, 1000, 1000, 1002), 950, 990, true},
		"closed before SIGKILL, seen late":                    {ended(false, 1000, 1000, 1450), 950, 990, true},
		"sent after the end":                                  {ended(false, 1000, 1000, 1002), 1003, 1004, true},
		"closed by SIGKILL after SIGTERM":                     {ended(true, 1000, 4200, 4203), 1600, 4201, false},
		"closed by SIGKILL after SIGTERM, sent too late":      {ended(true, 1000, 4200, 4203), 1800, 4201, true},
		"closed 50 ms before SIGKILL after SIGTERM":           {ended(true, 1000, 4200, 4203), 1600, 4150, true},
		"closed after SIGTERM by the process itself":          {ended(true, 1000, notKilled, 4300), 1600, 4250, true},
	} {
		t.Run(name, func(t *testing.T) {
			request := &soakRequest{id: "r", outcome: outcomeClosed, startedAt: at(c.sentAt), sentAt: at(c.sentAt), endedAt: at(c.endsAt), err: syscall.ECONNRESET}
			auditor := newSoakAuditor(faultIntervals{
				shutdowns:      []shutdownInterval{c.shutdown},
				listenerCloses: [][]time.Time{{at(1500)}},
			}, []*soakRequest{request}, nil)
			violations := auditor.audit(nil)
			if lost := len(violations) > 0; lost != c.lost {
				t.Errorf("lost: %t, want %t: %v", lost, c.lost, violations)
			}
		})
	}
}

// Checks that a violation has the details that distinguish its possible causes: the kind of connection, its error, and
// the nearest shutdown.
func TestViolationDescribesTheConnectionsEnd(t *testing.T) {
	start := time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)
	request := &soakRequest{id: "r", class: "chat", outcome: outcomeClosed, startedAt: start, sentAt: start,
		endedAt: start.Add(24 * time.Millisecond), err: errors.New("reset")}
	shutdown := shutdownInterval{graceful: true, interval: interval{start.Add(-480 * time.Millisecond), start.Add(time.Second)}}
	violations := newSoakAuditor(faultIntervals{
		shutdowns:      []shutdownInterval{shutdown},
		listenerCloses: [][]time.Time{{start.Add(23 * time.Millisecond)}},
	}, []*soakRequest{request}, nil).audit(nil)
	if len(violations) != 1 {
		t.Fatalf("found %d violations, want 1", len(violations))
	}
	for _, part := range []string{"24ms after it was sent", "on a new connection", "reset", "the nearest SIGTERM at -504ms", "listener closed at -1ms", "end seen at 976ms"} {
		if !strings.Contains(violations[0].Details, part) {
			t.Errorf("%q is not in %q", part, violations[0].Details)
		}
	}
}
