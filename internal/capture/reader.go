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

	"archknot/balancer"
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
	FirstEvent uint64 // number of its first event
	At         balancer.Micros
	Checkpoint bool
	Records    uint32
}

// Missing is a part of a capture that cannot be read or was never recorded.
type Missing struct {
	Path       string `json:"path"`
	Offset     int64  `json:"offset"`
	Events     uint64 `json:"events"`          // how many events it held; 0: not known
	FirstEvent uint64 `json:"first,omitempty"` // the number of the first of them, where it is known
	Reason     string `json:"what"`
}

// Run is one recording: its segments in order.
type Run struct {
	Gateway, Name, Build string
	Seed                 uint64
	Settings             balancer.Settings
	Segments             []*Segment
	Unreadable           []Missing // segments whose header cannot be read
}

// Begin and End are the times of the first block and the last, on the module's
// clock.
func (r *Run) Begin() balancer.Micros { return r.Segments[0].Header.ClockUs }

func (r *Run) End() balancer.Micros {
	end := r.Begin()
	for _, s := range r.Segments {
		for _, b := range s.Blocks {
			end = max(end, b.At)
		}
	}
	return end
}

// WallTime is the time of day of a moment on the module's clock.
func (r *Run) WallTime(at balancer.Micros) time.Time {
	h := r.Segments[0].Header
	return time.UnixMicro(h.WallUs + at - h.ClockUs).UTC()
}

// ErrUnsupportedVersion says that a capture is of a format that this build does not read.
var ErrUnsupportedVersion = errors.New("format not known to this build")

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
	if err := s.load(f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return s, nil
}

func (s *Segment) load(r io.ReaderAt) error {
	head, err := readBlockHead(r, 0)
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
		return fmt.Errorf("%w: it is of version %d.%d, written by %q; this build reads version %d", ErrUnsupportedVersion,
			s.Header.Major, s.Header.Minor, s.Header.Build, FormatMajor)
	}
	if s.readIndex(r) {
		s.Closed = true
		return nil
	}
	s.scanBlocks(r, blockHeadSize+int64(head.storedLength))
	return nil
}

