package capture

import (
	"bytes"
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"archknot/choice"
	pb "archknot/internal/capture/capturepb"
)

// Segment is one file of a capture.
type Segment struct {
	Path    string
	Size    int64
	Header  *pb.Header
	Closed  bool // it ends with its index
	Blocks  []Block
	Missing []Missing // what cannot be read; filled while opening where there is no index
}

// Block is where a block stands.
type Block struct {
	Offset     int64
	First      uint64 // number of its first event
	At         choice.Micros
	Checkpoint bool
	Records    uint32
}

// Missing is a part of a capture that cannot be read or was never recorded.
type Missing struct {
	Path   string `json:"path"`
	Offset int64  `json:"offset"`
	Events uint64 `json:"events"`          // how many events it held; 0: not known
	First  uint64 `json:"first,omitempty"` // the number of the first of them, where it is known
	What   string `json:"what"`
}

// Run is one recording: its segments in order.
type Run struct {
	Gateway, Name, Build string
	Seed                 uint64
	Settings             choice.Settings
	Segments             []*Segment
	Damaged              []Missing // segments whose header cannot be read
}

// Begin and End are the times of the first block and the last, on the module's
// clock.
func (r *Run) Begin() choice.Micros { return r.Segments[0].Header.ClockUs }

func (r *Run) End() choice.Micros {
	end := r.Begin()
	for _, s := range r.Segments {
		for _, b := range s.Blocks {
			end = max(end, b.At)
		}
	}
	return end
}

// Wall is the time of day of a moment on the module's clock.
func (r *Run) Wall(at choice.Micros) time.Time {
	h := r.Segments[0].Header
	return time.UnixMicro(h.WallUs + at - h.ClockUs).UTC()
}

// ErrVersion says that a capture is of a format that this build does not read.
var ErrVersion = errors.New("format not known to this build")

