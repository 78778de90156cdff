package capture

import (
	"fmt"
	"slices"

	"archknot/choice"
	pb "archknot/internal/capture/capturepb"
	"archknot/internal/contract"
)

// Books is what the owner of a book of contracts calls: Plain, or a Recorder.
// Requests are known by the module's number of them, copies by the attempt's.
type Books interface {
	Charge(now choice.Micros, in *choice.Request, copy int, c *contract.Charge) contract.Verdict
	Settle(now choice.Micros, id choice.RequestID, copy int, c *contract.Charge, used contract.Usage, served bool) bool
	TurnedAway(now choice.Micros, in *choice.Request, u contract.Usage, over bool)
	Agree(now choice.Micros, s contract.Settings, terms []contract.Terms) error
	SetParts(now choice.Micros, parts []float64)
	Checkpoint(now choice.Micros) (uint64, []contract.Balance)
	Kept(now choice.Micros, number uint64, well bool)
}

// Plain is a book that nothing records.
type Plain struct{ Book *contract.Ledger }

// Charge has the book judge a request, or a further copy of it.
func (p Plain) Charge(now choice.Micros, in *choice.Request, copy int, c *contract.Charge) contract.Verdict {
	u := p.Book.Estimate(in.Class, in.PromptTokens, in.MaxTokens)
	return p.Book.Charge(now, in.Tenant, in.Class, u, c)
}

// Settle tells what it used.
func (p Plain) Settle(now choice.Micros, _ choice.RequestID, _ int, c *contract.Charge, used contract.Usage, served bool) bool {
	return p.Book.Settle(now, c, used, served)
}

// TurnedAway tells that the fleet turned it away.
func (p Plain) TurnedAway(now choice.Micros, in *choice.Request, u contract.Usage, over bool) {
	p.Book.RecordShed(now, in.Tenant, in.Class, u, over)
}

// Agree puts contracts and settings in force, or neither.
func (p Plain) Agree(now choice.Micros, s contract.Settings, terms []contract.Terms) error {
	if err := contract.ValidateTerms(terms); err != nil {
		return err
	}
	p.Book.ApplySettings(s)
	return p.Book.ApplyTerms(now, terms)
}

// SetParts changes the gateway's parts of them.
func (p Plain) SetParts(now choice.Micros, parts []float64) { p.Book.SetQuotaShares(now, parts) }

// Checkpoint is the balances that the store must have.
func (p Plain) Checkpoint(choice.Micros) (uint64, []contract.Balance) { return p.Book.Checkpoint() }

// Kept says how a checkpoint went.
func (p Plain) Kept(_ choice.Micros, number uint64, well bool) { p.Book.CheckpointDone(number, well) }

// ChargeKey is how a snapshot knows a charge.
func ChargeKey(id choice.RequestID, copy int) uint64 { return uint64(id)<<8 | uint64(copy)&0xff }

func (r *Recorder) setBook(b *contract.Ledger) {
	r.book, r.agreed = b, nil
	if b != nil {
		r.agreed = contract.MarshalAgreement(b.Settings(), b.Terms(), 0, false, nil)
	}
}

// putBook adds the book's state to a checkpoint.
func (r *Recorder) putBook(c *pb.Checkpoint) {
	if r.book == nil {
		return
	}
	var open []contract.OpenCharge
	if r.host.Charges != nil {
		open = r.host.Charges()
	}
	// The host may have let go already of the one that is being settled.
	if r.settling.Charge != nil && !slices.ContainsFunc(open, func(o contract.OpenCharge) bool { return o.Key == r.settling.Key }) {
		open = append(open, r.settling)
	}
	c.Agreed, c.Book = r.agreed, r.book.Snapshot(open)
}

// beginBook readies the record of a call of the book, nil if it is not recorded.
// Within a call of the module it is kept till that is recorded.
func (r *Recorder) beginBook(now choice.Micros, kind pb.Kind) (rec *pb.Record, nested bool) {
	if r.within {
		if r.recording {
			return &pb.Record{Kind: kind}, true
		}
		r.seq++
		if r.gap != nil {
			r.gap.events++
		}
		return nil, true
	}
	if !r.begin(now, kind) {
		return nil, false
	}
	return &r.rec, false
}

func (r *Recorder) endBook(rec *pb.Record, nested bool) {
	switch {
	case !nested:
		r.end(rec != nil)
	case rec != nil:
		r.nested = append(r.nested, rec)
	}
}

