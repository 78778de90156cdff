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

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/capturetrigger"
	"archknot/internal/contract"
)

// Module is what the owner of a decision module calls: choice.Balancer itself,
// or a Recorder before it.
type Module interface {
	Start(now balancer.Micros)
	ListChanged(now balancer.Micros, l balancer.EndpointList)
	RequestArrived(now balancer.Micros, in balancer.Request)
	FirstToken(now balancer.Micros, o balancer.Outcome)
	AttemptEnded(now balancer.Micros, o balancer.Outcome)
	ClientGone(now balancer.Micros, id balancer.RequestID)
	TimerFired(now balancer.Micros, token uint64)
	HealthCheckEnded(now balancer.Micros, o balancer.Outcome)
	PeerMessage(now balancer.Micros, from int, body []byte)
	Reconfigure(now balancer.Micros, s balancer.Settings) error
}

// Timer is one that the module has set and that has not fired.
type Timer struct {
	At    balancer.Micros
	Token uint64
}

// Timers remembers those that are set, for a host that does not hold them itself:
// by token, in the order they were set.
type Timers map[uint64][]balancer.Micros

// Add enters one.
func (t Timers) Add(at balancer.Micros, token uint64) { t[token] = append(t[token], at) }

// Remove takes out the one of a token that was set first.
func (t Timers) Remove(token uint64) {
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
	ReplicaName func(balancer.ReplicaID) string // "" if it has none
	RequestName func(balancer.RequestID) string
	OpenCharges func() []contract.OpenCharge // that are not settled
}

// Options of a recording.
type Options struct {
	CheckpointInterval time.Duration
	BlockSize          int
	FlushInterval      time.Duration
	SegmentSize        int64
	SegmentAge         time.Duration
	Incident           capturetrigger.Settings
	IncidentInterval   time.Duration // least time between two incidents that the recorder orders
}

// Recorder records one module. It belongs to the module's owner.
type Recorder struct {
	balancer *balancer.Balancer
	sink     balancer.Sink // where the module's orders go
	writer   *Writer
	host     Host
	options  Options

	now              balancer.Micros
	lastEvent        uint64 // number of the last event
	blockBuffer      []byte // the block being filled
	blockFirstEvent  uint64 // number of its first event
	blockEvents      uint32
	blockStartedAt   balancer.Micros // when the block was begun
	lastRecordAt     balancer.Micros
	blockFlags       uint8
	checkpointedAt   balancer.Micros // when the last checkpoint was made
	segmentStartedAt balancer.Micros
	gap              *gap // records are being lost
	incidentWatch    *capturetrigger.Detector
	pendingIncident  string          // an incident to keep once the call is recorded
	settingsChanged  bool            // the settings in force are not those that the run began with
	incidentSavedAt  balancer.Micros // when that was last ordered by itself
	firingTimer      *Timer          // the one that is about to be told: it is not pending with the host any more

	current       pb.Record
	arrival       pb.Arrival
	outcome       pb.Outcome
	report        pb.Report
	actions       []*pb.Action // those of rec are the first of these
	recording     bool         // a call is being recorded
	inCall        bool         // a call is going on, recorded or not
	nestedRecords []*pb.Record // of the book, within the module's call

	ledger         *contract.Ledger    // nil: no contracts
	agreement      []byte              // the contracts in force, for checkpoints
	settlingCharge contract.OpenCharge // the charge that is being settled
	marshalOptions proto.MarshalOptions
}

type gap struct {
	reason    string
	startedAt balancer.Micros
	retryAt   balancer.Micros
	events    uint64
	actions   uint64
}

// diskRetryInterval is how long a recorder waits before it tries a failed disk again.
const diskRetryInterval balancer.Micros = 1_000_000

// NewRecorder puts a recorder before a module whose orders go to a sink; the owner
// calls the recorder from here on in place of the module. The first thing in the
// capture is a checkpoint.
func NewRecorder(now balancer.Micros, b *balancer.Balancer, book *contract.Ledger, out balancer.Sink, to *Writer, host Host, o Options) *Recorder {
	r := &Recorder{balancer: b, sink: out, writer: to, host: host, options: o, now: now, segmentStartedAt: now}
	r.setLedger(book)
	if host.ReplicaName == nil {
		r.host.ReplicaName = func(balancer.ReplicaID) string { return "" }
	}
	if host.RequestName == nil {
		r.host.RequestName = func(balancer.RequestID) string { return "" }
	}
	if o.Incident.Enabled() {
		r.incidentWatch = capturetrigger.New(o.Incident, b.Settings())
	}
	b.SetSink(r)
	r.writeCheckpoint(true, nil)
	return r
}

