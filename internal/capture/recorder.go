// Package capture records everything that a decision module is told and orders,
// and reads such records back. The recorder stands between whoever owns the
// module and the module itself; a writer of its own puts blocks of records into
// segments on disk. Neither holds the owner up nor grows: what cannot be handed
// over is a gap, told in the capture and ended by a checkpoint.
package capture

import (
	"encoding/binary"
	"sync/atomic"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/choice"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
	"archknot/internal/incident"
)

// Module is what the owner of a decision module calls: choice.Balancer itself,
// or a Recorder before it.
type Module interface {
	Start(now choice.Micros)
	ListChanged(now choice.Micros, l choice.EndpointList)
	RequestArrived(now choice.Micros, in choice.Request)
	FirstToken(now choice.Micros, o choice.Outcome)
	AttemptEnded(now choice.Micros, o choice.Outcome)
	ClientGone(now choice.Micros, id choice.RequestID)
	TimerFired(now choice.Micros, token uint64)
	HealthCheckEnded(now choice.Micros, o choice.Outcome)
	PeerMessage(now choice.Micros, from int, body []byte)
	Reconfigure(now choice.Micros, s choice.Settings) error
}

// Timer is one that the module has set and that has not fired.
type Timer struct {
	At    choice.Micros
	Token uint64
}

// Timers remembers those that are set, for a host that does not hold them itself:
// by token, in the order they were set.
type Timers map[uint64][]choice.Micros

// Set enters one.
func (t Timers) Set(at choice.Micros, token uint64) { t[token] = append(t[token], at) }

// Fired takes out the one of a token that was set first.
func (t Timers) Fired(token uint64) {
	if list := t[token]; len(list) > 1 {
		t[token] = list[1:]
	} else {
		delete(t, token)
	}
}

// Pending lists them.
func (t Timers) Pending() (out []Timer) {
	for token, list := range t {
		for _, at := range list {
			out = append(out, Timer{At: at, Token: token})
		}
	}
	return out
}

// Host tells what only the owner of the module knows. The recorder asks within
// the calls of the owner.
type Host struct {
	Timers      func() []Timer
	WorkerName  func(choice.ReplicaID) string // "" if it has none
	RequestName func(choice.RequestID) string
	Charges     func() []contract.OpenCharge // that are not settled
}

// Options of a recording.
type Options struct {
	Checkpoint  time.Duration
	Block       int
	Flush       time.Duration
	SegmentSize int64
	SegmentAge  time.Duration
	Incident    incident.Settings
	Pause       time.Duration // least time between two incidents that the recorder orders
}

// Recorder records one module. It belongs to the module's owner.
type Recorder struct {
	b    *choice.Balancer
	out  choice.Sink // where the module's orders go
	to   *Writer
	host Host
	o    Options

	now       choice.Micros
	seq       uint64 // number of the last event
	buf       []byte // the block being filled
	first     uint64 // number of its first event
	events    uint32
	startedAt choice.Micros // when the block was begun
	lastAt    choice.Micros
	flags     uint8
	marked    choice.Micros // when the last checkpoint was made
	segmentAt choice.Micros
	gap       *gap // records are being lost
	watch     *incident.Detector
	saveAfter string        // an incident to keep once the call is recorded
	changed   bool          // the settings in force are not those that the run began with
	savedAt   choice.Micros // when that was last ordered by itself
	firing    *Timer        // the one that is about to be told: it is not pending with the host any more

	rec       pb.Record
	arrival   pb.Arrival
	outcome   pb.Outcome
	report    pb.Report
	actions   []*pb.Action // those of rec are the first of these
	recording bool         // a call is being recorded
	within    bool         // a call is going on, recorded or not
	nested    []*pb.Record // of the book, within the module's call

	book     *contract.Ledger    // nil: no contracts
	agreed   []byte              // the contracts in force, for checkpoints
	settling contract.OpenCharge // the charge that is being settled
	marshal  proto.MarshalOptions
}

type gap struct {
	reason  string
	from    choice.Micros
	retryAt choice.Micros
	events  uint64
	actions uint64
}

