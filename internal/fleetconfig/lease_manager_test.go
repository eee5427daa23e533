package fleetconfig

import (
	"testing"
	"time"

	"example.org/micafront/internal/apperror"
	"example.org/micafront/internal/testing/testkit"
)

// leaseManagerFixture is a leading replica and the state that its commands are applied to.
type leaseManagerFixture struct {
	*LeaseManager
	t     *testing.T
	state *StateMachine
}

const second = time.Second

// newLeadingManager returns a manager that has led since 100 s in term 7, with version 2 active and the given members.
func newLeadingManager(t *testing.T, members ...AddMember) leaseManagerFixture {
	state := stateMachineAtVersion2(t, members...)
	fixture := leaseManagerFixture{NewLeaseManager(state), t, state}
	fixture.BecomeLeader(100*second, 7)
	return fixture
}

// renew handles a renewal and tries to grant a lease.
func (f leaseManagerFixture) renew(at time.Duration, r Renewal) []Command {
	if r.Incarnation == 0 {
		r.Incarnation = 1
	}
	due := f.HandleRenewal(at, r)
	f.GrantLease(at, r)
	return due
}

// due applies the due commands and returns their descriptions.
func (f leaseManagerFixture) due(at time.Duration) []string {
	f.t.Helper()
	var descriptions []string
	for _, c := range f.DueCommands(at) {
		descriptions = append(descriptions, describeCommand(c))
		if a := applyAll(f.t, f.state, c); a.Err != nil {
			f.t.Errorf("%s: %v", describeCommand(c), a.Err)
		}
	}
	return descriptions
}

func describeCommand(c Command) string {
	switch {
	case c.Activate != nil:
		return "activate"
	case c.Withdraw != nil:
		return "withdraw"
	case c.RemoveMember != nil:
		return "remove " + c.RemoveMember.Node
	}
	return "?"
}

func (f leaseManagerFixture) requestLease(at time.Duration, r Renewal) (Lease, bool) {
	if r.Incarnation == 0 {
		r.Incarnation = 1
	}
	return f.GrantLease(at, r)
}

// defaultMemberExpiry is how long a decision waits for a member under the default terms.
const defaultMemberExpiry = 10*second + 40*time.Millisecond

func TestProposedVersionIsDecided(t *testing.T) {
	const at, leads = 101 * second, 100 * second
	ready, unresponsive := Renewal{PreparedVersion: 3}, Renewal{Node: "-"}
	rejects := func(n uint64) Renewal {
		return Renewal{RejectedVersion: n, Rejection: &Rejection{Kind: "k", Cause: "2 GiB"}}
	}
	for name, c := range map[string]struct {
		force bool
		a, b  Renewal                   // received from the two members at 101 s
		then  func(leaseManagerFixture) // called after that; nil: nothing
		at    time.Duration             // when the due commands are requested
		want  []string                  // the due commands
	}{
		"all members are ready":                            {a: ready, b: ready, at: at, want: []string{"activate"}},
		"one is not ready":                                 {a: ready, at: at + defaultMemberExpiry},
		"prepared another version":                         {a: ready, b: Renewal{PreparedVersion: 2}, at: at + defaultMemberExpiry},
		"another process is ready":                         {a: ready, b: Renewal{Incarnation: 9, PreparedVersion: 3}, at: leads + defaultMemberExpiry},
		"one is unresponsive":                              {a: ready, at: at + defaultMemberExpiry + 1, want: []string{"activate"}},
		"no renewal since the election, until the timeout": {a: ready, b: unresponsive, at: leads + defaultMemberExpiry},
		"no renewal since the election, after the timeout": {a: ready, b: unresponsive, at: leads + defaultMemberExpiry + 1, want: []string{"activate"}},
		"one drains":                                       {a: ready, b: Renewal{Draining: true}, at: at, want: []string{"remove b", "activate"}},
		"one rejects":                                      {b: rejects(3), at: at, want: []string{"withdraw"}},
		"one rejects another version":                      {a: ready, b: rejects(2), at: at},
		"one rejects a forced version":                     {force: true, a: ready, b: rejects(3), at: at, want: []string{"activate"}},
		"forced, and one is pending":                       {force: true, b: rejects(3), at: at},
		"an earlier renewal arrives late": {a: ready, b: Renewal{Seq: 5, PreparedVersion: 3}, at: at, want: []string{"activate"},
			then: func(fixture leaseManagerFixture) { fixture.renew(at, Renewal{Node: "b", Seq: 4}) }},
		"a late renewal confirms no later lease": {a: ready, b: Renewal{Seq: 5, FirstUnanswered: 5}, at: at + defaultMemberExpiry,
			then: func(fixture leaseManagerFixture) {
				fixture.HandleRenewal(at, Renewal{Node: "b", Incarnation: 1, Seq: 4, FirstUnanswered: 1})
			}},
		"a new leader has received no renewal": {a: ready, b: ready, then: func(fixture leaseManagerFixture) { fixture.BecomeLeader(at, 8) }, at: at + second},
		"leadership lost":                      {a: ready, b: ready, then: func(fixture leaseManagerFixture) { fixture.StepDown() }, at: at},
		"members unresponsive for long are removed": {a: ready, at: at + 60*defaultMemberExpiry + 1,
			want: []string{"remove a", "remove b", "activate"}},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newLeadingManager(t, AddMember{"a", 1}, AddMember{"b", 1})
			applyAll(t, fixture.state, proposeCommand(Propose{Body: settingsBody(`{}`), Force: c.force}))
			for node, r := range map[string]Renewal{"a": c.a, "b": c.b} {
				if r.Node != unresponsive.Node {
					r.Node = node
					fixture.renew(at, r)
				}
			}
			if c.then != nil {
				c.then(fixture)
			}
			testkit.Equal(t, "due", c.want, fixture.due(c.at))
		})
	}
}