// Close ends the recording and gives the module back its sink. The writer must
// be closed after it.
func (r *Recorder) Close() {
	r.flush()
	r.balancer.SetSink(r.sink)
}

// SaveIncident orders that the last minutes be kept as an incident. The writer answers
// on done, which must have room.
func (r *Recorder) SaveIncident(now balancer.Micros, reason string, done chan<- SavedIncident) {
	r.now = max(r.now, now)
	// A new segment, so that the old one is whole and closed.
	if r.flush(); r.gap == nil {
		r.writeCheckpoint(true, nil)
	}
	if !r.writer.enqueue(writerTask{incidentReason: reason, done: done}) && done != nil {
		done <- SavedIncident{Err: errQueueFull}
	}
}

// beginRecord readies the record of one call and tells whether it is recorded.
func (r *Recorder) beginRecord(now balancer.Micros, kind pb.Kind) bool {
	r.now = now
	r.lastEvent++
	r.inCall = true
	if why := r.writer.failureReason(); why != "" && r.gap == nil {
		r.startGap(why)
	}
	if r.gap != nil && !r.tryEndGap() {
		r.gap.events++
		return false
	}
	micros := func(d time.Duration) balancer.Micros { return d.Microseconds() }
	switch {
	case now-r.segmentStartedAt >= micros(r.options.SegmentAge) || r.writer.segmentSize() >= r.options.SegmentSize:
		r.writeCheckpoint(true, nil)
	case now-r.checkpointedAt >= micros(r.options.CheckpointInterval):
		r.writeCheckpoint(false, nil)
	case len(r.blockBuffer) > 0 && now-r.blockStartedAt >= micros(r.options.FlushInterval):
		r.flush()
	}
	if r.gap != nil {
		r.gap.events++
		return false
	}
	r.resetRecord(kind)
	r.recording = true
	return true
}

// resetRecord empties the record, which is used again and again, for another of a kind.
func (r *Recorder) resetRecord(kind pb.Kind) {
	r.current.Kind = kind
	r.current.Request, r.current.Token, r.current.Peer = 0, 0, 0
	r.current.Arrival, r.current.Outcome, r.current.List, r.current.Body, r.current.Settings = nil, nil, nil, nil, nil
	r.current.Checkpoint, r.current.Gap = nil, nil
	r.current.Agreed, r.current.Charged, r.current.Settled, r.current.Parts, r.current.Kept, r.current.Turned = nil, nil, nil, nil, nil, nil
	r.current.Actions = r.actions[:0]
}

// endRecord puts the record of a call into the block, if it is recorded.
func (r *Recorder) endRecord(rec bool) {
	if r.inCall = false; rec {
		r.commit()
	}
}

// commit puts the record into the block, and those of what happened within its
// call after it.
func (r *Recorder) commit() {
	r.recording = false
	r.addRecord(&r.current)
	for i, n := range r.nestedRecords {
		r.lastEvent++
		if r.gap != nil {
			r.gap.events++
		} else {
			r.addRecord(n)
		}
		r.nestedRecords[i] = nil
	}
	if r.nestedRecords = r.nestedRecords[:0]; r.gap != nil {
		return
	}
	if len(r.current.Actions) > maxReusedActions {
		r.actions = nil
	}
	if r.pendingIncident != "" {
		reason := r.pendingIncident
		r.pendingIncident = ""
		// Each begins a new segment: not more often than they are kept.
		if r.incidentSavedAt == 0 || r.now-r.incidentSavedAt >= r.options.IncidentInterval.Microseconds() {
			r.incidentSavedAt = r.now
			r.SaveIncident(r.now, reason, nil)
		}
	}
}

// maxReusedActions is how many actions of one call are kept for reuse.
const maxReusedActions = 4096

// addRecord adds one record to the block and hands a full one over.
func (r *Recorder) addRecord(rec *pb.Record) {
	if r.encodeRecord(rec); r.gap != nil {
		return
	}
	if r.blockEvents == 0 {
		r.blockFirstEvent = r.lastEvent
	}
	if r.blockEvents++; len(r.blockBuffer) >= r.options.BlockSize {
		r.flush()
	}
}

