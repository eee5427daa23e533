package sitelang

import (
	"fmt"
	"math/big"
	"slices"
)

// Scales of a share.
var (
	partsPerMillion = mustRational("1000000") // a share of a split is a whole number of these
	percent         = mustRational("100")
)

// checkPolicyBounds checks a policy's numbers against the limits and rules of the whole site.
func (r *referenceChecker) checkPolicyBounds(policy member, path string) {
	attempts := policy.node.member("attempts")
	limit := integerValue(r.site.member("limits").member("attempts"))
	if limit > 0 && integerValue(attempts) > limit {
		r.reportError(attempts, "", "%s.attempts is %d, above limits.attempts of %d", path, integerValue(attempts), limit)
	}
	r.checkRetryAfter(policy.node.member("come_back"), path)
	r.checkDeadline(policy.node.member("deadline"), path)
}

// checkRetryAfter checks the range of times after which a client is asked to retry.
func (r *referenceChecker) checkRetryAfter(retryAfter *node, path string) {
	from := retryAfter.member("from")
	to := retryAfter.member("to")
	fromValue := quantityValue(from, durationQuantity)
	toValue := quantityValue(to, durationQuantity)
	if fromValue != nil && toValue != nil && fromValue.Cmp(toValue) > 0 {
		r.reportError(to, "", "%s.come_back is from %s to %s, the wrong way round", path, from.text, to.text)
	}
	limit := r.site.member("limits").member("come_back_most")
	limitValue := quantityValue(limit, durationQuantity)
	if limitValue == nil {
		return
	}
	for _, name := range []string{"from", "to"} {
		n := retryAfter.member(name)
		value := quantityValue(n, durationQuantity)
		if value != nil && value.Cmp(limitValue) > 0 {
			r.reportError(n, "", "%s.come_back.%s is %s, above limits.come_back_most of %s", path, name, n.text, limit.text)
		}
	}
}

// checkDeadline checks that a policy's deadline is longer than rules.answer_slack; otherwise every request is refused.
func (r *referenceChecker) checkDeadline(deadline *node, path string) {
	answerSlack := r.site.member("rules").member("answer_slack")
	slackValue := quantityValue(answerSlack, durationQuantity)
	deadlineValue := quantityValue(deadline, durationQuantity)
	if slackValue == nil || deadlineValue == nil || deadlineValue.Cmp(slackValue) > 0 {
		return
	}
	r.reportError(deadline, "", "%s.deadline is %s, no more than rules.answer_slack of %s: every request would be refused",
		path, deadline.text, answerSlack.text)
}

// checkSplit checks the pools of a route and their shares, and marks the pools as used.
func (r *referenceChecker) checkSplit(route member, path string) {
	split := route.node.member("to")
	if split == nil || split.form != formStruct {
		return
	}
	sum := new(big.Rat)
	allValid := len(split.members) > 0
	for _, pool := range split.members {
		r.usedPools[pool.name] = true
		if !slices.Contains(r.pools, pool.name) {
			r.report(pool.pos, Error, fmt.Sprintf("%s.to: there is no pool %q", path, pool.name), unknownNameResolution(pool.name, "pool", r.pools))
		}
		share := r.checkShare(pool, path)
		if share == nil {
			allValid = false
			continue
		}
		sum.Add(sum, share)
	}
	if allValid && sum.Cmp(one) != 0 {
		r.reportError(split, "", "%s: the parts come to %s %%, not to 100 %%", path, formatDecimal(sum.Mul(sum, percent)))
	}
	if len(split.members) == 1 {
		r.checkFallbackOfSolePool(route, split.members[0].name)
	}
}

// checkShare returns the share of one pool of a split; nil if it is not valid.
func (r *referenceChecker) checkShare(pool member, path string) *big.Rat {
	share := quantityValue(pool.node, shareQuantity)
	if share == nil || r.invalid[pool.node] {
		return nil
	}
	if !new(big.Rat).Mul(share, partsPerMillion).IsInt() {
		r.reportError(pool.node, "a part is a whole number of ppm", "%s is %q, finer than 1 ppm", joinPath(path+".to", pool.name), pool.node.text)
		return nil
	}
	return share
}

// checkFallbackOfSolePool checks a route to a single pool: if its policy has fallbacks, one of them must be another pool.
func (r *referenceChecker) checkFallbackOfSolePool(route member, pool string) {
	fallback := r.policyFallback(route)
	if len(fallback) == 0 {
		return
	}
	isOtherPool := func(n *node) bool { return n.text != pool }
	if !slices.ContainsFunc(fallback, isOtherPool) {
		r.reportError(fallback[0], "name another pool", "route %q goes to pool %q, and its policy falls back to that pool alone", route.name, pool)
	}
}

// policyFallback returns the pools that a route's policy falls back to.
func (r *referenceChecker) policyFallback(route member) []*node {
	policy := route.node.member("policy")
	if policy == nil || policy.form != formString {
		return nil
	}
	return stringElements(r.site.member("policy").member(policy.text).member("fallback"))
}

// checkConnectionLimits checks the connection limits of a pool or a route against each other and against limits.open_most.
func (r *referenceChecker) checkConnectionLimits(part member, path string) {
	siteLimit := integerValue(r.site.member("limits").member("open_most"))
	for _, name := range []string{"max_open", "max_waiting"} {
		n := part.node.member(name)
		if siteLimit > 0 && integerValue(n) > siteLimit {
			r.reportError(n, "", "%s.%s is %d, above limits.open_most of %d", path, name, integerValue(n), siteLimit)
		}
	}
	maxOpen := integerValue(part.node.member("max_open"))
	waiting := part.node.member("max_waiting")
	if maxOpen > 0 && integerValue(waiting) > maxOpen {
		r.reportError(waiting, "", "%s.max_waiting is %d, above its max_open of %d", path, integerValue(waiting), maxOpen)
	}
}

// checkRouteLimit checks a route's limit of open connections against the sum of its pools' limits, if each pool has one.
func (r *referenceChecker) checkRouteLimit(route member, path string) {
	routeLimit := route.node.member("max_open")
	sum := 0
	for _, pool := range membersOf(route.node.member("to")) {
		poolLimit := integerValue(r.site.member("pool").member(pool.name).member("max_open"))
		if poolLimit == 0 {
			return
		}
		sum += poolLimit
	}
	if sum > 0 && integerValue(routeLimit) > sum {
		r.reportError(routeLimit, "", "%s.max_open is %d, above the %d that its pools may hold", path, integerValue(routeLimit), sum)
	}
}
