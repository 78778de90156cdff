package capture

import (
	"cmp"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"

	"github.com/klauspost/compress/zstd"

	pb "archknot/internal/capture/capturepb"
)

// WriterOptions are the options of a Writer: its directories, and the bounds on its queue and on its disk usage.
type WriterOptions struct {
	Directory     string
	Gateway       string // prefix of the segments' file names
	Build         string
	Seed          uint64
	QueueLength   int           // blocks and other tasks that may wait for the disk
	BlockWhenFull bool          // a full queue blocks the recorder instead of causing a gap
	MaxBytes      int64         // bound on the total size of segments; the oldest are deleted
	MaxAge        time.Duration // older segments are deleted

	IncidentDirectory string
	MaxIncidents      int           // the oldest are deleted; 0: none are saved
	IncidentWindow    time.Duration // maximum age of the segments that an incident contains
	IncidentInterval  time.Duration // minimum time between two automatic incidents

	// Log is called, with an event and its key-value pairs, for gaps, incidents and failures. It may be nil.
	Log func(msg string, args ...any)
	// CreateFile creates a segment's file; nil: in the file system. Tests use it to inject disk faults.
	CreateFile func(path string) (File, error)
}

// File is the destination of a segment.
type File interface {
	Write(p []byte) (int, error)
	Close() error
}

// Stats are counters of a Writer. They may be read from any goroutine.
type Stats struct {
	Blocks          atomic.Int64 // written
	Bytes           atomic.Int64 // written
	Records         atomic.Int64 // written
	LostRecords     atomic.Int64 // records lost, in gaps or because their segment failed
	Gaps            atomic.Int64
	Segments        atomic.Int64 // begun
	DeletedSegments atomic.Int64 // segments deleted because of MaxBytes or MaxAge
}

// Writer writes the blocks of one Recorder into segments, in a goroutine of its own.
type Writer struct {
	options     WriterOptions
	runName     string
	queue       chan writerTask
	freeBuffers chan []byte
	done        chan struct{}
	failure     atomic.Pointer[string] // why the disk cannot be written; nil: it can
	currentSize atomic.Int64           // bytes of the segment that is being written
	Stats       Stats

	// Used by the writer's goroutine alone.
	encoder               *zstd.Encoder
	encoded               []byte
	file                  File // nil: no segment is being written
	path                  string
	offset                int64
	index                 pb.Index
	segmentNumber         uint64
	skipBlocks            bool // drop blocks until the next segment begins
	lastAutomaticIncident time.Time
	segmentRecords        uint64
}

// writerTask is a task that the recorder queues: to write a block, to begin a segment, or to save an incident.
type writerTask struct {
	block          block
	header         *pb.Header // not nil: begin a segment
	incidentReason string     // not "": save an incident
	done           chan<- SavedIncident
}

const (
	// minQueueLength is the minimum length of a writer's queue, in tasks.
	minQueueLength = 2
	// maxReusedBuffer bounds the size, in bytes, of buffers that are reused. Buffers with checkpoints may be far larger and
	// are freed instead.
	maxReusedBuffer = 256 << 10
	// compressionWindow is the window size of the zstd encoder, in bytes.
	compressionWindow = 64 << 10

	directoryMode = 0o700
	fileMode      = 0o600

	// timestampFormat is the format of the timestamps in the names of runs and incidents.
	timestampFormat = "20060102T150405.000Z"
	// defaultGatewayName is used for a gateway without a name.
	defaultGatewayName = "gateway"
)

var errQueueFull = errors.New(reasonQueueFull)

// NewWriter creates the directory and starts the writer's goroutine, which Close ends.
func NewWriter(o WriterOptions) (*Writer, error) {
	o.QueueLength = max(minQueueLength, o.QueueLength)
	o.Gateway = cmp.Or(strings.Map(fileNameRune, o.Gateway), defaultGatewayName)
	if o.Log == nil {
		o.Log = func(string, ...any) {}
	}
	if o.CreateFile == nil {
		o.CreateFile = createFile
	}
	if o.MaxIncidents > 0 && o.IncidentDirectory == "" {
		o.IncidentDirectory = filepath.Join(o.Directory, "incidents")
	}
	if err := os.MkdirAll(o.Directory, directoryMode); err != nil {
		return nil, fmt.Errorf("capture.directory: %w", err)
	}
	encoder, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(compressionWindow), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
	if err != nil {
		return nil, err
	}
	w := &Writer{
		options:     o,
		runName:     fmt.Sprintf("%s-%d", time.Now().UTC().Format(timestampFormat), os.Getpid()),
		encoder:     encoder,
		skipBlocks:  true,
		queue:       make(chan writerTask, o.QueueLength),
		freeBuffers: make(chan []byte, o.QueueLength+2),
		done:        make(chan struct{}),
	}
	go w.loop()
	return w, nil
}

// fileNameRune replaces all but letters, digits and underscores. The hyphen separates the parts of file names.
func fileNameRune(c rune) rune {
	if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' {
		return c
	}
	return '_'
}

func createFile(path string) (File, error) {
	return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
}

// Close processes the queued tasks, closes the segment, and waits for the writer's goroutine to end. The recorder must be
// closed before.
func (w *Writer) Close() {
	close(w.queue)
	<-w.done
}

// QueuedTasks returns the number of queued tasks. It may be called from any goroutine.
func (w *Writer) QueuedTasks() int { return len(w.queue) }

// The following methods are called in the recorder's goroutine.

// enqueue queues a task for the writer's goroutine. If the queue is full, it blocks with BlockWhenFull and otherwise
// returns false.
func (w *Writer) enqueue(task writerTask) bool {
	if w.options.BlockWhenFull {
		w.queue <- task
		return true
	}
	select {
	case w.queue <- task:
		return true
	default:
		return false
	}
}

