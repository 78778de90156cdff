// Package wire reads and writes the simulator's text dialect: tab-separated
// lines, batches of events in and replies of actions out.
package simwire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"
	"strconv"

	"archknot/balancer"
)

// Kind is the kind of an Event.
type Kind uint8

const (
	BatchEnd Kind = iota // the reply is due
	InstanceStarted
	InstanceKilled
	EndpointList
	RequestArrived
	TimerFired
	HealthCheckEnded
	AttemptEnded
	ClientGone
	FirstToken
	PeerMessage
)

// Event is one decoded event; the fields that its Kind needs are set. It is
// overwritten by the next call of Decoder.Next.
type Event struct {
	Kind    Kind
	Now     balancer.Micros
	Gateway int

	Seed      uint64
	Settings  balancer.Settings
	Endpoints balancer.EndpointList
	Request   balancer.Request
	Token     uint64
	Outcome   balancer.Outcome // also Probed, Lapsed and Opened
	Peer      int
	Body      []byte
}

// maxLine bounds one line; the longest legal ones are settings objects.
const maxLine = 64 << 20

// maxTables is how many numbered server lists the dialect knows.
const maxTables = 16

// Decoder reads batches.
type Decoder struct {
	reader       *bufio.Reader
	longLine     []byte
	lineNumber   int
	fields       [][]byte
	interned     map[string]string
	tables       [maxTables][]balancer.Endpoint
	defined      [maxTables]bool
	inBatch      bool
	gatewayNamed bool // an ON line of this batch has named the instance
	event        Event
}

// NewDecoder returns a Decoder on r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{reader: bufio.NewReaderSize(r, 1<<20), interned: map[string]string{}}
}

// Line is the number of the line read last.
func (d *Decoder) Line() int { return d.lineNumber }

func (d *Decoder) readLine() ([]byte, error) {
	line, err := d.reader.ReadSlice('\n')
	if err == bufio.ErrBufferFull {
		d.longLine = append(d.longLine[:0], line...)
		for err == bufio.ErrBufferFull {
			if len(d.longLine) > maxLine {
				return nil, errors.New("line too long")
			}
			line, err = d.reader.ReadSlice('\n')
			d.longLine = append(d.longLine, line...)
		}
		line = d.longLine
	}
	if err == io.EOF && len(line) > 0 {
		d.lineNumber++
		return nil, errors.New("the last line is cut off")
	}
	if err != nil {
		return nil, err
	}
	d.lineNumber++
	line = line[:len(line)-1]
	return line, nil
}

