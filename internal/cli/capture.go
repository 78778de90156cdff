package cli

import (
	"bufio"
	"encoding/json"
	"errors"
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
	Info    infoCmd    `cmd:"" help:"Show what captures contain."`
	Verify  verifyCmd  `cmd:"" help:"Read captures completely and report what is damaged or missing."`
	Dump    dumpCmd    `cmd:"" help:"Print events and actions, one line for each event."`
	Cut     cutCmd     `cmd:"" help:"Copy a part of a capture into a small one."`
	Explain explainCmd `cmd:"" help:"Explain why a request was sent to its replicas."`
	Save    saveCmd    `cmd:"" help:"Have a running gateway save its last minutes as an incident."`
}

// timeSpan has the flags that select a part of a run by time.
type timeSpan struct {
	From string `placeholder:"TIME" help:"Start: +30s from the start of the capture, -30s from its end, or a time such as 2026-12-01T10:00:00Z."`
	To   string `placeholder:"TIME" help:"End, in the same forms."`
}

// within returns the start and the end of the span on a run's clock. 0 is an end that was not given.
func (s timeSpan) within(run *capture.Run) (from, to balancer.Micros, err error) {
	if from, err = parseMoment(s.From, run); err == nil {
		to, err = parseMoment(s.To, run)
	}
	return from, to, err
}

// parseMoment parses a time relative to a run's start (+) or end (-), or an absolute time in RFC 3339 format. It
// returns the time on the run's clock; 0 for an empty text.
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
	Paths []string `arg:"" help:"Segments, or directories of segments."`
	JSON  bool     `name:"json" help:"Print JSON."`
}

func (infoCmd) Help() string { return "Example:\n  archknot capture info /var/lib/archknot/capture" }

