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
	"archknot/internal/fleet/model"
)

// drillCmd has the commands that run gateways under faults or load.
type drillCmd struct {
	Scale     drillScaleCmd `cmd:"" help:"Measure what grows with the fleet: hollow replicas and gateways, and some real ones for comparison."`
	ScaleRole scaleRoleCmd  `cmd:"" hidden:"" help:"Run a process of a scale run."`
	Soak      drillSoakCmd  `cmd:"" help:"Run gateway processes in front of an emulated fleet under random faults drawn from a seed, and check the rules."`
	Run       drillRunCmd   `cmd:"" help:"Run gateway processes in front of an emulated fleet under the faults of a plan, and check the rules."`
}

// drillRunCmd runs the drills of a plan, one for each seed.
type drillRunCmd struct {
	Plan     string `arg:"" help:"The plan: see deploy/take-over.plan."`
	Program  string `placeholder:"FILE" help:"The program of another build to start in place of this one."`
	Variant  string `help:"The variant of the plan; by default the first."`
	Workload string `help:"The workload; by default the first."`
	JSON     bool   `name:"json" help:"Print JSON, one line for each drill and one for all."`
	seedFlags
}

// seedFlags are the flags for the seeds, the parallelism and the log directory of drills or soaks.
type seedFlags struct {
	Seed  uint64 `default:"1" help:"The first seed; the same seed gives the same random draws."`
	Seeds int    `default:"1" help:"Number of drills, each with the next seed."`
	Jobs  int    `default:"1" help:"Number of drills that run at the same time."`
	Logs  string `placeholder:"DIR" help:"Directory in which configurations and logs stay; by default they are removed."`
}

// each calls run for each seed, at most f.Jobs at once. An error, or an interrupt by the user, cancels the context of
// the other calls.
func (f *seedFlags) each(run func(ctx context.Context, seed uint64, options faulttest.Options) error) error {
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
			options := faulttest.Options{}
			if f.Logs != "" {
				options.Dir = filepath.Join(f.Logs, fmt.Sprint(seed))
			}
			if err := run(ctx, seed, options); err != nil {
				return fmt.Errorf("seed %d: %w", seed, err)
			}
			return nil
		})
	}
	return group.Wait()
}

// Help implements kong.HelpProvider.
func (drillRunCmd) Help() string {
	return "Everything is on loopback addresses; each process is ended by its ID. The rules: the limit of attempts holds over all gateways, never two at once\n" +
		"unless hedging is on, no non-idempotent request runs twice, nothing after the deadline, nothing to draining replicas, one answer each, no process\n" +
		"ends unexpectedly.\n" +
		"Exit code 1: a rule was broken.\n\nExample:\n  archknot drill run deploy/take-over.plan --seeds 10 --jobs 3"
}

// runSummary is the combined result of several drills.
type runSummary struct {
	Drills          int                 `json:"drills"`
	Sent            int                 `json:"sent"`
	Interrupted     int                 `json:"caught"`
	Recovered       int                 `json:"saved"`
	Violations      int                 `json:"breaks"`
	Crashes         int                 `json:"crashes"`
	WeightServed    experiment.Interval `json:"worth_served"` // fraction of the offered weight
	WeightLost      experiment.Interval `json:"worth_lost_10s"`
	FirstTokenMs    experiment.Interval `json:"first_p50_ms"`
	CPUMsPerRequest experiment.Interval `json:"cpu_ms_request"`
	MemoryMB        float64             `json:"memory_mb"`
	OpenFiles       int                 `json:"files"`
}

// Run carries out the drills and prints their results. It returns errNegative if a rule was violated or a
// process ended unexpectedly.
func (c *drillRunCmd) Run(s *streams) error {
	plan, variant, workload, err := loadPlan(c.Plan, c.Variant, c.Workload)
	if err != nil {
		return err
	}
	bar := countBar(s, c.Seeds)
	var mu sync.Mutex
	var results []*faulttest.Result
	err = c.each(func(ctx context.Context, seed uint64, options faulttest.Options) error {
		spec, err := plan.Spec(variant, workload, seed)
		if err != nil {
			return err
		}
		options.Program = cmp.Or(c.Program, variant.Program)
		result, err := faulttest.Run(ctx, spec, options)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		if bar != nil {
			_ = bar.Add(1) // a failure to draw the progress bar is ignored
		}
		results = append(results, result)
		return c.printResult(s, result)
	})
	if err != nil {
		return err
	}
	summary := summarize(results)
	if err := c.printSummary(s, summary); err != nil {
		return err
	}
	if summary.Violations+summary.Crashes > 0 {
		return errNegative
	}
	return nil
}

