package replay

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/alecthomas/participle/v2"
	"github.com/alecthomas/participle/v2/lexer"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// Filter selects events by a condition such as
//
//	class == "agent" and worker == "s-5be2a07c" and elapsed > 2s
//
// FilterFields describes the fields. A field with several values (such as the replicas of an event's actions) matches
// if any value does, or with != if no value is equal; a field that the event lacks never matches. Times are durations,
// or plain numbers in microseconds.
type Filter struct{ match func(*filterSubject) bool }

// The grammar of conditions. The names of these types occur in the parser's error messages.

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

// filterParser is built on first use, since a gateway never needs it.
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

// filterSubject is an event to which a filter is applied.
type filterSubject struct {
	names  *Names
	record *pb.Record
	at     balancer.Micros // since the start of the run
}

// fieldType is the type of a field's values.
type fieldType uint8

const (
	textField fieldType = iota
	numberField
	timeField // microseconds
	boolField
)

// filterField is a field of events. A textField has text, which returns its values; the others have number, which
// returns the value and whether the event has the field.
type filterField struct {
	name   string
	kind   fieldType
	doc    string
	text   func(*filterSubject) []string
	number func(*filterSubject) (float64, bool)
}

func outcomeNumber(f func(*pb.Outcome) float64) func(*filterSubject) (float64, bool) {
	return func(s *filterSubject) (float64, bool) { return f(s.record.Outcome), s.record.Outcome != nil }
}

func arrivalNumber(f func(*pb.Arrival) float64) func(*filterSubject) (float64, bool) {
	return func(s *filterSubject) (float64, bool) {
		a := s.arrival()
		return f(a), a != nil
	}
}

// arrival returns the arrival of the event's request; nil if the event has no request or the arrival is not known.
func (s *filterSubject) arrival() *pb.Arrival {
	if s.record.Kind == pb.Kind_KIND_TIMER {
		if _, id := balancer.TimerPurpose(s.record.Token); id != 0 {
			return s.names.requests[uint32(id)]
		}
		return nil
	}
	return s.names.requests[s.request()]
}

// noRequest is the request number of an event that belongs to no request.
const noRequest = 1<<32 - 1

// request returns the number of the event's request: noRequest if the event's kind has none, 0 for a tick timer.
func (s *filterSubject) request() uint32 {
	switch s.record.Kind {
	case pb.Kind_KIND_ARRIVED, pb.Kind_KIND_FIRST, pb.Kind_KIND_ENDED, pb.Kind_KIND_LEFT, pb.Kind_KIND_CHARGED, pb.Kind_KIND_SETTLED, pb.Kind_KIND_TURNED:
		return s.record.Request
	case pb.Kind_KIND_TIMER:
		_, id := balancer.TimerPurpose(s.record.Token)
		return uint32(id)
	}
	return noRequest
}

// replicas returns the names of the replicas that the event or its actions name.
func (s *filterSubject) replicas() (out []string) {
	if s.record.Outcome != nil {
		out = append(out, s.names.Replica(s.record.Outcome.Worker))
	}
	for _, m := range s.record.List.GetMembers() {
		out = append(out, s.names.Replica(m.Worker))
	}
	for _, a := range s.record.Actions {
		if a.Kind == pb.Action_DISPATCH || a.Kind == pb.Action_PROBE {
			out = append(out, s.names.Replica(a.Worker))
		}
	}
	return out
}

func oneOrNone(s string) []string {
	if s == "" {
		return nil
	}
	return []string{s}
}

