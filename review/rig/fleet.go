package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"time"
)

// Commands, as in deploy/balancer.toml (run) and docs/FLEET.md.
const (
	ProxyCommand   = "exec bin/micafront"
	ReplicaCommand = "exec bin/micafront-controlplane --config "
)

// Settings returns the settings of the first operator's site, as the wire page shows them, for one of its proxies.
func Settings(balancers, me int, zone string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(settingsForm, balancers, me, zone))
}

const settingsForm = `{"Azs":["thies","dakar"],"Balancers":%d,
 "Blend":{"Whole":0.4,"WorstClass":0.3,"WorstTenant":0.0,"WorstWindow":0.3},"Callers":{"MarksRetry":true},
 "Categories":[{"Aim":0.3,"Credit":5.0,"DedupScope":"all","Effect":"safe","GiveUp":1.8,"LateShare":0.0,"MemorySpan":5.0,
 "Name":"album-feed","Streaming":true},{"Aim":0.3,"Credit":3.0,"DedupScope":"all","Effect":"safe","GiveUp":1.8,"LateShare":0.0,
 "MemorySpan":5.0,"Name":"album-notes","Streaming":true}],
 "Costs":{"Connection":0.0,"CrossZone":0.1,"Discovery":0.01,"Handshake":0.0,"LateFail":0.15,"Moves":0.024,"Origin":0.0,"Peer":0.0,
 "Probe":0.002,"Waste":0.2},"CountedBy":"request","Customers":[],"Discovery":"subscribe",
 "FamilyInfo":{"Groups":true,"Hint":"usual load of the connection","MessageAim":[0.25,0.05],"Mode":"pass","Notes":"1 the load now",
 "Park":7.597168,"ReportX0":"load asked of the server over what it can do","ReportX1":"seconds of work piled up","TellsDelay":true,
 "TellsLoad":false,"TenantQuotaConnections":[]},
 "Invariants":{"AnswerSlack":0.016,"AskEvery":10.0,"Cold":8.9,"ColdFrom":0.3,"DrainGrace":3.0,"Fall":1.0,"OverloadFactor":3.0},
 "Layer":0,"Layers":["feed-servers"],
 "Limits":{"AttemptsCap":6,"ConnIdle":60.0,"ConnectTimeout":0.2,"CpuUsPerRequest":0.0,"CpuUsPerS":12000,"MaxOpen":1500000,
 "MaxRetryAfter":1.0,"MayCancel":true,"Peers":false,"Probes":true,"RetryAfter":true,"SecondCopies":false,"StreamsPerConn":1048576},
 "MachineTypes":["type-a","type-b","type-c"],"Me":%d,"OverShareWorth":0.1,"Resolution":0.004,"ServiceType":"conn",
 "Stats":{"Fields":[],"How":"none"},"WeightSource":"nominal","Zone":"%s"}`

// Config is a proxy's configuration file.
type Config struct {
	Name      string          `json:"name"`
	Listen    string          `json:"listen"`
	Discovery string          `json:"discovery"`
	Seed      string          `json:"seed"`
	Limits    Limits          `json:"limits"`
	Known     json.RawMessage `json:"known"`
	Settings  json.RawMessage `json:"settings"`
	Routing   json.RawMessage `json:"routing,omitempty"`
	Fleet     *FleetRecord    `json:"fleet,omitempty"`
	Operator  string          `json:"operator,omitempty"`
}

// Limits are a proxy's limits.
type Limits struct {
	Cores    float64 `json:"cores"`
	MemoryMB int     `json:"memory_mb"`
	Sockets  int     `json:"sockets"`
}

// FleetRecord makes a proxy take its configuration from a control plane.
type FleetRecord struct {
	Keepers   []string `json:"keepers"`
	OnSilence string   `json:"on_silence,omitempty"`
}

// WriteJSON writes a value to a file, by renaming.
func WriteJSON(path string, value any) error {
	text, err := json.MarshalIndent(value, "", " ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(path+".new", text, 0o600); err != nil {
		return err
	}
	return os.Rename(path+".new", path)
}

// Proxy is a proxy's process with its configuration.
type Proxy struct {
	*Process
	Config     Config
	ConfigPath string
}

// NewProxy returns a proxy that is not started, with a free address and the limits of a small deployment.
func NewProxy(record *Record, root, temp, name string, config Config) (*Proxy, error) {
	var err error
	if config.Listen == "" {
		if config.Listen, err = FreeAddr(); err != nil {
			return nil, err
		}
	}
	config.Name = name
	config.Seed = "8c1f30d27a5be964"
	config.Limits = Limits{Cores: 1, MemoryMB: 192, Sockets: 1024}
	path := filepath.Join(temp, name+".json")
	process, err := NewProcess(record, root, temp, name, ProxyCommand, "EDGE_CONFIG="+path)
	if err != nil {
		return nil, err
	}
	return &Proxy{process, config, path}, WriteJSON(path, config)
}

