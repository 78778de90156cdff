package contract

import (
	"fmt"
	"runtime"
	"testing"

	"archknot/balancer"
)

// Once the fleet sheds requests within contracts, requests beyond contracts are limited. Their
// rate grows back to the spare capacity, and is not limited in a fleet with capacity for all.
func TestExcessLimiter(t *testing.T) {
	for _, capacity := range []float64{10_200, 20_000, 60_000} {
		ledger := newTestLedger(t, testTerms("a", 4000), testTerms("b", 3000), testTerms("c", 3000))
		loads := []*trafficLoad{{tenant: "a", tokensPerSecond: 40_000, tokensPerRequest: 50}, {tenant: "b", tokensPerSecond: 3000, tokensPerRequest: 50}, {tenant: "c", tokensPerSecond: 3000, tokensPerRequest: 50}}
		level := capacity / 5 // level of the fleet's token bucket, whose size of 0.2 s stands for a short queue
		within, shed, overQuota := 0, 0, 0
		for us := second; us < 61*second; us += 1000 {
			level = min(capacity/5, level+capacity/1000)
			if us == 31*second {
				within, shed, overQuota = 0, 0, 0
			}
			for _, l := range loads {
				for l.next += l.tokensPerSecond / 1000; l.next >= float64(l.tokensPerRequest); l.next -= float64(l.tokensPerRequest) {
					var c Charge
					v := ledger.Charge(us, l.tenant, "", Usage{OutputTokens: l.tokensPerRequest}, &c)
					if v.Rejected {
						continue
					}
					if !v.OverQuota {
						within++
					}
					if level < float64(l.tokensPerRequest) {
						ledger.Settle(us, &c, Usage{}, false)
						ledger.RecordShed(us, l.tenant, "", Usage{OutputTokens: l.tokensPerRequest}, v.OverQuota)
						if !v.OverQuota {
							shed++
						}
						continue
					}
					level -= float64(l.tokensPerRequest)
					if ledger.Settle(us, &c, Usage{OutputTokens: l.tokensPerRequest}, true); v.OverQuota {
						overQuota += l.tokensPerRequest
					}
				}
			}
		}
		spare := min(capacity, 46_000) - 10_000
		if got := float64(overQuota) / 30; shed*200 > within || got < 0.7*spare || got > spare+50 {
			t.Errorf("capacity %v: %d of %d requests within contracts were shed; served %.0f tokens per second beyond contracts, spare capacity %.0f", capacity, shed, within, got, spare)
		} else {
			t.Logf("capacity %v: %d of %d requests within contracts were shed; served %.0f tokens per second beyond contracts, spare capacity %.0f", capacity, shed, within, got, spare)
		}
	}
}

// The size of a ledger depends on its contracts only: a flood of requests with unknown
// tenants and classes does not make it grow.
func TestUnknownTenantFlood(t *testing.T) {
	var terms []Terms
	for i := range 10_000 {
		terms = append(terms, testTerms(fmt.Sprint("team", i), 100))
	}
	ledger := newTestLedger(t, terms...)
	heap := func() uint64 {
		var m runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&m)
		return m.HeapAlloc
	}
	before := heap()
	var c Charge
	for i := range 300_000 {
		v := ledger.Charge(second+balancer.Micros(i)*10, fmt.Sprint("nobody", i), fmt.Sprint("class", i), Usage{OutputTokens: 10}, &c)
		if v.PriorityWeight != 0.05 || c.Open() {
			t.Fatalf("unknown tenant: got %+v, want weight 0.05 and no open charge", v)
		}
		ledger.Settle(second, &c, Usage{OutputTokens: 10}, true)
	}
	if after := heap(); after > before+1<<20 {
		t.Errorf("heap grew by %d bytes", after-before)
	}
	runtime.KeepAlive(ledger)
}
