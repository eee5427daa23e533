package fleettest

import (
	"encoding/json"
	"fmt"
	"strings"

	"example.org/micafront/internal/fleetconfig"
	"example.org/micafront/internal/routing"
)

// Prefixes of the two classes of keys. Consecutive versions route the contested class to different pools. All versions route the
// plain class to the first pool.
const (
	ContestedClass = "x"
	PlainClass     = "y"
)

// PoolCount is the number of pools.
const PoolCount = 4

// poolNames lists the pools. Each pool selects the endpoints of the zone with the same name. With four pools, the pool that
// receives a request line identifies the line's version even if that is up to two versions stale.
var poolNames = [PoolCount]string{"a", "b", "c", "d"}

// poolOfEndpoint returns the pool of an endpoint by its ID, which endpointID formats.
func poolOfEndpoint(id string) string {
	return strings.TrimRight(strings.TrimPrefix(id, "s-"), "0123456789")
}

// endpointID returns the ID of a pool's i-th endpoint, counted from 0: "s-", the pool's name, and i+1.
func endpointID(pool string, i int) string { return fmt.Sprintf("s-%s%d", pool, i+1) }

// contestedPool returns the pool to which a version routes the contested class.
func contestedPool(version uint64) string { return poolNames[version%uint64(len(poolNames))] }

// settings is the JSON encoding of the proxies' settings, with one category.
const settings = `{"Balancers":1,"Me":0,"Zone":"a","Discovery":"subscribe",
	"Categories":[{"Name":"feed","Aim":1,"GiveUp":30,"Credit":1,"Effect":"safe","DedupScope":"all"}],
	"Limits":{"AttemptsCap":4,"ConnectTimeout":2,"MaxRetryAfter":1,"MaxOpen":100000,"RetryAfter":true,"MayCancel":true},
	"Invariants":{"AnswerSlack":0.016,"AskEvery":1,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":3,"Fall":1,"OverloadFactor":3}}`

// routes returns the JSON encoding of a version's pools and routes.
func routes(version uint64) json.RawMessage {
	var set routing.Set
	for _, pool := range poolNames {
		set.Pools = append(set.Pools, routing.Pool{Name: pool, Select: routing.EndpointSelector{Zones: []string{pool}}})
	}
	set.Routes = []routing.Route{
		routeOfClass("contested", ContestedClass, contestedPool(version)),
		routeOfClass("plain", PlainClass, poolNames[0]),
	}
	text, err := json.Marshal(set)
	if err != nil {
		panic(fmt.Sprint("fleettest: encoding routes: ", err)) // unreachable: the set contains no value that JSON cannot encode
	}
	return text
}

// routeOfClass returns a route that sends all keys of a class to one pool.
func routeOfClass(name, class, pool string) routing.Route {
	return routing.Route{
		Name:  name,
		Match: routing.Match{Key: routing.StringMatcher{Prefix: []string{class}}},
		To:    []routing.SplitShare{{Pool: pool, PPM: routing.TotalPPM}},
	}
}

// proxyConfig is a proxy's configuration file.
type proxyConfig struct {
	Name      string              `json:"name"`
	Listen    string              `json:"listen"`
	Discovery string              `json:"discovery"`
	Seed      string              `json:"seed"` // hexadecimal
	Limits    proxyLimits         `json:"limits"`
	Known     json.RawMessage     `json:"known"` // endpoint list
	Settings  json.RawMessage     `json:"settings"`
	Routing   json.RawMessage     `json:"routing"`
	Fleet     *controlPlaneConfig `json:"fleet,omitempty"`
	Operator  string              `json:"operator,omitempty"` // address of the admin API
}

// proxyLimits bounds a proxy's use of its machine.
type proxyLimits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// controlPlaneConfig is the control-plane section of a proxy's configuration.
type controlPlaneConfig struct {
	Keepers       []string                      `json:"keepers"` // addresses of the replicas
	Node          string                        `json:"node"`
	AgreeWithinMS int64                         `json:"agree_within_ms"` // Terms.AgreementTimeout
	KnowForMS     int64                         `json:"know_for_ms"`     // Terms.MemberTimeout
	OnSilence     fleetconfig.LeaseExpiryPolicy `json:"on_silence"`
}

// replicaConfig is a replica's configuration file.
type replicaConfig struct {
	ID        uint64            `json:"id"`
	Listen    string            `json:"listen"`
	Data      string            `json:"data"`  // folder
	Peers     map[string]string `json:"peers"` // address by ID
	Discovery string            `json:"discovery,omitempty"`
}
