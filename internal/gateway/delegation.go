package gateway

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"archknot/choice"
	"archknot/internal/memory"
	"archknot/internal/wire/socket"
)

// delegate carries out one delegation from its send to its end and reports its
// one outcome. The stream goes to d.Events as it comes.
func (g *Gateway) delegate(r *http.Request, body []byte, d *memory.Delegation) {
	defer d.Cancel()
	e := ended{d: d, status: choice.ConnectFailed}
	if d.Worker.Addr != "" {
		e.status = g.exchange(r, body, d, &e)
	}
	d.Whole = e.status == choice.Served
	close(d.Events)
	g.loop.events <- e
}

// silence is how long a worker may say nothing before its kept connections
// are no longer trusted.
const silence = time.Second

func (g *Gateway) exchange(r *http.Request, body []byte, d *memory.Delegation, e *ended) choice.Status {
	cutAt := g.clock.at(d.CutAt)
	ctx, stop := context.WithDeadline(d.Ctx, cutAt)
	defer stop()
	c, err := g.pool.Get(ctx, d.Worker.Addr)
	if err != nil {
		if d.Ctx.Err() != nil {
			return choice.Cancelled
		}
		return choice.ConnectFailed
	}
	e.reused = c.Reused
	keep := false
	// A cancelled delegation frees its connection at once, whatever waits on it.
	unhook := context.AfterFunc(d.Ctx, func() { c.Close() })
	defer func() {
		if unhook() && keep {
			g.pool.Put(c)
		} else {
			g.pool.Drop(c)
		}
	}()
	if d.Ctx.Err() != nil { // called off while it connected: nothing may go out any more
		return choice.Cancelled
	}
	c.SetDeadline(cutAt)
	buffers := net.Buffers{socket.JobHead(r, len(body), d.CutAt-g.clock.now()), body}
	if _, err := buffers.WriteTo(c.Conn); err != nil {
		// The last byte was never written, so the worker did not start.
		return broken(d, err, choice.ConnectFailed)
	}
	sent := time.Now()
	resp, err := readHead(c)
	if err != nil {
		if time.Since(sent) >= silence {
			g.pool.Doubt(d.Worker.Addr, sent)
		}
		return broken(d, err, choice.ConnBroken)
	}
	if resp.StatusCode != http.StatusOK {
		e.report = socket.HeaderLoad(resp.Header)
		c.SetDeadline(time.Now().Add(time.Second))
		_, err := io.Copy(io.Discard, io.LimitReader(resp.Body, socket.MaxBody))
		keep = err == nil && !resp.Close
		return socket.Refusal(resp)
	}
	var notes socket.Notes
	buf, begun := make([]byte, 4096), false
	for {
		n, err := resp.Body.Read(buf)
		if !begun && (n > 0 || err == io.EOF) {
			begun = true
			g.loop.events <- opened{d}
		}
		if n > 0 {
			notes.Write(buf[:n])
			select {
			case d.Events <- bytes.Clone(buf[:n]):
			case <-d.Ctx.Done():
				return choice.Cancelled
			}
			// From the first event on no deadline runs, but a silent machine
			// leaves its connection open: only the clock tells.
			c.SetDeadline(time.Now().Add(g.o.Stall))
		}
		if err == io.EOF {
			e.kept, e.report = notes.Kept, notes.Report
			if e.report.Has == 0 {
				e.report = socket.HeaderLoad(resp.Header)
			}
			// Without chunks or a length the end of the connection ends the
			// answer, whether the worker was done or died.
			if resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 {
				return choice.ConnBroken
			}
			keep = !resp.Close
			return choice.Served
		}
		if err != nil {
			return broken(d, err, choice.ConnBroken)
		}
	}
}

// readHead reads the head of the final answer.
func readHead(c *memory.Conn) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.R, nil)
		if err != nil || resp.StatusCode >= 200 {
			return resp, err
		}
	}
}

// broken tells what the end of a connection means for a delegation.
func broken(d *memory.Delegation, err error, otherwise choice.Status) choice.Status {
	switch {
	case d.Ctx.Err() != nil:
		return choice.Cancelled
	case errors.Is(err, os.ErrDeadlineExceeded):
		return choice.TimedOut
	}
	return otherwise
}
