package gateway

import (
	"context"
	"errors"
	"log/slog"
	"time"

	"archknot/balancer"
	"archknot/internal/contract"
	"archknot/internal/contract/ledger"
	"archknot/internal/contract/split"
	"archknot/internal/inflight"
)

const (
	// checkpointInterval is how often the loop checks whether balances are due to be written.
	checkpointInterval = 250 * time.Millisecond
	// checkpointPostTimeout limits how long the store's goroutine waits to post to the event loop.
	checkpointPostTimeout = 10 * time.Second
)

// errLoopUnresponsive marks a call that the event loop did not handle before the context ended.
var errLoopUnresponsive = errors.New("the gateway does not answer")

// Contracts are the teams' contracts and the settings that apply to all of them.
type Contracts struct {
	Settings contract.Settings
	Teams    []contract.Terms
	// Split returns a new strategy for computing this gateway's shares of the quotas; nil: this
	// is the only gateway.
	Split func() split.Strategy
}

// openLedger applies the initial contracts, starting from the stored balances.
func (g *Gateway) openLedger() error {
	if g.options.Ledger != nil {
		g.ledgerWriter = ledger.NewWriter(g.options.Ledger, g.onCheckpointWritten)
	}
	if g.options.Contracts == nil {
		return nil
	}
	balances, err := g.storedBalances()
	if err != nil {
		return err
	}
	now := g.clock.now()
	accounting := &g.loop.accounting
	g.loop.now, accounting.fileContracts = now, g.options.Contracts
	if err := g.loop.applyContracts(balances); err != nil || g.ledgerWriter == nil || accounting.ledger == nil {
		return err
	}
	// Written before any request is served: a strict ledger requires a stored balance, and a disk
	// that cannot be written is detected at startup.
	checkpoint, list := accounting.recordedLedger.Checkpoint(now)
	err = g.options.Ledger.Write(list)
	accounting.recordedLedger.CheckpointDone(now, checkpoint, err == nil)
	if errors.Is(err, ledger.ErrBusy) { // the process that this one replaces still has the store; the loop tries again
		slog.Info("contract_ledger_busy", "balances", len(balances))
		return nil
	}
	return err
}

func (g *Gateway) storedBalances() ([]contract.Balance, error) {
	if g.options.Ledger == nil {
		return nil, nil
	}
	return g.options.Ledger.Load()
}

// SetContracts replaces the contracts of the configuration file; nil: none. Requests in flight are
// settled as they were charged. Any goroutine may call it while Serve runs.
func (g *Gateway) SetContracts(ctx context.Context, c *Contracts) error {
	balances, err := g.storedBalances()
	if err != nil {
		return err
	}
	rejected, err := queryLoop(ctx, g.loop, func(l *eventLoop) error {
		before := l.accounting.fileContracts
		l.accounting.fileContracts = c
		err := l.applyContracts(balances)
		if err != nil {
			l.accounting.fileContracts = before
		}
		return err
	})
	return errors.Join(rejected, err)
}

// CloseLedger writes the final balances and closes the ledger's writer. It must be called once no
// request is in flight.
func (g *Gateway) CloseLedger(ctx context.Context) error {
	if g.ledgerWriter == nil {
		return nil
	}
	balances, err := queryLoop(ctx, g.loop, func(l *eventLoop) []contract.Balance {
		if l.accounting.ledger == nil {
			return nil
		}
		return l.accounting.ledger.FinalBalances()
	})
	if err != nil {
		return err
	}
	g.ledgerWriter.Close()
	if balances == nil {
		return nil
	}
	return g.options.Ledger.Write(balances)
}

// Accounts returns the state of the teams' accounts, or nil without contracts. Any goroutine
// may call it while Serve runs.
func (g *Gateway) Accounts(ctx context.Context) ([]contract.AccountStatus, error) {
	accounts, err := queryLoop(ctx, g.loop, func(l *eventLoop) []contract.AccountStatus {
		if l.accounting.ledger == nil {
			return nil
		}
		return l.accounting.ledger.Accounts()
	})
	if err != nil {
		return nil, errors.Join(errLoopUnresponsive, err)
	}
	return accounts, nil
}

