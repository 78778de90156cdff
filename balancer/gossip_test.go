package balancer

import (
	"math"
	"testing"
)

// A packed report sets load and slowness of the same replica at another gateway, and of no other.
func TestPeerReportsRoundTrip(t *testing.T) {
	a, _ := startBalancer(t, settings(), fleet(3)...)
	b, _ := startBalancer(t, settings(), fleet(3)...)
	a.setReportedLoad(101*second, a.rows[1], 12345)
	a.rows[1].recordSlowness(101*second, 2)
	b.PeerMessage(102*second, 1, a.rows[1].packPeerReport(nil))
	if row := b.rows[1]; row.reportedAt != 102*second || math.Abs(row.reportedTokens-12345) > 900 || math.Abs(row.slownessSum-2) > 0.2 {
		t.Fatalf("row after the peer message: %+v", row)
	}
	b.PeerMessage(102*second, 1, []byte("odd")) // an incomplete report is ignored
	if b.rows[0].reportedAt != -1 || b.rows[2].reportedAt != -1 {
		t.Fatal("a peer message changed other rows")
	}
}
