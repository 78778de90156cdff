package capture

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/google/renameio/v2"
	"github.com/klauspost/compress/zstd"

	pb "archknot/internal/capture/capturepb"
)

// WriterOptions bound what a writer keeps on disk.
type WriterOptions struct {
	Directory     string
	Gateway       string // begins the segments' names
	Build         string
	Seed          uint64
	QueueLength   int  // blocks that may wait
	BlockWhenFull bool // for hosts that may be held up: nothing is lost to a full queue
	MaxBytes      int64
	MaxAge        time.Duration

	IncidentDirectory string // directory of incidents
	MaxIncidents      int
	IncidentWindow    time.Duration // how much of the capture an incident keeps
	IncidentInterval  time.Duration // least time between two that the recorder orders

	// Log is told what operators should know: a gap, an incident, a failure.
	Log func(msg string, args ...any)
	// CreateFile makes a segment's file; os.OpenFile if nil. Tests put a full disk here.
	CreateFile func(path string) (File, error)
}

// File is what a segment is written to.
type File interface {
	Write(p []byte) (int, error)
	Close() error
}

// Writer puts blocks into segments, in a task of its own.
type Writer struct {
	options     WriterOptions
	runName     string
	queue       chan writerTask
	freeBuffers chan []byte
	done        chan struct{}
	failure     atomic.Pointer[string] // why nothing can be written now
	currentSize atomic.Int64           // of the segment at hand
	Stats       Stats

	// The task's own.
	encoder               *zstd.Encoder
	encoded               []byte
	file                  File
	path                  string
	offset                int64
	index                 pb.Index
	segmentNumber         uint64
	skipBlocks            bool // blocks before the next segment are of no use
	lastAutomaticIncident time.Time
	segmentRecords        uint64
}

// writerTask is what the recorder hands over: a block, the header of a new segment,
// or an incident to keep.
type writerTask struct {
	block          block
	header         *pb.Header
	incidentReason string
	done           chan<- SavedIncident
}

// SavedIncident is what became of an incident.
type SavedIncident struct {
	Path     string
	Segments int
	Bytes    int64
	Err      error
}

var errQueueFull = errors.New("the queue to the disk is full")

// NewWriter makes the directory and starts the task.
func NewWriter(l WriterOptions) (*Writer, error) {
	l.QueueLength = max(2, l.QueueLength)
	if l.Log == nil {
		l.Log = func(string, ...any) {}
	}
	if l.CreateFile == nil {
		l.CreateFile = func(path string) (File, error) {
			return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		}
	}
	if l.MaxIncidents > 0 && l.IncidentDirectory == "" {
		l.IncidentDirectory = filepath.Join(l.Directory, "incidents")
	}
	if err := os.MkdirAll(l.Directory, 0o700); err != nil {
		return nil, fmt.Errorf("capture.directory: %w", err)
	}
	l.Gateway = cmp.Or(strings.Map(func(c rune) rune {
		if c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '_' {
			return c
		}
		return '_'
	}, l.Gateway), "gateway")
	enc, err := zstd.NewWriter(nil, zstd.WithEncoderLevel(zstd.SpeedFastest), zstd.WithEncoderConcurrency(1),
		zstd.WithWindowSize(64<<10), zstd.WithLowerEncoderMem(true), zstd.WithEncoderCRC(false))
	if err != nil {
		return nil, err
	}
	w := &Writer{options: l, runName: fmt.Sprintf("%s-%d", time.Now().UTC().Format("20060102T150405.000Z"), os.Getpid()), encoder: enc, skipBlocks: true,
		queue: make(chan writerTask, l.QueueLength), freeBuffers: make(chan []byte, l.QueueLength+2), done: make(chan struct{})}
	go w.loop()
	return w, nil
}

// Close writes what waits and ends the segment. It waits for the task.
func (w *Writer) Close() {
	close(w.queue)
	<-w.done
}

// The recorder's side.

func (w *Writer) enqueue(o writerTask) bool {
	if w.options.BlockWhenFull {
		w.queue <- o
		return true
	}
	select {
	case w.queue <- o:
		return true
	default:
		return false
	}
}

// hasRoom tells whether enough of the queue is free to end a gap.
func (w *Writer) hasRoom() bool { return len(w.queue) <= cap(w.queue)/2 }

func (w *Writer) failureReason() string {
	if why := w.failure.Load(); why != nil {
		return *why
	}
	return ""
}

// clearFailure lets the task try the disk again.
func (w *Writer) clearFailure()      { w.failure.Store(nil) }
func (w *Writer) segmentSize() int64 { return w.currentSize.Load() }

