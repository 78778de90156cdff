package contract

// Notices of budgets that run out.

// Notice tells that a budget has come to a part of its limit.
type Notice struct {
	Team        string
	Period      Period
	Percent     int
	Used, Limit Units
}

var noticeAt = [...]int{50, 80, 100}

// notice looks whether an account's budgets have come to a further part; at most
// three a budget and period.
func (b *Book) notice(a *account) {
	for i := range a.t.Budgets {
		g := &a.t.Budgets[i]
		limit := g.Hard
		if limit == 0 {
			limit = g.Soft
		}
		p := &a.spans[g.Period]
		for limit > 0 && int(p.noticed) < len(noticeAt) && float64(p.used)*100 >= float64(limit)*float64(noticeAt[p.noticed]) {
			b.notices = append(b.notices, Notice{a.t.Team, g.Period, noticeAt[p.noticed], p.used, limit})
			p.noticed++
		}
	}
}

// Notices are those since the last call.
func (b *Book) Notices() []Notice {
	n := b.notices
	b.notices = nil
	return n
}
