package capture

import (
	"cmp"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// Segment is one file of a capture, with the locations of its blocks.
type Segment struct {
	Path    string
	Size    int64
	Header  *pb.Header
	Closed  bool // the segment ends with an index
	Blocks  []Block
	Missing []MissingPart // unreadable parts found by scanning; empty if the index was used
}

// Block is the location of a block of records in a segment.
type Block struct {
	Offset     int64
	FirstEvent uint64 // number of the block's first event
	At         balancer.Micros
	Checkpoint bool // the block begins with a checkpoint
	Records    uint32
}

// MissingPart is a part of a capture that cannot be read or was not recorded.
type MissingPart struct {
	Path       string `json:"path"`
	Offset     int64  `json:"offset"`
	Events     uint64 `json:"events"`          // number of missing events; 0: unknown
	FirstEvent uint64 `json:"first,omitempty"` // number of the first missing event; 0: unknown
	Reason     string `json:"what"`
}

// Run is one recording. Its segments are in order.
type Run struct {
	Gateway, Name, Build string
	Seed                 uint64
	Settings             balancer.Settings // settings at the beginning of the run
	Segments             []*Segment
	Unreadable           []MissingPart // segments whose header cannot be read
}

// Begin returns the time at which the first segment began, on the module's clock.
func (r *Run) Begin() balancer.Micros { return r.Segments[0].Header.ClockUs }

// End returns the time of the last block, on the module's clock.
func (r *Run) End() balancer.Micros {
	end := r.Begin()
	for _, s := range r.Segments {
		for _, b := range s.Blocks {
			end = max(end, b.At)
		}
	}
	return end
}

// WallTime converts a time on the module's clock to wall-clock time, in UTC.
func (r *Run) WallTime(at balancer.Micros) time.Time {
	h := r.Segments[0].Header
	return time.UnixMicro(h.WallUs + at - h.ClockUs).UTC()
}

// Bytes returns the total size of the run's readable segments.
func (r *Run) Bytes() (n int64) {
	for _, s := range r.Segments {
		n += s.Size
	}
	return n
}

// RestoreBalancer returns a module with the state of one of the run's checkpoints, which sends its actions to sink, and
// the settings that were in force at the checkpoint.
func (r *Run) RestoreBalancer(c *pb.Checkpoint, sink balancer.Sink) (*balancer.Balancer, balancer.Settings, error) {
	settings := r.Settings
	if c.Settings != nil {
		var err error
		if settings, err = UnmarshalSettings(c.Settings); err != nil {
			return nil, settings, err
		}
	}
	b, err := balancer.Restore(settings, c.State, sink)
	return b, settings, err
}

// ErrUnsupportedVersion is returned for a capture in a format version that this build cannot read.
var ErrUnsupportedVersion = errors.New("unsupported capture format")

var errNotACapture = errors.New("not a capture, or corrupt header")

// OpenSegment reads a segment's header and finds its blocks. The error wraps ErrUnsupportedVersion for a segment of
// another major version of the format.
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

// load reads the header, and then the index or, if there is no valid one, the heads of all blocks.
func (s *Segment) load(r io.ReaderAt) error {
	head, err := readBlockHead(r, 0)
	if err != nil || head.kind != blockHeader {
		return errNotACapture
	}
	if err := readPayload(r, 0, &head); err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	s.Header = &pb.Header{}
	if err := proto.Unmarshal(head.payload, s.Header); err != nil {
		return fmt.Errorf("read header: %w", err)
	}
	if s.Header.Major != FormatMajor {
		return fmt.Errorf("%w: version %d.%d, written by %q; this build reads version %d", ErrUnsupportedVersion,
			s.Header.Major, s.Header.Minor, s.Header.Build, FormatMajor)
	}
	if s.readIndex(r) {
		s.Closed = true
		return nil
	}
	s.scanBlocks(r, blockHeadSize+int64(head.storedLength))
	return nil
}

// readIndex reads the blocks' locations from the index. It returns false if the segment has no valid index.
func (s *Segment) readIndex(r io.ReaderAt) bool {
	if s.Size < blockHeadSize+trailerSize {
		return false
	}
	indexOffset, ok := readTrailer(r, s.Size-trailerSize)
	if !ok || indexOffset < blockHeadSize || indexOffset > s.Size-trailerSize-blockHeadSize {
		return false
	}
	head, err := readBlockHead(r, indexOffset)
	if err != nil || head.kind != blockIndex || readPayload(r, indexOffset, &head) != nil {
		return false
	}
	var index pb.Index
	if proto.Unmarshal(head.payload, &index) != nil {
		return false
	}
	for _, b := range index.Blocks {
		if int64(b.Offset) >= indexOffset {
			return false
		}
		s.Blocks = append(s.Blocks, Block{
			Offset:     int64(b.Offset),
			FirstEvent: b.First,
			At:         b.AtUs,
			Checkpoint: b.Checkpoint,
			Records:    b.Records,
		})
	}
	return true
}

// scanBlocks finds the blocks from an offset on by their heads, and adds the unreadable parts between them to Missing.
func (s *Segment) scanBlocks(r io.ReaderAt, offset int64) {
	for offset < s.Size {
		head, err := readBlockHead(r, offset)
		end := offset + blockHeadSize + int64(head.storedLength)
		if err == nil && end > s.Size {
			s.Missing = append(s.Missing, MissingPart{
				Path:       s.Path,
				Offset:     offset,
				Events:     uint64(head.eventCount),
				FirstEvent: head.firstEvent,
				Reason:     "block truncated by the end of the file",
			})
			return
		}
		if err == nil {
			if head.kind == blockRecords {
				s.Blocks = append(s.Blocks, Block{offset, head.firstEvent, head.at, head.startsWithCheckpoint(), head.eventCount})
			}
			offset = end
			continue
		}
		if s.Size-offset == trailerSize {
			if _, ok := readTrailer(r, offset); ok {
				return // the trailer of an unreadable index; no block follows it
			}
		}
		next, err := findBlockHead(r, offset+1)
		if err != nil {
			s.Missing = append(s.Missing, MissingPart{Path: s.Path, Offset: offset, Reason: fmt.Sprintf("no complete block in the last %d bytes", s.Size-offset)})
			return
		}
		s.Missing = append(s.Missing, MissingPart{Path: s.Path, Offset: offset, Reason: fmt.Sprintf("%d bytes are not a valid block", next-offset)})
		offset = next
	}
}

var errNoPath = errors.New("no path of a capture given")

// FindRuns opens the captures at the given paths, which are segments or directories of segments, and groups the segments
// by run. If at least one segment can be read, unreadable ones are added to the Unreadable of a run; otherwise they are
// an error. A segment of an unsupported version is always an error.
func FindRuns(paths ...string) ([]*Run, error) {
	files, err := findSegments(paths)
	if err != nil {
		return nil, err
	}
	f := runFinder{byKey: map[string]*Run{}}
	for _, file := range files {
		s, err := OpenSegment(file)
		switch {
		case err == nil:
			err = f.add(s)
		case !errors.Is(err, ErrUnsupportedVersion) && len(files) > 1:
			// A full disk, or a gateway that ends while it begins a segment, leaves a file without a valid header. The
			// other segments are still usable.
			f.unreadable = append(f.unreadable, MissingPart{Path: file, Reason: err.Error()})
			err = nil
		}
		if err != nil {
			return nil, err
		}
	}
	return f.finish()
}

// findSegments returns the paths of files as they are, and for a directory the segments in it.
func findSegments(paths []string) ([]string, error) {
	if len(paths) == 0 {
		return nil, errNoPath
	}
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
		found, err := filepath.Glob(filepath.Join(escapeGlob(p), "*"+SegmentSuffix))
		if err != nil {
			return nil, err
		}
		if len(found) == 0 {
			return nil, fmt.Errorf("%s: no capture files (*%s) in this directory", p, SegmentSuffix)
		}
		files = append(files, found...)
	}
	return files, nil
}

