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

// Metric is one that variants are compared by.
type Metric struct {
	Name           string
	HigherIsBetter bool // higher is better
	value          func(*model.Result) float64
}

// Metrics are all of them; the first is what a gate looks at if not told otherwise.
var Metrics = []Metric{
	{"worth_in_time", true, func(r *model.Result) float64 { return r.All.WeightedGoodput() }},
	{"worst_class", true, func(r *model.Result) float64 { return worst(r.Classes) }},
	{"worst_tenant", true, func(r *model.Result) float64 { return worst(r.Tenants) }},
	{"worst_window", true, func(r *model.Result) float64 {
		v := 1.0
		for _, w := range r.Windows {
			if w.WeightOffered > 0 {
				v = min(v, w.WeightServed/w.WeightOffered)
			}
		}
		return v
	}},
	{"first_p50_ms", false, func(r *model.Result) float64 { return r.All.FirstTokenMs["p50"] }},
	{"first_p95_ms", false, func(r *model.Result) float64 { return r.All.FirstTokenMs["p95"] }},
	{"first_p99_ms", false, func(r *model.Result) float64 { return r.All.FirstTokenMs["p99"] }},
	{"whole_p95_ms", false, func(r *model.Result) float64 { return r.All.ResponseMs["p95"] }},
	{"refused_share", false, func(r *model.Result) float64 { return share(r.All, "refused", "failed", "contract") }},
	{"late_share", false, func(r *model.Result) float64 { return share(r.All, "late", "broken") }},
	{"attempts_a_request", false, func(r *model.Result) float64 { return float64(r.Attempts) / float64(max(1, r.All.Sent)) }},
	{"wasted_a_request", false, func(r *model.Result) float64 { return float64(r.Wasted) / float64(max(1, r.All.Sent)) }},
	{"read_anew", false, func(r *model.Result) float64 {
		return float64(r.PromptTokensRead) / float64(max(1, r.PromptTokensRead+r.PromptTokensReused))
	}},
}

func worst(m map[string]*model.Count) float64 {
	v := 1.0
	for _, c := range m {
		if c.WeightOffered > 0 {
			v = min(v, c.WeightedGoodput())
		}
	}
	return v
}

func share(c *model.Count, ends ...string) float64 {
	n := int64(0)
	for _, e := range ends {
		n += c.Ends[e]
	}
	return float64(n) / float64(max(1, c.Sent))
}

// Row compares one variant with the base by one figure, on one workload.
type Row struct {
	Workload   string     `json:"workload"`
	Variant    string     `json:"variant"`
	Figure     string     `json:"figure"`
	Difference Difference `json:"difference"`
}

// Summary is what an experiment tells.
type Summary struct {
	Base      string   `json:"base"`
	Workloads []string `json:"workloads"`
	Variants  []string `json:"variants"`
	Runs      int      `json:"runs"`
	Rows      []Row    `json:"rows"`
	records   []Record
}

// ErrNoBase says that the variant to compare with is not there.
var ErrNoBase = errors.New("no runs of the variant to compare with")

// Summarize compares all variants with a base; "" is the first by name.
func Summarize(records []Record, base string) (*Summary, error) {
	s := &Summary{Base: base, Runs: len(records), records: records}
	values := map[string]map[uint64]*model.Result{}
	for _, r := range records {
		if !slices.Contains(s.Workloads, r.Workload) {
			s.Workloads = append(s.Workloads, r.Workload)
		}
		if !slices.Contains(s.Variants, r.Variant) {
			s.Variants = append(s.Variants, r.Variant)
		}
		k := r.Workload + "/" + r.Variant
		if values[k] == nil {
			values[k] = map[uint64]*model.Result{}
		}
		values[k][r.Seed] = r.Result
	}
	slices.Sort(s.Workloads)
	slices.Sort(s.Variants)
	if s.Base == "" && len(s.Variants) > 0 {
		if s.Base = s.Variants[0]; slices.Contains(s.Variants, "base") {
			s.Base = "base"
		}
	}
	if !slices.Contains(s.Variants, s.Base) {
		return nil, fmt.Errorf("%w: %q", ErrNoBase, s.Base)
	}
	for _, w := range s.Workloads {
		for _, v := range s.Variants {
			if v == s.Base {
				continue
			}
			a, b := values[w+"/"+s.Base], values[w+"/"+v]
			for _, f := range Metrics {
				var x, y []float64
				for _, seed := range slices.Sorted(maps.Keys(a)) {
					if b[seed] != nil {
						x, y = append(x, f.value(a[seed])), append(y, f.value(b[seed]))
					}
				}
				s.Rows = append(s.Rows, Row{w, v, f.Name, Compare(x, y, f.HigherIsBetter, 1)})
			}
		}
	}
	return s, nil
}