// A node renews every second and reports that its leases do not arrive. It must get no lease in the last quarter of the
// member timeout, so that the version can become active without it, and one more lease per member timeout after that.
func TestLeasesAreWithheldFromUnreachableNode(t *testing.T) {
	const from, to = 101, 130
	all := make([]int, 0, to-from)
	for s := from; s < to; s++ {
		all = append(all, s)
	}
	for name, c := range map[string]struct {
		change   func(s int, r *Renewal) // changes the renewal of a second; nil: nothing
		granted  []int                   // the seconds in which a lease is granted
		blocking []int                   // the seconds after the member timeout in which the node blocks the version
	}{
		"unreachable": {nil, []int{101, 102, 103, 104, 105, 106, 107, 118, 129}, []int{118, 129}},
		"reachable again": {func(s int, r *Renewal) {
			if s >= 119 {
				r.FirstUnanswered = r.Seq
			}
		}, append([]int{101, 102, 103, 104, 105, 106, 107}, all[118-from:]...), all[118-from:]},
		"two leases lost": {func(_ int, r *Renewal) { r.FirstUnanswered = r.Seq - r.Seq%3 }, all, all[111-from:]},
		"does not report": {func(_ int, r *Renewal) { r.FirstUnanswered = 0 }, all, all[111-from:]},
		"rejects":         {func(_ int, r *Renewal) { r.RejectedVersion, r.Rejection = 3, &Rejection{} }, all, nil},
		"ready":           {func(_ int, r *Renewal) { r.PreparedVersion = 3 }, all, nil},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newLeadingManager(t, AddMember{"b", 1})
			applyAll(t, fixture.state, proposeCommand(Propose{Body: settingsBody(`{}`)}))
			var granted, blocking []int
			for s := from; s < to; s++ {
				at := time.Duration(s) * second
				r := Renewal{Node: "b", Incarnation: 1, Seq: uint64(s - 100), FirstUnanswered: 1}
				if c.change != nil {
					c.change(s, &r)
				}
				fixture.HandleRenewal(at, r)
				if _, ok := fixture.GrantLease(at, r); ok {
					granted = append(granted, s)
				}
				if at > 100*second+defaultMemberExpiry && fixture.Status(at)[0].BlocksProposal {
					blocking = append(blocking, s)
				}
			}
			testkit.Equal(t, "granted", c.granted, granted)
			testkit.Equal(t, "blocks the version", c.blocking, blocking)
		})
	}
}

