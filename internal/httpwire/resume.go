package httpwire

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// ResumeHeader marks a client's request for the remainder of an interrupted stream. It is an extension of the protocol
// that works only where gateways take over each other's requests:
//
//	Req-Rest: id=9b1f03aa5c7e2d41,ask=1,bytes=512,sum=7f3a9c21
//
// id is the Req-Id of the original request. ask numbers the requests for its remainder, from 1. bytes is the length of
// the part of the response's body that the client has, and sum is the CRC-32 of that part (IEEE, hexadecimal). Both are
// omitted if the body of the resuming request itself specifies the continuation.
const ResumeHeader = "Req-Rest"

// ResumeRequest is the parsed value of a ResumeHeader.
type ResumeRequest struct {
	ID            string // Req-Id of the original request
	Sequence      uint32 // number of the request for the remainder, from 1
	ReceivedBytes int64  // length of the part of the body that the client has
	Checksum      uint32 // CRC-32 of that part
}

// maxResumeBytes bounds ReceivedBytes: a replica has to generate these bytes again, only for them to be discarded.
const maxResumeBytes = 8 << 20

// ParseResume parses the ResumeHeader. resuming reports whether there is one, even if it is invalid. The error's text
// is sent to the client.
func ParseResume(h http.Header) (resume ResumeRequest, resuming bool, err error) {
	values := h.Values(ResumeHeader)
	if len(values) == 0 {
		return resume, false, nil
	}
	if len(values) > 1 || len(values[0]) > 2*maxRequestIDLength {
		return resume, true, errors.New("Req-Rest: once, and short")
	}
	for pair := range strings.SplitSeq(values[0], ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return resume, true, fmt.Errorf("Req-Rest: expected name=value pairs, got %.40q", pair)
		}
		if err := resume.set(name, value); err != nil {
			return resume, true, fmt.Errorf("Req-Rest: %s: %w", name, err)
		}
	}
	if resume.ID == "" || len(resume.ID) > maxRequestIDLength || resume.Sequence == 0 {
		return resume, true, errors.New("Req-Rest: expected id and ask, such as id=9b1f,ask=1")
	}
	return resume, true, nil
}

// set sets the field of one name=value pair. Unknown names are ignored.
func (r *ResumeRequest) set(name, value string) error {
	switch name {
	case "id":
		r.ID = value
	case "ask":
		n, err := strconv.ParseUint(value, 10, 16)
		r.Sequence = uint32(n)
		return err
	case "bytes":
		n, err := strconv.ParseUint(value, 10, 31)
		r.ReceivedBytes = int64(n)
		if r.ReceivedBytes > maxResumeBytes {
			return fmt.Errorf("at most %d", maxResumeBytes)
		}
		return err
	case "sum":
		n, err := strconv.ParseUint(value, 16, 32)
		r.Checksum = uint32(n)
		return err
	}
	return nil
}
