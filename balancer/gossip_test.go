package balancer

import (
	"math"
	"testing"
)

// A report packed for the peers sets the same row at another gateway.
func TestPeerReportsRoundTrip(t *testing.T) {
	a, _ := startBalancer(t, settings(), fleet(3)...)
	b, _ := startBalancer(t, settings(), fleet(3)...)
	a.setReportedLoad(101*second, a.rows[1], 12345)
	a.rows[1].recordSlowness(101*second, 2)
	b.PeerMessage(102*second, 1, a.rows[1].packPeerReport(nil))
	if row := b.rows[1]; row.reportedAt != 102*second || math.Abs(row.reportedTokens-12345) > 900 || math.Abs(row.slownessSum-2) > 0.2 {
		t.Fatalf("relayed row %+v", row)
	}
	b.PeerMessage(102*second, 1, []byte("odd")) // cut short: harmless
	if b.rows[0].reportedAt != -1 || b.rows[2].reportedAt != -1 {
		t.Fatal("a message touched other rows")
	}
}
