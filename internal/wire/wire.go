// Package wire reads and writes the simulator's text dialect: tab-separated
// lines, batches of events in and replies of actions out.
package wire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"

	"archknot/choice"
)

// Kind is the kind of an Event.
type Kind uint8

const (
	BatchEnd Kind = iota // the reply is due
	Born
	Killed
	List
	Arrived
	Timer
	Probed
	Returned
	Lapsed
	Opened
	Message
)

// Event is one decoded event; the fields that its Kind needs are set. It is
// overwritten by the next call of Decoder.Next.
type Event struct {
	Kind     Kind
	Now      choice.Micros
	Instance int

	Seed     uint64
	Settings choice.Settings
	List     choice.EndpointList
	Request  choice.Request
	Token    uint64
	Outcome  choice.Outcome // also Probed, Lapsed and Opened
	From     int
	Body     []byte
}

// maxLine bounds one line; the longest legal ones are settings objects.
const maxLine = 64 << 20

// maxTables is how many numbered server lists the dialect knows.
const maxTables = 16

// Decoder reads batches.
type Decoder struct {
	in      *bufio.Reader
	long    []byte
	line    int
	fields  [][]byte
	words   map[string]string
	tables  [maxTables][]choice.Endpoint
	defined [maxTables]bool
	inBatch bool
	named   bool // an ON line of this batch has named the instance
	ev      Event
}

// NewDecoder returns a Decoder on r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{in: bufio.NewReaderSize(r, 1<<20), words: map[string]string{}}
}

// Line is the number of the line read last.
func (d *Decoder) Line() int { return d.line }

func (d *Decoder) readLine() ([]byte, error) {
	line, err := d.in.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		d.long = append(d.long[:0], line...)
		for err == bufio.ErrBufferFull {
			if len(d.long) > maxLine {
				return nil, errors.New("line too long")
			}
			line, err = d.in.ReadSlice('\n')
			d.long = append(d.long, line...)
		}
		line = d.long
	}
	if err == io.EOF && len(line) > 0 {
		d.line++
		return nil, errors.New("the last line is cut off")
	}
	if err != nil {
		return nil, err
	}
	d.line++
	line = line[:len(line)-1]
	return line, nil
}

// split cuts a line at its tabs, into at most n parts.
func (d *Decoder) split(line []byte, n int) [][]byte {
	d.fields = d.fields[:0]
	for len(d.fields) < n-1 {
		i := bytes.IndexByte(line, '\t')
		if i < 0 {
			break
		}
		d.fields = append(d.fields, line[:i])
		line = line[i+1:]
	}
	d.fields = append(d.fields, line)
	return d.fields
}

func (d *Decoder) word(b []byte) string {
	if w, ok := d.words[string(b)]; ok {
		return w
	}
	w := string(b)
	if len(d.words) < 1<<12 { // names come from a small set; stray ones are not kept
		d.words[w] = w
	}
	return w
}

// parser reads the parts of one line and keeps the first error.
type parser struct {
	f   [][]byte
	err error
}

func (p *parser) bad(i int, name, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("field %d (%s): expected %s, got %q", i, name, want, clip(p.f[i]))
	}
}

func clip(b []byte) []byte {
	if len(b) > 40 {
		return b[:40]
	}
	return b
}

func absent(b []byte) bool { return len(b) == 1 && b[0] == '-' }

func (p *parser) uint(i int, name string, most uint64) uint64 {
	b := p.f[i]
	if len(b) == 0 || len(b) > 20 {
		p.bad(i, name, "a whole number")
		return 0
	}
	var v uint64
	for _, c := range b {
		if c < '0' || c > '9' || v > (1<<64-1-uint64(c-'0'))/10 {
			p.bad(i, name, "a whole number")
			return 0
		}
		v = v*10 + uint64(c-'0')
	}
	if v > most {
		p.bad(i, name, fmt.Sprintf("at most %d", most))
		return 0
	}
	return v
}

const (
	most32 = 1<<32 - 1
	most63 = 1<<63 - 1
)

// orZero reads a whole number that may be absent.
func (p *parser) orZero(i int, name string) int64 {
	if absent(p.f[i]) {
		return 0
	}
	return int64(p.uint(i, name, most63))
}

