// Package soak plays short, seeded runs of real proxy processes under mixed faults and checks the rules that hold for each request:
// every one that was sent on an accepted connection gets a final answer in its time, no attempt begins after its client has gone
// or its time is over, and an established connection is used until its client is told to move. The tests of cmd/micafront run it
// with their own binary as the program.
//
// A seed decides which faults a run has: crowds of idle clients, lists of thousands of endpoints that are replaced in parts,
// processes that are stopped for a while, signals in series, restarts with a kill at the earliest time that operators allow, wall
// clocks that are set, and system calls that fail. What the kernel and the scheduler make of it still differs from run to run.
package soak