// OpenSegment reads a segment's header and where its blocks are.
func OpenSegment(path string) (*Segment, error) {
	f, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return nil, err
	}
	s := &Segment{Path: path, Size: info.Size()}
	if err := s.open(f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func (s *Segment) open(r io.ReaderAt) error {
	head, err := readHead(r, 0)
	if err != nil || head.kind != blockHeader {
		return errors.New("not a capture, or its header is damaged")
	}
	if err := readPayload(r, 0, &head); err != nil {
		return fmt.Errorf("its header cannot be read: %w", err)
	}
	s.Header = &pb.Header{}
	if err := proto.Unmarshal(head.payload, s.Header); err != nil {
		return fmt.Errorf("its header cannot be read: %w", err)
	}
	if s.Header.Major != FormatMajor {
		return fmt.Errorf("%w: it is of version %d.%d, written by %q; this build reads version %d", ErrVersion,
			s.Header.Major, s.Header.Minor, s.Header.Build, FormatMajor)
	}
	if s.readIndex(r) {
		s.Closed = true
		return nil
	}
	s.scan(r, headSize+int64(head.stored))
	return nil
}

// readIndex takes the blocks' places from the index, if the segment has a whole
// one.
func (s *Segment) readIndex(r io.ReaderAt) bool {
	if s.Size < headSize+trailSize {
		return false
	}
	at, ok := trailer(r, s.Size-trailSize)
	if !ok || at < headSize || at > s.Size-trailSize-headSize {
		return false
	}
	head, err := readHead(r, at)
	if err != nil || head.kind != blockIndex || readPayload(r, at, &head) != nil {
		return false
	}
	var index pb.Index
	if proto.Unmarshal(head.payload, &index) != nil {
		return false
	}
	for _, b := range index.Blocks {
		if int64(b.Offset) >= at {
			return false
		}
		s.Blocks = append(s.Blocks, Block{int64(b.Offset), b.First, b.AtUs, b.Checkpoint, b.Records})
	}
	return true
}

// scan finds the blocks one after another, and says what lies between.
func (s *Segment) scan(r io.ReaderAt, at int64) {
	for at < s.Size {
		head, err := readHead(r, at)
		if err == nil && at+headSize+int64(head.stored) > s.Size {
			s.Missing = append(s.Missing, Missing{Path: s.Path, Offset: at, Events: uint64(head.records), First: head.first, What: "the file ends within a block"})
			return
		}
		if err == nil {
			if head.kind == blockRecords {
				s.Blocks = append(s.Blocks, Block{at, head.first, head.at, head.checkpoint(), head.records})
			}
			at += headSize + int64(head.stored)
			continue
		}
		if s.Size-at == trailSize {
			if _, ok := trailer(r, at); ok {
				return // the trailer of an index that cannot be read
			}
		}
		next, err := findHead(r, at+1)
		if err != nil {
			s.Missing = append(s.Missing, Missing{Path: s.Path, Offset: at, What: fmt.Sprintf("the last %d bytes are no whole block", s.Size-at)})
			return
		}
		s.Missing = append(s.Missing, Missing{Path: s.Path, Offset: at, What: fmt.Sprintf("%d bytes are no block", next-at)})
		at = next
	}
}

// Find opens the captures that the paths name: segments, and folders of them.
// Those of one recording make a run, in order.
func Find(paths ...string) ([]*Run, error) {
	var files []string
	for _, p := range paths {
		info, err := os.Stat(p)
		if err != nil {
			return nil, err
		}
		if !info.IsDir() {
			files = append(files, p)
			continue
		}
		found, err := filepath.Glob(filepath.Join(escape(p), "*"+Suffix))
		if err != nil {
			return nil, err
		}
		if len(found) == 0 {
			return nil, fmt.Errorf("%s: no capture in it (*%s)", p, Suffix)
		}
		files = append(files, found...)
	}
	runs := map[string]*Run{}
	var out []*Run
	var damaged []Missing
	for _, f := range files {
		s, err := OpenSegment(f)
		if err != nil {
			if errors.Is(err, ErrVersion) || len(files) == 1 {
				return nil, err
			}
			// Of a full disk, or a crash just as it began: the others stand.
			damaged = append(damaged, Missing{Path: f, What: err.Error()})
			continue
		}
		key := s.Header.Gateway + "\x00" + s.Header.Run
		run := runs[key]
		if run == nil {
			settings, err := GetSettings(s.Header.Settings)
			if err != nil {
				return nil, fmt.Errorf("%s: %w", f, err)
			}
			run = &Run{Gateway: s.Header.Gateway, Name: s.Header.Run, Build: s.Header.Build, Seed: s.Header.Seed, Settings: settings}
			runs[key] = run
			out = append(out, run)
		}
		run.Segments = append(run.Segments, s)
	}
	if len(out) == 0 {
		return nil, errors.New(damaged[0].What)
	}
	for _, m := range damaged {
		i := max(0, slices.IndexFunc(out, func(r *Run) bool {
			return strings.HasPrefix(filepath.Base(m.Path), r.Gateway+"-"+r.Name+"-")
		}))
		out[i].Damaged = append(out[i].Damaged, m)
	}
	for _, r := range out {
		slices.SortFunc(r.Segments, func(a, b *Segment) int { return cmp.Compare(a.Header.Segment, b.Header.Segment) })
		r.Segments = slices.CompactFunc(r.Segments, func(a, b *Segment) bool { return a.Header.Segment == b.Header.Segment })
	}
	slices.SortFunc(out, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Name, b.Name))
	})
	return out, nil
}

