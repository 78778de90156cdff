package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"net/http"
	"time"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/contract/ledger"
	"archknot/internal/contract/split"
	"archknot/internal/endpoint"
	"archknot/internal/httpwire"
	"archknot/internal/inflight"
)

// Contracts are the teams' agreements, and what holds for all of them.
type Contracts struct {
	Settings contract.Settings
	Teams    []contract.Terms
	// Split makes the way in which this gateway tells its parts of them; nil: it is
	// the only one.
	Split func() split.Strategy
}

// openLedger puts the first contracts in force, where the kept balances end.
func (g *Gateway) openLedger() error {
	if g.options.Ledger != nil {
		g.ledgerWriter = ledger.NewWriter(g.options.Ledger, g.onCheckpointWritten)
	}
	if g.options.Contracts == nil {
		return nil
	}
	stored, err := g.storedBalances()
	if err != nil {
		return err
	}
	now := g.clock.now()
	g.loop.now, g.loop.fileContracts = now, g.options.Contracts
	if err := g.loop.applyContracts(stored); err != nil || g.ledgerWriter == nil || g.loop.ledger == nil {
		return err
	}
	// Written before anything is served: a strict book needs it, and a disk that
	// cannot be written is told at once.
	number, list := g.loop.recordedLedger.Checkpoint(now)
	if err := g.options.Ledger.Write(list); err != nil {
		return err
	}
	g.loop.recordedLedger.CheckpointDone(now, number, true)
	return nil
}

func (g *Gateway) storedBalances() ([]contract.Balance, error) {
	if g.options.Ledger == nil {
		return nil, nil
	}
	return g.options.Ledger.Load()
}

// applyContracts puts in force what the files have, with a version's contracts in place of
// theirs if it has any. A book that begins anew goes on where stored balances end.
func (l *eventLoop) applyContracts(stored []contract.Balance) error {
	defer func() { l.gateway.hasContracts.Store(l.ledger != nil) }()
	c := Contracts{}
	if l.fileContracts != nil {
		c = *l.fileContracts
	}
	if l.versionContracts != nil {
		c.Teams = l.versionContracts
	}
	if len(c.Teams) == 0 {
		if l.ledger != nil && l.recording != nil {
			l.recording.recorder.ReplaceLedger(l.now, nil, 0, nil)
		}
		// What is open is no book's any more: a later one must not settle it.
		l.requests.EachOpenCharge(func(_ balancer.RequestID, _ int, c *contract.Charge) { *c = contract.Charge{} })
		l.ledger, l.recordedLedger, l.quotaShares = nil, nil, quotaShares{}
		return nil
	}
	if l.quotaShares.splitter = nil; c.Split != nil {
		l.quotaShares.splitter = c.Split()
	}
	l.quotaShares.updatedAt, l.quotaShares.own, l.quotaShares.all = 0, 0, 0
	if l.ledger != nil {
		return l.recordedLedger.ApplyTerms(l.now, c.Settings, c.Teams)
	}
	unix := time.Now().UnixMicro()
	book, err := contract.NewLedger(c.Settings, c.Teams, l.now, unix)
	if err != nil {
		return err
	}
	if n := book.RestoreBalances(stored); n > 0 {
		slog.Info("contract_ledger_resumed", "resumed", n)
	}
	if l.ledger = book; l.recording != nil {
		l.recording.recorder.ReplaceLedger(l.now, book, unix, stored)
	}
	l.routeLedger()
	return nil
}

// loopQuery has the loop find something out.
type loopQuery[T any] struct {
	run    func(*eventLoop) T
	result chan T
}

func (e loopQuery[T]) apply(l *eventLoop) { e.result <- e.run(l) }

// queryLoop has the loop answer a question between two events.
func queryLoop[T any](ctx context.Context, l *eventLoop, f func(*eventLoop) T) (answer T, err error) {
	e := loopQuery[T]{f, make(chan T, 1)}
	l.post(ctx, e)
	select {
	case answer = <-e.result:
		return answer, nil
	case <-ctx.Done():
		return answer, ctx.Err()
	}
}

// SetContracts puts other contracts in force; nil is none. What is in hand is settled as
// it was charged.
func (g *Gateway) SetContracts(ctx context.Context, c *Contracts) error {
	stored, err := g.storedBalances()
	if err != nil {
		return err
	}
	refused, err := queryLoop(ctx, g.loop, func(l *eventLoop) error {
		before := l.fileContracts
		l.fileContracts = c
		err := l.applyContracts(stored)
		if err != nil {
			l.fileContracts = before
		}
		return err
	})
	return errors.Join(refused, err)
}

// checkpointInterval is how often balances that are due are written.
const checkpointInterval = 250 * time.Millisecond

