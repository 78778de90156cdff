// Package experiment compares variants of a plan on the fleet model. It runs each variant with each workload and
// seed, in parallel, stores the results, and compares pairs of runs. An interrupted experiment continues with
// the missing runs.
package experiment

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"runtime"
	"strconv"
	"sync"

	"archknot/internal/config"
	"archknot/internal/fleet/model"
)

// Options are the parameters of RunPlan besides the plan.
type Options struct {
	Jobs     int                   // concurrent runs; 0: GOMAXPROCS
	Progress func(done, total int) // called at the start and after each stored run, not concurrently; may be nil
}

// plannedRun is a run of the plan whose result is not stored.
type plannedRun struct {
	Run
	variant, workload config.Variant
}

// RunPlan executes the runs of the plan whose results are not stored, and stores their results. It stops at the
// first error or when the context ends. Runs in progress in this process are completed and stored; those of
// other programs are killed.
func RunPlan(ctx context.Context, plan *config.Plan, store *Store, options Options) error {
	missing, total, err := missingRuns(plan, store)
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	r := &runner{plan: plan, store: store, progress: options.Progress, total: total, done: total - len(missing), stop: stop}
	r.reportProgress()
	jobs := options.Jobs
	if jobs <= 0 {
		jobs = runtime.GOMAXPROCS(0)
	}
	queue := make(chan plannedRun)
	var tasks sync.WaitGroup
	for range min(jobs, max(1, len(missing))) {
		tasks.Go(func() {
			for planned := range queue {
				r.run(ctx, planned)
			}
		})
	}
	enqueue(ctx, queue, missing)
	close(queue)
	tasks.Wait()
	if r.firstErr != nil {
		return r.firstErr
	}
	return ctx.Err()
}

// enqueue sends runs to the queue until the context ends.
func enqueue(ctx context.Context, queue chan<- plannedRun, runs []plannedRun) {
	for _, planned := range runs {
		select {
		case queue <- planned:
		case <-ctx.Done():
		}
		if ctx.Err() != nil {
			return
		}
	}
}

// missingRuns returns the plan's runs whose results are not stored, and the number of all its runs. All variants
// of a workload and seed are adjacent, so that a summary of an unfinished experiment can compare variants.
func missingRuns(plan *config.Plan, store *Store) (missing []plannedRun, total int, err error) {
	for seed := uint64(1); seed <= uint64(plan.Seeds); seed++ {
		for _, workload := range plan.Workloads {
			for _, variant := range plan.Variants {
				total++
				run := Run{variant.Name, workload.Name, seed}
				found, err := store.has(run)
				if err != nil {
					return nil, 0, err
				}
				if !found {
					missing = append(missing, plannedRun{run, variant, workload})
				}
			}
		}
	}
	return missing, total, nil
}

// runner executes planned runs, stores their results and counts them.
type runner struct {
	plan     *config.Plan
	store    *Store
	progress func(done, total int)
	total    int
	stop     context.CancelFunc // stops the experiment

	mu       sync.Mutex
	done     int
	firstErr error
}

// run executes a planned run and stores its result. The first error stops the experiment.
func (r *runner) run(ctx context.Context, planned plannedRun) {
	result, err := runOnce(ctx, r.plan, planned)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		err = r.store.put(Record{planned.Run, result})
	}
	r.done++
	if err == nil {
		r.reportProgress()
		return
	}
	if r.firstErr == nil {
		r.firstErr = fmt.Errorf("%s: %w", planned.Run, err)
		r.stop()
	}
}

// reportProgress calls the progress function, if any. The caller must hold r.mu once runs are in progress.
func (r *runner) reportProgress() {
	if r.progress != nil {
		r.progress(r.done, r.total)
	}
}

// runOnce executes a planned run in this process or, if the variant names a program, with that program.
func runOnce(ctx context.Context, plan *config.Plan, planned plannedRun) (*model.Result, error) {
	if planned.variant.Program != "" {
		return runProgram(ctx, plan, planned)
	}
	spec, err := plan.Spec(planned.variant, planned.workload, planned.Seed)
	if err != nil {
		return nil, err
	}
	return model.Run(spec)
}

// runProgram executes a planned run with the variant's program, another build, which prints the result as JSON.
func runProgram(ctx context.Context, plan *config.Plan, planned plannedRun) (*model.Result, error) {
	program := planned.variant.Program
	cmd := exec.CommandContext(ctx, program, "experiment", "one", plan.File,
		"--variant", planned.Variant, "--workload", planned.Workload, "--seed", strconv.FormatUint(planned.Seed, 10))
	cmd.Stderr = os.Stderr
	out, err := cmd.Output()
	if err != nil {
		return nil, fmt.Errorf("%s: %w", program, err)
	}
	result := &model.Result{}
	return result, json.Unmarshal(out, result)
}
