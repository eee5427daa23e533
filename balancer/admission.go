package balancer

import (
	"example.org/micafront/balancer/admission"
	"example.org/micafront/balancer/hashing"
)

// This file decides whether new connections are admitted.

// Salts make the draws by which a client's or an endpoint's hash decides different things independent.
const (
	admissionSalt uint64 = iota
	quotaSalt
	localTableSalt
	reportSampleSalt
)

// updateAdmission adjusts the admission rate by the stress of this node's connections, twice within OverloadWindow.
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

// admit tells whether a request is admitted. A client gets the same answer at each node and at each retry, so that
// retries don't raise what is admitted; classes with a low priority for their load are rejected first, and before them
// what is beyond a tenant's quota.
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

// priorityDensity is a class's priority for the load of its connections.
func (b *Balancer) priorityDensity(class *Class) float64 {
	return class.PriorityWeight / b.expectedLoad(class)
}

// isOverQuota tells whether a request counts as beyond its tenant's quota: with load reports all of a tenant's do until
// it is within, else always the same clients.
func (b *Balancer) isOverQuota(req *request) bool {
	fraction := b.overQuotaFraction(req)
	return fraction > 0 && (b.settings.LoadReports || hashing.Uniform(req.clientHash, quotaSalt) > 1-fraction)
}

// overQuotaFraction is the part of a tenant's connections at this node beyond its quota; 0 without a quota.
func (b *Balancer) overQuotaFraction(req *request) float64 {
	quota, known := b.tenantQuotas[req.Tenant]
	if !known {
		return 0
	}
	return quota.OverQuotaFraction(b.activeCount, b.activeByTenant[req.Tenant], b.settings.Nodes)
}

// probeTrafficDue tells that nothing has been sent for an OverloadWindow: whoever comes is admitted then, whatever the
// load, since a node that rejects everything learns of no recovery.
func (b *Balancer) probeTrafficDue() bool {
	return b.now-b.lastAttemptAt >= b.settings.Rules.OverloadWindow
}