// runLedgerTicks has the loop look after the books.
func (g *Gateway) runLedgerTicks(ctx context.Context) {
	t := time.NewTicker(checkpointInterval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			if g.hasContracts.Load() {
				g.loop.post(ctx, ledgerTick{})
			}
		case <-ctx.Done():
			return
		}
	}
}

type ledgerTick struct{}

func (ledgerTick) apply(l *eventLoop) {
	if l.ledger == nil {
		return
	}
	if l.gateway.ledgerWriter != nil && l.ledger.CheckpointDue() && !l.quotaShares.checkpointing {
		number, list := l.recordedLedger.Checkpoint(l.now)
		if l.quotaShares.checkpointing = l.gateway.ledgerWriter.Write(number, list); !l.quotaShares.checkpointing {
			l.recordedLedger.CheckpointDone(l.now, number, false)
		}
	}
	l.updateQuotaParts()
}

// onCheckpointWritten is told by the store's task how a checkpoint went.
func (g *Gateway) onCheckpointWritten(number uint64, err error) {
	ctx, stop := context.WithTimeout(context.Background(), 10*time.Second)
	defer stop()
	g.loop.post(ctx, checkpointWritten{number, err})
}

type checkpointWritten struct {
	checkpoint uint64
	err        error
}

func (e checkpointWritten) apply(l *eventLoop) {
	l.quotaShares.checkpointing = false
	if l.ledger == nil {
		return
	}
	l.recordedLedger.CheckpointDone(l.now, e.checkpoint, e.err == nil)
	if e.err != nil && l.now-l.quotaShares.errorLoggedAt >= ledgerErrorInterval {
		l.quotaShares.errorLoggedAt = l.now
		slog.Error("contract_ledger_write_failed", "err", e.err, "unsaved_tokens", l.ledger.UnstoredUsage()/contract.Token)
	}
}

// ledgerErrorInterval is how often a store that cannot be written is told.
const ledgerErrorInterval balancer.Micros = 10_000_000

// CloseLedger writes all balances as they are. It is called once nothing is in hand.
func (g *Gateway) CloseLedger(ctx context.Context) error {
	if g.ledgerWriter == nil {
		return nil
	}
	list, err := queryLoop(ctx, g.loop, func(l *eventLoop) []contract.Balance {
		if l.ledger == nil {
			return nil
		}
		return l.ledger.FinalBalances()
	})
	if err != nil {
		return err
	}
	if g.ledgerWriter.Close(); list == nil {
		return nil
	}
	return g.options.Ledger.Write(list)
}

// Accounts are the teams' books as they stand; none without contracts.
func (g *Gateway) Accounts(ctx context.Context) ([]contract.AccountStatus, error) {
	list, err := queryLoop(ctx, g.loop, func(l *eventLoop) []contract.AccountStatus {
		if l.ledger == nil {
			return nil
		}
		return l.ledger.Accounts()
	})
	if err != nil {
		return nil, errors.Join(errors.New("the gateway does not answer"), err)
	}
	return list, nil
}

// quotaShares is what the gateway sees of the work in hand at the workers, of which it
// tells its own parts of the contracts, and what else is kept beside the book.
type quotaShares struct {
	splitter   split.Strategy // nil: it is the only gateway
	own, all   float64        // sums over the workers' reports since the last look
	updatedAt  balancer.Micros
	lastCounts []contract.Counters

	checkpointing bool            // a checkpoint of balances is on its way to the disk
	errorLoggedAt balancer.Micros // when it was last said that it failed
}

// quotaShareInterval is how often the gateway tells its parts anew.
const quotaShareInterval balancer.Micros = 1_000_000

// recordReplicaLoad notes what a worker says that it has in hand, beside what was sent there.
func (l *eventLoop) recordReplicaLoad(w *endpoint.Replica, r *balancer.LoadReport) {
	if l.quotaShares.splitter == nil || r.Has&balancer.HasInFlight == 0 {
		return
	}
	all := r.InFlight
	if r.Has&balancer.HasQueued != 0 {
		all += r.Queued
	}
	// The report may be from before the last of this gateway's requests came.
	l.quotaShares.own += float64(w.InFlight())
	l.quotaShares.all += max(all, float64(w.InFlight()))
}

// updateQuotaParts tells the book the gateway's parts of the contracts.
func (l *eventLoop) updateQuotaParts() {
	s := &l.quotaShares
	if s.splitter == nil || l.now-s.updatedAt < quotaShareInterval {
		return
	}
	accounts := l.ledger.Accounts()
	seen := split.Observation{Interval: l.now - s.updatedAt, OwnInFlight: s.own, FleetInFlight: s.all}
	if len(s.lastCounts) != len(accounts) || s.updatedAt == 0 {
		s.lastCounts, seen.Interval = make([]contract.Counters, len(accounts)), 0
	}
	for i, t := range l.ledger.Terms() {
		c, was := &accounts[i].Counters, &s.lastCounts[i]
		seen.Teams = append(seen.Teams, split.TeamUsage{Rate: t.Rate, Requested: float64(c.RequestedUnits() - was.RequestedUnits()), Used: float64(c.Used - was.Used)})
		*was = *c
	}
	s.updatedAt, s.own, s.all = l.now, 0, 0
	l.recordedLedger.SetQuotaShares(l.now, s.splitter.Shares(seen))
}

