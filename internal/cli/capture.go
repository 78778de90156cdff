package cli

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/dustin/go-humanize"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/lifecycle"
	"archknot/internal/replay"
)

type captureCmd struct {
	Info    infoCmd    `cmd:"" help:"Tell what captures hold."`
	Verify  verifyCmd  `cmd:"" help:"Read captures whole and tell what is damaged or missing."`
	Dump    dumpCmd    `cmd:"" help:"Print events and orders, a line each."`
	Cut     cutCmd     `cmd:"" help:"Make a small capture of a part of one."`
	Explain explainCmd `cmd:"" help:"Tell why one request went where it did."`
	Save    saveCmd    `cmd:"" help:"Have a running gateway keep its last minutes as an incident."`
}

// timeSpan is a part of a run.
type timeSpan struct {
	From string `placeholder:"TIME" help:"Where to begin: +30s from the start, -30s from the end, or a time of day as 2026-12-01T10:00:00Z."`
	To   string `placeholder:"TIME" help:"Where to end."`
}

// within gives the span's ends on a run's clock; 0: none.
func (s timeSpan) within(run *capture.Run) (from, to balancer.Micros, err error) {
	if from, err = parseMoment(s.From, run); err == nil {
		to, err = parseMoment(s.To, run)
	}
	return from, to, err
}

func parseMoment(text string, run *capture.Run) (balancer.Micros, error) {
	if text == "" {
		return 0, nil
	}
	if text[0] == '+' || text[0] == '-' {
		d, err := time.ParseDuration(text)
		if err != nil {
			return 0, fmt.Errorf("%q: expected a duration such as +30s", text)
		}
		if text[0] == '-' {
			return run.End() + d.Microseconds(), nil
		}
		return run.Begin() + d.Microseconds(), nil
	}
	t, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return 0, fmt.Errorf("%q: expected +30s, -30s or a time such as 2026-12-01T10:00:00Z", text)
	}
	return run.Begin() + t.Sub(run.WallTime(run.Begin())).Microseconds(), nil
}

type infoCmd struct {
	Paths []string `arg:"" help:"Segments, or folders of them."`
	JSON  bool     `name:"json" help:"Print JSON."`
}

func (infoCmd) Help() string { return "Example:\n  archknot capture info /var/lib/archknot/capture" }

type runInfo struct {
	Gateway     string    `json:"gateway"`
	Run         string    `json:"run"`
	Build       string    `json:"build"`
	Begin       time.Time `json:"begin"`
	Seconds     float64   `json:"seconds"`
	Segments    int       `json:"segments"`
	Closed      int       `json:"closed"`
	Bytes       int64     `json:"bytes"`
	Events      uint64    `json:"events"`
	Checkpoints int       `json:"checkpoints"`
	Incident    string    `json:"incident,omitempty"`
}

func (c *infoCmd) Run(s *streams) error {
	runs, err := capture.FindRuns(c.Paths...)
	if err != nil {
		return err
	}
	var list []runInfo
	for _, r := range runs {
		i := runInfo{Gateway: r.Gateway, Run: r.Name, Build: r.Build, Begin: r.WallTime(r.Begin()), Seconds: float64(r.End()-r.Begin()) / 1e6,
			Segments: len(r.Segments), Bytes: r.Bytes()}
		for _, seg := range r.Segments {
			if seg.Closed {
				i.Closed++
			}
			for _, b := range seg.Blocks {
				i.Events += uint64(b.Records)
				if b.Checkpoint {
					i.Checkpoints++
				}
			}
		}
		if m, err := os.ReadFile(filepath.Join(filepath.Dir(r.Segments[0].Path), capture.ManifestName)); err == nil {
			var manifest capture.Manifest
			if unmarshal(m, &manifest) == nil {
				i.Incident = manifest.Reason
			}
		}
		list = append(list, i)
	}
	if c.JSON {
		return s.printJSON(list)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "gateway\trun\tbuild\tbegin\tlength\tfiles\tsize\tevents\tcheckpoints\tincident")
	for _, i := range list {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%.1fs\t%d\t%s\t%d\t%d\t%s\n", i.Gateway, i.Run, i.Build, i.Begin.Format(time.RFC3339), i.Seconds,
			i.Segments, humanize.IBytes(uint64(i.Bytes)), i.Events, i.Checkpoints, i.Incident)
	}
	return w.Flush()
}

