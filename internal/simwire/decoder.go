package simwire

import (
	"bufio"
	"bytes"
	"encoding/base64"
	"errors"
	"fmt"
	"io"

	"archknot/balancer"
)

// Kind is the kind of an Event.
type Kind uint8

// Kinds of events, with the names of the corresponding lines.
const (
	BatchEnd         Kind = iota // OVER_TO_YOU: the reply must be sent
	InstanceStarted              // BORN
	InstanceKilled               // KILL
	EndpointList                 // MEMBERS
	RequestArrived               // JOB_IN
	TimerFired                   // TIMER
	HealthCheckEnded             // PROBE_RESULT
	AttemptEnded                 // RETURNED
	ClientGone                   // LAPSED
	FirstToken                   // OPENED
	PeerMessage                  // MESSAGE
)

// Event is one decoded event. Only the fields that its Kind needs are set. It is valid until the next call of
// Decoder.Next, which overwrites it.
type Event struct {
	Kind    Kind
	Now     balancer.Micros
	Gateway int // number of the gateway instance that the event is for

	Seed      uint64                // of InstanceStarted
	Settings  balancer.Settings     // of InstanceStarted
	Endpoints balancer.EndpointList // of EndpointList
	Request   balancer.Request      // of RequestArrived
	Token     uint64                // of TimerFired
	Outcome   balancer.Outcome      // of AttemptEnded, HealthCheckEnded, ClientGone and FirstToken
	Peer      int                   // of PeerMessage
	Body      []byte                // of PeerMessage
}

const (
	// maxLine bounds the length of a line in bytes. The longest valid lines carry settings objects.
	maxLine = 64 << 20
	// maxTables is the number of endpoint tables in the protocol.
	maxTables = 16
	// maxTableRows bounds the number of rows in an endpoint table.
	maxTableRows = 1 << 24
	// maxInterned bounds the number of interned names. Valid names come from a small set; further ones are not interned.
	maxInterned = 1 << 12
	// readBufferSize is the size of the input buffer in bytes.
	readBufferSize = 1 << 20
)

// Names of the input lines.
const (
	lineTurn      = "TURN"        // opens a batch
	lineOn        = "ON"          // names the gateway
	lineOverToYou = "OVER_TO_YOU" // ends a batch
	lineInventory = "INVENTORY"   // defines an endpoint table
	lineRow       = "ROW"         // of an endpoint table
	lineMembers   = "MEMBERS"
	lineBorn      = "BORN"
	lineKill      = "KILL"
	lineJobIn     = "JOB_IN"
	lineTimer     = "TIMER"
	lineProbe     = "PROBE_RESULT"
	lineReturned  = "RETURNED"
	lineLapsed    = "LAPSED"
	lineOpened    = "OPENED"
	lineMessage   = "MESSAGE"
)

// fieldCounts maps each line's name to its number of fields, the name included. ROW lines are read with their table.
var fieldCounts = map[string]int{
	lineOn:        2,
	lineBorn:      3,
	lineInventory: 3,
	lineMembers:   4,
	lineJobIn:     12,
	lineTimer:     2,
	lineProbe:     5,
	lineReturned:  9,
	lineLapsed:    2,
	lineKill:      1,
	lineOpened:    5,
	lineMessage:   3,
	lineTurn:      2,
	lineOverToYou: 1,
}

// rowFieldCount is the number of fields of a ROW line, its name included.
const rowFieldCount = 8

// Errors in the structure of the input. Next prefixes most of them with the name of the line.
var (
	errLineTooLong    = errors.New("line too long")
	errTruncatedLine  = errors.New("the last line is cut off")
	errTruncatedBatch = errors.New("the input ends within a batch")
	errTruncatedTable = errors.New("the input ends within an endpoint table")
	errBatchOpen      = errors.New("the previous batch has no OVER_TO_YOU")
	errOutsideBatch   = errors.New("outside a batch: no TURN line before it")
	errNoGateway      = errors.New("no ON line before it in the batch")
	errClockWentBack  = errors.New("field 1 (clock): earlier than that of the previous batch")
)

// Decoder reads batches of events. It must not be used by several goroutines at once.
type Decoder struct {
	reader       *bufio.Reader
	longLine     []byte
	lineNumber   int
	fields       [][]byte
	interned     map[string]string
	tables       [maxTables][]balancer.Endpoint
	tableDefined [maxTables]bool
	inBatch      bool
	gatewayNamed bool // an ON line of this batch has named the gateway
	event        Event
}

// NewDecoder returns a Decoder that reads from r.
func NewDecoder(r io.Reader) *Decoder {
	return &Decoder{
		reader:   bufio.NewReaderSize(r, readBufferSize),
		interned: map[string]string{},
	}
}

// Line returns the number, from 1, of the line that was read last.
func (d *Decoder) Line() int { return d.lineNumber }