// splitFields cuts a line at its tabs, into at most n parts.
func (d *Decoder) splitFields(line []byte, n int) [][]byte {
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

func (d *Decoder) intern(b []byte) string {
	if w, ok := d.interned[string(b)]; ok {
		return w
	}
	w := string(b)
	if len(d.interned) < 1<<12 { // names come from a small set; stray ones are not kept
		d.interned[w] = w
	}
	return w
}

// fieldParser reads the parts of one line and keeps the first error.
type fieldParser struct {
	fields [][]byte
	err    error
}

func (p *fieldParser) fail(i int, name, want string) {
	if p.err == nil {
		p.err = fmt.Errorf("field %d (%s): expected %s, got %q", i, name, want, truncate(p.fields[i]))
	}
}

func truncate(b []byte) []byte {
	if len(b) > 40 {
		return b[:40]
	}
	return b
}

func isAbsent(b []byte) bool { return len(b) == 1 && b[0] == '-' }

func (p *fieldParser) uint(i int, name string, most uint64) uint64 {
	b := p.fields[i]
	if len(b) == 0 || len(b) > 20 {
		p.fail(i, name, "a whole number")
		return 0
	}
	var v uint64
	for _, c := range b {
		if c < '0' || c > '9' || v > (1<<64-1-uint64(c-'0'))/10 {
			p.fail(i, name, "a whole number")
			return 0
		}
		v = v*10 + uint64(c-'0')
	}
	if v > most {
		p.fail(i, name, fmt.Sprintf("at most %d", most))
		return 0
	}
	return v
}

const (
	maxUint32 = 1<<32 - 1
	maxInt63  = 1<<63 - 1
)

// optionalInt reads a whole number that may be absent.
func (p *fieldParser) optionalInt(i int, name string) int64 {
	if isAbsent(p.fields[i]) {
		return 0
	}
	return int64(p.uint(i, name, maxInt63))
}

// optionalFloat reads a size that may be absent or have decimals.
func (p *fieldParser) optionalFloat(i int, name string) float64 {
	if isAbsent(p.fields[i]) {
		return 0
	}
	v, err := strconv.ParseFloat(string(p.fields[i]), 64)
	if err != nil || !(v >= 0 && v < 1e15) {
		p.fail(i, name, "a number of 0 or more")
		return 0
	}
	return v
}

func (p *fieldParser) optionalHex(i int, name string) uint64 {
	if isAbsent(p.fields[i]) {
		return 0
	}
	v, err := strconv.ParseUint(string(p.fields[i]), 16, 64)
	if err != nil || len(p.fields[i]) != 16 {
		p.fail(i, name, "16 hex digits")
	}
	return v
}

func (p *fieldParser) flag(i int, name string) bool {
	if len(p.fields[i]) != 1 || (p.fields[i][0] != '0' && p.fields[i][0] != '1') {
		p.fail(i, name, "1 or 0")
	}
	return len(p.fields[i]) == 1 && p.fields[i][0] == '1'
}

func (p *fieldParser) status(i int) balancer.Status {
	switch string(p.fields[i]) {
	case "delivered":
		return balancer.Served
	case "app_error":
		return balancer.Errored
	case "shed":
		return balancer.Shed
	case "expired":
		return balancer.TimedOut
	case "dial_failed":
		return balancer.ConnectFailed
	case "dropped":
		return balancer.ConnBroken
	case "revoked":
		return balancer.Cancelled
	case "unused":
		return balancer.NotSent
	}
	p.fail(i, "status", "a known outcome")
	return balancer.Errored
}

func (p *fieldParser) loadReport(i int) balancer.LoadReport {
	var r balancer.LoadReport
	b := p.fields[i]
	if isAbsent(b) || len(b) == 0 {
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
			p.fail(i, "feedback", "name:number pairs")
			return r
		}
		SetReportField(&r, string(name), v)
	}
	return r
}

// SetReportField enters one value of a load report under its name on the wire; names
// that are not known are skipped.
func SetReportField(r *balancer.LoadReport, name string, v float64) {
	switch name {
	case "x0":
		r.MemoryShare, r.Has = v, r.Has|balancer.HasMemory
	case "x1":
		r.PrefillBacklogK, r.Has = v, r.Has|balancer.HasPrefillBacklog
	case "busy_reqs":
		r.InFlight, r.Has = v, r.Has|balancer.HasInFlight
	case "pending":
		r.Queued, r.Has = v, r.Has|balancer.HasQueued
	case "svc_ms":
		r.ServiceMs, r.Has = v, r.Has|balancer.HasService
	case "cpu_share":
		r.Utilization, r.Has = v, r.Has|balancer.HasUtilization
	}
}

// fieldCounts is the number of parts of each event line, its name included.
var fieldCounts = map[string]int{
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
		n, ok := fieldCounts[string(name)]
		if !ok {
			return nil, fmt.Errorf("unknown event %q", truncate(name))
		}
		cut := n + 1
		if string(name) == "BORN" { // its last field runs to the end of the line
			cut = n
		}
		p := fieldParser{fields: d.splitFields(line, cut)}
		if len(p.fields) != n {
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
			return &d.event, nil
		}
	}
}

