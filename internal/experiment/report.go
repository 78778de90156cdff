package experiment

import (
	"bytes"
	"cmp"
	_ "embed"
	"encoding/csv"
	"encoding/json"
	"errors"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strconv"

	"github.com/wcharczuk/go-chart/v2"

	"archknot/internal/fleet/model"
)

// Errors of Summarize and Gate.
var (
	// ErrNoBase reports that Summarize got no records of the base variant.
	ErrNoBase = errors.New("no runs of the base variant")
	// ErrNothingToCompare reports that a Summary given to Gate has no variant besides the base.
	ErrNothingToCompare = errors.New("nothing to compare: the results have only one variant")
)

// defaultBase is the name of the variant that is the base if none is given.
const defaultBase = "base"

// Row is the comparison of a variant with the base, for one metric and workload.
type Row struct {
	Workload   string     `json:"workload"`
	Variant    string     `json:"variant"`
	Metric     string     `json:"figure"`
	Difference Difference `json:"difference"`
}

// Summary is the comparison of all variants with the base, for all metrics and workloads.
type Summary struct {
	Base      string   `json:"base"`
	Workloads []string `json:"workloads"`
	Variants  []string `json:"variants"`
	Runs      int      `json:"runs"`
	Rows      []Row    `json:"rows"`
	records   []Record
}

// resultsBySeed contains the results of a variant with a workload.
type resultsBySeed map[uint64]*model.Result

// Summarize compares all variants with a base variant. An empty base means the variant named "base" or, if there
// is none, the first variant by name. It returns ErrNoBase if the base has no records.
func Summarize(records []Record, base string) (*Summary, error) {
	s := &Summary{Base: base, Runs: len(records), records: records}
	type cell struct{ workload, variant string }
	results := map[cell]resultsBySeed{}
	for _, r := range records {
		if !slices.Contains(s.Workloads, r.Workload) {
			s.Workloads = append(s.Workloads, r.Workload)
		}
		if !slices.Contains(s.Variants, r.Variant) {
			s.Variants = append(s.Variants, r.Variant)
		}
		key := cell{r.Workload, r.Variant}
		if results[key] == nil {
			results[key] = resultsBySeed{}
		}
		results[key][r.Seed] = r.Result
	}
	slices.Sort(s.Workloads)
	slices.Sort(s.Variants)
	if err := s.chooseBase(); err != nil {
		return nil, err
	}
	for _, workload := range s.Workloads {
		for _, variant := range s.Variants {
			if variant != s.Base {
				s.compare(workload, variant, results[cell{workload, s.Base}], results[cell{workload, variant}])
			}
		}
	}
	return s, nil
}

// chooseBase sets the default base and checks that the base has runs.
func (s *Summary) chooseBase() error {
	if s.Base == "" && len(s.Variants) > 0 {
		s.Base = s.Variants[0]
		if slices.Contains(s.Variants, defaultBase) {
			s.Base = defaultBase
		}
	}
	if !slices.Contains(s.Variants, s.Base) {
		return fmt.Errorf("%w: %q", ErrNoBase, s.Base)
	}
	return nil
}

// compare adds the rows of a variant on a workload. It compares pairs of runs with the same seed.
func (s *Summary) compare(workload, variant string, base, other resultsBySeed) {
	for _, metric := range Metrics {
		var baseValues, otherValues []float64
		for _, seed := range slices.Sorted(maps.Keys(base)) {
			if other[seed] == nil {
				continue
			}
			baseValues = append(baseValues, metric.value(base[seed]))
			otherValues = append(otherValues, metric.value(other[seed]))
		}
		s.Rows = append(s.Rows, Row{workload, variant, metric.Name, Compare(baseValues, otherValues, metric.HigherIsBetter, 1)})
	}
}

// Gate returns the rows of a metric in which the 95% interval does not exclude that the variant is worse than
// the base by more than a bound, or has too few pairs. It returns an error for an unknown metric, and
// ErrNothingToCompare if the metric has no rows.
func (s *Summary) Gate(metricName string, bound float64) (failed []Row, err error) {
	i := slices.IndexFunc(Metrics, func(m Metric) bool { return m.Name == metricName })
	if i < 0 {
		return nil, fmt.Errorf("no figure %q", metricName)
	}
	compared := false
	for _, r := range s.Rows {
		if r.Metric != metricName {
			continue
		}
		compared = true
		low, high := r.Difference.Interval[0], r.Difference.Interval[1]
		mayBeWorse := high > bound
		if Metrics[i].HigherIsBetter {
			mayBeWorse = low < -bound
		}
		if r.Difference.Pairs < minPairs || mayBeWorse {
			failed = append(failed, r)
		}
	}
	if !compared {
		return nil, ErrNothingToCompare
	}
	return failed, nil
}