// minPriorityWeight stands for a worth of nothing, for 0 says that there is no contract.
const minPriorityWeight = 1e-6

// charge charges a request, or a copy of it, what it is thought to use.
func (l *eventLoop) charge(r *inflight.Request, copy int, c *contract.Charge) contract.Verdict {
	return l.recordedLedger.Charge(l.now, &r.BalancerRequest, copy, c)
}

// admitByContract has the team's contract judge a request before the module does. One
// that it refuses is answered at once, and the module never hears of it.
func (l *eventLoop) admitByContract(r *inflight.Request) bool {
	if l.ledger == nil {
		return true
	}
	v := l.charge(r, 0, &r.Charge)
	l.logBudgetNotices()
	if v.Rejected && r.BalancerRequest.PriorAttempts > 0 { // admitted once, where it was lost: it goes on, for the least worth
		r.BalancerRequest.PriorityFactor = minPriorityWeight
		return true
	}
	if v.Rejected {
		r.Finished = true
		r.Actions <- inflight.Action{Kind: inflight.ActionDeny, Reason: v.Reason, RetryAfter: v.RetryAfter}
		l.requests.RemoveIfFinished(r)
		return false
	}
	r.BalancerRequest.PriorityFactor, r.OverRate, r.EstimatedUse = max(minPriorityWeight, v.PriorityWeight), v.OverQuota, r.Charge.Estimate
	return true
}

// chargeAttempt gives an attempt its charge: the first has the request's, a further
// copy one of its own. What the budget does not allow is not sent: it never ran.
func (l *eventLoop) chargeAttempt(d *inflight.Attempt) bool {
	if l.ledger == nil {
		return true
	}
	r := d.Request
	if d.Index == 0 {
		d.Charge, r.Charge = r.Charge, contract.Charge{}
		return true
	}
	if v := l.charge(r, d.Index, &d.Charge); v.Rejected {
		d.Cancel()
		l.deferred = append(l.deferred, attemptEnded{attempt: d, status: balancer.NotSent})
		return false
	}
	return true
}

// settleAttempt puts what an attempt used in the place of its charge.
func (l *eventLoop) settleAttempt(e *attemptEnded) {
	if l.ledger == nil {
		return
	}
	used := e.attempt.Charge.ActualUsage(e.status, e.attempt.Request.BalancerRequest.PromptTokens, e.cachedTokens, e.outputTokens)
	l.recordedLedger.Settle(l.now, e.attempt.Request.ID, e.attempt.Index, &e.attempt.Charge, used, e.status == balancer.Served)
	l.logBudgetNotices()
}

// recordShed tells the book that the module, or the workers, had no room for a
// request. What ran and failed is no such thing.
func (l *eventLoop) recordShed(r *inflight.Request) {
	if l.ledger == nil || r.BalancerRequest.PriorityFactor == 0 {
		return
	}
	for _, d := range r.Attempts {
		if !d.NeverRan {
			return
		}
	}
	l.recordedLedger.RecordShed(l.now, &r.BalancerRequest, r.EstimatedUse, r.OverRate)
}

// releaseCharge settles a charge that no attempt had.
func (l *eventLoop) releaseCharge(r *inflight.Request) {
	if l.ledger != nil {
		l.recordedLedger.Settle(l.now, r.ID, 0, &r.Charge, contract.Usage{}, false)
	}
}

// logBudgetNotices logs budgets that have come to half, four fifths and all.
func (l *eventLoop) logBudgetNotices() {
	for _, n := range l.ledger.TakeNotices() {
		slog.Info("contract_budget", "team", n.Team, "period", n.Period.String(), "percent", n.Percent, "used", n.Used/contract.Token,
			"limit", n.Limit/contract.Token)
	}
}

// writeContractRejection answers a request that its team's contract refuses.
func writeContractRejection(w http.ResponseWriter, reason string, retryAfter balancer.Micros) {
	if retryAfter > 0 {
		w.Header().Set("Retry-After", httpwire.FormatRetryAfter(retryAfter))
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusTooManyRequests)
	_ = json.NewEncoder(w).Encode(map[string]any{"error": map[string]any{"type": "contract", "code": reason, "retry_after_ms": retryAfter / 1000}})
}
