package capture

import (
	"fmt"
	"slices"

	"archknot/balancer"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
)

// ContractLedger is what the owner of a book of contracts calls: Plain, or a Recorder.
// Requests are known by the module's number of them, copies by the attempt's.
type ContractLedger interface {
	Charge(now balancer.Micros, in *balancer.Request, copy int, c *contract.Charge) contract.Verdict
	Settle(now balancer.Micros, id balancer.RequestID, copy int, c *contract.Charge, used contract.Usage, served bool) bool
	RecordShed(now balancer.Micros, in *balancer.Request, u contract.Usage, over bool)
	ApplyTerms(now balancer.Micros, s contract.Settings, terms []contract.Terms) error
	SetQuotaShares(now balancer.Micros, parts []float64)
	Checkpoint(now balancer.Micros) (uint64, []contract.Balance)
	CheckpointDone(now balancer.Micros, number uint64, well bool)
}

// UnrecordedLedger is a book that nothing records.
type UnrecordedLedger struct{ Ledger *contract.Ledger }

// Charge has the book judge a request, or a further copy of it.
func (p UnrecordedLedger) Charge(now balancer.Micros, in *balancer.Request, copy int, c *contract.Charge) contract.Verdict {
	u := p.Ledger.Estimate(in.Class, in.PromptTokens, in.MaxTokens)
	return p.Ledger.Charge(now, in.Tenant, in.Class, u, c)
}

// Settle tells what it used.
func (p UnrecordedLedger) Settle(now balancer.Micros, _ balancer.RequestID, _ int, c *contract.Charge, used contract.Usage, served bool) bool {
	return p.Ledger.Settle(now, c, used, served)
}

// RecordShed tells that the fleet turned it away.
func (p UnrecordedLedger) RecordShed(now balancer.Micros, in *balancer.Request, u contract.Usage, over bool) {
	p.Ledger.RecordShed(now, in.Tenant, in.Class, u, over)
}

// ApplyTerms puts contracts and settings in force, or neither.
func (p UnrecordedLedger) ApplyTerms(now balancer.Micros, s contract.Settings, terms []contract.Terms) error {
	if err := contract.ValidateTerms(terms); err != nil {
		return err
	}
	p.Ledger.ApplySettings(s)
	return p.Ledger.ApplyTerms(now, terms)
}

// SetQuotaShares changes the gateway's parts of them.
func (p UnrecordedLedger) SetQuotaShares(now balancer.Micros, parts []float64) {
	p.Ledger.SetQuotaShares(now, parts)
}

// Checkpoint is the balances that the store must have.
func (p UnrecordedLedger) Checkpoint(balancer.Micros) (uint64, []contract.Balance) {
	return p.Ledger.Checkpoint()
}

// CheckpointDone says how a checkpoint went.
func (p UnrecordedLedger) CheckpointDone(_ balancer.Micros, number uint64, well bool) {
	p.Ledger.CheckpointDone(number, well)
}

// ChargeKey is how a snapshot knows a charge.
func ChargeKey(id balancer.RequestID, copy int) uint64 { return uint64(id)<<8 | uint64(copy)&0xff }

func (r *Recorder) setLedger(b *contract.Ledger) {
	r.ledger, r.agreement = b, nil
	if b != nil {
		r.agreement = contract.MarshalAgreement(b.Settings(), b.Terms(), 0, false, nil)
	}
}

// addLedgerState adds the book's state to a checkpoint.
func (r *Recorder) addLedgerState(c *pb.Checkpoint) {
	if r.ledger == nil {
		return
	}
	var open []contract.OpenCharge
	if r.host.OpenCharges != nil {
		open = r.host.OpenCharges()
	}
	// The host may have let go already of the one that is being settled.
	if r.settlingCharge.Charge != nil && !slices.ContainsFunc(open, func(o contract.OpenCharge) bool { return o.Key == r.settlingCharge.Key }) {
		open = append(open, r.settlingCharge)
	}
	c.Agreed, c.Book = r.agreement, r.ledger.Snapshot(open)
}

// beginLedgerRecord readies the record of a call of the book, nil if it is not recorded.
// Within a call of the module it is kept till that is recorded.
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

func (r *Recorder) endLedgerRecord(rec *pb.Record, nested bool) {
	switch {
	case !nested:
		r.endRecord(rec != nil)
	case rec != nil:
		r.nestedRecords = append(r.nestedRecords, rec)
	}
}