// decode fills d.ev from one line and tells whether that makes an event.
func (d *Decoder) decode(name string, p *fieldParser) (bool, error) {
	ev := &d.event
	if name == "TURN" {
		if d.inBatch {
			return false, errors.New("a batch is open already")
		}
		now := balancer.Micros(p.uint(1, "clock", maxInt63))
		if now < ev.Now {
			return false, errors.New("field 1 (clock): it went back")
		}
		d.inBatch, d.gatewayNamed, ev.Now = true, false, now
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
		ev.Gateway, d.gatewayNamed = int(p.uint(1, "who", maxUint32)), true
		return false, nil
	case "INVENTORY":
		return false, d.decodeTable(p)
	}
	if !d.gatewayNamed {
		return false, errors.New("no ON line before it")
	}
	switch name {
	case "BORN":
		ev.Kind, ev.Seed = InstanceStarted, p.uint(1, "seed", 1<<64-1)
		var err error
		ev.Settings, err = ParseSettings(p.fields[2])
		return true, err
	case "KILL":
		ev.Kind = InstanceKilled
	case "MEMBERS":
		return true, d.decodeEndpointList(p)
	case "JOB_IN":
		ev.Kind = RequestArrived
		p.optionalInt(2, "flags")
		p.optionalInt(7, "workUs")
		ev.Request = balancer.Request{
			ID: balancer.RequestID(p.uint(1, "call", maxUint32)), PrefixTokens: int(p.optionalFloat(3, "prefixLen")),
			PromptTokens: int(p.optionalFloat(4, "inputLen")), TimeLeft: p.optionalInt(5, "graceUs"),
			Tenant: d.intern(p.fields[6]), Prefix: p.optionalHex(8, "prefixId"), MaxTokens: int(p.optionalFloat(9, "nMax")),
			Session: p.optionalHex(10, "object"), Class: d.intern(p.fields[11]),
		}
	case "TIMER":
		ev.Kind, ev.Token = TimerFired, p.uint(1, "ref", 1<<63)
	case "PROBE_RESULT":
		ev.Kind = HealthCheckEnded
		ev.Outcome = balancer.Outcome{Replica: balancer.ReplicaID(p.uint(1, "engine", maxUint32)),
			Status: p.status(2), Elapsed: p.optionalInt(3, "rttUs"), Report: p.loadReport(4)}
	case "RETURNED":
		ev.Kind = AttemptEnded
		ev.Outcome = balancer.Outcome{
			ID: balancer.RequestID(p.uint(1, "call", maxUint32)), Attempt: int(p.uint(2, "n", maxUint32)),
			Replica: balancer.ReplicaID(p.uint(3, "engine", maxUint32)), Status: p.status(4),
			Elapsed: p.optionalInt(5, "rttUs"), Final: p.flag(6, "doneFlag"), CachedTokens: int(p.optionalFloat(7, "remark")),
			Report: p.loadReport(8)}
	case "LAPSED":
		ev.Kind, ev.Outcome = ClientGone, balancer.Outcome{ID: balancer.RequestID(p.uint(1, "call", maxUint32))}
	case "OPENED":
		ev.Kind = FirstToken
		ev.Outcome = balancer.Outcome{ID: balancer.RequestID(p.uint(1, "call", maxUint32)),
			Replica: balancer.ReplicaID(p.uint(2, "engine", maxUint32)), Elapsed: p.optionalInt(3, "rttUs"),
			Attempt: int(p.uint(4, "n", maxUint32))}
	case "MESSAGE":
		ev.Kind, ev.Peer, ev.Body = PeerMessage, int(p.uint(1, "from", maxUint32)), nil
		if len(p.fields[2]) > 0 && !isAbsent(p.fields[2]) {
			body, err := base64.StdEncoding.DecodeString(string(p.fields[2]))
			if err != nil {
				p.fail(2, "body", "base64")
			}
			ev.Body = body
		}
	}
	return true, nil
}

func (d *Decoder) decodeEndpointList(p *fieldParser) error {
	ev := &d.event
	ev.Kind = EndpointList
	ev.Endpoints = balancer.EndpointList{Version: p.optionalInt(2, "generation")}
	switch string(p.fields[1]) {
	case "INCREMENTAL":
		ev.Endpoints.Kind = balancer.ListDelta
	case "FULL":
		ev.Endpoints.Kind = balancer.ListFull
	case "SAVED":
		ev.Endpoints.Kind = balancer.ListCached
	case "FAILED":
		ev.Endpoints.Kind = balancer.ListFailed
		return nil
	default:
		p.fail(1, "mode", "INCREMENTAL, FULL, SAVED or FAILED")
		return nil
	}
	n := p.uint(3, "table", maxTables-1)
	if p.err == nil && !d.defined[n] {
		return fmt.Errorf("field 3 (table): no INVENTORY has number %d", n)
	}
	ev.Endpoints.Endpoints = d.tables[n]
	return nil
}

