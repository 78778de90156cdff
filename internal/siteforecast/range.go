package siteforecast

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// modelError is the difference between drills with processes and the model beyond the model's variance. It is
// caused by the requests in flight at the moment of the loss and by the first health checks after it
// (docs/measurements/site.md).
const modelError = 0.03

// Range is a 95% prediction interval for one further run: Student's interval of the simulated runs, extended by
// modelError to each side and limited to 0 to 1.
type Range struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// newRange returns the range for values between 0 and 1. A single value has only modelError to each side.
func newRange(values []float64) Range {
	n := float64(len(values))
	mean := stat.Mean(values, nil)
	halfWidth := modelError
	if n > 1 {
		halfWidth += distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(values, nil) * math.Sqrt(1+1/n)
	}
	return Range{Mean: mean, Low: max(0, mean-halfWidth), High: min(1, mean+halfWidth)}
}

// Within reports whether a value lies in the range, including its ends.
func (r Range) Within(v float64) bool { return v >= r.Low && v <= r.High }

// String returns the mean and the ends of the range, for tables.
func (r Range) String() string { return fmt.Sprintf("%.3f (%.3f to %.3f)", r.Mean, r.Low, r.High) }
