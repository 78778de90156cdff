// Package metrics serves a gateway's metrics in the Prometheus text format, on a listener
// of its own that exists only if the configuration sets an address.
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

// Source provides the values of the metrics. Its methods must be safe for concurrent use.
type Source interface {
	// Accounts returns the state of each team's contract.
	Accounts(ctx context.Context) ([]contract.AccountStatus, error)
	// Control returns the statistics of the gateway's control plane.
	Control(ctx context.Context) (controlstats.Stats, error)
}

const (
	scrapeTimeout  = 2 * time.Second // bounds the query of the Source by one collector
	maxScrapes     = 4               // concurrent scrapes
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	idleTimeout    = time.Minute
	maxHeaderBytes = 8 << 10 // request line included
)

// Server is the HTTP server of /metrics.
type Server struct{ http *http.Server }

// Listen opens the address and serves /metrics there. maxTeams bounds the number of team
// labels, including OtherTeams, which sums up the remaining teams.
func Listen(addr string, maxTeams int, source Source) (*Server, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, fmt.Errorf("metrics.listen: %w", err)
	}
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", Handler(maxTeams, source))
	s := &Server{&http.Server{Handler: mux, ReadTimeout: readTimeout, WriteTimeout: writeTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHeaderBytes}}
	go func() { _ = s.http.Serve(l) }() // returns after Close
	return s, nil
}

// Close stops the server. It does nothing on a nil Server.
func (s *Server) Close() {
	if s != nil {
		s.http.Close()
	}
}

// Handler returns the handler of /metrics. The parameters are those of Listen.
func Handler(maxTeams int, source Source) http.Handler {
	r := prometheus.NewRegistry()
	r.MustRegister(collectors.NewGoCollector(), &contractCollector{maxTeams, source}, &controlCollector{source})
	return promhttp.HandlerFor(r, promhttp.HandlerOpts{MaxRequestsInFlight: maxScrapes, Timeout: scrapeTimeout * 2})
}
