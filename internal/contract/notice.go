package contract

// BudgetNotice reports that the usage of a budget has reached a percentage of its limit,
// which is the hard limit, or the soft limit if there is no hard one.
type BudgetNotice struct {
	Team        string
	Period      Period
	Percent     int
	Used, Limit Units
}

// noticePercents are the percentages of a limit that are reported, each once per period.
var noticePercents = [...]int{50, 80, 100}

// recordNotices queues a notice for each percentage that one of the account's budgets has
// newly reached.
func (l *Ledger) recordNotices(a *account) {
	for i := range a.terms.Budgets {
		budget := &a.terms.Budgets[i]
		period := &a.periods[budget.Period]
		limit := budget.limit()
		if limit == 0 {
			continue
		}
		for int(period.noticesSent) < len(noticePercents) {
			percent := noticePercents[period.noticesSent]
			if float64(period.used)*100 < float64(limit)*float64(percent) {
				break
			}
			l.notices = append(l.notices, BudgetNotice{
				Team:    a.terms.Team,
				Period:  budget.Period,
				Percent: percent,
				Used:    period.used,
				Limit:   limit,
			})
			period.noticesSent++
		}
	}
}

// TakeNotices returns the notices since the last call, and removes them.
func (l *Ledger) TakeNotices() []BudgetNotice {
	notices := l.notices
	l.notices = nil
	return notices
}
