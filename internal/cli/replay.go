package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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

func unmarshal(text []byte, to any) error { return json.Unmarshal(text, to) }

type replayCmd struct {
	Paths []string `arg:"" help:"Segments, or folders of them."`
	timeSpan
	Where   string `placeholder:"EXPR" help:"Only differences at events that match count."`
	Restart bool   `help:"Begin anew at each checkpoint, from its state."`
	Show    int    `default:"1" help:"How many differences to show, the first with all workers as they were weighed."`
	Against string `placeholder:"BINARY" help:"Compare this build with another one's archknot, not with the record."`
	Step    string `placeholder:"ID" help:"Explain one request, as archknot capture explain does."`
	Accept  bool   `help:"Take all differences as intended: write them beside the capture; they do not count from then on."`
	Perturb string `placeholder:"KINDS" help:"Harm what the module is told, and check what must hold whatever comes: late, void, duplicate, delay, lost or all, set apart by commas."`
	Seed    uint64 `default:"1" help:"For --perturb."`
	JSON    bool   `name:"json" help:"Print JSON."`
	Emit    bool   `hidden:"" help:"Print each event with this build's decisions."`
}

func (replayCmd) Help() string {
	return "Runs captures through this build's decision module and compares every order. After a difference it goes on in step with\n" +
		"the record. Exit code 0: none differs; 1: some do; 2: a capture cannot be read.\n\n" +
		"A condition for --where compares fields by ==, !=, <, <=, >, >= and =~ (a regular expression) and joins by and, or, not\n" +
		"and brackets. Fields:\n" + replay.FilterFields() +
		"\nExample:\n  archknot replay --where 'class == agent and elapsed > 2s' /var/lib/archknot/capture"
}

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
	bad := false
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
			bad = bad || res.Differing > 0
			continue
		}
		res, ok, err := c.replayRun(s, run, o)
		if err != nil {
			return err
		}
		bad = bad || !ok
		results = append(results, res)
	}
	if c.JSON && !c.Emit {
		if err := s.printJSON(results); err != nil {
			return err
		}
	}
	if bad {
		return errNegative
	}
	return nil
}

// acceptedDifferences is what stands beside a capture whose differences are intended.
type acceptedDifferences struct {
	Build       string               `json:"build"`
	Differ      uint64               `json:"differ"`
	Differences string               `json:"differences"`
	ByKind      map[string]uint64    `json:"by_kind"`
	First       []*replay.Difference `json:"first"`
}

// acceptedPath is where the accepted differences of a run stand.
func acceptedPath(run *capture.Run) string {
	first := run.Segments[0].Path
	if len(run.Segments) == 1 {
		return strings.TrimSuffix(first, capture.Suffix) + ".accepted"
	}
	return filepath.Join(filepath.Dir(first), run.Gateway+"-"+run.Name+".accepted")
}

// replayRun replays one run and tells whether it is as it should be.
func (c *replayCmd) replayRun(s *streams, run *capture.Run, o replay.Options) (*replay.Result, bool, error) {
	shown := 0
	var first []*replay.Difference
	o.OnDifference = func(d *replay.Difference) {
		if len(first) < 20 {
			first = append(first, d)
		}
	}
	names := replay.NewNames()
	o.OnStep = func(st *replay.Step) { names = st.Names }
	bar := replayProgress(s, run)
	o.Progress = func(at balancer.Micros) { bar(at) }
	res, err := replay.Replay(run, o)
	bar(run.End())
	if err != nil {
		return nil, false, err
	}
	ok := res.Differing == 0
	note := ""
	path := acceptedPath(run)
	if c.Accept {
		if res.Differing == 0 {
			if err := os.Remove(path); err != nil && !errors.Is(err, fs.ErrNotExist) {
				return nil, false, err
			}
		} else {
			text, err := json.MarshalIndent(acceptedDifferences{buildinfo.Version(), res.Differing, res.Differences, res.ByKind, first}, "", "  ")
			if err == nil {
				err = renameio.WriteFile(path, append(text, '\n'), 0o644)
			}
			if err != nil {
				return nil, false, err
			}
		}
		ok, note = true, " accepted: "+path
	} else if text, err := os.ReadFile(path); err == nil && o.Where == nil && o.From == 0 && o.To == 0 {
		var a acceptedDifferences
		if err := json.Unmarshal(text, &a); err != nil {
			return nil, false, fmt.Errorf("%s: %w", path, err)
		}
		if ok = a.Differences == res.Differences; ok {
			note = " as accepted"
		} else {
			note = fmt.Sprintf(" not as accepted (%d, %s)", a.Differ, a.Differences)
		}
	}
	if c.JSON {
		return res, ok, nil
	}
	for _, d := range first {
		if shown++; shown > c.Show || ok {
			break
		}
		fmt.Fprintf(s.out, "%s event %d: %s\n  %s: this build: %s; recorded: %s\n", replay.FormatOffset(run, d.At), d.Number, d.Event, d.Kind, d.Own, d.Recorded)
		if d.Pick != nil {
			fmt.Fprint(s.out, d.Pick.FormatTable(names))
		}
	}
	sums := func(what string, m map[string]uint64) {
		for _, k := range slices.SortedFunc(maps.Keys(m), func(a, b string) int { return int(m[b]) - int(m[a]) }) {
			fmt.Fprintf(s.out, "  %s %s: %d\n", what, k, m[k])
		}
	}
	if !ok {
		sums("kind", res.ByKind)
		sums("class", res.ByClass)
		sums("worker", res.ByReplica)
	}
	if res.Missing > 0 || res.Skipped > 0 {
		fmt.Fprintf(s.out, "  events that the capture lost: %d; events that no checkpoint leads to: %d\n", res.Missing, res.Skipped)
	}
	fmt.Fprintf(s.out, "run=%s-%s build=%s checkpoints=%d%s\n%s\n", run.Gateway, run.Name, run.Build, res.Checkpoints, note, res.Line())
	return res, ok, nil
}

// replayProgress shows how far a replay is, on a terminal.
func replayProgress(s *streams, run *capture.Run) func(balancer.Micros) {
	f, ok := s.err.(*os.File)
	if !ok || !term.IsTerminal(int(f.Fd())) || run.Bytes() < 4<<20 {
		return func(balancer.Micros) {}
	}
	bar := progressbar.NewOptions64(run.End()-run.Begin(), progressbar.OptionSetWriter(f), progressbar.OptionSetDescription("reading "+run.Gateway),
		progressbar.OptionSetPredictTime(true), progressbar.OptionClearOnFinish())
	return func(at balancer.Micros) { _ = bar.Set64(at - run.Begin()) }
}

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

func (c *replayCmd) perturbRuns(s *streams, runs []*capture.Run) error {
	kinds, err := replay.ParsePerturbations(c.Perturb)
	if err != nil {
		return err
	}
	bad := false
	var all []*replay.PerturbResult
	for _, run := range runs {
		res, err := replay.Perturb(run, kinds, c.Seed)
		if err != nil {
			return err
		}
		all = append(all, res)
		bad = bad || len(res.Violations) > 0
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
	if bad {
		return errNegative
	}
	return nil
}
