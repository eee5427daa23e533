package consensus

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/testing/testkit"
)

// fakeLeaseService records the terms in which it leads, and returns the due commands that the test sets.
type fakeLeaseService struct {
	fleetconfig.LeaseService
	terms     []uint64
	stepDowns int
	isMember  func(node string) bool
	due       []fleetconfig.Command
}

func (f *fakeLeaseService) BecomeLeader(_ time.Duration, term uint64) {
	f.terms = append(f.terms, term)
}
func (f *fakeLeaseService) StepDown() { f.stepDowns++ }
func (f *fakeLeaseService) HandleRenewal(_ time.Duration, r fleetconfig.Renewal) []fleetconfig.Command {
	if f.isMember(r.Node) {
		return nil
	}
	return []fleetconfig.Command{addMemberCommand(r.Node)}
}
func (f *fakeLeaseService) GrantLease(_ time.Duration, r fleetconfig.Renewal) (fleetconfig.Lease, bool) {
	return fleetconfig.Lease{Node: r.Node, Seq: r.Seq}, f.isMember(r.Node)
}
func (f *fakeLeaseService) DueCommands(time.Duration) []fleetconfig.Command { return f.due }

// newLeaseServers returns a cluster with a LeaseServer on each replica, its leader, and the leader's LeaseService.
func newLeaseServers(t *testing.T) (*cluster, *replica, *fakeLeaseService) {
	cluster := newCluster(t, 21, 3, nil)
	services := map[uint64]*fakeLeaseService{}
	for _, id := range cluster.ids {
		r := cluster.replicas[id]
		services[id] = &fakeLeaseService{isMember: func(node string) bool { return slices.Contains(r.state.IDs, "add "+node) }}
		r.leases = NewLeaseServer(r.node, services[id])
	}
	leader := cluster.leader()
	cluster.processWork(leader)
	return cluster, cluster.replicas[leader], services[leader]
}

func (r *replica) renew(t *testing.T, id uint64, node string) {
	t.Helper()
	if err := r.leases.Renew(0, id, fleetconfig.Renewal{Node: node, Seq: id}); err != nil {
		t.Fatal(err)
	}
}

func TestRenewalsAreConfirmedInBatches(t *testing.T) {
	cluster, leader, service := newLeaseServers(t)
	testkit.Equal(t, "terms", []uint64{leader.node.Term()}, service.terms)
	for i := range uint64(200) {
		leader.renew(t, i, fmt.Sprint("n", i%100)) // each node renews twice and is added once
	}
	replies, _, err := leader.leases.Run(0, leader.store, func(m Message) {
		cluster.inTransit = append(cluster.inTransit, messageInTransit{cluster.step + 1, leader.node.cfg.ID, m})
	})
	cluster.require(err)
	if len(replies) > 0 {
		t.Fatal("a lease was granted before the members were committed")
	}
	cluster.until("leases", func() bool { return len(leader.replies) == 200 })
	for i, r := range leader.replies {
		if r.Err != nil || r.ID != uint64(i) || r.Lease.Seq != r.ID {
			t.Fatalf("reply %d is %+v", i, r)
		}
	}
	if len(leader.state.IDs) != 100 {
		t.Fatalf("%d members were added for 100 nodes", len(leader.state.IDs))
	}
	leader.replies = nil
	before := leader.node.lastSeq
	for i := range uint64(200) {
		leader.renew(t, i, fmt.Sprint("n", i%100))
	}
	cluster.until("leases", func() bool { return len(leader.replies) == 200 })
	if rounds := leader.node.lastSeq - before; rounds != 1 {
		t.Fatalf("%d confirmations for one batch, want 1", rounds)
	}
}

func TestNoLeaseWhileActivationIsInFlight(t *testing.T) {
	cluster, leader, service := newLeaseServers(t)
	leader.renew(t, 1, "n")
	cluster.until("the first lease", func() bool { return len(leader.replies) == 1 })
	leader.replies = nil
	for id := range cluster.replicas { // the leader can neither commit nor confirm
		cluster.disconnected[link{id, leader.node.cfg.ID}] = true
	}
	service.due = []fleetconfig.Command{activateCommand(1)}
	leader.leases.Tick()
	cluster.processWork(leader.node.cfg.ID)
	service.due = nil
	leader.renew(t, 2, "n")
	cluster.tick()
	clear(cluster.disconnected)
	cluster.until("the next lease", func() bool {
		if len(leader.replies) > 0 && !slices.Contains(leader.state.IDs, "activate 1") {
			t.Fatal("a lease was granted between the decision and its commit")
		}
		return len(leader.replies) > 0
	})
}

func TestRejectedDueCommandIsNotRetriedWithoutTick(t *testing.T) {
	cluster, leader, service := newLeaseServers(t)
	service.due = []fleetconfig.Command{activateCommand(1)}
	leader.state.rejects = func(fleetconfig.Command) bool { return true }
	leader.leases.Tick()
	for range 5 {
		cluster.tick()
	}
	if n := len(leader.state.IDs); n != 1 {
		t.Fatalf("%d commands were applied without a Tick of the server, want 1", n)
	}
}

func TestPendingRenewalsFailWhenLeadershipIsLost(t *testing.T) {
	cluster, leader, service := newLeaseServers(t)
	cluster.partition(leader.node.cfg.ID)
	for i := range uint64(3) {
		leader.renew(t, i, "n")
	}
	cluster.until("the leader steps down", func() bool { return !leader.node.Leading() })
	cluster.processWork(leader.node.cfg.ID)
	if len(leader.replies) != 3 || leader.leases.PendingRenewals() != 0 {
		t.Fatalf("%d replies and %d pending renewals, want 3 and 0", len(leader.replies), leader.leases.PendingRenewals())
	}
	for _, r := range leader.replies {
		if !NotLeading.Matches(r.Err) {
			t.Fatalf("%+v", r)
		}
	}
	if service.stepDowns != 1 {
		t.Fatalf("the LeaseService stepped down %d times, want once", service.stepDowns)
	}
	if err := leader.leases.Renew(0, 9, fleetconfig.Renewal{Node: "n"}); !NotLeading.Matches(err) {
		t.Fatal(err)
	}
	clear(cluster.disconnected)
	if newLeader := cluster.leader(); cluster.replicas[newLeader] == leader && len(service.terms) != 2 {
		t.Fatalf("the replica leads again, but its LeaseService has led in the terms %d", service.terms)
	}
}