func (r *Recorder) encodeRecord(rec *pb.Record) {
	if len(r.blockBuffer) == 0 {
		if r.blockBuffer == nil {
			r.blockBuffer = r.writer.takeBuffer(r.options.BlockSize)
		}
		r.blockStartedAt, r.lastRecordAt = r.now, r.now
	}
	rec.AfterUs = r.now - r.lastRecordAt
	r.lastRecordAt = r.now
	at := len(r.blockBuffer)
	r.blockBuffer = append(r.blockBuffer, 0, 0, 0, 0)
	var err error
	if r.blockBuffer, err = r.marshalOptions.MarshalAppend(r.blockBuffer, rec); err != nil {
		r.blockBuffer = r.blockBuffer[:at]
		r.startGap("a record cannot be put into form: " + err.Error())
		return
	}
	binary.LittleEndian.PutUint32(r.blockBuffer[at:], uint32(len(r.blockBuffer)-at-4))
}

// flush hands the block over.
func (r *Recorder) flush() {
	if len(r.blockBuffer) == 0 {
		return
	}
	b := block{kind: blockRecords, flags: r.blockFlags, recordCount: r.blockEvents, rawLength: uint32(len(r.blockBuffer)), firstRecord: r.blockFirstEvent, at: r.blockStartedAt, payload: r.blockBuffer}
	lost := r.blockEvents
	r.blockBuffer, r.blockEvents, r.blockFlags = nil, 0, 0
	if !r.writer.enqueue(writerTask{block: b}) && r.gap == nil {
		r.startGap("the queue to the disk is full")
		r.gap.events += uint64(lost)
	}
}

// startGap begins a gap: what is in the block goes with it, for a replay could not
// reach it.
func (r *Recorder) startGap(reason string) {
	r.gap = &gap{reason: reason, startedAt: r.now, retryAt: r.now + diskRetryInterval, events: uint64(r.blockEvents)}
	if r.blockBuffer != nil {
		r.writer.returnBuffer(r.blockBuffer)
	}
	r.blockBuffer, r.blockEvents, r.blockFlags = nil, 0, 0
	r.writer.logGap(reason)
}

// tryEndGap tries to end a gap, at most once in a while.
func (r *Recorder) tryEndGap() bool {
	if r.now < r.gap.retryAt || !r.writer.hasRoom() {
		return false
	}
	g := r.gap
	r.gap = nil
	r.writer.clearFailure()
	if r.writeCheckpoint(true, g); r.gap != nil { // no better: the same gap goes on
		g.retryAt = r.gap.retryAt
		r.gap = g
		return false
	}
	r.writer.logResumed(g.events)
	return true
}

// writeCheckpoint puts the module's whole state into a block of its own beginning, in
// a new segment or the one at hand; before it, if there was one, word of a gap.
func (r *Recorder) writeCheckpoint(newSegment bool, after *gap) {
	r.flush()
	if r.gap != nil {
		return
	}
	if newSegment {
		if !r.writer.enqueue(writerTask{header: r.newHeader()}) {
			r.startGap("the queue to the disk is full")
			return
		}
		r.segmentStartedAt = r.now
	}
	r.blockFlags = flagCheckpoint
	r.blockFirstEvent = r.lastEvent
	if after != nil {
		r.resetRecord(pb.Kind_KIND_GAP)
		r.current.Gap = &pb.Gap{Events: after.events, Actions: after.actions, FromUs: after.startedAt, Reason: after.reason}
		r.encodeRecord(&r.current)
	}
	c := &pb.Checkpoint{State: r.balancer.Snapshot()}
	if r.settingsChanged {
		s := r.balancer.Settings()
		c.Settings = marshalSettings(&s)
	}
	if r.host.Timers != nil {
		for _, t := range r.host.Timers() {
			c.Timers = append(c.Timers, &pb.Timer{AtUs: t.At, Token: t.Token})
		}
	}
	if t := r.firingTimer; t != nil {
		c.Timers = append(c.Timers, &pb.Timer{AtUs: t.At, Token: t.Token})
	}
	for _, w := range r.balancer.Endpoints() {
		if name := sanitizeName(r.host.ReplicaName(w.Replica)); name != "" {
			c.Workers = append(c.Workers, &pb.Name{Id: uint32(w.Replica), Name: name})
		}
	}
	for _, id := range r.balancer.InFlightRequests() {
		if name := sanitizeName(r.host.RequestName(id)); name != "" {
			c.Requests = append(c.Requests, &pb.Name{Id: uint32(id), Name: name})
		}
	}
	r.addLedgerState(c)
	r.resetRecord(pb.Kind_KIND_CHECKPOINT)
	r.current.Checkpoint = c
	r.encodeRecord(&r.current)
	r.current.Checkpoint = nil // its state need not be held till the next record
	r.checkpointedAt = r.now
	// Handed over with the records that follow it, or by itself.
}