func (d *Decoder) decodeTable(p *fieldParser) error {
	table := p.uint(1, "table", maxTables-1)
	count := p.uint(2, "items", 1<<24)
	if p.err != nil {
		return nil
	}
	var list []balancer.Endpoint // a new one each time: a Balancer may hold the old
	for range count {
		line, err := d.readLine()
		if err == io.EOF {
			return errors.New("the input ends within a list")
		}
		if err != nil {
			return err
		}
		q := fieldParser{fields: d.splitFields(line, 9)}
		if len(q.fields) != 8 || string(q.fields[0]) != "ROW" {
			return fmt.Errorf("expected ROW with 7 fields, got %q", truncate(line))
		}
		m := balancer.Endpoint{Replica: balancer.ReplicaID(q.uint(2, "engine", maxUint32)),
			Weight: q.optionalFloat(3, "nominal"), Cell: q.optionalInt(4, "stripe"), Kind: d.intern(q.fields[5]),
			StartedAt: q.optionalInt(6, "sinceUs"), Zone: d.intern(q.fields[7])}
		switch string(q.fields[1]) {
		case "active":
			m.State = balancer.EndpointReady
		case "leaving":
			m.State = balancer.EndpointDraining
		case "left":
			m.State = balancer.EndpointGone
		default:
			q.fail(1, "state", "active, leaving or left")
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
	out          io.Writer
	buf          []byte
	gateway      int
	gatewayNamed bool // a FOR line stands in this reply
}

// NewEncoder returns an Encoder on w.
func NewEncoder(w io.Writer) *Encoder { return &Encoder{out: w} }

// Flush ends the reply and writes it out.
func (e *Encoder) Flush() error {
	e.buf = append(e.buf, "DONE\n"...)
	_, err := e.out.Write(e.buf)
	e.buf, e.gatewayNamed = e.buf[:0], false
	return err
}

// Sink returns the sink of one instance's actions.
func (e *Encoder) Sink(who int) balancer.Sink { return &sink{encoder: e, gateway: who} }

type sink struct {
	encoder *Encoder
	gateway int
}

func (s *sink) writeLine(name string, values ...int64) {
	e := s.encoder
	if !e.gatewayNamed || e.gateway != s.gateway {
		e.gatewayNamed, e.gateway = true, s.gateway
		e.buf = append(e.buf, "FOR\t"...)
		e.buf = strconv.AppendInt(e.buf, int64(s.gateway), 10)
		e.buf = append(e.buf, '\n')
	}
	e.buf = append(e.buf, name...)
	for _, v := range values {
		e.buf = append(e.buf, '\t')
		e.buf = strconv.AppendInt(e.buf, v, 10)
	}
	e.buf = append(e.buf, '\n')
}

func (s *sink) Dispatch(id balancer.RequestID, to balancer.ReplicaID, cutAt balancer.Micros) {
	s.writeLine("SUBMIT_TO", int64(id), int64(to), cutAt)
}
func (s *sink) Shed(id balancer.RequestID, retryAfter balancer.Micros) {
	s.writeLine("BUSY", int64(id), retryAfter)
}
func (s *sink) Fail(id balancer.RequestID) { s.writeLine("FAIL", int64(id)) }
func (s *sink) Cancel(id balancer.RequestID, attempt int) {
	s.writeLine("DROP_ATTEMPT", int64(id), int64(attempt))
}
func (s *sink) HealthCheck(to balancer.ReplicaID) { s.writeLine("HEALTH_CHECK", int64(to)) }
func (s *sink) WatchDiscovery()                   { s.writeLine("TRACK", 1) }
func (s *sink) SetTimer(delay balancer.Micros, token uint64) {
	s.writeLine("SET_ALARM", delay, int64(token))
}
func (s *sink) Gossip(body []byte) {
	s.writeLine("POST", -1)
	s.encoder.buf = append(s.encoder.buf[:len(s.encoder.buf)-1], '\t')
	s.encoder.buf = base64.StdEncoding.AppendEncode(s.encoder.buf, body)
	s.encoder.buf = append(s.encoder.buf, '\n')
}
