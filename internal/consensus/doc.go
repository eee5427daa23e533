// Package consensus replicates a log of commands among a fixed set of control-plane replicas, using raft (Ongaro and
// Ousterhout, "In search of an understandable consensus algorithm", 2014; the library is go.etcd.io/raft). A LeaseServer
// and a CatalogProposer share a Node and act while it leads. internal/controlplane runs them with HTTP and bbolt,
// internal/fleetsim in simulations.
//
// The package is deterministic: it does no I/O, reads no clock, starts no goroutines, and draws random numbers only from a
// seed. Its input is ticks and messages; it returns what to save, what to send, and the outcome:
//
//	for {
//		work, err := node.Work()  // nil: nothing to do
//		storage.Save(*work.Save)  // first, and durably; nil: nothing to save
//		send(work.Messages)       // after the save
//		outcome, err := node.Done()
//	}
//
// The raft library draws its election timeouts from the process's random source, which would make runs nondeterministic.
// A Node therefore ticks the library only while it leads, because heartbeats and the quorum check draw no random numbers.
// Otherwise the Node counts the ticks itself. ElectionTicks after the leader's last message it forgets the leader, which
// ends the leader lease that the quorum check grants. It campaigns after a random number of ticks between ElectionTicks
// and twice that, drawn from its seed.
//
// The set of replicas never changes: it is part of the first snapshot, with which every replica's log begins. Replicas
// trust one another. A message that no replica sends is rejected, and a message that contradicts the log stops this
// replica, but anyone who can send messages in a replica's name can corrupt the state.
package consensus