func (r *Recorder) newHeader() *pb.Header {
	s := r.balancer.Settings()
	return &pb.Header{Major: FormatMajor, Minor: FormatMinor, Settings: marshalSettings(&s), ClockUs: r.now, WallUs: time.Now().UnixMicro()}
}

// The calls.

func (r *Recorder) Start(now balancer.Micros) {
	rec := r.beginRecord(now, pb.Kind_KIND_START)
	r.balancer.Start(now)
	r.endRecord(rec)
}

func (r *Recorder) ListChanged(now balancer.Micros, l balancer.EndpointList) {
	rec := r.beginRecord(now, pb.Kind_KIND_LIST)
	if rec {
		r.current.List = endpointListToProto(&l, r.host.ReplicaName)
	}
	if r.incidentWatch != nil {
		r.incidentWatch.ListChanged(now, l)
	}
	r.balancer.ListChanged(now, l)
	r.endRecord(rec)
}

func (r *Recorder) RequestArrived(now balancer.Micros, in balancer.Request) {
	rec := r.beginRecord(now, pb.Kind_KIND_ARRIVED)
	if rec {
		r.current.Request = uint32(in.ID)
		r.current.Arrival = arrivalToProto(&r.arrival, &in, r.host.RequestName(in.ID))
	}
	if r.incidentWatch != nil {
		r.incidentWatch.RequestArrived(now, in)
	}
	r.balancer.RequestArrived(now, in)
	r.endRecord(rec)
}

func (r *Recorder) FirstToken(now balancer.Micros, o balancer.Outcome) {
	rec := r.beginRecord(now, pb.Kind_KIND_FIRST)
	if rec {
		r.current.Request, r.current.Outcome = uint32(o.ID), outcomeToProto(&r.outcome, &r.report, &o)
	}
	if r.incidentWatch != nil {
		r.noteIncident(r.incidentWatch.FirstToken(now, o))
	}
	r.balancer.FirstToken(now, o)
	r.endRecord(rec)
}

func (r *Recorder) AttemptEnded(now balancer.Micros, o balancer.Outcome) {
	rec := r.beginRecord(now, pb.Kind_KIND_ENDED)
	if rec {
		r.current.Request, r.current.Outcome = uint32(o.ID), outcomeToProto(&r.outcome, &r.report, &o)
	}
	if r.incidentWatch != nil {
		r.noteIncident(r.incidentWatch.AttemptEnded(now, o))
	}
	r.balancer.AttemptEnded(now, o)
	r.endRecord(rec)
}

func (r *Recorder) ClientGone(now balancer.Micros, id balancer.RequestID) {
	rec := r.beginRecord(now, pb.Kind_KIND_LEFT)
	if rec {
		r.current.Request = uint32(id)
	}
	if r.incidentWatch != nil {
		r.noteIncident(r.incidentWatch.ClientGone(now, id))
	}
	r.balancer.ClientGone(now, id)
	r.endRecord(rec)
}

func (r *Recorder) TimerFired(now balancer.Micros, token uint64) {
	r.firingTimer = &Timer{now, token}
	rec := r.beginRecord(now, pb.Kind_KIND_TIMER)
	r.firingTimer = nil
	if rec {
		r.current.Token = token
	}
	r.balancer.TimerFired(now, token)
	r.endRecord(rec)
}

func (r *Recorder) HealthCheckEnded(now balancer.Micros, o balancer.Outcome) {
	rec := r.beginRecord(now, pb.Kind_KIND_PROBED)
	if rec {
		r.current.Outcome = outcomeToProto(&r.outcome, &r.report, &o)
	}
	r.balancer.HealthCheckEnded(now, o)
	r.endRecord(rec)
}

