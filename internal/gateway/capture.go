package gateway

import (
	"context"
	"errors"

	"archknot/balancer"
	"archknot/internal/capture"
	"archknot/internal/contract"
)

// ErrNotRecording is returned for an incident if the gateway does not record a capture.
var ErrNotRecording = errors.New("the gateway does not record (capture.record)")

// Capture configures how the gateway records the decision module's inputs and actions.
type Capture struct {
	Writer   capture.WriterOptions
	Recorder capture.Options
}

// newRecording opens the writer of a recording; the recording begins with its captureChange.
func (c *Capture) newRecording(seed uint64) (*captureRecording, error) {
	options := c.Writer
	options.Seed = seed
	writer, err := capture.NewWriter(options)
	if err != nil {
		return nil, err
	}
	return &captureRecording{writer: writer, options: c.Recorder}, nil
}

// captureRecording is a recorder with its writer.
type captureRecording struct {
	recorder *capture.Recorder // nil: the recording has not begun
	writer   *capture.Writer
	options  capture.Options
}

// startCapture begins the first recording, before the loop runs.
func (g *Gateway) startCapture() error {
	if g.options.Capture == nil {
		return nil
	}
	recording, err := g.options.Capture.newRecording(g.options.Seed)
	if err != nil {
		return err
	}
	g.loop.now = g.clock.now()
	captureChange{next: recording}.apply(g.loop)
	return nil
}

// SetCapture begins a recording and ends the running one; nil only ends that. It returns when
// the old recording is complete on disk. Any goroutine may call it while Serve runs.
func (g *Gateway) SetCapture(ctx context.Context, c *Capture) error {
	var next *captureRecording
	if c != nil {
		var err error
		if next, err = c.newRecording(g.options.Seed); err != nil {
			return err
		}
	}
	previous := make(chan *capture.Writer, 1)
	g.loop.post(ctx, captureChange{next, previous})
	select {
	case writer := <-previous:
		if writer != nil {
			writer.Close()
		}
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// captureChange replaces the recording. It sends the old writer back to be closed outside the
// loop, because closing waits for the disk.
type captureChange struct {
	next     *captureRecording      // nil: none
	previous chan<- *capture.Writer // nil: the old writer is not sent
}

func (e captureChange) apply(l *eventLoop) {
	var writer *capture.Writer
	if l.recording != nil {
		l.recording.recorder.Close()
		writer = l.recording.writer
	}
	l.recording, l.module = e.next, l.balancer
	l.routeLedger()
	if next := e.next; next != nil {
		next.recorder = capture.NewRecorder(l.now, l.balancer, l.accounting.ledger, l, next.writer, l.captureHost(), next.options)
		l.module = next.recorder
		l.routeLedger()
	}
	if e.previous != nil {
		e.previous <- writer
	}
}

// captureHost returns the functions by which a recorder reads the loop's state.
func (l *eventLoop) captureHost() capture.Host {
	return capture.Host{
		Timers:      l.pendingTimers,
		ReplicaName: l.replicaName,
		RequestName: l.requestName,
		OpenCharges: l.openCharges,
	}
}

// routeLedger routes the calls of the ledger through the recorder, if there is one.
func (l *eventLoop) routeLedger() {
	a := &l.accounting
	switch {
	case a.ledger == nil:
		a.recordedLedger = nil
	case l.recording != nil && l.recording.recorder != nil:
		a.recordedLedger = l.recording.recorder
	default:
		a.recordedLedger = capture.UnrecordedLedger{Ledger: a.ledger}
	}
}

func (l *eventLoop) pendingTimers() []capture.Timer {
	out := make([]capture.Timer, len(l.timers))
	for i, t := range l.timers {
		out[i] = capture.Timer{At: t.at, Token: t.token}
	}
	return out
}

func (l *eventLoop) replicaName(id balancer.ReplicaID) string {
	if replica := l.endpoints.ByID(id); replica != nil {
		return replica.Endpoint.ID
	}
	return ""
}

func (l *eventLoop) requestName(id balancer.RequestID) string {
	if r := l.requests.Get(id); r != nil {
		return r.ClientRequestID
	}
	return ""
}

func (l *eventLoop) openCharges() (out []contract.OpenCharge) {
	l.requests.EachOpenCharge(func(id balancer.RequestID, attempt int, c *contract.Charge) {
		out = append(out, contract.OpenCharge{Key: capture.ChargeKey(id, attempt), Charge: c})
	})
	return out
}

// SaveIncident saves the last minutes of the capture and returns where they were saved. The
// error is ErrNotRecording if there is no capture. Any goroutine may call it while Serve runs.
func (g *Gateway) SaveIncident(ctx context.Context, reason string) (capture.SavedIncident, error) {
	request := incidentRequest{reason, make(chan capture.SavedIncident, 1)}
	g.loop.post(ctx, request)
	select {
	case saved := <-request.done:
		return saved, saved.Err
	case <-ctx.Done():
		return capture.SavedIncident{}, ctx.Err()
	}
}

// incidentRequest saves the last minutes of the recording as an incident.
type incidentRequest struct {
	reason string
	done   chan capture.SavedIncident
}

func (e incidentRequest) apply(l *eventLoop) {
	if l.recording == nil {
		e.done <- capture.SavedIncident{Err: ErrNotRecording}
		return
	}
	l.recording.recorder.SaveIncident(l.now, e.reason, e.done)
}
