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

// runHealthCheck checks a replica's state, and its load if replicas send load reports. It posts
// the outcome to the event loop.
func (g *Gateway) runHealthCheck(replica *endpoint.Replica) {
	path := httpwire.LivePath
	if g.options.Settings.ReportSource != balancer.ReportNone {
		path = httpwire.StatsPath
	}
	start, startTime := g.clock.now(), time.Now()
	result := healthCheckEnded{replica: replica, status: balancer.Served}
	client := pooledClient{g.pool, &g.meters[controlstats.PurposeHealthCheck]}
	connAge, err := client.get(context.Background(), replica.ConnKey(), replica.Addr, path, g.options.HealthCheckTimeout, result.read)
	switch {
	case errors.Is(err, connpool.ErrLocalShortage):
		result.status = balancer.NotSent // the replica is not at fault
	case errors.Is(err, errNotConnected):
		result.status = balancer.ConnectFailed
	case err != nil:
		result.status, result.report = balancer.TimedOut, balancer.LoadReport{}
		g.pool.CloseUnusedSince(replica.ConnKey(), startTime)
	}
	result.elapsed, result.connAge = g.clock.now()-start, connAge.Microseconds()
	g.loop.events <- result
}

// read reads a replica's answer. A load report in the header takes precedence over one in the
// body.
func (e *healthCheckEnded) read(status int, header http.Header, body io.Reader) error {
	text, err := io.ReadAll(io.LimitReader(body, maxControlBodyBytes))
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		e.status = balancer.Errored
		return nil
	}
	if e.report = httpwire.LoadReportOf(header); e.report.Has == 0 {
		e.report = httpwire.ParseLoadReport(strings.TrimSpace(string(text)))
	}
	return nil
}
