package fit

import (
	"math"
	"slices"
)

// z95 is the quantile of the normal distribution for a two-sided 95% interval.
const z95 = 1.96

// minDispersionSeconds is the minimum observation time for an estimate of the dispersion.
const minDispersionSeconds = 10

// median returns the median. The interval's bounds are order statistics.
func median(values []float64) Value {
	n := len(values)
	if n == 0 {
		return Value{}
	}
	sorted := slices.Sorted(slices.Values(values))
	atRank := func(rank float64) float64 { return sorted[max(0, min(n-1, int(math.Round(rank))))] }
	middle := sorted[n/2]
	if n%2 == 0 {
		middle = (sorted[n/2-1] + sorted[n/2]) / 2
	}
	halfWidth := 0.98 * math.Sqrt(float64(n)) // z95 standard deviations of the rank, each sqrt(n)/2
	return Value{middle, atRank(float64(n)/2 - halfWidth - 1), atRank(float64(n)/2 + halfWidth), n}
}

// meanTurns returns the mean number of turns in a session, which is geometrically distributed. continued
// turns were followed by another one, ended turns were the last of their session. The interval is derived
// from Wilson's.
func meanTurns(continued, ended int) Value {
	n := float64(continued + ended)
	if n == 0 {
		return Value{}
	}
	p := float64(continued) / n
	center := (p + z95*z95/(2*n)) / (1 + z95*z95/n)
	halfWidth := z95 / (1 + z95*z95/n) * math.Sqrt(p*(1-p)/n+z95*z95/(4*n*n))
	mean := func(p float64) float64 { return 1 / math.Max(1e-4, 1-p) }
	return Value{mean(p), mean(math.Max(0, center-halfWidth)), mean(math.Min(1, center+halfWidth)), continued + ended}
}

// standardDeviation returns the sample standard deviation, or the zero Value for fewer than three values.
func standardDeviation(values []float64) Value {
	n := float64(len(values))
	if n < 3 {
		return Value{}
	}
	sum, squares := 0.0, 0.0
	for _, v := range values {
		sum += v
		squares += v * v
	}
	sd := math.Sqrt(math.Max(0, (squares-sum*sum/n)/(n-1)))
	halfWidth := z95 * sd / math.Sqrt(2*n)
	return Value{sd, math.Max(0, sd-halfWidth), sd + halfWidth, len(values)}
}

// fitPrefixes returns Chao's estimate of the number of shared prefixes, which includes unseen ones, and the
// median of their lengths.
func fitPrefixes(turns []Turn) (count, length Value) {
	type sessionPrefix struct{ session, prefix uint64 }
	sightings := map[uint64]int{}
	seenInSession := map[sessionPrefix]bool{} // each session counts once per prefix
	var lengths []float64
	for _, t := range turns {
		key := sessionPrefix{t.Session, t.Prefix}
		if t.Prefix == 0 || t.Session != 0 && seenInSession[key] {
			continue
		}
		seenInSession[key] = true
		sightings[t.Prefix]++
		lengths = append(lengths, float64(t.PrefixTokens))
	}
	if len(sightings) == 0 {
		return Value{}, Value{}
	}
	return chao(sightings, len(lengths)), median(lengths)
}

// chao estimates the total number of kinds, including unseen ones, from the number of sightings of each kind
// seen (Chao's bias-corrected estimator with its log-normal interval). n is the number of observations.
func chao(sightings map[uint64]int, n int) Value {
	once, twice := 0.0, 0.0
	for _, c := range sightings {
		switch c {
		case 1:
			once++
		case 2:
			twice++
		}
	}
	seen := float64(len(sightings))
	unseen := once * (once - 1) / (2 * (twice + 1))
	estimate := Value{seen + unseen, seen, seen, n}
	if unseen > 0 {
		variance := once*(once-1)/(2*(twice+1)) + once*(2*once-1)*(2*once-1)/(4*(twice+1)*(twice+1)) + once*once*twice*(once-1)*(once-1)/(4*math.Pow(twice+1, 4))
		factor := math.Exp(z95 * math.Sqrt(math.Log(1+variance/(unseen*unseen))))
		estimate.Low, estimate.High = seen+unseen/factor, seen+unseen*factor
	}
	return estimate
}

// dispersion returns the index of dispersion of the counts per second: their variance divided by their mean.
func dispersion(counts map[int64]int, from, to int64) Value {
	n := float64(to - from)
	if n < minDispersionSeconds {
		return Value{}
	}
	sum, squares := 0.0, 0.0
	for second := from; second < to; second++ {
		c := float64(counts[second])
		sum += c
		squares += c * c
	}
	if sum == 0 {
		return Value{}
	}
	mean := sum / n
	d := (squares - sum*mean) / (n - 1) / mean
	halfWidth := z95 * d * math.Sqrt(2/(n-1))
	return Value{d, math.Max(0, d-halfWidth), d + halfWidth, int(n)}
}
