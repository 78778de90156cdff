package replay

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"

	"archknot/balancer"
	"archknot/internal/capture"
	pb "archknot/internal/capture/capturepb"
)

// Explain describes the processing of one request: the module's events and actions for it, and why each replica was
// chosen. The request is identified by the client's id or by the module's number. Explain reports whether it was found.
func Explain(run *capture.Run, request string, out io.Writer) (found bool, err error) {
	x := newExplainer(run, request, out)
	_, err = Replay(run, Options{Explain: x.concernsEvent, OnStep: x.explainStep})
	return x.found, err
}

// explainer writes the explanation of one request.
type explainer struct {
	run      *capture.Run
	request  string // client's id or module's number, as given
	number   uint32 // request parsed as a number; valid if isNumber
	isNumber bool
	out      io.Writer
	found    bool
}

func newExplainer(run *capture.Run, request string, out io.Writer) *explainer {
	number, err := strconv.ParseUint(request, 10, 32)
	return &explainer{run: run, request: request, number: uint32(number), isNumber: err == nil, out: out}
}

// isRequest reports whether a number identifies the request. A request whose client's id is known does not match by
// its number.
func (x *explainer) isRequest(n *Names, id uint32) bool {
	a := n.requests[id]
	return a != nil && a.Name == x.request || x.isNumber && id == x.number && (a == nil || a.Name == "")
}

// concernsEvent reports whether an event belongs to the request.
func (x *explainer) concernsEvent(n *Names, r *pb.Record) bool {
	s := filterSubject{names: n, record: r}
	return x.isRequest(n, s.request())
}

// concernsAction reports whether an action belongs to the request.
func (x *explainer) concernsAction(n *Names, a *pb.Action) bool {
	switch a.Kind {
	case pb.Action_SET_TIMER, pb.Action_PROBE, pb.Action_TELL_PEERS, pb.Action_WATCH_REGISTRY:
		return false
	}
	return x.isRequest(n, a.Request)
}

// explainStep describes an event that belongs to the request or led to an action for it, and skips all others.
func (x *explainer) explainStep(s *Step) {
	hasAction := slices.ContainsFunc(s.Record.Actions, func(a *pb.Action) bool { return x.concernsAction(s.Names, a) })
	if !x.concernsEvent(s.Names, s.Record) && !hasAction {
		return
	}
	x.found = true
	fmt.Fprintf(x.out, "%s %s event %d: %s\n", FormatOffset(x.run, s.At), x.run.WallTime(s.At).Format("15:04:05.000000"), s.Number, s.Names.DescribeEvent(s.Record))
	if s.Record.Kind == pb.Kind_KIND_ARRIVED {
		x.explainLoad(s.Balancer.Stats())
	}
	for i := range s.Picks {
		explainPick(s.Names, &s.Picks[i], x.out)
	}
	for _, a := range s.Record.Actions {
		fmt.Fprintf(x.out, "  ordered: %s\n", s.Names.DescribeAction(a))
	}
	for _, d := range s.Differences {
		fmt.Fprintf(x.out, "  this build differs (%s): %s, recorded %s\n", d.Kind, d.Own, d.Recorded)
	}
}

func (x *explainer) explainLoad(stats balancer.Stats) {
	limit := "none"
	if stats.TokenLimit > 0 {
		limit = fmt.Sprintf("%.0f", stats.TokenLimit)
	}
	fmt.Fprintf(x.out, "  in hand: %d requests, %.0f tokens open, limit %s, late share %.3f\n", stats.Requests, stats.InFlightTokens, limit, stats.LateShare)
}

// explainPick writes a choice, the next best one, and the table of all scores.
func explainPick(n *Names, pick *Pick, out io.Writer) {
	scores := sortedByScore(pick.Scores)
	switch {
	case !pick.Found && len(scores) == 0:
		fmt.Fprintf(out, "  no worker may take it\n")
	case len(scores) == 1:
		fmt.Fprintf(out, "  chose %s: the only one that may take it\n", n.Replica(uint32(pick.Chosen)))
	case len(scores) > 1:
		best, next := scores[0], scores[1]
		fmt.Fprintf(out, "  chose %s, predicted %.1f; next is %s with %.1f (%.1f%% more): %s\n", n.Replica(uint32(best.Replica)), best.Score,
			n.Replica(uint32(next.Replica)), next.Score, 100*(next.Score/best.Score-1), mainReason(best, next))
	}
	fmt.Fprint(out, pick.FormatTable(n))
}

