package capture

import (
	"archknot/balancer"
	"archknot/internal/contract"
)

// ContractLedger is what the owner of a ledger of contracts calls: an UnrecordedLedger, or a Recorder before it.
// Requests are identified by the decision module's number for them, and hedges and retries by their attempt. Like
// Module it belongs to one goroutine.
type ContractLedger interface {
	// Charge returns the verdict of the contracts on a request, or on a further attempt of it, and fills in the charge.
	Charge(now balancer.Micros, in *balancer.Request, attempt int, c *contract.Charge) contract.Verdict
	// Settle settles a charge with what was used. It reports whether the charge was open.
	Settle(now balancer.Micros, id balancer.RequestID, attempt int, c *contract.Charge, used contract.Usage, served bool) bool
	// RecordShed notes a request that the fleet has shed.
	RecordShed(now balancer.Micros, in *balancer.Request, estimate contract.Usage, overQuota bool)
	// ApplyTerms puts settings and contracts in force. If the contracts are not valid, neither is.
	ApplyTerms(now balancer.Micros, s contract.Settings, terms []contract.Terms) error
	// SetQuotaShares changes this gateway's shares of the contracts.
	SetQuotaShares(now balancer.Micros, shares []float64)
	// Checkpoint returns the balances that the store must have, and the checkpoint's number.
	Checkpoint(now balancer.Micros) (uint64, []contract.Balance)
	// CheckpointDone reports whether a checkpoint was stored.
	CheckpointDone(now balancer.Micros, number uint64, stored bool)
}

// UnrecordedLedger is a ledger whose calls are not recorded.
type UnrecordedLedger struct{ Ledger *contract.Ledger }

// Charge estimates the request's usage and charges it.
func (u UnrecordedLedger) Charge(now balancer.Micros, in *balancer.Request, _ int, c *contract.Charge) contract.Verdict {
	estimate := u.Ledger.Estimate(in.Class, in.PromptTokens, in.MaxTokens)
	return u.Ledger.Charge(now, in.Tenant, in.Class, estimate, c)
}

// Settle settles a charge.
func (u UnrecordedLedger) Settle(now balancer.Micros, _ balancer.RequestID, _ int, c *contract.Charge, used contract.Usage, served bool) bool {
	return u.Ledger.Settle(now, c, used, served)
}

// RecordShed notes a request that the fleet has shed.
func (u UnrecordedLedger) RecordShed(now balancer.Micros, in *balancer.Request, estimate contract.Usage, overQuota bool) {
	u.Ledger.RecordShed(now, in.Tenant, in.Class, estimate, overQuota)
}

// ApplyTerms puts settings and contracts in force, or neither.
func (u UnrecordedLedger) ApplyTerms(now balancer.Micros, s contract.Settings, terms []contract.Terms) error {
	if err := contract.ValidateTerms(terms); err != nil {
		return err
	}
	u.Ledger.ApplySettings(s)
	return u.Ledger.ApplyTerms(now, terms)
}

// SetQuotaShares changes this gateway's shares of the contracts.
func (u UnrecordedLedger) SetQuotaShares(now balancer.Micros, shares []float64) {
	u.Ledger.SetQuotaShares(now, shares)
}

// Checkpoint returns the balances that the store must have.
func (u UnrecordedLedger) Checkpoint(balancer.Micros) (uint64, []contract.Balance) {
	return u.Ledger.Checkpoint()
}

// CheckpointDone reports whether a checkpoint was stored.
func (u UnrecordedLedger) CheckpointDone(_ balancer.Micros, number uint64, stored bool) {
	u.Ledger.CheckpointDone(number, stored)
}

// ChargeKey is the key of a charge in a ledger's snapshot.
func ChargeKey(id balancer.RequestID, attempt int) uint64 {
	return uint64(id)<<8 | uint64(attempt)&0xff
}