func TestRejectionWithdrawsOrExcludes(t *testing.T) {
	rejection := &Rejection{Kind: "footprint/too-heavy", Cause: "2 GiB", EstimatedBytes: 2 << 30, LargestRoutes: []string{"r"}}
	rejecting := Renewal{Node: "b", RejectedVersion: 3, Rejection: rejection}
	fixture := newLeadingManager(t, AddMember{"a", 1}, AddMember{"b", 1})
	applyAll(t, fixture.state, proposeCommand(Propose{Body: settingsBody(`{}`)}))
	fixture.renew(101*second, rejecting)
	fixture.due(101 * second)
	history := fixture.state.History()
	testkit.Equal(t, "history entry", HistoryEntry{fixture.state.lastIndex, 3, "withdrawn", "refused by 1: b: 2 GiB (footprint/too-heavy)",
		map[string]Rejection{"b": *rejection}}, history[len(history)-1])

	applyAll(t, fixture.state, proposeCommand(Propose{Body: settingsBody(`{}`), Force: true}))
	rejecting.RejectedVersion = 4
	fixture.renew(102*second, rejecting)
	if lease, ok := fixture.requestLease(102*second, rejecting); !ok || lease.ProposedVersion != 4 || !lease.Forced || lease.Excluded {
		t.Errorf("the lease of a rejecting node is %+v", lease)
	}
	fixture.renew(102*second, Renewal{Node: "a", PreparedVersion: 4})
	fixture.due(102 * second)
	for _, c := range []struct {
		r        Renewal
		excluded bool
	}{{rejecting, true}, {Renewal{Node: "b", Seq: 1, PreparedVersion: 4}, false}, {Renewal{Node: "b", Seq: 2, ActiveVersion: 4}, false},
		{Renewal{Node: "a"}, false}} {
		fixture.renew(103*second, c.r)
		if lease, ok := fixture.requestLease(103*second, c.r); !ok || lease.ActiveVersion != 4 || lease.Excluded != c.excluded {
			t.Errorf("renewal %+v is answered by %+v, want version 4 and excluded %v", c.r, lease, c.excluded)
		}
	}
}

// A decision is binding from when it is returned, not from when it applies. With a lease granted in between, a skipped
// node could rely on the active version for another member timeout.
func TestNoLeaseForNodesThatAPendingDecisionSkips(t *testing.T) {
	fixture := newLeadingManager(t, AddMember{"a", 1}, AddMember{"b", 1}, AddMember{"c", 1})
	applyAll(t, fixture.state, proposeCommand(Propose{Body: settingsBody(`{}`)}))
	a, b := Renewal{Node: "a", PreparedVersion: 3}, Renewal{Node: "b"}
	late := 111 * second
	fixture.renew(late, a)
	fixture.renew(late, Renewal{Node: "c", PreparedVersion: 3})
	decided := fixture.DueCommands(late)
	fixture.renew(late, b)
	testkit.Equal(t, "decision after another renewal of b", decided, fixture.DueCommands(late))
	if lease, ok := fixture.requestLease(late, b); ok {
		t.Errorf("b gets the lease %+v, want none", lease)
	}
	if lease, ok := fixture.requestLease(late, a); !ok || lease.ActiveVersion != 2 || lease.ProposedVersion != 3 {
		t.Errorf("a gets the lease %+v, %v", lease, ok)
	}
	fixture.due(late)
	if lease, ok := fixture.requestLease(late, b); !ok || lease.ActiveVersion != 3 || lease.Term != 7 || lease.ActiveDigest == "" || lease.Terms.AgreementTimeout != 2*second {
		t.Errorf("after the activation b gets the lease %+v, %v", lease, ok)
	}

	removals := fixture.DueCommands(late + 60*defaultMemberExpiry + 1)
	later := late + 61*defaultMemberExpiry
	if len(removals) != 3 || len(fixture.renew(later, b)) != 0 {
		t.Fatalf("%d removals, want 3 and no command for the renewal", len(removals))
	}
	if _, ok := fixture.requestLease(later, b); ok {
		t.Error("b gets a lease while its removal is pending")
	}
	applyAll(t, fixture.state, removals...)
	join := fixture.renew(later, b)
	if len(join) != 1 || join[0].AddMember == nil {
		t.Fatalf("b must be added again, got %+v", join)
	}
	if _, ok := fixture.requestLease(later, b); ok {
		t.Error("b gets a lease before it is added")
	}
	applyAll(t, fixture.state, join...)
	if a := applyAll(t, fixture.state, removals[1]); !NotMember.Matches(a.Err) {
		t.Errorf("the earlier removal ends the new membership: %v", a.Err)
	}
	if _, ok := fixture.requestLease(later, b); !ok {
		t.Error("b is a member and gets no lease")
	}
}

