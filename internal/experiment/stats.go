package experiment

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Verdict is the conclusion that a comparison of pairs of runs allows.
type Verdict uint8

// The verdicts on a variant.
const (
	Inconclusive Verdict = iota // the interval contains 0, or there are fewer than minPairs pairs
	Better
	Worse
)

// String returns the verdict in the words that summaries contain.
func (v Verdict) String() string { return [...]string{"cannot tell", "better", "worse"}[v] }

// MarshalText returns the text of String and never fails.
func (v Verdict) MarshalText() ([]byte, error) { return []byte(v.String()), nil }

// Difference is the difference of a metric between a variant and the base, over pairs of runs with the
// same workload and seed.
type Difference struct {
	Pairs    int        `json:"pairs"`
	Base     float64    `json:"base"`       // mean of the base
	Variant  float64    `json:"variant"`    // mean of the variant
	Mean     float64    `json:"difference"` // Variant - Base
	Interval [2]float64 `json:"interval"`   // 95% confidence interval of Mean
	Verdict  Verdict    `json:"verdict"`
	// PairsNeeded is the approximate number of pairs at which a difference as large as Mean is detected. It is 0
	// if there is a verdict, no difference, or fewer than minPairs pairs.
	PairsNeeded int `json:"pairs_needed,omitempty"`
}

// Describe returns the verdict with its interval, or the reason why the comparison is inconclusive.
func (d *Difference) Describe() string {
	switch {
	case d.Verdict != Inconclusive:
		low, high := math.Abs(d.Interval[0]), math.Abs(d.Interval[1])
		return fmt.Sprintf("%s by %.4g (%.4g to %.4g)", d.Verdict, math.Abs(d.Mean), min(low, high), max(low, high))
	case d.Pairs < minPairs:
		return fmt.Sprintf("cannot tell with %d runs: at least %d are needed", d.Pairs, minPairs)
	case d.PairsNeeded > 0:
		return fmt.Sprintf("cannot tell with %d runs; about %d would tell a difference of %.4g", d.Pairs, d.PairsNeeded, math.Abs(d.Mean))
	}
	return fmt.Sprintf("cannot tell with %d runs: no difference was seen", d.Pairs)
}

const (
	// minPairs is the minimum number of pairs for a verdict.
	minPairs = 4
	// resamples is the number of bootstrap resamples for an interval.
	resamples = 2000
	// upperQuantile is the upper end of a 95% interval.
	upperQuantile = 0.975
	// lowerQuantile is the lower end of a 95% interval.
	lowerQuantile = 0.025
	// degenerateWidth is the half width of the interval, in standard errors, if more than half of the resamples
	// consist of a single value.
	degenerateWidth = 4
	// detectionZ is the sum of the normal quantiles of a 5% two-sided test with a power of 80%.
	detectionZ = 1.96 + 0.84
)

// Compare compares a variant with the base pair by pair; surplus values of the longer slice are ignored. Each
// end of the interval is that of the studentized bootstrap (Efron and Tibshirani, An Introduction to the
// Bootstrap, 1993, chapter 12) or of Student's interval, whichever is farther from the mean. With few pairs the
// plain percentile interval is too narrow.
func Compare(base, variant []float64, higherIsBetter bool, seed uint64) Difference {
	n := min(len(base), len(variant))
	d := Difference{Pairs: n}
	if n == 0 {
		return d
	}
	differences := make([]float64, n)
	for i := range differences {
		differences[i] = variant[i] - base[i]
	}
	d.Base, d.Variant = stat.Mean(base[:n], nil), stat.Mean(variant[:n], nil)
	d.Mean = stat.Mean(differences, nil)
	low, high := d.Mean, d.Mean
	sd := 0.0
	if n > 1 {
		sd = stat.StdDev(differences, nil)
	}
	if sd > 0 && n >= minPairs {
		low, high = bootstrapInterval(differences, d.Mean, sd/math.Sqrt(float64(n)), seed)
	}
	d.Interval = [2]float64{low, high}
	if n < minPairs {
		return d
	}
	switch {
	case low > 0 && higherIsBetter, high < 0 && !higherIsBetter:
		d.Verdict = Better
	case high < 0, low > 0:
		d.Verdict = Worse
	case d.Mean != 0:
		d.PairsNeeded = max(n+1, int(math.Ceil(detectionZ*detectionZ*sd*sd/(d.Mean*d.Mean))))
	}
	return d
}

// bootstrapInterval returns the 95% interval of the mean of values, given the mean and its standard error.
func bootstrapInterval(values []float64, mean, standardError float64, seed uint64) (low, high float64) {
	n := len(values)
	statistics := bootstrapStatistics(values, mean, seed)
	if len(statistics) < resamples/2 {
		return mean - degenerateWidth*standardError, mean + degenerateWidth*standardError
	}
	slices.SortFunc(statistics, cmp.Compare)
	low = mean - stat.Quantile(upperQuantile, stat.Empirical, statistics, nil)*standardError
	high = mean - stat.Quantile(lowerQuantile, stat.Empirical, statistics, nil)*standardError
	// With 12 pairs the bootstrap interval alone excludes 0 for equal variants in 7 to 11 of 100 experiments
	// instead of 5. The result is therefore never narrower than Student's interval.
	halfWidth := studentQuantile(n) * standardError
	return min(low, mean-halfWidth), max(high, mean+halfWidth)
}

// bootstrapStatistics returns the t statistics of bootstrap resamples. Resamples that consist of a single value
// have no t statistic and are left out.
func bootstrapStatistics(values []float64, mean float64, seed uint64) []float64 {
	rng := rand.New(rand.NewPCG(seed, uint64(len(values))))
	n := len(values)
	statistics := make([]float64, 0, resamples)
	sample := make([]float64, n)
	for range resamples {
		for i := range sample {
			sample[i] = values[rng.IntN(n)]
		}
		m, sd := stat.MeanStdDev(sample, nil)
		if sd > 0 {
			statistics = append(statistics, (m-mean)/(sd/math.Sqrt(float64(n))))
		}
	}
	return statistics
}

// studentQuantile returns the quantile of Student's t distribution for a 95% interval of the mean of n values.
func studentQuantile(n int) float64 {
	return distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 1)}.Quantile(upperQuantile)
}

// Interval is a mean of N values with its 95% confidence interval.
type Interval struct {
	N    int     `json:"n"`
	Mean float64 `json:"mean"`
	Low  float64 `json:"low"`
	High float64 `json:"high"`
}

// String returns the interval for tables, or only the mean if N is below 2.
func (i Interval) String() string {
	if i.N < 2 {
		return fmt.Sprintf("%.4g", i.Mean)
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g, n=%d)", i.Mean, i.Low, i.High, i.N)
}

// MeanInterval returns the mean of values with Student's interval. The interval of a single value has no width,
// and without values all fields are 0.
func MeanInterval(values []float64) Interval {
	n := len(values)
	if n == 0 {
		return Interval{}
	}
	mean := stat.Mean(values, nil)
	interval := Interval{N: n, Mean: mean, Low: mean, High: mean}
	if n > 1 {
		halfWidth := studentQuantile(n) * stat.StdDev(values, nil) / math.Sqrt(float64(n))
		interval.Low, interval.High = mean-halfWidth, mean+halfWidth
	}
	return interval
}
