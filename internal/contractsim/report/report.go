// Package report writes the results of contract simulations as an HTML page with a
// table and charts, without external resources.
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
	"github.com/wcharczuk/go-chart/v2/drawing"

	"archknot/internal/contractsim"
)

// pageTemplate is the template of the page. It refers by name to the fields of runView
// and of the types in package contractsim, so a renamed field must change there too.
//
//go:embed page.html
var pageTemplate string

// maxCharts is the maximum number of charts: the teams with the most requests have one.
// The table has all teams.
const maxCharts = 24

// runView is the template's data of one simulated recording.
type runView struct {
	*contractsim.Result
	Charts  []teamChart
	Omitted int     // teams with requests that have no chart, beyond maxCharts
	Seconds float64 // length of the simulated interval
}

type teamChart struct {
	Team string
	SVG  template.HTML
}

// templateFuncs are the functions that the template calls.
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
		var reasons []string
		for _, reason := range slices.Sorted(maps.Keys(m)) {
			reasons = append(reasons, humanize.Comma(m[reason])+" "+strings.ReplaceAll(reason, "_", " "))
		}
		return strings.Join(reasons, ", ")
	},
}

// Write writes one HTML page with the results of all given simulations, in their order.
func Write(w io.Writer, results []*contractsim.Result) error {
	page, err := template.New("page").Funcs(templateFuncs).Parse(pageTemplate)
	if err != nil {
		return err
	}
	runs := make([]runView, 0, len(results))
	for _, result := range results {
		run, err := newRunView(result)
		if err != nil {
			return err
		}
		runs = append(runs, run)
	}
	return page.Execute(w, runs)
}

// newRunView returns the template's data of a simulation, with the charts drawn.
func newRunView(result *contractsim.Result) (runView, error) {
	view := runView{Result: result, Seconds: result.To.Sub(result.From).Seconds()}
	teams := slices.Clone(result.Teams)
	slices.SortStableFunc(teams, func(a, b contractsim.TeamResult) int { return int(b.Requests - a.Requests) })
	for i := range teams {
		if teams[i].Requests == 0 {
			continue
		}
		if len(view.Charts) == maxCharts {
			view.Omitted++
			continue
		}
		svg, err := renderChart(&teams[i])
		if err != nil {
			return view, fmt.Errorf("chart of %q: %w", teams[i].Team, err)
		}
		view.Charts = append(view.Charts, teamChart{Team: teams[i].Team, SVG: svg})
	}
	return view, nil
}

// Layout of a chart.
const (
	chartWidth    = 760  // pixels
	chartHeight   = 240  // pixels
	chartPadding  = 10   // pixels
	legendHeight  = 30   // pixels
	chartHeadroom = 1.05 // maximum of the y axis, as a multiple of the highest value
	fillAlpha     = 160  // opacity of the areas, from 0 to 255
)

// renderChart returns the SVG of a team's traffic over time as three stacked areas: at full
// weight, beyond the rate, and rejected.
func renderChart(team *contractsim.TeamResult) (template.HTML, error) {
	highest := 1.0
	for i := range team.Series {
		p := &team.Series[i]
		highest = max(highest, p.FullWeight+p.OverQuota+p.Rejected)
	}
	g := chart.Chart{
		Width:  chartWidth,
		Height: chartHeight,
		Background: chart.Style{
			Padding: chart.Box{Top: legendHeight, Left: chartPadding, Right: chartPadding, Bottom: chartPadding},
		},
		XAxis: chart.XAxis{ValueFormatter: chart.TimeValueFormatterWithFormat("15:04:05")},
		YAxis: chart.YAxis{Name: "tokens/s", Range: &chart.ContinuousRange{Min: 0, Max: highest * chartHeadroom}},
		// Sums, largest first: each smaller area is drawn over the previous one.
		Series: []chart.Series{
			series(team, "rejected", chart.ColorRed, func(p *contractsim.SeriesPoint) float64 {
				return p.FullWeight + p.OverQuota + p.Rejected
			}),
			series(team, "beyond the rate", chart.ColorOrange, func(p *contractsim.SeriesPoint) float64 {
				return p.FullWeight + p.OverQuota
			}),
			series(team, "at full weight", chart.GetDefaultColor(0), func(p *contractsim.SeriesPoint) float64 {
				return p.FullWeight
			}),
		},
	}
	g.Elements = []chart.Renderable{chart.LegendThin(&g)}
	var svg bytes.Buffer
	if err := g.Render(chart.SVG, &svg); err != nil {
		return "", err
	}
	return template.HTML(svg.String()), nil // safe without escaping: contains only numbers, times and the names above
}

// series returns one area of a chart.
func series(team *contractsim.TeamResult, name string, color drawing.Color, value func(*contractsim.SeriesPoint) float64) chart.TimeSeries {
	s := chart.TimeSeries{
		Name:  name,
		Style: chart.Style{StrokeColor: color, StrokeWidth: 1, FillColor: color.WithAlpha(fillAlpha)},
	}
	for i := range team.Series {
		s.XValues = append(s.XValues, team.Series[i].At)
		s.YValues = append(s.YValues, value(&team.Series[i]))
	}
	return s
}
