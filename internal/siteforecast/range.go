package siteforecast

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// modelError is how far drills with processes differ from the model beyond its own variance, because of
// requests in flight at the moment of the loss and the first health checks after it
// (docs/measurements/site.md).
const modelError = 0.03

// Range contains the value of a further run like those simulated with a probability of 95%: a prediction
// interval (Student's), extended by modelError to each side.
type Range struct {
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// newRange returns the range of values that are shares.
func newRange(values []float64) Range {
	n := float64(len(values))
	mean := stat.Mean(values, nil)
	halfWidth := modelError
	if n > 1 {
		halfWidth += distuv.StudentsT{Sigma: 1, Nu: n - 1}.Quantile(0.975) * stat.StdDev(values, nil) * math.Sqrt(1+1/n)
	}
	return Range{Mean: mean, Low: max(0, mean-halfWidth), High: min(1, mean+halfWidth)}
}

// Within reports whether a value lies in the range.
func (r Range) Within(v float64) bool { return v >= r.Low && v <= r.High }

// String returns the range for tables.
func (r Range) String() string { return fmt.Sprintf("%.3f (%.3f to %.3f)", r.Mean, r.Low, r.High) }
