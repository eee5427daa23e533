// Package fleettest runs a fleet on loopback: proxies and control-plane replicas as real processes, and a fake service
// discovery, endpoints and clients in this process. The proxies and replicas reach each other, the endpoints and service
// discovery through faultinject links. The package kills, pauses and restarts processes on a schedule and reports how long two
// proxies acted on conflicting versions of the configuration, whether each request got exactly one final answer, and whether a
// version was lost. Its own tests and the command play use it.
//
// # How overlaps of versions are measured
//
// Each version routes one class of keys, the contested class, to the next pool, so the endpoint that receives a request line
// identifies the version that the proxy followed. A proxy acts on a version when it writes the request line. The link between
// proxy and endpoint records the time of the write from the kernel's timestamp of the bytes, which lies within the write call.
// Neither a fault on that link nor a slow reader in this process therefore shifts it. The overlap of a version is the time
// from the first line that follows it, from any proxy, to the last line that follows an earlier version.
//
// # Why the verdict does not depend on the machine's speed
//
// The guarantee excludes one case: if a proxy is suspended after it reads the clock and before it writes, the line is late by the
// length of the suspension. A loaded machine suspends every process for some milliseconds, and SIGSTOP does it for seconds. So a
// line beyond the agreement timeout is a violation only if the proxy had time to notice that its lease had expired: between the
// end of the timeout and the write, it must have been able to run for longer than ReactionTime in total. Three sources show when it
// could not run: the harness's own SIGSTOP and SIGCONT; the time that its threads waited for a processor, which the kernel
// counts (/proc/PID/task/*/schedstat); and the time that the hypervisor took from the machine's processors (steal in
// /proc/stat). Lines excused for these reasons are counted and reported. All other assertions are about events: answers,
// active versions, and the contents of replicas.
package fleettest
