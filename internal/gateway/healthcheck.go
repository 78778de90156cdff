package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"archknot/choice"
	"archknot/internal/connpool"
	"archknot/internal/endpoint"
	"archknot/internal/figures"
	"archknot/internal/wire/socket"
)

// Probes of replicas.

// runHealthCheck asks a worker for its state, and for its load where there are reports.
func (g *Gateway) runHealthCheck(w *endpoint.Replica) {
	path := socket.LivePath
	if g.options.Settings.ReportSource != choice.ReportNone {
		path = socket.StatsPath
	}
	start, begin := g.clock.now(), time.Now()
	e := healthCheckEnded{replica: w, status: choice.Served}
	err := pooledClient{g.pool, &g.meters[figures.PurposeHealthCheck]}.get(context.Background(), w.ConnKey(), w.Addr, path, g.options.HealthCheckTimeout, func(resp *http.Response, body io.Reader) error {
		text, err := io.ReadAll(io.LimitReader(body, maxShortBody))
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			e.status = choice.Errored
			return nil
		}
		if e.report = socket.LoadReportOf(resp.Header); e.report.Has == 0 {
			e.report = socket.ParseLoadReport(strings.TrimSpace(string(text)))
		}
		return nil
	})
	switch {
	case errors.Is(err, connpool.ErrLocalShortage):
		e.status = choice.NotSent // it was not asked
	case errors.Is(err, errNotConnected):
		e.status = choice.ConnectFailed
	case err != nil:
		e.status, e.report = choice.TimedOut, choice.LoadReport{}
		g.pool.CloseUnusedSince(w.ConnKey(), begin)
	}
	e.elapsed = g.clock.now() - start
	g.loop.events <- e
}
