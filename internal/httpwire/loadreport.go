package httpwire

import (
	"net/http"
	"strconv"
	"strings"

	"archknot/balancer"
	"archknot/internal/simwire"
)

// headerLoadReport carries a replica's load report, in the head of a response or in a comment line of a stream.
const headerLoadReport = "Srv-Load"

// Bounds of a load report.
const (
	maxReportBytes    = 512
	maxReportValue    = 1e7 // the largest values are times in milliseconds
	maxReportFraction = 10  // of memory, or of the processor
)

// LoadReportOf returns the load report of a response's head; an empty one if there is none.
func LoadReportOf(h http.Header) balancer.LoadReport {
	return ParseLoadReport(h.Get(headerLoadReport))
}

// ParseLoadReport parses a load report: name=value pairs, of which unknown ones are ignored. A report that cannot
// be parsed, or has a value that no replica can have, is discarded as a whole: its other values cannot be trusted
// either.
func ParseLoadReport(text string) balancer.LoadReport {
	if len(text) > maxReportBytes {
		return balancer.LoadReport{}
	}
	var report balancer.LoadReport
	for pair := range strings.SplitSeq(text, ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(value, 64)
		if err != nil || !(v >= 0 && v <= maxReportValue) {
			return balancer.LoadReport{}
		}
		simwire.SetReportField(&report, name, v)
	}
	if report.MemoryShare > maxReportFraction || report.Utilization > maxReportFraction {
		return balancer.LoadReport{}
	}
	return report
}
