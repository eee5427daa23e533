package balancer

import (
	"example.org/micafront/balancer/admission"
	"example.org/micafront/balancer/hashing"
)

// Salts for hashing.Uniform. Each decision has its own salt, so that decisions about the same client or endpoint are
// independent of one another.
const (
	admissionSalt uint64 = iota
	quotaSalt
	localTableSalt
	reportSampleSalt
)

// updateAdmission adjusts the admission rate to the stress of this node's connections, twice per OverloadWindow.
func (b *Balancer) updateAdmission() {
	elapsed := b.now - b.admissionUpdatedAt
	if elapsed < b.settings.Rules.OverloadWindow/2 {
		return
	}
	stressedFraction := b.stress / elapsed.Seconds() / max(float64(b.activeCount), 1)
	b.admissionRate = admission.UpdateRate(b.admissionRate, stressedFraction, elapsed.Seconds())
	b.stress = 0
	b.admissionUpdatedAt = b.now
}

// admit reports whether a request is admitted. With load reports, the fleet load decides. Without them, the
// client's hash decides, so that nodes with the same admission rate give a client the same answer on every retry and
// retries don't raise the admitted load. Connections beyond a tenant's quota are rejected first, then those of
// classes with a low priority for their load.
func (b *Balancer) admit(req *request) bool {
	if b.admissionRate >= 1 && !b.settings.LoadReports || req.Resumed || b.probeTrafficDue() {
		return true
	}
	density := b.priorityDensity(req.class)
	bestDensity := 0.0
	for i := range b.settings.Classes {
		bestDensity = max(bestDensity, b.priorityDensity(&b.settings.Classes[i]))
	}
	if b.isOverQuota(req) {
		density *= b.settings.OverQuotaWeight
	}
	rank := admission.PriorityRank(density, bestDensity)
	if b.settings.LoadReports {
		return b.loadReports.FleetLoad(b.now) < admission.LoadLimit(rank)
	}
	return hashing.Uniform(req.clientHash, admissionSalt) < admission.AdmittedFraction(b.admissionRate, rank)
}

// priorityDensity returns the priority weight of a class divided by the expected load of one of its connections.
func (b *Balancer) priorityDensity(class *Class) float64 {
	return class.PriorityWeight / b.expectedLoad(class)
}

// isOverQuota reports whether a request counts as beyond its tenant's quota. With load reports, every request of a
// tenant beyond its quota does. Without them only part of the tenant's clients do, always the same ones.
func (b *Balancer) isOverQuota(req *request) bool {
	fraction := b.overQuotaFraction(req)
	return fraction > 0 && (b.settings.LoadReports || hashing.Uniform(req.clientHash, quotaSalt) > 1-fraction)
}

// overQuotaFraction returns the fraction of a tenant's connections at this node that exceeds its quota; 0 without a
// quota.
func (b *Balancer) overQuotaFraction(req *request) float64 {
	quota, known := b.tenantQuotas[req.Tenant]
	if !known {
		return 0
	}
	return quota.OverQuotaFraction(b.activeCount, b.activeByTenant[req.Tenant], b.settings.Nodes)
}

// probeTrafficDue reports whether no attempt was sent for an OverloadWindow. The next request is then admitted whatever
// the load, because a node that rejects every request would never notice a recovery.
func (b *Balancer) probeTrafficDue() bool {
	return b.now-b.lastAttemptAt >= b.settings.Rules.OverloadWindow
}
