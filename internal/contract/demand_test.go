package contract

import (
	"math/rand/v2"
	"testing"

	"archknot/balancer"
)

// All requests of a team in a surge compete beyond its rate, except those within its
// floors. A team within its rate is not affected.
func TestSurge(t *testing.T) {
	a := testTerms("a", 1000)
	a.SurgeFactor, a.Floors = 1.25, map[string]float64{"agent": 100 * float64(Token)}
	ledger := newTestLedger(t, a)
	bulk, agent := &trafficLoad{tenant: "a", class: "bulk", tokensPerSecond: 900, tokensPerRequest: 30}, &trafficLoad{tenant: "a", class: "agent", tokensPerSecond: 90, tokensPerRequest: 30}
	playLoads(ledger, second, 20, bulk, agent)
	if bulk.overQuota+agent.overQuota > 0 {
		t.Errorf("team within its rate: %d bulk and %d agent tokens were over quota, want 0", bulk.overQuota, agent.overQuota)
	}
	bulk.tokensPerSecond = 4000
	playLoads(ledger, 21*second, 20, bulk, agent)
	bulk.fullWeight, agent.overQuota = 0, 0
	playLoads(ledger, 41*second, 10, bulk, agent)
	if bulk.fullWeight > 0 || agent.overQuota > 0 {
		t.Errorf("surge: %d bulk tokens at full weight and %d agent tokens over quota, want 0", bulk.fullWeight, agent.overQuota)
	}
}

// A ledger whose demand is updated at the ticks of the decision module makes the same
// decision on each request as the module's own quota. With updates at other times, about 2%
// of the decisions differed, which cost the standard days of the simulator 0.016.
func TestSurgeMatchesModuleQuota(t *testing.T) {
	const quota, gateways, windowSeconds = 11.0, 3.0, 8.0
	a := testTerms("a", 1)
	a.Rate, a.Burst, a.SurgeFactor = 1.25*quota*float64(Token), Units(1e6*quota*float64(Token)), 1
	ledger := newTestLedger(t, a)
	ledger.SetQuotaShares(second, []float64{1 / gateways})
	rng := rand.New(rand.NewPCG(7, 7))
	moduleUsage, sinceTick, lastTick, overQuota, requests := 0.0, 0.0, second, 0, 0
	for now := second; now < 120*second; now += 2000 + 2000*balancer.Micros(rng.IntN(40)) {
		if now-lastTick >= 250_000 { // the module's tick
			elapsed := float64(now-lastTick) / 1e6
			moduleUsage += elapsed / windowSeconds * (sinceTick/elapsed - moduleUsage)
			sinceTick, lastTick = 0, now
			ledger.UpdateDemand(now)
		}
		chance := 0.08
		if now/second%30 < 12 {
			chance = 0.35
		}
		if rng.Float64() > chance {
			continue
		}
		sinceTick++
		var c Charge
		v := ledger.Charge(now, "a", "chat", Usage{OutputTokens: 1}, &c)
		ledger.Settle(now, &c, Usage{OutputTokens: 1}, false)
		if moduleOverQuota := moduleUsage > 1.25*quota/gateways; v.OverQuota != moduleOverQuota {
			t.Fatalf("at %d: over quota: %t by the contract, %t by the quota of the module", now, v.OverQuota, moduleOverQuota)
		} else if moduleOverQuota {
			overQuota++
		}
		requests++
	}
	if overQuota < requests/10 || overQuota > requests*9/10 {
		t.Fatalf("%d of %d requests over quota: too few or too many to compare decisions", overQuota, requests)
	}
}
