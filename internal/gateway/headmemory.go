package gateway

import (
	"errors"
)

const (
	// freeHeadBytes is the size up to which a request's head needs no reservation, so that large heads cannot keep out
	// usual ones.
	freeHeadBytes = 2 << 10
	// headMemoryFactor is the memory of a head, parsed and unparsed, as a multiple of its bytes.
	headMemoryFactor = 4
)

var (
	// errTooManyFields makes the server answer a head of more than httpwire.MaxHeadFields fields with 400, before it has
	// parsed more of them.
	errTooManyFields = errors.New("the request's head has too many fields")
	// errHeadMemoryExhausted does the same to a large head when the memory for those is in use.
	errHeadMemoryExhausted = errors.New("the memory for large heads is in use")
)

// reserveHeadMemory reserves memory for the head of the request that is arriving. The caller holds mu.
func (c *clientConn) reserveHeadMemory() error {
	if c.framing.TooManyFields {
		return errTooManyFields
	}
	needed := int64(max(0, c.framing.HeadBytes-freeHeadBytes)) * headMemoryFactor
	if needed <= c.headMemory {
		return nil
	}
	if !c.tracker.reserveHeadBytes(needed - c.headMemory) {
		c.tracker.headMemoryLog.log("head_memory_exhausted", "bytes", c.tracker.headBytes.Load())
		return errHeadMemoryExhausted
	}
	c.headMemory = needed
	return nil
}

// refuseHead ends the reads of a head with headError. It first lets the requests before that be answered, which a failed
// read would cancel. The caller holds mu.
func (c *clientConn) refuseHead() (n int, done bool, err error) {
	if c.hasUnanswered() {
		return 0, false, nil
	}
	return 0, true, c.headError
}

// hasUnanswered reports whether a complete request has arrived that is not answered. The caller holds mu.
func (c *clientConn) hasUnanswered() bool { return c.framing.CompleteRequests > c.answered }

// releaseHeadMemory releases the memory of the heads of answered requests. The caller holds mu.
func (c *clientConn) releaseHeadMemory() {
	c.tracker.headBytes.Add(-c.headMemory)
	c.headMemory = 0
}

// reserveHeadBytes reserves memory for a head. It returns false if that would exceed the limit.
func (t *clientTracker) reserveHeadBytes(n int64) bool {
	if t.headBytes.Add(n) > t.maxHeadBytes {
		t.headBytes.Add(-n)
		return false
	}
	return true
}
