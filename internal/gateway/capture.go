package gateway

import (
	"context"
	"errors"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/contract"
)

// Capture says how the gateway records what its module is told and orders.
type Capture struct {
	Writer   capture.WriterOptions
	Recorder capture.Options
}

func (c *Capture) newWriter(seed uint64) (*capture.Writer, error) {
	l := c.Writer
	l.Seed = seed
	return capture.NewWriter(l)
}

// captureRecording is a recorder with the writer behind it.
type captureRecording struct {
	recorder *capture.Recorder
	writer   *capture.Writer
	options  capture.Options
}

// captureChange puts a recording in the place of the one before; nil ends it. Its
// writer is handed back to be closed, which waits for the disk.
type captureChange struct {
	next     *captureRecording
	previous chan<- *capture.Writer
}

func (e captureChange) apply(l *eventLoop) {
	var old *capture.Writer
	if l.recording != nil {
		l.recording.recorder.Close()
		old = l.recording.writer
	}
	l.recording, l.module = e.next, l.balancer
	l.routeLedger()
	if n := e.next; n != nil {
		n.recorder = capture.NewRecorder(l.now, l.balancer, l.ledger, l, n.writer, capture.Host{Timers: l.pendingTimers, ReplicaName: l.replicaName, RequestName: l.requestName,
			OpenCharges: l.openCharges}, n.options)
		l.module = n.recorder
		l.routeLedger()
	}
	if e.previous != nil {
		e.previous <- old
	}
}

func (l *eventLoop) pendingTimers() []capture.Timer {
	out := make([]capture.Timer, len(l.timers))
	for i, t := range l.timers {
		out[i] = capture.Timer{At: t.at, Token: t.token}
	}
	return out
}

// routeLedger has what the book is told go through the recorder, if there is one.
func (l *eventLoop) routeLedger() {
	switch {
	case l.ledger == nil:
		l.recordedLedger = nil
	case l.recording != nil && l.recording.recorder != nil:
		l.recordedLedger = l.recording.recorder
	default:
		l.recordedLedger = capture.UnrecordedLedger{Ledger: l.ledger}
	}
}

func (l *eventLoop) openCharges() (out []contract.OpenCharge) {
	l.requests.EachOpenCharge(func(id balancer.RequestID, copy int, c *contract.Charge) {
		out = append(out, contract.OpenCharge{Key: capture.ChargeKey(id, copy), Charge: c})
	})
	return out
}

func (l *eventLoop) replicaName(id balancer.ReplicaID) string {
	if w := l.endpoints.ByID(id); w != nil {
		return w.Endpoint.ID
	}
	return ""
}

func (l *eventLoop) requestName(id balancer.RequestID) string {
	if r := l.requests.Get(id); r != nil {
		return r.ClientRequestID
	}
	return ""
}

// incidentRequest keeps the last minutes of the recording as an incident.
type incidentRequest struct {
	reason string
	done   chan capture.SavedIncident
}

// ErrNotRecording says that there is no capture to keep.
var ErrNotRecording = errors.New("the gateway does not record (capture.record)")

func (e incidentRequest) apply(l *eventLoop) {
	if l.recording == nil {
		e.done <- capture.SavedIncident{Err: ErrNotRecording}
		return
	}
	l.recording.recorder.SaveIncident(l.now, e.reason, e.done)
}

// SetCapture begins a recording, in place of one that runs; nil ends it. It returns
// when the old one is whole on disk.
func (g *Gateway) SetCapture(ctx context.Context, c *Capture) error {
	var next *captureRecording
	if c != nil {
		w, err := c.newWriter(g.options.Seed)
		if err != nil {
			return err
		}
		next = &captureRecording{writer: w, options: c.Recorder}
	}
	old := make(chan *capture.Writer, 1)
	g.loop.post(ctx, captureChange{next, old})
	select {
	case w := <-old:
		if w != nil {
			w.Close()
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// SaveIncident keeps the last minutes of the capture and tells where.
func (g *Gateway) SaveIncident(ctx context.Context, reason string) (capture.SavedIncident, error) {
	e := incidentRequest{reason, make(chan capture.SavedIncident, 1)}
	g.loop.post(ctx, e)
	select {
	case s := <-e.done:
		return s, s.Err
	case <-ctx.Done():
		return capture.SavedIncident{}, ctx.Err()
	}
}
