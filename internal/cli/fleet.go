package cli

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"archknot/internal/conf"
	"archknot/internal/fleet/emulate"
)

type fleetCmd struct {
	Emulate emulateCmd `cmd:"" help:"Run a plan's fleet on loopback sockets in real time, and its traffic against gateways."`
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
	p, err := conf.LoadPlan(c.Plan)
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
		fmt.Fprintf(s.out, "registry=%s workers=%d\n", f.Registry, len(f.Workers))
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
	fmt.Fprintf(s.out, "%s\n", res.Text())
	if res.All.Ends["served"] == 0 {
		return no
	}
	return nil
}