// retryEvery is how long a recorder waits before it tries a failed disk again.
const retryEvery choice.Micros = 1_000_000

// Record puts a recorder before a module whose orders go to a sink; the owner
// calls the recorder from here on in place of the module. The first thing in the
// capture is a checkpoint.
func Record(now choice.Micros, b *choice.Balancer, book *contract.Ledger, out choice.Sink, to *Writer, host Host, o Options) *Recorder {
	r := &Recorder{b: b, out: out, to: to, host: host, o: o, now: now, segmentAt: now}
	r.setBook(book)
	if host.WorkerName == nil {
		r.host.WorkerName = func(choice.ReplicaID) string { return "" }
	}
	if host.RequestName == nil {
		r.host.RequestName = func(choice.RequestID) string { return "" }
	}
	if o.Incident.Enabled() {
		r.watch = incident.New(o.Incident, b.Settings())
	}
	b.SetSink(r)
	r.checkpoint(true, nil)
	return r
}

// Close ends the recording and gives the module back its sink. The writer must
// be closed after it.
func (r *Recorder) Close() {
	r.flush()
	r.b.SetSink(r.out)
}

// Save orders that the last minutes be kept as an incident. The writer answers
// on done, which must have room.
func (r *Recorder) Save(now choice.Micros, reason string, done chan<- Saved) {
	r.now = max(r.now, now)
	// A new segment, so that the old one is whole and closed.
	if r.flush(); r.gap == nil {
		r.checkpoint(true, nil)
	}
	if !r.to.order(order{save: reason, done: done}) && done != nil {
		done <- Saved{Err: errQueueFull}
	}
}

// begin readies the record of one call and tells whether it is recorded.
func (r *Recorder) begin(now choice.Micros, kind pb.Kind) bool {
	r.now = now
	r.seq++
	r.within = true
	if why := r.to.broken(); why != "" && r.gap == nil {
		r.lose(why)
	}
	if r.gap != nil && !r.resume() {
		r.gap.events++
		return false
	}
	micros := func(d time.Duration) choice.Micros { return d.Microseconds() }
	switch {
	case now-r.segmentAt >= micros(r.o.SegmentAge) || r.to.segmentSize() >= r.o.SegmentSize:
		r.checkpoint(true, nil)
	case now-r.marked >= micros(r.o.Checkpoint):
		r.checkpoint(false, nil)
	case len(r.buf) > 0 && now-r.startedAt >= micros(r.o.Flush):
		r.flush()
	}
	if r.gap != nil {
		r.gap.events++
		return false
	}
	r.fresh(kind)
	r.recording = true
	return true
}

// fresh empties the record, which is used again and again, for another of a kind.
func (r *Recorder) fresh(kind pb.Kind) {
	r.rec.Kind = kind
	r.rec.Request, r.rec.Token, r.rec.Peer = 0, 0, 0
	r.rec.Arrival, r.rec.Outcome, r.rec.List, r.rec.Body, r.rec.Settings = nil, nil, nil, nil, nil
	r.rec.Checkpoint, r.rec.Gap = nil, nil
	r.rec.Agreed, r.rec.Charged, r.rec.Settled, r.rec.Parts, r.rec.Kept, r.rec.Turned = nil, nil, nil, nil, nil, nil
	r.rec.Actions = r.actions[:0]
}

// end puts the record of a call into the block, if it is recorded.
func (r *Recorder) end(rec bool) {
	if r.within = false; rec {
		r.commit()
	}
}

// commit puts the record into the block, and those of what happened within its
// call after it.
func (r *Recorder) commit() {
	r.recording = false
	r.put(&r.rec)
	for i, n := range r.nested {
		r.seq++
		if r.gap != nil {
			r.gap.events++
		} else {
			r.put(n)
		}
		r.nested[i] = nil
	}
	if r.nested = r.nested[:0]; r.gap != nil {
		return
	}
	if len(r.rec.Actions) > maxKeptActions {
		r.actions = nil
	}
	if r.saveAfter != "" {
		reason := r.saveAfter
		r.saveAfter = ""
		// Each begins a new segment: not more often than they are kept.
		if r.savedAt == 0 || r.now-r.savedAt >= r.o.Pause.Microseconds() {
			r.savedAt = r.now
			r.Save(r.now, reason, nil)
		}
	}
}