// Next returns the next event. The error is io.EOF if the input ends between batches; any other error describes the
// fault of the line whose number Line returns.
func (d *Decoder) Next() (*Event, error) {
	for {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) && d.inBatch {
			return nil, errTruncatedBatch
		}
		if err != nil {
			return nil, err
		}
		if len(line) == 0 && !d.inBatch {
			continue
		}
		isEvent, err := d.decodeLine(line)
		if err != nil {
			return nil, err
		}
		if isEvent {
			return &d.event, nil
		}
	}
}

// readLine returns the next line without its line end. The line is valid until the next call.
func (d *Decoder) readLine() ([]byte, error) {
	line, err := d.reader.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		d.longLine = append(d.longLine[:0], line...)
		for errors.Is(err, bufio.ErrBufferFull) {
			if len(d.longLine) > maxLine {
				return nil, errLineTooLong
			}
			line, err = d.reader.ReadSlice('\n')
			d.longLine = append(d.longLine, line...)
		}
		line = d.longLine
	}
	if errors.Is(err, io.EOF) && len(line) > 0 {
		d.lineNumber++
		return nil, errTruncatedLine
	}
	if err != nil {
		return nil, err
	}
	d.lineNumber++
	return line[:len(line)-1], nil
}

// splitFields splits a line at its tabs into at most n fields. The result is valid until the next call.
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

// intern returns a name as a string; equal names share one allocation.
func (d *Decoder) intern(b []byte) string {
	if name, ok := d.interned[string(b)]; ok {
		return name
	}
	name := string(b)
	if len(d.interned) < maxInterned {
		d.interned[name] = name
	}
	return name
}

// decodeLine decodes one line and reports whether it completes an event.
func (d *Decoder) decodeLine(line []byte) (isEvent bool, err error) {
	name := line
	if i := bytes.IndexByte(line, '\t'); i >= 0 {
		name = line[:i]
	}
	fieldCount, ok := fieldCounts[string(name)]
	if !ok {
		return false, fmt.Errorf("unknown event %q", truncate(name))
	}
	maxFields := fieldCount + 1
	if string(name) == lineBorn { // its last field extends to the end of the line and may contain tabs
		maxFields = fieldCount
	}
	p := fieldParser{fields: d.splitFields(line, maxFields)}
	if len(p.fields) != fieldCount {
		return false, fmt.Errorf("%s: expected %d fields, got %d", name, fieldCount-1, bytes.Count(line, []byte{'\t'}))
	}
	isEvent, err = d.decode(string(name), &p)
	if err == nil {
		err = p.err
	}
	if err != nil {
		return false, fmt.Errorf("%s: %w", name, err)
	}
	return isEvent, nil
}

// decode updates d.event from one line's fields and reports whether the event is complete.
func (d *Decoder) decode(name string, p *fieldParser) (isEvent bool, err error) {
	if name == lineTurn {
		return false, d.openBatch(p)
	}
	if !d.inBatch {
		return false, errOutsideBatch
	}
	switch name {
	case lineOverToYou:
		d.inBatch, d.event.Kind = false, BatchEnd
		return true, nil
	case lineOn:
		d.event.Gateway, d.gatewayNamed = int(p.uint(1, "who", maxUint32)), true
		return false, nil
	case lineInventory:
		return false, d.decodeTable(p)
	}
	if !d.gatewayNamed {
		return false, errNoGateway
	}
	return true, d.decodeEvent(name, p)
}

// openBatch begins a batch and sets the clock from a TURN line.
func (d *Decoder) openBatch(p *fieldParser) error {
	if d.inBatch {
		return errBatchOpen
	}
	now := balancer.Micros(p.uint(1, "clock", maxInt63))
	if now < d.event.Now {
		return errClockWentBack
	}
	d.inBatch, d.gatewayNamed, d.event.Now = true, false, now
	return nil
}

// decodeEvent updates d.event from a line that is an event for the gateway named last.
func (d *Decoder) decodeEvent(name string, p *fieldParser) error {
	ev := &d.event
	switch name {
	case lineBorn:
		ev.Kind, ev.Seed = InstanceStarted, p.uint(1, "seed", maxUint64)
		var err error
		ev.Settings, err = ParseSettings(p.fields[2])
		return err
	case lineKill:
		ev.Kind = InstanceKilled
	case lineMembers:
		return d.decodeEndpointList(p)
	case lineJobIn:
		d.decodeRequest(p)
	case lineTimer:
		ev.Kind, ev.Token = TimerFired, p.uint(1, "ref", 1<<63)
	case lineProbe:
		ev.Kind = HealthCheckEnded
		ev.Outcome = balancer.Outcome{
			Replica: balancer.ReplicaID(p.uint(1, "engine", maxUint32)),
			Status:  p.status(2),
			Elapsed: p.optionalInt(3, "rttUs"),
			Report:  p.loadReport(4),
		}
	case lineReturned:
		ev.Kind = AttemptEnded
		ev.Outcome = balancer.Outcome{
			ID:           balancer.RequestID(p.uint(1, "call", maxUint32)),
			Attempt:      int(p.uint(2, "n", maxUint32)),
			Replica:      balancer.ReplicaID(p.uint(3, "engine", maxUint32)),
			Status:       p.status(4),
			Elapsed:      p.optionalInt(5, "rttUs"),
			Final:        p.flag(6, "doneFlag"),
			CachedTokens: int(p.optionalFloat(7, "remark")),
			Report:       p.loadReport(8),
		}
	case lineLapsed:
		ev.Kind, ev.Outcome = ClientGone, balancer.Outcome{ID: balancer.RequestID(p.uint(1, "call", maxUint32))}
	case lineOpened:
		ev.Kind = FirstToken
		ev.Outcome = balancer.Outcome{
			ID:      balancer.RequestID(p.uint(1, "call", maxUint32)),
			Replica: balancer.ReplicaID(p.uint(2, "engine", maxUint32)),
			Elapsed: p.optionalInt(3, "rttUs"),
			Attempt: int(p.uint(4, "n", maxUint32)),
		}
	case lineMessage:
		d.decodeMessage(p)
	}
	return nil
}