type verifyCmd struct {
	Paths []string `arg:"" help:"Segments, or folders of them."`
	JSON  bool     `name:"json" help:"Print JSON."`
}

func (verifyCmd) Help() string {
	return "Exit code 0: all can be read; 1: something is damaged or was not recorded.\n\nExample:\n  archknot capture verify incident/"
}

func (c *verifyCmd) Run(s *streams) error {
	runs, err := capture.FindRuns(c.Paths...)
	if err != nil {
		return err
	}
	out := struct {
		Events  uint64            `json:"events"`
		Missing []capture.Missing `json:"missing"`
	}{Missing: []capture.Missing{}}
	for _, run := range runs {
		err := eachEntry(run, timeSpan{}, func(e capture.Entry) error {
			switch {
			case e.Missing != nil:
				out.Missing = append(out.Missing, *e.Missing)
			case e.Record.Kind == pb.Kind_KIND_GAP:
				if n := len(out.Missing); n > 0 && out.Missing[n-1].Events > 0 { // the jump of the numbers has told it
					out.Missing[n-1].Reason = "not recorded: " + e.Record.Gap.Reason
					break
				}
				out.Missing = append(out.Missing, capture.Missing{Path: run.Segments[0].Path, Events: e.Record.Gap.Events, Reason: "not recorded: " + e.Record.Gap.Reason})
			case e.Record.Kind != pb.Kind_KIND_CHECKPOINT:
				out.Events++
			}
			return nil
		})
		if err != nil {
			return err
		}
	}
	if c.JSON {
		if err := s.printJSON(out); err != nil {
			return err
		}
	} else {
		for _, m := range out.Missing {
			fmt.Fprintf(s.out, "%s: at byte %d: %s (events: %d)\n", m.Path, m.Offset, m.Reason, m.Events)
		}
		fmt.Fprintf(s.out, "events=%d missing=%d\n", out.Events, len(out.Missing))
	}
	if len(out.Missing) > 0 {
		return errNegative
	}
	return nil
}

// eachEntry reads a span of a run, entry by entry.
func eachEntry(run *capture.Run, sp timeSpan, do func(capture.Entry) error) error {
	from, to, err := sp.within(run)
	if err != nil {
		return err
	}
	r, err := capture.NewReader(run, from)
	if err != nil {
		return err
	}
	defer r.Close()
	for {
		e, err := r.Next()
		if err == io.EOF || err == nil && to != 0 && e.At > to {
			return nil
		}
		if err == nil {
			err = do(e)
		}
		if err != nil {
			return err
		}
	}
}

type dumpCmd struct {
	Paths []string `arg:"" help:"Segments, or folders of them."`
	timeSpan
	Where string `placeholder:"EXPR" help:"Only events that match; see archknot replay --help."`
	Exact bool   `help:"No event before --from, though the checkpoint before it is read."`
	JSON  bool   `name:"json" help:"Print JSON, an object a line, checkpoints with their whole state."`
}

func (dumpCmd) Help() string {
	return "Example:\n  archknot capture dump --from -30s --where 'order == refuse' /var/lib/archknot/capture"
}

func (c *dumpCmd) Run(s *streams) error {
	runs, err := capture.FindRuns(c.Paths...)
	if err != nil {
		return err
	}
	filter, err := parseFilter(c.Where)
	if err != nil {
		return err
	}
	w := bufio.NewWriter(s.out)
	for _, run := range runs {
		names := replay.NewNames()
		from, _, err := c.within(run)
		if err != nil {
			return err
		}
		if !c.JSON {
			fmt.Fprintf(w, "# %s run %s from %s\n", run.Gateway, run.Name, run.WallTime(run.Begin()).Format(time.RFC3339Nano))
		}
		err = eachEntry(run, c.timeSpan, func(e capture.Entry) error {
			if e.Missing != nil {
				if c.JSON {
					fmt.Fprintf(w, "{\"missing\":%q,\"events\":%d}\n", e.Missing.Reason, e.Missing.Events)
				} else {
					fmt.Fprintf(w, "# missing: %s (events: %d)\n", e.Missing.Reason, e.Missing.Events)
				}
				return nil
			}
			names.Learn(e.Record)
			if c.Exact && e.At < from || !filter.Match(names, e.Record, e.At-run.Begin()) {
				return nil
			}
			if c.JSON {
				return dumpJSON(w, e)
			}
			orders := make([]string, len(e.Record.Actions))
			for i, a := range e.Record.Actions {
				orders[i] = names.DescribeAction(a)
			}
			fmt.Fprintf(w, "%s #%d %s", replay.FormatOffset(run, e.At), e.Number, names.DescribeEvent(e.Record))
			if len(orders) > 0 {
				fmt.Fprintf(w, " -> %s", strings.Join(orders, "; "))
			}
			_, err := fmt.Fprintln(w)
			return err
		})
		if err != nil {
			return err
		}
	}
	return w.Flush()
}

