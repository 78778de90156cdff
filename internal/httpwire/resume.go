package httpwire

import (
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"strings"
)

// ResumeHeader is on a client's ask for the rest of an answer that broke. It is ours, and
// heeded only where gateways go on with each other's work:
//
//	Req-Rest: id=9b1f03aa5c7e2d41,ask=1,bytes=512,sum=7f3a9c21
//
// id is the Req-Id of the request's first try, ask counts the asks for it from 1. bytes
// and sum tell what of the answer's body the client has: so many bytes, and their CRC-32
// (IEEE, hex). They are left out where the ask's own body says how to go on.
const ResumeHeader = "Req-Rest"

// ResumeRequest is what the header tells.
type ResumeRequest struct {
	ID            string
	Sequence      uint32
	ReceivedBytes int64
	Checksum      uint32
}

// maxResumeBytes bounds what a client may have of an answer: more has to be made again only to
// be passed over.
const maxResumeBytes = 8 << 20

// ParseResume reads the header, if it is there.
func ParseResume(h http.Header) (rest ResumeRequest, asked bool, err error) {
	list := h.Values(ResumeHeader)
	if len(list) == 0 {
		return rest, false, nil
	}
	if len(list) > 1 || len(list[0]) > 2*maxRequestIDLength {
		return rest, true, errors.New("Req-Rest: once, and short")
	}
	for pair := range strings.SplitSeq(list[0], ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(pair), "=")
		if !ok {
			return rest, true, fmt.Errorf("Req-Rest: expected name=value pairs, got %.40q", pair)
		}
		var n uint64
		switch name {
		case "id":
			rest.ID = value
		case "ask":
			n, err = strconv.ParseUint(value, 10, 16)
			rest.Sequence = uint32(n)
		case "bytes":
			n, err = strconv.ParseUint(value, 10, 31)
			if rest.ReceivedBytes = int64(n); rest.ReceivedBytes > maxResumeBytes {
				err = fmt.Errorf("at most %d", maxResumeBytes)
			}
		case "sum":
			n, err = strconv.ParseUint(value, 16, 32)
			rest.Checksum = uint32(n)
		}
		if err != nil {
			return rest, true, fmt.Errorf("Req-Rest: %s: %v", name, err)
		}
	}
	if rest.ID == "" || len(rest.ID) > maxRequestIDLength || rest.Sequence == 0 {
		return rest, true, errors.New("Req-Rest: expected id and ask, such as id=9b1f,ask=1")
	}
	return rest, true, nil
}
