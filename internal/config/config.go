// Package config reads the configuration of a proxy: the EDGE_* environment variables and the file that EDGE_CONFIG
// names. The file is JSON, or a site file that a compiler converts to JSON.
//
// Load and Reload return either a fully validated Config or an error; they have no side effects. Each error has a kind of
// package apperror with a resolution. The main program and internal/proxy use a Config; internal/configbundle and
// internal/controlplane use the functions for its parts.
package config

import (
	"fmt"
	"net"
	"strconv"

	"example.org/micafront/balancer"
	"example.org/micafront/internal/discovery"
	"example.org/micafront/internal/routing"
	jsoniter "github.com/json-iterator/go"
)

// jsonCodec decodes configurations by the rules of encoding/json.
var jsonCodec = jsoniter.ConfigCompatibleWithStandardLibrary

// Names of the environment variables. All except EDGE_CONFIG and TMPDIR override a member of the file.
const (
	envConfig    = "EDGE_CONFIG"
	envName      = "EDGE_NAME"
	envListen    = "EDGE_LISTEN"
	envDiscovery = "EDGE_DISCOVERY"
	envOperator  = "EDGE_OPERATOR"
	envTempDir   = "TMPDIR"
)

// Config is the configuration of one proxy process.
type Config struct {
	Name           string // name of the proxy
	Listen         string // address of the main listener
	Discovery      string // address of the discovery service
	AdminAddr      string // address of the admin endpoint; "" disables it
	Seed           uint64 // seed of the balancers' random numbers
	MemoryMB       int    // memory limit of the process, in MiB; 0: none
	MaxDescriptors int    // limit on open file descriptors; 0: the limit of the process
	// InitialEndpoints is the endpoint list in use until discovery responds.
	InitialEndpoints discovery.List
	Settings         balancer.Settings
	// LoadIsLatency reports whether the number in an endpoint's load report is the latency of a message in milliseconds.
	// Endpoints of some sites report latency but no load.
	LoadIsLatency bool
	// Routes assigns connections to pools. Without routes in the file, one pool contains all endpoints.
	Routes *routing.Table
	// Fleet configures the control plane; nil: there is none, and the file's settings and routes are active.
	Fleet *Fleet

	// TempDir is the directory for files that two processes on one machine share; "": none.
	TempDir string

	fileDiscovery string     // discovery address in the file, which the environment may override
	document      jsonObject // the whole file; Reload requires its keys in the next file
}

// file is the JSON form of the configuration. Members that other packages decode remain text.
type file struct {
	Name      string              `json:"name"`
	Listen    string              `json:"listen"`
	Discovery string              `json:"discovery"`
	Operator  string              `json:"operator"`
	Seed      string              `json:"seed"` // hexadecimal
	Limits    fileLimits          `json:"limits"`
	Known     jsoniter.RawMessage `json:"known"`
	Settings  jsoniter.RawMessage `json:"settings"`
	Routing   jsoniter.RawMessage `json:"routing"`
	Fleet     jsoniter.RawMessage `json:"fleet"`
}

// fileLimits contains the limits of the process; 0: none.
type fileLimits struct {
	MemoryMB int `json:"memory_mb"` // MiB
	Sockets  int `json:"sockets"`   // descriptors
}

// emptyList is the endpoint list used if the file contains none.
const emptyList = `{"instances":[]}`

// Load reads the environment and the file that EDGE_CONFIG names. The environment overrides the file. For a site file it
// runs the compiler, for up to compileTimeout.
func Load(env func(string) string) (*Config, error) { return load(env, nil) }

// Reload reads the file again while the program runs. It differs from Load in two ways. A discovery address that has changed
// in the file overrides the environment, because the environment of a running process cannot be changed. The file must
// contain all keys of the file that c was read from.
func (c *Config) Reload(env func(string) string) (*Config, error) { return load(env, c) }

// ValidateAddress returns an error if addr is not a numeric IP address and port. Port 0, which lets the system choose a port,
// is valid only if listens is set. The error has no kind; the caller adds one and names the member.
func ValidateAddress(addr string, listens bool) error {
	host, portText, err := net.SplitHostPort(addr)
	port, portErr := strconv.ParseUint(portText, 10, 16)
	isNumeric := err == nil && portErr == nil && net.ParseIP(host) != nil
	if !isNumeric || port == 0 && !listens {
		return fmt.Errorf("%q is not a numeric address and port", addr)
	}
	return nil
}

