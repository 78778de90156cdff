package gateway

import (
	"context"
	"errors"

	"archknot/choice"
	"archknot/internal/capture"
	"archknot/internal/contract"
)

// Capture says how the gateway records what its module is told and orders.
type Capture struct {
	Writer   capture.Limits
	Recorder capture.Options
}

func (c *Capture) writer(seed uint64) (*capture.Writer, error) {
	l := c.Writer
	l.Seed = seed
	return capture.NewWriter(l)
}

// recording is a recorder with the writer behind it.
type recording struct {
	r *capture.Recorder
	w *capture.Writer
	o capture.Options
}

// recordOrder puts a recording in the place of the one before; nil ends it. Its
// writer is handed back to be closed, which waits for the disk.
type recordOrder struct {
	next *recording
	old  chan<- *capture.Writer
}

func (e recordOrder) apply(l *loop) {
	var old *capture.Writer
	if l.record != nil {
		l.record.r.Close()
		old = l.record.w
	}
	l.record, l.m = e.next, l.b
	l.setBooks()
	if n := e.next; n != nil {
		n.r = capture.Record(l.now, l.b, l.book, l, n.w, capture.Host{Timers: l.pending, WorkerName: l.workerName, RequestName: l.requestName,
			Charges: l.charges}, n.o)
		l.m = n.r
		l.setBooks()
	}
	if e.old != nil {
		e.old <- old
	}
}

func (l *loop) pending() []capture.Timer {
	out := make([]capture.Timer, len(l.timers))
	for i, t := range l.timers {
		out[i] = capture.Timer{At: t.at, Token: t.token}
	}
	return out
}

// setBooks has what the book is told go through the recorder, if there is one.
func (l *loop) setBooks() {
	switch {
	case l.book == nil:
		l.books = nil
	case l.record != nil && l.record.r != nil:
		l.books = l.record.r
	default:
		l.books = capture.Plain{Book: l.book}
	}
}

func (l *loop) charges() (out []contract.Open) {
	l.requests.EachOpenCharge(func(id choice.RequestID, copy int, c *contract.Charge) {
		out = append(out, contract.Open{Key: capture.ChargeKey(id, copy), Charge: c})
	})
	return out
}

func (l *loop) workerName(id choice.ReplicaID) string {
	if w := l.registry.ByID(id); w != nil {
		return w.Instance.ID
	}
	return ""
}

func (l *loop) requestName(id choice.RequestID) string {
	if r := l.requests.Get(id); r != nil {
		return r.ClientRequestID
	}
	return ""
}

// saveOrder keeps the last minutes of the recording as an incident.
type saveOrder struct {
	reason string
	done   chan capture.Saved
}

// ErrNotRecording says that there is no capture to keep.
var ErrNotRecording = errors.New("the gateway does not record (capture.record)")

func (e saveOrder) apply(l *loop) {
	if l.record == nil {
		e.done <- capture.Saved{Err: ErrNotRecording}
		return
	}
	l.record.r.Save(l.now, e.reason, e.done)
}

// Record begins a recording, in place of one that runs; nil ends it. It returns
// when the old one is whole on disk.
func (g *Gateway) Record(ctx context.Context, c *Capture) error {
	var next *recording
	if c != nil {
		w, err := c.writer(g.o.Seed)
		if err != nil {
			return err
		}
		next = &recording{w: w, o: c.Recorder}
	}
	old := make(chan *capture.Writer, 1)
	g.loop.post(ctx, recordOrder{next, old})
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
func (g *Gateway) SaveIncident(ctx context.Context, reason string) (capture.Saved, error) {
	e := saveOrder{reason, make(chan capture.Saved, 1)}
	g.loop.post(ctx, e)
	select {
	case s := <-e.done:
		return s, s.Err
	case <-ctx.Done():
		return capture.Saved{}, ctx.Err()
	}
}
