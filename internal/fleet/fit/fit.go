// Package fit estimates the parameters of the fleet model's traffic from captures: rates, sessions, lengths
// and shared prefixes, each with its uncertainty. It also lists the parameters that a capture cannot show.
// Read reads turns from captures; the other functions do no I/O.
package fit

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"archknot/balancer"
)

// Turn is a captured request. Times are microseconds on one clock for all gateways.
type Turn struct {
	At, EndedAt                           balancer.Micros // EndedAt: end of the answer; 0: the request was not served
	Class, Tenant                         string
	Session, Prefix                       uint64
	PromptTokens, PrefixTokens, MaxTokens int
	OutputTokens                          int // 0: not reported
}

// Value is an estimate from N observations with its 95% interval. N is 0 if there is no estimate.
type Value struct {
	Value float64 `json:"value"`
	Low   float64 `json:"low"`
	High  float64 `json:"high"`
	N     int     `json:"n"`
}

// String returns the estimate as text for tables.
func (v Value) String() string {
	if v.N == 0 {
		return "not observed"
	}
	return fmt.Sprintf("%.4g (%.4g to %.4g, n=%d)", v.Value, v.Low, v.High, v.N)
}

// Stream holds the estimated traffic parameters of one class and tenant, under the names of a plan's keys.
type Stream struct {
	Class        string   `json:"class"`
	Tenant       string   `json:"tenant"`
	Requests     int      `json:"requests"`
	Rate         Value    `json:"rate"`       // requests per second
	Turns        Value    `json:"turns"`      // mean number in a session
	Think        Value    `json:"think_s"`    // median time between two turns, in seconds
	Prompt       Value    `json:"prompt"`     // median number of new tokens in a turn
	Answer       Value    `json:"answer"`     // median number of tokens
	Spread       Value    `json:"spread"`     // standard deviation of the logarithms of prompt and answer lengths
	Prefixes     Value    `json:"prefixes"`   // number of shared prefixes, including unseen ones
	PrefixTokens Value    `json:"shared"`     // median length of shared prefixes, in tokens
	Dispersion   Value    `json:"dispersion"` // of session starts per second: 1 for a Poisson process, more for bursts
	MaxTokens    int      `json:"most"`       // largest output token limit of a request
	Unknown      []string `json:"untold"`     // notes on data that the capture lacks
}

const (
	// sessionEndThinkTimes is the time without a turn after which a session counts as ended, in median think
	// times.
	sessionEndThinkTimes = 8.0
	// minSessionEndGap is the minimum of that time, which applies if think times are short or none is known.
	minSessionEndGap balancer.Micros = 10_000_000
	second           balancer.Micros = 1_000_000
)

// Streams estimates the traffic of each class and tenant from all turns that were captured between two
// times. The streams are sorted by class and tenant.
func Streams(turns []Turn, from, to balancer.Micros) []Stream {
	type streamKey struct{ class, tenant string }
	byStream := map[streamKey][]Turn{}
	for _, t := range turns {
		key := streamKey{t.Class, t.Tenant}
		byStream[key] = append(byStream[key], t)
	}
	var streams []Stream
	for key, list := range byStream {
		slices.SortStableFunc(list, func(a, b Turn) int { return cmp.Compare(a.At, b.At) })
		s := fitStream(list, from, to)
		s.Class, s.Tenant = key.class, key.tenant
		streams = append(streams, s)
	}
	slices.SortFunc(streams, func(a, b Stream) int {
		return cmp.Or(cmp.Compare(a.Class, b.Class), cmp.Compare(a.Tenant, b.Tenant))
	})
	return streams
}

// fitStream estimates one stream from its turns, which must be sorted by arrival.
func fitStream(turns []Turn, from, to balancer.Micros) (s Stream) {
	o := newObservations(turns, from, to)
	s.Requests = len(turns)
	for _, t := range turns {
		s.MaxTokens = max(s.MaxTokens, t.MaxTokens)
	}
	s.Rate = o.rate()
	// Only turns that ended at least sessionEndGap before the end of the capture show whether and when their
	// session continued. Near the end only short think times are seen, which would bias the estimates.
	sessionEndGap := max(minSessionEndGap, balancer.Micros(sessionEndThinkTimes*median(o.thinkTimes(to)).Value*1e6))
	sessionEndGap = min(sessionEndGap, (to-from)/2)
	s.Think = median(o.thinkTimes(to - sessionEndGap))

	o.observeSingleTurns()
	o.observeSessions(sessionEndGap)
	s.Turns = meanTurns(o.continued, o.ended)
	s.Prompt, s.Answer = median(o.newPromptTokens), median(o.outputTokens)
	s.Spread = standardDeviation(slices.Concat(logRatios(o.newPromptTokens, s.Prompt.Value), logRatios(o.outputTokens, s.Answer.Value)))
	s.Prefixes, s.PrefixTokens = fitPrefixes(turns)
	firstSecond := int64(0)
	if len(o.sessions) > 0 {
		firstSecond = sessionEndGap/second + 1
	}
	s.Dispersion = dispersion(o.startsBySecond, firstSecond, (to-from)/second)
	s.noteUnknown(turns, o.censored)
	return s
}

