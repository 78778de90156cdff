package capture

import (
	"encoding/binary"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/capturetrigger"
	"archknot/internal/contract"
)

// Options of a Recorder.
type Options struct {
	CheckpointInterval time.Duration // maximum time between two checkpoints
	BlockSize          int           // bytes; a block of this size is queued for the writer
	FlushInterval      time.Duration // maximum age of a block that is not full
	SegmentSize        int64         // bytes; at this size a new segment begins
	SegmentAge         time.Duration // at this age a new segment begins
	Incident           capturetrigger.Settings
	IncidentInterval   time.Duration // minimum time between two automatic incidents
}

// Recorder records the calls of one module and of one ledger of contracts. Like the module it must be used by one
// goroutine only.
type Recorder struct {
	balancer *balancer.Balancer
	sink     balancer.Sink // receives the module's actions
	writer   *Writer
	host     Host
	options  Options

	now       balancer.Micros
	lastEvent uint64 // number of the last event

	// The block that is being filled.
	blockBuffer     []byte // nil: no block has begun
	blockFirstEvent uint64 // number of the block's first event
	blockEvents     uint32
	blockStartedAt  balancer.Micros
	blockFlags      uint8

	lastRecordAt     balancer.Micros
	checkpointedAt   balancer.Micros
	segmentStartedAt balancer.Micros
	gap              *gap // the gap in progress; nil: none

	incidentDetector *capturetrigger.Detector // nil: incidents are not detected
	pendingIncident  string                   // reason of the incident to save after the current call; "": none
	incidentSavedAt  balancer.Micros          // when saving the last automatic incident was requested; 0: never

	settingsChanged bool   // since the run began: checkpoints must contain the settings
	firingTimer     *Timer // the timer that is firing, which the host no longer lists as pending

	current       pb.Record // record of the current call, reused for each call
	arrival       pb.Arrival
	outcome       pb.Outcome
	report        pb.Report
	actions       []*pb.Action // reused from call to call; current.Actions is a prefix of it
	recording     bool         // a call is being recorded
	inCall        bool         // a call is in progress, recorded or not
	nestedRecords []*pb.Record // calls of the ledger during the current call of the module

	ledger         *contract.Ledger    // nil: no contracts
	agreement      []byte              // encoded contracts in force, for checkpoints
	settlingCharge contract.OpenCharge // the charge that Settle is settling
	marshalOptions proto.MarshalOptions
}

// gap is a span of time in which records are lost.
type gap struct {
	reason    string
	startedAt balancer.Micros
	retryAt   balancer.Micros
	events    uint64
	actions   uint64
}

const (
	// gapRetryInterval is the time between the start of a gap, or a failed attempt to end it, and the next attempt.
	gapRetryInterval balancer.Micros = 1_000_000
	// maxReusedActions bounds the number of actions that are reused for the next call.
	maxReusedActions = 4096
	// recordLengthBytes is the size of the length prefix of a record.
	recordLengthBytes = 4
)

// Reasons of gaps, as they appear in captures and in the log.
const (
	reasonQueueFull = "the queue to the disk is full"
	reasonMarshal   = "a record cannot be put into form: "
)

// NewRecorder returns a recorder that wraps a module, and a ledger unless it is nil. It makes itself the module's sink
// and forwards the actions to the given sink. From then on the owner must call the recorder instead of the module and
// the ledger. The capture begins with a checkpoint.
func NewRecorder(now balancer.Micros, b *balancer.Balancer, ledger *contract.Ledger, sink balancer.Sink, w *Writer, host Host, o Options) *Recorder {
	r := &Recorder{
		balancer:         b,
		sink:             sink,
		writer:           w,
		host:             host,
		options:          o,
		now:              now,
		segmentStartedAt: now,
	}
	r.setLedger(ledger)
	if host.ReplicaName == nil {
		r.host.ReplicaName = func(balancer.ReplicaID) string { return "" }
	}
	if host.RequestName == nil {
		r.host.RequestName = func(balancer.RequestID) string { return "" }
	}
	if o.Incident.Enabled() {
		r.incidentDetector = capturetrigger.New(o.Incident, b.Settings())
	}
	b.SetSink(r)
	r.writeCheckpoint(true, nil)
	return r
}

// Close ends the recording and restores the module's sink. The writer must be closed afterwards.
func (r *Recorder) Close() {
	r.flush()
	r.balancer.SetSink(r.sink)
}

