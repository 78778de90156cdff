// Package cli is the command line of archknot.
package cli

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/alecthomas/kong"
	"github.com/google/renameio/v2"

	"archknot/internal/buildinfo"
	"archknot/internal/lifecycle"
)

// Exit codes.
const (
	ExitOK       = 0
	ExitNegative = 1 // the answer is no
	ExitError    = 2 // wrong use, or something cannot be read
)

type commands struct {
	Serve      serveCmd      `cmd:"" default:"withargs" aliases:"run" help:"Serve clients: what the bare command does."`
	Config     configCmd     `cmd:"" help:"Check and show archknot's own settings."`
	Capture    captureCmd    `cmd:"" help:"Look into captures, cut and keep them."`
	Contracts  contractsCmd  `cmd:"" help:"Look at teams' contracts, and try them on captures."`
	Replay     replayCmd     `cmd:"" help:"Run captures through this build's module and compare its decisions."`
	Experiment experimentCmd `cmd:"" help:"Compare settings or builds on a model of a fleet."`
	Site       siteCmd       `cmd:"" help:"The loss of a whole site: forecast, and drilled with processes."`
	Drill      drillCmd      `cmd:"" help:"Strike many gateways before an emulated fleet, and check the rules."`
	Fleet      fleetCmd      `cmd:"" help:"Run a fleet to try gateways with."`
	Version    versionCmd    `cmd:"" help:"Tell which build this is."`
}

// streams are what a command reads and writes.
type streams struct {
	out, err io.Writer
	getenv   func(string) string
}

// errNegative is an answer that is no: what was found is told already.
var errNegative = errors.New("no")

// Main runs the command that the arguments name and returns the exit code.
func Main(args []string, out, errOut io.Writer, getenv func(string) string) int {
	s := &streams{out, errOut, getenv}
	if len(args) == 0 {
		// As the platform starts it: without what the commands' parser takes up.
		return s.exitCode((&serveCmd{Config: getenv("ARCHKNOT_CONF")}).Run(s))
	}
	var c commands
	exited := -1
	parser, err := kong.New(&c, kong.Name("archknot"), kong.Description("A gateway for a fleet of language-model workers."),
		kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Bind(s))
	if err != nil {
		panic(err) // the commands above are at fault, whatever the arguments
	}
	ctx, err := parser.Parse(args)
	if exited >= 0 { // --help has been shown
		return ExitOK
	}
	if err != nil {
		fmt.Fprintf(errOut, "archknot: %v\n", err)
		fmt.Fprintf(errOut, "archknot: see archknot --help\n")
		return ExitError
	}
	return s.exitCode(ctx.Run())
}

// exitCode tells the exit code of a command that ended with an error, and says why.
func (s *streams) exitCode(err error) int {
	var bad lifecycle.ConfigError
	var failed serveError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errNegative):
		return ExitNegative
	case errors.As(err, &bad): // in the log's form: this is what a supervisor reads
		fmt.Fprintf(s.err, "level=ERROR msg=failed err=%q\n", bad.Error())
		return ExitError
	case errors.As(err, &failed):
		fmt.Fprintf(s.err, "level=ERROR msg=failed err=%q\n", failed.Error())
		return ExitNegative
	}
	fmt.Fprintf(s.err, "archknot: %v\n", err)
	return ExitError
}

// printJSON writes a value as indented JSON.
func (s *streams) printJSON(v any) error {
	e := json.NewEncoder(s.out)
	e.SetIndent("", "  ")
	return e.Encode(v)
}

// writeFileAtomically writes a file that is whole or not there.
func writeFileAtomically(path string, write func(io.Writer) error) error {
	f, err := renameio.NewPendingFile(path, renameio.WithPermissions(0o644))
	if err != nil {
		return err
	}
	defer f.Cleanup()
	if err := write(f); err != nil {
		return err
	}
	return f.CloseAtomicallyReplace()
}

type versionCmd struct {
	JSON bool `name:"json" help:"Print JSON."`
}

func (versionCmd) Help() string { return "Example:\n  archknot version" }

func (c *versionCmd) Run(s *streams) error {
	if c.JSON {
		return s.printJSON(map[string]string{"build": buildinfo.Version()})
	}
	fmt.Fprintln(s.out, "archknot", buildinfo.Version())
	return nil
}

type serveCmd struct {
	Config string `env:"ARCHKNOT_CONF" placeholder:"FILE" help:"archknot's own settings, such as deploy/archknot.conf. Without it all have their defaults."`
}

func (serveCmd) Help() string {
	return "NODE_CONFIG names the platform's configuration; NODE_NAME, NODE_LISTEN and NODE_DISCOVERY go before it.\n" +
		"SIGHUP has both read again, SIGTERM ends service in order.\n\n" +
		"Example:\n  NODE_CONFIG=example/config.json archknot serve --config deploy/archknot.conf"
}

// serveError is a gateway that could not start or go on.
type serveError struct{ error }

func (c *serveCmd) Run(s *streams) error {
	lifecycle.StartLog()
	defer lifecycle.FlushLog()
	err := lifecycle.Run(s.getenv, c.Config)
	var bad lifecycle.ConfigError
	if err != nil && !errors.As(err, &bad) {
		return serveError{err}
	}
	return err
}

// Exec is Main for the process itself.
func Exec() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) }