var filterFields = []filterField{
	{name: "kind", doc: "kind of the event: start, list, arrived, first, ended, left, timer, probed, message", text: func(s *filterSubject) []string { return oneOrNone(eventKindName(s.record.Kind)) }},
	{name: "order", doc: "kind of an action: dispatch, refuse, fail, cancel, set_timer, probe, tell_peers, watch_registry", text: func(s *filterSubject) (out []string) {
		for _, a := range s.record.Actions {
			out = append(out, actionKindName(a.Kind))
		}
		return out
	}},
	{name: "request", doc: "the client's ID of the request", text: func(s *filterSubject) []string {
		if a := s.arrival(); a != nil {
			return oneOrNone(s.names.Request(s.request()))
		}
		return nil
	}},
	{name: "class", doc: "of the request", text: func(s *filterSubject) []string { return oneOrNone(string(s.arrival().GetClass())) }},
	{name: "tenant", doc: "of the request", text: func(s *filterSubject) []string { return oneOrNone(string(s.arrival().GetTenant())) }},
	{name: "session", doc: "of the request, 16 hex digits", text: func(s *filterSubject) []string {
		if a := s.arrival(); a != nil {
			return oneOrNone(fmt.Sprintf("%016x", a.Session))
		}
		return nil
	}},
	{name: "worker", doc: "any replica that the event or its actions name", text: (*filterSubject).replicas},
	{name: "status", doc: "of an attempt or a health check", text: func(s *filterSubject) []string {
		if s.record.Outcome == nil || s.record.Kind == pb.Kind_KIND_FIRST {
			return nil
		}
		return oneOrNone(statusName(s.record.Outcome.Status))
	}},
	{name: "timer", doc: "tick, deadline, hedge, aim", text: func(s *filterSubject) []string {
		if s.record.Kind != pb.Kind_KIND_TIMER {
			return nil
		}
		purpose, _ := balancer.TimerPurpose(s.record.Token)
		return oneOrNone(purpose)
	}},
	{name: "attempt", kind: numberField, doc: "its number, from 0", number: outcomeNumber(func(o *pb.Outcome) float64 { return float64(o.GetAttempt()) })},
	{name: "elapsed", kind: timeField, doc: "of an attempt or a health check", number: outcomeNumber(func(o *pb.Outcome) float64 { return float64(o.GetElapsedUs()) })},
	{name: "kept", kind: numberField, doc: "prompt tokens found cached", number: outcomeNumber(func(o *pb.Outcome) float64 { return float64(o.GetKept()) })},
	{name: "tokens", kind: numberField, doc: "of the answer", number: outcomeNumber(func(o *pb.Outcome) float64 { return float64(o.GetTokens()) })},
	{name: "final", kind: boolField, doc: "the request ended with the attempt", number: outcomeNumber(func(o *pb.Outcome) float64 {
		if o.GetFinal() {
			return 1
		}
		return 0
	})},
	{name: "prompt", kind: numberField, doc: "tokens of the prompt", number: arrivalNumber(func(a *pb.Arrival) float64 { return float64(a.GetPromptTokens()) })},
	{name: "wait", kind: timeField, doc: "how long the client waits", number: arrivalNumber(func(a *pb.Arrival) float64 { return float64(a.GetTimeLeftUs()) })},
	{name: "orders", kind: numberField, doc: "number of the event's actions", number: func(s *filterSubject) (float64, bool) { return float64(len(s.record.Actions)), true }},
	{name: "at", kind: timeField, doc: "since the run began", number: func(s *filterSubject) (float64, bool) { return float64(s.at), true }},
}

// FilterFields describes the fields that a filter can use, one per line.
func FilterFields() string {
	var b strings.Builder
	for _, f := range filterFields {
		fmt.Fprintf(&b, "  %-8s %s\n", f.name, f.doc)
	}
	return b.String()
}

// ParseFilter parses a condition. Its errors name the position of the fault.
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

// Match reports whether an event matches; at is its time since the start of the run. A nil Filter matches all events.
func (f *Filter) Match(n *Names, r *pb.Record, at balancer.Micros) bool {
	return f == nil || f.match(&filterSubject{n, r, at})
}

// matcher reports whether an event matches.
type matcher = func(*filterSubject) bool

