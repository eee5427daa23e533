package features

import (
	"errors"
	"fmt"
	"slices"
	"strings"
	"time"

	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/fleetsim"
)

// within is the end of the expression of a step that may wait for its condition.
const within = `(?: within (\d+) s)?$`

// fleetGiven returns the steps that set up a fleet.
func fleetGiven(w *world) []step {
	return []step{
		{`^a fleet of (\d+) replicas and (\d+) proxies with an agreement timeout of (\d+) s and a member timeout of (\d+) s$`,
			func(replicas, proxies, agreement, member int) error {
				w.config = fleetsim.Config{ReplicaCount: replicas, ProxyCount: proxies, Terms: fleetconfig.Terms{
					AgreementTimeout: time.Duration(agreement) * time.Second,
					MemberTimeout:    time.Duration(member) * time.Second,
				}}
				w.firstRoute = route{}
				return w.startFleet()
			}},
		{`^a fleet of (\d+) replicas and (\d+) proxies in the zones "(.*)"$`, func(replicas, proxies int, zones string) error {
			w.config = fleetsim.Config{ReplicaCount: replicas, ProxyCount: proxies, Zones: splitList(zones)}
			return w.startFleet()
		}},
		{`^the active version routes "(.*)" to "(.*)"$`, func(key, pool string) error {
			w.firstRoute = route{key, pool}
			return w.startFleet()
		}},
		{`^clocks that drift by up to (\d+) ppm$`, func(ppm int) error {
			w.config.ClockDrift = ppm > 0
			w.config.Terms.ClockDriftPPM = int64(ppm)
			return w.startFleet()
		}},
		{`^the lease expiry policy is "(hold|serve)"$`, func(policy string) error {
			w.config.Terms.OnLeaseExpiry = fleetconfig.LeaseExpiryPolicy(policy)
			return w.startFleet()
		}},
		{`^a network that loses (\d+) %, duplicates (\d+) % and delays (\d+) % of the messages by up to (\d+) s$`,
			func(lost, duplicated, delayed, seconds int) {
				const percent = 100
				link := &w.fleet.Network.Default
				link.LossRate = float64(lost) / percent
				link.DuplicateRate = float64(duplicated) / percent
				link.ExtraDelayRate = float64(delayed) / percent
				link.MaxExtraDelay = time.Duration(seconds) * time.Second
			}},
		{`^(p\d+|all proxies) may use (\d+) KiB$`, func(who string, kib int) error {
			return w.forEachProcess(who, func(name string) { w.fleet.Proxy(name).SetMemoryLimit(uint64(kib) << 10) })
		}},
		{`^the draft has a route "(.*)" of (\d+) keys$`, func(name string, keys int) { w.draft.LargeRoutes[name] = keys }},
	}
}

// fleetWhen returns the steps that inject faults, let time pass or act as the operator.
func fleetWhen(w *world) []step {
	return []step{
		{`^(\d+) s pass$`, func(seconds int) { w.fleet.Run(time.Duration(seconds) * time.Second) }},
		{`^(.+) is disconnected from (.+)$`, func(a, b string) error { return w.disconnect(a, b, true) }},
		{`^messages from (.+) to (.+) are lost$`, func(from, to string) error { return w.disconnect(from, to, false) }},
		{`^the links are restored$`, func() { w.fleet.Network.Heal() }},
		{`^(.+) crash(?:es)?$`, func(who string) error { return w.forEachProcess(who, w.fleet.Crash) }},
		{`^(.+) starts? again$`, func(who string) error { return w.forEachProcess(who, w.fleet.Start) }},
		{`^(.+) is paused$`, func(who string) error { return w.forEachProcess(who, w.fleet.Pause) }},
		{`^(.+) is resumed$`, func(who string) error { return w.forEachProcess(who, w.fleet.Resume) }},
		{`^another proxy joins$`, func() { w.fleet.AddProxy() }},
		{`^another proxy joins that may use (\d+) KiB$`, func(kib int) { w.fleet.AddProxy().SetMemoryLimit(uint64(kib) << 10) }},
		{`^(p\d+) drains$`, func(who string) error {
			return w.forEachProcess(who, func(name string) { w.fleet.Proxy(name).Drain(time.Second) })
		}},
		{`^the operator (proposes|forces) "(.*?)" to "(.*?)"(?: on version (\d+))?(?: under the id "(.*)")?$`,
			func(verb, key, pool, base, id string) {
				w.draft.Routes[key] = pool
				w.propose(fleetconfig.Propose{ID: id, Base: uint64(parseNumber(base)), Force: verb == "forces"})
			}},
		{`^the operator (proposes|forces) a route "(.*)" of (\d+) keys$`, func(verb, name string, keys int) {
			w.draft.LargeRoutes[name] = keys
			w.propose(fleetconfig.Propose{Force: verb == "forces"})
		}},
		{`^the operator removes the route "(.*)"$`, func(name string) {
			delete(w.draft.LargeRoutes, name)
			w.propose(fleetconfig.Propose{})
		}},
		{`^the operator rolls back to version (\d+)$`, func(n int) { w.propose(fleetconfig.Propose{RollbackOf: uint64(n)}) }},
		{`^the operator withdraws version (\d+)$`, func(n int) {
			withdraw := &fleetconfig.Withdraw{Number: uint64(n), Reason: "withdrawn by the operator"}
			w.request = w.fleet.Submit(fleetconfig.Command{Withdraw: withdraw})
		}},
	}
}

