package gateway

import (
	"context"
	"encoding/json"
	"log/slog"
	"net/http"
	"time"

	"archknot/choice"
	"archknot/internal/contract"
	"archknot/internal/memory"
	"archknot/internal/wire/socket"
)

// Contracts are the teams' agreements, and what holds for all of them.
type Contracts struct {
	Settings contract.Settings
	Teams    []contract.Terms
}

// agree puts contracts in force.
func (l *loop) agree(c *Contracts, now choice.Micros) error {
	if c == nil {
		l.book = nil
		return nil
	}
	if l.book != nil && l.book.Settings() == c.Settings {
		return l.book.Agree(now, c.Teams)
	}
	book, err := contract.New(c.Settings, c.Teams, now, time.Now().UnixMicro())
	if err == nil {
		l.book = book
	}
	return err
}

type agreeOrder struct {
	c    *Contracts
	done chan error
}

func (e agreeOrder) apply(l *loop) { e.done <- l.agree(e.c, l.now) }

// Agree puts other contracts in force; nil is none. What is in hand is settled as
// it was charged.
func (g *Gateway) Agree(ctx context.Context, c *Contracts) error {
	e := agreeOrder{c, make(chan error, 1)}
	g.loop.post(ctx, e)
	select {
	case err := <-e.done:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// leastFactor stands for a worth of nothing, for 0 says that there is no contract.
const leastFactor = 1e-6

// chargeFor charges a request, or a copy of it, what it is thought to use.
func (l *loop) chargeFor(r *memory.Request, c *contract.Charge) contract.Verdict {
	return l.book.Take(l.now, r.In.Tenant, r.In.Class, l.book.Estimate(r.In.Class, r.In.PromptTokens, r.In.MaxTokens), c)
}

// admitted has the team's contract judge a request before the module does. One
// that it refuses is answered at once, and the module never hears of it.
func (l *loop) admitted(r *memory.Request) bool {
	if l.book == nil {
		return true
	}
	v := l.chargeFor(r, &r.Charge)
	l.notices()
	if v.Refuse {
		r.Done = true
		r.Actions <- memory.Action{Kind: memory.Contract, Reason: v.Reason, RetryAfter: v.RetryAfter}
		l.requests.Forget(r)
		return false
	}
	r.In.Factor = max(leastFactor, v.Worth)
	return true
}

// charged gives a delegation its charge: the first has the request's, a further
// copy one of its own. What the budget does not allow is not sent: it never ran.
func (l *loop) charged(d *memory.Delegation) bool {
	if l.book == nil {
		return true
	}
	r := d.Request
	if d.N == 0 {
		d.Charge, r.Charge = r.Charge, contract.Charge{}
		return true
	}
	if v := l.chargeFor(r, &d.Charge); v.Refuse {
		d.Cancel()
		l.later = append(l.later, ended{d: d, status: choice.NotSent})
		return false
	}
	return true
}

// settle puts what a delegation used in the place of its charge. What may have run
// and told nothing keeps the estimate.
func (l *loop) settle(e *ended) {
	if l.book == nil {
		return
	}
	used := e.d.Charge.Thought
	switch {
	case e.status.NeverRan():
		used = contract.Use{}
	case e.status == choice.Served && e.tokens > 0:
		used = contract.Use{Read: max(0, e.d.Request.In.PromptTokens-e.kept), Made: e.tokens}
	}
	l.book.Settle(l.now, &e.d.Charge, used, e.status == choice.Served)
	l.notices()
}

// release settles a charge that no delegation had.
func (l *loop) release(r *memory.Request) {
	if l.book != nil {
		l.book.Settle(l.now, &r.Charge, contract.Use{}, false)
	}
}

// notices logs budgets that have come to half, four fifths and all.
func (l *loop) notices() {
	for _, n := range l.book.Notices() {
		slog.Info("budget", "team", n.Team, "period", n.Period.String(), "percent", n.Percent, "used", n.Used/contract.Token,
			"limit", n.Limit/contract.Token)
	}
}

// notAgreed answers a request that its team's contract refuses.
func notAgreed(w http.ResponseWriter, reason string, retryAfter choice.Micros) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", socket.RetryAfter(retryAfter))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusTooManyRequests)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"type": "contract", "code": reason, "retry_after_ms": retryAfter / 1000}})
}
