package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"archknot/choice"
	"archknot/internal/contract"
	"archknot/internal/contract/ledger"
	"archknot/internal/contract/split"
	"archknot/internal/memory"
	"archknot/internal/wire/socket"
)

// Contracts are the teams' agreements, and what holds for all of them.
type Contracts struct {
	Settings contract.Settings
	Teams    []contract.Terms
	// Split makes the way in which this gateway tells its parts of them; nil: it is
	// the only one.
	Split func() split.Way
}

// openBooks puts the first contracts in force, where the kept balances end.
func (g *Gateway) openBooks() error {
	if g.o.Ledger != nil {
		g.keeper = ledger.NewWriter(g.o.Ledger, g.written)
	}
	if g.o.Contracts == nil {
		return nil
	}
	stored, err := g.stored()
	if err != nil {
		return err
	}
	now := g.clock.now()
	g.loop.now, g.loop.files = now, g.o.Contracts
	if err := g.loop.agree(stored); err != nil || g.keeper == nil || g.loop.book == nil {
		return err
	}
	// Written before anything is served: a strict book needs it, and a disk that
	// cannot be written is told at once.
	number, list := g.loop.books.Checkpoint(now)
	if err := g.o.Ledger.Write(list); err != nil {
		return err
	}
	g.loop.books.Kept(now, number, true)
	return nil
}

func (g *Gateway) stored() ([]contract.Balance, error) {
	if g.o.Ledger == nil {
		return nil, nil
	}
	return g.o.Ledger.Load()
}

// agree puts in force what the files have, with a version's contracts in place of
// theirs if it has any. A book that begins anew goes on where stored balances end.
func (l *loop) agree(stored []contract.Balance) error {
	defer func() { l.g.agreed.Store(l.book != nil) }()
	c := Contracts{}
	if l.files != nil {
		c = *l.files
	}
	if l.versioned != nil {
		c.Teams = l.versioned
	}
	if len(c.Teams) == 0 {
		if l.book != nil && l.record != nil {
			l.record.r.Renew(l.now, nil, 0, nil)
		}
		// What is open is no book's any more: a later one must not settle it.
		l.requests.EachOpenCharge(func(_ choice.RequestID, _ int, c *contract.Charge) { *c = contract.Charge{} })
		l.book, l.books, l.shares = nil, nil, shares{}
		return nil
	}
	if l.shares.way = nil; c.Split != nil {
		l.shares.way = c.Split()
	}
	l.shares.at, l.shares.own, l.shares.all = 0, 0, 0
	if l.book != nil {
		return l.books.Agree(l.now, c.Settings, c.Teams)
	}
	unix := time.Now().UnixMicro()
	book, err := contract.New(c.Settings, c.Teams, l.now, unix)
	if err != nil {
		return err
	}
	if n := book.Resume(stored); n > 0 {
		slog.Info("contract_ledger_resumed", "resumed", n)
	}
	if l.book = book; l.record != nil {
		l.record.r.Renew(l.now, book, unix, stored)
	}
	l.setBooks()
	return nil
}

// question has the loop find something out.
type question[T any] struct {
	f      func(*loop) T
	answer chan T
}

func (e question[T]) apply(l *loop) { e.answer <- e.f(l) }

// ask has the loop answer a question between two events.
func ask[T any](ctx context.Context, l *loop, f func(*loop) T) (answer T, err error) {
	e := question[T]{f, make(chan T, 1)}
	l.post(ctx, e)
	select {
	case answer = <-e.answer:
		return answer, nil
	case <-ctx.Done():
		return answer, ctx.Err()
	}
}

// Agree puts other contracts in force; nil is none. What is in hand is settled as
// it was charged.
func (g *Gateway) Agree(ctx context.Context, c *Contracts) error {
	stored, err := g.stored()
	if err != nil {
		return err
	}
	refused, err := ask(ctx, g.loop, func(l *loop) error {
		before := l.files
		l.files = c
		err := l.agree(stored)
		if err != nil {
			l.files = before
		}
		return err
	})
	return errors.Join(refused, err)
}

