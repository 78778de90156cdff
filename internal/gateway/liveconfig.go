package gateway

import (
	"fmt"
	"time"

	"archknot/balancer"
	"archknot/internal/httpwire"
)

// protocolMaxAttempts is the protocol's bound on the attempts of a request, which no
// configuration version can exceed.
const protocolMaxAttempts = 3

// liveConfig holds the settings that configuration versions may change and that goroutines
// other than the event loop read. It is never modified, only replaced.
type liveConfig struct {
	classes          []balancer.Class
	maxInFlight      int
	maxRetryAfter    balancer.Micros
	watchWait        time.Duration
	discoveryTimeout time.Duration
}

// class returns the class with a name.
func (c *liveConfig) class(name string) (balancer.Class, error) {
	for _, class := range c.classes {
		if class.Name == name {
			return class, nil
		}
	}
	return balancer.Class{}, fmt.Errorf("Req-Kind: no class %.40q", name)
}

// missedObjective reports whether a request missed its class's latency objective or was not
// served.
func (c *liveConfig) missedObjective(request *httpwire.ClientRequest, o outcome, firstToken balancer.Micros) bool {
	if o != outcomeServed && o != outcomeStreamBroken {
		return true
	}
	class, err := c.class(request.Request.Class)
	objective := class.LatencyObjective + class.ObjectivePer1000Tokens*int64(request.Request.PromptTokens)/1000
	return err == nil && firstToken > objective
}