// printSummary prints the combined result of all drills.
func (c *drillRunCmd) printSummary(s *streams, sum runSummary) error {
	if c.JSON {
		return json.NewEncoder(s.out).Encode(sum)
	}
	t := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "drills\t%d\nrequests\t%d\nin flight at a lost gateway\t%d\n  of them complete and in time\t%d (%.2f%%)\n",
		sum.Drills, sum.Sent, sum.Interrupted, sum.Recovered, 100*float64(sum.Recovered)/max(1, float64(sum.Interrupted)))
	fmt.Fprintf(t, "weight served\t%s\nweight lost in 10 s\t%s\nfirst token, median ms\t%s\nCPU time of a request, ms\t%s\n",
		sum.WeightServed, sum.WeightLost, sum.FirstTokenMs, sum.CPUMsPerRequest)
	fmt.Fprintf(t, "maximum memory, MB\t%.1f\nmaximum file descriptors\t%d\nrule violations\t%d\nprocesses that ended unexpectedly\t%d\n",
		sum.MemoryMB, sum.OpenFiles, sum.Violations, sum.Crashes)
	return t.Flush()
}

// printResult prints the result of one drill.
func (c *drillRunCmd) printResult(s *streams, r *faulttest.Result) error {
	if c.JSON {
		return json.NewEncoder(s.out).Encode(r)
	}
	outcomes := make([]string, 0, len(r.Outcomes))
	order := []string{model.OutcomeServed, model.OutcomeBroken, model.OutcomeShed, model.OutcomeFailed, model.OutcomeLate, model.OutcomeContract}
	for _, outcome := range order {
		if n := r.Outcomes[outcome]; n > 0 {
			outcomes = append(outcomes, fmt.Sprintf("%s=%d", outcome, n))
		}
	}
	fmt.Fprintf(s.out, "seed=%d sent=%d %s worth=%.4f caught=%d saved=%d lost_10s=%.1f p50_ms=%.1f breaks=%d crashes=%d\n", r.Seed, r.Sent, strings.Join(outcomes, " "),
		r.WeightServed/max(minWeight, r.WeightOffered), r.Interrupted, r.Recovered, r.WeightLost, r.FirstTokenMs["p50"], len(r.Violations), len(r.Crashes))
	printViolations(s.out, r)
	return nil
}

// printViolations prints the violations of a drill or soak, and the processes that ended unexpectedly.
func printViolations(out io.Writer, r *faulttest.Result) {
	for _, violation := range r.Violations {
		fmt.Fprintf(out, "  rule=%s request=%s %s\n", violation.Rule, violation.RequestID, violation.Details)
	}
	for _, crash := range r.Crashes {
		fmt.Fprintf(out, "  %s\n", strings.ReplaceAll(crash, "\n", "\n    "))
	}
}

// minWeight is the smallest divisor of served weight: it keeps the fraction finite if no weight was offered.
const minWeight = 1e-9

// summarize combines the results of several drills.
func summarize(results []*faulttest.Result) (summary runSummary) {
	var served, lost, firstTokenMs, cpuMs []float64
	for _, r := range results {
		summary.Drills++
		summary.Sent += r.Sent
		summary.Interrupted += r.Interrupted
		summary.Recovered += r.Recovered
		summary.Violations += len(r.Violations)
		summary.Crashes += len(r.Crashes)
		summary.MemoryMB = max(summary.MemoryMB, r.MemoryMB)
		summary.OpenFiles = max(summary.OpenFiles, r.OpenFiles)
		served = append(served, r.WeightServed/max(minWeight, r.WeightOffered))
		lost = append(lost, r.WeightLost)
		firstTokenMs = append(firstTokenMs, r.FirstTokenMs["p50"])
		cpuMs = append(cpuMs, r.CPUMsPerRequest)
	}
	summary.WeightServed = experiment.MeanInterval(served)
	summary.WeightLost = experiment.MeanInterval(lost)
	summary.FirstTokenMs = experiment.MeanInterval(firstTokenMs)
	summary.CPUMsPerRequest = experiment.MeanInterval(cpuMs)
	return summary
}