// bookEvery is how often balances that are due are written.
const bookEvery = 250 * time.Millisecond

// bookkeeping has the loop look after the books.
func (g *Gateway) bookkeeping(ctx context.Context) {
	t := time.NewTicker(bookEvery)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if g.agreed.Load() {
				g.loop.post(ctx, bookTick{})
			}
		case <-ctx.Done():
			return
		}
	}
}

type bookTick struct{}

func (bookTick) apply(l *loop) {
	if l.book == nil {
		return
	}
	if l.g.keeper != nil && l.book.Due() && !l.shares.writing {
		number, list := l.books.Checkpoint(l.now)
		if l.shares.writing = l.g.keeper.Write(number, list); !l.shares.writing {
			l.books.Kept(l.now, number, false)
		}
	}
	l.share()
}

// written is told by the store's task how a checkpoint went.
func (g *Gateway) written(number uint64, err error) {
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	g.loop.post(ctx, writtenEvent{number, err})
}

type writtenEvent struct {
	number uint64
	err    error
}

func (e writtenEvent) apply(l *loop) {
	l.shares.writing = false
	if l.book == nil {
		return
	}
	l.books.Kept(l.now, e.number, e.err == nil)
	if e.err != nil && l.now-l.shares.toldAt >= failedEvery {
		l.shares.toldAt = l.now
		slog.Error("contract_ledger_write_failed", "err", e.err, "unsaved_tokens", l.book.Exposed()/contract.Token)
	}
}

// failedEvery is how often a store that cannot be written is told.
const failedEvery choice.Micros = 10_000_000

// CloseBooks writes all balances as they are. It is called once nothing is in hand.
func (g *Gateway) CloseBooks(ctx context.Context) error {
	if g.keeper == nil {
		return nil
	}
	list, err := ask(ctx, g.loop, func(l *loop) []contract.Balance {
		if l.book == nil {
			return nil
		}
		return l.book.Final()
	})
	if err != nil {
		return err
	}
	if g.keeper.Close(); list == nil {
		return nil
	}
	return g.o.Ledger.Write(list)
}

// Accounts are the teams' books as they stand; none without contracts.
func (g *Gateway) Accounts(ctx context.Context) ([]contract.Account, error) {
	list, err := ask(ctx, g.loop, func(l *loop) []contract.Account {
		if l.book == nil {
			return nil
		}
		return l.book.Accounts()
	})
	if err != nil {
		return nil, errors.Join(errors.New("the gateway does not answer"), err)
	}
	return list, nil
}

// shares is what the gateway sees of the work in hand at the workers, of which it
// tells its own parts of the contracts, and what else is kept beside the book.
type shares struct {
	way      split.Way // nil: it is the only gateway
	own, all float64   // sums over the workers' reports since the last look
	at       choice.Micros
	last     []contract.Count

	writing bool          // a checkpoint of balances is on its way to the disk
	toldAt  choice.Micros // when it was last said that it failed
}

// shareEvery is how often the gateway tells its parts anew.
const shareEvery choice.Micros = 1_000_000

// reported notes what a worker says that it has in hand, beside what was sent there.
func (l *loop) reported(w *memory.Replica, r *choice.LoadReport) {
	if l.shares.way == nil || r.Has&choice.HasInFlight == 0 {
		return
	}
	all := r.InFlight
	if r.Has&choice.HasQueued != 0 {
		all += r.Queued
	}
	// The report may be from before the last of this gateway's requests came.
	l.shares.own += float64(w.InFlight())
	l.shares.all += max(all, float64(w.InFlight()))
}