// logRatios returns the logarithms of the values divided by their median.
func logRatios(values []float64, median float64) (logs []float64) {
	for _, v := range values {
		logs = append(logs, math.Log(v/median))
	}
	return logs
}

// observations holds the samples taken from the turns of a stream.
type observations struct {
	turns       []Turn
	from, to    balancer.Micros
	sessions    map[uint64][]Turn
	sessionKeys []uint64 // sorted
	singleTurns int      // number of turns without a session

	newPromptTokens  []float64
	outputTokens     []float64
	startsBySecond   map[int64]int
	continued, ended int // numbers of turns that were followed by another one, and that were the last of their session
	censored         int // number of last turns that ended less than sessionEndGap before the end of the capture
}

func newObservations(turns []Turn, from, to balancer.Micros) *observations {
	o := &observations{turns: turns, from: from, to: to, sessions: map[uint64][]Turn{}, startsBySecond: map[int64]int{}}
	for _, t := range turns {
		if t.Session == 0 {
			o.singleTurns++
		} else {
			o.sessions[t.Session] = append(o.sessions[t.Session], t)
		}
	}
	o.sessionKeys = slices.Sorted(maps.Keys(o.sessions))
	o.ended = o.singleTurns
	return o
}

// rate returns the requests per second. Sessions arrive independently of each other but their turns do not,
// so the variance is that of sessions weighted by their numbers of turns.
func (o *observations) rate() Value {
	seconds := math.Max(1e-6, float64(o.to-o.from)/1e6)
	squares := float64(o.singleTurns)
	for _, key := range o.sessionKeys {
		squares += float64(len(o.sessions[key]) * len(o.sessions[key]))
	}
	rate, standardError := float64(len(o.turns))/seconds, math.Sqrt(squares)/seconds
	return Value{rate, math.Max(0, rate-z95*standardError), rate + z95*standardError, len(o.turns)}
}

// thinkTimes returns the seconds from the end of an answer to the session's next turn, for answers that
// ended at or before until.
func (o *observations) thinkTimes(until balancer.Micros) (seconds []float64) {
	for _, key := range o.sessionKeys {
		turns := o.sessions[key]
		for i := 1; i < len(turns); i++ {
			if end := turns[i-1].EndedAt; end > 0 && end <= until && turns[i].At > end {
				seconds = append(seconds, float64(turns[i].At-end)/1e6)
			}
		}
	}
	return seconds
}

// observeSingleTurns records the lengths of all answers, and the turns without a session.
func (o *observations) observeSingleTurns() {
	for _, t := range o.turns {
		if t.OutputTokens > 0 && t.EndedAt > 0 {
			o.outputTokens = append(o.outputTokens, float64(t.OutputTokens))
		}
		if t.Session == 0 {
			o.observePrompt(t.PromptTokens - t.PrefixTokens)
			o.observeStart(t.At)
		}
	}
}

// observeSessions records the turns of sessions. A session without a turn for sessionEndGap counts as ended.
func (o *observations) observeSessions(sessionEndGap balancer.Micros) {
	for _, key := range o.sessionKeys {
		turns := o.sessions[key]
		if turns[0].At >= o.from+sessionEndGap { // so late that the session counts as begun during the capture
			o.observeStart(turns[0].At)
			o.observePrompt(turns[0].PromptTokens - turns[0].PrefixTokens)
		}
		for i, t := range turns {
			if t.EndedAt == 0 {
				continue
			}
			observedLongEnough := t.EndedAt+sessionEndGap <= o.to
			switch {
			case i+1 < len(turns):
				if observedLongEnough {
					o.continued++
				}
				if t.OutputTokens > 0 {
					o.observePrompt(turns[i+1].PromptTokens - t.PromptTokens - t.OutputTokens)
				}
			case observedLongEnough:
				o.ended++
			default:
				o.censored++
			}
		}
	}
}

func (o *observations) observePrompt(newTokens int) {
	if newTokens > 0 {
		o.newPromptTokens = append(o.newPromptTokens, float64(newTokens))
	}
}

func (o *observations) observeStart(at balancer.Micros) { o.startsBySecond[(at-o.from)/second]++ }

// noteUnknown lists the data that the capture lacks.
func (s *Stream) noteUnknown(turns []Turn, censored int) {
	note := func(format string, args ...any) { s.Unknown = append(s.Unknown, fmt.Sprintf(format, args...)) }
	unserved, noTokens := 0, 0
	for _, t := range turns {
		if t.EndedAt == 0 {
			unserved++
		} else if t.OutputTokens == 0 {
			noTokens++
		}
	}
	note("retries: a client that comes again has another id")
	note("patience: who was answered in time would have waited for longer")
	if unserved > 0 {
		note("answers of %d of %d requests, which were not served", unserved, len(turns))
	}
	if noTokens > 0 {
		note("lengths of %d answers, whose workers did not tell them", noTokens)
	}
	if censored > 0 {
		note("whether %d sessions went on after the recording", censored)
	}
	if s.Turns.N > 0 && s.Think.N == 0 && s.Turns.High > 1 {
		note("thinking: no session was seen to go on")
	}
}