// number reads a size that may be absent or have decimals.
func (p *parser) number(i int, name string) float64 {
	if absent(p.f[i]) {
		return 0
	}
	v, err := strconv.ParseFloat(string(p.f[i]), 64)
	if err != nil || !(v >= 0 && v < 1e15) {
		p.bad(i, name, "a number of 0 or more")
		return 0
	}
	return v
}

func (p *parser) hex(i int, name string) uint64 {
	if absent(p.f[i]) {
		return 0
	}
	v, err := strconv.ParseUint(string(p.f[i]), 16, 64)
	if err != nil || len(p.f[i]) != 16 {
		p.bad(i, name, "16 hex digits")
	}
	return v
}

func (p *parser) bool(i int, name string) bool {
	if len(p.f[i]) != 1 || (p.f[i][0] != '0' && p.f[i][0] != '1') {
		p.bad(i, name, "1 or 0")
	}
	return len(p.f[i]) == 1 && p.f[i][0] == '1'
}

func (p *parser) status(i int) choice.Status {
	switch string(p.f[i]) {
	case "delivered":
		return choice.Served
	case "app_error":
		return choice.Errored
	case "shed":
		return choice.Shed
	case "expired":
		return choice.TimedOut
	case "dial_failed":
		return choice.ConnectFailed
	case "dropped":
		return choice.ConnBroken
	case "revoked":
		return choice.Cancelled
	case "unused":
		return choice.NotSent
	}
	p.bad(i, "status", "a known outcome")
	return choice.Errored
}

func (p *parser) report(i int) choice.LoadReport {
	var r choice.LoadReport
	b := p.f[i]
	if absent(b) || len(b) == 0 {
		return r
	}
	for len(b) > 0 {
		pair := b
		if j := bytes.IndexByte(b, ','); j >= 0 {
			pair, b = b[:j], b[j+1:]
		} else {
			b = nil
		}
		name, text, ok := bytes.Cut(pair, []byte{':'})
		v, err := strconv.ParseFloat(string(text), 64)
		if !ok || err != nil || !(v > -1e15 && v < 1e15) {
			p.bad(i, "feedback", "name:number pairs")
			return r
		}
		SetLoad(&r, string(name), v)
	}
	return r
}

// SetLoad enters one value of a load report under its name on the wire; names
// that are not known are skipped.
func SetLoad(r *choice.LoadReport, name string, v float64) {
	switch name {
	case "x0":
		r.MemoryShare, r.Has = v, r.Has|choice.HasMemory
	case "x1":
		r.PrefillBacklogK, r.Has = v, r.Has|choice.HasPrefillBacklog
	case "busy_reqs":
		r.InFlight, r.Has = v, r.Has|choice.HasInFlight
	case "pending":
		r.Queued, r.Has = v, r.Has|choice.HasQueued
	case "svc_ms":
		r.ServiceMs, r.Has = v, r.Has|choice.HasService
	case "cpu_share":
		r.Utilization, r.Has = v, r.Has|choice.HasUtilization
	}
}

// want is the number of parts of each event line, its name included.
var want = map[string]int{
	"ON": 2, "BORN": 3, "INVENTORY": 3, "MEMBERS": 4, "JOB_IN": 12, "TIMER": 2, "PROBE_RESULT": 5,
	"RETURNED": 9, "LAPSED": 2, "KILL": 1, "OPENED": 5, "MESSAGE": 3, "TURN": 2, "OVER_TO_YOU": 1,
}

