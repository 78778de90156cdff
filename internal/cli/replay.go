package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strings"

	"github.com/google/renameio/v2"
	"github.com/schollz/progressbar/v3"
	"golang.org/x/term"

	"archknot/balancer"
	"archknot/internal/buildinfo"
	"archknot/internal/capture"
	"archknot/internal/replay"
)

type replayCmd struct {
	Paths []string `arg:"" help:"Segments, or directories of segments."`
	timeSpan
	Where   string `placeholder:"EXPR" help:"Count only differences at events that match."`
	Restart bool   `help:"Restart at each checkpoint, from its state."`
	Show    int    `default:"1" help:"Number of differences to show, the first with the scores of all replicas."`
	Against string `placeholder:"BINARY" help:"Compare this build with another build's program, not with the recording."`
	Step    string `placeholder:"ID" help:"Explain one request, like archknot capture explain."`
	Accept  bool   `help:"Accept all differences as intended: they are stored beside the capture and no longer count."`
	Perturb string `placeholder:"KINDS" help:"Perturb the events of the module, and check its invariants: late, void, duplicate, delay, lost or all, separated by commas."`
	Seed    uint64 `default:"1" help:"The seed of --perturb."`
	JSON    bool   `name:"json" help:"Print JSON."`
	Emit    bool   `hidden:"" help:"Print each event with this build's decisions."`
}

func (replayCmd) Help() string {
	return "Replays captures with this build's decision module and compares every action. After a difference the replay follows\n" +
		"the recording. Exit code 0: no action differs; 1: some differ; 2: a capture cannot be read.\n\n" +
		"A condition for --where compares fields with ==, !=, <, <=, >, >= and =~ (a regular expression), combined with and, or, not\n" +
		"and parentheses. Fields:\n" + replay.FilterFields() +
		"\nExample:\n  archknot replay --where 'class == agent and elapsed > 2s' /var/lib/archknot/capture"
}

// parseFilter parses a condition. It returns nil, which matches every event, for an empty text.
func parseFilter(text string) (*replay.Filter, error) {
	if text == "" {
		return nil, nil
	}
	return replay.ParseFilter(text)
}

func (c *replayCmd) Run(s *streams) error {
	if c.Against != "" {
		return c.compareBuilds(s)
	}
	if c.Step != "" {
		return (&explainCmd{ID: c.Step, Paths: c.Paths}).Run(s)
	}
	runs, err := capture.FindRuns(c.Paths...)
	if err != nil {
		return err
	}
	filter, err := parseFilter(c.Where)
	if err != nil {
		return err
	}
	if c.Perturb != "" {
		return c.perturbRuns(s, runs)
	}
	failed := false
	var results []*replay.Result
	for _, run := range runs {
		o := replay.Options{RestartAtCheckpoints: c.Restart, Where: filter}
		if o.From, o.To, err = c.within(run); err != nil {
			return err
		}
		if c.Emit {
			res, err := replay.Emit(run, o, s.out)
			if err != nil {
				return err
			}
			failed = failed || res.Differing > 0
			continue
		}
		res, ok, err := c.replayRun(s, run, o)
		if err != nil {
			return err
		}
		failed = failed || !ok
		results = append(results, res)
	}
	if c.JSON && !c.Emit {
		if err := s.printJSON(results); err != nil {
			return err
		}
	}
	if failed {
		return errNegative
	}
	return nil
}

// acceptedDifferences is the content of the file next to a capture that records the differences accepted for it.
type acceptedDifferences struct {
	Build       string               `json:"build"`
	Differ      uint64               `json:"differ"`
	Differences string               `json:"differences"`
	ByKind      map[string]uint64    `json:"by_kind"`
	First       []*replay.Difference `json:"first"`
}

// acceptedPath returns the path of the file with a run's accepted differences.
func acceptedPath(run *capture.Run) string {
	first := run.Segments[0].Path
	if len(run.Segments) == 1 {
		return strings.TrimSuffix(first, capture.SegmentSuffix) + ".accepted"
	}
	return filepath.Join(filepath.Dir(first), run.Gateway+"-"+run.Name+".accepted")
}

