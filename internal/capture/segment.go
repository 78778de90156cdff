package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
)

// A segment is a file of blocks. Each block has a head of fixed size. The head has a checksum of its own, so that a
// reader can skip a block whose payload is corrupt, and a marker, so that a reader can find the next block after a
// corrupt head.
//
//	marker 8 | kind 1 | flags 1 | zero 2 | stored length 4 | raw length 4 |
//	events 4 | first event's number 8 | time 8 | payload CRC 4 | head CRC 4
//
// Numbers are little-endian, lengths are in bytes, checksums are CRC-32C. Each record in a block is preceded by its
// length (4 bytes). A segment that was closed ends with an index block and a trailer: the index block's offset (8) and a
// marker (8). Events are the records other than checkpoints and gaps.
const (
	blockMarker   = "\x89AKCAP\r\n"
	indexMarker   = "AKINDEX1"
	blockHeadSize = 48
	trailerSize   = 16

	// FormatMajor is the major version of the format. Captures of other major versions are rejected.
	FormatMajor = 1
	// FormatMinor is the minor version of the format. Minor versions only add fields.
	FormatMinor = 9

	// SegmentSuffix is the file name extension of segments.
	SegmentSuffix = ".akcap"

	// maxBlockBytes bounds the lengths in a block's head, so that a corrupt head cannot cause a huge allocation.
	maxBlockBytes = 64 << 20

	// searchChunkBytes is the size of the reads in a search for a marker.
	searchChunkBytes = 64 << 10
)

type blockKind uint8

const (
	blockHeader blockKind = iota + 1
	blockRecords
	blockIndex
)

const (
	flagCheckpoint = 1 << iota // the block begins with a checkpoint
	flagZstd                   // the payload is compressed
)

// block is a block, or the head of one without its payload.
type block struct {
	kind         blockKind
	flags        uint8
	eventCount   uint32
	rawLength    uint32 // length of the uncompressed payload
	storedLength uint32 // length of the payload as stored
	firstEvent   uint64 // number of the first event
	at           balancer.Micros
	checksum     uint32
	payload      []byte // as stored: compressed if flagZstd is set
}

var crc32cTable = crc32.MakeTable(crc32.Castagnoli)

func (b *block) startsWithCheckpoint() bool { return b.flags&flagCheckpoint != 0 }

// appendTo appends the block to out, with its checksums.
func (b *block) appendTo(out []byte) []byte {
	b.storedLength, b.checksum = uint32(len(b.payload)), crc32.Checksum(b.payload, crc32cTable)
	start := len(out)
	out = append(out, blockMarker...)
	out = append(out, byte(b.kind), b.flags, 0, 0)
	out = binary.LittleEndian.AppendUint32(out, b.storedLength)
	out = binary.LittleEndian.AppendUint32(out, b.rawLength)
	out = binary.LittleEndian.AppendUint32(out, b.eventCount)
	out = binary.LittleEndian.AppendUint64(out, b.firstEvent)
	out = binary.LittleEndian.AppendUint64(out, uint64(b.at))
	out = binary.LittleEndian.AppendUint32(out, b.checksum)
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(out[start:], crc32cTable))
	return append(out, b.payload...)
}

// messageBlock returns a block whose payload is one uncompressed message.
func messageBlock(kind blockKind, at balancer.Micros, m proto.Message) (block, error) {
	text, err := proto.Marshal(m)
	return block{kind: kind, rawLength: uint32(len(text)), at: at, payload: text}, err
}

// readTrailer reads the trailer at an offset and returns the offset of the index block. It reports false if there is no
// trailer.
func readTrailer(r io.ReaderAt, at int64) (indexOffset int64, ok bool) {
	var trailer [trailerSize]byte
	if n, _ := r.ReadAt(trailer[:], at); n < trailerSize || string(trailer[8:]) != indexMarker {
		return 0, false
	}
	return int64(binary.LittleEndian.Uint64(trailer[:])), true
}

var errCorrupt = errors.New("corrupt data")

// readBlockHead reads and verifies the head of the block at an offset. It does not read the payload.
func readBlockHead(r io.ReaderAt, offset int64) (block, error) {
	var buf [blockHeadSize]byte
	n, err := r.ReadAt(buf[:], offset)
	if n < blockHeadSize {
		if n > 0 && errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		return block{}, err
	}
	le := binary.LittleEndian
	if string(buf[:8]) != blockMarker || le.Uint32(buf[44:]) != crc32.Checksum(buf[:44], crc32cTable) {
		return block{}, errCorrupt
	}
	b := block{kind: blockKind(buf[8]), flags: buf[9], storedLength: le.Uint32(buf[12:]), rawLength: le.Uint32(buf[16:]),
		eventCount: le.Uint32(buf[20:]), firstEvent: le.Uint64(buf[24:]), at: int64(le.Uint64(buf[32:])), checksum: le.Uint32(buf[40:])}
	if b.rawLength > maxBlockBytes || b.storedLength > maxBlockBytes {
		return block{}, errCorrupt
	}
	return b, nil
}

// readPayload reads and verifies the payload of the block whose head is at an offset.
func readPayload(r io.ReaderAt, offset int64, b *block) error {
	b.payload = make([]byte, b.storedLength)
	if n, err := r.ReadAt(b.payload, offset+blockHeadSize); n < len(b.payload) {
		if errors.Is(err, io.EOF) {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	if crc32.Checksum(b.payload, crc32cTable) != b.checksum {
		return errCorrupt
	}
	return nil
}

// readBlock reads the block at an offset, with its payload as stored.
func readBlock(r io.ReaderAt, offset int64) (block, error) {
	b, err := readBlockHead(r, offset)
	if err != nil {
		return b, err
	}
	err = readPayload(r, offset, &b)
	return b, err
}

// findBlockHead returns the offset of the first valid head at or after an offset. The error is io.EOF if there is none,
// or that of a failed read.
func findBlockHead(r io.ReaderAt, from int64) (int64, error) {
	buf := make([]byte, searchChunkBytes)
	for {
		n, err := r.ReadAt(buf, from)
		for i := 0; ; {
			j := bytes.Index(buf[i:n], []byte(blockMarker))
			if j < 0 {
				break
			}
			if _, err := readBlockHead(r, from+int64(i+j)); err == nil {
				return from + int64(i+j), nil
			}
			i += j + 1
		}
		if err != nil {
			return 0, err
		}
		from += int64(n - len(blockMarker) + 1)
	}
}

// nextRecord splits the first record off the decompressed payload of a block.
func nextRecord(in []byte) (record, remainder []byte, err error) {
	if len(in) < recordLengthBytes {
		return nil, nil, fmt.Errorf("%w: truncated length of a record", errCorrupt)
	}
	n := binary.LittleEndian.Uint32(in)
	if uint64(n) > uint64(len(in)-recordLengthBytes) {
		return nil, nil, fmt.Errorf("%w: record longer than its block", errCorrupt)
	}
	end := recordLengthBytes + int(n)
	return in[recordLengthBytes:end], in[end:], nil
}

// appendTrailer appends a segment's trailer to out.
func appendTrailer(out []byte, indexOffset int64) []byte {
	return append(binary.LittleEndian.AppendUint64(out, uint64(indexOffset)), indexMarker...)
}
