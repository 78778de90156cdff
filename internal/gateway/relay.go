package gateway

import (
	"net/http"
	"time"

	"archknot/internal/httpwire"
	"archknot/internal/inflight"
)

const (
	// partialEventWait is how long an incomplete event is held back for its remainder.
	partialEventWait = 50 * time.Millisecond
	// maxPartialEventBytes bounds the size of an event that is buffered until it is complete.
	maxPartialEventBytes = 64 << 10
	// clientWriteTimeout is how long a write to a client may block; after that the client counts
	// as disconnected.
	clientWriteTimeout = 5 * time.Second
)

// relayStream writes an attempt's events to the client as they arrive, and reports whether the
// stream was relayed to its end. A replica may split an event over several chunks, which are of
// no use to the client separately: they are written together, or after partialEventWait as far
// as they have arrived.
func relayStream(w http.ResponseWriter, attempt *inflight.Attempt, lease *requestLease) bool {
	defer attempt.Cancel()
	controller := http.NewResponseController(w)
	w.Header().Set("Content-Type", "text/event-stream")
	w.Header().Set("Cache-Control", "no-store")
	var pending []byte
	flush := time.NewTimer(0)
	defer flush.Stop()
	for open := true; open; {
		select {
		case events, ok := <-attempt.Events:
			open = ok
			if !ok {
				break
			}
			events, ok = lease.skipDelivered(events)
			if !ok || !lease.isHolder() {
				return false
			}
			if len(pending) == 0 {
				flush.Reset(partialEventWait)
			}
			pending = append(pending, events...)
			if !httpwire.EndsEvent(pending) && len(pending) < maxPartialEventBytes {
				continue
			}
		case <-flush.C:
		}
		if len(pending) == 0 {
			continue
		}
		_ = controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
		if _, err := w.Write(pending); err != nil || controller.Flush() != nil {
			return false
		}
		pending = pending[:0]
	}
	_ = controller.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	return attempt.Complete && lease.prefixDelivered()
}
