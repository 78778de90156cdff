package scaletest

import (
	"fmt"
	"io"
	"strings"
)

// WriteTables writes the result as Markdown tables: the slopes, the comparison of hollow and real gateways,
// and the mean figures of each size. Errors of w are ignored.
func (r *Result) WriteTables(w io.Writer) {
	fmt.Fprintf(w, "Build %s, seed %d, %d runs of each size, %s measured of each.\n\n", r.Build, r.Plan.Seed, r.Plan.Repeat, r.Plan.Duration)
	fmt.Fprint(w, "| figure | varied | at 0 | slope | 95% of the slope | a line fits |\n| --- | --- | --- | --- | --- | --- |\n")
	for _, s := range r.Slopes {
		fits := "yes"
		if !s.Linear {
			fits = fmt.Sprintf("no: off by %.0f%%", 100*s.MaxDeviation)
		}
		fmt.Fprintf(w, "| %s | %s | %.4g | %.4g | %.4g to %.4g | %s |\n", s.Figure, s.Varied, s.Intercept, s.Slope, s.Interval[0], s.Interval[1], fits)
	}
	fmt.Fprint(w, "\n| hollow beside real | hollow | real | hollow over real, worst size | counts |\n| --- | --- | --- | --- | --- |\n")
	for _, c := range r.Comparisons {
		counts := "yes"
		if !c.Agrees {
			counts = "no"
		}
		fmt.Fprintf(w, "| %s | %.4g | %.4g | %.2f | %s |\n", c.Figure, c.Hollow, c.Real, c.Ratio, counts)
	}
	r.writeMeans(w)
}

// writeMeans writes the table of the mean figures of each size.
func (r *Result) writeMeans(w io.Writer) {
	var order []Size
	sums, counts := map[Size]map[string]float64{}, map[Size]float64{}
	names := map[string]bool{}
	for _, p := range r.Points {
		if sums[p.Size] == nil {
			sums[p.Size] = map[string]float64{}
			order = append(order, p.Size)
		}
		counts[p.Size]++
		for name, v := range p.Figures {
			sums[p.Size][name] += v
			names[name] = true
		}
	}
	fmt.Fprint(w, "\n| figure |")
	for _, s := range order {
		fmt.Fprintf(w, " %d x %d |", s.Replicas, s.Gateways)
	}
	fmt.Fprint(w, "\n| --- |"+strings.Repeat(" --- |", len(order))+"\n")
	for _, name := range sortedNames(names) {
		fmt.Fprintf(w, "| %s |", name)
		for _, s := range order {
			fmt.Fprintf(w, " %.4g |", sums[s][name]/counts[s])
		}
		fmt.Fprintln(w)
	}
}