// maxKeptActions is how many actions of one call are kept for reuse.
const maxKeptActions = 4096

// put adds one record to the block and hands a full one over.
func (r *Recorder) put(rec *pb.Record) {
	if r.append(rec); r.gap != nil {
		return
	}
	if r.events == 0 {
		r.first = r.seq
	}
	if r.events++; len(r.buf) >= r.o.Block {
		r.flush()
	}
}

func (r *Recorder) append(rec *pb.Record) {
	if len(r.buf) == 0 {
		if r.buf == nil {
			r.buf = r.to.buffer(r.o.Block)
		}
		r.startedAt, r.lastAt = r.now, r.now
	}
	rec.AfterUs = r.now - r.lastAt
	r.lastAt = r.now
	at := len(r.buf)
	r.buf = append(r.buf, 0, 0, 0, 0)
	var err error
	if r.buf, err = r.marshal.MarshalAppend(r.buf, rec); err != nil {
		r.buf = r.buf[:at]
		r.lose("a record cannot be put into form: " + err.Error())
		return
	}
	binary.LittleEndian.PutUint32(r.buf[at:], uint32(len(r.buf)-at-4))
}

// flush hands the block over.
func (r *Recorder) flush() {
	if len(r.buf) == 0 {
		return
	}
	b := block{kind: blockRecords, flags: r.flags, records: r.events, raw: uint32(len(r.buf)), first: r.first, at: r.startedAt, payload: r.buf}
	lost := r.events
	r.buf, r.events, r.flags = nil, 0, 0
	if !r.to.order(order{block: b}) && r.gap == nil {
		r.lose("the queue to the disk is full")
		r.gap.events += uint64(lost)
	}
}

// lose begins a gap: what is in the block goes with it, for a replay could not
// reach it.
func (r *Recorder) lose(reason string) {
	r.gap = &gap{reason: reason, from: r.now, retryAt: r.now + retryEvery, events: uint64(r.events)}
	if r.buf != nil {
		r.to.giveBack(r.buf)
	}
	r.buf, r.events, r.flags = nil, 0, 0
	r.to.noteGap(reason)
}

// resume tries to end a gap, at most once in a while.
func (r *Recorder) resume() bool {
	if r.now < r.gap.retryAt || !r.to.room() {
		return false
	}
	g := r.gap
	r.gap = nil
	r.to.mend()
	if r.checkpoint(true, g); r.gap != nil { // no better: the same gap goes on
		g.retryAt = r.gap.retryAt
		r.gap = g
		return false
	}
	r.to.mended(g.events)
	return true
}

// checkpoint puts the module's whole state into a block of its own beginning, in
// a new segment or the one at hand; before it, if there was one, word of a gap.
func (r *Recorder) checkpoint(newSegment bool, after *gap) {
	r.flush()
	if r.gap != nil {
		return
	}
	if newSegment {
		if !r.to.order(order{header: r.header()}) {
			r.lose("the queue to the disk is full")
			return
		}
		r.segmentAt = r.now
	}
	r.flags = flagCheckpoint
	r.first = r.seq
	if after != nil {
		r.fresh(pb.Kind_KIND_GAP)
		r.rec.Gap = &pb.Gap{Events: after.events, Actions: after.actions, FromUs: after.from, Reason: after.reason}
		r.append(&r.rec)
	}
	c := &pb.Checkpoint{State: r.b.Snapshot()}
	if r.changed {
		s := r.b.Settings()
		c.Settings = putSettings(&s)
	}
	if r.host.Timers != nil {
		for _, t := range r.host.Timers() {
			c.Timers = append(c.Timers, &pb.Timer{AtUs: t.At, Token: t.Token})
		}
	}
	if t := r.firing; t != nil {
		c.Timers = append(c.Timers, &pb.Timer{AtUs: t.At, Token: t.Token})
	}
	for _, w := range r.b.Endpoints() {
		if name := text(r.host.WorkerName(w.Replica)); name != "" {
			c.Workers = append(c.Workers, &pb.Name{Id: uint32(w.Replica), Name: name})
		}
	}
	for _, id := range r.b.InFlightRequests() {
		if name := text(r.host.RequestName(id)); name != "" {
			c.Requests = append(c.Requests, &pb.Name{Id: uint32(id), Name: name})
		}
	}
	r.putBook(c)
	r.fresh(pb.Kind_KIND_CHECKPOINT)
	r.rec.Checkpoint = c
	r.append(&r.rec)
	r.rec.Checkpoint = nil // its state need not be held till the next record
	r.marked = r.now
	// Handed over with the records that follow it, or by itself.
}

