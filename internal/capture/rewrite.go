package capture

import (
	"bytes"
	"fmt"
	"io"
	"os"

	"google.golang.org/protobuf/proto"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
)

// CopySpan copies a span of time of a run into a new segment at path, which must not exist. It copies complete blocks,
// from the last checkpoint before the span on, and returns the number of events. On an error it removes the file.
func CopySpan(run *Run, from, to balancer.Micros, path string) (events uint64, err error) {
	reader, err := NewReader(run, from)
	if err != nil {
		return 0, err
	}
	defer reader.Close()
	out, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_EXCL, fileMode)
	if err != nil {
		return 0, err
	}
	defer func() {
		if closeErr := out.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			os.Remove(path)
		}
	}()
	c := spanCopier{out: out, to: to}
	if err := c.writeHeader(run.Segments[reader.segmentPos], reader.blockPos); err != nil {
		return 0, err
	}
	firstBlock := reader.blockPos
	for _, s := range run.Segments[reader.segmentPos:] {
		if err := c.copySegment(s, firstBlock); err != nil {
			return 0, err
		}
		firstBlock = 0
	}
	return c.index.Records, c.writeIndex()
}

// spanCopier writes the new segment of CopySpan.
type spanCopier struct {
	out    io.Writer
	to     balancer.Micros
	offset int64
	index  pb.Index
}

func (c *spanCopier) writeBlock(b block) error {
	encoded := b.appendTo(nil)
	_, err := c.out.Write(encoded)
	c.offset += int64(len(encoded))
	return err
}

// writeHeader writes the header of the segment that contains the span's first block. It changes the name of the run, so
// that FindRuns does not add the new segment to the original run.
func (c *spanCopier) writeHeader(s *Segment, firstBlock int) error {
	header := &pb.Header{}
	proto.Merge(header, s.Header)
	header.Segment = 1
	header.Run += fmt.Sprintf("-cut%d", s.Blocks[firstBlock].FirstEvent)
	b, err := messageBlock(blockHeader, header.ClockUs, header)
	if err != nil {
		return err
	}
	return c.writeBlock(b)
}

// copySegment copies the blocks of a segment, from firstBlock on, that begin at or before the end of the span.
func (c *spanCopier) copySegment(s *Segment, firstBlock int) error {
	f, err := os.Open(s.Path)
	if err != nil {
		return err
	}
	defer f.Close()
	for _, b := range s.Blocks[firstBlock:] {
		if b.At > c.to {
			continue
		}
		copied, err := readBlock(f, b.Offset)
		if err != nil {
			return fmt.Errorf("%s: read block at offset %d: %w", s.Path, b.Offset, err)
		}
		c.index.Blocks = append(c.index.Blocks, &pb.Index_Block{
			Offset:     uint64(c.offset),
			First:      b.FirstEvent,
			AtUs:       b.At,
			Checkpoint: b.Checkpoint,
			Records:    b.Records,
		})
		c.index.LastUs = b.At
		c.index.Records += uint64(b.Records)
		if err := c.writeBlock(copied); err != nil {
			return err
		}
	}
	return nil
}

// writeIndex writes the index block and the trailer, which end a closed segment.
func (c *spanCopier) writeIndex() error {
	indexOffset := c.offset
	b, err := messageBlock(blockIndex, c.index.LastUs, &c.index)
	if err != nil {
		return err
	}
	if err := c.writeBlock(b); err != nil {
		return err
	}
	_, err = c.out.Write(appendTrailer(nil, indexOffset))
	return err
}

// RewriteHeader writes a copy of the segment at path to out, with its header changed and without its index. Tests use it
// to create captures of other runs, versions or settings.
func RewriteHeader(path, out string, change func(*pb.Header)) error {
	segment, err := os.ReadFile(path)
	if err != nil {
		return err
	}
	headerBlock, err := readBlock(bytes.NewReader(segment), 0)
	var header pb.Header
	if err == nil {
		err = proto.Unmarshal(headerBlock.payload, &header)
	}
	if err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	blocks := segment[blockHeadSize+len(headerBlock.payload):]
	change(&header)
	if headerBlock, err = messageBlock(blockHeader, headerBlock.at, &header); err != nil {
		return err
	}
	// Omit the index: its offsets are wrong if the header's length has changed, and a reader can scan for the blocks.
	if indexStart := bytes.LastIndex(blocks, []byte(blockMarker)); indexStart >= 0 && bytes.HasSuffix(blocks, []byte(indexMarker)) {
		blocks = blocks[:indexStart]
	}
	return os.WriteFile(out, append(headerBlock.appendTo(nil), blocks...), fileMode)
}

// ChangeSettings returns a function for RewriteHeader that changes the module's settings in the header. The function
// panics if the settings cannot be parsed.
func ChangeSettings(change func(*balancer.Settings)) func(*pb.Header) {
	return func(h *pb.Header) {
		s, err := UnmarshalSettings(h.Settings)
		if err != nil {
			panic(err) // the settings were parsed when the segment was opened
		}
		change(&s)
		h.Settings = marshalSettings(&s)
	}
}
