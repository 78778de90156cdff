package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"maps"
	"os"
	"os/signal"
	"slices"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/wcharczuk/go-chart/v2"
	"golang.org/x/term"

	"archknot/internal/experiment"
	"archknot/internal/faulttest"
	"archknot/internal/fleet/model"
	"archknot/internal/siteforecast"
)

type siteCmd struct {
	Plan  sitePlanCmd  `cmd:"" help:"Forecast the effect of the loss of a site, from a plan's fleet and traffic."`
	Drill siteDrillCmd `cmd:"" help:"Simulate the loss of a site of a plan's fleet with gateway processes, and compare the outcome with the forecast."`
}

// lossFlags are the flags that the plan and drill commands share.
type lossFlags struct {
	File     string        `arg:"" name:"plan" help:"The plan: see deploy/site-loss.plan."`
	Lose     string        `required:"" placeholder:"SITE" help:"The site: a zone of the plan's replicas."`
	At       time.Duration `default:"4s" help:"Time of the loss, from the start of the run."`
	For      time.Duration `default:"5s" help:"How long the site is lost."`
	Told     time.Duration `default:"6s" help:"How long discovery goes on listing its replicas as ready, at most until the site returns."`
	Watch    time.Duration `default:"15s" help:"Requests that arrive within this time after the loss are counted."`
	Variant  string        `help:"The variant of the plan; by default the first."`
	Workload string        `help:"The workload; by default the first."`
	Seed     uint64        `default:"1" help:"The first seed."`
	Played   int           `default:"10" help:"Simulated runs with the loss, and as many without, each with the next seed."`
	JSON     bool          `name:"json" help:"Print JSON."`
}

func (c *lossFlags) loss() (l siteforecast.Loss, err error) {
	if c.At < time.Second || c.For <= 0 || c.Watch < time.Second || c.Told < 0 || c.At+c.Watch > time.Hour || c.Played < 2 || c.Played > 1000 {
		return l, errors.New("--at, --watch: expected 1s or more, an hour at most in all; --for: above 0; --played: 2 to 1000")
	}
	return siteforecast.Loss{Site: c.Lose, At: c.At.Microseconds(), Duration: c.For.Microseconds(), NoticedAfter: c.Told.Microseconds(), Observed: c.Watch.Microseconds()}, nil
}

// forecast runs the forecast. It also returns the function that makes the plan's run for a seed.
func (c *lossFlags) forecast(ctx context.Context, s *streams) (*siteforecast.Forecast, siteforecast.SpecFunc, error) {
	l, err := c.loss()
	if err != nil {
		return nil, nil, err
	}
	p, v, w, err := loadPlan(c.File, c.Variant, c.Workload)
	if err != nil {
		return nil, nil, err
	}
	spec := func(seed uint64) (*model.Spec, error) { return p.Spec(v, w, seed) }
	o := siteforecast.Options{Seeds: c.Played, FirstSeed: c.Seed}
	if bar := countBar(s, 2*c.Played); bar != nil {
		o.OnRunDone = func() { _ = bar.Add(1) }
	}
	f, err := siteforecast.Run(ctx, spec, l, o)
	return f, spec, err
}

// countBar returns a progress bar of n steps, or nil if standard error is not a terminal.
func countBar(s *streams, n int) *progressbar.ProgressBar {
	if f, ok := s.err.(*os.File); ok && term.IsTerminal(int(f.Fd())) {
		return progressbar.NewOptions(n, progressbar.OptionSetWriter(f), progressbar.OptionShowCount(), progressbar.OptionClearOnFinish())
	}
	return nil
}

type sitePlanCmd struct {
	lossFlags
	Chart string `placeholder:"FILE" help:"Write a chart of the seconds after the loss to this file, as SVG."`
}

func (sitePlanCmd) Help() string {
	return "The model runs the code that serves. The forecast has: the load of each site before and after; the classes in the order in which they are shed,\n" +
		"the lowest priority weight for a second of a replica's time first; the share of each that is served; the time of the recovery; the replicas\n" +
		"elsewhere that would serve everything. Ranges are 95% prediction intervals of one run.\n\n" +
		"Example:\n  archknot site plan deploy/site-loss.plan --lose south --chart loss.svg"
}

