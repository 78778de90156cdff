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

// Segment is one file of a capture, with the places of its blocks.
type Segment struct {
	Path    string
	Size    int64
	Header  *pb.Header
	Closed  bool // it ends with its index
	Blocks  []Block
	Missing []Missing // what cannot be read, as far as known: opening finds it where there is no index
}

// Block is the place of a block of records in a segment.
type Block struct {
	Offset     int64
	FirstEvent uint64 // number of its first event
	At         balancer.Micros
	Checkpoint bool // it begins with a checkpoint
	Records    uint32
}

// Missing is a part of a capture that cannot be read or was not recorded.
type Missing struct {
	Path       string `json:"path"`
	Offset     int64  `json:"offset"`
	Events     uint64 `json:"events"`          // how many events it had; 0: not known
	FirstEvent uint64 `json:"first,omitempty"` // the number of the first of them, where it is known
	Reason     string `json:"what"`
}

// Run is one recording: its segments in order.
type Run struct {
	Gateway, Name, Build string
	Seed                 uint64
	Settings             balancer.Settings // that it began with
	Segments             []*Segment
	Unreadable           []Missing // segments whose header cannot be read
}

// Begin returns the time of the first block, on the module's clock.
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

// WallTime returns the time of day of a time on the module's clock.
func (r *Run) WallTime(at balancer.Micros) time.Time {
	h := r.Segments[0].Header
	return time.UnixMicro(h.WallUs + at - h.ClockUs).UTC()
}

// Bytes returns the size of the run's files.
func (r *Run) Bytes() (n int64) {
	for _, s := range r.Segments {
		n += s.Size
	}
	return n
}

// RestoreBalancer returns the module of one of the run's checkpoints, with its actions going to sink, and the settings
// that were in force.
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

// ErrUnsupportedVersion says that a capture has a format that this build does not read.
var ErrUnsupportedVersion = errors.New("format not known to this build")

var errNotACapture = errors.New("not a capture, or its header is damaged")

// OpenSegment reads a segment's header and finds its blocks. The error is ErrUnsupportedVersion for a segment of
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

// load reads the header, and the index or the blocks' heads.
func (s *Segment) load(r io.ReaderAt) error {
	head, err := readBlockHead(r, 0)
	if err != nil || head.kind != blockHeader {
		return errNotACapture
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

// readIndex takes the blocks' places from the index. It reports false if the segment has no valid one.
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

// scanBlocks finds the blocks from an offset on, one after another, and notes what lies between them.
func (s *Segment) scanBlocks(r io.ReaderAt, offset int64) {
	for offset < s.Size {
		head, err := readBlockHead(r, offset)
		end := offset + blockHeadSize + int64(head.storedLength)
		if err == nil && end > s.Size {
			s.Missing = append(s.Missing, Missing{
				Path:       s.Path,
				Offset:     offset,
				Events:     uint64(head.eventCount),
				FirstEvent: head.firstEvent,
				Reason:     "the file ends within a block",
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
				return // of an index that cannot be read
			}
		}
		next, err := findBlockHead(r, offset+1)
		if err != nil {
			s.Missing = append(s.Missing, Missing{Path: s.Path, Offset: offset, Reason: fmt.Sprintf("the last %d bytes are no whole block", s.Size-offset)})
			return
		}
		s.Missing = append(s.Missing, Missing{Path: s.Path, Offset: offset, Reason: fmt.Sprintf("%d bytes are no block", next-offset)})
		offset = next
	}
}

// errNoPath is returned where no path of a capture is given.
var errNoPath = errors.New("no path of a capture is given")

// FindRuns opens the captures that the paths name: segments, and directories of segments. The segments of one
// recording make a run. Segments that cannot be read are noted in the runs, if there is another that can.
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
			// The disk was full, or the gateway ended just as the segment began: the others can be used.
			f.unreadable = append(f.unreadable, Missing{Path: file, Reason: err.Error()})
			err = nil
		}
		if err != nil {
			return nil, err
		}
	}
	return f.finish()
}

// findSegments returns the files that the paths name.
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
		found, err := filepath.Glob(filepath.Join(escapeGlob(p), "*"+Suffix))
		if err != nil {
			return nil, err
		}
		if len(found) == 0 {
			return nil, fmt.Errorf("%s: no capture in it (*%s)", p, Suffix)
		}
		files = append(files, found...)
	}
	return files, nil
}

// escapeGlob keeps a directory's name from being interpreted as a pattern.
func escapeGlob(p string) string {
	return strings.NewReplacer(`\`, `\\`, "*", `\*`, "?", `\?`, "[", `\[`).Replace(p)
}

// runFinder groups segments by the run that they are of.
type runFinder struct {
	runs       []*Run
	byKey      map[string]*Run // by gateway and name
	unreadable []Missing
}

// add adds a segment to its run.
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

// finish returns the runs by gateway and name, each with its segments in order and without duplicates. A segment that
// cannot be read belongs to the run that its file's name says, or else to the first.
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