// Renew records that another book, made at a moment of Unix time with stored
// balances, takes the place of the one before; nil: there are no contracts from
// here on.
func (r *Recorder) Renew(now choice.Micros, b *contract.Ledger, unix choice.Micros, resumed []contract.Balance) {
	rec, nested := r.beginBook(now, pb.Kind_KIND_AGREED)
	if r.setBook(b); rec != nil && b != nil {
		rec.Agreed = contract.MarshalAgreement(b.Settings(), b.Terms(), unix, true, resumed)
	}
	r.endBook(rec, nested)
}

// Charge has the book judge a request, or a further copy of it.
func (r *Recorder) Charge(now choice.Micros, in *choice.Request, copy int, c *contract.Charge) contract.Verdict {
	rec, nested := r.beginBook(now, pb.Kind_KIND_CHARGED)
	v := Plain{r.book}.Charge(now, in, copy, c)
	if rec != nil {
		rec.Request = uint32(in.ID)
		rec.Charged = &pb.Charged{Copy: uint32(copy), Tenant: []byte(in.Tenant), Class: []byte(in.Class), PromptTokens: int64(in.PromptTokens),
			MaxTokens: int64(in.MaxTokens), Made: int64(c.Estimate.OutputTokens), Refuse: v.Rejected, Reason: v.Reason, RetryAfterUs: v.RetryAfter, Worth: v.PriorityWeight}
	}
	r.endBook(rec, nested)
	return v
}

// Settle tells what it used.
func (r *Recorder) Settle(now choice.Micros, id choice.RequestID, copy int, c *contract.Charge, used contract.Usage, served bool) bool {
	if !c.Open() {
		return false
	}
	r.settling = contract.OpenCharge{Key: ChargeKey(id, copy), Charge: c}
	rec, nested := r.beginBook(now, pb.Kind_KIND_SETTLED)
	r.settling = contract.OpenCharge{}
	news := r.book.Settle(now, c, used, served)
	if rec != nil {
		rec.Request = uint32(id)
		rec.Settled = &pb.Settled{Copy: uint32(copy), Read: int64(used.PromptTokens), Made: int64(used.OutputTokens), Served: served, News: news}
	}
	r.endBook(rec, nested)
	return news
}

// TurnedAway tells that the fleet turned it away.
func (r *Recorder) TurnedAway(now choice.Micros, in *choice.Request, u contract.Usage, over bool) {
	rec, nested := r.beginBook(now, pb.Kind_KIND_TURNED)
	if r.book.RecordShed(now, in.Tenant, in.Class, u, over); rec != nil {
		rec.Request = uint32(in.ID)
		rec.Turned = &pb.Turned{Tenant: []byte(in.Tenant), Class: []byte(in.Class), Read: int64(u.PromptTokens), Made: int64(u.OutputTokens), Over: over}
	}
	r.endBook(rec, nested)
}

// Agree puts contracts and settings in force, or neither.
func (r *Recorder) Agree(now choice.Micros, s contract.Settings, terms []contract.Terms) error {
	if err := contract.ValidateTerms(terms); err != nil {
		return err
	}
	rec, nested := r.beginBook(now, pb.Kind_KIND_AGREED)
	err := Plain{r.book}.Agree(now, s, terms)
	if r.setBook(r.book); rec != nil {
		rec.Agreed = r.agreed
	}
	r.endBook(rec, nested)
	return err
}

// SetParts changes the gateway's parts of the contracts.
func (r *Recorder) SetParts(now choice.Micros, parts []float64) {
	rec, nested := r.beginBook(now, pb.Kind_KIND_PARTS)
	if r.book.SetQuotaShares(now, parts); rec != nil {
		rec.Parts = parts
	}
	r.endBook(rec, nested)
}

// Checkpoint is the balances that the store must have.
func (r *Recorder) Checkpoint(now choice.Micros) (uint64, []contract.Balance) {
	rec, nested := r.beginBook(now, pb.Kind_KIND_KEPT)
	number, list := r.book.Checkpoint()
	if rec != nil {
		rec.Kept = &pb.Kept{Number: number}
	}
	r.endBook(rec, nested)
	return number, list
}

// Kept says how a checkpoint went.
func (r *Recorder) Kept(now choice.Micros, number uint64, well bool) {
	rec, nested := r.beginBook(now, pb.Kind_KIND_KEPT)
	if r.book.CheckpointDone(number, well); rec != nil {
		rec.Kept = &pb.Kept{Number: number, Stage: 2}
		if well {
			rec.Kept.Stage = 1
		}
	}
	r.endBook(rec, nested)
}

// Ledger is a book with its open charges, as a replay has them.
type Ledger struct {
	Book    *contract.Ledger // nil: no contracts
	Charges map[uint64]*contract.Charge
}

