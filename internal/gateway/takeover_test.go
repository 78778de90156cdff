package gateway

import (
	"hash/crc32"
	"testing"

	"archknot/internal/httpwire"
)

// The bytes that the client has are skipped, however the events are split, and an answer that
// begins differently is not joined to them.
func TestResumedStreamIsJoinedByteForByte(t *testing.T) {
	answer := event1 + event2
	for had := range len(answer) + 1 {
		for _, size := range []int{1, 7, len(answer)} {
			h := &requestLease{resume: httpwire.ResumeRequest{ReceivedBytes: int64(had), Checksum: crc32.ChecksumIEEE([]byte(answer[:had]))}, checksum: crc32.NewIEEE()}
			joined := answer[:had]
			for i := 0; i < len(answer); i += size {
				fresh, ok := h.skipDelivered([]byte(answer[i:min(i+size, len(answer))]))
				if !ok {
					t.Fatalf("had %d: the answer was rejected", had)
				}
				joined += string(fresh)
			}
			if joined != answer || !h.prefixDelivered() {
				t.Fatalf("had %d in pieces of %d: %q", had, size, joined)
			}
		}
	}
	h := &requestLease{resume: httpwire.ResumeRequest{ReceivedBytes: 5, Checksum: crc32.ChecksumIEEE([]byte("other"))}, checksum: crc32.NewIEEE()}
	if _, ok := h.skipDelivered([]byte(answer)); ok {
		t.Error("another answer was joined")
	}
	h = &requestLease{resume: httpwire.ResumeRequest{ReceivedBytes: int64(len(answer) + 1)}, checksum: crc32.NewIEEE()}
	if h.skipDelivered([]byte(answer)); h.prefixDelivered() {
		t.Error("a shorter answer counts as complete")
	}
}