func (w *Writer) takeBuffer(n int) []byte {
	select {
	case b := <-w.freeBuffers:
		return b[:0]
	default:
		return make([]byte, 0, n+n/4)
	}
}

func (w *Writer) returnBuffer(b []byte) {
	if cap(b) > maxReusedBuffer {
		return // a checkpoint's: not kept
	}
	select {
	case w.freeBuffers <- b:
	default:
	}
}

const maxReusedBuffer = 256 << 10

func (w *Writer) logGap(reason string) {
	w.Stats.Gaps.Add(1)
	w.options.Log("capture_gap", "reason", reason)
}

func (w *Writer) logResumed(lost uint64) {
	w.Stats.Lost.Add(int64(lost))
	w.options.Log("capture_resumed", "lost", lost)
}

// The task.

func (w *Writer) loop() {
	defer close(w.done)
	for o := range w.queue {
		switch {
		case o.header != nil:
			w.openSegment(o.header)
		case o.incidentReason != "":
			s := w.saveIncident(o.incidentReason, o.done != nil)
			if o.done != nil {
				o.done <- s
			}
		default:
			w.writeRecords(o.block)
			w.returnBuffer(o.block.payload)
		}
	}
	w.closeSegment()
	w.encoder.Close()
}

// failSegment gives the segment up; the recorder sees it at its next call, and what
// waits in the queue until then is of no use.
func (w *Writer) failSegment(err error) {
	why := err.Error()
	w.options.Log("capture_failed", "err", why, "path", w.path)
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
	w.skipBlocks = true
	w.failure.Store(&why)
}

