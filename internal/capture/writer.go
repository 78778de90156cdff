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

// Limits bound what a writer keeps on disk.
type Limits struct {
	Directory string
	Gateway   string // begins the segments' names
	Build     string
	Seed      uint64
	Queue     int  // blocks that may wait
	Wait      bool // for hosts that may be held up: nothing is lost to a full queue
	KeepSize  int64
	KeepAge   time.Duration

	Incidents     string // directory of incidents
	KeepIncidents int
	Window        time.Duration // how much of the capture an incident keeps
	Pause         time.Duration // least time between two that the recorder orders

	// Log is told what operators should know: a gap, an incident, a failure.
	Log func(msg string, args ...any)
	// Create makes a segment's file; os.OpenFile if nil. Tests put a full disk here.
	Create func(path string) (File, error)
}

// File is what a segment is written to.
type File interface {
	Write(p []byte) (int, error)
	Close() error
}

// Writer puts blocks into segments, in a task of its own.
type Writer struct {
	l     Limits
	run   string
	queue chan order
	spare chan []byte
	done  chan struct{}
	fault atomic.Pointer[string] // why nothing can be written now
	size  atomic.Int64           // of the segment at hand
	Stats Stats

	// The task's own.
	enc     *zstd.Encoder
	out     []byte
	file    File
	path    string
	offset  int64
	index   pb.Index
	number  uint64
	skip    bool // blocks before the next segment are of no use
	autoAt  time.Time
	records uint64
}

// order is what the recorder hands over: a block, the header of a new segment,
// or an incident to keep.
type order struct {
	block  block
	header *pb.Header
	save   string
	done   chan<- Saved
}

// Saved is what became of an incident.
type Saved struct {
	Path     string
	Segments int
	Bytes    int64
	Err      error
}

var errQueueFull = errors.New("the queue to the disk is full")

