package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"
	"text/tabwriter"

	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"archknot/internal/config"
	"archknot/internal/experiment"
	"archknot/internal/fleet/model"
)

type experimentCmd struct {
	Run    runExperimentCmd    `cmd:"" help:"Run a plan: each variant with each workload and seed, on the fleet model."`
	Report reportExperimentCmd `cmd:"" help:"Report how the variants differ."`
	Gate   gateCmd             `cmd:"" help:"Fail if a variant is, or may be, worse than the base by more than a bound."`
	One    oneCmd              `cmd:"" help:"Run one variant once, and print its result."`
}

type runExperimentCmd struct {
	Plan string `arg:"" help:"The plan."`
	Out  string `required:"" placeholder:"DIR" help:"Directory of the results. Runs whose results are there are not repeated."`
	Jobs int    `help:"Number of runs at the same time; 0: the number of cores."`
	JSON bool   `name:"json" help:"Print JSON."`
}

func (runExperimentCmd) Help() string {
	return "After SIGINT or a kill, the same command continues where it stopped.\n\nExample:\n  archknot experiment run deploy/no-hedging.plan --out results"
}

func (c *runExperimentCmd) Run(s *streams) error {
	p, err := config.LoadPlan(c.Plan)
	if err != nil {
		return err
	}
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return err
	}
	store, setAside, err := experiment.OpenStore(c.Out, text)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Out, err)
	}
	defer store.Close()
	if setAside != "" {
		fmt.Fprintf(s.err, "archknot: the results were damaged and are set aside: %s\n", setAside)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := experiment.RunPlan(ctx, p, store, experiment.Options{Jobs: c.Jobs, Progress: s.runsProgress()}); err != nil {
		return err
	}
	records, err := store.Records()
	if err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(map[string]int{"runs": len(records)})
	}
	fmt.Fprintf(s.out, "runs=%d dir=%s\n", len(records), c.Out)
	return nil
}

// runsProgress returns a function that shows the number of finished runs on a terminal. It returns nil if standard
// error is not a terminal.
func (s *streams) runsProgress() func(done, all int) {
	f, ok := s.err.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) {
		return nil
	}
	var bar *progressbar.ProgressBar
	return func(done, all int) {
		if bar == nil {
			bar = progressbar.NewOptions(all, progressbar.OptionSetWriter(f), progressbar.OptionSetDescription("runs"), progressbar.OptionShowCount(),
				progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
		}
		_ = bar.Set(done)
	}
}

// loadSummary summarizes the experiment results in a directory.
func loadSummary(dir, base string) (*experiment.Summary, error) {
	if _, err := os.Stat(filepath.Join(dir, experiment.FileName)); err != nil {
		return nil, err
	}
	store, _, err := experiment.OpenStore(dir, nil)
	if err != nil {
		return nil, fmt.Errorf("%s: %w", dir, err)
	}
	defer store.Close()
	records, err := store.Records()
	if err != nil {
		return nil, err
	}
	return experiment.Summarize(records, base)
}

type reportExperimentCmd struct {
	Dir  string `arg:"" help:"The directory of the results."`
	Base string `help:"The variant to compare with; by default the one named base, or else the first."`
	HTML string `name:"html" placeholder:"FILE" help:"Write a page with charts."`
	CSV  string `name:"csv" placeholder:"FILE" help:"Write one line for each run."`
	JSON bool   `name:"json" help:"Print JSON."`
}

func (reportExperimentCmd) Help() string {
	return "Example:\n  archknot experiment report results --html results.html --csv results.csv"
}