// hasRoom reports whether at least half of the queue is free, as ending a gap requires.
func (w *Writer) hasRoom() bool { return len(w.queue) <= cap(w.queue)/2 }

// failureReason returns why the disk cannot be written; "" if it can.
func (w *Writer) failureReason() string {
	if reason := w.failure.Load(); reason != nil {
		return *reason
	}
	return ""
}

// clearFailure clears the failure, before the recorder tries to write again.
func (w *Writer) clearFailure() { w.failure.Store(nil) }

// segmentSize returns the current size in bytes of the segment that is being written.
func (w *Writer) segmentSize() int64 { return w.currentSize.Load() }

// takeBuffer returns an empty buffer, reused or with room for a block of n bytes.
func (w *Writer) takeBuffer(n int) []byte {
	select {
	case b := <-w.freeBuffers:
		return b[:0]
	default:
		return make([]byte, 0, n+n/4)
	}
}

// returnBuffer makes a buffer available to takeBuffer, unless it is larger than maxReusedBuffer.
func (w *Writer) returnBuffer(b []byte) {
	if cap(b) > maxReusedBuffer {
		return
	}
	select {
	case w.freeBuffers <- b:
	default:
	}
}

func (w *Writer) logGap(reason string) {
	w.Stats.Gaps.Add(1)
	w.options.Log("capture_gap", "reason", reason)
}

func (w *Writer) logResumed(lost uint64) {
	w.Stats.LostRecords.Add(int64(lost))
	w.options.Log("capture_resumed", "lost", lost)
}

func (w *Writer) logFailure(reason, path string) {
	w.options.Log("capture_failed", "err", reason, "path", path)
}

// The following methods are called in the writer's goroutine.

func (w *Writer) loop() {
	defer close(w.done)
	for task := range w.queue {
		switch {
		case task.header != nil:
			w.openSegment(task.header)
		case task.incidentReason != "":
			saved := w.saveIncident(task.incidentReason, task.done != nil)
			if task.done != nil {
				task.done <- saved
			}
		default:
			w.writeRecords(task.block)
			w.returnBuffer(task.block.payload)
		}
	}
	w.closeSegment()
	w.encoder.Close()
}

// failSegment abandons the segment and sets the failure, upon which the recorder starts a gap at its next call. Blocks
// that are queued until then are dropped: without the failed ones before them they cannot be replayed.
func (w *Writer) failSegment(err error) {
	reason := err.Error()
	w.logFailure(reason, w.path)
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
	w.skipBlocks = true
	w.failure.Store(&reason)
}

// openSegment closes the current segment, completes the header of the next, and writes it to a new file.
func (w *Writer) openSegment(h *pb.Header) {
	w.closeSegment()
	w.segmentNumber++
	h.Build, h.Gateway, h.Seed = w.options.Build, w.options.Gateway, w.options.Seed
	h.Run, h.Segment = w.runName, w.segmentNumber
	w.path = filepath.Join(w.options.Directory, fmt.Sprintf("%s-%s-%06d%s", w.options.Gateway, w.runName, w.segmentNumber, SegmentSuffix))
	w.deleteOldSegments()
	file, err := w.options.CreateFile(w.path)
	if err != nil {
		w.failSegment(err)
		return
	}
	w.file, w.offset, w.segmentRecords, w.skipBlocks = file, 0, 0, false
	w.index.Reset()
	b, err := messageBlock(blockHeader, h.ClockUs, h)
	if err != nil {
		w.failSegment(err)
		return
	}
	w.writeBlock(b)
	w.Stats.Segments.Add(1)
}

// writeBlock writes one block and reports whether it succeeded.
func (w *Writer) writeBlock(b block) bool {
	w.encoded = b.appendTo(w.encoded[:0])
	if _, err := w.file.Write(w.encoded); err != nil {
		w.failSegment(err)
		return false
	}
	w.offset += int64(len(w.encoded))
	w.currentSize.Store(w.offset)
	w.Stats.Bytes.Add(int64(len(w.encoded)))
	if cap(w.encoded) > maxReusedBuffer {
		w.encoded = nil
	}
	return true
}

// writeRecords compresses and writes a block of records.
func (w *Writer) writeRecords(b block) {
	if w.skipBlocks || w.file == nil {
		w.Stats.LostRecords.Add(int64(b.eventCount))
		return
	}
	start := w.offset
	b.payload = w.encoder.EncodeAll(b.payload, nil)
	b.flags |= flagZstd
	if !w.writeBlock(b) {
		w.Stats.LostRecords.Add(int64(b.eventCount))
		return
	}
	w.Stats.Blocks.Add(1)
	w.Stats.Records.Add(int64(b.eventCount))
	w.index.Blocks = append(w.index.Blocks, &pb.Index_Block{
		Offset:     uint64(start),
		First:      b.firstEvent,
		AtUs:       b.at,
		Checkpoint: b.startsWithCheckpoint(),
		Records:    b.eventCount,
	})
	w.segmentRecords += uint64(b.eventCount)
	w.index.LastUs = b.at
}

// closeSegment closes the current segment, if there is one, with its index.
func (w *Writer) closeSegment() {
	if w.file == nil {
		return
	}
	indexOffset := w.offset
	w.index.Records = w.segmentRecords
	b, err := messageBlock(blockIndex, w.index.LastUs, &w.index)
	if err != nil {
		w.failSegment(err)
		return
	}
	if !w.writeBlock(b) {
		return
	}
	if _, err := w.file.Write(appendTrailer(nil, indexOffset)); err != nil {
		w.failSegment(err)
		return
	}
	err = w.file.Close()
	w.file = nil
	w.currentSize.Store(0)
	if err != nil {
		w.failSegment(err)
	}
}
