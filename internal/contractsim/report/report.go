// Package report writes what contracts did, or would have done, as an HTML page
// that stands by itself.
package report

import (
	"bytes"
	_ "embed"
	"fmt"
	"html/template"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/wcharczuk/go-chart/v2"

	"archknot/internal/contractsim"
)

//go:embed page.html
var pageTemplate string

// maxCharts bounds the teams that are drawn, those that asked for the most first;
// the table has all.
const maxCharts = 24

type runView struct {
	*contractsim.Result
	Charts  []teamChart
	Left    int // teams that are not drawn
	Seconds float64
}

type teamChart struct {
	Team string
	SVG  template.HTML
}

var templateFuncs = template.FuncMap{
	"tokens":  func(v float64) string { return humanize.Comma(int64(v)) },
	"count":   humanize.Comma,
	"percent": func(v float64) string { return fmt.Sprintf("%.1f%%", 100*v) },
	"at":      func(t time.Time) string { return t.UTC().Format("2006-01-02 15:04:05 MST") },
	"name": func(team string) string {
		if team == "" {
			return "(no contract)"
		}
		return team
	},
	"reasons": func(m map[string]int64) string {
		var out []string
		for _, k := range slices.Sorted(maps.Keys(m)) {
			out = append(out, fmt.Sprintf("%s %s", humanize.Comma(m[k]), strings.ReplaceAll(k, "_", " ")))
		}
		return strings.Join(out, ", ")
	},
}

// Write writes the page of some trials.
func Write(w io.Writer, results []*contractsim.Result) error {
	t, err := template.New("page").Funcs(templateFuncs).Parse(pageTemplate)
	if err != nil {
		return err
	}
	var list []runView
	for _, r := range results {
		d := runView{Result: r, Seconds: r.To.Sub(r.From).Seconds()}
		teams := slices.Clone(r.Teams)
		slices.SortStableFunc(teams, func(a, b contractsim.TeamResult) int { return int(b.Requests - a.Requests) })
		for i := range teams {
			if teams[i].Requests == 0 {
				continue
			}
			if len(d.Charts) == maxCharts {
				d.Left++
				continue
			}
			svg, err := renderChart(&teams[i])
			if err != nil {
				return fmt.Errorf("chart of %q: %w", teams[i].Team, err)
			}
			d.Charts = append(d.Charts, teamChart{teams[i].Team, svg})
		}
		list = append(list, d)
	}
	return t.Execute(w, list)
}

// renderChart is a team's traffic over the period: at full worth, and on top of it beyond
// the rate, and what was refused.
func renderChart(t *contractsim.TeamResult) (template.HTML, error) {
	series := func(name, color string, of func(*contractsim.SeriesPoint) float64) chart.TimeSeries {
		s := chart.TimeSeries{Name: name, Style: chart.Style{StrokeColor: chart.ColorBlack.WithAlpha(0), StrokeWidth: 1}}
		c := chart.GetDefaultColor(0)
		switch color {
		case "refused":
			c = chart.ColorRed
		case "over":
			c = chart.ColorOrange
		}
		s.Style.StrokeColor, s.Style.FillColor = c, c.WithAlpha(160)
		for i := range t.Series {
			s.XValues = append(s.XValues, t.Series[i].At)
			s.YValues = append(s.YValues, of(&t.Series[i]))
		}
		return s
	}
	most := 1.0
	for i := range t.Series {
		p := &t.Series[i]
		most = max(most, p.FullWeight+p.OverQuota+p.Rejected)
	}
	g := chart.Chart{Width: 760, Height: 240, Background: chart.Style{Padding: chart.Box{Top: 30, Left: 10, Right: 10, Bottom: 10}},
		XAxis: chart.XAxis{ValueFormatter: chart.TimeValueFormatterWithFormat("15:04:05")},
		YAxis: chart.YAxis{Name: "tokens/s", Range: &chart.ContinuousRange{Min: 0, Max: most * 1.05}},
		// The highest first: each lower one is drawn over it.
		Series: []chart.Series{
			series("refused", "refused", func(p *contractsim.SeriesPoint) float64 { return p.FullWeight + p.OverQuota + p.Rejected }),
			series("beyond the rate", "over", func(p *contractsim.SeriesPoint) float64 { return p.FullWeight + p.OverQuota }),
			series("at full worth", "full", func(p *contractsim.SeriesPoint) float64 { return p.FullWeight }),
		}}
	g.Elements = []chart.Renderable{chart.LegendThin(&g)}
	var b bytes.Buffer
	if err := g.Render(chart.SVG, &b); err != nil {
		return "", err
	}
	return template.HTML(b.String()), nil // numbers, times and our own words alone
}
