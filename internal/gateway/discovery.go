package gateway

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"time"

	"archknot/internal/httpwire"
)

// connectRefusedWithin is how soon a call that meets nobody ends.
const connectRefusedWithin = 500 * time.Millisecond

// watchDiscovery follows the registry whenever the module orders it to, until a call
// fails: then the module says when to begin again. A move begins again at once
// at the new address, and ends the call that waits at the old one.
func (g *Gateway) watchDiscovery(ctx context.Context) {
	addr, version := g.options.Discovery, g.options.CachedList.Generation
	for {
		select {
		case <-g.loop.pollRequests:
		case next := <-g.discoveryMoves:
			addr, version = g.switchDiscovery(addr, next), httpwire.NoGeneration
		case <-ctx.Done():
			return
		}
		for silent := false; ; {
			live, begun := g.config.Load(), time.Now()
			limit := live.watchWait + live.discoveryTimeout
			if version == httpwire.NoGeneration { // such a call waits for no news
				limit = live.discoveryTimeout
			}
			path := httpwire.ListQuery(version, live.watchWait.Milliseconds())
			list, next, err := g.pollList(ctx, addr, path, limit)
			if next != "" {
				// Another registry's versions mean nothing there: the whole list.
				addr, version = g.switchDiscovery(addr, next), httpwire.NoGeneration
				continue
			}
			if err != nil && !silent && !errors.Is(err, errNotConnected) && time.Since(begun) >= limit {
				// The registry took the call and let all its time pass: a watch that fell silent.
				// What it missed counts as told by now, so it is begun anew at once, but once. The
				// gateways' calls are as far apart as the watches were begun: in turns.
				silent = true
				slog.Warn("discovery_silent", "err", err)
				continue
			}
			if err != nil {
				// Where there is nobody, that shows at once; who took the call or kept it waiting
				// may have had news.
				e := listPollFailed{err, errors.Is(err, errNotConnected) && time.Since(begun) < connectRefusedWithin, make(chan struct{})}
				g.loop.post(ctx, e)
				select { // what was ordered before it was heard is void, and what is ordered from then on counts
				case <-e.handled:
				case <-ctx.Done():
				}
				break
			}
			silent, version = false, list.Generation
			g.loop.post(ctx, listReceived{list})
		}
	}
}

// switchDiscovery leaves the registry's old address.
func (g *Gateway) switchDiscovery(from, to string) string {
	g.discovery.pool.CloseIdle(from)
	slog.Info("discovery_moved", "from", from, "to", to)
	return to
}

// pollList makes one call. A move ends it early and is returned.
func (g *Gateway) pollList(ctx context.Context, addr, path string, limit time.Duration) (list httpwire.EndpointList, next string, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		list, err = g.requestList(ctx, addr, path, limit)
	}()
	select {
	case <-done:
	case next = <-g.discoveryMoves:
		stop()
		<-done
	}
	return list, next, err
}

func (g *Gateway) requestList(ctx context.Context, addr, path string, limit time.Duration) (httpwire.EndpointList, error) {
	var list httpwire.EndpointList
	limits := httpwire.ListLimits{Endpoints: g.options.MaxListEntries, Zones: g.options.Settings.Zones}
	err := g.discovery.get(ctx, addr, addr, path, limit, func(resp *http.Response, body io.Reader) (err error) {
		if resp.StatusCode != http.StatusOK {
			return fmt.Errorf("status %d", resp.StatusCode)
		}
		list, err = httpwire.ReadList(body, limits)
		return err
	})
	if list.InvalidEntryCount > 0 && err == nil {
		g.invalidEntries.Add(int64(list.InvalidEntryCount))
		for _, odd := range list.InvalidEntries {
			g.invalidEntryLog.log("endpoint_list_invalid_entry", "index", odd.Index, "replica", odd.ID, "reason", odd.Reason, "invalid_entries", g.invalidEntries.Load())
		}
	}
	var bad *httpwire.InvalidListError
	if errors.As(err, &bad) {
		g.rejectedLists.Add(1)
		slog.Error("endpoint_list_rejected", "err", bad.Reason, "rejected_lists", g.rejectedLists.Load())
	}
	return list, err
}
