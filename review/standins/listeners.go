package main

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"os"
	"strings"
	"syscall"
	"time"
)

func init() { plays["listeners"] = playListeners }

// Times of the case.
const (
	listenersClients = 50 * time.Millisecond // between two new clients of one listener
	listenersSettle  = 500 * time.Millisecond
)

// listenerRoutes returns routing with two listeners, whose connections go to a pool of their own each.
func listenerRoutes(gold, blue string) string {
	return fmt.Sprintf(`{"listeners":{"gold":%q,"blue":%q},
"pools":[{"name":"gold","select":{"zones":["a"]}},{"name":"blue","select":{"zones":["b"]}}],
"routes":[{"name":"gold","match":{"listener":["gold"]},"to":[{"pool":"gold","ppm":1000000}]},
{"name":"blue","match":{"listener":["blue"]},"to":[{"pool":"blue","ppm":1000000}]}]}`, gold, blue)
}

// playListeners changes the addresses of two listeners in the file and upgrades the proxy by a hot restart. From then on the clients
// of each address have to be served by the pool of the listener that the file has there.
func playListeners(w *world) error {
	d := newDiscovery(w)
	for _, zone := range []string{"a", "b"} {
		e, err := newEndpoint(w, "s-"+zone, func(*endpoint, string, time.Time) {})
		if err != nil {
			return err
		}
		e.Zone = zone
		d.set(e.entry)
	}
	addrs, err := freeAddrs(2)
	if err != nil {
		return err
	}
	known, _ := d.since(0)
	old, err := w.startSingle(d, known, `,"routing":`+listenerRoutes(addrs[0], addrs[1]))
	if err != nil {
		return err
	}
	if err := listenerClients(w, addrs, "before the upgrade", 20); err != nil {
		return err
	}
	if w.trouble {
		text, err := os.ReadFile(old.config)
		if err != nil {
			return err
		}
		changed := strings.Replace(string(text), listenerRoutes(addrs[0], addrs[1]), listenerRoutes(addrs[1], addrs[0]), 1)
		if err := os.WriteFile(old.config, []byte(changed), 0o600); err != nil {
			return err
		}
		addrs[0], addrs[1] = addrs[1], addrs[0]
	}
	next, err := w.start("new", "exec bin/micafront", old.env...)
	if err != nil {
		return err
	}
	for _, wait := range []struct {
		process *process
		text    string
	}{{old.process, "hot restart: successor serves"}, {next, "serves at"}} {
		if err := wait.process.await(wait.text); err != nil {
			return err
		}
	}
	old.signal(syscall.SIGTERM)
	select {
	case <-old.done:
	case <-time.After(startTimeout):
		return errors.New("the old process did not end")
	}
	time.Sleep(listenersSettle)
	return listenerClients(w, addrs, "after the upgrade", 100)
}

// listenerClients opens connections at the addresses of the listeners gold and blue, whose endpoints are s-a and s-b.
func listenerClients(w *world, addrs []string, when string, n int) error {
	served := 0
	for i := range n {
		for j, want := range []string{"UP s-a-", "UP s-b-"} {
			conn, err := net.Dial("tcp", addrs[j])
			if err != nil {
				w.logf("%s: %v", when, err)
				continue
			}
			_ = conn.SetDeadline(time.Now().Add(3 * time.Second))
			if _, err := fmt.Fprintf(conn, "OPEN %016x key%d c=album-feed,d=1800,g=g%d\r\n", time.Now().UnixNano(), i, i); err != nil {
				conn.Close()
				return err
			}
			line, err := bufio.NewReader(conn).ReadString('\n')
			conn.Close()
			name := []string{"gold", "blue"}[j]
			w.logf("%s: a client at %s, listener %s, got %q, %v", when, addrs[j], name, line, err)
			if strings.HasPrefix(line, "UP ") {
				served++
				if !strings.HasPrefix(line, want) {
					w.breakRule("%s: a client at the address of listener %s was served by another pool: %q", when, name, line)
				}
			}
		}
		time.Sleep(listenersClients)
	}
	if served == 0 {
		return errors.New("no client was served")
	}
	return nil
}
