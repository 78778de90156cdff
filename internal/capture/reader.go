package capture

import (
	"io"
	"os"

	"github.com/klauspost/compress/zstd"
	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// Entry is one result of a Reader: a record with its number and time, or a missing part of the capture.
type Entry struct {
	Number  uint64 // number of the event; for a checkpoint or a gap, that of the next event
	At      balancer.Micros
	Record  *pb.Record // nil if Missing is set
	Missing *MissingPart
}

// Reader reads a run's records in order. It skips corrupt parts and reports them as missing. It is not safe for
// concurrent use.
type Reader struct {
	run                *Run
	unreadableReported int // number of entries of the run's Unreadable already reported

	segmentPos      int // index of the current segment in the run
	blockPos        int // index of the next block in the segment
	missingReported int // number of entries of the segment's Missing already reported
	file            *os.File
	decoder         *zstd.Decoder

	remaining  []byte // undecoded remainder of the current block
	at         balancer.Micros
	number     uint64 // number of the next event of the block
	eventsLeft uint32 // events not yet read of the block
	expected   uint64 // number of the event that should come next; 0: unknown
	pending    *Entry
}

// NewReader returns a Reader that begins at the last checkpoint at or before a time. If there is none, it begins at the
// start of the run.
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

// Close releases the reader's file and decoder.
func (r *Reader) Close() {
	r.decoder.Close()
	if r.file != nil {
		r.file.Close()
	}
}

// Next returns the next entry. At the end the error is io.EOF; any other error means that a segment cannot be opened.
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
func (r *Reader) reportMissing(m MissingPart) {
	r.pending = &Entry{Number: r.expected, At: r.at, Missing: &m}
	if m.Events > 0 && m.FirstEvent == r.expected { // so that loadBlock does not report the same events again
		r.expected += m.Events
	}
}

// nextEntry returns the next record of the current block. If the record is corrupt, it returns the remainder of the
// block as missing.
func (r *Reader) nextEntry() Entry {
	record, remainder, err := decodeRecord(r.remaining)
	if err != nil {
		r.remaining = nil
		s := r.run.Segments[r.segmentPos]
		return Entry{Number: r.number, At: r.at, Missing: &MissingPart{
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

// decodeRecord decodes the first record of a decompressed payload.
func decodeRecord(in []byte) (record *pb.Record, remainder []byte, err error) {
	encoded, remainder, err := nextRecord(in)
	if err != nil {
		return nil, nil, err
	}
	record = &pb.Record{}
	return record, remainder, proto.Unmarshal(encoded, record)
}

// nextBlock advances to the next block, to the next missing part of the segment, or to the next segment.
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

// loadBlock makes a block the current one. It reports a block that cannot be read, and events that are missing between
// the previous block and this one.
func (r *Reader) loadBlock(path string, b Block) {
	loaded, err := readBlock(r.file, b.Offset)
	if err == nil && loaded.flags&flagZstd != 0 {
		loaded.payload, err = r.decoder.DecodeAll(loaded.payload, make([]byte, 0, loaded.rawLength))
	}
	if err != nil {
		r.reportMissing(MissingPart{
			Path:       path,
			Offset:     b.Offset,
			Events:     uint64(b.Records),
			FirstEvent: b.FirstEvent,
			Reason:     "read block: " + err.Error(),
		})
		return
	}
	r.remaining, r.at, r.number, r.eventsLeft = loaded.payload, loaded.at, loaded.firstEvent, loaded.eventCount
	if r.expected > 0 && loaded.eventCount > 0 && loaded.firstEvent > r.expected {
		r.reportMissing(MissingPart{
			Path:       path,
			Offset:     b.Offset,
			Events:     loaded.firstEvent - r.expected,
			FirstEvent: r.expected,
			Reason:     "events before this block are missing from the capture",
		})
	}
}