// runInfo is the description of a run that the info command prints.
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
	for _, run := range runs {
		list = append(list, newRunInfo(run))
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

func newRunInfo(run *capture.Run) runInfo {
	info := runInfo{
		Gateway:  run.Gateway,
		Run:      run.Name,
		Build:    run.Build,
		Begin:    run.WallTime(run.Begin()),
		Seconds:  float64(run.End()-run.Begin()) / 1e6,
		Segments: len(run.Segments),
		Bytes:    run.Bytes(),
		Incident: incidentReason(run),
	}
	for _, segment := range run.Segments {
		if segment.Closed {
			info.Closed++
		}
		for _, block := range segment.Blocks {
			info.Events += uint64(block.Records)
			if block.Checkpoint {
				info.Checkpoints++
			}
		}
	}
	return info
}

// incidentReason returns the incident's reason from the manifest in a run's directory, or "" if there is none.
func incidentReason(run *capture.Run) string {
	text, err := os.ReadFile(filepath.Join(filepath.Dir(run.Segments[0].Path), capture.ManifestName))
	if err != nil {
		return ""
	}
	var manifest capture.Manifest
	if json.Unmarshal(text, &manifest) != nil {
		return ""
	}
	return manifest.Reason
}

type verifyCmd struct {
	Paths []string `arg:"" help:"Segments, or directories of segments."`
	JSON  bool     `name:"json" help:"Print JSON."`
}

func (verifyCmd) Help() string {
	return "Exit code 0: everything can be read; 1: something is damaged or was not recorded.\n\nExample:\n  archknot capture verify incident/"
}

func (c *verifyCmd) Run(s *streams) error {
	runs, err := capture.FindRuns(c.Paths...)
	if err != nil {
		return err
	}
	out := verification{Missing: []capture.MissingPart{}}
	for _, run := range runs {
		err := eachEntry(run, timeSpan{}, func(entry capture.Entry) error {
			out.add(run, entry)
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

// verification is the result of the verify command: the number of events, and the gaps.
type verification struct {
	Events  uint64                `json:"events"`
	Missing []capture.MissingPart `json:"missing"`
}

func (v *verification) add(run *capture.Run, entry capture.Entry) {
	switch {
	case entry.Missing != nil:
		v.Missing = append(v.Missing, *entry.Missing)
	case entry.Record.Kind == pb.Kind_KIND_GAP:
		gap := entry.Record.Gap
		reason := "not recorded: " + gap.Reason
		if n := len(v.Missing); n > 0 && v.Missing[n-1].Events > 0 { // the reader has reported this gap, by the jump in event numbers
			v.Missing[n-1].Reason = reason
			return
		}
		v.Missing = append(v.Missing, capture.MissingPart{Path: run.Segments[0].Path, Events: gap.Events, Reason: reason})
	case entry.Record.Kind != pb.Kind_KIND_CHECKPOINT:
		v.Events++
	}
}

// eachEntry calls do with each entry of a run up to the end of the span, from the checkpoint before its start.
func eachEntry(run *capture.Run, sp timeSpan, do func(capture.Entry) error) error {
	from, to, err := sp.within(run)
	if err != nil {
		return err
	}
	reader, err := capture.NewReader(run, from)
	if err != nil {
		return err
	}
	defer reader.Close()
	for {
		entry, err := reader.Next()
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
		if to != 0 && entry.At > to {
			return nil
		}
		if err := do(entry); err != nil {
			return err
		}
	}
}

type dumpCmd struct {
	Paths []string `arg:"" help:"Segments, or directories of segments."`
	timeSpan
	Where string `placeholder:"EXPR" help:"Only events that match; see archknot replay --help."`
	Exact bool   `help:"Print no events before --from; the checkpoint before it is read nevertheless."`
	JSON  bool   `name:"json" help:"Print JSON, one object a line, checkpoints with their complete state."`
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
		if err := c.dump(w, run, filter); err != nil {
			return err
		}
	}
	return w.Flush()
}

// dump prints the entries of a run that match the filter.
func (c *dumpCmd) dump(w io.Writer, run *capture.Run, filter *replay.Filter) error {
	from, _, err := c.within(run)
	if err != nil {
		return err
	}
	if !c.JSON {
		fmt.Fprintf(w, "# %s run %s from %s\n", run.Gateway, run.Name, run.WallTime(run.Begin()).Format(time.RFC3339Nano))
	}
	names := replay.NewNames()
	return eachEntry(run, c.timeSpan, func(entry capture.Entry) error {
		if entry.Missing != nil {
			return c.dumpMissing(w, entry.Missing)
		}
		names.AddRecord(entry.Record)
		if c.Exact && entry.At < from || !filter.Match(names, entry.Record, entry.At-run.Begin()) {
			return nil
		}
		if c.JSON {
			return dumpJSON(w, entry)
		}
		return dumpText(w, run, names, entry)
	})
}

func (c *dumpCmd) dumpMissing(w io.Writer, missing *capture.MissingPart) error {
	format := "# missing: %s (events: %d)\n"
	if c.JSON {
		format = "{\"missing\":%q,\"events\":%d}\n"
	}
	_, err := fmt.Fprintf(w, format, missing.Reason, missing.Events)
	return err
}

// dumpText prints an event and the balancer's actions on one line.
func dumpText(w io.Writer, run *capture.Run, names *replay.Names, entry capture.Entry) error {
	line := fmt.Sprintf("%s #%d %s", replay.FormatOffset(run, entry.At), entry.Number, names.DescribeEvent(entry.Record))
	actions := make([]string, len(entry.Record.Actions))
	for i, action := range entry.Record.Actions {
		actions[i] = names.DescribeAction(action)
	}
	if len(actions) > 0 {
		line += " -> " + strings.Join(actions, "; ")
	}
	_, err := fmt.Fprintln(w, line)
	return err
}

// dumpJSON prints an entry as a JSON object on one line. The state of a checkpoint is decoded into a field of its own.
func dumpJSON(w io.Writer, entry capture.Entry) error {
	record := entry.Record
	state := ""
	if checkpoint := record.Checkpoint; checkpoint != nil {
		text, err := stateJSON(checkpoint.State)
		if err != nil {
			return err
		}
		state = `,"state":` + string(text)
		record = proto.CloneOf(record)
		record.Checkpoint.State = nil
	}
	text, err := protojson.Marshal(record)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "{\"event\":%d,\"at_us\":%d,\"record\":%s%s}\n", entry.Number, entry.At, text, state)
	return err
}

// stateJSON converts the encoded state of a checkpoint to JSON.
func stateJSON(encoded []byte) ([]byte, error) {
	var state pb.State
	if err := proto.Unmarshal(encoded, &state); err != nil {
		return nil, err
	}
	return protojson.Marshal(&state)
}

type cutCmd struct {
	Path string `arg:"" help:"The capture: one run."`
	Out  string `arg:"" help:"The new file."`
	timeSpan
	JSON bool `name:"json" help:"Print JSON."`
}

func (cutCmd) Help() string {
	return "The part starts at the last checkpoint before --from, because a replay can only start at a checkpoint.\n\n" +
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
	ID    string   `arg:"" help:"The request: the client's ID of it, or the decision module's number."`
	Paths []string `arg:"" help:"Segments, or directories of segments."`
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
	Reason string `default:"ordered" help:"The reason, for the incident's manifest."`
	JSON   bool   `name:"json" help:"Print JSON."`
}

func (saveCmd) Help() string {
	return "Exit code 1: the gateway answered that it cannot do it.\n\nExample:\n  archknot capture save --config deploy/archknot.conf --reason 'chat was slow at ten'"
}

func (c *saveCmd) Run(s *streams) error {
	var a lifecycle.SaveCaptureResponse
	if err := c.call(s, "capture/save", lifecycle.SaveCaptureRequest{Reason: c.Reason}, &a); err != nil {
		return err
	}
	if c.JSON {
		return s.printJSON(a)
	}
	fmt.Fprintf(s.out, "%s: segments=%d bytes=%d\n", a.Path, a.Segments, a.Bytes)
	return nil
}