// maxStoredDifferences bounds the differences that are collected for printing and stored in full in a file of accepted ones.
const maxStoredDifferences = 20

// replayRun replays a run and prints its differences. It returns true if there are none or they were accepted.
func (c *replayCmd) replayRun(s *streams, run *capture.Run, options replay.Options) (*replay.Result, bool, error) {
	var first []*replay.Difference
	options.OnDifference = func(d *replay.Difference) {
		if len(first) < maxStoredDifferences {
			first = append(first, d)
		}
	}
	names := replay.NewNames()
	options.OnStep = func(step *replay.Step) { names = step.Names }
	options.Progress = replayProgress(s, run)
	result, err := replay.Replay(run, options)
	options.Progress(run.End())
	if err != nil {
		return nil, false, err
	}
	ok, note, err := c.checkAccepted(run, options, result, first)
	if err != nil {
		return nil, false, err
	}
	if c.JSON {
		return result, ok, nil
	}
	if !ok {
		c.printDifferences(s.out, run, first, names)
		printCounts(s.out, "kind", result.ByKind)
		printCounts(s.out, "class", result.ByClass)
		printCounts(s.out, "worker", result.ByReplica)
	}
	if result.Missing > 0 || result.Skipped > 0 {
		fmt.Fprintf(s.out, "  events that the capture lost: %d; events that no checkpoint leads to: %d\n", result.Missing, result.Skipped)
	}
	fmt.Fprintf(s.out, "run=%s-%s build=%s checkpoints=%d%s\n%s\n", run.Gateway, run.Name, run.Build, result.Checkpoints, note, result.Line())
	return result, ok, nil
}

// checkAccepted stores the differences of a run as accepted if --accept is set; otherwise it compares them with the
// accepted ones. It returns true if the run has no differences or only accepted ones, and a note for its summary.
func (c *replayCmd) checkAccepted(run *capture.Run, options replay.Options, result *replay.Result, first []*replay.Difference) (ok bool, note string, err error) {
	path := acceptedPath(run)
	if c.Accept {
		return true, " accepted: " + path, storeAccepted(path, result, first)
	}
	ok = result.Differing == 0
	isPart := options.Where != nil || options.From != 0 || options.To != 0
	accepted, err := loadAccepted(path)
	if err != nil && !isPart {
		return false, "", err
	}
	if accepted == nil || isPart {
		return ok, "", nil
	}
	if accepted.Differences == result.Differences {
		return true, " as accepted", nil
	}
	return false, fmt.Sprintf(" not as accepted (%d, %s)", accepted.Differ, accepted.Differences), nil
}

// readOptional reads a file. It returns false if the file cannot be read.
func readOptional(path string) ([]byte, bool) {
	text, err := os.ReadFile(path)
	return text, err == nil
}

// loadAccepted reads the accepted differences. It returns nil if the file cannot be read, as when nothing was accepted.
func loadAccepted(path string) (*acceptedDifferences, error) {
	text, ok := readOptional(path)
	if !ok {
		return nil, nil
	}
	accepted := &acceptedDifferences{}
	if err := json.Unmarshal(text, accepted); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return accepted, nil
}

// storeAccepted stores a run's differences as accepted, or removes the file if the run has none.
func storeAccepted(path string, result *replay.Result, first []*replay.Difference) error {
	if result.Differing == 0 {
		if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			return err
		}
		return nil
	}
	accepted := acceptedDifferences{buildinfo.Version(), result.Differing, result.Differences, result.ByKind, first}
	text, err := json.MarshalIndent(accepted, "", "  ")
	if err != nil {
		return err
	}
	return renameio.WriteFile(path, append(text, '\n'), filePermissions)
}

