package fleettest

import (
	"bufio"
	"bytes"
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"

	"example.org/micafront/internal/apperror"
)

// errDescriptors is the kind of errors for a fleet that needs more open files than the limit allows.
var errDescriptors = apperror.NewKind("fleettest/descriptors", "raise the hard limit of open files (ulimit -Hn), or play fewer "+
	"proxies, clients or endpoints")

// Upper bounds on the number of open files of a fleet in this process.
const (
	descriptorsOfHarness   = 100 // standard streams, pipes and servers
	descriptorsPerLink     = 3   // the listener, and the two ends of a persistent connection, which most links have
	descriptorsPerClient   = 5   // the client's connection, two ends on a link, one at the endpoint, and one in reserve
	descriptorsPerProxy    = 4   // the view of service discovery, and the pipe of the output
	discoveryLinksPerProxy = 1
)

// descriptorsNeeded returns an upper bound on the open files of a fleet in this process.
func (o Options) descriptorsNeeded() uint64 {
	linksPerProxy := len(poolNames)*o.EndpointsPerPool + o.ReplicaCount + discoveryLinksPerProxy
	if o.ReplicasServeLists { // each proxy has a view in front of each replica
		linksPerProxy += o.ReplicaCount
	}
	links := o.ProxyCount*linksPerProxy + o.ReplicaCount*o.ReplicaCount
	perProxy := descriptorsPerProxy + o.ClientsPerProxy*descriptorsPerClient
	return uint64(descriptorsOfHarness + links*descriptorsPerLink + o.ProxyCount*perProxy)
}

// checkDescriptors checks that the limit of open files suffices for the fleet. The Go runtime has already raised the soft limit to
// the hard limit.
func (o Options) checkDescriptors() error {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return errDescriptors.Wrap("limit of open files", err)
	}
	if need := o.descriptorsNeeded(); need > limit.Cur {
		return errDescriptors.New(fmt.Sprintf("%d proxies, %d replicas, %d clients each", o.ProxyCount, o.ReplicaCount,
			o.ClientsPerProxy),
			"this needs up to %d open files, the limit is %d", need, limit.Cur)
	}
	return nil
}

// Memory returns the memory of all proxies and replicas in bytes. It sums the kernel's proportional set size, which counts a page
// shared by several of them once.
func (f *Fleet) Memory() (sum int64) {
	for _, process := range f.processes() {
		process.mu.Lock()
		cmd := process.cmd
		process.mu.Unlock()
		if cmd == nil || cmd.Process == nil {
			continue
		}
		text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/smaps_rollup", cmd.Process.Pid)) // empty if the process has ended
		for scanner := bufio.NewScanner(bytes.NewReader(text)); scanner.Scan(); {
			if words := strings.Fields(scanner.Text()); len(words) == 3 && words[0] == "Pss:" {
				kib, _ := strconv.ParseInt(words[1], 10, 64) // the kernel writes a number
				sum += kib << 10
			}
		}
	}
	return sum
}

// processes returns the proxies and the replicas.
func (f *Fleet) processes() (all []*Process) {
	for _, p := range f.Proxies {
		all = append(all, p.Process)
	}
	for _, replica := range f.Replicas {
		all = append(all, replica.Process)
	}
	return all
}
