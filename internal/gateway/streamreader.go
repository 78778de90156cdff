package gateway

import (
	"bytes"
	"errors"
	"io"
	"time"

	"archknot/balancer"
	"archknot/internal/connpool"
	"archknot/internal/httpwire"
)

// maxEventDuration bounds how long a replica may take to write one event.
const maxEventDuration = time.Minute

// streamReader reads the events of an attempt's response, and passes them on as they arrive. The goroutine of the
// attempt owns it.
type streamReader struct {
	exchange    *attemptExchange
	conn        *connpool.Conn
	observer    httpwire.StreamObserver
	firstEvent  []byte    // held back until complete: if the stream breaks within it, the client has received nothing
	opened      bool      // events were passed on
	inChunk     int       // bytes of the chunk that is arriving that were passed on
	lastEventAt time.Time // when an event was last complete
}

// readStream reads the events of a 200 response into attempt.Events, and reports whether the
// connection can be reused.
func (x *attemptExchange) readStream(conn *connpool.Conn, head responseHead, body *httpwire.Body, result *attemptEnded) (status balancer.Status, reusable bool) {
	s := streamReader{exchange: x, conn: conn, lastEventAt: time.Now()}
	body.OnPartialChunk(s.receivePartialChunk)
	for {
		events, err := body.Next()
		ended := errors.Is(err, io.EOF)
		events = events[min(s.inChunk, len(events)):]
		s.inChunk = 0
		if !s.receive(events, ended) {
			return balancer.Cancelled, false
		}
		if ended {
			result.observe(&s.observer, head.Header)
			switch {
			case !body.Delimited():
				return balancer.ConnBroken, false
			case s.observer.InLine():
				return balancer.Malformed, false
			}
			return balancer.Served, endsCleanly(conn, head, body)
		}
		if err != nil {
			return x.failureStatus(err, balancer.ConnBroken), false
		}
	}
}

// receive passes events on, except a first event that is not complete, unless the stream has ended. It returns false
// if the attempt is cancelled.
func (s *streamReader) receive(events []byte, ended bool) bool {
	before := s.observer.EventCount
	s.observer.Write(events)
	if s.observer.EventCount > before {
		s.lastEventAt = time.Now()
	}
	if !s.opened {
		s.firstEvent = append(s.firstEvent, events...)
		if !httpwire.EndsEvent(s.firstEvent) && len(s.firstEvent) < maxPartialEventBytes && !ended {
			return true
		}
		s.opened, events, s.firstEvent = true, s.firstEvent, nil
		s.exchange.gateway.loop.events <- streamOpened{s.exchange.attempt}
	}
	if len(events) == 0 {
		return true
	}
	select {
	case s.exchange.attempt.Events <- bytes.Clone(events):
	case <-s.exchange.attempt.Ctx.Done():
		return false
	}
	s.extendDeadline()
	return true
}

// receivePartialChunk passes on the complete events of a chunk that is still arriving: a replica may write it slowly.
func (s *streamReader) receivePartialChunk(chunk []byte) {
	if s.opened {
		s.extendDeadline()
	}
	if n := httpwire.CompleteEvents(chunk[s.inChunk:], s.observer.InLine()); n > 0 {
		s.receive(chunk[s.inChunk:s.inChunk+n], false) // if the attempt is cancelled, the next read fails
		s.inChunk += n
	}
}

// extendDeadline lets the replica be silent for StreamIdleTimeout. From the first event on no other limit applies but
// maxEventDuration, and nothing else detects a machine that dies, which leaves its connection open.
func (s *streamReader) extendDeadline() {
	deadline := time.Now().Add(s.exchange.gateway.options.StreamIdleTimeout)
	if latest := s.lastEventAt.Add(maxEventDuration); deadline.After(latest) {
		deadline = latest
	}
	_ = s.conn.SetDeadline(deadline) // it fails only on a closed connection, and then the next read does
}
