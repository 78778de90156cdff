package replay

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

func sortedByScore(t []balancer.ScoreBreakdown) []balancer.ScoreBreakdown {
	out := slices.Clone(t)
	slices.SortStableFunc(out, func(a, b balancer.ScoreBreakdown) int { return cmp.Compare(a.Score, b.Score) })
	return out
}

// Explain tells the life of one request in plain lines: what the module was
// told, what it ordered, and why it chose each worker. The request is named as
// its client did, or by the module's number. It tells whether it was found.
func Explain(run *capture.Run, request string, out io.Writer) (found bool, err error) {
	number, err := strconv.ParseUint(request, 10, 32)
	isNumber := err == nil
	meant := func(n *Names, id uint32) bool {
		a := n.requests[id]
		return a != nil && a.Name == request || isNumber && id == uint32(number) && (a == nil || a.Name == "")
	}
	about := func(n *Names, r *pb.Record) bool {
		s := filterSubject{names: n, record: r}
		return meant(n, s.request())
	}
	_, err = Replay(run, Options{Explain: about, OnStep: func(s *Step) {
		ordered := slices.ContainsFunc(s.Record.Actions, func(a *pb.Action) bool {
			return a.Kind != pb.Action_SET_TIMER && a.Kind != pb.Action_PROBE && a.Kind != pb.Action_TELL_PEERS &&
				a.Kind != pb.Action_WATCH_REGISTRY && meant(s.Names, a.Request)
		})
		if !about(s.Names, s.Record) && !ordered {
			return
		}
		found = true
		f := s.Balancer.Stats()
		fmt.Fprintf(out, "%s %s event %d: %s\n", FormatOffset(run, s.At), run.WallTime(s.At).Format("15:04:05.000000"), s.Number, s.Names.DescribeEvent(s.Record))
		if s.Record.Kind == pb.Kind_KIND_ARRIVED {
			limit := "none"
			if f.TokenLimit > 0 {
				limit = fmt.Sprintf("%.0f", f.TokenLimit)
			}
			fmt.Fprintf(out, "  in hand: %d requests, %.0f tokens open, limit %s, late share %.3f\n", f.Requests, f.InFlightTokens, limit, f.LateShare)
		}
		for _, k := range s.Picks {
			writePick(s.Names, &k, out)
		}
		for _, a := range s.Record.Actions {
			fmt.Fprintf(out, "  ordered: %s\n", s.Names.DescribeAction(a))
		}
		for _, d := range s.Differences {
			fmt.Fprintf(out, "  this build differs (%s): %s, recorded %s\n", d.Kind, d.Own, d.Recorded)
		}
	}})
	return found, err
}

// writePick tells a choice, its runner-up, and every term.
func writePick(n *Names, k *Pick, out io.Writer) {
	terms := sortedByScore(k.Scores)
	switch {
	case !k.Found && len(terms) == 0:
		fmt.Fprintf(out, "  no worker may take it\n")
	case len(terms) == 1:
		fmt.Fprintf(out, "  chose %s: the only one that may take it\n", n.Replica(uint32(k.Chosen)))
	case len(terms) > 1:
		a, b := terms[0], terms[1]
		fmt.Fprintf(out, "  chose %s, predicted %.1f; next is %s with %.1f (%.1f%% more): %s\n", n.Replica(uint32(a.Replica)), a.Score,
			n.Replica(uint32(b.Replica)), b.Score, 100*(b.Score/a.Score-1), mainReason(a, b))
	}
	io.WriteString(out, k.FormatTable(n))
}

// mainReason names the term that sets the chosen worker apart from the next most.
func mainReason(a, b balancer.ScoreBreakdown) string {
	held := func(t balancer.ScoreBreakdown) float64 {
		return (1-t.ReportWeight)*(t.PeerLoad+t.LedgerLoad) + t.ReportWeight*(t.Reported+t.Unreported) + t.Noise
	}
	read := func(t balancer.ScoreBreakdown) float64 { return t.PrefillCost * (t.PromptTokens - t.CachedTokens) }
	best, gain := "", 0.0
	for _, c := range []struct {
		what string
		gain float64
	}{
		{fmt.Sprintf("it has %.0f prompt tokens less to read", (read(b)-read(a))/a.PrefillCost), (read(b) - read(a)) * b.Penalty},
		{fmt.Sprintf("it holds %.0f tokens less", held(b)-held(a)), b.Slowness * (held(b) - held(a)) * b.Penalty},
		{fmt.Sprintf("it is faster (%.2f against %.2f)", a.Slowness, b.Slowness), (b.Slowness - a.Slowness) * (held(a) + a.RequestTokens) * b.Penalty},
		{fmt.Sprintf("less stands against it (guard %.3f against %.3f)", a.Penalty, b.Penalty), (b.Penalty - a.Penalty) * (a.Slowness*(held(a)+a.RequestTokens) + read(a))},
	} {
		if c.gain > gain {
			best, gain = c.what, c.gain
		}
	}
	if best == "" {
		return "by less than any one term"
	}
	return best
}
