package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"sync"

	"archknot/internal/faulttest"
)

// drillSoakCmd runs soaks, one for each seed.
type drillSoakCmd struct {
	Plan     string `arg:"" help:"The plan: see deploy/soak.plan."`
	Program  string `placeholder:"FILE" help:"The program of another build to start in place of this one."`
	Timeline bool   `help:"Print the timeline of every soak, not only of those that broke a rule."`
	JSON     bool   `name:"json" help:"Print JSON, one line for each soak."`
	seedFlags
}

// Help implements kong.HelpProvider.
func (drillSoakCmd) Help() string {
	return "Drawn from the seed: how many gateways the settings name (3 to 900), pushed or polled lists, what draining replicas do with new work; and faults: SIGHUP, SIGSTOP for up to 0.15 s, SIGKILL, SIGTERM with SIGKILL at the earliest, upgrades (odd seeds), operators' calls,\n" +
		"shutdowns in a series of signals with clients that use open connections until the end (seeds that leave 3 or 4 when divided by 5; a crowd of new ones where they leave 3),\n" +
		"too few file descriptors, full disks, replicas that drain in waves, are replaced in place, fail and come back warming up, discovery whose watches fall\n" +
		"silent, or that is down, crowded or slow or sends lists that cannot be read, clients that disconnect\n" +
		"or send in pieces, many idle clients (every third seed). Everything is on loopback addresses. Exit code 1: a rule was broken.\n\nExample:\n  archknot drill soak deploy/soak.plan --seeds 50 --jobs 2"
}

// Run carries out the soaks and prints their results. It returns errNegative if a rule was violated or a
// process ended unexpectedly.
func (c *drillSoakCmd) Run(s *streams) error {
	plan, variant, workload, err := loadPlan(c.Plan, "", "")
	if err != nil {
		return err
	}
	var mu sync.Mutex
	failures := 0
	err = c.each(func(ctx context.Context, seed uint64, options faulttest.Options) error {
		spec, err := plan.Spec(variant, workload, seed)
		if err != nil {
			return err
		}
		options.Program = c.Program
		result, err := faulttest.Soak(ctx, spec, options)
		if err != nil {
			return err
		}
		mu.Lock()
		defer mu.Unlock()
		failures += len(result.Violations) + len(result.Crashes)
		return c.printResult(s, result)
	})
	if err != nil {
		return err
	}
	if failures > 0 {
		return errNegative
	}
	return nil
}

// printResult prints the result of one soak.
func (c *drillSoakCmd) printResult(s *streams, r *faulttest.SoakResult) error {
	if c.JSON {
		return json.NewEncoder(s.out).Encode(r)
	}
	fmt.Fprintf(s.out, "seed=%d sent=%d attempts=%d %s breaks=%d crashes=%d\n", r.Seed, r.Sent, r.Attempts, r.Outcomes, len(r.Violations), len(r.Crashes))
	if c.Timeline || len(r.Violations)+len(r.Crashes) > 0 {
		fmt.Fprintf(s.out, "  %s\n", strings.Join(r.Events, "\n  "))
	}
	printViolations(s.out, &faulttest.Result{Violations: r.Violations, Crashes: r.Crashes})
	return nil
}
