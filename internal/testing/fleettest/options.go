package fleettest

import (
	"time"

	"example.org/micafront/internal/fleetconfig"
)

// Options describes a fleet.
type Options struct {
	Programs map[string]string // paths by name, as Build returns them
	Dir      string            // folder for configuration files and data
	Seed     uint64            // seed of the clients and of the links' faults

	ProxyCount      int
	ReplicaCount    int // 0: no control plane; new versions are written to the proxies' files
	ClientsPerProxy int
	RequestInterval time.Duration // average time between a client's requests

	EndpointsPerPool int
	// ConnSetupTime is how long a warm endpoint takes to set up a connection. It takes coldSetupFactor times as long while it
	// warms up.
	ConnSetupTime time.Duration
	WarmUpTime    time.Duration // how long a restarted endpoint warms up

	DiscoveryRate      float64 // requests per second that service discovery accepts; 0: unlimited
	ReplicasServeLists bool    // whether replicas follow service discovery, and proxies watch the endpoint list at replicas

	// The fields of fleetconfig.Terms.
	AgreementTimeout time.Duration                 // upper bound on overlaps of versions
	MemberTimeout    time.Duration                 // how long an unreachable proxy blocks a version
	OnLeaseExpiry    fleetconfig.LeaseExpiryPolicy // empty: RejectOnExpiry
}

// coldSetupFactor multiplies ConnSetupTime while an endpoint warms up.
const coldSetupFactor = 10
