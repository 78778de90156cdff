package cli

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"text/tabwriter"

	"golang.org/x/sync/errgroup"

	"archknot/internal/experiment"
	"archknot/internal/faulttest"
)

type drillCmd struct {
	Scale     drillScaleCmd `cmd:"" help:"Measure what grows with a fleet: hollow replicas and gateways, and some real ones beside them."`
	ScaleRole scaleRoleCmd  `cmd:"" hidden:"" help:"A process of a scale run."`
	Soak      drillSoakCmd  `cmd:"" help:"Have gateways as processes serve an emulated fleet while faults drawn by a seed happen to all of them, and judge the rules."`
	Run       drillRunCmd   `cmd:"" help:"Start many gateways as processes before an emulated fleet, strike them as a plan says, and check the rules."`
}

type drillRunCmd struct {
	Plan     string `arg:"" help:"The plan: see deploy/take-over.plan."`
	Program  string `placeholder:"FILE" help:"Another build that is started in the place of this one."`
	Variant  string `help:"Which of the plan's, if not the first."`
	Workload string `help:"Which, if not the first."`
	JSON     bool   `name:"json" help:"Print JSON, a line for each drill and one for all."`
	seedFlags
}

// seedFlags say which seeds a drill is carried out with.
type seedFlags struct {
	Seed  uint64 `default:"1" help:"The first seed: the same one draws the same."`
	Seeds int    `default:"1" help:"How many drills, each with the next seed."`
	Jobs  int    `default:"1" help:"Drills at once."`
	Logs  string `placeholder:"DIR" help:"Where configurations and logs are left; without it they are removed."`
}