func (c *sitePlanCmd) Run(s *streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	f, _, err := c.forecast(ctx, s)
	if err != nil {
		return err
	}
	if c.Chart != "" {
		if err := writeChart(c.Chart, f); err != nil {
			return err
		}
	}
	if c.JSON {
		return json.NewEncoder(s.out).Encode(f)
	}
	return printForecast(s.out, f)
}

// printForecast prints a forecast as tables.
func printForecast(out io.Writer, f *siteforecast.Forecast) error {
	t := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "site\treplicas\tload before\tload after\n")
	for _, x := range f.Sites {
		after := "lost"
		if x.Name != f.Lost.Site {
			after = fmt.Sprintf("%.2f", x.LoadAfterLoss)
		}
		fmt.Fprintf(t, "%s\t%d\t%.2f\t%s\n", x.Name, x.Replicas, x.Load, after)
	}
	fmt.Fprintf(t, "\nshed first to last\trequests/s\twork ms\tweight/s of work\tserved, no loss\tserved, loss\tshed\tlate\n")
	for _, x := range f.Classes {
		fmt.Fprintf(t, "%s\t%.1f\t%.0f\t%.1f\t%.3f\t%s\t%s\t%.3f\n", x.Name, x.RequestsPerSecond, x.WorkMs, x.WeightPerWork, x.Baseline, x.Served, x.Shed, x.Late)
	}
	back, spare := fmt.Sprintf("%.0f s", f.RecoverySeconds), fmt.Sprintf("%.2f times", f.SpareFactor)
	if f.RecoverySeconds < 0 {
		back = "longer than was observed"
	}
	switch f.SpareFactor {
	case 0:
		spare = "over 3 times"
	case 1:
		spare = "none: the present ones serve everything"
	}
	fmt.Fprintf(t, "\nweight served with the loss\t%s\nwithout\t%s\nupper bound of a fluid model\t%.3f\nrecovered, after the return\t%s\nreplicas elsewhere that would serve everything\t%s\n", f.Served, f.Baseline, f.FluidBound, back, spare)
	return t.Flush()
}

// writeChart writes a chart of the seconds that follow the loss.
func writeChart(path string, f *siteforecast.Forecast) error {
	graph := chart.Chart{
		Width:      820,
		Height:     300,
		Background: chart.Style{Padding: chart.Box{Top: 30, Left: 10, Right: 10, Bottom: 10}},
		XAxis:      chart.XAxis{Name: "seconds from the loss"},
		YAxis:      chart.YAxis{Name: "weight served", Range: &chart.ContinuousRange{Min: 0, Max: 1.02}},
	}
	withLoss, baseline := chart.ContinuousSeries{Name: "with the loss"}, chart.ContinuousSeries{Name: "without"}
	for _, second := range f.Seconds {
		withLoss.XValues, withLoss.YValues = append(withLoss.XValues, second.At), append(withLoss.YValues, second.WithLoss.Mean)
		baseline.XValues, baseline.YValues = append(baseline.XValues, second.At), append(baseline.YValues, second.Baseline.Mean)
	}
	returnAt := float64(f.Lost.Duration) / 1e6
	siteReturn := chart.ContinuousSeries{Name: "return", XValues: []float64{returnAt, returnAt}, YValues: []float64{0, 1}}
	for i, series := range []chart.ContinuousSeries{withLoss, baseline, siteReturn} {
		series.Style = chart.Style{StrokeColor: chart.GetDefaultColor(i), StrokeWidth: 2}
		graph.Series = append(graph.Series, series)
	}
	graph.Elements = []chart.Renderable{chart.LegendThin(&graph)}
	return replaceFile(path, func(w io.Writer) error { return graph.Render(chart.SVG, w) })
}

type siteDrillCmd struct {
	lossFlags
	Program string `placeholder:"FILE" help:"The program of another build to start in place of this one."`
	Seeds   int    `default:"1" help:"Number of drills, each with the next seed."`
	Logs    string `placeholder:"DIR" help:"Directory in which configurations and logs stay; by default they are removed."`
}

func (siteDrillCmd) Help() string {
	return "Gateways are processes, replicas are emulated; the site's replicas stop answering and come back warming up, its gateways are killed and restarted.\n" +
		"Exit code 1: a rule was broken, a process ended unexpectedly, or more than a fifth of the drills lie outside the forecast.\n\n" +
		"Example:\n  archknot site drill deploy/site-loss.plan --lose south --seeds 3"
}

