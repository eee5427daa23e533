package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["onepool"] = playOnePool }

const (
	onePoolClients = 200
	onePoolPace    = 50 * time.Millisecond // between two new clients
)

// onePoolRouting is the routing that the new file has: one pool, of the endpoints in zone a.
const onePoolRouting = `,"routing":{"pools":[{"name":"home","select":{"zones":["a"]}}],"routes":[{"name":"all","to":[{"pool":"home","ppm":1000000}]}]}`

// playOnePool gives a proxy without routes a file with one pool, which selects the endpoints of zone a, and upgrades it: by a hot
// restart, or, without the disruption, by a stop and a start. From then on no endpoint of zone b may get new work.
func playOnePool(w *world) error {
	var mu sync.Mutex
	upgraded := false
	counts := map[string]int{}
	onOpen := func(e *endpoint, id string, _ time.Time) {
		mu.Lock()
		defer mu.Unlock()
		if upgraded {
			counts[e.ID]++
			if e.Zone != "a" {
				w.breakRule("%s in zone %s, which is in no pool, got request %s", e.ID, e.Zone, id)
			}
		}
	}
	d := newDiscovery(w)
	for _, zone := range []string{"a", "b"} {
		for i := range 2 {
			e, err := newEndpoint(w, fmt.Sprint("s-", zone, i+1), onOpen)
			if err != nil {
				return err
			}
			e.Zone = zone
			d.set(e.entry)
		}
	}
	known, _ := d.since(0)
	old, err := w.startSingle(d, known, "")
	if err != nil {
		return err
	}
	for n := range onePoolClients / 10 {
		onePoolClient(w, old.addr, n)
		time.Sleep(onePoolPace)
	}
	text, err := os.ReadFile(old.config)
	if err != nil {
		return err
	}
	changed := strings.TrimSuffix(string(text), "}") + onePoolRouting + "}"
	if err := os.WriteFile(old.config, []byte(changed), 0o600); err != nil {
		return err
	}
	end := func() error {
		old.signal(syscall.SIGTERM)
		select {
		case <-old.done:
			return nil
		case <-time.After(startTimeout):
			return errors.New("the old process did not end")
		}
	}
	if !w.trouble {
		if err := end(); err != nil {
			return err
		}
	}
	next, err := w.start("new", "exec bin/micafront", old.env...)
	if err != nil {
		return err
	}
	if err := next.await("serves at"); err != nil {
		return err
	}
	if w.trouble {
		if err := old.await("hot restart: successor serves"); err != nil {
			return err
		}
		if err := end(); err != nil {
			return err
		}
	}
	mu.Lock()
	upgraded = true
	mu.Unlock()
	for n := range onePoolClients {
		onePoolClient(w, old.addr, onePoolClients+n)
		time.Sleep(onePoolPace)
	}
	mu.Lock()
	defer mu.Unlock()
	w.logf("requests after the upgrade: %v", counts)
	if counts["s-a1"]+counts["s-a2"] == 0 {
		return errors.New("no client was served")
	}
	return nil
}

// onePoolClient is a client that leaves once it is served.
func onePoolClient(w *world, addr string, n int) {
	conn, err := net.Dial("tcp", addr)
	if err != nil {
		w.logf("client %d: %v", n, err)
		return
	}
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
	if _, err := fmt.Fprintf(conn, "OPEN %016x key%d c=album-feed,d=1800,g=g%d\r\n", n, n, n); err != nil {
		return
	}
	line, err := bufio.NewReader(conn).ReadString('\n')
	w.logf("client %d got %q, %v", n, line, err)
}
