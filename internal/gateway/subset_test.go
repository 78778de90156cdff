package gateway

import (
	"fmt"
	"testing"

	"archknot/internal/httpwire"
	"archknot/internal/subset"
)

// A gateway works with a part of its replicas, and hears at once that all of that part drain: others
// are in use with the same list, no request is lost, and none goes to a replica that drains. Then
// the list shrinks to one replica, which gets all.
func TestWholeSubsetDrains(t *testing.T) {
	const replicas, most = 40, 16
	var workers []*fakeReplica
	for i := range replicas {
		workers = append(workers, newFakeReplica(t, fmt.Sprint("s-", i), answerCompletely))
	}
	g := startGateway(t, func(o *Options) {
		o.Subset = subset.Settings{MaxReplicas: most, GatewayIndex: 3, Zone: "a", RemoteFraction: subset.DefaultRemoteFraction}
	}, workers...)
	control := func() (ready, inSubset int, version int64) {
		c, err := g.Control(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		return c.Ready, c.Subset, c.ListVersion
	}
	if ready, n, _ := control(); ready != replicas || n < 6 || n > most {
		t.Fatalf("%d of %d in the subset", n, ready)
	}
	part := map[string]bool{} // by name
	looked := make(chan struct{})
	g.loop.post(t.Context(), inspectLoop{func(l *eventLoop) {
		for _, m := range l.balancer.Endpoints() {
			part[l.endpoints.ByID(m.Replica).Endpoint.ID] = true
		}
		close(looked)
	}})
	<-looked
	c := dial(t, g.addr)
	askAll := func(prefix string, n int) {
		t.Helper()
		for i := range n {
			c.ask(fmt.Sprint(prefix, i), "4000m")
			if resp, body := c.answer(); resp.StatusCode != 200 {
				t.Fatalf("request %s%d: status %d %q", prefix, i, resp.StatusCode, body)
			}
		}
	}
	askAll("before", 30)
	requests := func(in bool) (n int) {
		for _, w := range workers {
			if part[w.id] == in {
				_, got := w.seen()
				n += got
			}
		}
		return n
	}
	if requests(false) > 0 {
		t.Errorf("%d requests without a home went outside of the part", requests(false))
	}
	var drain []httpwire.Endpoint
	for _, w := range workers {
		if part[w.id] {
			drain = append(drain, instance(w, "draining"))
		}
	}
	before := requests(true)
	g.discoveryServer.change(drain...)
	waitUntil(t, "the change is in force", func() bool { _, _, v := control(); return v == 1 })
	if ready, n, _ := control(); ready != replicas-len(drain) || n < 6 || n > most {
		t.Errorf("after the drain %d of %d in the subset", n, ready)
	}
	askAll("after", 30)
	if got := requests(true); got != before {
		t.Errorf("%d requests to replicas that drain", got-before)
	}
	var gone []httpwire.Endpoint
	for _, w := range workers[1:] {
		gone = append(gone, instance(w, "gone"))
	}
	g.discoveryServer.change(append(gone, instance(workers[0], "ready"))...)
	waitUntil(t, "one is left", func() bool { ready, _, _ := control(); return ready == 1 })
	_, had := workers[0].seen()
	askAll("one", 5)
	if _, got := workers[0].seen(); got != had+5 {
		t.Errorf("%d of 5 requests at the one replica", got-had)
	}
}
