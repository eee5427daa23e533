// Command 1 plays a new configuration that drops a pool, while requests wait that may fall back to that pool. It checks that the
// proxy goes on and that each request gets its final answer.
package main

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"example.org/micafront/review/rig"
)

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const (
	busyAfter   = 250 * time.Millisecond
	clientPause = 50 * time.Millisecond
	patience    = 1800 * time.Millisecond
	life        = 20 * time.Second
)

// twoPools is a routing with two pools by zone, as the sample site of the repository.
const twoPools = `{"default":"feeds",
 "policies":[{"name":"patient","attempts":5,"fallback":["dakar"]}],
 "pools":[{"name":"thies","select":{"zones":["thies"]}},{"name":"dakar","select":{"zones":["dakar"]}}],
 "routes":[{"name":"feeds","match":{"class":["album-feed"]},"policy":"patient","to":[{"pool":"thies","ppm":1000000}]}],
 "zones":[{"name":"thies"},{"name":"dakar"}]}`

// onePool is the same without the second pool.
const onePool = `{"default":"feeds",
 "policies":[{"name":"patient","attempts":5}],
 "pools":[{"name":"thies","select":{"zones":["thies"]}}],
 "routes":[{"name":"feeds","match":{"class":["album-feed"]},"policy":"patient","to":[{"pool":"thies","ppm":1000000}]}],
 "zones":[{"name":"thies"},{"name":"dakar"}]}`

func main() {
	root := flag.String("root", ".", "the repository's root")
	folder := flag.String("folder", ".", "the case's folder")
	flag.Parse()
	os.Exit(run(*root, *folder, os.Getenv("TROUBLE") != "0"))
}

func run(root, folder string, trouble bool) int {
	record, err := rig.NewRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println(err)
		return cannotRun
	}
	defer record.Close()
	temp, err := os.MkdirTemp("", "review")
	if err != nil {
		record.Stage("cannot run: no temporary folder")
		return cannotRun
	}
	defer func() { _ = os.RemoveAll(temp) }()
	code, err := play(record, root, temp, trouble)
	if err != nil {
		record.Stage("cannot run: %s", strings.ReplaceAll(err.Error(), temp, "TEMP"))
		return cannotRun
	}
	return code
}

func play(record *rig.Record, root, temp string, trouble bool) (int, error) {
	var servers []*rig.Server
	var entries []rig.Entry
	for i, zone := range []string{"thies", "thies", "dakar", "dakar"} {
		server, err := rig.NewServer(record, fmt.Sprintf("s-%d", i+1))
		if err != nil {
			return cannotRun, err
		}
		defer server.Stop()
		servers = append(servers, server)
		entries = append(entries, server.Entry(zone, i/2))
	}
	discovery := rig.NewDiscovery(record, 0, entries...)
	defer discovery.Close()
	addr, err := discovery.Listen("p1")
	if err != nil {
		return cannotRun, err
	}
	proxy, err := rig.NewProxy(record, root, temp, "p1", rig.Config{
		Discovery: addr,
		Known:     discovery.List(),
		Settings:  rig.Settings(1, 0, "thies"),
		Routing:   json.RawMessage(twoPools),
	})
	if err != nil {
		return cannotRun, err
	}
	defer proxy.Kill()
	if err := proxy.Start(); err != nil {
		return cannotRun, err
	}
	if err := proxy.Ready(10 * time.Second); err != nil {
		return cannotRun, err
	}
	time.Sleep(2 * time.Second)
	clients := rig.NewClients(record)
	for range 40 {
		clients.Open("p1", proxy.Config.Listen, "album-feed", patience, life)
		time.Sleep(clientPause)
	}
	record.Stage("feed servers of the first pool are full")
	servers[0].SetFull(busyAfter)
	servers[1].SetFull(busyAfter)
	for i := range 60 {
		clients.Open("p1", proxy.Config.Listen, "album-feed", patience, life)
		time.Sleep(clientPause)
		if trouble && i == 30 {
			record.Stage("a new configuration drops the second pool")
			proxy.Config.Routing = json.RawMessage(onePool)
			if err := proxy.WriteConfig(); err != nil {
				return cannotRun, err
			}
			proxy.Signal(syscall.SIGHUP)
		}
	}
	time.Sleep(3 * time.Second)
	return judge(record, proxy, clients), nil
}

// judge returns broken if the process has ended, or if a request that the proxy accepted got no final answer.
func judge(record *rig.Record, proxy *rig.Proxy, clients *rig.Clients) int {
	record.Stage("answers: %v", clients.Count("", time.Time{}))
	lost := 0
	for _, answer := range clients.Answers() {
		if strings.HasPrefix(answer.First, "no answer") {
			lost++
			record.Printf("LOST: %s, %s", answer.Request, answer.First)
		}
	}
	crashed := !proxy.Running()
	if crashed {
		for line := range strings.SplitSeq(proxy.Log(), "\n") {
			if strings.HasPrefix(line, "panic") || strings.HasPrefix(line, "example.org/micafront/internal/proxy") {
				record.Printf("log of p1: %s", line)
			}
		}
	}
	if crashed || lost > 0 {
		record.Stage("rule broken: crashed: %v; requests without a final answer: %d", crashed, lost)
		return broken
	}
	record.Stage("rule held")
	return held
}
