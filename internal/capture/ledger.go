package capture

import (
	"archknot/balancer"
	"archknot/internal/contract"
)

// ContractLedger is the interface of a ledger of contracts to its owner: an UnrecordedLedger, or a Recorder that wraps
// the ledger. A charge is identified by the decision module's id of the request and by the number of the attempt, since
// hedges and retries have charges of their own. Like a Module it must be used by one goroutine only.
type ContractLedger interface {
	// Charge decides by the contracts on a request, or on a further attempt of it, and fills in the charge.
	Charge(now balancer.Micros, in *balancer.Request, attempt int, c *contract.Charge) contract.Verdict
	// Settle replaces the estimate of a charge by the actual usage. It reports whether the charge was open.
	Settle(now balancer.Micros, id balancer.RequestID, attempt int, c *contract.Charge, used contract.Usage, served bool) bool
	// RecordShed accounts for a request that the fleet, and not a contract, has shed.
	RecordShed(now balancer.Micros, in *balancer.Request, estimate contract.Usage, overQuota bool)
	// ApplyTerms replaces the settings and the contracts. If the contracts are invalid, it changes neither.
	ApplyTerms(now balancer.Micros, s contract.Settings, terms []contract.Terms) error
	// SetQuotaShares sets this gateway's share of the quota of each contract, in the order of the contracts.
	SetQuotaShares(now balancer.Micros, shares []float64)
	// Checkpoint returns the balances that are due to be stored, and the number of this checkpoint of balances.
	Checkpoint(now balancer.Micros) (uint64, []contract.Balance)
	// CheckpointDone ends a checkpoint of balances. If it was not stored, its balances become due again.
	CheckpointDone(now balancer.Micros, number uint64, stored bool)
}

// UnrecordedLedger implements ContractLedger without recording the calls.
type UnrecordedLedger struct{ Ledger *contract.Ledger }

// Charge estimates the request's usage and charges it.
func (u UnrecordedLedger) Charge(now balancer.Micros, in *balancer.Request, _ int, c *contract.Charge) contract.Verdict {
	estimate := u.Ledger.Estimate(in.Class, in.PromptTokens, in.MaxTokens)
	return u.Ledger.Charge(now, in.Tenant, in.Class, estimate, c)
}

// Settle replaces the estimate of a charge by the actual usage.
func (u UnrecordedLedger) Settle(now balancer.Micros, _ balancer.RequestID, _ int, c *contract.Charge, used contract.Usage, served bool) bool {
	return u.Ledger.Settle(now, c, used, served)
}

// RecordShed accounts for a request that the fleet, and not a contract, has shed.
func (u UnrecordedLedger) RecordShed(now balancer.Micros, in *balancer.Request, estimate contract.Usage, overQuota bool) {
	u.Ledger.RecordShed(now, in.Tenant, in.Class, estimate, overQuota)
}

// ApplyTerms replaces the settings and the contracts, or neither if the contracts are invalid.
func (u UnrecordedLedger) ApplyTerms(now balancer.Micros, s contract.Settings, terms []contract.Terms) error {
	if err := contract.ValidateTerms(terms); err != nil {
		return err
	}
	u.Ledger.ApplySettings(s)
	return u.Ledger.ApplyTerms(now, terms)
}

// SetQuotaShares sets this gateway's share of the quota of each contract.
func (u UnrecordedLedger) SetQuotaShares(now balancer.Micros, shares []float64) {
	u.Ledger.SetQuotaShares(now, shares)
}

// Checkpoint returns the balances that are due to be stored, and the checkpoint's number.
func (u UnrecordedLedger) Checkpoint(balancer.Micros) (uint64, []contract.Balance) {
	return u.Ledger.Checkpoint()
}

// CheckpointDone ends a checkpoint of balances. If it was not stored, its balances become due again.
func (u UnrecordedLedger) CheckpointDone(_ balancer.Micros, number uint64, stored bool) {
	u.Ledger.CheckpointDone(number, stored)
}

// ChargeKey returns the key of a charge in a ledger's snapshot. It uses the low 8 bits of the attempt's number.
func ChargeKey(id balancer.RequestID, attempt int) uint64 {
	return uint64(id)<<8 | uint64(attempt)&0xff
}
