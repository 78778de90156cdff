package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"text/tabwriter"
	"time"

	"archknot/internal/capture"
	"archknot/internal/config"
	"archknot/internal/fleet/emulate"
	"archknot/internal/fleet/fit"
)

type fleetCmd struct {
	Emulate emulateCmd `cmd:"" help:"Run a plan's fleet on loopback sockets in real time, and its traffic against gateways."`
	Fit     fitCmd     `cmd:"" help:"Estimate a plan's traffic from recordings."`
	Scale   scaleCmd   `cmd:"" help:"Write a plan for a fleet so many times as large."`
}

type emulateCmd struct {
	Plan     string   `arg:"" help:"The plan."`
	Registry string   `default:"127.0.0.1:8500" help:"Where the registry listens: a loopback address."`
	Gateway  []string `placeholder:"ADDR" help:"Gateways that the plan's traffic goes to. Without any the fleet serves until it is ended."`
	Workload string   `help:"Which, if not the first."`
	Seed     uint64   `default:"1" help:"For all that is drawn."`
	Settle   string   `default:"2s" help:"How long gateways have to find the fleet before the traffic begins."`
}

func (emulateCmd) Help() string {
	return "The workers are those of the model, and the plan's faults come when it says; reset and spoil are kinds of the emulator alone.\n" +
		"With gateways the result is printed as `experiment one` prints it. Exit code 1: nothing was served.\n\n" +
		"Example:\n  archknot fleet emulate deploy/no-hedging.plan --gateway 127.0.0.1:8080"
}

func (c *emulateCmd) Run(s *streams) error {
	p, err := config.LoadPlan(c.Plan)
	if err != nil {
		return err
	}
	w, err := pickVariant(p.Workloads, c.Workload)
	if err != nil {
		return err
	}
	settle, err := time.ParseDuration(c.Settle)
	if err != nil || settle < 0 || settle > time.Minute {
		return errors.New("--settle: expected a time such as 2s, a minute at most")
	}
	spec, err := p.Spec(p.Variants[0], w, c.Seed)
	if err != nil {
		return err
	}
	f, err := emulate.Start(spec, c.Registry)
	if err != nil {
		return err
	}
	defer f.Close()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if len(c.Gateway) == 0 {
		fmt.Fprintf(s.out, "registry=%s workers=%d\n", f.DiscoveryAddr, len(f.Replicas))
		<-ctx.Done()
		return nil
	}
	select {
	case <-time.After(settle):
	case <-ctx.Done():
		return ctx.Err()
	}
	res, left, err := emulate.Play(ctx, f, spec, c.Gateway)
	if err != nil {
		return err
	}
	if left > 0 {
		fmt.Fprintf(s.err, "archknot: %d sessions were left out: too many at once\n", left)
	}
	fmt.Fprintf(s.out, "%s\n", res.JSON())
	if res.All.Ends["served"] == 0 {
		return errNo
	}
	return nil
}

type fitCmd struct {
	Paths []string `arg:"" help:"Captures of all gateways of one fleet: segments, or folders of them."`
	Plan  bool     `help:"Print the [traffic] sections of a plan."`
	JSON  bool     `name:"json" help:"Print JSON."`
}

func (fitCmd) Help() string {
	return "Each estimate stands with its 95% interval and the number of observations; what recordings do not tell is said below.\n" +
		"Give the recordings of all gateways: sessions go from one to another. Exit code 1: no request was recorded.\n\n" +
		"Example:\n  archknot fleet fit /var/lib/archknot/n1 /var/lib/archknot/n2 --plan > week.plan"
}

func (c *fitCmd) Run(s *streams) error {
	runs, err := capture.FindRuns(c.Paths...)
	if err != nil {
		return err
	}
	r, err := fit.Read(runs)
	if err != nil {
		return err
	}
	got := fit.Streams(r.Turns, r.From, r.To)
	switch {
	case c.JSON:
		err = s.print(struct {
			Seconds float64      `json:"seconds"`
			Gaps    int          `json:"gaps"`
			Streams []fit.Stream `json:"streams"`
		}{float64(r.To-r.From) / 1e6, r.Gaps, got})
	case c.Plan:
		_, err = fmt.Fprint(s.out, fit.Plan(got))
	default:
		err = c.table(s, r, got)
	}
	if err != nil {
		return err
	}
	if len(got) == 0 {
		return errNo
	}
	return nil
}

func (c *fitCmd) table(s *streams, r *fit.Recording, got []fit.Stream) error {
	fmt.Fprintf(s.out, "seconds=%.0f requests=%d gaps=%d\n", float64(r.To-r.From)/1e6, len(r.Turns), r.Gaps)
	for _, t := range got {
		fmt.Fprintf(s.out, "\nclass=%s tenant=%s requests=%d\n", t.Class, t.Tenant, t.Requests)
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		for _, v := range []struct {
			what string
			v    fit.Value
		}{{"rate, requests a second", t.Rate}, {"turns of a session", t.Turns}, {"think, seconds", t.Think}, {"prompt, new tokens", t.Prompt}, {"answer, tokens", t.Answer},
			{"spread", t.Spread}, {"prefixes", t.Prefixes}, {"shared, tokens", t.Shared}, {"dispersion of beginnings", t.Dispersion}} {
			fmt.Fprintf(w, "  %s\t%s\n", v.what, v.v)
		}
		if err := w.Flush(); err != nil {
			return err
		}
		for _, u := range t.Unknown {
			fmt.Fprintf(s.out, "  not told: %s\n", u)
		}
	}
	return nil
}

type scaleCmd struct {
	Plan         string  `arg:"" help:"The plan."`
	Times        float64 `required:"" placeholder:"N" help:"How many times as large."`
	KeepGateways bool    `help:"Leave the number of gateways as it is."`
}

func (scaleCmd) Help() string {
	return "Rates, workers and gateways grow, so that each worker's load stays; shared beginnings stay as many. The plan goes to standard output.\n\n" +
		"Example:\n  archknot fleet scale week.plan --times 100 > large.plan"
}

func (c *scaleCmd) Run(s *streams) error {
	if _, err := config.LoadPlan(c.Plan); err != nil {
		return err
	}
	text, err := os.ReadFile(c.Plan)
	if err != nil {
		return err
	}
	out, err := config.ScalePlan(string(text), c.Times, c.KeepGateways)
	if err != nil {
		return fmt.Errorf("%s: %w", c.Plan, err)
	}
	_, err = fmt.Fprint(s.out, out)
	return err
}
