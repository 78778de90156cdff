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

// connectRefusedWithin is how soon a connect fails where nobody listens.
const connectRefusedWithin = 500 * time.Millisecond

// discoveryWatch follows the endpoint list. The goroutine of watchDiscovery owns it.
type discoveryWatch struct {
	gateway    *Gateway
	addr       string
	generation int64 // of the list in force; httpwire.NoGeneration: the next call gets the full list
}

// watchDiscovery follows discovery whenever the module requests it, until a poll fails: then
// the module decides when to poll again. A move polls the new address at once, and ends the
// call that waits at the old one.
func (g *Gateway) watchDiscovery(ctx context.Context) {
	w := discoveryWatch{g, g.options.Discovery, g.options.CachedList.Generation}
	for {
		select {
		case <-g.loop.pollRequests:
		case next := <-g.discoveryMoves:
			w.moveTo(next)
		case <-ctx.Done():
			return
		}
		w.follow(ctx)
	}
}

// follow polls again and again until a poll fails.
func (w *discoveryWatch) follow(ctx context.Context) {
	g := w.gateway
	for silent := false; ; {
		config, begun := g.config.Load(), time.Now()
		timeout := config.watchWait + config.discoveryTimeout
		if w.generation == httpwire.NoGeneration { // such a call does not wait for a change
			timeout = config.discoveryTimeout
		}
		path := httpwire.ListQuery(w.generation, config.watchWait.Milliseconds())
		list, next, err := g.pollList(ctx, w.addr, path, timeout)
		if next != "" {
			w.moveTo(next)
			continue
		}
		if err != nil && !silent && !errors.Is(err, errNotConnected) && time.Since(begun) >= timeout {
			// Discovery accepted the call and did not answer within the timeout. What the
			// gateway missed counts as notified by now, so it polls again at once, but only
			// once. The gateways' calls stay as far apart as their watches were begun.
			silent = true
			slog.Warn("discovery_silent", "err", err)
			continue
		}
		if err != nil {
			w.reportFailure(ctx, err, time.Since(begun))
			return
		}
		silent, w.generation = false, list.Generation
		g.loop.post(ctx, listReceived{list})
	}
}

// reportFailure posts a failed poll, and waits until the loop has applied it: polls requested
// before that are void, those requested from then on count.
func (w *discoveryWatch) reportFailure(ctx context.Context, err error, took time.Duration) {
	// Where nobody listens, that shows at once; a service that accepted the call or let it wait
	// may have had changes.
	unreachable := errors.Is(err, errNotConnected) && took < connectRefusedWithin
	failed := listPollFailed{err, unreachable, make(chan struct{})}
	w.gateway.loop.post(ctx, failed)
	select {
	case <-failed.handled:
	case <-ctx.Done():
	}
}

// moveTo leaves discovery's old address. Another discovery's generations mean nothing there:
// the next call gets the full list.
func (w *discoveryWatch) moveTo(addr string) {
	w.gateway.discovery.pool.CloseIdle(w.addr)
	slog.Info("discovery_moved", "from", w.addr, "to", addr)
	w.addr, w.generation = addr, httpwire.NoGeneration
}

// pollList makes one call. A move ends it early; then next is the new address.
func (g *Gateway) pollList(ctx context.Context, addr, path string, timeout time.Duration) (list httpwire.EndpointList, next string, err error) {
	ctx, stop := context.WithCancel(ctx)
	defer stop()
	done := make(chan struct{})
	go func() {
		defer close(done)
		list, err = g.requestList(ctx, addr, path, timeout)
	}()
	select {
	case <-done:
	case next = <-g.discoveryMoves:
		stop()
		<-done
	}
	return list, next, err
}

// requestList fetches a list, and counts and logs what of it cannot be applied.
func (g *Gateway) requestList(ctx context.Context, addr, path string, timeout time.Duration) (httpwire.EndpointList, error) {
	var list httpwire.EndpointList
	limits := httpwire.ListLimits{Endpoints: g.options.MaxListEntries, Zones: g.options.Settings.Zones}
	err := g.discovery.get(ctx, addr, addr, path, timeout, func(status int, _ http.Header, body io.Reader) (err error) {
		if status != http.StatusOK {
			return fmt.Errorf("status %d", status)
		}
		list, err = httpwire.ReadList(body, limits)
		return err
	})
	if err == nil {
		g.recordInvalidEntries(&list)
	}
	var invalid *httpwire.InvalidListError
	if errors.As(err, &invalid) {
		rejected := g.rejectedLists.Add(1)
		slog.Error("endpoint_list_rejected", "err", invalid.Reason, "rejected_lists", rejected)
	}
	return list, err
}

func (g *Gateway) recordInvalidEntries(list *httpwire.EndpointList) {
	if list.InvalidEntryCount == 0 {
		return
	}
	g.invalidEntries.Add(int64(list.InvalidEntryCount))
	for _, entry := range list.InvalidEntries {
		g.invalidEntryLog.log("endpoint_list_invalid_entry", "index", entry.Index, "replica", entry.ID,
			"reason", entry.Reason, "invalid_entries", g.invalidEntries.Load())
	}
}
