// Package soak runs real proxy processes for a few seconds under mixed, seeded faults and checks three rules: each request that was
// sent on an accepted connection gets a final answer before its deadline, no attempt begins after the deadline of its request or
// after its client has closed, and an established connection works until its client is notified to move. The tests of cmd/micafront
// run it with their own binary as the proxy.
//
// The seed decides which faults a run has: many idle clients, lists of thousands of endpoints that are replaced in batches, processes
// that are suspended, signals in quick succession, restarts with a kill at the earliest time that operators allow, steps of the wall
// clock, and failing system calls. Two runs with one seed still differ in the timing of the kernel and the scheduler.
package soak