// runLedgerTicks posts a ledgerTick every checkpointInterval until the context ends, while there
// are contracts.
func (g *Gateway) runLedgerTicks(ctx context.Context) {
	ticker := time.NewTicker(checkpointInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			if g.hasContracts.Load() {
				g.loop.post(ctx, ledgerTick{})
			}
		case <-ctx.Done():
			return
		}
	}
}

// ledgerTick starts a checkpoint of the balances if one is due, and updates the quota shares.
type ledgerTick struct{}

func (ledgerTick) apply(l *eventLoop) {
	a := &l.accounting
	if a.ledger == nil {
		return
	}
	writer := l.gateway.ledgerWriter
	if writer != nil && a.ledger.CheckpointDue() && !a.checkpointing {
		checkpoint, balances := a.recordedLedger.Checkpoint(l.now)
		a.checkpointing = writer.Write(checkpoint, balances)
		if !a.checkpointing {
			a.recordedLedger.CheckpointDone(l.now, checkpoint, false)
		}
	}
	a.updateQuotaShares(l.now)
}

// onCheckpointWritten posts the result of a checkpoint. The store's goroutine calls it.
func (g *Gateway) onCheckpointWritten(checkpoint uint64, err error) {
	ctx, stop := context.WithTimeout(context.Background(), checkpointPostTimeout)
	defer stop()
	g.loop.post(ctx, checkpointWritten{checkpoint, err})
}

// checkpointWritten is the result of writing a checkpoint; err is nil on success.
type checkpointWritten struct {
	checkpoint uint64
	err        error
}

func (e checkpointWritten) apply(l *eventLoop) {
	l.accounting.checkpointWritten(l.now, e.checkpoint, e.err)
	if e.err == nil {
		l.adoptInheritedUsage()
	}
}

// adoptInheritedUsage adds to the ledger what the process that this one replaced stored after this one had started.
// It replaces the ledger; requests in flight stay charged as estimated.
func (l *eventLoop) adoptInheritedUsage() {
	store, a := l.gateway.options.Ledger, &l.accounting
	if a.ledger == nil || !store.HasInheritedUsage() {
		return
	}
	balances := store.TakeInheritedUsage(a.ledger.FinalBalances())
	l.removeContracts()
	if err := l.applyContracts(balances); err != nil {
		slog.Error("contracts_failed", "err", err)
	}
}

// applyContracts applies the contracts of the configuration file and version. A new ledger starts
// from the stored balances.
func (l *eventLoop) applyContracts(stored []contract.Balance) error {
	a := &l.accounting
	defer func() { l.gateway.hasContracts.Store(a.ledger != nil) }()
	c := a.contracts()
	if len(c.Teams) == 0 {
		l.removeContracts()
		return nil
	}
	a.quotaShares.reset(c.Split)
	if a.ledger != nil {
		return a.recordedLedger.ApplyTerms(l.now, c.Settings, c.Teams)
	}
	startedAt := time.Now().UnixMicro()
	opened, err := contract.NewLedger(c.Settings, c.Teams, l.now, startedAt)
	if err != nil {
		return err
	}
	if n := opened.RestoreBalances(stored); n > 0 {
		slog.Info("contract_ledger_resumed", "resumed", n)
	}
	a.ledger = opened
	if l.recording != nil {
		l.recording.recorder.ReplaceLedger(l.now, opened, startedAt, stored)
	}
	l.routeLedger()
	return nil
}

// removeContracts ends accounting. It clears the open charges, which a later ledger must not
// settle.
func (l *eventLoop) removeContracts() {
	if l.accounting.ledger != nil && l.recording != nil {
		l.recording.recorder.ReplaceLedger(l.now, nil, 0, nil)
	}
	l.requests.EachOpenCharge(func(_ balancer.RequestID, _ int, c *contract.Charge) { *c = contract.Charge{} })
	l.accounting.close()
}

// admitByContract charges a request to its team's contract before the module gets it. A rejected
// request is answered at once.
func (l *eventLoop) admitByContract(r *inflight.Request) bool {
	answer, admitted := l.accounting.admit(l.now, r)
	if admitted {
		return true
	}
	r.Finished = true
	r.Actions <- answer
	l.requests.RemoveIfFinished(r)
	return false
}
