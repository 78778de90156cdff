package gateway

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"time"

	"archknot/balancer"
	"archknot/internal/connpool"
	"archknot/internal/controlstats"
	"archknot/internal/endpoint"
	"archknot/internal/httpwire"
)

// Probes of replicas.

// runHealthCheck asks a worker for its state, and for its load where there are reports.
func (g *Gateway) runHealthCheck(w *endpoint.Replica) {
	path := httpwire.LivePath
	if g.options.Settings.ReportSource != balancer.ReportNone {
		path = httpwire.StatsPath
	}
	start, begin := g.clock.now(), time.Now()
	e := healthCheckEnded{replica: w, status: balancer.Served}
	err := pooledClient{g.pool, &g.meters[controlstats.PurposeHealthCheck]}.get(context.Background(), w.ConnKey(), w.Addr, path, g.options.HealthCheckTimeout, func(resp *http.Response, body io.Reader) error {
		text, err := io.ReadAll(io.LimitReader(body, maxShortBody))
		if err != nil {
			return err
		}
		if resp.StatusCode != http.StatusOK {
			e.status = balancer.Errored
			return nil
		}
		if e.report = httpwire.LoadReportOf(resp.Header); e.report.Has == 0 {
			e.report = httpwire.ParseLoadReport(strings.TrimSpace(string(text)))
		}
		return nil
	})
	switch {
	case errors.Is(err, connpool.ErrLocalShortage):
		e.status = balancer.NotSent // it was not asked
	case errors.Is(err, errNotConnected):
		e.status = balancer.ConnectFailed
	case err != nil:
		e.status, e.report = balancer.TimedOut, balancer.LoadReport{}
		g.pool.CloseUnusedSince(w.ConnKey(), begin)
	}
	e.elapsed = g.clock.now() - start
	g.loop.events <- e
}
