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
	Emulate emulateCmd `cmd:"" help:"Emulate a plan's fleet on loopback sockets in real time, and send its traffic to gateways."`
	Fit     fitCmd     `cmd:"" help:"Estimate a plan's traffic from recordings."`
	Scale   scaleCmd   `cmd:"" help:"Write a plan for a fleet that is N times as large."`
}

type emulateCmd struct {
	Plan     string   `arg:"" help:"The plan."`
	Registry string   `default:"127.0.0.1:8500" help:"Address of the emulated discovery: a loopback address."`
	Gateway  []string `placeholder:"ADDR" help:"Gateways to which the plan's traffic is sent. Without any the fleet serves until it is interrupted."`
	Workload string   `help:"The workload; by default the first."`
	Seed     uint64   `default:"1" help:"The seed of all random draws."`
	Settle   string   `default:"2s" help:"How long gateways have to find the fleet before the traffic begins."`
}

func (emulateCmd) Help() string {
	return "The replicas are those of the model, and the plan's faults happen at its times; reset and spoil are kinds of the emulator alone.\n" +
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
	res, skipped, err := emulate.GenerateLoad(ctx, f, spec, c.Gateway)
	if err != nil {
		return err
	}
	if skipped > 0 {
		fmt.Fprintf(s.err, "archknot: %d sessions were left out: too many at once\n", skipped)
	}
	fmt.Fprintf(s.out, "%s\n", res.JSON())
	if res.All.Ends["served"] == 0 {
		return errNegative
	}
	return nil
}

type fitCmd struct {
	Paths []string `arg:"" help:"Captures of all gateways of one fleet: segments, or directories of segments."`
	Plan  bool     `help:"Print the [traffic] sections of a plan."`
	JSON  bool     `name:"json" help:"Print JSON."`
}

func (fitCmd) Help() string {
	return "Each estimate has its 95% interval and the number of observations; what recordings do not show is listed below.\n" +
		"Give the recordings of all gateways: sessions go from one to another. Exit code 1: no request was recorded.\n\n" +
		"Example:\n  archknot fleet fit /var/lib/archknot/n1 /var/lib/archknot/n2 --plan > week.plan"
}

func (c *fitCmd) Run(s *streams) error {
	runs, err := capture.FindRuns(c.Paths...)
	if err != nil {
		return err
	}
	recording, err := fit.Read(runs)
	if err != nil {
		return err
	}
	got := fit.Streams(recording.Turns, recording.From, recording.To)
	switch {
	case c.JSON:
		err = s.printJSON(struct {
			Seconds float64      `json:"seconds"`
			Gaps    int          `json:"gaps"`
			Streams []fit.Stream `json:"streams"`
		}{float64(recording.To-recording.From) / 1e6, recording.Gaps, got})
	case c.Plan:
		_, err = fmt.Fprint(s.out, fit.Plan(got))
	default:
		err = c.printTable(s, recording, got)
	}
	if err != nil {
		return err
	}
	if len(got) == 0 {
		return errNegative
	}
	return nil
}

// printTable prints a table of the estimates, one row for each stream.
func (c *fitCmd) printTable(s *streams, r *fit.Recording, got []fit.Stream) error {
	fmt.Fprintf(s.out, "seconds=%.0f requests=%d gaps=%d\n", float64(r.To-r.From)/1e6, len(r.Turns), r.Gaps)
	for _, t := range got {
		fmt.Fprintf(s.out, "\nclass=%s tenant=%s requests=%d\n", t.Class, t.Tenant, t.Requests)
		w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
		for _, v := range []struct {
			what string
			v    fit.Value
		}{{"rate, requests a second", t.Rate}, {"turns of a session", t.Turns}, {"think, seconds", t.Think}, {"prompt, new tokens", t.Prompt}, {"answer, tokens", t.Answer},
			{"spread", t.Spread}, {"prefixes", t.Prefixes}, {"shared, tokens", t.PrefixTokens}, {"dispersion of session starts", t.Dispersion}} {
			fmt.Fprintf(w, "  %s\t%s\n", v.what, v.v)
		}
		if err := w.Flush(); err != nil {
			return err
		}
		for _, u := range t.Unknown {
			fmt.Fprintf(s.out, "  unknown: %s\n", u)
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
	return "Rates, replicas and gateways grow, so that each replica's load stays the same; the number of shared prefixes does not grow. The plan goes to standard output.\n\n" +
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
