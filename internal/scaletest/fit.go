package scaletest

import (
	"math"
	"slices"
	"strings"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"
)

// Slope is the least-squares line of a figure over the size that was varied.
type Slope struct {
	Figure       string     `json:"figure"`
	Varied       string     `json:"varied"`
	Points       int        `json:"points"`
	Intercept    float64    `json:"at_0"`
	Slope        float64    `json:"slope"`
	Interval     [2]float64 `json:"interval"`   // 95% confidence interval of the slope
	Linear       bool       `json:"straight"`   // MaxDeviation is at most linearTolerance
	MaxDeviation float64    `json:"worst_miss"` // largest relative deviation of a size's mean from the line
}

// linearTolerance is the largest deviation of a size's mean from the line, relative to the larger of the mean
// and the line's value, at which the line fits.
const linearTolerance = 0.2

// FitSlopes fits a line to each figure over each size that was varied. Figures with fewer than three points
// or with points of only one size are left out.
func FitSlopes(points []Point) (out []Slope) {
	for _, varied := range []string{variedReplicas, variedGateways} {
		var x []float64
		y := map[string][]float64{}
		for _, p := range points {
			if p.Varied != varied {
				continue
			}
			x = append(x, p.size(varied))
			for name, v := range p.Figures {
				y[name] = append(y[name], v)
			}
		}
		names := make([]string, 0, len(y))
		for name := range y {
			names = append(names, name)
		}
		slices.Sort(names)
		for _, name := range names {
			if s, ok := fitLine(x, y[name]); ok {
				s.Figure, s.Varied = name, varied
				out = append(out, s)
			}
		}
	}
	return out
}

// size returns the number of replicas or gateways, whichever was varied.
func (p *Point) size(varied string) float64 {
	if varied == variedReplicas {
		return float64(p.Replicas)
	}
	return float64(p.Gateways)
}

// fitLine returns the least-squares line and the confidence interval of its slope by Student's t
// distribution. It reports false for fewer than three points or points of only one size.
func fitLine(x, y []float64) (s Slope, ok bool) {
	n := len(x)
	if n < 3 || len(y) != n || slices.Min(x) == slices.Max(x) {
		return s, false
	}
	s.Points = n
	s.Intercept, s.Slope = stat.LinearRegression(x, y, nil, false)
	mean, residualSum, sumSquaredX := stat.Mean(x, nil), 0.0, 0.0
	sums, counts := map[float64]float64{}, map[float64]float64{}
	for i := range x {
		residual := y[i] - s.Intercept - s.Slope*x[i]
		residualSum += residual * residual
		sumSquaredX += (x[i] - mean) * (x[i] - mean)
		sums[x[i]] += y[i]
		counts[x[i]]++
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(n - 2)}.Quantile(0.975)
	halfWidth := t * math.Sqrt(residualSum/float64(n-2)/sumSquaredX)
	s.Interval = [2]float64{s.Slope - halfWidth, s.Slope + halfWidth}
	for size, sum := range sums {
		line, measured := s.Intercept+s.Slope*size, sum/counts[size]
		if scale := max(math.Abs(line), math.Abs(measured)); scale > 0 {
			s.MaxDeviation = max(s.MaxDeviation, math.Abs(line-measured)/scale)
		}
	}
	s.Linear = s.MaxDeviation <= linearTolerance
	return s, true
}

// Comparison compares a figure of hollow gateways with that of real gateways. Hollow and Real are means over
// all points.
type Comparison struct {
	Figure string  `json:"figure"`
	Hollow float64 `json:"hollow"`
	Real   float64 `json:"real"`
	Ratio  float64 `json:"ratio"`  // hollow over real, at the size where it is farthest from 1; 0 if undefined
	Agrees bool    `json:"counts"` // Ratio is within agreementTolerance of 1
}

// agreementTolerance is the largest difference between Comparison.Ratio and 1 at which the figures agree.
const agreementTolerance = 0.2

// Compare compares the figures of hollow gateways with those of real gateways, size by size.
func Compare(points []Point) (out []Comparison) {
	names := map[string]bool{}
	for _, p := range points {
		for name := range p.Figures {
			if unprefixed, ok := strings.CutPrefix(name, RealPrefix); ok {
				names[unprefixed] = true
			}
		}
	}
	for _, name := range sortedNames(names) {
		c := Comparison{Figure: name, Ratio: 1}
		type sums struct{ hollow, real float64 }
		sizes := map[Size]*sums{}
		for _, p := range points {
			if sizes[p.Size] == nil {
				sizes[p.Size] = &sums{}
			}
			s := sizes[p.Size]
			s.hollow, s.real = s.hollow+p.Figures[name], s.real+p.Figures[RealPrefix+name]
			c.Hollow, c.Real = c.Hollow+p.Figures[name]/float64(len(points)), c.Real+p.Figures[RealPrefix+name]/float64(len(points))
		}
		for _, s := range sizes {
			if s.hollow == 0 && s.real == 0 {
				continue
			}
			if ratio := s.hollow / s.real; math.Abs(ratio-1) > math.Abs(c.Ratio-1) || math.IsNaN(ratio) {
				c.Ratio = ratio
			}
		}
		if math.IsInf(c.Ratio, 0) || math.IsNaN(c.Ratio) {
			c.Ratio = 0
		}
		c.Agrees = math.Abs(c.Ratio-1) <= agreementTolerance
		out = append(out, c)
	}
	return out
}

func sortedNames(set map[string]bool) (out []string) {
	for name := range set {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}
