package choice

// Asking replicas for reports before a request is sent: where many gateways serve one fleet, each
// hears too seldom of a replica by its own requests. See docs/design/large-fleet.md.

import (
	"math"
	"slices"
)

// sparse tells that there are so many gateways that one hears too seldom of a worker
// for its own answers' reports to say how loaded it is now.
func (b *Balancer) sparse() bool {
	return b.s.Gateways > sparseFrom && b.s.MayProbe && b.s.ReportVia != ReportNone
}

// sharers is how many gateways send to a replica: all of them, or as many as have it on their
// parts of the list.
func (b *Balancer) sharers() float64 {
	if b.fleet <= b.ready {
		return float64(b.s.Gateways)
	}
	return math.Max(1, float64(b.s.Gateways)*float64(b.ready)/float64(b.fleet))
}

// wildcard puts a replica drawn by chance in the last place of the short list, the cold one
// that is offered before others: of one that no reckoning favours, as of one that is new,
// nothing would ever be heard.
func (b *Balancer) wildcard(now Micros, r *request) {
	if w := b.offered; w != nil && b.usable(now, w, r, false) {
		if w != b.short[0].row && w != b.short[1].row {
			b.short[shortList-1] = candidate{row: w}
		}
		return
	}
	n := len(b.rows)
	for i, k := 0, int(b.random()*float64(n)); i < n; i++ {
		w := b.rows[(k+i)%n]
		if w != b.short[0].row && w != b.short[1].row && b.usable(now, w, r, false) {
			b.short[shortList-1] = candidate{row: w}
			return
		}
	}
}

// inquire asks the workers on the short list for reports where theirs are old, when r
// has just come, and tells whether r is to wait for answers that are out.
func (b *Balancer) inquire(now Micros, r *request) (wait bool) {
	if !b.asking {
		return b.awaits(now, r)
	}
	left, drawn := b.asks()
	if drawn {
		b.wildcard(now, r)
	}
	for _, c := range b.short {
		if c.row == nil {
			break
		}
		if left > 0 && !c.row.probing && (c.row.reportAt < 0 || now-c.row.reportAt > askOlder || b.doubted(now, c.row)) {
			b.ask(now, c.row)
			left--
		}
		wait = wait || c.row.probing && c.row.probed == now
	}
	return wait
}

// awaits tells whether r waits for an answer that it asked for.
func (b *Balancer) awaits(now Micros, r *request) bool {
	return b.sparse() && len(r.attempts) == 0 && now > r.arrived && now < r.arrived+askWait &&
		slices.ContainsFunc(b.rows, func(w *row) bool { return w.probing && w.probed == r.arrived })
}

// asks is how many replicas a request may ask for reports, and whether one of them is drawn by
// chance: all of the short list, one of them drawn. Where lists name a part of the fleet, a gateway
// hears of that part by its own requests, and asks the less the more it hears.
func (b *Balancer) asks() (most int, drawn bool) {
	if b.fleet <= b.ready {
		return shortList, true
	}
	const drawnOf = 0.25
	if b.sendRate*b.lifetime/1e6 < float64(b.ready)/4 {
		return 2, true
	}
	return 1, b.offered != nil || b.random() < drawnOf
}