// ReplaceLedger records that another book, made at a moment of Unix time with stored
// balances, takes the place of the one before; nil: there are no contracts from
// here on.
func (r *Recorder) ReplaceLedger(now balancer.Micros, b *contract.Ledger, unix balancer.Micros, resumed []contract.Balance) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_AGREED)
	if r.setLedger(b); rec != nil && b != nil {
		rec.Agreed = contract.MarshalAgreement(b.Settings(), b.Terms(), unix, true, resumed)
	}
	r.endLedgerRecord(rec, nested)
}

// Charge has the book judge a request, or a further copy of it.
func (r *Recorder) Charge(now balancer.Micros, in *balancer.Request, copy int, c *contract.Charge) contract.Verdict {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_CHARGED)
	v := UnrecordedLedger{r.ledger}.Charge(now, in, copy, c)
	if rec != nil {
		rec.Request = uint32(in.ID)
		rec.Charged = &pb.Charged{Copy: uint32(copy), Tenant: []byte(in.Tenant), Class: []byte(in.Class), PromptTokens: int64(in.PromptTokens),
			MaxTokens: int64(in.MaxTokens), Made: int64(c.Estimate.OutputTokens), Refuse: v.Rejected, Reason: v.Reason, RetryAfterUs: v.RetryAfter, Worth: v.PriorityWeight}
	}
	r.endLedgerRecord(rec, nested)
	return v
}

// Settle tells what it used.
func (r *Recorder) Settle(now balancer.Micros, id balancer.RequestID, copy int, c *contract.Charge, used contract.Usage, served bool) bool {
	if !c.Open() {
		return false
	}
	r.settlingCharge = contract.OpenCharge{Key: ChargeKey(id, copy), Charge: c}
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_SETTLED)
	r.settlingCharge = contract.OpenCharge{}
	news := r.ledger.Settle(now, c, used, served)
	if rec != nil {
		rec.Request = uint32(id)
		rec.Settled = &pb.Settled{Copy: uint32(copy), Read: int64(used.PromptTokens), Made: int64(used.OutputTokens), Served: served, News: news}
	}
	r.endLedgerRecord(rec, nested)
	return news
}

// RecordShed tells that the fleet turned it away.
func (r *Recorder) RecordShed(now balancer.Micros, in *balancer.Request, u contract.Usage, over bool) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_TURNED)
	if r.ledger.RecordShed(now, in.Tenant, in.Class, u, over); rec != nil {
		rec.Request = uint32(in.ID)
		rec.Turned = &pb.Turned{Tenant: []byte(in.Tenant), Class: []byte(in.Class), Read: int64(u.PromptTokens), Made: int64(u.OutputTokens), Over: over}
	}
	r.endLedgerRecord(rec, nested)
}

// ApplyTerms puts contracts and settings in force, or neither.
func (r *Recorder) ApplyTerms(now balancer.Micros, s contract.Settings, terms []contract.Terms) error {
	if err := contract.ValidateTerms(terms); err != nil {
		return err
	}
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_AGREED)
	err := UnrecordedLedger{r.ledger}.ApplyTerms(now, s, terms)
	if r.setLedger(r.ledger); rec != nil {
		rec.Agreed = r.agreement
	}
	r.endLedgerRecord(rec, nested)
	return err
}

// SetQuotaShares changes the gateway's parts of the contracts.
func (r *Recorder) SetQuotaShares(now balancer.Micros, parts []float64) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_PARTS)
	if r.ledger.SetQuotaShares(now, parts); rec != nil {
		rec.Parts = parts
	}
	r.endLedgerRecord(rec, nested)
}

// Checkpoint is the balances that the store must have.
func (r *Recorder) Checkpoint(now balancer.Micros) (uint64, []contract.Balance) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_KEPT)
	number, list := r.ledger.Checkpoint()
	if rec != nil {
		rec.Kept = &pb.Kept{Number: number}
	}
	r.endLedgerRecord(rec, nested)
	return number, list
}

// CheckpointDone says how a checkpoint went.
func (r *Recorder) CheckpointDone(now balancer.Micros, number uint64, well bool) {
	rec, nested := r.beginLedgerRecord(now, pb.Kind_KIND_KEPT)
	if r.ledger.CheckpointDone(number, well); rec != nil {
		rec.Kept = &pb.Kept{Number: number, Stage: 2}
		if well {
			rec.Kept.Stage = 1
		}
	}
	r.endLedgerRecord(rec, nested)
}

// ReplayLedger is a book with its open charges, as a replay has them.
type ReplayLedger struct {
	Ledger      *contract.Ledger // nil: no contracts
	OpenCharges map[uint64]*contract.Charge
}

