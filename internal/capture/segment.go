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

// A segment is a file of blocks. Each block has a head of fixed size with a
// checksum of its own, so that a reader can step over a block whose contents are
// damaged, and a marker, so that it can find the next one where heads are.
//
//	marker 8 | kind 1 | flags 1 | zero 2 | stored length 4 | raw length 4 |
//	records 4 | first record's number 8 | time 8 | payload CRC 4 | head CRC 4
//
// Numbers are little-endian, checksums CRC-32C. Records stand in a block each
// behind its length (4 bytes). A segment that was closed in order ends with an
// index block and a trailer: the index block's offset (8) and a marker (8).
const (
	blockMarker   = "\x89AKCAP\r\n"
	indexMarker   = "AKINDEX1"
	blockHeadSize = 48
	trailerSize   = 16

	// FormatMajor is refused if it is another; minor versions add fields.
	FormatMajor, FormatMinor = 1, 6

	// Suffix ends a segment's file name.
	Suffix = ".akcap"

	// maxBlockBytes bounds what a block may claim to hold.
	maxBlockBytes = 64 << 20
)

type blockKind uint8

const (
	blockHeader blockKind = iota + 1
	blockRecords
	blockIndex
)

const (
	flagCheckpoint = 1 << iota // begins with a checkpoint
	flagZstd
)

// block is one block, or its head alone.
type block struct {
	kind         blockKind
	flags        uint8
	recordCount  uint32
	rawLength    uint32 // length of the contents
	storedLength uint32 // their length in the file
	firstRecord  uint64 // number of the first record
	at           balancer.Micros
	checksum     uint32
	payload      []byte // as stored
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (b *block) startsWithCheckpoint() bool { return b.flags&flagCheckpoint != 0 }

// appendTo writes the block, with the sums of what it holds.
func (b *block) appendTo(out []byte) []byte {
	b.storedLength, b.checksum = uint32(len(b.payload)), crc32.Checksum(b.payload, castagnoli)
	at := len(out)
	out = append(out, blockMarker...)
	out = append(out, byte(b.kind), b.flags, 0, 0)
	out = binary.LittleEndian.AppendUint32(out, b.storedLength)
	out = binary.LittleEndian.AppendUint32(out, b.rawLength)
	out = binary.LittleEndian.AppendUint32(out, b.recordCount)
	out = binary.LittleEndian.AppendUint64(out, b.firstRecord)
	out = binary.LittleEndian.AppendUint64(out, uint64(b.at))
	out = binary.LittleEndian.AppendUint32(out, b.checksum)
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(out[at:], castagnoli))
	return append(out, b.payload...)
}

// messageBlock is one that holds a message as it is.
func messageBlock(kind blockKind, at balancer.Micros, m proto.Message) (block, error) {
	text, err := proto.Marshal(m)
	return block{kind: kind, rawLength: uint32(len(text)), at: at, payload: text}, err
}

// readTrailer reads the offset of the index block where a trailer stands there.
func readTrailer(r io.ReaderAt, at int64) (index int64, ok bool) {
	var trail [trailerSize]byte
	if n, _ := r.ReadAt(trail[:], at); n < trailerSize || string(trail[8:]) != indexMarker {
		return 0, false
	}
	return int64(binary.LittleEndian.Uint64(trail[:])), true
}

var errCorrupt = errors.New("damaged")

// readBlockHead reads the head at an offset.
func readBlockHead(r io.ReaderAt, offset int64) (block, error) {
	var buf [blockHeadSize]byte
	n, err := r.ReadAt(buf[:], offset)
	if n < blockHeadSize {
		if n > 0 && err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return block{}, err
	}
	le := binary.LittleEndian
	if string(buf[:8]) != blockMarker || le.Uint32(buf[44:]) != crc32.Checksum(buf[:44], castagnoli) {
		return block{}, errCorrupt
	}
	b := block{kind: blockKind(buf[8]), flags: buf[9], storedLength: le.Uint32(buf[12:]), rawLength: le.Uint32(buf[16:]),
		recordCount: le.Uint32(buf[20:]), firstRecord: le.Uint64(buf[24:]), at: int64(le.Uint64(buf[32:])), checksum: le.Uint32(buf[40:])}
	if b.rawLength > maxBlockBytes || b.storedLength > maxBlockBytes {
		return block{}, errCorrupt
	}
	return b, nil
}

// readPayload reads and checks the contents of the block whose head is at the
// offset.
func readPayload(r io.ReaderAt, offset int64, b *block) error {
	b.payload = make([]byte, b.storedLength)
	if n, err := r.ReadAt(b.payload, offset+blockHeadSize); n < len(b.payload) {
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	if crc32.Checksum(b.payload, castagnoli) != b.checksum {
		return errCorrupt
	}
	return nil
}

// findBlockHead looks from an offset on for the next head; io.EOF says that there is
// none.
func findBlockHead(r io.ReaderAt, from int64) (int64, error) {
	buf := make([]byte, 64<<10)
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

// nextRecord cuts the first record off a block's contents.
func nextRecord(in []byte) (rec, rest []byte, err error) {
	if len(in) < 4 {
		return nil, nil, fmt.Errorf("%w: a record's length is cut off", errCorrupt)
	}
	n := binary.LittleEndian.Uint32(in)
	if uint64(n) > uint64(len(in)-4) {
		return nil, nil, fmt.Errorf("%w: a record is longer than its block", errCorrupt)
	}
	return in[4 : 4+n], in[4+n:], nil
}

func appendTrailer(out []byte, index int64) []byte {
	return append(binary.LittleEndian.AppendUint64(out, uint64(index)), indexMarker...)
}
