package replay

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"archknot/choice"
	pb "archknot/internal/capture/capturepb"
)

// Filter picks events by a condition such as
//
//	class == "agent" and worker == "s-5be2a07c" and elapsed > 2s
//
// Fields are those of FilterFields. A field that an event has several of (the
// workers of its orders) matches if one of them does; one that it lacks never
// matches. Times are durations, or plain numbers of microseconds.
type Filter struct{ match func(*subject) bool }

type filterOr struct {
	Left *filterAnd   `parser:"@@"`
	More []*filterAnd `parser:"( 'or' @@ )*"`
}

type filterAnd struct {
	Left *filterNot   `parser:"@@"`
	More []*filterNot `parser:"( 'and' @@ )*"`
}

type filterNot struct {
	Not  bool        `parser:"@'not'?"`
	Test *filterTest `parser:"( @@"`
	Sub  *filterOr   `parser:"| '(' @@ ')' )"`
}

type filterTest struct {
	Pos   lexer.Position
	Field string       `parser:"@Word"`
	Op    string       `parser:"( @Op"`
	Value *filterValue `parser:"  @@ )?"`
}

type filterValue struct {
	Pos  lexer.Position
	Time *string `parser:"  @Time"`
	Num  *string `parser:"| @Number"`
	Text *string `parser:"| @(String | Word)"`
}

// filterParser is built at the first use: a gateway never needs it.
var filterParser = sync.OnceValue(func() *participle.Parser[filterOr] {
	return participle.MustBuild[filterOr](
		participle.Lexer(lexer.MustSimple([]lexer.SimpleRule{
			{Name: "Time", Pattern: `-?\d+(\.\d+)?(us|ms|s|m|h)\b`},
			{Name: "Number", Pattern: `-?\d+(\.\d+)?\b`},
			{Name: "String", Pattern: `"(\\.|[^"\\])*"`},
			{Name: "Op", Pattern: `==|!=|<=|>=|=~|<|>`},
			{Name: "Word", Pattern: `[A-Za-z_][A-Za-z0-9_.-]*`},
			{Name: "Punct", Pattern: `[()]`},
			{Name: "space", Pattern: `\s+`},
		})), participle.Unquote("String"), participle.Elide("space"))
})

// subject is an event under test.
type subject struct {
	n  *Names
	r  *pb.Record
	at choice.Micros // since the run began
}

type fieldType uint8

const (
	textField fieldType = iota
	numberField
	timeField // microseconds
	boolField
)

type field struct {
	name string
	typ  fieldType
	doc  string
	text func(*subject) []string
	num  func(*subject) (float64, bool)
}

func outcomeNum(f func(*pb.Outcome) float64) func(*subject) (float64, bool) {
	return func(s *subject) (float64, bool) { return f(s.r.Outcome), s.r.Outcome != nil }
}

func arrivalNum(f func(*pb.Arrival) float64) func(*subject) (float64, bool) {
	return func(s *subject) (float64, bool) {
		a := s.arrival()
		return f(a), a != nil
	}
}

// arrival is that of the event's request, where the capture told it.
func (s *subject) arrival() *pb.Arrival {
	if s.r.Kind == pb.Kind_KIND_TIMER {
		if _, id := choice.TimerPurpose(s.r.Token); id != 0 {
			return s.n.requests[uint32(id)]
		}
		return nil
	}
	return s.n.requests[s.request()]
}

func (s *subject) request() uint32 {
	switch s.r.Kind {
	case pb.Kind_KIND_ARRIVED, pb.Kind_KIND_FIRST, pb.Kind_KIND_ENDED, pb.Kind_KIND_LEFT, pb.Kind_KIND_CHARGED, pb.Kind_KIND_SETTLED, pb.Kind_KIND_TURNED:
		return s.r.Request
	case pb.Kind_KIND_TIMER:
		_, id := choice.TimerPurpose(s.r.Token)
		return uint32(id)
	}
	return 1<<32 - 1
}

func (s *subject) workers() (out []string) {
	if s.r.Outcome != nil {
		out = append(out, s.n.Worker(s.r.Outcome.Worker))
	}
	for _, m := range s.r.List.GetMembers() {
		out = append(out, s.n.Worker(m.Worker))
	}
	for _, a := range s.r.Actions {
		if a.Kind == pb.Action_DISPATCH || a.Kind == pb.Action_PROBE {
			out = append(out, s.n.Worker(a.Worker))
		}
	}
	return out
}

