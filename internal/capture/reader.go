package capture

import (
	"io"
	"os"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// Entry is what a Reader returns: a record with its number and time, or a part that is missing.
type Entry struct {
	Number  uint64 // of the event; for a checkpoint or a gap, of the next event
	At      balancer.Micros
	Record  *pb.Record // nil if Missing is not
	Missing *Missing
}

// Reader reads a run's records in order. It skips what is corrupt and reports it as missing. It must not be used by
// several goroutines at once.
type Reader struct {
	run                *Run
	unreadableReported int // of the run's Unreadable

	segmentPos      int // of the current segment in the run
	blockPos        int // of the next block in the segment
	missingReported int // of the segment's Missing
	file            *os.File
	decoder         *zstd.Decoder

	remaining  []byte // what is left of the current block
	at         balancer.Micros
	number     uint64 // of the next event of the block
	eventsLeft uint32 // in the block
	expected   uint64 // number of the event that should come next; 0: not known
	pending    *Entry
}

// NewReader returns a Reader that begins at the last checkpoint that is not after a time, or at the first checkpoint.
func NewReader(run *Run, from balancer.Micros) (*Reader, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(1), zstd.WithDecoderMaxMemory(maxBlockBytes))
	if err != nil {
		return nil, err
	}
	r := &Reader{run: run, decoder: decoder}
	for i, s := range run.Segments {
		for j, b := range s.Blocks {
			if b.Checkpoint && b.At <= from {
				r.segmentPos, r.blockPos = i, j
			}
		}
	}
	return r, nil
}

// Close closes the reader.
func (r *Reader) Close() {
	r.decoder.Close()
	if r.file != nil {
		r.file.Close()
	}
}

// Next returns the next entry, and io.EOF at the end. Any other error says that a file cannot be opened.
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
		if len(r.remaining) > 0 {
			return r.nextEntry(), nil
		}
		if err := r.nextBlock(); err != nil {
			return Entry{}, err
		}
	}
}

// reportMissing makes a missing part the next entry.
func (r *Reader) reportMissing(m Missing) {
	r.pending = &Entry{Number: r.expected, At: r.at, Missing: &m}
	if m.Events > 0 && m.FirstEvent == r.expected { // not to be reported again as a jump of the numbers
		r.expected += m.Events
	}
}

// nextEntry returns the next record of the current block. If it is corrupt, the remainder of the block is missing.
func (r *Reader) nextEntry() Entry {
	record, remainder, err := decodeRecord(r.remaining)
	if err != nil {
		r.remaining = nil
		s := r.run.Segments[r.segmentPos]
		return Entry{Number: r.number, At: r.at, Missing: &Missing{
			Path:       s.Path,
			Offset:     s.Blocks[r.blockPos-1].Offset,
			Events:     uint64(r.eventsLeft),
			FirstEvent: r.number,
			Reason:     err.Error(),
		}}
	}
	r.remaining = remainder
	r.at += record.AfterUs
	e := Entry{Number: r.number, At: r.at, Record: record}
	if record.Kind != pb.Kind_KIND_CHECKPOINT && record.Kind != pb.Kind_KIND_GAP {
		r.number++
		r.expected = r.number
		r.eventsLeft--
	}
	return e
}

// decodeRecord decodes the first record of a payload.
func decodeRecord(in []byte) (record *pb.Record, remainder []byte, err error) {
	encoded, remainder, err := nextRecord(in)
	if err != nil {
		return nil, nil, err
	}
	record = &pb.Record{}
	return record, remainder, proto.Unmarshal(encoded, record)
}

// nextBlock advances by a block, a missing part, or to the next segment.
func (r *Reader) nextBlock() error {
	if r.segmentPos >= len(r.run.Segments) {
		return io.EOF
	}
	s := r.run.Segments[r.segmentPos]
	atEnd := r.blockPos >= len(s.Blocks)
	if r.missingReported < len(s.Missing) && (atEnd || s.Missing[r.missingReported].Offset < s.Blocks[r.blockPos].Offset) {
		r.reportMissing(s.Missing[r.missingReported])
		r.missingReported++
		return nil
	}
	if atEnd {
		r.nextSegment()
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
	r.loadBlock(s.Path, b)
	return nil
}

func (r *Reader) nextSegment() {
	if r.file != nil {
		r.file.Close()
		r.file = nil
	}
	r.segmentPos, r.blockPos, r.missingReported = r.segmentPos+1, 0, 0
}

// loadBlock makes a block the current one. One that cannot be read is reported, and so are events that are missing
// before the block.
func (r *Reader) loadBlock(path string, b Block) {
	loaded, err := readBlock(r.file, b.Offset)
	if err == nil && loaded.flags&flagZstd != 0 {
		loaded.payload, err = r.decoder.DecodeAll(loaded.payload, make([]byte, 0, loaded.rawLength))
	}
	if err != nil {
		r.reportMissing(Missing{
			Path:       path,
			Offset:     b.Offset,
			Events:     uint64(b.Records),
			FirstEvent: b.FirstEvent,
			Reason:     "a block cannot be read: " + err.Error(),
		})
		return
	}
	r.remaining, r.at, r.number, r.eventsLeft = loaded.payload, loaded.at, loaded.firstEvent, loaded.eventCount
	if r.expected > 0 && loaded.eventCount > 0 && loaded.firstEvent > r.expected {
		r.reportMissing(Missing{
			Path:       path,
			Offset:     b.Offset,
			Events:     loaded.firstEvent - r.expected,
			FirstEvent: r.expected,
			Reason:     "events were not recorded before this",
		})
	}
}