// decodeRequest updates d.event from a JOB_IN line. The flags and the service time are for the simulator only: they are
// validated but not used.
func (d *Decoder) decodeRequest(p *fieldParser) {
	d.event.Kind = RequestArrived
	p.optionalInt(2, "flags")
	p.optionalInt(7, "workUs")
	d.event.Request = balancer.Request{
		ID:           balancer.RequestID(p.uint(1, "call", maxUint32)),
		PrefixTokens: int(p.optionalFloat(3, "prefixLen")),
		PromptTokens: int(p.optionalFloat(4, "inputLen")),
		TimeLeft:     p.optionalInt(5, "graceUs"),
		Tenant:       d.intern(p.fields[6]),
		Prefix:       p.optionalHex(8, "prefixId"),
		MaxTokens:    int(p.optionalFloat(9, "nMax")),
		Session:      p.optionalHex(10, "object"),
		Class:        d.intern(p.fields[11]),
	}
}

// decodeMessage updates d.event from a MESSAGE line, whose body is base64 or absent.
func (d *Decoder) decodeMessage(p *fieldParser) {
	d.event.Kind, d.event.Peer, d.event.Body = PeerMessage, int(p.uint(1, "from", maxUint32)), nil
	if len(p.fields[2]) == 0 || isAbsent(p.fields[2]) {
		return
	}
	body, err := base64.StdEncoding.DecodeString(string(p.fields[2]))
	if err != nil {
		p.fail(2, "body", "base64")
	}
	d.event.Body = body
}

// decodeEndpointList updates d.event from a MEMBERS line, which refers to an endpoint table by number.
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
		return p.err
	}
	n := p.uint(3, "table", maxTables-1)
	if p.err == nil && !d.tableDefined[n] {
		return fmt.Errorf("field 3 (table): no INVENTORY has number %d", n)
	}
	ev.Endpoints.Endpoints = d.tables[n]
	return nil
}

// decodeTable reads the rows of an endpoint table, which follow its INVENTORY line.
func (d *Decoder) decodeTable(p *fieldParser) error {
	table := p.uint(1, "table", maxTables-1)
	rows := p.uint(2, "items", maxTableRows)
	if p.err != nil {
		return p.err
	}
	var list []balancer.Endpoint // a new slice for each table, since a Balancer may still use the previous one
	for range rows {
		line, err := d.readLine()
		if errors.Is(err, io.EOF) {
			return errTruncatedTable
		}
		if err != nil {
			return err
		}
		endpoint, err := d.decodeRow(line)
		if err != nil {
			return err
		}
		list = append(list, endpoint)
	}
	d.tables[table], d.tableDefined[table] = list, true
	return nil
}

// decodeRow decodes one row of an endpoint table.
func (d *Decoder) decodeRow(line []byte) (balancer.Endpoint, error) {
	p := fieldParser{fields: d.splitFields(line, rowFieldCount+1)}
	if len(p.fields) != rowFieldCount || string(p.fields[0]) != lineRow {
		return balancer.Endpoint{}, fmt.Errorf("expected ROW with 7 fields, got %q", truncate(line))
	}
	endpoint := balancer.Endpoint{
		Replica:   balancer.ReplicaID(p.uint(2, "engine", maxUint32)),
		Weight:    p.optionalFloat(3, "nominal"),
		Cell:      p.optionalInt(4, "stripe"),
		Kind:      d.intern(p.fields[5]),
		StartedAt: p.optionalInt(6, "sinceUs"),
		Zone:      d.intern(p.fields[7]),
	}
	switch string(p.fields[1]) {
	case "active":
		endpoint.State = balancer.EndpointReady
	case "leaving":
		endpoint.State = balancer.EndpointDraining
	case "left":
		endpoint.State = balancer.EndpointRemoved
	default:
		p.fail(1, "state", "active, leaving or left")
	}
	if p.err != nil {
		return balancer.Endpoint{}, fmt.Errorf("ROW: %w", p.err)
	}
	return endpoint, nil
}