// NewWriter makes the directory and starts the task.
func NewWriter(l Limits) (*Writer, error) {
	l.Queue = max(2, l.Queue)
	if l.Log == nil {
		l.Log = func(string, ...any) {}
	}
	if l.Create == nil {
		l.Create = func(path string) (File, error) {
			return os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
		}
	}
	if l.KeepIncidents > 0 && l.Incidents == "" {
		l.Incidents = filepath.Join(l.Directory, "incidents")
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
	w := &Writer{l: l, run: fmt.Sprintf("%s-%d", time.Now().UTC().Format("20060102T150405.000Z"), os.Getpid()), enc: enc, skip: true,
		queue: make(chan order, l.Queue), spare: make(chan []byte, l.Queue+2), done: make(chan struct{})}
	go w.task()
	return w, nil
}

// Close writes what waits and ends the segment. It waits for the task.
func (w *Writer) Close() {
	close(w.queue)
	<-w.done
}

// The recorder's side.

func (w *Writer) order(o order) bool {
	if w.l.Wait {
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

// room tells whether enough of the queue is free to end a gap.
func (w *Writer) room() bool { return len(w.queue) <= cap(w.queue)/2 }

func (w *Writer) broken() string {
	if why := w.fault.Load(); why != nil {
		return *why
	}
	return ""
}

// mend lets the task try the disk again.
func (w *Writer) mend()              { w.fault.Store(nil) }
func (w *Writer) segmentSize() int64 { return w.size.Load() }

func (w *Writer) buffer(n int) []byte {
	select {
	case b := <-w.spare:
		return b[:0]
	default:
		return make([]byte, 0, n+n/4)
	}
}

func (w *Writer) giveBack(b []byte) {
	if cap(b) > maxSpare {
		return // a checkpoint's: not kept
	}
	select {
	case w.spare <- b:
	default:
	}
}

const maxSpare = 256 << 10

func (w *Writer) noteGap(reason string) {
	w.Stats.Gaps.Add(1)
	w.l.Log("capture_gap", "reason", reason)
}

func (w *Writer) mended(lost uint64) {
	w.Stats.Lost.Add(int64(lost))
	w.l.Log("capture_resumed", "lost", lost)
}

// The task.

func (w *Writer) task() {
	defer close(w.done)
	for o := range w.queue {
		switch {
		case o.header != nil:
			w.begin(o.header)
		case o.save != "":
			s := w.save(o.save, o.done != nil)
			if o.done != nil {
				o.done <- s
			}
		default:
			w.write(o.block)
			w.giveBack(o.block.payload)
		}
	}
	w.end()
	w.enc.Close()
}

// fail gives the segment up; the recorder sees it at its next call, and what
// waits in the queue until then is of no use.
func (w *Writer) fail(err error) {
	why := err.Error()
	w.l.Log("capture_failed", "err", why, "path", w.path)
	if w.file != nil {
		w.file.Close()
		w.file = nil
	}
	w.skip = true
	w.fault.Store(&why)
}

func (w *Writer) begin(h *pb.Header) {
	w.end()
	w.number++
	h.Build, h.Gateway, h.Run, h.Segment, h.Seed = w.l.Build, w.l.Gateway, w.run, w.number, w.l.Seed
	w.path = filepath.Join(w.l.Directory, fmt.Sprintf("%s-%s-%06d%s", w.l.Gateway, w.run, w.number, Suffix))
	w.retain()
	file, err := w.l.Create(w.path)
	if err != nil {
		w.fail(err)
		return
	}
	w.file, w.offset, w.records, w.skip = file, 0, 0, false
	w.index.Reset()
	b, err := plainBlock(blockHeader, h.ClockUs, h)
	if err != nil {
		w.fail(err)
		return
	}
	w.put(b)
	w.Stats.Segments.Add(1)
}

// put writes one block and tells whether that went well.
func (w *Writer) put(b block) bool {
	w.out = b.appendTo(w.out[:0])
	if _, err := w.file.Write(w.out); err != nil {
		w.fail(err)
		return false
	}
	w.offset += int64(len(w.out))
	w.size.Store(w.offset)
	w.Stats.Bytes.Add(int64(len(w.out)))
	if cap(w.out) > maxSpare {
		w.out = nil
	}
	return true
}

func (w *Writer) write(b block) {
	if w.skip || w.file == nil {
		w.Stats.Lost.Add(int64(b.records))
		return
	}
	at := w.offset
	raw := b.payload
	b.payload = w.enc.EncodeAll(raw, nil)
	b.flags |= flagZstd
	if !w.put(b) {
		w.Stats.Lost.Add(int64(b.records))
		return
	}
	w.Stats.Blocks.Add(1)
	w.Stats.Records.Add(int64(b.records))
	w.index.Blocks = append(w.index.Blocks, &pb.Index_Block{Offset: uint64(at), First: b.first, AtUs: b.at,
		Checkpoint: b.checkpoint(), Records: b.records})
	w.records += uint64(b.records)
	w.index.LastUs = b.at
}

// end closes the segment at hand, with its index.
func (w *Writer) end() {
	if w.file == nil {
		return
	}
	at := w.offset
	w.index.Records = w.records
	b, err := plainBlock(blockIndex, w.index.LastUs, &w.index)
	if err != nil {
		w.fail(err)
		return
	}
	if !w.put(b) {
		return
	}
	trail := appendTrail(nil, at)
	if _, err := w.file.Write(trail); err != nil {
		w.fail(err)
		return
	}
	err = w.file.Close()
	w.file = nil
	if w.size.Store(0); err != nil {
		w.fail(err)
	}
}

type segmentFile struct {
	path string
	size int64
	at   time.Time
}

// segments lists the gateway's own in a directory, the oldest first.
func segments(dir, gateway string) []segmentFile {
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

// retain drops the oldest segments past the bounds, with room for one more.
func (w *Writer) retain() {
	all := segments(w.l.Directory, w.l.Gateway)
	var total int64
	for _, s := range all {
		total += s.size
	}
	for _, s := range all {
		if total <= w.l.KeepSize && time.Since(s.at) <= w.l.KeepAge {
			break
		}
		if err := os.Remove(s.path); err != nil && !errors.Is(err, fs.ErrNotExist) {
			w.l.Log("capture_failed", "err", err.Error(), "path", s.path)
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

// save links the closed segments of the window into a directory of their own.
func (w *Writer) save(reason string, ordered bool) Saved {
	if w.l.KeepIncidents <= 0 {
		return Saved{Err: errors.New("no incidents are kept here")}
	}
	now := time.Now()
	if !ordered && now.Sub(w.autoAt) < w.l.Pause {
		return Saved{Err: errors.New("too soon after the last")}
	}
	if !ordered {
		w.autoAt = now
	}
	s, err := w.keep(reason, ordered, now)
	if err != nil {
		w.l.Log("incident_failed", "err", err.Error(), "reason", reason)
		return Saved{Err: err}
	}
	w.l.Log("incident", "reason", reason, "ordered", ordered, "path", s.Path, "segments", s.Segments, "bytes", s.Bytes)
	return s
}

func (w *Writer) keep(reason string, ordered bool, now time.Time) (Saved, error) {
	if err := os.MkdirAll(w.l.Incidents, 0o700); err != nil {
		return Saved{}, err
	}
	if err := w.dropIncidents(); err != nil {
		return Saved{}, err
	}
	dir := filepath.Join(w.l.Incidents, w.l.Gateway+"-"+now.UTC().Format("20060102T150405.000Z"))
	if err := os.Mkdir(dir, 0o700); err != nil {
		return Saved{}, err
	}
	m := Manifest{Reason: reason, Gateway: w.l.Gateway, Build: w.l.Build, At: now.UTC(), Ordered: ordered}
	for _, s := range segments(w.l.Directory, w.l.Gateway) {
		if now.Sub(s.at) > w.l.Window || s.path == w.path && w.file != nil {
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
				return Saved{}, err
			}
		}
		m.Segments = append(m.Segments, name)
		m.Bytes += s.size
	}
	text, err := json.MarshalIndent(m, "", "  ")
	if err == nil {
		err = renameio.WriteFile(filepath.Join(dir, ManifestName), append(text, '\n'), 0o600)
	}
	return Saved{Path: dir, Segments: len(m.Segments), Bytes: m.Bytes}, err
}

// ManifestName is the file in an incident's directory that tells of it.
const ManifestName = "incident.json"

// dropIncidents makes room for one more.
func (w *Writer) dropIncidents() error {
	entries, err := os.ReadDir(w.l.Incidents)
	if err != nil {
		return err
	}
	var own []string
	for _, e := range entries {
		if e.IsDir() && strings.HasPrefix(e.Name(), w.l.Gateway+"-") {
			own = append(own, filepath.Join(w.l.Incidents, e.Name()))
		}
	}
	slices.Sort(own)
	for len(own) >= w.l.KeepIncidents {
		if err := os.RemoveAll(own[0]); err != nil {
			return err
		}
		own = own[1:]
	}
	return nil
}

// Waiting is the number of blocks and orders that wait for the disk.
func (w *Writer) Waiting() int { return len(w.queue) }