// Next returns the next event, io.EOF at the end of the input between
// batches, or an error that names what was expected.
func (d *Decoder) Next() (*Event, error) {
	for {
		line, err := d.readLine()
		if err == io.EOF && d.inBatch {
			return nil, errors.New("the input ends within a batch")
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && !d.inBatch {
			continue
		}
		name := line
		if i := bytes.IndexByte(line, '\t'); i >= 0 {
			name = line[:i]
		}
		n, ok := want[string(name)]
		if !ok {
			return nil, fmt.Errorf("unknown event %q", clip(name))
		}
		cut := n + 1
		if string(name) == "BORN" { // its last field runs to the end of the line
			cut = n
		}
		p := parser{f: d.split(line, cut)}
		if len(p.f) != n {
			return nil, fmt.Errorf("%s: expected %d fields, got %d", name, n-1, bytes.Count(line, []byte{'\t'}))
		}
		event, err := d.decode(string(name), &p)
		if err == nil {
			err = p.err
		}
		if err != nil {
			return nil, fmt.Errorf("%s: %w", name, err)
		}
		if event {
			return &d.ev, nil
		}
	}
}

// decode fills d.ev from one line and tells whether that makes an event.
func (d *Decoder) decode(name string, p *parser) (bool, error) {
	ev := &d.ev
	if name == "TURN" {
		if d.inBatch {
			return false, errors.New("a batch is open already")
		}
		now := choice.Micros(p.uint(1, "clock", most63))
		if now < ev.Now {
			return false, errors.New("field 1 (clock): it went back")
		}
		d.inBatch, d.named, ev.Now = true, false, now
		return false, nil
	}
	if !d.inBatch {
		return false, errors.New("outside a batch")
	}
	switch name {
	case "OVER_TO_YOU":
		d.inBatch, ev.Kind = false, BatchEnd
		return true, nil
	case "ON":
		ev.Instance, d.named = int(p.uint(1, "who", most32)), true
		return false, nil
	case "INVENTORY":
		return false, d.inventory(p)
	}
	if !d.named {
		return false, errors.New("no ON line before it")
	}
	switch name {
	case "BORN":
		ev.Kind, ev.Seed = Born, p.uint(1, "seed", 1<<64-1)
		var err error
		ev.Settings, err = ParseSettings(p.f[2])
		return true, err
	case "KILL":
		ev.Kind = Killed
	case "MEMBERS":
		return true, d.members(p)
	case "JOB_IN":
		ev.Kind = Arrived
		p.orZero(2, "flags")
		p.orZero(7, "workUs")
		ev.Request = choice.Request{
			ID: choice.RequestID(p.uint(1, "call", most32)), PrefixTokens: int(p.number(3, "prefixLen")),
			PromptTokens: int(p.number(4, "inputLen")), TimeLeft: p.orZero(5, "graceUs"),
			Tenant: d.word(p.f[6]), Prefix: p.hex(8, "prefixId"), MaxTokens: int(p.number(9, "nMax")),
			Session: p.hex(10, "object"), Class: d.word(p.f[11]),
		}
	case "TIMER":
		ev.Kind, ev.Token = Timer, p.uint(1, "ref", 1<<63)
	case "PROBE_RESULT":
		ev.Kind = Probed
		ev.Outcome = choice.Outcome{Replica: choice.ReplicaID(p.uint(1, "engine", most32)),
			Status: p.status(2), Elapsed: p.orZero(3, "rttUs"), Report: p.report(4)}
	case "RETURNED":
		ev.Kind = Returned
		ev.Outcome = choice.Outcome{
			ID: choice.RequestID(p.uint(1, "call", most32)), Attempt: int(p.uint(2, "n", most32)),
			Replica: choice.ReplicaID(p.uint(3, "engine", most32)), Status: p.status(4),
			Elapsed: p.orZero(5, "rttUs"), Final: p.bool(6, "doneFlag"), CachedTokens: int(p.number(7, "remark")),
			Report: p.report(8)}
	case "LAPSED":
		ev.Kind, ev.Outcome = Lapsed, choice.Outcome{ID: choice.RequestID(p.uint(1, "call", most32))}
	case "OPENED":
		ev.Kind = Opened
		ev.Outcome = choice.Outcome{ID: choice.RequestID(p.uint(1, "call", most32)),
			Replica: choice.ReplicaID(p.uint(2, "engine", most32)), Elapsed: p.orZero(3, "rttUs"),
			Attempt: int(p.uint(4, "n", most32))}
	case "MESSAGE":
		ev.Kind, ev.From, ev.Body = Message, int(p.uint(1, "from", most32)), nil
		if len(p.f[2]) > 0 && !absent(p.f[2]) {
			body, err := base64.StdEncoding.DecodeString(string(p.f[2]))
			if err != nil {
				p.bad(2, "body", "base64")
			}
			ev.Body = body
		}
	}
	return true, nil
}

func (d *Decoder) members(p *parser) error {
	ev := &d.ev
	ev.Kind = List
	ev.List = choice.EndpointList{Version: p.orZero(2, "generation")}
	switch string(p.f[1]) {
	case "INCREMENTAL":
		ev.List.Kind = choice.ListDelta
	case "FULL":
		ev.List.Kind = choice.ListFull
	case "SAVED":
		ev.List.Kind = choice.ListCached
	case "FAILED":
		ev.List.Kind = choice.ListFailed
		return nil
	default:
		p.bad(1, "mode", "INCREMENTAL, FULL, SAVED or FAILED")
		return nil
	}
	n := p.uint(3, "table", maxTables-1)
	if p.err == nil && !d.defined[n] {
		return fmt.Errorf("field 3 (table): no INVENTORY has number %d", n)
	}
	ev.List.Endpoints = d.tables[n]
	return nil
}

func (d *Decoder) inventory(p *parser) error {
	table := p.uint(1, "table", maxTables-1)
	count := p.uint(2, "items", 1<<24)
	if p.err != nil {
		return nil
	}
	var list []choice.Endpoint // a new one each time: a Balancer may hold the old
	for range count {
		line, err := d.readLine()
		if err == io.EOF {
			return errors.New("the input ends within a list")
		}
		if err != nil {
			return err
		}
		q := parser{f: d.split(line, 9)}
		if len(q.f) != 8 || string(q.f[0]) != "ROW" {
			return fmt.Errorf("expected ROW with 7 fields, got %q", clip(line))
		}
		m := choice.Endpoint{Replica: choice.ReplicaID(q.uint(2, "engine", most32)),
			Weight: q.number(3, "nominal"), Cell: q.orZero(4, "stripe"), Kind: d.word(q.f[5]),
			StartedAt: q.orZero(6, "sinceUs"), Zone: d.word(q.f[7])}
		switch string(q.f[1]) {
		case "active":
			m.State = choice.EndpointReady
		case "leaving":
			m.State = choice.EndpointDraining
		case "left":
			m.State = choice.EndpointGone
		default:
			q.bad(1, "state", "active, leaving or left")
		}
		if q.err != nil {
			return fmt.Errorf("ROW: %w", q.err)
		}
		list = append(list, m)
	}
	d.tables[table], d.defined[table] = list, true
	return nil
}

// Encoder collects the reply of a batch.
type Encoder struct {
	out io.Writer
	buf []byte
	who int
	any bool // a FOR line stands in this reply
}

// NewEncoder returns an Encoder on w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{out: w} }

// Flush ends the reply and writes it out.
func (e *Encoder) Flush() error {
	e.buf = append(e.buf, "DONE\n"...)
	_, err := e.out.Write(e.buf)
	e.buf, e.any = e.buf[:0], false
	return err
}

// Sink returns the sink of one instance's actions.
func (e *Encoder) Sink(who int) choice.Sink { return &sink{e: e, who: who} }

type sink struct {
	e   *Encoder
	who int
}

func (s *sink) line(name string, values ...int64) {
	e := s.e
	if !e.any || e.who != s.who {
		e.any, e.who = true, s.who
		e.buf = append(e.buf, "FOR\t"...)
		e.buf = strconv.AppendInt(e.buf, int64(s.who), 10)
		e.buf = append(e.buf, '\n')
	}
	e.buf = append(e.buf, name...)
	for _, v := range values {
		e.buf = append(e.buf, '\t')
		e.buf = strconv.AppendInt(e.buf, v, 10)
	}
	e.buf = append(e.buf, '\n')
}

func (s *sink) Dispatch(id choice.RequestID, to choice.ReplicaID, cutAt choice.Micros) {
	s.line("SUBMIT_TO", int64(id), int64(to), cutAt)
}
func (s *sink) Shed(id choice.RequestID, retryAfter choice.Micros) {
	s.line("BUSY", int64(id), retryAfter)
}
func (s *sink) Fail(id choice.RequestID) { s.line("FAIL", int64(id)) }
func (s *sink) Cancel(id choice.RequestID, attempt int) {
	s.line("DROP_ATTEMPT", int64(id), int64(attempt))
}
func (s *sink) HealthCheck(to choice.ReplicaID) { s.line("HEALTH_CHECK", int64(to)) }
func (s *sink) WatchDiscovery()                 { s.line("TRACK", 1) }
func (s *sink) SetTimer(delay choice.Micros, token uint64) {
	s.line("SET_ALARM", delay, int64(token))
}
func (s *sink) Gossip(body []byte) {
	s.line("POST", -1)
	s.e.buf = append(s.e.buf[:len(s.e.buf)-1], '\t')
	s.e.buf = base64.StdEncoding.AppendEncode(s.e.buf, body)
	s.e.buf = append(s.e.buf, '\n')
}
