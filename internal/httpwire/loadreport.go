package httpwire

import (
	"net/http"
	"strconv"
	"strings"

	"archknot/balancer"
	"archknot/internal/simwire"
)

// headerLoadReport is the name of a replica's load report, as a header of a response or in a comment line of a stream.
const headerLoadReport = "Srv-Load"

// Limits of a load report.
const (
	maxReportBytes    = 512
	maxReportValue    = 1e7 // the largest values are times in milliseconds
	maxReportFraction = 10  // of memory use and utilization, where 1 is the full capacity
)

// LoadReportOf returns the load report in a response's headers. It is empty if there is none or it is invalid.
func LoadReportOf(h http.Header) balancer.LoadReport {
	return ParseLoadReport(h.Get(headerLoadReport))
}

// ParseLoadReport parses a load report, a comma-separated list of name=value pairs. Unknown names are ignored. If any
// value cannot be parsed or is out of range, the whole report is discarded, because the other values may be wrong too.
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
