package gateway

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"archknot/internal/contract"
)

func (c *testClient) sendRequestFor(id, tenant string) {
	c.t.Helper()
	const body = `{"model":"chat","stream":true}`
	c.sendRaw(fmt.Sprintf("POST /v1/chat/completions HTTP/1.1\r\nHost: app.svc\r\nReq-Id: %s\r\nReq-Kind: chat\r\nReq-Owner: %s\r\nReq-Deadline: 4000m\r\n"+
		"Req-Extra: prompt_len=5120,max_out=400\r\nContent-Length: %d\r\n\r\n%s", id, tenant, len(body), body))
}

func (r *testGateway) accounts(t *testing.T) map[string]contract.AccountStatus {
	t.Helper()
	got := make(chan map[string]contract.AccountStatus, 1)
	r.loop.post(t.Context(), inspectLoop{func(l *eventLoop) {
		out := map[string]contract.AccountStatus{}
		for _, a := range l.accounting.ledger.Accounts() {
			out[a.Team] = a
		}
		got <- out
	}})
	return <-got
}

func testContracts(budget int64) *Contracts {
	return &Contracts{Settings: contract.Settings{Location: time.UTC, BorrowPoolSeconds: 1, UnknownTenantWeight: 0.05}, Teams: []contract.Terms{
		{Team: "a", Tenants: []string{"a"}, Rate: 1e9, Burst: 1e9, Budgets: []contract.Budget{{Period: contract.Quarter, Hard: budget * contract.Token}}},
		{Team: "b", Tenants: []string{"b"}, Rate: 1e9, Burst: 1e9}}}
}

// A request over a spent budget is rejected with 429, Retry-After and a machine-readable reason, and
// reaches no replica, while other teams are served. The budget is charged with the usage that the
// replica reported, not with the estimate.
func TestBudgetIsEnforced(t *testing.T) {
	replica := newFakeReplica(t, "s-1", answerCompletely) // reports 200 output tokens, and 4096 of the prompt cached
	g := startGateway(t, func(o *Options) { o.Contracts = testContracts(10_000) }, replica)
	c := dial(t, g.addr)
	served := 0
	var last *http.Response
	var text string
	for i := range 20 {
		c.sendRequestFor(fmt.Sprint("r", i), "a")
		if last, text = c.readAnswer(); last.StatusCode != http.StatusOK {
			break
		}
		served++
		waitUntil(t, "settled", func() bool { return g.accounts(t)["a"].OpenCharges == 0 })
	}
	// Each request uses 5120-4096 prompt and 200 output tokens; the next is estimated at 5120 and 200.
	if served != 4 || last.StatusCode != http.StatusTooManyRequests || !strings.Contains(text, `"code":"budget_spent"`) || last.Header.Get("Retry-After") == "" {
		t.Fatalf("%d served, then %s %v %s", served, last.Status, last.Header, text)
	}
	if a := g.accounts(t)["a"]; a.Used[contract.Quarter] != 4*1224*contract.Token {
		t.Errorf("used %d", a.Used[contract.Quarter]/contract.Token)
	}
	if _, n := replica.counts(); n != served {
		t.Errorf("%d requests at the replica", n)
	}
	c.sendRequestFor("other", "b")
	if resp, _ := c.readAnswer(); resp.StatusCode != http.StatusOK {
		t.Error(resp.Status)
	}
	// With a larger budget the next request is served, and earlier usage still counts.
	if err := g.SetContracts(t.Context(), testContracts(100_000)); err != nil {
		t.Fatal(err)
	}
	c.sendRequestFor("more", "a")
	if resp, _ := c.readAnswer(); resp.StatusCode != http.StatusOK {
		t.Error(resp.Status)
	}
	waitUntil(t, "settled", func() bool { return g.accounts(t)["a"].Used[contract.Quarter] == 5*1224*contract.Token })
}

// Each attempt is charged to its request's team: an attempt that never ran is free, one that may
// have run is charged its estimate, and one that the budget does not allow is not sent.
func TestAttemptsAreCharged(t *testing.T) {
	replyError := func(c net.Conn, r *http.Request) bool {
		io.WriteString(c, "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n")
		return true
	}
	replica1, replica2 := newFakeReplica(t, "s-1", replyError), newFakeReplica(t, "s-2", replyError)
	for _, c := range []struct {
		budget   int64
		attempts int
	}{{100_000, 3}, {9_000, 1}} {
		g := startGateway(t, func(o *Options) { o.Contracts = testContracts(c.budget) }, replica1, replica2)
		_, before1 := replica1.counts()
		_, before2 := replica2.counts()
		cl := dial(t, g.addr)
		cl.sendRequestFor("x", "a")
		if resp, _ := cl.readAnswer(); resp.StatusCode != http.StatusServiceUnavailable {
			t.Error(resp.Status)
		}
		waitUntil(t, "settled", func() bool { return g.accounts(t)["a"].OpenCharges == 0 })
		_, n1 := replica1.counts()
		_, n2 := replica2.counts()
		if got := n1 + n2 - before1 - before2; got != c.attempts {
			t.Errorf("budget %d: %d attempts", c.budget, got)
		}
		// 5120 prompt tokens and a quarter of max_out, for each attempt that may have run.
		if a := g.accounts(t)["a"]; a.Used[contract.Quarter] != int64(c.attempts)*5220*contract.Token {
			t.Errorf("budget %d: used %d", c.budget, a.Used[contract.Quarter]/contract.Token)
		}
	}
	sheds := newFakeReplica(t, "s-3", replyWith(shedReply, true))
	g := startGateway(t, func(o *Options) { o.Contracts = testContracts(100_000) }, sheds)
	cl := dial(t, g.addr)
	cl.sendRequestFor("y", "a")
	cl.readAnswer()
	waitUntil(t, "settled", func() bool { return g.accounts(t)["a"].OpenCharges == 0 })
	if a := g.accounts(t)["a"]; a.Used[contract.Quarter] != 0 {
		t.Errorf("an attempt that never ran was charged %d", a.Used[contract.Quarter])
	}
}