// WriteConfig writes the proxy's configuration file again.
func (p *Proxy) WriteConfig() error { return WriteJSON(p.ConfigPath, p.Config) }

// Ready waits until the proxy answers PING with PONG.
func (p *Proxy) Ready(timeout time.Duration) error {
	clients := &Clients{record: p.record}
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		answer, conn, _ := clients.request(p.Config.Listen, "PING\r\n", time.Second)
		if conn != nil {
			conn.Close()
		}
		if answer == "PONG" {
			p.record.Printf("run %s: answers PONG", p.Name)
			return nil
		}
		if !p.Running() {
			break
		}
	}
	return fmt.Errorf("%s is not ready", p.Name)
}

// Replica is a control-plane replica's process.
type Replica struct {
	*Process
	Addr       string
	ConfigPath string
	Config     ReplicaConfig
}

// ReplicaConfig is a replica's configuration file.
type ReplicaConfig struct {
	ID        int               `json:"id"`
	Listen    string            `json:"listen"`
	Data      string            `json:"data"`
	Peers     map[string]string `json:"peers"`
	Discovery string            `json:"discovery,omitempty"`
}

// NewReplicas returns replicas that are not started. discovery has the address of each one's discovery; "" for none.
func NewReplicas(record *Record, root, temp string, discovery []string) ([]*Replica, error) {
	peers := map[string]string{}
	var replicas []*Replica
	for i := range discovery {
		addr, err := FreeAddr()
		if err != nil {
			return nil, err
		}
		peers[strconv.Itoa(i+1)] = addr
	}
	for i := range discovery {
		name := "replica" + strconv.Itoa(i+1)
		path := filepath.Join(temp, name+".json")
		process, err := NewProcess(record, root, temp, name, ReplicaCommand+path)
		if err != nil {
			return nil, err
		}
		addr := peers[strconv.Itoa(i+1)]
		config := ReplicaConfig{ID: i + 1, Listen: addr, Data: filepath.Join(process.Dir(), "data"), Peers: peers, Discovery: discovery[i]}
		if err := WriteJSON(path, config); err != nil {
			return nil, err
		}
		replicas = append(replicas, &Replica{process, addr, path, config})
	}
	return replicas, nil
}

// Call sends an HTTP request to a replica or an operator's address and returns the status and the body.
func Call(record *Record, method, addr, path string, body any, timeout time.Duration) (int, string, error) {
	var text []byte
	if raw, ok := body.(json.RawMessage); ok {
		text = raw
	} else if body != nil {
		var err error
		if text, err = json.Marshal(body); err != nil {
			return 0, "", err
		}
	}
	req, err := http.NewRequest(method, "http://"+addr+path, bytes.NewReader(text))
	if err != nil {
		return 0, "", err
	}
	req.Close = true
	client := &http.Client{Timeout: timeout}
	resp, err := client.Do(req)
	if err != nil {
		record.Printf("call %s %s: %s", method, path, short(err))
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	record.Printf("call %s %s: %d, %d bytes", method, path, resp.StatusCode, len(answer))
	return resp.StatusCode, string(answer), err
}

// AwaitLeader waits until a replica knows a leader, and returns its number from 1 on.
func AwaitLeader(record *Record, replicas []*Replica, timeout time.Duration) (int, error) {
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * pollInterval) {
		for _, replica := range replicas {
			if !replica.Running() {
				continue
			}
			_, text, err := Call(record, http.MethodGet, replica.Addr, "/v1/status", nil, time.Second)
			var status struct{ Leader int }
			if err == nil && json.Unmarshal([]byte(text), &status) == nil && status.Leader > 0 && status.Leader <= len(replicas) &&
				replicas[status.Leader-1].Running() {
				return status.Leader, nil
			}
		}
	}
	return 0, fmt.Errorf("no leader in %v", timeout)
}

// ProposeFirst proposes the fleet's first version at any replica.
func ProposeFirst(record *Record, replicas []*Replica, settings json.RawMessage, onSilence string, timeout time.Duration) error {
	proposal := map[string]any{
		"id": "first", "by": "operator", "why": "first version",
		"body": map[string]any{"settings": settings, "list_floor": 0, "fleet": map[string]any{"on_silence": onSilence}},
	}
	var last string
	for deadline := time.Now().Add(timeout); time.Now().Before(deadline); time.Sleep(10 * pollInterval) {
		for _, replica := range replicas {
			status, text, err := Call(record, http.MethodPost, replica.Addr, "/v1/propose?wait=active", proposal, 5*time.Second)
			if err == nil && status == http.StatusOK {
				return nil
			}
			last = text
		}
	}
	return fmt.Errorf("the first version was not accepted: %s", last)
}