// readIndex takes the blocks' places from the index, if the segment has a whole
// one.
func (s *Segment) readIndex(r io.ReaderAt) bool {
	if s.Size < blockHeadSize+trailerSize {
		return false
	}
	at, ok := readTrailer(r, s.Size-trailerSize)
	if !ok || at < blockHeadSize || at > s.Size-trailerSize-blockHeadSize {
		return false
	}
	head, err := readBlockHead(r, at)
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

// scanBlocks finds the blocks one after another, and says what lies between.
func (s *Segment) scanBlocks(r io.ReaderAt, at int64) {
	for at < s.Size {
		head, err := readBlockHead(r, at)
		if err == nil && at+blockHeadSize+int64(head.storedLength) > s.Size {
			s.Missing = append(s.Missing, Missing{Path: s.Path, Offset: at, Events: uint64(head.recordCount), FirstEvent: head.firstRecord, Reason: "the file ends within a block"})
			return
		}
		if err == nil {
			if head.kind == blockRecords {
				s.Blocks = append(s.Blocks, Block{at, head.firstRecord, head.at, head.startsWithCheckpoint(), head.recordCount})
			}
			at += blockHeadSize + int64(head.storedLength)
			continue
		}
		if s.Size-at == trailerSize {
			if _, ok := readTrailer(r, at); ok {
				return // the trailer of an index that cannot be read
			}
		}
		next, err := findBlockHead(r, at+1)
		if err != nil {
			s.Missing = append(s.Missing, Missing{Path: s.Path, Offset: at, Reason: fmt.Sprintf("the last %d bytes are no whole block", s.Size-at)})
			return
		}
		s.Missing = append(s.Missing, Missing{Path: s.Path, Offset: at, Reason: fmt.Sprintf("%d bytes are no block", next-at)})
		at = next
	}
}

// FindRuns opens the captures that the paths name: segments, and folders of them.
// Those of one recording make a run, in order.
func FindRuns(paths ...string) ([]*Run, error) {
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
		found, err := filepath.Glob(filepath.Join(escapeGlob(p), "*"+Suffix))
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
			if errors.Is(err, ErrUnsupportedVersion) || len(files) == 1 {
				return nil, err
			}
			// Of a full disk, or a crash just as it began: the others stand.
			damaged = append(damaged, Missing{Path: f, Reason: err.Error()})
			continue
		}
		key := s.Header.Gateway + "\x00" + s.Header.Run
		run := runs[key]
		if run == nil {
			settings, err := UnmarshalSettings(s.Header.Settings)
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
		return nil, errors.New(damaged[0].Reason)
	}
	for _, m := range damaged {
		i := max(0, slices.IndexFunc(out, func(r *Run) bool {
			return strings.HasPrefix(filepath.Base(m.Path), r.Gateway+"-"+r.Name+"-")
		}))
		out[i].Unreadable = append(out[i].Unreadable, m)
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

// escapeGlob keeps a folder's name from being read as a pattern.
func escapeGlob(p string) string {
	return strings.NewReplacer(`\`, `\\`, "*", `\*`, "?", `\?`, "[", `\[`).Replace(p)
}

// Entry is what a Reader gives: a record with its number and time, or a part
// that is missing.
type Entry struct {
	Number  uint64 // of the event; for a checkpoint or a gap, of the next one
	At      balancer.Micros
	Record  *pb.Record
	Missing *Missing
}

// Reader reads a run's records in order. It steps over what is damaged, and
// says so.
type Reader struct {
	run                *Run
	segmentPos         int
	blockPos           int
	file               *os.File
	missingReported    int // of the segment's Missing
	decoder            *zstd.Decoder
	unread             []byte // of the block at hand, what is left of it
	at                 balancer.Micros
	number             uint64
	expected           uint64 // number of the event that should come next; 0: not known
	eventsLeft         uint32 // events left in the block at hand
	pending            *Entry
	unreadableReported int // of the run's Damaged, told
}

// NewReader begins at the last checkpoint that is not after a time, or at the
// first one.
func NewReader(run *Run, from balancer.Micros) (*Reader, error) {
	dec, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockBytes))
	if err != nil {
		return nil, err
	}
	r := &Reader{run: run, decoder: dec}
	for i, s := range run.Segments {
		for j, b := range s.Blocks {
			if b.Checkpoint && b.At <= from {
				r.segmentPos, r.blockPos = i, j
			}
		}
	}
	return r, nil
}

// Close ends the reader.
func (r *Reader) Close() {
	r.decoder.Close()
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
		if r.unreadableReported < len(r.run.Unreadable) {
			r.reportMissing(r.run.Unreadable[r.unreadableReported])
			r.unreadableReported++
			continue
		}
		if len(r.unread) > 0 {
			return r.nextRecord()
		}
		if err := r.nextBlock(); err != nil {
			return Entry{}, err
		}
	}
}

func (r *Reader) reportMissing(m Missing) {
	r.pending = &Entry{Number: r.expected, At: r.at, Missing: &m}
	if m.Events > 0 && m.FirstEvent == r.expected { // told now: not once more as a jump of the numbers
		r.expected += m.Events
	}
}

// nextRecord cuts the next record off the block at hand.
func (r *Reader) nextRecord() (Entry, error) {
	s := r.run.Segments[r.segmentPos]
	text, rest, err := nextRecord(r.unread)
	rec := &pb.Record{}
	if err == nil {
		err = proto.Unmarshal(text, rec)
	}
	if err != nil {
		r.unread = nil
		return Entry{Number: r.number, At: r.at, Missing: &Missing{Path: s.Path, Offset: s.Blocks[r.blockPos-1].Offset, Events: uint64(r.eventsLeft), FirstEvent: r.number, Reason: err.Error()}}, nil
	}
	r.unread = rest
	r.at += rec.AfterUs
	e := Entry{Number: r.number, At: r.at, Record: rec}
	if rec.Kind != pb.Kind_KIND_CHECKPOINT && rec.Kind != pb.Kind_KIND_GAP {
		r.number++
		r.expected = r.number
		r.eventsLeft--
	}
	return e, nil
}

// nextBlock goes on to the next block.
func (r *Reader) nextBlock() error {
	if r.segmentPos >= len(r.run.Segments) {
		return io.EOF
	}
	s := r.run.Segments[r.segmentPos]
	if r.missingReported < len(s.Missing) && (r.blockPos >= len(s.Blocks) || s.Missing[r.missingReported].Offset < s.Blocks[r.blockPos].Offset) {
		r.reportMissing(s.Missing[r.missingReported])
		r.missingReported++
		return nil
	}
	if r.blockPos >= len(s.Blocks) {
		if r.file != nil {
			r.file.Close()
			r.file = nil
		}
		r.segmentPos, r.blockPos, r.missingReported = r.segmentPos+1, 0, 0
		return nil
	}
	if r.file == nil {
		f, err := os.Open(s.Path)
		if err != nil {
			return err
		}
		r.file = f
	}
	b := s.Blocks[r.blockPos]
	r.blockPos++
	head, err := readBlockHead(r.file, b.Offset)
	if err == nil {
		err = readPayload(r.file, b.Offset, &head)
	}
	if err == nil && head.flags&flagZstd != 0 {
		head.payload, err = r.decoder.DecodeAll(head.payload, make([]byte, 0, head.rawLength))
	}
	if err != nil {
		r.reportMissing(Missing{Path: s.Path, Offset: b.Offset, Events: uint64(b.Records), FirstEvent: b.FirstEvent, Reason: "a block cannot be read: " + err.Error()})
		return nil
	}
	r.unread, r.at, r.number, r.eventsLeft = head.payload, head.at, head.firstRecord, head.recordCount
	if r.expected > 0 && head.recordCount > 0 && head.firstRecord > r.expected {
		r.reportMissing(Missing{Path: s.Path, Offset: b.Offset, Events: head.firstRecord - r.expected, FirstEvent: r.expected, Reason: "events were not recorded before this"})
	}
	return nil
}

// CopySpan writes what lies within a span of time into a new segment: whole blocks,
// from the last checkpoint before it on. It returns the number of events.
func CopySpan(run *Run, from, to balancer.Micros, path string) (events uint64, err error) {
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
	start := run.Segments[r.segmentPos].Header
	header := proto.Clone(start).(*pb.Header)
	header.Segment = 1
	header.Run += fmt.Sprintf("-cut%d", run.Segments[r.segmentPos].Blocks[r.blockPos].FirstEvent) // not to be taken for the run's own
	var index pb.Index
	var offset int64
	put := func(b block) error {
		text := b.appendTo(nil)
		_, err := out.Write(text)
		offset += int64(len(text))
		return err
	}
	b, err := messageBlock(blockHeader, header.ClockUs, header)
	if err == nil {
		err = put(b)
	}
	if err != nil {
		return 0, err
	}
	for ; r.segmentPos < len(run.Segments); r.segmentPos, r.blockPos = r.segmentPos+1, 0 {
		s := run.Segments[r.segmentPos]
		f, err := os.Open(s.Path)
		if err != nil {
			return 0, err
		}
		defer f.Close()
		for _, b := range s.Blocks[r.blockPos:] {
			if b.At > to {
				continue
			}
			head, err := readBlockHead(f, b.Offset)
			if err == nil {
				err = readPayload(f, b.Offset, &head)
			}
			if err != nil {
				return 0, fmt.Errorf("%s: the block at %d: %w", s.Path, b.Offset, err)
			}
			index.Blocks = append(index.Blocks, &pb.Index_Block{Offset: uint64(offset), First: b.FirstEvent, AtUs: b.At,
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
	if b, err = messageBlock(blockIndex, index.LastUs, &index); err == nil {
		err = put(b)
	}
	if err != nil {
		return 0, err
	}
	_, err = out.Write(appendTrailer(nil, at))
	return events, err
}

// RestoreBalancer makes the module as a checkpoint of the run has it, under the settings
// that were in force then, which it returns.
func (r *Run) RestoreBalancer(c *pb.Checkpoint, out balancer.Sink) (*balancer.Balancer, balancer.Settings, error) {
	s := r.Settings
	if c.Settings != nil {
		var err error
		if s, err = UnmarshalSettings(c.Settings); err != nil {
			return nil, s, err
		}
	}
	b, err := balancer.Restore(s, c.State, out)
	return b, s, err
}

// Bytes is the size of a run's files.
func (r *Run) Bytes() (n int64) {
	for _, s := range r.Segments {
		n += s.Size
	}
	return n
}

// RewriteHeader writes a segment anew with its header changed: for captures that are
// given another name, and for tests of other versions.
func RewriteHeader(path, out string, change func(*pb.Header)) error {
	text, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	r := bytes.NewReader(text)
	head, err := readBlockHead(r, 0)
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
	rest := text[blockHeadSize+len(head.payload):]
	change(&h)
	if head, err = messageBlock(blockHeader, head.at, &h); err != nil {
		return err
	}
	// Without the index, whose offsets no longer hold: the reader finds the
	// blocks by themselves.
	if at := bytes.LastIndex(rest, []byte(blockMarker)); at >= 0 && bytes.HasSuffix(rest, []byte(indexMarker)) {
		rest = rest[:at]
	}
	return os.WriteFile(out, append(head.appendTo(nil), rest...), 0o600)
}

// ChangeSettings is a change of a header's settings: what a module with other
// constants would be.
func ChangeSettings(change func(*balancer.Settings)) func(*pb.Header) {
	return func(h *pb.Header) {
		s, err := UnmarshalSettings(h.Settings)
		if err != nil {
			panic(err) // it was opened with them
		}
		change(&s)
		h.Settings = marshalSettings(&s)
	}
}