func one(s string) []string {
	if s == "" {
		return nil
	}
	return []string{s}
}

var filterFields = []field{
	{name: "kind", doc: "what was told: start, list, arrived, first, ended, left, timer, probed, message", text: func(s *subject) []string { return one(kindWord(s.r.Kind)) }},
	{name: "order", doc: "what was ordered: dispatch, refuse, fail, cancel, set_timer, probe, tell_peers, watch_registry", text: func(s *subject) (out []string) {
		for _, a := range s.r.Actions {
			out = append(out, orderWord(a.Kind))
		}
		return out
	}},
	{name: "request", doc: "the client's id of the request", text: func(s *subject) []string {
		if a := s.arrival(); a != nil {
			return one(s.n.Request(s.request()))
		}
		return nil
	}},
	{name: "class", doc: "of the request", text: func(s *subject) []string { return one(string(s.arrival().GetClass())) }},
	{name: "tenant", doc: "of the request", text: func(s *subject) []string { return one(string(s.arrival().GetTenant())) }},
	{name: "session", doc: "of the request, 16 hex digits", text: func(s *subject) []string {
		if a := s.arrival(); a != nil {
			return one(fmt.Sprintf("%016x", a.Session))
		}
		return nil
	}},
	{name: "worker", doc: "any that the event or its orders name", text: (*subject).workers},
	{name: "status", doc: "of an attempt or a probe", text: func(s *subject) []string {
		if s.r.Outcome == nil || s.r.Kind == pb.Kind_KIND_FIRST {
			return nil
		}
		return one(statusWord(s.r.Outcome.Status))
	}},
	{name: "timer", doc: "tick, deadline, hedge, aim", text: func(s *subject) []string {
		if s.r.Kind != pb.Kind_KIND_TIMER {
			return nil
		}
		purpose, _ := choice.TimerPurpose(s.r.Token)
		return one(purpose)
	}},
	{name: "attempt", typ: numberField, doc: "its number, from 0", num: outcomeNum(func(o *pb.Outcome) float64 { return float64(o.GetAttempt()) })},
	{name: "elapsed", typ: timeField, doc: "of an attempt or a probe", num: outcomeNum(func(o *pb.Outcome) float64 { return float64(o.GetElapsedUs()) })},
	{name: "kept", typ: numberField, doc: "prompt tokens found kept", num: outcomeNum(func(o *pb.Outcome) float64 { return float64(o.GetKept()) })},
	{name: "tokens", typ: numberField, doc: "of the answer", num: outcomeNum(func(o *pb.Outcome) float64 { return float64(o.GetTokens()) })},
	{name: "final", typ: boolField, doc: "the request has ended with it", num: outcomeNum(func(o *pb.Outcome) float64 {
		if o.GetFinal() {
			return 1
		}
		return 0
	})},
	{name: "prompt", typ: numberField, doc: "tokens of the prompt", num: arrivalNum(func(a *pb.Arrival) float64 { return float64(a.GetPromptTokens()) })},
	{name: "wait", typ: timeField, doc: "how long the client waits", num: arrivalNum(func(a *pb.Arrival) float64 { return float64(a.GetTimeLeftUs()) })},
	{name: "orders", typ: numberField, doc: "how many there are", num: func(s *subject) (float64, bool) { return float64(len(s.r.Actions)), true }},
	{name: "at", typ: timeField, doc: "since the run began", num: func(s *subject) (float64, bool) { return float64(s.at), true }},
}

// FilterFields tells the fields that a filter may name, a line each.
func FilterFields() string {
	var b strings.Builder
	for _, f := range filterFields {
		fmt.Fprintf(&b, "  %-8s %s\n", f.name, f.doc)
	}
	return b.String()
}

// ParseFilter reads a condition.
func ParseFilter(text string) (*Filter, error) {
	tree, err := filterParser().ParseString("", text)
	if err != nil {
		return nil, fmt.Errorf("filter: %w", err)
	}
	m, err := tree.compile()
	if err != nil {
		return nil, fmt.Errorf("filter: %w", err)
	}
	return &Filter{m}, nil
}

// Match tells whether an event is meant; at is the time since the run began.
func (f *Filter) Match(n *Names, r *pb.Record, at choice.Micros) bool {
	return f == nil || f.match(&subject{n, r, at})
}

type matcher = func(*subject) bool

