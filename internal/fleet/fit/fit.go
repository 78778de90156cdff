// Package fit estimates the traffic of the fleet's model from recordings: rates,
// sessions, lengths and shared beginnings, each with its uncertainty, and what a
// recording does not tell. Read takes turns out of captures; all else is free of I/O.
package fit

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"

	"archknot/balancer"
)

// Turn is one request as it was recorded. Times are microseconds on one clock for
// all gateways.
type Turn struct {
	At, EndedAt                           balancer.Micros // End: of the answer; 0: it was not served
	Class, Tenant                         string
	Session, Prefix                       uint64
	PromptTokens, PrefixTokens, MaxTokens int
	OutputTokens                          int // tokens of the answer; 0: not told
}

// Value is an estimate with its 95% interval. N observations stand behind it.
type Value struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	N     int     `json:"n"`
}

func (v Value) String() string {
	if v.N == 0 {
		return "not told"
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g, n=%d)", v.Value, v.Low, v.High, v.N)
}

// Stream is the traffic of one class and tenant, in the terms of a plan.
type Stream struct {
	Class      string   `json:"class"`
	Tenant     string   `json:"tenant"`
	Requests   int      `json:"requests"`
	Rate       Value    `json:"rate"`       // requests a second
	Turns      Value    `json:"turns"`      // of a session, on average
	Think      Value    `json:"think_s"`    // the median
	Prompt     Value    `json:"prompt"`     // new tokens in a turn, the median
	Answer     Value    `json:"answer"`     // tokens, the median
	Spread     Value    `json:"spread"`     // of the logarithms of both
	Prefixes   Value    `json:"prefixes"`   // shared beginnings, those not seen among them
	Shared     Value    `json:"shared"`     // tokens of them, the median
	Dispersion Value    `json:"dispersion"` // of beginnings in a second: 1 as by chance, above in bursts
	MaxTokens  int      `json:"most"`       // tokens that are asked for at most
	Unknown    []string `json:"untold"`     // what the recording does not tell
}

// sessionEndThinkTimes is how long after a turn, in medians of thinking, a session counts as over.
const sessionEndThinkTimes = 8.0

// minSessionEndGap is that time where little thinking was seen, in microseconds.
const minSessionEndGap balancer.Micros = 10_000_000