// fleetThen returns the expectations about a fleet.
func fleetThen(w *world) []step {
	return slices.Concat(requestThen(w), versionThen(w), proxyThen(w), withdrawalThen(w))
}

// requestThen returns the expectations about the operator's latest request and the replicas.
func requestThen(w *world) []step {
	return []step{
		{`^the proposal is accepted as version (\d+)` + within, func(n int, limit string) error {
			return w.await(limit, func() bool {
				return w.request.AnsweredAt > 0 && w.request.Answer.Err == nil && w.request.Answer.Number == uint64(n)
			}, "the answer is %+v", &w.request.Answer)
		}},
		{`^the request is rejected with "(.*)"` + within, func(kind, limit string) error {
			return w.await(limit, func() bool { return w.rejectedWith(kind) }, "the answer is %+v", &w.request.Answer)
		}},
		{`^the request has no answer$`, func() error {
			if w.request.AnsweredAt > 0 {
				return fmt.Errorf("the answer is %+v", w.request.Answer)
			}
			return nil
		}},
		{`^another replica leads` + within, func(limit string) error {
			previous := w.lastLeader
			return w.await(limit, func() bool {
				leader := w.fleet.Leader()
				return leader != nil && leader.Name != previous
			}, "another replica than %s leads", previous)
		}},
		{`^(p\d+) blocks version (\d+)$`, func(who string, n int) error {
			leader := w.fleet.Leader()
			proposed, ok := leader.State().Proposed()
			status := leader.Status()
			blocks := func(s fleetconfig.NodeStatus) bool { return s.Node == who && s.BlocksProposal }
			if !ok || proposed.Number != uint64(n) || !slices.ContainsFunc(status, blocks) {
				return fmt.Errorf("version %d is proposed; the status is %+v", proposed.Number, status)
			}
			return nil
		}},
		{`^(p\d+) is reported unreachable$`, func(who string) error {
			status := w.fleet.Leader().Status()
			if !slices.ContainsFunc(status, func(s fleetconfig.NodeStatus) bool { return s.Node == who && s.Unreachable }) {
				return fmt.Errorf("the status is %+v", status)
			}
			return nil
		}},
	}
}

// versionThen returns the expectations about versions.
func versionThen(w *world) []step {
	return []step{
		{`^version (\d+) is active` + within, func(n int, limit string) error {
			return w.await(limit, func() bool { return w.fleet.Active().Number == uint64(n) }, "version %d is active", n)
		}},
		{`^version (\d+) was withdrawn` + within, func(n int, limit string) error {
			return w.await(limit, func() bool {
				_, ok := w.withdrawal(uint64(n))
				return ok
			}, "version %d is withdrawn", n)
		}},
		{`^versions (\d+) and (\d+) have the same content$`, func(a, b int) error {
			state := w.fleet.Replicas[0].State()
			one, oneOK := state.Version(uint64(a))
			two, twoOK := state.Version(uint64(b))
			if !oneOK || !twoOK || one.Digest != two.Digest || a == b {
				return fmt.Errorf("version %d has the digest %q and version %d has %q", a, one.Digest, b, two.Digest)
			}
			return nil
		}},
		{`^contradicting versions were acted on for at most (\d+) s$`, func(seconds int) error {
			const minActs = 100 // with fewer acts the check would prove nothing
			overlaps := w.fleet.Overlaps()
			limit := time.Duration(seconds) * time.Second
			if w.fleet.PlacedConnections() < minActs || len(overlaps) > 0 && overlaps[len(overlaps)-1] > limit {
				return fmt.Errorf("%d acts, with contradictions that lasted %s", w.fleet.PlacedConnections(), overlaps)
			}
			return nil
		}},
	}
}