func (e *filterOr) compile() (matcher, error) {
	m, err := e.Left.compile()
	for _, next := range e.More {
		if err != nil {
			return nil, err
		}
		left := m
		var right matcher
		if right, err = next.compile(); err == nil {
			m = func(s *subject) bool { return left(s) || right(s) }
		}
	}
	return m, err
}

func (e *filterAnd) compile() (matcher, error) {
	m, err := e.Left.compile()
	for _, next := range e.More {
		if err != nil {
			return nil, err
		}
		left := m
		var right matcher
		if right, err = next.compile(); err == nil {
			m = func(s *subject) bool { return left(s) && right(s) }
		}
	}
	return m, err
}

func (e *filterNot) compile() (m matcher, err error) {
	if e.Sub != nil {
		m, err = e.Sub.compile()
	} else {
		m, err = e.Test.compile()
	}
	if err != nil || !e.Not {
		return m, err
	}
	sub := m
	return func(s *subject) bool { return !sub(s) }, nil
}

func (e *filterTest) compile() (matcher, error) {
	for _, f := range filterFields {
		if f.name != e.Field {
			continue
		}
		if f.typ == textField {
			return e.text(f)
		}
		return e.number(f)
	}
	return nil, fmt.Errorf("%d: no field %q; fields are\n%s", e.Pos.Column, e.Field, strings.TrimRight(FilterFields(), "\n"))
}

func (e *filterTest) text(f field) (matcher, error) {
	if e.Op == "" {
		return func(s *subject) bool { return len(f.text(s)) > 0 }, nil
	}
	if e.Value.Text == nil && e.Value.Num == nil {
		return nil, fmt.Errorf("%d: %s is compared with text", e.Value.Pos.Column, f.name)
	}
	var want string
	if e.Value.Text != nil {
		want = *e.Value.Text
	} else {
		want = *e.Value.Num
	}
	any := func(test func(string) bool) matcher {
		return func(s *subject) bool {
			for _, v := range f.text(s) {
				if test(v) {
					return true
				}
			}
			return false
		}
	}
	switch e.Op {
	case "==":
		return any(func(v string) bool { return v == want }), nil
	case "!=":
		equal := any(func(v string) bool { return v == want })
		return func(s *subject) bool { return len(f.text(s)) > 0 && !equal(s) }, nil
	case "=~":
		re, err := regexp.Compile(want)
		if err != nil {
			return nil, fmt.Errorf("%d: %w", e.Value.Pos.Column, err)
		}
		return any(re.MatchString), nil
	}
	return nil, fmt.Errorf("%d: %s is text: it may be compared by ==, != and =~", e.Pos.Column, f.name)
}

func (e *filterTest) number(f field) (matcher, error) {
	if e.Op == "" {
		return func(s *subject) bool {
			v, ok := f.num(s)
			return ok && (f.typ != boolField || v != 0)
		}, nil
	}
	var want float64
	v := e.Value
	switch {
	case v.Time != nil && f.typ == timeField:
		d, err := time.ParseDuration(*v.Time)
		if err != nil {
			return nil, fmt.Errorf("%d: %w", v.Pos.Column, err)
		}
		want = float64(d.Microseconds())
	case v.Num != nil && f.typ != boolField:
		var err error
		if want, err = strconv.ParseFloat(*v.Num, 64); err != nil {
			return nil, fmt.Errorf("%d: %w", v.Pos.Column, err)
		}
	case f.typ == boolField && v.Text != nil && (*v.Text == "true" || *v.Text == "false"):
		if *v.Text == "true" {
			want = 1
		}
	default:
		kind := [...]string{numberField: "a number", timeField: "a time such as 2s or 150ms", boolField: "true or false"}[f.typ]
		return nil, fmt.Errorf("%d: %s is compared with %s", v.Pos.Column, f.name, kind)
	}
	test, ok := map[string]func(a, b float64) bool{
		"==": func(a, b float64) bool { return a == b }, "!=": func(a, b float64) bool { return a != b },
		"<": func(a, b float64) bool { return a < b }, "<=": func(a, b float64) bool { return a <= b },
		">": func(a, b float64) bool { return a > b }, ">=": func(a, b float64) bool { return a >= b }}[e.Op]
	if !ok {
		return nil, fmt.Errorf("%d: %s is no text: =~ cannot be used", e.Pos.Column, f.name)
	}
	return func(s *subject) bool {
		v, ok := f.num(s)
		return ok && test(v, want)
	}, nil
}