func (r *Recorder) PeerMessage(now balancer.Micros, from int, body []byte) {
	rec := r.beginRecord(now, pb.Kind_KIND_MESSAGE)
	if rec {
		r.current.Peer, r.current.Body = uint32(from), body
	}
	r.balancer.PeerMessage(now, from, body)
	r.endRecord(rec)
}

func (r *Recorder) Reconfigure(now balancer.Micros, s balancer.Settings) error {
	rec := r.beginRecord(now, pb.Kind_KIND_RECONFIGURE)
	if rec {
		r.current.Settings = marshalSettings(&s)
	}
	err := r.balancer.Reconfigure(now, s)
	if err == nil {
		r.settingsChanged = true
		if r.incidentWatch != nil {
			r.incidentWatch.Reconfigured(s)
		}
	}
	r.endRecord(rec)
	return err
}

// noteIncident keeps the reason of an incident until the call is recorded whole.
func (r *Recorder) noteIncident(reason string) {
	if reason != "" && r.pendingIncident == "" && r.gap == nil {
		r.pendingIncident = reason
	}
}

// The orders: choice.Sink.

func (r *Recorder) addAction(kind pb.Action_Kind) *pb.Action {
	if !r.recording {
		if r.gap != nil {
			r.gap.actions++
		}
		return nil
	}
	n := len(r.current.Actions)
	if n == len(r.actions) {
		r.actions = append(r.actions, &pb.Action{})
	}
	a := r.actions[n]
	r.current.Actions = r.actions[:n+1]
	a.Kind, a.Request, a.Worker, a.AtUs, a.Attempt, a.Token, a.Body = kind, 0, 0, 0, 0, 0, nil
	return a
}

func (r *Recorder) Dispatch(id balancer.RequestID, to balancer.ReplicaID, cutAt balancer.Micros) {
	if a := r.addAction(pb.Action_DISPATCH); a != nil {
		a.Request, a.Worker, a.AtUs = uint32(id), uint32(to), cutAt
	}
	if r.incidentWatch != nil {
		r.noteIncident(r.incidentWatch.Dispatched(r.now, id, to))
	}
	r.sink.Dispatch(id, to, cutAt)
}

func (r *Recorder) Shed(id balancer.RequestID, retryAfter balancer.Micros) {
	if a := r.addAction(pb.Action_REFUSE); a != nil {
		a.Request, a.AtUs = uint32(id), retryAfter
	}
	if r.incidentWatch != nil {
		r.noteIncident(r.incidentWatch.RequestFailed(r.now, id))
	}
	r.sink.Shed(id, retryAfter)
}

func (r *Recorder) Fail(id balancer.RequestID) {
	if a := r.addAction(pb.Action_FAIL); a != nil {
		a.Request = uint32(id)
	}
	if r.incidentWatch != nil {
		r.noteIncident(r.incidentWatch.RequestFailed(r.now, id))
	}
	r.sink.Fail(id)
}

func (r *Recorder) Cancel(id balancer.RequestID, attempt int) {
	if a := r.addAction(pb.Action_CANCEL); a != nil {
		a.Request, a.Attempt = uint32(id), uint32(attempt)
	}
	r.sink.Cancel(id, attempt)
}

func (r *Recorder) SetTimer(delay balancer.Micros, token uint64) {
	if a := r.addAction(pb.Action_SET_TIMER); a != nil {
		a.AtUs, a.Token = delay, token
	}
	r.sink.SetTimer(delay, token)
}

func (r *Recorder) HealthCheck(to balancer.ReplicaID) {
	if a := r.addAction(pb.Action_PROBE); a != nil {
		a.Worker = uint32(to)
	}
	r.sink.HealthCheck(to)
}

func (r *Recorder) Gossip(body []byte) {
	if a := r.addAction(pb.Action_TELL_PEERS); a != nil {
		a.Body = body
	}
	r.sink.Gossip(body)
}

func (r *Recorder) WatchDiscovery() {
	r.addAction(pb.Action_WATCH_REGISTRY)
	r.sink.WatchDiscovery()
}

// Stats of a recording, for the log and for tests.
type Stats struct {
	Blocks, Bytes, Records, Lost, Gaps, Segments, Dropped atomic.Int64
}
