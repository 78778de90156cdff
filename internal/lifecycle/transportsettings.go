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
	// drainAcceptPeriod is how long the listener stays open when the gateway drains. At a planned
	// restart the operators' front opens connections for up to 0.4 s, and none may arrive after 0.7 s.
	drainAcceptPeriod = 550 * time.Millisecond
	// connReuseDelay is the time from a response to the next request on a replica connection. A replica
	// may send a second response to the same request some milliseconds after the first.
	connReuseDelay = 20 * time.Millisecond
)

// Bounds of the calls to discovery, see watchTimeouts.
const (
	maxLocalWatchWait       = time.Second
	maxLocalResponseTimeout = 500 * time.Millisecond
	maxResponseTimeout      = 2500 * time.Millisecond
	minWatchWait            = time.Second
	// localWatchWaitDivisor and localResponseDivisor leave time, while the list is valid, for a call to the agent
	// that is not answered and for the next one.
	localWatchWaitDivisor = 3
	localResponseDivisor  = 5
	// watchIntervalPerGateway limits the watch calls of all gateways to 4 per second, within the other bounds.
	watchIntervalPerGateway = 250 * time.Millisecond
)

// transportSettings are the settings in NODE_CONFIG that concern sockets and that the balancer does not use.
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

// apply sets the timeouts and the maximum of requests in flight. The balancer's settings and MaxClientConns
// must be set before.
func (s transportSettings) apply(o *gateway.Options) {
	o.MaxInFlight = min(s.Limits.MaxInFlight, o.MaxClientConns)
	o.ConnectTimeout = microseconds(s.Limits.ConnectTimeoutUs)
	// Well below the replicas' own timeout: a request is lost if it is written to a connection that the
	// replica has closed.
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

// watchTimeouts returns how long discovery may hold a watch call until there is a change, and how much
// longer the response may take. An unresponsive watch is detected after the sum of both.
func watchTimeouts(s *balancer.Settings, maxPollInterval time.Duration) (watchWait, responseTimeout time.Duration) {
	if s.LocalDiscovery { // the agent is on this machine, and its responses cost nothing
		validity := microseconds(s.ListValidity())
		return min(maxLocalWatchWait, validity/localWatchWaitDivisor), min(maxLocalResponseTimeout, validity/localResponseDivisor)
	}
	// Longer than calls wait in discovery's queue: a call that times out earlier loses its place and
	// must queue again.
	responseTimeout = min(maxResponseTimeout, maxPollInterval/2)
	// An unresponsive watch must be detected before the endpoint list is too old, however many gateways there are.
	maxWatchWait := min(gateway.MaxWatchWait(microseconds(s.ListValidity()), responseTimeout), maxPollInterval-responseTimeout)
	watchWait = time.Duration(s.Gateways) * watchIntervalPerGateway
	return max(minWatchWait, min(watchWait, maxWatchWait)), responseTimeout
}
