package fleettest

import (
	"time"

	"example.org/micafront/internal/fleetconfig"
)

// Options describe a fleet.
type Options struct {
	Programs map[string]string // paths by name, as Build returns them
	Dir      string            // for configuration files and data
	Seed     uint64            // of clients and of the links' faults

	ProxyCount      int
	ReplicaCount    int // 0: without a control plane, new versions are written to the proxies' files
	ClientsPerProxy int
	RequestInterval time.Duration // between a client's requests, on average

	EndpointsPerPool int
	// ConnSetupTime is how long an endpoint takes to set a connection up; coldSetupFactor times as long while it warms up.
	ConnSetupTime time.Duration
	WarmUpTime    time.Duration // of a restarted endpoint

	DiscoveryRate      float64 // requests per second that service discovery accepts; 0: any number
	ReplicasServeLists bool    // the replicas follow service discovery, and proxies watch the endpoint list there

	// The fleet's terms.
	AgreementTimeout time.Duration                 // the bound of overlaps
	MemberTimeout    time.Duration                 // for how long an unreachable proxy blocks a version
	OnLeaseExpiry    fleetconfig.LeaseExpiryPolicy // empty: RejectOnExpiry
}

// coldSetupFactor is by how much a connection costs more while an endpoint warms up.
const coldSetupFactor = 10
