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

// pageTemplate is the page. It reads the fields of runView and of the types in
// package contractsim by name.
//
//go:embed page.html
var pageTemplate string

// maxCharts bounds the teams with a chart, those with the most requests first. The
// table has all teams.
const maxCharts = 24

// runView is one simulated recording.
type runView struct {
	*contractsim.Result
	Charts  []teamChart
	Omitted int // teams without a chart
	Seconds float64
}

// teamChart is the chart of one team.
type teamChart struct {
	Team string
	SVG  template.HTML
}

// templateFuncs are the functions that the page calls.
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

// Write writes the page of some simulations.
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

// newRunView draws the charts of a simulation.
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

// Sizes of a chart, in pixels, and of its axis.
const (
	chartWidth    = 760
	chartHeight   = 240
	chartPadding  = 10
	legendHeight  = 30
	chartHeadroom = 1.05 // of the highest value
	fillAlpha     = 160
)

// renderChart draws a team's traffic over time: at full weight, on top of it beyond
// the rate, and on top of both what was rejected.
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
		// The highest first: each lower one is drawn over it.
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
	return template.HTML(svg.String()), nil // it has numbers, times and the names above only
}

// series is one area of a chart.
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