// Gate tells the rows by a figure in which a variant is, or may be, worse than the
// base by more than a bound.
func (s *Summary) Gate(figure string, bound float64) (bad []Row, err error) {
	i := slices.IndexFunc(Metrics, func(f Metric) bool { return f.Name == figure })
	if i < 0 {
		return nil, fmt.Errorf("no figure %q", figure)
	}
	seen := false
	for _, r := range s.Rows {
		if r.Figure != figure {
			continue
		}
		seen = true
		low, high := r.Difference.Interval[0], r.Difference.Interval[1]
		if r.Difference.Pairs < minPairs || Metrics[i].HigherIsBetter && low < -bound || !Metrics[i].HigherIsBetter && high > bound {
			bad = append(bad, r)
		}
	}
	if !seen {
		return nil, errors.New("nothing to compare: there is one variant")
	}
	return bad, nil
}

// WriteJSON writes the summary.
func (s *Summary) WriteJSON(w io.Writer) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return e.Encode(s)
}

// WriteCSV writes a line a run with all figures.
func (s *Summary) WriteCSV(w io.Writer) error {
	c := csv.NewWriter(w)
	head := []string{"variant", "workload", "seed", "sent", "served"}
	for _, f := range Metrics {
		head = append(head, f.Name)
	}
	if err := c.Write(head); err != nil {
		return err
	}
	for _, r := range s.records {
		line := []string{r.Variant, r.Workload, strconv.FormatUint(r.Seed, 10), strconv.FormatInt(r.Result.All.Sent, 10), strconv.FormatInt(r.Result.All.Ends["served"], 10)}
		for _, f := range Metrics {
			line = append(line, strconv.FormatFloat(f.value(r.Result), 'g', 8, 64))
		}
		if err := c.Write(line); err != nil {
			return err
		}
	}
	c.Flush()
	return c.Error()
}

//go:embed page.html
var page string

// WriteHTML writes a page that stands by itself.
func (s *Summary) WriteHTML(w io.Writer) error {
	t, err := template.New("page").Funcs(template.FuncMap{
		"num":   func(v float64) string { return strconv.FormatFloat(v, 'g', 5, 64) },
		"chart": func(workload string) (template.HTML, error) { return s.chart(workload) },
		"rows": func(workload, variant string) (out []Row) {
			for _, r := range s.Rows {
				if r.Workload == workload && r.Variant == variant {
					out = append(out, r)
				}
			}
			return out
		},
	}).Parse(page)
	if err != nil {
		return err
	}
	return t.Execute(w, s)
}

// chart is the worth answered in time over the time of a run, by variant, as the
// mean over seeds.
func (s *Summary) chart(workload string) (template.HTML, error) {
	g := chart.Chart{Width: 820, Height: 280, Background: chart.Style{Padding: chart.Box{Top: 30, Left: 10, Right: 10, Bottom: 10}},
		XAxis: chart.XAxis{Name: "seconds"}, YAxis: chart.YAxis{Name: "worth in time", Range: &chart.ContinuousRange{Min: 0, Max: 1.02}}}
	for i, v := range s.Variants {
		sum, n := map[float64]float64{}, map[float64]float64{}
		for _, r := range s.records {
			if r.Variant != v || r.Workload != workload {
				continue
			}
			for _, w := range r.Result.Windows {
				if w.WeightOffered > 0 {
					sum[w.At] += w.WeightServed / w.WeightOffered
					n[w.At]++
				}
			}
		}
		line := chart.ContinuousSeries{Name: template.HTMLEscapeString(v), Style: chart.Style{StrokeColor: chart.GetDefaultColor(i), StrokeWidth: 2}}
		for _, at := range slices.SortedFunc(maps.Keys(sum), cmp.Compare) {
			line.XValues, line.YValues = append(line.XValues, at), append(line.YValues, sum[at]/n[at])
		}
		if len(line.XValues) > 1 {
			g.Series = append(g.Series, line)
		}
	}
	if len(g.Series) == 0 {
		return "", nil
	}
	g.Elements = []chart.Renderable{chart.LegendThin(&g)}
	var b bytes.Buffer
	if err := g.Render(chart.SVG, &b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil // names are escaped; the rest is numbers
}
