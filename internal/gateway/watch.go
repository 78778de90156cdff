package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"archknot/choice"
	"archknot/internal/figures"
	"archknot/internal/memory"
	"archknot/internal/wire/socket"
)

// errConnect marks a call that never reached the other side.
var errConnect = errors.New("connect")

// caller makes short calls without a body over kept connections.
type caller struct {
	pool  *memory.Pool
	meter *figures.Meter
}

// maxProbe bounds the answer to a probe, and what is read of one that is of no use so that its
// connection can serve again.
const maxProbe = 64 << 10

// get fetches a path and has the answer's body read; the whole call takes no longer than the limit.
func (c caller) get(ctx context.Context, key, addr, path string, limit time.Duration, read func(*http.Response, io.Reader) error) error {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	conn, err := c.pool.Get(ctx, key, addr)
	if err != nil {
		return fmt.Errorf("%w: %w", errConnect, err)
	}
	conn.Carry(c.meter)
	keep := false
	unhook := context.AfterFunc(ctx, func() { conn.Close() })
	defer func() {
		if unhook() && keep {
			c.pool.Put(conn)
		} else {
			c.pool.Drop(conn)
		}
	}()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, addr); err != nil {
		return fmt.Errorf("write: %w", err)
	}
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	resp, err := readHead(conn, deadline)
	if err != nil {
		return fmt.Errorf("no answer: %w", err)
	}
	in := socket.NewBody(conn.R, resp)
	body := in.Reader()
	failed := read(resp, body)
	whole := readsOut(body)
	keep = whole && in.Ends() && !resp.Close && conn.R.Buffered() == 0
	if failed == nil && !whole {
		failed = errors.New("answer cut off or too long")
	}
	return failed
}

// readsOut reads the rest of a body, and tells whether it met its end.
func readsOut(body io.Reader) bool {
	rest := io.LimitedReader{R: body, N: maxProbe}
	_, err := io.Copy(io.Discard, &rest)
	return err == nil && rest.N > 0
}

// refused is how soon a call that meets nobody ends.
const refused = 500 * time.Millisecond

// watch follows the registry whenever the module orders it to, until a call
// fails: then the module says when to begin again. A move begins again at once
// at the new address, and ends the call that waits at the old one.
func (g *Gateway) watch(ctx context.Context) {
	addr, version := g.o.Discovery, g.o.Known.Generation
	for {
		select {
		case <-g.loop.watches:
		case next := <-g.moves:
			addr, version = g.moved(addr, next), socket.NoVersion
		case <-ctx.Done():
			return
		}
		for silent := false; ; {
			live, begun := g.live.Load(), time.Now()
			limit := live.watchWait + live.callTimeout
			if version == socket.NoVersion { // such a call waits for no news
				limit = live.callTimeout
			}
			path := socket.ListQuery(version, live.watchWait.Milliseconds())
			list, next, err := g.fetchList(ctx, addr, path, limit)
			if next != "" {
				// Another registry's versions mean nothing there: the whole list.
				addr, version = g.moved(addr, next), socket.NoVersion
				continue
			}
			if err != nil && !silent && !errors.Is(err, errConnect) && time.Since(begun) >= limit {
				// The registry took the call and let all its time pass: a watch that fell silent.
				// What it missed counts as told by now, so it is begun anew at once, but once. The
				// gateways' calls are as far apart as the watches were begun: in turns.
				silent = true
				slog.Warn("registry_silent", "err", err)
				continue
			}
			if err != nil {
				// Where there is nobody, that shows at once; who took the call or kept it waiting
				// may have had news.
				e := listFailed{err, errors.Is(err, errConnect) && time.Since(begun) < refused, make(chan struct{})}
				g.loop.post(ctx, e)
				select { // what was ordered before it was heard is void, and what is ordered from then on counts
				case <-e.heard:
				case <-ctx.Done():
				}
				break
			}
			silent, version = false, list.Generation
			g.loop.post(ctx, listed{list})
		}
	}
}

// moved leaves the registry's old address.
func (g *Gateway) moved(from, to string) string {
	g.registry.pool.CloseIdle(from)
	slog.Info("registry_moved", "from", from, "to", to)
	return to
}

// fetchList makes one call. A move ends it early and is returned.
func (g *Gateway) fetchList(ctx context.Context, addr, path string, limit time.Duration) (list socket.List, next string, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		list, err = g.callRegistry(ctx, addr, path, limit)
	}()
	select {
	case <-done:
	case next = <-g.moves:
		stop()
		<-done
	}
	return list, next, err
}

func (g *Gateway) callRegistry(ctx context.Context, addr, path string, limit time.Duration) (socket.List, error) {
	var list socket.List
	limits := socket.ListLimits{Instances: g.o.MostInstances, Zones: g.o.Settings.Zones}
	err := g.registry.get(ctx, addr, addr, path, limit, func(resp *http.Response, body io.Reader) (err error) {
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		list, err = socket.ReadList(body, limits)
		return err
	})
	var bad *socket.BadList
	if errors.As(err, &bad) {
		g.refusedLists.Add(1)
		slog.Error("list_refused", "err", bad.Reason, "refused_lists", g.refusedLists.Load())
	}
	return list, err
}

// probe asks a worker for its state, and for its load where there are reports.
func (g *Gateway) probe(w *memory.Worker) {
	path := socket.LivePath
	if g.o.Settings.ReportVia != choice.ReportNone {
		path = socket.StatsPath
	}
	start, begin := g.clock.now(), time.Now()
	e := probed{w: w, status: choice.Served}
	err := caller{g.pool, &g.meters[figures.Probe]}.get(context.Background(), w.Key(), w.Addr, path, g.o.ProbeTimeout, func(resp *http.Response, body io.Reader) error {
		text, err := io.ReadAll(io.LimitReader(body, maxProbe))
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			e.status = choice.Errored
			return nil
		}
		if e.report = socket.HeaderLoad(resp.Header); e.report.Has == 0 {
			e.report = socket.Load(strings.TrimSpace(string(text)))
		}
		return nil
	})
	switch {
	case errors.Is(err, errConnect):
		e.status = choice.ConnectFailed
	case err != nil:
		e.status, e.report = choice.TimedOut, choice.Report{}
		g.pool.Doubt(w.Key(), begin)
	}
	e.elapsed = g.clock.now() - start
	g.loop.events <- e
}
