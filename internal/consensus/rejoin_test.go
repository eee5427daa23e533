package consensus

import (
	"fmt"
	"slices"
	"testing"

	"example.org/micafront/internal/testing/testkit"
	"pgregory.net/rapid"
)

func TestReplicaRejoinsAfterDataLoss(t *testing.T) {
	testkit.Property(t, func(r *rapid.T) {
		cluster := newCluster(t, rapid.Uint64().Draw(r, "seed"), rapid.SampledFrom([]int{3, 5}).Draw(r, "replicas"), func(c *Config) {
			c.SnapshotEvery, c.KeepEntries = rapid.SampledFrom([]uint64{4, 100}).Draw(r, "snapshot every"), 2
		})
		cluster.maxDelay = 3
		commit := func(n int) {
			for i := range n {
				acknowledged, next := len(cluster.acknowledged), cluster.step
				cluster.until("a proposal", func() bool { // proposals may be lost in a change of leaders
					if cluster.step >= next {
						_, _ = cluster.propose(cluster.leader(), fmt.Sprint(i, "/", cluster.step))
						next = cluster.step + 40
					}
					return len(cluster.acknowledged) > acknowledged
				})
			}
		}
		for range 2 {
			commit(rapid.IntRange(1, 6).Draw(r, "before"))
			id := rapid.SampledFrom(cluster.ids).Draw(r, "lost")
			cluster.loseData(id, true)
			if rapid.Bool().Draw(r, "crash") {
				cluster.tick()
				cluster.crash(id)
				cluster.start(id) // the replica must still be rejoining
			}
			commit(rapid.IntRange(1, 6).Draw(r, "after"))
			cluster.until("the replica caught up", func() bool {
				return !cluster.replicas[id].node.Rejoining() && len(cluster.replicas[id].state.IDs) == len(cluster.applied)
			})
			cluster.crash(id)
			cluster.start(id)
			if cluster.replicas[id].node.voteBarrier == 0 || cluster.replicas[id].node.voteBarrier == noVotes {
				t.Fatalf("after a restart the vote barrier is %d", cluster.replicas[id].node.voteBarrier)
			}
		}
		for id := range cluster.acknowledged {
			if !slices.Contains(cluster.applied, id) {
				t.Fatalf("%q was acknowledged but not applied", id)
			}
		}
	})
}

func TestRejoiningReplicaDoesNotVoteForStaleCandidate(t *testing.T) {
	for _, rejoin := range []bool{true, false} {
		cluster := newCluster(t, 13, 3, nil)
		leader := cluster.leader()
		behind, lost := cluster.ids[leader%3], cluster.ids[(leader+1)%3]
		cluster.partition(behind)
		cluster.commit("on two replicas")
		clear(cluster.disconnected)
		cluster.partition(leader)
		cluster.inTransit = nil // a delayed message from the leader would reveal the data loss
		cluster.loseData(lost, rejoin)
		elected := false
		for range 200 {
			cluster.tick()
			elected = elected || cluster.replicas[behind].node.LeaderReady() || cluster.replicas[lost].node.LeaderReady()
		}
		if elected == rejoin { // without Rejoin the election must succeed and lose the command
			t.Fatalf("with rejoin %v, the other two replicas elected a leader: %v", rejoin, elected)
		}
		if !rejoin {
			continue
		}
		clear(cluster.disconnected)
		cluster.commit("later")
		cluster.until("all agree", func() bool {
			return len(cluster.replicas[lost].state.IDs) == 2 && len(cluster.replicas[behind].state.IDs) == 2
		})
		testkit.Equal(t, "order", []string{"on two replicas", "later"}, cluster.applied)
	}
}

func TestUnnoticedDataLossIsDetected(t *testing.T) {
	cluster := newCluster(t, 17, 3, nil)
	leader := cluster.leader()
	lost := cluster.ids[leader%3]
	for i := range 3 {
		cluster.commit(fmt.Sprint(i))
	}
	cluster.until("all have the commands", func() bool { return len(cluster.replicas[lost].state.IDs) == 3 })
	cluster.loseData(lost, false)
	node := cluster.replicas[lost].node
	var err error
	for range 20 {
		cluster.step++
		due := cluster.inTransit
		cluster.inTransit = nil
		for _, m := range due {
			if m.message.To == lost && err == nil {
				err = node.Step(m.message.Bytes)
			}
		}
		cluster.require(cluster.replicas[leader].node.Tick())
		cluster.processWork(leader)
	}
	if !LostData.Matches(err) {
		t.Fatalf("the data loss was not detected: %v", err)
	}
}