func (c *reportExperimentCmd) Run(s *streams) error {
	sum, err := loadSummary(c.Dir, c.Base)
	if err != nil {
		return err
	}
	for _, f := range []struct {
		path  string
		write func(io.Writer) error
	}{{c.HTML, sum.WriteHTML}, {c.CSV, sum.WriteCSV}} {
		if f.path == "" {
			continue
		}
		if err := writeFileAtomically(f.path, f.write); err != nil {
			return err
		}
	}
	if c.JSON {
		return sum.WriteJSON(s.out)
	}
	w := tabwriter.NewWriter(s.out, 0, 4, 2, ' ', 0)
	fmt.Fprintf(w, "workload\tvariant\tmetric\t%s\tvariant's\tverdict\n", sum.Base)
	for _, r := range sum.Rows {
		d := r.Difference
		fmt.Fprintf(w, "%s\t%s\t%s\t%.5g\t%.5g\t%s\n", r.Workload, r.Variant, r.Metric, d.Base, d.Variant, d.Describe())
	}
	return w.Flush()
}

type gateCmd struct {
	Dir    string  `arg:"" help:"The directory of the results."`
	Base   string  `help:"The variant to compare with; by default the one named base, or else the first."`
	Figure string  `default:"worth_in_time" help:"The metric that must not be worse."`
	Bound  float64 `default:"0.01" help:"How much worse the metric may be, in its own unit."`
	JSON   bool    `name:"json" help:"Print JSON."`
}

func (gateCmd) Help() string {
	return "A variant passes if its 95% interval stays within the bound. Exit code 1: a variant does not pass.\n\nExample:\n  archknot experiment gate results --figure first_p95_ms --bound 50"
}

func (c *gateCmd) Run(s *streams) error {
	sum, err := loadSummary(c.Dir, c.Base)
	if err != nil {
		return err
	}
	failed, err := sum.Gate(c.Figure, c.Bound)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := s.printJSON(map[string]any{"good": len(failed) == 0, "bad": failed}); err != nil {
			return err
		}
	} else {
		for _, r := range failed {
			fmt.Fprintf(s.out, "%s on %s: %s: may be worse by more than %g: %s\n", r.Variant, r.Workload, r.Metric, c.Bound, r.Difference.Describe())
		}
	}
	if len(failed) > 0 {
		return errNegative
	}
	if !c.JSON {
		fmt.Fprintln(s.out, "good")
	}
	return nil
}

type oneCmd struct {
	Plan     string `arg:"" help:"The plan."`
	Variant  string `help:"The variant; by default the first."`
	Workload string `help:"The workload; by default the first."`
	Seed     uint64 `default:"1" help:"The seed of all random draws."`
	Capture  string `placeholder:"DIR" help:"Record each gateway in a subdirectory of this one, for replay and explain."`
}

func (oneCmd) Help() string {
	return "Prints the result as JSON; the same plan and seed give the same bytes.\n\nExample:\n  archknot experiment one deploy/no-hedging.plan --seed 3 --capture /tmp/run"
}

func (c *oneCmd) Run(s *streams) error {
	p, v, w, err := loadPlan(c.Plan, c.Variant, c.Workload)
	if err != nil {
		return err
	}
	spec, err := p.Spec(v, w, c.Seed)
	if err != nil {
		return err
	}
	spec.Capture = c.Capture
	res, err := model.Run(spec)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "%s\n", res.JSON())
	return err
}

// loadPlan reads a plan and returns it with the named variant and workload.
func loadPlan(file, variantName, workloadName string) (plan *config.Plan, variant, workload config.Variant, err error) {
	if plan, err = config.LoadPlan(file); err != nil {
		return nil, variant, workload, err
	}
	if variant, err = pickVariant(plan.Variants, variantName); err != nil {
		return nil, variant, workload, err
	}
	if workload, err = pickVariant(plan.Workloads, workloadName); err != nil {
		return nil, variant, workload, err
	}
	return plan, variant, workload, nil
}

// pickVariant returns the named variant or workload; for an empty name, the first one.
func pickVariant(list []config.Variant, name string) (config.Variant, error) {
	if name == "" {
		return list[0], nil
	}
	var names []string
	for _, v := range list {
		if v.Name == name {
			return v, nil
		}
		names = append(names, v.Name)
	}
	return config.Variant{}, fmt.Errorf("%q: not in the plan; there are %s", name, strings.Join(names, ", "))
}
