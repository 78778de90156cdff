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
	CheckpointInterval time.Duration // at most, between two checkpoints
	BlockSize          int           // bytes of records that fill a block
	FlushInterval      time.Duration // how long a record may wait for its block to fill
	SegmentSize        int64         // bytes at which a new segment begins
	SegmentAge         time.Duration // at which a new segment begins
	Incident           capturetrigger.Settings
	IncidentInterval   time.Duration // at least, between two incidents that the recorder saves by itself
}

// Recorder records one module, and the ledger of contracts beside it. Like the module it belongs to one goroutine.
type Recorder struct {
	balancer *balancer.Balancer
	sink     balancer.Sink // where the module's actions go
	writer   *Writer
	host     Host
	options  Options

	now       balancer.Micros
	lastEvent uint64 // number of the last event

	// The block that is being filled.
	blockBuffer     []byte // nil: none
	blockFirstEvent uint64 // number of its first event
	blockEvents     uint32
	blockStartedAt  balancer.Micros
	blockFlags      uint8

	lastRecordAt     balancer.Micros
	checkpointedAt   balancer.Micros
	segmentStartedAt balancer.Micros
	gap              *gap // not nil: records are being lost

	incidentDetector *capturetrigger.Detector // nil: incidents are not detected
	pendingIncident  string                   // why one is to be saved once the call is recorded; "": none is
	incidentSavedAt  balancer.Micros          // when the recorder last saved one by itself

	settingsChanged bool   // the settings in force are not those that the run began with
	firingTimer     *Timer // the timer that is firing: it is no longer pending with the host

	current       pb.Record // of the call, reused from call to call
	arrival       pb.Arrival
	outcome       pb.Outcome
	report        pb.Report
	actions       []*pb.Action // those of current are the first of these
	recording     bool         // a call is being recorded
	inCall        bool         // a call is in progress, recorded or not
	nestedRecords []*pb.Record // calls of the ledger within the module's call

	ledger         *contract.Ledger    // nil: no contracts
	agreement      []byte              // the contracts in force, for checkpoints
	settlingCharge contract.OpenCharge // the charge that is being settled
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
	// diskRetryInterval is how long a recorder waits before it tries a failed disk again.
	diskRetryInterval balancer.Micros = 1_000_000
	// maxReusedActions bounds the actions of one call that are reused by the next.
	maxReusedActions = 4096
	// recordLengthBytes is the size of a record's length before the record.
	recordLengthBytes = 4
)

// Reasons of gaps, as captures and the log have them.
const (
	reasonQueueFull = "the queue to the disk is full"
	reasonMarshal   = "a record cannot be put into form: "
)

// NewRecorder puts a recorder before a module whose actions go to a sink. From then on the owner calls the recorder
// instead of the module, and the recorder instead of the ledger; a nil ledger stands for no contracts. The capture
// begins with a checkpoint.
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

// Close ends the recording and gives the module its sink back. The writer must be closed afterwards.
func (r *Recorder) Close() {
	r.flush()
	r.balancer.SetSink(r.sink)
}

// SaveIncident makes the writer save the last minutes as an incident. The result is sent on done, which must be
// buffered, since the writer does not wait for a receiver, or nil.
func (r *Recorder) SaveIncident(now balancer.Micros, reason string, done chan<- SavedIncident) {
	r.now = max(r.now, now)
	// Begin a new segment, so that the current one is complete and closed.
	r.flush()
	if r.gap == nil {
		r.writeCheckpoint(true, nil)
	}
	if !r.writer.enqueue(writerTask{incidentReason: reason, done: done}) && done != nil {
		done <- SavedIncident{Err: errQueueFull}
	}
}

// beginRecord prepares the record of a call, and reports whether the call is recorded.
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

// writeIfDue writes a checkpoint or hands over the block if it is time to.
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

// resetRecord empties the current record for a call of another kind.
func (r *Recorder) resetRecord(kind pb.Kind) {
	c := &r.current
	c.Kind = kind
	c.Request, c.Token, c.Peer = 0, 0, 0
	c.Arrival, c.Outcome, c.List, c.Body, c.Settings = nil, nil, nil, nil, nil
	c.Checkpoint, c.Gap = nil, nil
	c.Agreed, c.Charged, c.Settled, c.Parts, c.Kept, c.Turned = nil, nil, nil, nil, nil, nil
	c.Actions = r.actions[:0]
}

// endRecord ends a call, and writes its record if the call is recorded.
func (r *Recorder) endRecord(recorded bool) {
	r.inCall = false
	if recorded {
		r.commit()
	}
}

// commit adds the current record to the block, and then the records nested in its call.
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

// savePendingIncident saves the incident that was detected in the call. Each one begins a new segment: they are not
// saved more often than the writer would keep them.
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

// addRecord adds the record of an event to the block and hands over a full block.
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

// encodeRecord appends a record, after its length, to the block's buffer.
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

// flush hands the block to the writer.
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

// startGap begins a gap. The records of the block are lost too: a replay could not reach them.
func (r *Recorder) startGap(reason string) {
	r.gap = &gap{
		reason:    reason,
		startedAt: r.now,
		retryAt:   r.now + diskRetryInterval,
		events:    uint64(r.blockEvents),
	}
	if r.blockBuffer != nil {
		r.writer.returnBuffer(r.blockBuffer)
	}
	r.blockBuffer, r.blockEvents, r.blockFlags = nil, 0, 0
	r.writer.logGap(reason)
}

// tryEndGap tries to end the gap with a checkpoint, at most once each diskRetryInterval.
func (r *Recorder) tryEndGap() bool {
	if r.now < r.gap.retryAt || !r.writer.hasRoom() {
		return false
	}
	endedGap := r.gap
	r.gap = nil
	r.writer.clearFailure()
	r.writeCheckpoint(true, endedGap)
	if r.gap != nil { // it failed again: the same gap continues
		endedGap.retryAt = r.gap.retryAt
		r.gap = endedGap
		return false
	}
	r.writer.logResumed(endedGap.events)
	return true
}

// writeCheckpoint begins a block, in a new segment if wanted, with the module's complete state. The record of the
// gap before it, if there was one, comes first. The block is handed over with the records that follow.
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
	r.current.Checkpoint = nil // so that its memory is free before the next one
	r.checkpointedAt = r.now
}

// newCheckpoint returns the state of the module and the ledger, with the pending timers, and the names that records
// refer to by number.
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

// newHeader returns the header of a new segment; the writer fills in the rest.
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
