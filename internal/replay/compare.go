package replay

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"os/exec"
	"strings"

	"archknot/internal/capture"
)

// Indexes of the tab-separated fields in a line that Emit writes.
const (
	emittedNumber = iota
	emittedAt
	emittedClass
	emittedEvent
	emittedDecisions
	emittedFieldCount
)

const (
	// emitBufferSize is the size of the buffers for emitted lines, in bytes.
	emitBufferSize = 64 << 10
	// maxEmittedLine bounds the length of a line that another build emits, in bytes.
	maxEmittedLine = 16 << 20
)

// Emit writes one line for each event of a run: its number, its time since the start of the run, its request's class,
// the event, and this build's decisions, separated by tabs. CompareBuilds compares the lines of two builds.
func Emit(run *capture.Run, o Options, out io.Writer) (*Result, error) {
	w := bufio.NewWriterSize(out, emitBufferSize)
	o.OnStep = func(s *Step) { emitStep(w, run, s) }
	result, err := Replay(run, o)
	if err == nil {
		err = w.Flush()
	}
	return result, err
}

// emitStep writes the line of one event. It ignores write errors: bufio.Writer keeps the first one for Flush.
func emitStep(w *bufio.Writer, run *capture.Run, s *Step) {
	class := ""
	subject := filterSubject{names: s.Names, record: s.Record}
	if id := subject.request(); s.Names.requests[id] != nil {
		class = s.Names.Class(id)
	}
	fmt.Fprintf(w, "%d\t%d\t%s\t%s\t", s.Number, s.At-run.Begin(), class, stripSeparators(s.Names.DescribeEvent(s.Record)))
	for i, a := range s.Actions {
		separator := "; "
		if i == 0 {
			separator = ""
		}
		fmt.Fprint(w, separator, stripSeparators(s.Names.DescribeAction(a)))
	}
	for _, d := range s.Differences {
		fmt.Fprintf(w, "; by itself (%s): %s", d.Kind, stripSeparators(d.Own))
	}
	fmt.Fprintln(w)
}

// stripSeparators replaces tabs and newlines, which separate fields and lines, with spaces.
func stripSeparators(s string) string {
	return strings.Map(func(c rune) rune {
		if c == '\t' || c == '\n' {
			return ' '
		}
		return c
	}, s)
}

// BuildComparison is the result of CompareBuilds.
type BuildComparison struct {
	Events    uint64            `json:"events"`
	Differing uint64            `json:"differ"`
	ByClass   map[string]uint64 `json:"by_class,omitempty"` // differing events by class of the request
	ByEvent   map[string]uint64 `json:"by_event,omitempty"` // differing events by kind of event
	First     *BuildDifference  `json:"first,omitempty"`
}

// BuildDifference is one event at which two builds decide differently.
type BuildDifference struct {
	Event string `json:"event"` // event number
	At    string `json:"at"`
	Input string `json:"told"`
	One   string `json:"one"`   // decisions of the first build
	Other string `json:"other"` // decisions of the second
}

// Line summarizes the comparison in one line.
func (c *BuildComparison) Line() string {
	return fmt.Sprintf("events=%d differ=%d", c.Events, c.Differing)
}

// add counts one event, given the fields of both builds' lines for it.
func (c *BuildComparison) add(one, other []string) {
	c.Events++
	if one[emittedDecisions] == other[emittedDecisions] {
		return
	}
	c.Differing++
	if class := one[emittedClass]; class != "" {
		c.ByClass[class]++
	}
	kind, _, _ := strings.Cut(one[emittedEvent], " ")
	c.ByEvent[kind]++
	if c.First == nil {
		c.First = &BuildDifference{
			Event: one[emittedNumber],
			At:    one[emittedAt],
			Input: one[emittedEvent],
			One:   one[emittedDecisions],
			Other: other[emittedDecisions],
		}
	}
}

// CompareBuilds runs `replay --emit` of two programs concurrently with the same arguments and compares their decisions
// line by line. It fails if a program cannot be run or if the two emit different events.
func CompareBuilds(ctx context.Context, one, other string, args []string, errOut io.Writer) (*BuildComparison, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	a, err := startEmitter(ctx, one, args, errOut)
	if err != nil {
		return nil, err
	}
	b, err := startEmitter(ctx, other, args, errOut)
	if err != nil {
		return nil, err
	}
	c := &BuildComparison{ByClass: map[string]uint64{}, ByEvent: map[string]uint64{}}
	for {
		more, moreOther := a.lines.Scan(), b.lines.Scan()
		if !more && !moreOther {
			break
		}
		x, y := a.fields(), b.fields()
		sameEvent := len(x) == emittedFieldCount && len(y) == emittedFieldCount && x[emittedNumber] == y[emittedNumber]
		if more != moreOther || !sameEvent {
			return nil, fmt.Errorf("builds read different events: %q and %q", a.lines.Text(), b.lines.Text())
		}
		c.add(x, y)
	}
	for _, e := range []*emitter{a, b} {
		if err := e.wait(); err != nil {
			return nil, err
		}
	}
	return c, nil
}

// emitter is a process that runs `replay --emit`.
type emitter struct {
	cmd   *exec.Cmd
	lines *bufio.Scanner
}

func startEmitter(ctx context.Context, program string, args []string, errOut io.Writer) (*emitter, error) {
	cmd := exec.CommandContext(ctx, program, append([]string{"replay", "--emit"}, args...)...)
	cmd.Stderr = errOut
	out, err := cmd.StdoutPipe()
	if err == nil {
		err = cmd.Start()
	}
	if err != nil {
		return nil, fmt.Errorf("start %s: %w", program, err)
	}
	lines := bufio.NewScanner(out)
	lines.Buffer(make([]byte, emitBufferSize), maxEmittedLine)
	return &emitter{cmd, lines}, nil
}

// fields returns the fields of the current line.
func (e *emitter) fields() []string {
	return strings.SplitN(e.lines.Text(), "\t", emittedFieldCount)
}

// wait waits for the process to exit. Exit code 1 means that the build differs from the recording: not an error here.
func (e *emitter) wait() error {
	err := e.cmd.Wait()
	var exit *exec.ExitError
	if err == nil || errors.As(err, &exit) && exit.ExitCode() == 1 {
		return nil
	}
	return fmt.Errorf("run %s: %w", e.cmd.Path, err)
}