// escapeGlob escapes the special characters of filepath.Glob in a directory's name.
func escapeGlob(p string) string {
	return strings.NewReplacer(`\`, `\\`, "*", `\*`, "?", `\?`, "[", `\[`).Replace(p)
}

// runFinder groups segments by run.
type runFinder struct {
	runs       []*Run
	byKey      map[string]*Run // by gateway and name of the run
	unreadable []MissingPart
}

// add adds a segment to its run. The first segment of a run determines the run's settings.
func (f *runFinder) add(s *Segment) error {
	key := s.Header.Gateway + "\x00" + s.Header.Run
	run := f.byKey[key]
	if run == nil {
		settings, err := UnmarshalSettings(s.Header.Settings)
		if err != nil {
			return fmt.Errorf("%s: %w", s.Path, err)
		}
		run = &Run{
			Gateway:  s.Header.Gateway,
			Name:     s.Header.Run,
			Build:    s.Header.Build,
			Seed:     s.Header.Seed,
			Settings: settings,
		}
		f.byKey[key] = run
		f.runs = append(f.runs, run)
	}
	run.Segments = append(run.Segments, s)
	return nil
}

// finish returns the runs sorted by gateway and name, each with its segments in order and without duplicates. A segment
// that cannot be read is assigned to the run that its file name indicates, or else to the first run.
func (f *runFinder) finish() ([]*Run, error) {
	if len(f.runs) == 0 {
		return nil, errors.New(f.unreadable[0].Reason)
	}
	for _, m := range f.unreadable {
		i := max(0, slices.IndexFunc(f.runs, func(r *Run) bool {
			return strings.HasPrefix(filepath.Base(m.Path), r.Gateway+"-"+r.Name+"-")
		}))
		f.runs[i].Unreadable = append(f.runs[i].Unreadable, m)
	}
	for _, r := range f.runs {
		slices.SortFunc(r.Segments, func(a, b *Segment) int { return cmp.Compare(a.Header.Segment, b.Header.Segment) })
		r.Segments = slices.CompactFunc(r.Segments, func(a, b *Segment) bool { return a.Header.Segment == b.Header.Segment })
	}
	slices.SortFunc(f.runs, func(a, b *Run) int {
		return cmp.Or(cmp.Compare(a.Gateway, b.Gateway), cmp.Compare(a.Name, b.Name))
	})
	return f.runs, nil
}