func (w *Writer) openSegment(h *pb.Header) {
	w.closeSegment()
	w.segmentNumber++
	h.Build, h.Gateway, h.Run, h.Segment, h.Seed = w.options.Build, w.options.Gateway, w.runName, w.segmentNumber, w.options.Seed
	w.path = filepath.Join(w.options.Directory, fmt.Sprintf("%s-%s-%06d%s", w.options.Gateway, w.runName, w.segmentNumber, Suffix))
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

// writeBlock writes one block and tells whether that went well.
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

func (w *Writer) writeRecords(b block) {
	if w.skipBlocks || w.file == nil {
		w.Stats.Lost.Add(int64(b.recordCount))
		return
	}
	at := w.offset
	raw := b.payload
	b.payload = w.encoder.EncodeAll(raw, nil)
	b.flags |= flagZstd
	if !w.writeBlock(b) {
		w.Stats.Lost.Add(int64(b.recordCount))
		return
	}
	w.Stats.Blocks.Add(1)
	w.Stats.Records.Add(int64(b.recordCount))
	w.index.Blocks = append(w.index.Blocks, &pb.Index_Block{Offset: uint64(at), First: b.firstRecord, AtUs: b.at,
		Checkpoint: b.startsWithCheckpoint(), Records: b.recordCount})
	w.segmentRecords += uint64(b.recordCount)
	w.index.LastUs = b.at
}

// closeSegment closes the segment at hand, with its index.
func (w *Writer) closeSegment() {
	if w.file == nil {
		return
	}
	at := w.offset
	w.index.Records = w.segmentRecords
	b, err := messageBlock(blockIndex, w.index.LastUs, &w.index)
	if err != nil {
		w.failSegment(err)
		return
	}
	if !w.writeBlock(b) {
		return
	}
	trail := appendTrailer(nil, at)
	if _, err := w.file.Write(trail); err != nil {
		w.failSegment(err)
		return
	}
	err = w.file.Close()
	w.file = nil
	if w.currentSize.Store(0); err != nil {
		w.failSegment(err)
	}
}

type segmentFile struct {
	path       string
	size       int64
	modifiedAt time.Time
}

// listSegments lists the gateway's own in a directory, the oldest first.
func listSegments(dir, gateway string) []segmentFile {
	entries, err := os.ReadDir(dir)
	if err != nil {
		return nil
	}
	var out []segmentFile
	for _, e := range entries {
		if e.IsDir() || !strings.HasPrefix(e.Name(), gateway+"-") || !strings.HasSuffix(e.Name(), Suffix) {
			continue
		}
		if info, err := e.Info(); err == nil {
			out = append(out, segmentFile{filepath.Join(dir, e.Name()), info.Size(), info.ModTime()})
		}
	}
	slices.SortFunc(out, func(a, b segmentFile) int { return cmp.Compare(a.path, b.path) })
	return out
}

// deleteOldSegments drops the oldest segments past the bounds, with room for one more.
func (w *Writer) deleteOldSegments() {
	all := listSegments(w.options.Directory, w.options.Gateway)
	var total int64
	for _, s := range all {
		total += s.size
	}
	for _, s := range all {
		if total <= w.options.MaxBytes && time.Since(s.modifiedAt) <= w.options.MaxAge {
			break
		}
		if err := os.Remove(s.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			w.options.Log("capture_failed", "err", err.Error(), "path", s.path)
			return
		}
		total -= s.size
		w.Stats.Dropped.Add(1)
	}
}

// Manifest tells of an incident, in its directory's incident.json.
type Manifest struct {
	Reason   string    `json:"reason"`
	Gateway  string    `json:"gateway"`
	Build    string    `json:"build"`
	At       time.Time `json:"at"`
	Ordered  bool      `json:"ordered"` // by a person, not by a condition
	Segments []string  `json:"segments"`
	Bytes    int64     `json:"bytes"`
}

// saveIncident links the closed segments of the window into a directory of their own.
func (w *Writer) saveIncident(reason string, ordered bool) SavedIncident {
	if w.options.MaxIncidents <= 0 {
		return SavedIncident{Err: errors.New("no incidents are kept here")}
	}
	now := time.Now()
	if !ordered && now.Sub(w.lastAutomaticIncident) < w.options.IncidentInterval {
		return SavedIncident{Err: errors.New("too soon after the last")}
	}
	if !ordered {
		w.lastAutomaticIncident = now
	}
	s, err := w.linkSegments(reason, ordered, now)
	if err != nil {
		w.options.Log("incident_failed", "err", err.Error(), "reason", reason)
		return SavedIncident{Err: err}
	}
	w.options.Log("incident", "reason", reason, "ordered", ordered, "path", s.Path, "segments", s.Segments, "bytes", s.Bytes)
	return s
}

func (w *Writer) linkSegments(reason string, ordered bool, now time.Time) (SavedIncident, error) {
	if err := os.MkdirAll(w.options.IncidentDirectory, 0o700); err != nil {
		return SavedIncident{}, err
	}
	if err := w.deleteOldIncidents(); err != nil {
		return SavedIncident{}, err
	}
	dir := filepath.Join(w.options.IncidentDirectory, w.options.Gateway+"-"+now.UTC().Format("20060102T150405.000Z"))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return SavedIncident{}, err
	}
	m := Manifest{Reason: reason, Gateway: w.options.Gateway, Build: w.options.Build, At: now.UTC(), Ordered: ordered}
	for _, s := range listSegments(w.options.Directory, w.options.Gateway) {
		if now.Sub(s.modifiedAt) > w.options.IncidentWindow || s.path == w.path && w.file != nil {
			continue
		}
		name := filepath.Base(s.path)
		if err := os.Link(s.path, filepath.Join(dir, name)); errors.Is(err, fs.ErrNotExist) {
			continue
		} else if err != nil { // another file system
			text, err := os.ReadFile(s.path)
			if err == nil {
				err = os.WriteFile(filepath.Join(dir, name), text, 0o600)
			}
			if err != nil {
				return SavedIncident{}, err
			}
		}
		m.Segments = append(m.Segments, name)
		m.Bytes += s.size
	}
	text, err := json.MarshalIndent(m, "", "  ")
	if err == nil {
		err = renameio.WriteFile(filepath.Join(dir, ManifestName), append(text, '\n'), 0o600)
	}
	return SavedIncident{Path: dir, Segments: len(m.Segments), Bytes: m.Bytes}, err
}

// ManifestName is the file in an incident's directory that tells of it.
const ManifestName = "incident.json"

// deleteOldIncidents makes room for one more.
func (w *Writer) deleteOldIncidents() error {
	entries, err := os.ReadDir(w.options.IncidentDirectory)
	if err != nil {
		return err
	}
	var own []string
	for _, e := range entries {
		if e.IsDir() && strings.HasPrefix(e.Name(), w.options.Gateway+"-") {
			own = append(own, filepath.Join(w.options.IncidentDirectory, e.Name()))
		}
	}
	slices.Sort(own)
	for len(own) >= w.options.MaxIncidents {
		if err := os.RemoveAll(own[0]); err != nil {
			return err
		}
		own = own[1:]
	}
	return nil
}

// QueuedTasks is the number of blocks and orders that wait for the disk.
func (w *Writer) QueuedTasks() int { return len(w.queue) }