func TestSupersededProcessMustExpire(t *testing.T) {
	fixture := newLeadingManager(t, AddMember{"a", 1})
	earlier, later := Renewal{Node: "a", PreparedVersion: 3}, Renewal{Node: "a", Incarnation: 2, PreparedVersion: 3}
	fixture.renew(101*second, Renewal{Node: "a"})
	applyAll(t, fixture.state, fixture.renew(102*second, later)...)
	applyAll(t, fixture.state, proposeCommand(Propose{Body: settingsBody(`{}`)}))
	fixture.renew(102*second, later)
	fixture.renew(103*second, earlier) // must not be recorded nor extend the wait
	if _, ok := fixture.requestLease(103*second, earlier); ok {
		t.Error("a superseded process gets a lease")
	}
	testkit.Equal(t, "while its lease may be unexpired", []string(nil), fixture.due(101*second+defaultMemberExpiry))
	fixture.renew(110*second, later)
	testkit.Equal(t, "after the timeout", []string{"remove a", "activate"}, fixture.due(101*second+defaultMemberExpiry+1))
	testkit.Equal(t, "members", []Member{{"a", 2, 5}}, fixture.state.Members())

	applyAll(t, fixture.state, Command{AddMember: &AddMember{"a", 3}}, proposeCommand(Propose{Body: settingsBody(`{}`)}))
	fixture.renew(112*second, Renewal{Node: "a", Incarnation: 3, PreparedVersion: 4})
	draining := Renewal{Node: "a", Incarnation: 2, Draining: true, Seq: 9}
	fixture.renew(112*second, draining)
	testkit.Equal(t, "after it reported the drain", []string{"remove a", "activate"}, fixture.due(112*second))
	if _, ok := fixture.requestLease(112*second, draining); !ok || len(fixture.renew(112*second, draining)) != 0 {
		t.Error("the drain is not confirmed, or the process is added again")
	}
	if _, ok := fixture.requestLease(112*second, Renewal{Node: "a", Incarnation: 2, Seq: 8}); ok {
		t.Error("an earlier renewal of the draining process gets a lease")
	}
}

func TestLongestUnexpiredMemberTimeoutApplies(t *testing.T) {
	state := NewStateMachine()
	proposeTimeout := func(d time.Duration) Command {
		p := settingsBody(`{}`)
		p.Fleet = Terms{MemberTimeout: d}
		return proposeCommand(Propose{Body: p})
	}
	applyAll(t, state, proposeTimeout(100*second), Command{AddMember: &AddMember{"a", 1}}, proposeTimeout(10*second), Command{Activate: &Activate{Number: 2}})
	fixture := leaseManagerFixture{NewLeaseManager(state), t, state}
	fixture.BecomeLeader(100*second, 1)
	fixture.renew(105*second, Renewal{Node: "a"})
	applyAll(t, state, proposeTimeout(20*second))
	expired := 100*second + 100*second + 400*time.Millisecond // since the election, a lease of version 1 with its drift
	testkit.Equal(t, "while leases of version 1 may be unexpired", []string(nil), fixture.due(expired))
	testkit.Equal(t, "after the timeout", []string{"activate"}, fixture.due(expired+1))
	if v, _ := state.Active(); v.MaxMemberTimeout != 20*second {
		t.Errorf("the maximum member timeout after the activation is %v, want 20s", v.MaxMemberTimeout)
	}
}

func TestStatusNamesBlockingMembers(t *testing.T) {
	fixture := newLeadingManager(t, AddMember{"a", 1}, AddMember{"b", 1}, AddMember{"c", 1})
	applyAll(t, fixture.state, proposeCommand(Propose{Body: settingsBody(`{}`)}))
	fixture.renew(105*second, Renewal{Node: "a", PreparedVersion: 3})
	fixture.renew(109*second, Renewal{Node: "c", ActiveVersion: 2})
	testkit.Equal(t, "status", []NodeStatus{
		{Renewal{Node: "a", Incarnation: 1, PreparedVersion: 3}, 6 * second, false, false, false},
		{Renewal{Node: "b", Incarnation: 1}, 11 * second, true, false, false},
		{Renewal{Node: "c", Incarnation: 1, ActiveVersion: 2}, 2 * second, false, false, true},
	}, fixture.Status(111*second))
}

func TestLeaseManagerIsInactiveUntilItLeads(t *testing.T) {
	manager := NewLeaseManager(stateMachineAtVersion2(t, AddMember{"a", 1}))
	r := Renewal{Node: "a", Incarnation: 1}
	_, ok := manager.GrantLease(0, r)
	if ok || manager.HandleRenewal(0, r) != nil || manager.DueCommands(time.Hour) != nil || manager.Status(time.Hour) != nil {
		t.Error("a manager that does not lead grants a lease, returns commands or reports members")
	}
	manager.BecomeLeader(0, 1)
	if _, ok := manager.GrantLease(0, r); ok {
		t.Error("a renewal that it has not handled gets a lease")
	}
	for _, name := range []string{"", "\xff", string(make([]byte, MaxNodeNameBytes+1))} {
		if manager.HandleRenewal(0, Renewal{Node: name, Incarnation: 1}) != nil || len(manager.sessions) != 0 {
			t.Errorf("a renewal of node %.10q is accepted", name)
		}
	}
	if kinds := apperror.Kinds(); len(kinds) < len(answerKinds) {
		t.Errorf("%d kinds of errors are registered, want at least %d", len(kinds), len(answerKinds))
	}
}
