package lifecycle

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"archknot/balancer"
	"archknot/internal/gateway"
)

// Defaults of transportSettings.
const (
	defaultConnectTimeoutUs  = 50_000
	defaultMaxInFlight       = 20_000
	defaultMaxPollIntervalUs = 10_000_000
)

// Timeouts that the platform does not set.
const (
	clientConnIdleTimeout = 15 * time.Second
	streamIdleTimeout     = 4 * time.Second
	healthCheckTimeout    = 250 * time.Millisecond
	// drainAcceptPeriod is what the operators' front and the protocol allow at a planned restart:
	// connections arrive for up to 0.4 s, and nothing may arrive after 0.7 s.
	drainAcceptPeriod = 550 * time.Millisecond
	// connReuseDelay allows for the second response to a request, which a replica may send some
	// milliseconds behind the first.
	connReuseDelay = 20 * time.Millisecond
)

// Bounds of the calls to discovery, see watchTimeouts.
const (
	localWatchWait       = time.Second
	localResponseTimeout = 500 * time.Millisecond
	maxResponseTimeout   = 2500 * time.Millisecond
	minWatchWait         = time.Second
	// watchIntervalPerGateway limits the watch calls of all gateways to four a second, where the bounds allow.
	watchIntervalPerGateway = 250 * time.Millisecond
)

// transportSettings are settings for sockets, which the balancer does not use. Their keys are those of
// the settings in NODE_CONFIG.
type transportSettings struct {
	Limits struct {
		ConnectTimeoutUs int64 `json:"connectTimeoutUs"`
		MaxInFlight      int   `json:"mostHeld"`
	} `json:"limits"`
	Rules struct {
		MaxPollIntervalUs int64 `json:"askWithinUs"`
	} `json:"rules"`
}

// parseTransportSettings parses and checks the settings, and replaces missing ones by defaults.
func parseTransportSettings(text []byte) (transportSettings, error) {
	var s transportSettings
	if err := json.Unmarshal(text, &s); err != nil {
		return s, fmt.Errorf("settings: %w", describeJSONError(err))
	}
	if s.Limits.ConnectTimeoutUs < 0 || s.Limits.MaxInFlight < 0 || s.Rules.MaxPollIntervalUs < 0 {
		return s, errors.New("settings.limits.connectTimeoutUs, limits.mostHeld, rules.askWithinUs: expected 0 or more")
	}
	s.Limits.ConnectTimeoutUs = cmp.Or(s.Limits.ConnectTimeoutUs, defaultConnectTimeoutUs)
	s.Limits.MaxInFlight = cmp.Or(s.Limits.MaxInFlight, defaultMaxInFlight)
	s.Rules.MaxPollIntervalUs = cmp.Or(s.Rules.MaxPollIntervalUs, defaultMaxPollIntervalUs)
	return s, nil
}

// apply sets the timeouts and the number of requests in flight. It needs the balancer's settings and
// MaxClientConns, which are set before.
func (s transportSettings) apply(o *gateway.Options) {
	o.MaxInFlight = min(s.Limits.MaxInFlight, o.MaxClientConns)
	o.ConnectTimeout = microseconds(s.Limits.ConnectTimeoutUs)
	// Well below the replicas' own limit: what is written to a connection that they have closed is lost
	// with it.
	o.ReplicaConnIdleTimeout = microseconds(o.Settings.ConnIdleTimeout) * 3 / 4
	o.ReplicaConnReuseDelay = connReuseDelay
	o.ClientConnIdleTimeout = clientConnIdleTimeout
	o.StreamIdleTimeout = streamIdleTimeout
	o.HealthCheckTimeout = healthCheckTimeout
	o.MaxPollInterval = microseconds(s.Rules.MaxPollIntervalUs)
	o.WatchWait, o.DiscoveryTimeout = watchTimeouts(&o.Settings, o.MaxPollInterval)
	o.Settings.WatchInterval = o.WatchWait.Microseconds()
	o.DrainAcceptPeriod = drainAcceptPeriod
}

func microseconds(n int64) time.Duration { return time.Duration(n) * time.Microsecond }

// watchTimeouts returns how long discovery may delay the answer to a watch call until there is a change,
// and how much longer the answer may take. A watch that has fallen silent is noticed after the sum.
func watchTimeouts(s *balancer.Settings, maxPollInterval time.Duration) (watchWait, responseTimeout time.Duration) {
	if s.LocalDiscovery { // the agent is on this machine, and its answers cost nothing
		return localWatchWait, localResponseTimeout
	}
	// Longer than calls wait in discovery's queue: a caller that leaves the queue earlier has wasted its
	// place and queues again.
	responseTimeout = min(maxResponseTimeout, maxPollInterval/2)
	// A watch that falls silent must not let the list get too old, however many gateways there are.
	maxWatchWait := min(gateway.MaxWatchWait(microseconds(s.ListTrust()), responseTimeout), maxPollInterval-responseTimeout)
	watchWait = time.Duration(s.Gateways) * watchIntervalPerGateway
	return max(minWatchWait, min(watchWait, maxWatchWait)), responseTimeout
}
