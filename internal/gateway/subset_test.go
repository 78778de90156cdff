package gateway

import (
	"fmt"
	"testing"

	"archknot/internal/httpwire"
	"archknot/internal/subset"
)

// All replicas of a gateway's subset drain with one change of the list: other replicas replace
// them with the same change, no request is lost, and none goes to a draining replica. Then the
// list shrinks to one replica, which gets all requests.
func TestWholeSubsetDrains(t *testing.T) {
	const fleetSize, maxReplicas = 40, 16
	var replicas []*fakeReplica
	for i := range fleetSize {
		replicas = append(replicas, newFakeReplica(t, fmt.Sprint("s-", i), answerCompletely))
	}
	g := startGateway(t, func(o *Options) {
		o.Subset = subset.Settings{MaxReplicas: maxReplicas, GatewayIndex: 3, Zone: "a", RemoteFraction: subset.DefaultRemoteFraction}
	}, replicas...)
	control := func() (ready, inSubset int, version int64) {
		c, err := g.Control(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return c.Ready, c.Subset, c.ListVersion
	}
	if ready, n, _ := control(); ready != fleetSize || n < 6 || n > maxReplicas {
		t.Fatalf("%d of %d in the subset", n, ready)
	}
	subsetIDs := map[string]bool{} // by name
	inspected := make(chan struct{})
	g.loop.post(t.Context(), inspectLoop{func(l *eventLoop) {
		for _, m := range l.balancer.Endpoints() {
			subsetIDs[l.endpoints.ByID(m.Replica).Endpoint.ID] = true
		}
		close(inspected)
	}})
	<-inspected
	c := dial(t, g.addr)
	sendAll := func(prefix string, n int) {
		t.Helper()
		for i := range n {
			c.sendRequest(fmt.Sprint(prefix, i), "4000m")
			if resp, body := c.readAnswer(); resp.StatusCode != 200 {
				t.Fatalf("request %s%d: status %d %q", prefix, i, resp.StatusCode, body)
			}
		}
	}
	sendAll("before", 30)
	requests := func(in bool) (n int) {
		for _, w := range replicas {
			if subsetIDs[w.id] == in {
				_, got := w.counts()
				n += got
			}
		}
		return n
	}
	if requests(false) > 0 {
		t.Errorf("%d requests without affinity went outside of the subset", requests(false))
	}
	var drain []httpwire.Endpoint
	for _, w := range replicas {
		if subsetIDs[w.id] {
			drain = append(drain, listEntry(w, "draining"))
		}
	}
	before := requests(true)
	g.discoveryServer.change(drain...)
	waitUntil(t, "the change is in force", func() bool { _, _, v := control(); return v == 1 })
	if ready, n, _ := control(); ready != fleetSize-len(drain) || n < 6 || n > maxReplicas {
		t.Errorf("after the drain %d of %d in the subset", n, ready)
	}
	sendAll("after", 30)
	if got := requests(true); got != before {
		t.Errorf("%d requests to replicas that drain", got-before)
	}
	var removed []httpwire.Endpoint
	for _, w := range replicas[1:] {
		removed = append(removed, listEntry(w, "gone"))
	}
	g.discoveryServer.change(append(removed, listEntry(replicas[0], "ready"))...)
	waitUntil(t, "one is left", func() bool { ready, _, _ := control(); return ready == 1 })
	_, had := replicas[0].counts()
	sendAll("one", 5)
	if _, got := replicas[0].counts(); got != had+5 {
		t.Errorf("%d of 5 requests at the one replica", got-had)
	}
}
