package gateway

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net/http"
	"strings"
	"time"

	"archknot/choice"
	"archknot/internal/memory"
	"archknot/internal/wire/socket"
)

// errConnect marks a call that never reached the other side.
var errConnect = errors.New("connect")

// caller makes short calls without a body over kept connections.
type caller struct{ pool *memory.Pool }

// maxList bounds the registry's answer: room for some thousand workers.
const maxList = 1 << 20

// get fetches a path; the whole call takes no longer than the limit.
func (c caller) get(ctx context.Context, key, addr, path string, limit time.Duration) (*http.Response, []byte, error) {
	ctx, stop := context.WithTimeout(ctx, limit)
	defer stop()
	conn, err := c.pool.Get(ctx, key, addr)
	if err != nil {
		return nil, nil, fmt.Errorf("%w: %w", errConnect, err)
	}
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
		return nil, nil, fmt.Errorf("write: %w", err)
	}
	deadline, _ := ctx.Deadline()
	conn.SetDeadline(deadline)
	resp, err := readHead(conn, deadline)
	if err != nil {
		return nil, nil, fmt.Errorf("no answer: %w", err)
	}
	in := socket.NewBody(conn.R, resp)
	body, err := in.ReadAll(maxList)
	if err != nil {
		return nil, nil, fmt.Errorf("answer cut off: %w", err)
	}
	keep = in.Ends() && !resp.Close && conn.R.Buffered() == 0
	return resp, body, nil
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
	resp, body, err := g.registry.get(ctx, addr, addr, path, limit)
	if err != nil {
		return socket.List{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return socket.List{}, fmt.Errorf("status %d", resp.StatusCode)
	}
	return socket.ParseList(body)
}

// probe asks a worker for its state, and for its load where there are reports.
func (g *Gateway) probe(w *memory.Worker) {
	path := socket.LivePath
	if g.o.Settings.ReportVia != choice.ReportNone {
		path = socket.StatsPath
	}
	start, begin := g.clock.now(), time.Now()
	e := probed{w: w, status: choice.Served}
	resp, body, err := caller{g.pool}.get(context.Background(), w.Key(), w.Addr, path, g.o.ProbeTimeout)
	switch {
	case errors.Is(err, errConnect):
		e.status = choice.ConnectFailed
	case err != nil:
		e.status = choice.TimedOut
		g.pool.Doubt(w.Key(), begin)
	case resp.StatusCode != http.StatusOK:
		e.status = choice.Errored
	default:
		if e.report = socket.HeaderLoad(resp.Header); e.report.Has == 0 {
			e.report = socket.Load(strings.TrimSpace(string(body)))
		}
	}
	e.elapsed = g.clock.now() - start
	g.loop.events <- e
}