// RestoreLedger is the ledger of a checkpoint.
func RestoreLedger(c *pb.Checkpoint) (*Ledger, error) {
	if len(c.Agreed) == 0 {
		return &Ledger{}, nil
	}
	a, err := contract.UnmarshalAgreement(c.Agreed)
	if err != nil {
		return nil, err
	}
	l := &Ledger{}
	l.Book, l.Charges, err = contract.Restore(a, c.Book)
	return l, err
}

// Snapshot is the book's state as a checkpoint has it; nil without contracts.
func (l *Ledger) Snapshot() []byte {
	if l.Book == nil {
		return nil
	}
	open := make([]contract.OpenCharge, 0, len(l.Charges))
	for key, c := range l.Charges {
		open = append(open, contract.OpenCharge{Key: key, Charge: c})
	}
	return l.Book.Snapshot(open)
}

// OfBook tells whether a record is the contracts' and not the module's.
func OfBook(k pb.Kind) bool { return k >= pb.Kind_KIND_AGREED && k <= pb.Kind_KIND_TURNED }

// Apply has the ledger do again what a record says, and tells in words what it
// did and what the record has; they are the same unless the build decides otherwise.
func (l *Ledger) Apply(now choice.Micros, r *pb.Record) (own, recorded string, err error) {
	id := choice.RequestID(r.Request)
	switch r.Kind {
	case pb.Kind_KIND_AGREED:
		return "", "", l.agree(now, r.Agreed)
	case pb.Kind_KIND_CHARGED:
		q := r.Charged
		in := choice.Request{ID: id, Tenant: string(q.GetTenant()), Class: string(q.GetClass()), PromptTokens: int(q.GetPromptTokens()), MaxTokens: int(q.GetMaxTokens())}
		want := contract.Verdict{Rejected: q.GetRefuse(), Reason: q.GetReason(), RetryAfter: q.GetRetryAfterUs(), PriorityWeight: q.GetWorth()}
		if l.Book == nil {
			return "no contracts", verdictText(want, q.GetMade()), nil
		}
		c := &contract.Charge{}
		v := Plain{l.Book}.Charge(now, &in, int(q.GetCopy()), c)
		if c.Open() {
			l.Charges[ChargeKey(id, int(q.GetCopy()))] = c
		}
		l.Book.TakeNotices()
		return verdictText(v, int64(c.Estimate.OutputTokens)), verdictText(want, q.GetMade()), nil
	case pb.Kind_KIND_SETTLED:
		e := r.Settled
		key := ChargeKey(id, int(e.GetCopy()))
		c := l.Charges[key]
		news := l.Book != nil && c != nil && l.Book.Settle(now, c, contract.Usage{PromptTokens: int(e.GetRead()), OutputTokens: int(e.GetMade())}, e.GetServed())
		delete(l.Charges, key)
		return fmt.Sprintf("settled=%v", news), fmt.Sprintf("settled=%v", e.GetNews()), nil
	case pb.Kind_KIND_TURNED:
		if t := r.Turned; l.Book != nil {
			l.Book.RecordShed(now, string(t.GetTenant()), string(t.GetClass()), contract.Usage{PromptTokens: int(t.GetRead()), OutputTokens: int(t.GetMade())}, t.GetOver())
		}
	case pb.Kind_KIND_PARTS:
		if l.Book != nil {
			l.Book.SetQuotaShares(now, r.Parts)
		}
	case pb.Kind_KIND_KEPT:
		if l.Book == nil {
			return "", "", nil
		}
		if r.Kept.GetStage() == 0 {
			number, _ := l.Book.Checkpoint()
			return fmt.Sprint("checkpoint ", number), fmt.Sprint("checkpoint ", r.Kept.GetNumber()), nil
		}
		l.Book.CheckpointDone(r.Kept.GetNumber(), r.Kept.GetStage() == 1)
	}
	return "", "", nil
}

func (l *Ledger) agree(now choice.Micros, text []byte) error {
	if len(text) == 0 {
		*l = Ledger{}
		return nil
	}
	a, err := contract.UnmarshalAgreement(text)
	if err != nil {
		return err
	}
	if l.Charges == nil {
		l.Charges = map[uint64]*contract.Charge{}
	}
	if !a.NewLedger && l.Book != nil {
		return Plain{l.Book}.Agree(now, a.Settings, a.Terms)
	}
	if l.Book, err = contract.NewLedger(a.Settings, a.Terms, now, a.Unix); err != nil {
		return err
	}
	l.Book.RestoreBalances(a.Balances)
	return nil
}

func verdictText(v contract.Verdict, made int64) string {
	if v.Rejected {
		return fmt.Sprintf("refuse reason=%s retry_after_us=%d", v.Reason, v.RetryAfter)
	}
	return fmt.Sprintf("take worth=%v made=%d", v.PriorityWeight, made)
}
