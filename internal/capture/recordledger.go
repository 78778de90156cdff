package capture

import (
	"slices"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
)

// Stages of a checkpoint of balances, as stored in Kept records.
const (
	stageHandedOver = 0
	stageStored     = 1
	stageFailed     = 2
)

// setLedger sets the ledger that is recorded; nil: there are no contracts.
func (r *Recorder) setLedger(l *contract.Ledger) {
	r.ledger, r.agreement = l, nil
	if l != nil {
		r.agreement = contract.MarshalAppliedContracts(l.Settings(), l.Terms(), 0, false, nil)
	}
}

// addLedgerState adds the contracts and the ledger's state to a checkpoint.
func (r *Recorder) addLedgerState(c *pb.Checkpoint) {
	if r.ledger == nil {
		return
	}
	var open []contract.OpenCharge
	if r.host.OpenCharges != nil {
		open = r.host.OpenCharges()
	}
	// The host may already have removed the charge that is being settled from its open charges.
	settling := r.settlingCharge
	listed := func(o contract.OpenCharge) bool { return o.Key == settling.Key }
	if settling.Charge != nil && !slices.ContainsFunc(open, listed) {
		open = append(open, settling)
	}
	c.Agreed, c.Book = r.agreement, r.ledger.Snapshot(open)
}

// beginLedgerRecord returns the record of a call of the ledger for the caller to fill in; nil if the call is not
// recorded. The record of a call during a call of the module is nested: it is written after the module's record.
func (r *Recorder) beginLedgerRecord(now balancer.Micros, kind pb.Kind) (rec *pb.Record, nested bool) {
	if r.inCall {
		if r.recording {
			return &pb.Record{Kind: kind}, true
		}
		r.lastEvent++
		if r.gap != nil {
			r.gap.events++
		}
		return nil, true
	}
	if !r.beginRecord(now, kind) {
		return nil, false
	}
	return &r.current, false
}

// endLedgerRecord ends a call of the ledger. It takes the results of beginLedgerRecord.
func (r *Recorder) endLedgerRecord(rec *pb.Record, nested bool) {
	switch {
	case !nested:
		r.endRecord(rec != nil)
	case rec != nil:
		r.nestedRecords = append(r.nestedRecords, rec)
	}
}

// ReplaceLedger replaces the ledger and records the new one with the stored balances that it was created with. unix is
// the Unix time of its creation in microseconds. A nil ledger means that there are no contracts from now on.
func (r *Recorder) ReplaceLedger(now balancer.Micros, l *contract.Ledger, unix balancer.Micros, balances []contract.Balance) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_AGREED)
	r.setLedger(l)
	if rec != nil && l != nil {
		rec.Agreed = contract.MarshalAppliedContracts(l.Settings(), l.Terms(), unix, true, balances)
	}
	r.endLedgerRecord(rec, nested)
}

// Charge charges a request, or a further attempt of it, and records and returns the verdict of the contracts.
func (r *Recorder) Charge(now balancer.Micros, in *balancer.Request, attempt int, c *contract.Charge) contract.Verdict {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_CHARGED)
	v := UnrecordedLedger{r.ledger}.Charge(now, in, attempt, c)
	if rec != nil {
		rec.Request = uint32(in.ID)
		rec.Charged = &pb.Charged{
			Copy:         uint32(attempt),
			Tenant:       []byte(in.Tenant),
			Class:        []byte(in.Class),
			PromptTokens: int64(in.PromptTokens),
			MaxTokens:    int64(in.MaxTokens),
			Made:         int64(c.Estimate.OutputTokens),
			Refuse:       v.Rejected,
			Reason:       v.Reason,
			RetryAfterUs: v.RetryAfter,
			Worth:        v.PriorityWeight,
		}
	}
	r.endLedgerRecord(rec, nested)
	return v
}

// Settle replaces the estimate of a charge by the actual usage, and records it. It reports whether the charge was open;
// the call is not recorded if it was not.
func (r *Recorder) Settle(now balancer.Micros, id balancer.RequestID, attempt int, c *contract.Charge, used contract.Usage, served bool) bool {
	if !c.Open() {
		return false
	}
	// beginLedgerRecord may write a checkpoint, which must contain the charge since it is not settled yet.
	r.settlingCharge = contract.OpenCharge{Key: ChargeKey(id, attempt), Charge: c}
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_SETTLED)
	r.settlingCharge = contract.OpenCharge{}
	settled := r.ledger.Settle(now, c, used, served)
	if rec != nil {
		rec.Request = uint32(id)
		rec.Settled = &pb.Settled{
			Copy:   uint32(attempt),
			Read:   int64(used.PromptTokens),
			Made:   int64(used.OutputTokens),
			Served: served,
			News:   settled,
		}
	}
	r.endLedgerRecord(rec, nested)
	return settled
}

// RecordShed accounts for a request that the fleet, and not a contract, has shed, and records it.
func (r *Recorder) RecordShed(now balancer.Micros, in *balancer.Request, estimate contract.Usage, overQuota bool) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_TURNED)
	r.ledger.RecordShed(now, in.Tenant, in.Class, estimate, overQuota)
	if rec != nil {
		rec.Request = uint32(in.ID)
		rec.Turned = &pb.Turned{
			Tenant: []byte(in.Tenant),
			Class:  []byte(in.Class),
			Read:   int64(estimate.PromptTokens),
			Made:   int64(estimate.OutputTokens),
			Over:   overQuota,
		}
	}
	r.endLedgerRecord(rec, nested)
}

// ApplyTerms replaces the settings and the contracts, and records the change. If the contracts are invalid, it changes
// and records nothing.
func (r *Recorder) ApplyTerms(now balancer.Micros, s contract.Settings, terms []contract.Terms) error {
	if err := contract.ValidateTerms(terms); err != nil {
		return err
	}
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_AGREED)
	err := UnrecordedLedger{r.ledger}.ApplyTerms(now, s, terms)
	r.setLedger(r.ledger)
	if rec != nil {
		rec.Agreed = r.agreement
	}
	r.endLedgerRecord(rec, nested)
	return err
}

// SetQuotaShares sets this gateway's share of the quota of each contract, and records the shares.
func (r *Recorder) SetQuotaShares(now balancer.Micros, shares []float64) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_PARTS)
	r.ledger.SetQuotaShares(now, shares)
	if rec != nil {
		rec.Parts = shares
	}
	r.endLedgerRecord(rec, nested)
}

// Checkpoint returns the balances that are due to be stored, and records the checkpoint's number, which it returns too.
func (r *Recorder) Checkpoint(now balancer.Micros) (uint64, []contract.Balance) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_KEPT)
	number, balances := r.ledger.Checkpoint()
	if rec != nil {
		rec.Kept = &pb.Kept{Number: number, Stage: stageHandedOver}
	}
	r.endLedgerRecord(rec, nested)
	return number, balances
}

// CheckpointDone ends a checkpoint of balances, and records whether it was stored.
func (r *Recorder) CheckpointDone(now balancer.Micros, number uint64, stored bool) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_KEPT)
	r.ledger.CheckpointDone(number, stored)
	if rec != nil {
		rec.Kept = &pb.Kept{Number: number, Stage: stageFailed}
		if stored {
			rec.Kept.Stage = stageStored
		}
	}
	r.endLedgerRecord(rec, nested)
}