// sortedByScore returns the scores in order, the best (lowest) first.
func sortedByScore(scores []balancer.ScoreBreakdown) []balancer.ScoreBreakdown {
	out := slices.Clone(scores)
	slices.SortStableFunc(out, func(a, b balancer.ScoreBreakdown) int { return cmp.Compare(a.Score, b.Score) })
	return out
}

// loadOf returns the estimated number of tokens that a replica has in flight.
func loadOf(s balancer.ScoreBreakdown) float64 {
	return (1-s.ReportWeight)*(s.PeerLoad+s.LedgerLoad) + s.ReportWeight*(s.Reported+s.Unreported) + s.Noise
}

// prefillOf returns the cost of the prompt tokens that a replica has not cached.
func prefillOf(s balancer.ScoreBreakdown) float64 {
	return s.PrefillCost * (s.PromptTokens - s.CachedTokens)
}

// mainReason describes the score term that contributes most to the best replica's lead over the next best.
func mainReason(best, next balancer.ScoreBreakdown) string {
	morePrefill := prefillOf(next) - prefillOf(best)
	moreLoad := loadOf(next) - loadOf(best)
	bestLoad := loadOf(best) + best.RequestTokens
	reason, lead := "", 0.0
	for _, term := range []struct {
		reason string
		lead   float64
	}{
		{fmt.Sprintf("it has %.0f prompt tokens less to read", morePrefill/best.PrefillCost), morePrefill * next.Penalty},
		{fmt.Sprintf("it holds %.0f tokens less", moreLoad), next.Slowness * moreLoad * next.Penalty},
		{fmt.Sprintf("it is faster (%.2f against %.2f)", best.Slowness, next.Slowness), (next.Slowness - best.Slowness) * bestLoad * next.Penalty},
		{fmt.Sprintf("less stands against it (guard %.3f against %.3f)", best.Penalty, next.Penalty),
			(next.Penalty - best.Penalty) * (best.Slowness*bestLoad + prefillOf(best))},
	} {
		if term.lead > lead {
			reason, lead = term.reason, term.lead
		}
	}
	if reason == "" {
		return "by less than any one term"
	}
	return reason
}

// FormatTable formats the scores of a pick as a table, the best first, and lists the excluded replicas with the reasons.
func (k *Pick) FormatTable(n *Names) string {
	var b strings.Builder
	fmt.Fprintf(&b, "  %-16s %12s %9s %9s %9s %9s %9s %9s %6s %8s %8s %8s %6s\n", "worker", "score", "reported", "unseen", "peers",
		"own", "noise", "fresh", "slow", "hold", "prompt", "kept", "guard")
	for _, s := range sortedByScore(k.Scores) {
		mark := ""
		if k.Found && s.Replica == k.Chosen {
			mark = " <- chosen"
		}
		if s.ServedSession {
			mark += " (had the session)"
		}
		if s.AffinityTarget {
			mark += " (home)"
		}
		fmt.Fprintf(&b, "  %-16s %12.1f %9.1f %9.1f %9.1f %9.1f %9.1f %9.4f %6.2f %8.1f %8.0f %8.1f %6.3f%s\n", n.Replica(uint32(s.Replica)), s.Score,
			s.Reported, s.Unreported, s.PeerLoad, s.LedgerLoad, s.Noise, s.ReportWeight, s.Slowness, s.RequestTokens, s.PromptTokens, s.CachedTokens, s.Penalty, mark)
	}
	for _, e := range k.Excluded {
		fmt.Fprintf(&b, "  %-16s not weighed: %s\n", n.Replica(uint32(e.Replica)), e.Reason)
	}
	return b.String()
}