func (e *filterOr) compile() (matcher, error) {
	m, err := e.Left.compile()
	for _, next := range e.More {
		if err != nil {
			return nil, err
		}
		left := m
		var right matcher
		if right, err = next.compile(); err == nil {
			m = func(s *filterSubject) bool { return left(s) || right(s) }
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
			m = func(s *filterSubject) bool { return left(s) && right(s) }
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
	return func(s *filterSubject) bool { return !sub(s) }, nil
}

func (e *filterTest) compile() (matcher, error) {
	for _, f := range filterFields {
		if f.name != e.Field {
			continue
		}
		if f.kind == textField {
			return e.compileText(f)
		}
		return e.compileNumber(f)
	}
	return nil, fmt.Errorf("%d: no field %q; fields are\n%s", e.Pos.Column, e.Field, strings.TrimRight(FilterFields(), "\n"))
}

// compileText compiles a test of a text field.
func (e *filterTest) compileText(f filterField) (matcher, error) {
	if e.Op == "" {
		return func(s *filterSubject) bool { return len(f.text(s)) > 0 }, nil
	}
	var operand string
	switch {
	case e.Value.Text != nil:
		operand = *e.Value.Text
	case e.Value.Num != nil:
		operand = *e.Value.Num
	default:
		return nil, fmt.Errorf("%d: %s is compared with text", e.Value.Pos.Column, f.name)
	}
	equals := func(v string) bool { return v == operand }
	switch e.Op {
	case "==":
		return func(s *filterSubject) bool { return slices.ContainsFunc(f.text(s), equals) }, nil
	case "!=":
		return func(s *filterSubject) bool { return len(f.text(s)) > 0 && !slices.ContainsFunc(f.text(s), equals) }, nil
	case "=~":
		re, err := regexp.Compile(operand)
		if err != nil {
			return nil, fmt.Errorf("%d: %w", e.Value.Pos.Column, err)
		}
		return func(s *filterSubject) bool { return slices.ContainsFunc(f.text(s), re.MatchString) }, nil
	}
	return nil, fmt.Errorf("%d: %s is text: it may be compared by ==, != and =~", e.Pos.Column, f.name)
}

// comparisons are the operators for numbers, times and Booleans.
var comparisons = map[string]func(a, b float64) bool{
	"==": func(a, b float64) bool { return a == b },
	"!=": func(a, b float64) bool { return a != b },
	"<":  func(a, b float64) bool { return a < b },
	"<=": func(a, b float64) bool { return a <= b },
	">":  func(a, b float64) bool { return a > b },
	">=": func(a, b float64) bool { return a >= b },
}

// compileNumber compiles a test of a number, time or Boolean field.
func (e *filterTest) compileNumber(f filterField) (matcher, error) {
	if e.Op == "" {
		return func(s *filterSubject) bool {
			v, ok := f.number(s)
			return ok && (f.kind != boolField || v != 0)
		}, nil
	}
	operand, err := e.Value.numberFor(f)
	if err != nil {
		return nil, err
	}
	compare, ok := comparisons[e.Op]
	if !ok {
		return nil, fmt.Errorf("%d: %s is no text: =~ cannot be used", e.Pos.Column, f.name)
	}
	return func(s *filterSubject) bool {
		v, ok := f.number(s)
		return ok && compare(v, operand)
	}, nil
}

// numberFor converts the value to a number for comparison with the field: microseconds for a time, 1 or 0 for a Boolean.
func (v *filterValue) numberFor(f filterField) (float64, error) {
	switch {
	case v.Time != nil && f.kind == timeField:
		d, err := time.ParseDuration(*v.Time)
		if err != nil {
			return 0, fmt.Errorf("%d: %w", v.Pos.Column, err)
		}
		return float64(d.Microseconds()), nil
	case v.Num != nil && f.kind != boolField:
		n, err := strconv.ParseFloat(*v.Num, 64)
		if err != nil {
			return 0, fmt.Errorf("%d: %w", v.Pos.Column, err)
		}
		return n, nil
	case f.kind == boolField && v.Text != nil && *v.Text == "true":
		return 1, nil
	case f.kind == boolField && v.Text != nil && *v.Text == "false":
		return 0, nil
	}
	expected := [...]string{numberField: "a number", timeField: "a time such as 2s or 150ms", boolField: "true or false"}[f.kind]
	return 0, fmt.Errorf("%d: %s is compared with %s", v.Pos.Column, f.name, expected)
}
