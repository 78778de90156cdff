package balancer

import (
	"testing"
)

// A dispatch is charged to the ledger; the first token releases the prefill charge, the end the rest.
func TestLedger(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(1)...)
	if dispatched(b, rec, 101*second, testRequest(1)) != 1 {
		t.Fatal("not sent")
	}
	row := b.rows[0]
	if want := prefillCost*1000 + 1000 + 100; row.charge != want {
		t.Fatalf("charge %v after the dispatch, want %v", row.charge, want)
	}
	b.FirstToken(102*second, Outcome{ID: 1, Replica: 1, Elapsed: second})
	if row.charge != 1100 {
		t.Fatalf("charge %v after the first token, want 1100", row.charge)
	}
	b.AttemptEnded(103*second, Outcome{ID: 1, Replica: 1, Status: Served, Elapsed: 2 * second, Final: true})
	if row.charge != 0 || len(row.ledger) != 0 || len(b.requests) != 0 {
		t.Fatalf("charge %v, %d open, %d requests after the end", row.charge, len(row.ledger), len(b.requests))
	}
}

// A report includes charges older than reportLag, and does not include newer ones.
func TestReportLag(t *testing.T) {
	b, rec := startBalancer(t, settings(), fleet(1)...)
	dispatched(b, rec, 101*second, testRequest(1))
	b.setReportedLoad(101*second+reportLag/2, b.rows[0], 5)
	if b.rows[0].unreported != b.rows[0].charge {
		t.Fatal("a charge newer than reportLag counts as reported")
	}
	b.setReportedLoad(101*second+2*reportLag, b.rows[0], 5)
	if b.rows[0].unreported != 0 {
		t.Fatal("a charge older than reportLag counts as unreported")
	}
}