// printDifferences prints the first differences, at most as many as --show specifies.
func (c *replayCmd) printDifferences(w io.Writer, run *capture.Run, differences []*replay.Difference, names *replay.Names) {
	for _, d := range differences[:min(len(differences), max(0, c.Show))] {
		fmt.Fprintf(w, "%s event %d: %s\n  %s: this build: %s; recorded: %s\n", replay.FormatOffset(run, d.At), d.Number, d.Event, d.Kind, d.Own, d.Recorded)
		if d.Pick != nil {
			fmt.Fprint(w, d.Pick.FormatTable(names))
		}
	}
}

// printCounts prints counts by name in descending order, each on a line that starts with the label.
func printCounts(w io.Writer, label string, counts map[string]uint64) {
	largestFirst := func(a, b string) int { return int(counts[b]) - int(counts[a]) }
	for _, key := range slices.SortedFunc(maps.Keys(counts), largestFirst) {
		fmt.Fprintf(w, "  %s %s: %d\n", label, key, counts[key])
	}
}

// replayProgress returns a function that shows the progress of a replay. It does nothing for small captures or if
// standard error is not a terminal.
func replayProgress(s *streams, run *capture.Run) func(balancer.Micros) {
	f, ok := s.err.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) || run.Bytes() < 4<<20 {
		return func(balancer.Micros) {}
	}
	bar := progressbar.NewOptions64(run.End()-run.Begin(), progressbar.OptionSetWriter(f), progressbar.OptionSetDescription("reading "+run.Gateway),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	return func(at balancer.Micros) { _ = bar.Set64(at - run.Begin()) }
}

// compareBuilds replays the captures with this build and with the program of another build and compares the decisions.
func (c *replayCmd) compareBuilds(s *streams) error {
	self, err := os.Executable()
	if err != nil {
		return err
	}
	args := append([]string(nil), c.Paths...)
	for _, f := range []struct{ name, value string }{{"--from", c.From}, {"--to", c.To}, {"--where", c.Where}} {
		if f.value != "" {
			args = append(args, f.name+"="+f.value)
		}
	}
	if c.Restart {
		args = append(args, "--restart")
	}
	res, err := replay.CompareBuilds(context.Background(), self, c.Against, args, s.err)
	if err != nil {
		return err
	}
	if c.JSON {
		if err := s.printJSON(res); err != nil {
			return err
		}
	} else {
		if d := res.First; d != nil {
			fmt.Fprintf(s.out, "event %s at %s us: %s\n  this build: %s\n  other:      %s\n", d.Event, d.At, d.Input, d.One, d.Other)
		}
		for _, k := range slices.Sorted(maps.Keys(res.ByEvent)) {
			fmt.Fprintf(s.out, "  event %s: %d\n", k, res.ByEvent[k])
		}
		for _, k := range slices.Sorted(maps.Keys(res.ByClass)) {
			fmt.Fprintf(s.out, "  class %s: %d\n", k, res.ByClass[k])
		}
		fmt.Fprintln(s.out, res.Line())
	}
	if res.Differing > 0 {
		return errNegative
	}
	return nil
}

// perturbRuns replays runs with perturbed events and checks the balancer's invariants.
func (c *replayCmd) perturbRuns(s *streams, runs []*capture.Run) error {
	kinds, err := replay.ParsePerturbations(c.Perturb)
	if err != nil {
		return err
	}
	violated := false
	var all []*replay.PerturbResult
	for _, run := range runs {
		res, err := replay.Perturb(run, kinds, c.Seed)
		if err != nil {
			return err
		}
		all = append(all, res)
		violated = violated || len(res.Violations) > 0
		if !c.JSON {
			for _, f := range res.Violations {
				fmt.Fprintf(s.out, "fault: %s\n", f)
			}
			fmt.Fprintln(s.out, res.Line())
		}
	}
	if c.JSON {
		if err := s.printJSON(all); err != nil {
			return err
		}
	}
	if violated {
		return errNegative
	}
	return nil
}