// load reads the configuration. previous is the configuration in use, or nil when the program starts.
func load(env func(string) string, previous *Config) (*Config, error) {
	path := env(envConfig)
	if path == "" {
		return nil, missingValue.New("", "EDGE_CONFIG is not set; micafront demo runs an example site, micafront --help lists the commands")
	}
	text, compiled, err := readFile(path, env)
	if err != nil {
		return nil, unreadableFile.Wrap(envConfig, err)
	}
	parsed, document, err := parseFile(path, text)
	if err != nil {
		return nil, err
	}
	if previous != nil && !compiled { // the compiler has checked the keys of a site file
		if err := checkDroppedKeys(previous.document, document, ""); err != nil {
			return nil, fmt.Errorf("%s: %w", path, err)
		}
	}
	c := &Config{
		Name:           parsed.Name,
		Listen:         parsed.Listen,
		Discovery:      parsed.Discovery,
		AdminAddr:      parsed.Operator,
		MemoryMB:       parsed.Limits.MemoryMB,
		MaxDescriptors: parsed.Limits.Sockets,
		TempDir:        env(envTempDir),
		fileDiscovery:  parsed.Discovery,
		document:       document,
	}
	if err := c.applyEnvironment(env, previous, path); err != nil {
		return nil, err
	}
	if err := c.checkAddresses(); err != nil {
		return nil, err
	}
	if err := c.decodeMembers(parsed, path); err != nil {
		return nil, err
	}
	return c, nil
}

// parseFile decodes the file into its members, and into the document with which the keys of later files are compared.
func parseFile(path string, text []byte) (parsed file, document jsonObject, err error) {
	if !jsonCodec.Valid(text) {
		return parsed, nil, malformedMember.New(path, "not valid JSON")
	}
	if err := jsonCodec.Unmarshal(text, &parsed); err != nil {
		return parsed, nil, malformedMember.Wrap(path, fmt.Errorf("not valid: %w", err))
	}
	if err := jsonCodec.Unmarshal(text, &document); err != nil {
		return parsed, nil, malformedMember.Wrap(path, fmt.Errorf("not valid: %w", err))
	}
	return parsed, document, nil
}

// applyEnvironment overrides members with environment variables and checks that all except the admin address are set.
func (c *Config) applyEnvironment(env func(string) string, previous *Config, path string) error {
	for _, member := range []struct {
		variable string
		override string
		value    *string
		optional bool
	}{
		{variable: envName, override: env(envName), value: &c.Name},
		{variable: envListen, override: env(envListen), value: &c.Listen},
		{variable: envDiscovery, override: c.discoveryOverride(env, previous), value: &c.Discovery},
		{variable: envOperator, override: env(envOperator), value: &c.AdminAddr, optional: true},
	} {
		if member.override != "" {
			*member.value = member.override
		}
		if *member.value == "" && !member.optional {
			return missingValue.New("", "%s is not set, and %s has no value for it", member.variable, path)
		}
	}
	return nil
}

// discoveryOverride returns the discovery address that overrides the one in the file. When the program starts, this is the
// address in the environment. On a reload it is the address in use, unless the address in the file has changed.
func (c *Config) discoveryOverride(env func(string) string, previous *Config) string {
	switch {
	case previous == nil:
		return env(envDiscovery)
	case c.fileDiscovery != previous.fileDiscovery:
		return c.fileDiscovery
	}
	return previous.Discovery
}

func (c *Config) checkAddresses() error {
	if err := checkAddress("listen", c.Listen, true); err != nil {
		return err
	}
	if err := checkAddress("discovery", c.Discovery, false); err != nil {
		return err
	}
	if c.AdminAddr == "" {
		return nil
	}
	return checkAddress("operator", c.AdminAddr, true)
}

// checkAddress returns an error that names the member if its address is invalid.
func checkAddress(member, addr string, listens bool) error {
	if err := ValidateAddress(addr, listens); err != nil {
		return invalidAddress.New("", "%s address %v", member, err)
	}
	return nil
}

// decodeMembers decodes and checks the members of the file that no environment variable overrides.
func (c *Config) decodeMembers(parsed file, path string) error {
	var err error
	if c.Seed, err = strconv.ParseUint(parsed.Seed, 16, 64); err != nil {
		return invalidValue.New(path, "seed %q is not a 64-bit number in hexadecimal", parsed.Seed)
	}
	if c.MemoryMB < 0 {
		return invalidValue.New(path, "limits.memory_mb: %d is below 0", c.MemoryMB)
	}
	if c.MaxDescriptors < 0 {
		return invalidValue.New(path, "limits.sockets: %d is below 0", c.MaxDescriptors)
	}
	known := parsed.Known
	if len(known) == 0 {
		known = jsoniter.RawMessage(emptyList)
	}
	if c.InitialEndpoints, err = discovery.ParseList(known); err != nil {
		return malformedMember.New(path, "known: %v", err)
	}
	if c.Settings, c.LoadIsLatency, err = DecodeSettings(parsed.Settings); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if c.Fleet, err = decodeFleet(parsed.Fleet, c.Name); err != nil {
		return fmt.Errorf("%s: %w", path, err)
	}
	if c.Routes, err = compileRoutes(parsed.Routing); err != nil {
		return fmt.Errorf("%s: routing: %w", path, err)
	}
	return nil
}