// share tells the book the gateway's parts of the contracts.
func (l *loop) share() {
	s := &l.shares
	if s.way == nil || l.now-s.at < shareEvery {
		return
	}
	accounts := l.book.Accounts()
	seen := split.Seen{Span: l.now - s.at, Own: s.own, All: s.all}
	if len(s.last) != len(accounts) || s.at == 0 {
		s.last, seen.Span = make([]contract.Count, len(accounts)), 0
	}
	for i, t := range l.book.Terms() {
		c, was := &accounts[i].Count, &s.last[i]
		seen.Teams = append(seen.Teams, split.Team{Rate: t.Rate, Asked: float64(c.Asked() - was.Asked()), Used: float64(c.Used - was.Used)})
		*was = *c
	}
	s.at, s.own, s.all = l.now, 0, 0
	l.books.SetParts(l.now, s.way.Parts(seen))
}

// leastFactor stands for a worth of nothing, for 0 says that there is no contract.
const leastFactor = 1e-6

// chargeFor charges a request, or a copy of it, what it is thought to use.
func (l *loop) chargeFor(r *memory.Request, copy int, c *contract.Charge) contract.Verdict {
	return l.books.Charge(l.now, &r.BalancerRequest, copy, c)
}

// admitted has the team's contract judge a request before the module does. One
// that it refuses is answered at once, and the module never hears of it.
func (l *loop) admitted(r *memory.Request) bool {
	if l.book == nil {
		return true
	}
	v := l.chargeFor(r, 0, &r.Charge)
	l.notices()
	if v.Refuse && r.BalancerRequest.PriorAttempts > 0 { // admitted once, where it was lost: it goes on, for the least worth
		r.BalancerRequest.PriorityFactor = leastFactor
		return true
	}
	if v.Refuse {
		r.Finished = true
		r.Actions <- memory.Action{Kind: memory.ActionDeny, Reason: v.Reason, RetryAfter: v.RetryAfter}
		l.requests.RemoveIfFinished(r)
		return false
	}
	r.BalancerRequest.PriorityFactor, r.OverRate, r.EstimatedUse = max(leastFactor, v.Worth), v.Over, r.Charge.Thought
	return true
}

// charged gives an attempt its charge: the first has the request's, a further
// copy one of its own. What the budget does not allow is not sent: it never ran.
func (l *loop) charged(d *memory.Attempt) bool {
	if l.book == nil {
		return true
	}
	r := d.Request
	if d.Index == 0 {
		d.Charge, r.Charge = r.Charge, contract.Charge{}
		return true
	}
	if v := l.chargeFor(r, d.Index, &d.Charge); v.Refuse {
		d.Cancel()
		l.later = append(l.later, ended{d: d, status: choice.NotSent})
		return false
	}
	return true
}

// settle puts what an attempt used in the place of its charge.
func (l *loop) settle(e *ended) {
	if l.book == nil {
		return
	}
	used := e.d.Charge.Used(e.status, e.d.Request.BalancerRequest.PromptTokens, e.kept, e.tokens)
	l.books.Settle(l.now, e.d.Request.ID, e.d.Index, &e.d.Charge, used, e.status == choice.Served)
	l.notices()
}

// turnedAway tells the book that the module, or the workers, had no room for a
// request. What ran and failed is no such thing.
func (l *loop) turnedAway(r *memory.Request) {
	if l.book == nil || r.BalancerRequest.PriorityFactor == 0 {
		return
	}
	for _, d := range r.Attempts {
		if !d.NeverRan {
			return
		}
	}
	l.books.TurnedAway(l.now, &r.BalancerRequest, r.EstimatedUse, r.OverRate)
}

// release settles a charge that no attempt had.
func (l *loop) release(r *memory.Request) {
	if l.book != nil {
		l.books.Settle(l.now, r.ID, 0, &r.Charge, contract.Use{}, false)
	}
}

// notices logs budgets that have come to half, four fifths and all.
func (l *loop) notices() {
	for _, n := range l.book.Notices() {
		slog.Info("contract_budget", "team", n.Team, "period", n.Period.String(), "percent", n.Percent, "used", n.Used/contract.Token,
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
