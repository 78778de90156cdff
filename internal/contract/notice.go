package contract

// Notices of budgets that run out.

// BudgetNotice tells that a budget has come to a part of its limit.
type BudgetNotice struct {
	Team        string
	Period      Period
	Percent     int
	Used, Limit Units
}

var noticePercents = [...]int{50, 80, 100}

// recordNotices looks whether an account's budgets have come to a further part; at most
// three a budget and period.
func (b *Ledger) recordNotices(a *account) {
	for i := range a.terms.Budgets {
		g := &a.terms.Budgets[i]
		limit := g.Hard
		if limit == 0 {
			limit = g.Soft
		}
		p := &a.periods[g.Period]
		for limit > 0 && int(p.noticesSent) < len(noticePercents) && float64(p.used)*100 >= float64(limit)*float64(noticePercents[p.noticesSent]) {
			b.notices = append(b.notices, BudgetNotice{a.terms.Team, g.Period, noticePercents[p.noticesSent], p.used, limit})
			p.noticesSent++
		}
	}
}

// TakeNotices are those since the last call.
func (b *Ledger) TakeNotices() []BudgetNotice {
	n := b.notices
	b.notices = nil
	return n
}
