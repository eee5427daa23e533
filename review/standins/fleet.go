package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"time"
)

// fleet is a control plane of three replicas, and proxies.
type fleet struct {
	world        *world
	replicaAddrs []string
	replicaFiles []string
	replicas     []*process
	proxyAddrs   []string
	adminAddrs   []string
	proxyEnv     [][]string
	proxies      []*process
}

const replicaCount = 3

// newFleet reserves addresses and writes the replicas' files. discoveryAddr is the address of discovery for the replicas; "" if
// they follow none.
func newFleet(w *world, discoveryAddr string) (*fleet, error) {
	f := &fleet{world: w}
	var err error
	if f.replicaAddrs, err = freeAddrs(replicaCount); err != nil {
		return nil, err
	}
	peers := map[string]string{}
	for i, addr := range f.replicaAddrs {
		peers[strconv.Itoa(i+1)] = addr
	}
	for i, addr := range f.replicaAddrs {
		file := map[string]any{"id": i + 1, "listen": addr, "data": filepath.Join(w.dir, fmt.Sprint("replica", i+1)), "peers": peers}
		if discoveryAddr != "" {
			file["discovery"] = discoveryAddr
		}
		text, err := json.Marshal(file)
		if err != nil {
			return nil, err
		}
		path := filepath.Join(w.dir, fmt.Sprintf("replica%d.json", i+1))
		if err := os.WriteFile(path, text, 0o600); err != nil {
			return nil, err
		}
		f.replicaFiles = append(f.replicaFiles, path)
	}
	f.replicas = make([]*process, replicaCount)
	return f, nil
}

// startReplica starts a replica, counted from 0.
func (f *fleet) startReplica(i int) error {
	var err error
	f.replicas[i], err = f.world.start(fmt.Sprint("replica", i+1), "exec bin/micafront-controlplane --config "+f.replicaFiles[i])
	if err != nil {
		return err
	}
	return f.replicas[i].await("serves at")
}

// startReplicas starts all replicas.
func (f *fleet) startReplicas() error {
	for i := range f.replicaFiles {
		if err := f.startReplica(i); err != nil {
			return err
		}
	}
	return nil
}

// call sends a request to the first replica and returns its answer.
func (f *fleet) call(method, path, body string) (status int, text string, err error) {
	client := http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+f.replicaAddrs[0]+path, bytes.NewBufferString(body))
	if err != nil {
		return 0, "", err
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", err
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp.StatusCode, string(answer), err
}

// propose proposes a version with these settings and routes until a replica has committed it.
func (f *fleet) propose(id, settings, routing string) error {
	if routing != "" {
		routing = `,"routing":` + routing
	}
	body := fmt.Sprintf(`{"id":%q,"by":"operator","why":"test","body":{"settings":%s%s,"list_floor":0,
"fleet":{"within_us":2000000,"know_us":10000000,"on_silence":"hold","drift_ppm":1000}}}`, id, settings, routing)
	return eventually(10*time.Second, func() error {
		status, text, err := f.call(http.MethodPost, "/v1/propose", body)
		if err == nil && status != http.StatusOK {
			err = fmt.Errorf("propose: %d %s", status, text)
		}
		return err
	})
}

// addProxy starts a proxy that joins the fleet.
func (f *fleet) addProxy(name, discoveryAddr string, known list, settings, routing string) error {
	addrs, err := freeAddrs(2)
	if err != nil {
		return err
	}
	replicas, err := json.Marshal(f.replicaAddrs)
	if err != nil {
		return err
	}
	members := fmt.Sprintf(`,"operator":%q,"fleet":{"keepers":%s,"node":%q,"on_silence":"hold"}`, addrs[1], replicas, name)
	if routing != "" {
		members += `,"routing":` + routing
	}
	text, err := proxyFile(name, addrs[0], discoveryAddr, known, settings, members)
	if err != nil {
		return err
	}
	dir := filepath.Join(f.world.dir, name)
	if err := os.Mkdir(dir, 0o700); err != nil {
		return err
	}
	path := filepath.Join(dir, "config.json")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	env := []string{"EDGE_CONFIG=" + path, "TMPDIR=" + dir}
	p, err := f.world.start(name, "exec bin/micafront", env...)
	if err != nil {
		return err
	}
	f.proxies = append(f.proxies, p)
	f.proxyAddrs = append(f.proxyAddrs, addrs[0])
	f.adminAddrs = append(f.adminAddrs, addrs[1])
	f.proxyEnv = append(f.proxyEnv, env)
	return p.await("serves at")
}

// telemetry returns a figure of a proxy's telemetry; "" if it cannot be had.
func telemetry(adminAddr, name string) string {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Get("http://" + adminAddr + "/api/telemetry")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	text, _ := io.ReadAll(resp.Body) // what came before an error is searched, too
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, name+"="); ok {
			return strings.TrimSpace(value)
		}
	}
	return ""
}

// awaitTelemetry waits until a figure of a proxy has a value.
func (f *fleet) awaitTelemetry(i int, name, want string, within time.Duration) error {
	return eventually(within, func() error {
		if got := telemetry(f.adminAddrs[i], name); got != want {
			return fmt.Errorf("proxy %d has %s=%q, not %q", i, name, got, want)
		}
		return nil
	})
}
