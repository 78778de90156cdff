package capture

import (
	"fmt"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
)

// ReplayLedger repeats the recorded calls of a ledger during a replay. The zero value has no contracts.
type ReplayLedger struct {
	Ledger      *contract.Ledger            // nil: no contracts
	OpenCharges map[uint64]*contract.Charge // by ChargeKey
}

// RestoreReplayLedger returns the ledger with the state of a checkpoint. Without contracts in the checkpoint, it is
// empty.
func RestoreReplayLedger(c *pb.Checkpoint) (*ReplayLedger, error) {
	if len(c.Agreed) == 0 {
		return &ReplayLedger{}, nil
	}
	agreement, err := contract.UnmarshalAppliedContracts(c.Agreed)
	if err != nil {
		return nil, err
	}
	l := &ReplayLedger{}
	l.Ledger, l.OpenCharges, err = contract.Restore(agreement, c.Book)
	return l, err
}

// Snapshot returns the ledger's state as checkpoints store it; nil without contracts.
func (l *ReplayLedger) Snapshot() []byte {
	if l.Ledger == nil {
		return nil
	}
	open := make([]contract.OpenCharge, 0, len(l.OpenCharges))
	for key, c := range l.OpenCharges {
		open = append(open, contract.OpenCharge{Key: key, Charge: c})
	}
	return l.Ledger.Snapshot(open)
}

// IsLedgerRecord reports whether records of a kind are calls of the ledger.
func IsLedgerRecord(k pb.Kind) bool { return k >= pb.Kind_KIND_AGREED && k <= pb.Kind_KIND_TURNED }

// Apply repeats a recorded call of the ledger. It returns descriptions of this build's decision and of the recorded one,
// which differ only if the decisions do. They are empty for calls without a decision.
func (l *ReplayLedger) Apply(now balancer.Micros, r *pb.Record) (own, recorded string, err error) {
	id := balancer.RequestID(r.Request)
	switch r.Kind {
	case pb.Kind_KIND_AGREED:
		return "", "", l.applyAgreement(now, r.Agreed)
	case pb.Kind_KIND_CHARGED:
		own, recorded = l.charge(now, id, r.Charged)
		return own, recorded, nil
	case pb.Kind_KIND_SETTLED:
		own, recorded = l.settle(now, id, r.Settled)
		return own, recorded, nil
	}
	if l.Ledger == nil {
		return "", "", nil
	}
	switch r.Kind {
	case pb.Kind_KIND_TURNED:
		t := r.Turned
		estimate := contract.Usage{PromptTokens: int(t.GetRead()), OutputTokens: int(t.GetMade())}
		l.Ledger.RecordShed(now, string(t.GetTenant()), string(t.GetClass()), estimate, t.GetOver())
	case pb.Kind_KIND_PARTS:
		l.Ledger.SetQuotaShares(now, r.Parts)
	case pb.Kind_KIND_KEPT:
		if r.Kept.GetStage() == stageHandedOver {
			number, _ := l.Ledger.Checkpoint()
			return fmt.Sprint("checkpoint ", number), fmt.Sprint("checkpoint ", r.Kept.GetNumber()), nil
		}
		l.Ledger.CheckpointDone(r.Kept.GetNumber(), r.Kept.GetStage() == stageStored)
	}
	return "", "", nil
}

// charge repeats a charge, and adds it to OpenCharges if it is open.
func (l *ReplayLedger) charge(now balancer.Micros, id balancer.RequestID, r *pb.Charged) (own, recorded string) {
	in := balancer.Request{
		ID:           id,
		Tenant:       string(r.GetTenant()),
		Class:        string(r.GetClass()),
		PromptTokens: int(r.GetPromptTokens()),
		MaxTokens:    int(r.GetMaxTokens()),
	}
	recorded = describeVerdict(contract.Verdict{
		Rejected:       r.GetRefuse(),
		Reason:         r.GetReason(),
		RetryAfter:     r.GetRetryAfterUs(),
		PriorityWeight: r.GetWorth(),
	}, r.GetMade())
	if l.Ledger == nil {
		return "no contracts", recorded
	}
	attempt := int(r.GetCopy())
	c := &contract.Charge{}
	v := UnrecordedLedger{l.Ledger}.Charge(now, &in, attempt, c)
	if c.Open() {
		l.OpenCharges[ChargeKey(id, attempt)] = c
	}
	l.Ledger.TakeNotices()
	return describeVerdict(v, int64(c.Estimate.OutputTokens)), recorded
}

// settle repeats the settlement of a charge.
func (l *ReplayLedger) settle(now balancer.Micros, id balancer.RequestID, r *pb.Settled) (own, recorded string) {
	key := ChargeKey(id, int(r.GetCopy()))
	c := l.OpenCharges[key]
	used := contract.Usage{PromptTokens: int(r.GetRead()), OutputTokens: int(r.GetMade())}
	settled := l.Ledger != nil && c != nil && l.Ledger.Settle(now, c, used, r.GetServed())
	delete(l.OpenCharges, key)
	return fmt.Sprintf("settled=%v", settled), fmt.Sprintf("settled=%v", r.GetNews())
}

// applyAgreement repeats a change of the contracts, or the replacement or removal of the ledger.
func (l *ReplayLedger) applyAgreement(now balancer.Micros, text []byte) error {
	if len(text) == 0 {
		*l = ReplayLedger{}
		return nil
	}
	agreement, err := contract.UnmarshalAppliedContracts(text)
	if err != nil {
		return err
	}
	if l.OpenCharges == nil {
		l.OpenCharges = map[uint64]*contract.Charge{}
	}
	if !agreement.NewLedger && l.Ledger != nil {
		return UnrecordedLedger{l.Ledger}.ApplyTerms(now, agreement.Settings, agreement.Terms)
	}
	if l.Ledger, err = contract.NewLedger(agreement.Settings, agreement.Terms, now, agreement.Unix); err != nil {
		return err
	}
	l.Ledger.RestoreBalances(agreement.Balances)
	return nil
}

// describeVerdict returns a verdict and the estimated output tokens as text, for comparison and for display.
func describeVerdict(v contract.Verdict, outputTokens int64) string {
	if v.Rejected {
		return fmt.Sprintf("refuse reason=%s retry_after_us=%d", v.Reason, v.RetryAfter)
	}
	return fmt.Sprintf("take worth=%v made=%d", v.PriorityWeight, outputTokens)
}
