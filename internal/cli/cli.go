// Package cli implements the commands of the archknot program.
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
	ExitNegative = 1 // the command ran and its result is negative, such as a failed check
	ExitError    = 2 // wrong usage, or an input that cannot be read
)

// filePermissions are the permissions of files that commands write.
const filePermissions = 0o644

// commands is the grammar of the command line, for kong.
type commands struct {
	Serve      serveCmd      `cmd:"" default:"withargs" aliases:"run" help:"Serve clients; also the default without a command."`
	Config     configCmd     `cmd:"" help:"Check and show archknot's own settings."`
	Capture    captureCmd    `cmd:"" help:"Inspect, cut and save captures."`
	Contracts  contractsCmd  `cmd:"" help:"Show teams' contracts, and simulate them on captures."`
	Replay     replayCmd     `cmd:"" help:"Replay captures with this build's decision module and compare its decisions."`
	Experiment experimentCmd `cmd:"" help:"Compare settings or builds on a model of a fleet."`
	Site       siteCmd       `cmd:"" help:"Forecast the loss of a whole site, and test it with processes."`
	Drill      drillCmd      `cmd:"" help:"Test many gateways under faults in front of an emulated fleet."`
	Fleet      fleetCmd      `cmd:"" help:"Emulate a fleet to test gateways with."`
	Version    versionCmd    `cmd:"" help:"Print the version of this build."`
}

// streams has the output streams of a command, and its environment variables.
type streams struct {
	out, err io.Writer
	getenv   func(string) string
}

// errNegative ends a command with ExitNegative. The command has already printed the reason.
var errNegative = errors.New("no")

// Main runs the command that args name and returns its exit code. Without arguments it runs the serve command.
func Main(args []string, out, errOut io.Writer, getenv func(string) string) int {
	s := &streams{out, errOut, getenv}
	if len(args) == 0 {
		// The platform starts the program without arguments. This path saves the memory of the command line parser.
		return s.exitCode((&serveCmd{Config: getenv("ARCHKNOT_CONF")}).Run(s))
	}
	var c commands
	exited := -1
	parser, err := kong.New(&c, kong.Name("archknot"), kong.Description("A gateway for a fleet of language-model replicas."),
		kong.Writers(out, errOut), kong.Exit(func(code int) { exited = code }), kong.UsageOnError(),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}), kong.Bind(s))
	if err != nil {
		panic(err) // the commands struct is malformed, independent of the arguments
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

// exitCode prints a command's error and returns the exit code.
func (s *streams) exitCode(err error) int {
	var configErr lifecycle.ConfigError
	var serveErr serveError
	switch {
	case err == nil:
		return ExitOK
	case errors.Is(err, errNegative):
		return ExitNegative
	case errors.As(err, &configErr): // in the format of the log, which a supervisor parses
		fmt.Fprintf(s.err, "level=ERROR msg=failed err=%q\n", configErr.Error())
		return ExitError
	case errors.As(err, &serveErr):
		fmt.Fprintf(s.err, "level=ERROR msg=failed err=%q\n", serveErr.Error())
		return ExitNegative
	}
	fmt.Fprintf(s.err, "archknot: %v\n", err)
	return ExitError
}

// printJSON prints a value as indented JSON.
func (s *streams) printJSON(v any) error {
	encoder := json.NewEncoder(s.out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}

// writeFileAtomically replaces a file atomically: after an error the old file is unchanged.
func writeFileAtomically(path string, write func(io.Writer) error) error {
	return replaceFile(path, write, renameio.WithPermissions(filePermissions))
}

// replaceFile writes a temporary file and renames it to path.
func replaceFile(path string, write func(io.Writer) error, options ...renameio.Option) error {
	f, err := renameio.NewPendingFile(path, options...)
	if err != nil {
		return err
	}
	defer func() { _ = f.Cleanup() }() // removes the temporary file unless it was renamed
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
	Config string `env:"ARCHKNOT_CONF" placeholder:"FILE" help:"archknot's own settings file, such as deploy/archknot.conf. By default all settings have their defaults."`
}

func (serveCmd) Help() string {
	return "NODE_CONFIG names the platform's configuration; NODE_NAME, NODE_LISTEN and NODE_DISCOVERY take precedence over it.\n" +
		"SIGHUP reloads both configurations, SIGTERM shuts down gracefully.\n\n" +
		"Example:\n  NODE_CONFIG=example/config.json archknot serve --config deploy/archknot.conf"
}

// serveError is an error, other than an invalid configuration, that ended the serve command.
type serveError struct{ error }

func (c *serveCmd) Run(s *streams) error {
	lifecycle.StartLog()
	defer lifecycle.FlushLog()
	err := lifecycle.Run(s.getenv, c.Config)
	var configErr lifecycle.ConfigError
	if err != nil && !errors.As(err, &configErr) {
		return serveError{err}
	}
	return err
}

// Exec runs Main with the process's arguments, standard streams and environment, and exits with its code.
func Exec() { os.Exit(Main(os.Args[1:], os.Stdout, os.Stderr, os.Getenv)) }