func (r *Recorder) header() *pb.Header {
	s := r.b.Settings()
	return &pb.Header{Major: FormatMajor, Minor: FormatMinor, Settings: putSettings(&s), ClockUs: r.now, WallUs: time.Now().UnixMicro()}
}

// The calls.

func (r *Recorder) Start(now choice.Micros) {
	rec := r.begin(now, pb.Kind_KIND_START)
	r.b.Start(now)
	r.end(rec)
}

func (r *Recorder) ListChanged(now choice.Micros, l choice.EndpointList) {
	rec := r.begin(now, pb.Kind_KIND_LIST)
	if rec {
		r.rec.List = putList(&l, r.host.WorkerName)
	}
	if r.watch != nil {
		r.watch.ListChanged(now, l)
	}
	r.b.ListChanged(now, l)
	r.end(rec)
}

func (r *Recorder) RequestArrived(now choice.Micros, in choice.Request) {
	rec := r.begin(now, pb.Kind_KIND_ARRIVED)
	if rec {
		r.rec.Request = uint32(in.ID)
		r.rec.Arrival = putArrival(&r.arrival, &in, r.host.RequestName(in.ID))
	}
	if r.watch != nil {
		r.watch.RequestArrived(now, in)
	}
	r.b.RequestArrived(now, in)
	r.end(rec)
}

func (r *Recorder) FirstToken(now choice.Micros, o choice.Outcome) {
	rec := r.begin(now, pb.Kind_KIND_FIRST)
	if rec {
		r.rec.Request, r.rec.Outcome = uint32(o.ID), putOutcome(&r.outcome, &r.report, &o)
	}
	if r.watch != nil {
		r.note(r.watch.FirstToken(now, o))
	}
	r.b.FirstToken(now, o)
	r.end(rec)
}

func (r *Recorder) AttemptEnded(now choice.Micros, o choice.Outcome) {
	rec := r.begin(now, pb.Kind_KIND_ENDED)
	if rec {
		r.rec.Request, r.rec.Outcome = uint32(o.ID), putOutcome(&r.outcome, &r.report, &o)
	}
	if r.watch != nil {
		r.note(r.watch.AttemptEnded(now, o))
	}
	r.b.AttemptEnded(now, o)
	r.end(rec)
}

func (r *Recorder) ClientGone(now choice.Micros, id choice.RequestID) {
	rec := r.begin(now, pb.Kind_KIND_LEFT)
	if rec {
		r.rec.Request = uint32(id)
	}
	if r.watch != nil {
		r.note(r.watch.ClientGone(now, id))
	}
	r.b.ClientGone(now, id)
	r.end(rec)
}

func (r *Recorder) TimerFired(now choice.Micros, token uint64) {
	r.firing = &Timer{now, token}
	rec := r.begin(now, pb.Kind_KIND_TIMER)
	r.firing = nil
	if rec {
		r.rec.Token = token
	}
	r.b.TimerFired(now, token)
	r.end(rec)
}

func (r *Recorder) HealthCheckEnded(now choice.Micros, o choice.Outcome) {
	rec := r.begin(now, pb.Kind_KIND_PROBED)
	if rec {
		r.rec.Outcome = putOutcome(&r.outcome, &r.report, &o)
	}
	r.b.HealthCheckEnded(now, o)
	r.end(rec)
}

