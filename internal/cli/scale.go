package cli

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"archknot/internal/config"
	"archknot/internal/scaletest"
)

// drillScaleCmd measures the costs that grow with the size of a fleet.
type drillScaleCmd struct {
	Plan    string `arg:"" help:"The plan: see deploy/scale.plan."`
	Program string `placeholder:"FILE" help:"The program of another build to start in place of this one."`
	Out     string `placeholder:"FILE" help:"Write the complete result to this file, as JSON."`
	JSON    bool   `name:"json" help:"Print JSON instead of tables."`
}

// Help implements kong.HelpProvider.
func (drillScaleCmd) Help() string {
	return "Hollow replicas and hollow gateways in a few processes, a fake discovery and some real gateway processes, all on loopback addresses.\n" +
		"Sizes are varied one at a time; a metric's slope is fitted by least squares, with its interval. A hollow gateway's value counts if it is within a fifth of a real one's.\n" +
		"The command ends by itself, and stops early if the processes take more memory than the plan allows.\n\nExample:\n  archknot drill scale deploy/scale.plan --out scale.json"
}

// Run measures the points of the plan and prints the result.
func (c *drillScaleCmd) Run(s *streams) error {
	plan, err := config.LoadScaleRun(c.Plan)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	bar := countBar(s, len(scaletest.PlannedPoints(plan)))
	onProgress := func(done, _ int, description string) {
		if bar != nil {
			bar.Describe(description)
			_ = bar.Set(done) // a failure to draw the progress bar is ignored
		}
	}
	result, err := scaletest.Run(ctx, plan, scaletest.Options{Program: c.Program, OnProgress: onProgress})
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := writeFileAtomically(c.Out, func(w io.Writer) error { return json.NewEncoder(w).Encode(result) }); err != nil {
			return err
		}
	}
	if c.JSON {
		return s.printJSON(result)
	}
	result.WriteTables(s.out)
	return nil
}

// scaleRoleCmd runs one role of a scale measurement in this process.
type scaleRoleCmd struct {
	Role string `arg:"" help:"The role."`
}

// Run serves the role until standard input ends.
func (c *scaleRoleCmd) Run(s *streams) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	return scaletest.Serve(context.Background(), c.Role, os.Stdin, s.out)
}