// SaveIncident queues a task for the writer to save the last WriterOptions.IncidentWindow of the capture as an incident.
// The result is sent on done unless done is nil, which stands for an automatic incident. The channel must be buffered,
// or the send would block the writer or the caller.
func (r *Recorder) SaveIncident(now balancer.Micros, reason string, done chan<- SavedIncident) {
	r.now = max(r.now, now)
	// Begin a new segment: only closed segments are saved.
	r.flush()
	if r.gap == nil {
		r.writeCheckpoint(true, nil)
	}
	if !r.writer.enqueue(writerTask{incidentReason: reason, done: done}) && done != nil {
		done <- SavedIncident{Err: errQueueFull}
	}
}

// beginRecord prepares the record of a call. It reports whether the call is recorded, which it is not during a gap.
func (r *Recorder) beginRecord(now balancer.Micros, kind pb.Kind) bool {
	r.now = now
	r.lastEvent++
	r.inCall = true
	if reason := r.writer.failureReason(); reason != "" && r.gap == nil {
		r.startGap(reason)
	}
	if r.gap != nil && !r.tryEndGap() {
		r.gap.events++
		return false
	}
	r.writeIfDue()
	if r.gap != nil {
		r.gap.events++
		return false
	}
	r.resetRecord(kind)
	r.recording = true
	return true
}

// writeIfDue writes a checkpoint, or queues the block for the writer, if the options' intervals or sizes require it.
func (r *Recorder) writeIfDue() {
	o := &r.options
	segmentAge := r.now - r.segmentStartedAt
	switch {
	case segmentAge >= o.SegmentAge.Microseconds() || r.writer.segmentSize() >= o.SegmentSize:
		r.writeCheckpoint(true, nil)
	case r.now-r.checkpointedAt >= o.CheckpointInterval.Microseconds():
		r.writeCheckpoint(false, nil)
	case len(r.blockBuffer) > 0 && r.now-r.blockStartedAt >= o.FlushInterval.Microseconds():
		r.flush()
	}
}

// resetRecord clears the current record and sets its kind.
func (r *Recorder) resetRecord(kind pb.Kind) {
	c := &r.current
	c.Kind = kind
	c.Request, c.Token, c.Peer = 0, 0, 0
	c.Arrival, c.Outcome, c.List, c.Body, c.Settings = nil, nil, nil, nil, nil
	c.Checkpoint, c.Gap = nil, nil
	c.Agreed, c.Charged, c.Settled, c.Parts, c.Kept, c.Turned = nil, nil, nil, nil, nil, nil
	c.Actions = r.actions[:0]
}

// endRecord ends a call and adds its record to the block if the call is recorded.
func (r *Recorder) endRecord(recorded bool) {
	r.inCall = false
	if recorded {
		r.commit()
	}
}

// commit adds the current record to the block, followed by the records of nested calls of the ledger.
func (r *Recorder) commit() {
	r.recording = false
	r.addRecord(&r.current)
	for i, nested := range r.nestedRecords {
		r.lastEvent++
		if r.gap != nil {
			r.gap.events++
		} else {
			r.addRecord(nested)
		}
		r.nestedRecords[i] = nil
	}
	r.nestedRecords = r.nestedRecords[:0]
	if r.gap != nil {
		return
	}
	if len(r.current.Actions) > maxReusedActions {
		r.actions = nil
	}
	r.savePendingIncident()
}

// savePendingIncident saves the incident that was detected during the call. Saving begins a new segment, so incidents
// that the writer would reject as less than IncidentInterval after the last are dropped here.
func (r *Recorder) savePendingIncident() {
	reason := r.pendingIncident
	if reason == "" {
		return
	}
	r.pendingIncident = ""
	if r.incidentSavedAt == 0 || r.now-r.incidentSavedAt >= r.options.IncidentInterval.Microseconds() {
		r.incidentSavedAt = r.now
		r.SaveIncident(r.now, reason, nil)
	}
}

// addRecord adds the record of an event to the block and queues the block if it is full.
func (r *Recorder) addRecord(rec *pb.Record) {
	r.encodeRecord(rec)
	if r.gap != nil {
		return
	}
	if r.blockEvents == 0 {
		r.blockFirstEvent = r.lastEvent
	}
	r.blockEvents++
	if len(r.blockBuffer) >= r.options.BlockSize {
		r.flush()
	}
}

// encodeRecord appends a record, prefixed with its length, to the block's buffer. If the record cannot be encoded, it
// starts a gap.
func (r *Recorder) encodeRecord(rec *pb.Record) {
	if len(r.blockBuffer) == 0 {
		if r.blockBuffer == nil {
			r.blockBuffer = r.writer.takeBuffer(r.options.BlockSize)
		}
		r.blockStartedAt, r.lastRecordAt = r.now, r.now
	}
	rec.AfterUs = r.now - r.lastRecordAt
	r.lastRecordAt = r.now
	start := len(r.blockBuffer)
	r.blockBuffer = append(r.blockBuffer, 0, 0, 0, 0)
	var err error
	if r.blockBuffer, err = r.marshalOptions.MarshalAppend(r.blockBuffer, rec); err != nil {
		r.blockBuffer = r.blockBuffer[:start]
		r.startGap(reasonMarshal + err.Error())
		return
	}
	binary.LittleEndian.PutUint32(r.blockBuffer[start:], uint32(len(r.blockBuffer)-start-recordLengthBytes))
}