// each carries a drill out with each seed, so many at once, until one cannot be or the user ends it.
func (f *seedFlags) each(do func(ctx context.Context, seed uint64, o faulttest.Options) error) error {
	if f.Seeds < 1 || f.Jobs < 1 {
		return errors.New("--seeds, --jobs: expected 1 or more")
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(f.Jobs)
	for i := range f.Seeds {
		group.Go(func() error {
			seed := f.Seed + uint64(i)
			o := faulttest.Options{}
			if f.Logs != "" {
				o.Dir = filepath.Join(f.Logs, fmt.Sprint(seed))
			}
			if err := do(ctx, seed, o); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			return nil
		})
	}
	return group.Wait()
}

func (drillRunCmd) Help() string {
	return "Everything is on loopback addresses; each process is ended by its id. The rules: at most so many attempts over all gateways, never two at once\n" +
		"unless second copies are on, nothing twice that must run once, nothing after the deadline, drains kept, one answer each, no process that ends by itself.\n" +
		"Exit code 1: a rule was broken.\n\nExample:\n  archknot drill run deploy/take-over.plan --seeds 10 --jobs 3"
}

// runSummary is what several drills come to.
type runSummary struct {
	Drills          int                 `json:"drills"`
	Sent            int                 `json:"sent"`
	Interrupted     int                 `json:"caught"`
	Recovered       int                 `json:"saved"`
	Violations      int                 `json:"breaks"`
	Crashes         int                 `json:"crashes"`
	WeightServed    experiment.Interval `json:"worth_served"` // share of what was asked for
	WeightLost      experiment.Interval `json:"worth_lost_10s"`
	FirstTokenMs    experiment.Interval `json:"first_p50_ms"`
	CPUMsPerRequest experiment.Interval `json:"cpu_ms_request"`
	MemoryMB        float64             `json:"memory_mb"`
	OpenFiles       int                 `json:"files"`
}

func (c *drillRunCmd) Run(s *streams) error {
	p, v, w, err := loadPlan(c.Plan, c.Variant, c.Workload)
	if err != nil {
		return err
	}
	bar := countBar(s, c.Seeds)
	var mu sync.Mutex
	var all []*faulttest.Result
	err = c.each(func(ctx context.Context, seed uint64, o faulttest.Options) error {
		spec, err := p.Spec(v, w, seed)
		if err != nil {
			return err
		}
		o.Program = cmp.Or(c.Program, v.Program)
		r, err := faulttest.Run(ctx, spec, o)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		if bar != nil {
			_ = bar.Add(1)
		}
		all = append(all, r)
		return c.printResult(s, r)
	})
	if err != nil {
		return err
	}
	sum := c.summarize(all)
	if c.JSON {
		if err := json.NewEncoder(s.out).Encode(sum); err != nil {
			return err
		}
	} else {
		t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		fmt.Fprintf(t, "drills\t%d\nrequests\t%d\nin hand at a lost gateway\t%d\n  of them whole and in time\t%d (%.2f%%)\n", sum.Drills, sum.Sent, sum.Interrupted, sum.Recovered, 100*float64(sum.Recovered)/max(1, float64(sum.Interrupted)))
		fmt.Fprintf(t, "worth served\t%s\nworth lost in 10 s\t%s\nfirst token, median ms\t%s\ncpu a request, ms\t%s\n", sum.WeightServed, sum.WeightLost, sum.FirstTokenMs, sum.CPUMsPerRequest)
		fmt.Fprintf(t, "most memory, MB\t%.1f\nmost descriptors\t%d\nrules broken\t%d\nprocesses that ended\t%d\n", sum.MemoryMB, sum.OpenFiles, sum.Violations, sum.Crashes)
		if err := t.Flush(); err != nil {
			return err
		}
	}
	if sum.Violations+sum.Crashes > 0 {
		return errNo
	}
	return nil
}

// printResult prints one drill as it ends.
func (c *drillRunCmd) printResult(s *streams, r *faulttest.Result) error {
	if c.JSON {
		return json.NewEncoder(s.out).Encode(r)
	}
	ends := make([]string, 0, len(r.Outcomes))
	for _, k := range []string{"served", "broken", "refused", "failed", "late", "contract"} {
		if n := r.Outcomes[k]; n > 0 {
			ends = append(ends, fmt.Sprintf("%s=%d", k, n))
		}
	}
	fmt.Fprintf(s.out, "seed=%d sent=%d %s worth=%.4f caught=%d saved=%d lost_10s=%.1f p50_ms=%.1f breaks=%d crashes=%d\n", r.Seed, r.Sent, strings.Join(ends, " "),
		r.WeightServed/max(1e-9, r.WeightOffered), r.Interrupted, r.Recovered, r.WeightLost, r.FirstTokenMs["p50"], len(r.Violations), len(r.Crashes))
	printViolations(s.out, r)
	return nil
}

// printViolations prints the rules that a drill saw broken and the processes that ended.
func printViolations(out io.Writer, r *faulttest.Result) {
	for _, b := range r.Violations {
		fmt.Fprintf(out, "  rule=%s request=%s %s\n", b.Rule, b.RequestID, b.Details)
	}
	for _, text := range r.Crashes {
		fmt.Fprintf(out, "  %s\n", strings.ReplaceAll(text, "\n", "\n    "))
	}
}

func (c *drillRunCmd) summarize(all []*faulttest.Result) (out runSummary) {
	var served, lost, first, cpu []float64
	for _, r := range all {
		out.Drills++
		out.Sent, out.Interrupted, out.Recovered = out.Sent+r.Sent, out.Interrupted+r.Interrupted, out.Recovered+r.Recovered
		out.Violations, out.Crashes = out.Violations+len(r.Violations), out.Crashes+len(r.Crashes)
		out.MemoryMB, out.OpenFiles = max(out.MemoryMB, r.MemoryMB), max(out.OpenFiles, r.OpenFiles)
		served, lost = append(served, r.WeightServed/max(1e-9, r.WeightOffered)), append(lost, r.WeightLost)
		first, cpu = append(first, r.FirstTokenMs["p50"]), append(cpu, r.CPUMsPerRequest)
	}
	out.WeightServed, out.WeightLost = experiment.MeanInterval(served), experiment.MeanInterval(lost)
	out.FirstTokenMs, out.CPUMsPerRequest = experiment.MeanInterval(first), experiment.MeanInterval(cpu)
	return out
}
