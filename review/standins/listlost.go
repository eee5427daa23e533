package main

import (
	"errors"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

func init() { plays["listlost"] = playListLost }

// Times of the case.
const (
	listLostClients = 25 * time.Millisecond // between two new clients
	listLostAfter   = 5 * time.Second       // from the drain to the upgrade
	listLostWatch   = 6 * time.Second
	drainGrace      = 3 * time.Second        // Invariants.DrainGrace of the settings
	drainSlack      = 300 * time.Millisecond // 50 ms by the page, and 250 ms for this machine
)

// twoPools is the routing that the new file has: a pool for each zone.
const twoPools = `,"routing":{"pools":[{"name":"a","select":{"zones":["a"]}},{"name":"b","select":{"zones":["b"]}}],
"routes":[{"name":"all","to":[{"pool":"a","ppm":500000},{"pool":"b","ppm":500000}]}]}`

// playListLost lets discovery tell a proxy that two of its endpoints drain, and upgrades the proxy some seconds later by a hot
// restart to a file with pools, whose known list is from before. It may not send new work to these endpoints later than DrainGrace
// after it was told.
func playListLost(w *world) error {
	d := newDiscovery(w)
	onOpen := func(e *endpoint, id string, at time.Time) {
		if told := d.toldAt("n1", e.ID); !told.IsZero() && at.Sub(told) > drainGrace+drainSlack {
			w.breakRule("request %s was sent to %s, %.3f s after the proxy was told that %s drains", id, e.ID, at.Sub(told).Seconds(), e.ID)
		}
	}
	var endpoints []*endpoint
	for _, name := range []string{"a1", "a2", "b1", "b2"} {
		e, err := newEndpoint(w, "s-"+name, onOpen)
		if err != nil {
			return err
		}
		e.Zone = name[:1]
		d.set(e.entry)
		endpoints = append(endpoints, e)
	}
	known, _ := d.since(0)
	old, err := w.startSingle(d, known, "")
	if err != nil {
		return err
	}
	stop := make(chan struct{})
	var clients sync.WaitGroup
	clients.Go(func() {
		for n := 1; ; n++ {
			select {
			case <-time.After(listLostClients):
				clients.Go(func() { onePoolClient(w, old.addr, n) })
			case <-stop:
				return
			}
		}
	})
	time.Sleep(3 * time.Second)
	d.set(endpoints[0].drain(), endpoints[2].drain())
	time.Sleep(listLostAfter)
	if d.toldAt("n1", "s-a1").IsZero() {
		return errors.New("the proxy was not told of the drain")
	}
	if w.trouble {
		text, err := os.ReadFile(old.config)
		if err != nil {
			return err
		}
		changed := strings.TrimSuffix(string(text), "}") + twoPools + "}"
		if err := os.WriteFile(old.config, []byte(changed), 0o600); err != nil {
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
	if err := old.await("hot restart: successor serves"); err != nil {
		return err
	}
	old.signal(syscall.SIGTERM)
	time.Sleep(listLostWatch)
	close(stop)
	clients.Wait()
	return nil
}
