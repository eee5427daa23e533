package admission

import (
	"math/rand/v2"
	"testing"
)

// All tenants send twice their share, and one of them five times that. The connections beyond the quotas must be
// attributed to that tenant, and none to tenants within their quotas.
func TestOnlyTheExcessiveTenantIsOverQuota(t *testing.T) {
	shares := []float64{0.35, 0.31, 0.23, 0.11}
	for seed := range uint64(50) {
		rng := rand.New(rand.NewPCG(seed, 0))
		excessive := int(seed) % len(shares)
		active, activeOf := 0, make([]int, len(shares))
		for i, share := range shares {
			sent := 2 * share * (0.95 + rng.Float64()/10)
			if i == excessive {
				sent *= 5
			}
			activeOf[i] = int(200 * sent)
			active += activeOf[i]
		}
		for i, share := range shares {
			overQuota := Quota{Share: share}.OverQuotaFraction(active, activeOf[i], 1) * float64(activeOf[i])
			switch beyond := float64(activeOf[i]) - share*float64(active); {
			case i == excessive && overQuota < beyond*0.8:
				t.Errorf("seed %d: %.0f connections count as beyond the quota, want %.0f", seed, overQuota, beyond)
			case i != excessive && overQuota > 0:
				t.Errorf("seed %d: tenant %d is within its quota, but %.0f of its connections count as beyond it", seed, i, overQuota)
			}
		}
	}
}
