package simwire

import (
	"bytes"
	"fmt"
	"strconv"

	"archknot/balancer"
)

// fieldParser parses the fields of one line. It records the first error in err, so that a caller parses all fields of
// the line and checks for an error once.
type fieldParser struct {
	fields [][]byte
	err    error
}

// Limits of whole numbers.
const (
	maxUint32 = 1<<32 - 1
	maxUint64 = 1<<64 - 1
	maxInt63  = 1<<63 - 1
)

const (
	// maxQuoted bounds the part of a field that an error quotes, in bytes.
	maxQuoted = 40
	// maxDigits is the number of decimal digits of the largest whole number, maxUint64.
	maxDigits = 20
	// hexDigits is the number of digits of a hexadecimal key.
	hexDigits = 16
	// maxFloat bounds the absolute value of decimal numbers.
	maxFloat = 1e15
)

// fail sets err for an invalid field, unless an earlier field has set it.
func (p *fieldParser) fail(i int, name, expected string) {
	if p.err == nil {
		p.err = fmt.Errorf("field %d (%s): expected %s, got %q", i, name, expected, truncate(p.fields[i]))
	}
}

func truncate(b []byte) []byte {
	if len(b) > maxQuoted {
		return b[:maxQuoted]
	}
	return b
}

// isAbsent reports whether a field is "-", which means that it has no value.
func isAbsent(b []byte) bool { return len(b) == 1 && b[0] == '-' }

// uint parses a whole number from 0 to limit.
func (p *fieldParser) uint(i int, name string, limit uint64) uint64 {
	digits := p.fields[i]
	if len(digits) == 0 || len(digits) > maxDigits {
		p.fail(i, name, "a whole number")
		return 0
	}
	var v uint64
	for _, c := range digits {
		if c < '0' || c > '9' || v > (maxUint64-uint64(c-'0'))/10 {
			p.fail(i, name, "a whole number")
			return 0
		}
		v = v*10 + uint64(c-'0')
	}
	if v > limit {
		p.fail(i, name, fmt.Sprintf("at most %d", limit))
		return 0
	}
	return v
}

// optionalInt parses a whole number, 0 if absent.
func (p *fieldParser) optionalInt(i int, name string) int64 {
	if isAbsent(p.fields[i]) {
		return 0
	}
	return int64(p.uint(i, name, maxInt63))
}

// optionalFloat parses a non-negative decimal number, 0 if absent.
func (p *fieldParser) optionalFloat(i int, name string) float64 {
	if isAbsent(p.fields[i]) {
		return 0
	}
	v, err := strconv.ParseFloat(string(p.fields[i]), 64)
	if err != nil || !(v >= 0 && v < maxFloat) {
		p.fail(i, name, "a number of 0 or more")
		return 0
	}
	return v
}

// optionalHex parses a key of 16 hexadecimal digits, 0 if absent.
func (p *fieldParser) optionalHex(i int, name string) uint64 {
	if isAbsent(p.fields[i]) {
		return 0
	}
	v, err := strconv.ParseUint(string(p.fields[i]), 16, 64)
	if err != nil || len(p.fields[i]) != hexDigits {
		p.fail(i, name, "16 hex digits")
	}
	return v
}

// flag parses a Boolean that is written as 1 or 0.
func (p *fieldParser) flag(i int, name string) bool {
	if len(p.fields[i]) != 1 || (p.fields[i][0] != '0' && p.fields[i][0] != '1') {
		p.fail(i, name, "1 or 0")
	}
	return len(p.fields[i]) == 1 && p.fields[i][0] == '1'
}

// statuses maps the protocol's names of outcomes to statuses.
var statuses = map[string]balancer.Status{
	"delivered":   balancer.Served,
	"app_error":   balancer.Errored,
	"shed":        balancer.Shed,
	"expired":     balancer.TimedOut,
	"dial_failed": balancer.ConnectFailed,
	"dropped":     balancer.ConnBroken,
	"revoked":     balancer.Cancelled,
	"unused":      balancer.NotSent,
}

// status parses the outcome of an attempt or a health check.
func (p *fieldParser) status(i int) balancer.Status {
	status, ok := statuses[string(p.fields[i])]
	if !ok {
		p.fail(i, "status", "a known outcome")
		return balancer.Errored
	}
	return status
}

// loadReport parses a load report of comma-separated name:number pairs; it is empty if absent.
func (p *fieldParser) loadReport(i int) balancer.LoadReport {
	var report balancer.LoadReport
	remaining := p.fields[i]
	if isAbsent(remaining) {
		return report
	}
	for len(remaining) > 0 {
		var pair []byte
		pair, remaining, _ = bytes.Cut(remaining, []byte{','})
		name, number, ok := bytes.Cut(pair, []byte{':'})
		v, err := strconv.ParseFloat(string(number), 64)
		if !ok || err != nil || !(v > -maxFloat && v < maxFloat) {
			p.fail(i, "feedback", "name:number pairs")
			return report
		}
		SetReportField(&report, string(name), v)
	}
	return report
}

// SetReportField sets the field of a load report that has the given name on the wire. It ignores unknown names, since
// newer replicas may report more fields.
func SetReportField(report *balancer.LoadReport, name string, v float64) {
	switch name {
	case "x0":
		report.MemoryShare = v
		report.Has |= balancer.HasMemory
	case "x1":
		report.PrefillBacklogK = v
		report.Has |= balancer.HasPrefillBacklog
	case "busy_reqs":
		report.InFlight = v
		report.Has |= balancer.HasInFlight
	case "pending":
		report.Queued = v
		report.Has |= balancer.HasQueued
	case "svc_ms":
		report.ServiceMs = v
		report.Has |= balancer.HasService
	case "cpu_share":
		report.Utilization = v
		report.Has |= balancer.HasUtilization
	}
}
