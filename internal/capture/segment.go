package capture

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
	"io"

	"google.golang.org/protobuf/proto"

	"archknot/choice"
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
	marker    = "\x89AKCAP\r\n"
	endMarker = "AKINDEX1"
	headSize  = 48
	trailSize = 16

	// FormatMajor is refused if it is another; minor versions add fields.
	FormatMajor, FormatMinor = 1, 6

	// Suffix ends a segment's file name.
	Suffix = ".akcap"

	// maxRaw bounds what a block may claim to hold.
	maxRaw = 64 << 20
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
	kind    blockKind
	flags   uint8
	records uint32
	raw     uint32 // length of the contents
	stored  uint32 // their length in the file
	first   uint64 // number of the first record
	at      choice.Micros
	sum     uint32
	payload []byte // as stored
}

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (b *block) checkpoint() bool { return b.flags&flagCheckpoint != 0 }

// appendTo writes the block, with the sums of what it holds.
func (b *block) appendTo(out []byte) []byte {
	b.stored, b.sum = uint32(len(b.payload)), crc32.Checksum(b.payload, castagnoli)
	at := len(out)
	out = append(out, marker...)
	out = append(out, byte(b.kind), b.flags, 0, 0)
	out = binary.LittleEndian.AppendUint32(out, b.stored)
	out = binary.LittleEndian.AppendUint32(out, b.raw)
	out = binary.LittleEndian.AppendUint32(out, b.records)
	out = binary.LittleEndian.AppendUint64(out, b.first)
	out = binary.LittleEndian.AppendUint64(out, uint64(b.at))
	out = binary.LittleEndian.AppendUint32(out, b.sum)
	out = binary.LittleEndian.AppendUint32(out, crc32.Checksum(out[at:], castagnoli))
	return append(out, b.payload...)
}

// plainBlock is one that holds a message as it is.
func plainBlock(kind blockKind, at choice.Micros, m proto.Message) (block, error) {
	text, err := proto.Marshal(m)
	return block{kind: kind, raw: uint32(len(text)), at: at, payload: text}, err
}

// trailer reads the offset of the index block where a trailer stands there.
func trailer(r io.ReaderAt, at int64) (index int64, ok bool) {
	var trail [trailSize]byte
	if n, _ := r.ReadAt(trail[:], at); n < trailSize || string(trail[8:]) != endMarker {
		return 0, false
	}
	return int64(binary.LittleEndian.Uint64(trail[:])), true
}

var errDamaged = errors.New("damaged")

// readHead reads the head at an offset.
func readHead(r io.ReaderAt, offset int64) (block, error) {
	var buf [headSize]byte
	n, err := r.ReadAt(buf[:], offset)
	if n < headSize {
		if n > 0 && err == io.EOF {
			err = io.ErrUnexpectedEOF
		}
		return block{}, err
	}
	le := binary.LittleEndian
	if string(buf[:8]) != marker || le.Uint32(buf[44:]) != crc32.Checksum(buf[:44], castagnoli) {
		return block{}, errDamaged
	}
	b := block{kind: blockKind(buf[8]), flags: buf[9], stored: le.Uint32(buf[12:]), raw: le.Uint32(buf[16:]),
		records: le.Uint32(buf[20:]), first: le.Uint64(buf[24:]), at: int64(le.Uint64(buf[32:])), sum: le.Uint32(buf[40:])}
	if b.raw > maxRaw || b.stored > maxRaw {
		return block{}, errDamaged
	}
	return b, nil
}

// readPayload reads and checks the contents of the block whose head is at the
// offset.
func readPayload(r io.ReaderAt, offset int64, b *block) error {
	b.payload = make([]byte, b.stored)
	if n, err := r.ReadAt(b.payload, offset+headSize); n < len(b.payload) {
		if err == io.EOF {
			return io.ErrUnexpectedEOF
		}
		return err
	}
	if crc32.Checksum(b.payload, castagnoli) != b.sum {
		return errDamaged
	}
	return nil
}

// findHead looks from an offset on for the next head; io.EOF says that there is
// none.
func findHead(r io.ReaderAt, from int64) (int64, error) {
	buf := make([]byte, 64<<10)
	for {
		n, err := r.ReadAt(buf, from)
		for i := 0; ; {
			j := bytes.Index(buf[i:n], []byte(marker))
			if j < 0 {
				break
			}
			if _, err := readHead(r, from+int64(i+j)); err == nil {
				return from + int64(i+j), nil
			}
			i += j + 1
		}
		if err != nil {
			return 0, err
		}
		from += int64(n - len(marker) + 1)
	}
}

// nextRecord cuts the first record off a block's contents.
func nextRecord(in []byte) (rec, rest []byte, err error) {
	if len(in) < 4 {
		return nil, nil, fmt.Errorf("%w: a record's length is cut off", errDamaged)
	}
	n := binary.LittleEndian.Uint32(in)
	if uint64(n) > uint64(len(in)-4) {
		return nil, nil, fmt.Errorf("%w: a record is longer than its block", errDamaged)
	}
	return in[4 : 4+n], in[4+n:], nil
}

func appendTrail(out []byte, index int64) []byte {
	return append(binary.LittleEndian.AppendUint64(out, uint64(index)), endMarker...)
}