// escape keeps a folder's name from being read as a pattern.
func escape(p string) string {
	return strings.NewReplacer(`\`, `\\`, "*", `\*`, "?", `\?`, "[", `\[`).Replace(p)
}

// Entry is what a Reader gives: a record with its number and time, or a part
// that is missing.
type Entry struct {
	Number  uint64 // of the event; for a checkpoint or a gap, of the next one
	At      choice.Micros
	Record  *pb.Record
	Missing *Missing
}

// Reader reads a run's records in order. It steps over what is damaged, and
// says so.
type Reader struct {
	run     *Run
	seg     int
	blk     int
	file    *os.File
	told    int // of the segment's Missing
	dec     *zstd.Decoder
	raw     []byte // of the block at hand, what is left of it
	at      choice.Micros
	number  uint64
	next    uint64 // number of the event that should come next; 0: not known
	left    uint32 // events left in the block at hand
	pending *Entry
	damaged int // of the run's Damaged, told
}

// NewReader begins at the last checkpoint that is not after a time, or at the
// first one.
func NewReader(run *Run, from choice.Micros) (*Reader, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxRaw))
	if err != nil {
		return nil, err
	}
	r := &Reader{run: run, dec: dec}
	for i, s := range run.Segments {
		for j, b := range s.Blocks {
			if b.Checkpoint && b.At <= from {
				r.seg, r.blk = i, j
			}
		}
	}
	return r, nil
}

// Close ends the reader.
func (r *Reader) Close() {
	r.dec.Close()
	if r.file != nil {
		r.file.Close()
	}
}

// Next is the next entry; io.EOF at the end. Other errors say that a file
// cannot be read at all.
func (r *Reader) Next() (Entry, error) {
	for {
		if e := r.pending; e != nil {
			r.pending = nil
			return *e, nil
		}
		if r.damaged < len(r.run.Damaged) {
			r.missing(r.run.Damaged[r.damaged])
			r.damaged++
			continue
		}
		if len(r.raw) > 0 {
			return r.record()
		}
		if err := r.block(); err != nil {
			return Entry{}, err
		}
	}
}

func (r *Reader) missing(m Missing) {
	r.pending = &Entry{Number: r.next, At: r.at, Missing: &m}
	if m.Events > 0 && m.First == r.next { // told now: not once more as a jump of the numbers
		r.next += m.Events
	}
}

// record cuts the next record off the block at hand.
func (r *Reader) record() (Entry, error) {
	s := r.run.Segments[r.seg]
	text, rest, err := nextRecord(r.raw)
	rec := &pb.Record{}
	if err == nil {
		err = proto.Unmarshal(text, rec)
	}
	if err != nil {
		r.raw = nil
		return Entry{Number: r.number, At: r.at, Missing: &Missing{Path: s.Path, Offset: s.Blocks[r.blk-1].Offset, Events: uint64(r.left), First: r.number, What: err.Error()}}, nil
	}
	r.raw = rest
	r.at += rec.AfterUs
	e := Entry{Number: r.number, At: r.at, Record: rec}
	if rec.Kind != pb.Kind_KIND_CHECKPOINT && rec.Kind != pb.Kind_KIND_GAP {
		r.number++
		r.next = r.number
		r.left--
	}
	return e, nil
}

// block goes on to the next block.
func (r *Reader) block() error {
	if r.seg >= len(r.run.Segments) {
		return io.EOF
	}
	s := r.run.Segments[r.seg]
	if r.told < len(s.Missing) && (r.blk >= len(s.Blocks) || s.Missing[r.told].Offset < s.Blocks[r.blk].Offset) {
		r.missing(s.Missing[r.told])
		r.told++
		return nil
	}
	if r.blk >= len(s.Blocks) {
		if r.file != nil {
			r.file.Close()
			r.file = nil
		}
		r.seg, r.blk, r.told = r.seg+1, 0, 0
		return nil
	}
	if r.file == nil {
		f, err := os.Open(s.Path)
		if err != nil {
			return err
		}
		r.file = f
	}
	b := s.Blocks[r.blk]
	r.blk++
	head, err := readHead(r.file, b.Offset)
	if err == nil {
		err = readPayload(r.file, b.Offset, &head)
	}
	if err == nil && head.flags&flagZstd != 0 {
		head.payload, err = r.dec.DecodeAll(head.payload, make([]byte, 0, head.raw))
	}
	if err != nil {
		r.missing(Missing{Path: s.Path, Offset: b.Offset, Events: uint64(b.Records), First: b.First, What: "a block cannot be read: " + err.Error()})
		return nil
	}
	r.raw, r.at, r.number, r.left = head.payload, head.at, head.first, head.records
	if r.next > 0 && head.records > 0 && head.first > r.next {
		r.missing(Missing{Path: s.Path, Offset: b.Offset, Events: head.first - r.next, First: r.next, What: "events were not recorded before this"})
	}
	return nil
}

// Copy writes what lies within a span of time into a new segment: whole blocks,
// from the last checkpoint before it on. It returns the number of events.
func Copy(run *Run, from, to choice.Micros, path string) (events uint64, err error) {
	r, err := NewReader(run, from)
	if err != nil {
		return 0, err
	}
	defer r.Close()
	out, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o600)
	if err != nil {
		return 0, err
	}
	defer func() {
		if cerr := out.Close(); err == nil {
			err = cerr
		}
		if err != nil {
			os.Remove(path)
		}
	}()
	start := run.Segments[r.seg].Header
	header := proto.Clone(start).(*pb.Header)
	header.Segment = 1
	header.Run += fmt.Sprintf("-cut%d", run.Segments[r.seg].Blocks[r.blk].First) // not to be taken for the run's own
	var index pb.Index
	var offset int64
	put := func(b block) error {
		text := b.appendTo(nil)
		_, err := out.Write(text)
		offset += int64(len(text))
		return err
	}
	b, err := plainBlock(blockHeader, header.ClockUs, header)
	if err == nil {
		err = put(b)
	}
	if err != nil {
		return 0, err
	}
	for ; r.seg < len(run.Segments); r.seg, r.blk = r.seg+1, 0 {
		s := run.Segments[r.seg]
		f, err := os.Open(s.Path)
		if err != nil {
			return 0, err
		}
		defer f.Close()
		for _, b := range s.Blocks[r.blk:] {
			if b.At > to {
				continue
			}
			head, err := readHead(f, b.Offset)
			if err == nil {
				err = readPayload(f, b.Offset, &head)
			}
			if err != nil {
				return 0, fmt.Errorf("%s: the block at %d: %w", s.Path, b.Offset, err)
			}
			index.Blocks = append(index.Blocks, &pb.Index_Block{Offset: uint64(offset), First: b.First, AtUs: b.At,
				Checkpoint: b.Checkpoint, Records: b.Records})
			index.LastUs = b.At
			events += uint64(b.Records)
			if err := put(head); err != nil {
				return 0, err
			}
		}
	}
	index.Records = events
	at := offset
	if b, err = plainBlock(blockIndex, index.LastUs, &index); err == nil {
		err = put(b)
	}
	if err != nil {
		return 0, err
	}
	_, err = out.Write(appendTrail(nil, at))
	return events, err
}

// Restore makes the module as a checkpoint of the run has it, under the settings
// that were in force then, which it returns.
func (r *Run) Restore(c *pb.Checkpoint, out choice.Sink) (*choice.Balancer, choice.Settings, error) {
	s := r.Settings
	if c.Settings != nil {
		var err error
		if s, err = GetSettings(c.Settings); err != nil {
			return nil, s, err
		}
	}
	b, err := choice.Restore(s, c.State, out)
	return b, s, err
}

// Bytes is the size of a run's files.
func (r *Run) Bytes() (n int64) {
	for _, s := range r.Segments {
		n += s.Size
	}
	return n
}

// Rehead writes a segment anew with its header changed: for captures that are
// given another name, and for tests of other versions.
func Rehead(path, out string, change func(*pb.Header)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	r := bytes.NewReader(text)
	head, err := readHead(r, 0)
	if err == nil {
		err = readPayload(r, 0, &head)
	}
	var h pb.Header
	if err == nil {
		err = proto.Unmarshal(head.payload, &h)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	rest := text[headSize+len(head.payload):]
	change(&h)
	if head, err = plainBlock(blockHeader, head.at, &h); err != nil {
		return err
	}
	// Without the index, whose offsets no longer hold: the reader finds the
	// blocks by themselves.
	if at := bytes.LastIndex(rest, []byte(marker)); at >= 0 && bytes.HasSuffix(rest, []byte(endMarker)) {
		rest = rest[:at]
	}
	return os.WriteFile(out, append(head.appendTo(nil), rest...), 0o600)
}

// WithSettings is a change of a header's settings: what a module with other
// constants would be.
func WithSettings(change func(*choice.Settings)) func(*pb.Header) {
	return func(h *pb.Header) {
		s, err := GetSettings(h.Settings)
		if err != nil {
			panic(err) // it was opened with them
		}
		change(&s)
		h.Settings = putSettings(&s)
	}
}
