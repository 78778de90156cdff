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

// Emit writes one line for each event of a run: its number, its time since the
// run began, its request's class, what was told and what this build decides,
// set apart by tabs. Two builds' lines are compared by Against.
func Emit(run *capture.Run, o Options, out io.Writer) (*Result, error) {
	w := bufio.NewWriterSize(out, 64<<10)
	var failed error
	o.OnStep = func(s *Step) {
		class := ""
		if id := (&filterSubject{names: s.Names, record: s.Record}).request(); s.Names.requests[id] != nil {
			class = s.Names.Class(id)
		}
		fmt.Fprintf(w, "%d\t%d\t%s\t%s\t", s.Number, s.At-run.Begin(), class, stripSeparators(s.Names.DescribeEvent(s.Record)))
		for i, a := range s.Actions {
			if i > 0 {
				w.WriteString("; ")
			}
			w.WriteString(stripSeparators(s.Names.DescribeAction(a)))
		}
		for _, d := range s.Differences {
			fmt.Fprintf(w, "; by itself (%s): %s", d.Kind, stripSeparators(d.Own))
		}
		if err := w.WriteByte('\n'); err != nil && failed == nil {
			failed = err
		}
	}
	res, err := Replay(run, o)
	if err == nil {
		err = errors.Join(failed, w.Flush())
	}
	return res, err
}

func stripSeparators(s string) string {
	return strings.Map(func(c rune) rune {
		if c == '\t' || c == '\n' {
			return ' '
		}
		return c
	}, s)
}

// BuildComparison compares two builds on one capture.
type BuildComparison struct {
	Events    uint64            `json:"events"`
	Differing uint64            `json:"differ"`
	ByClass   map[string]uint64 `json:"by_class,omitempty"`
	ByEvent   map[string]uint64 `json:"by_event,omitempty"`
	First     *BuildDifference  `json:"first,omitempty"`
}

// BuildDifference is one event at which two builds decide otherwise.
type BuildDifference struct {
	Event string `json:"event"`
	At    string `json:"at"`
	Input string `json:"told"`
	One   string `json:"one"`
	Other string `json:"other"`
}

// Line sums it up.
func (r *BuildComparison) Line() string {
	return fmt.Sprintf("events=%d differ=%d", r.Events, r.Differing)
}

// CompareBuilds runs two programs' `replay --emit` on the same arguments at once, each
// in a process of its own, and compares what they decide.
func CompareBuilds(ctx context.Context, one, other string, args []string, errOut io.Writer) (*BuildComparison, error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	type child struct {
		cmd *exec.Cmd
		in  *bufio.Scanner
	}
	begin := func(program string) (*child, error) {
		c := exec.CommandContext(ctx, program, append([]string{"replay", "--emit"}, args...)...)
		c.Stderr = errOut
		out, err := c.StdoutPipe()
		if err == nil {
			err = c.Start()
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", program, err)
		}
		in := bufio.NewScanner(out)
		in.Buffer(make([]byte, 64<<10), 16<<20)
		return &child{c, in}, nil
	}
	a, err := begin(one)
	if err != nil {
		return nil, err
	}
	b, err := begin(other)
	if err != nil {
		return nil, err
	}
	r := &BuildComparison{ByClass: map[string]uint64{}, ByEvent: map[string]uint64{}}
	for {
		more, moreOther := a.in.Scan(), b.in.Scan()
		if !more && !moreOther {
			break
		}
		x, y := strings.SplitN(a.in.Text(), "\t", 5), strings.SplitN(b.in.Text(), "\t", 5)
		if more != moreOther || len(x) != 5 || len(y) != 5 || x[0] != y[0] {
			stop()
			return nil, fmt.Errorf("the two builds do not read the same events: %q and %q", a.in.Text(), b.in.Text())
		}
		if r.Events++; x[4] == y[4] {
			continue
		}
		r.Differing++
		if x[2] != "" {
			r.ByClass[x[2]]++
		}
		told, _, _ := strings.Cut(x[3], " ")
		r.ByEvent[told]++
		if r.First == nil {
			r.First = &BuildDifference{x[0], x[1], x[3], x[4], y[4]}
		}
	}
	// Exit code 1 says that a build differs from the record: that is no fault here.
	for _, c := range []*child{a, b} {
		err := c.cmd.Wait()
		var exit *exec.ExitError
		if err != nil && !(errors.As(err, &exit) && exit.ExitCode() == 1) {
			return nil, fmt.Errorf("%s: %w", c.cmd.Path, err)
		}
	}
	return r, nil
}
