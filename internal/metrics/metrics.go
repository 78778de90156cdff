// Package metrics serves a gateway's metrics in the Prometheus text format. Its listener
// is for operators; there is none unless the configuration has an address.
package metrics

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"archknot/internal/contract"
	"archknot/internal/controlstats"
)

// Source provides the values. Its methods may be called by any goroutine.
type Source interface {
	// Accounts returns the state of each team's contract.
	Accounts(ctx context.Context) ([]contract.AccountStatus, error)
	// Control returns the statistics of the gateway's control work.
	Control(ctx context.Context) (controlstats.Stats, error)
}

// Bounds on the server.
const (
	scrapeTimeout   = 2 * time.Second // for the values of one collector
	maxScrapes      = 4               // at once
	readTimeout     = 5 * time.Second
	writeTimeout    = 10 * time.Second
	idleTimeout     = time.Minute
	maxRequestBytes = 8 << 10 // of a request's head
)

// Server serves /metrics until Close.
type Server struct{ http *http.Server }

// Listen opens the address and serves /metrics there. At most so many teams have metrics
// of their own; see OtherTeams.
func Listen(addr string, maxTeams int, source Source) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("metrics.listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", Handler(maxTeams, source))
	s := &Server{&http.Server{Handler: mux, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxRequestBytes}}
	go func() { _ = s.http.Serve(l) }() // it ends with Close
	return s, nil
}

// Close ends the server. A nil server is none.
func (s *Server) Close() {
	if s != nil {
		s.http.Close()
	}
}

// Handler serves the metrics; see Listen for the arguments.
func Handler(maxTeams int, source Source) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), &contractCollector{maxTeams, source}, &controlCollector{source})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes, Timeout: scrapeTimeout * 2})
}