// Streams estimates from all turns that were recorded from one time to another.
func Streams(turns []Turn, from, to balancer.Micros) []Stream {
	type key struct{ class, tenant string }
	by := map[key][]Turn{}
	for _, t := range turns {
		k := key{t.Class, t.Tenant}
		by[k] = append(by[k], t)
	}
	var out []Stream
	for k, list := range by {
		slices.SortStableFunc(list, func(a, b Turn) int { return cmp.Compare(a.At, b.At) })
		s := fitStream(list, from, to)
		s.Class, s.Tenant = k.class, k.tenant
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	return out
}

func fitStream(turns []Turn, from, to balancer.Micros) (s Stream) {
	s.Requests = len(turns)
	seconds := math.Max(1e-6, float64(to-from)/1e6)
	sessions := map[uint64][]Turn{}
	alone := 0
	for _, t := range turns {
		s.MaxTokens = max(s.MaxTokens, t.MaxTokens)
		if t.Session == 0 {
			alone++
		} else {
			sessions[t.Session] = append(sessions[t.Session], t)
		}
	}
	keys := slices.Sorted(maps.Keys(sessions))
	// Sessions come by chance, turns by sessions: a session's turns come together.
	squares := float64(alone)
	thinking := func(until balancer.Micros) (gaps []float64) {
		for _, k := range keys {
			list := sessions[k]
			for i := 1; i < len(list); i++ {
				if e := list[i-1].EndedAt; e > 0 && e <= until && list[i].At > e {
					gaps = append(gaps, float64(list[i].At-e)/1e6)
				}
			}
		}
		return gaps
	}
	for _, k := range keys {
		squares += float64(len(sessions[k]) * len(sessions[k]))
	}
	rate, se := float64(len(turns))/seconds, math.Sqrt(squares)/seconds
	s.Rate = Value{rate, math.Max(0, rate-1.96*se), rate + 1.96*se, len(turns)}
	// Only a turn that is long over by the end tells whether its session went on, and
	// after what time: of later ones, those that went on soon would count alone.
	over := max(minSessionEndGap, balancer.Micros(sessionEndThinkTimes*median(thinking(to)).Value*1e6))
	over = min(over, (to-from)/2)
	s.Think = median(thinking(to - over))

	goesOn, ends, cut := 0, alone, 0
	var fresh, made, logs []float64
	starts := map[int64]int{}
	noteNew := func(n int) {
		if n > 0 {
			fresh = append(fresh, float64(n))
		}
	}
	for _, t := range turns {
		if t.OutputTokens > 0 && t.EndedAt > 0 {
			made = append(made, float64(t.OutputTokens))
		}
		if t.Session == 0 {
			noteNew(t.PromptTokens - t.PrefixTokens)
			starts[(t.At-from)/1_000_000]++
		}
	}
	for _, k := range keys {
		list := sessions[k]
		if list[0].At >= from+over { // it cannot have begun before the recording
			starts[(list[0].At-from)/1_000_000]++
			noteNew(list[0].PromptTokens - list[0].PrefixTokens)
		}
		for i, t := range list {
			switch {
			case t.EndedAt == 0:
			case i+1 < len(list):
				if t.EndedAt+over <= to {
					goesOn++
				}
				if t.OutputTokens > 0 {
					noteNew(list[i+1].PromptTokens - t.PromptTokens - t.OutputTokens)
				}
			case t.EndedAt+over <= to:
				ends++
			default:
				cut++
			}
		}
	}
	s.Turns = meanTurns(goesOn, ends)
	s.Prompt, s.Answer = median(fresh), median(made)
	for _, list := range [][]float64{fresh, made} {
		m := median(list).Value
		for _, v := range list {
			logs = append(logs, math.Log(v/m))
		}
	}
	s.Spread = deviation(logs)
	s.Prefixes, s.Shared = fitPrefixes(turns)
	first := int64(0)
	if len(sessions) > 0 {
		first = over/1_000_000 + 1
	}
	s.Dispersion = dispersion(starts, first, (to-from)/1_000_000)
	s.noteUnknown(turns, cut)
	return s
}

func (s *Stream) noteUnknown(turns []Turn, cut int) {
	say := func(format string, args ...any) { s.Unknown = append(s.Unknown, fmt.Sprintf(format, args...)) }
	lost, noTokens := 0, 0
	for _, t := range turns {
		if t.EndedAt == 0 {
			lost++
		} else if t.OutputTokens == 0 {
			noTokens++
		}
	}
	say("retries: a client that comes again has another id")
	say("patience: who was answered in time would have waited for longer")
	if lost > 0 {
		say("answers of %d of %d requests, which were not served", lost, len(turns))
	}
	if noTokens > 0 {
		say("lengths of %d answers, whose workers did not tell them", noTokens)
	}
	if cut > 0 {
		say("whether %d sessions went on after the recording", cut)
	}
	if s.Turns.N > 0 && s.Think.N == 0 && s.Turns.High > 1 {
		say("thinking: no session was seen to go on")
	}
}

// median with the interval between ranks.
func median(list []float64) Value {
	n := len(list)
	if n == 0 {
		return Value{}
	}
	list = slices.Sorted(slices.Values(list))
	half := 0.98 * math.Sqrt(float64(n))
	at := func(rank float64) float64 { return list[max(0, min(n-1, int(math.Round(rank))))] }
	mid := list[n/2]
	if n%2 == 0 {
		mid = (list[n/2-1] + list[n/2]) / 2
	}
	return Value{mid, at(float64(n)/2 - half - 1), at(float64(n)/2 + half), n}
}

// meanTurns is the mean of a geometric number of turns: of those that could go on, so
// many did. The interval is Wilson's.
func meanTurns(on, ends int) Value {
	n := float64(on + ends)
	if n == 0 {
		return Value{}
	}
	const z = 1.96
	p := float64(on) / n
	mid := (p + z*z/(2*n)) / (1 + z*z/n)
	half := z / (1 + z*z/n) * math.Sqrt(p*(1-p)/n+z*z/(4*n*n))
	mean := func(p float64) float64 { return 1 / math.Max(1e-4, 1-p) }
	return Value{mean(p), mean(math.Max(0, mid-half)), mean(math.Min(1, mid+half)), on + ends}
}

func deviation(list []float64) Value {
	n := float64(len(list))
	if n < 3 {
		return Value{}
	}
	sum, squares := 0.0, 0.0
	for _, v := range list {
		sum += v
		squares += v * v
	}
	sd := math.Sqrt(math.Max(0, (squares-sum*sum/n)/(n-1)))
	half := 1.96 * sd / math.Sqrt(2*n)
	return Value{sd, math.Max(0, sd-half), sd + half, len(list)}
}

// fitPrefixes are the shared beginnings: those seen, and by Chao's estimator those not
// seen yet.
func fitPrefixes(turns []Turn) (n, shared Value) {
	sights := map[uint64]int{}
	begun := map[[2]uint64]bool{} // a session's turns are one sight
	var lengths []float64
	for _, t := range turns {
		if t.Prefix == 0 || t.Session != 0 && begun[[2]uint64{t.Session, t.Prefix}] {
			continue
		}
		begun[[2]uint64{t.Session, t.Prefix}] = true
		sights[t.Prefix]++
		lengths = append(lengths, float64(t.PrefixTokens))
	}
	once, twice := 0.0, 0.0
	for _, c := range sights {
		switch c {
		case 1:
			once++
		case 2:
			twice++
		}
	}
	seen := float64(len(sights))
	if seen == 0 {
		return Value{}, Value{}
	}
	unseen := once * (once - 1) / (2 * (twice + 1))
	v := once*(once-1)/(2*(twice+1)) + once*(2*once-1)*(2*once-1)/(4*(twice+1)*(twice+1)) + once*once*twice*(once-1)*(once-1)/(4*math.Pow(twice+1, 4))
	n = Value{seen + unseen, seen, seen, len(lengths)}
	if unseen > 0 {
		c := math.Exp(1.96 * math.Sqrt(math.Log(1+v/(unseen*unseen))))
		n.Low, n.High = seen+unseen/c, seen+unseen*c
	}
	return n, median(lengths)
}

// dispersion is the variance of counts in a second over their mean.
func dispersion(starts map[int64]int, from, to int64) Value {
	n := float64(to - from)
	if n < 10 {
		return Value{}
	}
	sum, squares := 0.0, 0.0
	for i := from; i < to; i++ {
		c := float64(starts[i])
		sum += c
		squares += c * c
	}
	if sum == 0 {
		return Value{}
	}
	mean := sum / n
	d := (squares - sum*mean) / (n - 1) / mean
	half := 1.96 * d * math.Sqrt(2/(n-1))
	return Value{d, math.Max(0, d-half), d + half, int(n)}
}

// Plan is the [traffic] sections of a plan with these estimates.
func Plan(streams []Stream) string {
	var b strings.Builder
	for i, s := range streams {
		fmt.Fprintf(&b, "[traffic %s-%d]\n", sectionName(s.Class), i+1)
		line := func(key, format string, v Value) {
			if v.N > 0 {
				fmt.Fprintf(&b, "%s "+format+"\n", key, v.Value)
			}
		}
		fmt.Fprintf(&b, "class %s\n", s.Class)
		if s.Tenant != "" {
			fmt.Fprintf(&b, "tenant %s\n", s.Tenant)
		}
		line("rate", "%.4g", s.Rate)
		line("turns", "%.4g", s.Turns)
		line("think", "%.3fs", s.Think)
		line("prompt", "%.0f", atLeast(s.Prompt, 1))
		line("answer", "%.0f", atLeast(s.Answer, 1))
		line("spread", "%.3f", s.Spread)
		if s.MaxTokens > 0 {
			fmt.Fprintf(&b, "most %d\n", s.MaxTokens)
		}
		line("prefixes", "%.0f", s.Prefixes)
		line("shared", "%.0f", s.Shared)
		b.WriteString("\n")
	}
	return b.String()
}

func atLeast(v Value, least float64) Value {
	v.Value = math.Max(least, v.Value)
	return v
}

// sectionName is a name that a section may have.
func sectionName(name string) string {
	return cmp.Or(strings.Map(func(r rune) rune {
		if r == '-' || r == '_' || r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z' || r >= '0' && r <= '9' {
			return r
		}
		return '-'
	}, name), "traffic")
}
