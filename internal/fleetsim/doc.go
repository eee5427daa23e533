// Package fleetsim simulates a whole fleet in one process and in virtual time: control-plane replicas, proxies, meshes, an
// operator, the links between them, and drifting clocks. It runs the same fleetconfig and consensus code as the programs.
// A discrete-event engine drives that code, so a simulated minute takes milliseconds, and two runs with the same seed have
// identical traces.
//
// A proxy acts on a version when it places a connection in the pool to which the version routes the connection's key. Two
// versions contradict each other on a key if they route it to different pools. True time is the engine's time. Simulated
// machines cannot read it; each one has its own clock.
//
// The package checks these invariants during a run:
//
//   - I1: no proxy acts on a version later than AgreementTimeout after another proxy acted on a newer, contradicting version.
//   - I2: a lease reflects every command that was committed when its renewal arrived, and a repeated proposal gets the same
//     answer.
//   - I3: replicas that have applied the same commands have the same state.
//   - I4: a version has the same contents, and each name in it the same meaning, at every process; a catalog depends only on
//     the set of its inputs, not on their order.
//   - I5: no proxy prepares a version that exceeds its memory limit.
//   - I6: within a bounded time after all faults have ended, all proxies act on the active version.
//   - I7: a mesh is marked lost only after its timeout, and a name does not change its owner while the owner keeps it.
//
// Explore runs a fleet under random faults, and the command in the directory explore runs many seeds. The scenarios in the
// directory features drive a fleet step by step.
//
// A planted fault is a defect that Hooks introduce into the simulated programs on purpose. It shows that a check detects the
// defect against which it guards.
package fleetsim
