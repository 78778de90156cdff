package gateway

import (
	"testing"

	"archknot/internal/httpwire"
)

// The gateway is not ready before a replica can take work.
func TestReadyOnlyWithAReplica(t *testing.T) {
	g := startGateway(t, nil)
	waitUntil(t, "discovery's answer", func() bool { return g.discoveryServer.callCount() >= 2 })
	c := dial(t, g.addr)
	c.sendRaw("GET /health/ready HTTP/1.1\r\nHost: a\r\n\r\n")
	if resp, _ := c.readAnswer(); resp.StatusCode != 503 {
		t.Errorf("status %d without replicas", resp.StatusCode)
	}
	g.discoveryServer.change(listEntry(newFakeReplica(t, "s-1", answerCompletely), "ready"))
	waitUntil(t, "ready", func() bool { return g.ready.Load() })
}

// With the cached list a gateway serves at once: when all gateways restart together, discovery
// takes seconds to answer some of them.
func TestReadyOnCachedList(t *testing.T) {
	w := newFakeReplica(t, "s-1", answerCompletely)
	g := startGateway(t, func(o *Options) {
		o.CachedList = httpwire.EndpointList{Endpoints: []httpwire.Endpoint{listEntry(w, "ready")}}
		o.Settings.Gateways, o.Settings.Self = 80, 79 // which discovery serves last
	}, w)
	c := dial(t, g.addr)
	c.sendRequest("saved", "4000m")
	if resp, _ := c.readAnswer(); resp.StatusCode != 200 || g.discoveryServer.callCount() != 0 {
		t.Errorf("status %d after %d calls of discovery", resp.StatusCode, g.discoveryServer.callCount())
	}
}
