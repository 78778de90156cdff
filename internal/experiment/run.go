// Package experiment compares variants of a plan on the fleet model: it runs each one with each workload and
// seed in parallel, stores the results, and compares pairs of runs. An experiment that was interrupted
// continues with the runs that are missing.
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

// Options of an experiment.
type Options struct {
	Jobs     int                   // runs at once; 0: GOMAXPROCS
	Progress func(done, total int) // called at the start and after each run; may be nil
}

// plannedRun is a run that the store does not have.
type plannedRun struct {
	Run
	variant, workload config.Variant
}

// RunPlan runs what the plan has and the store has not, and stores the results. It stops at the first error
// or when the context ends; runs in progress in this process are completed and stored.
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
	var workers sync.WaitGroup
	for range min(jobs, max(1, len(missing))) {
		workers.Go(func() {
			for planned := range queue {
				r.run(ctx, planned)
			}
		})
	}
	enqueue(ctx, queue, missing)
	close(queue)
	workers.Wait()
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

// missingRuns returns the plan's runs that the store does not have, and the number of all. Pairs of runs
// come first, so that an early summary can compare variants.
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

// runner runs and stores planned runs, and keeps count.
type runner struct {
	plan     *config.Plan
	store    *Store
	progress func(done, total int)
	total    int
	stop     context.CancelFunc // ends the experiment

	mu       sync.Mutex
	done     int
	firstErr error
}

// run runs a planned run and stores its result. The first error stops the experiment.
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

// reportProgress reports the progress. The caller holds the lock once runs are in progress.
func (r *runner) reportProgress() {
	if r.progress != nil {
		r.progress(r.done, r.total)
	}
}

// runOnce runs a planned run in this process, or with the program of another build.
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

// runProgram runs a planned run with another build's program, which prints the result as JSON.
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
