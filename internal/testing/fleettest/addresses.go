package fleettest

import (
	"fmt"
	"os"
)

// Loopback hosts of the listeners. A restarted process listens on a new port, and another process may reuse the old one. The
// replicas, the admin listeners and each proxy therefore use different addresses, so that a client with an outdated address
// is refused instead of being answered by the wrong process.
const (
	replicaHost = "127.0.0.2"
	adminHost   = "127.0.0.3"
)

// proxyHost returns the host of the i-th proxy, counted from 1. It includes the process ID, so that fleets of concurrent test
// processes rarely share a host.
func proxyHost(i int) string { return fmt.Sprintf("127.%d.%d.%d", 1+os.Getpid()%250, i>>8&255, i&255) }