// flush queues the block for the writer. If the queue is full, it starts a gap.
func (r *Recorder) flush() {
	if len(r.blockBuffer) == 0 {
		return
	}
	b := block{
		kind:       blockRecords,
		flags:      r.blockFlags,
		eventCount: r.blockEvents,
		rawLength:  uint32(len(r.blockBuffer)),
		firstEvent: r.blockFirstEvent,
		at:         r.blockStartedAt,
		payload:    r.blockBuffer,
	}
	r.blockBuffer, r.blockEvents, r.blockFlags = nil, 0, 0
	if !r.writer.enqueue(writerTask{block: b}) && r.gap == nil {
		r.startGap(reasonQueueFull)
		r.gap.events += uint64(b.eventCount)
	}
}

// startGap begins a gap. The records of the unfinished block are lost too: after a failed write a replay could not
// reach them.
func (r *Recorder) startGap(reason string) {
	r.gap = &gap{
		reason:    reason,
		startedAt: r.now,
		retryAt:   r.now + gapRetryInterval,
		events:    uint64(r.blockEvents),
	}
	if r.blockBuffer != nil {
		r.writer.returnBuffer(r.blockBuffer)
	}
	r.blockBuffer, r.blockEvents, r.blockFlags = nil, 0, 0
	r.writer.logGap(reason)
}

// tryEndGap tries to end the gap with a checkpoint, at most once per gapRetryInterval, and reports whether it has.
func (r *Recorder) tryEndGap() bool {
	if r.now < r.gap.retryAt || !r.writer.hasRoom() {
		return false
	}
	endedGap := r.gap
	r.gap = nil
	r.writer.clearFailure()
	r.writeCheckpoint(true, endedGap)
	if r.gap != nil { // writing failed again: the same gap continues
		endedGap.retryAt = r.gap.retryAt
		r.gap = endedGap
		return false
	}
	r.writer.logResumed(endedGap.events)
	return true
}

// writeCheckpoint begins a block with the module's complete state, in a new segment if newSegment is set. If the
// checkpoint ends a gap, the block begins with the record of the gap. The block is queued once the records of further
// events fill it or it is due.
func (r *Recorder) writeCheckpoint(newSegment bool, endedGap *gap) {
	r.flush()
	if r.gap != nil {
		return
	}
	if newSegment {
		if !r.writer.enqueue(writerTask{header: r.newHeader()}) {
			r.startGap(reasonQueueFull)
			return
		}
		r.segmentStartedAt = r.now
	}
	r.blockFlags = flagCheckpoint
	r.blockFirstEvent = r.lastEvent
	if endedGap != nil {
		r.resetRecord(pb.Kind_KIND_GAP)
		r.current.Gap = &pb.Gap{Events: endedGap.events, Actions: endedGap.actions, FromUs: endedGap.startedAt, Reason: endedGap.reason}
		r.encodeRecord(&r.current)
	}
	checkpoint := r.newCheckpoint()
	r.resetRecord(pb.Kind_KIND_CHECKPOINT)
	r.current.Checkpoint = checkpoint
	r.encodeRecord(&r.current)
	r.current.Checkpoint = nil // so that its memory can be freed before the next checkpoint
	r.checkpointedAt = r.now
}

// newCheckpoint returns the state of the module and of the ledger, the pending timers, and the names of the replicas and
// requests that records identify by number.
func (r *Recorder) newCheckpoint() *pb.Checkpoint {
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
	for _, endpoint := range r.balancer.Endpoints() {
		if name := sanitizeName(r.host.ReplicaName(endpoint.Replica)); name != "" {
			c.Workers = append(c.Workers, &pb.Name{Id: uint32(endpoint.Replica), Name: name})
		}
	}
	for _, id := range r.balancer.InFlightRequests() {
		if name := sanitizeName(r.host.RequestName(id)); name != "" {
			c.Requests = append(c.Requests, &pb.Name{Id: uint32(id), Name: name})
		}
	}
	r.addLedgerState(c)
	return c
}

// newHeader returns the header of a new segment. The writer fills in the fields that the recorder does not have.
func (r *Recorder) newHeader() *pb.Header {
	s := r.balancer.Settings()
	return &pb.Header{
		Major:    FormatMajor,
		Minor:    FormatMinor,
		Settings: marshalSettings(&s),
		ClockUs:  r.now,
		WallUs:   time.Now().UnixMicro(),
	}
}