// WriteJSON writes the summary as indented JSON.
func (s *Summary) WriteJSON(w io.Writer) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(s)
}

// WriteCSV writes a header and, for each run, a line with its metrics.
func (s *Summary) WriteCSV(w io.Writer) error {
	writer := csv.NewWriter(w)
	header := []string{"variant", "workload", "seed", "sent", "served"}
	for _, metric := range Metrics {
		header = append(header, metric.Name)
	}
	if err := writer.Write(header); err != nil {
		return err
	}
	for _, r := range s.records {
		if err := writer.Write(csvLine(r)); err != nil {
			return err
		}
	}
	writer.Flush()
	return writer.Error()
}

func csvLine(r Record) []string {
	line := []string{
		r.Variant,
		r.Workload,
		strconv.FormatUint(r.Seed, 10),
		strconv.FormatInt(r.Result.All.Sent, 10),
		strconv.FormatInt(r.Result.All.Ends[model.OutcomeServed], 10),
	}
	for _, metric := range Metrics {
		line = append(line, strconv.FormatFloat(metric.value(r.Result), 'g', 8, 64))
	}
	return line
}

//go:embed page.html
var pageTemplate string

// WriteHTML writes a self-contained HTML page with the charts and tables of all workloads.
func (s *Summary) WriteHTML(w io.Writer) error {
	functions := template.FuncMap{
		"num":   func(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) },
		"chart": s.chart,
		"rows":  s.rowsOf,
	}
	page, err := template.New("page").Funcs(functions).Parse(pageTemplate)
	if err != nil {
		return err
	}
	return page.Execute(w, s)
}

func (s *Summary) rowsOf(workload, variant string) (rows []Row) {
	for _, r := range s.Rows {
		if r.Workload == workload && r.Variant == variant {
			rows = append(rows, r)
		}
	}
	return rows
}

// chart returns an SVG chart of the weighted goodput over the time of a run on a workload: for each variant, the
// mean over seeds. It returns "" if no variant has two windows.
func (s *Summary) chart(workload string) (template.HTML, error) {
	graph := chart.Chart{
		Width:      820,
		Height:     280,
		Background: chart.Style{Padding: chart.Box{Top: 30, Left: 10, Right: 10, Bottom: 10}},
		XAxis:      chart.XAxis{Name: "seconds"},
		YAxis:      chart.YAxis{Name: "worth in time", Range: &chart.ContinuousRange{Min: 0, Max: 1.02}},
	}
	for i, variant := range s.Variants {
		series := s.goodputSeries(workload, variant)
		series.Style = chart.Style{StrokeColor: chart.GetDefaultColor(i), StrokeWidth: 2}
		if len(series.XValues) > 1 {
			graph.Series = append(graph.Series, series)
		}
	}
	if len(graph.Series) == 0 {
		return "", nil
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	var svg bytes.Buffer
	if err := graph.Render(chart.SVG, &svg); err != nil {
		return "", err
	}
	return template.HTML(svg.String()), nil // variant names are escaped, all other values are constants and numbers
}

// goodputSeries returns a variant's weighted goodput, averaged over seeds, by the start of the window.
func (s *Summary) goodputSeries(workload, variant string) chart.ContinuousSeries {
	sums, counts := map[float64]float64{}, map[float64]float64{}
	for _, r := range s.records {
		if r.Variant != variant || r.Workload != workload {
			continue
		}
		for _, window := range r.Result.Windows {
			if window.WeightOffered > 0 {
				sums[window.At] += window.WeightServed / window.WeightOffered
				counts[window.At]++
			}
		}
	}
	series := chart.ContinuousSeries{Name: template.HTMLEscapeString(variant)}
	for _, at := range slices.SortedFunc(maps.Keys(sums), cmp.Compare) {
		series.XValues = append(series.XValues, at)
		series.YValues = append(series.YValues, sums[at]/counts[at])
	}
	return series
}