func (r *Recorder) PeerMessage(now choice.Micros, from int, body []byte) {
	rec := r.begin(now, pb.Kind_KIND_MESSAGE)
	if rec {
		r.rec.Peer, r.rec.Body = uint32(from), body
	}
	r.b.PeerMessage(now, from, body)
	r.end(rec)
}

func (r *Recorder) Reconfigure(now choice.Micros, s choice.Settings) error {
	rec := r.begin(now, pb.Kind_KIND_RECONFIGURE)
	if rec {
		r.rec.Settings = putSettings(&s)
	}
	err := r.b.Reconfigure(now, s)
	if err == nil {
		r.changed = true
		if r.watch != nil {
			r.watch.Reconfigured(s)
		}
	}
	r.end(rec)
	return err
}

// note keeps the reason of an incident until the call is recorded whole.
func (r *Recorder) note(reason string) {
	if reason != "" && r.saveAfter == "" && r.gap == nil {
		r.saveAfter = reason
	}
}

// The orders: choice.Sink.

func (r *Recorder) order(kind pb.Action_Kind) *pb.Action {
	if !r.recording {
		if r.gap != nil {
			r.gap.actions++
		}
		return nil
	}
	n := len(r.rec.Actions)
	if n == len(r.actions) {
		r.actions = append(r.actions, &pb.Action{})
	}
	a := r.actions[n]
	r.rec.Actions = r.actions[:n+1]
	a.Kind, a.Request, a.Worker, a.AtUs, a.Attempt, a.Token, a.Body = kind, 0, 0, 0, 0, 0, nil
	return a
}

func (r *Recorder) Dispatch(id choice.RequestID, to choice.ReplicaID, cutAt choice.Micros) {
	if a := r.order(pb.Action_DISPATCH); a != nil {
		a.Request, a.Worker, a.AtUs = uint32(id), uint32(to), cutAt
	}
	if r.watch != nil {
		r.note(r.watch.Dispatched(r.now, id, to))
	}
	r.out.Dispatch(id, to, cutAt)
}

func (r *Recorder) Shed(id choice.RequestID, retryAfter choice.Micros) {
	if a := r.order(pb.Action_REFUSE); a != nil {
		a.Request, a.AtUs = uint32(id), retryAfter
	}
	if r.watch != nil {
		r.note(r.watch.RequestFailed(r.now, id))
	}
	r.out.Shed(id, retryAfter)
}

func (r *Recorder) Fail(id choice.RequestID) {
	if a := r.order(pb.Action_FAIL); a != nil {
		a.Request = uint32(id)
	}
	if r.watch != nil {
		r.note(r.watch.RequestFailed(r.now, id))
	}
	r.out.Fail(id)
}

func (r *Recorder) Cancel(id choice.RequestID, attempt int) {
	if a := r.order(pb.Action_CANCEL); a != nil {
		a.Request, a.Attempt = uint32(id), uint32(attempt)
	}
	r.out.Cancel(id, attempt)
}

func (r *Recorder) SetTimer(delay choice.Micros, token uint64) {
	if a := r.order(pb.Action_SET_TIMER); a != nil {
		a.AtUs, a.Token = delay, token
	}
	r.out.SetTimer(delay, token)
}

func (r *Recorder) HealthCheck(to choice.ReplicaID) {
	if a := r.order(pb.Action_PROBE); a != nil {
		a.Worker = uint32(to)
	}
	r.out.HealthCheck(to)
}

func (r *Recorder) Gossip(body []byte) {
	if a := r.order(pb.Action_TELL_PEERS); a != nil {
		a.Body = body
	}
	r.out.Gossip(body)
}

func (r *Recorder) WatchDiscovery() {
	r.order(pb.Action_WATCH_REGISTRY)
	r.out.WatchDiscovery()
}

// Stats of a recording, for the log and for tests.
type Stats struct {
	Blocks, Bytes, Records, Lost, Gaps, Segments, Dropped atomic.Int64
}