func dumpJSON(w io.Writer, e capture.Entry) error {
	rec := e.Record
	state := ""
	if c := rec.Checkpoint; c != nil {
		var st pb.State
		if err := proto.Unmarshal(c.State, &st); err != nil {
			return err
		}
		text, err := protojson.Marshal(&st)
		if err != nil {
			return err
		}
		state = `,"state":` + string(text)
		short := proto.Clone(rec).(*pb.Record)
		short.Checkpoint.State = nil
		rec = short
	}
	text, err := protojson.Marshal(rec)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "{\"event\":%d,\"at_us\":%d,\"record\":%s%s}\n", e.Number, e.At, text, state)
	return err
}

type cutCmd struct {
	Path string `arg:"" help:"The capture: one run."`
	Out  string `arg:"" help:"The new file."`
	timeSpan
	JSON bool `name:"json" help:"Print JSON."`
}

func (cutCmd) Help() string {
	return "The part begins at the last checkpoint before --from, for nothing else can be replayed.\n\n" +
		"Example:\n  archknot capture cut incident/ slow-fleet.akcap --from +60s --to +90s"
}

func (c *cutCmd) Run(s *streams) error {
	runs, err := capture.FindRuns(c.Path)
	if err != nil {
		return err
	}
	if len(runs) != 1 {
		return fmt.Errorf("%s: %d runs in it; name the files of one", c.Path, len(runs))
	}
	from, to, err := c.within(runs[0])
	if err != nil {
		return err
	}
	if to == 0 {
		to = runs[0].End()
	}
	events, err := capture.CopySpan(runs[0], from, to, c.Out)
	if err != nil {
		return err
	}
	info, err := os.Stat(c.Out)
	if err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(map[string]any{"path": c.Out, "events": events, "bytes": info.Size()})
	}
	fmt.Fprintf(s.out, "%s: events=%d bytes=%d\n", c.Out, events, info.Size())
	return nil
}

type explainCmd struct {
	ID    string   `arg:"" help:"The request: the client's id of it, or the module's number."`
	Paths []string `arg:"" help:"Segments, or folders of them."`
}

func (explainCmd) Help() string {
	return "Exit code 1: the request is not in the capture.\n\nExample:\n  archknot capture explain 9b1f03aa5c7e2d41 incident/"
}

func (c *explainCmd) Run(s *streams) error {
	runs, err := capture.FindRuns(c.Paths...)
	if err != nil {
		return err
	}
	found := false
	for _, run := range runs {
		got, err := replay.Explain(run, c.ID, s.out)
		if err != nil {
			return err
		}
		found = found || got
	}
	if !found {
		fmt.Fprintf(s.err, "archknot: request %q is not in the capture\n", c.ID)
		return errNegative
	}
	return nil
}

type saveCmd struct {
	socketFlags
	Reason string `default:"ordered" help:"Why, for the incident's manifest."`
	JSON   bool   `name:"json" help:"Print JSON."`
}

func (saveCmd) Help() string {
	return "Exit code 1: the gateway answered that it cannot.\n\nExample:\n  archknot capture save --config deploy/archknot.conf --reason 'chat was slow at ten'"
}

func (c *saveCmd) Run(s *streams) error {
	var a lifecycle.SaveResponse
	if err := c.call(s, "capture/save", lifecycle.SaveRequest{Reason: c.Reason}, &a); err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(a)
	}
	fmt.Fprintf(s.out, "%s: segments=%d bytes=%d\n", a.Path, a.Segments, a.Bytes)
	return nil
}
