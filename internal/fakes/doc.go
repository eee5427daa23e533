// Package fakes simulates a proxy's peers on loopback: service discovery, endpoints and clients.
//
// A test controls each line of ScriptedDiscovery, ScriptedEndpoint and Peer. DiscoveryServer, Endpoint and Clients act
// autonomously, for the demonstration, the benchmarks and the fleet trials; endpoints and clients report to a
// ProtocolChecker. The package implements only the public protocol and shares no code with the proxy.
package fakes

import "time"

// WaitTimeout limits how long a test waits for an expected event. It only affects how soon a test fails.
const WaitTimeout = 60 * time.Second

// loopback is the listen address of all peers; the kernel chooses the port.
const loopback = "127.0.0.1:0"