// RestoreReplayLedger is the ledger of a checkpoint.
func RestoreReplayLedger(c *pb.Checkpoint) (*ReplayLedger, error) {
	if len(c.Agreed) == 0 {
		return &ReplayLedger{}, nil
	}
	a, err := contract.UnmarshalAgreement(c.Agreed)
	if err != nil {
		return nil, err
	}
	l := &ReplayLedger{}
	l.Ledger, l.OpenCharges, err = contract.Restore(a, c.Book)
	return l, err
}

// Snapshot is the book's state as a checkpoint has it; nil without contracts.
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

// IsLedgerRecord tells whether a record is the contracts' and not the module's.
func IsLedgerRecord(k pb.Kind) bool { return k >= pb.Kind_KIND_AGREED && k <= pb.Kind_KIND_TURNED }

// Apply has the ledger do again what a record says, and tells in words what it
// did and what the record has; they are the same unless the build decides otherwise.
func (l *ReplayLedger) Apply(now balancer.Micros, r *pb.Record) (own, recorded string, err error) {
	id := balancer.RequestID(r.Request)
	switch r.Kind {
	case pb.Kind_KIND_AGREED:
		return "", "", l.applyAgreement(now, r.Agreed)
	case pb.Kind_KIND_CHARGED:
		q := r.Charged
		in := balancer.Request{ID: id, Tenant: string(q.GetTenant()), Class: string(q.GetClass()), PromptTokens: int(q.GetPromptTokens()), MaxTokens: int(q.GetMaxTokens())}
		want := contract.Verdict{Rejected: q.GetRefuse(), Reason: q.GetReason(), RetryAfter: q.GetRetryAfterUs(), PriorityWeight: q.GetWorth()}
		if l.Ledger == nil {
			return "no contracts", describeVerdict(want, q.GetMade()), nil
		}
		c := &contract.Charge{}
		v := UnrecordedLedger{l.Ledger}.Charge(now, &in, int(q.GetCopy()), c)
		if c.Open() {
			l.OpenCharges[ChargeKey(id, int(q.GetCopy()))] = c
		}
		l.Ledger.TakeNotices()
		return describeVerdict(v, int64(c.Estimate.OutputTokens)), describeVerdict(want, q.GetMade()), nil
	case pb.Kind_KIND_SETTLED:
		e := r.Settled
		key := ChargeKey(id, int(e.GetCopy()))
		c := l.OpenCharges[key]
		news := l.Ledger != nil && c != nil && l.Ledger.Settle(now, c, contract.Usage{PromptTokens: int(e.GetRead()), OutputTokens: int(e.GetMade())}, e.GetServed())
		delete(l.OpenCharges, key)
		return fmt.Sprintf("settled=%v", news), fmt.Sprintf("settled=%v", e.GetNews()), nil
	case pb.Kind_KIND_TURNED:
		if t := r.Turned; l.Ledger != nil {
			l.Ledger.RecordShed(now, string(t.GetTenant()), string(t.GetClass()), contract.Usage{PromptTokens: int(t.GetRead()), OutputTokens: int(t.GetMade())}, t.GetOver())
		}
	case pb.Kind_KIND_PARTS:
		if l.Ledger != nil {
			l.Ledger.SetQuotaShares(now, r.Parts)
		}
	case pb.Kind_KIND_KEPT:
		if l.Ledger == nil {
			return "", "", nil
		}
		if r.Kept.GetStage() == 0 {
			number, _ := l.Ledger.Checkpoint()
			return fmt.Sprint("checkpoint ", number), fmt.Sprint("checkpoint ", r.Kept.GetNumber()), nil
		}
		l.Ledger.CheckpointDone(r.Kept.GetNumber(), r.Kept.GetStage() == 1)
	}
	return "", "", nil
}

func (l *ReplayLedger) applyAgreement(now balancer.Micros, text []byte) error {
	if len(text) == 0 {
		*l = ReplayLedger{}
		return nil
	}
	a, err := contract.UnmarshalAgreement(text)
	if err != nil {
		return err
	}
	if l.OpenCharges == nil {
		l.OpenCharges = map[uint64]*contract.Charge{}
	}
	if !a.NewLedger && l.Ledger != nil {
		return UnrecordedLedger{l.Ledger}.ApplyTerms(now, a.Settings, a.Terms)
	}
	if l.Ledger, err = contract.NewLedger(a.Settings, a.Terms, now, a.Unix); err != nil {
		return err
	}
	l.Ledger.RestoreBalances(a.Balances)
	return nil
}

func describeVerdict(v contract.Verdict, made int64) string {
	if v.Rejected {
		return fmt.Sprintf("refuse reason=%s retry_after_us=%d", v.Reason, v.RetryAfter)
	}
	return fmt.Sprintf("take worth=%v made=%d", v.PriorityWeight, made)
}