// leaseStates maps the names of lease states in scenarios to the states.
var leaseStates = map[string]fleetconfig.LeaseState{
	"starting":     fleetconfig.Starting,
	"leased":       fleetconfig.Leased,
	"expired":      fleetconfig.Expired,
	"disconnected": fleetconfig.Disconnected,
	"excluded":     fleetconfig.Excluded,
	"draining":     fleetconfig.Draining,
}

// proxyThen returns the expectations about proxies.
func proxyThen(w *world) []step {
	return []step{
		{`^(p\d+|all proxies) acts? on version (\d+)` + within, func(who string, n int, limit string) error {
			return w.await(limit, func() bool {
				return w.allProxiesSatisfy(who, func(p *fleetsim.Proxy) bool {
					leased := p.Status().State == fleetconfig.Leased
					return p.ActiveVersion() == uint64(n) && (leased || who != allProxies)
				})
			}, "%s on version %d", who, n)
		}},
		{`^(p\d+) has prepared version (\d+)` + within, func(who string, n int, limit string) error {
			return w.await(limit, func() bool { return w.fleet.Proxy(who).Status().PreparedVersion == uint64(n) },
				"%s has prepared version %d", who, n)
		}},
		{`^(p\d+) is (starting|leased|expired|disconnected|excluded|draining)` + within, func(who, state, limit string) error {
			return w.await(limit, func() bool { return w.fleet.Proxy(who).Status().State == leaseStates[state] },
				"%s is %s", who, state)
		}},
		{`^(p\d+) sends "(.*)" to "(.*)"` + within, func(who, key, pool, limit string) error {
			p := w.fleet.Proxy(who)
			return w.await(limit, func() bool { return p.Authorize(key).Allowed && p.Pool(key) == pool },
				"%s sends %q to %q, and now to %q (%v)", who, key, pool, p.Pool(key), p.Authorize(key))
		}},
		{`^(p\d+) rejects "(.*)"$`, func(who, key string) error {
			if authorization := w.fleet.Proxy(who).Authorize(key); authorization.Allowed || authorization.RetryAfter <= 0 {
				return fmt.Errorf("the authorization is %+v", authorization)
			}
			return nil
		}},
		{`^(p\d+) serves "(.*)" by its own settings$`, func(who, key string) error {
			if p := w.fleet.Proxy(who); !p.Authorize(key).Allowed || p.ActiveVersion() != 0 {
				return fmt.Errorf("it rejects the key, or acts on version %d", p.ActiveVersion())
			}
			return nil
		}},
		{`^(p\d+) has served at least (\d+) connections while disconnected$`, func(who string, n int) error {
			p := w.fleet.Proxy(who)
			if counted := p.Status().ServedDisconnected; p.ServedDisconnected < uint64(n) || counted < uint64(n) {
				return fmt.Errorf("it served %d and its status counts %d", p.ServedDisconnected, counted)
			}
			return nil
		}},
		{`^"(.*)" resolves alike at all proxies$`, func(name string) error {
			first := w.fleet.Proxies[0].Resolve(name)
			if first == "" || !w.allProxiesSatisfy(allProxies, func(p *fleetsim.Proxy) bool { return p.Resolve(name) == first }) {
				return fmt.Errorf("p1 resolves to %q, and another proxy to something else", first)
			}
			return nil
		}},
	}
}

// withdrawalThen returns the expectations about the withdrawal of the latest proposal.
func withdrawalThen(w *world) []step {
	return []step{
		{`^the withdrawal names (p\d+) with a limit of (\d+) KiB and an estimate above it$`, func(who string, kib int) error {
			withdrawal, err := w.lastWithdrawal()
			if err != nil {
				return err
			}
			rejection := withdrawal.Rejections[who]
			limit := uint64(kib) << 10
			if rejection.LimitBytes != limit || rejection.EstimatedBytes <= limit || rejection.Cause == "" {
				return fmt.Errorf("the rejections are %+v", withdrawal.Rejections)
			}
			return nil
		}},
		{`^the withdrawal names the route "(.*)" (first|too)$`, func(route, position string) error {
			withdrawal, err := w.lastWithdrawal()
			for node, rejection := range withdrawal.Rejections {
				i := slices.Index(rejection.LargestRoutes, route)
				if i < 0 || (i == 0) != (position == "first") {
					err = errors.Join(err, fmt.Errorf("%s names %v", node, rejection.LargestRoutes))
				}
			}
			return err
		}},
		{`^the withdrawal contains "(.*)"$`, func(text string) error {
			withdrawal, err := w.lastWithdrawal()
			for node, rejection := range withdrawal.Rejections {
				if !strings.Contains(rejection.Cause, text) {
					err = errors.Join(err, fmt.Errorf("%s has the cause %q", node, rejection.Cause))
				}
			}
			return err
		}},
	}
}