// siteDrillResult is the result of one drill, compared with the forecast.
type siteDrillResult struct {
	Seed     uint64              `json:"seed"`
	Served   float64             `json:"worth_served"`
	Within   bool                `json:"within"`
	Classes  map[string]float64  `json:"classes"`              // fraction of the offered weight that was served
	ToLost   float64             `json:"to_lost_after_1500ms"` // fraction of attempts that went to the lost site, from 1.5 s after the loss until its end
	Breaks   int                 `json:"breaks"`
	Crashes  int                 `json:"crashes"`
	Forecast *siteforecast.Range `json:"forecast,omitempty"`
}

// maxSiteDrills is the maximum number of drills in one command.
const maxSiteDrills = 10_000

func (c *siteDrillCmd) Run(s *streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Seeds < 1 || c.Seeds > maxSiteDrills {
		return errors.New("--seeds: expected 1 to 10000")
	}
	f, spec, err := c.forecast(ctx, s)
	if err != nil {
		return err
	}
	if !c.JSON {
		if err := printForecast(s.out, f); err != nil {
			return err
		}
	}
	outside, broken := 0, 0
	var served, toLost []float64
	for i := range c.Seeds {
		result, drill, err := c.drill(ctx, f, spec, c.Seed+uint64(i))
		if err != nil {
			return err
		}
		served, toLost = append(served, result.Served), append(toLost, result.ToLost)
		if !result.Within {
			outside++
		}
		broken += result.Breaks + result.Crashes
		if err := c.printResult(s.out, result, drill); err != nil {
			return err
		}
	}
	if !c.JSON {
		fmt.Fprintf(s.out, "weight served %s; forecast %s; %d of %d within; share of attempts sent to the lost site after 1.5 s: %s\n",
			experiment.MeanInterval(served), f.Served, c.Seeds-outside, c.Seeds, experiment.MeanInterval(toLost))
	}
	if broken > 0 || 5*outside > c.Seeds {
		return errNegative
	}
	return nil
}

// drill simulates the loss of the site with gateway processes and compares the outcome with the forecast.
func (c *siteDrillCmd) drill(ctx context.Context, f *siteforecast.Forecast, spec siteforecast.SpecFunc, seed uint64) (*siteDrillResult, *faulttest.Result, error) {
	run, err := spec(seed)
	if err != nil {
		return nil, nil, err
	}
	if run, err = f.Lost.Spec(run); err != nil {
		return nil, nil, err
	}
	options := faulttest.Options{Program: c.Program}
	if c.Logs != "" {
		options.Dir = fmt.Sprintf("%s/%d", c.Logs, run.Seed)
	}
	drill, err := faulttest.Run(ctx, run, options)
	if err != nil {
		return nil, nil, fmt.Errorf("seed %d: %w", run.Seed, err)
	}
	result := &siteDrillResult{
		Seed:     run.Seed,
		Served:   drill.WeightServed / max(minWeight, drill.WeightOffered),
		Classes:  map[string]float64{},
		ToLost:   drill.ToVanishedFraction,
		Breaks:   len(drill.Violations),
		Crashes:  len(drill.Crashes),
		Forecast: &f.Served,
	}
	result.Within = f.Served.Within(result.Served)
	for name, class := range drill.Classes {
		result.Classes[name] = class.WeightServed / max(minWeight, class.WeightOffered)
	}
	return result, drill, nil
}

// printResult prints the outcome of a drill on one line, followed by its violations.
func (c *siteDrillCmd) printResult(w io.Writer, result *siteDrillResult, drill *faulttest.Result) error {
	if c.JSON {
		return json.NewEncoder(w).Encode(result)
	}
	fmt.Fprintf(w, "seed=%d worth=%.3f within=%v to_lost=%.4f breaks=%d crashes=%d", result.Seed, result.Served, result.Within, result.ToLost, result.Breaks, result.Crashes)
	for _, name := range slices.Sorted(maps.Keys(result.Classes)) {
		fmt.Fprintf(w, " %s=%.3f", name, result.Classes[name])
	}
	fmt.Fprintln(w)
	printViolations(w, drill)
	return nil
}
