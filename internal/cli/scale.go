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

// drillScaleCmd measures what grows with a fleet.
type drillScaleCmd struct {
	Plan    string `arg:"" help:"The plan: see deploy/scale.plan."`
	Program string `placeholder:"FILE" help:"Another build that is started in the place of this one."`
	Out     string `placeholder:"FILE" help:"Write the whole result there, as JSON."`
	JSON    bool   `name:"json" help:"Print JSON in place of tables."`
}

func (drillScaleCmd) Help() string {
	return "Hollow replicas and hollow gateways in a few processes, a stand-in for discovery and some gateways as processes, all on loopback addresses.\n" +
		"Sizes are varied one at a time; a figure's slope is by least squares, with its interval. A hollow figure counts where it is within a fifth of the real one.\n" +
		"It ends by itself, and gives up where the processes take more memory than the plan allows.\n\nExample:\n  archknot drill scale deploy/scale.plan --out scale.json"
}

func (c *drillScaleCmd) Run(s *streams) error {
	p, err := config.LoadScaleRun(c.Plan)
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	bar := countBar(s, len(scaletest.PlannedPoints(p)))
	res, err := scaletest.Run(ctx, p, scaletest.Options{Program: c.Program, OnProgress: func(done, _ int, what string) {
		if bar != nil {
			bar.Describe(what)
			_ = bar.Set(done)
		}
	}})
	if err != nil {
		return err
	}
	if c.Out != "" {
		if err := writeFile(c.Out, func(w io.Writer) error { return json.NewEncoder(w).Encode(res) }); err != nil {
			return err
		}
	}
	if c.JSON {
		return s.print(res)
	}
	res.WriteTables(s.out)
	return nil
}

// scaleRoleCmd is a process of a scale run.
type scaleRoleCmd struct {
	Role string `arg:"" help:"Which."`
}

func (c *scaleRoleCmd) Run(s *streams) error {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, &slog.HandlerOptions{Level: slog.LevelError})))
	return scaletest.Serve(context.Background(), c.Role, os.Stdin, s.out)
}
